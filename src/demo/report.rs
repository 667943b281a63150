//! The report of a demo run, as JSON and as text.

use std::collections::BTreeMap;
use std::fmt::{self, Write as _};

use serde::{Deserialize, Serialize};

use crate::demo::oracle::Violation;
use crate::load::report::{LoadReport, Quantiles};

/// Version of the JSON form; raised when a field is removed or changes its meaning.
pub const SCHEMA_VERSION: u32 = 1;

/// Results of a demo run.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct DemoReport {
    /// Version of the JSON form, [`SCHEMA_VERSION`].
    pub schema: u32,
    /// Name of the cell.
    pub cell: String,
    /// Seed of the run.
    pub seed: u64,
    /// Duration of the run, starting and draining included, in milliseconds.
    pub duration_ms: u64,
    /// Outcomes and waiting times of requests, by kind.
    pub requests: LoadReport,
    /// Number of requests by the reason in their answer; requests without a reason are left out.
    #[serde(default)]
    pub reasons: BTreeMap<String, u64>,
    /// Jobs, in the order of the settings.
    pub jobs: Vec<JobReport>,
    /// Placement of tasks over all jobs.
    pub placement: PlacementReport,
    /// Rates of calls to the store; zero in a storm.
    pub store: StoreReport,
    /// Broken promises; empty if all were kept.
    pub violations: Vec<Violation>,
}

/// Results of one job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JobReport {
    /// Name of the job.
    pub name: String,
    /// Kind of the job: `service`, `batch` or `gang`.
    pub kind: String,
    /// Number of tasks.
    pub tasks: u32,
    /// Number of tasks that started, from the workers' records.
    pub started: u32,
    /// Number of tasks that ended by themselves, from the workers' records.
    pub finished: u32,
    /// State that the placer last reported.
    pub state: String,
}

/// Placement of tasks, computed from the workers' records.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PlacementReport {
    /// Number of task starts, restarts included.
    pub starts: u64,
    /// Time from the submission of a job to the start of each of its tasks.
    pub wait: Quantiles,
    /// Peak share of a worker's processor capacity that was reserved, 0 to 1; mean over workers
    /// that ran tasks.
    pub packed_cpu: f64,
    /// Peak share of a worker's memory that was reserved, 0 to 1; mean over workers that ran tasks.
    pub packed_memory: f64,
}

/// Mean rates of calls to the store over the run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StoreReport {
    /// Gets and lists per second.
    pub reads_per_s: f64,
    /// Writes and lease calls per second.
    pub writes_per_s: f64,
    /// Watch calls per second.
    pub watches_per_s: f64,
}

impl DemoReport {
    /// Whether every promise was kept.
    pub fn is_kept(&self) -> bool {
        self.violations.is_empty()
    }
}

impl fmt::Display for DemoReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = String::new();
        self.write_requests(&mut text)?;
        self.write_jobs(&mut text)?;
        self.write_promises(&mut text)?;
        formatter.write_str(text.trim_end())
    }
}

impl DemoReport {
    fn write_requests(&self, text: &mut String) -> fmt::Result {
        let Self { cell, seed, duration_ms, .. } = self;
        writeln!(text, "cell {cell}, seed {seed}, {duration_ms} ms\n")?;
        writeln!(
            text,
            "{:<16}{:>8}{:>8}{:>9}{:>9}{:>9}{:>11}{:>11}{:>11}",
            "requests", "sent", "done", "in time", "not run", "unknown", "wait p50", "p99", "max"
        )?;
        for kind in &self.requests.kinds {
            let wait = kind.wait;
            writeln!(
                text,
                "{:<16}{:>8}{:>8}{:>9}{:>9}{:>9}{:>8.1} ms{:>8.1} ms{:>8.1} ms",
                kind.kind,
                kind.sent,
                kind.done,
                kind.done_in_time,
                kind.not_run,
                kind.unknown + kind.unanswered,
                wait.p50_ms,
                wait.p99_ms,
                wait.max_ms
            )?;
        }
        for (reason, count) in &self.reasons {
            writeln!(text, "reason {reason}: {count}")?;
        }
        Ok(())
    }

    fn write_jobs(&self, text: &mut String) -> fmt::Result {
        let jobs =
            format!("\n{:<16}{:>8}{:>8}{:>9}{:>9}  ", "jobs", "kind", "tasks", "started", "ended");
        writeln!(text, "{jobs}state")?;
        for job in &self.jobs {
            let JobReport { name, kind, tasks, started, finished, state } = job;
            writeln!(text, "{name:<16}{kind:>8}{tasks:>8}{started:>9}{finished:>9}  {state}")?;
        }
        let PlacementReport { starts, wait, packed_cpu, packed_memory } = self.placement;
        const PERCENT: f64 = 100.0;
        writeln!(
            text,
            "\nplacements: {starts}, wait p50 {:.0} ms, p99 {:.0} ms; packed {:.0}% of processors, {:.0}% of memory",
            wait.p50_ms,
            wait.p99_ms,
            packed_cpu * PERCENT,
            packed_memory * PERCENT
        )
    }

    fn write_promises(&self, text: &mut String) -> fmt::Result {
        let StoreReport { reads_per_s, writes_per_s, watches_per_s } = self.store;
        writeln!(
            text,
            "store calls a second: {reads_per_s:.1} reads, {writes_per_s:.1} writes, {watches_per_s:.1} watches"
        )?;
        if self.is_kept() {
            return writeln!(text, "promises broken: none");
        }
        writeln!(text, "promises broken:")?;
        for violation in &self.violations {
            let examples = violation.examples.join("; ");
            writeln!(text, "  {:?}: {} ({examples})", violation.promise, violation.count)?;
        }
        Ok(())
    }
}
