//! What a caller is told about its request.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Header that carries the outcome of a request.
pub const OUTCOME_HEADER: &str = "Hemlock-Outcome";

/// Header that says why a request did not run or may have run.
pub const REASON_HEADER: &str = "Hemlock-Reason";

/// Header by which an endpoint says that it leaves.
pub const LEAVING_HEADER: &str = "Hemlock-Endpoint-Leaving";

/// Header by which an endpoint says that it did not start a request.
pub const NOT_STARTED_HEADER: &str = "Hemlock-Not-Started";

/// Header that carries the idempotency key of a request.
pub const KEY_HEADER: &str = "Idempotency-Key";

/// Header that carries the id of a request over all hops.
pub const REQUEST_ID_HEADER: &str = "Hemlock-Request-Id";

/// What is certain about a request when its caller is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// An endpoint ran it, and the caller has its whole answer.
    Done,
    /// It did not run and never will under this submission.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// The outcome as the header carries it.
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

    /// Reads an outcome from its header.
    pub fn parse(text: &str) -> Option<Self> {
        [Self::Done, Self::NotRun, Self::Unknown].into_iter().find(|known| known.as_str() == text)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Why a request did not run or may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The queue is full.
    QueueFull,
    /// The wait would outlast the deadline.
    DeadlineTooClose,
    /// The deadline passed in the queue.
    Expired,
    /// The caller cancelled it or went away.
    Cancelled,
    /// No endpoint of the service can be reached.
    NoEndpoint,
    /// The endpoint declined before it started.
    Declined,
    /// The retry budget is used up.
    NoRetryLeft,
    /// The key cannot be recorded now.
    LedgerAway,
    /// The key was recorded by a holder that did not say how it ended.
    KeyInDoubt,
    /// The key was used for another request.
    KeyReused,
    /// The connection ended or went silent after the request was sent.
    ConnectionLost,
    /// The answer ended before its declared length.
    ShortAnswer,
    /// The time limit passed after the request was sent.
    TimedOut,
    /// This entry host is shutting down.
    Draining,
}

impl Reason {
    /// The reason as headers and metrics carry it.
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

    /// What the reason says to people.
    pub fn message(self) -> &'static str {
        match self {
            Self::QueueFull => "the queue of the service is full",
            Self::DeadlineTooClose => "the wait would outlast the deadline",
            Self::Expired => "the deadline passed in the queue",
            Self::Cancelled => "the request was cancelled",
            Self::NoEndpoint => "no endpoint of the service can be reached",
            Self::Declined => "the endpoint declined before it started",
            Self::NoRetryLeft => "the retry budget is used up",
            Self::LedgerAway => "the idempotency key cannot be recorded now",
            Self::KeyInDoubt => "an earlier request with this key may have run",
            Self::KeyReused => "the idempotency key was used for another request",
            Self::ConnectionLost => {
                "the connection ended or went silent after the request was sent"
            }
            Self::ShortAnswer => "the answer ended before its declared length",
            Self::TimedOut => "no answer came in time after the request was sent",
            Self::Draining => "this entry host is shutting down",
        }
    }
}
