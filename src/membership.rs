//! Which daemons are in the cell: one session lease a process, with its record hanging on it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::task;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::configs::membership::MembershipConfig;
use crate::store::mirror::Snapshot;
use crate::store::{self, Expect, LeaseId, Priority, Put, Store, StoreError};

/// Prefix of member records.
pub const PREFIX: &str = "cell/members/";

/// What a daemon does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The callers' door.
    Entry,
    /// Places tasks.
    Placer,
}

/// A daemon as its record describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Name, unique among daemons of the role.
    pub name: String,
    /// What it does.
    pub role: Role,
    /// Zone that it is in.
    pub zone: String,
    /// Address for calls between daemons, `IP:port`.
    pub address: String,
    /// Chosen at each start, so that a restarted process differs from the one before.
    pub incarnation: u64,
    /// Revision of the configuration in force there.
    pub config_revision: u64,
    /// Whether it is shutting down.
    pub is_leaving: bool,
}

impl Member {
    /// Key of the member's record.
    pub fn key(&self) -> String {
        let role = match self.role {
            Role::Entry => "entry",
            Role::Placer => "placer",
        };
        format!("{PREFIX}{role}/{}", self.name)
    }
}

/// The members in a copy of the store, by key; records that cannot be read are left out.
pub fn members(snapshot: &Snapshot) -> Vec<Member> {
    let entries = snapshot.with_prefix(PREFIX);
    entries.filter_map(|entry| serde_json::from_slice(&entry.value).ok()).collect()
}

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
    lease: Mutex<Option<LeaseId>>,
    valid_until_ms: AtomicU64,
    is_stopped: AtomicBool,
    is_dirty: AtomicBool,
}

impl Session {
    /// Starts the session and keeps it; goes on trying while the store is away.
    pub fn start(store: Arc<dyn Store>, config: MembershipConfig, member: Member) -> Self {
        let shared = Arc::new(Shared {
            store,
            config,
            member: Mutex::new(member),
            lease: Mutex::new(None),
            valid_until_ms: AtomicU64::new(0),
            is_stopped: AtomicBool::new(false),
            is_dirty: AtomicBool::new(true),
        });
        task::spawn(keep(Arc::clone(&shared)));
        Self { shared }
    }

    /// The lease, while it certainly has not lapsed.
    pub fn lease(&self) -> Option<LeaseId> {
        let valid = clock::now_ms() < self.valid_until_ms();
        let lease = *self.shared.lease.lock().unwrap_or_else(PoisonError::into_inner);
        lease.filter(|_| valid)
    }

    /// Time on the monotonic clock until which the lease holds, less the margin.
    pub fn valid_until_ms(&self) -> u64 {
        self.shared.valid_until_ms.load(Ordering::Acquire)
    }

    /// The member's record as this process wants it.
    pub fn member(&self) -> Member {
        self.shared.member.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Changes the record; it is written soon after.
    pub fn update(&self, change: impl FnOnce(&mut Member)) {
        let mut member = self.shared.member.lock().unwrap_or_else(PoisonError::into_inner);
        let before = member.clone();
        change(&mut member);
        if before != *member {
            self.shared.is_dirty.store(true, Ordering::Release);
        }
    }

    /// Ends the session and removes what hangs on it.
    pub async fn stop(&self) {
        self.shared.is_stopped.store(true, Ordering::Release);
        let lease = self.shared.lease.lock().unwrap_or_else(PoisonError::into_inner).take();
        self.shared.valid_until_ms.store(0, Ordering::Release);
        if let Some(lease) = lease {
            let revoke = store::Operation::Revoke { lease };
            let _ = self.shared.store.call(revoke, Priority::Control).await;
        }
    }
}

async fn keep(shared: Arc<Shared>) {
    let step = Duration::from_millis(shared.config.step_ms);
    let mut next_renewal_ms = 0;
    while !shared.is_stopped.load(Ordering::Acquire) {
        let due = clock::now_ms() >= next_renewal_ms || shared.is_dirty.load(Ordering::Acquire);
        if due {
            match refresh(&shared).await {
                Ok(()) => next_renewal_ms = clock::now_ms() + shared.config.renew_every_ms,
                Err(StoreError::LeaseGone) => {
                    *shared.lease.lock().unwrap_or_else(PoisonError::into_inner) = None;
                    shared.valid_until_ms.store(0, Ordering::Release);
                }
                Err(error) => spdlog::debug!("session not renewed: {}", error),
            }
        }
        task::sleep(step).await;
    }
}

/// Renews the lease, or begins a new session; writes the record when it is new or changed.
async fn refresh(shared: &Shared) -> Result<(), StoreError> {
    let asked_at_ms = clock::now_ms();
    let held = *shared.lease.lock().unwrap_or_else(PoisonError::into_inner);
    let lease = match held {
        Some(lease) => {
            store::renew(shared.store.as_ref(), lease).await?;
            lease
        }
        None => {
            shared.is_dirty.store(true, Ordering::Release);
            store::grant(shared.store.as_ref(), shared.config.session_ttl_ms).await?
        }
    };
    *shared.lease.lock().unwrap_or_else(PoisonError::into_inner) = Some(lease);
    if shared.is_dirty.swap(false, Ordering::AcqRel) {
        if let Err(error) = write_record(shared, lease).await {
            shared.is_dirty.store(true, Ordering::Release);
            return Err(error);
        }
    }
    let holds_ms = shared.config.session_ttl_ms.saturating_sub(shared.config.clock_margin_ms);
    shared.valid_until_ms.store(asked_at_ms + holds_ms, Ordering::Release);
    Ok(())
}

async fn write_record(shared: &Shared, lease: LeaseId) -> Result<(), StoreError> {
    let member = shared.member.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let value = serde_json::to_vec(&member).unwrap_or_default();
    let put = Put {
        key: member.key(),
        value: Bytes::from(value),
        expect: Expect::Any,
        lease: Some(lease),
    };
    store::put(shared.store.as_ref(), put, Priority::Control).await.map(|_| ())
}
