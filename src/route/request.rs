//! A request that a dispatcher knows.

use super::estimate::Class;
use super::message::{EndpointKey, Submission};
use crate::outcome::Reason;

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// In the queue of its class.
    Queued,
    /// Waiting for its next try.
    BackingOff,
    /// Sent.
    Running {
        /// Where to.
        endpoint: EndpointKey,
        /// When, on the clock of `now_ms`.
        sent_at_ms: u64,
        /// Whether it counts as long.
        is_long: bool,
    },
}

/// A request between its submission and its end.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    /// As it was submitted.
    pub(super) submission: Submission,
    /// Where it stands.
    pub(super) stage: Stage,
    /// Class of its kind when it was last queued.
    pub(super) class: Class,
    /// Sends so far.
    pub(super) tries: u32,
    /// Where it was sent last.
    pub(super) last: Option<EndpointKey>,
    /// Whether its caller has gone.
    pub(super) is_cancelled: bool,
    /// Why it may have run in an earlier try.
    pub(super) may_have_run: Option<Reason>,
}

impl Request {
    /// A request that was just submitted.
    pub(super) fn new(submission: Submission, class: Class) -> Self {
        Self {
            submission,
            stage: Stage::Queued,
            class,
            tries: 0,
            last: None,
            is_cancelled: false,
            may_have_run: None,
        }
    }
}
