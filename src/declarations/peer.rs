//! Exchange of declarations between daemons while the store is unavailable.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::collections;
use crate::configs::http::HttpConfig;
use crate::configs::membership::PeersConfig;
use crate::declarations::feed::{Document, Feed, Head};
use crate::declarations::parts;
use crate::http::client::Pool;
use crate::http::error::ApiError;
use crate::http::rpc::{self, Call, RpcError};
use crate::http::server;
use crate::membership;
use crate::store::mirror::Snapshot;

/// HTTP path at which daemons serve their declarations.
pub const PATH: &str = "/v1/peer/config";

/// Limit on the values in one response, in bytes; a single part may be larger.
const RESPONSE_LIMIT_BYTES: usize = 512 * 1024;

/// Responses after which the transfer of one document is aborted.
const RESPONSES_LIMIT: usize = 1_000;

/// Requests a document with a higher revision than that of the asking daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct ConfigRequest {
    /// Revision in force at the asking daemon; 0 before the first.
    pub above: u64,
    /// Keys of the manifests and parts that the asking daemon already has.
    pub have: Vec<String>,
}

/// A part or manifest in a response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct ConfigPart {
    /// Key of the part.
    pub key: String,
    /// Value of the part.
    pub value: Bytes,
}

/// Response to a [`ConfigRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct ConfigResponse {
    /// Head of the document in force; `None` if its revision is not higher than that of the asking
    /// daemon.
    pub head: Option<Head>,
    /// Some of the parts that the asking daemon lacks; it asks again for the others.
    pub parts: Vec<ConfigPart>,
}

/// Answers a request from the document in force.
///
/// ```
/// use hemlockrock::declarations::{feed, peer};
///
/// let document = feed::Document::default();
/// let answer = peer::answer(&document, &peer::ConfigRequest::default());
/// assert_eq!(answer.head, None);
/// ```
pub fn answer(document: &Document, request: &ConfigRequest) -> ConfigResponse {
    if document.head.revision <= request.above {
        return ConfigResponse::default();
    }
    let mut missing: Vec<(&String, &Bytes)> =
        document.parts.iter().filter(|(key, _)| !request.have.contains(key)).collect();
    missing.sort_by_key(|(key, _)| *key);
    let mut sent_bytes = 0;
    let fits = missing.into_iter().take_while(|(_, value)| {
        let fits = sent_bytes == 0 || sent_bytes + value.len() <= RESPONSE_LIMIT_BYTES;
        sent_bytes += value.len();
        fits
    });
    let parts = fits.map(|(key, value)| ConfigPart { key: key.clone(), value: value.clone() });
    ConfigResponse { parts: parts.collect(), head: Some(document.head.clone()) }
}

/// Adds the route [`PATH`], which serves the declarations in force to peers. Requests must carry
/// `token` unless it is empty.
pub fn mount<State>(app: &mut tide::Server<State>, feed: Feed, token: impl Into<String>)
where
    State: Clone + Send + Sync + 'static,
{
    let token = token.into();
    app.at(PATH).post(move |request| serve(request, feed.clone(), token.clone()));
}

async fn serve<State>(
    mut request: tide::Request<State>,
    feed: Feed,
    token: String,
) -> tide::Result {
    let result = async {
        rpc::check_token(&request, &token)?;
        let body = server::read_body(&mut request, &HttpConfig::default()).await?;
        let request: ConfigRequest = rpc::decode(&body)
            .map_err(|error| ApiError::new(400, "bad_question", error.to_string()))?;
        Ok::<ConfigResponse, ApiError>(answer(&feed.document(), &request))
    };
    match result.await {
        Ok(answer) => Ok(rpc::response(&answer)),
        Err(error) => Ok(error.to_response()),
    }
}

/// Daemons that are asked for declarations in rotation.
#[derive(Clone, Debug)]
pub struct Peers {
    config: PeersConfig,
    pool: Option<Pool>,
    token: String,
    zone: String,
    /// Index of the peer asked last, modulo the number of known peers.
    last_index: usize,
}

impl Peers {
    /// Creates an empty list of peers, so that none is asked.
    pub fn none() -> Self {
        Self {
            config: PeersConfig::default(),
            pool: None,
            token: String::new(),
            zone: String::new(),
            last_index: 0,
        }
    }

    /// Creates the list of the peers in `config` and the members of `zone` in the mirror of the
    /// store. The rotation starts at a different peer in each process.
    pub fn new(
        config: PeersConfig,
        pool: Pool,
        token: impl Into<String>,
        zone: impl Into<String>,
    ) -> Self {
        let start = collections::stable_hash(format!("{config:?}-{}", std::process::id()));
        Self {
            config,
            pool: Some(pool),
            token: token.into(),
            zone: zone.into(),
            last_index: usize::try_from(start % 1_000).unwrap_or_default(),
        }
    }

    /// Address of the next peer in the rotation; `None` if no peer is known.
    pub(crate) fn next(&mut self, snapshot: &Snapshot) -> Option<String> {
        self.pool.as_ref()?;
        let known = membership::members(snapshot).into_iter();
        let known = known.filter(|member| member.zone == self.zone).map(|member| member.address);
        let mut addresses: Vec<String> =
            self.config.addresses.iter().cloned().chain(known).collect();
        addresses.sort();
        addresses.dedup();
        self.last_index = self.last_index.wrapping_add(1);
        let index = self.last_index.checked_rem(addresses.len())?;
        addresses.into_iter().nth(index)
    }

    pub(crate) fn ask_every_ms(&self) -> u64 {
        self.config.ask_every_ms
    }
}

/// Fetches a document with a higher revision than `old` from a peer; parts in `old` are not sent
/// again. Returns `None` if the peer has no higher revision.
///
/// # Errors
/// [`RpcError`] when the peer gave no answer or sent more responses than a document may take.
pub async fn fetch(
    peers: &Peers,
    address: &str,
    old: &Document,
) -> Result<Option<Document>, RpcError> {
    let Some(pool) = &peers.pool else { return Ok(None) };
    let timeout_ms = peers.config.timeout_ms;
    let call = Call { address, path: PATH, token: &peers.token, timeout_ms };
    let mut document = Document { head: Head::default(), parts: old.parts.clone() };
    for _ in 0..RESPONSES_LIMIT {
        let have = document.parts.keys().cloned().collect();
        let request = ConfigRequest { above: old.head.revision, have };
        let answer: ConfigResponse = rpc::call(pool, &call, &request).await?;
        let Some(head) = answer.head else { return Ok(None) };
        document.head = head;
        let is_last = answer.parts.is_empty();
        document.parts.extend(answer.parts.into_iter().map(|part| (part.key, part.value)));
        if is_last || is_complete(&document) {
            remove_unused_parts(&mut document);
            return Ok(Some(document));
        }
    }
    Err(RpcError::Codec(format!(
        "{address} did not complete a document in {RESPONSES_LIMIT} responses"
    )))
}

/// Keys of the document's parts; `None` if its manifest is missing or unreadable.
fn part_keys(document: &Document) -> Option<Vec<String>> {
    let manifest = document.parts.get(&document.head.manifest)?;
    Some(parts::read_manifest(manifest).ok()?.parts)
}

fn is_complete(document: &Document) -> bool {
    part_keys(document).is_some_and(|keys| keys.iter().all(|key| document.parts.contains_key(key)))
}

/// Removes parts that the document's manifest does not list.
fn remove_unused_parts(document: &mut Document) {
    let Some(mut keys) = part_keys(document) else { return };
    keys.push(document.head.manifest.clone());
    document.parts.retain(|key, _| keys.contains(key));
}
