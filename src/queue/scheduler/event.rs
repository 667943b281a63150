//! Inputs and outputs of the scheduler.

use std::sync::Arc;

use bytes::Bytes;

use crate::queue::model::{
    Admission, JobId, OrderError, QueueDirectory, RunnerId, RunnerReport, RunnerStatus, StepId,
    Submission, TaskId,
};
use crate::queue::record::{Progress, RosterEntry};
use crate::queue::scheduler::persistence::WriteKey;
use crate::queue::scheduler::runner::RunnerKey;

/// Input of the scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// The operator's queue declarations were read or have changed.
    DirectoryUpdated(Arc<QueueDirectory>),
    /// A submission is in the store.
    JobSubmitted(Submission),
    /// A submission was read from the store when the term began.
    JobLoaded(Submission),
    /// Progress of a job that a previous leader stored.
    ProgressLoaded(JobId, Progress),
    /// A cancellation is in the store.
    JobCanceled(JobId),
    /// The read of an [`Action::ReadJobs`] has finished. The submissions that it found were passed on
    /// before as [`Event::JobSubmitted`].
    JobsRead {
        /// Jobs that have no record, or none that can be decoded.
        absent: Vec<JobId>,
    },
    /// A runner has published or changed its record.
    RunnerListed(RunnerReport),
    /// A runner's record was removed from the store.
    RunnerUnlisted(RunnerId),
    /// A runner to which a previous leader may have sent orders.
    RosterEntryLoaded(RosterEntry),
    /// A lease renewal was answered or has failed.
    RenewalFinished {
        /// Runner that the renewal was sent to.
        runner: RunnerKey,
        /// Time at which the renewal was sent, in milliseconds.
        sent_ms: u64,
        /// Running and ended runs of the runner, or why the renewal failed.
        result: Result<RunnerStatus, OrderError>,
    },
    /// An order to start or to stop a run was answered or has failed.
    OrderFinished(OrderResult),
    /// An order to change the pace of a run has failed.
    PaceFailed {
        /// Runner that the order was sent to.
        runner: RunnerKey,
        /// Task whose pace was to change.
        task: TaskId,
    },
    /// A call to the advice service was answered or has failed.
    AdviceFinished {
        /// Step that the call was about.
        step: StepId,
        /// Peer address of the host that made the call.
        advice_host: Arc<str>,
        /// Runners that the call named.
        asked: Vec<RunnerKey>,
        /// Time at which the call was sent, in milliseconds.
        sent_ms: u64,
        /// Runners that may run the step; `None` if the call failed.
        result: Option<Vec<Admission>>,
    },
    /// A heartbeat arrived from a host that can call the advice service.
    AdviceHostSeen {
        /// Peer address of the host.
        address: Arc<str>,
    },
    /// The write of an [`Action::SaveProgress`] has finished.
    ProgressSaved {
        /// Write of the action.
        write: WriteKey,
        /// Whether the records are in the store.
        is_stored: bool,
    },
    /// The removal of an [`Action::RemoveRecords`] has finished.
    RecordsRemoved {
        /// Whether the records are gone from the store.
        is_removed: bool,
    },
    /// The write of an [`Action::SaveRoster`] has finished.
    RosterSaved {
        /// Whether the roster is in the store.
        is_stored: bool,
    },
    /// The term of a former leader is known to have ended.
    FormerTermEnded {
        /// Nonce in the record of the former leader.
        nonce: u64,
        /// Latest time at which it may have sent an order, in milliseconds.
        ordered_ms: u64,
    },
    /// The write of an [`Action::SettleTerms`] has finished.
    TermsSettled {
        /// Whether the store names this term only.
        is_stored: bool,
    },
    /// The leader's lease is known to hold until a later time.
    LeaderLeaseConfirmed {
        /// Time until which the lease certainly holds, in milliseconds.
        until_ms: u64,
    },
    /// Time has passed without another event.
    Tick,
}

