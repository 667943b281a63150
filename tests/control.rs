//! Integration tests of configuration and membership over the fake store: propagation of changes,
//! store outages, sessions and call budgets.
#![allow(clippy::unwrap_used, reason = "tests panic on unexpected values")]
#![allow(clippy::disallowed_methods, reason = "each test starts its own runtime")]

mod control_support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use control_support::daemon::{client, eventually, member_record, Daemon, TOKEN};
use control_support::{declarations_variant, declarations_with_workers};
use hemlockrock::configs::http::HttpConfig;
use hemlockrock::configs::membership::{MembershipConfig, PeersConfig};
use hemlockrock::declarations::feed;
use hemlockrock::declarations::peer::{self, ConfigRequest, Peers};
use hemlockrock::declarations::publish::{self, Change, PublishError};
use hemlockrock::http::client::Pool;
use hemlockrock::http::rpc::{self, Call, RpcError};
use hemlockrock::membership::{self, Session};
use hemlockrock::standin::store::faults::Faults;
use hemlockrock::standin::store::StoreStandin;
use hemlockrock::store::{
    self, Answer, BoxFuture, Expect, Operation, Priority, Put, Store, StoreError,
};

/// Time within which every daemon must apply a change once the store is available, in
/// milliseconds.
const IN_FORCE_LIMIT_MS: u64 = 19_000;

/// Limit for conditions that normally hold well within a second, in milliseconds.
const WAIT_LIMIT_MS: u64 = 10_000;

async fn start_store() -> StoreStandin {
    StoreStandin::start("127.0.0.1:0").await.unwrap()
}

/// Wraps a store and fails its calls while disconnected. A call under way at that time takes
/// effect, but its answer is lost.
#[derive(Debug)]
struct DisconnectableStore {
    inner: Arc<dyn Store>,
    is_disconnected: AtomicBool,
}

impl Store for DisconnectableStore {
    fn call(
        &self,
        operation: Operation,
        priority: Priority,
    ) -> BoxFuture<'_, Result<Answer, StoreError>> {
        Box::pin(async move {
            if self.is_disconnected.load(Ordering::Acquire) {
                return Err(StoreError::Unavailable("disconnected".to_owned()));
            }
            let answer = self.inner.call(operation, priority).await;
            if self.is_disconnected.load(Ordering::Acquire) {
                return Err(StoreError::Indeterminate("disconnected".to_owned()));
            }
            answer
        })
    }
}

#[async_std::test]
async fn a_change_is_in_force_in_every_daemon_and_reported() {
    let standin = start_store().await;
    let first = Daemon::start("first", &standin.address(), &[]).await;
    let second = Daemon::start("second", &standin.address(), &[]).await;
    let store = client(&standin.address());
    let revision = feed::publish(store.as_ref(), &declarations_variant(7)).await.unwrap();
    eventually("change applied", IN_FORCE_LIMIT_MS, || {
        first.revision_in_force() == revision && second.revision_in_force() == revision
    })
    .await;
    assert_eq!(first.feed.current().declarations, declarations_variant(7));
    eventually("revision reported", WAIT_LIMIT_MS, || {
        let members = membership::members(&first.mirror.snapshot());
        members.len() == 2 && members.iter().all(|member| member.config_revision == revision)
    })
    .await;
}

#[async_std::test]
async fn changes_are_settled_when_half_of_the_answers_are_lost() {
    const CHANGES: u64 = 25;
    let standin = start_store().await;
    standin.set_faults(Faults { seed: 3, lose_answers: 0.5, ..Faults::default() });
    let store = client(&standin.address());
    for number in 1..=CHANGES {
        let mut change = Change::new("anna", "answers are lost");
        change.timeout_ms = 60_000;
        let receipt =
            publish::publish_change(store.as_ref(), &declarations_variant(number), &change).await;
        assert_eq!(receipt.unwrap().revision, number);
    }
}

