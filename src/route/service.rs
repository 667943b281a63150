//! What a dispatcher keeps for one service.

use super::budget::RetryBudget;
use super::circuit::Circuit;
use super::estimate::{Class, Kinds};
use super::message::{CallerKey, ServiceKey, ServiceLoad};
use super::pool::Pool;
use super::queue::FairQueue;
use super::shares::Shares;
use crate::configs::route::{Policy, RouteConfig};

/// Time between decisions on classes and shares, in milliseconds.
const REVIEW_EVERY_MS: u64 = 100;

/// Part of the queue from which on a caller may hold no more than its share.
const CROWDED_MILLIS: usize = 750;

/// A service: its endpoints, its queues and what was learned of its work.
#[derive(Debug)]
pub(super) struct Service {
    /// Key of the service.
    pub(super) key: ServiceKey,
    /// Its endpoints.
    pub(super) pool: Pool,
    /// Run times by kind.
    pub(super) kinds: Kinds,
    /// Whether the pool can be used at all.
    pub(super) circuit: Circuit,
    /// Retries that are left.
    pub(super) budget: RetryBudget,
    /// Requests in flight.
    pub(super) in_flight: u32,
    /// Long requests in flight.
    pub(super) long_in_flight: u32,
    /// Since when no endpoint can be used.
    pub(super) stranded_since_ms: Option<u64>,
    short: FairQueue,
    long: FairQueue,
    shares: Shares,
    next_review_ms: u64,
}

impl Service {
    /// A service without endpoints.
    pub(super) fn new(key: ServiceKey, config: &RouteConfig, now_ms: u64) -> Self {
        let quantum_ms = match config.policy {
            Policy::Full => config.fair_quantum_ms,
            Policy::Baseline => u64::MAX,
        };
        Self {
            key,
            pool: Pool::new(),
            kinds: Kinds::new(config.prior_run_ms, config.long_factor),
            circuit: Circuit::new(config.circuit_open_ms),
            budget: RetryBudget::new(config.retry_ratio_millis, config.retry_burst),
            in_flight: 0,
            long_in_flight: 0,
            stranded_since_ms: Some(now_ms),
            short: FairQueue::new(quantum_ms),
            long: FairQueue::new(quantum_ms),
            shares: Shares { long_cap: 0, long_floor: 0 },
            next_review_ms: 0,
        }
    }

    /// The queue of a class.
    pub(super) fn queue(&self, class: Class) -> &FairQueue {
        match class {
            Class::Short => &self.short,
            Class::Long => &self.long,
        }
    }

    /// The queue of a class.
    pub(super) fn queue_mut(&mut self, class: Class) -> &mut FairQueue {
        match class {
            Class::Short => &mut self.short,
            Class::Long => &mut self.long,
        }
    }

    /// Requests that wait.
    pub(super) fn queued(&self) -> usize {
        self.short.len() + self.long.len()
    }

    /// Brings classes and shares up to date, at most once in a while.
    pub(super) fn review(&mut self, floor_millis: u32, now_ms: u64) {
        if now_ms < self.next_review_ms {
            return;
        }
        self.next_review_ms = now_ms + REVIEW_EVERY_MS;
        self.kinds.review(now_ms);
        self.share_out(floor_millis, now_ms);
    }

    /// Divides the slots anew.
    pub(super) fn share_out(&mut self, floor_millis: u32, now_ms: u64) {
        let (short, long) = self.kinds.demand_slots(now_ms);
        self.shares = Shares::new(self.pool.slots(), short, long, floor_millis);
    }

    /// Whether the queue has no room for one more request of this caller.
    pub(super) fn is_full(&self, class: Class, caller: CallerKey, max_queued: usize) -> bool {
        let queued = self.queued();
        if queued >= max_queued {
            return true;
        }
        let queue = self.queue(class);
        let sharers = queue.active_callers().max(1);
        queued * 1_000 >= max_queued * CROWDED_MILLIS && queue.len_of(caller) > max_queued / sharers
    }

    /// Class of the next request to send, if one may be sent.
    pub(super) fn next_class(&self) -> Option<Class> {
        if self.pool.free() == 0 {
            return None;
        }
        let has_long = !self.long.is_empty();
        if has_long && self.long_in_flight < self.shares.long_floor {
            return Some(Class::Long);
        }
        if !self.short.is_empty() {
            return Some(Class::Short);
        }
        (has_long && self.long_in_flight < self.shares.long_cap).then_some(Class::Long)
    }

    /// Whether a request of the class would be sent at once.
    pub(super) fn has_room(&self, class: Class) -> bool {
        let is_free = self.pool.free() > 0 && self.queue(class).is_empty();
        let is_under_cap = class == Class::Short || self.long_in_flight < self.shares.long_cap;
        is_free && is_under_cap
    }

    /// Wait of a request with `ahead_ms` of work before it, in milliseconds.
    pub(super) fn wait_ms(&self, class: Class, ahead_ms: f64) -> f64 {
        if self.pool.slots() == 0 {
            return f64::INFINITY;
        }
        if self.has_room(class) {
            return 0.0;
        }
        let next_free_ms = self.kinds.mean_ms(class);
        (ahead_ms + next_free_ms) / self.servers(class)
    }

    /// Slots that work of a class can count on.
    fn servers(&self, class: Class) -> f64 {
        const MIN_SERVERS: f64 = 0.5;
        let slots = self.pool.slots();
        let servers = match class {
            Class::Short => slots.saturating_sub(self.long_in_flight),
            Class::Long => self.shares.long_cap,
        };
        f64::from(servers).max(MIN_SERVERS)
    }

    /// Load for the heartbeats.
    pub(super) fn load(&self) -> ServiceLoad {
        let wait_ms = |class| self.wait_ms(class, self.queue(class).work_ms());
        ServiceLoad {
            short_wait_ms: wait_ms(Class::Short),
            long_wait_ms: wait_ms(Class::Long),
            slots: self.pool.slots(),
            free_slots: self.pool.free(),
            queued: u32::try_from(self.queued()).unwrap_or(u32::MAX),
            mean_run_ms: self.kinds.overall().mean_ms,
        }
    }
}
