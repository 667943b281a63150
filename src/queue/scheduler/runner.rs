//! State of a runner as the leader knows it: its incarnation, leases, assignments and resources.

use std::collections::{BTreeSet, VecDeque};

use crate::collections::HashMap;
use crate::place::spec::Resources;
use crate::queue::model::{RunnerId, RunnerReport, Step, TaskId};
use crate::queue::scheduler::crash::CrashState;
use crate::queue::scheduler::job::JobKey;
use crate::queue::scheduler::roster::RosterState;
use crate::queue::scheduler::shares::Charge;

slotmap::new_key_type! {
    /// Key of a runner in the scheduler's slot map.
    pub struct RunnerKey;
}

/// Time that is added to a lease before it counts as expired, in thousandths of its remaining
/// duration: the clock of a runner may be 2% slow.
const CLOCK_DRIFT_MILLIS: u64 = 25;

/// Difference by which a clock may lag behind its expected value because of rounding, in
/// milliseconds.
const CLOCK_TOLERANCE_MS: u64 = 20;

/// Initial pace of a run, in percent.
const FULL_PACE_PERCENT: u32 = 100;

/// Time that is added to a lease before it counts as expired, to allow for varying delays, in
/// milliseconds.
const LEASE_SLACK_MS: u64 = 300;

/// Maximum number of ends from a withheld one on, listed or to come from runs in progress. An answer
/// lists at most 500 ends, so that later ones would not be seen.
const MAX_ENDS_FROM_WITHHELD: u64 = 400;

/// A runner that is listed in the store or to which orders may have been sent.
#[derive(Debug)]
pub struct Runner {
    pub(crate) id: RunnerId,
    pub(crate) address: String,
    pub(crate) zone: String,
    pub(crate) service: String,
    pub(crate) labels: Vec<String>,
    pub(crate) capacity: Resources,
    /// Whether the runner's own record is in the store.
    pub(crate) is_listed: bool,
    pub(crate) is_draining: bool,
    /// Start time of the incarnation that answered last, in Unix milliseconds.
    pub(crate) started_unix_ms: Option<u64>,
    /// Start time of the incarnation in the runner's record, in Unix milliseconds.
    pub(crate) listed_started_unix_ms: u64,
    /// Fencing token of orders to the runner. It rises with each restart and each failure to answer, so
    /// that the runner refuses delayed orders from before once it has seen a newer one.
    pub(crate) token: u64,
    /// Whether the current incarnation has answered an order with a token of this term, so that it
    /// rejects orders of previous leaders.
    pub(crate) is_fenced: bool,
    pub(crate) roster: RosterState,
    /// Last known clock of the runner and the local time at which it was received, in milliseconds.
    pub(crate) clock_sample: Option<(u64, u64)>,
    /// Latest lease expiry that was sent to the runner, on its clock in milliseconds.
    pub(crate) lease_sent_until_ms: u64,
    /// Number of the last ended run that was processed.
    pub(crate) last_seen_end: u64,
    /// Number of the last ended run whose outcome is stored, so that the runner may discard it.
    pub(crate) acknowledged_end: u64,
    /// Highest number in an answered renewal.
    pub(crate) delivered_end: u64,
    /// Number in the renewal in flight.
    pub(crate) sent_end: u64,
    /// Processed ends whose outcome is not stored yet, in the order of their numbers.
    pub(crate) unsaved_ends: VecDeque<UnsavedEnd>,
    /// Numbers of the processed ends whose job is not known yet.
    pub(crate) unclaimed_ends: BTreeSet<u64>,
    /// Number of the first ended run that must not be acknowledged: its task has been started
    /// elsewhere in the meantime, and nothing shows that the lease expired in between.
    pub(crate) withheld_end: Option<u64>,
    pub(crate) assignments: HashMap<TaskId, Assignment>,
    /// Sum of the resources that the assignments reserve.
    pub(crate) used: Resources,
    /// Part of it that long-running tasks reserve.
    pub(crate) used_by_long_running: Resources,
    pub(crate) renewal: RenewalState,
    /// Time until which the runner gets no new tasks.
    pub(crate) paused_until_ms: u64,
    /// Time until which the runner gets no new tasks because it has confirmed a start that was meant for
    /// another incarnation, so that leases there may be long.
    pub(crate) long_lease_until_ms: u64,
    /// Jobs with a failed task on this runner since the last task that completed on it.
    pub(crate) failed_jobs: Vec<u64>,
    pub(crate) crash: Box<CrashState>,
}

