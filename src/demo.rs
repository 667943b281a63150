//! Runs a whole cell in one process and reports what happened.

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
use crate::load::driver::{self, Told};
use crate::load::plan::{KindPlan, Phase, Plan};
use crate::load::report::LoadReport;
use cell::Cell;
use jobs::{JobClient, Submitted};
use oracle::{GangTruth, Violations};
use report::{DemoReport, StoreReport};

/// Longest wait for jobs after the load, in milliseconds.
const JOBS_LIMIT_MS: u64 = 5_000;

/// Longest time for which a job is submitted again, in milliseconds.
const ACCEPT_LIMIT_MS: u64 = 5_000;

/// Time in which the rate rises to the crest, and falls again, in milliseconds.
const SLOPE_MS: u64 = 500;

/// Runs the cell that `config` describes and reports what happened.
///
/// # Errors
/// The cell does not come up, or a job is not accepted. Broken promises are
/// in the report.
pub async fn run(config: &DemoConfig) -> eyre::Result<DemoReport> {
    let started_at_ms = clock::now_ms();
    let hosts = config.entry_hosts;
    progress(&format!("starting {hosts} entry hosts in {} zones", config.zones.len()));
    let cell = Cell::start(config).await?;
    let counted_from = (clock::now_ms(), cell.store.counters());
    progress(&format!("submitting {} jobs", config.jobs.len()));
    let mut submitted = submit_all(&cell, config).await?;
    let plan = load_plan(config);
    progress(&format!("sending requests for {} ms", plan.duration_ms()));
    let told = driver::run(&plan, &cell.caller_addresses()).await;
    progress("waiting for jobs");
    JobClient::new(cell.job_address()).wait(&mut submitted, JOBS_LIMIT_MS).await;
    let store = store_report(&cell, counted_from);
    progress("shutting down");
    cell.drain().await;

    let report = checked_report(config, &cell, &plan, &told, &submitted);
    Ok(DemoReport { duration_ms: clock::now_ms() - started_at_ms, store, ..report })
}

/// What callers were told and what became of the jobs, checked against the stand-ins' records.
pub(crate) fn checked_report(
    config: &DemoConfig,
    cell: &Cell,
    plan: &Plan,
    told: &[Told],
    submitted: &[Submitted],
) -> DemoReport {
    let workers = cell.worker_truths();
    let gangs: Vec<GangTruth> = submitted.iter().filter_map(Submitted::gang).collect();
    let mut violations = Violations::new();
    oracle::check_requests(told, &cell.runner_truths(), &mut violations);
    oracle::check_tasks(&workers, &gangs, &mut violations);
    DemoReport {
        schema: report::SCHEMA,
        cell: config.name.clone(),
        seed: config.seed,
        requests: LoadReport::new(plan, told),
        jobs: jobs::reports(submitted, &workers),
        placement: jobs::placement(submitted, &workers),
        violations: violations.into_sorted(),
        ..DemoReport::default()
    }
}

/// Submits the jobs of the settings.
pub(crate) async fn submit_all(cell: &Cell, config: &DemoConfig) -> eyre::Result<Vec<Submitted>> {
    let client = JobClient::new(cell.job_address());
    let mut submitted = Vec::new();
    for job in &config.jobs {
        submitted.push(client.submit_within(job, ACCEPT_LIMIT_MS).await?);
    }
    Ok(submitted)
}

/// The load of a demo: calm, a crest, calm again.
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
    let slope_ms = SLOPE_MS.min(crest_ms / 2);
    let phase = |for_ms, from_per_s, to_per_s| Phase { for_ms, from_per_s, to_per_s };
    vec![
        phase(calm_ms, calm_per_s, calm_per_s),
        phase(slope_ms, calm_per_s, crest_per_s),
        phase(crest_ms - 2 * slope_ms, crest_per_s, crest_per_s),
        phase(slope_ms, crest_per_s, calm_per_s),
        phase(calm_ms, calm_per_s, calm_per_s),
    ]
}

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

/// Tells a person at a terminal what is going on.
pub(crate) fn progress(message: &str) {
    let mut error = std::io::stderr();
    if error.is_terminal() {
        let _ = writeln!(error, "{message} …");
    }
}
