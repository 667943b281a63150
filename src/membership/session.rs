//! Session of a daemon with the store: a renewed lease with the member record attached to it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::task;
use bytes::Bytes;

use crate::clock;
use crate::collections;
use crate::configs::membership::MembershipConfig;
use crate::membership::Member;
use crate::store::backoff::Backoff;
use crate::store::retry::{self, RetriedPut};
use crate::store::{self, Entry, Expect, LeaseId, Priority, Put, Revision, Store, StoreError};

/// Every this many refreshes, the session reads its record to check that it still owns the name.
const REFRESHES_PER_RECORD_CHECK: u64 = 5;

/// Renewals are made early by a random time of up to the renewal interval divided by this, so
/// that the daemons don't all renew at once.
const RENEWAL_JITTER_DIVISOR: u64 = 5;

/// Handle to the session of this process. Clones share one session.
#[derive(Clone, Debug)]
pub struct Session {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    store: Arc<dyn Store>,
    config: MembershipConfig,
    member: Mutex<Member>,
    state: Mutex<SessionState>,
    valid_until_ms: AtomicU64,
    is_stopped: AtomicBool,
    is_record_dirty: AtomicBool,
    is_replaced: AtomicBool,
}

/// What this process knows that it holds in the store.
#[derive(Clone, Copy, Debug, Default)]
struct SessionState {
    lease: Option<LeaseId>,
    /// Revision of the last write of the record under the current lease.
    record_revision: Option<Revision>,
    /// Whether this process has ever written its record.
    has_written_record: bool,
}

impl Session {
    /// Starts a task that creates the lease, renews it and writes the record of `member`. It retries
    /// while the store is unavailable.
    pub fn start(store: Arc<dyn Store>, config: MembershipConfig, member: Member) -> Self {
        let shared = Arc::new(Shared {
            store,
            config,
            member: Mutex::new(member),
            state: Mutex::new(SessionState::default()),
            valid_until_ms: AtomicU64::new(0),
            is_stopped: AtomicBool::new(false),
            is_record_dirty: AtomicBool::new(true),
            is_replaced: AtomicBool::new(false),
        });
        task::spawn(maintain(Arc::clone(&shared)));
        Self { shared }
    }

    /// The lease; `None` if there is none or it may have expired.
    pub fn lease(&self) -> Option<LeaseId> {
        let is_valid = clock::now_ms() < self.valid_until_ms();
        self.shared.state().lease.filter(|_| is_valid)
    }

    /// Time until which the lease is certainly valid, in milliseconds of [`clock::now_ms`]; the
    /// clock margin is already subtracted. 0 without a lease.
    pub fn valid_until_ms(&self) -> u64 {
        self.shared.valid_until_ms.load(Ordering::Acquire)
    }

    /// The latest local version of the member record, which may not be written yet.
    pub fn member(&self) -> Member {
        self.shared.member().clone()
    }

    /// Whether another process has taken over this daemon's name.
    pub fn is_replaced(&self) -> bool {
        self.shared.is_replaced.load(Ordering::Acquire)
    }

    /// Changes the member record; the session task writes it to the store if it differs.
    pub fn update(&self, change: impl FnOnce(&mut Member)) {
        let mut member = self.shared.member();
        let before = member.clone();
        change(&mut member);
        if before != *member {
            self.shared.is_record_dirty.store(true, Ordering::Release);
        }
    }

    /// Ends the session and revokes the lease, which removes the attached keys.
    pub async fn stop(&self) {
        self.shared.is_stopped.store(true, Ordering::Release);
        let lease = self.shared.state().lease.take();
        self.shared.valid_until_ms.store(0, Ordering::Release);
        if let Some(lease) = lease {
            let revoke = store::Operation::Revoke { lease };
            let _ = self.shared.store.call(revoke, Priority::Control).await;
        }
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, SessionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn member(&self) -> MutexGuard<'_, Member> {
        self.member.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Acquire)
    }

    /// Discards a lease that has ended and increments the incarnation for the next session.
    fn discard_lease(&self) {
        {
            let mut state = self.state();
            state.lease = None;
            state.record_revision = None;
        }
        self.valid_until_ms.store(0, Ordering::Release);
        let mut member = self.member();
        member.incarnation = member.incarnation.wrapping_add(1);
        drop(member);
        self.is_record_dirty.store(true, Ordering::Release);
    }
}

