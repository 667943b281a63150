//! Commands on jobs and workers.

use std::path::Path;

use clap::{Arg, ArgMatches, Command};
use http_types::Method;
use serde::de::DeserializeOwned;

use crate::ctl::{Context, CtlError};
use crate::http::client::{self, Reply};
use crate::http::error::ApiError;
use crate::http::rpc;
use crate::jobs::api::{
    JobExplanation, JobView, Listing, Submission, SubmitAnswer, SubmitOutcome, WorkerView,
    JOBS_PATH, WORKERS_PATH,
};
use crate::settings;

/// Longest wait for an answer, in milliseconds.
const TIMEOUT_MS: u64 = 10_000;

/// Largest job file, in bytes.
const FILE_LIMIT_BYTES: u64 = 1024 * 1024;

/// The subcommands on jobs and workers.
pub fn commands() -> Vec<Command> {
    let id = || Arg::new("id").value_name("JOB").required(true).help("Id of the job");
    let file = Arg::new("file").value_name("FILE").required(true).help("YAML file of the job");
    let job = Command::new("job")
        .about("Submits, shows and cancels jobs")
        .subcommand_required(true)
        .subcommand(Command::new("submit").about("Submits a job").arg(file))
        .subcommand(Command::new("get").about("Shows a job").arg(id()))
        .subcommand(Command::new("list").about("Shows all jobs"))
        .subcommand(Command::new("cancel").about("Cancels a job").arg(id()))
        .subcommand(
            Command::new("explain").about("Says why a job waits or will not run").arg(id()),
        );
    vec![job, Command::new("workers").about("Shows all workers")]
}

/// Runs the subcommand `name`; `None` when it is not one on jobs or workers.
pub async fn run(
    context: &Context,
    name: &str,
    arguments: &ArgMatches,
) -> Option<Result<(), CtlError>> {
    match name {
        "job" => Some(run_job(context, arguments).await),
        "workers" => Some(workers(context).await),
        _ => None,
    }
}

async fn run_job(context: &Context, arguments: &ArgMatches) -> Result<(), CtlError> {
    let Some((name, inner)) = arguments.subcommand() else {
        return Err(CtlError::Refused("no command".to_owned()));
    };
    let text = |name| inner.get_one::<String>(name).map_or("", String::as_str);
    match name {
        "submit" => submit(context, Path::new(text("file"))).await,
        "get" => show(context, Method::Get, text("id")).await,
        "cancel" => show(context, Method::Delete, text("id")).await,
        "list" => list(context).await,
        _ => explain(context, text("id")).await,
    }
}

async fn submit(context: &Context, path: &Path) -> Result<(), CtlError> {
    let submission = read_file(path)?;
    let body = serde_json::to_vec(&submission).unwrap_or_default();
    let reply = send(context, Method::Post, JOBS_PATH, body).await?;
    let Ok(answer) = serde_json::from_slice::<SubmitAnswer>(&reply.body) else {
        return Err(refusal(&reply));
    };
    let reason = answer.reason.clone().unwrap_or_default();
    match answer.outcome {
        SubmitOutcome::Accepted => {
            let text = format!("{} is accepted in zone {}", answer.id, answer.zone);
            context.print(&answer, &text);
            Ok(())
        }
        SubmitOutcome::NotRun => {
            Err(CtlError::Refused(format!("{} will not run: {reason}", answer.id)))
        }
        SubmitOutcome::Unknown => Err(CtlError::InDoubt(format!(
            "{} may be accepted: {reason}; submit it again with the same id",
            answer.id
        ))),
    }
}

/// Reads a job from a YAML file.
///
/// # Errors
/// The file cannot be read or is no job; broken YAML is told with its place.
pub fn read_file(path: &Path) -> Result<Submission, CtlError> {
    let file = path.display().to_string();
    let refused = |message: String| CtlError::Refused(format!("{file}: {message}"));
    let size = std::fs::metadata(path).map_err(|error| refused(error.to_string()))?.len();
    if size > FILE_LIMIT_BYTES {
        return Err(refused(format!("larger than {FILE_LIMIT_BYTES} bytes")));
    }
    let text = std::fs::read_to_string(path).map_err(|error| refused(error.to_string()))?;
    let document = settings::parse_document(&file, &text)?;
    let submission: Submission =
        serde_json::from_value(document.value).map_err(|error| refused(error.to_string()))?;
    match submission.fault() {
        Some(fault) => Err(refused(fault.to_owned())),
        None => Ok(submission),
    }
}

async fn show(context: &Context, method: Method, id: &str) -> Result<(), CtlError> {
    let reply = send(context, method, &format!("{JOBS_PATH}/{id}"), Vec::new()).await?;
    let job: JobView = read(&reply)?;
    context.print(&job, &job_line(&job));
    Ok(())
}

