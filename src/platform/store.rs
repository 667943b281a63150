//! Client of the platform's key-value store, as a back end of [`crate::store::Store`].

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use bytes::Bytes;
use http_types::{Method, Url};
use serde::{Deserialize, Serialize};

use crate::http::client::{ExchangeError, ExchangeLimits, Pool, Reply};
use crate::store::api::Change;
use crate::store::pages::PageReader;
use crate::store::{
    Answer, BoxFuture, Entry, Expect, LeaseId, Operation, Priority, Revision, Store, StoreError,
};

/// Time after which a call that exceeded the platform's rate limit may be retried, in milliseconds;
/// the platform's answer does not specify one.
const RATE_LIMIT_RETRY_MS: u64 = 100;

/// Largest response body of the store, in bytes: a page has about 1 MB, its last item can add up to
/// 1 MB, and base64 makes values a third longer.
pub const MAX_ANSWER_BYTES: u64 = 4 << 20;

/// HTTP client of the platform's store.
#[derive(Clone, Debug)]
pub struct PlatformStore {
    address: String,
    timeout_ms: u64,
    pool: Pool,
}

impl PlatformStore {
    /// Creates a client of the store at `address`. Calls time out after `timeout_ms` without the
    /// next part of the answer; watches get this time in addition to the time that they wait for
    /// changes.
    pub fn new(address: impl Into<String>, timeout_ms: u64, pool: Pool) -> Self {
        Self { address: address.into(), timeout_ms, pool }
    }

    async fn execute(&self, operation: Operation) -> Result<Answer, StoreError> {
        match operation {
            Operation::Get { key } => self.get(&key).await,
            Operation::List { prefix } => self.list(&prefix).await,
            Operation::ListPage { prefix, after } => {
                self.list_page(&prefix, after.as_deref()).await
            }
            Operation::Put { key, value, expect, lease } => {
                let conditions = vec![(key.clone(), expect)];
                let written = self.commit(conditions, vec![(key, value, lease)], Vec::new()).await;
                written.map(single_key_answer)
            }
            Operation::Delete { key, expect } => {
                let conditions = vec![(key.clone(), expect)];
                self.commit(conditions, Vec::new(), vec![key]).await.map(single_key_answer)
            }
            Operation::Commit { conditions, puts, deletes } => {
                self.commit(conditions, puts, deletes).await
            }
            Operation::Grant { ttl_ms } => self.grant(ttl_ms).await,
            Operation::Renew { lease } => {
                self.call_lease(Method::Post, &format!("/kv-keep/{}", lease.0)).await
            }
            Operation::Revoke { lease } => {
                self.call_lease(Method::Delete, &format!("/kv-lease-end/{}", lease.0)).await
            }
            Operation::Watch { prefix, after, wait_ms } => {
                self.watch(&prefix, after, wait_ms).await
            }
        }
    }

