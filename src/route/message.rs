//! Keys, events and actions of a dispatcher.

use serde::{Deserialize, Serialize};

use crate::outcome::{Outcome, Reason};

/// A request, unique within one dispatcher for as long as it is known there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct RequestKey(pub u64);

/// An endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct EndpointKey(pub u32);

/// A service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct ServiceKey(pub u32);

/// A kind of work within a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct KindKey(pub u32);

/// A caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct CallerKey(pub u32);

/// The dispatcher of another entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct PeerKey(pub u32);

/// A request as it is handed to a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The request.
    pub request: RequestKey,
    /// Service that it asks.
    pub service: ServiceKey,
    /// Kind of work, for the estimate of its run time.
    pub kind: KindKey,
    /// Who asks.
    pub caller: CallerKey,
    /// Whether a second run does no harm.
    pub is_idempotent: bool,
    /// Whether another dispatcher forwarded it; it is then never forwarded again.
    pub is_forwarded: bool,
    /// Time by which the answer is of use, on the clock of `now_ms`.
    pub deadline_ms: u64,
}

/// Slots that are held back after a takeover from an owner that did not hand over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guard {
    /// Slots that the earlier owner may still use.
    pub slots: u32,
    /// End of the guard, on the clock of `now_ms`.
    pub until_ms: u64,
}

/// How one send to an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// A whole answer.
    Done {
        /// Time from send to answer, in milliseconds.
        ran_ms: u64,
    },
    /// A whole answer that tells of a failure of the endpoint.
    DoneFailed,
    /// The endpoint said that it did not start.
    Declined,
    /// No byte was sent.
    NotSent,
    /// It was sent, and no whole answer came.
    Lost {
        /// What the caller is told if it isn't tried again.
        reason: Reason,
    },
}

/// What is learned about an endpoint outside of a request's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// It is leaving, by the list of hosts or by its own word.
    Leaving,
    /// It is no longer leaving.
    Staying,
    /// It refused a connection.
    Refused,
    /// It answered a probe.
    Answering,
    /// It did not answer a probe.
    Silent,
}

/// Expected wait and free slots of one service at one dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Expected wait of short work, in milliseconds.
    pub short_wait_ms: f64,
    /// Expected wait of long work, in milliseconds.
    pub long_wait_ms: f64,
    /// Slots of all usable endpoints.
    pub slots: u32,
    /// Slots that are free now.
    pub free_slots: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Mean run time, in milliseconds.
    pub mean_run_ms: f64,
}

/// Load of a dispatcher, for the heartbeats to its peers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Load of each service that it has endpoints of.
    pub services: Vec<(ServiceKey, ServiceLoad)>,
}

/// Load of another dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerLoad {
    /// The other dispatcher.
    pub peer: PeerKey,
    /// Time of one way to it, in milliseconds.
    pub trip_ms: f64,
    /// Whether it is in this dispatcher's zone.
    pub is_same_zone: bool,
    /// Load of each service there, under this host's keys.
    pub services: Vec<(ServiceKey, ServiceLoad)>,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// This host owns the endpoint from now on; nothing is sent to it before [`Event::Learned`].
    Own {
        /// The endpoint.
        endpoint: EndpointKey,
        /// Service that it serves.
        service: ServiceKey,
        /// Requests that it runs at once.
        slots: u32,
        /// Slots held back after an unclean takeover.
        guard: Option<Guard>,
    },
    /// This host no longer owns the endpoint; what is in flight goes on.
    Disown {
        /// The endpoint.
        endpoint: EndpointKey,
    },
    /// Slots of the endpoint that others' requests hold; may be said again as they end.
    Learned {
        /// The endpoint.
        endpoint: EndpointKey,
        /// Slots in use that are not in flight from this dispatcher.
        busy: u32,
    },
    /// A request arrived.
    Submit(Submission),
    /// The caller went away or cancelled.
    Cancel {
        /// The request.
        request: RequestKey,
    },
    /// A send ended.
    Ended {
        /// The request.
        request: RequestKey,
        /// Where it was sent.
        endpoint: EndpointKey,
        /// How it ended.
        result: SendResult,
    },
    /// Something was learned about an endpoint.
    Sign {
        /// The endpoint.
        endpoint: EndpointKey,
        /// What was learned.
        sign: Sign,
    },
    /// Load of all other dispatchers that can be reached; replaces what was said before.
    Peers(Vec<PeerLoad>),
    /// Time passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the endpoint; [`Event::Ended`] must follow.
    Send {
        /// The request.
        request: RequestKey,
        /// Where to.
        endpoint: EndpointKey,
    },
    /// Tell the caller; the dispatcher has forgotten the request.
    ///
    /// A whole answer is passed on by the daemon without this action.
    Finish {
        /// The request.
        request: RequestKey,
        /// What is certain.
        outcome: Outcome,
        /// Why.
        reason: Reason,
        /// When another try makes sense, in milliseconds from now.
        retry_after_ms: u64,
    },
    /// Hand the request to a peer; the dispatcher has forgotten it.
    ///
    /// If the peer certainly did not take it, submit it here again as forwarded.
    Forward {
        /// The request.
        request: RequestKey,
        /// Where to.
        peer: PeerKey,
    },
    /// Ask the endpoint whether it answers; [`Event::Sign`] must follow.
    Probe {
        /// The endpoint.
        endpoint: EndpointKey,
    },
    /// Nobody waits for this idempotent request; it may be broken off. [`Event::Ended`] must follow.
    Abort {
        /// The request.
        request: RequestKey,
        /// Where it runs.
        endpoint: EndpointKey,
    },
}