#[async_std::test]
async fn a_publisher_that_loses_a_race_learns_the_winning_change() {
    let standin = start_store().await;
    let store = client(&standin.address());
    feed::publish(store.as_ref(), &declarations_variant(0)).await.unwrap();
    let change = |who: &str| Change::new(who, "a race").with_expected_revision(Some(1));
    let (anna, bert) = (change("anna"), change("bert"));
    let (one, two) = (declarations_variant(1), declarations_variant(2));
    let (first, second) = futures_lite::future::zip(
        publish::publish_change(store.as_ref(), &one, &anna),
        publish::publish_change(store.as_ref(), &two, &bert),
    )
    .await;
    let (winner, loser) = if first.is_ok() { (first, second) } else { (second, first) };
    assert_eq!(winner.as_ref().unwrap().revision, 2);
    match loser.unwrap_err() {
        PublishError::Conflict(entry) => assert_eq!(entry.change, winner.unwrap().change),
        PublishError::RevisionMismatch { expected, current } => {
            assert_eq!((expected, current), (1, 2));
        }
        other => panic!("{other}"),
    }
}

#[async_std::test]
async fn a_daemon_restarted_in_a_store_outage_fetches_the_newest_revision_from_a_peer() {
    let standin = start_store().await;
    let store = client(&standin.address());
    feed::publish(store.as_ref(), &declarations_variant(1)).await.unwrap();
    let peer = Daemon::start("peer", &standin.address(), &[]).await;
    eventually("revision 1", WAIT_LIMIT_MS, || peer.revision_in_force() == 1).await;
    feed::publish(store.as_ref(), &declarations_variant(2)).await.unwrap();
    eventually("revision 2", WAIT_LIMIT_MS, || peer.revision_in_force() == 2).await;
    standin.set_faults(Faults { down: true, ..Faults::default() });
    let restarted = Daemon::start("restarted", &standin.address(), &[peer.address()]).await;
    eventually("revision from a peer", WAIT_LIMIT_MS, || restarted.revision_in_force() == 2).await;
    assert_eq!(restarted.feed.current().declarations, declarations_variant(2));
    standin.set_faults(Faults::default());
    eventually("mirror current", IN_FORCE_LIMIT_MS, || restarted.mirror.snapshot().is_current)
        .await;
    assert_eq!(restarted.revision_in_force(), 2);
}

#[async_std::test]
async fn an_older_root_never_replaces_a_newer_one() {
    let standin = start_store().await;
    let store = client(&standin.address());
    feed::publish(store.as_ref(), &declarations_variant(1)).await.unwrap();
    let old = store::get(store.as_ref(), feed::ROOT, Priority::Interactive).await.unwrap().unwrap();
    feed::publish(store.as_ref(), &declarations_variant(2)).await.unwrap();
    let daemon = Daemon::start("daemon", &standin.address(), &[]).await;
    eventually("revision 2", WAIT_LIMIT_MS, || daemon.revision_in_force() == 2).await;
    let key = feed::ROOT.to_owned();
    let put = Put { key, value: old.value, expect: Expect::Any, lease: None };
    store::put(store.as_ref(), put, Priority::Interactive).await.unwrap();
    let seen =
        store::get(store.as_ref(), feed::ROOT, Priority::Interactive).await.unwrap().unwrap();
    eventually("old root mirrored", WAIT_LIMIT_MS, || {
        daemon.mirror.snapshot().revision >= seen.modified
    })
    .await;
    task::sleep(Duration::from_millis(300)).await;
    assert_eq!(daemon.revision_in_force(), 2);
}

