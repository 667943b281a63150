//! Renews the leases of runs and detects runners that are silent, stalled or failing.

use crate::decision_log;
use crate::queue::model::TaskId;
use crate::queue::scheduler::crash::CRASH_WINDOW_MS;
use crate::queue::scheduler::event::{Action, RenewalOrder};
use crate::queue::scheduler::runner::{Runner, RunnerKey};
use crate::queue::scheduler::Scheduler;

/// Maximum wait of a renewal while runs are being stopped, in milliseconds. It is short because a
/// run that was stopped before it began never reports an end.
const STOP_WAIT_MS: u64 = 400;

/// Maximum wait of a renewal while suspects are on probation, in milliseconds: the runner has to answer
/// within [`CRASH_WINDOW_MS`] before a crash for the crash to be attributed to them.
const PROBE_WAIT_MS: u64 = CRASH_WINDOW_MS / 4;

/// Maximum time for which a renewal is delayed until the reported ends are stored, in milliseconds.
/// After that, the lease is renewed without acknowledging them.
const ACKNOWLEDGE_WAIT_MS: u64 = 800;

/// Age from which the clock of an idle runner is read again, in milliseconds: the first lease of its
/// next run is shortened by the error that the clock may have by then.
const MAX_CLOCK_AGE_MS: u64 = 20_000;

/// Minimum number of renewals within the longest lease that the leader may ask for. While its own
/// lease is not confirmed, that becomes shorter, and a confirmation has to reach the runners in time.
const RENEWALS_PER_LEASE: u64 = 3;

impl Scheduler {
    /// Requeues the copyable tasks of a runner that does not answer, so that they start elsewhere.
    pub(super) fn restart_copyable_tasks(&mut self, key: RunnerKey, now_ms: u64) {
        let requeued = self.copyable_tasks(key, now_ms);
        for task in requeued {
            if let Some(assignment) = self.runners[key].assignments.get_mut(&task) {
                assignment.stop(now_ms);
            }
            self.requeue_task(key, task, now_ms);
        }
    }

    /// Stops runs without progress, so that they start elsewhere, and pauses their runners.
    pub(super) fn stop_stalled(&mut self, now_ms: u64) {
        let patience_ms = self.config.stall_patience_ms;
        let pause_ms = self.config.runner_quarantine_ms;
        for runner in self.runners.values_mut().filter(|runner| runner.renewal.failures == 0) {
            let mut stalled = 0;
            let answered_ms = runner.renewal.answered_ms;
            for (task, assignment) in &mut runner.assignments {
                if assignment.is_stalled(patience_ms, answered_ms) {
                    assignment.stop(now_ms);
                    stalled += 1;
                    decision_log::line("run_stalled")
                        .with("task", task)
                        .with("runner", &runner.id)
                        .with("percent", assignment.percent)
                        .end();
                }
            }
            if stalled > 0 {
                runner.paused_until_ms = runner.paused_until_ms.max(now_ms + pause_ms);
            }
        }
    }

