//! A queue that shares service between callers and serves the earliest deadline first.
//!
//! Each caller has a virtual time that grows by the run time of its requests
//! (start-time fair queueing). Virtual times are compared by quantum: callers
//! in the same quantum are served by deadline. Removal leaves a stale entry
//! behind, which is skipped later, so it costs O(1).

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use super::deadlines::{DeadlineIndex, Mark};
use super::message::{CallerKey, RequestKey};
use crate::collections::HashMap;

/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1_000.0;

/// Stale entries of one caller that are kept at least before they are swept.
const STALE_LIMIT: usize = 64;

/// Shortest expected wait that is compared with the real one, in milliseconds.
const MIN_COMPARED_MS: f64 = 5.0;

/// Weight of one wait in the correction of expected waits.
const CORRECTION_WEIGHT: f64 = 1.0 / 32.0;

/// Bounds of the correction of expected waits.
const CORRECTION_BOUNDS: (f64, f64) = (1.0, 16.0);

/// Idle callers that are remembered before those without debt are forgotten.
const IDLE_LIMIT: usize = 1_024;

/// A request as it is put into a queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ticket {
    /// The request.
    pub(super) request: RequestKey,
    /// Who asks.
    pub(super) caller: CallerKey,
    /// Its deadline.
    pub(super) deadline_ms: u64,
    /// Its expected run time, in microseconds.
    pub(super) work_us: u64,
    /// Its expected wait without correction, in milliseconds; 0 if it is not to be compared.
    pub(super) expected_wait_ms: f64,
}

/// Requests of one class that wait.
#[derive(Debug)]
pub(super) struct FairQueue {
    quantum_us: u64,
    virtual_us: u64,
    next_sequence: u64,
    waiting: HashMap<RequestKey, Waiting>,
    callers: HashMap<CallerKey, Caller>,
    ready: BTreeSet<Turn>,
    index: DeadlineIndex,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    caller: CallerKey,
    sequence: u64,
    work_us: u64,
    mark: Mark,
    expected_wait_ms: f64,
    since_ms: u64,
}

#[derive(Debug)]
struct Caller {
    correction: f64,
    entries: BinaryHeap<Reverse<Entry>>,
    live: usize,
    queued_us: u64,
    tag_us: u64,
    turn: Option<Turn>,
}

impl Default for Caller {
    fn default() -> Self {
        Self {
            correction: 1.0,
            entries: BinaryHeap::new(),
            live: 0,
            queued_us: 0,
            tag_us: 0,
            turn: None,
        }
    }
}

impl Caller {
    /// Compares a wait with what was expected.
    fn learn(&mut self, waiting: &Waiting, now_ms: u64) {
        if waiting.expected_wait_ms < MIN_COMPARED_MS {
            return;
        }
        let waited_ms = now_ms.saturating_sub(waiting.since_ms) as f64;
        let seen = waited_ms / waiting.expected_wait_ms;
        let corrected = self.correction + CORRECTION_WEIGHT * (seen - self.correction);
        self.correction = corrected.clamp(CORRECTION_BOUNDS.0, CORRECTION_BOUNDS.1);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    deadline_ms: u64,
    sequence: u64,
    request: RequestKey,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    quantum: u64,
    deadline_ms: u64,
    sequence: u64,
    caller: CallerKey,
}

impl FairQueue {
    /// An empty queue; callers within `quantum_ms` of each other are served by deadline.
    pub(super) fn new(quantum_ms: u64) -> Self {
        Self {
            quantum_us: quantum_ms.saturating_mul(1_000).max(1),
            virtual_us: 0,
            next_sequence: 0,
            waiting: HashMap::default(),
            callers: HashMap::default(),
            ready: BTreeSet::new(),
            index: DeadlineIndex::new(),
        }
    }

    /// Requests that wait.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits.
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Callers with waiting requests.
    pub(super) fn active_callers(&self) -> usize {
        self.ready.len()
    }

    /// Waiting requests of one caller.
    pub(super) fn len_of(&self, caller: CallerKey) -> usize {
        self.callers.get(&caller).map_or(0, |state| state.live)
    }

    /// Expected run time of all that waits, in milliseconds.
    pub(super) fn work_ms(&self) -> f64 {
        self.index.total_us() as f64 / US_PER_MS
    }

    /// Expected run time that is served before a new request, in milliseconds.
    pub(super) fn work_ahead_ms(&self, caller: CallerKey, deadline_ms: u64, now_ms: u64) -> f64 {
        let by_deadline_us = self.index.due_by_us(deadline_ms, now_ms);
        let lead_us = self
            .callers
            .get(&caller)
            .map_or(0, |state| state.tag_us.saturating_sub(self.virtual_us) + state.queued_us);
        let mine_is_new = self.len_of(caller) == 0;
        let sharers = self.ready.len() as u64 + u64::from(mine_is_new);
        let by_share_us = (lead_us + self.quantum_us / 2).saturating_mul(sharers);
        let ahead_us = if sharers > 1 { by_deadline_us.min(by_share_us) } else { by_deadline_us };
        ahead_us as f64 / US_PER_MS
    }

