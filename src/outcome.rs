//! Outcome of a request as reported to its caller, and the HTTP headers that carry it.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Header that carries the outcome of a request.
pub const OUTCOME_HEADER: &str = "Hemlock-Outcome";

/// Header that carries the [`Reason`] of an outcome other than `done`.
pub const REASON_HEADER: &str = "Hemlock-Reason";

/// Header with which an endpoint announces, by `true`, that it is shutting down.
pub const LEAVING_HEADER: &str = "Hemlock-Endpoint-Leaving";

/// Header with which an endpoint reports, by `true`, that it did not start a request.
pub const NOT_STARTED_HEADER: &str = "Hemlock-Not-Started";

/// Header that carries the idempotency key of a request.
pub const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";

/// Header that carries the id of a request across all hops.
pub const REQUEST_ID_HEADER: &str = "Hemlock-Request-Id";

/// Whether a request ran, as known when its caller is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// An endpoint ran it and returned a complete answer, which the caller gets.
    Done,
    /// It did not run, and will not run under this submission.
    NotRun,
    /// It may have run: no complete answer arrived.
    Unknown,
}

impl Outcome {
    /// Value of the outcome in [`OUTCOME_HEADER`].
    ///
    /// ```
    /// use hemlockrock::outcome::Outcome;
    ///
    /// assert_eq!(Outcome::NotRun.as_str(), "not_run");
    /// assert_eq!(Outcome::parse("not_run"), Some(Outcome::NotRun));
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }

    /// Parses a value of [`OUTCOME_HEADER`]; `None` if it is not an outcome.
    pub fn parse(text: &str) -> Option<Self> {
        [Self::Done, Self::NotRun, Self::Unknown].into_iter().find(|known| known.as_str() == text)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Reason why a request did not run or may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The queue of the service is full.
    QueueFull,
    /// The expected wait and run time exceed the time to the deadline.
    DeadlineTooClose,
    /// The deadline passed while the request was queued.
    Expired,
    /// The caller cancelled the request or disconnected.
    Cancelled,
    /// No endpoint of the service is usable or reachable.
    NoEndpoint,
    /// The endpoint declined the request before starting it.
    Declined,
    /// The retry budget is used up.
    NoRetryLeft,
    /// The ledger is unavailable, so the idempotency key cannot be recorded.
    LedgerAway,
    /// The idempotency key was recorded earlier without an outcome.
    KeyInDoubt,
    /// The idempotency key was used for a different request.
    KeyReused,
    /// The connection closed or stopped responding after the request was sent.
    ConnectionLost,
    /// The answer ended before its declared content length.
    ShortAnswer,
    /// No complete answer arrived within the time limit after the request was sent.
    TimedOut,
    /// This entry host is shutting down.
    Draining,
}

impl Reason {
    /// Value of the reason in [`REASON_HEADER`], error codes and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::QueueFull => "queue_full",
            Self::DeadlineTooClose => "deadline_too_close",
            Self::Expired => "expired",
            Self::Cancelled => "cancelled",
            Self::NoEndpoint => "no_endpoint",
            Self::Declined => "declined",
            Self::NoRetryLeft => "no_retry_left",
            Self::LedgerAway => "ledger_away",
            Self::KeyInDoubt => "key_in_doubt",
            Self::KeyReused => "key_reused",
            Self::ConnectionLost => "connection_lost",
            Self::ShortAnswer => "short_answer",
            Self::TimedOut => "timed_out",
            Self::Draining => "draining",
        }
    }

    /// Message of the error response, for humans.
    pub fn message(self) -> &'static str {
        match self {
            Self::QueueFull => "the queue of the service is full",
            Self::DeadlineTooClose => "the request is not expected to complete before its deadline",
            Self::Expired => "the deadline passed while the request was queued",
            Self::Cancelled => "the request was cancelled",
            Self::NoEndpoint => "no endpoint of the service is available",
            Self::Declined => "the endpoint declined the request before starting it",
            Self::NoRetryLeft => "the retry budget of the service is used up",
            Self::LedgerAway => "the ledger is unavailable and cannot record the idempotency key",
            Self::KeyInDoubt => "an earlier request with this key may have run",
            Self::KeyReused => "the idempotency key was used for a different request",
            Self::ConnectionLost => {
                "the connection closed or stopped responding after the request was sent"
            }
            Self::ShortAnswer => "the answer ended before its declared content length",
            Self::TimedOut => "no complete answer arrived in time after the request was sent",
            Self::Draining => "this entry host is shutting down",
        }
    }
}
