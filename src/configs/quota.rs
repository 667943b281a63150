//! Settings of quotas.

use serde::{Deserialize, Serialize};

use crate::settings::{Report, Validate};

/// Settings of quotas.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QuotaConfig {
    /// Share that a zone holds beyond what it uses, in hundredths of its use.
    pub headroom_percent: u64,
    /// Time between looks at whether shares are to change, in milliseconds.
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
