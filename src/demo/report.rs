//! The report of a demo run, as JSON and as text.

use std::fmt::{self, Write as _};

use serde::{Deserialize, Serialize};

use crate::demo::oracle::Violation;
use crate::load::report::{LoadReport, Quantiles};

/// Version of the JSON form; grows when a field changes its meaning or goes.
pub const SCHEMA: u32 = 1;

/// What happened in a demo run.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct DemoReport {
    /// Version of this form.
    pub schema: u32,
    /// Name of the cell.
    pub cell: String,
    /// Seed of the run.
    pub seed: u64,
    /// Length of the run with start and end, in milliseconds.
    pub duration_ms: u64,
    /// Requests: outcomes and waits by kind.
    pub requests: LoadReport,
    /// Jobs in the order of the settings.
    pub jobs: Vec<JobReport>,
    /// Placement of tasks.
    pub placement: PlacementReport,
    /// Calls of the platform's store.
    pub store: StoreReport,
    /// Broken promises; empty when all were kept.
    pub violations: Vec<Violation>,
}

/// What became of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JobReport {
    /// Name of the job.
    pub name: String,
    /// service, batch or gang.
    pub kind: String,
    /// Tasks that it asked for.
    pub tasks: u32,
    /// Tasks that started on a worker, by the workers' records.
    pub started: u32,
    /// Tasks that finished, by the workers' records.
    pub finished: u32,
    /// State that the placer gave at the end.
    pub state: String,
}

/// Placement of tasks, from the workers' records.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PlacementReport {
    /// Task starts.
    pub starts: u64,
    /// Time from submission of the job to the start of a task.
    pub wait: Quantiles,
    /// Largest share of a worker's processors that was given out, mean over workers with work.
    pub packed_cpu: f64,
    /// Largest share of a worker's memory that was given out, mean over workers with work.
    pub packed_memory: f64,
}

/// Calls of the platform's store over the run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StoreReport {
    /// Reads a second.
    pub reads_per_s: f64,
    /// Writes a second.
    pub writes_per_s: f64,
    /// Watches a second.
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
