//! Orders to runners and their answers.

use bytes::Bytes;
use http_types::Method;
use serde::{Deserialize, Serialize};

use crate::http::client::{self, ExchangeError, Pool, Reply};
use crate::queue::model::{EndedRun, OrderError, RunEnd, RunnerStatus, RunningTask, TaskId};

/// Header that names the life of the runner for which an order is meant.
const LIFE_HEADER: &str = "Hemlockrock-Expected-Instance";

/// Where an order goes and how long its answer may take.
#[derive(Clone, Copy, Debug)]
pub struct Target<'a> {
    /// Address of the runner, `IP:port`.
    pub address: &'a str,
    /// Name of the runner.
    pub runner: &'a str,
    /// Longest wait for the answer, in milliseconds.
    pub timeout_ms: u64,
}

/// An order to start a task.
#[derive(Clone, Debug)]
pub struct Start {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Text of the job.
    pub spec: Bytes,
    /// End of the lease on the runner's clock, in milliseconds.
    pub until_ms: u64,
    /// Fencing token of the sender.
    pub token: u64,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: Bytes,
    /// Ticket that admits the step to the runner.
    pub ticket: Option<String>,
}

/// An order to renew the lease of all that runs, and to list it.
#[derive(Clone, Copy, Debug)]
pub struct Renew {
    /// End of the lease on the runner's clock, in milliseconds.
    pub until_ms: Option<u64>,
    /// Fencing token of the sender.
    pub token: u64,
    /// Number of the last end that may be forgotten.
    pub acknowledged: u64,
    /// Time to wait for an end, in milliseconds.
    pub wait_ms: u64,
}

#[derive(Debug)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct StartBody<'a> {
    task: String,
    run: u64,
    spec: &'a str,
    until_ms: u64,
    fencing_token: u64,
    #[serde(skip_serializing_if = "str::is_empty")]
    checkpoint: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    ticket: Option<&'a str>,
}

#[derive(Debug)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct StopBody {
    task: String,
    run: u64,
    fencing_token: u64,
}

#[derive(Debug)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct PaceBody {
    task: String,
    run: u64,
    percent: u32,
    fencing_token: u64,
}

#[derive(Debug)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct RenewBody {
    #[serde(skip_serializing_if = "Option::is_none")]
    until_ms: Option<u64>,
    fencing_token: u64,
    last_seen: u64,
    wait_ms: u64,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Lists {
    #[serde(default)]
    born: u64,
    clock_ms: f64,
    #[serde(default)]
    running: Vec<RunningRow>,
    #[serde(default)]
    ended_runs: Vec<EndedRow>,
}

