//! What is learned of jobs by their name: how much their tasks use and how long they run.

use std::sync::Arc;

use super::life::TaskState;
use super::message::{Action, StopMode, WorkerReport};
use super::placer::Placer;
use super::spec::{JobKind, JobSpec, Resources};
use super::state::{Job, JobKey, TaskKey};
use crate::collections::HashMap;
use crate::inventory::WorkerKey;

/// Names that are remembered; the one that was used longest ago makes room for another.
const REMEMBERED_NAMES: usize = 4_096;

/// Runs after which learned times are believed rather than the declared time.
const BELIEVED_RUNS: u32 = 3;

/// Weight of a new run time in the mean, as a part of 1.
const NEW_WEIGHT: f64 = 0.2;

/// What is learned under one name.
#[derive(Clone, Copy, Debug, Default)]
struct Lesson {
    /// Largest use that was reported for one task.
    peak: Resources,
    runs: u32,
    mean_ms: f64,
    deviation_ms: f64,
    used_at: u64,
}

/// What is learned of all jobs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Learned {
    lessons: HashMap<(Arc<str>, Arc<str>), Lesson>,
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
    /// What to reserve for a task of a job: the larger of the declared and the learned size.
    pub(crate) fn size_of(&self, key: JobKey) -> Resources {
        let Some(job) = self.jobs.get(key) else { return Resources::default() };
        let declared = job.spec.resources();
        match self.learned.get(&job.spec) {
            // No more than the largest worker has, or it would never run again.
            Some(lesson) => declared.larger(lesson.peak.smaller(self.index.scale())),
            None => declared,
        }
    }

    /// Time at which a task started at `since_ms` is expected to end; the end of time if unknown.
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

    /// Takes in the run time of a task that ended well.
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

    /// Takes in what the tasks of a worker use, and relieves the worker if it is too much.
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

    /// Counts a task that has run for a while as a success of its worker and its job.
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

    /// Raises the reservation of a task that uses more than was reserved.
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

    /// Throttles, then checkpoints the lowest of a worker whose tasks use more than it has.
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
