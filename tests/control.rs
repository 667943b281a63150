//! The control of the cell over the stand-in store: propagation, outages, sessions and budgets.
#![allow(clippy::unwrap_used, reason = "a test stops at what is missing")]
#![allow(clippy::disallowed_methods, reason = "each test is the top of its own runtime")]

mod control_support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use control_support::daemon::{client, eventually, member, Daemon, TOKEN};
use control_support::{variant, workers};
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

/// Time within which a change has to be in force once the store is there, in milliseconds.
const IN_FORCE_LIMIT_MS: u64 = 19_000;

/// Generous limit for what takes well under a second, in milliseconds.
const SOON_MS: u64 = 10_000;

async fn standin() -> StoreStandin {
    StoreStandin::start("127.0.0.1:0").await.unwrap()
}

/// A store that can be cut off.
#[derive(Debug)]
struct CuttableStore {
    inner: Arc<dyn Store>,
    is_cut: AtomicBool,
}

impl Store for CuttableStore {
    fn call(
        &self,
        operation: Operation,
        priority: Priority,
    ) -> BoxFuture<'_, Result<Answer, StoreError>> {
        Box::pin(async move {
            if self.is_cut.load(Ordering::Acquire) {
                return Err(StoreError::Away("cut".to_owned()));
            }
            let answer = self.inner.call(operation, priority).await;
            if self.is_cut.load(Ordering::Acquire) {
                return Err(StoreError::Lost("cut".to_owned()));
            }
            answer
        })
    }
}

#[async_std::test]
async fn a_change_is_in_force_in_every_daemon_and_reported() {
    let standin = standin().await;
    let first = Daemon::start("first", &standin.address(), &[]).await;
    let second = Daemon::start("second", &standin.address(), &[]).await;
    let store = client(&standin.address());
    let revision = feed::publish(store.as_ref(), &variant(7)).await.unwrap();
    eventually("in force", IN_FORCE_LIMIT_MS, || {
        first.revision() == revision && second.revision() == revision
    })
    .await;
    assert_eq!(first.feed.current().declarations, variant(7));
    eventually("reported", SOON_MS, || {
        let members = membership::members(&first.mirror.snapshot());
        members.len() == 2 && members.iter().all(|member| member.config_revision == revision)
    })
    .await;
}

#[async_std::test]
async fn changes_are_settled_when_half_of_the_answers_are_lost() {
    const CHANGES: u64 = 25;
    let standin = standin().await;
    standin.set_faults(Faults { seed: 3, lose_answers: 0.5, ..Faults::default() });
    let store = client(&standin.address());
    for number in 1..=CHANGES {
        let mut change = Change::new("anna", "answers are lost");
        change.timeout_ms = 60_000;
        let receipt = publish::publish_change(store.as_ref(), &variant(number), &change).await;
        assert_eq!(receipt.unwrap().revision, number);
    }
}

