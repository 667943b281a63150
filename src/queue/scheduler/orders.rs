//! Processes the outcomes of start and stop orders and repeats unanswered ones.

use crate::decision_log;
use crate::queue::model::{JobState, OrderError, TaskId};
use crate::queue::scheduler::crash::CRASH_WINDOW_MS;
use crate::queue::scheduler::event::{Action, OrderResult, StartOrder};
use crate::queue::scheduler::runner::{Assignment, RunPhase, RunnerKey};
use crate::queue::scheduler::Scheduler;

/// Delay before an unanswered order is repeated, in milliseconds.
const ORDER_RETRY_MS: u64 = 200;

impl Scheduler {
    pub(super) fn order_finished(&mut self, outcome: &OrderResult, now_ms: u64) {
        let OrderResult { runner: key, task, run, is_stop, sent_ms, clock_ms, result } = *outcome;
        let Some(runner) = self.runners.get_mut(key) else { return };
        let Some(assignment) = runner.assignments.get_mut(&task).filter(|known| known.run == run)
        else {
            return;
        };
        assignment.is_order_in_flight = false;
        if is_stop {
            self.stop_finished(key, task, result, now_ms);
        } else {
            if let Err(error) = result {
                decision_log::line("start_refused")
                    .with("task", task)
                    .with("run", run)
                    .with("runner", &self.runners[key].id)
                    .with("after_ms", now_ms.saturating_sub(sent_ms))
                    .with("error", format_args!("{error:?}"))
                    .end();
            }
            self.start_finished(key, task, result, now_ms);
            if let (Ok(()), Some(clock_ms)) = (result, clock_ms) {
                self.confirm_start(key, task, clock_ms, sent_ms, now_ms);
            }
        }
    }

    /// Records which incarnation of the runner carried out a start order.
    ///
    /// If it may be another one than the one that answered last, the expiry of the lease was given on
    /// the clock of the former incarnation, so that the run would outlast the wait of a successor. It
    /// is stopped, and the runner's status is read next.
    fn confirm_start(
        &mut self,
        key: RunnerKey,
        task: TaskId,
        clock_ms: u64,
        sent_ms: u64,
        now_ms: u64,
    ) {
        let (max_run_lease_ms, long_lease_ms) =
            (self.config.max_run_lease_ms, self.long_lease_ms());
        let runner = &mut self.runners[key];
        let is_confirmed = runner.is_clock_continuous(clock_ms, sent_ms);
        if !is_confirmed {
            runner.renewal.next_ms = now_ms;
            runner.expect_long_lease(max_run_lease_ms, now_ms);
            runner.long_lease_until_ms = runner.long_lease_until_ms.max(now_ms + long_lease_ms);
            decision_log::line("start_on_other_incarnation")
                .with("task", task)
                .with("runner", &runner.id)
                .with("clock_ms", clock_ms)
                .end();
        }
        if let Some(assignment) = runner.assignments.get_mut(&task) {
            if is_confirmed {
                assignment.is_start_confirmed = true;
            } else if !assignment.is_start_confirmed {
                assignment.stop(now_ms);
            }
        }
    }

    fn stop_finished(
        &mut self,
        key: RunnerKey,
        task: TaskId,
        result: Result<(), OrderError>,
        now_ms: u64,
    ) {
        let runner = &mut self.runners[key];
        let Some(assignment) = runner.assignments.get_mut(&task) else { return };
        match result {
            Err(OrderError::NotSent | OrderError::Unanswered | OrderError::Unhealthy) => {
                assignment.retry_ms = now_ms + ORDER_RETRY_MS;
            }
            _ => {
                assignment.phase = RunPhase::Stopping { ordered_ms: Some(now_ms) };
                runner.renewal.next_ms = runner.renewal.next_ms.min(now_ms);
            }
        }
    }

