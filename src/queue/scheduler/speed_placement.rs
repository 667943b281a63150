//! Connects the measured speeds of runners to placement.
//!
//! Work whose objective leaves little slack prefers fast runners. Other work prefers the slowest
//! runners on which it still meets its objective, so that fast runners stay free.

use crate::queue::model::{Step, TaskId};
use crate::queue::scheduler::job::Job;
use crate::queue::scheduler::placement::PlacementRequest;
use crate::queue::scheduler::reserve::RESERVE_FROM_PRIORITY;
use crate::queue::scheduler::runner::{Assignment, RunPhase, Runner, RunnerKey};
use crate::queue::scheduler::speed::CompletedRun;
use crate::queue::scheduler::Scheduler;

/// Part of the slack of work that runners may use, in thousandths: durations vary, and the last of the
/// tasks of a step decides when the next step starts.
const SLACK_USE_MILLIS: u64 = 900;

/// Time that ordering the runs of a step and learning of their ends takes, in milliseconds.
const STEP_OVERHEAD_MS: u64 = 60;

/// Number of runners that a typical advice call names.
const TYPICAL_ADVICE_RUNNERS: f64 = 15.0;

/// Time constant of the measured demand of urgent work, in milliseconds.
const DEMAND_TIME_MS: f64 = 10_000.0;

const MILLI: u64 = 1_000;

/// How well the speed of a runner suits a step; the greatest is the best.
///
/// The first part is the rank of the runner's group, the second the rank within the group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SpeedRank(i64, i64);

/// Which speed a step prefers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum SpeedPreference {
    /// All speeds are equally good.
    Any,
    /// The faster, the better.
    Fastest,
    /// The slowest runner with at most this factor; faster ones come next, and slower ones last.
    SlowestUpTo(f64),
}

impl SpeedPreference {
    /// Rank of a runner with this speed factor; the same for all runners if no speeds differ.
    pub(super) fn rank(self, factor: f64) -> SpeedRank {
        #[allow(clippy::cast_possible_truncation, reason = "a factor is between 0.05 and 20")]
        let millis = (factor * 1_000.0).round() as i64;
        match self {
            Self::Any => SpeedRank::default(),
            Self::Fastest => SpeedRank(0, -millis),
            Self::SlowestUpTo(limit) if factor <= limit => SpeedRank(1, millis),
            Self::SlowestUpTo(_) => SpeedRank(0, -millis),
        }
    }
}

/// Processor time per time that urgent work takes, as a moving average.
#[derive(Debug, Default)]
pub(super) struct UrgentDemand {
    /// Thousandths of a core, times milliseconds, that were measured within the time constant.
    cpu_time: f64,
    at_ms: u64,
    /// Part of the fast runners that urgent work takes, in thousandths, at the last evaluation.
    share_millis: u64,
}

impl UrgentDemand {
    /// Part of the fast runners that urgent work takes, in thousandths.
    pub(super) fn share_millis(&self) -> u64 {
        self.share_millis
    }

    fn decay(&mut self, now_ms: u64) {
        #[allow(clippy::cast_precision_loss, reason = "a duration in milliseconds")]
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.cpu_time *= (-elapsed_ms / DEMAND_TIME_MS).exp();
        self.at_ms = self.at_ms.max(now_ms);
    }

    fn add(&mut self, cpu_millis: u64, duration_ms: u64, now_ms: u64) {
        self.decay(now_ms);
        #[allow(clippy::cast_precision_loss, reason = "a processor time")]
        let cpu_time = cpu_millis.saturating_mul(duration_ms) as f64;
        self.cpu_time += cpu_time;
    }

    /// Evaluates the demand against the processors of the fast runners, in thousandths of a core.
    fn evaluate(&mut self, fast_cpu_millis: u64, now_ms: u64) {
        self.decay(now_ms);
        #[allow(clippy::cast_precision_loss, reason = "an amount of processor")]
        let share = self.cpu_time / DEMAND_TIME_MS / fast_cpu_millis.max(1) as f64;
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a share of at most 1,000 thousandths"
        )]
        let share_millis = (share.clamp(0.0, 1.0) * 1_000.0) as u64;
        self.share_millis = share_millis;
    }
}

