//! Order in which waiting steps are offered the free resources.
//!
//! [`rank`] is the order when capacity is insufficient: steps whose job can still meet its objective
//! go before those whose job cannot. [`rank_by_due_time`] is the order of all other deployments.
//! What was weighed: `docs/design/0020-insufficient-capacity.md`.

use crate::collections::HashMap;
use crate::configs::queue::OrderByValue;
use crate::queue::model::TaskId;
use crate::queue::scheduler::job::{Job, JobKey};
use crate::queue::scheduler::runner::{Assignment, RunPhase, RunnerKey};
use crate::queue::scheduler::Scheduler;

/// Multiple of a job's objective within which it still has part of its value to its caller.
const VALUE_ENDS_AT: u64 = 3;

/// Part of the remaining work that a job must have left as slack to count as able to meet its
/// objective, in thousandths. Without it, the jobs that are started are those that are just about to
/// become late, and any delay makes them so.
const SLACK_MILLIS: u64 = 150;

/// Largest age of a job that was read from the store, in milliseconds, in case that the clocks of the
/// hosts that accepted the jobs differ widely.
const MAX_AGE_AT_LOAD_MS: u64 = 600_000;

/// A step with waiting tasks, as far as its order among the others is concerned.
#[derive(Clone, Copy, Debug)]
pub struct WaitingStep {
    /// Priority of its queue; 0 is the most urgent.
    pub priority: u32,
    /// Position of the job's workspace: whether the job exceeds its weight, and how much of its share
    /// it uses, coarsely; the least goes first.
    pub share: (bool, u32),
    /// Time since its job was accepted, in milliseconds.
    pub age_ms: u64,
    /// Time that the objective allows for the job from its acceptance, in milliseconds.
    pub allowed_ms: u64,
    /// Expected duration of the longest chain of steps that its job still has to run, in
    /// milliseconds.
    pub remaining_ms: u64,
    /// Age from which a late job goes with those that are in time, in milliseconds.
    pub patience_ms: u64,
}

/// What the job of a step is worth to its caller if the step starts now; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Prospect {
    /// The job can end within its objective, or has waited for so long that it counts as if it could.
    InTime,
    /// The job will be late, but has part of its value left.
    Late,
    /// The job has no value left.
    Worthless,
}

/// Position of a waiting step among those ranked at the same time; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    priority: u32,
    share: (bool, u32),
    prospect: Prospect,
    /// Order within a prospect, in milliseconds: time left until the objective, remaining work, or
    /// the negative age.
    order_ms: i64,
}

impl Rank {
    /// The rank with another position of the job's workspace.
    #[must_use]
    pub fn with_share(self, share: (bool, u32)) -> Self {
        Self { share, ..self }
    }
}

/// Ranks a waiting step by its priority and the share of its workspace, then by what its job is worth
/// to its caller: jobs in time by due time, late ones by remaining work, worthless ones by age.
///
/// ```
/// use hemlockrock::queue::scheduler::waiting::{rank, WaitingStep};
///
/// let late = WaitingStep {
///     priority: 0,
///     share: (false, 0),
///     age_ms: 1_000,
///     allowed_ms: 1_500,
///     remaining_ms: 800,
///     patience_ms: 60_000,
/// };
/// let in_time = WaitingStep { age_ms: 100, ..late };
/// assert!(rank(&in_time) < rank(&late));
/// ```
pub fn rank(waiting: &WaitingStep) -> Rank {
    let prospect = prospect(waiting);
    let order_ms = match prospect {
        Prospect::InTime => signed(waiting.allowed_ms) - signed(waiting.age_ms),
        Prospect::Late => signed(waiting.remaining_ms),
        Prospect::Worthless => -signed(waiting.age_ms),
    };
    Rank { priority: waiting.priority, share: waiting.share, prospect, order_ms }
}

/// Ranks a waiting step by priority, the share of its workspace, and the time left until it is due,
/// which is `due_ms` less `now_ms`.
pub fn rank_by_due_time(priority: u32, share: (bool, u32), due_ms: u64, now_ms: u64) -> Rank {
    let order_ms = signed(due_ms) - signed(now_ms);
    Rank { priority, share, prospect: Prospect::InTime, order_ms }
}

/// A duration of less than half of the range, so that sums and differences do not overflow.
fn signed(duration_ms: u64) -> i64 {
    i64::try_from(duration_ms).unwrap_or(i64::MAX).min(i64::MAX / 2)
}

