//! Learned job profiles: peak usage and run times of tasks, by team and job name.

use std::sync::Arc;

use super::life::TaskState;
use super::message::{Action, StopMode, WorkerReport};
use super::placer::Placer;
use super::spec::{JobKind, JobSpec, Resources};
use super::state::{Job, JobKey, TaskKey};
use crate::collections::HashMap;
use crate::inventory::WorkerKey;

/// Maximum number of profiles; the least recently updated one is evicted.
const REMEMBERED_NAMES: usize = 4_096;

/// Number of runs after which the learned run time replaces the declared one.
const BELIEVED_RUNS: u32 = 3;

/// Weight of a new run time in the moving averages, from 0 to 1.
const NEW_WEIGHT: f64 = 0.2;

/// Learned profile of the jobs with one team and name.
#[derive(Clone, Copy, Debug, Default)]
struct Lesson {
    /// Largest usage that was reported above the reservation of a task.
    peak: Resources,
    /// Number of successful runs.
    runs: u32,
    /// Moving average of the run time.
    mean_ms: f64,
    /// Moving average of the absolute deviation from the mean run time.
    deviation_ms: f64,
    /// Value of `Learned::clock` at the last update.
    used_at: u64,
}

/// Learned profiles of all jobs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Learned {
    /// Profiles by team and job name.
    lessons: HashMap<(Arc<str>, Arc<str>), Lesson>,
    /// Counter of updates, to find the least recently updated profile.
    clock: u64,
}

impl Learned {
    fn get(&self, spec: &JobSpec) -> Option<&Lesson> {
        if self.lessons.is_empty() || spec.name.is_empty() {
            return None;
        }
        self.lessons.get(&(Arc::from(spec.team.as_str()), Arc::from(spec.name.as_str())))
    }

    fn update(&mut self, spec: &JobSpec, change: impl FnOnce(&mut Lesson)) {
        if spec.name.is_empty() {
            return;
        }
        self.clock += 1;
        let key = (Arc::from(spec.team.as_str()), Arc::from(spec.name.as_str()));
        if self.lessons.len() >= REMEMBERED_NAMES && !self.lessons.contains_key(&key) {
            let oldest = self.lessons.iter().min_by_key(|(key, lesson)| (lesson.used_at, *key));
            if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
                self.lessons.remove(&oldest);
            }
        }
        let lesson = self.lessons.entry(key).or_default();
        lesson.used_at = self.clock;
        change(lesson);
    }
}

impl Placer {
    /// Returns what to reserve for a task of a job: the larger of the declared size and the learned
    /// peak usage.
    pub(crate) fn size_of(&self, key: JobKey) -> Resources {
        let Some(job) = self.jobs.get(key) else { return Resources::default() };
        let declared = job.spec.resources();
        match self.learned.get(&job.spec) {
            // Limited to the largest capacity, since the job could never run again otherwise.
            Some(lesson) => declared.larger(lesson.peak.smaller(self.index.scale())),
            None => declared,
        }
    }

    /// Returns the time at which a task started at `since_ms` is expected to end; `u64::MAX` if
    /// unknown, and for services.
    pub(crate) fn expected_end_ms(&self, job: &Job, since_ms: u64) -> u64 {
        if job.spec.kind == JobKind::Service {
            return u64::MAX;
        }
        let learned = self.learned.get(&job.spec).filter(|lesson| lesson.runs >= BELIEVED_RUNS);
        let run_ms = match learned {
            Some(lesson) => whole_ms(lesson.mean_ms + 2.0 * lesson.deviation_ms),
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
        self.learned.update(&spec, |lesson| {
            #[allow(clippy::cast_precision_loss, reason = "an estimate needs no more")]
            let ran_ms = ran_ms as f64;
            if lesson.runs == 0 {
                lesson.mean_ms = ran_ms;
            }
            let off_ms = (ran_ms - lesson.mean_ms).abs();
            lesson.mean_ms += NEW_WEIGHT * (ran_ms - lesson.mean_ms);
            lesson.deviation_ms += NEW_WEIGHT * (off_ms - lesson.deviation_ms);
            lesson.runs = lesson.runs.saturating_add(1);
        });
    }

    /// Processes the usage in a worker's report: raises reservations that are too small, and
    /// throttles or stops tasks if they use more than the worker's capacity.
    pub(crate) fn take_usage(
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
            self.note_age(key, worker, item.age_ms);
            if !item.usage.fits(self.tasks[key].reserved) {
                self.grow(key, worker, item.usage);
            }
        }
        let Some(view) = self.workers.get(worker) else { return };
        if !total.fits(view.capacity) {
            self.relieve(worker, total, now_ms, out);
        }
    }

    /// Clears the failures of a task's job and worker once the task has run for `settled_after_ms`.
    fn note_age(&mut self, key: TaskKey, worker: WorkerKey, age_ms: u64) {
        if age_ms < self.config.settled_after_ms {
            return;
        }
        let job = self.tasks[key].job;
        let is_blamed = self.jobs.get(job).is_some_and(|job| !job.failed_workers.is_empty())
            || self.workers.get(worker).is_some_and(|view| !view.failed_jobs.is_empty());
        if is_blamed {
            self.tasks[key].failures = 0;
            self.went_well(job, worker);
        }
    }

    /// Raises the reservation of a task that uses more than was reserved, and the learned peak.
    fn grow(&mut self, key: TaskKey, worker: WorkerKey, usage: Resources) {
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
                view.leaving = view.leaving.plus(more);
            }
        }
        self.refresh_room(worker);
        self.learned.update(&spec, |lesson| lesson.peak = lesson.peak.larger(usage));
    }

    /// Throttles, then checkpoints and stops tasks of the lowest priority on a worker whose tasks
    /// use more than its capacity. Throttling is tried only if nothing but processor time is short.
    fn relieve(&mut self, worker: WorkerKey, used: Resources, now_ms: u64, out: &mut Vec<Action>) {
        let Some(view) = self.workers.get(worker) else { return };
        let over = used.minus(view.capacity);
        let mut lowest: Vec<TaskKey> = view.tasks.clone();
        lowest.retain(|key| self.tasks[*key].state == TaskState::Running);
        lowest.sort_by_key(|key| {
            let task = &self.tasks[*key];
            let job = &self.jobs[task.job];
            (job.spec.priority, !job.spec.is_stoppable, !job.ruling.stops_first, task.attempt)
        });
        let only_processor = over.memory_bytes == 0 && over.accelerators == 0;
        let unthrottled = lowest.iter().find(|key| !self.tasks[**key].is_throttled);
        if let (true, Some(&key)) = (only_processor, unthrottled) {
            self.tasks[key].is_throttled = true;
            let attempt = self.tasks[key].attempt;
            out.push(Action::Stop { worker, attempt, mode: StopMode::Throttle });
            return;
        }
        let mut freed = view.leaving;
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
    reason = "run times are far below the limit and not negative"
)]
fn whole_ms(time_ms: f64) -> u64 {
    time_ms.max(1.0) as u64
}
