//! Calls between entry hosts: paths, bodies and the headers that are passed on.

use bytes::Bytes;
use http_types::headers::HeaderName;
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::http::client::Reply;
use crate::ledger::{Claim, End};
use crate::outcome::{Outcome, Reason};

use super::message::{RequestResult, SubmittedRequest};

/// Path of [`PeerRequest`].
pub const REQUESTS_PATH: &str = "/v1/peer/requests";

/// Path of [`super::heartbeat::Exchange`].
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
    /// Zone whose ledger records the key.
    pub zone: String,
    /// Service and idempotency key, `service/key`.
    pub key: String,
    /// Digest of the request body.
    pub digest: u64,
    /// This attempt.
    pub claim: Claim,
    /// Earlier attempts of the same request. Any grant that they got was not used.
    pub abandoned: Vec<Claim>,
    /// Time left to the deadline, in milliseconds.
    pub deadline_in_ms: u64,
    /// Longest wait for the result, in milliseconds.
    pub wait_ms: u64,
}

/// Reports to the holder of a ledger how a granted request ended. The answer is whether the
/// receiver holds the ledger.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct EndRequest {
    /// Zone whose ledger records the key.
    pub zone: String,
    /// How it ended.
    pub end: End,
}

/// A request that is forwarded to the dispatcher of another entry host.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct PeerRequest {
    /// Request id, the same on all hops.
    pub id: String,
    /// Service that is to run it.
    pub service: String,
    /// Kind of work; empty if the caller gave none.
    pub kind: String,
    /// Name of the caller; empty if it gave none.
    pub caller: String,
    /// Idempotency key; empty without one.
    pub key: String,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Time left to the deadline, in milliseconds.
    pub deadline_in_ms: u64,
    /// Headers for the endpoint.
    pub headers: Vec<(String, String)>,
    /// Body for the endpoint.
    pub body: Bytes,
}

impl PeerRequest {
    /// Creates the call that forwards a request, with the time left until its deadline.
    pub fn new(submitted: &SubmittedRequest) -> Self {
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

    /// Converts the call into the request that the receiver dispatches; it may not be forwarded
    /// again.
    pub fn into_submitted(self) -> SubmittedRequest {
        SubmittedRequest {
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

/// Answer to a [`PeerRequest`]. The ledger keeps the end of a keyed request in the same form.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PeerAnswer {
    /// The whole answer of an endpoint.
    Answered {
        /// HTTP status.
        status: u16,
        /// End-to-end headers.
        headers: Vec<(String, String)>,
        /// Body of the endpoint's answer.
        body: Bytes,
    },
    /// It ended without a whole answer.
    Ended {
        /// Whether it certainly did not run or may have run.
        outcome: Outcome,
        /// Why it ended.
        reason: Reason,
        /// Suggested delay before the caller tries again, in milliseconds; 0 if none.
        retry_after_ms: u64,
    },
}

impl PeerAnswer {
    /// Converts a result into an answer. A result that asks for another hop becomes `not_run`.
    pub fn new(result: &RequestResult) -> Self {
        match result {
            RequestResult::Answered(reply) => Self::Answered {
                status: reply.status,
                headers: end_to_end(&reply.headers),
                body: reply.body.clone(),
            },
            RequestResult::Ended { outcome, reason, retry_after_ms } => {
                Self::Ended { outcome: *outcome, reason: *reason, retry_after_ms: *retry_after_ms }
            }
            RequestResult::Forward { .. } => Self::new(&RequestResult::not_run(Reason::NoEndpoint)),
        }
    }

    /// Converts the answer back into a result.
    pub fn into_result(self) -> RequestResult {
        match self {
            Self::Answered { status, headers, body } => {
                RequestResult::Answered(Reply { status, headers, body, is_reusable: false })
            }
            Self::Ended { outcome, reason, retry_after_ms } => {
                RequestResult::Ended { outcome, reason, retry_after_ms }
            }
        }
    }
}

/// Asks a host to release endpoints.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// Name of the host that acquires them.
    pub asker: String,
    /// Names of the endpoints.
    pub endpoints: Vec<String>,
    /// Whether the host only says what it would release, and releases nothing.
    #[serde(default)]
    pub is_trial: bool,
}

/// Answer to a [`ReleaseRequest`].
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct ReleaseAnswer {
    /// For each endpoint in the order of the request: requests still in flight there from the
    /// host that was asked, or `None` if it does not release the endpoint.
    pub in_flight: Vec<Option<u32>>,
}

/// Asks a host to cancel the requests that it holds under an idempotency key.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct CancelRequest {
    /// Name of the service.
    pub service: String,
    /// Idempotency key.
    pub key: String,
}

/// Headers that concern one connection only or that each hop sets itself.
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

/// The valid headers that are passed on from end to end, without hop-by-hop headers.
pub fn end_to_end(headers: &[(String, String)]) -> Vec<(String, String)> {
    let passes = |name: &str| {
        let is_hop = HOP_HEADERS.iter().any(|hop| name.eq_ignore_ascii_case(hop));
        !is_hop && HeaderName::from_bytes(name.as_bytes().to_vec()).is_ok()
    };
    headers.iter().filter(|(name, _)| passes(name)).cloned().collect()
}
