//! One leader for the cell: a key on a lease in the store, whose creation counts the terms.

use std::time::Duration;

use async_std::task;

use crate::clock;
use crate::collections;
use crate::decision_log;
use crate::queue::record::{self, LeaderRecord};
use crate::queue::shared::{Leader, Shared};
use crate::queue::watch;
use crate::store::{
    self, Commit, CommitOutcome, Expect, LeaseId, Operation, Priority, PutOutcome, Revision,
    StoreError,
};

/// Tries to settle an answer that was lost before the try is given up.
const SETTLE_TRIES: u32 = 3;

/// Pause before a lease is to be ended again, in milliseconds.
const RELEASE_RETRY_MS: u64 = 150;

/// A term as leader.
#[derive(Clone, Debug)]
pub struct Term {
    /// Fencing token: the revision at which the key was created.
    pub token: Revision,
    /// Lease that the key hangs on.
    pub lease: LeaseId,
    /// Until when the lease certainly holds, in milliseconds.
    pub confirmed_until_ms: u64,
}

/// Tries to become the leader once.
///
/// # Errors
/// As the calls to the store; nobody is the leader by a failed try, or its lease soon lapses.
pub async fn campaign(shared: &Shared) -> Result<Option<Term>, StoreError> {
    let sent_ms = clock::now_ms();
    let granted = store::grant(&*shared.store, shared.config.leader_ttl_ms).await;
    watch::note(shared, "grant", &granted);
    let lease = granted?;
    let seed = format!("{}-{}-{}", shared.site.host, clock::unix_ms(), lease.0);
    let record = LeaderRecord {
        host: shared.site.host.clone(),
        address: shared.site.peer_address.clone(),
        nonce: collections::stable_hash(seed),
    };
    let value = record::encode(&record).map_err(|error| StoreError::Away(error.to_string()))?;
    for _ in 0..SETTLE_TRIES {
        let commit = Commit {
            conditions: vec![(record::LEADER.to_owned(), Expect::Absent)],
            puts: vec![(record::LEADER.to_owned(), value.clone(), Some(lease))],
            deletes: Vec::new(),
        };
        let result = store::commit(&*shared.store, commit, Priority::Control).await;
        watch::note(shared, "lead", &result);
        let token = match result {
            Ok(CommitOutcome::Written(token)) => token,
            Ok(CommitOutcome::Conflict(entries)) => {
                let leader = entries.first().and_then(watch::leader_of);
                let ours = leader.clone().filter(|leader| leader.record == record);
                let Some(ours) = ours else {
                    shared.set_leader(leader);
                    release(shared, lease).await;
                    return Ok(None);
                };
                ours.token
            }
            Err(StoreError::Lost(_)) => continue,
            Err(error) => return Err(error),
        };
        let usable_ms = shared.config.leader_ttl_ms.saturating_sub(shared.config.leader_margin_ms);
        let confirmed_until_ms = sent_ms + usable_ms;
        decision_log::line("term_begun").with("token", token.0).with("lease", lease.0).end();
        shared.set_leader(Some(Leader { record, token }));
        return Ok(Some(Term { token, lease, confirmed_until_ms }));
    }
    Err(StoreError::Lost("no try to lead was answered".to_owned()))
}

/// Removes the key of a term that an earlier process of this host has left behind.
///
/// That process is gone, so that nobody has to wait for its lease to lapse.
pub async fn retire(shared: &Shared, former: &Leader) {
    let expect = Expect::Modified(former.token);
    let result = store::delete(&*shared.store, record::LEADER, expect, Priority::Control).await;
    watch::note(shared, "retire", &result);
    decision_log::line("term_retired")
        .with("token", former.token.0)
        .with("outcome", format_args!("{result:?}"))
        .end();
    match result {
        Ok(PutOutcome::Written(_) | PutOutcome::Conflict(None)) => {
            shared.set_leader(None);
        }
        Ok(PutOutcome::Conflict(Some(entry))) => {
            shared.set_leader(watch::leader_of(&entry));
        }
        Err(_) => {}
    }
}

/// Ends a lease, so that nobody waits for it to lapse; returns whether it has ended.
pub async fn release(shared: &Shared, lease: LeaseId) -> bool {
    let result = shared.store.call(Operation::Revoke { lease }, Priority::Control).await;
    watch::note(shared, "release", &result);
    match result {
        Ok(_) | Err(StoreError::LeaseGone) => true,
        Err(error) => {
            decision_log::line("release_failed").with("lease", lease.0).with("error", error).end();
            false
        }
    }
}

/// As [`release`], again while the store is away: some stores do not count the time of an outage
/// towards a lease.
pub async fn release_patiently(shared: &Shared, lease: LeaseId) {
    let ends_ms = clock::now_ms() + shared.config.leader_release_ms;
    while !release(shared, lease).await && clock::now_ms() < ends_ms {
        task::sleep(Duration::from_millis(RELEASE_RETRY_MS)).await;
    }
}
