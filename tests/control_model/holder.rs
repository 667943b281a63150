//! A process that acquires a key under a lease.

use std::sync::Arc;

use hemlockrock::store::retry::{self, RetriedPut};
use hemlockrock::store::{self, Expect, LeaseId, Priority, Put, Revision};

use super::control_support::InMemoryStore;
use super::simulation::LEASE_MS;

const HOLDER_KEY: &str = "cell/placers/mid-1";

/// Tries to acquire the key; returns the lease and the revision of the write. If the answer was
/// lost, reads the key back to find out whether the write took effect.
pub(super) async fn acquire(
    store: Arc<InMemoryStore>,
    holder: usize,
) -> Option<(LeaseId, Revision)> {
    let lease = store::grant(store.as_ref(), LEASE_MS).await.ok()?;
    let value = format!("holder-{holder}-{}", lease.0).into_bytes();
    let put = Put {
        key: HOLDER_KEY.to_owned(),
        value: value.into(),
        expect: Expect::Absent,
        lease: Some(lease),
    };
    let result = retry::put(store.as_ref(), put.clone(), Priority::Control, 0).await.ok()?;
    match result {
        RetriedPut::Written(revision) => Some((lease, revision)),
        RetriedPut::InDoubt(_) => {
            let entry = store::get(store.as_ref(), HOLDER_KEY, Priority::Control).await.ok()??;
            match retry::resolve_conflict(&put, Some(entry), true) {
                RetriedPut::Written(revision) => Some((lease, revision)),
                _ => None,
            }
        }
        RetriedPut::Conflict(_) | RetriedPut::Superseded(_) => None,
    }
}
