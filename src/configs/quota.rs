//! Settings of the division of team quotas among zones.

use serde::{Deserialize, Serialize};

use crate::settings::{Report, Validate};

/// Settings of the shares of the teams' quotas that each zone holds.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QuotaConfig {
    /// Share that a zone holds in excess of its use, in percent of its use, 0 to 100.
    pub headroom_percent: u64,
    /// Time between readings of the shares of all zones, in milliseconds, at least 1. A zone in
    /// which a team lacks quota reads them sooner.
    pub settle_every_ms: u64,
}

impl Default for QuotaConfig {
    fn default() -> Self {
        Self { headroom_percent: 10, settle_every_ms: 1_000 }
    }
}

impl Validate for QuotaConfig {
    fn validate(&self, report: &mut Report<'_>) {
        report.require(self.headroom_percent <= 100, "headroom_percent", "expected 0 to 100");
        report.require(self.settle_every_ms > 0, "settle_every_ms", "expected at least 1");
    }
}
