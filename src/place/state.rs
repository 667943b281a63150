//! In-memory records of jobs, tasks and workers.

use std::collections::VecDeque;
use std::sync::Arc;

use slotmap::new_key_type;

use super::index::Row;
use super::lifecycle::{TaskState, WorkerState};
use super::message::{Attempt, JobId, JobState, TaskId};
use super::queue::TeamKey;
use super::rules::JobRules;
use super::spec::{JobSpec, Resources};
use crate::inventory::WorkerKey;

new_key_type! {
    /// Key of a job in the placer's memory.
    pub struct JobKey;
    /// Key of a task in the placer's memory.
    pub struct TaskKey;
}

/// A task of a job and, while it is placed, its reservation.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) job: JobKey,
    pub(crate) index: u32,
    pub(crate) state: TaskState,
    /// Latest attempt; the default value before the first start.
    pub(crate) attempt: Attempt,
    /// Worker of the latest attempt; a null key before the first start.
    pub(crate) worker: WorkerKey,
    /// Resources reserved for the latest attempt.
    pub(crate) reserved: Resources,
    /// Time at which the state was entered, in milliseconds.
    pub(crate) since_ms: u64,
    /// Consecutive failures that were not attributed to the worker.
    pub(crate) failures: u8,
    /// Whether the worker was told to throttle the task.
    pub(crate) is_throttled: bool,
    /// Generation of the job specification that the task was started with.
    pub(crate) generation: u32,
    /// Whether the task is a replica beyond the wanted number, which ends once it has stopped.
    pub(crate) is_surplus: bool,
    /// Worker and id of an earlier attempt that turned out to have finished. The task is finished
    /// once its current attempt has stopped.
    pub(crate) finished_attempt: Option<(WorkerKey, Attempt)>,
}

/// A job, its tasks and counts of them by state.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) spec: Arc<JobSpec>,
    /// Arrival order of the job.
    pub(crate) sequence: u64,
    pub(crate) tasks: Vec<TaskKey>,
    /// Tasks in the order in which they began to wait; entries that no longer wait are skipped.
    pub(crate) waiting: VecDeque<TaskKey>,
    pub(crate) waiting_count: u32,
    /// Tasks with a reservation on a worker.
    pub(crate) placed_count: u32,
    /// Tasks in state running or stopping.
    pub(crate) running_count: u32,
    /// Tasks in state stopping.
    pub(crate) stopping_count: u32,
    pub(crate) finished_count: u32,
    pub(crate) team: TeamKey,
    /// Effects of the placement rules on the job.
    pub(crate) rules: JobRules,
    /// Version of the specification, from 0; raised when a service gets another one.
    pub(crate) generation: u32,
    /// Workers on which a task failed since the last success; the job avoids them.
    pub(crate) failed_workers: Vec<WorkerKey>,
    /// Time before which the job is not placed, in milliseconds; set by the backoff.
    pub(crate) not_before_ms: u64,
    /// Waiting tasks for which other tasks are being preempted.
    pub(crate) nominated: Vec<TaskKey>,
    pub(crate) state: JobState,
    pub(crate) is_cancelled: bool,
    /// Whether the job failed too often; its running tasks are stopped.
    pub(crate) is_given_up: bool,
    /// Whether the job was restored from the store at a takeover, so that its tasks may run on
    /// workers that were not yet read.
    pub(crate) is_restored: bool,
    /// Version of the progress, raised by each change.
    pub(crate) version: u64,
    /// Whether the progress changed since it was last emitted.
    pub(crate) is_dirty: bool,
    /// Finished attempts that their workers must not forget until the progress is stored.
    pub(crate) retained_attempts: Vec<RetainedAttempt>,
}

impl Task {
    pub(crate) fn new(job: JobKey, index: u32, state: TaskState, now_ms: u64) -> Self {
        Self {
            job,
            index,
            state,
            attempt: Attempt::default(),
            worker: WorkerKey::default(),
            reserved: Resources::default(),
            since_ms: now_ms,
            failures: 0,
            is_throttled: false,
            generation: 0,
            is_surplus: false,
            finished_attempt: None,
        }
    }
}

impl Job {
    /// Adds a new task in a state without a reservation.
    pub(crate) fn add(&mut self, task: TaskKey, state: TaskState) {
        self.tasks.push(task);
        match state {
            TaskState::Waiting => {
                self.waiting.push_back(task);
                self.waiting_count += 1;
            }
            TaskState::Finished => self.finished_count += 1,
            _ => {}
        }
    }

