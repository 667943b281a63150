//! The client of the platform's store against a fake store that speaks its protocol.

#![allow(clippy::unwrap_used, reason = "tests panic on unexpected values")]
#![allow(clippy::disallowed_methods, reason = "the test blocks on its own futures")]

mod platform_support;

use bytes::Bytes;
use hemlockrock::configs::http::HttpConfig;
use hemlockrock::http::client::Pool;
use hemlockrock::platform::store::{PlatformStore, MAX_ANSWER_BYTES};
use hemlockrock::store::{
    self, Commit, CommitOutcome, Expect, LeaseId, Priority, Put, PutOutcome, Revision, StoreError,
};
use platform_support::SharedStore;

const TIMEOUT_MS: u64 = 5_000;

/// Starts a fake store and a client of it.
async fn start() -> (SharedStore, PlatformStore) {
    let state = SharedStore::default();
    let server = platform_support::start(&state).await;
    let config = HttpConfig { max_body_bytes: MAX_ANSWER_BYTES, ..HttpConfig::default() };
    let address = server.address().to_string();
    (state, PlatformStore::new(address, TIMEOUT_MS, Pool::new(config)))
}

async fn put(
    store: &PlatformStore,
    key: &str,
    value: impl Into<Bytes>,
    expect: Expect,
) -> PutOutcome {
    let put = Put { key: key.to_owned(), value: value.into(), expect, lease: None };
    store::put(store, put, Priority::Interactive).await.unwrap()
}

#[async_std::test]
async fn lists_larger_than_a_page_are_read_in_full() {
    const VALUE_BYTES: usize = 600_000;
    let (_state, store) = start().await;
    for number in 0..5 {
        put(&store, &format!("job/{number}"), vec![number; VALUE_BYTES], Expect::Absent).await;
    }
    let (revision, entries) = store::list(&store, "job/", Priority::Control).await.unwrap();
    assert_eq!(revision, Revision(5));
    let sizes: Vec<(u8, usize)> =
        entries.iter().map(|entry| (entry.value[0], entry.value.len())).collect();
    assert_eq!(sizes, (0..5).map(|number| (number, VALUE_BYTES)).collect::<Vec<_>>());
}

#[async_std::test]
async fn a_repeated_create_returns_the_existing_entry() {
    let (_state, store) = start().await;
    assert!(matches!(put(&store, "a", "1", Expect::Absent).await, PutOutcome::Written(_)));
    let PutOutcome::Conflict(Some(entry)) = put(&store, "a", "2", Expect::Absent).await else {
        panic!("expected a conflict with the existing entry");
    };
    assert_eq!((&entry.value[..], entry.created), (&b"1"[..], Revision(1)));
}

#[async_std::test]
async fn commits_are_atomic() {
    let (_state, store) = start().await;
    put(&store, "leader", "me", Expect::Absent).await;
    let commit = |revision| Commit {
        conditions: vec![("leader".to_owned(), Expect::Modified(Revision(revision)))],
        puts: vec![("x".to_owned(), Bytes::from("1"), None), ("y".into(), "2".into(), None)],
        deletes: Vec::new(),
    };
    let stale = store::commit(&store, commit(7), Priority::Interactive).await.unwrap();
    let CommitOutcome::Conflict(entries) = stale else {
        panic!("expected a conflict: the revision differs")
    };
    assert_eq!(entries[0].modified, Revision(1));
    assert_eq!(store::get(&store, "x", Priority::Interactive).await.unwrap(), None);
    let written = store::commit(&store, commit(1), Priority::Interactive).await.unwrap();
    assert!(matches!(written, CommitOutcome::Written(_)));
    let y = store::get(&store, "y", Priority::Interactive).await.unwrap().unwrap();
    assert_eq!(&y.value[..], b"2");
}

#[async_std::test]
async fn unknown_leases_and_compacted_history_are_reported() {
    let (state, store) = start().await;
    let lease = store::grant(&store, 60_000).await.unwrap();
    store::renew(&store, lease).await.unwrap();
    assert_eq!(store::renew(&store, LeaseId(999)).await, Err(StoreError::LeaseGone));
    put(&store, "w/1", "a", Expect::Absent).await;
    let expect = Expect::Any;
    store::delete(&store, "w/1", expect, Priority::Interactive).await.unwrap();
    let watched = store::watch(&store, "w/", Revision(0), 0).await.unwrap();
    let (revision, changes) = watched.unwrap();
    assert_eq!((revision, changes.len()), (Revision(2), 2));
    assert!(changes[0].entry.is_some() && changes[1].entry.is_none());
    state.lock().unwrap().compact();
    assert!(store::watch(&store, "w/", Revision(0), 0).await.unwrap().is_none());
}

#[async_std::test]
async fn calls_to_an_unreachable_store_certainly_have_no_effect() {
    let pool = Pool::new(HttpConfig::default());
    let store = PlatformStore::new("127.0.0.1:1", TIMEOUT_MS, pool);
    let error = store::get(&store, "a", Priority::Interactive).await.unwrap_err();
    assert!(error.is_not_executed(), "{error}");
}
