//! Input events and output actions of the placer, and the data types of the worker protocol.
//!
//! The daemon turns worker responses and timers into [`Event`]s and carries out each
//! [`Action`]. Workers enforce three rules that make a start happen at most once:
//!
//! * A call with an epoch below the highest epoch that the worker has seen is refused as fenced.
//! * A read carries a barrier. A start whose attempt is at or below the highest barrier seen, and
//!   that is not running already, is refused as stale.
//! * Each report carries a token: the worker's own clock reading. Starts and renewals echo the
//!   latest token, and a lease ends at that token plus the lease duration. A start whose lease
//!   would already have ended is refused as stale.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::spec::{JobSpec, Resources};
use crate::declarations::Declarations;
use crate::inventory::WorkerKey;
use crate::quota::Shares;

/// Identifier of a job, unique within its zone.
pub type JobId = Arc<str>;

/// Identifier of one start of a task, unique across all holders of the zone lease.
///
/// Attempts are ordered by epoch, then by counter; a barrier is the attempt up to which a worker
/// refuses starts that it does not run yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Attempt {
    /// Epoch of the zone lease under which the placer issued the start.
    pub epoch: u64,
    /// Sequence number within the epoch, from 1; 0 precedes all starts of the epoch.
    pub counter: u64,
}

/// Identifier of a task: its job and its index in the job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job_id: JobId,
    /// Index within the job, from 0.
    pub index: u32,
}

/// Result of a task that exited on its own, without being stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The task succeeded.
    Finished,
    /// The task failed.
    Failed,
}

/// State of an attempt as reported by its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptState {
    /// The attempt runs, possibly throttled.
    Running,
    /// The attempt was told to stop and still runs.
    Stopping,
    /// The attempt was stopped on request, or its lease lapsed. It does not run and never will.
    Stopped,
    /// The attempt exited on its own.
    Ended(End),
}

/// One attempt in a worker's report.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AttemptReport {
    /// Task that the attempt runs.
    pub task: TaskId,
    /// Identifier of the attempt.
    pub attempt: Attempt,
    /// Current state on the worker.
    pub state: AttemptState,
    /// Resources that the start reserved for the attempt.
    pub reserved: Resources,
    /// Measured resource usage, which lags behind; zero while unknown.
    pub usage: Resources,
    /// Time since the attempt started, in milliseconds.
    pub age_ms: u64,
}

/// All attempts that a worker runs, and those that ended and that it was not told to forget.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WorkerReport {
    /// Worker's clock reading, in milliseconds; starts and renewals echo it.
    pub token_ms: u64,
    /// Highest barrier that the worker has received in a read.
    pub barrier: Attempt,
    /// Running attempts, and ended ones that are not yet forgotten.
    pub attempts: Vec<AttemptReport>,
}

/// Reason why a worker refused a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The worker has seen a higher epoch.
    Fenced,
    /// The start arrived at or below the worker's barrier, or after its lease had ended.
    Stale,
    /// The worker lacks free resources.
    NoRoom,
    /// Another attempt of the task runs on the worker.
    Duplicate,
    /// The worker tried to start the task and failed.
    Failed,
}

/// How a running attempt releases resources.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopMode {
    /// The attempt continues with less processor time.
    Throttle,
    /// The attempt saves its progress, then stops.
    Checkpoint,
    /// The attempt stops without saving its progress.
    Stop,
}

/// Reason why a job is rejected for good.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// The specification is invalid; holds the message of `JobSpec::validation_error`.
    #[serde(rename = "unsound")]
    InvalidSpec(String),
    /// No worker of the zone, even when empty, can hold one task.
    TooLarge,
    /// No worker of the zone has the labels that the job requires.
    NoSuchLabels,
    /// The zone, even when empty, cannot hold all tasks of the gang at once.
    GangTooLarge,
    /// The team is not declared.
    UnknownTeam,
    /// The quota of the team is below what the job needs at the same time.
    OverQuota,
    /// The tasks failed on too many workers or too many times.
    Poison,
}

/// State of a job as reported to its caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// No task runs, and at least one is not finished.
    Waiting,
    /// At least one task runs.
    Running,
    /// All tasks finished.
    Finished,
    /// The job failed. The placer reports a job that failed too often as rejected instead, with
    /// `Rejection::Poison`.
    Failed,
    /// The job was cancelled, and none of its tasks runs.
    Cancelled,
    /// The job will not run, or will not run again.
    Rejected(Rejection),
}

