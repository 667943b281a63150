//! Processes the records and status reports of runners: running and ended runs, and restarts.

use std::fmt::Write as _;

use crate::decision_log;
use crate::queue::model::{
    EndedRun, JobState, OrderError, RunEnd, RunnerId, RunnerReport, RunnerStatus, RunningTask,
    Step, TaskId,
};
use crate::queue::scheduler::end_cause::EndCause;
use crate::queue::scheduler::job::TaskState;
use crate::queue::scheduler::runner::{Assignment, RunPhase, Runner, RunnerKey, UnsavedEnd};
use crate::queue::scheduler::shares::Owner;
use crate::queue::scheduler::Scheduler;

/// Maximum number of ended runs in one status report; a report with as many may be incomplete.
const MAX_LISTED_ENDS: usize = 500;

/// Delay after the first failed renewal, in milliseconds; several attempts fit into a lease. Each
/// further failure in a row adds as much.
const RENEWAL_RETRY_MS: u64 = 250;

/// Number of consecutive failed renewals after which the delay no longer grows.
const MAX_RENEWAL_RETRY_STEPS: u64 = 4;

impl Scheduler {
    pub(super) fn list_runner(&mut self, report: RunnerReport, now_ms: u64) {
        let Some(key) = self.runner_keys.get(&report.id).copied() else {
            decision_log::line("runner_found")
                .with("runner", &report.id)
                .with("zone", &report.zone)
                .end();
            let (id, address) = (report.id.clone(), report.address.clone());
            let started_unix_ms = report.started_unix_ms;
            let key = self.runners.insert(Runner::new(report, self.last_token));
            self.retract_crash(&id, started_unix_ms);
            self.confirm_crashes_at(&address, &id, now_ms);
            self.runner_keys.insert(id, key);
            return;
        };
        if !self.runners[key].is_listed {
            self.retract_crash(&report.id, report.started_unix_ms);
        }
        let runner = &mut self.runners[key];
        if runner.is_draining != report.is_draining || !runner.is_listed {
            decision_log::line("runner_state")
                .with("runner", &report.id)
                .with("draining", report.is_draining)
                .with("leaves_in_ms", report.leaves_in_ms.unwrap_or_default())
                .end();
        }
        if runner.listed_started_unix_ms != report.started_unix_ms {
            runner.renewal.next_ms = now_ms;
            if runner.has_unconfirmed_start() {
                runner.expect_long_lease(self.config.max_run_lease_ms, now_ms);
            }
        }
        runner.update(report);
    }

    pub(super) fn unlist_runner(&mut self, id: &RunnerId, now_ms: u64) {
        let Some(key) = self.runner_keys.get(id).copied() else { return };
        let runner = &mut self.runners[key];
        runner.is_listed = false;
        decision_log::line("runner_unlisted")
            .with("runner", id)
            .with("tasks", runner.assignments.len())
            .with("draining", runner.is_draining)
            .end();
        self.settle_lapsed_runs(key, now_ms);
    }

