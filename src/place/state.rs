//! What the placer keeps of each job, task and worker.

use std::collections::VecDeque;
use std::sync::Arc;

use slotmap::new_key_type;

use super::life::{TaskState, WorkerState};
use super::message::{Attempt, JobId, JobState, TaskId};
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
    pub(crate) finished_count: u32,
    pub(crate) state: JobState,
    pub(crate) is_cancelled: bool,
    /// Read from the store at takeover: its tasks may run on workers that were not yet read.
    pub(crate) is_restored: bool,
    /// Number of the last change of the progress.
    pub(crate) version: u64,
    pub(crate) is_dirty: bool,
    /// Ended attempts that their workers keep until the progress is stored.
    pub(crate) unforgotten: Vec<Unforgotten>,
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
}

/// A worker as the placer sees it.
#[derive(Clone, Debug)]
pub(crate) struct WorkerView {
    pub(crate) state: WorkerState,
    pub(crate) capacity: Resources,
    pub(crate) reserved: Resources,
    pub(crate) tasks: Vec<TaskKey>,
    pub(crate) orphans: Vec<Attempt>,
    pub(crate) token_ms: u64,
    /// Time at which the token was received, in milliseconds.
    pub(crate) token_at_ms: u64,
    /// Time after which no lease on it can last, if that is certain.
    pub(crate) horizon_ms: Option<u64>,
    pub(crate) heard_at_ms: u64,
    pub(crate) next_call_ms: u64,
    /// Whether an answer was lost, so that it must be read.
    pub(crate) needs_read: bool,
}

impl WorkerView {
    pub(crate) fn new(capacity: Resources, now_ms: u64) -> Self {
        Self {
            state: WorkerState::Unread,
            capacity,
            reserved: Resources::default(),
            tasks: Vec::new(),
            orphans: Vec::new(),
            token_ms: 0,
            token_at_ms: 0,
            horizon_ms: None,
            heard_at_ms: now_ms,
            next_call_ms: now_ms,
            needs_read: false,
        }
    }

    /// Room that is not reserved; zero where the worker shrank below its reservations.
    pub(crate) fn free(&self) -> Resources {
        self.capacity.minus(self.reserved)
    }
}
