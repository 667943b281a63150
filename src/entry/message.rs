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

/// A request on its way through an entry host.
#[derive(Clone, Debug, Default)]
pub struct Submitted {
    /// Id that follows the request over all hops.
    pub id: String,
    /// Service that it asks.
    pub service: String,
    /// Kind of work; empty if the caller did not say.
    pub kind: String,
    /// Who asks; empty if the caller did not say.
    pub caller: String,
    /// Idempotency key; empty without one.
    pub key: String,
    /// Whether a second run does no harm.
    pub is_idempotent: bool,
    /// Whether it may not be forwarded again.
    pub is_forwarded: bool,
    /// Time by which the answer is of use, on the monotonic clock.
    pub deadline_ms: u64,
    /// Headers for the endpoint.
    pub headers: Vec<(String, String)>,
    /// Body for the endpoint.
    pub body: Bytes,
}

/// What became of a request at this host.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// The whole answer of an endpoint.
    Answered(Reply),
    /// It ended without a whole answer.
    Ended {
        /// What is certain.
        outcome: Outcome,
        /// Why.
        reason: Reason,
        /// When another try makes sense, in milliseconds from now.
        retry_after_ms: u64,
    },
    /// It is to be handed to the peer at this address.
    Forward {
        /// Name of the peer.
        peer: String,
        /// Address of the peer.
        address: String,
    },
}

impl Verdict {
    /// Certain not to have run.
    pub fn not_run(reason: Reason) -> Self {
        const RETRY_AFTER_MS: u64 = 1_000;
        Self::Ended { outcome: Outcome::NotRun, reason, retry_after_ms: RETRY_AFTER_MS }
    }

    /// It may have run.
    pub fn unknown(reason: Reason) -> Self {
        Self::Ended { outcome: Outcome::Unknown, reason, retry_after_ms: 0 }
    }

    /// The outcome, if this is an end.
    pub fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::Answered(_) => Some(Outcome::Done),
            Self::Ended { outcome, .. } => Some(*outcome),
            Self::Forward { .. } => None,
        }
    }
}

/// What the control thread takes in.
#[derive(Debug)]
pub enum Input {
    /// A request arrived.
    Submit {
        /// The request.
        submitted: std::sync::Arc<Submitted>,
        /// Takes the verdict.
        verdict: async_channel::Sender<Verdict>,
        /// Takes the key under which it can be cancelled.
        request: RequestKey,
    },
    /// The caller went away or cancelled.
    Cancel(RequestKey),
    /// All requests of a service with this idempotency key are cancelled.
    CancelKey {
        /// Service.
        service: String,
        /// Idempotency key.
        key: String,
        /// Takes whether there was one.
        found: async_channel::Sender<bool>,
    },
    /// A send ended.
    Ended {
        /// The request.
        request: RequestKey,
        /// Where it was sent.
        endpoint: EndpointKey,
        /// How it ended.
        result: SendResult,
        /// The whole answer, if there is one.
        reply: Option<Reply>,
        /// What the answer told about the endpoint.
        sign: Option<EndpointSignal>,
    },
    /// The busy slots of an endpoint were read.
    Read(Reading),
    /// Peers have given up endpoints for this host.
    Released {
        /// Generation of the view for which they were asked.
        generation: u64,
        /// The endpoints and what their earlier owners still run there.
        endpoints: Vec<(EndpointKey, u32)>,
    },
    /// Some peers did not answer for long; the rest of the endpoints is to be asked for again.
    Unreleased {
        /// Generation of the view for which they were asked.
        generation: u64,
    },
    /// A peer asks for endpoints.
    Release {
        /// Its question.
        request: ReleaseRequest,
        /// Takes the answer.
        answer: async_channel::Sender<ReleaseAnswer>,
    },
    /// A request wants to run under its idempotency key.
    BeginKey {
        /// Zone whose ledger keeps the key.
        zone: String,
        /// The request.
        begin: ledger::Begin,
        /// Takes the verdict.
        verdict: async_channel::Sender<ledger::KeyVerdict>,
    },
    /// A request no longer waits for its key.
    AbandonKey {
        /// Zone whose ledger keeps the key.
        zone: String,
        /// The request.
        ticket: ledger::Ticket,
    },
    /// A granted request ended.
    EndKey {
        /// Zone whose ledger keeps the key.
        zone: String,
        /// How it ended.
        end: ledger::End,
        /// Takes whether this host holds the ledger.
        is_held: async_channel::Sender<bool>,
    },
    /// A call of a ledger to the store ended.
    StoreEvent {
        /// Zone of the ledger.
        zone: String,
        /// Which time this host holds it.
        term: u64,
        /// What became of the call.
        event: ledger::Event,
    },
    /// Names of the hosts that the platform lists as leaving or gone.
    Hosts(HashSet<String>),
    /// A peer was heard.
    Heard(Box<Heartbeat>),
    /// A peer did not take a forwarded request.
    PeerFailed(String),
    /// The state of this host is asked for.
    Describe(async_channel::Sender<Exchange>),
    /// This host begins to shut down.
    Drain,
    /// Whether nothing is owned and nothing in flight is asked for.
    Idle(async_channel::Sender<Idle>),
    /// All callers that still wait are told what is certain, for the limit of a shutdown.
    Cut,
    /// The thread ends.
    Stop,
}

/// What an endpoint said about its slots.
#[derive(Clone, Debug)]
pub struct Reading {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Why it was read.
    pub purpose: Purpose,
    /// Requests that were in flight from here before the reading began.
    pub in_flight_before: Vec<RequestKey>,
    /// Whether nothing was in flight from here when the reading began.
    pub was_idle: bool,
    /// Its word, if it gave one.
    pub said: Option<Said>,
}

/// Why an endpoint is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// The dispatcher asked whether it answers.
    Probe,
    /// Slots of an earlier owner may be busy.
    Foreign,
    /// Requests have been without an answer for long.
    Progress,
    /// It said that it leaves.
    Word,
}

/// An endpoint's word about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Said {
    /// Slots in use; nothing if it does not tell.
    pub busy: Option<u32>,
    /// Whether it is leaving; nothing if it does not tell.
    pub is_leaving: Option<bool>,
}

/// What a draining host still holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Idle {
    /// Endpoints that it owns.
    pub owned: usize,
    /// Requests in queues and in flight.
    pub requests: usize,
}

/// Sends inputs to the control thread.
#[derive(Clone, Debug)]
pub struct Control {
    sender: mpsc::Sender<Input>,
}

impl Control {
    /// A handle that sends into `sender`.
    pub fn new(sender: mpsc::Sender<Input>) -> Self {
        Self { sender }
    }

    /// Sends one input; inputs after the end of the thread are dropped.
    pub fn send(&self, input: Input) {
        let _ = self.sender.send(input);
    }

    /// Sends an input that carries a place for its answer, and waits for the answer.
    pub async fn ask<T>(&self, input: impl FnOnce(async_channel::Sender<T>) -> Input) -> Option<T> {
        let (sender, receiver) = async_channel::bounded(1);
        self.send(input(sender));
        receiver.recv().await.ok()
    }
}

/// The lease under which the endpoints are held.
pub type Held = Option<LeaseId>;
