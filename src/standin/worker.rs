//! A fake of the platform's worker agent: simulates task attempts under leases, in memory.
//!
//! One stand-in hosts many workers on one address; each call names its worker.
//! The stand-in records what really ran, and tests compare that with what the
//! placers report.

pub mod agent;
pub mod program;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::task;
use futures_lite::future;
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::collections::HashMap;
use crate::configs::http::HttpConfig;
use crate::http::error::ApiError;
use crate::http::{rpc, server};
use crate::place::spec::Resources;
use crate::placer::wire::{self, WorkerCall};
use agent::{Agent, WorkerRecord};

/// Settings of a stand-in that hosts fake workers.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerConfig {
    /// Address to listen on, `IP:port`; port 0 picks a free port.
    pub address: String,
    /// Workers to host; names are unique.
    pub workers: Vec<HostedWorker>,
    /// Time after the start of a task during which its reported usage is zero, in milliseconds.
    pub usage_lag_ms: u64,
    /// Interval at which tasks are checked for their end and lease expiry, in milliseconds.
    pub step_ms: u64,
}

impl Default for WorkerConfig {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:0".to_owned(),
            workers: Vec::new(),
            usage_lag_ms: 1_000,
            step_ms: 10,
        }
    }
}

/// Declaration of one hosted worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostedWorker {
    /// Name of the worker.
    pub name: String,
    /// Processor capacity, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory capacity, in bytes.
    pub memory_bytes: u64,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Initial behaviour.
    pub mode: Mode,
}

impl HostedWorker {
    /// Creates a worker in normal mode with this capacity.
    pub fn new(name: impl Into<String>, capacity: Resources) -> Self {
        let Resources { cpu_millis, memory_bytes, accelerators } = capacity;
        Self { name: name.into(), cpu_millis, memory_bytes, accelerators, mode: Mode::Normal }
    }

    /// Sets the initial behaviour.
    #[must_use]
    pub fn with_mode(mut self, mode: Mode) -> Self {
        self.mode = mode;
        self
    }

    fn capacity(&self) -> Resources {
        Resources::new(self.cpu_millis, self.memory_bytes, self.accelerators)
    }
}

/// How a fake worker behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Acts on calls and answers at once.
    #[default]
    Normal,
    /// Accepts connections but neither acts nor answers; running tasks continue.
    Silent,
    /// Acts on calls, but never answers.
    AnswersLost,
    /// Acts and answers after a delay.
    Slow {
        /// Delay, in milliseconds.
        delay_ms: u64,
    },
    /// Refuses every start with `failed`.
    FailsEverything,
    /// Accepts starts; every task then fails at once.
    FailsTasks,
    /// Has lost all tasks and their saved progress; answers no call.
    Dead,
    /// Answers with reports that are out of date.
    LateReports {
        /// Age of the reports, in milliseconds.
        lag_ms: u64,
    },
    /// Tasks use ten times the processor and memory that they reserved.
    UsageTenfold,
}

/// A running stand-in with its workers.
#[derive(Clone, Debug)]
pub struct WorkerStandin {
    shared: Arc<Shared>,
    server: server::Server,
}

#[derive(Debug)]
struct Shared {
    agents: Mutex<HashMap<String, Agent>>,
    calls: AtomicU64,
    call_bytes: AtomicU64,
    report_bytes: AtomicU64,
    is_stopped: AtomicBool,
}

