//! The platform's key-value service: compare-and-swap, leases and watches.
//!
//! All durable state goes through the [`Store`] trait. The daemons use
//! [`client::HttpStore`]; model tests use in-memory implementations.

pub mod admission;
pub mod api;
pub mod backoff;
pub mod breaker;
pub mod budget;
pub mod client;
pub mod metrics;
pub mod mirror;
pub mod pages;
pub mod retry;

use std::fmt::Debug;
use std::future::Future;
use std::pin::Pin;

use bytes::Bytes;

pub use api::{Answer, Entry, Expect, LeaseId, Operation, Revision, StoreError};

/// A boxed future, which keeps [`Store`] usable as a trait object.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Priority of a store call. When the call budget runs low, lower priorities wait first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Leases, watches and the records by which daemons keep ownership.
    Control,
    /// Reads and writes that a caller waits for.
    Interactive,
    /// Background work that tolerates delay.
    Bulk,
}

/// A client of the platform's key-value service.
pub trait Store: Send + Sync + Debug {
    /// Executes one operation.
    ///
    /// # Errors
    /// [`StoreError::is_not_executed`] tells whether the operation may have taken effect.
    fn call(
        &self,
        operation: Operation,
        priority: Priority,
    ) -> BoxFuture<'_, Result<Answer, StoreError>>;
}

/// Reads one key; `None` if it does not exist.
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
        other => Err(other.into_error()),
    }
}

/// Reads all keys that begin with `prefix`; returns them with the revision of the read.
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
        other => Err(other.into_error()),
    }
}

/// One conditional write.
#[derive(Clone, Debug)]
pub struct Put {
    /// Key to write.
    pub key: String,
    /// New value, at most [`api::VALUE_LIMIT_BYTES`].
    pub value: Bytes,
    /// State that the key must be in for the write to take effect.
    pub expect: Expect,
    /// Lease that the key is attached to; the key is removed when the lease ends.
    pub lease: Option<LeaseId>,
}

/// Result of a conditional write or delete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// The write took effect at this revision.
    Written(Revision),
    /// The condition did not hold and nothing was written. Carries the current entry, `None` if
    /// the key does not exist.
    Conflict(Option<Entry>),
}

/// Writes one key if its condition holds.
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
        other => Err(other.into_error()),
    }
}

/// Removes one key if its condition holds.
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
        other => Err(other.into_error()),
    }
}

/// Creates a lease that ends `ttl_ms` after its last renewal.
///
/// # Errors
/// As [`Store::call`].
pub async fn grant(store: &dyn Store, ttl_ms: u64) -> Result<LeaseId, StoreError> {
    match store.call(Operation::Grant { ttl_ms }, Priority::Control).await? {
        Answer::Granted { lease } => Ok(lease),
        other => Err(other.into_error()),
    }
}

/// Renews a lease.
///
/// # Errors
/// As [`Store::call`]; [`StoreError::LeaseGone`] when the lease has ended.
pub async fn renew(store: &dyn Store, lease: LeaseId) -> Result<(), StoreError> {
    match store.call(Operation::Renew { lease }, Priority::Control).await? {
        Answer::Renewed => Ok(()),
        other => Err(other.into_error()),
    }
}

/// A transaction: writes and deletes that take effect together or not at all.
#[derive(Clone, Debug, Default)]
pub struct Commit {
    /// Keys with the state that each must be in.
    pub conditions: Vec<(String, Expect)>,
    /// Keys to write, with their new values and leases.
    pub puts: Vec<(String, Bytes, Option<LeaseId>)>,
    /// Keys to remove.
    pub deletes: Vec<String>,
}

/// Result of a [`Commit`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// All writes took effect at this revision.
    Written(Revision),
    /// A condition did not hold and nothing was written. Carries the current entries of the
    /// condition keys that exist.
    Conflict(Vec<Entry>),
}

/// Executes a transaction.
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
        other => Err(other.into_error()),
    }
}

/// Returns the changes after revision `after` to the keys that begin with `prefix`, with the
/// revision up to which they are complete. Waits up to `wait_ms` for the first change.
///
/// `None` if the store has compacted the history after that revision.
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
        other => Err(other.into_error()),
    }
}
