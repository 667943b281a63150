//! Messages of the platform's key-value service.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Path at which the service takes operations.
pub const PATH: &str = "/v1/store";

/// Largest value that the service takes, in bytes.
pub const VALUE_LIMIT_BYTES: usize = 1_000_000;

/// A point in the history of the whole store; grows with every write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Revision(pub u64);

/// A lease; keys that hang on it are removed when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct LeaseId(pub u64);

/// A key with its value and history.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Bytes,
    /// Revision at which the key was created.
    pub created: Revision,
    /// Revision of the last write.
    pub modified: Revision,
    /// Lease that the key hangs on.
    pub lease: Option<LeaseId>,
}

/// State of a key that a write depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Expect {
    /// Any state.
    Any,
    /// The key does not exist.
    Absent,
    /// The last write of the key was at this revision.
    Modified(Revision),
}

/// One operation; each counts as one call.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum Operation {
    /// Reads a key.
    Get {
        /// Key.
        key: String,
    },
    /// Reads all keys with a prefix.
    List {
        /// Prefix.
        prefix: String,
    },
    /// Writes a key if it is as expected.
    Put {
        /// Key.
        key: String,
        /// New value.
        value: Bytes,
        /// Condition.
        expect: Expect,
        /// Lease for the key.
        lease: Option<LeaseId>,
    },
    /// Removes a key if it is as expected.
    Delete {
        /// Key.
        key: String,
        /// Condition.
        expect: Expect,
    },
    /// Writes and removes several keys, all or none.
    Commit {
        /// Keys and the state that each must be in.
        conditions: Vec<(String, Expect)>,
        /// Keys with their new values and leases.
        puts: Vec<(String, Bytes, Option<LeaseId>)>,
        /// Keys that are removed.
        deletes: Vec<String>,
    },
    /// Grants a lease.
    Grant {
        /// Time to live after each renewal, in milliseconds.
        ttl_ms: u64,
    },
    /// Renews a lease.
    Renew {
        /// Lease.
        lease: LeaseId,
    },
    /// Ends a lease and removes its keys.
    Revoke {
        /// Lease.
        lease: LeaseId,
    },
    /// Waits for writes after a revision to keys with a prefix.
    Watch {
        /// Prefix.
        prefix: String,
        /// Revision after which changes are wanted.
        after: Revision,
        /// Longest wait, in milliseconds.
        wait_ms: u64,
    },
}

impl Operation {
    /// Whether the operation changes the store.
    pub fn is_write(&self) -> bool {
        !matches!(self, Self::Get { .. } | Self::List { .. } | Self::Watch { .. })
    }

    /// Name of the kind of operation, for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Get { .. } => "get",
            Self::List { .. } => "list",
            Self::Put { .. } => "put",
            Self::Delete { .. } => "delete",
            Self::Commit { .. } => "commit",
            Self::Grant { .. } => "grant",
            Self::Renew { .. } => "renew",
            Self::Revoke { .. } => "revoke",
            Self::Watch { .. } => "watch",
        }
    }
}

/// One change of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Change {
    /// Revision of the change.
    pub revision: Revision,
    /// Key that changed.
    pub key: String,
    /// What it holds since then; nothing if it was removed.
    pub entry: Option<Entry>,
}

/// Answer to an [`Operation`].
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum Answer {
    /// To `Get`.
    Entry {
        /// The key, if it exists.
        entry: Option<Entry>,
    },
    /// To `List`.
    Entries {
        /// Revision at which the keys were read.
        revision: Revision,
        /// The keys in order.
        entries: Vec<Entry>,
    },
    /// To `Put` and `Delete` that took effect.
    Written {
        /// Revision of the write.
        revision: Revision,
    },
    /// To `Put` and `Delete` whose condition did not hold.
    Conflict {
        /// What the key holds.
        current: Option<Entry>,
    },
    /// To `Commit` whose conditions did not all hold: what their keys hold now.
    Conflicts {
        /// The keys that exist.
        entries: Vec<Entry>,
    },
    /// To `Grant`.
    Granted {
        /// The lease.
        lease: LeaseId,
    },
    /// To `Renew` and `Revoke`.
    Renewed,
    /// The lease of the operation has ended.
    LeaseGone,
    /// To `Watch`: changes in order, none if the wait ended first.
    Changes {
        /// Revision up to which the changes are complete.
        revision: Revision,
        /// The changes.
        changes: Vec<Change>,
    },
    /// To `Watch`: the history after the revision is no longer kept.
    Compacted {
        /// Oldest revision after which a watch can begin.
        oldest: Revision,
    },
    /// The value is larger than the limit.
    TooLarge,
    /// The service takes no more calls now.
    Overloaded {
        /// When another try makes sense, in milliseconds.
        retry_after_ms: u64,
    },
}

impl Answer {
    /// The error that stands for an answer which the operation did not ask for.
    pub fn unexpected(self) -> StoreError {
        match self {
            Self::LeaseGone => StoreError::LeaseGone,
            Self::TooLarge => StoreError::TooLarge,
            Self::Overloaded { retry_after_ms } => StoreError::Overloaded { retry_after_ms },
            other => StoreError::Lost(format!("unexpected answer {other:?}")),
        }
    }
}

/// Why an operation gave no answer of its own.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum StoreError {
    /// The operation certainly took no effect.
    #[error("the store is away: {0}")]
    Away(String),
    /// The answer was lost; the operation may have taken effect.
    #[error("the store's answer was lost: {0}")]
    Lost(String),
    /// The lease has ended.
    #[error("the lease has ended")]
    LeaseGone,
    /// The value is larger than the limit.
    #[error("the value is larger than {VALUE_LIMIT_BYTES} bytes")]
    TooLarge,
    /// The service takes no more calls now.
    #[error("the store is overloaded")]
    Overloaded {
        /// When another try makes sense, in milliseconds.
        retry_after_ms: u64,
    },
    /// The process has used up its own budget of calls.
    #[error("the budget of store calls is used up")]
    OverBudget,
}

impl StoreError {
    /// Whether the operation certainly took no effect.
    pub fn is_certain(&self) -> bool {
        !matches!(self, Self::Lost(_))
    }
}
