//! Shared by `apply`, `rollback` and `drain`: arguments, publication, and the wait until all
//! daemons have applied the change.

use std::time::Duration;

use async_std::task;
use clap::{Arg, ArgAction, ArgMatches, Command};
use serde::Serialize;

use crate::audit::{self, ChangeKind};
use crate::clock;
use crate::ctl::{self, status, Context, CtlError};
use crate::declarations::publish::{self, Change, Receipt};
use crate::declarations::Declarations;

/// Time between two reads of the member records during `--wait`, in milliseconds.
const POLL_INTERVAL_MS: u64 = 200;

/// Adds `--expect`, `--why`, `--who` and `--wait` to a command.
pub(super) fn with_change_arguments(command: Command) -> Command {
    let number = clap::value_parser!(u64);
    command
        .arg(
            Arg::new("expect")
                .long("expect")
                .value_name("REVISION")
                .value_parser(number)
                .help("Refuse the change unless this is the current revision"),
        )
        .arg(
            Arg::new("why")
                .long("why")
                .value_name("TEXT")
                .help("Reason for the change, recorded in the audit trail"),
        )
        .arg(Arg::new("who").long("who").value_name("NAME").help(
            "Author of the change, recorded in the audit trail; the value of USER by default",
        ))
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .help("Wait until every daemon has applied the change"),
        )
}

/// Output of a command that changes the declarations.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(super) struct ChangeReport {
    #[serde(flatten)]
    receipt: Receipt,
    /// Whether the current revision already had these declarations, so that none was published.
    is_unchanged: bool,
    /// Time until all daemons had applied the change, in milliseconds; `None` without `--wait`.
    in_force_after_ms: Option<u64>,
}

/// Publishes `declarations` as a new revision, waits if `--wait` is given, and prints the result.
///
/// `expect` is the revision that has to be current; `None` takes it from `--expect`.
pub(super) async fn publish(
    context: &Context,
    arguments: &ArgMatches,
    declarations: &Declarations,
    kind: ChangeKind,
    expect: Option<u64>,
) -> Result<(), CtlError> {
    let mut change = change_from_arguments(arguments)?;
    change.kind = kind;
    change.expected_revision = expect.or(ctl::number_argument(arguments, "expect"));
    let started_ms = clock::now_ms();
    let store = context.store.as_ref();
    let receipt = publish::publish_change(store, declarations, &change).await?;
    report_accepted(context, arguments, receipt, started_ms, false).await
}

/// Waits until all daemons have applied the revision if `--wait` is given, then prints the result.
///
/// `started_ms` is the time at which the change began, on the monotonic clock.
pub(super) async fn report_accepted(
    context: &Context,
    arguments: &ArgMatches,
    receipt: Receipt,
    started_ms: u64,
    is_unchanged: bool,
) -> Result<(), CtlError> {
    let mut in_force_after_ms = None;
    if arguments.get_flag("wait") {
        wait_until_applied(context, receipt.revision).await?;
        in_force_after_ms = Some(clock::now_ms() - started_ms);
    }
    let begin = if is_unchanged { "already accepted as" } else { "accepted as" };
    let end = in_force_after_ms
        .map(|after_ms| format!(", in force everywhere after {after_ms} ms"))
        .unwrap_or_default();
    let text = format!("{begin} revision {}{end}", receipt.revision);
    context.print(&ChangeReport { receipt, is_unchanged, in_force_after_ms }, &text);
    Ok(())
}

fn change_from_arguments(arguments: &ArgMatches) -> Result<Change, CtlError> {
    let text = |name| arguments.get_one::<String>(name).cloned();
    let who = text("who").or_else(|| std::env::var("USER").ok()).unwrap_or_default();
    if who.is_empty() {
        return Err(CtlError::Refused(
            "author of the change is unknown: give --who or set USER".to_owned(),
        ));
    }
    let mut change = Change::new(who, text("why").unwrap_or_default());
    change.from = host_name();
    for text in [&change.who, &change.why, &change.from] {
        if text.chars().count() > audit::TEXT_LIMIT_CHARS {
            let limit = audit::TEXT_LIMIT_CHARS;
            return Err(CtlError::Refused(format!(
                "--who, --why and the host name are limited to {limit} characters each"
            )));
        }
    }
    Ok(change)
}

/// Name of the host that runs `hemlockctl`, for the audit trail; empty if the kernel gives none.
fn host_name() -> String {
    let name = std::fs::read_to_string("/proc/sys/kernel/hostname").unwrap_or_default();
    name.trim().to_owned()
}

/// Waits until every daemon reports `revision` or a later one, for at most `apply_wait_ms`.
async fn wait_until_applied(context: &Context, revision: u64) -> Result<(), CtlError> {
    let deadline_ms = clock::now_ms() + context.config.apply_wait_ms;
    loop {
        let state = match status::read_members(context).await {
            Ok(members) => {
                let lagging = status::lagging_members(&members, revision);
                if lagging.is_empty() {
                    return Ok(());
                }
                format!("not yet applied by: {}", lagging.join(", "))
            }
            Err(error) => format!("the member records cannot be read: {error}"),
        };
        if clock::now_ms() >= deadline_ms {
            return Err(CtlError::Lagging(format!("revision {revision} is accepted; {state}")));
        }
        task::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}