#[async_std::test]
async fn the_loser_of_a_race_is_told_who_won() {
    let standin = standin().await;
    let store = client(&standin.address());
    feed::publish(store.as_ref(), &variant(0)).await.unwrap();
    let change = |who: &str| Change::new(who, "a race").with_expected_revision(Some(1));
    let (anna, bert) = (change("anna"), change("bert"));
    let (one, two) = (variant(1), variant(2));
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
async fn a_host_restarted_in_an_outage_takes_the_newest_from_a_peer_and_never_goes_back() {
    let standin = standin().await;
    let store = client(&standin.address());
    feed::publish(store.as_ref(), &variant(1)).await.unwrap();
    let peer = Daemon::start("peer", &standin.address(), &[]).await;
    eventually("first", SOON_MS, || peer.revision() == 1).await;
    feed::publish(store.as_ref(), &variant(2)).await.unwrap();
    eventually("second", SOON_MS, || peer.revision() == 2).await;
    standin.set_faults(Faults { down: true, ..Faults::default() });
    let restarted = Daemon::start("restarted", &standin.address(), &[peer.address()]).await;
    eventually("from a peer", SOON_MS, || restarted.revision() == 2).await;
    assert_eq!(restarted.feed.current().declarations, variant(2));
    standin.set_faults(Faults::default());
    eventually("current", IN_FORCE_LIMIT_MS, || restarted.mirror.snapshot().is_current).await;
    assert_eq!(restarted.revision(), 2);
}

#[async_std::test]
async fn an_older_root_never_replaces_a_newer_one() {
    let standin = standin().await;
    let store = client(&standin.address());
    feed::publish(store.as_ref(), &variant(1)).await.unwrap();
    let old = store::get(store.as_ref(), feed::ROOT, Priority::Record).await.unwrap().unwrap();
    feed::publish(store.as_ref(), &variant(2)).await.unwrap();
    let daemon = Daemon::start("daemon", &standin.address(), &[]).await;
    eventually("second", SOON_MS, || daemon.revision() == 2).await;
    let key = feed::ROOT.to_owned();
    let put = Put { key, value: old.value, expect: Expect::Any, lease: None };
    store::put(store.as_ref(), put, Priority::Record).await.unwrap();
    let seen = store::get(store.as_ref(), feed::ROOT, Priority::Record).await.unwrap().unwrap();
    eventually("seen", SOON_MS, || daemon.mirror.snapshot().revision >= seen.modified).await;
    task::sleep(Duration::from_millis(300)).await;
    assert_eq!(daemon.revision(), 2);
}

#[async_std::test]
async fn a_daemon_cut_off_through_ten_changes_applies_the_last_only() {
    let standin = standin().await;
    let store = client(&standin.address());
    feed::publish(store.as_ref(), &variant(0)).await.unwrap();
    let inner: Arc<dyn Store> = client(&standin.address());
    let cuttable = Arc::new(CuttableStore { inner, is_cut: AtomicBool::new(false) });
    let daemon = Daemon::start_on("cut", Arc::clone(&cuttable) as Arc<dyn Store>, &[]).await;
    eventually("first", SOON_MS, || daemon.revision() == 1).await;
    cuttable.is_cut.store(true, Ordering::Release);
    for number in 1..=10 {
        feed::publish(store.as_ref(), &variant(number)).await.unwrap();
    }
    eventually("cut off", SOON_MS, || !daemon.mirror.snapshot().is_current).await;
    assert_eq!(daemon.revision(), 1);
    cuttable.is_cut.store(false, Ordering::Release);
    let mut seen = vec![1];
    eventually("last", IN_FORCE_LIMIT_MS, || {
        let revision = daemon.revision();
        if seen.last() != Some(&revision) {
            seen.push(revision);
        }
        revision == 11
    })
    .await;
    assert_eq!(seen, [1, 11]);
}

#[async_std::test]
async fn the_copy_survives_gaps_and_a_silent_store() {
    let standin = standin().await;
    let store = client(&standin.address());
    let daemon = Daemon::start("daemon", &standin.address(), &[]).await;
    feed::publish(store.as_ref(), &variant(1)).await.unwrap();
    eventually("first", SOON_MS, || daemon.revision() == 1).await;
    standin.set_faults(Faults { compact: true, ..Faults::default() });
    feed::publish(store.as_ref(), &variant(2)).await.unwrap();
    eventually("after a gap", IN_FORCE_LIMIT_MS, || daemon.revision() == 2).await;
    standin.set_faults(Faults { silent: true, ..Faults::default() });
    eventually("cut off", SOON_MS, || !daemon.mirror.snapshot().is_current).await;
    standin.set_faults(Faults::default());
    feed::publish(store.as_ref(), &variant(3)).await.unwrap();
    eventually("after silence", IN_FORCE_LIMIT_MS, || daemon.revision() == 3).await;
}

#[async_std::test]
async fn a_slow_store_that_loses_answers_delays_changes_but_keeps_sessions() {
    let standin = standin().await;
    let store = client(&standin.address());
    let daemon = Daemon::start("daemon", &standin.address(), &[]).await;
    eventually("session", SOON_MS, || daemon.session.lease().is_some()).await;
    let faults = Faults { seed: 5, delay_ms: 150, lose_answers: 0.2, ..Faults::default() };
    standin.set_faults(faults);
    let change = Change::new("anna", "slow");
    let receipt = publish::publish_change(store.as_ref(), &variant(1), &change).await.unwrap();
    eventually("in force", IN_FORCE_LIMIT_MS, || daemon.revision() == receipt.revision).await;
    eventually("session", SOON_MS, || daemon.session.lease().is_some()).await;
}

#[async_std::test]
async fn a_session_that_lapsed_begins_again_as_another_incarnation() {
    let standin = standin().await;
    let daemon = Daemon::start("daemon", &standin.address(), &[]).await;
    eventually("session", SOON_MS, || daemon.session.lease().is_some()).await;
    let (lease, incarnation) =
        (daemon.session.lease().unwrap(), daemon.session.member().incarnation);
    let store = client(&standin.address());
    let revoke = Operation::Revoke { lease };
    store.call(revoke, Priority::Control).await.unwrap();
    eventually("another session", SOON_MS, || {
        daemon.session.lease().is_some_and(|other| other != lease)
    })
    .await;
    assert!(daemon.session.member().incarnation > incarnation);
    eventually("its record", SOON_MS, || {
        let members = membership::members(&daemon.mirror.snapshot());
        members.iter().any(|member| member.incarnation > incarnation)
    })
    .await;
}

#[async_std::test]
async fn a_process_gives_way_to_a_later_one_of_its_name() {
    let standin = standin().await;
    let store: Arc<dyn Store> = client(&standin.address());
    let config = MembershipConfig::default;
    let old = Session::start(Arc::clone(&store), config(), member("same", "127.0.0.1:1"));
    eventually("old", SOON_MS, || old.lease().is_some()).await;
    let mut later = member("same", "127.0.0.1:2");
    later.incarnation = 2;
    let new = Session::start(Arc::clone(&store), config(), later);
    eventually("new", SOON_MS, || new.lease().is_some()).await;
    eventually("old gives way", SOON_MS, || old.is_replaced() && old.lease().is_none()).await;
    old.update(|member| member.is_leaving = true);
    assert!(!new.is_replaced());
    task::sleep(Duration::from_millis(1_500)).await;
    let key = new.member().key();
    let entry = store::get(store.as_ref(), key.as_str(), Priority::Control).await.unwrap().unwrap();
    let record: membership::Member = serde_json::from_slice(&entry.value).unwrap();
    assert_eq!(record.address, "127.0.0.1:2");
    new.stop().await;
    eventually("old is back", SOON_MS, || old.lease().is_some()).await;
}

#[async_std::test]
async fn a_process_that_joins_late_does_not_take_the_name_of_a_later_one() {
    let standin = standin().await;
    let store: Arc<dyn Store> = client(&standin.address());
    let mut later = member("same", "127.0.0.1:2");
    later.incarnation = 2;
    let new = Session::start(Arc::clone(&store), MembershipConfig::default(), later);
    let key = new.member().key();
    let read = || store::get(store.as_ref(), key.as_str(), Priority::Control);
    while read().await.unwrap().is_none() {
        task::sleep(Duration::from_millis(20)).await;
    }
    let old = member("same", "127.0.0.1:1");
    let old = Session::start(Arc::clone(&store), MembershipConfig::default(), old);
    eventually("old gives way", SOON_MS, || old.is_replaced()).await;
    let record: membership::Member =
        serde_json::from_slice(&read().await.unwrap().unwrap().value).unwrap();
    assert_eq!(record.address, "127.0.0.1:2");
    assert!(!new.is_replaced() && new.lease().is_some());
}

#[async_std::test]
async fn a_stopped_session_leaves_no_record() {
    let standin = standin().await;
    let daemon = Daemon::start("daemon", &standin.address(), &[]).await;
    eventually("session", SOON_MS, || !membership::members(&daemon.mirror.snapshot()).is_empty())
        .await;
    daemon.session.stop().await;
    eventually("gone", SOON_MS, || membership::members(&daemon.mirror.snapshot()).is_empty()).await;
    assert_eq!(daemon.session.lease(), None);
}

#[async_std::test]
async fn daemons_back_after_an_outage_stay_inside_the_budget() {
    const DAEMONS: u64 = 24;
    const WRITES_PER_S: u64 = 150;
    const READS_PER_S: u64 = 1_000;
    const WATCHED_S: u64 = 10;
    let standin = standin().await;
    let store = client(&standin.address());
    feed::publish(store.as_ref(), &variant(1)).await.unwrap();
    let mut daemons = Vec::new();
    for number in 0..DAEMONS {
        let name = format!("entry-{number}");
        daemons.push(Daemon::start(&name, &standin.address(), &[]).await);
    }
    let all = |revision| daemons.iter().all(|daemon| daemon.revision() == revision);
    eventually("all", SOON_MS, || all(1)).await;
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
    feed::publish(store.as_ref(), &variant(2)).await.unwrap();
    eventually("all again", IN_FORCE_LIMIT_MS, || all(2)).await;
}

#[async_std::test]
async fn a_change_of_one_worker_in_2300_reads_one_part() {
    const WORKERS: usize = 2_300;
    let standin = standin().await;
    let store = client(&standin.address());
    let mut declarations = workers(WORKERS);
    feed::publish(store.as_ref(), &declarations).await.unwrap();
    let daemon = Daemon::start("daemon", &standin.address(), &[]).await;
    eventually("all workers", IN_FORCE_LIMIT_MS, || daemon.revision() == 1).await;
    assert_eq!(daemon.feed.current().declarations, declarations);
    let before = standin.counters();
    declarations.workers[1_000].drain = true;
    feed::publish(store.as_ref(), &declarations).await.unwrap();
    eventually("changed", IN_FORCE_LIMIT_MS, || daemon.revision() == 2).await;
    let reads = standin.counters().reads - before.reads;
    assert_eq!(daemon.feed.current().declarations, declarations);
    const CHECKS: u64 = 2;
    assert!(reads <= 4 + CHECKS, "{reads} reads: root, manifests and the part");
    let fresh = Daemon::start("fresh", "127.0.0.1:9", &[daemon.address()]).await;
    eventually("from a peer", SOON_MS, || fresh.revision() == 2).await;
    assert_eq!(fresh.feed.current().declarations, declarations);
}

#[async_std::test]
async fn a_document_beyond_the_value_limit_is_refused() {
    let standin = standin().await;
    let store = client(&standin.address());
    let mut declarations = variant(1);
    let long = "x".repeat(2_000_000);
    declarations.workers[0].labels.insert("long".to_owned(), long);
    let change = Change::new("anna", "too large");
    let refused = publish::publish_change(store.as_ref(), &declarations, &change).await;
    assert!(matches!(refused, Err(PublishError::NotAccepted(StoreError::TooLarge))));
}

#[async_std::test]
async fn peers_without_the_token_are_not_answered() {
    let standin = standin().await;
    let daemon = Daemon::start("daemon", &standin.address(), &[]).await;
    let pool = Pool::new(HttpConfig::default());
    let address = daemon.address();
    for token in ["", "another", &TOKEN[1..]] {
        let call = Call { address: &address, path: peer::PATH, token, timeout_ms: 1_000 };
        let answer: Result<peer::ConfigResponse, RpcError> =
            rpc::call(&pool, &call, &ConfigRequest::default()).await;
        assert!(matches!(answer, Err(RpcError::Refused(error)) if error.status == 401));
    }
    let peers = Peers::new(PeersConfig::default(), pool, TOKEN, "mid-1");
    let asked = peer::fetch(&peers, &address, &feed::Document::default()).await;
    assert!(asked.unwrap().is_none());
}

#[async_std::test]
async fn a_store_at_its_limit_is_not_rushed_and_takes_the_change_in_the_end() {
    const WRITES_PER_S: u64 = 20;
    let standin = standin().await;
    standin.set_faults(Faults { writes_per_s: WRITES_PER_S, ..Faults::default() });
    let store = client(&standin.address());
    let mut change = Change::new("anna", "a store at its limit");
    change.timeout_ms = 60_000;
    let declarations = workers(2_300);
    let receipt = publish::publish_change(store.as_ref(), &declarations, &change).await;
    assert_eq!(receipt.unwrap().revision, 1);
    let counters = standin.counters();
    assert!(counters.refused <= counters.writes / 2, "{counters:?}");
}
