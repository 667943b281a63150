//! Storm: injects every kind of fault into a cell under load, then checks that no promise was
//! broken and that the cell settles.

use std::fmt::Write as _;
use std::time::Duration;

use async_std::task;
use http_types::Method;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::configs::demo::{DemoConfig, DemoJobConfig};
use crate::configs::http::HttpConfig;
use crate::declarations::feed;
use crate::demo::cell::Cell;
use crate::demo::host::Host;
use crate::demo::jobs::JobClient;
use crate::demo::report::DemoReport;
use crate::demo::{checked_report, load_plan, report_progress, settle, submit_all};
use crate::http::client::{self, Pool};
use crate::jobs::api::JOBS_PATH;
use crate::load::driver;
use crate::load::plan::{Phase, Plan};
use crate::standin::proxy::{Fault, FaultKind};
use crate::standin::store::faults::Faults;
use crate::standin::worker::Mode;

/// Longest time that the cell may take to settle after the storm, in milliseconds.
pub const SETTLE_TIMEOUT_MS: u64 = 19_000;

/// Longest wait for jobs to end after the cell has settled, in milliseconds.
const JOBS_TIMEOUT_MS: u64 = 30_000;

/// Longest time for which the submission of the large job is retried, in milliseconds.
const SUBMIT_TIMEOUT_MS: u64 = 3_000;

/// Number of tasks of the large job that is submitted and cancelled during the storm.
const LARGE_JOB_TASKS: u32 = 2_000;

/// A fault or repair on the timeline of a storm.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TimelineEvent {
    /// Time since the start of the load, in milliseconds.
    pub at_ms: u64,
    /// Description for people.
    pub what: String,
}

/// Results of a storm.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct StormReport {
    /// Requests, jobs and broken promises, as in a demo.
    pub cell: DemoReport,
    /// Wall time at which the load began, in milliseconds since the Unix epoch.
    pub began_at_ms: u64,
    /// Faults and repairs in the order in which they happened.
    pub timeline: Vec<TimelineEvent>,
    /// Time that the cell took to settle after the end of the load, in milliseconds; `None` if it
    /// did not settle in time.
    pub settled_ms: Option<u64>,
    /// What was still unsettled at the time limit; empty if the cell settled.
    pub unsettled: Vec<String>,
}

impl StormReport {
    /// Whether no promise was broken and the cell settled in time.
    pub fn is_kept(&self) -> bool {
        self.cell.is_kept() && self.settled_ms.is_some()
    }

    /// Formats the report as text; with the timeline if a promise was broken or the cell did not
    /// settle.
    pub fn text(&self) -> String {
        let mut text = self.cell.to_string();
        match self.settled_ms {
            Some(settled_ms) => {
                let _ = write!(text, "\nsettled {settled_ms} ms after the last fault");
            }
            None => {
                let _ = write!(text, "\nnot settled: {}", self.unsettled.join("; "));
            }
        }
        if !self.is_kept() {
            let (seed, began_at_ms) = (self.cell.seed, self.began_at_ms);
            let _ = write!(text, "\n\ntimeline of seed {seed} from {began_at_ms}:");
            for TimelineEvent { at_ms, what } in &self.timeline {
                let _ = write!(text, "\n{at_ms:>8} ms  {what}");
            }
        }
        text
    }
}

/// Starts the cell that `config` describes, runs a storm of `duration_ms` on it and reports the
/// results.
///
/// # Errors
/// The cell does not start, or a job is not accepted.
pub async fn run(config: &DemoConfig, duration_ms: u64) -> eyre::Result<StormReport> {
    let started_at_ms = clock::now_ms();
    report_progress("starting the cell");
    let cell = Cell::start(config).await?;
    let mut submitted = submit_all(&cell, config).await?;
    let plan = storm_plan(config, duration_ms);
    let load = {
        let (plan, targets) = (plan.clone(), cell.caller_addresses());
        task::spawn(async move { driver::run(&plan, &targets).await })
    };
    let began_at_ms = clock::unix_ms();
    let mut storm = Storm::new(cell, config.seed, duration_ms);
    storm.inject_faults().await;
    let results = load.await;
    report_progress("settling");
    let last_fault_ms = clock::now_ms();
    let unsettled = settle::wait(&storm.cell, &config.runners.service, SETTLE_TIMEOUT_MS).await;
    let settled_ms = unsettled.is_empty().then(|| clock::now_ms() - last_fault_ms);
    JobClient::new(storm.cell.job_address()).wait(&mut submitted, JOBS_TIMEOUT_MS).await;
    report_progress("shutting down");
    storm.cell.drain().await;

    let report = checked_report(config, &storm.cell, &plan, &results, &submitted);
    let cell = DemoReport { duration_ms: clock::now_ms() - started_at_ms, ..report };
    Ok(StormReport { cell, began_at_ms, timeline: storm.timeline, settled_ms, unsettled })
}

