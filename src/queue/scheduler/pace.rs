//! Slows down tasks that fill while they push a serving task beside them towards its target.

use crate::decision_log;
use crate::queue::model::TaskId;
use crate::queue::scheduler::event::Action;
use crate::queue::scheduler::runner::{Phase, RunnerKey};
use crate::queue::scheduler::Scheduler;

const MILLI: f64 = 1_000.0;

/// Pace of a filling task beside a serving task that is near its target, in percent.
const RESTING_PERCENT: u32 = 0;

/// Pace of a filling task whose neighbours have been calm again, in percent.
const WORKING_PERCENT: u32 = 100;

/// Shortest time between two orders about the pace of one task, in milliseconds: loads are means
/// of half a second.
const PACE_GAP_MS: u64 = 1_200;

/// Stands for a pace that is not known, so that it is ordered again.
const UNKNOWN_PERCENT: u32 = u32::MAX;

impl Scheduler {
    pub(super) fn pace_failed(&mut self, runner: RunnerKey, task: TaskId) {
        let runner = self.runners.get_mut(runner);
        if let Some(assigned) = runner.and_then(|runner| runner.assigned.get_mut(&task)) {
            assigned.pace = UNKNOWN_PERCENT;
            assigned.paced_ms = 0;
        }
    }

    pub(super) fn adjust_pace(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        #[allow(clippy::cast_precision_loss, reason = "a share")]
        let (disturbed, calm) = (
            self.config.disturbed_at_millis as f64 / MILLI,
            self.config.calm_at_millis as f64 / MILLI,
        );
        for (key, runner) in &mut self.runners {
            if !runner.is_filled() {
                continue;
            }
            #[allow(clippy::cast_precision_loss, reason = "a share")]
            let worst = runner
                .assigned
                .values()
                .filter(|assigned| assigned.target_ms > 0)
                .map(|assigned| assigned.load / assigned.target_ms as f64)
                .fold(0.0_f64, f64::max);
            let at = runner.at();
            for (task, assigned) in &mut runner.assigned {
                let is_running = matches!(assigned.phase, Phase::Running { .. });
                if !assigned.fills || !is_running || now_ms < assigned.paced_ms + PACE_GAP_MS {
                    continue;
                }
                let percent = if worst >= disturbed {
                    RESTING_PERCENT
                } else if worst <= calm {
                    WORKING_PERCENT
                } else if assigned.pace == UNKNOWN_PERCENT {
                    RESTING_PERCENT
                } else {
                    assigned.pace
                };
                if percent == assigned.pace {
                    continue;
                }
                assigned.pace = percent;
                assigned.paced_ms = now_ms;
                decision_log::line("paced")
                    .with("task", task)
                    .with("runner", &at.0)
                    .with("percent", percent)
                    .with("neighbour_load", format_args!("{worst:.2}"))
                    .end();
                out.push(Action::Pace {
                    runner: key,
                    at: at.clone(),
                    task: *task,
                    run: assigned.run,
                    percent,
                });
            }
        }
    }
}
