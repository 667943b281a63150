//! Which waiting jobs may have become placeable, and how far the last look at all of them came.

use super::queue::{TeamKey, TeamPlace};
use super::state::JobKey;
use crate::collections::HashMap;
use crate::inventory::WorkerKey;

/// Jobs or workers that are woken one by one; more wake the whole queue.
const WOKEN_ONE_BY_ONE: usize = 16;

/// What changed since waiting jobs were last tried.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Wake {
    /// Any job may be placeable.
    is_all: bool,
    /// Jobs that are new or that may be tried again.
    jobs: Vec<JobKey>,
    /// Workers that got room.
    workers: Vec<WorkerKey>,
}

/// A look at all waiting jobs that goes on over several steps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Sweep {
    /// Priority that it has come to.
    pub(crate) level: usize,
    /// Team that it has come to.
    pub(crate) place: Option<TeamPlace>,
    /// For each team, the last job that could not be placed.
    pub(crate) after: HashMap<TeamKey, u64>,
}

impl Wake {
    pub(crate) fn is_nothing(&self) -> bool {
        !self.is_all && self.jobs.is_empty() && self.workers.is_empty()
    }

    pub(crate) fn is_all(&self) -> bool {
        self.is_all
    }

    /// Any job may be placeable.
    pub(crate) fn all(&mut self) {
        *self = Self { is_all: true, ..Self::default() };
    }

    /// A job is new or may be tried again.
    pub(crate) fn job(&mut self, job: JobKey) {
        if self.is_all || self.jobs.contains(&job) {
            return;
        }
        if self.jobs.len() == WOKEN_ONE_BY_ONE {
            self.all();
        } else {
            self.jobs.push(job);
        }
    }

    /// A worker got room.
    pub(crate) fn worker(&mut self, worker: WorkerKey) {
        if self.is_all || self.workers.contains(&worker) {
            return;
        }
        if self.workers.len() == WOKEN_ONE_BY_ONE {
            self.all();
        } else {
            self.workers.push(worker);
        }
    }

    pub(crate) fn jobs(&self) -> &[JobKey] {
        &self.jobs
    }

    pub(crate) fn workers(&self) -> &[WorkerKey] {
        &self.workers
    }
}
