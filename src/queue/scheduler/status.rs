//! Takes in what runners list: what runs, what has ended, and that a life has ended.

use std::fmt::Write as _;

use crate::decision_log;
use crate::queue::model::{
    EndedRun, JobState, OrderError, RunEnd, RunnerId, RunnerReport, RunnerStatus, RunningTask,
    Step, TaskId,
};
use crate::queue::scheduler::job::Place;
use crate::queue::scheduler::runner::{Assigned, Phase, Runner, RunnerKey};
use crate::queue::scheduler::Scheduler;

/// Ends that a runner lists at once; with that many, more may follow.
const ENDS_LISTED: usize = 500;

/// Pause after each failed renewal in a row, in milliseconds; a few fit into a lease.
const HOLD_RETRY_MS: u64 = 250;

/// Failed renewals after which the pause no longer grows.
const HOLD_RETRY_STEPS: u64 = 4;

impl Scheduler {
    pub(super) fn list_runner(&mut self, report: RunnerReport, now_ms: u64) {
        let Some(key) = self.runner_keys.get(&report.id).copied() else {
            decision_log::line("runner_found")
                .with("runner", &report.id)
                .with("zone", &report.zone)
                .end();
            let id = report.id.clone();
            let key = self.runners.insert(Runner::new(report));
            self.runner_keys.insert(id, key);
            return;
        };
        let runner = &mut self.runners[key];
        if runner.is_draining != report.is_draining || !runner.is_listed {
            decision_log::line("runner_state")
                .with("runner", &report.id)
                .with("draining", report.is_draining)
                .with("leaves_in_ms", report.leaves_in_ms.unwrap_or_default())
                .end();
        }
        if runner.listed_born_unix_ms != report.born_unix_ms {
            runner.hold.next_ms = now_ms;
        }
        runner.update(report);
    }

    pub(super) fn unlist_runner(&mut self, id: &RunnerId) {
        let Some(key) = self.runner_keys.get(id).copied() else { return };
        let runner = &mut self.runners[key];
        runner.is_listed = false;
        decision_log::line("runner_unlisted")
            .with("runner", id)
            .with("tasks", runner.assigned.len())
            .with("draining", runner.is_draining)
            .end();
    }

    pub(super) fn expect_runner(&mut self, id: RunnerId, address: String) {
        if self.runner_keys.contains_key(&id) {
            return;
        }
        let key = self.runners.insert(Runner::expected(id.clone(), address));
        self.runner_keys.insert(id, key);
    }

    pub(super) fn held(
        &mut self,
        key: RunnerKey,
        sent_ms: u64,
        result: Result<RunnerStatus, OrderError>,
        now_ms: u64,
    ) {
        let Some(runner) = self.runners.get_mut(key) else { return };
        runner.hold.is_in_flight = false;
        let status = match result {
            Ok(status) => status,
            Err(error) => {
                runner.hold.failures += 1;
                let steps = u64::from(runner.hold.failures).min(HOLD_RETRY_STEPS);
                runner.hold.next_ms = now_ms + HOLD_RETRY_MS * steps;
                if runner.hold.failures == 1 {
                    decision_log::line("runner_lost")
                        .with("runner", &runner.id)
                        .with("error", format_args!("{error:?}"))
                        .with("tasks", runner.assigned.len())
                        .with("lapses_in_ms", runner.lapses_ms().saturating_sub(now_ms))
                        .end();
                    self.copy_elsewhere(key, now_ms);
                }
                return;
            }
        };
        if runner.hold.failures > 0 {
            decision_log::line("runner_regained").with("runner", &runner.id).end();
        }
        runner.hold.failures = 0;
        runner.hold.answered_ms = now_ms;
        runner.hold.next_ms = now_ms + self.config.hold_gap_ms;
        if runner.born_unix_ms != Some(status.born_unix_ms) {
            self.begin_life(key, status.born_unix_ms, now_ms);
        }
        let run_lease_ms = self.config.run_lease_ms;
        let runner = &mut self.runners[key];
        if !runner.is_fenced {
            // A former leader may have renewed what runs there just before.
            let former_until_ms = status.clock_ms + run_lease_ms;
            runner.until_sent_ms = runner.until_sent_ms.max(former_until_ms);
        }
        runner.is_fenced = true;
        // The answer was written before it arrived: its clock is taken as that of now, which errs
        // towards a longer lease than the runner's.
        runner.clock = Some((status.clock_ms, now_ms));
        let is_whole = status.ended.len() < ENDS_LISTED;
        self.log_ends(key, &status.ended, now_ms.saturating_sub(sent_ms));
        let lapsed = status.ended.iter().filter(|ended| ended.end == RunEnd::Lapsed);
        let lapsed_number = lapsed.map(|ended| ended.number).max().unwrap_or_default();
        for ended in &status.ended {
            self.withhold(key, ended, lapsed_number);
            self.take_end(key, ended, now_ms);
        }
        let listed: Vec<(TaskId, u64)> =
            status.running.iter().map(|row| (row.task, row.run)).collect();
        for row in status.running {
            self.take_running(key, row, now_ms);
        }
        if is_whole {
            self.drop_missing(key, &listed, sent_ms, now_ms);
        }
    }

