//! Leader election: the leader holds a leased key in the store, and the revision at which the key
//! was created is the fencing token of its term.

use std::time::Duration;

use async_std::task;

use crate::clock;
use crate::collections;
use crate::decision_log;
use crate::queue::host_state::{HostState, Leader};
use crate::queue::record::{self, LeaderRecord};
use crate::queue::watch;
use crate::store::{
    self, Commit, CommitOutcome, Expect, LeaseId, Operation, Priority, PutOutcome, Revision,
    StoreError,
};

/// Attempts to create the leader key while answers of the store are lost; a repeated attempt shows
/// whether an earlier one took effect.
const CAMPAIGN_ATTEMPTS: u32 = 3;

/// Pause between attempts to revoke a lease, in milliseconds.
const REVOKE_RETRY_MS: u64 = 150;

/// A term of leadership that this host has won.
#[derive(Clone, Debug)]
pub struct Term {
    /// Fencing token: the revision at which the leader key was created.
    pub token: Revision,
    /// Lease that the leader key is attached to.
    pub lease: LeaseId,
    /// Time until which the lease is guaranteed to hold, in milliseconds of [`clock::now_ms`].
    pub confirmed_until_ms: u64,
}

/// Tries once to become the leader; returns `None` if another host leads.
///
/// # Errors
/// Fails when the calls to the store fail. A failed attempt either created no leader key or left
/// one whose lease is not renewed and expires after `leader_ttl_ms`.
pub async fn campaign(shared: &HostState) -> Result<Option<Term>, StoreError> {
    let sent_ms = clock::now_ms();
    let granted = store::grant(&*shared.store, shared.config.leader_ttl_ms).await;
    watch::record_store_call(shared, "grant", &granted);
    let lease = granted?;
    let seed = format!("{}-{}-{}", shared.host_info.host, clock::unix_ms(), lease.0);
    let record = LeaderRecord {
        host: shared.host_info.host.clone(),
        address: shared.host_info.peer_address.clone(),
        nonce: collections::stable_hash(seed),
    };
    let value =
        record::encode(&record).map_err(|error| StoreError::Unavailable(error.to_string()))?;
    for _ in 0..CAMPAIGN_ATTEMPTS {
        let commit = Commit {
            conditions: vec![(record::LEADER.to_owned(), Expect::Absent)],
            puts: vec![(record::LEADER.to_owned(), value.clone(), Some(lease))],
            deletes: Vec::new(),
        };
        let result = store::commit(&*shared.store, commit, Priority::Control).await;
        watch::record_store_call(shared, "lead", &result);
        let token = match result {
            Ok(CommitOutcome::Written(token)) => token,
            Ok(CommitOutcome::Conflict(entries)) => {
                let leader = entries.first().and_then(watch::decode_leader);
                let ours = leader.clone().filter(|leader| leader.record == record);
                let Some(ours) = ours else {
                    shared.set_leader(leader);
                    revoke_lease(shared, lease).await;
                    return Ok(None);
                };
                ours.token
            }
            Err(StoreError::Indeterminate(_)) => continue,
            Err(error) => return Err(error),
        };
        let usable_ms = shared.config.leader_ttl_ms.saturating_sub(shared.config.leader_margin_ms);
        let confirmed_until_ms = sent_ms + usable_ms;
        decision_log::line("term_begun").with("token", token.0).with("lease", lease.0).end();
        shared.set_leader(Some(Leader { record, token }));
        return Ok(Some(Term { token, lease, confirmed_until_ms }));
    }
    Err(StoreError::Indeterminate(
        "the store answered no attempt to create the leader key".to_owned(),
    ))
}

/// Deletes the leader key that an earlier process of this host has left behind.
///
/// That process no longer runs, so there is no need to wait until its lease expires.
pub async fn delete_stale_term(shared: &HostState, former: &Leader) {
    let expect = Expect::Modified(former.token);
    let result = store::delete(&*shared.store, record::LEADER, expect, Priority::Control).await;
    watch::record_store_call(shared, "retire", &result);
    decision_log::line("term_retired")
        .with("token", former.token.0)
        .with("outcome", format_args!("{result:?}"))
        .end();
    match result {
        Ok(PutOutcome::Written(_) | PutOutcome::Conflict(None)) => {
            shared.set_leader(None);
        }
        Ok(PutOutcome::Conflict(Some(entry))) => {
            shared.set_leader(watch::decode_leader(&entry));
        }
        Err(_) => {}
    }
}

/// Revokes a lease, so that a successor need not wait until it expires; returns whether the lease
/// has ended.
pub async fn revoke_lease(shared: &HostState, lease: LeaseId) -> bool {
    let result = shared.store.call(Operation::Revoke { lease }, Priority::Control).await;
    watch::record_store_call(shared, "release", &result);
    match result {
        Ok(_) | Err(StoreError::LeaseGone) => true,
        Err(error) => {
            decision_log::line("release_failed").with("lease", lease.0).with("error", error).end();
            false
        }
    }
}

/// Revokes a lease and retries for up to `leader_release_ms` while the store is unavailable: some
/// stores do not count the time of an outage towards the time to live of a lease.
pub async fn revoke_lease_with_retries(shared: &HostState, lease: LeaseId) {
    let ends_ms = clock::now_ms() + shared.config.leader_release_ms;
    while !revoke_lease(shared, lease).await && clock::now_ms() < ends_ms {
        task::sleep(Duration::from_millis(REVOKE_RETRY_MS)).await;
    }
}
