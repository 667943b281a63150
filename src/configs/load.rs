//! Settings of `hemlock-load`, the load generator.

use serde::{Deserialize, Serialize};

use crate::load::plan::{KindPlan, Phase, Plan};
use crate::settings::{Report, Validate};

/// Requests that the load generator sends to entry hosts.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestLoadConfig {
    /// Addresses of entry hosts, `IP:port`, at least one; requests use them in turn.
    pub targets: Vec<String>,
    /// Kinds of requests and their rate over time.
    pub plan: Plan,
}

impl Default for RequestLoadConfig {
    fn default() -> Self {
        let kind = KindPlan {
            name: "short".to_owned(),
            share: 1.0,
            run_ms: 10,
            idempotent_share: 0.5,
            deadline_ms: 10_000,
        };
        let plan = Plan {
            service: "orders".to_owned(),
            seed: 1,
            phases: vec![Phase { for_ms: 10_000, from_per_s: 100.0, to_per_s: 100.0 }],
            kinds: vec![kind],
            callers: 10,
            caller_trip_ms: 0.0,
            body_bytes: 64,
        };
        Self { targets: vec!["127.0.0.1:8080".to_owned()], plan }
    }
}

impl Validate for RequestLoadConfig {
    fn validate(&self, report: &mut Report<'_>) {
        validate_targets(&self.targets, report);
        for (index, phase) in self.plan.phases.iter().enumerate() {
            let holds = phase.from_per_s >= 0.0 && phase.to_per_s >= 0.0;
            report.require(
                holds,
                &format!("plan.phases[{index}]"),
                "expected from_per_s and to_per_s of at least 0",
            );
        }
        let share: f64 = self.plan.kinds.iter().map(|kind| kind.share).sum();
        report.require(share > 0.0, "plan.kinds", "expected shares whose sum is more than 0");
        for (index, kind) in self.plan.kinds.iter().enumerate() {
            let path = format!("plan.kinds[{index}]");
            let holds = kind.share >= 0.0 && (0.0..=1.0).contains(&kind.idempotent_share);
            report.require(
                holds,
                &path,
                "expected a share of at least 0 and an idempotent_share from 0 to 1",
            );
            report.require(kind.deadline_ms > 0, &path, "expected a deadline_ms of at least 1");
        }
    }
}

fn validate_targets(targets: &[String], report: &mut Report<'_>) {
    report.require(!targets.is_empty(), "targets", "expected at least one address");
    for (index, target) in targets.iter().enumerate() {
        let is_address = target.parse::<std::net::SocketAddr>().is_ok();
        report.require(is_address, &format!("targets[{index}]"), "expected IP:port");
    }
}

/// Jobs that the load generator submits to placers.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct JobLoadConfig {
    /// Seed of the random arrival times.
    pub seed: u64,
    /// Addresses that accept jobs, `IP:port`, at least one; jobs use them in turn.
    pub targets: Vec<String>,
    /// Time during which jobs arrive, in milliseconds.
    pub duration_ms: u64,
    /// Mean rate, in jobs per second, more than 0.
    pub per_s: f64,
    /// Tasks per job, at least 1.
    pub tasks: u32,
    /// Processor time that each task reserves, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory that each task reserves, in bytes.
    pub memory_bytes: u64,
    /// Team whose quota the jobs use; has to be declared if any team is.
    pub team: String,
    /// Program that each task runs, followed by its arguments.
    pub command: Vec<String>,
    /// Longest wait for a job to end, in milliseconds; after that, it is counted as
    /// `not_ended`.
    pub patience_ms: u64,
    /// Time between queries of a job's state, in milliseconds, at least 1.
    pub poll_ms: u64,
}

impl Default for JobLoadConfig {
    fn default() -> Self {
        Self {
            seed: 1,
            targets: vec!["127.0.0.1:8080".to_owned()],
            duration_ms: 10_000,
            per_s: 10.0,
            tasks: 1,
            cpu_millis: 500,
            memory_bytes: 256 * 1024 * 1024,
            team: String::new(),
            command: vec!["sleep".to_owned(), "1".to_owned()],
            patience_ms: 60_000,
            poll_ms: 100,
        }
    }
}

impl Validate for JobLoadConfig {
    fn validate(&self, report: &mut Report<'_>) {
        validate_targets(&self.targets, report);
        report.require(self.per_s > 0.0, "per_s", "expected more than 0");
        report.require(self.tasks > 0, "tasks", "expected at least 1");
        report.require(self.poll_ms > 0, "poll_ms", "expected at least 1");
    }
}
