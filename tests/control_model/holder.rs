//! A process that takes a key under a lease.

use std::sync::Arc;

use hemlockrock::store::settle::{self, Settled};
use hemlockrock::store::{self, Expect, LeaseId, Priority, Put, Revision};

use super::control_support::ModelStore;
use super::world::LEASE_MS;

const HOLDER_KEY: &str = "cell/placers/mid-1";

/// Takes the key of a holder, or finds that an earlier write with a lost answer took it.
pub(super) async fn acquire(store: Arc<ModelStore>, holder: usize) -> Option<(LeaseId, Revision)> {
    let lease = store::grant(store.as_ref(), LEASE_MS).await.ok()?;
    let value = format!("holder-{holder}-{}", lease.0).into_bytes();
    let put = Put {
        key: HOLDER_KEY.to_owned(),
        value: value.into(),
        expect: Expect::Absent,
        lease: Some(lease),
    };
    let settled = settle::put(store.as_ref(), put.clone(), Priority::Control, 0).await.ok()?;
    match settled {
        Settled::Written(revision) => Some((lease, revision)),
        Settled::InDoubt(_) => {
            let entry = store::get(store.as_ref(), HOLDER_KEY, Priority::Control).await.ok()??;
            match settle::judge(&put, Some(entry), true) {
                Settled::Written(revision) => Some((lease, revision)),
                _ => None,
            }
        }
        Settled::Conflict(_) | Settled::Superseded(_) => None,
    }
}
