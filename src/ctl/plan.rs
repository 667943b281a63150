//! `plan`: shows what a change would do, and which running work it may displace.

use clap::{ArgMatches, Command};
use serde::Serialize;

use crate::collections::HashMap;
use crate::ctl::{self, Context, CtlError};
use crate::declarations::diff::{self, Affected, Difference, Kind};
use crate::declarations::publish::PublishError;
use crate::declarations::{files, read, Declarations};
use crate::http::client;
use crate::http::rpc;

/// Path of the placer that lists workers.
const WORKERS_PATH: &str = "/v1/workers";

/// Longest wait for the placer, in milliseconds.
const PLACER_TIMEOUT_MS: u64 = 3_000;

/// The subcommand.
pub fn command() -> Command {
    Command::new("plan")
        .about("Shows what a change would do and which work it may displace")
        .arg(ctl::files_argument())
}

/// Runs the subcommand.
///
/// # Errors
/// Findings in the files, or the store is away.
pub async fn run(context: &Context, arguments: &ArgMatches) -> Result<(), CtlError> {
    let declarations = files::load(&ctl::files(arguments))?;
    show(context, &declarations, None).await
}

#[derive(Debug)]
#[derive(Serialize)]
struct Plan {
    revision: u64,
    differences: Vec<Difference>,
    displaced: Vec<Displaced>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct Displaced {
    #[serde(flatten)]
    affected: Affected,
    work: Work,
}

/// Whether a worker runs something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum Work {
    Running,
    None,
    Unknown,
}

/// Shows what a change to `declarations` would do.
pub(super) async fn show(
    context: &Context,
    declarations: &Declarations,
    expect: Option<u64>,
) -> Result<(), CtlError> {
    let (root, accepted) = read::current(context.store.as_ref()).await?;
    if let Some(expected) = expect.filter(|expected| *expected != root.revision) {
        return Err(PublishError::Unexpected { expected, current: root.revision }.into());
    }
    let affected = diff::affected(&accepted.declarations, declarations);
    let busy = if affected.is_empty() { None } else { busy_workers(context).await };
    let displaced = affected.into_iter().map(|affected| {
        let work = work(busy.as_ref(), &affected.worker);
        Displaced { affected, work }
    });
    let plan = Plan {
        revision: root.revision,
        differences: diff::differences(&accepted.declarations, declarations),
        displaced: displaced.collect(),
    };
    context.print(&plan, &text(&plan));
    Ok(())
}

fn work(busy: Option<&HashMap<String, bool>>, worker: &str) -> Work {
    match busy.and_then(|busy| busy.get(worker)) {
        Some(true) => Work::Running,
        Some(false) => Work::None,
        None => Work::Unknown,
    }
}

fn text(plan: &Plan) -> String {
    let mut text = format!("against revision {}\n", plan.revision);
    for Difference { section, name, kind, fields } in &plan.differences {
        let sign = match kind {
            Kind::Added => '+',
            Kind::Removed => '-',
            Kind::Changed => '~',
        };
        text += &format!("{sign} {section} {name} {}\n", fields.join(", "));
    }
    if plan.differences.is_empty() {
        text += "no difference\n";
    }
    for Displaced { affected, work } in &plan.displaced {
        let work = match work {
            Work::Running => "running work would be displaced",
            Work::None => "nothing runs there",
            Work::Unknown => "unknown whether work runs there",
        };
        text += &format!("! worker {} {:?}: {work}\n", affected.worker, affected.cause);
    }
    text
}

/// For each worker that the placer knows, whether something is reserved on it.
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
