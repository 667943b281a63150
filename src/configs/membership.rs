//! Settings of membership.

use serde::{Deserialize, Serialize};

use crate::settings::{Report, Validate};

/// Settings of membership.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipConfig {
    /// Time to live of a session after its last renewal, in milliseconds.
    pub session_ttl_ms: u64,
    /// Time between renewals, in milliseconds.
    pub renew_every_ms: u64,
    /// Time by which a session is taken as lapsed early, in milliseconds.
    pub clock_margin_ms: u64,
    /// Time between looks at whether something is due, in milliseconds.
    pub step_ms: u64,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self { session_ttl_ms: 3_000, renew_every_ms: 1_000, clock_margin_ms: 200, step_ms: 50 }
    }
}

impl Validate for MembershipConfig {
    fn validate(&self, report: &mut Report<'_>) {
        let renews = self.renew_every_ms > 0 && self.renew_every_ms * 2 < self.session_ttl_ms;
        report.require(renews, "renew_every_ms", "expected less than half of session_ttl_ms");
        let margin = self.clock_margin_ms < self.session_ttl_ms / 2;
        report.require(margin, "clock_margin_ms", "expected less than half of session_ttl_ms");
        report.require(self.step_ms > 0, "step_ms", "expected at least 1");
    }
}