    async fn get(&self, key: &str) -> Result<Answer, StoreError> {
        let reply = self.call(Method::Get, "/kv-key", &[("key", key)], None, 0).await?;
        match reply.status {
            200 => Ok(Answer::Entry { entry: Some(decode::<Item>(&reply)?.into_entry()?) }),
            404 => Ok(Answer::Entry { entry: None }),
            _ => Err(status_error(&reply)),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Answer, StoreError> {
        let mut reader = PageReader::new(prefix);
        let revision = reader.read(self).await?;
        Ok(Answer::Entries { revision, entries: reader.into_entries() })
    }

    async fn list_page(&self, prefix: &str, after: Option<&str>) -> Result<Answer, StoreError> {
        let query = [("prefix", prefix), ("after", after.unwrap_or_default())];
        let query = if after.is_none() { &query[..1] } else { &query[..] };
        let reply = self.call(Method::Get, "/kv-range", query, None, 0).await?;
        if reply.status != 200 {
            return Err(status_error(&reply));
        }
        let page: RangePage = decode(&reply)?;
        let entries: Result<Vec<Entry>, StoreError> =
            page.items.into_iter().map(Item::into_entry).collect();
        let revision = Revision(page.at);
        Ok(Answer::Page { revision, entries: entries?, has_more: page.has_more })
    }

    async fn commit(
        &self,
        conditions: Vec<(String, Expect)>,
        puts: Vec<(String, Bytes, Option<LeaseId>)>,
        deletes: Vec<String>,
    ) -> Result<Answer, StoreError> {
        let body = CommitBody {
            expected: conditions.into_iter().filter_map(condition).collect(),
            puts: puts.into_iter().map(put).collect(),
            deletes,
        };
        let body = serde_json::to_vec(&body).map_err(|error| not_sent(&error))?;
        let reply = self.call(Method::Post, "/kv-txn", &[], Some(body), 0).await?;
        match reply.status {
            200 => Ok(Answer::Written {
                revision: Revision(decode::<CommitResponse>(&reply)?.revision),
            }),
            404 => Err(StoreError::LeaseGone),
            412 => {
                let conflict: ConflictResponse = decode(&reply)?;
                let entries: Result<Vec<Entry>, StoreError> = conflict
                    .items
                    .into_iter()
                    .filter(|item| item.revision > 0)
                    .map(Item::into_entry)
                    .collect();
                Ok(Answer::Conflicts { entries: entries? })
            }
            _ => Err(status_error(&reply)),
        }
    }

    async fn grant(&self, ttl_ms: u64) -> Result<Answer, StoreError> {
        let body = serde_json::to_vec(&TtlBody { ttl_ms }).map_err(|error| not_sent(&error))?;
        let reply = self.call(Method::Post, "/kv-lease", &[], Some(body), 0).await?;
        if reply.status != 200 {
            return Err(status_error(&reply));
        }
        Ok(Answer::Granted { lease: LeaseId(decode::<GrantResponse>(&reply)?.lease) })
    }

    /// Renews or revokes a lease.
    async fn call_lease(&self, method: Method, path: &str) -> Result<Answer, StoreError> {
        let reply = self.call(method, path, &[], None, 0).await?;
        match reply.status {
            200..=299 => Ok(Answer::Renewed),
            404 => Err(StoreError::LeaseGone),
            _ => Err(status_error(&reply)),
        }
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait_ms: u64,
    ) -> Result<Answer, StoreError> {
        let (after, wait) = (after.0.to_string(), wait_ms.to_string());
        let query = [("prefix", prefix), ("after", after.as_str()), ("wait-ms", wait.as_str())];
        let reply = self.call(Method::Get, "/kv-watch", &query, None, wait_ms).await?;
        match reply.status {
            200 => {
                let page: WatchPage = decode(&reply)?;
                let changes: Result<Vec<Change>, StoreError> =
                    page.events.into_iter().map(WatchEvent::into_change).collect();
                Ok(Answer::Changes { revision: Revision(page.at), changes: changes? })
            }
            410 => Ok(Answer::Compacted { oldest: Revision(0) }),
            _ => Err(status_error(&reply)),
        }
    }

    /// Sends a request; `wait_ms` is the time for which the store may hold it open.
    async fn call(
        &self,
        method: Method,
        path: &str,
        query: &[(&str, &str)],
        body: Option<Vec<u8>>,
        wait_ms: u64,
    ) -> Result<Reply, StoreError> {
        let url = format!("http://{}{path}", self.address);
        let mut url = Url::parse(&url).map_err(|error| not_sent(&error))?;
        if !query.is_empty() {
            url.query_pairs_mut().extend_pairs(query);
        }
        let mut request = http_types::Request::new(method, url);
        if let Some(body) = body {
            request.set_body(body);
            request.insert_header("Content-Type", "application/json");
        }
        // A large answer may take long on a slow link, as long as it keeps arriving.
        let limits = ExchangeLimits::while_progressing(self.timeout_ms + wait_ms);
        let sent = self.pool.send_within(&self.address, request, limits).await;
        sent.map_err(|error| exchange_error(&error))
    }
}

impl Store for PlatformStore {
    fn call(
        &self,
        operation: Operation,
        _priority: Priority,
    ) -> BoxFuture<'_, Result<Answer, StoreError>> {
        Box::pin(self.execute(operation))
    }
}

/// Converts the answer to a commit into the answer to a write of a single key.
fn single_key_answer(answer: Answer) -> Answer {
    match answer {
        Answer::Conflicts { entries } => Answer::Conflict { current: entries.into_iter().next() },
        other => other,
    }
}

/// Translates an expectation about a key; revision 0 means that the key must not exist.
fn condition((key, expect): (String, Expect)) -> Option<Condition> {
    let revision = match expect {
        Expect::Any => return None,
        Expect::Absent => 0,
        Expect::Modified(revision) => revision.0,
    };
    Some(Condition { key, revision })
}

fn put((key, value, lease): (String, Bytes, Option<LeaseId>)) -> PutBody {
    PutBody { key, value: STANDARD.encode(value), lease: lease.map(|lease| lease.0) }
}

fn decode<T: serde::de::DeserializeOwned>(reply: &Reply) -> Result<T, StoreError> {
    serde_json::from_slice(&reply.body)
        .map_err(|error| StoreError::Indeterminate(format!("malformed answer: {error}")))
}

fn exchange_error(error: &ExchangeError) -> StoreError {
    if error.is_not_sent() {
        return StoreError::Unavailable(error.to_string());
    }
    StoreError::Indeterminate(error.to_string())
}

/// Translates an HTTP status that stands for a failure of the call.
fn status_error(reply: &Reply) -> StoreError {
    match reply.status {
        429 => StoreError::Overloaded { retry_after_ms: RATE_LIMIT_RETRY_MS },
        503 | 400 | 403 => {
            StoreError::Unavailable(format!("the store answered with status {}", reply.status))
        }
        status => StoreError::Indeterminate(format!("the store answered with status {status}")),
    }
}

/// The error of a call that was not sent.
fn not_sent(error: &impl std::fmt::Display) -> StoreError {
    StoreError::Unavailable(error.to_string())
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Item {
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default)]
    revision: u64,
    #[serde(default)]
    created_at: u64,
    #[serde(default)]
    /// 0 for an entry without a lease.
    lease: u64,
}

