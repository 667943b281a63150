//! What the placer keeps of each job, task and worker.

use std::collections::VecDeque;
use std::sync::Arc;

use slotmap::new_key_type;

use super::index::Row;
use super::life::{TaskState, WorkerState};
use super::message::{Attempt, JobId, JobState, TaskId};
use super::queue::TeamKey;
use super::rules::Ruling;
use super::spec::{JobSpec, Resources};
use crate::inventory::WorkerKey;

new_key_type! {
    /// A job in the placer.
    pub struct JobKey;
    /// A task in the placer.
    pub struct TaskKey;
}

/// A task.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) job: JobKey,
    pub(crate) index: u32,
    pub(crate) state: TaskState,
    pub(crate) attempt: Attempt,
    pub(crate) worker: WorkerKey,
    pub(crate) reserved: Resources,
    /// Time at which the state was entered, in milliseconds.
    pub(crate) since_ms: u64,
    /// Failures of its own, without a success between.
    pub(crate) failures: u8,
    /// Whether it was made to run with less processor time.
    pub(crate) is_throttled: bool,
    /// Number of the specification that it was started with.
    pub(crate) generation: u32,
    /// Replica beyond the number that is wanted; it ends when it has stopped.
    pub(crate) is_surplus: bool,
}

/// A job and its tasks.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) spec: Arc<JobSpec>,
    /// Order of arrival.
    pub(crate) sequence: u64,
    pub(crate) tasks: Vec<TaskKey>,
    /// Waiting tasks; an entry whose task is no longer waiting is skipped.
    pub(crate) waiting: VecDeque<TaskKey>,
    pub(crate) waiting_count: u32,
    /// Tasks that hold resources.
    pub(crate) placed_count: u32,
    pub(crate) running_count: u32,
    pub(crate) stopping_count: u32,
    pub(crate) finished_count: u32,
    pub(crate) team: TeamKey,
    pub(crate) ruling: Ruling,
    /// Number of its specification; a service may get others.
    pub(crate) generation: u32,
    /// Workers on which its tasks failed, without a success since.
    pub(crate) failed_workers: Vec<WorkerKey>,
    /// Time before which it is not tried again, in milliseconds.
    pub(crate) not_before_ms: u64,
    /// Waiting tasks for which room is being made.
    pub(crate) nominated: Vec<TaskKey>,
    pub(crate) state: JobState,
    pub(crate) is_cancelled: bool,
    /// Whether its tasks failed everywhere; what runs of it is stopped.
    pub(crate) is_given_up: bool,
    /// Read from the store at takeover: its tasks may run on workers that were not yet read.
    pub(crate) is_restored: bool,
    /// Number of the last change of the progress.
    pub(crate) version: u64,
    pub(crate) is_dirty: bool,
    /// Ended attempts that their workers keep until the progress is stored.
    pub(crate) unforgotten: Vec<Unforgotten>,
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
        }
    }
}

impl Job {
    /// Adds a new task in one of the states that hold nothing.
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

    /// Whether every worker with room will do.
    pub(crate) fn is_plain(&self) -> bool {
        self.spec.constraints.is_empty()
            && self.ruling.marks.is_empty()
            && self.failed_workers.is_empty()
    }
}

/// An ended attempt that its worker keeps until the progress is stored.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Unforgotten {
    pub(crate) version: u64,
    pub(crate) worker: WorkerKey,
    pub(crate) attempt: Attempt,
}

/// An attempt that a worker reported and that no known task has.
#[derive(Clone, Debug)]
pub(crate) struct Orphan {
    pub(crate) worker: WorkerKey,
    pub(crate) task: TaskId,
    pub(crate) reserved: Resources,
    /// Team that is charged for it, once its job is known.
    pub(crate) team: Option<TeamKey>,
}

/// A worker as the placer sees it.
#[derive(Clone, Debug)]
pub(crate) struct WorkerView {
    pub(crate) state: WorkerState,
    pub(crate) capacity: Resources,
    pub(crate) reserved: Resources,
    /// Part of the reservations whose tasks are being stopped.
    pub(crate) leaving: Resources,
    /// Room that is being made for tasks chosen for this worker.
    pub(crate) nominated: Resources,
    /// Room that a gang in the course of placement has taken.
    pub(crate) tentative: Resources,
    pub(crate) row: Row,
    /// Tasks on it by the side of the rule that keeps them apart.
    pub(crate) marks: Vec<u32>,
    /// Jobs that failed on it, without a success since.
    pub(crate) failed_jobs: Vec<JobKey>,
    /// Time before which a worker on probation gets no task, in milliseconds.
    pub(crate) not_before_ms: u64,
    /// Failures in a row while on probation.
    pub(crate) probation_failures: u32,
    pub(crate) tasks: Vec<TaskKey>,
    pub(crate) orphans: Vec<Attempt>,
    pub(crate) token_ms: u64,
    /// Time at which the token was received, in milliseconds.
    pub(crate) token_at_ms: u64,
    /// Time after which no lease on it can last, if that is certain.
    pub(crate) horizon_ms: Option<u64>,
    pub(crate) heard_at_ms: u64,
    /// Time at which the oldest call that is not yet answered was made, in milliseconds.
    pub(crate) asked_at_ms: Option<u64>,
    /// Time after which it certainly still took calls of this epoch, in milliseconds.
    pub(crate) took_epoch_at_ms: u64,
    pub(crate) next_call_ms: u64,
    /// Whether it was read under this epoch.
    pub(crate) was_read: bool,
    /// Barrier that its next report must have, where an answer was lost.
    pub(crate) needs_read: Option<Attempt>,
}

impl WorkerView {
    pub(crate) fn new(row: Row, capacity: Resources, marks: usize, now_ms: u64) -> Self {
        Self {
            state: WorkerState::Unread,
            capacity,
            reserved: Resources::default(),
            leaving: Resources::default(),
            nominated: Resources::default(),
            tentative: Resources::default(),
            row,
            marks: vec![0; marks],
            failed_jobs: Vec::new(),
            not_before_ms: 0,
            probation_failures: 0,
            tasks: Vec::new(),
            orphans: Vec::new(),
            token_ms: 0,
            token_at_ms: 0,
            horizon_ms: None,
            heard_at_ms: now_ms,
            asked_at_ms: None,
            took_epoch_at_ms: 0,
            next_call_ms: now_ms,
            was_read: false,
            needs_read: None,
        }
    }

    /// Room that is not reserved; zero where the worker shrank below its reservations.
    pub(crate) fn free(&self) -> Resources {
        self.capacity.minus(self.reserved.plus(self.tentative))
    }

    /// Room for tasks that were not chosen for this worker beforehand.
    pub(crate) fn room(&self) -> Resources {
        if self.nominated.is_zero() {
            return self.free();
        }
        let held = self.reserved.plus(self.tentative).plus(self.nominated).minus(self.leaving);
        self.free().smaller(self.capacity.minus(held))
    }
}
