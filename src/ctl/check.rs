//! `check`: validates declaration files without reaching the cell.

use clap::{ArgMatches, Command};
use serde_json::json;

use crate::ctl::{self, Context, CtlError};
use crate::declarations::files;

/// Defines the subcommand `check` and its arguments.
pub fn command() -> Command {
    Command::new("check")
        .about("Checks declaration files and reports every finding")
        .arg(ctl::files_argument())
}

/// Loads and validates the files, and prints how many items of each section they declare.
///
/// # Errors
/// [`CtlError::Findings`] when the files are invalid.
pub fn run(context: &Context, arguments: &ArgMatches) -> Result<(), CtlError> {
    let declarations = files::load(&ctl::file_paths(arguments))?;
    let summary = json!({
        "zones": declarations.zones.len(),
        "workers": declarations.workers.len(),
        "services": declarations.services.len(),
        "teams": declarations.teams.len(),
        "rules": declarations.rules.len(),
    });
    let text = format!(
        "sound: {} zones, {} workers, {} services, {} teams, {} rules",
        declarations.zones.len(),
        declarations.workers.len(),
        declarations.services.len(),
        declarations.teams.len(),
        declarations.rules.len()
    );
    context.print(&summary, &text);
    Ok(())
}
