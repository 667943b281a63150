//! Removes the records of jobs whose state need not be told any more.

use crate::queue::model::JobId;
use crate::queue::scheduler::event::Action;
use crate::queue::scheduler::Scheduler;

/// Jobs in one removal: the store takes 32 entries, three of them for each job.
const FORGET_BATCH: usize = 10;

/// Time between two removals, in milliseconds: ten jobs each keep up with 10 jobs a second, and
/// the largest site ends 0.5 a second over the day.
const FORGET_GAP_MS: u64 = 1_000;

/// Removals of records.
#[derive(Debug, Default)]
pub(super) struct Forgetting {
    in_flight: Vec<JobId>,
    next_ms: u64,
}

impl Scheduler {
    /// Removes the oldest records that have been kept for long enough.
    pub(super) fn forget(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        if now_ms < self.forgetting.next_ms || !self.forgetting.in_flight.is_empty() {
            return;
        }
        self.forgetting.next_ms = now_ms + FORGET_GAP_MS;
        let kept_ms = self.config.ended_kept_ms;
        let old = self.ended.iter().filter(|(_, (_, ended_ms))| now_ms > ended_ms + kept_ms);
        let jobs: Vec<JobId> = old.map(|(id, _)| *id).take(FORGET_BATCH).collect();
        if jobs.is_empty() {
            return;
        }
        self.forgetting.in_flight.clone_from(&jobs);
        out.push(Action::Forget(jobs));
    }

    pub(super) fn forgotten(&mut self, is_removed: bool) {
        for id in std::mem::take(&mut self.forgetting.in_flight) {
            if is_removed {
                self.ended.remove(&id);
            }
        }
    }
}
