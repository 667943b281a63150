//! Requests advice for steps that wait for room about runners that are expected to get room soon.
//!
//! A call to the advice service takes longer than room stays unused when runners are in demand. A step
//! near the front of the order therefore asks before there is room, so that it holds a valid ticket
//! when a run ends. All of this only takes effect where callers compete for insufficient capacity.

use crate::collections::HashMap;
use crate::place::spec::Resources;
use crate::queue::model::AdvicePolicy;
use crate::queue::scheduler::placement::PlacementRequest;
use crate::queue::scheduler::runner::{Assignment, RunPhase, Runner, RunnerKey};
use crate::queue::scheduler::Scheduler;

/// Longest time from now in which room is expected, in milliseconds. Tickets may be valid for longer,
/// but the order of the waiting steps has changed by then.
const MAX_HORIZON_MS: u64 = 3_000;

/// Time for which the expected room of a service is used before it is computed again, in
/// milliseconds.
const ROOM_AGE_MS: u64 = 50;

/// Part of the expected room that the tasks before a step may need if the step is to ask, in
/// thousandths.
const FRONT_MILLIS: u64 = 1_000;

/// Number of tasks for which a step at the very front seeks tickets, in thousandths of its waiting
/// tasks. Steps behind it seek more, since room is taken before their turn. With 1,500, batch jobs got
/// 1 to 7% less of their value on the harness, for 7 to 11% fewer calls.
const TICKETS_MILLIS: u64 = 3_000;

/// Most calls at the same time that a step makes about runners without room.
const MAX_CALLS: usize = 2;

/// Time over which the demand for short calls is averaged, in milliseconds.
const SHORT_CALL_WINDOW_MS: u64 = 2_000;

/// Hosts reserved for short calls, as a multiple of their mean number of calls in flight: with
/// arrivals at random, fewer would let them queue.
const SHORT_CALL_HEADROOM: f64 = 2.0;

/// What steps that wait for advice compete for.
#[derive(Debug, Default)]
pub struct RoomDemand {
    /// Processor that the steps placed so far in this pass still need, by service.
    waiting_cpu_millis: HashMap<String, u64>,
    /// Processor that is expected to be free within the horizon, with the time of the computation and
    /// the horizon, by service.
    expected_cpu_millis: HashMap<String, (u64, u64, u64)>,
    /// Mean number of short calls in flight, at the time of the last answer.
    short_calls: f64,
    short_calls_ms: u64,
}

impl RoomDemand {
    /// Forgets the demand of the last placement pass.
    pub(super) fn begin_pass(&mut self) {
        self.waiting_cpu_millis.clear();
    }

    /// Takes note of a short call that was answered.
    pub fn record_short_call(&mut self, took_ms: u64, now_ms: u64) {
        #[allow(clippy::cast_precision_loss, reason = "a share of a window")]
        let share = took_ms as f64 / SHORT_CALL_WINDOW_MS as f64;
        self.short_calls = self.short_calls_at(now_ms) + share;
        self.short_calls_ms = now_ms;
    }

    fn short_calls_at(&self, now_ms: u64) -> f64 {
        #[allow(clippy::cast_precision_loss, reason = "a number of windows")]
        let windows =
            now_ms.saturating_sub(self.short_calls_ms) as f64 / SHORT_CALL_WINDOW_MS as f64;
        self.short_calls * (-windows).exp()
    }

    /// Number of hosts to reserve for short calls, at least `least` and at most half of `hosts`.
    pub fn short_call_hosts(&self, least: usize, hosts: usize, now_ms: u64) -> usize {
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a number of hosts"
        )]
        let wanted = (self.short_calls_at(now_ms) * SHORT_CALL_HEADROOM).ceil() as usize;
        wanted.min(hosts / 2).max(least)
    }
}

/// Time from now until which tickets that are asked for now can be used, in milliseconds.
fn horizon_ms(policy: AdvicePolicy, runners: usize) -> u64 {
    (call_ms(policy, runners) + policy.valid_ms).min(MAX_HORIZON_MS)
}

/// Expected duration of a call, in milliseconds.
#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a duration in milliseconds"
)]
pub(super) fn call_ms(policy: AdvicePolicy, runners: usize) -> u64 {
    (policy.base_ms + policy.per_runner_ms * runners as f64) as u64
}