    /// Real waits of a caller as a multiple of those that were expected.
    pub(super) fn correction(&self, caller: CallerKey) -> f64 {
        self.callers.get(&caller).map_or(1.0, |state| state.correction)
    }

    /// Puts a request into the queue.
    pub(super) fn push(&mut self, ticket: Ticket, now_ms: u64) {
        let Ticket { request, caller, deadline_ms, work_us, expected_wait_ms } = ticket;
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let mark = self.index.add(deadline_ms, now_ms, work_us);
        let since_ms = now_ms;
        let waiting = Waiting { caller, sequence, work_us, mark, expected_wait_ms, since_ms };
        self.waiting.insert(request, waiting);
        let state = self.callers.entry(caller).or_default();
        if state.live == 0 {
            state.tag_us = state.tag_us.max(self.virtual_us);
        }
        state.live += 1;
        state.queued_us += work_us;
        state.entries.push(Reverse(Entry { deadline_ms, sequence, request }));
        self.reorder(caller);
    }

    /// Takes out the request whose turn it is.
    pub(super) fn pop(&mut self, now_ms: u64) -> Option<RequestKey> {
        loop {
            let turn = *self.ready.first()?;
            let state = self.callers.get_mut(&turn.caller)?;
            let Reverse(entry) = state.entries.pop()?;
            let is_live = is_live(&self.waiting, &entry);
            if is_live {
                self.virtual_us = self.virtual_us.max(state.tag_us);
                self.serve(entry.request, now_ms);
            }
            self.reorder(turn.caller);
            if is_live {
                return Some(entry.request);
            }
        }
    }

    /// Removes a request wherever it stands; false if it does not wait here.
    pub(super) fn remove(&mut self, request: RequestKey) -> bool {
        let Some(waiting) = self.waiting.get(&request).copied() else { return false };
        self.forget(request);
        if self.callers.get(&waiting.caller).is_some_and(|state| state.live == 0) {
            self.reorder(waiting.caller);
        }
        true
    }

    /// Removes a request that has waited until its deadline, and learns from its wait.
    pub(super) fn expire(&mut self, request: RequestKey, now_ms: u64) {
        let Some(waiting) = self.waiting.get(&request).copied() else { return };
        if let Some(state) = self.callers.get_mut(&waiting.caller) {
            state.learn(&waiting, now_ms);
        }
        self.remove(request);
    }

    /// Removes all requests, in no order that the caller may rely on but the same in every run.
    pub(super) fn drain(&mut self, now_ms: u64) -> Vec<RequestKey> {
        std::iter::from_fn(|| self.pop(now_ms)).collect()
    }

    /// Charges a caller for a request that leaves the queue, and learns from its wait.
    fn serve(&mut self, request: RequestKey, now_ms: u64) {
        let Some(waiting) = self.forget(request) else { return };
        let Some(state) = self.callers.get_mut(&waiting.caller) else { return };
        state.tag_us += waiting.work_us;
        state.learn(&waiting, now_ms);
    }

    fn forget(&mut self, request: RequestKey) -> Option<Waiting> {
        let waiting = self.waiting.remove(&request)?;
        self.index.remove(waiting.mark, waiting.work_us);
        let state = self.callers.get_mut(&waiting.caller)?;
        state.live -= 1;
        state.queued_us -= waiting.work_us;
        if state.entries.len() > 2 * state.live + STALE_LIMIT {
            let known = &self.waiting;
            state.entries.retain(|Reverse(entry)| is_live(known, entry));
        }
        Some(waiting)
    }

    /// Puts a caller where its virtual time and its earliest deadline belong.
    fn reorder(&mut self, caller: CallerKey) {
        let Some(state) = self.callers.get_mut(&caller) else { return };
        if state.live == 0 {
            state.entries.clear();
        }
        let turn = state.entries.peek().map(|Reverse(entry)| Turn {
            quantum: state.tag_us / self.quantum_us,
            deadline_ms: entry.deadline_ms,
            sequence: entry.sequence,
            caller,
        });
        if turn == state.turn {
            return;
        }
        if let Some(old) = state.turn.take() {
            self.ready.remove(&old);
        }
        state.turn = turn;
        match turn {
            Some(turn) => {
                self.ready.insert(turn);
            }
            None => self.forget_idle(),
        }
    }

    fn forget_idle(&mut self) {
        if self.callers.len() > 2 * self.ready.len() + IDLE_LIMIT {
            let virtual_us = self.virtual_us;
            self.callers.retain(|_, state| state.live > 0 || state.tag_us > virtual_us);
        }
    }
}

fn is_live(waiting: &HashMap<RequestKey, Waiting>, entry: &Entry) -> bool {
    waiting.get(&entry.request).is_some_and(|known| known.sequence == entry.sequence)
}
