//! `check`: reports every finding in files of declarations.

use clap::{ArgMatches, Command};
use serde_json::json;

use crate::ctl::{self, Context, CtlError};
use crate::declarations::files;

/// The subcommand.
pub fn command() -> Command {
    Command::new("check")
        .about("Reports every finding in files of declarations")
        .arg(ctl::files_argument())
}

/// Runs the subcommand.
///
/// # Errors
/// The findings.
pub fn run(context: &Context, arguments: &ArgMatches) -> Result<(), CtlError> {
    let declarations = files::load(&ctl::files(arguments))?;
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
