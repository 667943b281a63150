//! `get`: prints the declarations of the current or an earlier revision.

use clap::{Arg, ArgMatches, Command};

use crate::ctl::{self, Context, CtlError};
use crate::declarations::read;

/// Defines the subcommand `get` and its arguments.
pub fn command() -> Command {
    Command::new("get").about("Shows the current declarations as YAML").arg(
        Arg::new("revision")
            .long("revision")
            .value_name("REVISION")
            .value_parser(clap::value_parser!(u64))
            .help("Show this revision instead; history lists those that are kept"),
    )
}

/// Prints the declarations with their revision and digest.
///
/// # Errors
/// The store cannot be reached, or the revision is no longer kept.
pub async fn run(context: &Context, arguments: &ArgMatches) -> Result<(), CtlError> {
    let store = context.store.as_ref();
    let (root, mut accepted) = read::current(store).await?;
    if let Some(revision) = ctl::number_argument(arguments, "revision") {
        accepted = read::revision(store, &root, revision).await?;
    }
    let yaml = serde_yaml_ng::to_string(&accepted.declarations)
        .map_err(|error| CtlError::Refused(error.to_string()))?;
    let text = format!("# revision {}, digest {}\n{yaml}", accepted.revision, accepted.digest);
    let value = serde_json::json!({
        "revision": accepted.revision,
        "digest": accepted.digest,
        "declarations": accepted.declarations,
    });
    context.print(&value, &text);
    Ok(())
}
