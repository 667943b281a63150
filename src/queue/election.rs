//! Leader election: the leader holds a leased key in the store, and the revision at which the key
//! was created is the fencing token of its term.

use std::time::Duration;

use async_std::task;

use crate::clock;
use crate::collections;
use crate::decision_log;
use crate::http::rpc;
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
    /// A time at which the leader key existed, in milliseconds of [`clock::now_ms`].
    pub begun_ms: u64,
    /// Value of the leader key.
    pub record: LeaderRecord,
    /// Leaders of former terms whose orders may still have an effect; `None` if the store does not
    /// tell.
    pub former_leaders: Option<Vec<LeaderRecord>>,
}

/// The stored terms that a campaign found.
#[derive(Debug)]
struct StoredTerms {
    /// State of the record that the campaign depends on.
    expect: Expect,
    /// Their leaders; `None` if there is no such record or it is malformed.
    leaders: Option<Vec<LeaderRecord>>,
}

/// Tries once to become the leader; returns `None` if another host leads.
///
/// # Errors
/// Fails when the calls to the store fail. A failed attempt either created no leader key or left
/// one whose lease is not renewed and expires after `leader_ttl_ms`.
pub async fn campaign(shared: &HostState) -> Result<Option<Term>, StoreError> {
    let former = read_terms(shared).await?;
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
    let mut terms = former.leaders.clone().unwrap_or_default();
    // A later term of a host shows that its earlier ones have ended.
    terms.retain(|leader| !shared.is_this_host(leader));
    terms.push(record.clone());
    let encoded = record::encode(&record).and_then(|leader| Ok((leader, record::encode(&terms)?)));
    let (leader_value, terms_value) =
        encoded.map_err(|error| StoreError::Unavailable(error.to_string()))?;
    shared.begin_term(record.nonce);
    for _ in 0..CAMPAIGN_ATTEMPTS {
        let commit = Commit {
            conditions: vec![
                (record::LEADER.to_owned(), Expect::Absent),
                (record::TERMS.to_owned(), former.expect),
            ],
            // The answer carries the revision of the last write.
            puts: vec![
                (record::TERMS.to_owned(), terms_value.clone(), None),
                (record::LEADER.to_owned(), leader_value.clone(), Some(lease)),
            ],
            deletes: Vec::new(),
        };
        let result = store::commit(&*shared.store, commit, Priority::Control).await;
        watch::record_store_call(shared, "lead", &result);
        let token = match result {
            Ok(CommitOutcome::Written(token)) => token,
            Ok(CommitOutcome::Conflict(entries)) => {
                let leader = entries.iter().find(|entry| entry.key == record::LEADER);
                let leader = leader.and_then(watch::decode_leader);
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
        let begun_ms = clock::now_ms();
        decision_log::line("term_begun").with("token", token.0).with("lease", lease.0).end();
        shared.set_leader(Some(Leader { record: record.clone(), token }));
        let former_leaders = former.leaders;
        return Ok(Some(Term {
            token,
            lease,
            confirmed_until_ms,
            begun_ms,
            record,
            former_leaders,
        }));
    }
    Err(StoreError::Indeterminate(
        "the store answered no attempt to create the leader key".to_owned(),
    ))
}

/// Reads the terms whose orders may still have an effect.
async fn read_terms(shared: &HostState) -> Result<StoredTerms, StoreError> {
    let read = store::get(&*shared.store, record::TERMS, Priority::Control).await;
    watch::record_store_call(shared, "get", &read);
    let Some(entry) = read? else {
        return Ok(StoredTerms { expect: Expect::Absent, leaders: None });
    };
    let leaders = rpc::decode::<Vec<LeaderRecord>>(&entry.value);
    if let Err(error) = &leaders {
        decision_log::line("terms_unreadable").with("error", error).end();
    }
    Ok(StoredTerms { expect: Expect::Modified(entry.modified), leaders: leaders.ok() })
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
