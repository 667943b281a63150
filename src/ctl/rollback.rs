//! `rollback`: publishes the declarations of an earlier revision as a new revision.

use clap::{Arg, ArgMatches, Command};

use crate::audit::ChangeKind;
use crate::ctl::{self, change, Context, CtlError};
use crate::declarations::read;

/// Defines the subcommand `rollback` and its arguments.
pub fn command() -> Command {
    let command = Command::new("rollback")
        .about("Publishes the declarations of an earlier revision as a new revision")
        .arg(
            Arg::new("revision")
                .value_name("REVISION")
                .required(true)
                .value_parser(clap::value_parser!(u64))
                .help("Revision to go back to; history lists those that are kept"),
        );
    change::with_change_arguments(command)
}

/// Publishes the declarations of the given revision, unless another change is accepted meanwhile.
///
/// # Errors
/// The revision is no longer kept.
/// [`CtlError::InDoubt`] when the change may have been accepted; [`CtlError::Lagging`] when it was,
/// but some daemon has not applied it in time.
pub async fn run(context: &Context, arguments: &ArgMatches) -> Result<(), CtlError> {
    let store = context.store.as_ref();
    let (root, _) = read::current(store).await?;
    let revision = ctl::number_argument(arguments, "revision").unwrap_or_default();
    let earlier = read::revision(store, &root, revision).await?;
    let expect = ctl::number_argument(arguments, "expect").or(Some(root.revision));
    change::publish(context, arguments, &earlier.declarations, ChangeKind::Rollback, expect).await
}
