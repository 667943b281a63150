//! State of each idempotency key at the holder of a ledger.

use std::collections::{BTreeSet, VecDeque};

use crate::collections::HashMap;
use crate::entry::peer::PeerAnswer;
use crate::outcome::Outcome;

use super::batch::{Batch, EndKind, EndNote, Intent};
use super::{Begin, BeginResult, Claim, Ticket};

/// A key whose intent is in the log.
#[derive(Clone, Debug)]
pub(super) struct Record {
    claim: Claim,
    digest: u64,
    /// Sequence number of the batch that holds the key's latest record.
    seq: u64,
    state: RecordState,
}

/// Progress of a recorded key's run.
#[derive(Clone, Debug)]
pub(super) enum RecordState {
    /// Granted; its end has not been reported yet.
    Open {
        /// Time after which the run counts as in doubt, in milliseconds on the monotonic clock.
        until_ms: u64,
    },
    /// It may have run.
    InDoubt,
    /// It ran. The answer is `None` once it was dropped to stay within the memory limit.
    Done(Option<PeerAnswer>),
}

impl Record {
    /// Creates the record of `intent`, written in the batch with sequence number `seq`.
    pub(super) fn new(intent: &Intent, seq: u64, state: RecordState) -> Self {
        Self { claim: intent.claim, digest: intent.digest, seq, state }
    }
}

/// What the ledger does with a waiting request.
#[derive(Clone, Debug)]
pub(super) enum Decision {
    /// Answer it with this result.
    Answer(BeginResult),
    /// Keep it waiting.
    Wait,
    /// Write its intent to the log.
    Record,
}

/// All keys of one ledger.
#[derive(Debug)]
pub(super) struct Keys {
    records: HashMap<String, Record>,
    /// Waiting requests by key, in order of arrival.
    waiting: HashMap<String, Vec<Ticket>>,
    /// Keys whose intent is not written yet.
    pending: HashMap<String, Claim>,
    /// Records from before the reload that is in progress.
    before_reload: HashMap<String, Record>,
    /// End of the wait for each open key, on the monotonic clock.
    expirations: BTreeSet<(u64, String)>,
    /// Kept answers with their size in bytes, oldest first.
    answers: VecDeque<(String, Claim, usize)>,
    answers_bytes: usize,
    answers_limit_bytes: usize,
}

impl Keys {
    /// Creates an empty set of keys that keeps up to `answers_limit_bytes` of answers.
    pub(super) fn new(answers_limit_bytes: usize) -> Self {
        Self {
            records: HashMap::default(),
            waiting: HashMap::default(),
            pending: HashMap::default(),
            before_reload: HashMap::default(),
            expirations: BTreeSet::new(),
            answers: VecDeque::new(),
            answers_bytes: 0,
            answers_limit_bytes,
        }
    }

    pub(super) fn is_recorded(&self, key: &str) -> bool {
        self.records.contains_key(key)
    }

    pub(super) fn add_waiting(&mut self, key: &str, ticket: Ticket) {
        let tickets = self.waiting.entry(key.to_owned()).or_default();
        if !tickets.contains(&ticket) {
            tickets.push(ticket);
        }
    }

    pub(super) fn remove_waiting(&mut self, key: &str, ticket: Ticket) {
        if let Some(tickets) = self.waiting.get_mut(key) {
            tickets.retain(|waiting| *waiting != ticket);
            if tickets.is_empty() {
                self.waiting.remove(key);
            }
        }
    }

    /// Requests that wait for a key, in order of arrival.
    pub(super) fn waiting(&self, key: &str) -> Vec<Ticket> {
        self.waiting.get(key).cloned().unwrap_or_default()
    }

    /// What to do with a waiting request, given the state of its key.
    pub(super) fn decision_for(&self, begin: &Begin) -> Decision {
        let Some(record) = self.records.get(&begin.key) else {
            let is_pending = self.pending.contains_key(&begin.key);
            return if is_pending { Decision::Wait } else { Decision::Record };
        };
        if record.digest != begin.digest {
            return Decision::Answer(BeginResult::Mismatch);
        }
        match &record.state {
            RecordState::Open { .. } => Decision::Wait,
            RecordState::Done(Some(answer)) => Decision::Answer(BeginResult::Ended(answer.clone())),
            RecordState::InDoubt | RecordState::Done(None) => {
                Decision::Answer(BeginResult::InDoubt)
            }
        }
    }

    /// Frees a key if its recorded attempt is one that the same request abandoned before it was
    /// sent; returns that attempt.
    pub(super) fn take_abandoned(&mut self, begin: &Begin) -> Option<Claim> {
        let claim = self.records.get(&begin.key)?.claim;
        if !begin.abandoned.contains(&claim) {
            return None;
        }
        self.records.remove(&begin.key);
        Some(claim)
    }

