//! The ledger of idempotency keys: it ensures that each key runs at most once, whichever entry host
//! receives its requests.
//!
//! Each zone has one ledger, held by one entry host. Before the holder lets a request be sent, it
//! records the intent to run its key in the platform's store. The log in the store is a ring buffer
//! of batches. Each write is conditional on the revision that the holder last saw in the slot, so a
//! holder that missed a write of another holder gets a conflict and reads the whole log again.
//!
//! [`Ledger`] is a state machine without I/O: it takes events and returns actions.
//! `docs/design/0004-keys.md` has the reasoning.

pub mod batch;
pub mod holder;
mod keys;
mod message;

use std::collections::BTreeMap;

use crate::configs::ledger::LedgerConfig;
use crate::store::{Expect, Revision};

use batch::{Batch, EndKind, EndNote, Intent};
use keys::Keys;
pub use message::{Action, Begin, BeginResult, Claim, CommitResult, End, Event, Ticket};

/// Longest time for which the ends of runs wait to be written together with new intents, in
/// milliseconds.
const ENDS_MAX_WAIT_MS: u64 = 100;

/// Consecutive failed store calls after which the store counts as unreachable.
const AWAY_AFTER: u32 = 5;

/// Most doublings of the commit timeout after consecutive failures.
const MAX_DOUBLINGS: u32 = 4;

/// State of one zone's ledger at its holder.
///
/// ```
/// use hemlockrock::configs::ledger::LedgerConfig;
/// use hemlockrock::ledger::{Action, Begin, BeginResult, Claim, CommitResult, Event, Ledger, Ticket};
/// use hemlockrock::store::Revision;
///
/// let mut ledger = Ledger::new(LedgerConfig::default(), 1, 0);
/// let mut out = Vec::new();
/// ledger.step(Event::Tick, 0, &mut out);
/// ledger.step(Event::Loaded(Vec::new()), 1, &mut out);
/// let (ticket, claim) = (Ticket(1), Claim(7));
/// let (key, abandoned) = ("orders/k".into(), Vec::new());
/// let begin = Begin { ticket, key, digest: 0, claim, abandoned, until_ms: 1_000 };
/// ledger.step(Event::Begin(begin), 2, &mut out);
/// assert!(matches!(out.last(), Some(Action::Commit { slot: 0, .. })));
/// ledger.step(Event::Committed(CommitResult::Written(Revision(1))), 3, &mut out);
/// assert_eq!(out.last(), Some(&Action::Answer { ticket, result: BeginResult::Granted }));
/// ```
#[derive(Debug)]
pub struct Ledger {
    config: LedgerConfig,
    /// Distinguishes this holder's batches from those of all other holders.
    writer: u64,
    /// Wall time less the monotonic clock.
    unix_offset_ms: u64,
    phase: Phase,
    /// Slots of the ring buffer; the log's own figure takes precedence over the settings.
    slot_count: u32,
    /// Sequence number of the next batch.
    next_seq: u64,
    /// Content of each written slot, as last seen.
    written: BTreeMap<u32, WrittenSlot>,
    keys: Keys,
    /// Requests without a result yet.
    waiting: BTreeMap<Ticket, Begin>,
    /// Arrival of each waiting request, on the monotonic clock.
    waiting_since_ms: BTreeMap<Ticket, u64>,
    /// Intents and ends that the next batches will write.
    pending_intents: Vec<Intent>,
    pending_ends: Vec<EndNote>,
    /// Ends of runs that are not known yet, kept until the log has been read.
    early_ends: BTreeMap<Claim, End>,
    /// Arrival of the oldest pending end, on the monotonic clock.
    ends_since_ms: Option<u64>,
    /// The batch whose write has not been confirmed.
    in_flight: Option<Batch>,
    /// Whether the write in flight failed or its answer was lost, so that it has to be repeated.
    must_retry: bool,
    /// Consecutive failed store calls.
    failures: u32,
    /// Time of the first of these failures.
    failing_since_ms: u64,
    /// Whether the store counts as unreachable.
    is_away: bool,
    /// Earliest time of the next write, on the monotonic clock.
    next_commit_ms: u64,
}

/// Content of a slot of the log, as last seen.
#[derive(Debug)]
struct WrittenSlot {
    /// Revision of the slot, the condition of the next write to it.
    modified: Revision,
    seq: u64,
    unix_ms: u64,
    /// Keys whose intents are in the batch.
    keys: Vec<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The log is to be read at this time, in milliseconds on the monotonic clock.
    LoadAt(u64),
    /// The read of the log is in flight.
    Loading,
    /// The log has been read; requests are decided and batches written.
    Holding,
}

