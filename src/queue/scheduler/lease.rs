//! Renews the leases of what runs, and sets aside runners that are silent, stall or only fail.

use crate::decision_log;
use crate::queue::model::TaskId;
use crate::queue::scheduler::event::{Action, HoldOrder};
use crate::queue::scheduler::runner::RunnerKey;
use crate::queue::scheduler::Scheduler;

/// Wait of a renewal while runs are being stopped, in milliseconds: a run that never began has no
/// end to wait for.
const STOP_WAIT_MS: u64 = 400;

/// Longest time that an end waits for its write before the lease is renewed all the same.
const ACKNOWLEDGE_WAIT_MS: u64 = 800;

impl Scheduler {
    /// Lets tasks that may be copied start elsewhere while their runner does not answer.
    pub(super) fn copy_elsewhere(&mut self, key: RunnerKey, now_ms: u64) {
        let runner = &mut self.runners[key];
        let mut copied = Vec::new();
        for (task, assigned) in &mut runner.assigned {
            if assigned.may_copy {
                assigned.stop(now_ms);
                copied.push(*task);
            }
        }
        for task in copied {
            self.free_task(key, task, now_ms);
        }
    }

    /// Stops runs that stand still, so that they start elsewhere, and sets their runners aside.
    pub(super) fn stop_stalled(&mut self, now_ms: u64) {
        let patience_ms = self.config.stall_patience_ms;
        let pause_ms = self.config.runner_quarantine_ms;
        for runner in self.runners.values_mut().filter(|runner| runner.hold.failures == 0) {
            let mut stalled = 0;
            let answered_ms = runner.hold.answered_ms;
            for (task, assigned) in &mut runner.assigned {
                if assigned.is_stalled(patience_ms, answered_ms) {
                    assigned.stop(now_ms);
                    stalled += 1;
                    decision_log::line("run_stalled")
                        .with("task", task)
                        .with("runner", &runner.id)
                        .with("percent", assigned.percent)
                        .end();
                }
            }
            if stalled > 0 {
                runner.paused_until_ms = runner.paused_until_ms.max(now_ms + pause_ms);
            }
        }
    }

    /// Sets a runner aside on which only failures end.
    pub(super) fn note_runner_failure(&mut self, key: RunnerKey, task: TaskId, now_ms: u64) {
        let (limit, quarantine_ms) =
            (self.config.runner_failure_limit as usize, self.config.runner_quarantine_ms);
        let runner = &mut self.runners[key];
        if !runner.failed_jobs.contains(&task.step.job.0) {
            runner.failed_jobs.push(task.step.job.0);
        }
        if runner.failed_jobs.len() >= limit {
            runner.paused_until_ms = now_ms + quarantine_ms;
            runner.failed_jobs.clear();
            decision_log::line("runner_set_aside")
                .with("runner", &runner.id)
                .with("for_ms", quarantine_ms)
                .end();
        }
    }

    /// Gives up runs whose lease has certainly ended, and forgets runners that are gone.
    pub(super) fn expire_runners(&mut self, now_ms: u64) {
        let lapsed: Vec<(RunnerKey, Vec<TaskId>)> = self
            .runners
            .iter()
            .filter(|(_, runner)| !runner.assigned.is_empty())
            .filter(|(_, runner)| {
                let has_left = runner.is_draining && !runner.is_listed && runner.hold.failures > 0;
                let is_silent = runner.clock.is_some() && now_ms > runner.lapses_ms();
                has_left || is_silent
            })
            .map(|(key, runner)| (key, runner.assigned.keys().copied().collect()))
            .collect();
        for (key, tasks) in lapsed {
            self.lose(key, &tasks, "lease ended", now_ms);
        }
        let inherited = now_ms < self.inherited_until_ms;
        let keys = &mut self.runner_keys;
        self.runners.retain(|_, runner| {
            let is_gone = !runner.is_listed
                && runner.assigned.is_empty()
                && !runner.hold.is_in_flight
                && (runner.is_fenced || !inherited);
            if is_gone {
                keys.remove(&runner.id);
            }
            !is_gone
        });
    }

    /// Renews the leases of runners that hold something or have not answered yet.
    pub(super) fn renew(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let config = &self.config;
        let may_renew = self.may_order(now_ms);
        if !may_renew {
            return;
        }
        for (key, runner) in &mut self.runners {
            if runner.hold.is_in_flight || now_ms < runner.hold.next_ms {
                continue;
            }
            let is_new = !runner.is_fenced
                || runner.born_unix_ms != Some(runner.listed_born_unix_ms) && runner.is_listed
                || runner.hold.failures > 0;
            // Also an end that is withheld: with it the runner answers at once, and is asked seldom.
            let is_unsaved = runner.seen > runner.acknowledged;
            if !is_new && runner.assigned.is_empty() && !is_unsaved {
                continue;
            }
            if is_unsaved && now_ms < runner.hold.answered_ms + ACKNOWLEDGE_WAIT_MS {
                continue;
            }
            // A silent runner is only looked at: a renewal without an answer would put off the
            // time at which its runs have certainly ended.
            let until_ms = if runner.assigned.is_empty() || runner.hold.failures > 0 {
                None
            } else {
                runner.until_ms(config.run_lease_ms, now_ms)
            };
            let wait_ms = if is_new || is_unsaved {
                0
            } else if runner.is_stopping() {
                STOP_WAIT_MS
            } else if runner.serves() && runner.is_filled() {
                config.hold_wait_ms / 2
            } else {
                config.hold_wait_ms
            };
            runner.hold.is_in_flight = true;
            out.push(Action::Hold(HoldOrder {
                runner: key,
                at: runner.at(),
                until_ms,
                acknowledged: runner.acknowledged,
                wait_ms,
            }));
        }
    }
}
