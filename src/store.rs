//! The platform's key-value service: compare-and-swap, leases and watches.
//!
//! Everything that must last goes through [`Store`]. The daemons use
//! [`client::HttpStore`]; the pure models in tests bring their own.

pub mod api;
pub mod backoff;
pub mod breaker;
pub mod budget;
pub mod client;
pub mod gate;
pub mod metrics;
pub mod mirror;
pub mod settle;

use std::fmt::Debug;
use std::future::Future;
use std::pin::Pin;

use bytes::Bytes;

pub use api::{Answer, Entry, Expect, LeaseId, Operation, Revision, StoreError};

/// A boxed future, so that [`Store`] can be used behind a pointer.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// How urgent a call is when the budget of calls is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Leases and what keeps daemons in charge of what they hold.
    Control,
    /// Records that a caller waits for.
    Record,
    /// Everything that can wait.
    Bulk,
}

/// The platform's key-value service.
pub trait Store: Send + Sync + Debug {
    /// Carries out one operation.
    ///
    /// # Errors
    /// [`StoreError`] tells whether the operation can have taken effect.
    fn call(
        &self,
        operation: Operation,
        priority: Priority,
    ) -> BoxFuture<'_, Result<Answer, StoreError>>;
}

/// Reads one key.
///
/// # Errors
/// As [`Store::call`].
pub async fn get(
    store: &dyn Store,
    key: impl Into<String>,
    priority: Priority,
) -> Result<Option<Entry>, StoreError> {
    match store.call(Operation::Get { key: key.into() }, priority).await? {
        Answer::Entry { entry } => Ok(entry),
        other => Err(other.unexpected()),
    }
}

/// Reads all keys that begin with `prefix`, and the revision at which they were read.
///
/// # Errors
/// As [`Store::call`].
pub async fn list(
    store: &dyn Store,
    prefix: impl Into<String>,
    priority: Priority,
) -> Result<(Revision, Vec<Entry>), StoreError> {
    match store.call(Operation::List { prefix: prefix.into() }, priority).await? {
        Answer::Entries { revision, entries } => Ok((revision, entries)),
        other => Err(other.unexpected()),
    }
}

/// One conditional write.
#[derive(Clone, Debug)]
pub struct Put {
    /// Key that is written.
    pub key: String,
    /// New value, at most 1 MB.
    pub value: Bytes,
    /// State of the key that the write depends on.
    pub expect: Expect,
    /// Lease whose end removes the key.
    pub lease: Option<LeaseId>,
}

/// How a conditional write ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// The value is stored at this revision.
    Written(Revision),
    /// The key was not as expected; what it holds now.
    Conflict(Option<Entry>),
}

/// Writes one key if it is as expected.
///
/// # Errors
/// As [`Store::call`]; [`StoreError::LeaseGone`] when the lease has ended.
pub async fn put(
    store: &dyn Store,
    put: Put,
    priority: Priority,
) -> Result<PutOutcome, StoreError> {
    let Put { key, value, expect, lease } = put;
    match store.call(Operation::Put { key, value, expect, lease }, priority).await? {
        Answer::Written { revision } => Ok(PutOutcome::Written(revision)),
        Answer::Conflict { current } => Ok(PutOutcome::Conflict(current)),
        other => Err(other.unexpected()),
    }
}

/// Removes one key if it is as expected.
///
/// # Errors
/// As [`Store::call`].
pub async fn delete(
    store: &dyn Store,
    key: impl Into<String>,
    expect: Expect,
    priority: Priority,
) -> Result<PutOutcome, StoreError> {
    match store.call(Operation::Delete { key: key.into(), expect }, priority).await? {
        Answer::Written { revision } => Ok(PutOutcome::Written(revision)),
        Answer::Conflict { current } => Ok(PutOutcome::Conflict(current)),
        other => Err(other.unexpected()),
    }
}

/// Grants a lease that ends `ttl_ms` after its last renewal.
///
/// # Errors
/// As [`Store::call`].
pub async fn grant(store: &dyn Store, ttl_ms: u64) -> Result<LeaseId, StoreError> {
    match store.call(Operation::Grant { ttl_ms }, Priority::Control).await? {
        Answer::Granted { lease } => Ok(lease),
        other => Err(other.unexpected()),
    }
}

/// Renews a lease.
///
/// # Errors
/// As [`Store::call`]; [`StoreError::LeaseGone`] when the lease has ended.
pub async fn renew(store: &dyn Store, lease: LeaseId) -> Result<(), StoreError> {
    match store.call(Operation::Renew { lease }, Priority::Control).await? {
        Answer::Renewed => Ok(()),
        other => Err(other.unexpected()),
    }
}

/// Several writes that take effect together or not at all.
#[derive(Clone, Debug, Default)]
pub struct Commit {
    /// Keys and the state that each must be in.
    pub conditions: Vec<(String, Expect)>,
    /// Keys with their new values and leases.
    pub puts: Vec<(String, Bytes, Option<LeaseId>)>,
    /// Keys that are removed.
    pub deletes: Vec<String>,
}

/// How a commit ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// All writes are stored at this revision.
    Written(Revision),
    /// Nothing was written; what the keys of the conditions hold.
    Conflict(Vec<Entry>),
}

/// Carries out several writes, all or none.
///
/// # Errors
/// As [`Store::call`]; [`StoreError::LeaseGone`] when a lease has ended.
pub async fn commit(
    store: &dyn Store,
    commit: Commit,
    priority: Priority,
) -> Result<CommitOutcome, StoreError> {
    let Commit { conditions, puts, deletes } = commit;
    match store.call(Operation::Commit { conditions, puts, deletes }, priority).await? {
        Answer::Written { revision } => Ok(CommitOutcome::Written(revision)),
        Answer::Conflicts { entries } => Ok(CommitOutcome::Conflict(entries)),
        other => Err(other.unexpected()),
    }
}

/// Changes of the keys that begin with `prefix` after a revision; waits up to `wait_ms` for one.
///
/// `None` when the history after that revision is gone.
///
/// # Errors
/// As [`Store::call`].
pub async fn watch(
    store: &dyn Store,
    prefix: impl Into<String>,
    after: Revision,
    wait_ms: u64,
) -> Result<Option<(Revision, Vec<api::Change>)>, StoreError> {
    let watch = Operation::Watch { prefix: prefix.into(), after, wait_ms };
    match store.call(watch, Priority::Control).await? {
        Answer::Changes { revision, changes } => Ok(Some((revision, changes))),
        Answer::Compacted { .. } => Ok(None),
        other => Err(other.unexpected()),
    }
}
