//! `drain`: marks workers to be emptied, or no longer, in the accepted declarations.

use clap::{Arg, ArgAction, ArgMatches, Command};

use crate::audit::Kind;
use crate::ctl::{self, change, Context, CtlError};
use crate::declarations::read;

/// The subcommand.
pub fn command() -> Command {
    let command = Command::new("drain")
        .about("Marks workers to be emptied; the next apply from files goes before it")
        .arg(
            Arg::new("workers")
                .value_name("WORKER")
                .num_args(1..)
                .required(true)
                .help("Names of workers"),
        )
        .arg(Arg::new("undo").long("undo").action(ArgAction::SetTrue).help("Take the mark away"));
    change::with_arguments(command)
}

/// Runs the subcommand.
///
/// # Errors
/// [`CtlError`] tells whether the change can have been accepted.
pub async fn run(context: &Context, arguments: &ArgMatches) -> Result<(), CtlError> {
    let (root, accepted) = read::current(context.store.as_ref()).await?;
    let mut declarations = accepted.declarations;
    let is_drained = !arguments.get_flag("undo");
    for name in arguments.get_many::<String>("workers").into_iter().flatten() {
        let worker = declarations.workers.iter_mut().find(|worker| worker.name == *name);
        let unknown = || CtlError::Refused(format!("worker {name} is not declared"));
        worker.ok_or_else(unknown)?.drain = is_drained;
    }
    let expect = ctl::number(arguments, "expect").or(Some(root.revision));
    change::publish(context, arguments, &declarations, Kind::Drain, expect).await
}
