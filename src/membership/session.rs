//! The session of a process with the store: a lease, and the member's record that hangs on it.

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
use crate::store::settle::{self, Settled};
use crate::store::{self, Entry, Expect, LeaseId, Priority, Put, Revision, Store, StoreError};

/// Renewals after which the session looks whether its record is still its own.
const CHECK_EVERY: u64 = 5;

/// Renewals are early by up to this part of the time between them, so that they spread.
const SPREAD_PART: u64 = 5;

/// The session of this process with the store.
#[derive(Clone, Debug)]
pub struct Session {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    store: Arc<dyn Store>,
    config: MembershipConfig,
    member: Mutex<Member>,
    held: Mutex<Held>,
    valid_until_ms: AtomicU64,
    is_stopped: AtomicBool,
    is_dirty: AtomicBool,
    is_replaced: AtomicBool,
}

/// What the session holds in the store.
#[derive(Clone, Copy, Debug, Default)]
struct Held {
    lease: Option<LeaseId>,
    /// Last write of the record by this process.
    written: Option<Revision>,
    /// Whether this process ever wrote its record.
    has_joined: bool,
}

impl Session {
    /// Starts the session and keeps it; goes on trying while the store is away.
    pub fn start(store: Arc<dyn Store>, config: MembershipConfig, member: Member) -> Self {
        let shared = Arc::new(Shared {
            store,
            config,
            member: Mutex::new(member),
            held: Mutex::new(Held::default()),
            valid_until_ms: AtomicU64::new(0),
            is_stopped: AtomicBool::new(false),
            is_dirty: AtomicBool::new(true),
            is_replaced: AtomicBool::new(false),
        });
        task::spawn(keep(Arc::clone(&shared)));
        Self { shared }
    }

    /// The lease, while it certainly has not lapsed.
    pub fn lease(&self) -> Option<LeaseId> {
        let is_valid = clock::now_ms() < self.valid_until_ms();
        self.shared.held().lease.filter(|_| is_valid)
    }

    /// Time on the monotonic clock until which the lease holds, less the margin.
    pub fn valid_until_ms(&self) -> u64 {
        self.shared.valid_until_ms.load(Ordering::Acquire)
    }

    /// The member's record as this process wants it.
    pub fn member(&self) -> Member {
        self.shared.member().clone()
    }

    /// Whether another process has taken over the name of this one.
    pub fn is_replaced(&self) -> bool {
        self.shared.is_replaced.load(Ordering::Acquire)
    }

    /// Changes the record; it is written soon after.
    pub fn update(&self, change: impl FnOnce(&mut Member)) {
        let mut member = self.shared.member();
        let before = member.clone();
        change(&mut member);
        if before != *member {
            self.shared.is_dirty.store(true, Ordering::Release);
        }
    }

    /// Ends the session and removes what hangs on it.
    pub async fn stop(&self) {
        self.shared.is_stopped.store(true, Ordering::Release);
        let lease = self.shared.held().lease.take();
        self.shared.valid_until_ms.store(0, Ordering::Release);
        if let Some(lease) = lease {
            let revoke = store::Operation::Revoke { lease };
            let _ = self.shared.store.call(revoke, Priority::Control).await;
        }
    }
}

impl Shared {
    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn member(&self) -> MutexGuard<'_, Member> {
        self.member.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Acquire)
    }

    /// Forgets a lease that has ended; what follows is another incarnation.
    fn lose_lease(&self) {
        {
            let mut held = self.held();
            held.lease = None;
            held.written = None;
        }
        self.valid_until_ms.store(0, Ordering::Release);
        let mut member = self.member();
        member.incarnation = member.incarnation.wrapping_add(1);
        drop(member);
        self.is_dirty.store(true, Ordering::Release);
    }
}

async fn keep(shared: Arc<Shared>) {
    let config = shared.config.clone();
    let seed = collections::stable_hash(format!("{:?}-{}", shared.member(), clock::now_us()));
    let mut backoff = Backoff::new(config.step_ms * 2, config.renew_every_ms, seed);
    let mut next_try_ms = 0;
    let mut has_failed = false;
    let mut renewals = 0_u64;
    while !shared.is_stopped() {
        let is_dirty = !has_failed && shared.is_dirty.load(Ordering::Acquire);
        if is_dirty || clock::now_ms() >= next_try_ms {
            renewals += 1;
            let result = refresh(&shared, renewals % CHECK_EVERY == 0).await;
            has_failed = result.is_err();
            let due_ms = match result {
                Ok(()) => {
                    backoff.reset();
                    config.renew_every_ms - backoff.spread_ms(config.renew_every_ms / SPREAD_PART)
                }
                Err(error) => {
                    note_failure(&shared, &error);
                    backoff.next_ms()
                }
            };
            next_try_ms = clock::now_ms() + due_ms;
        }
        task::sleep(Duration::from_millis(config.step_ms)).await;
    }
}

fn note_failure(shared: &Shared, error: &StoreError) {
    if *error == StoreError::LeaseGone {
        shared.lose_lease();
    }
    spdlog::debug!("session not renewed: {}", error);
}

