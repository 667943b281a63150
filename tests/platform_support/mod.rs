//! A fake of the platform's store: serves its HTTP protocol from an in-memory store.

#![allow(dead_code, missing_docs, unreachable_pub, reason = "support module for tests")]
#![allow(clippy::unwrap_used, reason = "a helper of tests")]

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::task;
use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use bytes::Bytes;
use hemlockrock::clock;
use hemlockrock::configs::http::HttpConfig;
use hemlockrock::http::server::Server;
use hemlockrock::standin::store::State;
use hemlockrock::store::api::Change;
use hemlockrock::store::{Answer, Entry, Expect, LeaseId, Operation, Revision};
use serde_json::{json, Value};

pub type SharedStore = Arc<Mutex<State>>;

const WATCH_POLL_MS: u64 = 10;

/// Encodes an entry as the platform does.
fn encode_entry(entry: &Entry) -> Value {
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

pub fn apply(state: &SharedStore, operation: Operation) -> Answer {
    state.lock().unwrap().apply(operation, clock::now_ms())
}

fn query(request: &tide::Request<SharedStore>, name: &str) -> String {
    let pairs = request.url().query_pairs();
    let found = pairs.into_iter().find(|(key, _)| key == name);
    found.map(|(_, value)| value.into_owned()).unwrap_or_default()
}

/// Decodes the body of a transaction.
fn decode_commit(body: &Value) -> Operation {
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

async fn transact(mut request: tide::Request<SharedStore>) -> tide::Result {
    let body: Value = request.body_json().await?;
    Ok(match apply(request.state(), decode_commit(&body)) {
        Answer::Written { revision } => respond(200, &json!({ "revision": revision.0 })),
        Answer::Conflicts { entries } => {
            respond(412, &json!({ "items": entries.iter().map(encode_entry).collect::<Vec<_>>() }))
        }
        Answer::LeaseGone => respond(404, &json!({})),
        other => respond(400, &json!({ "error": format!("{other:?}") })),
    })
}

async fn range(request: tide::Request<SharedStore>) -> tide::Result {
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
        items.push(encode_entry(entry));
    }
    let has_more = rest.peek().is_some();
    Ok(respond(200, &json!({ "items": items, "has-more": has_more, "at": revision.0 })))
}

async fn watch(request: tide::Request<SharedStore>) -> tide::Result {
    let after = Revision(query(&request, "after").parse()?);
    let prefix = query(&request, "prefix");
    let ends_ms = clock::now_ms() + query(&request, "wait-ms").parse().unwrap_or(0);
    loop {
        let operation = Operation::Watch { prefix: prefix.clone(), after, wait_ms: 0 };
        let Answer::Changes { revision, changes } = apply(request.state(), operation) else {
            return Ok(respond(410, &json!({})));
        };
        if changes.is_empty() && clock::now_ms() < ends_ms {
            task::sleep(Duration::from_millis(WATCH_POLL_MS)).await;
            continue;
        }
        let event = |change: &Change| match &change.entry {
            Some(entry) => encode_entry(entry),
            None => json!({ "key": change.key, "revision": change.revision.0, "deleted": true }),
        };
        let events: Vec<Value> = changes.iter().map(event).collect();
        return Ok(respond(200, &json!({ "events": events, "at": revision.0 })));
    }
}

async fn lease(mut request: tide::Request<SharedStore>) -> tide::Result {
    let body: Value = request.body_json().await?;
    let ttl_ms = body["ttl-ms"].as_u64().unwrap();
    match apply(request.state(), Operation::Grant { ttl_ms }) {
        Answer::Granted { lease } => Ok(respond(200, &json!({ "lease": lease.0 }))),
        _ => Ok(respond(400, &json!({}))),
    }
}

async fn keep(request: tide::Request<SharedStore>) -> tide::Result {
    let lease = LeaseId(request.param("id")?.parse()?);
    match apply(request.state(), Operation::Renew { lease }) {
        Answer::Renewed => Ok(respond(200, &json!({}))),
        _ => Ok(respond(404, &json!({}))),
    }
}

async fn key(request: tide::Request<SharedStore>) -> tide::Result {
    let key = query(&request, "key");
    match apply(request.state(), Operation::Get { key }) {
        Answer::Entry { entry: Some(entry) } => Ok(respond(200, &encode_entry(&entry))),
        _ => Ok(respond(404, &json!({}))),
    }
}

async fn end_lease(request: tide::Request<SharedStore>) -> tide::Result {
    let lease = LeaseId(request.param("id")?.parse()?);
    apply(request.state(), Operation::Revoke { lease });
    Ok(respond(200, &json!({})))
}

/// Starts the HTTP server.
pub async fn start(state: &SharedStore) -> Server {
    let mut app = tide::with_state(Arc::clone(state));
    app.at("/kv-txn").post(transact);
    app.at("/kv-range").get(range);
    app.at("/kv-watch").get(watch);
    app.at("/kv-key").get(key);
    app.at("/kv-lease").post(lease);
    app.at("/kv-keep/:id").post(keep);
    app.at("/kv-lease-end/:id").delete(end_lease);
    Server::start("127.0.0.1:0", app, HttpConfig::default()).await.unwrap()
}
