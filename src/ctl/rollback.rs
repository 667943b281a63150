//! `rollback`: applies the declarations of an earlier revision as a new revision.

use clap::{Arg, ArgMatches, Command};

use crate::audit::Kind;
use crate::ctl::{self, change, Context, CtlError};
use crate::declarations::read;

/// The subcommand.
pub fn command() -> Command {
    let command = Command::new("rollback")
        .about("Applies the declarations of an earlier revision as a new revision")
        .arg(
            Arg::new("revision")
                .value_name("REVISION")
                .required(true)
                .value_parser(clap::value_parser!(u64))
                .help("Revision whose declarations are applied"),
        );
    change::with_arguments(command)
}

/// Runs the subcommand.
///
/// # Errors
/// [`CtlError`] tells whether the change can have been accepted.
pub async fn run(context: &Context, arguments: &ArgMatches) -> Result<(), CtlError> {
    let store = context.store.as_ref();
    let (root, _) = read::current(store).await?;
    let revision = ctl::number(arguments, "revision").unwrap_or_default();
    let earlier = read::revision(store, &root, revision).await?;
    let expect = ctl::number(arguments, "expect").or(Some(root.revision));
    change::publish(context, arguments, &earlier.declarations, Kind::Rollback, expect).await
}
