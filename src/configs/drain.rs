//! Settings of the graceful shutdown of a daemon.

use serde::{Deserialize, Serialize};

use crate::settings::{Report, Validate};

/// Time limits of a graceful shutdown.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DrainConfig {
    /// Time between reporting not ready and the handover, in milliseconds; the load balancer
    /// redirects callers meanwhile.
    pub balancer_delay_ms: u64,
    /// Longest time from the first termination signal to the exit, in milliseconds, more than
    /// `balancer_delay_ms`.
    pub drain_timeout_ms: u64,
}

impl Default for DrainConfig {
    fn default() -> Self {
        Self { balancer_delay_ms: 2_000, drain_timeout_ms: 30_000 }
    }
}

impl Validate for DrainConfig {
    fn validate(&self, report: &mut Report<'_>) {
        let longer = self.drain_timeout_ms > self.balancer_delay_ms;
        report.require(longer, "drain_timeout_ms", "expected more than balancer_delay_ms");
    }
}