#[async_std::test]
async fn a_reconnected_daemon_applies_only_the_last_of_ten_changes() {
    let standin = start_store().await;
    let store = client(&standin.address());
    feed::publish(store.as_ref(), &declarations_variant(0)).await.unwrap();
    let inner: Arc<dyn Store> = client(&standin.address());
    let disconnectable =
        Arc::new(DisconnectableStore { inner, is_disconnected: AtomicBool::new(false) });
    let daemon =
        Daemon::start_with_store("cut", Arc::clone(&disconnectable) as Arc<dyn Store>, &[]).await;
    eventually("revision 1", WAIT_LIMIT_MS, || daemon.revision_in_force() == 1).await;
    disconnectable.is_disconnected.store(true, Ordering::Release);
    for number in 1..=10 {
        feed::publish(store.as_ref(), &declarations_variant(number)).await.unwrap();
    }
    eventually("disconnected", WAIT_LIMIT_MS, || !daemon.mirror.snapshot().is_current).await;
    assert_eq!(daemon.revision_in_force(), 1);
    disconnectable.is_disconnected.store(false, Ordering::Release);
    let mut seen = vec![1];
    eventually("revision 11", IN_FORCE_LIMIT_MS, || {
        let revision = daemon.revision_in_force();
        if seen.last() != Some(&revision) {
            seen.push(revision);
        }
        revision == 11
    })
    .await;
    assert_eq!(seen, [1, 11]);
}

#[async_std::test]
async fn the_mirror_recovers_from_compaction_and_a_silent_store() {
    let standin = start_store().await;
    let store = client(&standin.address());
    let daemon = Daemon::start("daemon", &standin.address(), &[]).await;
    feed::publish(store.as_ref(), &declarations_variant(1)).await.unwrap();
    eventually("revision 1", WAIT_LIMIT_MS, || daemon.revision_in_force() == 1).await;
    standin.set_faults(Faults { compact: true, ..Faults::default() });
    feed::publish(store.as_ref(), &declarations_variant(2)).await.unwrap();
    eventually("after compaction", IN_FORCE_LIMIT_MS, || daemon.revision_in_force() == 2).await;
    standin.set_faults(Faults { silent: true, ..Faults::default() });
    eventually("mirror not current", WAIT_LIMIT_MS, || !daemon.mirror.snapshot().is_current).await;
    standin.set_faults(Faults::default());
    feed::publish(store.as_ref(), &declarations_variant(3)).await.unwrap();
    eventually("after silence", IN_FORCE_LIMIT_MS, || daemon.revision_in_force() == 3).await;
}

#[async_std::test]
async fn a_slow_store_that_loses_answers_delays_changes_but_keeps_sessions() {
    let standin = start_store().await;
    let store = client(&standin.address());
    let daemon = Daemon::start("daemon", &standin.address(), &[]).await;
    eventually("session lease", WAIT_LIMIT_MS, || daemon.session.lease().is_some()).await;
    let faults = Faults { seed: 5, delay_ms: 150, lose_answers: 0.2, ..Faults::default() };
    standin.set_faults(faults);
    let change = Change::new("anna", "slow");
    let receipt =
        publish::publish_change(store.as_ref(), &declarations_variant(1), &change).await.unwrap();
    eventually("change applied", IN_FORCE_LIMIT_MS, || {
        daemon.revision_in_force() == receipt.revision
    })
    .await;
    eventually("session lease", WAIT_LIMIT_MS, || daemon.session.lease().is_some()).await;
}

#[async_std::test]
async fn a_lost_lease_starts_a_new_session_with_a_higher_incarnation() {
    let standin = start_store().await;
    let daemon = Daemon::start("daemon", &standin.address(), &[]).await;
    eventually("session lease", WAIT_LIMIT_MS, || daemon.session.lease().is_some()).await;
    let (lease, incarnation) =
        (daemon.session.lease().unwrap(), daemon.session.member().incarnation);
    let store = client(&standin.address());
    let revoke = Operation::Revoke { lease };
    store.call(revoke, Priority::Control).await.unwrap();
    eventually("another session", WAIT_LIMIT_MS, || {
        daemon.session.lease().is_some_and(|other| other != lease)
    })
    .await;
    assert!(daemon.session.member().incarnation > incarnation);
    eventually("record of the new session", WAIT_LIMIT_MS, || {
        let members = membership::members(&daemon.mirror.snapshot());
        members.iter().any(|member| member.incarnation > incarnation)
    })
    .await;
}