    /// Marks a key whose intent waits to be written to the log.
    pub(super) fn set_pending(&mut self, key: &str, claim: Claim) {
        self.pending.insert(key.to_owned(), claim);
    }

    /// Removes the mark of [`Keys::set_pending`] once the intent is written.
    pub(super) fn clear_pending(&mut self, key: &str) {
        self.pending.remove(key);
    }

    /// Records a key whose request was granted.
    pub(super) fn open(&mut self, intent: &Intent, seq: u64) {
        let state = RecordState::Open { until_ms: intent.until_ms };
        self.expirations.insert((intent.until_ms, intent.key.clone()));
        self.records.insert(intent.key.clone(), Record::new(intent, seq, state));
    }

    /// Notes that the record of an open key was written again in batch `seq`.
    pub(super) fn update_seq(&mut self, intent: &Intent, seq: u64) {
        if let Some(record) = self.records.get_mut(&intent.key) {
            if record.claim == intent.claim {
                record.seq = seq;
            }
        }
    }

    /// The intent of a key that is open and whose latest record is in batch `seq`.
    pub(super) fn open_intent(&self, key: &str, seq: u64) -> Option<Intent> {
        let record = self.records.get(key).filter(|record| record.seq == seq)?;
        let RecordState::Open { until_ms } = record.state else { return None };
        let Record { claim, digest, .. } = *record;
        Some(Intent { key: key.to_owned(), claim, digest, until_ms })
    }

    /// Records the end of a key's run; `None` if `claim` is not the recorded attempt or has already
    /// ended.
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
            PeerAnswer::Ended { .. } => (EndKind::Unknown, RecordState::InDoubt),
        };
        record.state = state;
        if kind == EndKind::Done {
            self.keep_answer(key, claim);
        }
        Some(kind)
    }

    /// Adds the answer of a key to the kept ones and drops the oldest beyond the memory limit.
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

    /// Removes a key if its latest record is in batch `seq`.
    pub(super) fn forget(&mut self, key: &str, seq: u64) {
        if self.records.get(key).is_some_and(|record| record.seq == seq) {
            self.records.remove(key);
        }
    }

    /// Marks runs whose end is no longer waited for as in doubt; returns their keys.
    pub(super) fn expire(&mut self, now_ms: u64) -> Vec<String> {
        let mut expired = Vec::new();
        while let Some((until_ms, key)) = self.expirations.first().cloned() {
            if until_ms > now_ms {
                break;
            }
            self.expirations.pop_first();
            let Some(record) = self.records.get_mut(&key) else { continue };
            let is_due =
                matches!(record.state, RecordState::Open { until_ms } if until_ms <= now_ms);
            if is_due {
                record.state = RecordState::InDoubt;
                expired.push(key);
            }
        }
        expired
    }

    /// Sets all records aside until the log has been replayed.
    pub(super) fn begin_reload(&mut self) {
        self.before_reload = std::mem::take(&mut self.records);
        self.waiting.clear();
        self.pending.clear();
    }

    /// Applies one batch of the log. Runs without an end in the log are waited for until
    /// `until_ms`.
    pub(super) fn replay(&mut self, batch: &Batch, until_ms: u64) {
        self.replay_ends(&batch.ends);
        for intent in batch.all_intents() {
            let record = Record::new(intent, batch.seq, RecordState::Open { until_ms });
            self.expirations.insert((until_ms, intent.key.clone()));
            self.records.insert(intent.key.clone(), record);
        }
    }

    /// Applies ends that are in the log or not written yet.
    pub(super) fn replay_ends(&mut self, ends: &[EndNote]) {
        for note in ends {
            let Some(record) = self.records.get_mut(&note.key) else { continue };
            if record.claim != note.claim {
                continue;
            }
            match note.kind {
                EndKind::Done => record.state = RecordState::Done(None),
                EndKind::Unknown => record.state = RecordState::InDoubt,
                EndKind::NotRun => {
                    self.records.remove(&note.key);
                }
            }
        }
    }

    /// Restores the state that this holder had in memory where it is more precise than the log.
    pub(super) fn end_reload(&mut self) {
        for (key, known) in std::mem::take(&mut self.before_reload) {
            let Some(record) = self.records.get_mut(&key) else { continue };
            if record.claim != known.claim {
                continue;
            }
            let is_more_precise = matches!(
                (&record.state, &known.state),
                (RecordState::Open { .. }, _)
                    | (RecordState::Done(None), RecordState::Done(Some(_)))
            );
            if is_more_precise {
                record.state = known.state;
            }
        }
    }
}

/// Estimated memory of a kept answer, in bytes.
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
