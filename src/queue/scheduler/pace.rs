//! Pauses best-effort tasks while a latency-sensitive task on the same runner is near its target.

use crate::decision_log;
use crate::queue::model::TaskId;
use crate::queue::scheduler::event::Action;
use crate::queue::scheduler::runner::{RunPhase, RunnerKey};
use crate::queue::scheduler::Scheduler;

const MILLI: f64 = 1_000.0;

/// Pace of a best-effort task while a latency-sensitive neighbour is near its target, in percent.
const PAUSED_PERCENT: u32 = 0;

/// Pace of a best-effort task whose latency-sensitive neighbours are well below their targets, in
/// percent.
const FULL_PERCENT: u32 = 100;

/// Minimum time between two changes of the pace of a task, in milliseconds. Runners report loads
/// averaged over half a second, so that the effect of a change is visible only after that.
const PACE_GAP_MS: u64 = 1_200;

/// Marks a pace as unknown after a failed order, so that the order is repeated.
const UNKNOWN_PERCENT: u32 = u32::MAX;

impl Scheduler {
    pub(super) fn pace_failed(&mut self, runner: RunnerKey, task: TaskId) {
        let runner = self.runners.get_mut(runner);
        if let Some(assignment) = runner.and_then(|runner| runner.assignments.get_mut(&task)) {
            assignment.pace = UNKNOWN_PERCENT;
            assignment.paced_ms = 0;
        }
    }

    pub(super) fn adjust_pace(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        #[allow(clippy::cast_precision_loss, reason = "a share")]
        let (disturbed, calm) = (
            self.config.disturbed_at_millis as f64 / MILLI,
            self.config.calm_at_millis as f64 / MILLI,
        );
        for (key, runner) in &mut self.runners {
            if !runner.has_best_effort() {
                continue;
            }
            #[allow(clippy::cast_precision_loss, reason = "a share")]
            let max_load = runner
                .assignments
                .values()
                .filter(|assignment| assignment.target_ms > 0)
                .map(|assignment| assignment.load / assignment.target_ms as f64)
                .fold(0.0_f64, f64::max);
            let target = runner.target();
            for (task, assignment) in &mut runner.assignments {
                let is_running = matches!(assignment.phase, RunPhase::Running { .. });
                if !assignment.is_best_effort
                    || !is_running
                    || now_ms < assignment.paced_ms + PACE_GAP_MS
                {
                    continue;
                }
                let percent = if max_load >= disturbed {
                    PAUSED_PERCENT
                } else if max_load <= calm {
                    FULL_PERCENT
                } else if assignment.pace == UNKNOWN_PERCENT {
                    PAUSED_PERCENT
                } else {
                    assignment.pace
                };
                if percent == assignment.pace {
                    continue;
                }
                assignment.pace = percent;
                assignment.paced_ms = now_ms;
                decision_log::line("paced")
                    .with("task", task)
                    .with("runner", &target.0)
                    .with("percent", percent)
                    .with("neighbour_load", format_args!("{max_load:.2}"))
                    .end();
                out.push(Action::Pace {
                    runner: key,
                    target: target.clone(),
                    token: runner.token,
                    task: *task,
                    run: assignment.run,
                    percent,
                });
            }
        }
    }
}
