//! What the holder of a ledger knows of each key.

use std::collections::{BTreeSet, VecDeque};

use crate::collections::HashMap;
use crate::entry::peer::PeerAnswer;
use crate::outcome::Outcome;

use super::batch::{Batch, EndKind, Intent};
use super::{Begin, Claim, KeyVerdict, Ticket};

/// A recorded key.
#[derive(Clone, Debug)]
pub(super) struct Record {
    claim: Claim,
    digest: u64,
    seq: u64,
    state: RecordState,
}

/// How far the run of a recorded key got.
#[derive(Clone, Debug)]
pub(super) enum RecordState {
    /// Its end is waited for.
    Open {
        /// End of the wait, on the monotonic clock.
        until_ms: u64,
    },
    /// It may have run.
    Doubt,
    /// It ran; the answer is kept within the limit of memory.
    Done(Option<PeerAnswer>),
}

impl Record {
    /// A record of `intent`, written as number `seq`.
    pub(super) fn new(intent: &Intent, seq: u64, state: RecordState) -> Self {
        Self { claim: intent.claim, digest: intent.digest, seq, state }
    }
}

/// What is to be done with a waiting request.
#[derive(Clone, Debug)]
pub(super) enum Judgement {
    /// Tell it this.
    Say(KeyVerdict),
    /// Leave it waiting.
    Wait,
    /// Record its intent.
    Record,
}

/// All keys of a ledger.
#[derive(Debug)]
pub(super) struct Keys {
    records: HashMap<String, Record>,
    waiting: HashMap<String, Vec<Ticket>>,
    pending: HashMap<String, Claim>,
    before: HashMap<String, Record>,
    lapses: BTreeSet<(u64, String)>,
    answers: VecDeque<(String, Claim, usize)>,
    answers_bytes: usize,
    answers_limit_bytes: usize,
}

impl Keys {
    /// No keys; answers are kept up to a limit in bytes.
    pub(super) fn new(answers_limit_bytes: usize) -> Self {
        Self {
            records: HashMap::default(),
            waiting: HashMap::default(),
            pending: HashMap::default(),
            before: HashMap::default(),
            lapses: BTreeSet::new(),
            answers: VecDeque::new(),
            answers_bytes: 0,
            answers_limit_bytes,
        }
    }

    /// Whether the key is recorded.
    pub(super) fn is_recorded(&self, key: &str) -> bool {
        self.records.contains_key(key)
    }

    /// Notes that a request waits for a key.
    pub(super) fn wait(&mut self, key: &str, ticket: Ticket) {
        let tickets = self.waiting.entry(key.to_owned()).or_default();
        if !tickets.contains(&ticket) {
            tickets.push(ticket);
        }
    }

    /// Notes that a request no longer waits.
    pub(super) fn unwait(&mut self, key: &str, ticket: Ticket) {
        if let Some(tickets) = self.waiting.get_mut(key) {
            tickets.retain(|waiting| *waiting != ticket);
            if tickets.is_empty() {
                self.waiting.remove(key);
            }
        }
    }

    /// Requests that wait for a key, in the order in which they came.
    pub(super) fn waiting(&self, key: &str) -> Vec<Ticket> {
        self.waiting.get(key).cloned().unwrap_or_default()
    }

    /// What a waiting request is told, if the key's state settles it.
    pub(super) fn judge(&self, begin: &Begin) -> Judgement {
        let Some(record) = self.records.get(&begin.key) else {
            let is_pending = self.pending.contains_key(&begin.key);
            return if is_pending { Judgement::Wait } else { Judgement::Record };
        };
        if record.digest != begin.digest {
            return Judgement::Say(KeyVerdict::Mismatch);
        }
        match &record.state {
            RecordState::Open { .. } => Judgement::Wait,
            RecordState::Done(Some(answer)) => Judgement::Say(KeyVerdict::Ended(answer.clone())),
            RecordState::Doubt | RecordState::Done(None) => Judgement::Say(KeyVerdict::InDoubt),
        }
    }

    /// Frees a key whose recorded run was given up by the same request before it was sent.
    pub(super) fn take_abandoned(&mut self, begin: &Begin) -> Option<Claim> {
        let claim = self.records.get(&begin.key)?.claim;
        if !begin.abandoned.contains(&claim) {
            return None;
        }
        self.records.remove(&begin.key);
        Some(claim)
    }

    /// Notes that the intent of a key is on its way into the log.
    pub(super) fn set_pending(&mut self, key: &str, claim: Claim) {
        self.pending.insert(key.to_owned(), claim);
    }

    /// Notes that the intent of a key is written.
    pub(super) fn clear_pending(&mut self, key: &str) {
        self.pending.remove(key);
    }

    /// Records a key that is granted.
    pub(super) fn open(&mut self, intent: &Intent, seq: u64) {
        let state = RecordState::Open { until_ms: intent.until_ms };
        self.lapses.insert((intent.until_ms, intent.key.clone()));
        self.records.insert(intent.key.clone(), Record::new(intent, seq, state));
    }

