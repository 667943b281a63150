//! Submits jobs at a constant mean rate and polls each one until it ends.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use hdrhistogram::Histogram;
use http_types::Method;

use super::plan::{Phase, Plan};
use super::results::Run;
use crate::clock;
use crate::configs::http::HttpConfig;
use crate::configs::load::{JobLoadConfig, RequestLoadConfig};
use crate::http::client::{self, Pool};
use crate::jobs::api::{self, JobView, Submission, SubmitAnswer, SubmitOutcome};
use crate::place::spec::{JobKind, JobSpec};

/// Longest wait for the answer to one call, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 10_000;

/// How a submitted job ended.
struct JobResult {
    /// State in which the job ended; else the outcome of a submission that was not accepted,
    /// `no_answer` or `not_ended`.
    outcome: String,
    /// Time from the scheduled submission to its answer, in microseconds.
    accept_us: u64,
    /// Time from the scheduled submission until the job was seen to have ended, in microseconds.
    end_us: Option<u64>,
}

/// Submits the jobs of a load, waits until each has ended or `patience_ms` is over, and reports
/// outcomes and times. `name` is the prefix of the job ids, which have to be unique in the cell.
pub async fn run(config: &JobLoadConfig, name: &str) -> Run {
    let (for_ms, per_s) = (config.duration_ms, config.per_s);
    let plan = Plan {
        seed: config.seed,
        phases: vec![Phase { for_ms, from_per_s: per_s, to_per_s: per_s }],
        ..RequestLoadConfig::default().plan
    };
    let pool = Pool::new(HttpConfig::default());
    let config = Arc::new(config.clone());
    let started_us = clock::now_us();
    let mut jobs = Vec::new();
    for arrival in plan.arrivals() {
        let at_us = started_us + arrival.at_us;
        let wait_us = at_us.saturating_sub(clock::now_us());
        task::sleep(Duration::from_micros(wait_us)).await;
        let (pool, config) = (pool.clone(), Arc::clone(&config));
        let id = format!("{name}-{}", arrival.number);
        jobs.push(task::spawn(async move { submit_and_poll(&pool, &config, id, at_us).await }));
    }
    let mut results = Vec::new();
    for job in jobs {
        results.push(job.await);
    }
    summarize(name, &results)
}

/// Submits one job and polls it until it ends. `at_us` is its scheduled submission.
async fn submit_and_poll(pool: &Pool, config: &JobLoadConfig, id: String, at_us: u64) -> JobResult {
    let target = &config.targets[id.len() % config.targets.len()];
    let answer = submit(pool, config, target, &id).await;
    let accept_us = clock::now_us().saturating_sub(at_us);
    let Some(answer) = answer else {
        return JobResult { outcome: "no_answer".to_owned(), accept_us, end_us: None };
    };
    if answer.outcome != SubmitOutcome::Accepted {
        return JobResult { outcome: answer.outcome.as_str().to_owned(), accept_us, end_us: None };
    }
    let deadline_us = at_us + config.patience_ms * 1_000;
    while clock::now_us() < deadline_us {
        task::sleep(Duration::from_millis(config.poll_ms)).await;
        let view: Option<JobView> = get_job(pool, target, &answer.id).await;
        if let Some(view) = view.filter(|view| view.ended_at_ms > 0) {
            let state = serde_json::to_value(&view.state).unwrap_or_default();
            let outcome = state.as_str().unwrap_or("rejected").to_owned();
            let end_us = Some(clock::now_us().saturating_sub(at_us));
            return JobResult { outcome, accept_us, end_us };
        }
    }
    JobResult { outcome: "not_ended".to_owned(), accept_us, end_us: None }
}

async fn submit(
    pool: &Pool,
    config: &JobLoadConfig,
    target: &str,
    id: &str,
) -> Option<SubmitAnswer> {
    let spec = JobSpec {
        kind: JobKind::Batch,
        tasks: config.tasks,
        team: config.team.clone(),
        cpu_millis: config.cpu_millis,
        memory_bytes: config.memory_bytes,
        ..JobSpec::default()
    };
    let mut submission = Submission::new(id, spec, &[]);
    submission.command = config.command.clone();
    let mut request = client::request(Method::Post, target, api::JOBS_PATH).ok()?;
    request.set_body(serde_json::to_vec(&submission).ok()?);
    request.insert_header("Content-Type", "application/json");
    let reply = pool.send(target, request, CALL_TIMEOUT_MS).await.ok()?;
    serde_json::from_slice(&reply.body).ok()
}

async fn get_job(pool: &Pool, target: &str, id: &str) -> Option<JobView> {
    let path = format!("{}/{id}", api::JOBS_PATH);
    let request = client::request(Method::Get, target, &path).ok()?;
    let reply = pool.send(target, request, CALL_TIMEOUT_MS).await.ok()?;
    serde_json::from_slice(&reply.body).ok()
}

fn summarize(name: &str, results: &[JobResult]) -> Run {
    let mut figures = BTreeMap::new();
    figures.insert("submitted".to_owned(), results.len() as f64);
    for result in results {
        *figures.entry(format!("outcome_{}", result.outcome)).or_default() += 1.0;
    }
    add_quantiles(&mut figures, "accept", results.iter().map(|result| result.accept_us));
    add_quantiles(&mut figures, "end", results.iter().filter_map(|result| result.end_us));
    Run { name: name.to_owned(), figures, ..Run::default() }
}

/// Adds median, 99th percentile and maximum of the times to the figures, in milliseconds.
fn add_quantiles(
    figures: &mut BTreeMap<String, f64>,
    name: &str,
    times_us: impl Iterator<Item = u64>,
) {
    let Ok(mut histogram) = Histogram::<u64>::new(3) else { return };
    times_us.for_each(|us| histogram.saturating_record(us));
    for (label, quantile) in [("p50", 0.5), ("p99", 0.99), ("max", 1.0)] {
        let value = histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        figures.insert(format!("{name}_{label}_ms"), value);
    }
}
