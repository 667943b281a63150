//! Settings of the store client.

use serde::{Deserialize, Serialize};

use crate::settings::{Report, Validate};

/// Settings of the store client.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreConfig {
    /// Address of the platform's store, `IP:port`.
    pub address: String,
    /// Longest wait for an answer beyond the wait of a watch, in milliseconds.
    pub timeout_ms: u64,
    /// Longest wait of one watch, in milliseconds.
    pub watch_wait_ms: u64,
}

impl Default for StoreConfig {
    fn default() -> Self {
        Self { address: "127.0.0.1:7000".to_owned(), timeout_ms: 1_000, watch_wait_ms: 10_000 }
    }
}

impl Validate for StoreConfig {
    fn validate(&self, report: &mut Report<'_>) {
        let address = self.address.parse::<std::net::SocketAddr>().is_ok();
        report.require(address, "address", "expected IP:port");
        report.require(self.timeout_ms > 0, "timeout_ms", "expected at least 1");
        report.require(self.watch_wait_ms > 0, "watch_wait_ms", "expected at least 1");
    }
}
