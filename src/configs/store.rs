//! Settings of the client of the platform's key-value store.

use serde::{Deserialize, Serialize};

use crate::settings::{Report, Validate};

/// Address, timeouts, rate limits and circuit breaker of the store client.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreConfig {
    /// Address of the platform's store, `IP:port`.
    pub address: String,
    /// Longest wait for an answer, in milliseconds, at least 1; for a watch, in addition to
    /// `watch_wait_ms`.
    pub timeout_ms: u64,
    /// Time for which the store holds a watch open without changes, in milliseconds, at least 1.
    pub watch_wait_ms: u64,
    /// Rate limit of the process, in writes per second, at least 1.
    pub writes_per_s: u64,
    /// Rate limit of the process, in reads and watches per second, at least 1.
    pub reads_per_s: u64,
    /// Longest time for which a call waits for the rate limit before it fails, in milliseconds.
    pub budget_wait_ms: u64,
    /// Consecutive failures after which the circuit breaker rejects calls until a probe succeeds,
    /// at least 1.
    pub breaker_failures: u32,
    /// Backoff after the first failure, in milliseconds, at least 1; it doubles with each further
    /// one.
    pub backoff_min_ms: u64,
    /// Longest backoff after a failure, in milliseconds, at least `backoff_min_ms`.
    pub backoff_max_ms: u64,
}

impl Default for StoreConfig {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:7000".to_owned(),
            timeout_ms: 1_000,
            watch_wait_ms: 10_000,
            writes_per_s: 40,
            reads_per_s: 60,
            budget_wait_ms: 1_000,
            breaker_failures: 3,
            backoff_min_ms: 100,
            backoff_max_ms: 1_500,
        }
    }
}

impl Validate for StoreConfig {
    fn validate(&self, report: &mut Report<'_>) {
        let address = self.address.parse::<std::net::SocketAddr>().is_ok();
        report.require(address, "address", "expected IP:port");
        report.require(self.timeout_ms > 0, "timeout_ms", "expected at least 1");
        report.require(self.watch_wait_ms > 0, "watch_wait_ms", "expected at least 1");
        report.require(self.writes_per_s > 0, "writes_per_s", "expected at least 1");
        report.require(self.reads_per_s > 0, "reads_per_s", "expected at least 1");
        report.require(self.breaker_failures > 0, "breaker_failures", "expected at least 1");
        report.require(self.backoff_min_ms > 0, "backoff_min_ms", "expected at least 1");
        let ordered = self.backoff_min_ms <= self.backoff_max_ms;
        report.require(ordered, "backoff_max_ms", "expected at least backoff_min_ms");
    }
}
