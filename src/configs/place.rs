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
    /// Waiting jobs looked at in one step before the step is cut short.
    pub looks_per_step: usize,
    /// Searches for a worker in one step that may fail before the step is cut short.
    pub searches_per_step: usize,
    /// Tasks placed in one step before the step is cut short.
    pub placements_per_step: usize,
    /// Tasks of one job for which room is made in one step.
    pub preemptions_per_step: usize,
    /// Time in which room for an urgent task must be made before another worker is chosen, in milliseconds.
    pub nomination_timeout_ms: u64,
    /// Time for which a gang waits before it claims workers, in milliseconds.
    pub gang_patience_ms: u64,
    /// Time between looks at where a waiting gang may start, in milliseconds.
    pub claim_every_ms: u64,
    /// Distinct workers on which a job may fail before it is given up.
    pub poison_after_workers: usize,
    /// Failures of one task before its job is given up.
    pub poison_after_failures: u8,
    /// Distinct jobs that may fail on a worker before it is on probation.
    pub suspect_after_jobs: usize,
    /// First wait before a failed job or a worker on probation is tried again, in milliseconds.
    pub backoff_ms: u64,
    /// Longest wait before a failed job or a worker on probation is tried again, in milliseconds.
    pub max_backoff_ms: u64,
    /// Age at which a running task counts as having started well, in milliseconds.
    pub settled_after_ms: u64,
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
            looks_per_step: 2_048,
            searches_per_step: 64,
            placements_per_step: 256,
            preemptions_per_step: 64,
            nomination_timeout_ms: 3_000,
            gang_patience_ms: 2_000,
            claim_every_ms: 1_000,
            poison_after_workers: 3,
            poison_after_failures: 5,
            suspect_after_jobs: 3,
            backoff_ms: 500,
            max_backoff_ms: 60_000,
            settled_after_ms: 30_000,
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
        let counts = [
            self.looks_per_step,
            self.searches_per_step,
            self.placements_per_step,
            self.preemptions_per_step,
        ];
        report.require(!counts.contains(&0), "placements_per_step", "expected at least 1");
        report.require(self.claim_every_ms > 0, "claim_every_ms", "expected at least 1");
        let poison = self.poison_after_workers > 1 && self.poison_after_failures > 1;
        report.require(poison, "poison_after_workers", "expected at least 2");
        report.require(self.suspect_after_jobs > 1, "suspect_after_jobs", "expected at least 2");
        let backoff = self.backoff_ms > 0 && self.backoff_ms <= self.max_backoff_ms;
        report.require(backoff, "backoff_ms", "expected 1 to max_backoff_ms");
        report.require(self.holding_window_ms > 0, "holding_window_ms", "expected at least 1");
    }
}