/// Outcome of an order to start or to stop a run.
#[derive(Clone, Debug)]
pub struct OrderResult {
    /// Runner that the order was sent to.
    pub runner: RunnerKey,
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Whether the order was to stop the run, rather than to start it.
    pub is_stop: bool,
    /// Time at which the order was sent, in milliseconds.
    pub sent_ms: u64,
    /// The runner's clock in its answer to a start order, in milliseconds.
    pub clock_ms: Option<u64>,
    /// Whether the runner accepted the order, or why not.
    pub result: Result<(), OrderError>,
}

/// Output of the scheduler: an operation for the leader to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Order a runner to start a run.
    Start(StartOrder),
    /// Order a runner to stop a run.
    Stop {
        /// Runner to order.
        runner: RunnerKey,
        /// Name and address of the runner.
        target: (RunnerId, String),
        /// Fencing token of the order.
        token: u64,
        /// Task of the run.
        task: TaskId,
        /// Number of the run.
        run: u64,
    },
    /// Order a runner to change the pace of a best-effort run.
    Pace {
        /// Runner to order.
        runner: RunnerKey,
        /// Name and address of the runner.
        target: (RunnerId, String),
        /// Fencing token of the order.
        token: u64,
        /// Task of the run.
        task: TaskId,
        /// Number of the run.
        run: u64,
        /// Share of its full pace at which the run works, in percent; 0 pauses it.
        percent: u32,
    },
    /// Renew the lease at a runner and read its running and ended runs.
    RenewLease(RenewalOrder),
    /// Ask the advice service which runners may run a step.
    RequestAdvice {
        /// Step to ask about.
        step: StepId,
        /// Peer address of the host that makes the call.
        advice_host: Arc<str>,
        /// Runners to name in the call.
        runners: Vec<(RunnerKey, RunnerId)>,
        /// Expected duration of the call, in milliseconds.
        expected_ms: u64,
    },
    /// Write the progress of jobs to the store; answered by [`Event::ProgressSaved`].
    SaveProgress {
        /// Identifies the write; several may be in flight.
        write: WriteKey,
        /// Records to write, each of another job.
        records: Vec<ProgressWrite>,
    },
    /// Read the submissions of these jobs, of which the scheduler knows only the progress or runs;
    /// answered by [`Event::JobsRead`].
    ReadJobs(Vec<JobId>),
    /// Remove all records of these jobs, whose retention time is over; answered by
    /// [`Event::RecordsRemoved`].
    RemoveRecords(Vec<JobId>),
    /// Write the roster, which names all runners that may get orders; answered by
    /// [`Event::RosterSaved`].
    SaveRoster(Vec<RosterEntry>),
    /// Remove former terms from the stored ones, since their orders no longer have any effect;
    /// answered by [`Event::TermsSettled`].
    SettleTerms,
}

/// A progress record to write.
#[derive(Clone, Debug)]
pub struct ProgressWrite {
    /// Job that the record belongs to.
    pub job: JobId,
    /// New content of the record.
    pub progress: Progress,
}

/// An order to start a run of a task.
#[derive(Clone, Debug)]
pub struct StartOrder {
    /// Runner to order.
    pub runner: RunnerKey,
    /// Name and address of the runner.
    pub target: (RunnerId, String),
    /// Fencing token of the order.
    pub token: u64,
    /// Task to run.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Specification of the job, as submitted.
    pub spec: Bytes,
    /// Time at which the run's lease expires, on the runner's clock in milliseconds.
    pub until_ms: u64,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: Bytes,
    /// Ticket of the advice service; `None` if the queue has no admission policy.
    pub ticket: Option<String>,
}

/// A lease renewal for all runs at a runner.
#[derive(Clone, Debug)]
pub struct RenewalOrder {
    /// Runner to order.
    pub runner: RunnerKey,
    /// Name and address of the runner.
    pub target: (RunnerId, String),
    /// Fencing token of the order.
    pub token: u64,
    /// Time at which the lease expires, on the runner's clock in milliseconds; `None` reads the
    /// runner's status without a renewal.
    pub until_ms: Option<u64>,
    /// Number of the last ended run that the runner may discard.
    pub acknowledged: u64,
    /// Maximum time for which the runner delays its answer until a run ends, in milliseconds.
    pub wait_ms: u64,
}
