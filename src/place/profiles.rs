//! Learned job profiles: peak usage and run times of tasks, by team and job name.

use std::sync::Arc;

use super::lifecycle::TaskState;
use super::message::{Action, StopMode, WorkerReport};
use super::placer::Placer;
use super::spec::{JobKind, JobSpec, Resources};
use super::state::{Job, JobKey, TaskKey};
use crate::collections::HashMap;
use crate::inventory::WorkerKey;

/// Maximum number of profiles; the least recently updated one is evicted.
const MAX_PROFILES: usize = 4_096;

/// Number of runs after which the learned run time replaces the declared one.
const MIN_LEARNED_RUNS: u32 = 3;

/// Weight of a new run time in the moving averages, from 0 to 1.
const MOVING_AVERAGE_WEIGHT: f64 = 0.2;

/// Learned profile of the jobs with one team and name.
#[derive(Clone, Copy, Debug, Default)]
struct Profile {
    /// Largest usage that was reported above the reservation of a task.
    peak: Resources,
    /// Number of successful runs.
    runs: u32,
    /// Moving average of the run time.
    mean_ms: f64,
    /// Moving average of the absolute deviation from the mean run time.
    deviation_ms: f64,
    /// Value of `Profiles::clock` at the last update.
    updated_at: u64,
}

/// Learned profiles of all jobs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Profiles {
    /// Profiles by team and job name.
    by_name: HashMap<(Arc<str>, Arc<str>), Profile>,
    /// Counter of updates, to find the least recently updated profile.
    clock: u64,
}

impl Profiles {
    fn get(&self, spec: &JobSpec) -> Option<&Profile> {
        if self.by_name.is_empty() || spec.name.is_empty() {
            return None;
        }
        self.by_name.get(&(Arc::from(spec.team.as_str()), Arc::from(spec.name.as_str())))
    }

    fn update(&mut self, spec: &JobSpec, change: impl FnOnce(&mut Profile)) {
        if spec.name.is_empty() {
            return;
        }
        self.clock += 1;
        let key = (Arc::from(spec.team.as_str()), Arc::from(spec.name.as_str()));
        if self.by_name.len() >= MAX_PROFILES && !self.by_name.contains_key(&key) {
            let oldest =
                self.by_name.iter().min_by_key(|(key, profile)| (profile.updated_at, *key));
            if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
                self.by_name.remove(&oldest);
            }
        }
        let profile = self.by_name.entry(key).or_default();
        profile.updated_at = self.clock;
        change(profile);
    }
}

impl Placer {
    /// Returns what to reserve for a task of a job: the larger of the declared size and the learned
    /// peak usage.
    pub(crate) fn size_of(&self, key: JobKey) -> Resources {
        let Some(job) = self.jobs.get(key) else { return Resources::default() };
        let declared = job.spec.resources();
        match self.profiles.get(&job.spec) {
            // Limited to the largest capacity, since the job could never run again otherwise.
            Some(profile) => declared.larger(profile.peak.smaller(self.index.scale())),
            None => declared,
        }
    }

    /// Returns the time at which a task started at `since_ms` is expected to end; `u64::MAX` if
    /// unknown, and for services.
    pub(crate) fn expected_end_ms(&self, job: &Job, since_ms: u64) -> u64 {
        if job.spec.kind == JobKind::Service {
            return u64::MAX;
        }
        let learned =
            self.profiles.get(&job.spec).filter(|profile| profile.runs >= MIN_LEARNED_RUNS);
        let run_ms = match learned {
            Some(profile) => to_whole_ms(profile.mean_ms + 2.0 * profile.deviation_ms),
            None => job.spec.expected_ms,
        };
        if run_ms == 0 {
            return u64::MAX;
        }
        since_ms.saturating_add(run_ms)
    }

    /// Adds the run time of a task that succeeded to the profile of its job.
    pub(crate) fn learn_run(&mut self, key: JobKey, ran_ms: u64) {
        let Some(job) = self.jobs.get(key) else { return };
        let spec = Arc::clone(&job.spec);
        self.profiles.update(&spec, |profile| {
            #[allow(clippy::cast_precision_loss, reason = "an estimate tolerates rounding")]
            let ran_ms = ran_ms as f64;
            if profile.runs == 0 {
                profile.mean_ms = ran_ms;
            }
            let off_ms = (ran_ms - profile.mean_ms).abs();
            profile.mean_ms += MOVING_AVERAGE_WEIGHT * (ran_ms - profile.mean_ms);
            profile.deviation_ms += MOVING_AVERAGE_WEIGHT * (off_ms - profile.deviation_ms);
            profile.runs = profile.runs.saturating_add(1);
        });
    }

