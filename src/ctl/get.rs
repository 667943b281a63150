//! `get`: shows accepted declarations.

use clap::{Arg, ArgMatches, Command};

use crate::ctl::{self, Context, CtlError};
use crate::declarations::read;

/// The subcommand.
pub fn command() -> Command {
    Command::new("get").about("Shows the accepted declarations as YAML").arg(
        Arg::new("revision")
            .long("revision")
            .value_name("REVISION")
            .value_parser(clap::value_parser!(u64))
            .help("An earlier revision that is still kept"),
    )
}

/// Runs the subcommand.
///
/// # Errors
/// The store is away, or the revision is not kept.
pub async fn run(context: &Context, arguments: &ArgMatches) -> Result<(), CtlError> {
    let store = context.store.as_ref();
    let (root, mut accepted) = read::current(store).await?;
    if let Some(revision) = ctl::number(arguments, "revision") {
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
