//! `status`: shows the accepted revision and which revision is in force in each daemon.

use clap::Command;
use serde::Serialize;

use crate::ctl::{Context, CtlError};
use crate::declarations::publish;
use crate::membership::{self, Member};
use crate::store::{self, Priority, StoreError};

/// The subcommand.
pub fn command() -> Command {
    Command::new("status").about("Shows the daemons and the revision in force in each")
}

#[derive(Debug)]
#[derive(Serialize)]
struct Status {
    revision: u64,
    digest: String,
    members: Vec<Member>,
    lagging: Vec<String>,
}

/// Runs the subcommand.
///
/// # Errors
/// The store is away.
pub async fn run(context: &Context) -> Result<(), CtlError> {
    let root = publish::read_root(context.store.as_ref()).await?;
    let root = root.map(|(root, _)| root).unwrap_or_default();
    let members = read(context).await?;
    let lagging = lagging(&members, root.revision);
    let status = Status { revision: root.revision, digest: root.digest, members, lagging };
    context.print(&status, &text(&status));
    Ok(())
}

fn text(status: &Status) -> String {
    let mut text = format!("revision {} accepted\n", status.revision);
    for member in &status.members {
        let state = if member.is_leaving { "leaving" } else { "serving" };
        text += &format!(
            "{:<24} {:<7} {:<12} {:<21} revision {} {state}\n",
            member.name,
            format!("{:?}", member.role).to_lowercase(),
            member.zone,
            member.address,
            member.config_revision
        );
    }
    if !status.lagging.is_empty() {
        text += &format!("lagging: {}\n", status.lagging.join(", "));
    }
    text
}

/// The members as the store lists them.
pub(super) async fn read(context: &Context) -> Result<Vec<Member>, StoreError> {
    let store = context.store.as_ref();
    let (_, entries) = store::list(store, membership::PREFIX, Priority::Record).await?;
    let members = entries.iter().filter_map(|entry| serde_json::from_slice(&entry.value).ok());
    Ok(members.collect())
}

/// Names of members in which a lower revision than `revision` is in force.
pub(super) fn lagging(members: &[Member], revision: u64) -> Vec<String> {
    let behind = members.iter().filter(|member| member.config_revision < revision);
    behind.map(|member| format!("{} (revision {})", member.name, member.config_revision)).collect()
}
