//! Client-side admission of store calls: the circuit breaker first, then the call budget.

use crate::configs::store::StoreConfig;
use crate::store::backoff::Backoff;
use crate::store::breaker::{BreakerDecision, CircuitBreaker};
use crate::store::budget::{Budget, BudgetDecision};
use crate::store::{Priority, StoreError};

/// Decision on one store call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Send the call now.
    Admitted,
    /// Ask for admission again after this time, in milliseconds.
    Wait(u64),
    /// The circuit breaker is open; fail the call without sending it.
    Unavailable,
}

/// Circuit breaker and call budget of one store client.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    breaker: CircuitBreaker,
    budget: Budget,
    backoff: Backoff,
    paused_until_ms: u64,
}

impl AdmissionController {
    /// Creates a controller with the limits in `config`; `seed` seeds the jitter of its pauses.
    pub fn new(config: &StoreConfig, seed: u64, now_ms: u64) -> Self {
        let backoff = Backoff::new(config.backoff_min_ms, config.backoff_max_ms, seed);
        let probe_timeout_ms = config.timeout_ms.saturating_mul(2);
        Self {
            breaker: CircuitBreaker::new(
                config.breaker_failures,
                probe_timeout_ms,
                backoff.clone(),
            ),
            budget: Budget::new(config.writes_per_s, config.reads_per_s, now_ms),
            backoff,
            paused_until_ms: 0,
        }
    }

    /// Decides whether a call may be sent now.
    ///
    /// While the circuit breaker is open, probes bypass the budget. The pause that an overloaded
    /// store asks for does not apply to [`Priority::Control`].
    pub fn admit(&mut self, is_write: bool, priority: Priority, now_ms: u64) -> Admission {
        if now_ms < self.paused_until_ms && priority != Priority::Control {
            return Admission::Wait(self.paused_until_ms - now_ms);
        }
        if self.breaker.is_open() {
            return match self.breaker.admit(now_ms) {
                BreakerDecision::Refused(_) => Admission::Unavailable,
                BreakerDecision::Allowed | BreakerDecision::Probe => Admission::Admitted,
            };
        }
        match self.budget.try_take(is_write, priority, now_ms) {
            BudgetDecision::Granted => Admission::Admitted,
            BudgetDecision::RetryAfter(wait_ms) => Admission::Wait(wait_ms),
        }
    }

    /// Records the result of an admitted call.
    pub fn record_result<T>(&mut self, result: &Result<T, StoreError>, now_ms: u64) {
        match result {
            Err(StoreError::Unavailable(_) | StoreError::Indeterminate(_)) => {
                self.breaker.record_failure(now_ms);
            }
            Err(StoreError::Overloaded { retry_after_ms }) => {
                self.breaker.record_success();
                let pause_ms = retry_after_ms + self.backoff.jittered_ms(*retry_after_ms);
                self.paused_until_ms = self.paused_until_ms.max(now_ms + pause_ms);
            }
            _ => self.breaker.record_success(),
        }
    }

    /// Whether the circuit breaker is open.
    pub fn is_unavailable(&self) -> bool {
        self.breaker.is_open()
    }
}
