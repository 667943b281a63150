//! What becomes of orders to start and to stop, answered or not.

use crate::decision_log;
use crate::queue::model::{JobState, OrderError, TaskId};
use crate::queue::scheduler::event::{Action, Ordered, StartOrder};
use crate::queue::scheduler::runner::{Phase, RunnerKey};
use crate::queue::scheduler::Scheduler;

/// Pause before an order without an answer is given again, in milliseconds.
const ORDER_RETRY_MS: u64 = 200;

impl Scheduler {
    pub(super) fn ordered(&mut self, ordered: &Ordered, now_ms: u64) {
        let Ordered { runner: key, task, run, is_stop, sent_ms, result } = *ordered;
        let Some(runner) = self.runners.get_mut(key) else { return };
        let Some(assigned) = runner.assigned.get_mut(&task).filter(|known| known.run == run) else {
            return;
        };
        assigned.is_order_in_flight = false;
        if is_stop {
            self.stop_ordered(key, task, result, now_ms);
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
            self.start_ordered(key, task, result, now_ms);
        }
    }

    fn stop_ordered(
        &mut self,
        key: RunnerKey,
        task: TaskId,
        result: Result<(), OrderError>,
        now_ms: u64,
    ) {
        let runner = &mut self.runners[key];
        let Some(assigned) = runner.assigned.get_mut(&task) else { return };
        match result {
            Err(OrderError::NotSent | OrderError::Unanswered | OrderError::Unhealthy) => {
                assigned.retry_ms = now_ms + ORDER_RETRY_MS;
            }
            _ => {
                assigned.phase = Phase::Stopping { ordered_ms: Some(now_ms) };
                runner.hold.next_ms = runner.hold.next_ms.min(now_ms);
            }
        }
    }

    fn start_ordered(
        &mut self,
        key: RunnerKey,
        task: TaskId,
        result: Result<(), OrderError>,
        now_ms: u64,
    ) {
        let pause_ms = now_ms + self.config.runner_pause_ms;
        let runner = &mut self.runners[key];
        let Some(assigned) = runner.assigned.get_mut(&task) else { return };
        let Phase::Starting { is_unsure } = assigned.phase else { return };
        match result {
            Ok(()) => {
                assigned.phase = Phase::Running { since_ms: now_ms };
                self.note_started(task);
            }
            Err(OrderError::Unanswered) => {
                assigned.phase = Phase::Starting { is_unsure: true };
                assigned.retry_ms = now_ms + ORDER_RETRY_MS;
                runner.paused_until_ms = pause_ms;
            }
            Err(OrderError::NotSent) if is_unsure => assigned.retry_ms = now_ms + ORDER_RETRY_MS,
            // An earlier order may still be carried out; a stop makes sure that it is not.
            Err(_) if is_unsure => assigned.stop(now_ms),
            Err(error) => {
                match error {
                    OrderError::Ticket => self.forget_ticket(key, task),
                    OrderError::Old => {}
                    _ => runner.paused_until_ms = pause_ms,
                }
                self.runners[key].release(task);
                self.free_task(key, task, now_ms);
            }
        }
    }

    fn note_started(&mut self, task: TaskId) {
        let Some(job_key) = self.job_keys.get(&task.step.job) else { return };
        let job = &mut self.jobs[*job_key];
        if job.state == JobState::Queued {
            job.state = JobState::Active;
        }
    }

    fn forget_ticket(&mut self, key: RunnerKey, task: TaskId) {
        let Some(job_key) = self.job_keys.get(&task.step.job) else { return };
        let step = self.jobs[*job_key].steps.get_mut(task.step.step as usize);
        if let Some(step) = step {
            step.advice.forget_ticket(key);
        }
    }

    /// Gives the stops that are due, and starts without an answer again.
    pub(super) fn repeat_orders(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let answering = self.runners.iter_mut().filter(|(_, runner)| runner.hold.failures == 0);
        for (key, runner) in answering {
            let due: Vec<TaskId> = runner
                .assigned
                .iter()
                .filter(|(_, assigned)| {
                    let is_due = matches!(
                        assigned.phase,
                        Phase::Stopping { ordered_ms: None } | Phase::Starting { is_unsure: true }
                    );
                    is_due && !assigned.is_order_in_flight && assigned.retry_ms <= now_ms
                })
                .map(|(task, _)| *task)
                .collect();
            for task in due {
                // As in the first order: a longer lease would put off the time at which the run
                // has certainly ended.
                let until_ms = Some(runner.until_sent_ms).filter(|until_ms| *until_ms > 0);
                let at = runner.at();
                let Some(assigned) = runner.assigned.get_mut(&task) else { continue };
                let run = assigned.run;
                assigned.is_order_in_flight = true;
                if matches!(assigned.phase, Phase::Stopping { .. }) {
                    out.push(Action::Stop { runner: key, at, task, run });
                    continue;
                }
                let job = self.job_keys.get(&task.step.job).and_then(|job| self.jobs.get(*job));
                let step = job.and_then(|job| job.steps.get(task.step.step as usize));
                let (Some(job), Some(step), Some(until_ms)) = (job, step, until_ms) else {
                    assigned.is_order_in_flight = false;
                    assigned.stop(now_ms);
                    continue;
                };
                out.push(Action::Start(StartOrder {
                    runner: key,
                    at,
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