/// What the job of a step is worth to its caller if the step starts now.
pub fn prospect(waiting: &WaitingStep) -> Prospect {
    const MILLI: u64 = 1_000;
    let slack_ms = waiting.remaining_ms.saturating_mul(SLACK_MILLIS) / MILLI;
    let end_ms = waiting.age_ms.saturating_add(waiting.remaining_ms);
    let is_in_time = end_ms.saturating_add(slack_ms) <= waiting.allowed_ms;
    if is_in_time || waiting.age_ms >= waiting.patience_ms {
        Prospect::InTime
    } else if end_ms <= waiting.allowed_ms.saturating_mul(VALUE_ENDS_AT) {
        Prospect::Late
    } else {
        Prospect::Worthless
    }
}

/// How long runs take compared with their estimates, and how far the estimates can be relied on: running
/// medians for each queue.
///
/// ```
/// use hemlockrock::queue::scheduler::waiting::EstimateErrors;
///
/// let mut errors = EstimateErrors::default();
/// for _ in 0..50 {
///     errors.record("batch", 1_000, 2_000.0);
/// }
/// assert!((1.9..2.1).contains(&errors.ratio("batch")));
/// assert!(errors.are_reliable("batch"));
/// ```
#[derive(Debug, Default)]
pub struct EstimateErrors {
    queues: HashMap<String, QueueErrors>,
}

#[derive(Clone, Copy, Debug, Default)]
struct QueueErrors {
    /// Logarithm of the median ratio of duration to estimate.
    log_ratio: f64,
    /// Median distance of the logarithms from `log_ratio`.
    spread: f64,
    runs: u32,
}

impl EstimateErrors {
    /// Change of a median with each run, about 4%: an error by a factor of two is learned from some
    /// twenty runs, and one run of seven times its usual duration counts no more than any other.
    const STEP: f64 = 0.04;

    /// Largest logarithm in use: a factor of four.
    const MAX_LOG: f64 = 1.386;

    /// Largest median distance at which estimates tell which job can still be in time: half of the runs
    /// take between 0.65 and 1.55 times what is expected.
    const MAX_SPREAD: f64 = 0.44;

    /// Runs of a queue before its estimates are relied on.
    const MIN_RUNS: u32 = 20;

    /// Records a run that has completed, with its duration on a usual runner.
    pub fn record(&mut self, queue: &str, estimate_ms: u64, took_ms: f64) {
        if estimate_ms == 0 {
            return;
        }
        #[allow(clippy::cast_precision_loss, reason = "a ratio")]
        let log_ratio = (took_ms.max(1.0) / estimate_ms as f64).ln();
        if !self.queues.contains_key(queue) {
            self.queues.insert(queue.to_owned(), QueueErrors::default());
        }
        let Some(known) = self.queues.get_mut(queue) else { return };
        // A step of limited size towards each sample tends to the median.
        let towards =
            |median: f64, sample: f64| median + (sample - median).clamp(-Self::STEP, Self::STEP);
        let distance = (log_ratio - known.log_ratio).abs();
        known.spread = towards(known.spread, distance);
        known.log_ratio = towards(known.log_ratio, log_ratio).clamp(-Self::MAX_LOG, Self::MAX_LOG);
        known.runs = known.runs.saturating_add(1);
    }

    /// Expected ratio of duration to estimate; 1 before the first run.
    pub fn ratio(&self, queue: &str) -> f64 {
        self.queues.get(queue).map_or(1.0, |known| known.log_ratio.exp())
    }

    /// Whether the estimates of the queue tell which of its jobs can still be in time.
    pub fn are_reliable(&self, queue: &str) -> bool {
        let is_reliable =
            |known: &QueueErrors| known.runs >= Self::MIN_RUNS && known.spread <= Self::MAX_SPREAD;
        self.queues.get(queue).is_some_and(is_reliable)
    }
}