async fn maintain(shared: Arc<Shared>) {
    let config = shared.config.clone();
    let seed = collections::stable_hash(format!("{:?}-{}", shared.member(), clock::now_us()));
    let mut backoff = Backoff::new(config.step_ms * 2, config.renew_every_ms, seed);
    let mut next_try_ms = 0;
    let mut has_failed = false;
    let mut refreshes = 0_u64;
    while !shared.is_stopped() {
        let is_record_dirty = !has_failed && shared.is_record_dirty.load(Ordering::Acquire);
        if is_record_dirty || clock::now_ms() >= next_try_ms {
            refreshes += 1;
            let result = refresh(&shared, refreshes % REFRESHES_PER_RECORD_CHECK == 0).await;
            has_failed = result.is_err();
            let delay_ms = match result {
                Ok(()) => {
                    backoff.reset();
                    config.renew_every_ms
                        - backoff.jittered_ms(config.renew_every_ms / RENEWAL_JITTER_DIVISOR)
                }
                Err(error) => {
                    handle_refresh_error(&shared, &error);
                    backoff.next_ms()
                }
            };
            next_try_ms = clock::now_ms() + delay_ms;
        }
        task::sleep(Duration::from_millis(config.step_ms)).await;
    }
}

fn handle_refresh_error(shared: &Shared, error: &StoreError) {
    if *error == StoreError::LeaseGone {
        shared.discard_lease();
    }
    spdlog::debug!("cannot refresh the session of {}: {}", shared.member().name, error);
}

/// Renews the lease, or creates one; writes the record if it is new or has changed.
async fn refresh(shared: &Shared, is_check_due: bool) -> Result<(), StoreError> {
    if shared.is_replaced.load(Ordering::Acquire) {
        ensure_name_is_free(shared).await?;
    }
    let asked_at_ms = clock::now_ms();
    let current_lease = shared.state().lease;
    let lease = match current_lease {
        Some(lease) => {
            store::renew(shared.store.as_ref(), lease).await?;
            lease
        }
        None => store::grant(shared.store.as_ref(), shared.config.session_ttl_ms).await?,
    };
    if !record_lease(shared, lease, asked_at_ms) {
        revoke(shared, lease).await;
        return Ok(());
    }
    if is_check_due {
        check_record(shared, lease).await?;
    }
    if shared.is_record_dirty.swap(false, Ordering::AcqRel) {
        if let Err(error) = write_record(shared, lease).await {
            shared.is_record_dirty.store(true, Ordering::Release);
            return Err(error);
        }
    }
    Ok(())
}

async fn revoke(shared: &Shared, lease: LeaseId) {
    let revoke = store::Operation::Revoke { lease };
    let _ = shared.store.call(revoke, Priority::Control).await;
}

/// Fails while a record of this name exists; another process then owns the name.
async fn ensure_name_is_free(shared: &Shared) -> Result<(), StoreError> {
    let key = shared.member().key();
    let entry = store::get(shared.store.as_ref(), key, Priority::Control).await?;
    if entry.is_some() {
        return Err(StoreError::Indeterminate(
            "another process owns this daemon's name".to_owned(),
        ));
    }
    shared.is_replaced.store(false, Ordering::Release);
    Ok(())
}

/// Reads the record back. Yields the name if another process has written the record, and
/// schedules a new write if the record is gone.
async fn check_record(shared: &Shared, lease: LeaseId) -> Result<(), StoreError> {
    let key = shared.member().key();
    let entry = store::get(shared.store.as_ref(), key, Priority::Control).await?;
    let state = *shared.state();
    match entry {
        Some(entry) if state.record_revision.is_some_and(|revision| entry.modified < revision) => {
            Ok(())
        }
        Some(entry) if entry.lease != Some(lease) && state.has_written_record => {
            yield_name(shared, lease).await
        }
        Some(_) => Ok(()),
        None => {
            shared.state().record_revision = None;
            shared.is_record_dirty.store(true, Ordering::Release);
            Ok(())
        }
    }
}

