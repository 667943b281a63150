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
}

#[derive(Debug, Default)]
struct Caller {
    entries: BinaryHeap<Reverse<Entry>>,
    live: usize,
    queued_us: u64,
    tag_us: u64,
    turn: Option<Turn>,
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

    /// Puts a request into the queue.
    pub(super) fn push(&mut self, ticket: Ticket, now_ms: u64) {
        let Ticket { request, caller, deadline_ms, work_us } = ticket;
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let mark = self.index.add(deadline_ms, now_ms, work_us);
        self.waiting.insert(request, Waiting { caller, sequence, work_us, mark });
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
    pub(super) fn pop(&mut self) -> Option<RequestKey> {
        loop {
            let turn = *self.ready.first()?;
            let state = self.callers.get_mut(&turn.caller)?;
            let Reverse(entry) = state.entries.pop()?;
            let is_live = is_live(&self.waiting, &entry);
            if is_live {
                self.virtual_us = self.virtual_us.max(state.tag_us);
                let work_us = self.forget(entry.request)?;
                if let Some(state) = self.callers.get_mut(&turn.caller) {
                    state.tag_us += work_us;
                }
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

    /// Removes all requests, in no order that the caller may rely on but the same in every run.
    pub(super) fn drain(&mut self) -> Vec<RequestKey> {
        std::iter::from_fn(|| self.pop()).collect()
    }

    fn forget(&mut self, request: RequestKey) -> Option<u64> {
        let waiting = self.waiting.remove(&request)?;
        self.index.remove(waiting.mark, waiting.work_us);
        let state = self.callers.get_mut(&waiting.caller)?;
        state.live -= 1;
        state.queued_us -= waiting.work_us;
        if state.entries.len() > 2 * state.live + STALE_LIMIT {
            let waiting = &self.waiting;
            state.entries.retain(|Reverse(entry)| is_live(waiting, entry));
        }
        Some(waiting.work_us)
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
