//! State of one endpoint: life cycle, slots and health.

use super::message::TakeoverGuard;
use super::rate::ResultCounts;
use crate::charts;

/// Time constant with which results decay, in milliseconds.
const HEALTH_WINDOW_MS: f64 = 1_000.0;

/// Consecutive successes after which an endpoint on trial is ready again.
const TRIAL_SUCCESSES: u32 = 3;

/// Maximum number of requests in flight to an endpoint on trial.
const TRIAL_SLOTS: u32 = 1;

/// Decayed number of results below which the share of failures is ignored.
const MIN_RESULTS_FOR_SHARE: f64 = 20.0;

/// Share of failures among the results at which an endpoint is ejected.
const MAX_FAILURE_SHARE: f64 = 0.5;

/// Maximum number of times that the ejection time is doubled.
const MAX_DOUBLINGS: u32 = 10;

/// An endpoint as seen by its dispatcher.
///
/// Its state is that of `charts/endpoint.yaml`.
#[derive(Debug)]
pub(super) struct Endpoint {
    state: &'static str,
    slots: u32,
    in_flight: u32,
    /// Slots used by other hosts' requests; `None` until they are first reported.
    busy_elsewhere: Option<u32>,
    guard: Option<TakeoverGuard>,
    /// Times until which slots of lost requests are held back, one for each slot.
    held_until_ms: Vec<u64>,
    health: ResultCounts,
    consecutive_failures: u32,
    trial_successes: u32,
    ejections: u32,
    last_ejected_at_ms: u64,
    /// Number of state changes.
    epoch: u32,
}

impl Endpoint {
    /// An endpoint whose busy slots are not known yet, so that nothing is sent to it.
    pub(super) fn new(slots: u32, guard: Option<TakeoverGuard>) -> Self {
        Self {
            state: &charts::builtin().endpoint.initial,
            slots,
            in_flight: 0,
            busy_elsewhere: None,
            guard,
            held_until_ms: Vec::new(),
            health: ResultCounts::new(HEALTH_WINDOW_MS),
            consecutive_failures: 0,
            trial_successes: 0,
            ejections: 0,
            last_ejected_at_ms: 0,
            epoch: 0,
        }
    }

    /// Makes a state change of the chart; false if the current state does not accept `event`.
    pub(super) fn apply_event(&mut self, event: &str) -> bool {
        match charts::builtin().endpoint.step(self.state, event) {
            Ok(state) => {
                self.state = state;
                self.epoch += 1;
                true
            }
            Err(_) => false,
        }
    }

    /// Resets the endpoint for a new ownership; requests in flight and held slots remain.
    pub(super) fn restart_ownership(&mut self, slots: u32, guard: Option<TakeoverGuard>) {
        let old = std::mem::replace(self, Self::new(slots, guard));
        self.in_flight = old.in_flight;
        self.held_until_ms = old.held_until_ms;
        self.epoch = old.epoch + 1;
    }

    /// Whether the current state is `state`, a state name of the chart.
    pub(super) fn is_in(&self, state: &str) -> bool {
        self.state == state
    }

    /// Number of state changes so far, by which timers set in an earlier state are recognized.
    pub(super) fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Whether it counts as part of the pool when the share of ejected endpoints is limited.
    pub(super) fn is_in_service(&self) -> bool {
        !self.is_in("leaving") && !self.is_in("gone")
    }

    /// Whether it gets no or limited traffic because of failures.
    pub(super) fn is_ejected(&self) -> bool {
        self.is_in("ejected") || self.is_in("probing") || self.is_in("trial")
    }

    /// Number of requests in flight from this dispatcher.
    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Sets the number of slots that other hosts' requests use; the first report makes it ready.
    pub(super) fn set_busy_elsewhere(&mut self, busy: u32) {
        self.busy_elsewhere = Some(busy);
        if self.is_in("unread") {
            self.apply_event("answer");
        }
    }

    /// Number of slots that this dispatcher may use, those in flight included.
    pub(super) fn usable_slots(&self, now_ms: u64) -> u32 {
        let Some(busy_elsewhere) = self.busy_elsewhere else { return 0 };
        let max_slots = match self.state {
            "ready" => self.slots,
            "trial" => TRIAL_SLOTS,
            _ => return 0,
        };
        let guarded_slots = self.guard.filter(|guard| guard.until_ms > now_ms);
        let guarded_slots = guarded_slots.map_or(0, |guard| guard.slots);
        let held_slots =
            self.held_until_ms.iter().filter(|until_ms| **until_ms > now_ms).count() as u32;
        max_slots.min(self.slots.saturating_sub(busy_elsewhere + guarded_slots + held_slots))
    }

    /// Number of slots that are free for new requests.
    pub(super) fn free_slots(&self, now_ms: u64) -> u32 {
        self.usable_slots(now_ms).saturating_sub(self.in_flight)
    }

    /// Takes a slot for a request that is sent.
    pub(super) fn acquire_slot(&mut self) {
        self.in_flight += 1;
    }

    /// Frees the slot of a request that ended.
    pub(super) fn release_slot(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Holds back a slot until `until_ms`, because a lost request may still run in it.
    pub(super) fn hold_slot(&mut self, until_ms: u64, now_ms: u64) {
        self.held_until_ms.retain(|held_ms| *held_ms > now_ms);
        self.held_until_ms.push(until_ms);
    }

    /// Decayed counts of recent results.
    pub(super) fn health(&self) -> &ResultCounts {
        &self.health
    }

    /// Records a result; true if the endpoint passed its trial with it.
    pub(super) fn record(&mut self, is_success: bool, now_ms: u64) -> bool {
        self.health.add(is_success, now_ms);
        self.consecutive_failures = if is_success { 0 } else { self.consecutive_failures + 1 };
        if !self.is_in("trial") {
            return false;
        }
        self.trial_successes = if is_success { self.trial_successes + 1 } else { 0 };
        let is_trial_passed = self.trial_successes >= TRIAL_SUCCESSES;
        if is_trial_passed {
            self.health.clear();
            self.apply_event("prove");
        }
        is_trial_passed
    }

    /// Whether its own results justify an ejection.
    pub(super) fn is_failing(&self, eject_after: u32, now_ms: u64) -> bool {
        let results = self.health.total(now_ms);
        let is_mostly_failing = results >= MIN_RESULTS_FOR_SHARE
            && self.health.failures(now_ms) >= results * MAX_FAILURE_SHARE;
        self.consecutive_failures >= eject_after || is_mostly_failing
    }

    /// Ejects it and returns for how long, in milliseconds; `None` if its state does not allow it.
    ///
    /// The time doubles with each ejection from `first_ms` to `max_ms`, and starts
    /// anew after twice `max_ms` without an ejection.
    pub(super) fn eject(&mut self, first_ms: u64, max_ms: u64, now_ms: u64) -> Option<u64> {
        let event = if self.is_in("ready") { "eject" } else { "fail" };
        if self.is_in("unread") || !self.apply_event(event) {
            return None;
        }
        if now_ms.saturating_sub(self.last_ejected_at_ms) > 2 * max_ms {
            self.ejections = 0;
        }
        let backoff_ms = first_ms.saturating_mul(1 << self.ejections.min(MAX_DOUBLINGS));
        self.ejections += 1;
        self.last_ejected_at_ms = now_ms;
        self.consecutive_failures = 0;
        self.trial_successes = 0;
        Some(backoff_ms.min(max_ms))
    }
}
