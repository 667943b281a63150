//! Passes the accepted declarations between daemons while the store is away.

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

/// Path at which daemons answer.
pub const PATH: &str = "/v1/peer/config";

/// Content that one answer carries at most, unless a single part is larger, in bytes.
const ANSWER_LIMIT_BYTES: usize = 512 * 1024;

/// Answers after which a document is given up.
const ANSWERS_LIMIT: usize = 1_000;

/// Asks for a document of a higher revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct PeerQuestion {
    /// Revision that the asking daemon has.
    pub above: u64,
    /// Keys of the parts that it has.
    pub have: Vec<String>,
}

/// A part as peers send it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct PeerPart {
    /// Key of the part.
    pub key: String,
    /// Content.
    pub value: Bytes,
}

/// What a daemon has.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct PeerAnswer {
    /// Head of its document, if the revision is higher than asked.
    pub head: Option<Head>,
    /// Parts that the asking daemon does not have; more than these may be missing.
    pub parts: Vec<PeerPart>,
}

/// Answers a question from a document.
///
/// ```
/// use hemlockrock::declarations::{feed, peer};
///
/// let document = feed::Document::default();
/// let answer = peer::answer(&document, &peer::PeerQuestion::default());
/// assert_eq!(answer.head, None);
/// ```
pub fn answer(document: &Document, question: &PeerQuestion) -> PeerAnswer {
    if document.head.revision <= question.above {
        return PeerAnswer::default();
    }
    let mut missing: Vec<(&String, &Bytes)> =
        document.parts.iter().filter(|(key, _)| !question.have.contains(key)).collect();
    missing.sort_by_key(|(key, _)| *key);
    let mut sent_bytes = 0;
    let fits = missing.into_iter().take_while(|(_, value)| {
        let fits = sent_bytes == 0 || sent_bytes + value.len() <= ANSWER_LIMIT_BYTES;
        sent_bytes += value.len();
        fits
    });
    let parts = fits.map(|(key, value)| PeerPart { key: key.clone(), value: value.clone() });
    PeerAnswer { parts: parts.collect(), head: Some(document.head.clone()) }
}

/// Serves the declarations in force to peers under [`PATH`].
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
    let answered = async {
        rpc::check_token(&request, &token)?;
        let body = server::read_body(&mut request, &HttpConfig::default()).await?;
        let question: PeerQuestion = rpc::decode(&body)
            .map_err(|error| ApiError::new(400, "bad_question", error.to_string()))?;
        Ok::<PeerAnswer, ApiError>(answer(&feed.document(), &question))
    };
    match answered.await {
        Ok(answer) => Ok(rpc::response(&answer)),
        Err(error) => Ok(error.to_response()),
    }
}

/// Daemons that can be asked, in turn.
#[derive(Clone, Debug)]
pub struct Peers {
    config: PeersConfig,
    pool: Option<Pool>,
    token: String,
    zone: String,
    turn: usize,
}

impl Peers {
    /// No peers.
    pub fn none() -> Self {
        Self {
            config: PeersConfig::default(),
            pool: None,
            token: String::new(),
            zone: String::new(),
            turn: 0,
        }
    }

    /// The peers of `config`, and those of `zone` that the copy of the store knows.
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
            turn: usize::try_from(start % 1_000).unwrap_or_default(),
        }
    }

    /// Address of the peer whose turn it is.
    pub(crate) fn next(&mut self, snapshot: &Snapshot) -> Option<String> {
        self.pool.as_ref()?;
        let known = membership::members(snapshot).into_iter();
        let known = known.filter(|member| member.zone == self.zone).map(|member| member.address);
        let mut addresses: Vec<String> =
            self.config.addresses.iter().cloned().chain(known).collect();
        addresses.sort();
        addresses.dedup();
        self.turn = self.turn.wrapping_add(1);
        let index = self.turn.checked_rem(addresses.len())?;
        addresses.into_iter().nth(index)
    }

    pub(crate) fn ask_every_ms(&self) -> u64 {
        self.config.ask_every_ms
    }
}

/// Asks a peer for a document above the one in `old`; parts that `old` has are not sent again.
///
/// # Errors
/// [`RpcError`] when the peer gave no answer or a document without end.
pub async fn fetch(
    peers: &Peers,
    address: &str,
    old: &Document,
) -> Result<Option<Document>, RpcError> {
    let Some(pool) = &peers.pool else { return Ok(None) };
    let timeout_ms = peers.config.timeout_ms;
    let call = Call { address, path: PATH, token: &peers.token, timeout_ms };
    let mut document = Document { head: Head::default(), parts: old.parts.clone() };
    for _ in 0..ANSWERS_LIMIT {
        let have = document.parts.keys().cloned().collect();
        let question = PeerQuestion { above: old.head.revision, have };
        let answer: PeerAnswer = rpc::call(pool, &call, &question).await?;
        let Some(head) = answer.head else { return Ok(None) };
        document.head = head;
        let is_last = answer.parts.is_empty();
        document.parts.extend(answer.parts.into_iter().map(|part| (part.key, part.value)));
        if is_last || is_whole(&document) {
            prune(&mut document);
            return Ok(Some(document));
        }
    }
    Err(RpcError::Codec(format!("{address} sent a document without end")))
}

fn keys(document: &Document) -> Option<Vec<String>> {
    let manifest = document.parts.get(&document.head.manifest)?;
    Some(parts::read_manifest(manifest).ok()?.parts)
}

fn is_whole(document: &Document) -> bool {
    keys(document).is_some_and(|keys| keys.iter().all(|key| document.parts.contains_key(key)))
}

/// Drops parts that the document does not refer to.
fn prune(document: &mut Document) {
    let Some(mut keys) = keys(document) else { return };
    keys.push(document.head.manifest.clone());
    document.parts.retain(|key, _| keys.contains(key));
}
