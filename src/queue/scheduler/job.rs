//! What the leader knows of a job, its steps and its tasks.

use bytes::Bytes;

use crate::queue::model::{JobState, Queue, StepId, Submission, TaskId};
use crate::queue::record::Progress;
use crate::queue::scheduler::advice::Advice;
use crate::queue::scheduler::runner::RunnerKey;

slotmap::new_key_type! {
    /// A job in the arena of the leader.
    pub struct JobKey;
}

/// Attempts of a task whose queue is not declared any more and never was in this term.
const DEFAULT_ATTEMPTS: u32 = 2;

/// A job that has not ended.
#[derive(Debug)]
pub struct Job {
    pub(crate) submission: Submission,
    pub(crate) steps: Vec<StepRun>,
    pub(crate) state: JobState,
    pub(crate) priority: u32,
    pub(crate) max_attempts: u32,
    /// Service that the queue had when the job came.
    pub(crate) service: String,
    /// When this leader learned of the job.
    pub(crate) known_ms: u64,
    /// When the job should be done.
    pub(crate) due_ms: u64,
}

/// A step of a job.
#[derive(Debug)]
pub(crate) struct StepRun {
    pub(crate) tasks: Vec<Task>,
    pub(crate) done: usize,
    pub(crate) advice: Advice,
    /// Runs that have failed, as index and run.
    pub(crate) failed: Vec<(u32, u64)>,
}

/// A task of a step.
#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) place: Place,
    pub(crate) checkpoint: Bytes,
    pub(crate) waits_since_ms: u64,
    /// A former leader may have started it at a runner that has not answered yet.
    pub(crate) is_inherited: bool,
    /// Where it failed last.
    pub(crate) failed_at: Option<RunnerKey>,
    /// A run of it was given up at a runner that did not tell how the run ended.
    pub(crate) is_given_up: bool,
}

/// Where a task is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Place {
    /// Nowhere.
    Waiting,
    /// At a runner, perhaps on its way there or back.
    At(RunnerKey),
    /// Done.
    Done,
}

impl Job {
    pub(crate) fn new(submission: Submission, queue: Option<&Queue>, now_ms: u64) -> Self {
        let steps: Vec<StepRun> = submission
            .steps
            .iter()
            .map(|step| StepRun {
                tasks: (0..step.count).map(|_| Task::new(now_ms)).collect(),
                done: 0,
                advice: Advice::default(),
                failed: Vec::new(),
            })
            .collect();
        let work_ms: u64 = submission.steps.iter().map(|step| step.estimate_ms).sum();
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "an objective in milliseconds"
        )]
        let allowed_ms = queue.map_or(work_ms, |queue| {
            (work_ms as f64 * queue.stretch.max(1.0)) as u64 + queue.target_latency_ms
        });
        Self {
            steps,
            state: JobState::Queued,
            priority: queue.map_or(u32::MAX, |queue| queue.priority),
            max_attempts: queue.map_or(DEFAULT_ATTEMPTS, |queue| queue.max_attempts),
            service: queue.map(|queue| queue.service.clone()).unwrap_or_default(),
            known_ms: now_ms,
            due_ms: now_ms + allowed_ms,
            submission,
        }
    }

    /// Takes over what a former leader stored.
    pub(crate) fn restore(&mut self, progress: &Progress) {
        self.state = progress.state;
        for (step, index) in &progress.done {
            self.mark_done(*step as usize, *index as usize);
        }
        for (step, index, run) in &progress.failed {
            if let Some(step) = self.steps.get_mut(*step as usize) {
                step.note_failure(*index, *run);
            }
        }
    }

    /// The record of what has ended.
    pub(crate) fn progress(&self, unix_ms: u64) -> Progress {
        let mut done = Vec::new();
        let mut failed = Vec::new();
        for (number, step) in (0_u32..).zip(&self.steps) {
            let ended = (0_u32..).zip(&step.tasks).filter(|(_, task)| task.place == Place::Done);
            done.extend(ended.map(|(index, _)| (number, index)));
            failed.extend(step.failed.iter().map(|(index, run)| (number, *index, *run)));
        }
        let ended_unix_ms = if self.state.is_final() { unix_ms } else { 0 };
        if self.state.is_final() {
            done.clear();
            failed.clear();
        }
        Progress { state: self.state, ended_unix_ms, done, failed }
    }

    /// Notes that a task is done; returns whether that is news.
    pub(crate) fn mark_done(&mut self, step: usize, index: usize) -> bool {
        let Some(run) = self.steps.get_mut(step) else { return false };
        let Some(task) = run.tasks.get_mut(index) else { return false };
        if task.place == Place::Done {
            return false;
        }
        task.place = Place::Done;
        run.done += 1;
        true
    }

    /// Steps after this one cannot have been started by a former leader: one of the runs that they
    /// wait for was still under way when its runner first answered this one.
    pub(crate) fn disinherit_after(&mut self, step: usize) {
        let number = u32::try_from(step).unwrap_or(u32::MAX);
        for (later, run) in self.submission.steps.iter().zip(&mut self.steps) {
            if later.after.contains(&number) {
                run.tasks.iter_mut().for_each(|task| task.is_inherited = false);
            }
        }
    }

    /// Whether every task is done.
    pub(crate) fn is_done(&self) -> bool {
        self.steps.iter().all(StepRun::is_done)
    }

    /// Whether all steps before this one are done and tasks of it wait.
    pub(crate) fn is_ready(&self, step: usize) -> bool {
        let earlier = &self.submission.steps[step].after;
        self.steps[step].has_waiting()
            && earlier.iter().all(|at| self.steps.get(*at as usize).is_none_or(StepRun::is_done))
    }

    pub(crate) fn step_id(&self, step: usize) -> StepId {
        StepId {
            job: self.submission.id,
            occurrence: 0,
            step: u32::try_from(step).unwrap_or(u32::MAX),
        }
    }

    pub(crate) fn task_id(&self, step: usize, index: usize) -> TaskId {
        let index = u32::try_from(index).unwrap_or(u32::MAX);
        TaskId { step: self.step_id(step), index }
    }

    pub(crate) fn task_mut(&mut self, task: TaskId) -> Option<&mut Task> {
        self.steps.get_mut(task.step.step as usize)?.tasks.get_mut(task.index as usize)
    }
}

