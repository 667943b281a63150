//! Circuit breaker that stops traffic to a service while most sends get no complete answer.

use super::rate::ResultCounts;

/// Time constant with which results decay, in milliseconds.
const WINDOW_MS: f64 = 1_000.0;

/// Decayed number of results below which the circuit does not open.
const MIN_RESULTS: f64 = 20.0;

/// Share of faults among the results at which the circuit opens.
const MAX_FAULT_SHARE: f64 = 0.7;

/// Maximum number of requests in flight while the circuit is half open.
const HALF_OPEN_SLOTS: u32 = 2;

/// Number of successes after which a half-open circuit closes.
const CLOSE_AFTER_SUCCESSES: u32 = 5;

/// Maximum number of times that the open time is doubled.
const MAX_DOUBLINGS: u32 = 3;

/// Circuit breaker of one pool.
///
/// Only failures to reach an endpoint or to get its complete answer count as
/// faults: an answer with a server error shows that the endpoint is reachable.
#[derive(Debug)]
pub(super) struct CircuitBreaker {
    open_ms: u64,
    results: ResultCounts,
    state: State,
    openings: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Closed,
    Open { until_ms: u64 },
    HalfOpen { successes: u32 },
}

impl CircuitBreaker {
    /// A closed circuit; it first opens for `open_ms`, then twice as long each time.
    pub(super) fn new(open_ms: u64) -> Self {
        Self { open_ms, results: ResultCounts::new(WINDOW_MS), state: State::Closed, openings: 0 }
    }

    /// Time until requests are let through again, in milliseconds; `None` if they already are.
    pub(super) fn remaining_open_ms(&self, now_ms: u64) -> Option<u64> {
        match self.state {
            State::Open { until_ms } if until_ms > now_ms => Some(until_ms - now_ms),
            _ => None,
        }
    }

    /// Whether another request may be sent while `in_flight` are; half-opens a circuit that is due.
    pub(super) fn may_send(&mut self, in_flight: u32, now_ms: u64) -> bool {
        if let State::Open { until_ms } = self.state {
            if until_ms > now_ms {
                return false;
            }
            self.state = State::HalfOpen { successes: 0 };
        }
        self.state == State::Closed || in_flight < HALF_OPEN_SLOTS
    }

    /// Records a result; returns the end of the open time if this opened the circuit.
    pub(super) fn record(&mut self, is_fault: bool, now_ms: u64) -> Option<u64> {
        self.results.add(!is_fault, now_ms);
        match self.state {
            State::Closed => {
                let results = self.results.total(now_ms);
                let faults = self.results.failures(now_ms);
                let opens = results >= MIN_RESULTS && faults >= results * MAX_FAULT_SHARE;
                opens.then(|| self.open(now_ms))
            }
            State::HalfOpen { .. } if is_fault => Some(self.open(now_ms)),
            State::HalfOpen { successes } if successes + 1 >= CLOSE_AFTER_SUCCESSES => {
                self.state = State::Closed;
                self.openings = 0;
                self.results.clear();
                None
            }
            State::HalfOpen { successes } => {
                self.state = State::HalfOpen { successes: successes + 1 };
                None
            }
            State::Open { .. } => None,
        }
    }

    fn open(&mut self, now_ms: u64) -> u64 {
        let until_ms = now_ms + (self.open_ms << self.openings.min(MAX_DOUBLINGS));
        self.openings += 1;
        self.state = State::Open { until_ms };
        until_ms
    }
}