/// Ends the session because another process owns the name.
async fn yield_name(shared: &Shared, lease: LeaseId) -> Result<(), StoreError> {
    spdlog::warn!("another process has taken over the name {}", shared.member().name);
    shared.is_replaced.store(true, Ordering::Release);
    shared.discard_lease();
    revoke(shared, lease).await;
    Err(StoreError::Indeterminate("another process owns this daemon's name".to_owned()))
}

/// Records the lease and its validity, counted from `asked_at_ms`, when the call was made.
/// Returns false if the session was stopped meanwhile.
fn record_lease(shared: &Shared, lease: LeaseId, asked_at_ms: u64) -> bool {
    let mut state = shared.state();
    if shared.is_stopped() {
        return false;
    }
    state.lease = Some(lease);
    let holds_ms = shared.config.session_ttl_ms.saturating_sub(shared.config.clock_margin_ms);
    shared.valid_until_ms.store(asked_at_ms + holds_ms, Ordering::Release);
    true
}

/// Writes the record. The first write of a process replaces the record of an earlier process of
/// the same name; later writes never replace another process's record.
async fn write_record(shared: &Shared, lease: LeaseId) -> Result<(), StoreError> {
    let member = shared.member().clone();
    let state = *shared.state();
    let expect = match (state.record_revision, state.has_written_record) {
        (Some(revision), _) => Expect::Modified(revision),
        (None, true) => Expect::Absent,
        (None, false) => match read_record(shared, &member).await? {
            Some(entry) if recorded_incarnation(&entry) > member.incarnation => {
                return yield_name(shared, lease).await;
            }
            Some(entry) => Expect::Modified(entry.modified),
            None => Expect::Absent,
        },
    };
    let value = Bytes::from(serde_json::to_vec(&member).unwrap_or_default());
    let put = Put { key: member.key(), value, expect, lease: Some(lease) };
    let limit_ms = shared.config.renew_every_ms;
    let result = retry::put(shared.store.as_ref(), put, Priority::Control, limit_ms).await?;
    match result {
        RetriedPut::Written(revision) => {
            let mut state = shared.state();
            state.record_revision = Some(revision);
            state.has_written_record = true;
            Ok(())
        }
        RetriedPut::Conflict(current) | RetriedPut::Superseded(current) => {
            resolve_record_conflict(shared, lease, current).await
        }
        RetriedPut::InDoubt(error) => Err(error),
    }
}

/// Reads the record currently stored under this daemon's name.
async fn read_record(shared: &Shared, member: &Member) -> Result<Option<Entry>, StoreError> {
    store::get(shared.store.as_ref(), member.key(), Priority::Control).await
}

/// Incarnation in a record; 0 if the record cannot be decoded.
fn recorded_incarnation(entry: &Entry) -> u64 {
    serde_json::from_slice(&entry.value).map_or(0, |member: Member| member.incarnation)
}

/// Handles a record that differs from what a write expected: adopts an unconfirmed write of this
/// session, or yields the name to another process. Fails so that the write is retried.
async fn resolve_record_conflict(
    shared: &Shared,
    lease: LeaseId,
    current: Option<Entry>,
) -> Result<(), StoreError> {
    match current {
        Some(entry) if entry.lease == Some(lease) => {
            shared.state().record_revision = Some(entry.modified);
            Err(StoreError::Indeterminate(
                "an earlier write of the member record took effect".to_owned(),
            ))
        }
        Some(entry) if is_from_earlier_process(shared, &entry) => Err(StoreError::Indeterminate(
            "an earlier process of the same name changed its member record".to_owned(),
        )),
        Some(_) => yield_name(shared, lease).await,
        None => {
            shared.state().record_revision = None;
            Err(StoreError::Indeterminate("the member record was removed".to_owned()))
        }
    }
}

/// Whether a record belongs to an earlier process of the same name that this process has yet to
/// replace.
fn is_from_earlier_process(shared: &Shared, entry: &Entry) -> bool {
    let own = shared.member().incarnation;
    !shared.state().has_written_record && recorded_incarnation(entry) <= own
}
