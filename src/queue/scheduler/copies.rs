//! Starts copies of overdue runs of copyable tasks (speculative execution).
//!
//! The first of the two runs that ends counts, and the other one is stopped. Copies are only started
//! where runners are measured to be uneven.

use crate::decision_log;
use crate::queue::model::TaskId;
use crate::queue::scheduler::advice::AdviceSubject;
use crate::queue::scheduler::event::Action;
use crate::queue::scheduler::job::{JobKey, TaskState};
use crate::queue::scheduler::placement::PlacementRequest;
use crate::queue::scheduler::runner::{RunPhase, RunnerKey};
use crate::queue::scheduler::speed::CompletedRun;
use crate::queue::scheduler::speed_placement;
use crate::queue::scheduler::Scheduler;

/// Multiple of the duration that the run's siblings and its runner's speed explain, from which on a
/// copy is started. Like tasks differ by far less, apart from those in the tail.
const COPY_RATIO: f64 = 1.6;

/// Shortest time between two searches for overdue runs, in milliseconds.
const COPIES_GAP_MS: u64 = 100;

/// Maximum number of copies that one search starts.
const MAX_COPIES: usize = 8;

/// An overdue run of a copyable task.
#[derive(Clone, Copy, Debug)]
struct OverdueRun {
    key: JobKey,
    task: TaskId,
    runner: RunnerKey,
    ratio: f64,
}

impl Scheduler {
    /// Starts copies of overdue runs on other runners with room beside the reserve for urgent work.
    pub(super) fn start_copies(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        if !self.speeds.are_uneven() || now_ms < self.next_copies_ms {
            return;
        }
        self.next_copies_ms = now_ms + COPIES_GAP_MS;
        let mut overdue = self.overdue_runs(now_ms);
        overdue.sort_unstable_by_key(|run| run.task);
        for run in overdue.into_iter().take(MAX_COPIES) {
            self.start_copy(run, now_ms, out);
        }
    }

    fn overdue_runs(&self, now_ms: u64) -> Vec<OverdueRun> {
        let mut overdue = Vec::new();
        for (runner_key, runner) in &self.runners {
            if runner.renewal.failures > 0 {
                continue;
            }
            for (task, assignment) in &runner.assignments {
                if !assignment.may_copy || !matches!(assignment.phase, RunPhase::Running { .. }) {
                    continue;
                }
                let Some(key) = self.job_keys.get(&task.step.job).copied() else { continue };
                let job = &self.jobs[key];
                let step = task.step.step as usize;
                let Some(declared) = job.submission.steps.get(step) else { continue };
                let run = &job.steps[step];
                let Some(known) = run.tasks.get(task.index as usize) else { continue };
                let is_only_run = known.state == TaskState::Assigned(runner_key)
                    && !known.is_copied
                    && !known.suspicion.is_suspect;
                // The ends of half of the siblings show how wrong the estimate is.
                let is_compared = run.done_count * 2 >= run.tasks.len();
                if job.state.is_final() || !is_only_run || !is_compared {
                    continue;
                }
                // Multiple of the usual duration for which the run was in progress at a time.
                let ratio_at = |at_ms: u64| {
                    let until = speed_placement::measured_ms(runner, declared, assignment, at_ms);
                    let (ratio, has_siblings) = self.speeds.overrun(&CompletedRun {
                        runner: runner_key,
                        step: task.step,
                        queue: &job.submission.queue,
                        duration_ms: until?,
                        estimate_ms: declared.estimate_ms,
                    });
                    has_siblings.then_some(ratio)
                };
                let Some(ratio) = ratio_at(now_ms).filter(|ratio| *ratio >= COPY_RATIO) else {
                    continue;
                };
                // The last report of its progress tells how long the run will still take: a copy
                // must be expected to end first.
                let left = if assignment.percent > 0.0 {
                    let reported = ratio_at(runner.renewal.answered_ms).unwrap_or(ratio);
                    reported * 100.0 / assignment.percent - ratio
                } else {
                    f64::INFINITY
                };
                if left > 1.0 {
                    overdue.push(OverdueRun { key, task: *task, runner: runner_key, ratio });
                }
            }
        }
        overdue
    }

    fn start_copy(&mut self, overdue: OverdueRun, now_ms: u64, out: &mut Vec<Action>) {
        let OverdueRun { key, task, runner: former, ratio } = overdue;
        let (step, index) = (task.step.step as usize, task.index as usize);
        if self.allowed_starts(key, step, 1) == 0 {
            return;
        }
        let declared = self.jobs[key].submission.steps[step].clone();
        let service = self.service_of(key);
        let policy = self.advice_policy(key);
        let request = PlacementRequest {
            key,
            step,
            declared: &declared,
            service: &service,
            reserve_millis: self.config.urgent_reserve_millis,
        };
        let chosen = self.choose_runner(&request, index, Some(former), policy.is_some(), now_ms);
        // A copy on a slower runner would hardly end first.
        let chosen = chosen
            .filter(|runner| self.speeds.factor(*runner) <= self.speeds.factor(former).max(1.0));
        let Some(runner) = chosen else {
            if let Some(policy) = policy {
                self.request_advice(&request, policy, AdviceSubject::Tasks(1), now_ms);
            }
            return;
        };
        decision_log::line("run_copied")
            .with("task", task)
            .with("runner", &self.runners[former].id)
            .with("copy_at", &self.runners[runner].id)
            .with("overrun", format_args!("{ratio:.1}"))
            .end();
        self.jobs[key].steps[step].tasks[index].is_copied = true;
        let run = self.new_run();
        let first = out.len();
        self.start_task(&request, index, runner, run, now_ms, out);
        self.log_starts(key, step, &out[first..], now_ms);
    }

    /// Stops all runs of a completed task that are still in progress.
    pub(super) fn stop_runs_of(&mut self, task: TaskId, now_ms: u64) {
        for runner in self.runners.values_mut() {
            if let Some(assignment) = runner.assignments.get_mut(&task) {
                assignment.stop(now_ms);
            }
        }
    }
}
