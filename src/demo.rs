//! Runs a whole cell in one process under load, checks its guarantees and reports the results.
//!
//! This is the library behind `hemlock-demo`: [`run`] without faults, [`storm`] with them.

pub mod cell;
pub mod host;
pub mod jobs;
pub mod oracle;
pub mod report;
pub mod settle;
pub mod storm;

use std::io::{IsTerminal as _, Write as _};

use crate::clock;
use crate::configs::demo::{DemoConfig, DemoLoadConfig};
use crate::load::driver::{self, CallerResult};
use crate::load::plan::{KindPlan, Phase, Plan};
use crate::load::report::LoadReport;
use cell::Cell;
use jobs::{JobClient, SubmittedJob};
use oracle::{ExpectedGang, Violations};
use report::{DemoReport, StoreReport};

/// Longest wait for jobs to end after the load, in milliseconds.
const JOBS_TIMEOUT_MS: u64 = 5_000;

/// Longest time for which the submission of a job is retried, in milliseconds.
const SUBMIT_TIMEOUT_MS: u64 = 5_000;

/// Longest time in which the rate rises to the crest, and falls again, in milliseconds.
const MAX_RAMP_MS: u64 = 500;

/// Runs the cell that `config` describes under its load and reports the results.
///
/// # Errors
/// The cell does not start, or a job is not accepted. Broken promises are no
/// error; they are in the report.
pub async fn run(config: &DemoConfig) -> eyre::Result<DemoReport> {
    let started_at_ms = clock::now_ms();
    let hosts = config.entry_hosts;
    report_progress(&format!("starting {hosts} entry hosts in {} zones", config.zones.len()));
    let cell = Cell::start(config).await?;
    let store_baseline = (clock::now_ms(), cell.store.counters());
    report_progress(&format!("submitting {} jobs", config.jobs.len()));
    let mut submitted = submit_all(&cell, config).await?;
    let plan = load_plan(config);
    report_progress(&format!("sending requests for {} ms", plan.duration_ms()));
    let results = driver::run(&plan, &cell.caller_addresses()).await;
    report_progress("waiting for jobs");
    JobClient::new(cell.job_address()).wait(&mut submitted, JOBS_TIMEOUT_MS).await;
    let store = store_report(&cell, store_baseline);
    report_progress("shutting down");
    cell.drain().await;

    let report = checked_report(config, &cell, &plan, &results, &submitted);
    Ok(DemoReport { duration_ms: clock::now_ms() - started_at_ms, store, ..report })
}

/// Builds the report: checks the answers to callers and the jobs against the stand-ins' records.
///
/// Leaves duration and store calls at their defaults.
pub(crate) fn checked_report(
    config: &DemoConfig,
    cell: &Cell,
    plan: &Plan,
    results: &[CallerResult],
    submitted: &[SubmittedJob],
) -> DemoReport {
    let workers = cell.worker_records();
    let gangs: Vec<ExpectedGang> =
        submitted.iter().filter_map(SubmittedJob::expected_gang).collect();
    let mut violations = Violations::new();
    oracle::check_requests(results, &cell.runner_records(), &mut violations);
    oracle::check_tasks(&workers, &gangs, &mut violations);
    DemoReport {
        schema: report::SCHEMA_VERSION,
        cell: config.name.clone(),
        seed: config.seed,
        requests: LoadReport::new(plan, results),
        reasons: driver::reasons(results),
        jobs: jobs::reports(submitted, &workers),
        placement: jobs::placement(submitted, &workers),
        violations: violations.into_sorted(),
        ..DemoReport::default()
    }
}

/// Submits the jobs of the settings, one after the other.
pub(crate) async fn submit_all(
    cell: &Cell,
    config: &DemoConfig,
) -> eyre::Result<Vec<SubmittedJob>> {
    let client = JobClient::new(cell.job_address());
    let mut submitted = Vec::new();
    for job in &config.jobs {
        submitted.push(client.submit_within(job, SUBMIT_TIMEOUT_MS).await?);
    }
    Ok(submitted)
}

/// Load plan of a demo: the calm rate, a ramp up to the crest, and the calm rate again.
pub(crate) fn load_plan(config: &DemoConfig) -> Plan {
    let load = &config.load;
    Plan {
        service: config.runners.service.clone(),
        seed: config.seed,
        phases: phases(load),
        kinds: load
            .kinds
            .iter()
            .map(|kind| KindPlan {
                name: kind.name.clone(),
                share: kind.share,
                run_ms: kind.run_ms,
                idempotent_share: kind.idempotent_share,
                deadline_ms: kind.deadline_ms,
            })
            .collect(),
        callers: load.callers,
        caller_trip_ms: config.caller_trip_ms,
        body_bytes: load.body_bytes,
    }
}

fn phases(load: &DemoLoadConfig) -> Vec<Phase> {
    let DemoLoadConfig { calm_ms, crest_ms, calm_per_s, crest_per_s, .. } = *load;
    let ramp_ms = MAX_RAMP_MS.min(crest_ms / 2);
    let phase = |for_ms, from_per_s, to_per_s| Phase { for_ms, from_per_s, to_per_s };
    vec![
        phase(calm_ms, calm_per_s, calm_per_s),
        phase(ramp_ms, calm_per_s, crest_per_s),
        phase(crest_ms - 2 * ramp_ms, crest_per_s, crest_per_s),
        phase(ramp_ms, crest_per_s, calm_per_s),
        phase(calm_ms, calm_per_s, calm_per_s),
    ]
}

/// Mean rates of store calls since `from_ms`, when the counters were at `from`.
fn store_report(
    cell: &Cell,
    (from_ms, from): (u64, crate::standin::store::faults::Counters),
) -> StoreReport {
    const MS_PER_S: f64 = 1_000.0;
    let now = cell.store.counters();
    let seconds = (clock::now_ms() - from_ms) as f64 / MS_PER_S;
    let rate = |now: u64, from: u64| (now - from) as f64 / seconds;
    StoreReport {
        reads_per_s: rate(now.reads, from.reads),
        writes_per_s: rate(now.writes, from.writes),
        watches_per_s: rate(now.watches, from.watches),
    }
}

/// Prints a progress message on standard error if that is a terminal.
pub(crate) fn report_progress(message: &str) {
    let mut error = std::io::stderr();
    if error.is_terminal() {
        let _ = writeln!(error, "{message} …");
    }
}