impl StepRun {
    pub(crate) fn is_done(&self) -> bool {
        self.done == self.tasks.len()
    }

    pub(crate) fn has_waiting(&self) -> bool {
        self.tasks.iter().any(|task| task.place == Place::Waiting)
    }

    pub(crate) fn waiting(&self) -> impl Iterator<Item = usize> + '_ {
        let tasks = self.tasks.iter().enumerate();
        tasks.filter(|(_, task)| task.place == Place::Waiting).map(|(index, _)| index)
    }

    /// Tasks that may start: those that may run where nobody has answered yet only once
    /// `is_settled`, and those that were given up only while the leader `is_confirmed`, since a
    /// successor may know of their end.
    pub(crate) fn startable(
        &self,
        is_settled: bool,
        is_confirmed: bool,
    ) -> impl Iterator<Item = usize> + '_ {
        self.waiting().filter(move |index| {
            let task = &self.tasks[*index];
            (is_settled || !task.is_inherited) && (is_confirmed || !task.is_given_up)
        })
    }

    /// Notes a failed run; returns whether that is news.
    pub(crate) fn note_failure(&mut self, index: u32, run: u64) -> bool {
        if self.failed.contains(&(index, run)) {
            return false;
        }
        self.failed.push((index, run));
        true
    }

    /// Failed runs of a task; of a gang those of all members, which share their runs.
    pub(crate) fn failures(&self, index: u32, is_gang: bool) -> u32 {
        let mut runs: Vec<u64> = self
            .failed
            .iter()
            .filter(|(failed, _)| is_gang || *failed == index)
            .map(|(_, run)| *run)
            .collect();
        runs.sort_unstable();
        runs.dedup();
        u32::try_from(runs.len()).unwrap_or(u32::MAX)
    }
}

impl Task {
    fn new(now_ms: u64) -> Self {
        Self {
            place: Place::Waiting,
            checkpoint: Bytes::new(),
            waits_since_ms: now_ms,
            is_inherited: false,
            failed_at: None,
            is_given_up: false,
        }
    }

    pub(crate) fn wait(&mut self, now_ms: u64) {
        self.place = Place::Waiting;
        self.waits_since_ms = now_ms;
    }
}