/// An ended run whose outcome is part of a job's progress that is not stored yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnsavedEnd {
    /// Sequence number of the end.
    pub(crate) number: u64,
    pub(crate) job: JobKey,
    /// Number of the change of the job that covers the outcome.
    pub(crate) change: u64,
}

/// State of the lease renewals of a runner.
#[derive(Debug, Default)]
pub(crate) struct RenewalState {
    pub(crate) is_in_flight: bool,
    /// Time before which no further renewal is sent.
    pub(crate) next_ms: u64,
    /// Time of the last answer.
    pub(crate) answered_ms: u64,
    /// Time at which the last renewal that was answered was sent: the runner was up after it.
    pub(crate) seen_ms: u64,
    /// Number of consecutive renewals that failed; 0 while the runner answers.
    pub(crate) failures: u32,
    /// Time from which an answer is wanted although the runner is idle, in milliseconds; 0 for none.
    pub(crate) wanted_ms: u64,
}

impl RenewalState {
    /// Whether the runner has not answered a call that was sent since an answer was wanted.
    pub(crate) fn is_answer_wanted(&self) -> bool {
        self.seen_ms < self.wanted_ms
    }
}

/// A run that reserves resources on a runner.
#[derive(Clone, Debug)]
pub(crate) struct Assignment {
    /// Number of the run.
    pub(crate) run: u64,
    /// Number of the task's last run before this one; 0 for none.
    pub(crate) former_run: u64,
    pub(crate) reserved: Resources,
    /// Whether the needs of the run are unknown, so that it reserves the whole runner.
    pub(crate) reserves_all: bool,
    pub(crate) phase: RunPhase,
    pub(crate) is_order_in_flight: bool,
    /// Time at which the start was ordered, or at which the run was found.
    pub(crate) assigned_ms: u64,
    /// Whether this leader has started the run, from the beginning of its task.
    pub(crate) is_from_start: bool,
    /// Time after which the runner was certainly up, before the start was ordered.
    pub(crate) seen_ms: u64,
    /// Whether the runner broke the connection off right after the first start order, although it had
    /// answered right before.
    pub(crate) has_broken_off: bool,
    /// Whether the incarnation that answered last has certainly carried out the start order. Until
    /// then, the order may still take effect, also in a later incarnation.
    pub(crate) is_start_confirmed: bool,
    /// Time before which no order is repeated.
    pub(crate) retry_ms: u64,
    pub(crate) is_best_effort: bool,
    /// Whether the run does not end by itself.
    pub(crate) is_long_running: bool,
    /// Whether another run of the task may overlap with this one.
    pub(crate) may_copy: bool,
    /// Whether the progress of the run shows if it is stalled: not so for members of a gang, for
    /// long-running tasks and for best-effort tasks.
    pub(crate) reports_progress: bool,
    /// Time at which the reported progress last changed.
    pub(crate) progressed_ms: u64,
    /// Target for the tail latency, in milliseconds; 0 unless the task is latency-sensitive.
    pub(crate) target_ms: u64,
    /// Reported tail latency in milliseconds, or processor use of a task without a target.
    pub(crate) load: f64,
    /// Reported progress, in percent.
    pub(crate) percent: f64,
    /// Pace that was last ordered, in percent.
    pub(crate) pace: u32,
    /// Time of the last pace order; 0 before the first.
    pub(crate) paced_ms: u64,
    pub(crate) charge: Charge,
    /// Usual duration of such a run, in milliseconds; 0 if it has no end.
    pub(crate) expected_ms: u64,
    /// Time at which the reported checkpoint last changed, in milliseconds; 0 before.
    pub(crate) saved_ms: u64,
}

/// Phase of a run on a runner, as the leader knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// A start order was sent.
    Starting {
        /// Whether a start order was not answered and may still take effect.
        is_unsure: bool,
    },
    /// The runner has confirmed the start.
    Running {
        /// Time of the confirmation, in milliseconds.
        since_ms: u64,
    },
    /// The run is to be stopped.
    Stopping {
        /// Time at which the runner confirmed the stop order, in milliseconds; `None` before.
        ordered_ms: Option<u64>,
    },
}

/// Time after which a lease of `lease_ms` has certainly expired, in milliseconds.
pub(super) fn certain_expiry_ms(lease_ms: u64) -> u64 {
    const MILLI: u64 = 1_000;
    lease_ms + lease_ms * CLOCK_DRIFT_MILLIS / MILLI + LEASE_SLACK_MS
}