#[async_std::test]
async fn a_process_yields_its_name_to_a_later_incarnation() {
    let standin = start_store().await;
    let store: Arc<dyn Store> = client(&standin.address());
    let config = MembershipConfig::default;
    let old = Session::start(Arc::clone(&store), config(), member_record("same", "127.0.0.1:1"));
    eventually("old session", WAIT_LIMIT_MS, || old.lease().is_some()).await;
    let mut later = member_record("same", "127.0.0.1:2");
    later.incarnation = 2;
    let new = Session::start(Arc::clone(&store), config(), later);
    eventually("new session", WAIT_LIMIT_MS, || new.lease().is_some()).await;
    eventually("old yields", WAIT_LIMIT_MS, || old.is_replaced() && old.lease().is_none()).await;
    old.update(|member| member.is_leaving = true);
    assert!(!new.is_replaced());
    task::sleep(Duration::from_millis(1_500)).await;
    let key = new.member().key();
    let entry = store::get(store.as_ref(), key.as_str(), Priority::Control).await.unwrap().unwrap();
    let record: membership::Member = serde_json::from_slice(&entry.value).unwrap();
    assert_eq!(record.address, "127.0.0.1:2");
    new.stop().await;
    eventually("old session restarted", WAIT_LIMIT_MS, || old.lease().is_some()).await;
}

#[async_std::test]
async fn an_earlier_incarnation_that_joins_late_does_not_take_the_name() {
    let standin = start_store().await;
    let store: Arc<dyn Store> = client(&standin.address());
    let mut later = member_record("same", "127.0.0.1:2");
    later.incarnation = 2;
    let new = Session::start(Arc::clone(&store), MembershipConfig::default(), later);
    let key = new.member().key();
    let read = || store::get(store.as_ref(), key.as_str(), Priority::Control);
    while read().await.unwrap().is_none() {
        task::sleep(Duration::from_millis(20)).await;
    }
    let old = member_record("same", "127.0.0.1:1");
    let old = Session::start(Arc::clone(&store), MembershipConfig::default(), old);
    eventually("old yields", WAIT_LIMIT_MS, || old.is_replaced()).await;
    let record: membership::Member =
        serde_json::from_slice(&read().await.unwrap().unwrap().value).unwrap();
    assert_eq!(record.address, "127.0.0.1:2");
    assert!(!new.is_replaced() && new.lease().is_some());
}

#[async_std::test]
async fn a_stopped_session_leaves_no_record() {
    let standin = start_store().await;
    let daemon = Daemon::start("daemon", &standin.address(), &[]).await;
    eventually("session lease", WAIT_LIMIT_MS, || {
        !membership::members(&daemon.mirror.snapshot()).is_empty()
    })
    .await;
    daemon.session.stop().await;
    eventually("record removed", WAIT_LIMIT_MS, || {
        membership::members(&daemon.mirror.snapshot()).is_empty()
    })
    .await;
    assert_eq!(daemon.session.lease(), None);
}

#[async_std::test]
async fn daemons_recovering_from_an_outage_stay_within_the_call_budget() {
    const DAEMONS: u64 = 24;
    const WRITES_PER_S: u64 = 150;
    const READS_PER_S: u64 = 1_000;
    const WATCHED_S: u64 = 10;
    let standin = start_store().await;
    let store = client(&standin.address());
    feed::publish(store.as_ref(), &declarations_variant(1)).await.unwrap();
    let mut daemons = Vec::new();
    for number in 0..DAEMONS {
        let name = format!("entry-{number}");
        daemons.push(Daemon::start(&name, &standin.address(), &[]).await);
    }
    let all = |revision| daemons.iter().all(|daemon| daemon.revision_in_force() == revision);
    eventually("revision 1 everywhere", WAIT_LIMIT_MS, || all(1)).await;
    standin.set_faults(Faults { down: true, ..Faults::default() });
    task::sleep(Duration::from_millis(5_000)).await;
    standin.set_faults(Faults::default());
    standin.reset_counters();
    let mut before = standin.counters();
    for second in 0..WATCHED_S {
        task::sleep(Duration::from_secs(1)).await;
        let now = standin.counters();
        let writes = now.writes - before.writes;
        let reads = now.reads + now.watches - before.reads - before.watches;
        assert!(writes <= WRITES_PER_S, "second {second}: {writes} writes");
        assert!(reads <= READS_PER_S, "second {second}: {reads} reads");
        before = now;
    }
    feed::publish(store.as_ref(), &declarations_variant(2)).await.unwrap();
    eventually("revision 2 everywhere", IN_FORCE_LIMIT_MS, || all(2)).await;
}

