//! `collect`: removes stored parts of declarations that an interrupted change left behind.

use clap::Command;
use serde_json::json;

use crate::ctl::{Context, CtlError};
use crate::declarations::garbage::Collector;
use crate::declarations::publish;

/// Defines the subcommand `collect` and its arguments.
pub fn command() -> Command {
    Command::new("collect").about("Removes stored parts of declarations that no kept revision uses")
}

/// Removes the unused parts and prints how many there were.
///
/// # Errors
/// The store cannot be reached.
pub async fn run(context: &Context) -> Result<(), CtlError> {
    let store = context.store.as_ref();
    let removed = match publish::read_root(store).await? {
        Some((root, entry)) => Collector::new(store, &root, entry.modified).remove_all().await?,
        None => 0,
    };
    context.print(&json!({ "removed": removed }), &format!("{removed} parts removed"));
    Ok(())
}
