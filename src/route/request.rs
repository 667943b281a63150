//! State of a request between its submission and its end.

use super::estimate::Class;
use super::message::{EndpointKey, Submission};
use crate::outcome::Reason;

/// Stage of a request at its dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Waiting in the queue of its class.
    Queued,
    /// Waiting for the backoff before its next try.
    BackingOff,
    /// Sent to an endpoint that has not answered yet.
    Running {
        /// Endpoint that it was sent to.
        endpoint: EndpointKey,
        /// Time of the send, in milliseconds on the clock of `now_ms`.
        sent_at_ms: u64,
        /// Whether it counts as long work, by its class or its time so far.
        is_long: bool,
    },
}

/// A request that has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    /// The request as submitted.
    pub(super) submission: Submission,
    /// Current stage.
    pub(super) stage: Stage,
    /// Class of its kind at the time of submission.
    pub(super) class: Class,
    /// Number of sends so far.
    pub(super) tries: u32,
    /// Endpoint of the last send, which a retry avoids; `None` before the first send.
    pub(super) last_endpoint: Option<EndpointKey>,
    /// Whether its caller disconnected or cancelled it.
    pub(super) is_cancelled: bool,
    /// Reason of the last lost send, after which the request may have run; `None` if there is none.
    pub(super) may_have_run: Option<Reason>,
}

impl Request {
    /// A request that was just submitted and never sent.
    pub(super) fn new(submission: Submission, class: Class) -> Self {
        Self {
            submission,
            stage: Stage::Queued,
            class,
            tries: 0,
            last_endpoint: None,
            is_cancelled: false,
            may_have_run: None,
        }
    }
}