    /// One line for all ends of an answer that are news.
    fn log_ends(&self, key: RunnerKey, ended: &[EndedRun], held_ms: u64) {
        let runner = &self.runners[key];
        let mut ends = String::new();
        for end in ended.iter().filter(|end| end.number > runner.seen) {
            let _ = write!(ends, "{}:{}:{:?} ", end.task, end.run, end.end);
        }
        if !ends.is_empty() {
            decision_log::line("runs_ended")
                .with("runner", &runner.id)
                .with("runs", ends.trim_end())
                .with("held_ms", held_ms)
                .end();
        }
    }

    /// What ran in the former life has ended with it; orders without an answer may still come.
    fn begin_life(&mut self, key: RunnerKey, born_unix_ms: u64, now_ms: u64) {
        let runner = &mut self.runners[key];
        let former = runner.born_unix_ms;
        runner.begin_life(born_unix_ms);
        self.saving.forget_runner(key);
        let runner = &mut self.runners[key];
        if former.is_none() {
            return;
        }
        decision_log::line("runner_reborn")
            .with("runner", &runner.id)
            .with("tasks", runner.assigned.len())
            .end();
        let mut lost = Vec::new();
        for (task, assigned) in &mut runner.assigned {
            match assigned.phase {
                Phase::Starting { is_unsure: false } if assigned.is_order_in_flight => {}
                Phase::Starting { .. } => assigned.stop(now_ms),
                _ => lost.push(*task),
            }
        }
        self.lose(key, &lost, "reborn", now_ms);
        for job in self.jobs.values_mut() {
            for step in &mut job.steps {
                step.advice.forget_ticket(key);
            }
        }
    }

    /// Keeps an end from being acknowledged whose task has started elsewhere since.
    ///
    /// The lease of a runner where nothing runs any more need not lapse: to acknowledge the end
    /// would confirm that the task was done before it started again.
    fn withhold(&mut self, key: RunnerKey, ended: &EndedRun, lapsed_number: u64) {
        let runner = &self.runners[key];
        let is_late = ended.end == RunEnd::Done
            && ended.number > runner.seen
            && ended.number > lapsed_number
            && runner.given_up.contains(&(ended.task, ended.run));
        if !is_late || runner.withheld.is_some() {
            return;
        }
        let job = self.job_keys.get(&ended.task.step.job).and_then(|job| self.jobs.get_mut(*job));
        let place = job.and_then(|job| job.task_mut(ended.task)).map(|task| task.place);
        if place == Some(Place::Waiting) {
            return;
        }
        self.runners[key].withheld = Some(ended.number);
        decision_log::line("end_withheld")
            .with("task", ended.task)
            .with("run", ended.run)
            .with("runner", &self.runners[key].id)
            .end();
    }

    fn take_end(&mut self, key: RunnerKey, ended: &EndedRun, now_ms: u64) {
        let runner = &mut self.runners[key];
        if ended.number <= runner.seen {
            return;
        }
        runner.seen = ended.number;
        let task = ended.task;
        let is_current =
            runner.assigned.get(&task).is_some_and(|assigned| assigned.run == ended.run);
        if is_current {
            runner.release(task);
        }
        match ended.end {
            RunEnd::Done => runner.failed_jobs.clear(),
            RunEnd::Failed => self.note_runner_failure(key, task, now_ms),
            _ => {}
        }
        self.apply_end(key, ended, is_current, now_ms);
    }