    /// Processes the usage in a worker's report: raises reservations that are too small, and
    /// throttles or stops tasks if they use more than the worker's capacity.
    pub(crate) fn process_usage(
        &mut self,
        worker: WorkerKey,
        report: &WorkerReport,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let mut total = Resources::default();
        for item in &report.attempts {
            let Some(&key) = self.attempts.get(&item.attempt) else { continue };
            total = total.plus(item.usage);
            self.clear_failures_if_settled(key, worker, item.age_ms);
            if !item.usage.fits(self.tasks[key].reserved) {
                self.raise_reservation(key, worker, item.usage);
            }
        }
        let Some(view) = self.workers.get(worker) else { return };
        if !total.fits(view.capacity) {
            self.relieve_overload(worker, total, now_ms, out);
        }
    }

    /// Clears the failures of a task's job and worker once the task has run for `settled_after_ms`.
    fn clear_failures_if_settled(&mut self, key: TaskKey, worker: WorkerKey, age_ms: u64) {
        if age_ms < self.config.settled_after_ms {
            return;
        }
        let job = self.tasks[key].job;
        let has_failures = self.jobs.get(job).is_some_and(|job| !job.failed_workers.is_empty())
            || self.workers.get(worker).is_some_and(|view| !view.failed_jobs.is_empty());
        if has_failures {
            if std::mem::take(&mut self.tasks[key].failures) > 0 {
                self.mark_failures_changed(job);
            }
            self.clear_failures(job, worker);
        }
    }

    /// Raises the reservation of a task that uses more than was reserved, and the learned peak.
    fn raise_reservation(&mut self, key: TaskKey, worker: WorkerKey, usage: Resources) {
        let task = &mut self.tasks[key];
        let before = task.reserved;
        let after = before.larger(usage);
        task.reserved = after;
        let more = after.minus(before);
        let is_stopping = task.state == TaskState::Stopping;
        let Some(job) = self.jobs.get(task.job) else { return };
        let (team, spec) = (job.team, Arc::clone(&job.spec));
        self.queue.charge(team, more);
        if let Some(view) = self.workers.get_mut(worker) {
            view.reserved = view.reserved.plus(more);
            if is_stopping {
                view.stopping = view.stopping.plus(more);
            }
        }
        self.refresh_room(worker);
        self.profiles.update(&spec, |profile| profile.peak = profile.peak.larger(usage));
    }

    /// Throttles, then checkpoints and stops tasks of the lowest priority on a worker whose tasks
    /// use more than its capacity. Throttling is tried only if nothing but processor time is short.
    fn relieve_overload(
        &mut self,
        worker: WorkerKey,
        used: Resources,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(view) = self.workers.get(worker) else { return };
        let over = used.minus(view.capacity);
        let mut lowest: Vec<TaskKey> = view.tasks.clone();
        lowest.retain(|key| self.tasks[*key].state == TaskState::Running);
        lowest.sort_by_key(|key| {
            let task = &self.tasks[*key];
            let job = &self.jobs[task.job];
            (job.spec.priority, !job.spec.is_stoppable, !job.rules.is_preempted_first, task.attempt)
        });
        let only_processor = over.memory_bytes == 0 && over.accelerators == 0;
        let unthrottled = lowest.iter().find(|key| !self.tasks[**key].is_throttled);
        if let (true, Some(&key)) = (only_processor, unthrottled) {
            self.tasks[key].is_throttled = true;
            let attempt = self.tasks[key].attempt;
            out.push(Action::Stop { worker, attempt, mode: StopMode::Throttle });
            return;
        }
        let mut freed = view.stopping;
        for key in lowest {
            if over.fits(freed) {
                break;
            }
            freed = freed.plus(self.tasks[key].reserved);
            self.stop_task(key, StopMode::Checkpoint, now_ms, out);
        }
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "run times are far below the integer limit, and `max` keeps them positive"
)]
fn to_whole_ms(time_ms: f64) -> u64 {
    time_ms.max(1.0) as u64
}
