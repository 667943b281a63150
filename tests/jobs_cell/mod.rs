//! A cell of one zone for job tests: the store and the workers are fakes in the test process, the
//! placers are real processes.
#![allow(dead_code, reason = "each test binary uses its own part")]
#![allow(unreachable_pub, reason = "shared by test binaries")]
#![allow(clippy::unwrap_used, reason = "a test panics on errors")]

use std::time::{Duration, Instant};

use hemlockrock::configs::http::HttpConfig;
use hemlockrock::declarations::feed;
use hemlockrock::declarations::{Declarations, WorkerDeclaration, ZoneDeclaration};
use hemlockrock::http::client::{self, Pool, Reply};
use hemlockrock::jobs::api::{JobView, Submission, SubmitAnswer};
use hemlockrock::place::message::{End, JobState};
use hemlockrock::place::spec::{JobSpec, Resources};
use hemlockrock::standin::store::StoreStandin;
use hemlockrock::standin::worker::agent::{Run, RunEnd};
use hemlockrock::standin::worker::{HostedWorker, Mode, WorkerConfig, WorkerStandin};
use hemlockrock::store::client::HttpStore;
use http_types::Method;

use crate::support::{Process, Scratch};

/// Name of the only zone of the cell.
pub const ZONE: &str = "mid-1";

/// Session lease of a placer with [`Timing::short`].
pub const SESSION_TTL: Duration = Duration::from_millis(1_500);

/// Task lease with [`Timing::short`].
pub const TASK_LEASE: Duration = Duration::from_millis(3_000);

/// Time limit for conditions whose duration is not part of the test.
pub const TIMEOUT: Duration = Duration::from_secs(60);

/// Capacity of each worker.
pub const CAPACITY: Resources = Resources::new(4_000, 8 << 30, 0);

/// Timing settings of the placers, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    pub session_ttl_ms: u64,
    pub session_renew_ms: u64,
    pub worker_timeout_ms: u64,
    pub task_lease_ms: u64,
    pub margin_ms: u64,
    pub renew_every_ms: u64,
    pub silent_after_ms: u64,
    pub holding_window_ms: u64,
}

impl Timing {
    /// Short intervals, for tests.
    pub fn short() -> Self {
        Self {
            session_ttl_ms: SESSION_TTL.as_millis() as u64,
            session_renew_ms: 300,
            worker_timeout_ms: 500,
            task_lease_ms: TASK_LEASE.as_millis() as u64,
            margin_ms: 300,
            renew_every_ms: 400,
            silent_after_ms: 1_500,
            holding_window_ms: 1_500,
        }
    }

    /// Default settings of the daemon, for benchmarks.
    pub fn daemon_defaults() -> Self {
        let config = hemlockrock::configs::placer::PlacerConfig::default();
        Self {
            session_ttl_ms: config.membership.session_ttl_ms,
            session_renew_ms: config.membership.renew_every_ms,
            worker_timeout_ms: config.worker_timeout_ms,
            task_lease_ms: config.place.task_lease_ms,
            margin_ms: config.place.clock_margin_ms,
            renew_every_ms: config.place.renew_every_ms,
            silent_after_ms: config.place.silent_after_ms,
            holding_window_ms: config.place.holding_window_ms,
        }
    }
}

/// A running cell with one zone.
pub struct TestCell {
    timing: Timing,
    pub store: StoreStandin,
    pub workers: WorkerStandin,
    pub placers: Vec<Process>,
    pub pool: Pool,
    scratch: Scratch,
    names: Vec<String>,
}

impl TestCell {
    /// Starts a cell with `workers` workers and no placer.
    pub async fn start(workers: usize) -> Self {
        let store = StoreStandin::start("127.0.0.1:0").await.unwrap();
        let names: Vec<String> = (0..workers).map(|number| format!("w{number:04}")).collect();
        let hosted = names.iter().map(|name| HostedWorker::new(name, CAPACITY)).collect();
        let config = WorkerConfig { workers: hosted, usage_lag_ms: 200, ..WorkerConfig::default() };
        let workers = WorkerStandin::start(config).await.unwrap();
        let pool = Pool::new(HttpConfig::default());
        let scratch = Scratch::new();
        let cell = Self {
            timing: Timing::short(),
            store,
            workers,
            placers: Vec::new(),
            pool,
            scratch,
            names,
        };
        cell.declare(|_| {}).await;
        cell
    }

    /// Sets the timing of placers that are started later.
    pub fn with_timing(mut self, timing: Timing) -> Self {
        self.timing = timing;
        self
    }

