//! Domain types of the job queue: submitted jobs, queue declarations and runner reports.
//!
//! They don't depend on the wire formats of the platform, which `platform` converts to and from them.

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::place::spec::Resources;
use crate::queue::workspaces::{WorkspaceName, Workspaces};

/// Identifier of a job, chosen by its caller and written as sixteen hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct JobId(pub u64);

impl JobId {
    /// Parses sixteen lowercase hexadecimal digits; `None` for any other text.
    ///
    /// ```
    /// use hemlockrock::queue::model::JobId;
    ///
    /// let id = JobId::parse("5c0e7a21d94b36f8").unwrap();
    /// assert_eq!(id.to_string(), "5c0e7a21d94b36f8");
    /// assert!(JobId::parse("5C0E7A21D94B36F8").is_none());
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        const DIGITS: usize = 16;
        let is_hex = text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        if text.len() != DIGITS || !is_hex {
            return None;
        }
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Identifies one step of one occurrence of a job; written as `job.occurrence.step`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepId {
    /// Job that the step belongs to.
    pub job: JobId,
    /// Repetition of the job, counted from 0.
    pub occurrence: u32,
    /// Position of the step in the job, from 0.
    pub step: u32,
}

impl fmt::Display for StepId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Identifies one task of a step; written as `job.occurrence.step.index`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Step that the task belongs to.
    pub step: StepId,
    /// Position of the task in the step, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses `job.occurrence.step.index`; `None` for any other text.
    ///
    /// ```
    /// use hemlockrock::queue::model::TaskId;
    ///
    /// let task = TaskId::parse("5c0e7a21d94b36f8.0.1.17").unwrap();
    /// assert_eq!((task.step.step, task.index), (1, 17));
    /// assert_eq!(task.to_string(), "5c0e7a21d94b36f8.0.1.17");
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        let job = JobId::parse(parts.next()?)?;
        let occurrence = parts.next()?.parse().ok()?;
        let step = parts.next()?.parse().ok()?;
        let index = parts.next()?.parse().ok()?;
        parts.next().is_none().then_some(Self { step: StepId { job, occurrence, step }, index })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.step, self.index)
    }
}

/// A step of a job: a number of equal tasks, as the caller describes it.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub need: Resources,
    /// Estimated duration of a task, in milliseconds.
    pub estimate_ms: u64,
    /// Positions of the steps that must complete before this one starts.
    pub after: Vec<u32>,
    /// The tasks save checkpoints, from which a later run can resume.
    #[serde(rename = "saves")]
    pub is_checkpointing: bool,
    /// All tasks must run at the same time; if one run ends, the others end too.
    pub is_gang: bool,
    /// The tasks run slower when they are spread over more than one rack.
    pub same_rack: bool,
    /// Label that a runner must have; `None` if any runner will do.
    pub label: Option<String>,
    /// Rack that holds the input data and is preferred; `None` for no preference.
    pub data_rack: Option<String>,
    /// Maximum number of tasks of the step on one runner; 0 for no limit.
    pub max_per_runner: u32,
    /// Several runs of one task may overlap (speculative execution).
    pub may_copy: bool,
    /// The tasks run until the job is cancelled.
    #[serde(rename = "is_lasting")]
    pub is_long_running: bool,
    /// Image that the tasks run; `None` if the caller names none.
    ///
    /// Tasks of one image behave alike.
    pub image: Option<String>,
    /// Target for the tail latency of a long-running task, in milliseconds; 0 for none.
    ///
    /// A task with a target is latency-sensitive.
    pub target_ms: u64,
    /// The tasks are best-effort: they only use processor time that other tasks leave idle.
    #[serde(rename = "fills")]
    pub is_best_effort: bool,
    /// Maximum number of tasks of a long-running step that the scheduler may make unavailable at
    /// the same time by its own actions.
    #[serde(rename = "may_miss")]
    pub max_unavailable: u32,
}

impl Step {
    /// Resources that a task reserves on its runner; a best-effort task reserves no processor.
    pub fn reservation(&self) -> Resources {
        let cpu_millis = if self.is_best_effort { 0 } else { self.need.cpu_millis };
        Resources { cpu_millis, ..self.need }
    }
}

/// A job as its caller submitted it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Submission {
    /// Identifier that the caller chose.
    pub id: JobId,
    /// Name of the queue that the job was submitted to.
    pub queue: String,
    /// Opaque specification that is passed to the runner with each task.
    pub spec: Bytes,
    /// Steps of the job; they refer to each other by position.
    pub steps: Vec<Step>,
    /// Time at which the job was accepted, in Unix milliseconds by the clock of the accepting host.
    pub accepted_unix_ms: u64,
    /// Workspace that the job belongs to; `None` if its queue is public or the deployment has no
    /// workspaces.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<WorkspaceName>,
    /// What the queue declared about its jobs when this one was accepted; `None` if the accepting host
    /// did not record it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub terms: Option<Arc<QueueTerms>>,
}

