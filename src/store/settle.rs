//! Conditional writes whose lost answers are settled by reading the key back.
//!
//! The value must be unlike any other writer's, for which it carries the
//! writer's own change id. A write that is still under way when the key is
//! read back can only take effect under its condition, so the write is made
//! again under the same condition until its fate is known.

use std::time::Duration;

use async_std::task;

use crate::clock;
use crate::collections;
use crate::store::backoff::Backoff;
use crate::store::{self, Entry, Priority, Put, PutOutcome, Revision, Store, StoreError};

/// Shortest pause between tries, in milliseconds.
const PAUSE_MIN_MS: u64 = 20;

/// Longest pause between tries, in milliseconds.
const PAUSE_MAX_MS: u64 = 1_000;

/// How a settled write ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    /// The value is stored at this revision.
    Written(Revision),
    /// The key holds something else and the value was certainly never stored.
    Conflict(Option<Entry>),
    /// The key holds something else; the value may have been stored before that.
    Superseded(Option<Entry>),
    /// The store did not tell within the limit; the write may have taken effect.
    InDoubt(StoreError),
}

/// Writes one key and settles lost answers until `limit_ms` has passed.
///
/// # Errors
/// [`StoreError`] when the write certainly took no effect.
///
/// ```
/// use hemlockrock::store::settle;
///
/// let settled = settle::Settled::Conflict(None);
/// assert_ne!(settled, settle::Settled::Superseded(None));
/// ```
pub async fn put(
    store: &dyn Store,
    put: Put,
    priority: Priority,
    limit_ms: u64,
) -> Result<Settled, StoreError> {
    let ends_at_ms = clock::now_ms() + limit_ms;
    let mut backoff =
        Backoff::new(PAUSE_MIN_MS, PAUSE_MAX_MS, collections::stable_hash(&put.value));
    let mut is_lost = false;
    loop {
        let error = match store::put(store, put.clone(), priority).await {
            Ok(PutOutcome::Written(revision)) => return Ok(Settled::Written(revision)),
            Ok(PutOutcome::Conflict(current)) => return Ok(judge(&put, current, is_lost)),
            Err(error) => error,
        };
        is_lost |= !error.is_certain();
        let is_final = matches!(error, StoreError::LeaseGone | StoreError::TooLarge);
        if is_final || (!is_lost && !is_passing(&error)) || clock::now_ms() >= ends_at_ms {
            return if is_lost { Ok(Settled::InDoubt(error)) } else { Err(error) };
        }
        task::sleep(Duration::from_millis(backoff.next_ms())).await;
    }
}

/// What a conflict says about the write, given whether an earlier answer was lost.
pub fn judge(put: &Put, current: Option<Entry>, is_lost: bool) -> Settled {
    if !is_lost {
        return Settled::Conflict(current);
    }
    match current {
        Some(entry) if entry.value == put.value && entry.lease == put.lease => {
            Settled::Written(entry.modified)
        }
        current => Settled::Superseded(current),
    }
}

fn is_passing(error: &StoreError) -> bool {
    matches!(error, StoreError::Overloaded { .. } | StoreError::OverBudget | StoreError::Away(_))
}
