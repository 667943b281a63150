//! Decides when a call to the store may be made: the breaker, then the budget.

use crate::configs::store::StoreConfig;
use crate::store::backoff::Backoff;
use crate::store::breaker::{Breaker, Passage};
use crate::store::budget::{Budget, Turn};
use crate::store::{Priority, StoreError};

/// What a call is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Go ahead.
    Go,
    /// Ask again after this time, in milliseconds.
    Wait(u64),
    /// The store has failed lately; give up.
    Away,
}

/// The breaker and budget of one process.
#[derive(Clone, Debug)]
pub struct Gate {
    breaker: Breaker,
    budget: Budget,
    backoff: Backoff,
    paused_until_ms: u64,
}

impl Gate {
    /// A gate with the limits of `config`; `seed` spreads its pauses.
    pub fn new(config: &StoreConfig, seed: u64, now_ms: u64) -> Self {
        let backoff = Backoff::new(config.backoff_min_ms, config.backoff_max_ms, seed);
        let probe_limit_ms = config.timeout_ms.saturating_mul(2);
        Self {
            breaker: Breaker::new(config.breaker_failures, probe_limit_ms, backoff.clone()),
            budget: Budget::new(config.writes_per_s, config.reads_per_s, now_ms),
            backoff,
            paused_until_ms: 0,
        }
    }

    /// Asks whether a call may be made now.
    pub fn ask(&mut self, is_write: bool, priority: Priority, now_ms: u64) -> Admission {
        if now_ms < self.paused_until_ms && priority != Priority::Control {
            return Admission::Wait(self.paused_until_ms - now_ms);
        }
        if self.breaker.is_closed() {
            return match self.breaker.ask(now_ms) {
                Passage::Closed(_) => Admission::Away,
                Passage::Open | Passage::Probe => Admission::Go,
            };
        }
        match self.budget.turn(is_write, priority, now_ms) {
            Turn::Now => Admission::Go,
            Turn::After(wait_ms) => Admission::Wait(wait_ms),
        }
    }

    /// Notes how a call ended.
    pub fn ended<T>(&mut self, result: &Result<T, StoreError>, now_ms: u64) {
        match result {
            Err(StoreError::Away(_) | StoreError::Lost(_)) => self.breaker.failed(now_ms),
            Err(StoreError::Overloaded { retry_after_ms }) => {
                self.breaker.succeeded();
                let pause_ms = retry_after_ms + self.backoff.spread_ms(*retry_after_ms);
                self.paused_until_ms = self.paused_until_ms.max(now_ms + pause_ms);
            }
            _ => self.breaker.succeeded(),
        }
    }

    /// Whether the store has failed lately.
    pub fn is_away(&self) -> bool {
        self.breaker.is_closed()
    }
}
