//! Settings of the placement of tasks on workers.

use serde::{Deserialize, Serialize};

use crate::settings::{Report, Validate};

/// How a worker is chosen for a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The worker on which the least room is wasted over all resources, with spreading, gangs and
    /// preemption.
    #[default]
    Full,
    /// The first worker with room, in declared order.
    FirstFit,
    /// The worker that is left with the least room in its tightest resource.
    BestFit,
}

/// Policy, leases, limits per step and failure handling of placement.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlaceConfig {
    /// How a worker is chosen: `full`, `first_fit` or `best_fit`.
    pub policy: Policy,
    /// Lease of a task, in milliseconds: a worker stops the task this long after the token time of
    /// the last renewal.
    pub task_lease_ms: u64,
    /// Time added to a lease before the placer treats it as lapsed, in milliseconds, less than
    /// `task_lease_ms`; it covers differences between clocks.
    pub clock_margin_ms: u64,
    /// Time between renewals of the leases on a worker, in milliseconds, at least 1 and less than
    /// half of `task_lease_ms`.
    pub renew_every_ms: u64,
    /// Time without an answer after which a worker gets no new tasks, in milliseconds, more than
    /// `renew_every_ms`.
    pub silent_after_ms: u64,
    /// Time for which answers from a majority of the workers prove that this placer still holds its
    /// zone while the store does not confirm it, in milliseconds, at least 1.
    pub holding_window_ms: u64,
    /// Most waiting jobs considered in one step, at least 1; the next step continues.
    pub looks_per_step: usize,
    /// Most failed searches for a worker in one step, at least 1; the next step continues.
    pub searches_per_step: usize,
    /// Most tasks placed in one step, at least 1; the next step continues.
    pub placements_per_step: usize,
    /// Most tasks of one urgent job for which others are preempted in one step, at least 1.
    pub preemptions_per_step: usize,
    /// Longest wait for preempted tasks to stop before another worker is chosen for the urgent
    /// task, in milliseconds.
    pub nomination_timeout_ms: u64,
    /// Time for which a gang waits for room before it claims workers, in milliseconds. Other tasks
    /// may then start there only if they end before the gang is expected to start.
    pub gang_patience_ms: u64,
    /// Time between attempts to place a waiting gang and to update its claim, in milliseconds, at
    /// least 1.
    pub claim_every_ms: u64,
    /// Distinct workers on which a job fails before it is given up, at least 2. Services are never
    /// given up.
    pub poison_after_workers: usize,
    /// Failures of one task before its job is given up, at least 2. Services are never given up.
    pub poison_after_failures: u8,
    /// Distinct jobs that fail on a worker before it is put on probation, at least 2.
    pub suspect_after_jobs: usize,
    /// First delay before a failed job or a worker on probation is retried, in milliseconds, 1 to
    /// `max_backoff_ms`; it doubles with each further failure.
    pub backoff_ms: u64,
    /// Longest delay before a failed job or a worker on probation is retried, in milliseconds.
    pub max_backoff_ms: u64,
    /// Run time after which a task clears the failures of its job and its worker, in milliseconds.
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
        let expected = "expected at least 1, also for looks_, searches_ and preemptions_per_step";
        report.require(!counts.contains(&0), "placements_per_step", expected);
        report.require(self.claim_every_ms > 0, "claim_every_ms", "expected at least 1");
        let poison = self.poison_after_workers > 1 && self.poison_after_failures > 1;
        let expected = "expected at least 2, also for poison_after_failures";
        report.require(poison, "poison_after_workers", expected);
        report.require(self.suspect_after_jobs > 1, "suspect_after_jobs", "expected at least 2");
        let backoff = self.backoff_ms > 0 && self.backoff_ms <= self.max_backoff_ms;
        report.require(backoff, "backoff_ms", "expected 1 to max_backoff_ms");
        report.require(self.holding_window_ms > 0, "holding_window_ms", "expected at least 1");
    }
}