impl Assignment {
    /// Assignment of a task of `step` whose start order is being sent now.
    pub(crate) fn new(run: u64, step: &Step, now_ms: u64) -> Self {
        Self {
            run,
            former_run: 0,
            reserved: step.reservation(),
            reserves_all: false,
            phase: RunPhase::Starting { is_unsure: false },
            is_order_in_flight: true,
            assigned_ms: now_ms,
            is_from_start: false,
            seen_ms: 0,
            has_broken_off: false,
            is_start_confirmed: false,
            retry_ms: now_ms,
            is_best_effort: step.is_best_effort,
            is_long_running: step.is_long_running,
            may_copy: step.may_copy,
            reports_progress: !step.is_gang && !step.is_long_running && !step.is_best_effort,
            progressed_ms: now_ms,
            target_ms: step.target_ms,
            load: 0.0,
            percent: 0.0,
            pace: FULL_PACE_PERCENT,
            paced_ms: 0,
            charge: Charge::default(),
            expected_ms: if step.is_long_running { 0 } else { step.estimate_ms },
            saved_ms: 0,
        }
    }

    /// Records the progress and load that the runner reports.
    pub(crate) fn update_progress(&mut self, percent: f64, load: f64, now_ms: u64) {
        if (percent - self.percent).abs() > f64::EPSILON {
            self.progressed_ms = now_ms;
        }
        self.percent = percent;
        self.load = load;
    }

    /// Whether the run had made no progress for `patience_ms` when its runner answered last.
    pub(crate) fn is_stalled(&self, patience_ms: u64, answered_ms: u64) -> bool {
        let RunPhase::Running { since_ms } = self.phase else { return false };
        self.reports_progress && answered_ms > self.progressed_ms.max(since_ms) + patience_ms
    }

    /// Work that is lost if the run is stopped: processor time since its start or since its last
    /// checkpoint, in thousandths of a core times milliseconds.
    pub(crate) fn unsaved_work(&self, now_ms: u64) -> u64 {
        let since_ms = self.assigned_ms.max(self.saved_ms);
        now_ms.saturating_sub(since_ms).saturating_mul(self.reserved.cpu_millis.max(1))
    }

    /// Marks the run to be stopped; the stop order follows.
    pub(crate) fn stop(&mut self, now_ms: u64) {
        if !matches!(self.phase, RunPhase::Stopping { .. }) {
            self.phase = RunPhase::Stopping { ordered_ms: None };
            self.retry_ms = now_ms;
        }
    }
}

impl Runner {
    pub(crate) fn new(report: RunnerReport, token: u64) -> Self {
        let mut runner = Self::from_roster(report.id.clone(), report.address.clone(), token);
        runner.update(report);
        runner
    }

    /// A runner from the roster, of which only the name and the address are known.
    pub(crate) fn from_roster(id: RunnerId, address: String, token: u64) -> Self {
        Self {
            id,
            address,
            zone: String::new(),
            service: String::new(),
            labels: Vec::new(),
            capacity: Resources::default(),
            is_listed: false,
            is_draining: false,
            started_unix_ms: None,
            listed_started_unix_ms: 0,
            token,
            is_fenced: false,
            roster: RosterState::default(),
            clock_sample: None,
            lease_sent_until_ms: 0,
            last_seen_end: 0,
            acknowledged_end: 0,
            delivered_end: 0,
            sent_end: 0,
            unsaved_ends: VecDeque::new(),
            unclaimed_ends: BTreeSet::new(),
            withheld_end: None,
            assignments: HashMap::default(),
            used: Resources::default(),
            used_by_long_running: Resources::default(),
            renewal: RenewalState::default(),
            paused_until_ms: 0,
            long_lease_until_ms: 0,
            failed_jobs: Vec::new(),
            crash: Box::default(),
        }
    }

    /// Applies the runner's current record.
    pub(crate) fn update(&mut self, report: RunnerReport) {
        self.is_listed = true;
        self.is_draining = report.is_draining;
        self.crash.has_drained |= report.is_draining;
        self.address = report.address;
        self.zone = report.zone;
        self.service = report.service;
        self.labels = report.labels;
        if self.capacity != report.capacity {
            self.set_capacity(report.capacity);
        }
        self.listed_started_unix_ms = report.started_unix_ms;
        self.update_roster_match();
    }

    /// Sets the capacity, also as the reservation of runs with unknown needs.
    fn set_capacity(&mut self, capacity: Resources) {
        self.capacity = capacity;
        self.used = Resources::default();
        for assignment in self.assignments.values_mut() {
            if assignment.reserves_all {
                assignment.reserved = capacity;
            }
            self.used = self.used.plus(assignment.reserved);
        }
    }

