//! Commands on jobs.

use clap::{ArgMatches, Command};

use crate::ctl::{Context, CtlError};

/// The subcommands on jobs.
pub fn commands() -> Vec<Command> {
    Vec::new()
}

/// Runs the subcommand `name`; `None` when it is not one on jobs.
pub async fn run(
    _context: &Context,
    _name: &str,
    _arguments: &ArgMatches,
) -> Option<Result<(), CtlError>> {
    None
}