    /// Returns whether no label, rule or earlier failure restricts the workers of the job.
    pub(crate) fn is_unconstrained(&self) -> bool {
        self.spec.constraints.is_empty()
            && self.rules.anti_affinity.is_empty()
            && self.failed_workers.is_empty()
    }
}

/// A finished attempt that its worker must not forget until the progress is stored.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetainedAttempt {
    /// Version of the progress that includes the finished task.
    pub(crate) version: u64,
    pub(crate) worker: WorkerKey,
    pub(crate) attempt: Attempt,
}

/// A running attempt that a worker reported and that belongs to no known task.
#[derive(Clone, Debug)]
pub(crate) struct Orphan {
    pub(crate) worker: WorkerKey,
    pub(crate) task: TaskId,
    pub(crate) reserved: Resources,
    /// Team charged for the reservation; `None` until the job is known.
    pub(crate) team: Option<TeamKey>,
}

/// The placer's state of one worker.
#[derive(Clone, Debug)]
pub(crate) struct WorkerView {
    pub(crate) state: WorkerState,
    pub(crate) capacity: Resources,
    pub(crate) reserved: Resources,
    /// Part of `reserved` that belongs to tasks being stopped.
    pub(crate) stopping: Resources,
    /// Resources promised to waiting tasks for which others are being preempted here.
    pub(crate) nominated: Resources,
    /// Resources taken by a gang while its placement is being computed.
    pub(crate) tentative: Resources,
    /// Position of the worker in the room index.
    pub(crate) row: Row,
    /// Number of tasks on the worker for each anti-affinity side.
    pub(crate) anti_affinity: Vec<u32>,
    /// Jobs that failed on the worker since its last success.
    pub(crate) failed_jobs: Vec<JobKey>,
    /// Time before which the worker, on probation, gets no task, in milliseconds; 0 if none is set.
    pub(crate) not_before_ms: u64,
    /// Times that the failure limit was reached since the last success; each lengthens the
    /// backoff.
    pub(crate) probation_failures: u32,
    pub(crate) tasks: Vec<TaskKey>,
    pub(crate) orphans: Vec<Attempt>,
    /// Latest clock reading of the worker, echoed in starts and renewals.
    pub(crate) token_ms: u64,
    /// Time at which the token was received, in milliseconds.
    pub(crate) token_at_ms: u64,
    /// Time after which no lease on the worker can last, in milliseconds; `None` until the placer
    /// sends it a start or a renewal.
    pub(crate) leases_end_ms: Option<u64>,
    /// Time of the last report, in milliseconds.
    pub(crate) last_report_ms: u64,
    /// Time of the oldest call without a response, in milliseconds.
    pub(crate) oldest_call_ms: Option<u64>,
    /// Time at which the oldest call answered by the last report was sent, in milliseconds. At
    /// that time the worker had not yet accepted a higher epoch.
    pub(crate) epoch_accepted_ms: u64,
    /// Time at which the next read or renewal is due, in milliseconds.
    pub(crate) next_call_ms: u64,
    /// Whether the worker was read under the current epoch.
    pub(crate) was_read: bool,
    /// Barrier that a report must cover before the worker gets tasks again, set when what it
    /// runs became uncertain; `None` otherwise.
    pub(crate) required_barrier: Option<Attempt>,
}

impl WorkerView {
    pub(crate) fn new(row: Row, capacity: Resources, side_count: usize, now_ms: u64) -> Self {
        Self {
            state: WorkerState::Unread,
            capacity,
            reserved: Resources::default(),
            stopping: Resources::default(),
            nominated: Resources::default(),
            tentative: Resources::default(),
            row,
            anti_affinity: vec![0; side_count],
            failed_jobs: Vec::new(),
            not_before_ms: 0,
            probation_failures: 0,
            tasks: Vec::new(),
            orphans: Vec::new(),
            token_ms: 0,
            token_at_ms: 0,
            leases_end_ms: None,
            last_report_ms: now_ms,
            oldest_call_ms: None,
            epoch_accepted_ms: 0,
            next_call_ms: now_ms,
            was_read: false,
            required_barrier: None,
        }
    }

    /// Returns the unreserved resources; zero if the capacity shrank below the reservations.
    pub(crate) fn free(&self) -> Resources {
        self.capacity.minus(self.reserved.plus(self.tentative))
    }

    /// Returns the resources available to tasks that have no nomination for this worker.
    pub(crate) fn room(&self) -> Resources {
        if self.nominated.is_zero() {
            return self.free();
        }
        let held = self.reserved.plus(self.tentative).plus(self.nominated).minus(self.stopping);
        self.free().smaller(self.capacity.minus(held))
    }
}
