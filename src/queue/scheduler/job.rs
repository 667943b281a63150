//! State of jobs, steps and tasks as the leader knows it.

use std::sync::Arc;

use bytes::Bytes;

use crate::queue::model::{AdvicePolicy, JobState, QueueTerms, StepId, Submission, TaskId};
use crate::queue::record::Progress;
use crate::queue::scheduler::advice::StepAdvice;
use crate::queue::scheduler::crash::Suspicion;
use crate::queue::scheduler::persistence::JobChanges;
use crate::queue::scheduler::runner::RunnerKey;
use crate::queue::scheduler::shares::Owner;

slotmap::new_key_type! {
    /// Key of a job in the scheduler's slot map.
    pub struct JobKey;
}

/// A job whose final state is not stored yet.
#[derive(Debug)]
pub struct Job {
    pub(crate) submission: Submission,
    pub(crate) steps: Vec<StepRun>,
    pub(crate) state: JobState,
    /// The newest known terms of its queue; `None` while no version of the queue is known.
    pub(crate) terms: Option<Arc<QueueTerms>>,
    /// Scheduling priority; the lowest one while the terms are not known.
    pub(crate) priority: u32,
    /// Time at which this leader learned of the job.
    pub(crate) known_ms: u64,
    /// Time at which the job should be completed by the latency objective of its queue.
    pub(crate) due_ms: u64,
    /// Time that the latency objective of its queue allows for the job, in milliseconds.
    pub(crate) allowed_ms: u64,
    /// Whether the job was read from the store when the term began.
    pub(crate) is_loaded: bool,
    pub(crate) changes: JobChanges,
    /// Number of the change that covers the last lost run.
    pub(crate) lost_run_change: u64,
    pub(crate) owner: Owner,
    /// Whether the job exceeded the weight of its workspace when it was accepted.
    pub(crate) exceeds_weight: bool,
    /// Time since which the job waits, as far as the share of its workspace is concerned, in
    /// milliseconds: also before this leader learned of it.
    pub(crate) shared_from_ms: u64,
}

/// Progress of a step.
#[derive(Debug)]
pub(crate) struct StepRun {
    pub(crate) tasks: Vec<Task>,
    pub(crate) done_count: usize,
    pub(crate) advice: StepAdvice,
    /// Failed runs, as task index and run number.
    pub(crate) failed: Vec<(u32, u64)>,
    /// Time at which the log last told why suspects of the step wait, in milliseconds.
    pub(crate) wait_logged_ms: u64,
    /// Time of the last search of whether the tasks need the reserve for urgent work, in milliseconds.
    pub(crate) reserve_searched_ms: u64,
}

/// State of a task.
#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) state: TaskState,
    pub(crate) checkpoint: Bytes,
    pub(crate) waiting_since_ms: u64,
    /// Whether a previous leader may have started the task at a runner that has not answered yet.
    pub(crate) may_be_inherited: bool,
    /// Runner on which the task failed last.
    pub(crate) failed_at: Option<RunnerKey>,
    /// Number of the last known run of the task; 0 before the first.
    pub(crate) last_run: u64,
    /// Whether a run of the task was lost and the task has not been started again since.
    pub(crate) has_lost_run: bool,
    /// Number of the first run that was lost: its runner had not reported how it ended; 0 for none.
    pub(crate) first_lost_run: u64,
    pub(crate) suspicion: Suspicion,
    /// Whether a copy of a run in progress was started; the task has at most one.
    pub(crate) is_copied: bool,
}

/// Whether a task waits, is assigned to a runner or is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// Waits for a runner.
    Waiting,
    /// Is assigned to a runner; its run may be starting, running or stopping.
    Assigned(RunnerKey),
    /// Has completed.
    Done,
}