impl Scheduler {
    /// Measured factors of the kinds of runners that differ clearly from the usual ones, if they have
    /// changed since the last call.
    pub fn take_speed_factors(&mut self) -> Option<Vec<(String, f64)>> {
        self.speeds.take_label_factors()
    }

    /// Records the duration of a run that completed its task, unless something else than the speed of
    /// its runner may have determined it.
    pub(super) fn measure_run(
        &mut self,
        key: RunnerKey,
        task: TaskId,
        assignment: &Assignment,
        now_ms: u64,
    ) {
        let Some(job) = self.job_keys.get(&task.step.job).and_then(|job| self.jobs.get(*job))
        else {
            return;
        };
        let Some(declared) = job.submission.steps.get(task.step.step as usize) else { return };
        let Some(runner) = self.runners.get(key) else { return };
        let Some(duration_ms) = measured_ms(runner, declared, assignment, now_ms) else { return };
        let run = CompletedRun {
            runner: key,
            step: task.step,
            queue: &job.submission.queue,
            duration_ms,
            estimate_ms: declared.estimate_ms,
        };
        self.speeds.record_run(&run, now_ms);
        if self.is_tight(job) {
            self.urgent_demand.add(declared.need.cpu_millis, duration_ms, now_ms);
        }
    }

    /// Evaluates the measurements if that is due.
    pub(super) fn update_speeds(&mut self, now_ms: u64) {
        if !self.speeds.is_refresh_due(now_ms) {
            return;
        }
        self.speeds.retain_runners(|key| self.runners.contains_key(key));
        for (key, runner) in &self.runners {
            self.speeds.set_runner(key, &runner.id, &runner.labels);
        }
        let mut in_progress = Vec::new();
        for (key, runner) in &self.runners {
            // The runs of a runner that does not answer may have ended.
            if runner.renewal.failures > 0 {
                continue;
            }
            for (task, assignment) in &runner.assignments {
                if !matches!(assignment.phase, RunPhase::Running { .. }) {
                    continue;
                }
                let job = self.job_keys.get(&task.step.job).and_then(|job| self.jobs.get(*job));
                let Some(job) = job else { continue };
                let declared = job.submission.steps.get(task.step.step as usize);
                let Some(declared) = declared else { continue };
                let answered_ms = runner.renewal.answered_ms;
                if let Some(duration_ms) = measured_ms(runner, declared, assignment, answered_ms) {
                    in_progress.push(CompletedRun {
                        runner: key,
                        step: task.step,
                        queue: &job.submission.queue,
                        duration_ms,
                        estimate_ms: declared.estimate_ms,
                    });
                }
            }
        }
        self.speeds.set_runs_in_progress(in_progress);
        self.speeds.refresh(now_ms);
        let fast = self.runners.iter().filter(|(key, _)| self.speeds.factor(*key) < 1.0);
        let fast_cpu_millis = fast.map(|(_, runner)| runner.capacity.cpu_millis).sum();
        self.urgent_demand.evaluate(fast_cpu_millis, now_ms);
    }

    /// Which speed of runners suits a step.
    ///
    /// Less urgent work that can no longer meet its objective on any runner leaves the fast ones to other
    /// work.
    pub(super) fn speed_preference(
        &self,
        request: &PlacementRequest<'_>,
        now_ms: u64,
    ) -> SpeedPreference {
        let declared = request.declared;
        if !self.speeds.has_differences()
            || declared.estimate_ms == 0
            || declared.is_long_running
            || declared.is_best_effort
        {
            return SpeedPreference::Any;
        }
        let job = &self.jobs[request.key];
        let limit = self.sufficient_factor(job, request.step, now_ms);
        if limit < self.speeds.fast_factor() && job.priority >= RESERVE_FROM_PRIORITY {
            return SpeedPreference::SlowestUpTo(f64::MAX);
        }
        if limit < self.speeds.slow_factor() {
            SpeedPreference::Fastest
        } else {
            SpeedPreference::SlowestUpTo(limit)
        }
    }