    pub(super) fn renewal_finished(
        &mut self,
        key: RunnerKey,
        sent_ms: u64,
        result: Result<RunnerStatus, OrderError>,
        now_ms: u64,
    ) {
        let Some(runner) = self.runners.get_mut(key) else { return };
        runner.renewal.is_in_flight = false;
        let status = match result {
            Ok(status) => status,
            Err(error) => {
                runner.renewal.failures += 1;
                let steps = u64::from(runner.renewal.failures).min(MAX_RENEWAL_RETRY_STEPS);
                runner.renewal.next_ms = now_ms + RENEWAL_RETRY_MS * steps;
                if runner.renewal.failures == 1 {
                    decision_log::line("runner_lost")
                        .with("runner", &runner.id)
                        .with("error", format_args!("{error:?}"))
                        .with("tasks", runner.assignments.len())
                        .with("lapses_in_ms", runner.lease_lapsed_by_ms().saturating_sub(now_ms))
                        .end();
                    // The runner refuses orders that are still on their way once it has answered the
                    // next renewal.
                    let token = self.new_token();
                    self.runners[key].token = token;
                    self.record_silence(key, now_ms);
                    self.restart_copyable_tasks(key, now_ms);
                }
                return;
            }
        };
        if runner.renewal.failures > 0 {
            decision_log::line("runner_regained").with("runner", &runner.id).end();
        }
        runner.renewal.failures = 0;
        runner.renewal.answered_ms = now_ms;
        runner.renewal.seen_ms = sent_ms;
        // The end of a suspect's run has to be known before a crash can be attributed to it.
        let gap_ms = if runner.crash.probe.is_some() { 0 } else { self.config.hold_gap_ms };
        runner.renewal.next_ms = now_ms + gap_ms;
        let is_restarted = runner.started_unix_ms.is_some_and(|at| at != status.started_unix_ms);
        if runner.started_unix_ms != Some(status.started_unix_ms) {
            self.begin_incarnation(key, &status, now_ms);
        }
        self.record_answer(key);
        let long_lease_ms = self.long_lease_ms();
        let runner = &mut self.runners[key];
        if !is_restarted {
            runner.confirm_starts_before(sent_ms);
            runner.delivered_end = runner.delivered_end.max(runner.sent_end);
        }
        if !runner.is_fenced {
            let lease_ms = runner.unknown_lease_ms(&self.config, status.clock_ms, now_ms);
            runner.lease_sent_until_ms = runner.lease_sent_until_ms.max(status.clock_ms + lease_ms);
        }
        // This answer belongs to an order with the token of the former incarnation.
        runner.is_fenced = !is_restarted;
        if runner.is_fenced {
            runner.roster.fence(long_lease_ms, now_ms);
        }
        // The clock was read before the answer arrived. Taking it for the current one makes the
        // remaining lease appear longer than it is, which is the safe direction.
        runner.clock_sample = Some((status.clock_ms, now_ms));
        let ends = self.processable_ends(key, &status.ended);
        let is_complete = ends.len() == status.ended.len() && ends.len() < MAX_LISTED_ENDS;
        self.log_ends(key, ends, now_ms.saturating_sub(sent_ms));
        let lapsed = ends.iter().filter(|ended| ended.end == RunEnd::Lapsed);
        let lapsed_number = lapsed.map(|ended| ended.number).max().unwrap_or_default();
        self.runners[key].release_withheld_end(lapsed_number);
        for ended in ends {
            if ended.number > self.runners[key].last_seen_end.max(lapsed_number) {
                self.withhold_end(key, ended);
            }
            self.process_end(key, ended, now_ms);
        }
        let listed: Vec<(TaskId, u64)> =
            status.running.iter().map(|row| (row.task, row.run)).collect();
        for row in status.running {
            self.process_running(key, row, now_ms);
        }
        if is_complete {
            self.release_unlisted(key, &listed, sent_ms, now_ms);
        }
    }

