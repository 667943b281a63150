//! A queue that shares slots fairly between callers and serves the earliest deadline first.
//!
//! Each caller has a virtual time that advances by the expected run time of
//! its served requests (start-time fair queueing). Virtual times are rounded
//! to a quantum: callers in the same quantum are served by deadline. Removing
//! a request leaves its heap entry behind, to be skipped later, so that a
//! removal costs O(1).

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use super::deadlines::{DeadlineIndex, Location};
use super::message::{CallerKey, RequestKey};
use crate::collections::HashMap;

/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1_000.0;

/// Stale heap entries of one caller, beyond its queued requests, that trigger their removal.
const STALE_LIMIT: usize = 64;

/// Shortest expected wait, in milliseconds, from which the correction learns.
const MIN_COMPARED_MS: f64 = 5.0;

/// Weight of one observed wait in the moving average of the correction.
const CORRECTION_WEIGHT: f64 = 1.0 / 32.0;

/// Lowest and highest correction factor of expected waits.
const CORRECTION_BOUNDS: (f64, f64) = (1.0, 16.0);

/// Idle callers that are kept before those that are not ahead in virtual time are evicted.
const IDLE_LIMIT: usize = 1_024;

/// A request to add to a queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct NewEntry {
    /// Request to queue.
    pub(super) request: RequestKey,
    /// Caller whose fair share it uses.
    pub(super) caller: CallerKey,
    /// Deadline, in milliseconds on the clock of `now_ms`.
    pub(super) deadline_ms: u64,
    /// Expected run time, in microseconds.
    pub(super) work_us: u64,
    /// Expected wait before correction, in milliseconds; 0 excludes it from the correction.
    pub(super) expected_wait_ms: f64,
}

/// The queued requests of one class.
#[derive(Debug)]
pub(super) struct FairQueue {
    quantum_us: u64,
    /// Virtual time of the queue: the highest at which a caller was served, in microseconds.
    virtual_us: u64,
    next_sequence: u64,
    requests: HashMap<RequestKey, QueuedRequest>,
    callers: HashMap<CallerKey, Caller>,
    /// Callers with queued requests, in the order in which they are served.
    ready: BTreeSet<CallerRank>,
    index: DeadlineIndex,
}

#[derive(Clone, Copy, Debug)]
struct QueuedRequest {
    caller: CallerKey,
    sequence: u64,
    work_us: u64,
    location: Location,
    expected_wait_ms: f64,
    queued_at_ms: u64,
}

#[derive(Debug)]
struct Caller {
    /// Observed waits as a multiple of the expected ones, as a moving average.
    correction: f64,
    entries: BinaryHeap<Reverse<HeapEntry>>,
    queued: usize,
    queued_us: u64,
    /// Virtual time: expected run time of the requests served so far, in microseconds.
    virtual_us: u64,
    /// Rank under which the caller is in `ready`; `None` without queued requests.
    rank: Option<CallerRank>,
}

impl Default for Caller {
    fn default() -> Self {
        Self {
            correction: 1.0,
            entries: BinaryHeap::new(),
            queued: 0,
            queued_us: 0,
            virtual_us: 0,
            rank: None,
        }
    }
}

impl Caller {
    /// Updates the correction by the ratio of the observed to the expected wait.
    fn update_correction(&mut self, queued: &QueuedRequest, now_ms: u64) {
        if queued.expected_wait_ms < MIN_COMPARED_MS {
            return;
        }
        let waited_ms = now_ms.saturating_sub(queued.queued_at_ms) as f64;
        let ratio = waited_ms / queued.expected_wait_ms;
        let corrected = self.correction + CORRECTION_WEIGHT * (ratio - self.correction);
        self.correction = corrected.clamp(CORRECTION_BOUNDS.0, CORRECTION_BOUNDS.1);
    }
}

/// A request in its caller's heap; stale once the request was removed from the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HeapEntry {
    deadline_ms: u64,
    sequence: u64,
    request: RequestKey,
}

/// Order of a caller among those with queued requests; the lowest is served next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CallerRank {
    quantum: u64,
    deadline_ms: u64,
    sequence: u64,
    caller: CallerKey,
}

impl FairQueue {
    /// An empty queue; callers whose virtual times share a quantum are served by deadline.
    pub(super) fn new(quantum_ms: u64) -> Self {
        Self {
            quantum_us: quantum_ms.saturating_mul(1_000).max(1),
            virtual_us: 0,
            next_sequence: 0,
            requests: HashMap::default(),
            callers: HashMap::default(),
            ready: BTreeSet::new(),
            index: DeadlineIndex::new(),
        }
    }

    /// Number of queued requests.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Number of callers with queued requests.
    pub(super) fn active_callers(&self) -> usize {
        self.ready.len()
    }

    /// Number of queued requests of one caller.
    pub(super) fn len_of(&self, caller: CallerKey) -> usize {
        self.callers.get(&caller).map_or(0, |state| state.queued)
    }

    /// Sum of the expected run times of all queued requests, in milliseconds.
    pub(super) fn work_ms(&self) -> f64 {
        self.index.total_us() as f64 / MICROS_PER_MS
    }

