//! Wire messages of the platform's key-value service.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// HTTP path to which operations are posted.
pub const PATH: &str = "/v1/store";

/// Largest value that the service accepts, in bytes.
pub const VALUE_LIMIT_BYTES: usize = 1_000_000;

/// Revision of the whole store; increases with every write. 0 is before the first write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Revision(pub u64);

/// Identifier of a lease. The keys attached to a lease are removed when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct LeaseId(pub u64);

/// A key with its value and revisions.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Entry {
    /// Key, a path such as `cell/members/entry/entry-1`.
    pub key: String,
    /// Value; the store does not interpret it.
    pub value: Bytes,
    /// Revision at which the key was created.
    pub created: Revision,
    /// Revision of the last write.
    pub modified: Revision,
    /// Lease that the key is attached to; `None` if the key stays until it is deleted.
    pub lease: Option<LeaseId>,
}

/// Precondition of a write: the state that a key must be in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Expect {
    /// No condition.
    Any,
    /// The key does not exist.
    Absent,
    /// The key exists and was last written at this revision.
    Modified(Revision),
}

/// One operation; each is one call in rate limits.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum Operation {
    /// Reads a key.
    Get {
        /// Key to read.
        key: String,
    },
    /// Reads all keys with a prefix.
    List {
        /// Prefix of the keys.
        prefix: String,
    },
    /// Reads some of the keys with a prefix, in key order.
    ListPage {
        /// Prefix of the keys.
        prefix: String,
        /// Key after which the page begins; `None` for the first page.
        after: Option<String>,
    },
    /// Writes a key if its condition holds.
    Put {
        /// Key to write.
        key: String,
        /// New value.
        value: Bytes,
        /// State that the key must be in.
        expect: Expect,
        /// Lease to attach the key to; `None` for a key without a lease.
        lease: Option<LeaseId>,
    },
    /// Removes a key if its condition holds.
    Delete {
        /// Key to remove.
        key: String,
        /// State that the key must be in.
        expect: Expect,
    },
    /// Writes and removes several keys in one transaction.
    Commit {
        /// Keys with the state that each must be in.
        conditions: Vec<(String, Expect)>,
        /// Keys to write, with their new values and leases.
        puts: Vec<(String, Bytes, Option<LeaseId>)>,
        /// Keys to remove.
        deletes: Vec<String>,
    },
    /// Creates a lease.
    Grant {
        /// Time to live after each renewal, in milliseconds.
        ttl_ms: u64,
    },
    /// Renews a lease.
    Renew {
        /// Lease to renew.
        lease: LeaseId,
    },
    /// Ends a lease and removes its keys.
    Revoke {
        /// Lease to end.
        lease: LeaseId,
    },
    /// Waits for writes after a revision to keys with a prefix.
    Watch {
        /// Prefix of the watched keys.
        prefix: String,
        /// Only changes after this revision are returned.
        after: Revision,
        /// Longest wait for the first change, in milliseconds.
        wait_ms: u64,
    },
}

impl Operation {
    /// Whether the operation counts against the write budget: everything except reads and watches.
    pub fn is_write(&self) -> bool {
        !matches!(
            self,
            Self::Get { .. } | Self::List { .. } | Self::ListPage { .. } | Self::Watch { .. }
        )
    }

    /// Name of the operation, as a metric label.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Get { .. } => "get",
            Self::List { .. } | Self::ListPage { .. } => "list",
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
    /// New entry; `None` if the key was removed.
    pub entry: Option<Entry>,
}

/// Answer to an [`Operation`].
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum Answer {
    /// Answer to `Get`.
    Entry {
        /// The entry; `None` if the key does not exist.
        entry: Option<Entry>,
    },
    /// Answer to `List`.
    Entries {
        /// Revision at which the keys were read.
        revision: Revision,
        /// Entries in key order.
        entries: Vec<Entry>,
    },
    /// Answer to `ListPage`.
    Page {
        /// Revision at which the page was read.
        revision: Revision,
        /// Entries in key order.
        entries: Vec<Entry>,
        /// Whether more keys follow.
        has_more: bool,
    },
    /// A `Put`, `Delete` or `Commit` took effect.
    Written {
        /// Revision of the write.
        revision: Revision,
    },
    /// A `Put` or `Delete` had no effect because its condition did not hold.
    Conflict {
        /// Current entry; `None` if the key does not exist.
        current: Option<Entry>,
    },
    /// A `Commit` had no effect because a condition did not hold.
    Conflicts {
        /// Current entries of the condition keys that exist.
        entries: Vec<Entry>,
    },
    /// Answer to `Grant`.
    Granted {
        /// The new lease.
        lease: LeaseId,
    },
    /// A `Renew` or `Revoke` took effect.
    Renewed,
    /// The operation had no effect because its lease has ended.
    LeaseGone,
    /// Answer to `Watch`.
    Changes {
        /// Revision up to which the changes are complete.
        revision: Revision,
        /// Changes in revision order; empty if none came within the wait.
        changes: Vec<Change>,
    },
    /// A `Watch` cannot be answered because the history after its revision was compacted.
    Compacted {
        /// Oldest revision from which a watch can start.
        oldest: Revision,
    },
    /// The operation had no effect because a value exceeds [`VALUE_LIMIT_BYTES`].
    TooLarge,
    /// The service refused the call because it is over its call rate.
    Overloaded {
        /// Time after which a retry is worthwhile, in milliseconds.
        retry_after_ms: u64,
    },
}

impl Answer {
    /// Converts an error answer, or an answer of a type that does not match the operation, into an
    /// error.
    pub fn into_error(self) -> StoreError {
        match self {
            Self::LeaseGone => StoreError::LeaseGone,
            Self::TooLarge => StoreError::TooLarge,
            Self::Overloaded { retry_after_ms } => StoreError::Overloaded { retry_after_ms },
            other => StoreError::Indeterminate(format!("unexpected answer {other:?}")),
        }
    }
}

/// Why an operation failed. All variants except [`StoreError::Indeterminate`] mean that it took no
/// effect.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum StoreError {
    /// The store cannot be reached or refuses calls; the operation was not executed.
    #[error("the store is unavailable: {0}")]
    Unavailable(String),
    /// The call failed, for example because its answer was lost; the operation may have taken
    /// effect.
    #[error("the store call failed and may have taken effect: {0}")]
    Indeterminate(String),
    /// The lease of the operation has ended.
    #[error("the lease has ended")]
    LeaseGone,
    /// A value exceeds [`VALUE_LIMIT_BYTES`].
    #[error("the value exceeds the limit of {VALUE_LIMIT_BYTES} bytes")]
    TooLarge,
    /// The service is over its call rate.
    #[error("the store is overloaded; retry after {retry_after_ms} ms")]
    Overloaded {
        /// Time after which a retry is worthwhile, in milliseconds.
        retry_after_ms: u64,
    },
    /// The call waited too long for this client's own call budget and was not sent.
    #[error("the client's budget of store calls is exhausted")]
    OverBudget,
}

impl StoreError {
    /// Whether the operation certainly took no effect, so that a retry is safe.
    pub fn is_not_executed(&self) -> bool {
        !matches!(self, Self::Indeterminate(_))
    }
}