    /// Records a failed run and pauses the runner once tasks of several jobs have failed in a row.
    pub(super) fn record_runner_failure(&mut self, key: RunnerKey, task: TaskId, now_ms: u64) {
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

    /// Releases runs whose lease has certainly expired, and removes runners that are gone.
    pub(super) fn expire_runners(&mut self, now_ms: u64) {
        let expired: Vec<(RunnerKey, Vec<TaskId>)> = self
            .runners
            .iter()
            .filter(|(_, runner)| !runner.assignments.is_empty())
            .filter(|(_, runner)| {
                // A leader that was suspended has to read the answers that it has missed first. That
                // a draining runner is no longer listed does not show that it has left: the record
                // of one that is cut off is removed as well.
                runner.clock_sample.is_some()
                    && runner.renewal.failures > 0
                    && now_ms > runner.lease_lapsed_by_ms()
            })
            .map(|(key, runner)| (key, runner.assignments.keys().copied().collect()))
            .collect();
        for (key, tasks) in expired {
            self.record_lapse(key, &tasks);
            self.mark_lost(key, &tasks, "lease ended", now_ms);
            self.settle_lapsed_runs(key, now_ms);
        }
        let is_inherited_wait = self.may_have_inherited_leases(now_ms);
        let keys = &mut self.runner_keys;
        let (mut is_any_gone, mut is_roster_outdated) = (false, false);
        self.runners.retain(|_, runner| {
            let is_gone = !runner.is_listed
                && runner.assignments.is_empty()
                && !runner.renewal.is_in_flight
                && (runner.is_fenced || !is_inherited_wait);
            if is_gone {
                is_any_gone = true;
                keys.remove(&runner.id);
                is_roster_outdated |= runner.roster.stored.is_some();
            }
            !is_gone
        });
        if is_any_gone {
            // A runner that is listed again under the same name gets a higher token than before.
            self.new_token();
        }
        if is_roster_outdated {
            self.prune_roster();
        }
    }

    /// Renews the leases of runners that have assignments, and reads the status of runners that have
    /// not answered yet.
    pub(super) fn renew_leases(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let lease_ms = self.run_lease_ms(now_ms);
        if lease_ms == 0 {
            return;
        }
        let due =
            |runner: &Runner| !runner.renewal.is_in_flight && now_ms >= runner.renewal.next_ms;
        let due: Vec<RunnerKey> =
            self.runners.iter().filter(|(_, runner)| due(runner)).map(|(key, _)| key).collect();
        for key in due {
            self.update_acknowledged_end(key);
            let config = &self.config;
            let runner = &mut self.runners[key];
            let is_new = !runner.is_fenced
                || runner.started_unix_ms != Some(runner.listed_started_unix_ms)
                    && runner.is_listed
                || runner.renewal.failures > 0;
            // This includes a withheld end. While an end is not acknowledged, the runner answers at
            // once instead of waiting, so that it is asked less often.
            let is_unsaved = runner.last_seen_end > runner.acknowledged_end;
            let is_undelivered = runner.acknowledged_end > runner.delivered_end;
            let is_idle = runner.assignments.is_empty()
                && !is_unsaved
                && !is_undelivered
                && !runner.renewal.is_answer_wanted();
            let is_clock_outdated =
                runner.clock_sample.is_some_and(|(_, at_ms)| now_ms > at_ms + MAX_CLOCK_AGE_MS);
            if !is_new && is_idle && !is_clock_outdated {
                continue;
            }
            if is_unsaved && now_ms < runner.renewal.answered_ms + ACKNOWLEDGE_WAIT_MS {
                continue;
            }
            // Only the status of a silent runner is read: a renewal might take effect without an
            // answer and so postpone the time at which its runs have certainly ended.
            let until_ms = if runner.assignments.is_empty() || runner.renewal.failures > 0 {
                None
            } else {
                runner.extend_lease(lease_ms, now_ms)
            };
            let max_wait_ms = config.hold_wait_ms.min(lease_ms / RENEWALS_PER_LEASE);
            let wait_ms = if is_new || is_unsaved || runner.assignments.is_empty() {
                0
            } else if runner.crash.probe.is_some() {
                PROBE_WAIT_MS.min(max_wait_ms)
            } else if runner.is_stopping() {
                STOP_WAIT_MS.min(max_wait_ms)
            } else if runner.has_latency_target() && runner.has_best_effort() {
                max_wait_ms / 2
            } else {
                max_wait_ms
            };
            // A later incarnation may answer, whose ends are numbered from 1 again.
            let acknowledged =
                if is_new || runner.has_unconfirmed_start() { 0 } else { runner.acknowledged_end };
            runner.sent_end = acknowledged;
            runner.renewal.is_in_flight = true;
            out.push(Action::RenewLease(RenewalOrder {
                runner: key,
                target: runner.target(),
                token: runner.token,
                until_ms,
                acknowledged,
                wait_ms,
            }));
        }
    }
}