impl Ledger {
    /// Creates a ledger that has not read its log yet. `writer` must differ from that of every
    /// other holder; `unix_offset_ms` is wall time less the clock of `now_ms`.
    pub fn new(config: LedgerConfig, writer: u64, unix_offset_ms: u64) -> Self {
        let keys = Keys::new(config.answers_bytes);
        Self {
            slot_count: config.slots,
            config,
            writer,
            unix_offset_ms,
            phase: Phase::LoadAt(0),
            next_seq: 0,
            written: BTreeMap::new(),
            keys,
            waiting: BTreeMap::new(),
            waiting_since_ms: BTreeMap::new(),
            pending_intents: Vec::new(),
            pending_ends: Vec::new(),
            early_ends: BTreeMap::new(),
            ends_since_ms: None,
            in_flight: None,
            must_retry: false,
            failures: 0,
            failing_since_ms: 0,
            is_away: false,
            next_commit_ms: 0,
        }
    }

    /// Processes one event and appends the resulting actions to `out`.
    pub fn step(&mut self, event: Event, now_ms: u64, out: &mut Vec<Action>) {
        match event {
            Event::Loaded(log) => self.load(log, now_ms, out),
            Event::LoadFailed => {
                self.record_failure(now_ms);
                self.phase = Phase::LoadAt(now_ms + self.pause_ms());
            }
            Event::Begin(begin) => self.begin(begin, now_ms, out),
            Event::Abandon(ticket) => self.abandon(ticket),
            Event::End(end) => self.end(end, now_ms, out),
            Event::Committed(result) => self.committed(result, now_ms, out),
            Event::Tick => self.tick(now_ms, out),
        }
        self.load_due(now_ms, out);
        self.commit_due(now_ms, out);
    }

    /// Latest time at which the next [`Event::Tick`] is due; `None` if no work is pending.
    pub fn next_due_ms(&self) -> Option<u64> {
        if let Phase::LoadAt(at_ms) = self.phase {
            return Some(at_ms);
        }
        let has_work = !self.pending_intents.is_empty() || self.in_flight.is_some();
        has_work.then_some(self.next_commit_ms)
    }

    /// Whether the log has been read, so that an end is recorded at once.
    pub fn is_loaded(&self) -> bool {
        self.phase == Phase::Holding
    }

    /// Whether no write is in flight, no end is unwritten and no request waits.
    pub fn is_idle(&self) -> bool {
        self.in_flight.is_none() && self.pending_ends.is_empty() && self.waiting.is_empty()
    }

    /// Answers all waiting requests with [`BeginResult::NotHolder`], for example when another host
    /// takes over the ledger.
    pub fn resign(&mut self, out: &mut Vec<Action>) {
        for (ticket, _) in std::mem::take(&mut self.waiting) {
            out.push(Action::Answer { ticket, result: BeginResult::NotHolder });
        }
        self.waiting_since_ms.clear();
    }

    fn load_due(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        if matches!(self.phase, Phase::LoadAt(at_ms) if now_ms >= at_ms) {
            self.phase = Phase::Loading;
            out.push(Action::Load);
        }
    }

    /// Replaces the state by the whole log. Keys that this holder granted itself keep their state.
    fn load(&mut self, mut log: Vec<(Revision, Batch)>, now_ms: u64, out: &mut Vec<Action>) {
        log.sort_by_key(|(_, batch)| batch.seq);
        self.record_success();
        self.phase = Phase::Holding;
        self.written.clear();
        self.pending_intents.clear();
        self.in_flight = None;
        self.next_seq = log.last().map_or(0, |(_, batch)| batch.seq + 1);
        self.slot_count = log.last().map_or(self.config.slots, |(_, batch)| batch.slot_count);
        self.keys.begin_reload();
        for (modified, batch) in log {
            self.keys.replay(&batch, now_ms + self.config.end_wait_ms);
            self.remember_written(modified, &batch);
        }
        self.keys.replay_ends(&self.pending_ends);
        self.keys.end_reload();
        for end in std::mem::take(&mut self.early_ends).into_values() {
            self.end(end, now_ms, out);
        }
        let waiting = std::mem::take(&mut self.waiting);
        for begin in waiting.into_values() {
            self.begin(begin, now_ms, out);
        }
    }

    fn remember_written(&mut self, modified: Revision, batch: &Batch) {
        let keys = batch.all_intents().map(|intent| intent.key.clone()).collect();
        let written = WrittenSlot { modified, seq: batch.seq, unix_ms: batch.unix_ms, keys };
        self.written.insert(batch.slot(), written);
    }

    fn begin(&mut self, begin: Begin, now_ms: u64, out: &mut Vec<Action>) {
        let ticket = begin.ticket;
        if self.is_away && !self.keys.is_recorded(&begin.key) {
            out.push(Action::Answer { ticket, result: BeginResult::Away });
            return;
        }
        if self.waiting.len() >= self.config.max_waiting {
            out.push(Action::Answer { ticket, result: BeginResult::Away });
            return;
        }
        let key = begin.key.clone();
        self.waiting_since_ms.entry(ticket).or_insert(now_ms);
        self.waiting.insert(ticket, begin);
        self.keys.add_waiting(&key, ticket);
        if self.phase == Phase::Holding {
            self.process_waiting(&key, now_ms, out);
        }
    }