impl WorkerStandin {
    /// Starts the workers listed in `config`.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(config: WorkerConfig) -> std::io::Result<Self> {
        let agents = config.workers.iter().map(|worker| {
            let agent = Agent::new(worker.capacity(), worker.mode, config.usage_lag_ms);
            (worker.name.clone(), agent)
        });
        let shared = Arc::new(Shared {
            agents: Mutex::new(agents.collect()),
            calls: AtomicU64::new(0),
            call_bytes: AtomicU64::new(0),
            report_bytes: AtomicU64::new(0),
            is_stopped: AtomicBool::new(false),
        });
        let mut app = tide::with_state(Arc::clone(&shared));
        app.at(wire::PATH).post(handle_call);
        let http = HttpConfig { max_body_bytes: 16 * 1024 * 1024, ..HttpConfig::default() };
        let server = server::Server::start(&config.address, app, http).await?;
        task::spawn(run_expiry_loop(Arc::clone(&shared), config.step_ms));
        Ok(Self { shared, server })
    }

    /// Address on which all workers listen, `IP:port`.
    pub fn address(&self) -> String {
        self.server.address().to_string()
    }

    /// Returns the record of each worker, in the order of their names.
    pub fn records(&self) -> Vec<(String, WorkerRecord)> {
        let agents = self.lock();
        let mut records: Vec<(String, WorkerRecord)> =
            agents.iter().map(|(name, agent)| (name.clone(), agent.record().clone())).collect();
        records.sort_by(|left, right| left.0.cmp(&right.0));
        records
    }

    /// Number of attempts that run now on all workers.
    pub fn running(&self) -> usize {
        self.lock().values().map(Agent::running).sum()
    }

    /// Changes the behaviour of the worker with this name, if there is one.
    ///
    /// A worker that becomes [`Mode::Dead`] loses the tasks that it runs.
    pub fn set_mode(&self, worker: &str, mode: Mode) {
        if let Some(agent) = self.lock().get_mut(worker) {
            agent.set_mode(mode, clock::now_ms());
        }
    }

    /// Number of calls received, total bytes of their bodies and total bytes of the answers.
    pub fn traffic(&self) -> (u64, u64, u64) {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let shared = &self.shared;
        (read(&shared.calls), read(&shared.call_bytes), read(&shared.report_bytes))
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Agent>> {
        self.shared.agents.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Shared {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Release);
    }
}

/// Periodically ends tasks that have finished or whose lease has expired.
async fn run_expiry_loop(shared: Arc<Shared>, step_ms: u64) {
    while !shared.is_stopped.load(Ordering::Acquire) {
        advance(&shared);
        task::sleep(Duration::from_millis(step_ms)).await;
    }
}

fn advance(shared: &Shared) {
    let mut agents = shared.agents.lock().unwrap_or_else(PoisonError::into_inner);
    let now_ms = clock::now_ms();
    agents.values_mut().for_each(|agent| agent.advance(now_ms));
}

async fn handle_call(mut request: tide::Request<Arc<Shared>>) -> tide::Result {
    let body = request.body_bytes().await?;
    let shared = Arc::clone(request.state());
    shared.calls.fetch_add(1, Ordering::Relaxed);
    shared.call_bytes.fetch_add(body.len() as u64, Ordering::Relaxed);
    let call: WorkerCall = match rpc::decode(&body) {
        Ok(call) => call,
        Err(error) => return Ok(ApiError::new(400, "bad_call", error.to_string()).to_response()),
    };
    let Some(mode) = mode_of(&shared, &call.worker) else {
        return Ok(ApiError::new(404, "no_such_worker", call.worker).to_response());
    };
    match mode {
        Mode::Silent | Mode::Dead => return future::pending().await,
        Mode::Slow { delay_ms } => task::sleep(Duration::from_millis(delay_ms)).await,
        _ => {}
    }
    let report = {
        let mut agents = shared.agents.lock().unwrap_or_else(PoisonError::into_inner);
        agents.get_mut(&call.worker).map(|agent| agent.handle_call(&call, clock::now_ms()))
    };
    if mode == Mode::AnswersLost {
        return future::pending().await;
    }
    let response = rpc::response(&report.unwrap_or_default());
    shared.report_bytes.fetch_add(response.len().unwrap_or(0) as u64, Ordering::Relaxed);
    Ok(response)
}

fn mode_of(shared: &Shared, worker: &str) -> Option<Mode> {
    let agents = shared.agents.lock().unwrap_or_else(PoisonError::into_inner);
    agents.get(worker).map(Agent::mode)
}