    /// Whether the runner may get new tasks.
    pub(crate) fn is_usable(&self, now_ms: u64) -> bool {
        self.may_work(now_ms) && self.is_in_roster(now_ms)
    }

    /// Whether the runner may get new tasks as soon as the stored roster allows it.
    pub(crate) fn may_work(&self, now_ms: u64) -> bool {
        self.is_listed
            && !self.is_draining
            && self.is_fenced
            && !self.has_full_end_list()
            && self.started_unix_ms == Some(self.listed_started_unix_ms)
            && self.renewal.failures == 0
            && self.paused_until_ms <= now_ms
            && self.long_lease_until_ms <= now_ms
    }

    /// Whether the runner might soon list more ends after a withheld one than fit into an answer.
    fn has_full_end_list(&self) -> bool {
        let Some(withheld) = self.withheld_end else { return false };
        let listed = self.last_seen_end.saturating_sub(withheld) + 1;
        listed + self.assignments.len() as u64 >= MAX_ENDS_FROM_WITHHELD
    }

    /// Releases a withheld end if the last end of a lapsed run, `lapsed_number`, comes after it: an end
    /// does not count once the lease has lapsed.
    pub(crate) fn release_withheld_end(&mut self, lapsed_number: u64) {
        self.withheld_end = self.withheld_end.filter(|withheld| *withheld > lapsed_number);
    }

    /// Whether the runs reserve more than the capacity, which has shrunk meanwhile.
    pub(crate) fn is_over_full(&self) -> bool {
        !self.used.fits(self.capacity)
    }

    /// Free resources.
    pub(crate) fn free(&self) -> Resources {
        self.capacity.minus(self.used)
    }

    /// Part of the processor and the memory, given in thousandths.
    pub(crate) fn share(&self, millis: u64) -> Resources {
        const MILLI: u64 = 1_000;
        Resources {
            cpu_millis: self.capacity.cpu_millis.saturating_mul(millis) / MILLI,
            memory_bytes: self.capacity.memory_bytes / MILLI * millis,
            accelerators: 0,
        }
    }

    /// Number of tasks with these needs that fit into `free`.
    pub(crate) fn slots(free: Resources, need: Resources) -> u64 {
        let by = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
        by(free.cpu_millis, need.cpu_millis)
            .min(by(free.memory_bytes, need.memory_bytes))
            .min(by(u64::from(free.accelerators), u64::from(need.accelerators)))
    }

    /// Assigns a run; returns the former one of the same task.
    pub(crate) fn assign(&mut self, task: TaskId, assignment: Assignment) -> Option<Assignment> {
        self.used = self.used.plus(assignment.reserved);
        if assignment.is_long_running {
            self.used_by_long_running = self.used_by_long_running.plus(assignment.reserved);
        }
        let former = self.assignments.insert(task, assignment)?;
        self.return_resources(&former);
        Some(former)
    }

    fn return_resources(&mut self, assignment: &Assignment) {
        self.used = self.used.minus(assignment.reserved);
        if assignment.is_long_running {
            self.used_by_long_running = self.used_by_long_running.minus(assignment.reserved);
        }
    }

    pub(crate) fn release(&mut self, task: TaskId) -> Option<Assignment> {
        let assignment = self.assignments.remove(&task)?;
        self.return_resources(&assignment);
        Some(assignment)
    }

    /// Earliest time that the runner's clock may show now, in milliseconds; `None` if no sample of the
    /// clock is known.
    fn earliest_clock_ms(&self, now_ms: u64) -> Option<u64> {
        const MILLI: u64 = 1_000;
        let (clock_ms, at_ms) = self.clock_sample?;
        let elapsed_ms = now_ms.saturating_sub(at_ms);
        Some(clock_ms + elapsed_ms - elapsed_ms * CLOCK_DRIFT_MILLIS / MILLI)
    }

    /// Computes the expiry of a lease of at most `lease_ms` from now, on the runner's clock, and records
    /// it as sent; `None` if the clock is not known.
    pub(crate) fn extend_lease(&mut self, lease_ms: u64, now_ms: u64) -> Option<u64> {
        let until_ms = self.earliest_clock_ms(now_ms)? + lease_ms;
        self.lease_sent_until_ms = self.lease_sent_until_ms.max(until_ms);
        Some(until_ms)
    }

    /// Records that an order may have reached a later incarnation than the one that answered last, where
    /// it obtains a lease of up to `max_lease_ms`.
    pub(crate) fn expect_long_lease(&mut self, max_lease_ms: u64, now_ms: u64) {
        self.extend_lease(max_lease_ms, now_ms);
        self.roster.restart();
    }