    /// Publishes the declarations of the zone and its workers after `change` was applied to them.
    pub async fn declare(&self, change: impl FnOnce(&mut Declarations)) {
        const PER_RACK: usize = 6;
        let workers = self.names.iter().enumerate().map(|(number, name)| WorkerDeclaration {
            name: name.clone(),
            zone: ZONE.to_owned(),
            rack: format!("r{}", number / PER_RACK),
            address: self.workers.address(),
            cpu_millis: CAPACITY.cpu_millis,
            memory_bytes: CAPACITY.memory_bytes,
            ..WorkerDeclaration::default()
        });
        let zone = ZoneDeclaration { name: ZONE.to_owned(), region: "mid".to_owned() };
        let mut declared = Declarations {
            zones: vec![zone],
            workers: workers.collect(),
            ..Declarations::default()
        };
        change(&mut declared);
        let config = hemlockrock::configs::store::StoreConfig {
            address: self.store.address(),
            ..Default::default()
        };
        let store = HttpStore::new(config, self.pool.clone());
        feed::publish(&store, &declared).await.unwrap();
    }

    /// Starts a placer process; returns its index in `placers`.
    pub fn add_placer(&mut self, name: &str) -> usize {
        self.add_placer_behind(name, &self.store.address())
    }

    /// Starts a placer process that reaches the store at another address, such as that of a proxy.
    pub fn add_placer_behind(&mut self, name: &str, store_address: &str) -> usize {
        let timing = self.timing;
        let text = format!(
            "name: {name}\nzone: {ZONE}\nworker_timeout_ms: {}\nsubmit_timeout_ms: 3000\n\
             store: {{address: '{}', timeout_ms: 500, watch_wait_ms: 2000}}\n\
             membership: {{session_ttl_ms: {}, renew_every_ms: {}}}\n\
             place: {{task_lease_ms: {}, clock_margin_ms: {}, renew_every_ms: {}, \
             silent_after_ms: {}, holding_window_ms: {}}}\n\
             drain: {{balancer_delay_ms: 100}}\nlog: {{level: warn}}\n",
            timing.worker_timeout_ms,
            store_address,
            timing.session_ttl_ms,
            timing.session_renew_ms,
            timing.task_lease_ms,
            timing.margin_ms,
            timing.renew_every_ms,
            timing.silent_after_ms,
            timing.holding_window_ms,
        );
        let path = self.scratch.write(&format!("{name}.yaml"), &text);
        let binary = env!("CARGO_BIN_EXE_hemlock-placer");
        let process = Process::start(binary, &["--settings", path.to_str().unwrap()]);
        self.placers.push(process);
        self.placers.len() - 1
    }

    /// Name of the placer that holds the zone lease in the store, with its epoch.
    pub fn holder(&self) -> Option<(String, u64)> {
        use hemlockrock::store::{Answer, Operation};
        let key = hemlockrock::placer::zone_lease::key(ZONE);
        let answer = self.store.state().apply(Operation::Get { key }, hemlockrock::clock::now_ms());
        let Answer::Entry { entry: Some(entry) } = answer else { return None };
        let holder: hemlockrock::placer::zone_lease::Holder =
            serde_json::from_slice(&entry.value).unwrap();
        Some((holder.name, entry.created.0))
    }

    /// Sends a request to a placer and returns the response, if there was one.
    pub async fn call(
        &self,
        placer: usize,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Option<Reply> {
        let address = &self.placers[placer].address;
        let mut request = client::request(method, address, path).unwrap();
        request.set_body(body);
        self.pool.send(address, request, 10_000).await.ok()
    }

    /// Submits a job once; returns the HTTP status, 0 without a response, and the body.
    pub async fn submit(&self, placer: usize, job: &Submission) -> (u16, Option<SubmitAnswer>) {
        let body = serde_json::to_vec(job).unwrap();
        match self.call(placer, Method::Post, "/v1/jobs", body).await {
            Some(reply) => (reply.status, serde_json::from_slice(&reply.body).ok()),
            None => (0, None),
        }
    }

    /// Submits a job until it is accepted.
    pub async fn submit_until_accepted(&self, placer: usize, job: &Submission) -> SubmitAnswer {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            match self.submit(placer, job).await {
                (200, Some(answer)) => return answer,
                last => assert!(Instant::now() < deadline, "not accepted in time: {last:?}"),
            }
            async_std::task::sleep(Duration::from_millis(50)).await;
        }
    }

