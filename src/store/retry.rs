//! Conditional writes that are retried when the answer is lost.
//!
//! Retrying is safe because the write is conditional: a request that is still
//! in flight can only take effect while its condition holds. If a retry meets a
//! conflict, the current value of the key shows whether an earlier attempt
//! succeeded. Each writer's value must therefore be unique, for example by
//! containing the writer's change id.

use std::time::Duration;

use async_std::task;

use crate::clock;
use crate::collections;
use crate::store::backoff::Backoff;
use crate::store::{self, Entry, Priority, Put, PutOutcome, Revision, Store, StoreError};

/// Shortest pause between attempts, in milliseconds.
const PAUSE_MIN_MS: u64 = 20;

/// Longest pause between attempts, in milliseconds.
const PAUSE_MAX_MS: u64 = 1_000;

/// Result of a conditional write with retries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetriedPut {
    /// The value was stored at this revision, by any of the attempts.
    Written(Revision),
    /// The condition did not hold and the value was certainly never stored. Carries the current
    /// entry, `None` if the key does not exist.
    Conflict(Option<Entry>),
    /// The key holds another value or none, but an earlier attempt may have stored the value
    /// before that. Carries the current entry.
    Superseded(Option<Entry>),
    /// The result was still unknown at the time limit; the write may have taken effect.
    InDoubt(StoreError),
}

/// Writes one key, and retries after lost answers and transient errors until `limit_ms` has passed.
///
/// # Errors
/// [`StoreError`] if the write certainly took no effect.
///
/// ```
/// use hemlockrock::store::retry;
///
/// let result = retry::RetriedPut::Conflict(None);
/// assert_ne!(result, retry::RetriedPut::Superseded(None));
/// ```
pub async fn put(
    store: &dyn Store,
    put: Put,
    priority: Priority,
    limit_ms: u64,
) -> Result<RetriedPut, StoreError> {
    let ends_at_ms = clock::now_ms() + limit_ms;
    let mut backoff =
        Backoff::new(PAUSE_MIN_MS, PAUSE_MAX_MS, collections::stable_hash(&put.value));
    let mut is_possibly_written = false;
    loop {
        let error = match store::put(store, put.clone(), priority).await {
            Ok(PutOutcome::Written(revision)) => return Ok(RetriedPut::Written(revision)),
            Ok(PutOutcome::Conflict(current)) => {
                return Ok(resolve_conflict(&put, current, is_possibly_written))
            }
            Err(error) => error,
        };
        is_possibly_written |= !error.is_not_executed();
        let is_final = matches!(error, StoreError::LeaseGone | StoreError::TooLarge);
        if is_final
            || (!is_possibly_written && !is_transient(&error))
            || clock::now_ms() >= ends_at_ms
        {
            return if is_possibly_written { Ok(RetriedPut::InDoubt(error)) } else { Err(error) };
        }
        task::sleep(Duration::from_millis(backoff.next_ms())).await;
    }
}

/// Interprets a conflict with `current`, the entry that the key now holds. If the result of an
/// earlier attempt is unknown (`is_possibly_written`), that attempt may have stored the value.
pub fn resolve_conflict(
    put: &Put,
    current: Option<Entry>,
    is_possibly_written: bool,
) -> RetriedPut {
    if !is_possibly_written {
        return RetriedPut::Conflict(current);
    }
    match current {
        Some(entry) if entry.value == put.value && entry.lease == put.lease => {
            RetriedPut::Written(entry.modified)
        }
        current => RetriedPut::Superseded(current),
    }
}

fn is_transient(error: &StoreError) -> bool {
    matches!(
        error,
        StoreError::Overloaded { .. } | StoreError::OverBudget | StoreError::Unavailable(_)
    )
}