/// Resources that are expected to be free beside a reserve on a runner at a later time.
fn free_at(runner: &Runner, reserve: Resources, at_ms: u64, now_ms: u64) -> Resources {
    let assignments = runner.assignments.values();
    let ending = assignments.filter(|assignment| assignment.expected_end_ms(now_ms) <= at_ms);
    ending.fold(runner.free().minus(reserve), |free, assignment| free.plus(assignment.reserved))
}

impl Assignment {
    /// Time at which the run ends if it goes on at its present rate, in milliseconds; `None` while its
    /// progress tells too little.
    fn end_by_progress_ms(&self) -> Option<u64> {
        const MIN_PERCENT: f64 = 5.0;
        const ALL_PERCENT: f64 = 100.0;
        let RunPhase::Running { since_ms } = self.phase else { return None };
        if !self.is_from_start || !self.reports_progress || self.percent < MIN_PERCENT {
            return None;
        }
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a duration in milliseconds"
        )]
        let left_ms = {
            let elapsed_ms = self.progressed_ms.saturating_sub(since_ms) as f64;
            (elapsed_ms * (ALL_PERCENT - self.percent).max(0.0) / self.percent) as u64
        };
        Some(self.progressed_ms.saturating_add(left_ms))
    }

    /// Time at which the run is expected to end, in milliseconds.
    pub(super) fn expected_end_ms(&self, now_ms: u64) -> u64 {
        /// Multiple of the usual duration of a run that few runs take, but these far longer.
        const TAIL: u64 = 7;
        if self.expected_ms == 0 {
            return u64::MAX;
        }
        if let Some(end_ms) = self.end_by_progress_ms() {
            return end_ms.max(now_ms);
        }
        let usual_end_ms = self.assigned_ms + self.expected_ms;
        if now_ms < usual_end_ms + self.expected_ms / 2 {
            usual_end_ms.max(now_ms)
        } else {
            now_ms.max(self.assigned_ms.saturating_add(self.expected_ms.saturating_mul(TAIL)))
        }
    }
}

impl Scheduler {
    /// Takes note of the waiting tasks of a step. Returns by how much those of the steps before it
    /// exceed the room that is expected, in thousandths; `None` if the step is too far behind in the
    /// order to ask for advice.
    pub(super) fn competition_millis(
        &mut self,
        request: &PlacementRequest<'_>,
        policy: AdvicePolicy,
        left: usize,
        now_ms: u64,
    ) -> Option<u64> {
        const MILLI: u64 = 1_000;
        let cpu_millis = request.declared.reservation().cpu_millis.max(1) * left as u64;
        let ahead = match self.room_demand.waiting_cpu_millis.get_mut(request.service) {
            Some(waiting) => std::mem::replace(waiting, waiting.saturating_add(cpu_millis)),
            None => {
                let service = request.service.to_owned();
                self.room_demand.waiting_cpu_millis.insert(service, cpu_millis);
                0
            }
        };
        if ahead == 0 {
            return Some(0);
        }
        let horizon_ms = horizon_ms(policy, self.config.advice_runners);
        let expected = self.expected_cpu_millis(request.service, horizon_ms, now_ms).max(1);
        let competition = ahead.saturating_mul(MILLI) / expected;
        (competition < FRONT_MILLIS).then_some(competition)
    }

    /// Processor of a service that is free or expected to be free within `horizon_ms`.
    fn expected_cpu_millis(&mut self, service: &str, horizon_ms: u64, now_ms: u64) -> u64 {
        let known = self.room_demand.expected_cpu_millis.get(service).copied();
        if let Some((at_ms, known_horizon_ms, expected)) = known {
            if now_ms < at_ms + ROOM_AGE_MS && known_horizon_ms == horizon_ms {
                return expected;
            }
        }
        let runners = self.runners.values();
        let usable = runners.filter(|runner| runner.service == service && runner.is_usable(now_ms));
        let at_ms = now_ms + horizon_ms;
        let free =
            usable.map(|runner| free_at(runner, Resources::default(), at_ms, now_ms).cpu_millis);
        let expected = free.sum();
        let entry = (now_ms, horizon_ms, expected);
        self.room_demand.expected_cpu_millis.insert(service.to_owned(), entry);
        expected
    }

