//! Submits the jobs of a demo, waits for those that end and reports on them.

use std::time::Duration;

use async_std::task;
use eyre::WrapErr as _;
use http_types::Method;

use crate::clock;
use crate::configs::demo::DemoJobConfig;
use crate::configs::http::HttpConfig;
use crate::demo::oracle::ExpectedGang;
use crate::demo::report::{JobReport, PlacementReport};
use crate::http::client::{self, Pool};
use crate::jobs::api::{JobView, Submission, SubmitAnswer, SubmitOutcome, JOBS_PATH};
use crate::load::report::Quantiles;
use crate::place::message::JobState;
use crate::place::spec::{JobKind, JobSpec, Resources};
use crate::standin::worker::agent::{Run, RunEnd, WorkerRecord};

/// Timeout of a call to the job API, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 6_000;

/// Interval between polls of the state of jobs, and between retries of a submission, in
/// milliseconds.
const POLL_INTERVAL_MS: u64 = 100;

/// A job that a placer daemon has accepted.
#[derive(Clone, Debug)]
pub struct SubmittedJob {
    config: DemoJobConfig,
    /// Time of the submission on the monotonic clock, in milliseconds.
    pub submitted_at_ms: u64,
    /// State that the placer last reported, in lower case; `unknown` if the last call failed.
    pub state: String,
}

impl SubmittedJob {
    /// Id of the job, which in a demo is its name.
    pub fn id(&self) -> &str {
        &self.config.name
    }

    /// Id and size of the job if it is a gang, for the check that it starts as a whole.
    pub fn expected_gang(&self) -> Option<ExpectedGang> {
        let is_gang = self.config.kind == "gang";
        is_gang.then(|| ExpectedGang { job_id: self.id().to_owned(), tasks: self.config.tasks })
    }
}

/// Client of the job API of one placer daemon.
#[derive(Clone, Debug)]
pub struct JobClient {
    pool: Pool,
    address: String,
}

impl JobClient {
    /// Creates a client of the job API at `address`.
    pub fn new(address: impl Into<String>) -> Self {
        Self { pool: Pool::new(HttpConfig::default()), address: address.into() }
    }

