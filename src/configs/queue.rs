//! Settings of the queues and of the leader that orders the runners.

use serde::{Deserialize, Serialize};

use crate::settings::{Report, Validate};

/// Settings of the queues and of the leader that orders the runners.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QueueConfig {
    /// Longest wait for an answer of the store, in milliseconds: a few hundred times its usual 4 ms.
    pub store_timeout_ms: u64,
    /// Wait of the watch on the operator's declarations, in milliseconds: a silent connection has
    /// to be noticed within the 2 s in which a declaration must be in force.
    pub declaration_wait_ms: u64,
    /// Wait of the watch on the leader's key, in milliseconds.
    pub leader_wait_ms: u64,
    /// Time to live of the leader's lease, in milliseconds: the longest gap without a leader.
    pub leader_ttl_ms: u64,
    /// Time between renewals of the leader's lease, in milliseconds: three tries within the ttl.
    pub leader_renew_ms: u64,
    /// Time by which a leader stops to order before its lease can have lapsed, in milliseconds.
    pub leader_margin_ms: u64,
    /// Time for which a leader that has resigned tries to end its lease, in milliseconds: with the
    /// last call it fits into the time in which a host that is stopped still serves.
    pub leader_release_ms: u64,
    /// Time for which a leader still orders runners after its own lease may have lapsed, in
    /// milliseconds: outages of the store last for about 5 s. A successor waits that much longer
    /// for runners that do not answer it.
    pub bridge_ms: u64,
    /// Lease that the leader asks of runners for what runs there, in milliseconds: longer than the
    /// time to live of its own lease and a takeover together.
    pub run_lease_ms: u64,
    /// Wait of a renewal for an end, in milliseconds; runners allow 2,000. A silent runner is
    /// noticed that much later.
    pub hold_wait_ms: u64,
    /// Shortest time between renewals at one runner, in milliseconds: ends gather meanwhile.
    pub hold_gap_ms: u64,
    /// Longest wait for the answer to an order beyond its own wait, in milliseconds.
    pub order_timeout_ms: u64,
    /// Time for which a runner that failed to answer gets no new task, in milliseconds.
    pub runner_pause_ms: u64,
    /// Failures in a row, of different jobs, after which a runner is set aside.
    pub runner_failure_limit: u32,
    /// Time for which a runner that only fails is set aside, in milliseconds.
    pub runner_quarantine_ms: u64,
    /// Time for which a run may show no progress before it is started elsewhere, in milliseconds:
    /// above the time that one percent of the longest work of the sites takes.
    pub stall_patience_ms: u64,
    /// Time between writes of what has ended, in milliseconds: ends share a write.
    pub save_gap_ms: u64,
    /// Records in one write; the store takes 32 entries, two of them for each record.
    pub save_batch: usize,
    /// Time for which the records of an ended job are kept, in milliseconds: the sites ask for
    /// 120 s, and another half of that covers late repeats of a submission.
    pub ended_kept_ms: u64,
    /// Time between looks at new records that no host has announced, in milliseconds.
    pub record_gap_ms: u64,
    /// Time between looks at the runners' own records, in milliseconds: less than half of the 2 s
    /// after which a leaving runner may get nothing new.
    pub runner_gap_ms: u64,
    /// Time between two signs of life of a host to the leader, in milliseconds.
    pub hello_ms: u64,
    /// Longest wait for the answer of another host, in milliseconds.
    pub peer_timeout_ms: u64,
    /// Runners in one call for advice; the objective of a job counts 30.
    pub advice_runners: usize,
    /// Part of a runner that the lowest priority leaves to urgent work, in thousandths.
    pub urgent_reserve_millis: u64,
    /// Time for which a lasting task waits for room before other work is stopped, in milliseconds.
    pub lasting_patience_ms: u64,
    /// Load of a serving task, in thousandths of its target, at which filling tasks beside it rest.
    pub disturbed_at_millis: u64,
    /// Load of a serving task, in thousandths of its target, at which filling tasks work again.
    pub calm_at_millis: u64,
    /// Time without an answer of the store after which callers are refused at once, in milliseconds:
    /// just above `declaration_wait_ms`, in which a living store answers at least once.
    pub store_away_ms: u64,
    /// Longest time without the store in which a host still calls itself ready, in milliseconds.
    pub ready_without_store_ms: u64,
    /// Part of the grace period in which a host that is stopped still serves, in milliseconds.
    pub shutdown_serve_ms: u64,
}

impl Default for QueueConfig {
    fn default() -> Self {
        Self {
            store_timeout_ms: 800,
            declaration_wait_ms: 1_000,
            leader_wait_ms: 4_000,
            leader_ttl_ms: 1_600,
            leader_renew_ms: 400,
            leader_margin_ms: 300,
            leader_release_ms: 2_200,
            bridge_ms: 4_500,
            run_lease_ms: 3_600,
            hold_wait_ms: 1_000,
            hold_gap_ms: 60,
            order_timeout_ms: 600,
            runner_pause_ms: 1_000,
            runner_failure_limit: 3,
            runner_quarantine_ms: 6_000,
            stall_patience_ms: 2_500,
            save_gap_ms: 50,
            save_batch: 15,
            ended_kept_ms: 180_000,
            record_gap_ms: 500,
            runner_gap_ms: 600,
            hello_ms: 1_000,
            peer_timeout_ms: 400,
            advice_runners: 30,
            urgent_reserve_millis: 100,
            lasting_patience_ms: 1_000,
            disturbed_at_millis: 700,
            calm_at_millis: 400,
            store_away_ms: 1_200,
            ready_without_store_ms: 1_500,
            shutdown_serve_ms: 3_000,
        }
    }
}

impl Validate for QueueConfig {
    fn validate(&self, report: &mut Report<'_>) {
        let renews = self.leader_renew_ms * 2 < self.leader_ttl_ms;
        report.require(renews, "leader_renew_ms", "expected less than half of leader_ttl_ms");
        let margin = self.leader_margin_ms < self.leader_ttl_ms;
        report.require(margin, "leader_margin_ms", "expected less than leader_ttl_ms");
        let lease = self.run_lease_ms > self.leader_ttl_ms + self.hold_wait_ms;
        report.require(lease, "run_lease_ms", "expected more than leader_ttl_ms and hold_wait_ms");
        let batch = (1..=15).contains(&self.save_batch);
        report.require(batch, "save_batch", "expected 1 to 15");
        report.require(self.hold_wait_ms <= 2_000, "hold_wait_ms", "expected at most 2000");
        report.require(self.advice_runners > 0, "advice_runners", "expected at least 1");
        let calm = self.calm_at_millis < self.disturbed_at_millis;
        report.require(calm, "calm_at_millis", "expected less than disturbed_at_millis");
    }
}