#[async_std::test]
async fn changing_one_worker_of_2300_reads_only_one_part() {
    const WORKERS: usize = 2_300;
    let standin = start_store().await;
    let store = client(&standin.address());
    let mut declarations = declarations_with_workers(WORKERS);
    feed::publish(store.as_ref(), &declarations).await.unwrap();
    let daemon = Daemon::start("daemon", &standin.address(), &[]).await;
    eventually("all workers", IN_FORCE_LIMIT_MS, || daemon.revision_in_force() == 1).await;
    assert_eq!(daemon.feed.current().declarations, declarations);
    let before = standin.counters();
    declarations.workers[1_000].drain = true;
    feed::publish(store.as_ref(), &declarations).await.unwrap();
    eventually("revision 2", IN_FORCE_LIMIT_MS, || daemon.revision_in_force() == 2).await;
    let reads = standin.counters().reads - before.reads;
    assert_eq!(daemon.feed.current().declarations, declarations);
    const CHECKS: u64 = 2;
    assert!(reads <= 4 + CHECKS, "{reads} reads for root, manifests and the changed part");
    let fresh = Daemon::start("fresh", "127.0.0.1:9", &[daemon.address()]).await;
    eventually("revision from a peer", WAIT_LIMIT_MS, || fresh.revision_in_force() == 2).await;
    assert_eq!(fresh.feed.current().declarations, declarations);
}

#[async_std::test]
async fn a_document_beyond_the_value_limit_is_refused() {
    let standin = start_store().await;
    let store = client(&standin.address());
    let mut declarations = declarations_variant(1);
    let long = "x".repeat(2_000_000);
    declarations.workers[0].labels.insert("long".to_owned(), long);
    let change = Change::new("anna", "too large");
    let refused = publish::publish_change(store.as_ref(), &declarations, &change).await;
    assert!(matches!(refused, Err(PublishError::NotAccepted(StoreError::TooLarge))));
}

#[async_std::test]
async fn peer_requests_without_the_token_are_refused() {
    let standin = start_store().await;
    let daemon = Daemon::start("daemon", &standin.address(), &[]).await;
    let pool = Pool::new(HttpConfig::default());
    let address = daemon.address();
    for token in ["", "another", &TOKEN[1..]] {
        let call = Call { address: &address, path: peer::PATH, token, timeout_ms: 1_000 };
        let answer: Result<peer::ConfigResponse, RpcError> =
            rpc::call(&pool, &call, &ConfigRequest::default()).await;
        assert!(matches!(answer, Err(RpcError::ErrorResponse(error)) if error.status == 401));
    }
    let peers = Peers::new(PeersConfig::default(), pool, TOKEN, "mid-1");
    let asked = peer::fetch(&peers, &address, &feed::Document::default()).await;
    assert!(asked.unwrap().is_none());
}

#[async_std::test]
async fn publishing_backs_off_from_a_rate_limited_store_and_succeeds() {
    const WRITES_PER_S: u64 = 20;
    let standin = start_store().await;
    standin.set_faults(Faults { writes_per_s: WRITES_PER_S, ..Faults::default() });
    let store = client(&standin.address());
    let mut change = Change::new("anna", "a store at its limit");
    change.timeout_ms = 60_000;
    let declarations = declarations_with_workers(2_300);
    let receipt = publish::publish_change(store.as_ref(), &declarations, &change).await;
    assert_eq!(receipt.unwrap().revision, 1);
    let counters = standin.counters();
    assert!(counters.refused <= counters.writes / 2, "{counters:?}");
}