impl Item {
    fn into_entry(self) -> Result<Entry, StoreError> {
        let value = STANDARD.decode(self.value.as_bytes());
        let value = value.map_err(|error| {
            StoreError::Indeterminate(format!("malformed value of key {}: {error}", self.key))
        })?;
        Ok(Entry {
            key: self.key,
            value: Bytes::from(value),
            // `created-at` is a revision, in spite of its name.
            created: Revision(self.created_at),
            modified: Revision(self.revision),
            lease: (self.lease > 0).then_some(LeaseId(self.lease)),
        })
    }
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RangePage {
    items: Vec<Item>,
    #[serde(default)]
    has_more: bool,
    /// Revision of the store when the page was read.
    at: u64,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct WatchEvent {
    #[serde(default)]
    deleted: bool,
    #[serde(flatten)]
    item: Item,
}

impl WatchEvent {
    fn into_change(self) -> Result<Change, StoreError> {
        let revision = Revision(self.item.revision);
        if self.deleted {
            return Ok(Change { revision, key: self.item.key, entry: None });
        }
        let entry = self.item.into_entry()?;
        Ok(Change { revision, key: entry.key.clone(), entry: Some(entry) })
    }
}

#[derive(Debug)]
#[derive(Deserialize)]
struct WatchPage {
    events: Vec<WatchEvent>,
    /// Revision up to which the events are complete.
    at: u64,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct CommitResponse {
    revision: u64,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ConflictResponse {
    #[serde(default)]
    items: Vec<Item>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct GrantResponse {
    lease: u64,
}

#[derive(Debug)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct TtlBody {
    ttl_ms: u64,
}

#[derive(Debug)]
#[derive(Serialize)]
struct Condition {
    key: String,
    revision: u64,
}

#[derive(Debug)]
#[derive(Serialize)]
struct PutBody {
    key: String,
    value: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    lease: Option<u64>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct CommitBody {
    expected: Vec<Condition>,
    puts: Vec<PutBody>,
    deletes: Vec<String>,
}