    /// Expiry of the lease in a repeated start order, on the runner's clock: that of the first order,
    /// since a longer one would postpone the time at which the run has certainly ended, but no more
    /// than `lease_ms` from now. `None` if the clock is not known.
    pub(crate) fn repeated_lease_until_ms(&self, lease_ms: u64, now_ms: u64) -> Option<u64> {
        let until_ms = self.earliest_clock_ms(now_ms)? + lease_ms;
        Some(until_ms.min(self.lease_sent_until_ms)).filter(|until_ms| *until_ms > 0)
    }

    /// Time by which all runs on the runner have certainly ended unless the lease is renewed.
    pub(crate) fn lease_lapsed_by_ms(&self) -> u64 {
        let Some((clock_ms, at_ms)) = self.clock_sample else { return 0 };
        at_ms + certain_expiry_ms(self.lease_sent_until_ms.saturating_sub(clock_ms))
    }

    /// Resets the state that belonged to the previous incarnation.
    pub(crate) fn begin_incarnation(&mut self, started_unix_ms: u64) {
        self.started_unix_ms = Some(started_unix_ms);
        self.clock_sample = None;
        self.lease_sent_until_ms = 0;
        self.last_seen_end = 0;
        self.acknowledged_end = 0;
        self.delivered_end = 0;
        self.unsaved_ends.clear();
        self.unclaimed_ends.clear();
        self.withheld_end = None;
        self.update_roster_match();
    }

    /// Number of start orders that are not answered, for the log.
    pub(crate) fn orders_in_flight(&self) -> usize {
        let is_unanswered = |assignment: &&Assignment| {
            assignment.is_order_in_flight
                || assignment.phase == RunPhase::Starting { is_unsure: true }
        };
        self.assignments.values().filter(is_unanswered).count()
    }

    /// Whether a start order may take effect in a later incarnation than the one that answered last.
    pub(crate) fn has_unconfirmed_start(&self) -> bool {
        self.assignments.values().any(|assignment| !assignment.is_start_confirmed)
    }

    /// Confirms the starts that were answered before `sent_ms`, when an order was sent that the same
    /// incarnation has answered as the order before.
    pub(crate) fn confirm_starts_before(&mut self, sent_ms: u64) {
        for assignment in self.assignments.values_mut() {
            assignment.is_start_confirmed |= match assignment.phase {
                RunPhase::Starting { .. } => false,
                RunPhase::Running { since_ms } => since_ms < sent_ms,
                RunPhase::Stopping { ordered_ms } => ordered_ms.is_some_and(|at| at < sent_ms),
            };
        }
    }

    /// Whether the incarnation that answered last also carried out an order that was sent at
    /// `sent_ms` and answered with this clock: the clock of a later incarnation starts again at 0.
    pub(crate) fn is_clock_continuous(&self, clock_ms: u64, sent_ms: u64) -> bool {
        const MILLI: u64 = 1_000;
        let Some((sample_ms, at_ms)) = self.clock_sample else { return false };
        let tolerance_ms =
            sent_ms.abs_diff(at_ms) * CLOCK_DRIFT_MILLIS / MILLI + CLOCK_TOLERANCE_MS;
        // The answer to a later order may have arrived first.
        clock_ms + at_ms + tolerance_ms >= sample_ms + sent_ms
    }

    /// Number of the last end that may be acknowledged once all up to `seen` are stored.
    pub(crate) fn max_acknowledged_end(&self, seen: u64) -> u64 {
        let blocked = self.withheld_end.into_iter().chain(self.unclaimed_ends.first().copied());
        let limit = blocked.min().map_or(u64::MAX, |number| number.saturating_sub(1));
        seen.min(self.last_seen_end).min(limit)
    }

    /// Whether a stop order was confirmed for a run whose end has not been reported yet.
    pub(crate) fn is_stopping(&self) -> bool {
        let stopped = |assignment: &Assignment| {
            matches!(assignment.phase, RunPhase::Stopping { ordered_ms: Some(_) })
        };
        self.assignments.values().any(stopped)
    }

    /// Whether a latency-sensitive task is assigned.
    pub(crate) fn has_latency_target(&self) -> bool {
        self.assignments.values().any(|assignment| assignment.target_ms > 0)
    }

    /// Whether a best-effort task is assigned.
    pub(crate) fn has_best_effort(&self) -> bool {
        self.assignments.values().any(|assignment| assignment.is_best_effort)
    }

    /// Name and address, for an order.
    pub(crate) fn target(&self) -> (RunnerId, String) {
        (self.id.clone(), self.address.clone())
    }
}
