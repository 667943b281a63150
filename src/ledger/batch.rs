//! Records of the ledger's log.

use serde::{Deserialize, Serialize};

use super::Claim;

/// The intent to run a key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Intent {
    /// Service and idempotency key.
    pub key: String,
    /// The submission.
    pub claim: Claim,
    /// Digest of the request.
    pub digest: u64,
    /// Time after which the end is no longer waited for, on the writer's monotonic clock.
    pub until_ms: u64,
}

/// How a key's run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum EndKind {
    /// It ran, and its caller has the whole answer.
    Done,
    /// It did not run; the key is free again.
    NotRun,
    /// It may have run.
    Unknown,
}

/// The end of a key's run.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EndNote {
    /// Service and idempotency key.
    pub key: String,
    /// The submission.
    pub claim: Claim,
    /// How it ended.
    pub kind: EndKind,
}

/// One write of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Batch {
    /// Number of the write, from 0.
    pub seq: u64,
    /// Holder that wrote it.
    pub writer: u64,
    /// Wall time of the write, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Places of the log.
    pub places: u32,
    /// Ends; they come before the intents of the same write.
    pub ends: Vec<EndNote>,
    /// Runs that are open and whose record would be overwritten.
    pub carried: Vec<Intent>,
    /// New intents.
    pub intents: Vec<Intent>,
}

impl Batch {
    /// Place of the log that the write goes to.
    pub fn place(&self) -> u32 {
        place_of(self.seq, self.places)
    }

    /// All intents that a reader of the log has to know.
    pub fn all_intents(&self) -> impl Iterator<Item = &Intent> {
        self.carried.iter().chain(&self.intents)
    }
}

/// Place of the write with number `seq` in a log of `places`.
///
/// ```
/// use hemlockrock::ledger::batch;
///
/// assert_eq!(batch::place_of(7, 5), 2);
/// ```
pub fn place_of(seq: u64, places: u32) -> u32 {
    u32::try_from(seq % u64::from(places.max(1))).unwrap_or(0)
}