async fn list(context: &Context) -> Result<(), CtlError> {
    let reply = send(context, Method::Get, JOBS_PATH, Vec::new()).await?;
    let listing: Listing<JobView> = read(&reply)?;
    let lines: Vec<String> = listing.items.iter().map(job_line).collect();
    context.print(&listing, &with_missing(lines, &listing.missing_zones));
    Ok(())
}

async fn explain(context: &Context, id: &str) -> Result<(), CtlError> {
    let reply =
        send(context, Method::Get, &format!("{JOBS_PATH}/{id}/explain"), Vec::new()).await?;
    let why: JobExplanation = read(&reply)?;
    context.print(&why, &explanation_text(&why));
    Ok(())
}

async fn workers(context: &Context) -> Result<(), CtlError> {
    let reply = send(context, Method::Get, WORKERS_PATH, Vec::new()).await?;
    let listing: Listing<WorkerView> = read(&reply)?;
    let lines = listing.items.iter().map(worker_line).collect();
    context.print(&listing, &with_missing(lines, &listing.missing_zones));
    Ok(())
}

async fn send(
    context: &Context,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<Reply, CtlError> {
    let config = &context.config;
    let known = [&config.placer_address, &config.entry_address];
    let address = known.into_iter().find(|address| !address.is_empty());
    let missing = || CtlError::Refused("say which daemon to ask with --entry".to_owned());
    let address = address.ok_or_else(missing)?;
    let mut request = client::request(method, address, path)
        .map_err(|error| CtlError::Refused(error.to_string()))?;
    if !context.token.is_empty() {
        request.insert_header(rpc::TOKEN_HEADER, context.token.as_str());
    }
    if !body.is_empty() {
        request.set_body(body);
        request.insert_header("Content-Type", "application/json");
    }
    let sent = context.pool.send(address, request, TIMEOUT_MS).await;
    sent.map_err(|error| match error.is_not_sent() {
        true => CtlError::Away(error.to_string()),
        false => CtlError::InDoubt(error.to_string()),
    })
}

fn read<T: DeserializeOwned>(reply: &Reply) -> Result<T, CtlError> {
    const OK: u16 = 200;
    if reply.status != OK {
        return Err(refusal(reply));
    }
    serde_json::from_slice(&reply.body).map_err(|error| CtlError::Refused(error.to_string()))
}

fn refusal(reply: &Reply) -> CtlError {
    let message = match serde_json::from_slice::<ApiError>(&reply.body) {
        Ok(error) => error.to_string(),
        Err(_) => format!("status {}", reply.status),
    };
    match reply.status {
        503 => CtlError::Away(message),
        504 => CtlError::InDoubt(message),
        _ => CtlError::Refused(message),
    }
}

fn job_line(job: &JobView) -> String {
    let state = word(&job.state);
    format!("{}  zone {}  {state}  {} of {} finished", job.id, job.zone, job.finished, job.tasks)
}

fn worker_line(worker: &WorkerView) -> String {
    let WorkerView { name, zone, rack, state, capacity, reserved, .. } = worker;
    let drain = if worker.is_draining { "  draining" } else { "" };
    format!(
        "{name}  zone {zone}  rack {rack}  {state}  cpu {}/{} millis  memory {}/{} bytes  \
         accelerators {}/{}{drain}",
        reserved.cpu_millis,
        capacity.cpu_millis,
        reserved.memory_bytes,
        capacity.memory_bytes,
        reserved.accelerators,
        capacity.accelerators,
    )
}

fn explanation_text(why: &JobExplanation) -> String {
    let mut lines = vec![format!("{}  zone {}  {}", why.id, why.zone, word(&why.state))];
    lines.extend(why.reason.iter().map(|reason| format!("  {reason}")));
    if let Some(more) = &why.explanation {
        lines.push(format!("  {} tasks wait, {} hold room", more.waiting, more.placed));
        lines.push(format!("  {} of {} workers are open to it", more.open, more.workers));
        let ruled_out = more.ruled_out.iter();
        lines.extend(
            ruled_out.map(|(reason, count)| format!("  {count} ruled out: {}", word(reason))),
        );
        lines.extend(more.held_back.iter().map(|reason| format!("  held back: {}", word(reason))));
    }
    lines.join("\n")
}

fn with_missing(mut lines: Vec<String>, missing_zones: &[String]) -> String {
    lines.extend(missing_zones.iter().map(|zone| format!("zone {zone} did not answer")));
    lines.join("\n")
}

/// A value as its JSON word.
fn word(value: &impl serde::Serialize) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(word)) => word,
        Ok(other) => other.to_string(),
        Err(error) => error.to_string(),
    }
}
