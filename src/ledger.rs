//! The ledger of idempotency keys: each key runs at most once, through whatever entry host it comes.
//!
//! A zone's holder records the intent to run a key in the platform's store
//! before the request is sent. The log is a ring of keys in the store; each
//! write depends on the revision that the holder last saw in its place, so
//! that a holder which missed another's write fails and reads the log anew.
//! The state machine here is pure; `docs/design/0004-keys.md` has the reasoning.

pub mod batch;
mod keys;
mod message;
pub mod seat;

use std::collections::BTreeMap;

use crate::configs::ledger::LedgerConfig;
use crate::store::{Expect, Revision};

use batch::{Batch, EndKind, EndNote, Intent};
use keys::Keys;
pub use message::{Action, Begin, Claim, CommitResult, End, Event, KeyVerdict, Ticket};

/// Time for which ends wait for intents to be written together, in milliseconds.
const ENDS_WAIT_MS: u64 = 100;

/// Failed calls in a row after which the store is taken to be away.
const AWAY_AFTER: u32 = 5;

/// Doublings of the time for which the answer of a write is waited for.
const MAX_DOUBLINGS: u32 = 4;

/// The ledger of one zone, as its holder keeps it.
///
/// ```
/// use hemlockrock::configs::ledger::LedgerConfig;
/// use hemlockrock::ledger::{Action, Begin, Claim, CommitResult, Event, KeyVerdict, Ledger, Ticket};
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
/// assert!(matches!(out.last(), Some(Action::Commit { place: 0, .. })));
/// ledger.step(Event::Committed(CommitResult::Written(Revision(1))), 3, &mut out);
/// assert_eq!(out.last(), Some(&Action::Answer { ticket, verdict: KeyVerdict::Granted }));
/// ```
#[derive(Debug)]
pub struct Ledger {
    config: LedgerConfig,
    writer: u64,
    unix_offset_ms: u64,
    phase: Phase,
    places: u32,
    next_seq: u64,
    written: BTreeMap<u32, Written>,
    keys: Keys,
    waiting: BTreeMap<Ticket, Begin>,
    since_ms: BTreeMap<Ticket, u64>,
    gathered: Vec<Intent>,
    ends: Vec<EndNote>,
    ends_since_ms: Option<u64>,
    in_flight: Option<Batch>,
    /// Whether the write in flight has ended without an answer that settles it.
    is_open: bool,
    failures: u32,
    failing_since_ms: u64,
    is_away: bool,
    next_commit_ms: u64,
}

/// What a place of the log holds, as last seen.
#[derive(Debug)]
struct Written {
    modified: Revision,
    seq: u64,
    unix_ms: u64,
    keys: Vec<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The log has to be read at this time.
    LoadAt(u64),
    /// The log is being read.
    Loading,
    /// The log is known.
    Holding,
}

impl Ledger {
    /// A ledger that has yet to read its log; `writer` tells this holder from all others, and
    /// `unix_offset_ms` is wall time less the clock of `now_ms`.
    pub fn new(config: LedgerConfig, writer: u64, unix_offset_ms: u64) -> Self {
        let keys = Keys::new(config.answers_bytes);
        Self {
            places: config.slots,
            config,
            writer,
            unix_offset_ms,
            phase: Phase::LoadAt(0),
            next_seq: 0,
            written: BTreeMap::new(),
            keys,
            waiting: BTreeMap::new(),
            since_ms: BTreeMap::new(),
            gathered: Vec::new(),
            ends: Vec::new(),
            ends_since_ms: None,
            in_flight: None,
            is_open: false,
            failures: 0,
            failing_since_ms: 0,
            is_away: false,
            next_commit_ms: 0,
        }
    }

