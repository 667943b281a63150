//! Events and actions of a ledger.

use serde::{Deserialize, Serialize};

use crate::entry::peer::PeerAnswer;
use crate::store::{Expect, Revision};

use super::batch::Batch;

/// A request that waits for what the ledger says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Ticket(pub u64);

/// One submission of a key, chosen by the entry host that would run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Claim(pub u64);

/// A request that wants to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Begin {
    /// Takes the verdict.
    pub ticket: Ticket,
    /// Service and idempotency key.
    pub key: String,
    /// Digest of the request, so that another request under the same key is seen.
    pub digest: u64,
    /// The submission.
    pub claim: Claim,
    /// Earlier submissions of the same request whose grant, if any, was never taken up.
    pub abandoned: Vec<Claim>,
    /// Time after which its end is no longer waited for, on the clock of `now_ms`.
    pub until_ms: u64,
}

/// What became of a request that was granted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct End {
    /// Service and idempotency key.
    pub key: String,
    /// The submission.
    pub claim: Claim,
    /// What its caller was told.
    pub answer: PeerAnswer,
}

/// What the ledger says about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum KeyVerdict {
    /// It is recorded and may be sent now, once.
    Granted,
    /// The key has run; this is what its caller was told.
    Ended(PeerAnswer),
    /// The key may have run.
    InDoubt,
    /// The key was used for another request.
    Mismatch,
    /// The key cannot be recorded now.
    Away,
    /// This host does not hold the ledger of the key's zone.
    NotHolder,
    /// The key runs; its end is to be asked for again.
    Running,
}

/// How a write of the log ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitResult {
    /// Written at this revision.
    Written(Revision),
    /// The place held something else; nothing if it was empty.
    Conflict(Option<(Revision, Batch)>),
    /// Certainly not written, and the store is away.
    Away,
    /// It may have been written.
    Lost,
}

impl CommitResult {
    /// The result as metrics carry it.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Written(_) => "written",
            Self::Conflict(_) => "conflict",
            Self::Away => "away",
            Self::Lost => "lost",
        }
    }
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The whole log was read.
    Loaded(Vec<(Revision, Batch)>),
    /// The log could not be read.
    LoadFailed,
    /// A request wants to run.
    Begin(Begin),
    /// A request no longer waits.
    Abandon(Ticket),
    /// A granted request ended.
    End(End),
    /// The write of the log ended.
    Committed(CommitResult),
    /// Time passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the whole log; [`Event::Loaded`] or [`Event::LoadFailed`] must follow.
    Load,
    /// Write a place of the log; [`Event::Committed`] must follow.
    Commit {
        /// Place of the log.
        place: u32,
        /// What the place has to hold.
        expect: Expect,
        /// What is written.
        batch: Batch,
        /// Time after which the answer is taken as lost, in milliseconds.
        timeout_ms: u64,
    },
    /// Tell a waiting request.
    Answer {
        /// The request.
        ticket: Ticket,
        /// What the ledger says.
        verdict: KeyVerdict,
    },
}