/// Sum of the estimates along the longest chain of steps that have not been started completely, in
/// milliseconds. The job must not depend on itself.
fn remaining_chain_ms(job: &Job) -> u64 {
    let steps = &job.submission.steps;
    let mut chains_ms = vec![0_u64; steps.len()];
    // Steps usually depend on earlier ones; else the order of evaluation takes several rounds.
    for _ in 0..steps.len() {
        let mut has_changed = false;
        for (index, step) in steps.iter().enumerate() {
            let before_ms = step.after.iter().filter_map(|at| chains_ms.get(*at as usize)).max();
            let is_waiting = job.steps[index].has_waiting() && !step.is_long_running;
            let own_ms = if is_waiting { step.estimate_ms } else { 0 };
            let chain_ms = before_ms.copied().unwrap_or_default().saturating_add(own_ms);
            has_changed |= chains_ms[index] != chain_ms;
            chains_ms[index] = chain_ms;
        }
        if !has_changed {
            break;
        }
    }
    chains_ms.into_iter().max().unwrap_or_default()
}

impl Scheduler {
    /// Whether callers compete for insufficient capacity, so that waiting steps are ordered by what their
    /// jobs are worth.
    pub(super) fn is_contended(&self) -> bool {
        match self.config.order_by_value {
            OrderByValue::Auto => self.directory.workspaces.is_some(),
            OrderByValue::Always => true,
            OrderByValue::Never => false,
        }
    }

    /// Whether steps near the front request advice before there is room. Where runners are uneven, they
    /// would fill their calls with runners whose speed does not suit them.
    pub(super) fn requests_advice_ahead(&self) -> bool {
        self.is_contended() && !self.speeds.are_uneven()
    }

    /// Position of the waiting steps of a job among all others.
    ///
    /// Where estimates are unreliable they would name jobs as late that are not, which would wait behind
    /// the others; the order is by due time there.
    pub(super) fn rank_of(&self, key: JobKey, now_ms: u64) -> Rank {
        let job = &self.jobs[key];
        let share = self.share_position(key, now_ms);
        if !self.is_contended() {
            return rank_by_due_time(job.priority, share, job.due_ms, now_ms);
        }
        let waiting = self.waiting_step(job, share, now_ms);
        if self.estimate_errors.are_reliable(&job.submission.queue) {
            return rank(&waiting);
        }
        rank_by_due_time(job.priority, share, waiting.allowed_ms, waiting.age_ms)
    }

    /// Compares the duration of a completed run with its estimate. Runs that have resumed from a
    /// checkpoint, long-running and best-effort tasks tell nothing about estimates.
    pub(super) fn record_estimate_error(
        &mut self,
        runner: RunnerKey,
        task: TaskId,
        assignment: &Assignment,
        now_ms: u64,
    ) {
        let RunPhase::Running { since_ms } = assignment.phase else { return };
        let Some(key) = self.job_keys.get(&task.step.job) else { return };
        let job = &self.jobs[*key];
        let Some(declared) = job.submission.steps.get(task.step.step as usize) else { return };
        if !assignment.is_from_start || declared.is_long_running || declared.is_best_effort {
            return;
        }
        #[allow(clippy::cast_precision_loss, reason = "a duration in milliseconds")]
        let took_ms = now_ms.saturating_sub(since_ms) as f64 / self.speeds.factor(runner);
        self.estimate_errors.record(&job.submission.queue, declared.estimate_ms, took_ms);
    }

    /// Usual duration of work of a queue that is estimated at `estimate_ms`, in milliseconds.
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a duration in milliseconds"
    )]
    pub(super) fn expected_duration_ms(&self, queue: &str, estimate_ms: u64) -> u64 {
        (estimate_ms as f64 * self.estimate_errors.ratio(queue)) as u64
    }

    fn waiting_step(&self, job: &Job, share: (bool, u32), now_ms: u64) -> WaitingStep {
        let remaining_ms =
            self.expected_duration_ms(&job.submission.queue, remaining_chain_ms(job));
        WaitingStep {
            priority: job.priority,
            share,
            age_ms: self.age_ms(job, now_ms),
            allowed_ms: job.allowed_ms,
            remaining_ms,
            patience_ms: self.config.late_job_patience_ms,
        }
    }

    /// Time since a job was accepted, in milliseconds.
    ///
    /// The age of a job that was read from the store is counted from the newest of them: there is no
    /// other common clock, and the process may be younger than the job.
    fn age_ms(&self, job: &Job, now_ms: u64) -> u64 {
        let known_for_ms = now_ms.saturating_sub(job.known_ms);
        if !job.is_loaded {
            return known_for_ms;
        }
        let accepted_unix_ms = job.submission.accepted_unix_ms;
        let before_ms = self.newest_loaded_unix_ms.saturating_sub(accepted_unix_ms);
        known_for_ms + before_ms.min(MAX_AGE_AT_LOAD_MS)
    }
}