    fn start_finished(
        &mut self,
        key: RunnerKey,
        task: TaskId,
        result: Result<(), OrderError>,
        now_ms: u64,
    ) {
        let paused_until_ms = now_ms + self.config.runner_pause_ms;
        let runner = &mut self.runners[key];
        let Some(assignment) = runner.assignments.get_mut(&task) else { return };
        let RunPhase::Starting { is_unsure } = assignment.phase else { return };
        match result {
            Ok(()) => {
                assignment.phase = RunPhase::Running { since_ms: now_ms };
                self.mark_job_active(task);
            }
            Err(OrderError::Unanswered) => {
                let is_soon = now_ms <= assignment.seen_ms + CRASH_WINDOW_MS;
                assignment.has_broken_off |= !is_unsure && is_soon;
                assignment.phase = RunPhase::Starting { is_unsure: true };
                assignment.retry_ms = now_ms + ORDER_RETRY_MS;
                runner.paused_until_ms = paused_until_ms;
            }
            Err(OrderError::NotSent) if is_unsure => assignment.retry_ms = now_ms + ORDER_RETRY_MS,
            // The earlier, unanswered order may still take effect; a stop order prevents that.
            Err(_) if is_unsure => assignment.stop(now_ms),
            Err(error) => {
                match error {
                    OrderError::Ticket => self.expire_ticket(key, task),
                    OrderError::Old => {}
                    _ => runner.paused_until_ms = paused_until_ms,
                }
                if let Some(assignment) = self.release_run(key, task) {
                    self.forget_run(task, &assignment);
                }
                self.requeue_task(key, task, now_ms);
            }
        }
    }

    /// Forgets the number of a run that certainly never began.
    fn forget_run(&mut self, task: TaskId, assignment: &Assignment) {
        let job = self.job_keys.get(&task.step.job).and_then(|job| self.jobs.get_mut(*job));
        let known = job.and_then(|job| job.task_mut(task));
        if let Some(known) = known.filter(|known| known.last_run == assignment.run) {
            known.last_run = assignment.former_run;
        }
    }

    fn mark_job_active(&mut self, task: TaskId) {
        let Some(job_key) = self.job_keys.get(&task.step.job) else { return };
        let job = &mut self.jobs[*job_key];
        if job.state == JobState::Queued {
            job.state = JobState::Active;
        }
    }

    fn expire_ticket(&mut self, key: RunnerKey, task: TaskId) {
        let Some(job_key) = self.job_keys.get(&task.step.job) else { return };
        let step = self.jobs[*job_key].steps.get_mut(task.step.step as usize);
        if let Some(step) = step {
            step.advice.expire_ticket(key);
        }
    }

    /// Sends stop orders that are due and, while the leader may start runs, repeats unanswered start
    /// orders.
    pub(super) fn send_due_orders(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let lease_ms = self.run_lease_ms(now_ms);
        let may_start = lease_ms > 0;
        let answering = self.runners.iter_mut().filter(|(_, runner)| runner.renewal.failures == 0);
        for (key, runner) in answering {
            let is_over_full = runner.is_over_full();
            let due: Vec<TaskId> = runner
                .assignments
                .iter()
                .filter(|(_, assignment)| {
                    let is_due = match assignment.phase {
                        RunPhase::Stopping { ordered_ms } => ordered_ms.is_none(),
                        RunPhase::Starting { is_unsure } => is_unsure && may_start,
                        RunPhase::Running { .. } => false,
                    };
                    is_due && !assignment.is_order_in_flight && assignment.retry_ms <= now_ms
                })
                .map(|(task, _)| *task)
                .collect();
            for task in due {
                let until_ms = runner.repeated_lease_until_ms(lease_ms, now_ms);
                let target = runner.target();
                let seen_ms = runner.renewal.seen_ms;
                let Some(assignment) = runner.assignments.get_mut(&task) else { continue };
                let run = assignment.run;
                assignment.is_order_in_flight = true;
                if matches!(assignment.phase, RunPhase::Stopping { .. }) {
                    let token = runner.token;
                    out.push(Action::Stop { runner: key, target, token, task, run });
                    continue;
                }
                // The run may not have begun. It need not once the limit of its workspace is lowered.
                let charge = assignment.charge;
                if self.shares.is_above_limit(charge.owner) {
                    assignment.is_order_in_flight = false;
                    let is_too_large = self.shares.is_too_large(charge.owner, charge.need);
                    if is_too_large && seen_ms > assignment.retry_ms {
                        assignment.stop(now_ms);
                    }
                    continue;
                }
                let job = self.job_keys.get(&task.step.job).and_then(|job| self.jobs.get(*job));
                let step = job.and_then(|job| job.steps.get(task.step.step as usize));
                let parts = (job, step, until_ms, is_over_full);
                let (Some(job), Some(step), Some(until_ms), false) = parts else {
                    assignment.is_order_in_flight = false;
                    assignment.stop(now_ms);
                    continue;
                };
                out.push(Action::Start(StartOrder {
                    runner: key,
                    target,
                    token: runner.token,
                    task,
                    run,
                    spec: job.submission.spec.clone(),
                    until_ms,
                    checkpoint: step
                        .tasks
                        .get(task.index as usize)
                        .map(|task| task.checkpoint.clone())
                        .unwrap_or_default(),
                    ticket: step.advice.ticket(key),
                }));
            }
        }
    }
}
