//! The zone lease, which elects one active placer for each zone.
//!
//! The lease of a zone is one key in the store, attached to the session lease of its holder. The
//! store removes it when that session expires. The revision at which the key was created is the
//! epoch: it is higher for each new holder, and workers refuse calls with a lower one.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::membership::Session;
use crate::placer::message::Message;
use crate::store::mirror::{Mirror, Snapshot};
use crate::store::{self, Entry, Expect, LeaseId, Priority, Put, PutOutcome, Revision, Store};

/// Prefix of the store keys of zone leases.
pub const PREFIX: &str = "cell/placers/";

/// Interval between checks of who holds the zone, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 20;

/// Delay after an acquisition that failed with a store error, in milliseconds.
const RETRY_MS: u64 = 200;

/// Holder of a zone lease, as stored in the value of the lease key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Holder {
    /// Name of the placer.
    pub name: String,
    /// Address of the placer, `IP:port`.
    pub address: String,
}

/// The holder of `zone` in a snapshot of the store; `None` if the zone is free or its record is
/// unreadable.
pub fn holder(snapshot: &Snapshot, zone: &str) -> Option<Holder> {
    let entry = snapshot.entries.get(&key(zone))?;
    serde_json::from_slice(&entry.value).ok()
}

/// Store key of the lease of `zone`.
pub fn key(zone: &str) -> String {
    format!("{PREFIX}{zone}")
}

/// Change of the zone lease, reported to the control thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneEvent {
    /// This process acquired the zone lease.
    Acquired {
        /// New epoch.
        epoch: u64,
        /// Time until which the session is valid, in milliseconds on the monotonic clock.
        confirmed_until_ms: u64,
    },
    /// The store renewed the session that the zone lease is attached to.
    Confirmed {
        /// Epoch that is held.
        epoch: u64,
        /// Time until which the session is valid, in milliseconds on the monotonic clock.
        confirmed_until_ms: u64,
    },
    /// Another process acquired the zone lease.
    Lost {
        /// Epoch that this process held.
        epoch: u64,
    },
}

/// Acquires the zone lease whenever it is free, and reports its renewals and its loss.
#[derive(Clone, Debug)]
pub(crate) struct ZoneElector {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    zone: String,
    holder: Holder,
    store: Arc<dyn Store>,
    mirror: Mirror,
    session: Session,
    messages: Sender<Message>,
    is_stopped: AtomicBool,
}

/// A zone lease that this process holds.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    epoch: Revision,
    /// Session lease that the key is attached to.
    lease: LeaseId,
    /// Latest confirmed validity that was reported to the control thread, in milliseconds.
    reported_until_ms: u64,
}

impl ZoneElector {
    pub(crate) fn start(
        zone: &str,
        holder: Holder,
        store: Arc<dyn Store>,
        mirror: Mirror,
        session: Session,
        messages: Sender<Message>,
    ) -> Self {
        let zone = zone.to_owned();
        let is_stopped = AtomicBool::new(false);
        let shared = Shared { zone, holder, store, mirror, session, messages, is_stopped };
        let elector = Self { shared: Arc::new(shared) };
        task::spawn(run(Arc::clone(&elector.shared)));
        elector
    }

    /// Stops acquiring the zone lease; a lease that is held stays in the store.
    pub(crate) fn stop(&self) {
        self.shared.is_stopped.store(true, Ordering::Release);
    }

    /// Deletes the zone lease if it is still held under `epoch`, so that a standby acquires it at
    /// once.
    pub(crate) async fn release(&self, epoch: u64) {
        self.stop();
        let expect = Expect::Modified(Revision(epoch));
        let key = key(&self.shared.zone);
        let _ = store::delete(self.shared.store.as_ref(), key, expect, Priority::Control).await;
    }
}

async fn run(shared: Arc<Shared>) {
    let mut held: Option<HeldLease> = None;
    while !shared.is_stopped.load(Ordering::Acquire) {
        held = match held {
            Some(held) => shared.check_held(held),
            None => None,
        };
        if held.is_none_or(|held| shared.session.lease() != Some(held.lease)) {
            held = shared.acquire().await.or(held);
        }
        task::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
    }
}

impl Shared {
    /// Reports renewals of the lease, and its loss once another process holds it.
    fn check_held(&self, mut held: HeldLease) -> Option<HeldLease> {
        let snapshot = self.mirror.snapshot();
        let is_known = snapshot.is_current && snapshot.revision >= held.epoch;
        let entry = snapshot.entries.get(&key(&self.zone));
        if is_known && entry.is_some_and(|entry| entry.created > held.epoch) {
            let is_ours = entry.is_some_and(|entry| self.is_ours(entry));
            if !is_ours {
                self.notify(ZoneEvent::Lost { epoch: held.epoch.0 });
                return None;
            }
        }
        if is_known && entry.is_none() {
            // The key was removed with its session; the zone is acquired again under a higher
            // epoch.
            return None;
        }
        let confirmed_until_ms = self.session.valid_until_ms();
        let is_renewed = confirmed_until_ms > held.reported_until_ms;
        if is_renewed && self.session.lease() == Some(held.lease) {
            held.reported_until_ms = confirmed_until_ms;
            self.notify(ZoneEvent::Confirmed { epoch: held.epoch.0, confirmed_until_ms });
        }
        Some(held)
    }

    /// Acquires the zone lease if it is free, or if an earlier attempt whose response was lost
    /// created it.
    async fn acquire(&self) -> Option<HeldLease> {
        let lease = self.session.lease()?;
        let snapshot = self.mirror.snapshot();
        if !snapshot.is_current {
            return None;
        }
        if let Some(entry) = snapshot.entries.get(&key(&self.zone)) {
            return self.is_ours(entry).then(|| self.acquired(entry.created, lease));
        }
        let value = Bytes::from(serde_json::to_vec(&self.holder).unwrap_or_default());
        let put = Put { key: key(&self.zone), value, expect: Expect::Absent, lease: Some(lease) };
        match store::put(self.store.as_ref(), put, Priority::Control).await {
            Ok(PutOutcome::Written(epoch)) => Some(self.acquired(epoch, lease)),
            Ok(PutOutcome::Conflict(Some(entry))) if self.is_ours(&entry) => {
                Some(self.acquired(entry.created, lease))
            }
            Ok(PutOutcome::Conflict(_)) => None,
            Err(error) => {
                spdlog::debug!("cannot acquire the zone lease: {}", error, kv: { zone = self.zone.as_str() });
                task::sleep(Duration::from_millis(RETRY_MS)).await;
                None
            }
        }
    }

    fn acquired(&self, epoch: Revision, lease: LeaseId) -> HeldLease {
        let confirmed_until_ms = self.session.valid_until_ms();
        self.notify(ZoneEvent::Acquired { epoch: epoch.0, confirmed_until_ms });
        HeldLease { epoch, lease, reported_until_ms: confirmed_until_ms }
    }

    fn is_ours(&self, entry: &Entry) -> bool {
        entry.lease.is_some() && entry.lease == self.session.lease()
    }

    fn notify(&self, event: ZoneEvent) {
        let _ = self.messages.send(Message::Zone(event));
    }
}