/// Load plan of a storm: a tenth of the time each for the calm rate, the rise and the fall, the
/// rest at the crest.
fn storm_plan(config: &DemoConfig, duration_ms: u64) -> Plan {
    const CALM_SHARE: u64 = 10;
    let (calm, crest) = (config.load.calm_per_s, config.load.crest_per_s);
    let calm_ms = duration_ms / CALM_SHARE;
    let phase = |for_ms, from_per_s, to_per_s| Phase { for_ms, from_per_s, to_per_s };
    let phases = vec![
        phase(calm_ms, calm, calm),
        phase(calm_ms, calm, crest),
        phase(duration_ms - 3 * calm_ms, crest, crest),
        phase(calm_ms, crest, calm),
    ];
    Plan { phases, ..load_plan(config) }
}

/// A running storm.
struct Storm {
    cell: Cell,
    /// Chooses the hosts, zones and workers that fail; seeded by the settings.
    random: StdRng,
    /// Start of the load on the monotonic clock, in milliseconds.
    started_at_ms: u64,
    duration_ms: u64,
    timeline: Vec<TimelineEvent>,
}

impl Storm {
    fn new(cell: Cell, seed: u64, duration_ms: u64) -> Self {
        let random = StdRng::seed_from_u64(seed);
        Self { cell, random, started_at_ms: clock::now_ms(), duration_ms, timeline: Vec::new() }
    }

    /// Injects and removes the faults one after the other, at fixed shares of the storm's duration.
    async fn inject_faults(&mut self) {
        self.wait_until(0.08).await;
        self.degrade_store().await;
        self.wait_until(0.16).await;
        self.publish_concurrently().await;
        self.wait_until(0.22).await;
        let isolated = self.isolate_host();
        self.silence_runner_connections();
        self.wait_until(0.30).await;
        self.make_worker_fail();
        self.replace_isolated_host(isolated).await;
        self.wait_until(0.38).await;
        let zone = self.disconnect_zone_from_store();
        self.wait_until(0.50).await;
        self.reconnect_zone(&zone);
        self.stop_store().await;
        self.wait_until(0.58).await;
        self.restore_store().await;
        self.submit_and_cancel_large_job().await;
        let unresponsive = self.make_host_unresponsive();
        self.wait_until(0.72).await;
        self.reconnect_host(unresponsive);
        self.replace_all_hosts().await;
        self.wait_until(1.0).await;
    }

    /// Waits until this share of the storm's duration has passed, 0 to 1.
    async fn wait_until(&self, share: f64) {
        let at_ms = self.started_at_ms + (self.duration_ms as f64 * share) as u64;
        let wait_ms = at_ms.saturating_sub(clock::now_ms());
        task::sleep(Duration::from_millis(wait_ms)).await;
    }

    /// Adds an event to the timeline and prints it as progress.
    fn add_event(&mut self, what: impl Into<String>) {
        let what = what.into();
        report_progress(&what);
        self.timeline.push(TimelineEvent { at_ms: clock::now_ms() - self.started_at_ms, what });
    }

    fn pick_host(&mut self) -> usize {
        self.random.random_range(0..self.cell.host_slots.len())
    }

    async fn degrade_store(&mut self) {
        let faults = Faults {
            seed: self.random.random_range(0..u64::MAX),
            delay_ms: 100,
            lose_answers: 0.2,
            ..Faults::default()
        };
        self.cell.store.set_faults(faults);
        self.add_event("the store is slow and loses a fifth of its answers");
    }

    /// Removes the store's faults, then publishes the same change from two clients at once.
    ///
    /// The timeline records how many of the two were accepted.
    async fn publish_concurrently(&mut self) {
        self.cell.store.set_faults(Faults::default());
        self.add_event("the store is whole again; two operators race");
        let mut declarations = self.cell.declarations();
        if let Some(team) = declarations.teams.first_mut() {
            team.cpu_millis += 1_000;
        }
        let operators = [declarations.clone(), declarations].map(|declarations| {
            let store = self.cell.store_client();
            task::spawn(async move { feed::publish(&store, &declarations).await.is_ok() })
        });
        let mut winners = 0;
        for operator in operators {
            winners += u32::from(operator.await);
        }
        self.add_event(format!("{winners} of 2 operators won"));
    }

    fn isolate_host(&mut self) -> usize {
        let number = self.pick_host();
        let slot = &self.cell.host_slots[number];
        slot.host.isolate();
        slot.caller_proxy.set_fault(Fault::new(FaultKind::Cut));
        self.add_event(format!("host {number} is cut off for good"));
        number
    }