    /// Submits a job, retrying for at most `limit_ms` until it is accepted.
    ///
    /// # Errors
    /// The job API cannot be reached, or the job is not accepted in time.
    pub async fn submit_within(
        &self,
        config: &DemoJobConfig,
        limit_ms: u64,
    ) -> eyre::Result<SubmittedJob> {
        let ends_at_ms = clock::now_ms() + limit_ms;
        loop {
            let submitted = self.submit(config).await;
            if submitted.is_ok() || clock::now_ms() >= ends_at_ms {
                return submitted;
            }
            task::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    /// Submits a job once.
    ///
    /// # Errors
    /// The job API cannot be reached, or the job is not accepted.
    pub async fn submit(&self, config: &DemoJobConfig) -> eyre::Result<SubmittedJob> {
        let submitted_at_ms = clock::now_ms();
        let body = serde_json::to_vec(&submission(config))?;
        let mut request = client::request(Method::Post, &self.address, JOBS_PATH)?;
        request.set_body(body);
        request.insert_header("Content-Type", "application/json");
        let reply = self.pool.send(&self.address, request, CALL_TIMEOUT_MS).await?;
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        let answer: SubmitAnswer = serde_json::from_str(&text).wrap_err(text)?;
        let is_accepted = answer.outcome == SubmitOutcome::Accepted;
        eyre::ensure!(is_accepted, "job {} was not accepted: {:?}", config.name, answer.reason);
        Ok(SubmittedJob { config: config.clone(), submitted_at_ms, state: "accepted".to_owned() })
    }

    /// Waits until batch and gang jobs have ended and services run, at most `limit_ms`.
    ///
    /// Updates the state of each job.
    pub async fn wait(&self, jobs: &mut [SubmittedJob], limit_ms: u64) {
        let ends_at_ms = clock::now_ms() + limit_ms;
        loop {
            let mut is_over = true;
            for job in jobs.iter_mut() {
                let state = self.state(job.id()).await;
                is_over &= has_settled(&job.config, state.as_ref());
                job.state = state.map_or_else(|| "unknown".to_owned(), |state| state_name(&state));
            }
            if is_over || clock::now_ms() >= ends_at_ms {
                return;
            }
            task::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    async fn state(&self, id: &str) -> Option<JobState> {
        let path = format!("{JOBS_PATH}/{id}");
        let request = client::request(Method::Get, &self.address, &path).ok()?;
        let reply = self.pool.send(&self.address, request, CALL_TIMEOUT_MS).await.ok()?;
        serde_json::from_slice::<JobView>(&reply.body).ok().map(|view| view.state)
    }
}

/// Whether the job has ended, or runs and is a service.
fn has_settled(config: &DemoJobConfig, state: Option<&JobState>) -> bool {
    match state {
        Some(JobState::Running) => config.kind == "service",
        Some(JobState::Waiting) | None => false,
        Some(_) => true,
    }
}

fn state_name(state: &JobState) -> String {
    format!("{state:?}").to_lowercase()
}

fn submission(config: &DemoJobConfig) -> Submission {
    let kind = match config.kind.as_str() {
        "service" => JobKind::Service,
        "gang" => JobKind::Gang,
        _ => JobKind::Batch,
    };
    let resources = Resources::new(config.cpu_millis, config.memory_bytes, config.accelerators);
    let spec = JobSpec { name: config.name.clone(), ..JobSpec::new(&config.team, config.tasks) };
    let spec = spec.with_kind(kind).with_resources(resources).with_expected_ms(config.run_ms);
    let run_ms = config.run_ms.to_string();
    match kind {
        JobKind::Service => Submission::new(&config.name, spec, &["serve"]),
        _ => Submission::new(&config.name, spec, &["sleep", &run_ms]),
    }
}

/// Reports started and finished tasks of each job, counted from the workers' records.
pub fn reports(jobs: &[SubmittedJob], workers: &[(String, WorkerRecord)]) -> Vec<JobReport> {
    let report = |job: &SubmittedJob| {
        let runs: Vec<&Run> = runs_of(job, workers).collect();
        let count = |wanted: &dyn Fn(&Run) -> bool| {
            let mut tasks: Vec<u32> =
                runs.iter().filter(|run| wanted(run)).map(|run| run.task.index).collect();
            tasks.sort_unstable();
            tasks.dedup();
            u32::try_from(tasks.len()).unwrap_or(u32::MAX)
        };
        JobReport {
            name: job.config.name.clone(),
            kind: job.config.kind.clone(),
            tasks: job.config.tasks,
            started: count(&|_| true),
            finished: count(&|run| matches!(run.ended, Some((_, RunEnd::Own(_))))),
            state: job.state.clone(),
        }
    };
    jobs.iter().map(report).collect()
}

/// Reports waiting times of tasks and use of workers, computed from the workers' records.
pub fn placement(jobs: &[SubmittedJob], workers: &[(String, WorkerRecord)]) -> PlacementReport {
    const US_PER_MS: u64 = 1_000;
    let waits_us = jobs.iter().flat_map(|job| {
        runs_of(job, workers)
            .map(|run| run.started_at_ms.saturating_sub(job.submitted_at_ms) * US_PER_MS)
    });
    let starts = workers.iter().map(|(_, record)| record.runs.len() as u64).sum();
    let used: Vec<&WorkerRecord> =
        workers.iter().map(|(_, record)| record).filter(|record| !record.runs.is_empty()).collect();
    let mean = |share: &dyn Fn(&WorkerRecord) -> f64| {
        let sum: f64 = used.iter().map(|record| share(record)).sum();
        if used.is_empty() {
            0.0
        } else {
            sum / used.len() as f64
        }
    };
    PlacementReport {
        starts,
        wait: Quantiles::new(waits_us),
        packed_cpu: mean(&|record| {
            record.max_reserved.cpu_millis as f64 / record.capacity.cpu_millis as f64
        }),
        packed_memory: mean(&|record| {
            record.max_reserved.memory_bytes as f64 / record.capacity.memory_bytes as f64
        }),
    }
}

fn runs_of<'a>(
    job: &'a SubmittedJob,
    workers: &'a [(String, WorkerRecord)],
) -> impl Iterator<Item = &'a Run> + 'a {
    let runs = workers.iter().flat_map(|(_, record)| &record.runs);
    runs.filter(|run| *run.task.job_id == *job.id())
}
