//! Settings of the HTTP server and client of a daemon.

use serde::{Deserialize, Serialize};

use crate::settings::{Report, Validate};

/// Limits of the HTTP server and of the client's connection pool.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HttpConfig {
    /// Inbound connections that may be open at once, at least 1; further ones are answered with
    /// status 503 and closed.
    pub max_connections: usize,
    /// Longest body of a request or response that is read, in bytes, at least 1.
    pub max_body_bytes: u64,
    /// Longest wait for a complete request head, in milliseconds, at least 1.
    pub head_timeout_ms: u64,
    /// Longest wait for a complete request body, in milliseconds, at least 1.
    pub body_timeout_ms: u64,
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
        report.require(self.connect_timeout_ms > 0, "connect_timeout_ms", "expected at least 1");
    }
}