/// Renews the lease, or begins a new session; writes the record when it is new or changed.
async fn refresh(shared: &Shared, is_check_due: bool) -> Result<(), StoreError> {
    if shared.is_replaced.load(Ordering::Acquire) {
        await_free_name(shared).await?;
    }
    let asked_at_ms = clock::now_ms();
    let held = shared.held().lease;
    let lease = match held {
        Some(lease) => {
            store::renew(shared.store.as_ref(), lease).await?;
            lease
        }
        None => store::grant(shared.store.as_ref(), shared.config.session_ttl_ms).await?,
    };
    if !keep_lease(shared, lease, asked_at_ms) {
        revoke(shared, lease).await;
        return Ok(());
    }
    if is_check_due {
        check_record(shared, lease).await?;
    }
    if shared.is_dirty.swap(false, Ordering::AcqRel) {
        if let Err(error) = write_record(shared, lease).await {
            shared.is_dirty.store(true, Ordering::Release);
            return Err(error);
        }
    }
    Ok(())
}

async fn revoke(shared: &Shared, lease: LeaseId) {
    let revoke = store::Operation::Revoke { lease };
    let _ = shared.store.call(revoke, Priority::Control).await;
}

/// Fails while another process has the name.
async fn await_free_name(shared: &Shared) -> Result<(), StoreError> {
    let key = shared.member().key();
    let entry = store::get(shared.store.as_ref(), key, Priority::Control).await?;
    if entry.is_some() {
        return Err(StoreError::Lost("another process has the name".to_owned()));
    }
    shared.is_replaced.store(false, Ordering::Release);
    Ok(())
}

/// Looks whether the record is still this session's own.
async fn check_record(shared: &Shared, lease: LeaseId) -> Result<(), StoreError> {
    let key = shared.member().key();
    let entry = store::get(shared.store.as_ref(), key, Priority::Control).await?;
    let held = *shared.held();
    match entry {
        Some(entry) if held.written.is_some_and(|written| entry.modified < written) => Ok(()),
        Some(entry) if entry.lease != Some(lease) && held.has_joined => {
            give_way(shared, lease).await
        }
        Some(_) => Ok(()),
        None => {
            shared.held().written = None;
            shared.is_dirty.store(true, Ordering::Release);
            Ok(())
        }
    }
}

/// Ends the session because another process has the name.
async fn give_way(shared: &Shared, lease: LeaseId) -> Result<(), StoreError> {
    spdlog::warn!("another process has the name {}", shared.member().name);
    shared.is_replaced.store(true, Ordering::Release);
    shared.lose_lease();
    revoke(shared, lease).await;
    Err(StoreError::Lost("another process has the name".to_owned()))
}

/// Notes the lease, unless the session was stopped meanwhile.
fn keep_lease(shared: &Shared, lease: LeaseId, asked_at_ms: u64) -> bool {
    let mut held = shared.held();
    if shared.is_stopped() {
        return false;
    }
    held.lease = Some(lease);
    let holds_ms = shared.config.session_ttl_ms.saturating_sub(shared.config.clock_margin_ms);
    shared.valid_until_ms.store(asked_at_ms + holds_ms, Ordering::Release);
    true
}

/// Writes the record. The first write of a process takes the name over from an earlier process;
/// a later one never writes over the record of another process.
async fn write_record(shared: &Shared, lease: LeaseId) -> Result<(), StoreError> {
    let member = shared.member().clone();
    let held = *shared.held();
    let expect = match (held.written, held.has_joined) {
        (Some(revision), _) => Expect::Modified(revision),
        (None, true) => Expect::Absent,
        (None, false) => match read_earlier(shared, &member).await? {
            Some(entry) if incarnation(&entry) > member.incarnation => {
                return give_way(shared, lease).await;
            }
            Some(entry) => Expect::Modified(entry.modified),
            None => Expect::Absent,
        },
    };
    let value = Bytes::from(serde_json::to_vec(&member).unwrap_or_default());
    let put = Put { key: member.key(), value, expect, lease: Some(lease) };
    let limit_ms = shared.config.renew_every_ms;
    let settled = settle::put(shared.store.as_ref(), put, Priority::Control, limit_ms).await?;
    match settled {
        Settled::Written(revision) => {
            let mut held = shared.held();
            held.written = Some(revision);
            held.has_joined = true;
            Ok(())
        }
        Settled::Conflict(current) | Settled::Superseded(current) => {
            adopt(shared, lease, current).await
        }
        Settled::InDoubt(error) => Err(error),
    }
}

/// The record that another process of the name has left.
async fn read_earlier(shared: &Shared, member: &Member) -> Result<Option<Entry>, StoreError> {
    store::get(shared.store.as_ref(), member.key(), Priority::Control).await
}

/// Incarnation in a record; 0 if it cannot be read.
fn incarnation(entry: &Entry) -> u64 {
    serde_json::from_slice(&entry.value).map_or(0, |member: Member| member.incarnation)
}

/// Takes up an own record whose write was not confirmed, or gives way to another process.
async fn adopt(shared: &Shared, lease: LeaseId, current: Option<Entry>) -> Result<(), StoreError> {
    match current {
        Some(entry) if entry.lease == Some(lease) => {
            shared.held().written = Some(entry.modified);
            Err(StoreError::Lost("an earlier write of the record took effect".to_owned()))
        }
        Some(entry) if is_earlier(shared, &entry) => {
            Err(StoreError::Lost("an earlier process changed its record".to_owned()))
        }
        Some(_) => give_way(shared, lease).await,
        None => {
            shared.held().written = None;
            Err(StoreError::Lost("the record went away".to_owned()))
        }
    }
}

/// Whether a record is of an earlier process, from which this one has yet to take the name over.
fn is_earlier(shared: &Shared, entry: &Entry) -> bool {
    let own = shared.member().incarnation;
    !shared.held().has_joined && incarnation(entry) <= own
}
