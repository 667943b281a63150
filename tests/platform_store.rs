//! The client of the platform's store against a small stand-in that speaks its protocol.

#![allow(clippy::unwrap_used, reason = "the stand-in of a test")]
#![allow(clippy::disallowed_methods, reason = "the top of each test")]

use std::sync::{Arc, Mutex};

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use bytes::Bytes;
use hemlockrock::clock;
use hemlockrock::configs::http::HttpConfig;
use hemlockrock::http::client::Pool;
use hemlockrock::http::server::Server;
use hemlockrock::platform::store::{PlatformStore, ANSWER_LIMIT_BYTES};
use hemlockrock::standin::store::State;
use hemlockrock::store::{
    self, Answer, Commit, CommitOutcome, Entry, Expect, LeaseId, Operation, Priority, Put,
    PutOutcome, Revision, StoreError,
};
use serde_json::{json, Value};

type Shared = Arc<Mutex<State>>;

const TIMEOUT_MS: u64 = 5_000;

fn item(entry: &Entry) -> Value {
    json!({
        "key": entry.key,
        "value": STANDARD.encode(&entry.value),
        "revision": entry.modified.0,
        "created-at": entry.created.0,
        "lease": entry.lease.map_or(0, |lease| lease.0),
    })
}

fn respond(status: u16, body: &Value) -> tide::Response {
    tide::Response::builder(status).content_type("application/json").body(body.to_string()).build()
}

fn apply(state: &Shared, operation: Operation) -> Answer {
    state.lock().unwrap().apply(operation, clock::now_ms())
}

fn query(request: &tide::Request<Shared>, name: &str) -> String {
    let pairs = request.url().query_pairs();
    let found = pairs.into_iter().find(|(key, _)| key == name);
    found.map(|(_, value)| value.into_owned()).unwrap_or_default()
}

fn commit_of(body: &Value) -> Operation {
    let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    let key = |row: &Value| row["key"].as_str().unwrap().to_owned();
    let conditions = rows("expected").into_iter().map(|row| {
        let expect = match row["revision"].as_u64().unwrap() {
            0 => Expect::Absent,
            revision => Expect::Modified(Revision(revision)),
        };
        (key(&row), expect)
    });
    let puts = rows("puts").into_iter().map(|row| {
        let value = STANDARD.decode(row["value"].as_str().unwrap()).unwrap();
        (key(&row), Bytes::from(value), row["lease"].as_u64().map(LeaseId))
    });
    let deletes = rows("deletes").into_iter().map(|key| key.as_str().unwrap().to_owned());
    Operation::Commit {
        conditions: conditions.collect(),
        puts: puts.collect(),
        deletes: deletes.collect(),
    }
}

async fn transact(mut request: tide::Request<Shared>) -> tide::Result {
    let body: Value = request.body_json().await?;
    Ok(match apply(request.state(), commit_of(&body)) {
        Answer::Written { revision } => respond(200, &json!({ "revision": revision.0 })),
        Answer::Conflicts { entries } => {
            respond(412, &json!({ "items": entries.iter().map(item).collect::<Vec<_>>() }))
        }
        Answer::LeaseGone => respond(404, &json!({})),
        other => respond(400, &json!({ "error": format!("{other:?}") })),
    })
}

async fn range(request: tide::Request<Shared>) -> tide::Result {
    const PAGE_BYTES: usize = 1_000_000;
    let prefix = query(&request, "prefix");
    let after = query(&request, "after");
    let Answer::Entries { revision, entries } = apply(request.state(), Operation::List { prefix })
    else {
        return Ok(respond(400, &json!({})));
    };
    let mut items = Vec::new();
    let mut bytes = 0;
    let mut rest = entries.iter().filter(|entry| entry.key > after).peekable();
    while bytes < PAGE_BYTES {
        let Some(entry) = rest.next() else { break };
        bytes += entry.value.len();
        items.push(item(entry));
    }
    let has_more = rest.peek().is_some();
    Ok(respond(200, &json!({ "items": items, "has-more": has_more, "at": revision.0 })))
}

async fn watch(request: tide::Request<Shared>) -> tide::Result {
    let after = Revision(query(&request, "after").parse()?);
    let prefix = query(&request, "prefix");
    Ok(match apply(request.state(), Operation::Watch { prefix, after, wait_ms: 0 }) {
        Answer::Changes { revision, changes } => {
            let events: Vec<Value> = changes
                .iter()
                .map(|change| match &change.entry {
                    Some(entry) => item(entry),
                    None => json!({
                        "key": change.key, "revision": change.revision.0, "deleted": true,
                    }),
                })
                .collect();
            respond(200, &json!({ "events": events, "at": revision.0 }))
        }
        _ => respond(410, &json!({})),
    })
}

async fn lease(mut request: tide::Request<Shared>) -> tide::Result {
    let body: Value = request.body_json().await?;
    let ttl_ms = body["ttl-ms"].as_u64().unwrap();
    match apply(request.state(), Operation::Grant { ttl_ms }) {
        Answer::Granted { lease } => Ok(respond(200, &json!({ "lease": lease.0 }))),
        _ => Ok(respond(400, &json!({}))),
    }
}

