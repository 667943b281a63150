//! Writes job progress and the roster to the store.
//!
//! An ended run is acknowledged to its runner, and a final state is reported to callers, only after
//! the write. A runner gets tasks only once the stored roster names it.

use crate::clock;
use crate::collections::HashSet;
use crate::queue::record::RosterEntry;
use crate::queue::scheduler::event::{Action, ProgressWrite};
use crate::queue::scheduler::job::JobKey;
use crate::queue::scheduler::runner::RunnerKey;
use crate::queue::scheduler::Scheduler;

/// Delay after a failed write, in milliseconds.
const SAVE_RETRY_MS: u64 = 150;

/// State of the writes to the store.
#[derive(Debug, Default)]
pub(super) struct Persistence {
    /// Jobs with changes that are not stored yet.
    dirty: HashSet<JobKey>,
    /// Whether one of them has reached a final state, which is written without delay.
    has_final: bool,
    in_flight: Option<InFlight>,
    /// Time before which no further write starts, except for a final state.
    next_ms: u64,
    is_roster_in_flight: bool,
    /// Runners that the roster write in flight names.
    roster_sent: Vec<RunnerKey>,
}

/// A write of progress records that has not been answered.
#[derive(Debug)]
struct InFlight {
    jobs: Vec<JobKey>,
    /// Number of the last processed end of each runner, which may be acknowledged after the write;
    /// empty if some changes did not fit into it.
    last_seen_ends: Vec<(RunnerKey, u64)>,
}

impl Persistence {
    /// Marks a job as changed, so that its progress is written.
    pub(super) fn mark_dirty(&mut self, job: JobKey) {
        self.dirty.insert(job);
    }

    /// Drops the ends of a restarted runner from the write in flight: their numbers belong to the
    /// previous incarnation.
    pub(super) fn drop_runner_ends(&mut self, runner: RunnerKey) {
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.last_seen_ends.retain(|(key, _)| *key != runner);
        }
    }

    /// Marks a job as ended; its progress is written without delay since the caller waits for it.
    pub(super) fn mark_final(&mut self, job: JobKey) {
        self.dirty.insert(job);
        self.has_final = true;
    }
}

impl Scheduler {
    /// Requests a write of the changed jobs, unless one is in flight.
    pub(super) fn save_progress(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        self.save_roster(out);
        if self.persistence.in_flight.is_some() {
            return;
        }
        if self.persistence.dirty.is_empty() {
            for runner in self.runners.values_mut() {
                runner.acknowledged_end = runner.max_acknowledged_end(runner.last_seen_end);
            }
            return;
        }
        if now_ms < self.persistence.next_ms && !self.persistence.has_final {
            return;
        }
        let unix_ms = clock::unix_ms();
        let dirty: Vec<JobKey> = self.persistence.dirty.iter().copied().collect();
        let mut jobs = dirty;
        // Final states come first, since callers wait for them.
        jobs.sort_by_key(|key| self.jobs.get(*key).is_some_and(|job| !job.state.is_final()));
        let covers_all = jobs.len() <= self.config.save_batch;
        jobs.truncate(self.config.save_batch);
        let mut records = Vec::with_capacity(jobs.len());
        for key in &jobs {
            self.persistence.dirty.remove(key);
            if let Some(job) = self.jobs.get(*key) {
                records.push(ProgressWrite {
                    job: job.submission.id,
                    progress: job.progress(unix_ms),
                });
            }
        }
        self.persistence.has_final = !covers_all && self.persistence.has_final;
        let last_seen_ends = if covers_all {
            self.runners.iter().map(|(key, runner)| (key, runner.last_seen_end)).collect()
        } else {
            Vec::new()
        };
        self.persistence.in_flight = Some(InFlight { jobs, last_seen_ends });
        out.push(Action::SaveProgress(records));
    }

    pub(super) fn progress_saved(&mut self, is_stored: bool, now_ms: u64) {
        let Some(InFlight { jobs, last_seen_ends }) = self.persistence.in_flight.take() else {
            return;
        };
        if !is_stored {
            self.persistence.dirty.extend(jobs);
            self.persistence.has_final = false;
            self.persistence.next_ms = now_ms + SAVE_RETRY_MS;
            return;
        }
        self.persistence.next_ms = now_ms + self.config.save_gap_ms;
        for (key, number) in last_seen_ends {
            if let Some(runner) = self.runners.get_mut(key) {
                runner.acknowledged_end = runner.max_acknowledged_end(number);
            }
        }
        for key in jobs {
            let is_ended = self.jobs.get(key).is_some_and(|job| job.state.is_final());
            if is_ended && !self.persistence.dirty.contains(&key) {
                if let Some(job) = self.jobs.remove(key) {
                    self.job_keys.remove(&job.submission.id);
                    self.ended.insert(job.submission.id, (job.state, now_ms));
                }
            }
        }
    }

    fn save_roster(&mut self, out: &mut Vec<Action>) {
        let is_missing = |runner: &super::Runner| runner.is_listed && !runner.is_in_roster;
        if self.persistence.is_roster_in_flight || !self.runners.values().any(is_missing) {
            return;
        }
        self.persistence.is_roster_in_flight = true;
        self.persistence.roster_sent = self.runners.keys().collect();
        let entries = self.runners.values().map(|runner| RosterEntry {
            id: runner.id.to_string(),
            address: runner.address.clone(),
        });
        out.push(Action::SaveRoster(entries.collect()));
    }

    pub(super) fn roster_saved(&mut self, is_stored: bool) {
        self.persistence.is_roster_in_flight = false;
        let sent = std::mem::take(&mut self.persistence.roster_sent);
        if !is_stored {
            return;
        }
        for key in sent {
            if let Some(runner) = self.runners.get_mut(key) {
                runner.is_in_roster = true;
            }
        }
    }
}
