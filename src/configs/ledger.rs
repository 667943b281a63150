//! Settings of the ledger.

use serde::{Deserialize, Serialize};

use crate::settings::{Report, Validate};

/// Settings of the ledger of idempotency keys.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LedgerConfig {
    /// Places of a zone's log in the store; the oldest is overwritten when it is older than `retention_ms`.
    pub slots: u32,
    /// Time for which a key is remembered at least, in milliseconds.
    pub retention_ms: u64,
    /// Shortest time between two commits, in milliseconds.
    pub commit_every_ms: u64,
    /// Wait for the answer of a commit before it is written again, in milliseconds; doubles each time.
    pub commit_timeout_ms: u64,
    /// Longest wait of a request for its commit, in milliseconds.
    pub commit_wait_ms: u64,
    /// Largest batch, in keys.
    pub max_batch: usize,
    /// Keys that wait for a commit at once.
    pub max_waiting: usize,
    /// Memory for kept answers, in bytes.
    pub answers_bytes: usize,
    /// Time for which a new holder waits to be told the end of a run that it finds open, in milliseconds.
    pub end_wait_ms: u64,
    /// Longest wait of a request for a zone to get a new holder, in milliseconds.
    pub holder_wait_ms: u64,
    /// Time between tries to reach the store while it is away, in milliseconds.
    pub retry_ms: u64,
}

impl Default for LedgerConfig {
    fn default() -> Self {
        Self {
            slots: 6_000,
            retention_ms: 120_000,
            commit_every_ms: 20,
            commit_timeout_ms: 150,
            commit_wait_ms: 500,
            max_batch: 2_000,
            max_waiting: 10_000,
            answers_bytes: 8 * 1024 * 1024,
            end_wait_ms: 1_000,
            holder_wait_ms: 6_000,
            retry_ms: 200,
        }
    }
}

impl Validate for LedgerConfig {
    fn validate(&self, report: &mut Report<'_>) {
        report.require(self.slots > 1, "slots", "expected at least 2");
        report.require(self.max_batch > 0, "max_batch", "expected at least 1");
        report.require(self.max_waiting > 0, "max_waiting", "expected at least 1");
        report.require(self.commit_wait_ms > 0, "commit_wait_ms", "expected at least 1");
        report.require(self.commit_timeout_ms > 0, "commit_timeout_ms", "expected at least 1");
        report.require(self.retry_ms > 0, "retry_ms", "expected at least 1");
        let held = u64::from(self.slots) * self.commit_every_ms >= self.retention_ms;
        report.require(held, "slots", "expected at least retention_ms / commit_every_ms");
    }
}
