//! What callers submit, what operators declare and what runners report, in our own words.

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::place::spec::Resources;

/// A job, named by its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct JobId(pub u64);

impl JobId {
    /// Reads sixteen hexadecimal digits.
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

/// One step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// Which repetition of the job, from 0.
    pub occurrence: u32,
    /// Position of the step in the job, from 0.
    pub step: u32,
}

impl fmt::Display for StepId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// One task of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The step.
    pub step: StepId,
    /// Position of the task in the step, from 0.
    pub index: u32,
}

impl TaskId {
    /// Reads `job.occurrence.step.index`.
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

/// A step as its caller describes it.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources of each task.
    pub need: Resources,
    /// Rough duration of a task, in milliseconds.
    pub estimate_ms: u64,
    /// Earlier steps that must be done first.
    pub after: Vec<u32>,
    /// The tasks save checkpoints.
    pub saves: bool,
    /// The tasks only work together.
    pub is_gang: bool,
    /// The tasks run slower on more than one rack.
    pub same_rack: bool,
    /// Label that a runner must have.
    pub label: Option<String>,
    /// Rack that holds the data.
    pub data_rack: Option<String>,
    /// Most tasks of the step on one runner; 0 for no limit.
    pub max_per_runner: u32,
    /// Copies may run in parallel.
    pub may_copy: bool,
    /// The tasks run until the job is cancelled.
    pub is_lasting: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<String>,
    /// Bound for the tail of the response times of a lasting task, in milliseconds; 0 for none.
    pub target_ms: u64,
    /// The tasks use processor time that others leave.
    pub fills: bool,
    /// Tasks of a lasting step that may be unavailable at once through our own actions.
    pub may_miss: u32,
}

impl Step {
    /// Resources that a task takes from the capacity of its runner.
    pub fn room(&self) -> Resources {
        let cpu_millis = if self.fills { 0 } else { self.need.cpu_millis };
        Resources { cpu_millis, ..self.need }
    }
}

/// A job as its caller sends it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Submission {
    /// Name that the caller chose.
    pub id: JobId,
    /// Name of the queue.
    pub queue: String,
    /// Text that the runners get with each task.
    pub spec: Bytes,
    /// The steps.
    pub steps: Vec<Step>,
    /// When the job was accepted, in Unix milliseconds of the accepting host.
    pub accepted_unix_ms: u64,
}

/// Policy of a queue about which runners may run a step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdvicePolicy {
    /// Time that a call for advice takes, in milliseconds.
    pub decide_ms: f64,
    /// Time that each runner in the call adds, in milliseconds.
    pub each_ms: f64,
    /// Time for which a ticket can be used, in milliseconds.
    pub valid_ms: u64,
}

/// A queue, as the operator declares it.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name.
    pub name: String,
    /// Host name by which callers reach it.
    pub host: String,
    /// Path prefix by which callers reach it.
    pub prefix: String,
    /// Service whose runners run its tasks.
    pub service: String,
    /// 0 comes first.
    pub priority: u32,
    /// Failures of one task after which its job has failed.
    pub max_attempts: u32,
    /// Factor on the work of a job in its objective.
    pub stretch: f64,
    /// Fixed part of the objective of a job, in milliseconds.
    pub target_latency_ms: u64,
    /// Policy that asks for advice, if there is one.
    pub advice: Option<AdvicePolicy>,
}

/// Everything that the operator has declared.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Directory {
    /// Version of the declaration; 0 before the first.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// Longest body of a request, in bytes.
    pub max_body_bytes: u64,
}

impl Directory {
    /// The queue with the longest prefix that `path` begins with.
    pub fn queue_at(&self, host: &str, path: &str) -> Option<&Queue> {
        let matching = self.queues.iter().filter(|queue| queue.host.eq_ignore_ascii_case(host));
        matching
            .filter(|queue| path.starts_with(queue.prefix.as_str()))
            .max_by_key(|queue| queue.prefix.len())
    }

    /// The queue of this name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }
}

/// Name of a runner; cheap to copy around.
pub type RunnerId = Arc<str>;

/// What a runner says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerReport {
    /// Name, which a later life of the runner may have again.
    pub id: RunnerId,
    /// Address, `IP:port`.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Service that it belongs to.
    pub service: String,
    /// It leaves soon and takes nothing new.
    pub is_draining: bool,
    /// Shortest time until it leaves, in milliseconds, while it drains.
    pub leaves_in_ms: Option<u64>,
    /// Kind and rack.
    pub labels: Vec<String>,
    /// Resources that it has.
    pub capacity: Resources,
    /// Start of this life, in Unix milliseconds.
    pub born_unix_ms: u64,
}

/// State of a job as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// Some task has started.
    Active,
    /// All tasks have ended as done.
    Completed,
    /// A task has failed as often as it may.
    Failed,
    /// The caller has cancelled it.
    Canceled,
}

impl JobState {
    /// Whether the job will not change any more.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Canceled)
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// It is done.
    Done,
    /// It failed, through its own fault or the runner's.
    Failed,
    /// It was stopped on order.
    Stopped,
    /// Its lease ended.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited in vain for the other members of its gang.
    Alone,
}

/// A task that a runner lists as running.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Last checkpoint; empty for none.
    pub checkpoint: Bytes,
    /// Progress in percent; a lasting task is at work at 100.
    pub percent: f64,
    /// Tail of the response times of a serving task in milliseconds, else processor use.
    pub load: f64,
}

/// A run that a runner lists as ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedRun {
    /// Position in the runner's list of ends, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// How it ended.
    pub end: RunEnd,
    /// Last checkpoint; empty for none.
    pub checkpoint: Bytes,
}

/// A runner's whole answer to a renewal.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerStatus {
    /// Start of the runner's life, in Unix milliseconds.
    pub born_unix_ms: u64,
    /// The runner's own steady clock, in milliseconds.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<RunningTask>,
    /// Ends after the one that was acknowledged last.
    pub ended: Vec<EndedRun>,
}

/// A runner that may run a step, with the ticket that proves it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Admission {
    /// The runner.
    pub runner: String,
    /// The ticket.
    pub ticket: String,
}

/// Why a runner did not carry out an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderError {
    /// The order never left.
    NotSent,
    /// No answer; the order may be carried out, also later.
    Unanswered,
    /// A higher fencing token is in force at the runner.
    Fenced,
    /// A run as high was stopped or has ended there.
    Old,
    /// The lease in the order has passed.
    Late,
    /// The runner has no room.
    NoRoom,
    /// The ticket does not hold.
    Ticket,
    /// Another life of the runner answered.
    OtherLife,
    /// The runner is unhealthy and did nothing.
    Unhealthy,
    /// The runner does not understand the order.
    Invalid,
}
