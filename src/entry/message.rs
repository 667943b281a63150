//! Messages between the traffic tasks and the control thread of an entry host.

use std::sync::mpsc;

use bytes::Bytes;

use crate::collections::HashSet;

use crate::http::client::Reply;
use crate::ledger;
use crate::outcome::{Outcome, Reason};
use crate::route::{EndpointKey, EndpointSignal, RequestKey, SendResult};
use crate::store::LeaseId;

use super::heartbeat::{Exchange, Heartbeat};
use super::peer::{ReleaseAnswer, ReleaseRequest};

/// A request accepted by an entry host.
#[derive(Clone, Debug, Default)]
pub struct SubmittedRequest {
    /// Request id, the same on all hops.
    pub id: String,
    /// Service that is to run it.
    pub service: String,
    /// Kind of work, which groups run time estimates; empty if the caller gave none.
    pub kind: String,
    /// Name of the caller, for fair sharing; empty if it gave none.
    pub caller: String,
    /// Idempotency key; empty without one.
    pub key: String,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Whether it may not be forwarded again.
    pub is_forwarded: bool,
    /// Deadline in milliseconds on the monotonic clock.
    pub deadline_ms: u64,
    /// Headers for the endpoint.
    pub headers: Vec<(String, String)>,
    /// Body for the endpoint.
    pub body: Bytes,
}

/// Result of a request at this host.
#[derive(Clone, Debug)]
pub enum RequestResult {
    /// The whole answer of an endpoint.
    Answered(Reply),
    /// It ended without a whole answer.
    Ended {
        /// Whether it certainly did not run or may have run.
        outcome: Outcome,
        /// Why it ended.
        reason: Reason,
        /// Suggested delay before the caller tries again, in milliseconds; 0 if none.
        retry_after_ms: u64,
    },
    /// It is to be forwarded to another entry host.
    Forward {
        /// Name of the peer.
        peer: String,
        /// Address of the peer, `IP:port`; empty if no recent heartbeat of it is known.
        address: String,
    },
}

impl RequestResult {
    /// The request certainly did not run; the caller may try again after one second.
    pub fn not_run(reason: Reason) -> Self {
        const RETRY_AFTER_MS: u64 = 1_000;
        Self::Ended { outcome: Outcome::NotRun, reason, retry_after_ms: RETRY_AFTER_MS }
    }

    /// The request may have run.
    pub fn unknown(reason: Reason) -> Self {
        Self::Ended { outcome: Outcome::Unknown, reason, retry_after_ms: 0 }
    }

    /// The outcome; `None` if the request is to be forwarded.
    pub fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::Answered(_) => Some(Outcome::Done),
            Self::Ended { outcome, .. } => Some(*outcome),
            Self::Forward { .. } => None,
        }
    }
}

