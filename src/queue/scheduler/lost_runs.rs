//! Withholds the acknowledgement of late done ends.
//!
//! A run is lost if it was given up before its end was read. Its task starts again, but only once the
//! job's progress record names the run: a leader that reads a done end of it later, even after the job
//! has ended, must not acknowledge that end.

use crate::decision_log;
use crate::queue::model::{EndedRun, RunEnd, Step, TaskId};
use crate::queue::record::LostRunRecord;
use crate::queue::scheduler::job::{Job, Task, TaskState};
use crate::queue::scheduler::runner::RunnerKey;
use crate::queue::scheduler::Scheduler;

impl Job {
    /// Whether all lost runs are stored, so that a successor knows of them.
    pub(crate) fn are_lost_runs_stored(&self) -> bool {
        self.changes.is_stored(self.lost_run_change)
    }

    /// Tasks that have been started again after a lost run, or may be, for the progress record.
    pub(crate) fn lost_runs(&self) -> Vec<LostRunRecord> {
        let mut lost = Vec::new();
        for (number, step) in (0_u32..).zip(&self.steps) {
            for (index, task) in (0_u32..).zip(&step.tasks) {
                let bound = task.acknowledgeable_from(self.state.is_final());
                lost.extend(bound.map(|run| LostRunRecord { step: number, index, run }));
            }
        }
        lost
    }

    /// Restores the lost runs from a progress record.
    pub(crate) fn restore_lost_runs(&mut self, lost: &[LostRunRecord]) {
        for record in lost {
            let step = self.steps.get_mut(record.step as usize);
            let Some(task) = step.and_then(|step| step.tasks.get_mut(record.index as usize)) else {
                continue;
            };
            task.record_lost_run(record.run.saturating_sub(1));
            // The task may have been started again after the record was written.
            task.last_run = task.last_run.max(record.run);
        }
    }
}

impl Task {
    fn record_lost_run(&mut self, run: u64) {
        if self.first_lost_run == 0 || run < self.first_lost_run {
            self.first_lost_run = run;
        }
    }

    /// Number below which the done ends of runs must not be acknowledged; `None` if no run was lost
    /// after which the task has been started again, or still may be.
    fn acknowledgeable_from(&self, is_job_ended: bool) -> Option<u64> {
        if self.first_lost_run == 0 {
            return None;
        }
        if is_job_ended || self.state == TaskState::Done {
            return (self.first_lost_run < self.last_run).then_some(self.last_run);
        }
        let last_run = self.last_run + u64::from(self.has_lost_run);
        Some(last_run.max(self.first_lost_run + 1))
    }
}

impl Scheduler {
    /// Records that runs of former leaders may be lost: tasks that can start are about to, although
    /// some runners have not answered.
    pub(super) fn record_inherited_losses(&mut self) {
        let last_run = self.last_run;
        let mut changed = Vec::new();
        for (key, job) in &mut self.jobs {
            if job.state.is_final() {
                continue;
            }
            for step in 0..job.steps.len() {
                if may_repeat(&job.submission.steps[step]) || !job.is_ready(step) {
                    continue;
                }
                let is_inherited =
                    |task: &&mut Task| task.may_be_inherited && task.state == TaskState::Waiting;
                for task in job.steps[step].tasks.iter_mut().filter(is_inherited) {
                    task.record_lost_run(last_run);
                    changed.push(key);
                }
            }
        }
        changed.dedup();
        for key in changed {
            self.mark_dirty(key);
        }
    }

    /// Records that the end of a run was not reported; for a gang, on all its members, which share
    /// their runs.
    pub(super) fn record_lost_run(&mut self, task: TaskId, run: u64) {
        let Some(job_key) = self.job_keys.get(&task.step.job).copied() else { return };
        let job = &mut self.jobs[job_key];
        let number = task.step.step as usize;
        let Some(declared) = job.submission.steps.get(number) else { return };
        let (is_gang, is_repeatable) = (declared.is_gang, may_repeat(declared));
        let record = |task: &mut Task| {
            task.has_lost_run = true;
            if !is_repeatable {
                task.record_lost_run(run);
            }
        };
        if is_gang {
            job.steps[number].tasks.iter_mut().for_each(record);
        } else {
            job.task_mut(task).into_iter().for_each(record);
        }
        if !is_repeatable && !job.state.is_final() {
            self.mark_dirty(job_key);
            let job = &mut self.jobs[job_key];
            job.lost_run_change = job.changes.latest();
        }
    }

    /// Withholds the acknowledgement of a late done end whose task has been started again since.
    ///
    /// If nothing else runs on the runner, no lease need expire there between the end and the later
    /// start. Acknowledging the end would then confirm that the task was done before it was started
    /// again.
    pub(super) fn withhold_end(&mut self, key: RunnerKey, ended: &EndedRun) {
        if ended.end != RunEnd::Done || !self.has_later_run(ended) {
            return;
        }
        self.record_withheld_run(ended);
        let runner = &mut self.runners[key];
        let is_first = runner.withheld_end.is_none_or(|withheld| ended.number < withheld);
        if !is_first {
            return;
        }
        runner.withheld_end = Some(ended.number);
        decision_log::line("end_withheld")
            .with("task", ended.task)
            .with("run", ended.run)
            .with("runner", &runner.id)
            .end();
    }

    /// Records the run of a withheld end as lost, so that a successor withholds it as well.
    fn record_withheld_run(&mut self, ended: &EndedRun) {
        let Some(job_key) = self.job_keys.get(&ended.task.step.job).copied() else { return };
        let Some(task) = self.jobs[job_key].task_mut(ended.task) else { return };
        if task.first_lost_run == 0 || ended.run < task.first_lost_run {
            task.record_lost_run(ended.run);
            self.mark_dirty(job_key);
        }
    }

    /// Whether the task of an ended run has been started again since, although it should not be: copies
    /// and long-running tasks may.
    fn has_later_run(&self, ended: &EndedRun) -> bool {
        let task = ended.task;
        let Some(job) = self.job_keys.get(&task.step.job).and_then(|key| self.jobs.get(*key))
        else {
            return self.retention.has_later_run(task, ended.run);
        };
        let step = task.step.step as usize;
        let is_repeatable = job.submission.steps.get(step).is_some_and(may_repeat);
        let known = job.steps.get(step).and_then(|step| step.tasks.get(task.index as usize));
        !is_repeatable && known.is_some_and(|known| known.last_run > ended.run)
    }
}

/// Whether the tasks of a step may be started again after one of their runs has ended as done.
fn may_repeat(step: &Step) -> bool {
    step.may_copy || step.is_long_running
}