    /// View of a job from a placer; `None` if the placer does not respond or know it.
    pub async fn job(&self, placer: usize, id: &str) -> Option<JobView> {
        let reply = self.call(placer, Method::Get, &format!("/v1/jobs/{id}"), Vec::new()).await?;
        serde_json::from_slice(&reply.body).ok()
    }

    /// Waits until a placer reports the job in `state`.
    pub async fn wait_for_state(&self, placer: usize, id: &str, state: &JobState) {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let job = self.job(placer, id).await;
            if job.as_ref().is_some_and(|job| job.state == *state) {
                return;
            }
            assert!(Instant::now() < deadline, "{id} is not {state:?} in time: {job:?}");
            async_std::task::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sets the fault mode of a worker.
    pub fn set_mode(&self, worker: usize, mode: Mode) {
        self.workers.set_mode(&self.names[worker], mode);
    }

    /// All attempts that ran, as recorded by the workers.
    pub fn runs(&self) -> Vec<Run> {
        self.workers.records().into_iter().flat_map(|(_, records)| records.runs).collect()
    }

    /// Attempts of a job that ran, as recorded by the workers.
    pub fn runs_of(&self, id: &str) -> Vec<Run> {
        self.runs().into_iter().filter(|run| &*run.task.job_id == id).collect()
    }

    /// Number of attempts of a job that run now.
    pub fn running_of(&self, id: &str) -> usize {
        self.runs_of(id).iter().filter(|run| run.ended.is_none()).count()
    }

    /// Number of attempts that did not end on their own: their lease lapsed, they were stopped, or
    /// their worker died.
    pub fn interrupted_runs(&self) -> usize {
        let is_interrupted = |run: &Run| {
            matches!(run.ended, Some((_, RunEnd::Lapsed | RunEnd::Stopped | RunEnd::Died)))
        };
        self.runs().iter().filter(|run| is_interrupted(run)).count()
    }

    /// Checks the invariants that hold under any fault: no task runs in two places at once, no
    /// worker exceeds its capacity, and no task runs again after a placer acknowledged its end.
    pub fn check_invariants(&self) {
        for (name, records) in self.workers.records() {
            assert!(
                records.max_reserved.fits(records.capacity),
                "{name} held {:?}",
                records.max_reserved
            );
        }
        for (first, second) in &self.consecutive_runs() {
            let ended = first.ended.is_some_and(|(at_ms, _)| at_ms <= second.started_at_ms);
            assert!(ended, "the task ran in two places at once: {first:?} and {second:?}");
            let is_over = has_finished(first) && first.is_acknowledged;
            assert!(
                !is_over,
                "the task ran again after its acknowledged end: {first:?} and {second:?}"
            );
        }
    }

    /// Checks the invariants, and that no task ran again after it finished, which holds as long as
    /// every worker reports its results.
    pub fn check_each_task_finished_once(&self) {
        self.check_invariants();
        for (first, second) in &self.consecutive_runs() {
            assert!(
                !has_finished(first),
                "the task ran again after it finished: {first:?} and {second:?}"
            );
        }
    }

    /// Each run of a task paired with the next run of the same task.
    fn consecutive_runs(&self) -> Vec<(Run, Run)> {
        let mut runs = self.runs();
        runs.sort_by(|left, right| {
            (&left.task, left.started_at_ms).cmp(&(&right.task, right.started_at_ms))
        });
        let pairs = runs.windows(2).filter(|pair| pair[0].task == pair[1].task);
        pairs.map(|pair| (pair[0].clone(), pair[1].clone())).collect()
    }
}

fn has_finished(run: &Run) -> bool {
    matches!(run.ended, Some((_, RunEnd::Own(End::Finished))))
}

/// Submits a job to the placer at `address`; returns the HTTP status, if there was a response.
pub async fn post(pool: &Pool, address: &str, job: &Submission) -> Option<u16> {
    let mut request = client::request(Method::Post, address, "/v1/jobs").unwrap();
    request.set_body(serde_json::to_vec(job).unwrap());
    pool.send(address, request, 10_000).await.ok().map(|reply| reply.status)
}

/// A batch job whose tasks each run for `run_ms`.
pub fn sleep_job(id: &str, tasks: u32, run_ms: u64) -> Submission {
    let spec = JobSpec::new("range", tasks).with_resources(Resources::new(1_000, 1 << 30, 0));
    Submission::new(id, spec, &["sleep", &run_ms.to_string()])
}