    async fn replace_isolated_host(&mut self, number: usize) {
        let replaced = self.cell.replace_without_drain(number).await;
        self.cell.host_slots[number].caller_proxy.set_fault(Fault::default());
        self.add_event(format!("host {number} is replaced: {}", describe_result(&replaced)));
    }

    fn silence_runner_connections(&mut self) {
        const SHARE: f64 = 0.33;
        let seed = self.random.random_range(0..u64::MAX);
        for proxy in &self.cell.runner_proxies {
            proxy.set_fault(Fault::new(FaultKind::Silent).with_fraction(SHARE, seed));
            proxy.set_fault(Fault::default());
        }
        self.add_event("a third of the connections to runners go silent for good");
    }

    fn make_worker_fail(&mut self) {
        let workers = self.cell.declarations().workers;
        let number = self.random.random_range(0..workers.len());
        self.cell.workers.set_mode(&workers[number].name, Mode::FailsTasks);
        self.add_event(format!("{} fails everything that it starts", workers[number].name));
    }

    fn disconnect_zone_from_store(&mut self) -> String {
        let zones = self.cell.declarations().zones;
        let zone = zones[self.random.random_range(0..zones.len())].name.clone();
        self.hosts_of(&zone).iter().for_each(Host::disconnect_store);
        self.add_event(format!("zone {zone} is cut off from the store"));
        zone
    }

    fn reconnect_zone(&mut self, zone: &str) {
        self.hosts_of(zone).iter().for_each(Host::clear_faults);
        self.add_event(format!("zone {zone} is connected again"));
    }

    fn hosts_of(&self, zone: &str) -> Vec<Host> {
        let hosts = self.cell.host_slots.iter().map(|slot| slot.host.clone());
        hosts.filter(|host| host.zone == zone).collect()
    }

    async fn stop_store(&mut self) {
        self.cell.store.set_faults(Faults { down: true, ..Faults::default() });
        self.add_event("the store is down");
    }

    async fn restore_store(&mut self) {
        self.cell.store.set_faults(Faults::default());
        self.add_event("the store is up");
    }

    /// Submits a job of many tasks and cancels it as a whole.
    async fn submit_and_cancel_large_job(&mut self) {
        let job = DemoJobConfig {
            name: "wave".to_owned(),
            team: self
                .cell
                .declarations()
                .teams
                .first()
                .map_or_else(String::new, |team| team.name.clone()),
            tasks: LARGE_JOB_TASKS,
            run_ms: 60_000,
            ..DemoJobConfig::default()
        };
        let address = self.cell.job_address();
        let client = JobClient::new(address.as_str());
        let accepted = client.submit_within(&job, SUBMIT_TIMEOUT_MS).await;
        let path = format!("{JOBS_PATH}/{}", job.name);
        let is_cancelled = delete(&address, &path).await;
        self.add_event(format!(
            "a wave of {LARGE_JOB_TASKS} tasks: accepted: {}, cancelled: {is_cancelled}",
            describe_result(&accepted)
        ));
    }

    fn make_host_unresponsive(&mut self) -> usize {
        let number = self.pick_host();
        let slot = &self.cell.host_slots[number];
        slot.host.drop_traffic();
        slot.caller_proxy.set_fault(Fault::new(FaultKind::Drop));
        self.add_event(format!("host {number} hears and says nothing"));
        number
    }

    fn reconnect_host(&mut self, number: usize) {
        let slot = &self.cell.host_slots[number];
        slot.host.clear_faults();
        slot.caller_proxy.set_fault(Fault::default());
        self.add_event(format!("host {number} is connected again"));
    }

    async fn replace_all_hosts(&mut self) {
        for number in 0..self.cell.host_slots.len() {
            let replaced = self.cell.replace(number).await;
            self.add_event(format!(
                "host {number} is replaced in turn: {}",
                describe_result(&replaced)
            ));
        }
    }
}

/// Describes the result of a step for the timeline: `done` or the error.
fn describe_result<T>(result: &eyre::Result<T>) -> String {
    match result {
        Ok(_) => "done".to_owned(),
        Err(error) => format!("{error:#}"),
    }
}

/// Sends a DELETE request; true if it was answered with a status below 300.
async fn delete(address: &str, path: &str) -> bool {
    const TIMEOUT_MS: u64 = 6_000;
    const FIRST_ERROR_STATUS: u16 = 300;
    let Ok(request) = client::request(Method::Delete, address, path) else { return false };
    let pool = Pool::new(HttpConfig::default());
    let reply = pool.send(address, request, TIMEOUT_MS).await;
    reply.is_ok_and(|reply| reply.status < FIRST_ERROR_STATUS)
}
