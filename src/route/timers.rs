//! Timers of a dispatcher.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::message::{EndpointKey, RequestKey, ServiceKey};

/// Action that is due at a later time.
///
/// Timers are never removed early; a handler ignores one whose state has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Expires a request that is still queued at its deadline.
    Deadline(RequestKey),
    /// Counts a running request as long work; holds the number of its sends.
    LongRun(RequestKey, u32),
    /// Queues a request again after its backoff; holds the number of its sends.
    Retry(RequestKey, u32),
    /// Probes an ejected endpoint; holds the epoch of its state.
    Probe(EndpointKey, u32),
    /// Updates the free slots of an endpoint whose guard or held slot expires.
    SlotsFreed(EndpointKey),
    /// Sends queued requests after the open time of a circuit.
    CircuitHalfOpen(ServiceKey),
    /// Fails the queue of a service that still has no usable endpoint.
    NoEndpoint(ServiceKey),
}

/// Pending timers, ordered by due time.
#[derive(Debug, Default)]
pub(super) struct Timers {
    heap: BinaryHeap<Reverse<(u64, u64, Timer)>>,
    next_sequence: u64,
}

impl Timers {
    /// Adds a timer that is due at `due_ms`.
    pub(super) fn push(&mut self, due_ms: u64, timer: Timer) {
        self.heap.push(Reverse((due_ms, self.next_sequence, timer)));
        self.next_sequence += 1;
    }

    /// Removes and returns the next timer that is due at `now_ms`.
    pub(super) fn pop_due(&mut self, now_ms: u64) -> Option<Timer> {
        if self.next_due_ms()? > now_ms {
            return None;
        }
        self.heap.pop().map(|Reverse((_, _, timer))| timer)
    }

    /// Due time of the next timer, in milliseconds; `None` without timers.
    pub(super) fn next_due_ms(&self) -> Option<u64> {
        self.heap.peek().map(|Reverse((due_ms, _, _))| *due_ms)
    }
}