    /// Logs all newly reported ends of an answer in one line.
    fn log_ends(&self, key: RunnerKey, ended: &[EndedRun], held_ms: u64) {
        let runner = &self.runners[key];
        let mut ends = String::new();
        for end in ended.iter().filter(|end| end.number > runner.last_seen_end) {
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

    /// Handles a restart of a runner.
    ///
    /// The runs of the previous incarnation have ended with it. An unanswered start order may still
    /// reach the new one, so that its run is stopped.
    fn begin_incarnation(&mut self, key: RunnerKey, status: &RunnerStatus, now_ms: u64) {
        let runner = &mut self.runners[key];
        let former = runner.started_unix_ms;
        let (former_clock, former_until_ms) = (runner.clock_sample, runner.lease_sent_until_ms);
        let unanswered_orders = runner.orders_in_flight();
        runner.begin_incarnation(status.started_unix_ms);
        if former.is_none() {
            runner.roster.meet(status.started_unix_ms);
            return;
        }
        runner.roster.restart();
        let token = self.new_token();
        let runner = &mut self.runners[key];
        runner.token = token;
        runner.is_fenced = false;
        runner.renewal.next_ms = now_ms;
        decision_log::line("runner_reborn")
            .with("runner", &runner.id)
            .with("tasks", runner.assignments.len())
            .with("started_unix_ms", status.started_unix_ms)
            .with("clock_ms", status.clock_ms)
            .with("former_clock_ms", former_clock.map_or(0, |(clock_ms, _)| clock_ms))
            .with("former_lease_until_ms", former_until_ms)
            .with("unanswered_orders", unanswered_orders)
            .end();
        self.record_restart(key, now_ms);
        let runner = &mut self.runners[key];
        let mut lost = Vec::new();
        for (task, assignment) in &mut runner.assignments {
            match assignment.phase {
                RunPhase::Starting { is_unsure: false } if assignment.is_order_in_flight => {}
                RunPhase::Starting { .. } => assignment.stop(now_ms),
                _ if assignment.is_start_confirmed => lost.push(*task),
                // The new incarnation may have begun the run after it had written this status.
                RunPhase::Running { .. } => {
                    assignment.phase = RunPhase::Running { since_ms: now_ms };
                }
                RunPhase::Stopping { .. } => {
                    assignment.phase = RunPhase::Stopping { ordered_ms: None };
                    assignment.retry_ms = now_ms;
                }
            }
        }
        self.mark_lost(key, &lost, "reborn", now_ms);
        for job in self.jobs.values_mut() {
            for step in &mut job.steps {
                step.advice.forget_runner(key);
            }
        }
    }

    fn process_end(&mut self, key: RunnerKey, ended: &EndedRun, now_ms: u64) {
        let runner = &mut self.runners[key];
        if ended.number <= runner.last_seen_end {
            return;
        }
        runner.last_seen_end = ended.number;
        let task = ended.task;
        let is_current =
            runner.assignments.get(&task).is_some_and(|assignment| assignment.run == ended.run);
        let released = if is_current { self.release_run(key, task) } else { None };
        match ended.end {
            RunEnd::Done => self.runners[key].failed_jobs.clear(),
            RunEnd::Failed => self.record_runner_failure(key, task, now_ms),
            _ => {}
        }
        if self.is_unknown(task.step.job) {
            self.keep_end(key, ended, now_ms);
            return;
        }
        if let (RunEnd::Done, Some(assignment)) = (ended.end, &released) {
            self.measure_run(key, task, assignment, now_ms);
            self.record_estimate_error(key, task, assignment, now_ms);
        }
        self.apply_end(key, ended, is_current, now_ms);
        self.await_stored_outcome(key, ended);
    }

    /// Withholds the acknowledgement of an end until the changes of its job are stored.
    pub(super) fn await_stored_outcome(&mut self, key: RunnerKey, ended: &EndedRun) {
        let Some(job_key) = self.job_keys.get(&ended.task.step.job).copied() else { return };
        if let Some(change) = self.jobs[job_key].changes.unsaved() {
            let unsaved = UnsavedEnd { number: ended.number, job: job_key, change };
            let ends = &mut self.runners[key].unsaved_ends;
            let at = ends.partition_point(|known| known.number < unsaved.number);
            ends.insert(at, unsaved);
        }
    }

    pub(super) fn apply_end(
        &mut self,
        key: RunnerKey,
        ended: &EndedRun,
        is_current: bool,
        now_ms: u64,
    ) {
        let task = ended.task;
        let Some(job_key) = self.job_keys.get(&task.step.job).copied() else { return };
        let job = &mut self.jobs[job_key];
        let (step, index) = (task.step.step as usize, task.index as usize);
        let Some(declared) = job.submission.steps.get(step) else { return };
        let (is_gang, is_long_running) = (declared.is_gang, declared.is_long_running);
        if let Some(known) = job.task_mut(task) {
            known.last_run = known.last_run.max(ended.run);
        }
        if is_current {
            if let Some(run) =
                job.task_mut(task).filter(|run| run.state == TaskState::Assigned(key))
            {
                run.mark_waiting(now_ms);
            }
        }
        if !ended.checkpoint.is_empty() && ended.end != RunEnd::Done {
            if let Some(run) = job.task_mut(task) {
                run.checkpoint = ended.checkpoint.clone();
            }
        }
        match ended.end {
            RunEnd::Done if !is_long_running => {
                if is_current {
                    job.clear_inherited_in_dependents(step);
                }
                self.complete_task(job_key, step, index, is_gang, now_ms);
            }
            RunEnd::Failed if !is_long_running => {
                if let Some(run) = job.task_mut(task) {
                    run.failed_at = Some(key);
                }
                let is_new = job.steps[step].record_failure(task.index, ended.run);
                if is_new {
                    self.mark_dirty(job_key);
                }
                self.fail_if_exhausted(job_key, task, now_ms);
            }
            _ => {}
        }
    }

    fn complete_task(
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
        let mut completed = Vec::new();
        for index in ended {
            let state = job.steps[step].tasks.get(index).map(|task| task.state);
            if job.mark_done(step, index) {
                let is_copied = job.steps[step].tasks[index].is_copied;
                completed.push((job.task_id(step, index), state, is_copied));
            }
        }
        if completed.is_empty() {
            return;
        }
        let is_done = job.is_done();
        if job.steps[step].is_done() {
            self.speeds.complete_step(job.step_id(step), now_ms);
        }
        self.mark_dirty(job_key);
        for (task, state, is_copied) in completed {
            if is_copied {
                self.stop_runs_of(task, now_ms);
            }
            // Another run of a completed task must not go on; the members of a gang end by themselves.
            if let (Some(TaskState::Assigned(at)), false) = (state, is_gang) {
                if let Some(other) = self.runners[at].assignments.get_mut(&task) {
                    other.stop(now_ms);
                }
            }
        }
        if is_done {
            self.finish(job_key, JobState::Completed, &EndCause::TasksDone, now_ms);
        }
    }

    fn process_running(&mut self, key: RunnerKey, row: RunningTask, now_ms: u64) {
        let job_key = self.job_keys.get(&row.task.step.job).copied();
        let runner = &mut self.runners[key];
        if let Some(assignment) =
            runner.assignments.get_mut(&row.task).filter(|known| known.run == row.run)
        {
            assignment.update_progress(row.percent, row.load, now_ms);
            assignment.is_start_confirmed = true;
            if matches!(assignment.phase, RunPhase::Starting { .. }) {
                assignment.phase = RunPhase::Running { since_ms: now_ms };
            }
            let job = job_key.and_then(|job| self.jobs.get_mut(job));
            if let Some(job) = job {
                if job.state == JobState::Queued {
                    job.state = JobState::Active;
                }
                if let Some(task) = job.task_mut(row.task) {
                    if task.checkpoint != row.checkpoint {
                        assignment.saved_ms = now_ms;
                    }
                    task.checkpoint = row.checkpoint;
                }
            }
            return;
        }
        if runner.assignments.get(&row.task).is_some_and(|known| known.run > row.run) {
            return;
        }
        self.adopt_run(key, row, now_ms);
    }

    /// Adopts a run that a previous leader started, or stops it if its task does not wait for it.
    fn adopt_run(&mut self, key: RunnerKey, row: RunningTask, now_ms: u64) {
        let job_key = self.job_keys.get(&row.task.step.job).copied();
        let job = job_key.and_then(|job| self.jobs.get_mut(job));
        let unknown_step = Step::default();
        let step =
            job.as_ref().and_then(|job| job.submission.steps.get(row.task.step.step as usize));
        let mut assignment = Assignment::new(row.run, step.unwrap_or(&unknown_step), now_ms);
        let owner = job.as_ref().map_or(Owner::Unknown, |job| job.owner);
        let runner = &self.runners[key];
        let need = step.map_or(runner.capacity, |step| step.need);
        assignment.charge = self.shares.charge_for(owner, need, &runner.service);
        if step.is_none() {
            // The needs of an unknown task are not known: it may use all resources of the runner.
            assignment.reserved = self.runners[key].capacity;
            assignment.reserves_all = true;
        }
        assignment.phase = RunPhase::Stopping { ordered_ms: None };
        assignment.is_order_in_flight = false;
        assignment.is_start_confirmed = true;
        assignment.update_progress(row.percent, row.load, now_ms);
        if let Some(job) = job {
            let is_unfinished = !job.state.is_final();
            if job.state == JobState::Queued {
                job.state = JobState::Active;
            }
            if let Some(task) = job.task_mut(row.task) {
                task.last_run = task.last_run.max(row.run);
                if is_unfinished && task.state == TaskState::Waiting {
                    task.state = TaskState::Assigned(key);
                    task.checkpoint = row.checkpoint;
                    assignment.phase = RunPhase::Running { since_ms: now_ms };
                }
            }
        }
        decision_log::line("run_found")
            .with("task", row.task)
            .with("run", row.run)
            .with("runner", &self.runners[key].id)
            .with("kept", matches!(assignment.phase, RunPhase::Running { .. }))
            .end();
        self.assign_run(key, row.task, assignment);
        self.keep_run(key, row.task);
    }

    /// Releases runs that the runner does not list although they were confirmed before the renewal
    /// was sent.
    fn release_unlisted(
        &mut self,
        key: RunnerKey,
        listed: &[(TaskId, u64)],
        sent_ms: u64,
        now_ms: u64,
    ) {
        let runner = &self.runners[key];
        let missing: Vec<TaskId> = runner
            .assignments
            .iter()
            .filter(|(task, assignment)| {
                let is_confirmed = match assignment.phase {
                    RunPhase::Starting { .. } | RunPhase::Stopping { ordered_ms: None } => false,
                    RunPhase::Running { since_ms } => since_ms < sent_ms,
                    RunPhase::Stopping { ordered_ms: Some(ordered_ms) } => ordered_ms < sent_ms,
                };
                is_confirmed && !listed.contains(&(**task, assignment.run))
            })
            .map(|(task, _)| *task)
            .collect();
        self.mark_lost(key, &missing, "not listed", now_ms);
    }

    /// Releases tasks whose runs on a runner have certainly ended without a report.
    pub(super) fn mark_lost(
        &mut self,
        key: RunnerKey,
        tasks: &[TaskId],
        reason: &str,
        now_ms: u64,
    ) {
        for task in tasks {
            let Some(assignment) = self.release_run(key, *task) else { continue };
            decision_log::line("run_lost")
                .with("task", task)
                .with("run", assignment.run)
                .with("runner", &self.runners[key].id)
                .with("reason", reason)
                .end();
            self.requeue_task(key, *task, now_ms);
            self.record_lost_run(*task, assignment.run);
        }
    }

    /// Returns a task that was assigned to this runner to the waiting ones; a gang is stopped whole.
    pub(super) fn requeue_task(&mut self, key: RunnerKey, task: TaskId, now_ms: u64) {
        let Some(job_key) = self.job_keys.get(&task.step.job).copied() else { return };
        let job = &mut self.jobs[job_key];
        let is_gang =
            job.submission.steps.get(task.step.step as usize).is_some_and(|step| step.is_gang);
        if let Some(run) = job.task_mut(task).filter(|run| run.state == TaskState::Assigned(key)) {
            run.mark_waiting(now_ms);
        }
        if !is_gang {
            return;
        }
        for runner in self.runners.values_mut() {
            for (other, assignment) in &mut runner.assignments {
                if other.step == task.step {
                    assignment.stop(now_ms);
                }
            }
        }
    }
}