    /// Takes in one event and appends what is to be done to `out`.
    pub fn step(&mut self, event: Event, now_ms: u64, out: &mut Vec<Action>) {
        match event {
            Event::Loaded(log) => self.load(log, now_ms, out),
            Event::LoadFailed => {
                self.note_failure(now_ms);
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

    /// When [`Event::Tick`] is due at the latest, if ever.
    pub fn next_due_ms(&self) -> Option<u64> {
        if let Phase::LoadAt(at_ms) = self.phase {
            return Some(at_ms);
        }
        let has_work = !self.gathered.is_empty() || self.in_flight.is_some();
        has_work.then_some(self.next_commit_ms)
    }

    /// Whether nothing waits to be written or answered.
    pub fn is_idle(&self) -> bool {
        self.in_flight.is_none() && self.ends.is_empty() && self.waiting.is_empty()
    }

    /// Answers all that wait, such as when another host takes over.
    pub fn resign(&mut self, out: &mut Vec<Action>) {
        for (ticket, _) in std::mem::take(&mut self.waiting) {
            out.push(Action::Answer { ticket, verdict: KeyVerdict::NotHolder });
        }
        self.since_ms.clear();
    }

    fn load_due(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        if matches!(self.phase, Phase::LoadAt(at_ms) if now_ms >= at_ms) {
            self.phase = Phase::Loading;
            out.push(Action::Load);
        }
    }

    /// Takes in the whole log; what this holder granted itself stays open.
    fn load(&mut self, mut log: Vec<(Revision, Batch)>, now_ms: u64, out: &mut Vec<Action>) {
        log.sort_by_key(|(_, batch)| batch.seq);
        self.note_success();
        self.phase = Phase::Holding;
        self.written.clear();
        self.gathered.clear();
        self.in_flight = None;
        self.next_seq = log.last().map_or(0, |(_, batch)| batch.seq + 1);
        self.places = log.last().map_or(self.config.slots, |(_, batch)| batch.places);
        self.keys.begin_reload();
        for (modified, batch) in log {
            self.keys.replay(&batch, now_ms + self.config.end_wait_ms);
            self.note_written(modified, &batch);
        }
        self.keys.end_reload();
        let waiting = std::mem::take(&mut self.waiting);
        for begin in waiting.into_values() {
            self.begin(begin, now_ms, out);
        }
    }

    fn note_written(&mut self, modified: Revision, batch: &Batch) {
        let keys = batch.all_intents().map(|intent| intent.key.clone()).collect();
        let written = Written { modified, seq: batch.seq, unix_ms: batch.unix_ms, keys };
        self.written.insert(batch.place(), written);
    }

    fn begin(&mut self, begin: Begin, now_ms: u64, out: &mut Vec<Action>) {
        let ticket = begin.ticket;
        if self.is_away && !self.keys.is_recorded(&begin.key) {
            out.push(Action::Answer { ticket, verdict: KeyVerdict::Away });
            return;
        }
        if self.waiting.len() >= self.config.max_waiting {
            out.push(Action::Answer { ticket, verdict: KeyVerdict::Away });
            return;
        }
        let key = begin.key.clone();
        self.since_ms.entry(ticket).or_insert(now_ms);
        self.waiting.insert(ticket, begin);
        self.keys.wait(&key, ticket);
        if self.phase == Phase::Holding {
            self.decide(&key, now_ms, out);
        }
    }

    /// Answers or records what waits for a key, as far as its state tells.
    fn decide(&mut self, key: &str, now_ms: u64, out: &mut Vec<Action>) {
        for ticket in self.keys.waiting(key) {
            let Some(begin) = self.waiting.get(&ticket) else {
                self.keys.unwait(key, ticket);
                continue;
            };
            if let Some(claim) = self.keys.take_abandoned(begin) {
                let note = EndNote { key: key.to_owned(), claim, kind: EndKind::NotRun };
                self.ends.push(note);
                self.ends_since_ms.get_or_insert(now_ms);
            }
            match self.keys.judge(begin) {
                keys::Judgement::Say(verdict) => self.answer(key, ticket, verdict, out),
                keys::Judgement::Wait => {}
                keys::Judgement::Record => {
                    let (claim, digest, until_ms) = (begin.claim, begin.digest, begin.until_ms);
                    self.keys.set_pending(key, claim);
                    self.gathered.push(Intent { key: key.to_owned(), claim, digest, until_ms });
                }
            }
        }
    }

    fn answer(&mut self, key: &str, ticket: Ticket, verdict: KeyVerdict, out: &mut Vec<Action>) {
        self.waiting.remove(&ticket);
        self.since_ms.remove(&ticket);
        self.keys.unwait(key, ticket);
        out.push(Action::Answer { ticket, verdict });
    }

    fn abandon(&mut self, ticket: Ticket) {
        if let Some(begin) = self.waiting.remove(&ticket) {
            self.since_ms.remove(&ticket);
            self.keys.unwait(&begin.key, ticket);
        }
    }

    fn end(&mut self, end: End, now_ms: u64, out: &mut Vec<Action>) {
        let End { key, claim, answer } = end;
        let Some(kind) = self.keys.end(&key, claim, answer.clone()) else { return };
        self.note_end(EndNote { key: key.clone(), claim, kind }, now_ms);
        if self.phase != Phase::Holding {
            return;
        }
        if kind == EndKind::NotRun {
            for ticket in self.keys.waiting(&key) {
                self.answer(&key, ticket, KeyVerdict::Ended(answer.clone()), out);
            }
        }
        self.decide(&key, now_ms, out);
    }

    fn note_end(&mut self, note: EndNote, now_ms: u64) {
        self.ends.push(note);
        self.ends_since_ms.get_or_insert(now_ms);
    }

    fn committed(&mut self, result: CommitResult, now_ms: u64, out: &mut Vec<Action>) {
        let Some(batch) = self.in_flight.take() else { return };
        match result {
            CommitResult::Written(modified) => self.apply(modified, &batch, now_ms, out),
            CommitResult::Conflict(Some((modified, found))) if found == batch => {
                self.apply(modified, &batch, now_ms, out);
            }
            CommitResult::Conflict(_) => {
                self.give_back_ends(batch);
                self.gathered.clear();
                self.phase = Phase::LoadAt(now_ms);
            }
            CommitResult::Away | CommitResult::Lost => {
                self.note_failure(now_ms);
                self.in_flight = Some(batch);
                self.is_open = true;
                self.next_commit_ms = now_ms + self.pause_ms();
            }
        }
    }

    fn give_back_ends(&mut self, batch: Batch) {
        let mut ends = batch.ends;
        ends.append(&mut self.ends);
        self.ends = ends;
    }

    fn note_success(&mut self) {
        self.failures = 0;
        self.is_away = false;
    }

    /// Counts a call that did not succeed; after several the store is taken to be away.
    fn note_failure(&mut self, now_ms: u64) {
        if self.failures == 0 {
            self.failing_since_ms = now_ms;
        }
        self.failures += 1;
        let is_long = now_ms >= self.failing_since_ms + self.config.commit_wait_ms;
        self.is_away = is_long || self.failures >= AWAY_AFTER;
    }

    /// Time between two writes.
    fn pause_ms(&self) -> u64 {
        if self.is_away {
            return self.config.retry_ms;
        }
        self.config.commit_every_ms
    }

    fn apply(&mut self, modified: Revision, batch: &Batch, now_ms: u64, out: &mut Vec<Action>) {
        self.note_success();
        self.next_seq = batch.seq + 1;
        for intent in &batch.carried {
            self.keys.carry(intent, batch.seq);
        }
        if let Some(old) = self.written.remove(&batch.place()) {
            for key in &old.keys {
                self.keys.forget(key, old.seq);
            }
        }
        self.note_written(modified, batch);
        for intent in &batch.intents {
            self.grant(intent, batch.seq, now_ms, out);
            self.decide(&intent.key, now_ms, out);
        }
    }

    /// Lets the request of a recorded intent be sent, or takes the intent back if it left.
    fn grant(&mut self, intent: &Intent, seq: u64, now_ms: u64, out: &mut Vec<Action>) {
        let key = intent.key.as_str();
        self.keys.clear_pending(key);
        let claims = |ticket: &Ticket| {
            self.waiting.get(ticket).is_some_and(|begin| begin.claim == intent.claim)
        };
        match self.keys.waiting(key).into_iter().find(claims) {
            Some(ticket) => {
                self.keys.open(intent, seq);
                self.answer(key, ticket, KeyVerdict::Granted, out);
            }
            None => {
                let (key, kind) = (key.to_owned(), EndKind::NotRun);
                self.note_end(EndNote { key, claim: intent.claim, kind }, now_ms);
            }
        }
    }

    fn tick(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let oldest_ms = now_ms.saturating_sub(self.config.commit_wait_ms);
        let late: Vec<(Ticket, String)> = self
            .waiting
            .values()
            .filter(|begin| self.since_ms.get(&begin.ticket).is_some_and(|at| *at <= oldest_ms))
            .filter(|begin| !self.keys.is_recorded(&begin.key))
            .map(|begin| (begin.ticket, begin.key.clone()))
            .collect();
        for (ticket, key) in late {
            self.answer(&key, ticket, KeyVerdict::Away, out);
        }
        for key in self.keys.lapse(now_ms) {
            self.decide(&key, now_ms, out);
        }
    }

    /// Writes the next batch, or the one whose fate is open again.
    fn commit_due(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        if self.phase != Phase::Holding || now_ms < self.next_commit_ms {
            return;
        }
        let batch = match &self.in_flight {
            Some(batch) if self.is_open => batch.clone(),
            Some(_) => return,
            None => {
                let Some(batch) = self.next_batch(now_ms) else { return };
                batch
            }
        };
        let place = batch.place();
        let expect = match self.written.get(&place) {
            Some(written) => Expect::Modified(written.modified),
            None => Expect::Absent,
        };
        self.next_commit_ms = now_ms + self.pause_ms();
        self.is_open = false;
        self.in_flight = Some(batch.clone());
        let timeout_ms = self.config.commit_timeout_ms << self.failures.min(MAX_DOUBLINGS);
        out.push(Action::Commit { place, expect, batch, timeout_ms });
    }

    fn next_batch(&mut self, now_ms: u64) -> Option<Batch> {
        let is_ends_due =
            self.ends_since_ms.is_some_and(|since_ms| now_ms >= since_ms + ENDS_WAIT_MS);
        if self.gathered.is_empty() && !is_ends_due {
            return None;
        }
        let unix_ms = now_ms + self.unix_offset_ms;
        let place = batch::place_of(self.next_seq, self.places);
        if let Some(old) = self.written.get(&place) {
            if unix_ms < old.unix_ms + self.config.retention_ms {
                self.next_commit_ms = now_ms + self.config.commit_every_ms;
                return None;
            }
        }
        let count = self.gathered.len().min(self.config.max_batch);
        let intents: Vec<Intent> = self.gathered.drain(..count).collect();
        let carried = match self.written.get(&place) {
            Some(old) => {
                old.keys.iter().filter_map(|key| self.keys.open_intent(key, old.seq)).collect()
            }
            None => Vec::new(),
        };
        let count = self.ends.len().min(self.config.max_batch);
        let ends: Vec<EndNote> = self.ends.drain(..count).collect();
        self.ends_since_ms = (!self.ends.is_empty()).then_some(now_ms);
        let (seq, writer, places) = (self.next_seq, self.writer, self.places);
        Some(Batch { seq, writer, unix_ms, places, ends, carried, intents })
    }
}
