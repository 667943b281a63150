//! Settings of the ledger of idempotency keys.

use serde::{Deserialize, Serialize};

use crate::settings::{Report, Validate};

/// Size, timing and limits of a zone's ledger of idempotency keys.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LedgerConfig {
    /// Slots of the ring buffer in the store that holds a zone's log, one batch each, at least 2
    /// and at least `retention_ms / commit_every_ms`. A slot is overwritten once its batch is older
    /// than `retention_ms`.
    pub slots: u32,
    /// Shortest time for which a key is remembered, in milliseconds.
    pub retention_ms: u64,
    /// Shortest time between two commits, in milliseconds.
    pub commit_every_ms: u64,
    /// Longest wait for the store's answer to a commit before it is written again, in milliseconds,
    /// at least 1; it doubles with each retry.
    pub commit_timeout_ms: u64,
    /// Longest time for which a request waits for its key to be committed, in milliseconds, at
    /// least 1. Store calls that fail for so long also mark the ledger as unavailable.
    pub commit_wait_ms: u64,
    /// Most keys in one commit, at least 1.
    pub max_batch: usize,
    /// Most keys that wait for a commit at once, at least 1; further ones are refused.
    pub max_waiting: usize,
    /// Memory for answers kept for repeated requests, in bytes.
    pub answers_bytes: usize,
    /// Time for which a new holder of the ledger waits for the result of a request that it finds
    /// started but not ended, in milliseconds.
    pub end_wait_ms: u64,
    /// Longest time for which a request waits for a zone's ledger to get a new holder, in
    /// milliseconds.
    pub holder_wait_ms: u64,
    /// Time between attempts to reach the store while it is unavailable, in milliseconds, at least
    /// 1.
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