/// Input of the control thread. Channels in it receive the answer to that input.
#[derive(Debug)]
pub enum Input {
    /// A request was accepted.
    Submit {
        /// Accepted request with its headers and body.
        submitted: std::sync::Arc<SubmittedRequest>,
        /// Receives the result.
        reply_to: async_channel::Sender<RequestResult>,
        /// Identifies the request in [`Input::Cancel`].
        request: RequestKey,
    },
    /// The caller disconnected or cancelled.
    Cancel(RequestKey),
    /// Cancels all requests of a service with an idempotency key.
    CancelKey {
        /// Name of the service.
        service: String,
        /// Idempotency key.
        key: String,
        /// Receives whether there was such a request.
        found: async_channel::Sender<bool>,
    },
    /// A send to an endpoint ended.
    Ended {
        /// Request that was sent.
        request: RequestKey,
        /// The endpoint that it was sent to.
        endpoint: EndpointKey,
        /// How the send ended.
        result: SendResult,
        /// The whole answer, if there is one.
        reply: Option<Reply>,
        /// State of the endpoint that the send revealed, if any.
        signal: Option<EndpointSignal>,
    },
    /// The health of an endpoint was read.
    Read(EndpointReading),
    /// All peers have released some of the endpoints that this host is to acquire.
    Released {
        /// Generation of the membership view in which they were requested.
        generation: u64,
        /// The endpoints, with the number of requests that earlier owners still run there.
        endpoints: Vec<(EndpointKey, u32)>,
    },
    /// Some endpoints were not released in time and have to be requested again.
    Unreleased {
        /// Generation of the membership view in which they were requested.
        generation: u64,
    },
    /// A peer requests the release of endpoints.
    Release {
        /// The call of the peer.
        request: ReleaseRequest,
        /// Receives the answer.
        answer: async_channel::Sender<ReleaseAnswer>,
    },
    /// A request asks to run under its idempotency key.
    BeginKey {
        /// Zone whose ledger records the key.
        zone: String,
        /// Idempotency key, content digest and ticket of the request.
        begin: ledger::Begin,
        /// Receives the result.
        reply_to: async_channel::Sender<ledger::BeginResult>,
    },
    /// A request stopped waiting for its key.
    AbandonKey {
        /// Zone whose ledger records the key.
        zone: String,
        /// Identifies the request.
        ticket: ledger::Ticket,
    },
    /// A request that was granted by a ledger ended.
    EndKey {
        /// Zone whose ledger records the key.
        zone: String,
        /// How it ended.
        end: ledger::End,
        /// Receives whether this host holds the ledger.
        is_held: async_channel::Sender<bool>,
    },
    /// A store call of a ledger ended.
    StoreEvent {
        /// Zone of the ledger.
        zone: String,
        /// Term of this host as holder in which the call was made; events of earlier terms are
        /// dropped.
        term: u64,
        /// Result of the call.
        event: ledger::Event,
    },
    /// Names of the hosts that the platform lists as leaving or gone; replaces the previous list.
    Hosts(HashSet<String>),
    /// A heartbeat of a peer arrived.
    Heartbeat(Box<Heartbeat>),
    /// The peer of this name did not accept a forwarded request.
    PeerFailed(String),
    /// Asks for the heartbeat of this host and those of its zone.
    HeartbeatExchange(async_channel::Sender<Exchange>),
    /// A graceful shutdown begins: nothing more is acquired.
    Drain,
    /// Asks for what a draining host still holds.
    Remaining(async_channel::Sender<Remaining>),
    /// The drain timeout has passed: all waiting callers are told whether their request may have
    /// run.
    AnswerAll,
    /// Ends the control thread.
    Stop,
}

/// Result of reading an endpoint's health.
#[derive(Clone, Debug)]
pub struct EndpointReading {
    /// Endpoint whose health was read.
    pub endpoint: EndpointKey,
    /// Why it was read.
    pub purpose: ReadPurpose,
    /// Requests in flight from this host to the endpoint that it must have received before the
    /// reading began.
    pub in_flight_before: Vec<RequestKey>,
    /// Whether nothing was in flight from this host when the reading began.
    pub was_idle: bool,
    /// The endpoint's answer; `None` if there was none.
    pub report: Option<HealthReport>,
}

/// Why the health of an endpoint is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadPurpose {
    /// The dispatcher asked whether the endpoint answers.
    Probe,
    /// Slots may be busy with requests that are not in flight from this host.
    Foreign,
    /// Requests have been without an answer for long.
    Progress,
    /// It reported that it is leaving, which may have changed.
    Leaving,
}

/// Health that an endpoint reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthReport {
    /// Slots in use; `None` if it does not report them.
    pub busy: Option<u32>,
    /// Whether it is leaving; `None` if it does not report it.
    pub is_leaving: Option<bool>,
}

/// What a draining host still holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Remaining {
    /// Endpoints that it owns.
    pub owned: usize,
    /// Requests that wait for a result, plus sends in flight.
    pub requests: usize,
}

/// Handle that sends inputs to the control thread.
#[derive(Clone, Debug)]
pub struct Control {
    sender: mpsc::Sender<Input>,
}

impl Control {
    /// Creates a handle that sends into `sender`.
    pub fn new(sender: mpsc::Sender<Input>) -> Self {
        Self { sender }
    }

    /// Sends one input; it is dropped if the control thread has ended.
    pub fn send(&self, input: Input) {
        let _ = self.sender.send(input);
    }

    /// Sends an input that carries a channel for its answer and waits for the answer; `None` if the
    /// control thread dropped it.
    pub async fn ask<T>(&self, input: impl FnOnce(async_channel::Sender<T>) -> Input) -> Option<T> {
        let (sender, receiver) = async_channel::bounded(1);
        self.send(input(sender));
        receiver.recv().await.ok()
    }
}

/// Lease of the session under which the owned endpoints were acquired; `None` before the first
/// session.
pub type HeldLease = Option<LeaseId>;
