//! Submits jobs at a rate and follows them to their end.

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

/// Longest wait for one answer, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 10_000;

/// How a job ended, as its submitter saw it.
struct Seen {
    outcome: String,
    accept_us: u64,
    end_us: Option<u64>,
}

/// Runs a load of jobs to its end; `name` makes their ids unique.
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
        jobs.push(task::spawn(async move { follow(&pool, &config, id, at_us).await }));
    }
    let mut all = Vec::new();
    for job in jobs {
        all.push(job.await);
    }
    summary(name, &all)
}

async fn follow(pool: &Pool, config: &JobLoadConfig, id: String, at_us: u64) -> Seen {
    let target = &config.targets[id.len() % config.targets.len()];
    let answer = submit(pool, config, target, &id).await;
    let accept_us = clock::now_us().saturating_sub(at_us);
    let Some(answer) = answer else {
        return Seen { outcome: "no_answer".to_owned(), accept_us, end_us: None };
    };
    if answer.outcome != SubmitOutcome::Accepted {
        return Seen { outcome: answer.outcome.as_str().to_owned(), accept_us, end_us: None };
    }
    let gives_up_us = at_us + config.patience_ms * 1_000;
    while clock::now_us() < gives_up_us {
        task::sleep(Duration::from_millis(config.poll_ms)).await;
        let view: Option<JobView> = get(pool, target, &answer.id).await;
        if let Some(view) = view.filter(|view| view.ended_at_ms > 0) {
            let state = serde_json::to_value(&view.state).unwrap_or_default();
            let outcome = state.as_str().unwrap_or("rejected").to_owned();
            let end_us = Some(clock::now_us().saturating_sub(at_us));
            return Seen { outcome, accept_us, end_us };
        }
    }
    Seen { outcome: "not_ended".to_owned(), accept_us, end_us: None }
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

async fn get(pool: &Pool, target: &str, id: &str) -> Option<JobView> {
    let path = format!("{}/{id}", api::JOBS_PATH);
    let request = client::request(Method::Get, target, &path).ok()?;
    let reply = pool.send(target, request, CALL_TIMEOUT_MS).await.ok()?;
    serde_json::from_slice(&reply.body).ok()
}

fn summary(name: &str, all: &[Seen]) -> Run {
    let mut figures = BTreeMap::new();
    figures.insert("submitted".to_owned(), all.len() as f64);
    for seen in all {
        *figures.entry(format!("outcome_{}", seen.outcome)).or_default() += 1.0;
    }
    add_quantiles(&mut figures, "accept", all.iter().map(|seen| seen.accept_us));
    add_quantiles(&mut figures, "end", all.iter().filter_map(|seen| seen.end_us));
    Run { name: name.to_owned(), figures, ..Run::default() }
}

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
