//! Writes job progress to the store.
//!
//! An ended run is acknowledged to its runner, and a final state is reported to callers, only after
//! the write.

use std::collections::VecDeque;

use slotmap::SlotMap;

use crate::clock;
use crate::queue::scheduler::event::{Action, ProgressWrite};
use crate::queue::scheduler::job::JobKey;
use crate::queue::scheduler::runner::{RunnerKey, UnsavedEnd};
use crate::queue::scheduler::Scheduler;

/// Delay after a failed write, in milliseconds.
const SAVE_RETRY_MS: u64 = 150;

/// Maximum number of concurrent writes of progress records. With a store that answers within 50 ms,
/// they keep up with some thousand changed jobs a second.
const MAX_CONCURRENT_WRITES: usize = 8;

slotmap::new_key_type! {
    /// Key of a write of progress records that has not been answered.
    pub struct WriteKey;
}

/// State of the writes to the store.
#[derive(Debug, Default)]
pub(super) struct Persistence {
    /// Jobs with changes that no write covers yet, the oldest change first.
    dirty: VecDeque<JobKey>,
    /// Jobs among them that have reached a final state, which is written without delay.
    ended: VecDeque<JobKey>,
    /// Jobs of each write in flight, with the number of the last change that the write covers.
    in_flight: SlotMap<WriteKey, Vec<(JobKey, u64)>>,
    /// Time before which no further write starts, except for a final state.
    next_ms: u64,
    /// Time before which no write starts at all, because the last one failed.
    retry_ms: u64,
    /// Whether the last answered write failed; one write at a time probes the store then.
    has_failed: bool,
}

/// Counts the changes of a job that have to be stored.
#[derive(Debug, Default)]
pub(crate) struct JobChanges {
    /// Number of the last change.
    last: u64,
    /// Number of the last change that is stored.
    stored: u64,
    /// Whether the job waits for a write.
    is_queued: bool,
    /// Whether a write of the job is in flight. Two writes of one job must not overlap, because each
    /// is conditional on the revision of the one before.
    is_in_flight: bool,
}

impl JobChanges {
    /// Number of the last change; `None` if all changes are stored.
    pub(crate) fn unsaved(&self) -> Option<u64> {
        (self.last > self.stored).then_some(self.last)
    }

    /// Number of the last change, stored or not.
    pub(crate) fn latest(&self) -> u64 {
        self.last
    }

    /// Whether the change with this number is stored.
    pub(crate) fn is_stored(&self, change: u64) -> bool {
        self.stored >= change
    }
}

impl Scheduler {
    /// Marks a job as changed, so that its progress is written.
    pub(super) fn mark_dirty(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.changes.last += 1;
        self.queue_write(key);
    }

    /// Queues a job for the next write, unless it is queued already or a write of it is in flight.
    fn queue_write(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        if job.changes.is_in_flight {
            return;
        }
        if !std::mem::replace(&mut job.changes.is_queued, true) {
            self.persistence.dirty.push_back(key);
        }
        if job.state.is_final() {
            self.persistence.ended.push_back(key);
        }
    }

    /// Requests writes of the changed jobs, in as many concurrent ones as needed.
    pub(super) fn save_progress(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        if now_ms < self.persistence.retry_ms {
            return;
        }
        let is_due = now_ms >= self.persistence.next_ms;
        let limit = if self.persistence.has_failed { 1 } else { MAX_CONCURRENT_WRITES };
        while self.persistence.in_flight.len() < limit
            && (!self.persistence.ended.is_empty() || is_due && !self.persistence.dirty.is_empty())
        {
            self.save_batch(out);
            self.persistence.next_ms = now_ms + self.config.save_gap_ms;
        }
    }

    /// Requests one write. Jobs that have ended come first, since callers wait for them.
    fn save_batch(&mut self, out: &mut Vec<Action>) {
        let unix_ms = clock::unix_ms();
        let mut covered = Vec::new();
        let mut records = Vec::new();
        while covered.len() < self.config.save_batch {
            let Persistence { ended, dirty, .. } = &mut self.persistence;
            let Some(key) = ended.pop_front().or_else(|| dirty.pop_front()) else { break };
            let Some(job) = self.jobs.get_mut(key) else { continue };
            // A job that has ended stands in both queues.
            if !std::mem::replace(&mut job.changes.is_queued, false) {
                continue;
            }
            job.changes.is_in_flight = true;
            covered.push((key, job.changes.last));
            let (job, progress) = (job.submission.id, job.progress(unix_ms));
            records.push(ProgressWrite { job, progress });
        }
        if !records.is_empty() {
            let write = self.persistence.in_flight.insert(covered);
            out.push(Action::SaveProgress { write, records });
        }
    }

    pub(super) fn progress_saved(&mut self, write: WriteKey, is_stored: bool, now_ms: u64) {
        let Some(covered) = self.persistence.in_flight.remove(write) else { return };
        self.persistence.has_failed = !is_stored;
        if !is_stored {
            self.persistence.retry_ms = now_ms + SAVE_RETRY_MS;
        }
        for (key, change) in covered {
            let Some(job) = self.jobs.get_mut(key) else { continue };
            job.changes.is_in_flight = false;
            if is_stored {
                job.changes.stored = change;
            }
            if job.changes.unsaved().is_some() {
                self.queue_write(key);
            } else if job.state.is_final() {
                self.forget_stored_job(key, now_ms);
            }
        }
    }

    /// Removes a job whose final state is stored.
    fn forget_stored_job(&mut self, key: JobKey, now_ms: u64) {
        if let Some(job) = self.jobs.remove(key) {
            self.keep_inherited(&job);
            self.job_keys.remove(&job.submission.id);
            self.retention.keep_lost_runs(job.submission.id, &job.lost_runs());
            self.retention.keep_workspace(job.submission.id, job.submission.workspace);
            self.ended.insert(job.submission.id, (job.state, now_ms));
        }
    }

    /// Determines which ended runs of a runner may be acknowledged: those up to the first one whose
    /// outcome is not stored yet.
    pub(super) fn update_acknowledged_end(&mut self, key: RunnerKey) {
        let runner = &mut self.runners[key];
        let jobs = &self.jobs;
        let is_stored = |end: &UnsavedEnd| {
            jobs.get(end.job).is_none_or(|job| job.changes.is_stored(end.change))
        };
        while runner.unsaved_ends.front().is_some_and(is_stored) {
            runner.unsaved_ends.pop_front();
        }
        let first = runner.unsaved_ends.front();
        let stored = first.map_or(u64::MAX, |end| end.number.saturating_sub(1));
        runner.acknowledged_end = runner.max_acknowledged_end(stored);
    }
}
