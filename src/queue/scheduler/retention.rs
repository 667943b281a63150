//! Removes the records of ended jobs, and cancellations of jobs that never came, from the store after
//! their retention time.

use crate::collections::HashMap;
use crate::queue::model::{JobId, TaskId};
use crate::queue::record::LostRunRecord;
use crate::queue::scheduler::event::Action;
use crate::queue::scheduler::Scheduler;
use crate::queue::workspaces::WorkspaceName;

/// Maximum number of jobs in one removal. The store accepts 32 entries per commit, and each job has
/// three records.
const REMOVAL_BATCH: usize = 10;

/// Minimum time between two removals, in milliseconds. With ten jobs each, removals keep up with 10
/// ended jobs a second; the largest site averages 0.5 a second over a day.
const REMOVAL_GAP_MS: u64 = 1_000;

/// State of the removal of old records.
#[derive(Debug, Default)]
pub(super) struct Retention {
    /// Jobs of the removal that is not answered yet.
    in_flight: Vec<JobId>,
    /// Time before which no further removal starts.
    next_ms: u64,
    /// Jobs whose records were removed, with the time of the removal: a submission that was read
    /// before may arrive after it.
    removed: HashMap<JobId, u64>,
    /// Lost runs of ended jobs, as in their progress records; only of jobs that have any.
    lost_runs: HashMap<JobId, Box<[LostRunRecord]>>,
    /// Workspaces of ended jobs; only of jobs that belong to one.
    workspaces: HashMap<JobId, WorkspaceName>,
}

impl Retention {
    /// Whether the records of a job were removed a short time ago.
    pub(super) fn is_removed(&self, id: JobId) -> bool {
        self.removed.contains_key(&id)
    }

    /// Keeps the lost runs of a job that has ended until its records are removed.
    pub(super) fn keep_lost_runs(&mut self, id: JobId, lost: &[LostRunRecord]) {
        if !lost.is_empty() {
            self.lost_runs.insert(id, lost.into());
        }
    }

    /// Keeps the workspace of a job that has ended until its records are removed.
    pub(super) fn keep_workspace(&mut self, id: JobId, workspace: Option<WorkspaceName>) {
        if let Some(workspace) = workspace {
            self.workspaces.insert(id, workspace);
        }
    }

    /// Workspace of a job that has ended.
    pub(super) fn workspace(&self, id: JobId) -> Option<&WorkspaceName> {
        self.workspaces.get(&id)
    }

    /// Whether a task of an ended job was started again after this run, which was lost.
    pub(super) fn has_later_run(&self, task: TaskId, run: u64) -> bool {
        let mut lost = self.lost_runs.get(&task.step.job).into_iter().flatten();
        lost.any(|lost| (lost.step, lost.index) == (task.step.step, task.index) && run < lost.run)
    }
}

impl Scheduler {
    /// Requests the removal of a batch of jobs whose retention time is over.
    pub(super) fn remove_expired_records(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        if now_ms < self.retention.next_ms || !self.retention.in_flight.is_empty() {
            return;
        }
        self.retention.next_ms = now_ms + REMOVAL_GAP_MS;
        let kept_ms = self.config.ended_kept_ms;
        self.retention.removed.retain(|_, removed_ms| now_ms <= *removed_ms + kept_ms);
        let ended = self.ended.iter().map(|(id, (_, ended_ms))| (id, ended_ms));
        let old = ended.chain(&self.early_cancels).filter(|(_, at_ms)| now_ms > *at_ms + kept_ms);
        let jobs: Vec<JobId> = old.map(|(id, _)| *id).take(REMOVAL_BATCH).collect();
        if jobs.is_empty() {
            return;
        }
        self.retention.in_flight.clone_from(&jobs);
        out.push(Action::RemoveRecords(jobs));
    }

    pub(super) fn records_removed(&mut self, is_removed: bool, now_ms: u64) {
        for id in std::mem::take(&mut self.retention.in_flight) {
            if is_removed {
                self.ended.remove(&id);
                self.early_cancels.remove(&id);
                self.retention.lost_runs.remove(&id);
                self.retention.workspaces.remove(&id);
                self.retention.removed.insert(id, now_ms);
            }
        }
    }
}
