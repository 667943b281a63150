//! What has to be stored before it is acknowledged or shown.

use crate::clock;
use crate::collections::HashSet;
use crate::queue::record::RosterEntry;
use crate::queue::scheduler::event::{Action, Save};
use crate::queue::scheduler::job::JobKey;
use crate::queue::scheduler::runner::RunnerKey;
use crate::queue::scheduler::Scheduler;

/// Pause after a write that failed, in milliseconds.
const SAVE_RETRY_MS: u64 = 150;

/// What waits to be stored.
#[derive(Debug, Default)]
pub(super) struct Saving {
    dirty: HashSet<JobKey>,
    has_final: bool,
    in_flight: Option<InFlight>,
    next_ms: u64,
    is_roster_in_flight: bool,
    roster_sent: Vec<RunnerKey>,
}

#[derive(Debug)]
struct InFlight {
    jobs: Vec<JobKey>,
    /// Ends that the write covers, or nothing when some changes had to wait for the next write.
    seen: Vec<(RunnerKey, u64)>,
}

impl Saving {
    /// Something about the job has changed that has to be stored.
    pub(super) fn note(&mut self, job: JobKey) {
        self.dirty.insert(job);
    }

    /// A new life of the runner has begun: what is being written covers ends of the former one.
    pub(super) fn forget_runner(&mut self, runner: RunnerKey) {
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.seen.retain(|(key, _)| *key != runner);
        }
    }

    /// The job has ended; its caller waits for that to be stored.
    pub(super) fn note_final(&mut self, job: JobKey) {
        self.dirty.insert(job);
        self.has_final = true;
    }
}

impl Scheduler {
    /// Writes what has changed; ends at runners may be forgotten once it is stored.
    pub(super) fn save(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        self.save_roster(out);
        if self.saving.in_flight.is_some() {
            return;
        }
        if self.saving.dirty.is_empty() {
            for runner in self.runners.values_mut() {
                runner.acknowledged = runner.acknowledgeable(runner.seen);
            }
            return;
        }
        if now_ms < self.saving.next_ms && !self.saving.has_final {
            return;
        }
        let unix_ms = clock::unix_ms();
        let all: Vec<JobKey> = self.saving.dirty.iter().copied().collect();
        let mut jobs = all;
        // Final states first: callers wait for them.
        jobs.sort_by_key(|key| self.jobs.get(*key).is_some_and(|job| !job.state.is_final()));
        let is_whole = jobs.len() <= self.config.save_batch;
        jobs.truncate(self.config.save_batch);
        let mut records = Vec::with_capacity(jobs.len());
        for key in &jobs {
            self.saving.dirty.remove(key);
            if let Some(job) = self.jobs.get(*key) {
                records.push(Save { job: job.submission.id, progress: job.progress(unix_ms) });
            }
        }
        self.saving.has_final = !is_whole && self.saving.has_final;
        let seen = if is_whole {
            self.runners.iter().map(|(key, runner)| (key, runner.seen)).collect()
        } else {
            Vec::new()
        };
        self.saving.in_flight = Some(InFlight { jobs, seen });
        out.push(Action::Save(records));
    }

    pub(super) fn saved(&mut self, is_stored: bool, now_ms: u64) {
        let Some(InFlight { jobs, seen }) = self.saving.in_flight.take() else { return };
        if !is_stored {
            self.saving.dirty.extend(jobs);
            self.saving.has_final = false;
            self.saving.next_ms = now_ms + SAVE_RETRY_MS;
            return;
        }
        self.saving.next_ms = now_ms + self.config.save_gap_ms;
        for (key, number) in seen {
            if let Some(runner) = self.runners.get_mut(key) {
                runner.acknowledged = runner.acknowledgeable(number);
            }
        }
        for key in jobs {
            let is_ended = self.jobs.get(key).is_some_and(|job| job.state.is_final());
            if is_ended && !self.saving.dirty.contains(&key) {
                if let Some(job) = self.jobs.remove(key) {
                    self.job_keys.remove(&job.submission.id);
                    self.ended.insert(job.submission.id, (job.state, now_ms));
                }
            }
        }
    }

    fn save_roster(&mut self, out: &mut Vec<Action>) {
        let is_short = |runner: &super::Runner| runner.is_listed && !runner.is_rostered;
        if self.saving.is_roster_in_flight || !self.runners.values().any(is_short) {
            return;
        }
        self.saving.is_roster_in_flight = true;
        self.saving.roster_sent = self.runners.keys().collect();
        let entries = self.runners.values().map(|runner| RosterEntry {
            id: runner.id.to_string(),
            address: runner.address.clone(),
        });
        out.push(Action::SaveRoster(entries.collect()));
    }

    pub(super) fn roster_saved(&mut self, is_stored: bool) {
        self.saving.is_roster_in_flight = false;
        let sent = std::mem::take(&mut self.saving.roster_sent);
        if !is_stored {
            return;
        }
        for key in sent {
            if let Some(runner) = self.runners.get_mut(key) {
                runner.is_rostered = true;
            }
        }
    }
}