    /// Answers the requests that wait for a key, or queues an intent, as far as the key's state
    /// permits.
    fn process_waiting(&mut self, key: &str, now_ms: u64, out: &mut Vec<Action>) {
        for ticket in self.keys.waiting(key) {
            let Some(begin) = self.waiting.get(&ticket) else {
                self.keys.remove_waiting(key, ticket);
                continue;
            };
            if let Some(claim) = self.keys.take_abandoned(begin) {
                let note = EndNote { key: key.to_owned(), claim, kind: EndKind::NotRun };
                self.pending_ends.push(note);
                self.ends_since_ms.get_or_insert(now_ms);
            }
            match self.keys.decision_for(begin) {
                keys::Decision::Answer(result) => self.answer(key, ticket, result, out),
                keys::Decision::Wait => {}
                keys::Decision::Record => {
                    let (claim, digest, until_ms) = (begin.claim, begin.digest, begin.until_ms);
                    self.keys.set_pending(key, claim);
                    self.pending_intents.push(Intent {
                        key: key.to_owned(),
                        claim,
                        digest,
                        until_ms,
                    });
                }
            }
        }
    }

    fn answer(&mut self, key: &str, ticket: Ticket, result: BeginResult, out: &mut Vec<Action>) {
        self.waiting.remove(&ticket);
        self.waiting_since_ms.remove(&ticket);
        self.keys.remove_waiting(key, ticket);
        out.push(Action::Answer { ticket, result });
    }

    fn abandon(&mut self, ticket: Ticket) {
        if let Some(begin) = self.waiting.remove(&ticket) {
            self.waiting_since_ms.remove(&ticket);
            self.keys.remove_waiting(&begin.key, ticket);
        }
    }

    fn end(&mut self, end: End, now_ms: u64, out: &mut Vec<Action>) {
        let End { key, claim, answer } = end;
        let Some(kind) = self.keys.end(&key, claim, answer.clone()) else {
            if self.phase != Phase::Holding {
                self.early_ends.insert(claim, End { key, claim, answer });
            }
            return;
        };
        self.record_end(EndNote { key: key.clone(), claim, kind }, now_ms);
        if self.phase != Phase::Holding {
            return;
        }
        if kind == EndKind::NotRun {
            for ticket in self.keys.waiting(&key) {
                self.answer(&key, ticket, BeginResult::Ended(answer.clone()), out);
            }
        }
        self.process_waiting(&key, now_ms, out);
    }

    fn record_end(&mut self, note: EndNote, now_ms: u64) {
        self.pending_ends.push(note);
        self.ends_since_ms.get_or_insert(now_ms);
    }

    /// Handles the result of the write in flight.
    fn committed(&mut self, result: CommitResult, now_ms: u64, out: &mut Vec<Action>) {
        let Some(batch) = self.in_flight.take() else { return };
        match result {
            CommitResult::Written(modified) => self.apply_written(modified, &batch, now_ms, out),
            // An earlier try of this write succeeded although its answer was lost.
            CommitResult::Conflict(Some((modified, found))) if found == batch => {
                self.apply_written(modified, &batch, now_ms, out);
            }
            // Another holder has written the slot, so the log has to be read again.
            CommitResult::Conflict(_) => {
                self.requeue_ends(batch);
                self.pending_intents.clear();
                self.phase = Phase::LoadAt(now_ms);
            }
            CommitResult::Away | CommitResult::Lost => {
                self.record_failure(now_ms);
                self.in_flight = Some(batch);
                self.must_retry = true;
                self.next_commit_ms = now_ms + self.pause_ms();
            }
        }
    }

    fn requeue_ends(&mut self, batch: Batch) {
        let mut ends = batch.ends;
        ends.append(&mut self.pending_ends);
        self.pending_ends = ends;
    }

    fn record_success(&mut self) {
        self.failures = 0;
        self.is_away = false;
    }

    /// Counts a failed store call. After several in a row, or after `commit_wait_ms` of them, the
    /// store counts as unreachable.
    fn record_failure(&mut self, now_ms: u64) {
        if self.failures == 0 {
            self.failing_since_ms = now_ms;
        }
        self.failures += 1;
        let is_long = now_ms >= self.failing_since_ms + self.config.commit_wait_ms;
        self.is_away = is_long || self.failures >= AWAY_AFTER;
    }

    /// Time between two writes, in milliseconds.
    fn pause_ms(&self) -> u64 {
        if self.is_away {
            return self.config.retry_ms;
        }
        self.config.commit_every_ms
    }