    /// Notes that the record of an open key was written anew as number `seq`.
    pub(super) fn carry(&mut self, intent: &Intent, seq: u64) {
        if let Some(record) = self.records.get_mut(&intent.key) {
            if record.claim == intent.claim {
                record.seq = seq;
            }
        }
    }

    /// The intent of an open key whose record was written as number `seq`.
    pub(super) fn open_intent(&self, key: &str, seq: u64) -> Option<Intent> {
        let record = self.records.get(key).filter(|record| record.seq == seq)?;
        let RecordState::Open { until_ms } = record.state else { return None };
        let Record { claim, digest, .. } = *record;
        Some(Intent { key: key.to_owned(), claim, digest, until_ms })
    }

    /// Takes in the end of a key's run; nothing if it is not the run that is recorded.
    pub(super) fn end(&mut self, key: &str, claim: Claim, answer: PeerAnswer) -> Option<EndKind> {
        let record = self.records.get_mut(key).filter(|record| record.claim == claim)?;
        if matches!(record.state, RecordState::Done(_)) {
            return None;
        }
        let (kind, state) = match &answer {
            PeerAnswer::Answered { .. } => (EndKind::Done, RecordState::Done(Some(answer))),
            PeerAnswer::Ended { outcome: Outcome::NotRun, .. } => {
                self.records.remove(key);
                return Some(EndKind::NotRun);
            }
            PeerAnswer::Ended { .. } => (EndKind::Unknown, RecordState::Doubt),
        };
        record.state = state;
        if kind == EndKind::Done {
            self.keep_answer(key, claim);
        }
        Some(kind)
    }

    fn keep_answer(&mut self, key: &str, claim: Claim) {
        let Some(record) = self.records.get(key) else { return };
        let RecordState::Done(Some(answer)) = &record.state else { return };
        let bytes = answer_bytes(answer);
        self.answers.push_back((key.to_owned(), claim, bytes));
        self.answers_bytes += bytes;
        while self.answers_bytes > self.answers_limit_bytes {
            let Some((key, claim, bytes)) = self.answers.pop_front() else { return };
            self.answers_bytes -= bytes;
            if let Some(record) = self.records.get_mut(&key) {
                if record.claim == claim {
                    record.state = RecordState::Done(None);
                }
            }
        }
    }

    /// Forgets a key if its last record was written as number `seq`.
    pub(super) fn forget(&mut self, key: &str, seq: u64) {
        if self.records.get(key).is_some_and(|record| record.seq == seq) {
            self.records.remove(key);
        }
    }

    /// Puts runs in doubt whose end is no longer waited for; returns their keys.
    pub(super) fn lapse(&mut self, now_ms: u64) -> Vec<String> {
        let mut lapsed = Vec::new();
        while let Some((until_ms, key)) = self.lapses.first().cloned() {
            if until_ms > now_ms {
                break;
            }
            self.lapses.pop_first();
            let Some(record) = self.records.get_mut(&key) else { continue };
            let is_due =
                matches!(record.state, RecordState::Open { until_ms } if until_ms <= now_ms);
            if is_due {
                record.state = RecordState::Doubt;
                lapsed.push(key);
            }
        }
        lapsed
    }

    /// Sets everything aside until the log has been replayed.
    pub(super) fn begin_reload(&mut self) {
        self.before = std::mem::take(&mut self.records);
        self.waiting.clear();
        self.pending.clear();
    }

    /// Takes in one write of the log; ends that it lacks are waited for until `until_ms`.
    pub(super) fn replay(&mut self, batch: &Batch, until_ms: u64) {
        for note in &batch.ends {
            let Some(record) = self.records.get_mut(&note.key) else { continue };
            if record.claim != note.claim {
                continue;
            }
            match note.kind {
                EndKind::Done => record.state = RecordState::Done(None),
                EndKind::Unknown => record.state = RecordState::Doubt,
                EndKind::NotRun => {
                    self.records.remove(&note.key);
                }
            }
        }
        for intent in batch.all_intents() {
            let record = Record::new(intent, batch.seq, RecordState::Open { until_ms });
            self.lapses.insert((until_ms, intent.key.clone()));
            self.records.insert(intent.key.clone(), record);
        }
    }

    /// Brings back what this holder knew of runs that the log says no more of.
    pub(super) fn end_reload(&mut self) {
        for (key, known) in std::mem::take(&mut self.before) {
            let Some(record) = self.records.get_mut(&key) else { continue };
            if record.claim != known.claim {
                continue;
            }
            let is_more = matches!(
                (&record.state, &known.state),
                (RecordState::Open { .. }, _)
                    | (RecordState::Done(None), RecordState::Done(Some(_)))
            );
            if is_more {
                record.state = known.state;
            }
        }
    }
}

/// Memory that a kept answer takes, in bytes.
fn answer_bytes(answer: &PeerAnswer) -> usize {
    const OVERHEAD_BYTES: usize = 256;
    match answer {
        PeerAnswer::Answered { headers, body, .. } => {
            let headers: usize = headers.iter().map(|(name, value)| name.len() + value.len()).sum();
            OVERHEAD_BYTES + headers + body.len()
        }
        PeerAnswer::Ended { .. } => OVERHEAD_BYTES,
    }
}
