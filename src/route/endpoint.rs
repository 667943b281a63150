//! One endpoint: its life, its slots and its health.

use super::message::Guard;
use super::rate::Tally;
use crate::charts;

/// Time over which results are remembered, in milliseconds.
const HEALTH_MS: f64 = 1_000.0;

/// Successes in a row after which an endpoint is trusted again.
const TRIAL_SUCCESSES: u32 = 3;

/// Requests in flight to an endpoint on trial.
const TRIAL_SLOTS: u32 = 1;

/// Results that a share of failures needs to count.
const MIN_RESULTS: f64 = 20.0;

/// Share of failures that ejects an endpoint.
const MAX_FAILURE_SHARE: f64 = 0.5;

/// Largest number of doublings of the time of an ejection.
const MAX_DOUBLINGS: u32 = 10;

/// An endpoint as its dispatcher sees it.
#[derive(Debug)]
pub(super) struct Endpoint {
    state: &'static str,
    slots: u32,
    in_flight: u32,
    foreign: Option<u32>,
    guard: Option<Guard>,
    held_until_ms: Vec<u64>,
    health: Tally,
    failures_in_row: u32,
    trial_successes: u32,
    ejections: u32,
    ejected_at_ms: u64,
    epoch: u32,
}

impl Endpoint {
    /// An endpoint whose busy slots are not known yet.
    pub(super) fn new(slots: u32, guard: Option<Guard>) -> Self {
        Self {
            state: &charts::builtin().endpoint.initial,
            slots,
            in_flight: 0,
            foreign: None,
            guard,
            held_until_ms: Vec::new(),
            health: Tally::new(HEALTH_MS),
            failures_in_row: 0,
            trial_successes: 0,
            ejections: 0,
            ejected_at_ms: 0,
            epoch: 0,
        }
    }

    /// Follows the chart; false if `event` does not leave the present state.
    pub(super) fn follow(&mut self, event: &str) -> bool {
        match charts::builtin().endpoint.step(self.state, event) {
            Ok(state) => {
                self.state = state;
                self.epoch += 1;
                true
            }
            Err(_) => false,
        }
    }

    /// Begins a new ownership; what is in flight goes on.
    pub(super) fn own_again(&mut self, slots: u32, guard: Option<Guard>) {
        let old = std::mem::replace(self, Self::new(slots, guard));
        self.in_flight = old.in_flight;
        self.held_until_ms = old.held_until_ms;
        self.epoch = old.epoch + 1;
    }

    /// Whether it is in `state`.
    pub(super) fn is_in(&self, state: &str) -> bool {
        self.state == state
    }

    /// Counts changes of state, so that timers of an earlier one are told apart.
    pub(super) fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Whether it counts as one that could serve.
    pub(super) fn is_counted(&self) -> bool {
        !self.is_in("leaving") && !self.is_in("gone")
    }

    /// Whether it is kept from traffic for its failures.
    pub(super) fn is_ejected(&self) -> bool {
        self.is_in("ejected") || self.is_in("probing") || self.is_in("trial")
    }

    /// Requests in flight from this dispatcher.
    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Notes the slots that others use.
    pub(super) fn learn(&mut self, busy: u32) {
        self.foreign = Some(busy);
        if self.is_in("unread") {
            self.follow("answer");
        }
    }

    /// Slots that this dispatcher may use in all.
    pub(super) fn limit(&self, now_ms: u64) -> u32 {
        let Some(foreign) = self.foreign else { return 0 };
        let most = match self.state {
            "ready" => self.slots,
            "trial" => TRIAL_SLOTS,
            _ => return 0,
        };
        let guarded = self.guard.filter(|guard| guard.until_ms > now_ms);
        let guarded = guarded.map_or(0, |guard| guard.slots);
        let held = self.held_until_ms.iter().filter(|until_ms| **until_ms > now_ms).count() as u32;
        most.min(self.slots.saturating_sub(foreign + guarded + held))
    }

    /// Slots that are free.
    pub(super) fn free(&self, now_ms: u64) -> u32 {
        self.limit(now_ms).saturating_sub(self.in_flight)
    }

    /// Takes a slot for a send.
    pub(super) fn take(&mut self) {
        self.in_flight += 1;
    }

    /// Gives a slot back.
    pub(super) fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Holds a slot back, because a lost request may still run.
    pub(super) fn hold(&mut self, until_ms: u64, now_ms: u64) {
        self.held_until_ms.retain(|held_ms| *held_ms > now_ms);
        self.held_until_ms.push(until_ms);
    }

    /// Results of the last moments.
    pub(super) fn health(&self) -> &Tally {
        &self.health
    }

    /// Records a result; true if the endpoint has proved itself after a trial.
    pub(super) fn record(&mut self, is_success: bool, now_ms: u64) -> bool {
        self.health.add(is_success, now_ms);
        self.failures_in_row = if is_success { 0 } else { self.failures_in_row + 1 };
        if !self.is_in("trial") {
            return false;
        }
        self.trial_successes = if is_success { self.trial_successes + 1 } else { 0 };
        let is_proven = self.trial_successes >= TRIAL_SUCCESSES;
        if is_proven {
            self.health.clear();
            self.follow("prove");
        }
        is_proven
    }

    /// Whether its own results call for an ejection.
    pub(super) fn is_failing(&self, eject_after: u32, now_ms: u64) -> bool {
        let results = self.health.count(now_ms);
        let is_mostly_failing =
            results >= MIN_RESULTS && self.health.failures(now_ms) >= results * MAX_FAILURE_SHARE;
        self.failures_in_row >= eject_after || is_mostly_failing
    }

    /// Ejects it and returns for how long, in milliseconds; `None` if it can't be ejected now.
    pub(super) fn eject(&mut self, first_ms: u64, max_ms: u64, now_ms: u64) -> Option<u64> {
        let event = if self.is_in("ready") { "eject" } else { "fail" };
        if self.is_in("unread") || !self.follow(event) {
            return None;
        }
        if now_ms.saturating_sub(self.ejected_at_ms) > 2 * max_ms {
            self.ejections = 0;
        }
        let doubled_ms = first_ms.saturating_mul(1 << self.ejections.min(MAX_DOUBLINGS));
        self.ejections += 1;
        self.ejected_at_ms = now_ms;
        self.failures_in_row = 0;
        self.trial_successes = 0;
        Some(doubled_ms.min(max_ms))
    }
}
