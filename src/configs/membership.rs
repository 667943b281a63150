//! Settings of the sessions by which daemons are members of the cell.

use serde::{Deserialize, Serialize};

use crate::settings::{Report, Validate};

/// Timing of a daemon's session in the store, and its peers.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipConfig {
    /// Time to live of the session's lease after its last renewal, in milliseconds.
    pub session_ttl_ms: u64,
    /// Time between renewals of the lease, in milliseconds, at least 1 and less than half of
    /// `session_ttl_ms`.
    pub renew_every_ms: u64,
    /// Time before the end of the lease at which the daemon treats its own session as lapsed, in
    /// milliseconds, less than half of `session_ttl_ms`; it covers differences between clocks.
    pub clock_margin_ms: u64,
    /// Polling interval of the session's control loop, in milliseconds, at least 1.
    pub step_ms: u64,
    /// Daemons that are asked for the configuration while the store is unavailable.
    pub peers: PeersConfig,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            session_ttl_ms: 3_000,
            renew_every_ms: 1_000,
            clock_margin_ms: 200,
            step_ms: 50,
            peers: PeersConfig::default(),
        }
    }
}

impl Validate for MembershipConfig {
    fn validate(&self, report: &mut Report<'_>) {
        let renews = self.renew_every_ms > 0 && self.renew_every_ms * 2 < self.session_ttl_ms;
        report.require(renews, "renew_every_ms", "expected less than half of session_ttl_ms");
        let margin = self.clock_margin_ms < self.session_ttl_ms / 2;
        report.require(margin, "clock_margin_ms", "expected less than half of session_ttl_ms");
        report.require(self.step_ms > 0, "step_ms", "expected at least 1");
        report.nested("peers", &self.peers);
    }
}

/// Settings of the exchange of configuration with other daemons.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeersConfig {
    /// Addresses of other daemons, `IP:port`; may be empty, since the members of the daemon's zone
    /// that it last saw in the store are asked as well.
    pub addresses: Vec<String>,
    /// Longest wait for an answer, in milliseconds, at least 1.
    pub timeout_ms: u64,
    /// Time between requests for the configuration while the store is unavailable, in milliseconds,
    /// at least 1.
    pub ask_every_ms: u64,
}

impl Default for PeersConfig {
    fn default() -> Self {
        Self { addresses: Vec::new(), timeout_ms: 1_000, ask_every_ms: 1_000 }
    }
}

impl Validate for PeersConfig {
    fn validate(&self, report: &mut Report<'_>) {
        for (index, address) in self.addresses.iter().enumerate() {
            let is_known = address.parse::<std::net::SocketAddr>().is_ok();
            report.require(is_known, &format!("addresses[{index}]"), "expected IP:port");
        }
        report.require(self.timeout_ms > 0, "timeout_ms", "expected at least 1");
        report.require(self.ask_every_ms > 0, "ask_every_ms", "expected at least 1");
    }
}