/// Task, run, checkpoint, percent, load.
#[derive(Debug)]
#[derive(Deserialize)]
struct RunningRow(String, u64, String, #[serde(default)] f64, #[serde(default)] f64);

/// Number, task, run, how it ended, checkpoint.
#[derive(Debug)]
#[derive(Deserialize)]
struct EndedRow(u64, String, u64, String, #[serde(default)] String);

#[derive(Debug)]
#[derive(Deserialize)]
struct Refusal {
    #[serde(default)]
    reason: String,
}

/// Orders a runner to start a task.
///
/// # Errors
/// [`OrderError`] tells whether the order can still be carried out.
pub async fn start(pool: &Pool, target: Target<'_>, start: &Start) -> Result<(), OrderError> {
    let body = StartBody {
        task: start.task.to_string(),
        run: start.run,
        spec: std::str::from_utf8(&start.spec).map_err(|_| OrderError::Invalid)?,
        until_ms: start.until_ms,
        fencing_token: start.token,
        checkpoint: std::str::from_utf8(&start.checkpoint).map_err(|_| OrderError::Invalid)?,
        ticket: start.ticket.as_deref(),
    };
    order(pool, target, "/run-start", &body).await.map(drop)
}

/// Orders a runner to stop a run; the run cannot start there afterwards.
///
/// # Errors
/// As [`start`].
pub async fn stop(
    pool: &Pool,
    target: Target<'_>,
    task: TaskId,
    run: u64,
    token: u64,
) -> Result<(), OrderError> {
    let body = StopBody { task: task.to_string(), run, fencing_token: token };
    order(pool, target, "/run-stop", &body).await.map(drop)
}

/// Orders a runner to let a run work at a share of its usual pace.
///
/// # Errors
/// As [`start`].
pub async fn pace(
    pool: &Pool,
    target: Target<'_>,
    (task, run): (TaskId, u64),
    percent: u32,
    token: u64,
) -> Result<(), OrderError> {
    let body = PaceBody { task: task.to_string(), run, percent, fencing_token: token };
    order(pool, target, "/pace", &body).await.map(drop)
}

/// Renews the lease of all that runs on a runner and reads its lists.
///
/// # Errors
/// As [`start`].
pub async fn renew(
    pool: &Pool,
    target: Target<'_>,
    renew: Renew,
) -> Result<RunnerStatus, OrderError> {
    let body = RenewBody {
        until_ms: renew.until_ms,
        fencing_token: renew.token,
        last_seen: renew.acknowledged,
        wait_ms: renew.wait_ms,
    };
    let reply = order(pool, target, "/hold", &body).await?;
    decode_status(&reply.body).map_err(|error| {
        spdlog::warn!("a runner's lists cannot be read: {}", error);
        OrderError::Unanswered
    })
}

/// Reads the lists of a runner; rows that name no task of ours are left out.
///
/// # Errors
/// What is wrong with the body.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped")]
pub fn decode_status(body: &[u8]) -> Result<RunnerStatus, String> {
    let lists: Lists = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let running = lists.running.into_iter().filter_map(|row| {
        let RunningRow(task, run, checkpoint, percent, load) = row;
        let task = TaskId::parse(&task)?;
        Some(RunningTask { task, run, checkpoint: checkpoint.into(), percent, load })
    });
    let ended = lists.ended_runs.into_iter().filter_map(|row| {
        let EndedRow(number, task, run, how, checkpoint) = row;
        let task = TaskId::parse(&task)?;
        Some(EndedRun { number, task, run, end: run_end(&how)?, checkpoint: checkpoint.into() })
    });
    Ok(RunnerStatus {
        started_unix_ms: lists.born,
        clock_ms: lists.clock_ms.max(0.0) as u64,
        running: running.collect(),
        ended: ended.collect(),
    })
}

fn run_end(how: &str) -> Option<RunEnd> {
    Some(match how {
        "done" => RunEnd::Done,
        "failed" => RunEnd::Failed,
        "stopped" => RunEnd::Stopped,
        "lapsed" => RunEnd::Lapsed,
        "broken" => RunEnd::Broken,
        "alone" => RunEnd::Alone,
        _ => return None,
    })
}

async fn order(
    pool: &Pool,
    target: Target<'_>,
    path: &str,
    body: &(impl Serialize + Sync),
) -> Result<Reply, OrderError> {
    let body = serde_json::to_vec(body).map_err(|_| OrderError::Invalid)?;
    let request = client::request(Method::Post, target.address, path);
    let mut request = request.map_err(|_| OrderError::Invalid)?;
    request.set_body(body);
    request.insert_header("Content-Type", "application/json");
    request.insert_header(LIFE_HEADER, target.runner);
    match pool.send(target.address, request, target.timeout_ms).await {
        Ok(reply) => outcome(reply),
        Err(ExchangeError::NotSent(_) | ExchangeError::Refused(_)) => Err(OrderError::NotSent),
        Err(ExchangeError::Unanswered(_)) => Err(OrderError::Unanswered),
    }
}

fn outcome(reply: Reply) -> Result<Reply, OrderError> {
    match reply.status {
        200..=299 => Ok(reply),
        409 => Err(refusal(&reply.body)),
        421 => Err(OrderError::OtherLife),
        429 | 503 => Err(OrderError::Unhealthy),
        400..=499 => Err(OrderError::Invalid),
        _ => Err(OrderError::Unanswered),
    }
}

fn refusal(body: &[u8]) -> OrderError {
    let refusal: Result<Refusal, _> = serde_json::from_slice(body);
    match refusal.as_ref().map(|refusal| refusal.reason.as_str()) {
        Ok("fence") => OrderError::Fenced,
        Ok("old") => OrderError::Old,
        Ok("late") => OrderError::Late,
        Ok("room") => OrderError::NoRoom,
        Ok("ticket") => OrderError::Ticket,
        _ => OrderError::Invalid,
    }
}
