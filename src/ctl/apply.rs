//! `apply`: makes files of declarations the accepted ones.

use clap::{Arg, ArgAction, ArgMatches, Command};

use crate::audit::Kind;
use crate::clock;
use crate::ctl::{self, change, plan, Context, CtlError};
use crate::declarations::publish::Receipt;
use crate::declarations::{files, parts, publish};

/// The subcommand.
pub fn command() -> Command {
    let command = Command::new("apply")
        .about("Makes files of declarations the accepted ones")
        .arg(ctl::files_argument())
        .arg(
            Arg::new("dry-run")
                .long("dry-run")
                .action(ArgAction::SetTrue)
                .help("Check and show the plan, change nothing"),
        );
    change::with_arguments(command)
}

/// Runs the subcommand.
///
/// # Errors
/// [`CtlError`] tells whether the change can have been accepted.
pub async fn run(context: &Context, arguments: &ArgMatches) -> Result<(), CtlError> {
    let declarations = files::load(&ctl::files(arguments))?;
    if arguments.get_flag("dry-run") {
        return plan::show(context, &declarations, ctl::number(arguments, "expect")).await;
    }
    let began_ms = clock::now_ms();
    let packed =
        parts::pack(&declarations).map_err(|error| CtlError::Refused(error.to_string()))?;
    let root = publish::read_root(context.store.as_ref()).await?.map(|(root, _)| root);
    let same = root.filter(|root| root.digest == packed.digest);
    let expect = ctl::number(arguments, "expect");
    if let Some(root) = same.filter(|root| expect.is_none_or(|expect| expect == root.revision)) {
        let change = root.recent.last().map(|entry| entry.change.clone()).unwrap_or_default();
        let receipt = Receipt { revision: root.revision, digest: root.digest, change };
        return change::finish(context, arguments, receipt, began_ms, true).await;
    }
    change::publish(context, arguments, &declarations, Kind::Apply, None).await
}