/// How a queue's admission policy is consulted.
///
/// For a queue that has one, the advice service decides which runners may run a step and issues a
/// ticket for each. The duration of a call is estimated from its number of runners.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AdvicePolicy {
    /// Fixed part of the duration of a call, in milliseconds.
    pub base_ms: f64,
    /// Duration that each runner in a call adds, in milliseconds.
    pub per_runner_ms: f64,
    /// Validity of a ticket, in milliseconds.
    pub valid_ms: u64,
}

/// A job queue, as the operator declares it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queue {
    /// Name of the queue.
    pub name: String,
    /// Host name in the requests of callers, compared without regard to case.
    pub host: String,
    /// Path prefix in the requests of callers.
    pub prefix: String,
    /// Service whose runners run the tasks of the queue.
    pub service: String,
    /// Scheduling priority; 0 is the most urgent.
    pub priority: u32,
    /// Number of failed runs of one task after which its job fails.
    pub max_attempts: u32,
    /// Multiplier of a job's estimated work in its latency objective; values below 1 count as 1.
    pub stretch: f64,
    /// Constant added to a job's latency objective, in milliseconds.
    pub target_latency_ms: u64,
    /// Admission policy; `None` if any runner of the service may run the tasks.
    pub advice: Option<AdvicePolicy>,
    /// Callers need no API key, and the jobs belong to no workspace.
    pub is_public: bool,
}

impl Queue {
    /// What the queue declares about its jobs in this version of the declaration.
    ///
    /// ```
    /// use hemlockrock::queue::model::Queue;
    ///
    /// let queue = Queue { service: "batch".to_owned(), max_attempts: 4, ..Queue::default() };
    /// let terms = queue.terms(7);
    /// assert_eq!((terms.version, terms.service.as_str(), terms.max_attempts), (7, "batch", 4));
    /// ```
    pub fn terms(&self, version: u64) -> QueueTerms {
        QueueTerms {
            version,
            service: self.service.clone(),
            priority: self.priority,
            max_attempts: self.max_attempts,
            stretch: self.stretch,
            target_latency_ms: self.target_latency_ms,
            advice: self.advice,
        }
    }
}

/// What a queue declares about its jobs.
///
/// It is recorded with each job, since the leader may learn of the job before it learns of the queue,
/// and the queue may be removed while its jobs are in progress.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct QueueTerms {
    /// Version of the declaration.
    pub version: u64,
    /// Service whose runners run the tasks.
    pub service: String,
    /// Scheduling priority; 0 is the most urgent.
    pub priority: u32,
    /// Number of failed runs of one task after which its job fails.
    pub max_attempts: u32,
    /// Multiplier of a job's estimated work in its latency objective; values below 1 count as 1.
    pub stretch: f64,
    /// Constant added to a job's latency objective, in milliseconds.
    pub target_latency_ms: u64,
    /// Admission policy; `None` if any runner of the service may run the tasks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advice: Option<AdvicePolicy>,
}

impl QueueTerms {
    /// Time that the latency objective allows for a job with `work_ms` of work after each other, in
    /// milliseconds.
    ///
    /// ```
    /// use hemlockrock::queue::model::Queue;
    ///
    /// let queue = Queue { stretch: 2.0, target_latency_ms: 500, ..Queue::default() };
    /// assert_eq!(queue.terms(1).allowed_ms(1_000), 2_500);
    /// ```
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "an objective in milliseconds"
    )]
    pub fn allowed_ms(&self, work_ms: u64) -> u64 {
        let stretched_ms = (work_ms as f64 * self.stretch.max(1.0)) as u64;
        stretched_ms.saturating_add(self.target_latency_ms)
    }
}

/// All queues that the operator has declared.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueDirectory {
    /// Version of the declaration; 0 before the first one was read.
    pub version: u64,
    /// Declared queues.
    pub queues: Vec<Queue>,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Workspaces that share the runners; `None` if the deployment has none, and callers need no key.
    pub workspaces: Option<Workspaces>,
}

impl QueueDirectory {
    /// Finds the queue of a request: of the queues of `host`, the one with the longest prefix of
    /// `path`.
    pub fn queue_at(&self, host: &str, path: &str) -> Option<&Queue> {
        let matching = self.queues.iter().filter(|queue| queue.host.eq_ignore_ascii_case(host));
        matching
            .filter(|queue| path.starts_with(queue.prefix.as_str()))
            .max_by_key(|queue| queue.prefix.len())
    }

    /// Finds a queue by its name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }
}

/// Name of a runner; cheap to clone.
pub type RunnerId = Arc<str>;

