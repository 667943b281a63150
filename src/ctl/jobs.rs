//! `job` and `workers`: submit, show, explain and cancel jobs, and list workers.

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

/// Longest wait for a daemon's answer, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 10_000;

/// Largest job file that `job submit` reads, in bytes.
const MAX_JOB_FILE_BYTES: u64 = 1024 * 1024;

/// Defines the subcommands `job` and `workers` and their arguments.
pub fn commands() -> Vec<Command> {
    let id = || Arg::new("id").value_name("JOB").required(true).help("Id of the job");
    let file = Arg::new("file").value_name("FILE").required(true).help("YAML file with the job");
    let job = Command::new("job")
        .about("Submits, shows and cancels jobs")
        .subcommand_required(true)
        .subcommand(Command::new("submit").about("Submits a job").arg(file))
        .subcommand(Command::new("get").about("Shows a job").arg(id()))
        .subcommand(Command::new("list").about("Shows all jobs"))
        .subcommand(Command::new("cancel").about("Cancels a job").arg(id()))
        .subcommand(
            Command::new("explain").about("Shows why a job waits or was rejected").arg(id()),
        );
    vec![
        job,
        Command::new("workers").about("Shows all workers with their capacity and reservations"),
    ]
}

/// Runs the subcommand `name` if it is `job` or `workers`; returns `None` for any other.
pub async fn run(
    context: &Context,
    name: &str,
    arguments: &ArgMatches,
) -> Option<Result<(), CtlError>> {
    match name {
        "job" => Some(run_job(context, arguments).await),
        "workers" => Some(list_workers(context).await),
        _ => None,
    }
}

async fn run_job(context: &Context, arguments: &ArgMatches) -> Result<(), CtlError> {
    let Some((name, inner)) = arguments.subcommand() else {
        return Err(CtlError::Refused("no job subcommand given; see job --help".to_owned()));
    };
    let text = |name| inner.get_one::<String>(name).map_or("", String::as_str);
    match name {
        "submit" => submit_job(context, Path::new(text("file"))).await,
        "get" => call_and_print_job(context, Method::Get, text("id")).await,
        "cancel" => call_and_print_job(context, Method::Delete, text("id")).await,
        "list" => list_jobs(context).await,
        _ => explain_job(context, text("id")).await,
    }
}

async fn submit_job(context: &Context, path: &Path) -> Result<(), CtlError> {
    let submission = read_job_file(path)?;
    let body = serde_json::to_vec(&submission).unwrap_or_default();
    let reply = send(context, Method::Post, JOBS_PATH, body).await?;
    let Ok(answer) = serde_json::from_slice::<SubmitAnswer>(&reply.body) else {
        return Err(error_from_reply(&reply));
    };
    let reason = answer.reason.clone().unwrap_or_default();
    match answer.outcome {
        SubmitOutcome::Accepted => {
            let text = format!("{} is accepted in zone {}", answer.id, answer.zone);
            context.print(&answer, &text);
            Ok(())
        }
        SubmitOutcome::NotRun => Err(CtlError::Refused(format!(
            "job {} was not accepted and will not run: {reason}",
            answer.id
        ))),
        SubmitOutcome::Unknown => Err(CtlError::InDoubt(format!(
            "job {} may have been accepted: {reason}; submit it again with the same id",
            answer.id
        ))),
    }
}

/// Reads a job submission from a YAML file.
///
/// # Errors
/// The file cannot be read, is too large or is not a valid job; errors of YAML syntax name line and
/// column.
pub fn read_job_file(path: &Path) -> Result<Submission, CtlError> {
    let file = path.display().to_string();
    let refused = |message: String| CtlError::Refused(format!("{file}: {message}"));
    let size = std::fs::metadata(path).map_err(|error| refused(error.to_string()))?.len();
    if size > MAX_JOB_FILE_BYTES {
        return Err(refused(format!(
            "job file of {size} bytes is larger than {MAX_JOB_FILE_BYTES} bytes"
        )));
    }
    let text = std::fs::read_to_string(path).map_err(|error| refused(error.to_string()))?;
    let document = settings::parse_document(&file, &text)?;
    let submission: Submission =
        serde_json::from_value(document.value).map_err(|error| refused(error.to_string()))?;
    match submission.validation_error() {
        Some(error) => Err(refused(error.to_owned())),
        None => Ok(submission),
    }
}

