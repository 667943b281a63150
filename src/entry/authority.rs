//! Permission of this process to send to the endpoints it owns.
//!
//! The permission follows from the session while the store is reachable. While the whole zone
//! cannot reach the store, no other host can acquire an endpoint, and the zone's heartbeats extend
//! the permission. `docs/design/0003-ownership.md` has the reasoning.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use crate::clock;
use crate::membership::Session;
use crate::store::LeaseId;

/// Permission to send, checked right before each write to an endpoint. Clones share their state.
#[derive(Clone, Debug)]
pub struct Authority {
    session: Session,
    /// End of the extension during an outage, in milliseconds on the monotonic clock; 0 without
    /// one.
    outage_until_ms: Arc<AtomicU64>,
}

impl Authority {
    /// Creates a permission based on `session`.
    pub fn new(session: Session) -> Self {
        Self { session, outage_until_ms: Arc::default() }
    }

    /// Whether this process may write now to endpoints acquired under the lease `held`.
    pub fn may_send(&self, held: LeaseId) -> bool {
        match self.session.lease() {
            Some(lease) => lease == held,
            None => clock::now_ms() < self.outage_until_ms.load(Ordering::Acquire),
        }
    }

    /// Whether another session has certainly replaced that of the lease `held`.
    pub fn is_superseded(&self, held: LeaseId) -> bool {
        self.session.lease().is_some_and(|lease| lease != held)
    }

    /// Keeps the permission without a session until `until_ms` on the monotonic clock.
    pub fn extend_outage(&self, until_ms: u64) {
        self.outage_until_ms.store(until_ms, Ordering::Release);
    }

    /// Ends the extension of [`Authority::extend_outage`].
    pub fn end_outage(&self) {
        self.outage_until_ms.store(0, Ordering::Release);
    }
}
