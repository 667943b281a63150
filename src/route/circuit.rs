//! Stops traffic to a whole pool whose endpoints can't be used.

use super::rate::Tally;

/// Time over which results are remembered, in milliseconds.
const MEMORY_MS: f64 = 1_000.0;

/// Results that are needed to open the circuit.
const MIN_RESULTS: f64 = 20.0;

/// Share of faults that opens the circuit.
const MAX_FAULT_SHARE: f64 = 0.7;

/// Requests in flight while the circuit is half open.
const HALF_OPEN_SLOTS: u32 = 2;

/// Successes that close a half-open circuit.
const CLOSE_AFTER: u32 = 5;

/// Largest number of doublings of the open time.
const MAX_DOUBLINGS: u32 = 3;

/// The circuit of a pool. Only faults of the way to an endpoint count; an
/// answer that tells of a failure shows that the endpoint is there.
#[derive(Debug)]
pub(super) struct Circuit {
    open_ms: u64,
    tally: Tally,
    state: State,
    openings: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Closed,
    Open { until_ms: u64 },
    HalfOpen { successes: u32 },
}

impl Circuit {
    /// A closed circuit that opens for `open_ms` at first.
    pub(super) fn new(open_ms: u64) -> Self {
        Self { open_ms, tally: Tally::new(MEMORY_MS), state: State::Closed, openings: 0 }
    }

    /// Time until requests are let through again, in milliseconds; `None` if they are now.
    pub(super) fn closed_for_ms(&self, now_ms: u64) -> Option<u64> {
        match self.state {
            State::Open { until_ms } if until_ms > now_ms => Some(until_ms - now_ms),
            _ => None,
        }
    }

    /// Whether one more request may be sent while `in_flight` are.
    pub(super) fn may_send(&mut self, in_flight: u32, now_ms: u64) -> bool {
        if let State::Open { until_ms } = self.state {
            if until_ms > now_ms {
                return false;
            }
            self.state = State::HalfOpen { successes: 0 };
        }
        self.state == State::Closed || in_flight < HALF_OPEN_SLOTS
    }

    /// Records a result; the end of the open time if the circuit opened by it.
    pub(super) fn record(&mut self, is_fault: bool, now_ms: u64) -> Option<u64> {
        self.tally.add(!is_fault, now_ms);
        match self.state {
            State::Closed => {
                let results = self.tally.count(now_ms);
                let faults = self.tally.failures(now_ms);
                let opens = results >= MIN_RESULTS && faults >= results * MAX_FAULT_SHARE;
                opens.then(|| self.open(now_ms))
            }
            State::HalfOpen { .. } if is_fault => Some(self.open(now_ms)),
            State::HalfOpen { successes } if successes + 1 >= CLOSE_AFTER => {
                self.state = State::Closed;
                self.openings = 0;
                self.tally.clear();
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
