//! `status`: shows the accepted revision and the revision that each daemon has applied.

use clap::Command;
use serde::Serialize;

use crate::ctl::{Context, CtlError};
use crate::declarations::publish;
use crate::membership::{self, Member};
use crate::store::{self, Priority, StoreError};

/// Defines the subcommand `status` and its arguments.
pub fn command() -> Command {
    Command::new("status")
        .about("Shows the accepted revision and the revision that each daemon has applied")
}

#[derive(Debug)]
#[derive(Serialize)]
struct Status {
    /// Accepted revision; 0 before the first change.
    revision: u64,
    /// Digest of the accepted declarations.
    digest: String,
    /// Member records of the running entry and placer daemons.
    members: Vec<Member>,
    /// Members that have applied only an earlier revision, each with that revision.
    lagging: Vec<String>,
}

/// Reads the root record and the member records, and prints them.
///
/// # Errors
/// The store cannot be reached.
pub async fn run(context: &Context) -> Result<(), CtlError> {
    let root = publish::read_root(context.store.as_ref()).await?;
    let root = root.map(|(root, _)| root).unwrap_or_default();
    let members = read_members(context).await?;
    let lagging = lagging_members(&members, root.revision);
    let status = Status { revision: root.revision, digest: root.digest, members, lagging };
    context.print(&status, &status_text(&status));
    Ok(())
}

fn status_text(status: &Status) -> String {
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

/// Reads the member records from the store; records that cannot be parsed are left out.
pub(super) async fn read_members(context: &Context) -> Result<Vec<Member>, StoreError> {
    let store = context.store.as_ref();
    let (_, entries) = store::list(store, membership::PREFIX, Priority::Interactive).await?;
    let members = entries.iter().filter_map(|entry| serde_json::from_slice(&entry.value).ok());
    Ok(members.collect())
}

/// Names and revisions of the members that have applied only a revision before `revision`.
pub(super) fn lagging_members(members: &[Member], revision: u64) -> Vec<String> {
    let behind = members.iter().filter(|member| member.config_revision < revision);
    behind.map(|member| format!("{} (revision {})", member.name, member.config_revision)).collect()
}
