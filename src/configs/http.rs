//! Settings of the HTTP server and client of a daemon.

use serde::{Deserialize, Serialize};

use crate::settings::{Report, Validate};

/// Least memory for requests in flight, in bytes: some bodies of the usual limit of 1 MiB.
pub const MIN_INFLIGHT_BYTES: usize = 4 * 1024 * 1024;

/// Limits of the HTTP server and of the client's connection pool.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HttpConfig {
    /// Inbound connections that may be open at once, at least 1. For a further one, the oldest connection without
    /// a completed request is closed; if there is none, it is answered with status 503 and closed.
    pub max_connections: usize,
    /// Longest body of a request or response that is read, in bytes, at least 1.
    pub max_body_bytes: u64,
    /// Longest wait for a complete request head, in milliseconds, at least 1.
    pub head_timeout_ms: u64,
    /// Longest wait for a complete request body, in milliseconds, at least 1.
    pub body_timeout_ms: u64,
    /// Longest request head that is read, in bytes, at least 1,024. The request line and the headers
    /// for framing are limited to 8 KiB in any case.
    pub max_head_bytes: usize,
    /// Memory for the heads and bodies of all requests in flight, in bytes, at least 4 MiB; further
    /// requests are refused with status 503, or stalled ones are aborted.
    pub max_inflight_bytes: usize,
    /// Longest time without progress of a response, and longest time for which the rest of an unread
    /// body is discarded after it, in milliseconds, at least 1.
    pub answer_timeout_ms: u64,
    /// Longest wait for an outbound connection to open, in milliseconds, at least 1.
    pub connect_timeout_ms: u64,
    /// Idle outbound connections kept to one address; with 0, connections are not reused.
    pub max_idle_per_address: usize,
    /// Time without traffic after which an outbound connection is not reused, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for HttpConfig {
    fn default() -> Self {
        Self {
            max_connections: 12_000,
            max_body_bytes: 1024 * 1024,
            head_timeout_ms: 30_000,
            body_timeout_ms: 10_000,
            max_head_bytes: 16 * 1024,
            max_inflight_bytes: 96 * 1024 * 1024,
            answer_timeout_ms: 10_000,
            connect_timeout_ms: 1_000,
            max_idle_per_address: 64,
            idle_timeout_ms: 15_000,
        }
    }
}

impl Validate for HttpConfig {
    fn validate(&self, report: &mut Report<'_>) {
        report.require(self.max_connections > 0, "max_connections", "expected at least 1");
        report.require(self.max_body_bytes > 0, "max_body_bytes", "expected at least 1");
        report.require(self.head_timeout_ms > 0, "head_timeout_ms", "expected at least 1");
        report.require(self.body_timeout_ms > 0, "body_timeout_ms", "expected at least 1");
        let head = self.max_head_bytes >= 1_024;
        report.require(head, "max_head_bytes", "expected at least 1024");
        let inflight = self.max_inflight_bytes >= MIN_INFLIGHT_BYTES;
        report.require(inflight, "max_inflight_bytes", "expected at least 4194304");
        report.require(self.answer_timeout_ms > 0, "answer_timeout_ms", "expected at least 1");
        report.require(self.connect_timeout_ms > 0, "connect_timeout_ms", "expected at least 1");
    }
}
