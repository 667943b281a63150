//! Request and response bodies and headers of the HTTP API for callers.

use bytes::Bytes;
use serde::Deserialize;

use crate::platform::runners;
use crate::queue::model::{JobId, JobState, Step, Submission};

/// Header with the time that a caller waits for the answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "Hemlockrock-Deadline-Ms";

/// Header with the API key of a caller; its value is the key alone.
pub const API_KEY_HEADER: &str = "Api-Key";

/// Path of the readiness check that the load balancer calls.
pub const READY_PATH: &str = "/readyz";

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct JobBody {
    #[serde(default)]
    spec: String,
    steps: Vec<StepBody>,
    #[serde(default)]
    /// Number of repetitions; jobs with more than 0 are rejected.
    repeat_count: u64,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct StepBody {
    count: u32,
    /// CPU of a task in thousandths of a core, in spite of its name.
    #[serde(default)]
    cpu: u64,
    #[serde(default)]
    mem_mb: u64,
    #[serde(default)]
    gpu: u32,
    /// Rough duration of a task, in milliseconds.
    #[serde(default)]
    estimate_ms: f64,
    /// Positions of earlier steps that must be done first.
    #[serde(default)]
    after: Vec<u32>,
    #[serde(default)]
    checkpointing: bool,
    /// The tasks only work when they run at the same time.
    #[serde(default)]
    gang: bool,
    #[serde(default)]
    same_rack: bool,
    #[serde(default)]
    required_label: Option<String>,
    #[serde(default)]
    data_rack: Option<String>,
    /// Most tasks of the step on one runner (the platform's server), within one occurrence of the
    /// job.
    #[serde(default)]
    max_per_server: u32,
    /// Copies of a task may run in parallel.
    #[serde(default)]
    speculative: bool,
    #[serde(default)]
    long_running: bool,
    /// What the tasks run; tasks of the same image behave alike.
    #[serde(default)]
    image: Option<String>,
    /// Bound for the tail of the response times of a long-running task, in milliseconds; 0 for
    /// none.
    #[serde(default)]
    target_ms: f64,
    /// The tasks only use CPU time that other tasks leave idle.
    #[serde(default)]
    fills: bool,
    /// Tasks of a long-running step that may be unavailable at the same time because of actions of
    /// the leader.
    #[serde(default)]
    may_miss: u32,
}

/// Result of decoding the body of a submission.
#[derive(Clone, Debug, PartialEq)]
pub enum DecodedSubmission {
    /// A valid job.
    Job(Submission),
    /// The body is not a valid job; the text says what is wrong with it.
    Invalid(String),
    /// The job is to be repeated, which is not supported.
    Repeating,
}

/// Decodes and validates the body of a submission, for a job without a workspace. `unix_ms` is the
/// time at which it was accepted.
pub fn decode_submission(id: JobId, queue: &str, body: &[u8], unix_ms: u64) -> DecodedSubmission {
    let body: JobBody = match serde_json::from_slice(body) {
        Ok(body) => body,
        Err(error) => return DecodedSubmission::Invalid(error.to_string()),
    };
    if body.repeat_count > 0 {
        return DecodedSubmission::Repeating;
    }
    let steps: Vec<Step> = body.steps.into_iter().map(convert_step).collect();
    if steps.is_empty() || steps.iter().any(|step| step.count == 0) {
        return DecodedSubmission::Invalid(
            "a job needs at least one step, and each step at least one task".to_owned(),
        );
    }
    let depends_on_earlier =
        |(position, step): (usize, &Step)| step.after.iter().all(|at| (*at as usize) < position);
    if !steps.iter().enumerate().all(depends_on_earlier) {
        return DecodedSubmission::Invalid(
            "\"after\" must only list steps that are earlier in the job".to_owned(),
        );
    }
    DecodedSubmission::Job(Submission {
        id,
        queue: queue.to_owned(),
        spec: Bytes::from(body.spec),
        steps,
        accepted_unix_ms: unix_ms,
        workspace: None,
        terms: None,
    })
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped")]
fn convert_step(body: StepBody) -> Step {
    const LIMIT_MS: f64 = 1e12;
    Step {
        count: body.count,
        need: runners::resources(body.cpu, body.mem_mb, body.gpu),
        estimate_ms: body.estimate_ms.clamp(0.0, LIMIT_MS) as u64,
        after: body.after,
        is_checkpointing: body.checkpointing,
        is_gang: body.gang,
        same_rack: body.same_rack,
        label: body.required_label.filter(|label| !label.is_empty()),
        data_rack: body.data_rack.filter(|rack| !rack.is_empty()),
        max_per_runner: body.max_per_server,
        may_copy: body.speculative,
        is_long_running: body.long_running,
        image: body.image,
        target_ms: body.target_ms.clamp(0.0, LIMIT_MS) as u64,
        is_best_effort: body.fills,
        max_unavailable: body.may_miss,
    }
}

/// Encodes the response body with the state of a job.
pub fn encode_state(state: JobState) -> Vec<u8> {
    let name = match state {
        JobState::Queued => "queued",
        JobState::Active => "active",
        JobState::Completed => "completed",
        JobState::Failed => "failed",
        JobState::Canceled => "canceled",
    };
    format!("{{\"state\":\"{name}\"}}").into_bytes()
}

/// Encodes the response body with the number of accepted jobs of a queue that have not started.
pub fn encode_pending(jobs: u64) -> Vec<u8> {
    format!("{{\"pending\":{jobs}}}").into_bytes()
}
