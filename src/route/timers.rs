//! What a dispatcher has to look at later.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::message::{EndpointKey, RequestKey, ServiceKey};

/// Something that is due at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A queued request passes its deadline.
    Expire(RequestKey),
    /// A running request outlives its estimate; carries the number of its try.
    Outlive(RequestKey, u32),
    /// A request is tried again; carries the number of its tries.
    Retry(RequestKey, u32),
    /// An ejected endpoint is probed; carries the epoch of its state.
    Probe(EndpointKey, u32),
    /// Slots of an endpoint become free by time.
    Refresh(EndpointKey),
    /// A circuit lets requests through again.
    Circuit(ServiceKey),
    /// A service has been without endpoints for long.
    Stranded(ServiceKey),
}

/// Timers by the time at which they are due.
#[derive(Debug, Default)]
pub(super) struct Timers {
    heap: BinaryHeap<Reverse<(u64, u64, Timer)>>,
    next_sequence: u64,
}

impl Timers {
    /// Adds a timer.
    pub(super) fn push(&mut self, due_ms: u64, timer: Timer) {
        self.heap.push(Reverse((due_ms, self.next_sequence, timer)));
        self.next_sequence += 1;
    }

    /// Takes the next timer that is due.
    pub(super) fn pop_due(&mut self, now_ms: u64) -> Option<Timer> {
        if self.next_due_ms()? > now_ms {
            return None;
        }
        self.heap.pop().map(|Reverse((_, _, timer))| timer)
    }

    /// When the next timer is due.
    pub(super) fn next_due_ms(&self) -> Option<u64> {
        self.heap.peek().map(|Reverse((due_ms, _, _))| *due_ms)
    }
}