    /// Whether the objective of a job leaves too little slack for the slow runners.
    fn is_tight(&self, job: &Job) -> bool {
        self.speeds.has_differences() && self.whole_factor(job) < self.speeds.slow_factor()
    }

    /// Largest speed factor of a runner on which a step still lets its job meet its objective.
    ///
    /// It is the smaller one of two: that of the whole job, and that of the rest from now on. Time that
    /// was gained with fast runners is thus kept as a margin, and time that was lost is made up.
    fn sufficient_factor(&self, job: &Job, step: usize, now_ms: u64) -> f64 {
        let (work_ms, steps) = remaining_chain(&job.submission.steps, step);
        let time_ms = job.due_ms.saturating_sub(now_ms);
        self.whole_factor(job).min(self.allowed_factor(job, time_ms, work_ms, steps))
    }

    /// Like [`Scheduler::sufficient_factor`], for the whole objective and work of the job.
    fn whole_factor(&self, job: &Job) -> f64 {
        let steps = &job.submission.steps;
        let work_ms = steps.iter().map(|step| step.estimate_ms).sum();
        let time_ms = job.due_ms.saturating_sub(job.known_ms);
        self.allowed_factor(job, time_ms, work_ms, steps.len())
    }

    /// Speed factor at which steps with `work_ms` of work after each other fit into a time.
    fn allowed_factor(&self, job: &Job, time_ms: u64, work_ms: u64, steps: usize) -> f64 {
        let queue = &job.submission.queue;
        let advice_ms = job
            .advice_policy()
            .map_or(0.0, |advice| advice.base_ms + advice.per_runner_ms * TYPICAL_ADVICE_RUNNERS);
        #[allow(clippy::cast_precision_loss, reason = "durations in milliseconds")]
        let (time_ms, work_ms, overhead_ms, used) = (
            time_ms as f64,
            work_ms.max(1) as f64,
            (STEP_OVERHEAD_MS as f64 + advice_ms) * steps as f64,
            SLACK_USE_MILLIS as f64 / MILLI as f64,
        );
        let usual_ms = work_ms * self.speeds.usual_ratio(queue);
        (time_ms - overhead_ms).max(0.0) * used / usual_ms
    }
}

/// Estimated time of the longest chain of steps that begins with this one, in milliseconds, and its
/// number of steps. Steps depend on earlier ones only.
fn remaining_chain(steps: &[Step], first: usize) -> (u64, usize) {
    let mut chains: Vec<Option<(u64, usize)>> = vec![None; steps.len()];
    let mut longest = (0, 0);
    for (position, step) in steps.iter().enumerate().skip(first) {
        let before = if position == first {
            Some((0, 0))
        } else {
            let after = step.after.iter().filter_map(|at| *chains.get(*at as usize)?);
            after.max()
        };
        let Some((before_ms, count)) = before else { continue };
        let chain = (before_ms.saturating_add(step.estimate_ms), count + 1);
        chains[position] = Some(chain);
        longest = longest.max(chain);
    }
    longest
}

/// Duration of a run up to `until_ms`, in milliseconds, if it depends on the speed of the runner only.
///
/// The run began between the order and its answer. Excluded are runs that resume from a checkpoint or
/// were found by this leader, orders that were repeated, gangs, whose members wait for each other, and
/// tasks that take longer the farther away from their data or from each other they run.
pub(super) fn measured_ms(
    runner: &Runner,
    step: &Step,
    assignment: &Assignment,
    until_ms: u64,
) -> Option<u64> {
    let is_far = step.data_rack.as_ref().is_some_and(|rack| !runner.labels.contains(rack));
    let is_excluded = step.is_gang
        || step.is_long_running
        || step.is_best_effort
        || is_far
        || step.same_rack && step.count > 1;
    let is_repeated = assignment.retry_ms != assignment.assigned_ms;
    if is_excluded || !assignment.is_from_start || is_repeated {
        return None;
    }
    let begun_ms = match assignment.phase {
        RunPhase::Running { since_ms } => u64::midpoint(assignment.assigned_ms, since_ms),
        RunPhase::Starting { .. } => assignment.assigned_ms,
        RunPhase::Stopping { .. } => return None,
    };
    Some(until_ms.saturating_sub(begun_ms))
}
