//! Events, actions and shared types of a ledger.

use serde::{Deserialize, Serialize};

use crate::entry::peer::PeerAnswer;
use crate::store::{Expect, Revision};

use super::batch::Batch;

/// Identifies one waiting request at the holder, so that the result reaches it. Unique in its
/// process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Ticket(pub u64);

/// Identifies one attempt to run a key; a random number chosen by the entry host that would send
/// the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Claim(pub u64);

/// A request that asks for permission to run under its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Begin {
    /// Identifies the request in [`Action::Answer`].
    pub ticket: Ticket,
    /// Service and idempotency key, `service/key`.
    pub key: String,
    /// Digest of the request body, to detect another request under the same key.
    pub digest: u64,
    /// This attempt.
    pub claim: Claim,
    /// Earlier attempts of the same request. Any grant that they got was not used.
    pub abandoned: Vec<Claim>,
    /// Time after which the holder stops waiting for the end of the run, in milliseconds on the
    /// clock of `now_ms`.
    pub until_ms: u64,
}

/// The end of a request that was granted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct End {
    /// Service and idempotency key, `service/key`.
    pub key: String,
    /// Attempt that was granted.
    pub claim: Claim,
    /// Answer that the caller got.
    pub answer: PeerAnswer,
}

/// Answer of the ledger to a [`Begin`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum BeginResult {
    /// The intent is recorded; the request may be sent once.
    Granted,
    /// The key has already ended with this answer, which the caller gets as well.
    Ended(PeerAnswer),
    /// The key may have run.
    InDoubt,
    /// The key was used for a request with another body.
    Mismatch,
    /// The key cannot be recorded: the store is unreachable or too many requests wait.
    Away,
    /// This host does not hold the ledger of the key's zone.
    NotHolder,
    /// The key is still running; the caller should ask again.
    Running,
}

/// Result of a write to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitResult {
    /// Written at this revision.
    Written(Revision),
    /// The slot held something else than expected; `None` if it was empty or unreadable.
    Conflict(Option<(Revision, Batch)>),
    /// Certainly not written; the store is unreachable or refused the write.
    Away,
    /// The answer was lost; the batch may have been written.
    Lost,
}

impl CommitResult {
    /// Value of the metric label `result`.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Written(_) => "written",
            Self::Conflict(_) => "conflict",
            Self::Away => "away",
            Self::Lost => "lost",
        }
    }
}

/// Input of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The whole log was read, with the revision of each batch.
    Loaded(Vec<(Revision, Batch)>),
    /// The log could not be read.
    LoadFailed,
    /// A request asks to run under its key.
    Begin(Begin),
    /// A request stopped waiting.
    Abandon(Ticket),
    /// A granted request ended.
    End(End),
    /// The write of [`Action::Commit`] ended.
    Committed(CommitResult),
    /// Time passed; sent when [`super::Ledger::next_due_ms`] is reached.
    Tick,
}

/// Output of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the whole log. The caller must follow up with [`Event::Loaded`] or
    /// [`Event::LoadFailed`].
    Load,
    /// Write one slot of the log. The caller must follow up with [`Event::Committed`].
    Commit {
        /// Slot of the log.
        slot: u32,
        /// Condition of the write: the revision that the slot must have.
        expect: Expect,
        /// Content to write.
        batch: Batch,
        /// Time after which the answer counts as lost, in milliseconds.
        timeout_ms: u64,
    },
    /// Answer a waiting request.
    Answer {
        /// Identifies the request.
        ticket: Ticket,
        /// Answer of the ledger.
        result: BeginResult,
    },
}
