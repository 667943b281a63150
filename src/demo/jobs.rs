//! Submits the jobs of a demo and waits for those that end.

use std::time::Duration;

use async_std::task;
use eyre::WrapErr as _;
use http_types::Method;

use crate::clock;
use crate::configs::demo::DemoJobConfig;
use crate::configs::http::HttpConfig;
use crate::demo::oracle::GangTruth;
use crate::demo::report::{JobReport, PlacementReport};
use crate::http::client::{self, Pool};
use crate::jobs::api::{JobView, Submission, SubmitAnswer, SubmitOutcome, JOBS_PATH};
use crate::load::report::Quantiles;
use crate::place::message::JobState;
use crate::place::spec::{JobKind, JobSpec, Resources};
use crate::standin::worker::agent::{Run, RunEnd, Truth};

/// Longest wait for an answer of the job door, in milliseconds.
const TIMEOUT_MS: u64 = 6_000;

/// Time between looks at a job, in milliseconds.
const LOOK_EVERY_MS: u64 = 100;

/// A job that was submitted.
#[derive(Clone, Debug)]
pub struct Submitted {
    config: DemoJobConfig,
    /// When it was submitted, on the monotonic clock in milliseconds.
    pub submitted_at_ms: u64,
    /// State that the placer last gave.
    pub state: String,
}

impl Submitted {
    /// Id of the job; a demo uses the name.
    pub fn id(&self) -> &str {
        &self.config.name
    }

    /// The gang, if the job is one.
    pub fn gang(&self) -> Option<GangTruth> {
        let is_gang = self.config.kind == "gang";
        is_gang.then(|| GangTruth { job_id: self.id().to_owned(), tasks: self.config.tasks })
    }
}

/// Talks to the job door of one placer daemon.
#[derive(Clone, Debug)]
pub struct JobClient {
    pool: Pool,
    address: String,
}

impl JobClient {
    /// A client of the door at `address`.
    pub fn new(address: impl Into<String>) -> Self {
        Self { pool: Pool::new(HttpConfig::default()), address: address.into() }
    }

    /// Submits a job, again and again while it is not accepted, at most for `limit_ms`.
    ///
    /// # Errors
    /// The door is away, or the job is not accepted in time.
    pub async fn submit_within(
        &self,
        config: &DemoJobConfig,
        limit_ms: u64,
    ) -> eyre::Result<Submitted> {
        let ends_at_ms = clock::now_ms() + limit_ms;
        loop {
            let submitted = self.submit(config).await;
            if submitted.is_ok() || clock::now_ms() >= ends_at_ms {
                return submitted;
            }
            task::sleep(Duration::from_millis(LOOK_EVERY_MS)).await;
        }
    }

    /// Submits a job once.
    ///
    /// # Errors
    /// The door is away, or the job is not accepted.
    pub async fn submit(&self, config: &DemoJobConfig) -> eyre::Result<Submitted> {
        let submitted_at_ms = clock::now_ms();
        let body = serde_json::to_vec(&submission(config))?;
        let mut request = client::request(Method::Post, &self.address, JOBS_PATH)?;
        request.set_body(body);
        request.insert_header("Content-Type", "application/json");
        let reply = self.pool.send(&self.address, request, TIMEOUT_MS).await?;
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        let answer: SubmitAnswer = serde_json::from_str(&text).wrap_err(text)?;
        let is_accepted = answer.outcome == SubmitOutcome::Accepted;
        eyre::ensure!(is_accepted, "{} was not accepted: {:?}", config.name, answer.reason);
        Ok(Submitted { config: config.clone(), submitted_at_ms, state: "accepted".to_owned() })
    }

    /// Waits until `jobs` that can end have ended, at most `limit_ms`.
    pub async fn wait(&self, jobs: &mut [Submitted], limit_ms: u64) {
        let ends_at_ms = clock::now_ms() + limit_ms;
        loop {
            let mut is_over = true;
            for job in jobs.iter_mut() {
                let state = self.state(job.id()).await;
                is_over &= has_settled(&job.config, state.as_ref());
                job.state = state.map_or_else(|| "unknown".to_owned(), |state| name(&state));
            }
            if is_over || clock::now_ms() >= ends_at_ms {
                return;
            }
            task::sleep(Duration::from_millis(LOOK_EVERY_MS)).await;
        }
    }

    async fn state(&self, id: &str) -> Option<JobState> {
        let path = format!("{JOBS_PATH}/{id}");
        let request = client::request(Method::Get, &self.address, &path).ok()?;
        let reply = self.pool.send(&self.address, request, TIMEOUT_MS).await.ok()?;
        serde_json::from_slice::<JobView>(&reply.body).ok().map(|view| view.state)
    }
}

/// Whether nothing more is to be waited for.
fn has_settled(config: &DemoJobConfig, state: Option<&JobState>) -> bool {
    match state {
        Some(JobState::Running) => config.kind == "service",
        Some(JobState::Waiting) | None => false,
        Some(_) => true,
    }
}

fn name(state: &JobState) -> String {
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

/// What became of the jobs, by the workers' records.
pub fn reports(jobs: &[Submitted], workers: &[(String, Truth)]) -> Vec<JobReport> {
    let report = |job: &Submitted| {
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

/// How tasks were placed, by the workers' records.
pub fn placement(jobs: &[Submitted], workers: &[(String, Truth)]) -> PlacementReport {
    const US_PER_MS: u64 = 1_000;
    let waits_us = jobs.iter().flat_map(|job| {
        runs_of(job, workers)
            .map(|run| run.started_at_ms.saturating_sub(job.submitted_at_ms) * US_PER_MS)
    });
    let starts = workers.iter().map(|(_, truth)| truth.runs.len() as u64).sum();
    let used: Vec<&Truth> =
        workers.iter().map(|(_, truth)| truth).filter(|truth| !truth.runs.is_empty()).collect();
    let mean = |share: &dyn Fn(&Truth) -> f64| {
        let sum: f64 = used.iter().map(|truth| share(truth)).sum();
        if used.is_empty() {
            0.0
        } else {
            sum / used.len() as f64
        }
    };
    PlacementReport {
        starts,
        wait: Quantiles::new(waits_us),
        packed_cpu: mean(&|truth| {
            truth.max_reserved.cpu_millis as f64 / truth.means.cpu_millis as f64
        }),
        packed_memory: mean(&|truth| {
            truth.max_reserved.memory_bytes as f64 / truth.means.memory_bytes as f64
        }),
    }
}

fn runs_of<'a>(
    job: &'a Submitted,
    workers: &'a [(String, Truth)],
) -> impl Iterator<Item = &'a Run> + 'a {
    let runs = workers.iter().flat_map(|(_, truth)| &truth.runs);
    runs.filter(|run| *run.task.job_id == *job.id())
}