    fn apply_end(&mut self, key: RunnerKey, ended: &EndedRun, is_current: bool, now_ms: u64) {
        let task = ended.task;
        let Some(job_key) = self.job_keys.get(&task.step.job).copied() else { return };
        let job = &mut self.jobs[job_key];
        let (step, index) = (task.step.step as usize, task.index as usize);
        let Some(declared) = job.submission.steps.get(step) else { return };
        let (is_gang, is_lasting) = (declared.is_gang, declared.is_lasting);
        if is_current {
            if let Some(run) = job.task_mut(task).filter(|run| run.place == Place::At(key)) {
                run.wait(now_ms);
            }
        }
        if !ended.checkpoint.is_empty() && ended.end != RunEnd::Done {
            if let Some(run) = job.task_mut(task) {
                run.checkpoint = ended.checkpoint.clone();
            }
        }
        match ended.end {
            RunEnd::Done if !is_lasting => {
                if is_current {
                    job.disinherit_after(step);
                }
                self.take_done(job_key, step, index, is_gang, now_ms);
            }
            RunEnd::Failed if !is_lasting => {
                if let Some(run) = job.task_mut(task) {
                    run.failed_at = Some(key);
                }
                let max_attempts = job.max_attempts;
                if job.steps[step].note_failure(task.index, ended.run) {
                    self.saving.note(job_key);
                }
                if job.steps[step].failures(task.index, is_gang) >= max_attempts {
                    self.finish(job_key, JobState::Failed, now_ms);
                }
            }
            _ => {}
        }
    }

    fn take_done(
        &mut self,
        job_key: super::JobKey,
        step: usize,
        index: usize,
        is_gang: bool,
        now_ms: u64,
    ) {
        let job = &mut self.jobs[job_key];
        let count = job.steps[step].tasks.len();
        let ended = if is_gang { 0..count } else { index..index + 1 };
        let mut news = Vec::new();
        for index in ended {
            let place = job.steps[step].tasks.get(index).map(|task| task.place);
            if job.mark_done(step, index) {
                news.push((job.task_id(step, index), place));
            }
        }
        if news.is_empty() {
            return;
        }
        let is_done = job.is_done();
        self.saving.note(job_key);
        for (task, place) in news {
            // Another run of a task that is done must not go on; members of a gang end together.
            if let (Some(Place::At(at)), false) = (place, is_gang) {
                if let Some(other) = self.runners[at].assigned.get_mut(&task) {
                    other.stop(now_ms);
                }
            }
        }
        if is_done {
            self.finish(job_key, JobState::Completed, now_ms);
        }
    }

    fn take_running(&mut self, key: RunnerKey, row: RunningTask, now_ms: u64) {
        let job_key = self.job_keys.get(&row.task.step.job).copied();
        let runner = &mut self.runners[key];
        if let Some(assigned) =
            runner.assigned.get_mut(&row.task).filter(|known| known.run == row.run)
        {
            assigned.advance(row.percent, row.load, now_ms);
            if matches!(assigned.phase, Phase::Starting { .. }) {
                assigned.phase = Phase::Running { since_ms: now_ms };
            }
            let job = job_key.and_then(|job| self.jobs.get_mut(job));
            if let Some(job) = job {
                if job.state == JobState::Queued {
                    job.state = JobState::Active;
                }
                if let Some(task) = job.task_mut(row.task) {
                    task.checkpoint = row.checkpoint;
                }
            }
            return;
        }
        if runner.assigned.get(&row.task).is_some_and(|known| known.run > row.run) {
            return;
        }
        self.adopt(key, row, now_ms);
    }