async fn keep(request: tide::Request<Shared>) -> tide::Result {
    let lease = LeaseId(request.param("id")?.parse()?);
    match apply(request.state(), Operation::Renew { lease }) {
        Answer::Renewed => Ok(respond(200, &json!({}))),
        _ => Ok(respond(404, &json!({}))),
    }
}

async fn key(request: tide::Request<Shared>) -> tide::Result {
    let key = query(&request, "key");
    match apply(request.state(), Operation::Get { key }) {
        Answer::Entry { entry: Some(entry) } => Ok(respond(200, &item(&entry))),
        _ => Ok(respond(404, &json!({}))),
    }
}

/// Starts a stand-in and a client of it.
async fn start() -> (Shared, PlatformStore) {
    let state = Shared::default();
    let mut app = tide::with_state(Arc::clone(&state));
    app.at("/kv-txn").post(transact);
    app.at("/kv-range").get(range);
    app.at("/kv-watch").get(watch);
    app.at("/kv-key").get(key);
    app.at("/kv-lease").post(lease);
    app.at("/kv-keep/:id").post(keep);
    let server = Server::start("127.0.0.1:0", app, HttpConfig::default()).await.unwrap();
    let config = HttpConfig { max_body_bytes: ANSWER_LIMIT_BYTES, ..HttpConfig::default() };
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
    store::put(store, put, Priority::Record).await.unwrap()
}

#[async_std::test]
async fn pages_of_a_full_store_are_read_to_their_end() {
    const VALUE_BYTES: usize = 600_000;
    let (_state, store) = start().await;
    for number in 0..5 {
        put(&store, &format!("job/{number}"), vec![number; VALUE_BYTES], Expect::Absent).await;
    }
    let (revision, entries) = store::list(&store, "job/", Priority::Control).await.unwrap();
    assert_eq!(revision, Revision(5));
    let read: Vec<(u8, usize)> =
        entries.iter().map(|entry| (entry.value[0], entry.value.len())).collect();
    assert_eq!(read, (0..5).map(|number| (number, VALUE_BYTES)).collect::<Vec<_>>());
}

#[async_std::test]
async fn a_record_is_written_once_and_a_repeat_shows_what_is_there() {
    let (_state, store) = start().await;
    assert!(matches!(put(&store, "a", "1", Expect::Absent).await, PutOutcome::Written(_)));
    let PutOutcome::Conflict(Some(entry)) = put(&store, "a", "2", Expect::Absent).await else {
        panic!("the key exists");
    };
    assert_eq!((&entry.value[..], entry.created), (&b"1"[..], Revision(1)));
}

#[async_std::test]
async fn a_commit_takes_effect_whole_or_not_at_all() {
    let (_state, store) = start().await;
    put(&store, "leader", "me", Expect::Absent).await;
    let commit = |revision| Commit {
        conditions: vec![("leader".to_owned(), Expect::Modified(Revision(revision)))],
        puts: vec![("x".to_owned(), Bytes::from("1"), None), ("y".into(), "2".into(), None)],
        deletes: Vec::new(),
    };
    let stale = store::commit(&store, commit(7), Priority::Record).await.unwrap();
    let CommitOutcome::Conflict(entries) = stale else { panic!("another revision") };
    assert_eq!(entries[0].modified, Revision(1));
    assert_eq!(store::get(&store, "x", Priority::Record).await.unwrap(), None);
    let written = store::commit(&store, commit(1), Priority::Record).await.unwrap();
    assert!(matches!(written, CommitOutcome::Written(_)));
    let y = store::get(&store, "y", Priority::Record).await.unwrap().unwrap();
    assert_eq!(&y.value[..], b"2");
}

#[async_std::test]
async fn leases_watches_and_lost_history_are_told_apart() {
    let (state, store) = start().await;
    let lease = store::grant(&store, 60_000).await.unwrap();
    store::renew(&store, lease).await.unwrap();
    assert_eq!(store::renew(&store, LeaseId(999)).await, Err(StoreError::LeaseGone));
    put(&store, "w/1", "a", Expect::Absent).await;
    let expect = Expect::Any;
    store::delete(&store, "w/1", expect, Priority::Record).await.unwrap();
    let watched = store::watch(&store, "w/", Revision(0), 0).await.unwrap();
    let (revision, changes) = watched.unwrap();
    assert_eq!((revision, changes.len()), (Revision(2), 2));
    assert!(changes[0].entry.is_some() && changes[1].entry.is_none());
    state.lock().unwrap().compact();
    assert!(store::watch(&store, "w/", Revision(0), 0).await.unwrap().is_none());
}

#[async_std::test]
async fn a_store_that_is_not_there_certainly_did_nothing() {
    let pool = Pool::new(HttpConfig::default());
    let store = PlatformStore::new("127.0.0.1:1", TIMEOUT_MS, pool);
    let error = store::get(&store, "a", Priority::Record).await.unwrap_err();
    assert!(error.is_certain(), "{error}");
}
