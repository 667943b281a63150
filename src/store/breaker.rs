//! Circuit breaker for store calls.

use crate::store::backoff::Backoff;

/// Decision of a [`CircuitBreaker`] on one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerDecision {
    /// The circuit is closed; the call may be sent.
    Allowed,
    /// The circuit is half-open: this one call may be sent, and its result closes or reopens the
    /// circuit.
    Probe,
    /// The circuit is open; no call may be sent for this time, in milliseconds.
    Refused(u64),
}

/// Refuses calls after a number of consecutive failures until a probe succeeds.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    failure_limit: u32,
    probe_timeout_ms: u64,
    failures: u32,
    open_until_ms: u64,
    probe_since_ms: Option<u64>,
    backoff: Backoff,
}

impl CircuitBreaker {
    /// Creates a closed circuit that opens after `failure_limit` consecutive failures, at least 1.
    /// A probe without a result within `probe_timeout_ms` no longer blocks the next probe.
    pub fn new(failure_limit: u32, probe_timeout_ms: u64, backoff: Backoff) -> Self {
        Self {
            failure_limit: failure_limit.max(1),
            probe_timeout_ms,
            failures: 0,
            open_until_ms: 0,
            probe_since_ms: None,
            backoff,
        }
    }

    /// Decides whether a call may be sent now. [`BreakerDecision::Probe`] marks a probe as under
    /// way.
    ///
    /// ```
    /// use hemlockrock::store::backoff::Backoff;
    /// use hemlockrock::store::breaker::{CircuitBreaker, BreakerDecision};
    ///
    /// let mut breaker = CircuitBreaker::new(1, 1_000, Backoff::new(100, 100, 1));
    /// breaker.record_failure(0);
    /// assert!(matches!(breaker.admit(0), BreakerDecision::Refused(_)));
    /// assert_eq!(breaker.admit(100), BreakerDecision::Probe);
    /// breaker.record_success();
    /// assert_eq!(breaker.admit(101), BreakerDecision::Allowed);
    /// ```
    pub fn admit(&mut self, now_ms: u64) -> BreakerDecision {
        if self.failures < self.failure_limit {
            return BreakerDecision::Allowed;
        }
        if now_ms < self.open_until_ms {
            return BreakerDecision::Refused(self.open_until_ms - now_ms);
        }
        if let Some(since_ms) = self.probe_since_ms {
            let ends_at_ms = since_ms + self.probe_timeout_ms;
            if now_ms < ends_at_ms {
                return BreakerDecision::Refused(ends_at_ms - now_ms);
            }
        }
        self.probe_since_ms = Some(now_ms);
        BreakerDecision::Probe
    }

    /// Records that the store answered; closes the circuit.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.probe_since_ms = None;
        self.backoff.reset();
    }

    /// Records a failed call. The circuit opens when the failure limit is reached, and stays open
    /// for another pause when a probe fails.
    pub fn record_failure(&mut self, now_ms: u64) {
        self.failures = self.failures.saturating_add(1);
        let was_probe = self.probe_since_ms.take().is_some();
        if was_probe || self.failures == self.failure_limit {
            self.open_until_ms = now_ms + self.backoff.next_ms();
        }
    }

    /// Whether the circuit is open: all calls except probes are refused.
    pub fn is_open(&self) -> bool {
        self.failures >= self.failure_limit
    }
}
