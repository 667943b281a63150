//! Orders: the HTTP calls by which the leader controls runs on a runner.

use bytes::Bytes;
use http_types::Method;
use serde::{Deserialize, Serialize};

use crate::http::client::{self, ExchangeError, Pool, Reply};
use crate::queue::model::{EndedRun, OrderError, RunEnd, RunnerStatus, RunningTask, TaskId};

/// Header with the name of the runner instance that an order is meant for; another instance at the
/// same address rejects the order.
const INSTANCE_HEADER: &str = "Hemlockrock-Expected-Instance";

/// The runner that an order is sent to, and the time limit of the call.
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
    /// Task to start.
    pub task: TaskId,
    /// Number of the run; runners reject numbers that are not higher than earlier ones of the task.
    pub run: u64,
    /// The job's specification for the runner, as its caller submitted it.
    pub spec: Bytes,
    /// End of the run's lease on the runner's own clock, in milliseconds.
    pub until_ms: u64,
    /// Fencing token of the order.
    pub token: u64,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: Bytes,
    /// Ticket of the advice service that admits the step to the runner, if its queue needs one.
    pub ticket: Option<String>,
}

/// An order to renew the lease of all runs on a runner and to report them.
#[derive(Clone, Copy, Debug)]
pub struct Renew {
    /// New end of the lease on the runner's own clock, in milliseconds; `None` to read the status
    /// without renewing.
    pub until_ms: Option<u64>,
    /// Fencing token of the order.
    pub token: u64,
    /// Number of the last ended run that the leader has processed; the runner may drop it and those
    /// before.
    pub acknowledged: u64,
    /// Longest time that the runner holds the call open until a run ends, in milliseconds.
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
    /// Number of the last acknowledged end of a run.
    last_seen: u64,
    wait_ms: u64,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct StatusBody {
    /// When the runner process started, in Unix milliseconds.
    #[serde(default)]
    born: u64,
    clock_ms: f64,
    #[serde(default)]
    running: Vec<RunningRow>,
    #[serde(default)]
    ended_runs: Vec<EndedRow>,
}

/// A running task: task, run, checkpoint, progress in percent, load.
#[derive(Debug)]
#[derive(Deserialize)]
struct RunningRow(String, u64, String, #[serde(default)] f64, #[serde(default)] f64);

/// An ended run: number, task, run, how it ended, checkpoint.
#[derive(Debug)]
#[derive(Deserialize)]
struct EndedRow(u64, String, u64, String, #[serde(default)] String);

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ClockBody {
    clock_ms: f64,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct RefusalBody {
    #[serde(default)]
    reason: String,
}

/// Orders a runner to start a task; returns the runner's clock in milliseconds if it tells it.
///
/// # Errors
/// Fails with [`OrderError`], which tells whether the order can still take effect.
pub async fn start(
    pool: &Pool,
    target: Target<'_>,
    start: &Start,
) -> Result<Option<u64>, OrderError> {
    let body = StartBody {
        task: start.task.to_string(),
        run: start.run,
        spec: std::str::from_utf8(&start.spec).map_err(|_| OrderError::Invalid)?,
        until_ms: start.until_ms,
        fencing_token: start.token,
        checkpoint: std::str::from_utf8(&start.checkpoint).map_err(|_| OrderError::Invalid)?,
        ticket: start.ticket.as_deref(),
    };
    let reply = send_order(pool, target, "/run-start", &body).await?;
    Ok(decode_clock(&reply.body))
}

/// Orders a runner to stop a run; afterwards the run cannot start there any more.
///
/// # Errors
/// Fails as [`start`] does.
pub async fn stop(
    pool: &Pool,
    target: Target<'_>,
    task: TaskId,
    run: u64,
    token: u64,
) -> Result<(), OrderError> {
    let body = StopBody { task: task.to_string(), run, fencing_token: token };
    send_order(pool, target, "/run-stop", &body).await.map(drop)
}

/// Orders a runner to throttle a run to `percent` of its normal pace.
///
/// # Errors
/// Fails as [`start`] does.
pub async fn pace(
    pool: &Pool,
    target: Target<'_>,
    (task, run): (TaskId, u64),
    percent: u32,
    token: u64,
) -> Result<(), OrderError> {
    let body = PaceBody { task: task.to_string(), run, percent, fencing_token: token };
    send_order(pool, target, "/pace", &body).await.map(drop)
}

/// Renews the lease of all runs on a runner and reads its status.
///
/// # Errors
/// Fails as [`start`] does; a malformed status counts as no answer.
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
    let reply = send_order(pool, target, "/hold", &body).await?;
    decode_status(&reply.body).map_err(|error| {
        spdlog::warn!("malformed status of runner {}: {}", target.runner, error);
        OrderError::Unanswered
    })
}

/// Decodes the status of a runner; rows with unknown task names or ends are skipped.
///
/// # Errors
/// Returns a message that says what is wrong with the body.
pub fn decode_status(body: &[u8]) -> Result<RunnerStatus, String> {
    let status: StatusBody = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let clock_ms = checked_clock_ms(status.clock_ms).ok_or("the clock is out of range")?;
    let running = status.running.into_iter().filter_map(|row| {
        let RunningRow(task, run, checkpoint, percent, load) = row;
        let task = TaskId::parse(&task)?;
        Some(RunningTask { task, run, checkpoint: checkpoint.into(), percent, load })
    });
    let ended = status.ended_runs.into_iter().filter_map(|row| {
        let EndedRow(number, task, run, how, checkpoint) = row;
        let task = TaskId::parse(&task)?;
        Some(EndedRun { number, task, run, end: run_end(&how)?, checkpoint: checkpoint.into() })
    });
    Ok(RunnerStatus {
        started_unix_ms: status.born,
        clock_ms,
        running: running.collect(),
        ended: ended.collect(),
    })
}

/// The runner's clock in an answer, in milliseconds; `None` if it is missing or malformed.
fn decode_clock(body: &[u8]) -> Option<u64> {
    let ClockBody { clock_ms } = serde_json::from_slice(body).ok()?;
    checked_clock_ms(clock_ms)
}

/// Converts a clock in milliseconds; `None` if it is so far ahead that no runner can have run for as
/// long, and that times reckoned from it could exceed their range.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "checked")]
fn checked_clock_ms(clock_ms: f64) -> Option<u64> {
    const MAX_CLOCK_MS: f64 = 1e15;
    (clock_ms <= MAX_CLOCK_MS).then(|| clock_ms.max(0.0) as u64)
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

async fn send_order(
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
    request.insert_header(INSTANCE_HEADER, target.runner);
    match pool.send(target.address, request, target.timeout_ms).await {
        Ok(reply) => check_reply(reply),
        Err(ExchangeError::NotSent(_) | ExchangeError::ConnectionRefused(_)) => {
            Err(OrderError::NotSent)
        }
        Err(ExchangeError::Unanswered(_) | ExchangeError::TimedOut(_)) => {
            Err(OrderError::Unanswered)
        }
    }
}

fn check_reply(reply: Reply) -> Result<Reply, OrderError> {
    match reply.status {
        200..=299 => Ok(reply),
        409 => Err(decode_refusal(&reply.body)),
        421 => Err(OrderError::OtherLife),
        429 | 503 => Err(OrderError::Unhealthy),
        400..=499 => Err(OrderError::Invalid),
        _ => Err(OrderError::Unanswered),
    }
}

fn decode_refusal(body: &[u8]) -> OrderError {
    let refusal: Result<RefusalBody, _> = serde_json::from_slice(body);
    match refusal.as_ref().map(|refusal| refusal.reason.as_str()) {
        Ok("fence") => OrderError::Fenced,
        Ok("old") => OrderError::Old,
        Ok("late") => OrderError::Late,
        Ok("room") => OrderError::NoRoom,
        Ok("ticket") => OrderError::Ticket,
        _ => OrderError::Invalid,
    }
}