impl Job {
    pub(crate) fn new(submission: Submission, terms: Option<Arc<QueueTerms>>, now_ms: u64) -> Self {
        let steps: Vec<StepRun> = submission
            .steps
            .iter()
            .map(|step| StepRun {
                tasks: (0..step.count).map(|_| Task::new(now_ms)).collect(),
                done_count: 0,
                advice: StepAdvice::default(),
                failed: Vec::new(),
                wait_logged_ms: 0,
                reserve_searched_ms: 0,
            })
            .collect();
        let mut job = Self {
            steps,
            state: JobState::Queued,
            terms: None,
            priority: u32::MAX,
            known_ms: now_ms,
            due_ms: now_ms,
            allowed_ms: 0,
            is_loaded: false,
            changes: JobChanges::default(),
            lost_run_change: 0,
            owner: Owner::Nobody,
            exceeds_weight: false,
            shared_from_ms: now_ms,
            submission,
        };
        job.set_terms(terms);
        job
    }

    /// Sets the terms of its queue, on which its priority and its objective depend.
    pub(crate) fn set_terms(&mut self, terms: Option<Arc<QueueTerms>>) {
        let work_ms = self.submission.steps.iter().map(|step| step.estimate_ms).sum();
        self.priority = terms.as_ref().map_or(u32::MAX, |terms| terms.priority);
        self.allowed_ms = terms.as_ref().map_or(work_ms, |terms| terms.allowed_ms(work_ms));
        self.due_ms = self.known_ms.saturating_add(self.allowed_ms);
        self.terms = terms;
    }

    /// Service whose runners run the tasks; empty while the terms of the queue are not known.
    pub(crate) fn service(&self) -> &str {
        self.terms.as_ref().map_or("", |terms| &terms.service)
    }

    pub(crate) fn advice_policy(&self) -> Option<AdvicePolicy> {
        self.terms.as_ref()?.advice
    }