    /// Expected run time of the requests served before a new one of `caller`, in milliseconds.
    pub(super) fn work_ahead_ms(&self, caller: CallerKey, deadline_ms: u64, now_ms: u64) -> f64 {
        let by_deadline_us = self.index.due_by_us(deadline_ms, now_ms);
        let lead_us = self
            .callers
            .get(&caller)
            .map_or(0, |state| state.virtual_us.saturating_sub(self.virtual_us) + state.queued_us);
        let is_new_caller = self.len_of(caller) == 0;
        let sharers = self.ready.len() as u64 + u64::from(is_new_caller);
        let by_share_us = (lead_us + self.quantum_us / 2).saturating_mul(sharers);
        let ahead_us = if sharers > 1 { by_deadline_us.min(by_share_us) } else { by_deadline_us };
        ahead_us as f64 / MICROS_PER_MS
    }

    /// Moving average of a caller's observed waits as a multiple of the expected ones.
    pub(super) fn correction(&self, caller: CallerKey) -> f64 {
        self.callers.get(&caller).map_or(1.0, |state| state.correction)
    }

    /// Adds a request.
    pub(super) fn push(&mut self, entry: NewEntry, now_ms: u64) {
        let NewEntry { request, caller, deadline_ms, work_us, expected_wait_ms } = entry;
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let location = self.index.add(deadline_ms, now_ms, work_us);
        let queued_at_ms = now_ms;
        let queued =
            QueuedRequest { caller, sequence, work_us, location, expected_wait_ms, queued_at_ms };
        self.requests.insert(request, queued);
        let state = self.callers.entry(caller).or_default();
        if state.queued == 0 {
            state.virtual_us = state.virtual_us.max(self.virtual_us);
        }
        state.queued += 1;
        state.queued_us += work_us;
        state.entries.push(Reverse(HeapEntry { deadline_ms, sequence, request }));
        self.update_rank(caller);
    }

    /// Takes out the request to serve next.
    pub(super) fn pop(&mut self, now_ms: u64) -> Option<RequestKey> {
        loop {
            let rank = *self.ready.first()?;
            let state = self.callers.get_mut(&rank.caller)?;
            let Reverse(entry) = state.entries.pop()?;
            let is_current = is_current(&self.requests, &entry);
            if is_current {
                self.virtual_us = self.virtual_us.max(state.virtual_us);
                self.serve(entry.request, now_ms);
            }
            self.update_rank(rank.caller);
            if is_current {
                return Some(entry.request);
            }
        }
    }

    /// Removes a request; false if it is not queued here.
    pub(super) fn remove(&mut self, request: RequestKey) -> bool {
        let Some(queued) = self.requests.get(&request).copied() else { return false };
        self.take(request);
        if self.callers.get(&queued.caller).is_some_and(|state| state.queued == 0) {
            self.update_rank(queued.caller);
        }
        true
    }

    /// Removes a request that was queued until its deadline, and learns from its wait.
    pub(super) fn expire(&mut self, request: RequestKey, now_ms: u64) {
        let Some(queued) = self.requests.get(&request).copied() else { return };
        if let Some(state) = self.callers.get_mut(&queued.caller) {
            state.update_correction(&queued, now_ms);
        }
        self.remove(request);
    }

    /// Removes all requests, in an unspecified but deterministic order.
    pub(super) fn drain(&mut self, now_ms: u64) -> Vec<RequestKey> {
        std::iter::from_fn(|| self.pop(now_ms)).collect()
    }

    /// Removes a request, charges its caller for the run time and learns from its wait.
    fn serve(&mut self, request: RequestKey, now_ms: u64) {
        let Some(queued) = self.take(request) else { return };
        let Some(state) = self.callers.get_mut(&queued.caller) else { return };
        state.virtual_us += queued.work_us;
        state.update_correction(&queued, now_ms);
    }

    /// Removes a request from all sums; its heap entry stays until it is popped or swept.
    fn take(&mut self, request: RequestKey) -> Option<QueuedRequest> {
        let queued = self.requests.remove(&request)?;
        self.index.remove(queued.location, queued.work_us);
        let state = self.callers.get_mut(&queued.caller)?;
        state.queued -= 1;
        state.queued_us -= queued.work_us;
        if state.entries.len() > 2 * state.queued + STALE_LIMIT {
            let requests = &self.requests;
            state.entries.retain(|Reverse(entry)| is_current(requests, entry));
        }
        Some(queued)
    }

    /// Updates the rank of a caller after its virtual time or its earliest deadline changed.
    fn update_rank(&mut self, caller: CallerKey) {
        let Some(state) = self.callers.get_mut(&caller) else { return };
        if state.queued == 0 {
            state.entries.clear();
        }
        let rank = state.entries.peek().map(|Reverse(entry)| CallerRank {
            quantum: state.virtual_us / self.quantum_us,
            deadline_ms: entry.deadline_ms,
            sequence: entry.sequence,
            caller,
        });
        if rank == state.rank {
            return;
        }
        if let Some(old) = state.rank.take() {
            self.ready.remove(&old);
        }
        state.rank = rank;
        match rank {
            Some(rank) => {
                self.ready.insert(rank);
            }
            None => self.evict_idle_callers(),
        }
    }

    fn evict_idle_callers(&mut self) {
        if self.callers.len() > 2 * self.ready.len() + IDLE_LIMIT {
            let virtual_us = self.virtual_us;
            self.callers.retain(|_, state| state.queued > 0 || state.virtual_us > virtual_us);
        }
    }
}

fn is_current(requests: &HashMap<RequestKey, QueuedRequest>, entry: &HeapEntry) -> bool {
    requests.get(&entry.request).is_some_and(|queued| queued.sequence == entry.sequence)
}
