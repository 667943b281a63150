//! Records of the ledger's log, as they are stored.

use serde::{Deserialize, Serialize};

use super::Claim;

/// The recorded intent to run a key, written before the request is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Intent {
    /// Service and idempotency key, `service/key`.
    pub key: String,
    /// Attempt that is to run.
    pub claim: Claim,
    /// Digest of the request body, to detect another request under the same key.
    pub digest: u64,
    /// Time after which the holder stops waiting for the end of the run, in milliseconds on the
    /// writer's monotonic clock.
    pub until_ms: u64,
}

/// How the run of a key ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum EndKind {
    /// It ran, and its caller received the whole answer.
    Done,
    /// It certainly did not run; the key is free again.
    NotRun,
    /// It may have run.
    Unknown,
}

/// The recorded end of a key's run.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EndNote {
    /// Service and idempotency key, `service/key`.
    pub key: String,
    /// Attempt that ended.
    pub claim: Claim,
    /// How it ended.
    pub kind: EndKind,
}

/// One write of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Batch {
    /// Sequence number of the write, from 0.
    pub seq: u64,
    /// Identifies the holder that wrote it, and its term.
    pub writer: u64,
    /// Wall time of the write, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Slots of the log's ring buffer.
    #[serde(rename = "places")]
    pub slot_count: u32,
    /// Ends of runs; a reader applies them before the intents of the same batch.
    pub ends: Vec<EndNote>,
    /// Intents of runs that are still open and whose record this write overwrites.
    pub carried: Vec<Intent>,
    /// New intents.
    pub intents: Vec<Intent>,
}

impl Batch {
    /// Slot of the log that the batch is written to.
    pub fn slot(&self) -> u32 {
        slot_of(self.seq, self.slot_count)
    }

    /// All intents that a reader of the log has to apply: those carried over and the new ones.
    pub fn all_intents(&self) -> impl Iterator<Item = &Intent> {
        self.carried.iter().chain(&self.intents)
    }
}

/// Slot of the batch with sequence number `seq` in a log of `slot_count` slots.
///
/// ```
/// use hemlockrock::ledger::batch;
///
/// assert_eq!(batch::slot_of(7, 5), 2);
/// ```
pub fn slot_of(seq: u64, slot_count: u32) -> u32 {
    u32::try_from(seq % u64::from(slot_count.max(1))).unwrap_or(0)
}
