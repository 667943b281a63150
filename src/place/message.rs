//! What the placer is told and what it answers, as typed messages.
//!
//! The daemon turns answers and timers into [`Event`]s and carries out each
//! [`Action`]. Workers keep three rules that make a start happen at most once:
//!
//! * A call with an epoch below the highest that the worker has seen is refused as fenced.
//! * A read carries a barrier; a start whose attempt is at or below the highest barrier seen, and
//!   that is not running already, is refused as fenced.
//! * Each report carries a token, the worker's own clock. Starts and renewals carry the latest
//!   token back, and leases run until that token plus the lease time; a start whose lease would be
//!   over is refused as stale.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::spec::{JobSpec, Resources};
use crate::declarations::Declarations;
use crate::inventory::WorkerKey;
use crate::quota::Shares;

/// Name of a job, unique in its zone.
pub type JobId = Arc<str>;

/// One start of a task; unique over all holders of the zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Attempt {
    /// Epoch of the holder that began it.
    pub epoch: u64,
    /// Number within the epoch, from 1.
    pub counter: u64,
}

/// A task by the name of its job and its number.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct TaskId {
    /// Job.
    pub job_id: JobId,
    /// Number within the job, from 0.
    pub index: u32,
}

/// How a task ended by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// With success.
    Finished,
    /// With a failure of its own.
    Failed,
}

/// What a worker says about an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptState {
    /// It runs, throttled or not.
    Running,
    /// It was told to stop and still runs.
    Stopping,
    /// It was stopped on request or its lease lapsed; it does not run and never will.
    Stopped,
    /// It ended by itself.
    Ended(End),
}

/// An attempt in the report of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AttemptReport {
    /// Task.
    pub task: TaskId,
    /// Attempt.
    pub attempt: Attempt,
    /// What became of it.
    pub state: AttemptState,
    /// What the start reserved for it.
    pub reserved: Resources,
    /// What it uses, with a lag; zero when not yet known.
    pub usage: Resources,
    /// Time since it started, in milliseconds.
    pub age_ms: u64,
}

/// All that a worker runs, and what ended there and was not yet forgotten.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WorkerReport {
    /// The worker's own clock, in milliseconds, which starts and renewals carry back.
    pub token_ms: u64,
    /// Highest barrier that the worker has seen.
    pub barrier: Attempt,
    /// The attempts.
    pub attempts: Vec<AttemptReport>,
}

/// Why a worker did not begin a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The worker has seen a higher epoch.
    Fenced,
    /// The barrier or the lease of the start was passed before it arrived.
    Stale,
    /// The worker lacks the room.
    NoRoom,
    /// Another attempt of the task runs there.
    Duplicate,
    /// The worker tried and could not start it.
    Failed,
}

/// How a running attempt is made to give way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopMode {
    /// It goes on with less processor time.
    Throttle,
    /// It keeps its progress and stops.
    Checkpoint,
    /// It stops.
    Stop,
}

/// Why a job will not run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// The specification is not sound.
    Unsound(String),
    /// No worker of the zone, even when empty, has what one task needs.
    TooLarge,
    /// No worker of the zone has the labels that it asks for.
    NoSuchLabels,
    /// The whole zone, even when empty, cannot hold the gang at once.
    GangTooLarge,
    /// The team is not declared.
    UnknownTeam,
    /// The quota of the team is below what the job needs at once.
    OverQuota,
    /// Its tasks failed on too many workers.
    Poison,
}

/// What a caller is told about its job.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Not all tasks were placed yet; none runs.
    Waiting,
    /// At least one task runs.
    Running,
    /// All tasks finished.
    Finished,
    /// It was given up.
    Failed,
    /// It was cancelled, and none of its tasks runs.
    Cancelled,
    /// It will not run.
    Rejected(Rejection),
}

/// What must last of a job beside its specification.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct JobProgress {
    /// Number of the change, from 1.
    pub version: u64,
    /// Finished tasks as ranges of their numbers, the end not included.
    pub finished: Vec<(u32, u32)>,
    /// Whether it was cancelled or given up.
    pub is_cancelled: bool,
    /// The final state, if it is reached.
    pub ended: Option<JobState>,
}