    /// Tasks with failed runs.
    pub(crate) fn failed_tasks(&self) -> impl Iterator<Item = TaskId> + '_ {
        self.steps.iter().enumerate().flat_map(|(number, step)| {
            let step_id = self.step_id(number);
            step.failed.iter().map(move |(index, _)| TaskId { step: step_id, index: *index })
        })
    }

    /// Failed runs of a task, or of its gang, and how many are allowed, if they are as many; never while
    /// the terms of the queue are not known.
    pub(crate) fn exhausted_attempts(&self, task: TaskId) -> Option<(Vec<u64>, u32)> {
        let allowed = self.terms.as_ref()?.max_attempts;
        let step = task.step.step as usize;
        let is_gang = self.submission.steps.get(step)?.is_gang;
        let runs = self.steps.get(step)?.failed_runs(task.index, is_gang);
        (!runs.is_empty() && runs.len() >= allowed as usize).then_some((runs, allowed))
    }

    /// Applies the progress that a previous leader stored.
    pub(crate) fn restore(&mut self, progress: &Progress) {
        self.state = progress.state;
        for (step, index) in &progress.done {
            self.mark_done(*step as usize, *index as usize);
        }
        for (step, index, run) in &progress.failed {
            if let Some(step) = self.steps.get_mut(*step as usize) {
                step.record_failure(*index, *run);
            }
        }
        self.restore_crashes(&progress.crashed);
        self.restore_lost_runs(&progress.lost);
    }

    /// Builds the progress record to store.
    pub(crate) fn progress(&self, unix_ms: u64) -> Progress {
        let mut done = Vec::new();
        let mut failed = Vec::new();
        for (number, step) in (0_u32..).zip(&self.steps) {
            let ended =
                (0_u32..).zip(&step.tasks).filter(|(_, task)| task.state == TaskState::Done);
            done.extend(ended.map(|(index, _)| (number, index)));
            failed.extend(step.failed.iter().map(|(index, run)| (number, *index, *run)));
        }
        let ended_unix_ms = if self.state.is_final() { unix_ms } else { 0 };
        let mut crashed = self.crashed_runs();
        if self.state.is_final() {
            done.clear();
            failed.clear();
            crashed.clear();
        }
        Progress { state: self.state, ended_unix_ms, done, failed, crashed, lost: self.lost_runs() }
    }

    /// Marks a task as done; returns whether it was not done before.
    pub(crate) fn mark_done(&mut self, step: usize, index: usize) -> bool {
        let Some(run) = self.steps.get_mut(step) else { return false };
        let Some(task) = run.tasks.get_mut(index) else { return false };
        if task.state == TaskState::Done {
            return false;
        }
        task.state = TaskState::Done;
        run.done_count += 1;
        true
    }

    /// Marks the direct dependents of a step as not started by a previous leader.
    ///
    /// They cannot have been started if one of the runs that they depend on was still in progress
    /// when its runner first answered this leader.
    pub(crate) fn clear_inherited_in_dependents(&mut self, step: usize) {
        let number = u32::try_from(step).unwrap_or(u32::MAX);
        for (later, run) in self.submission.steps.iter().zip(&mut self.steps) {
            if later.after.contains(&number) {
                run.tasks.iter_mut().for_each(|task| task.may_be_inherited = false);
            }
        }
    }

    /// Whether all tasks of the job are done.
    pub(crate) fn is_done(&self) -> bool {
        self.steps.iter().all(StepRun::is_done)
    }

    /// Whether all steps that this one depends on are done and some of its tasks are waiting.
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
        self.done_count == self.tasks.len()
    }

    pub(crate) fn has_waiting(&self) -> bool {
        self.tasks.iter().any(|task| task.state == TaskState::Waiting)
    }

    pub(crate) fn waiting(&self) -> impl Iterator<Item = usize> + '_ {
        let tasks = self.tasks.iter().enumerate();
        tasks.filter(|(_, task)| task.state == TaskState::Waiting).map(|(index, _)| index)
    }

    /// Indices of the waiting tasks that may start now.
    ///
    /// A task that a previous leader may have started must wait until `is_inherited_wait_over`. A
    /// task with a lost run may only start if that `may_follow_lost_runs`: while the leader's lease is
    /// confirmed, since a successor may know how that run ended, and once the lost run is stored.
    pub(crate) fn startable(
        &self,
        is_inherited_wait_over: bool,
        may_follow_lost_runs: bool,
    ) -> impl Iterator<Item = usize> + '_ {
        self.waiting().filter(move |index| {
            let task = &self.tasks[*index];
            (is_inherited_wait_over || !task.may_be_inherited)
                && (may_follow_lost_runs || !task.has_lost_run)
        })
    }

    /// Like [`StepRun::startable`], but without the tasks that have to run in isolation.
    pub(crate) fn unsuspected(
        &self,
        is_inherited_wait_over: bool,
        may_follow_lost_runs: bool,
    ) -> impl Iterator<Item = usize> + '_ {
        let startable = self.startable(is_inherited_wait_over, may_follow_lost_runs);
        startable.filter(|index| !self.tasks[*index].suspicion.is_suspect)
    }

    /// Whether any task of the step has to run in isolation.
    pub(crate) fn has_suspect(&self) -> bool {
        self.tasks.iter().any(|task| task.suspicion.is_suspect)
    }

    /// Records a failed run; returns whether it was not recorded before.
    pub(crate) fn record_failure(&mut self, index: u32, run: u64) -> bool {
        if self.failed.contains(&(index, run)) {
            return false;
        }
        self.failed.push((index, run));
        true
    }

    /// Failed runs of a task; for a gang, of the whole gang, whose members share runs.
    pub(crate) fn failed_runs(&self, index: u32, is_gang: bool) -> Vec<u64> {
        let mut runs: Vec<u64> = self
            .failed
            .iter()
            .filter(|(failed, _)| is_gang || *failed == index)
            .map(|(_, run)| *run)
            .collect();
        runs.sort_unstable();
        runs.dedup();
        runs
    }
}

impl Task {
    fn new(now_ms: u64) -> Self {
        Self {
            state: TaskState::Waiting,
            checkpoint: Bytes::new(),
            waiting_since_ms: now_ms,
            may_be_inherited: false,
            failed_at: None,
            last_run: 0,
            has_lost_run: false,
            first_lost_run: 0,
            suspicion: Suspicion::default(),
            is_copied: false,
        }
    }

    pub(crate) fn mark_waiting(&mut self, now_ms: u64) {
        self.state = TaskState::Waiting;
        self.waiting_since_ms = now_ms;
    }
}
