//! Triggers of placement: which waiting jobs may have become placeable, and how far a scan of all
//! of them has got.

use super::queue::{TeamKey, TeamRank};
use super::state::JobKey;
use crate::collections::HashMap;
use crate::inventory::WorkerKey;

/// Maximum number of jobs, and of workers, that are tracked one by one; beyond it, all waiting
/// jobs are scanned.
const MAX_TRACKED: usize = 16;

/// Changes since the last placement pass that may make waiting jobs placeable.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PlacementTriggers {
    /// Whether any waiting job may have become placeable.
    is_all: bool,
    /// Jobs that are new or may be tried again.
    jobs: Vec<JobKey>,
    /// Workers that got room or became available.
    workers: Vec<WorkerKey>,
}

/// Position of a scan of all waiting jobs, which may take several steps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct QueueScan {
    /// Current priority, as an index into `Priority::ALL`.
    pub(crate) level: usize,
    /// Rank of the team that was tried last, after which the scan continues; `None` at the start of
    /// a priority.
    pub(crate) team: Option<TeamRank>,
    /// For each team, the arrival order up to which no further job could be placed.
    pub(crate) after: HashMap<TeamKey, u64>,
}

impl PlacementTriggers {
    pub(crate) fn is_empty(&self) -> bool {
        !self.is_all && self.jobs.is_empty() && self.workers.is_empty()
    }

    pub(crate) fn is_all(&self) -> bool {
        self.is_all
    }

    /// Records that any waiting job may have become placeable.
    pub(crate) fn add_all(&mut self) {
        *self = Self { is_all: true, ..Self::default() };
    }

    /// Records that a job is new or may be tried again.
    pub(crate) fn add_job(&mut self, job: JobKey) {
        if self.is_all || self.jobs.contains(&job) {
            return;
        }
        if self.jobs.len() == MAX_TRACKED {
            self.add_all();
        } else {
            self.jobs.push(job);
        }
    }

    /// Records that a worker got room or became available.
    pub(crate) fn add_worker(&mut self, worker: WorkerKey) {
        if self.is_all || self.workers.contains(&worker) {
            return;
        }
        if self.workers.len() == MAX_TRACKED {
            self.add_all();
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
