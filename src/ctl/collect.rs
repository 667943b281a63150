//! `collect`: removes parts that an interrupted change left over.

use clap::Command;
use serde_json::json;

use crate::ctl::{Context, CtlError};
use crate::declarations::collect::Collector;
use crate::declarations::publish;

/// The subcommand.
pub fn command() -> Command {
    Command::new("collect").about("Removes parts of declarations that no kept revision refers to")
}

/// Runs the subcommand.
///
/// # Errors
/// The store is away.
pub async fn run(context: &Context) -> Result<(), CtlError> {
    let store = context.store.as_ref();
    let removed = match publish::read_root(store).await? {
        Some((root, entry)) => Collector::new(store, &root, entry.modified).remove_all().await?,
        None => 0,
    };
    context.print(&json!({ "removed": removed }), &format!("{removed} parts removed"));
    Ok(())
}
