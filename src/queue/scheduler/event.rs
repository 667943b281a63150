//! What the scheduler learns and what it asks for.

use std::sync::Arc;

use bytes::Bytes;

use crate::queue::model::{
    Admission, Directory, JobId, OrderError, RunnerId, RunnerReport, RunnerStatus, StepId,
    Submission, TaskId,
};
use crate::queue::record::{Progress, RosterEntry};
use crate::queue::scheduler::runner::RunnerKey;

/// Something that the scheduler learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// The operator's newest declarations.
    Declared(Arc<Directory>),
    /// A job that is stored.
    Submitted(Submission),
    /// What a former leader stored of a job.
    Progress(JobId, Progress),
    /// A cancellation that is stored.
    Canceled(JobId),
    /// A runner's record as it stands now.
    RunnerListed(RunnerReport),
    /// A runner's record is gone.
    RunnerUnlisted(RunnerId),
    /// A former leader has ordered this runner.
    RosterKnown(RunnerId, String),
    /// A renewal ended.
    Held {
        /// The runner.
        runner: RunnerKey,
        /// When the renewal was sent, in milliseconds.
        sent_ms: u64,
        /// The runner's lists, or why there are none.
        result: Result<RunnerStatus, OrderError>,
    },
    /// An order to start, stop or pace ended.
    Ordered(Ordered),
    /// An order about the pace of a run did not take effect.
    PaceFailed {
        /// The runner.
        runner: RunnerKey,
        /// The task.
        task: TaskId,
    },
    /// A call for advice ended.
    Advised {
        /// The step.
        step: StepId,
        /// Address of the host that made the call.
        helper: Arc<str>,
        /// Runners that were named.
        asked: Vec<RunnerKey>,
        /// When the call was sent, in milliseconds.
        sent_ms: u64,
        /// The runners that may run the step, or nothing when there was no advice.
        result: Option<Vec<Admission>>,
    },
    /// A host is alive and can call for advice.
    HelperSeen {
        /// Its address.
        address: Arc<str>,
    },
    /// The write of progress ended.
    Saved {
        /// Whether it took effect.
        is_stored: bool,
    },
    /// The removal of records ended.
    Forgotten {
        /// Whether it took effect.
        is_removed: bool,
    },
    /// The write of the roster ended.
    RosterSaved {
        /// Whether it took effect.
        is_stored: bool,
    },
    /// The leader's lease certainly holds until then.
    Confirmed {
        /// End of the certainty, in milliseconds.
        until_ms: u64,
    },
    /// Time has passed.
    Tick,
}

/// How an order ended.
#[derive(Clone, Debug)]
pub struct Ordered {
    /// The runner.
    pub runner: RunnerKey,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Whether it was an order to stop.
    pub is_stop: bool,
    /// When it was sent, in milliseconds.
    pub sent_ms: u64,
    /// How it ended.
    pub result: Result<(), OrderError>,
}

/// Something that the scheduler asks for.
#[derive(Clone, Debug)]
pub enum Action {
    /// Order a runner to start a task.
    Start(StartOrder),
    /// Order a runner to stop a run.
    Stop {
        /// The runner.
        runner: RunnerKey,
        /// Its name and address.
        at: (RunnerId, String),
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: u64,
    },
    /// Order a runner to let a run work at a share of its pace.
    Pace {
        /// The runner.
        runner: RunnerKey,
        /// Its name and address.
        at: (RunnerId, String),
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: u64,
        /// Share in percent.
        percent: u32,
    },
    /// Renew the lease at a runner and read its lists.
    Hold(HoldOrder),
    /// Ask which runners may run a step.
    Advise {
        /// The step.
        step: StepId,
        /// Address of the host that makes the call.
        helper: Arc<str>,
        /// Runners to name.
        runners: Vec<(RunnerKey, RunnerId)>,
        /// Expected duration, in milliseconds.
        expected_ms: u64,
    },
    /// Write progress.
    Save(Vec<Save>),
    /// Remove all records of jobs whose state need not be told any more.
    Forget(Vec<JobId>),
    /// Write the runners that may get orders.
    SaveRoster(Vec<RosterEntry>),
}

/// One record to write.
#[derive(Clone, Debug)]
pub struct Save {
    /// The job.
    pub job: JobId,
    /// Its progress.
    pub progress: Progress,
}

/// An order to start a task.
#[derive(Clone, Debug)]
pub struct StartOrder {
    /// The runner.
    pub runner: RunnerKey,
    /// Its name and address.
    pub at: (RunnerId, String),
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Text of the job.
    pub spec: Bytes,
    /// End of the lease on the runner's clock, in milliseconds.
    pub until_ms: u64,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: Bytes,
    /// Ticket that admits the step.
    pub ticket: Option<String>,
}

/// A renewal.
#[derive(Clone, Debug)]
pub struct HoldOrder {
    /// The runner.
    pub runner: RunnerKey,
    /// Its name and address.
    pub at: (RunnerId, String),
    /// End of the lease on the runner's clock, in milliseconds.
    pub until_ms: Option<u64>,
    /// Number of the last end that may be forgotten.
    pub acknowledged: u64,
    /// Time to wait for an end, in milliseconds.
    pub wait_ms: u64,
}
