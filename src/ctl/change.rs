//! What the commands that change the declarations share: who, why, and the wait for all daemons.

use std::time::Duration;

use async_std::task;
use clap::{Arg, ArgAction, ArgMatches, Command};
use serde::Serialize;

use crate::audit::{self, Kind};
use crate::clock;
use crate::ctl::{self, status, Context, CtlError};
use crate::declarations::publish::{self, Change, Receipt};
use crate::declarations::Declarations;

/// Time between looks at the members, in milliseconds.
const LOOK_EVERY_MS: u64 = 200;

/// Adds the arguments of a change to a command.
pub(super) fn with_arguments(command: Command) -> Command {
    let number = clap::value_parser!(u64);
    command
        .arg(
            Arg::new("expect")
                .long("expect")
                .value_name("REVISION")
                .value_parser(number)
                .help("Revision that has to be in force, or the change is refused"),
        )
        .arg(Arg::new("why").long("why").value_name("TEXT").help("Reason, for the audit trail"))
        .arg(Arg::new("who").long("who").value_name("NAME").help("Who makes the change"))
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .help("Wait until the change is in force in every daemon"),
        )
}

/// What a change did.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(super) struct Report {
    #[serde(flatten)]
    receipt: Receipt,
    /// Whether the declarations were in force already, so that nothing was changed.
    is_unchanged: bool,
    /// Time until the change was in force everywhere, in milliseconds; nothing without a wait.
    in_force_after_ms: Option<u64>,
}

/// Makes a change and waits for it as the arguments say.
pub(super) async fn publish(
    context: &Context,
    arguments: &ArgMatches,
    declarations: &Declarations,
    kind: Kind,
    expect: Option<u64>,
) -> Result<(), CtlError> {
    let mut change = change(arguments)?;
    change.kind = kind;
    change.expect = expect.or(ctl::number(arguments, "expect"));
    let began_ms = clock::now_ms();
    let store = context.store.as_ref();
    let receipt = publish::publish_change(store, declarations, &change).await?;
    finish(context, arguments, receipt, began_ms, false).await
}

/// Waits for the revision if asked to, then reports.
pub(super) async fn finish(
    context: &Context,
    arguments: &ArgMatches,
    receipt: Receipt,
    began_ms: u64,
    is_unchanged: bool,
) -> Result<(), CtlError> {
    let mut in_force_after_ms = None;
    if arguments.get_flag("wait") {
        await_in_force(context, receipt.revision).await?;
        in_force_after_ms = Some(clock::now_ms() - began_ms);
    }
    let begin = if is_unchanged { "already accepted as" } else { "accepted as" };
    let end = in_force_after_ms
        .map(|after_ms| format!(", in force everywhere after {after_ms} ms"))
        .unwrap_or_default();
    let text = format!("{begin} revision {}{end}", receipt.revision);
    context.print(&Report { receipt, is_unchanged, in_force_after_ms }, &text);
    Ok(())
}

fn change(arguments: &ArgMatches) -> Result<Change, CtlError> {
    let text = |name| arguments.get_one::<String>(name).cloned();
    let who = text("who").or_else(|| std::env::var("USER").ok()).unwrap_or_default();
    if who.is_empty() {
        return Err(CtlError::Refused("say who makes the change with --who".to_owned()));
    }
    let mut change = Change::new(who, text("why").unwrap_or_default());
    change.from = host_name();
    for text in [&change.who, &change.why, &change.from] {
        if text.chars().count() > audit::TEXT_LIMIT_CHARS {
            let limit = audit::TEXT_LIMIT_CHARS;
            return Err(CtlError::Refused(format!("--who and --why take {limit} characters")));
        }
    }
    Ok(change)
}

/// Name of the host that the program runs on.
fn host_name() -> String {
    let name = std::fs::read_to_string("/proc/sys/kernel/hostname").unwrap_or_default();
    name.trim().to_owned()
}

/// Waits until every member reports `revision` or a higher one.
async fn await_in_force(context: &Context, revision: u64) -> Result<(), CtlError> {
    let ends_at_ms = clock::now_ms() + context.config.apply_wait_ms;
    loop {
        let state = match status::read(context).await {
            Ok(members) => {
                let lagging = status::lagging(&members, revision);
                if lagging.is_empty() {
                    return Ok(());
                }
                format!("not in force in: {}", lagging.join(", "))
            }
            Err(error) => format!("the members cannot be read: {error}"),
        };
        if clock::now_ms() >= ends_at_ms {
            return Err(CtlError::Lagging(format!("revision {revision} is accepted; {state}")));
        }
        task::sleep(Duration::from_millis(LOOK_EVERY_MS)).await;
    }
}
