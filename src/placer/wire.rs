//! The call from the placer of a zone to a worker: one call carries a batch of commands, its
//! answer what became of them and, when asked for, the report of the worker.

use serde::{Deserialize, Serialize};

use crate::place::message::{Attempt, Refusal, StopMode, TaskId, WorkerReport};
use crate::place::spec::Resources;

/// Path at which a worker takes calls.
pub const PATH: &str = "/v1/worker";

/// One call to a worker. The parts are carried out in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct WorkerCall {
    /// Name of the worker.
    pub worker: String,
    /// Epoch of the caller; the worker refuses one that is below the highest it has seen.
    pub epoch: u64,
    /// Length of a lease from the token that a start or renewal carries, in milliseconds.
    pub lease_ms: u64,
    /// Starts up to this attempt are void from now on.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub barrier: Option<Attempt>,
    /// Ended attempts that the worker may forget.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub forget: Vec<Attempt>,
    /// Attempts that are to give way.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub stops: Vec<Stop>,
    /// Token from which all leases on the worker are renewed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub renew_token_ms: Option<u64>,
    /// Attempts to start.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub starts: Vec<Start>,
    /// Whether the answer is to carry a report.
    pub wants_report: bool,
}

impl WorkerCall {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.barrier.is_none()
            && self.forget.is_empty()
            && self.stops.is_empty()
            && self.renew_token_ms.is_none()
            && self.starts.is_empty()
            && !self.wants_report
    }
}

/// An attempt that is to give way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Stop {
    /// Attempt.
    pub attempt: Attempt,
    /// How.
    pub mode: StopMode,
}

/// An attempt to start.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Start {
    /// Attempt; a worker that has begun it does not begin it again.
    pub attempt: Attempt,
    /// Task.
    pub task: TaskId,
    /// What it may use.
    pub reserved: Resources,
    /// Token from which its lease runs.
    pub token_ms: u64,
    /// Program and its arguments.
    pub command: Vec<String>,
}

/// What a worker answers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct WorkerAnswer {
    /// Highest epoch that the worker has seen.
    pub epoch: u64,
    /// Whether the call came under a lower epoch; nothing of it was done.
    pub is_fenced: bool,
    /// Starts that began, now or at an earlier call.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub begun: Vec<Attempt>,
    /// Starts that did not begin and never will.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub refused: Vec<RefusedStart>,
    /// All that the worker runs, if it was asked for.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub report: Option<WorkerReport>,
}

/// A start that did not begin and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RefusedStart {
    /// Attempt.
    pub attempt: Attempt,
    /// Why.
    pub refusal: Refusal,
}
