//! Whether this process may send to the endpoints that it holds.
//!
//! Its session answers while the store can be reached. While the store is away
//! from the whole zone nobody can take an endpoint over, and the heartbeats of
//! the zone stand in; `docs/design/0003-ownership.md` has the reasoning.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use crate::clock;
use crate::membership::Session;
use crate::store::LeaseId;

/// Checked right before each write to an endpoint.
#[derive(Clone, Debug)]
pub struct Authority {
    session: Session,
    outage_until_ms: Arc<AtomicU64>,
}

impl Authority {
    /// Authority that rests on `session`.
    pub fn new(session: Session) -> Self {
        Self { session, outage_until_ms: Arc::default() }
    }

    /// Whether endpoints acquired under `held` may be written to now.
    pub fn may_send(&self, held: LeaseId) -> bool {
        match self.session.lease() {
            Some(lease) => lease == held,
            None => clock::now_ms() < self.outage_until_ms.load(Ordering::Acquire),
        }
    }

    /// Whether `held` has certainly been followed by another session.
    pub fn is_superseded(&self, held: LeaseId) -> bool {
        self.session.lease().is_some_and(|lease| lease != held)
    }

    /// Lets ownership stand until `until_ms` without a session.
    pub fn extend_outage(&self, until_ms: u64) {
        self.outage_until_ms.store(until_ms, Ordering::Release);
    }

    /// Ends what [`Authority::extend_outage`] granted.
    pub fn end_outage(&self) {
        self.outage_until_ms.store(0, Ordering::Release);
    }
}