    /// Takes over a run that a former leader has started, or lets it be stopped.
    fn adopt(&mut self, key: RunnerKey, row: RunningTask, now_ms: u64) {
        let job_key = self.job_keys.get(&row.task.step.job).copied();
        let job = job_key.and_then(|job| self.jobs.get_mut(job));
        let unknown = Step::default();
        let step =
            job.as_ref().and_then(|job| job.submission.steps.get(row.task.step.step as usize));
        let mut assigned = Assigned::new(row.run, step.unwrap_or(&unknown), now_ms);
        if step.is_none() {
            // Nobody knows what it needs: it may be all that the runner has.
            assigned.room = self.runners[key].capacity;
        }
        assigned.phase = Phase::Stopping { ordered_ms: None };
        assigned.is_order_in_flight = false;
        assigned.advance(row.percent, row.load, now_ms);
        if let Some(job) = job {
            let is_wanted = !job.state.is_final();
            if job.state == JobState::Queued {
                job.state = JobState::Active;
            }
            if let Some(task) = job.task_mut(row.task) {
                task.is_inherited = false;
                if is_wanted && task.place == Place::Waiting {
                    task.place = Place::At(key);
                    task.checkpoint = row.checkpoint;
                    assigned.phase = Phase::Running { since_ms: now_ms };
                }
            }
        }
        decision_log::line("run_found")
            .with("task", row.task)
            .with("run", row.run)
            .with("runner", &self.runners[key].id)
            .with("kept", matches!(assigned.phase, Phase::Running { .. }))
            .end();
        self.runners[key].assign(row.task, assigned);
    }

    /// Drops what the runner does not list although it was confirmed before the renewal was sent.
    fn drop_missing(
        &mut self,
        key: RunnerKey,
        listed: &[(TaskId, u64)],
        sent_ms: u64,
        now_ms: u64,
    ) {
        let runner = &self.runners[key];
        let missing: Vec<TaskId> = runner
            .assigned
            .iter()
            .filter(|(task, assigned)| {
                let is_confirmed = match assigned.phase {
                    Phase::Starting { .. } | Phase::Stopping { ordered_ms: None } => false,
                    Phase::Running { since_ms } => since_ms < sent_ms,
                    Phase::Stopping { ordered_ms: Some(ordered_ms) } => ordered_ms < sent_ms,
                };
                is_confirmed && !listed.contains(&(**task, assigned.run))
            })
            .map(|(task, _)| *task)
            .collect();
        self.lose(key, &missing, "not listed", now_ms);
    }

    /// Takes tasks away from a runner where they certainly do not run any more.
    pub(super) fn lose(&mut self, key: RunnerKey, tasks: &[TaskId], reason: &str, now_ms: u64) {
        for task in tasks {
            let Some(assigned) = self.runners[key].release(*task) else { continue };
            self.runners[key].given_up.insert((*task, assigned.run));
            decision_log::line("run_lost")
                .with("task", task)
                .with("run", assigned.run)
                .with("runner", &self.runners[key].id)
                .with("reason", reason)
                .end();
            self.free_task(key, *task, now_ms);
            self.note_given_up(*task);
        }
    }

    /// Notes that nobody has told how a run of the task ended; members of a gang share their runs.
    fn note_given_up(&mut self, task: TaskId) {
        let Some(job_key) = self.job_keys.get(&task.step.job).copied() else { return };
        let job = &mut self.jobs[job_key];
        let number = task.step.step as usize;
        if job.submission.steps.get(number).is_some_and(|step| step.is_gang) {
            job.steps[number].tasks.iter_mut().for_each(|task| task.is_given_up = true);
        } else if let Some(task) = job.task_mut(task) {
            task.is_given_up = true;
        }
    }

    /// Lets a task that was at this runner wait again; a gang is stopped as a whole.
    pub(super) fn free_task(&mut self, key: RunnerKey, task: TaskId, now_ms: u64) {
        let Some(job_key) = self.job_keys.get(&task.step.job).copied() else { return };
        let job = &mut self.jobs[job_key];
        let is_gang =
            job.submission.steps.get(task.step.step as usize).is_some_and(|step| step.is_gang);
        if let Some(run) = job.task_mut(task).filter(|run| run.place == Place::At(key)) {
            run.wait(now_ms);
        }
        if !is_gang {
            return;
        }
        for runner in self.runners.values_mut() {
            for (other, assigned) in &mut runner.assigned {
                if other.step == task.step {
                    assigned.stop(now_ms);
                }
            }
        }
    }
}