    /// Updates the state after a batch was written, and grants its intents.
    fn apply_written(
        &mut self,
        modified: Revision,
        batch: &Batch,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        self.record_success();
        self.next_seq = batch.seq + 1;
        for intent in &batch.carried {
            self.keys.update_seq(intent, batch.seq);
        }
        if let Some(old) = self.written.remove(&batch.slot()) {
            for key in &old.keys {
                self.keys.forget(key, old.seq);
            }
        }
        self.remember_written(modified, batch);
        for intent in &batch.intents {
            self.grant(intent, batch.seq, now_ms, out);
            self.process_waiting(&intent.key, now_ms, out);
        }
    }

    /// Grants the request whose intent was written. If the request is gone, records that it did not
    /// run.
    fn grant(&mut self, intent: &Intent, seq: u64, now_ms: u64, out: &mut Vec<Action>) {
        let key = intent.key.as_str();
        self.keys.clear_pending(key);
        let is_claimant = |ticket: &Ticket| {
            self.waiting.get(ticket).is_some_and(|begin| begin.claim == intent.claim)
        };
        match self.keys.waiting(key).into_iter().find(is_claimant) {
            Some(ticket) => {
                self.keys.open(intent, seq);
                self.answer(key, ticket, BeginResult::Granted, out);
            }
            None => {
                let (key, kind) = (key.to_owned(), EndKind::NotRun);
                self.record_end(EndNote { key, claim: intent.claim, kind }, now_ms);
            }
        }
    }

    /// Answers requests that waited `commit_wait_ms` for their record with [`BeginResult::Away`],
    /// and expires runs whose end is overdue.
    fn tick(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let oldest_ms = now_ms.saturating_sub(self.config.commit_wait_ms);
        let late: Vec<(Ticket, String)> = self
            .waiting
            .values()
            .filter(|begin| {
                self.waiting_since_ms.get(&begin.ticket).is_some_and(|at| *at <= oldest_ms)
            })
            .filter(|begin| !self.keys.is_recorded(&begin.key))
            .map(|begin| (begin.ticket, begin.key.clone()))
            .collect();
        for (ticket, key) in late {
            self.answer(&key, ticket, BeginResult::Away, out);
        }
        for key in self.keys.expire(now_ms) {
            self.process_waiting(&key, now_ms, out);
        }
    }

    /// Writes the next batch, or repeats the write in flight if its result is unknown.
    fn commit_due(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        if self.phase != Phase::Holding || now_ms < self.next_commit_ms {
            return;
        }
        let batch = match &self.in_flight {
            Some(batch) if self.must_retry => batch.clone(),
            Some(_) => return,
            None => {
                let Some(batch) = self.next_batch(now_ms) else { return };
                batch
            }
        };
        let slot = batch.slot();
        let expect = match self.written.get(&slot) {
            Some(written) => Expect::Modified(written.modified),
            None => Expect::Absent,
        };
        self.next_commit_ms = now_ms + self.pause_ms();
        self.must_retry = false;
        self.in_flight = Some(batch.clone());
        let timeout_ms = self.config.commit_timeout_ms << self.failures.min(MAX_DOUBLINGS);
        out.push(Action::Commit { slot, expect, batch, timeout_ms });
    }

    /// Builds the next batch. `None` if nothing is due, or while the slot to overwrite is younger
    /// than `retention_ms`.
    fn next_batch(&mut self, now_ms: u64) -> Option<Batch> {
        let are_ends_due =
            self.ends_since_ms.is_some_and(|since_ms| now_ms >= since_ms + ENDS_MAX_WAIT_MS);
        if self.pending_intents.is_empty() && !are_ends_due {
            return None;
        }
        let unix_ms = now_ms + self.unix_offset_ms;
        let slot = batch::slot_of(self.next_seq, self.slot_count);
        if let Some(old) = self.written.get(&slot) {
            if unix_ms < old.unix_ms + self.config.retention_ms {
                self.next_commit_ms = now_ms + self.config.commit_every_ms;
                return None;
            }
        }
        let count = self.pending_intents.len().min(self.config.max_batch);
        let intents: Vec<Intent> = self.pending_intents.drain(..count).collect();
        let carried = match self.written.get(&slot) {
            Some(old) => {
                old.keys.iter().filter_map(|key| self.keys.open_intent(key, old.seq)).collect()
            }
            None => Vec::new(),
        };
        let count = self.pending_ends.len().min(self.config.max_batch);
        let ends: Vec<EndNote> = self.pending_ends.drain(..count).collect();
        self.ends_since_ms = (!self.pending_ends.is_empty()).then_some(now_ms);
        let (seq, writer, slot_count) = (self.next_seq, self.writer, self.slot_count);
        Some(Batch { seq, writer, unix_ms, slot_count, ends, carried, intents })
    }
}