/// Durable progress of a job, stored next to its specification.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct JobProgress {
    /// Version of the progress, from 1, raised by each change; 0 before the first change.
    pub version: u64,
    /// Indices of the finished tasks, as half-open ranges.
    pub finished: Vec<(u32, u32)>,
    /// Whether the job was cancelled.
    pub is_cancelled: bool,
    /// Final state of the job; `None` while it has not ended.
    pub ended: Option<JobState>,
    /// Index and number of failures of each unfinished task that failed.
    pub failures: Vec<(u32, u8)>,
    /// Names of the workers on which a task failed since the last success.
    pub failed_workers: Vec<String>,
}

/// Input of the placer.
#[derive(Clone, Debug)]
pub enum Event {
    /// New declarations of workers, teams and rules were accepted.
    Declared(Arc<Declarations>),
    /// This process holds the zone lease under `epoch`; sent again at each renewal of the lease.
    Holding {
        /// Epoch, taken from the revision of the lease record in the store.
        epoch: u64,
        /// Time until which the store grants the zone to this process, in milliseconds.
        confirmed_until_ms: u64,
    },
    /// A higher epoch was seen: this process no longer holds the zone lease.
    Fenced,
    /// A job was recorded in the store and is to be placed.
    Submit {
        /// Id of the new job.
        job_id: JobId,
        /// Job specification.
        spec: Arc<JobSpec>,
    },
    /// A caller cancelled a job.
    Cancel {
        /// Id of the job to cancel.
        job_id: JobId,
    },
    /// A service gets another number of replicas or another specification.
    Replace {
        /// Id of the service.
        job_id: JobId,
        /// New specification.
        spec: Arc<JobSpec>,
    },
    /// A job record was read from the store after a takeover.
    Restored {
        /// Id of the job.
        job_id: JobId,
        /// Job specification.
        spec: Arc<JobSpec>,
        /// Stored progress.
        progress: JobProgress,
    },
    /// All job records were read after a takeover.
    RestoredAll,
    /// The progress of a job was stored.
    Recorded {
        /// Id of the job.
        job_id: JobId,
        /// Version of the progress that is stored.
        version: u64,
    },
    /// A worker answered a read or a renewal with the state of all its attempts.
    Report {
        /// Worker that reported.
        worker: WorkerKey,
        /// Content of the report.
        report: WorkerReport,
    },
    /// A worker started an attempt.
    Confirmed {
        /// Attempt that runs.
        attempt: Attempt,
    },
    /// A worker did not start an attempt and never will.
    Refused {
        /// Attempt that was refused.
        attempt: Attempt,
        /// Reason for the refusal.
        refusal: Refusal,
    },
    /// A start got no response; the attempt may or may not run.
    LostReply {
        /// Attempt whose state is unknown.
        attempt: Attempt,
    },
    /// An attempt exited on its own.
    Ended {
        /// Attempt that ended.
        attempt: Attempt,
        /// Whether the attempt succeeded or failed.
        end: End,
    },
    /// An attempt was stopped on request.
    Stopped {
        /// Attempt that was stopped.
        attempt: Attempt,
    },
    /// A read or a renewal got no response.
    Silent {
        /// Worker that did not answer.
        worker: WorkerKey,
    },
    /// The quota shares of this zone changed.
    Quota(Arc<Shares>),
    /// Periodic timer.
    Tick,
}

/// Output of the placer, to be carried out by the daemon.
#[derive(Clone, Debug)]
pub enum Action {
    /// Start an attempt on a worker.
    Start {
        /// Worker to call.
        worker: WorkerKey,
        /// Identifier of the new attempt.
        attempt: Attempt,
        /// Task to run.
        task: TaskId,
        /// Specification of the job.
        spec: Arc<JobSpec>,
        /// Resources reserved for the attempt.
        reserved: Resources,
        /// Latest token of the worker.
        token_ms: u64,
    },
    /// Throttle or stop an attempt.
    Stop {
        /// Worker to call.
        worker: WorkerKey,
        /// Attempt to throttle or stop.
        attempt: Attempt,
        /// How the attempt releases its resources.
        mode: StopMode,
    },
    /// Read the state of all attempts on a worker.
    Read {
        /// Worker to call.
        worker: WorkerKey,
        /// The worker refuses starts up to this attempt from now on.
        barrier: Attempt,
    },
    /// Renew the leases of all attempts on a worker, which answers with a report.
    Renew {
        /// Worker to call.
        worker: WorkerKey,
        /// Latest token of the worker.
        token_ms: u64,
    },
    /// Tell a worker to forget attempts that ended.
    Forget {
        /// Worker to call.
        worker: WorkerKey,
        /// Ended attempts.
        attempts: Vec<Attempt>,
    },
    /// Publish the new state of a job.
    JobState {
        /// Id of the job.
        job_id: JobId,
        /// New state.
        state: JobState,
    },
    /// Store the progress of a job; a later version replaces an earlier one.
    Record {
        /// Id of the job.
        job_id: JobId,
        /// Progress to store.
        progress: JobProgress,
    },
}