/// Record that a runner publishes about itself in the platform's store.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerReport {
    /// Name of the runner; it can stay the same after a restart.
    pub id: RunnerId,
    /// Address for orders, `IP:port`.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Service that the runner belongs to.
    pub service: String,
    /// The runner is about to leave and accepts no new tasks.
    pub is_draining: bool,
    /// Minimum time until the runner leaves, in milliseconds; `None` if it is not draining.
    pub leaves_in_ms: Option<u64>,
    /// Labels, among them the kind and the rack of the runner.
    pub labels: Vec<String>,
    /// Total resources of the runner.
    pub capacity: Resources,
    /// Start time of the runner's process, in Unix milliseconds; identifies its incarnation.
    pub started_unix_ms: u64,
}

/// Largest capacity of a runner: sums over many runs stay far below the range of the amounts.
const MAX_CAPACITY: Resources = Resources::new(1_000_000_000, 1 << 50, 1_000_000);

impl RunnerReport {
    /// Returns the report if a runner with these figures can be used.
    ///
    /// # Errors
    /// Says which figure is out of range: the capacity, or the port of the address.
    ///
    /// ```
    /// use hemlockrock::place::spec::Resources;
    /// use hemlockrock::queue::model::{RunnerId, RunnerReport};
    ///
    /// let report = RunnerReport {
    ///     id: RunnerId::from("r-1"),
    ///     address: "10.0.0.7:8160".to_owned(),
    ///     zone: "a".to_owned(),
    ///     service: "judge".to_owned(),
    ///     is_draining: false,
    ///     leaves_in_ms: None,
    ///     labels: Vec::new(),
    ///     capacity: Resources::new(16_000, 32 << 30, 0),
    ///     started_unix_ms: 1,
    /// };
    /// assert!(report.clone().validated().is_ok());
    /// let capacity = Resources::new(u64::MAX, 32 << 30, 0);
    /// assert!(RunnerReport { capacity, ..report }.validated().is_err());
    /// ```
    pub fn validated(self) -> Result<Self, String> {
        if !self.capacity.fits(MAX_CAPACITY) {
            return Err(format!("the capacity is out of range: {:?}", self.capacity));
        }
        if self.address.ends_with(":0") {
            return Err(format!("the address has no port: {}", self.address));
        }
        Ok(self)
    }
}

/// State of a job as it is reported to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum JobState {
    /// Accepted; no task has started.
    Queued,
    /// At least one task has started.
    Active,
    /// All tasks have completed.
    Completed,
    /// A task has failed as often as its queue allows.
    Failed,
    /// The caller has cancelled the job.
    Canceled,
}

impl JobState {
    /// Whether the state can no longer change.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Canceled)
    }
}

/// How a run of a task ended, as its runner reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The task completed.
    Done,
    /// The run failed, because of the task or of the runner.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The runner stopped the run because its lease expired.
    Lapsed,
    /// The run ended because another member of its gang ended.
    Broken,
    /// The run ended because the other members of its gang did not join in time.
    Alone,
}

/// A run that a runner reports as running.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningTask {
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Last checkpoint; empty for none.
    pub checkpoint: Bytes,
    /// Progress in percent; a long-running task reports 100 while it works.
    pub percent: f64,
    /// Tail latency in milliseconds for a latency-sensitive task, processor use for any other.
    pub load: f64,
}

/// A run that a runner reports as ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedRun {
    /// Sequence number in the runner's list of ended runs, from 1.
    pub number: u64,
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// How the run ended.
    pub end: RunEnd,
    /// Last checkpoint; empty for none.
    pub checkpoint: Bytes,
}

/// A runner's answer to a lease renewal.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerStatus {
    /// Start time of the runner's process, in Unix milliseconds; identifies its incarnation.
    pub started_unix_ms: u64,
    /// The runner's monotonic clock, in milliseconds.
    pub clock_ms: u64,
    /// Runs that are in progress.
    pub running: Vec<RunningTask>,
    /// Ended runs that have not been acknowledged yet, in the order of their numbers.
    pub ended: Vec<EndedRun>,
}

/// Permission of the advice service for a runner to run a step.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Admission {
    /// Name of the runner.
    pub runner: String,
    /// Ticket that the runner checks when a task is started.
    pub ticket: String,
}

/// Why an order to a runner failed.
///
/// The variant names are label values of the metric `queue_orders_total`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderError {
    /// The order was not sent.
    NotSent,
    /// The order was sent but not answered; it may take effect, even later.
    Unanswered,
    /// The runner has seen a higher fencing token.
    Fenced,
    /// A run of the task with the same or a higher number has been stopped or has ended there.
    Old,
    /// The lease in the order has already expired.
    Late,
    /// The runner lacks free resources.
    NoRoom,
    /// The ticket is invalid or has expired.
    Ticket,
    /// Another incarnation of the runner answered.
    OtherLife,
    /// The runner is unhealthy and did not carry out the order.
    Unhealthy,
    /// The runner rejected the order as malformed.
    Invalid,
}