    /// Adds runners to a selection that are expected to get room soon, until the step holds enough
    /// tickets. The selection is emptied if it already does.
    ///
    /// Runners whose former ticket expires come first, since they are certain to be admitted, then
    /// those that get room first.
    pub(super) fn add_expected_runners(
        &self,
        request: &PlacementRequest<'_>,
        policy: AdvicePolicy,
        left: usize,
        competition_millis: u64,
        selected: &mut Vec<RunnerKey>,
        now_ms: u64,
    ) {
        const MILLI: u64 = 1_000;
        let job = &self.jobs[request.key];
        let advice = &job.steps[request.step].advice;
        let need = request.declared.reservation();
        let call_ms = call_ms(policy, self.config.advice_runners);
        let at_ms = now_ms + horizon_ms(policy, self.config.advice_runners);
        let wanted = left as u64 * TICKETS_MILLIS / MILLI;
        let goal = wanted + wanted * competition_millis.min(MILLI) / MILLI;
        #[allow(clippy::cast_precision_loss, reason = "a number of tasks")]
        let mut missing = goal.max(1) as f64;
        let share = self.admitted_share(&job.submission.queue);
        let mut later = Vec::new();
        for (key, runner) in &self.runners {
            if selected.contains(&key) || !self.may_get_room(request, runner, now_ms) {
                continue;
            }
            let reserve = self.urgent_reserve(request, runner);
            let slots = Runner::slots(free_at(runner, reserve, at_ms, now_ms), need);
            let limit = u64::from(request.declared.max_per_runner);
            let slots = if limit == 0 { slots } else { slots.min(limit) }.min(left as u64);
            if slots == 0 {
                continue;
            }
            let is_admitted = advice.has_admitted(key);
            #[allow(clippy::cast_precision_loss, reason = "a number of tasks")]
            let expected = slots as f64;
            if advice.admits(key, now_ms + call_ms) {
                missing -= expected;
            } else if is_admitted || !advice.asked.contains(&key) {
                let expected = if is_admitted { expected } else { expected * share };
                let room_ms = room_ms(runner, reserve, need, now_ms);
                later.push((!is_admitted, room_ms, key, expected));
            }
        }
        if missing <= 0.0 {
            selected.clear();
            return;
        }
        let limit = self.config.advice_runners * MAX_CALLS;
        #[allow(clippy::cast_precision_loss, reason = "a number of runners")]
        let expected = selected.len() as f64 * share;
        missing -= expected;
        later.sort_unstable_by_key(|(is_new, room_ms, key, _)| (*is_new, *room_ms, *key));
        for (_, _, key, expected) in later {
            // A call is mostly its fixed part, so that it is filled.
            let is_full = selected.len() % self.config.advice_runners == 0 && !selected.is_empty();
            if selected.len() >= limit || missing <= 0.0 && is_full {
                break;
            }
            missing -= expected;
            selected.push(key);
        }
    }

    /// Usual duration of a run of the step, in milliseconds; 0 if it has no end.
    pub(super) fn expected_run_ms(&self, request: &PlacementRequest<'_>) -> u64 {
        if request.declared.is_long_running {
            return 0;
        }
        let queue = &self.jobs[request.key].submission.queue;
        self.expected_duration_ms(queue, request.declared.estimate_ms)
    }

    /// Whether tasks of the step can be started on the runner once it has room.
    fn may_get_room(&self, request: &PlacementRequest<'_>, runner: &Runner, now_ms: u64) -> bool {
        runner.service == request.service
            && runner.is_usable(now_ms)
            && !runner.is_over_full()
            && !runner.crash.is_reserved(now_ms)
            && request.has_label(runner)
    }
}

/// Time at which one more task is expected to fit on the runner beside a reserve, in milliseconds.
fn room_ms(runner: &Runner, reserve: Resources, need: Resources, now_ms: u64) -> u64 {
    let mut free = runner.free().minus(reserve);
    let ends = runner.assignments.values();
    let mut ends: Vec<(u64, Resources)> =
        ends.map(|known| (known.expected_end_ms(now_ms), known.reserved)).collect();
    ends.sort_unstable_by_key(|(end_ms, _)| *end_ms);
    let mut at_ms = now_ms;
    for (end_ms, reserved) in ends {
        if Runner::slots(free, need) > 0 {
            return at_ms;
        }
        free = free.plus(reserved);
        at_ms = end_ms;
    }
    at_ms
}
