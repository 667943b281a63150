//! State of one service at a dispatcher.

use super::budget::RetryBudget;
use super::circuit::CircuitBreaker;
use super::estimate::{Class, Kinds};
use super::message::{CallerKey, ServiceKey, ServiceLoad};
use super::pool::Pool;
use super::queue::FairQueue;
use super::shares::SlotShares;
use crate::configs::route::{Policy, RouteConfig};

/// Minimum time between updates of classes and shares, in milliseconds.
const RECLASSIFY_INTERVAL_MS: u64 = 100;

/// Fill level of the queues from which each caller is limited to its share, in thousandths.
const FAIR_SHARE_FILL_MILLIS: usize = 750;

/// A service: its endpoints, queues, run-time estimates and slot shares.
#[derive(Debug)]
pub(super) struct Service {
    /// Key of the service on this host.
    pub(super) key: ServiceKey,
    /// Endpoints of the service that this host owns.
    pub(super) pool: Pool,
    /// Run-time estimates by kind of work.
    pub(super) kinds: Kinds,
    /// Circuit breaker over all endpoints.
    pub(super) circuit: CircuitBreaker,
    /// Budget for retries.
    pub(super) budget: RetryBudget,
    /// Number of requests in flight.
    pub(super) in_flight: u32,
    /// Number of requests in flight that count as long work.
    pub(super) long_in_flight: u32,
    /// Time since which no endpoint is usable, or of the last acquisition of an endpoint since
    /// then, in milliseconds; `None` if one is usable.
    pub(super) no_slots_since_ms: Option<u64>,
    short: FairQueue,
    long: FairQueue,
    shares: SlotShares,
    next_reclassify_ms: u64,
}

impl Service {
    /// A service that has no endpoints yet.
    pub(super) fn new(key: ServiceKey, config: &RouteConfig, now_ms: u64) -> Self {
        let quantum_ms = match config.policy {
            Policy::Full => config.fair_quantum_ms,
            Policy::Baseline => u64::MAX,
        };
        Self {
            key,
            pool: Pool::new(),
            kinds: Kinds::new(config.prior_run_ms, config.long_factor),
            circuit: CircuitBreaker::new(config.circuit_open_ms),
            budget: RetryBudget::new(config.retry_ratio_millis, config.retry_burst),
            in_flight: 0,
            long_in_flight: 0,
            no_slots_since_ms: Some(now_ms),
            short: FairQueue::new(quantum_ms),
            long: FairQueue::new(quantum_ms),
            shares: SlotShares { long_cap: 0, long_floor: 0 },
            next_reclassify_ms: 0,
        }
    }

    /// The queue of a class.
    pub(super) fn queue(&self, class: Class) -> &FairQueue {
        match class {
            Class::Short => &self.short,
            Class::Long => &self.long,
        }
    }

    /// The queue of a class, to change it.
    pub(super) fn queue_mut(&mut self, class: Class) -> &mut FairQueue {
        match class {
            Class::Short => &mut self.short,
            Class::Long => &mut self.long,
        }
    }

    /// Number of queued requests of both classes.
    pub(super) fn queued(&self) -> usize {
        self.short.len() + self.long.len()
    }

    /// Updates classes and shares, at most once in [`RECLASSIFY_INTERVAL_MS`].
    pub(super) fn reclassify(&mut self, floor_millis: u32, now_ms: u64) {
        if now_ms < self.next_reclassify_ms {
            return;
        }
        self.next_reclassify_ms = now_ms + RECLASSIFY_INTERVAL_MS;
        self.kinds.reclassify(now_ms);
        self.update_shares(floor_millis, now_ms);
    }

    /// Recomputes the slot shares of short and long work.
    pub(super) fn update_shares(&mut self, floor_millis: u32, now_ms: u64) {
        let (short, long) = self.kinds.demand_slots(now_ms);
        self.shares = SlotShares::new(self.pool.slots(), short, long, floor_millis);
    }

    /// Whether another request of this caller must be rejected because the queue is too full.
    pub(super) fn is_full(&self, class: Class, caller: CallerKey, max_queued: usize) -> bool {
        let queued = self.queued();
        if queued >= max_queued {
            return true;
        }
        let queue = self.queue(class);
        let active_callers = queue.active_callers().max(1);
        queued * 1_000 >= max_queued * FAIR_SHARE_FILL_MILLIS
            && queue.len_of(caller) > max_queued / active_callers
    }

    /// Class of the next request to send; `None` if none may be sent now.
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

    /// Whether a new request of the class would be sent without queueing.
    pub(super) fn can_send_now(&self, class: Class) -> bool {
        let is_free = self.pool.free() > 0 && self.queue(class).is_empty();
        let is_under_cap = class == Class::Short || self.long_in_flight < self.shares.long_cap;
        is_free && is_under_cap
    }

    /// Expected wait of a request with `ahead_ms` of run time queued before it, in milliseconds.
    ///
    /// Infinite if no endpoint is usable.
    pub(super) fn wait_ms(&self, class: Class, ahead_ms: f64) -> f64 {
        if self.pool.slots() == 0 {
            return f64::INFINITY;
        }
        if self.can_send_now(class) {
            return 0.0;
        }
        let next_free_ms = self.kinds.mean_ms(class);
        (ahead_ms + next_free_ms) / self.effective_slots(class)
    }

    /// Number of slots available to a class, for the expected wait.
    fn effective_slots(&self, class: Class) -> f64 {
        const MIN_EFFECTIVE_SLOTS: f64 = 0.5;
        let slots = self.pool.slots();
        let effective_slots = match class {
            Class::Short => slots.saturating_sub(self.long_in_flight),
            Class::Long => self.shares.long_cap,
        };
        f64::from(effective_slots).max(MIN_EFFECTIVE_SLOTS)
    }

    /// Load of the service, for heartbeats to peers.
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