/// Something that the placer is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// Declarations were accepted.
    Declared(Arc<Declarations>),
    /// This process holds the zone under `epoch`; sent again at each renewal of the zone lease.
    Holding {
        /// Epoch, from the revision of the lease record.
        epoch: u64,
        /// Time until which the store grants the zone to this process, in milliseconds.
        confirmed_until_ms: u64,
    },
    /// A higher epoch was seen: this process holds the zone no more.
    Fenced,
    /// A job was recorded and is to be placed.
    Submit {
        /// Job.
        job_id: JobId,
        /// What it asks for.
        spec: Arc<JobSpec>,
    },
    /// A cancellation was asked for.
    Cancel {
        /// Job.
        job_id: JobId,
    },
    /// A service is to have another number of replicas or another specification.
    Replace {
        /// Job.
        job_id: JobId,
        /// What it is to become.
        spec: Arc<JobSpec>,
    },
    /// A job record was read after a takeover.
    Restored {
        /// Job.
        job_id: JobId,
        /// What it asks for.
        spec: Arc<JobSpec>,
        /// What became of it.
        progress: JobProgress,
    },
    /// All job records were read.
    RestoredAll,
    /// The progress of a job is in the store.
    Recorded {
        /// Job.
        job_id: JobId,
        /// Number of the change that is stored.
        version: u64,
    },
    /// A worker reported all that it runs, in answer to a read or a renewal.
    Report {
        /// Worker.
        worker: WorkerKey,
        /// What it said.
        report: WorkerReport,
    },
    /// A worker began an attempt.
    Confirmed {
        /// Attempt.
        attempt: Attempt,
    },
    /// A worker did not begin an attempt and never will.
    Refused {
        /// Attempt.
        attempt: Attempt,
        /// Why.
        refusal: Refusal,
    },
    /// A start got no answer: it may have begun.
    LostReply {
        /// Attempt.
        attempt: Attempt,
    },
    /// An attempt ended by itself.
    Ended {
        /// Attempt.
        attempt: Attempt,
        /// How.
        end: End,
    },
    /// An attempt was stopped on request.
    Stopped {
        /// Attempt.
        attempt: Attempt,
    },
    /// A worker does not answer.
    Silent {
        /// Worker.
        worker: WorkerKey,
    },
    /// The quota shares of this zone changed.
    Quota(Arc<Shares>),
    /// Time passed.
    Tick,
}

/// Something that the daemon is to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Start an attempt on a worker.
    Start {
        /// Worker.
        worker: WorkerKey,
        /// Attempt.
        attempt: Attempt,
        /// Task.
        task: TaskId,
        /// Its job.
        spec: Arc<JobSpec>,
        /// What is reserved for it.
        reserved: Resources,
        /// Latest token of the worker.
        token_ms: u64,
    },
    /// Make an attempt give way.
    Stop {
        /// Worker.
        worker: WorkerKey,
        /// Attempt.
        attempt: Attempt,
        /// How.
        mode: StopMode,
    },
    /// Read all that a worker runs.
    Read {
        /// Worker.
        worker: WorkerKey,
        /// Starts up to this attempt are void at the worker from now on.
        barrier: Attempt,
    },
    /// Renew the leases of all that a worker runs; its answer is a report.
    Renew {
        /// Worker.
        worker: WorkerKey,
        /// Latest token of the worker.
        token_ms: u64,
    },
    /// Let a worker forget attempts that ended.
    Forget {
        /// Worker.
        worker: WorkerKey,
        /// Attempts.
        attempts: Vec<Attempt>,
    },
    /// Tell what became of a job.
    JobState {
        /// Job.
        job_id: JobId,
        /// State.
        state: JobState,
    },
    /// Store the progress of a job; a later version replaces an earlier one.
    Record {
        /// Job.
        job_id: JobId,
        /// Progress.
        progress: JobProgress,
    },
}
