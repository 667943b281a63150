//! Bodies and headers between callers and the host that they reach.

use bytes::Bytes;
use serde::Deserialize;

use crate::platform::runners;
use crate::queue::model::{JobId, JobState, Step, Submission};

/// Header with the time for which a caller waits for its answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "Hemlockrock-Deadline-Ms";

/// Path at which the balancer asks whether the host is ready.
pub const READY_PATH: &str = "/readyz";

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct JobBody {
    #[serde(default)]
    spec: String,
    steps: Vec<StepBody>,
    #[serde(default)]
    repeat_count: u64,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct StepBody {
    count: u32,
    /// Thousandths of a core.
    #[serde(default)]
    cpu: u64,
    #[serde(default)]
    mem_mb: u64,
    #[serde(default)]
    gpu: u32,
    #[serde(default)]
    estimate_ms: f64,
    #[serde(default)]
    after: Vec<u32>,
    #[serde(default)]
    checkpointing: bool,
    #[serde(default)]
    gang: bool,
    #[serde(default)]
    same_rack: bool,
    #[serde(default)]
    required_label: Option<String>,
    #[serde(default)]
    data_rack: Option<String>,
    /// The limit holds for one runner and one occurrence.
    #[serde(default)]
    max_per_server: u32,
    #[serde(default)]
    speculative: bool,
    #[serde(default)]
    long_running: bool,
    #[serde(default)]
    image: Option<String>,
    #[serde(default)]
    target_ms: f64,
    #[serde(default)]
    fills: bool,
    #[serde(default)]
    may_miss: u32,
}

/// A decoded submission, or why it cannot be taken.
#[derive(Clone, Debug, PartialEq)]
pub enum Decoded {
    /// A job that can be stored.
    Job(Submission),
    /// The body is not a job; what is wrong with it.
    Invalid(String),
    /// The job repeats, which is not served yet.
    Repeats,
}

/// Reads the body of a submission.
pub fn decode_submission(id: JobId, queue: &str, body: &[u8], unix_ms: u64) -> Decoded {
    let body: JobBody = match serde_json::from_slice(body) {
        Ok(body) => body,
        Err(error) => return Decoded::Invalid(error.to_string()),
    };
    if body.repeat_count > 0 {
        return Decoded::Repeats;
    }
    let steps: Vec<Step> = body.steps.into_iter().map(step).collect();
    if steps.is_empty() || steps.iter().any(|step| step.count == 0) {
        return Decoded::Invalid("a job needs steps, and each step a task".to_owned());
    }
    let points_back =
        |(position, step): (usize, &Step)| step.after.iter().all(|at| (*at as usize) < position);
    if !steps.iter().enumerate().all(points_back) {
        return Decoded::Invalid("after names a step that is not earlier".to_owned());
    }
    Decoded::Job(Submission {
        id,
        queue: queue.to_owned(),
        spec: Bytes::from(body.spec),
        steps,
        accepted_unix_ms: unix_ms,
    })
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped")]
fn step(body: StepBody) -> Step {
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

/// The body that tells the state of a job.
pub fn encode_state(state: JobState) -> Vec<u8> {
    let word = match state {
        JobState::Queued => "queued",
        JobState::Active => "active",
        JobState::Completed => "completed",
        JobState::Failed => "failed",
        JobState::Canceled => "canceled",
    };
    format!("{{\"state\":\"{word}\"}}").into_bytes()
}

/// The body that tells how many accepted jobs of a queue have not started.
pub fn encode_pending(jobs: u64) -> Vec<u8> {
    format!("{{\"pending\":{jobs}}}").into_bytes()
}
