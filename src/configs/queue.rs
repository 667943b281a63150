//! Settings of the queue hosts and of the leader that places tasks on runners.

use serde::{Deserialize, Serialize};

use crate::settings::{Report, Validate};

/// When waiting steps are ordered by what their jobs are still worth to their callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderByValue {
    /// Where callers compete for insufficient capacity: the deployment declares workspaces.
    #[default]
    Auto,
    /// In every deployment.
    Always,
    /// In no deployment.
    Never,
}

/// Timing and limits of a queue host. One of the queue hosts is the leader, elected by a lease in
/// the store; it sends orders to the runners and renews the leases of the tasks that run there.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QueueConfig {
    /// Longest wait for an answer of the store, in milliseconds: a few hundred times its usual
    /// latency of 4 ms.
    pub store_timeout_ms: u64,
    /// Time for which the store holds the watch on the operator's declarations open, in
    /// milliseconds: a connection that went silent has to be noticed within the 2 s in which a
    /// declaration must take effect.
    pub declaration_wait_ms: u64,
    /// Time for which the store holds the watch on the leader's key open, in milliseconds.
    pub leader_wait_ms: u64,
    /// Time to live of the leader's lease, in milliseconds, which bounds the time without a leader.
    pub leader_ttl_ms: u64,
    /// Time between renewals of the leader's lease, in milliseconds, less than half of
    /// `leader_ttl_ms`; the default allows three attempts within it.
    pub leader_renew_ms: u64,
    /// Time before its lease can lapse at which a leader already treats it as lapsed, in
    /// milliseconds, less than `leader_ttl_ms`.
    pub leader_margin_ms: u64,
    /// Time for which a leader that has resigned retries to revoke its lease, in milliseconds.
    /// Together with the last call, it fits into `shutdown_serve_ms`.
    pub leader_release_ms: u64,
    /// Time for which a leader still sends orders to runners after its own lease may have lapsed,
    /// in milliseconds, since outages of the store last for about 5 s. A successor waits that much
    /// longer for runners that do not answer it.
    pub bridge_ms: u64,
    /// Lease that the leader requests from a runner for the tasks that run there, in milliseconds,
    /// more than `leader_ttl_ms` and `hold_wait_ms` together: runs outlast a change of leader.
    pub run_lease_ms: u64,
    /// Longest lease that a runner grants, in milliseconds; it shortens longer ones.
    pub max_run_lease_ms: u64,
    /// Time for which a runner holds a lease renewal open until a task ends, in milliseconds, at
    /// most the 2,000 that runners allow. A silent runner is noticed that much later.
    pub hold_wait_ms: u64,
    /// Shortest time between renewals at one runner, in milliseconds, so that one renewal reports
    /// several ended tasks.
    pub hold_gap_ms: u64,
    /// Longest wait for a runner's answer to an order, in milliseconds, in addition to the time for
    /// which the runner may hold the order open.
    pub order_timeout_ms: u64,
    /// Time for which a runner that did not answer gets no new task, in milliseconds.
    pub runner_pause_ms: u64,
    /// Distinct jobs that fail on a runner, without a success between, before it is quarantined.
    pub runner_failure_limit: u32,
    /// Time for which a quarantined runner, or one with a stalled task, gets no new task, in
    /// milliseconds.
    pub runner_quarantine_ms: u64,
    /// Crashes of runners under an isolated task after which its job is given up, at least 2: the
    /// first crash alone does not tell which task has caused it.
    pub task_crash_limit: u32,
    /// Part of a service's usable runners on which tasks that may have crashed a runner are run in
    /// isolation at the same time, in thousandths; at least one runner. While no other task waits,
    /// all idle runners but this part are used.
    pub suspect_runners_millis: u64,
    /// Time without progress after which a run is stopped and started elsewhere, in milliseconds:
    /// more than one percent of the longest work of the sites takes.
    pub stall_patience_ms: u64,
    /// Shortest time between writes of job progress, in milliseconds, so that ended tasks share a
    /// write.
    pub save_gap_ms: u64,
    /// Most records in one write, 1 to 15: a write holds at most 32 entries, two for each record.
    pub save_batch: usize,
    /// Time for which the records of an ended job are kept, in milliseconds: the sites require
    /// 120 s, and another half of that covers late repeats of a submission.
    pub ended_kept_ms: u64,
    /// Pause between watches for new job records that no host has announced, in milliseconds.
    pub record_gap_ms: u64,
    /// Pause between watches on the runners' own records, in milliseconds: less than half of the
    /// 2 s after which a leaving runner must get no new task.
    pub runner_gap_ms: u64,
    /// Time between heartbeats of a host to the leader, in milliseconds.
    pub hello_ms: u64,
    /// Longest wait for an answer of another queue host, in milliseconds.
    pub peer_timeout_ms: u64,
    /// Most runners in one request for placement advice, at least 1; the objective of a job counts
    /// 30.
    pub advice_runners: usize,
    /// Part of each runner that work of low priority leaves free for urgent work, in thousandths.
    pub urgent_reserve_millis: u64,
    /// Largest part of a fast runner that work of low priority leaves free for urgent work where the
    /// measured speeds of runners differ, in thousandths, at least `urgent_reserve_millis`.
    pub fast_reserve_millis: u64,
    /// Time in which a measured duration loses half of its weight in the speed of its runner, in
    /// milliseconds.
    pub speed_half_life_ms: u64,
    /// Difference in speed below which runners count as alike, in thousandths. Placement is the same as
    /// without measurements while no runner differs by more.
    pub speed_dead_zone_millis: u64,
    /// Time for which a long-running task waits for room before work of a lower priority is
    /// stopped, in milliseconds.
    pub lasting_patience_ms: u64,
    /// Longest time for which a job in excess of its workspace's weight goes behind the others of its
    /// priority, in milliseconds; after each further period, the use of its workspace counts one
    /// level less.
    pub share_delay_ms: u64,
    /// When waiting steps are ordered by what their jobs are still worth to their callers, rather
    /// than by due time only.
    pub order_by_value: OrderByValue,
    /// Age from which a job that is late goes with those that are in time, in milliseconds: later
    /// than any job of the known deployments has lost its value, so that an overload which is
    /// shorter than this does not bring late work to the front.
    pub late_job_patience_ms: u64,
    /// Load of a latency-sensitive task, in thousandths of its latency target, from which
    /// best-effort tasks on the same runner are paused.
    pub disturbed_at_millis: u64,
    /// Load of a latency-sensitive task, in thousandths of its latency target, up to which
    /// best-effort tasks on the same runner run at full pace, less than `disturbed_at_millis`.
    pub calm_at_millis: u64,
    /// Time without an answer of the store after which calls that need it fail at once, in
    /// milliseconds: just above `declaration_wait_ms`, within which a working store answers at
    /// least once.
    pub store_away_ms: u64,
    /// Time since the store's last answer for which a host still reports ready, in milliseconds.
    pub ready_without_store_ms: u64,
    /// Part of the shutdown grace period for which a host that is shutting down still serves
    /// callers, in milliseconds.
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
            max_run_lease_ms: 10_000,
            hold_wait_ms: 1_000,
            hold_gap_ms: 60,
            order_timeout_ms: 600,
            runner_pause_ms: 1_000,
            runner_failure_limit: 3,
            runner_quarantine_ms: 6_000,
            task_crash_limit: 2,
            suspect_runners_millis: 250,
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
            fast_reserve_millis: 300,
            speed_half_life_ms: 30_000,
            speed_dead_zone_millis: 200,
            lasting_patience_ms: 1_000,
            share_delay_ms: 10_000,
            order_by_value: OrderByValue::Auto,
            late_job_patience_ms: 120_000,
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
        report.require(self.task_crash_limit >= 2, "task_crash_limit", "expected at least 2");
        let share = self.suspect_runners_millis <= 1_000;
        report.require(share, "suspect_runners_millis", "expected at most 1000");
        let reserve = (self.urgent_reserve_millis..=900).contains(&self.fast_reserve_millis);
        report.require(
            reserve,
            "fast_reserve_millis",
            "expected at least urgent_reserve_millis and at most 900",
        );
        report.require(self.speed_half_life_ms > 0, "speed_half_life_ms", "expected at least 1");
        let calm = self.calm_at_millis < self.disturbed_at_millis;
        report.require(calm, "calm_at_millis", "expected less than disturbed_at_millis");
    }
}
