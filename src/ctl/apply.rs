//! `apply`: publishes declaration files as a new revision.

use clap::{Arg, ArgAction, ArgMatches, Command};

use crate::audit::ChangeKind;
use crate::clock;
use crate::ctl::{self, change, plan, Context, CtlError};
use crate::declarations::publish::{Receipt, Root};
use crate::declarations::{files, parts, publish};

/// Defines the subcommand `apply` and its arguments.
pub fn command() -> Command {
    let command = Command::new("apply")
        .about("Publishes declaration files as a new revision")
        .arg(ctl::files_argument())
        .arg(
            Arg::new("dry-run")
                .long("dry-run")
                .action(ArgAction::SetTrue)
                .help("Check the files and show the plan without changing anything"),
        );
    change::with_change_arguments(command)
}

/// Publishes the declarations, unless the current revision has the same content.
///
/// # Errors
/// [`CtlError::InDoubt`] when the change may have been accepted; [`CtlError::Lagging`] when it was,
/// but some daemon has not applied it in time.
pub async fn run(context: &Context, arguments: &ArgMatches) -> Result<(), CtlError> {
    let declarations = files::load(&ctl::file_paths(arguments))?;
    if arguments.get_flag("dry-run") {
        return plan::show(context, &declarations, ctl::number_argument(arguments, "expect")).await;
    }
    let started_ms = clock::now_ms();
    let packed =
        parts::pack(&declarations).map_err(|error| CtlError::Refused(error.to_string()))?;
    let root = publish::read_root(context.store.as_ref()).await?.map(|(root, _)| root);
    let unchanged = root.filter(|root| root.digest == packed.digest);
    let expect = ctl::number_argument(arguments, "expect");
    let is_expected = |root: &Root| expect.is_none_or(|expect| expect == root.revision);
    if let Some(root) = unchanged.filter(is_expected) {
        let change = root.recent.last().map(|entry| entry.change.clone()).unwrap_or_default();
        let receipt = Receipt { revision: root.revision, digest: root.digest, change };
        return change::report_accepted(context, arguments, receipt, started_ms, true).await;
    }
    change::publish(context, arguments, &declarations, ChangeKind::Apply, None).await
}
