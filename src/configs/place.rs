//! Settings of placement.

use serde::{Deserialize, Serialize};

use crate::settings::{Report, Validate};

/// How a worker is chosen for a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// By least waste over all resources, with spreading, gangs and preemption.
    #[default]
    Full,
    /// The first worker with room, in the order of the inventory.
    FirstFit,
    /// The worker that is left with the least room in its tightest resource.
    BestFit,
}

/// Settings of placement.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlaceConfig {
    /// How a worker is chosen: full, first_fit or best_fit.
    pub policy: Policy,
    /// Time for which a worker runs a task after the token of its last renewal, in milliseconds.
    pub task_lease_ms: u64,
    /// Time added to a lease before it is taken as lapsed, in milliseconds.
    pub clock_margin_ms: u64,
    /// Time between renewals of the leases on a worker, in milliseconds.
    pub renew_every_ms: u64,
    /// Time without an answer after which a worker gets no new tasks, in milliseconds.
    pub silent_after_ms: u64,
    /// Time for which answers of the workers stand in for the store's word, in milliseconds.
    pub holding_window_ms: u64,
}

impl Default for PlaceConfig {
    fn default() -> Self {
        Self {
            policy: Policy::Full,
            task_lease_ms: 10_000,
            clock_margin_ms: 1_000,
            renew_every_ms: 2_000,
            silent_after_ms: 5_000,
            holding_window_ms: 5_000,
        }
    }
}

impl Validate for PlaceConfig {
    fn validate(&self, report: &mut Report<'_>) {
        let renews = self.renew_every_ms > 0 && self.renew_every_ms * 2 < self.task_lease_ms;
        report.require(renews, "renew_every_ms", "expected less than half of task_lease_ms");
        let silent = self.silent_after_ms > self.renew_every_ms;
        report.require(silent, "silent_after_ms", "expected more than renew_every_ms");
        let margin = self.clock_margin_ms < self.task_lease_ms;
        report.require(margin, "clock_margin_ms", "expected less than task_lease_ms");
        report.require(self.holding_window_ms > 0, "holding_window_ms", "expected at least 1");
    }
}
