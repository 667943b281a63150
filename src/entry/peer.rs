//! Calls between entry hosts.

use bytes::Bytes;
use http_types::headers::HeaderName;
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::http::client::Reply;
use crate::ledger::{Claim, End};
use crate::outcome::{Outcome, Reason};

use super::message::{Submitted, Verdict};

/// Path of [`PeerRequest`].
pub const REQUESTS_PATH: &str = "/v1/peer/requests";

/// Path of heartbeats.
pub const HEARTBEAT_PATH: &str = "/v1/peer/heartbeat";

/// Path of [`ReleaseRequest`].
pub const RELEASE_PATH: &str = "/v1/peer/release";

/// Path of [`CancelRequest`].
pub const CANCEL_PATH: &str = "/v1/peer/cancel";

/// Path of [`BeginRequest`].
pub const BEGIN_PATH: &str = "/v1/peer/ledger/begin";

/// Path of [`EndRequest`].
pub const END_PATH: &str = "/v1/peer/ledger/end";

/// Asks the holder of a ledger whether a request may run under its key.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct BeginRequest {
    /// Zone whose ledger keeps the key.
    pub zone: String,
    /// Service and idempotency key.
    pub key: String,
    /// Digest of the request.
    pub digest: u64,
    /// The submission.
    pub claim: Claim,
    /// Earlier submissions of the same request whose grant, if any, was never taken up.
    pub abandoned: Vec<Claim>,
    /// Time left to the deadline, in milliseconds.
    pub deadline_in_ms: u64,
    /// Longest wait for the verdict, in milliseconds.
    pub wait_ms: u64,
}

/// Tells the holder of a ledger how a granted request ended; answered with whether it holds it.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct EndRequest {
    /// Zone whose ledger keeps the key.
    pub zone: String,
    /// How it ended.
    pub end: End,
}

/// A request that is handed to the dispatcher of another entry host.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct PeerRequest {
    /// Id that follows the request over all hops.
    pub id: String,
    /// Service that it asks.
    pub service: String,
    /// Kind of work.
    pub kind: String,
    /// Who asks.
    pub caller: String,
    /// Idempotency key; empty without one.
    pub key: String,
    /// Whether a second run does no harm.
    pub is_idempotent: bool,
    /// Time left to the deadline, in milliseconds.
    pub deadline_in_ms: u64,
    /// Headers for the endpoint.
    pub headers: Vec<(String, String)>,
    /// Body for the endpoint.
    pub body: Bytes,
}

impl PeerRequest {
    /// A request as it is handed over now.
    pub fn new(submitted: &Submitted) -> Self {
        Self {
            id: submitted.id.clone(),
            service: submitted.service.clone(),
            kind: submitted.kind.clone(),
            caller: submitted.caller.clone(),
            key: submitted.key.clone(),
            is_idempotent: submitted.is_idempotent,
            deadline_in_ms: submitted.deadline_ms.saturating_sub(clock::now_ms()),
            headers: submitted.headers.clone(),
            body: submitted.body.clone(),
        }
    }

    /// The request as the receiver submits it.
    pub fn into_submitted(self) -> Submitted {
        Submitted {
            id: self.id,
            service: self.service,
            kind: self.kind,
            caller: self.caller,
            key: self.key,
            is_idempotent: self.is_idempotent,
            is_forwarded: true,
            deadline_ms: clock::now_ms() + self.deadline_in_ms,
            headers: self.headers,
            body: self.body,
        }
    }
}

/// What became of a [`PeerRequest`]; also what the ledger keeps of a request's end.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PeerAnswer {
    /// The whole answer of an endpoint.
    Answered {
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: Vec<(String, String)>,
        /// Body.
        body: Bytes,
    },
    /// It ended without a whole answer.
    Ended {
        /// What is certain.
        outcome: Outcome,
        /// Why.
        reason: Reason,
        /// When another try makes sense, in milliseconds.
        retry_after_ms: u64,
    },
}

impl PeerAnswer {
    /// The answer that tells a verdict.
    pub fn new(verdict: &Verdict) -> Self {
        match verdict {
            Verdict::Answered(reply) => Self::Answered {
                status: reply.status,
                headers: end_to_end(&reply.headers),
                body: reply.body.clone(),
            },
            Verdict::Ended { outcome, reason, retry_after_ms } => {
                Self::Ended { outcome: *outcome, reason: *reason, retry_after_ms: *retry_after_ms }
            }
            Verdict::Forward { .. } => Self::new(&Verdict::not_run(Reason::NoEndpoint)),
        }
    }

    /// The verdict that the answer tells.
    pub fn into_verdict(self) -> Verdict {
        match self {
            Self::Answered { status, headers, body } => {
                Verdict::Answered(Reply { status, headers, body, reusable: false })
            }
            Self::Ended { outcome, reason, retry_after_ms } => {
                Verdict::Ended { outcome, reason, retry_after_ms }
            }
        }
    }
}

/// Asks a host to give up endpoints.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// Name of the host that takes them.
    pub asker: String,
    /// Names of the endpoints.
    pub endpoints: Vec<String>,
}

/// Answer to a [`ReleaseRequest`], in its order.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct ReleaseAnswer {
    /// For each endpoint: requests still in flight there if it was given up, nothing if not.
    pub in_flight: Vec<Option<u32>>,
}

/// Asks a host to cancel what it holds under an idempotency key.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct CancelRequest {
    /// Service.
    pub service: String,
    /// Idempotency key.
    pub key: String,
}

/// Headers that are about one connection only, or are set by each hop itself.
const HOP_HEADERS: [&str; 13] = [
    "connection",
    "content-length",
    "date",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "hemlock-token",
];

/// The headers that go from end to end.
pub fn end_to_end(headers: &[(String, String)]) -> Vec<(String, String)> {
    let passes = |name: &str| {
        let is_hop = HOP_HEADERS.iter().any(|hop| name.eq_ignore_ascii_case(hop));
        !is_hop && HeaderName::from_bytes(name.as_bytes().to_vec()).is_ok()
    };
    headers.iter().filter(|(name, _)| passes(name)).cloned().collect()
}
