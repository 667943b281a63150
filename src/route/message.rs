//! Keys, events and actions of a dispatcher.

use serde::{Deserialize, Serialize};

use crate::outcome::{Outcome, Reason};

/// Number of a request, unique within one dispatcher while the request is open there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct RequestKey(pub u64);

/// Number of an endpoint, assigned by this host and meaningless on others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct EndpointKey(pub u32);

/// Number of a service, assigned by this host and meaningless on others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct ServiceKey(pub u32);

/// Number of a kind of work; requests of one kind in a service share a run-time estimate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct KindKey(pub u32);

/// Number of a caller; queued callers get equal shares of the slots of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct CallerKey(pub u32);

/// Number of the dispatcher of another entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct PeerKey(pub u32);

/// A request as it is submitted to a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Submission {
    /// Key of the request.
    pub request: RequestKey,
    /// Service that is to run it.
    pub service: ServiceKey,
    /// Kind of work, for the estimate of its run time.
    pub kind: KindKey,
    /// Caller that sent it.
    pub caller: CallerKey,
    /// Whether it is safe to run more than once.
    pub is_idempotent: bool,
    /// Whether another dispatcher forwarded it; it is then never forwarded again.
    pub is_forwarded: bool,
    /// Time by which the caller needs the answer, in milliseconds on the clock of `now_ms`.
    pub deadline_ms: u64,
}

/// Slots held back after a takeover, because the previous owner did not release the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakeoverGuard {
    /// Slots that requests of the previous owner may still use.
    pub slots: u32,
    /// Time at which the slots are freed, in milliseconds on the clock of `now_ms`.
    pub until_ms: u64,
}

/// Result of one send to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// A complete answer without a server error.
    Done {
        /// Time from send to answer, in milliseconds.
        ran_ms: u64,
    },
    /// A complete answer with a server error status.
    ServerError,
    /// The endpoint answered that it did not start the request.
    Declined,
    /// No byte was sent.
    NotSent,
    /// Bytes were sent, but no complete answer came; the request may have run.
    Lost {
        /// Reason reported to the caller if the request isn't retried.
        reason: Reason,
    },
}

/// A change of an endpoint's availability that was observed outside of a request's result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointSignal {
    /// It is shutting down, according to the host list or to itself.
    Leaving,
    /// It is no longer shutting down.
    NotLeaving,
    /// It refused a connection.
    ConnectionRefused,
    /// It answered a probe.
    ProbeSucceeded,
    /// It did not answer a probe.
    ProbeFailed,
}

/// Load of one service at one dispatcher, as sent in heartbeats.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Expected wait of a new request of short work, in milliseconds.
    pub short_wait_ms: f64,
    /// Expected wait of a new request of long work, in milliseconds.
    pub long_wait_ms: f64,
    /// Slots of all usable endpoints, busy or free.
    pub slots: u32,
    /// Slots that are free now.
    pub free_slots: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Mean run time over all kinds, in milliseconds.
    pub mean_run_ms: f64,
}

/// Load of a dispatcher, for the heartbeats to its peers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DispatcherLoad {
    /// Load of each service that has usable endpoints here.
    pub services: Vec<(ServiceKey, ServiceLoad)>,
}

/// Load of another dispatcher, from its last heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerLoad {
    /// Key of the other dispatcher.
    pub peer: PeerKey,
    /// One-way network latency to it, in milliseconds.
    pub trip_ms: f64,
    /// Whether it is in this dispatcher's zone.
    pub is_same_zone: bool,
    /// Load of each service there, under this host's keys.
    pub services: Vec<(ServiceKey, ServiceLoad)>,
}

/// Input of a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// This host now owns the endpoint; nothing is sent to it before [`Event::BusySlots`].
    EndpointAcquired {
        /// Endpoint that was acquired.
        endpoint: EndpointKey,
        /// Service that it serves.
        service: ServiceKey,
        /// Number of requests that it runs at once.
        slots: u32,
        /// Slots held back for the previous owner; `None` if that owner released the endpoint.
        guard: Option<TakeoverGuard>,
    },
    /// This host no longer owns the endpoint; requests in flight continue.
    EndpointReleased {
        /// Endpoint that was given up.
        endpoint: EndpointKey,
    },
    /// Slots of the endpoint that requests of other hosts use; repeated as these requests end.
    BusySlots {
        /// Endpoint that was asked.
        endpoint: EndpointKey,
        /// Slots in use, without those in flight from this dispatcher.
        busy: u32,
    },
    /// A request arrived.
    Submit(Submission),
    /// The caller disconnected or cancelled the request.
    Cancel {
        /// Request to cancel.
        request: RequestKey,
    },
    /// A send ended.
    SendEnded {
        /// Request that was sent.
        request: RequestKey,
        /// Endpoint that it was sent to.
        endpoint: EndpointKey,
        /// Result of the send.
        result: SendResult,
    },
    /// The availability of an endpoint changed.
    Signal {
        /// Endpoint that it concerns.
        endpoint: EndpointKey,
        /// Change that was observed.
        signal: EndpointSignal,
    },
    /// Loads of all reachable peers; replaces those of the previous such event.
    PeerLoads(Vec<PeerLoad>),
    /// Time passed; runs the timers that are due.
    Tick,
}

/// Output of a dispatcher, to be carried out by the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the endpoint; [`Event::SendEnded`] must follow.
    Send {
        /// Request to send.
        request: RequestKey,
        /// Endpoint to send it to.
        endpoint: EndpointKey,
    },
    /// Report the outcome to the caller; the dispatcher has dropped the request.
    ///
    /// Not issued for a complete answer, which the daemon returns to the caller directly.
    Finish {
        /// Request that ended.
        request: RequestKey,
        /// Whether it may have run.
        outcome: Outcome,
        /// Reason for the outcome.
        reason: Reason,
        /// Suggested wait before the caller retries, in milliseconds; 0 if cancelled or lost.
        retry_after_ms: u64,
    },
    /// Forward the request to a peer; the dispatcher has dropped it.
    ///
    /// If the peer certainly did not accept it, submit it here again as forwarded.
    Forward {
        /// Request to forward.
        request: RequestKey,
        /// Peer to forward it to.
        peer: PeerKey,
    },
    /// Send a health probe to the endpoint; [`Event::Signal`] must follow.
    Probe {
        /// Endpoint to probe.
        endpoint: EndpointKey,
    },
    /// The caller of this idempotent request is gone: the send may be aborted.
    ///
    /// [`Event::SendEnded`] must follow.
    Abort {
        /// Request whose caller is gone.
        request: RequestKey,
        /// Endpoint that runs it.
        endpoint: EndpointKey,
    },
}
