//! Settings of the HTTP server and client.

use serde::{Deserialize, Serialize};

use crate::settings::{Report, Validate};

/// Settings of the HTTP server and client.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HttpConfig {
    /// Connections that are open at once before new ones are refused.
    pub max_connections: usize,
    /// Longest body that is read, in bytes.
    pub max_body_bytes: u64,
    /// Time for a caller to send the head of a request, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time for a caller to send the body of a request, in milliseconds.
    pub body_timeout_ms: u64,
    /// Time to open a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Idle connections kept to one address.
    pub max_idle_per_address: usize,
    /// Age at which an idle connection is no longer used, in milliseconds.
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
