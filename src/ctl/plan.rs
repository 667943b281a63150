//! `plan`: shows how declaration files differ from the current declarations, and which workers may
//! lose their running tasks.

use clap::{ArgMatches, Command};
use serde::Serialize;

use crate::collections::HashMap;
use crate::ctl::{self, Context, CtlError};
use crate::declarations::diff::{self, AffectedWorker, Difference, DifferenceKind};
use crate::declarations::publish::PublishError;
use crate::declarations::{files, read, Declarations};
use crate::http::client;
use crate::http::rpc;

/// Path of the placer's API that lists workers.
const WORKERS_PATH: &str = "/v1/workers";

/// Longest wait for the placer's answer, in milliseconds.
const PLACER_TIMEOUT_MS: u64 = 3_000;

/// Defines the subcommand `plan` and its arguments.
pub fn command() -> Command {
    Command::new("plan")
        .about(
            "Shows what applying the files would change and which workers may lose running tasks",
        )
        .arg(ctl::files_argument())
}

/// Loads the files and prints the plan.
///
/// # Errors
/// The files are invalid, or the store cannot be reached.
pub async fn run(context: &Context, arguments: &ArgMatches) -> Result<(), CtlError> {
    let declarations = files::load(&ctl::file_paths(arguments))?;
    show(context, &declarations, None).await
}

/// Output of `plan`.
#[derive(Debug)]
#[derive(Serialize)]
struct Plan {
    /// Current revision, which the files are compared with.
    revision: u64,
    differences: Vec<Difference>,
    /// Workers that the change removes, drains, shrinks or moves.
    displaced: Vec<DisplacedWorker>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct DisplacedWorker {
    #[serde(flatten)]
    affected: AffectedWorker,
    work: RunningWork,
}

/// Whether the placer has reserved resources for tasks on a worker; `Unknown` without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum RunningWork {
    Running,
    None,
    Unknown,
}

/// Prints the plan of a change to `declarations`.
///
/// # Errors
/// The store cannot be reached, or the current revision is not `expect`.
pub(super) async fn show(
    context: &Context,
    declarations: &Declarations,
    expect: Option<u64>,
) -> Result<(), CtlError> {
    let (root, accepted) = read::current(context.store.as_ref()).await?;
    if let Some(expected) = expect.filter(|expected| *expected != root.revision) {
        return Err(PublishError::RevisionMismatch { expected, current: root.revision }.into());
    }
    let affected = diff::affected_workers(&accepted.declarations, declarations);
    let busy = if affected.is_empty() { None } else { busy_workers(context).await };
    let displaced = affected.into_iter().map(|affected| {
        let work = running_work(busy.as_ref(), &affected.worker);
        DisplacedWorker { affected, work }
    });
    let plan = Plan {
        revision: root.revision,
        differences: diff::differences(&accepted.declarations, declarations),
        displaced: displaced.collect(),
    };
    context.print(&plan, &plan_text(&plan));
    Ok(())
}

fn running_work(busy: Option<&HashMap<String, bool>>, worker: &str) -> RunningWork {
    match busy.and_then(|busy| busy.get(worker)) {
        Some(true) => RunningWork::Running,
        Some(false) => RunningWork::None,
        None => RunningWork::Unknown,
    }
}

fn plan_text(plan: &Plan) -> String {
    let mut text = format!("against revision {}\n", plan.revision);
    for Difference { section, name, kind, fields } in &plan.differences {
        let sign = match kind {
            DifferenceKind::Added => '+',
            DifferenceKind::Removed => '-',
            DifferenceKind::Changed => '~',
        };
        text += &format!("{sign} {section} {name} {}\n", fields.join(", "));
    }
    if plan.differences.is_empty() {
        text += "no difference\n";
    }
    for DisplacedWorker { affected, work } in &plan.displaced {
        let work = match work {
            RunningWork::Running => "running work would be displaced",
            RunningWork::None => "nothing runs there",
            RunningWork::Unknown => "unknown whether work runs there",
        };
        text += &format!("! worker {} {:?}: {work}\n", affected.worker, affected.cause);
    }
    text
}

/// Asks the placer which workers have resources reserved: `true` for each that has.
///
/// `None` if no placer address is set or the placer gives no usable answer, so that the plan shows
/// the running work as unknown.
async fn busy_workers(context: &Context) -> Option<HashMap<String, bool>> {
    let address = &context.config.placer_address;
    if address.is_empty() {
        return None;
    }
    let mut request = client::request(http_types::Method::Get, address, WORKERS_PATH).ok()?;
    if !context.token.is_empty() {
        request.insert_header(rpc::TOKEN_HEADER, context.token.as_str());
    }
    let reply = context.pool.send(address, request, PLACER_TIMEOUT_MS).await.ok()?;
    let listing: serde_json::Value = serde_json::from_slice(&reply.body).ok()?;
    let workers = listing.get("items")?.as_array()?.iter();
    let busy = workers.filter_map(|worker| {
        let name = worker.get("name")?.as_str()?.to_owned();
        let reserved = worker.get("reserved")?.as_object()?;
        let is_busy = reserved.values().any(|amount| amount.as_u64().is_some_and(|n| n > 0));
        Some((name, is_busy))
    });
    Some(busy.collect())
}
