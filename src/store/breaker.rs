//! Refuses calls to a store that fails, but for single probes.

use crate::store::backoff::Backoff;

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passage {
    /// The call may be made.
    Open,
    /// The call may be made and decides whether others may.
    Probe,
    /// No call may be made for this time, in milliseconds.
    Closed(u64),
}

/// Refuses calls after failures in a row until a probe succeeds.
#[derive(Clone, Debug)]
pub struct Breaker {
    limit: u32,
    probe_limit_ms: u64,
    failures: u32,
    closed_until_ms: u64,
    probe_since_ms: Option<u64>,
    backoff: Backoff,
}

impl Breaker {
    /// Closes after `limit` failures; a probe that tells nothing within `probe_limit_ms` has failed.
    pub fn new(limit: u32, probe_limit_ms: u64, backoff: Backoff) -> Self {
        Self {
            limit: limit.max(1),
            probe_limit_ms,
            failures: 0,
            closed_until_ms: 0,
            probe_since_ms: None,
            backoff,
        }
    }

    /// Whether a call may be made now.
    ///
    /// ```
    /// use hemlockrock::store::backoff::Backoff;
    /// use hemlockrock::store::breaker::{Breaker, Passage};
    ///
    /// let mut breaker = Breaker::new(1, 1_000, Backoff::new(100, 100, 1));
    /// breaker.failed(0);
    /// assert!(matches!(breaker.ask(0), Passage::Closed(_)));
    /// assert_eq!(breaker.ask(100), Passage::Probe);
    /// breaker.succeeded();
    /// assert_eq!(breaker.ask(101), Passage::Open);
    /// ```
    pub fn ask(&mut self, now_ms: u64) -> Passage {
        if self.failures < self.limit {
            return Passage::Open;
        }
        if now_ms < self.closed_until_ms {
            return Passage::Closed(self.closed_until_ms - now_ms);
        }
        if let Some(since_ms) = self.probe_since_ms {
            let ends_at_ms = since_ms + self.probe_limit_ms;
            if now_ms < ends_at_ms {
                return Passage::Closed(ends_at_ms - now_ms);
            }
        }
        self.probe_since_ms = Some(now_ms);
        Passage::Probe
    }

    /// Notes that the store answered.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.probe_since_ms = None;
        self.backoff.reset();
    }

    /// Notes that a call failed.
    pub fn failed(&mut self, now_ms: u64) {
        self.failures = self.failures.saturating_add(1);
        let was_probe = self.probe_since_ms.take().is_some();
        if was_probe || self.failures == self.limit {
            self.closed_until_ms = now_ms + self.backoff.next_ms();
        }
    }

    /// Whether calls are refused but for probes.
    pub fn is_closed(&self) -> bool {
        self.failures >= self.limit
    }
}