/// Sends a request on one job and prints the job in the answer.
async fn call_and_print_job(context: &Context, method: Method, id: &str) -> Result<(), CtlError> {
    let reply = send(context, method, &format!("{JOBS_PATH}/{id}"), Vec::new()).await?;
    let job: JobView = decode(&reply)?;
    context.print(&job, &job_line(&job));
    Ok(())
}

async fn list_jobs(context: &Context) -> Result<(), CtlError> {
    let reply = send(context, Method::Get, JOBS_PATH, Vec::new()).await?;
    let listing: Listing<JobView> = decode(&reply)?;
    let lines: Vec<String> = listing.items.iter().map(job_line).collect();
    context.print(&listing, &listing_text(lines, &listing.missing_zones));
    Ok(())
}

async fn explain_job(context: &Context, id: &str) -> Result<(), CtlError> {
    let reply =
        send(context, Method::Get, &format!("{JOBS_PATH}/{id}/explain"), Vec::new()).await?;
    let explanation: JobExplanation = decode(&reply)?;
    context.print(&explanation, &explanation_text(&explanation));
    Ok(())
}

async fn list_workers(context: &Context) -> Result<(), CtlError> {
    let reply = send(context, Method::Get, WORKERS_PATH, Vec::new()).await?;
    let listing: Listing<WorkerView> = decode(&reply)?;
    let lines = listing.items.iter().map(worker_line).collect();
    context.print(&listing, &listing_text(lines, &listing.missing_zones));
    Ok(())
}

/// Sends a request to the placer if its address is set, else to the entry daemon.
async fn send(
    context: &Context,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<Reply, CtlError> {
    let config = &context.config;
    let addresses = [&config.placer_address, &config.entry_address];
    let address = addresses.into_iter().find(|address| !address.is_empty());
    let missing = || CtlError::Refused("no daemon to call: give --placer or --entry".to_owned());
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
    let sent = context.pool.send(address, request, REQUEST_TIMEOUT_MS).await;
    sent.map_err(|error| match error.is_not_sent() {
        true => CtlError::Unavailable(error.to_string()),
        false => CtlError::InDoubt(error.to_string()),
    })
}

/// Decodes the body of an answer with status 200; any other status is an error.
fn decode<T: DeserializeOwned>(reply: &Reply) -> Result<T, CtlError> {
    const OK: u16 = 200;
    if reply.status != OK {
        return Err(error_from_reply(reply));
    }
    serde_json::from_slice(&reply.body)
        .map_err(|error| CtlError::Refused(format!("the daemon's answer cannot be read: {error}")))
}

/// The error that a daemon's answer stands for.
fn error_from_reply(reply: &Reply) -> CtlError {
    let message = match serde_json::from_slice::<ApiError>(&reply.body) {
        Ok(error) => error.to_string(),
        Err(_) => format!("the daemon answered with status {}", reply.status),
    };
    match reply.status {
        503 => CtlError::Unavailable(message),
        504 => CtlError::InDoubt(message),
        _ => CtlError::Refused(message),
    }
}

fn job_line(job: &JobView) -> String {
    let state = json_name(&job.state);
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

fn explanation_text(job: &JobExplanation) -> String {
    let mut lines = vec![format!("{}  zone {}  {}", job.id, job.zone, json_name(&job.state))];
    lines.extend(job.reason.iter().map(|reason| format!("  {reason}")));
    if let Some(explanation) = &job.explanation {
        lines.push(format!(
            "  {} tasks wait, {} hold room",
            explanation.waiting, explanation.placed
        ));
        lines.push(format!(
            "  {} of {} workers are open to it",
            explanation.open, explanation.workers
        ));
        let ruled_out = explanation.ruled_out.iter();
        lines.extend(
            ruled_out.map(|(reason, count)| format!("  {count} ruled out: {}", json_name(reason))),
        );
        let held_back = explanation.held_back.iter();
        lines.extend(held_back.map(|reason| format!("  held back: {}", json_name(reason))));
    }
    lines.join("\n")
}

/// Joins the lines of a listing, and adds one for each zone that gave no answer.
fn listing_text(mut lines: Vec<String>, missing_zones: &[String]) -> String {
    lines.extend(missing_zones.iter().map(|zone| format!("zone {zone} did not answer")));
    lines.join("\n")
}

/// The serialized name of an enum value; a value with data becomes its JSON text.
fn json_name(value: &impl serde::Serialize) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(name)) => name,
        Ok(other) => other.to_string(),
        Err(error) => error.to_string(),
    }
}
