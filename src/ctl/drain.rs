//! `drain`: sets or clears the drain mark of workers in the current declarations.

use clap::{Arg, ArgAction, ArgMatches, Command};

use crate::audit::ChangeKind;
use crate::ctl::{self, change, Context, CtlError};
use crate::declarations::read;

/// Defines the subcommand `drain` and its arguments.
pub fn command() -> Command {
    let command = Command::new("drain")
        .about(
            "Marks workers for draining; a later apply overwrites the mark with that in its files",
        )
        .arg(
            Arg::new("workers")
                .value_name("WORKER")
                .num_args(1..)
                .required(true)
                .help("Names of the workers"),
        )
        .arg(
            Arg::new("undo").long("undo").action(ArgAction::SetTrue).help("Clear the mark instead"),
        );
    change::with_change_arguments(command)
}

/// Publishes the current declarations with the mark of the named workers changed.
///
/// # Errors
/// A worker is not declared.
/// [`CtlError::InDoubt`] when the change may have been accepted; [`CtlError::Lagging`] when it was,
/// but some daemon has not applied it in time.
pub async fn run(context: &Context, arguments: &ArgMatches) -> Result<(), CtlError> {
    let (root, accepted) = read::current(context.store.as_ref()).await?;
    let mut declarations = accepted.declarations;
    let is_draining = !arguments.get_flag("undo");
    for name in arguments.get_many::<String>("workers").into_iter().flatten() {
        let worker = declarations.workers.iter_mut().find(|worker| worker.name == *name);
        let not_declared = || CtlError::Refused(format!("worker {name:?} is not declared"));
        worker.ok_or_else(not_declared)?.drain = is_draining;
    }
    let expect = ctl::number_argument(arguments, "expect").or(Some(root.revision));
    change::publish(context, arguments, &declarations, ChangeKind::Drain, expect).await
}
