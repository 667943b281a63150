//! A storm: every kind of fault on one cell under load, then the promises and the settling are checked.

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
use crate::demo::{checked_report, load_plan, progress, settle, submit_all};
use crate::http::client::{self, Pool};
use crate::jobs::api::JOBS_PATH;
use crate::load::driver;
use crate::load::plan::{Phase, Plan};
use crate::standin::proxy::{Fault, Kind};
use crate::standin::store::faults::Faults;
use crate::standin::worker::Mode;

/// Time within which the cell has to settle after the last fault, in milliseconds.
pub const SETTLE_LIMIT_MS: u64 = 19_000;

/// Longest wait for jobs that end, after the cell has settled, in milliseconds.
const JOBS_LIMIT_MS: u64 = 30_000;

/// Longest time for which a job is submitted again, in milliseconds.
const ACCEPT_LIMIT_MS: u64 = 3_000;

/// Tasks of the job that is cancelled as a whole.
const WAVE_TASKS: u32 = 2_000;

/// Something that happened in a storm.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Moment {
    /// When, in milliseconds from the start of the load.
    pub at_ms: u64,
    /// What.
    pub what: String,
}

/// What a storm has shown.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct StormReport {
    /// Requests, jobs and promises, as in a demo.
    pub cell: DemoReport,
    /// Wall time at which the load began, in milliseconds since the Unix epoch.
    pub began_at_ms: u64,
    /// What was done when.
    pub timeline: Vec<Moment>,
    /// Time that the cell took to settle after the last fault, in milliseconds; nothing if it did not.
    pub settled_ms: Option<u64>,
    /// What had not settled in time.
    pub unsettled: Vec<String>,
}

impl StormReport {
    /// Whether every promise was kept and the cell settled in time.
    pub fn is_kept(&self) -> bool {
        self.cell.is_kept() && self.settled_ms.is_some()
    }

    /// The report for people; with the timeline if something is wrong.
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
            for Moment { at_ms, what } in &self.timeline {
                let _ = write!(text, "\n{at_ms:>8} ms  {what}");
            }
        }
        text
    }
}

/// Runs a storm of `duration_ms` on the cell that `config` describes.
///
/// # Errors
/// The cell does not come up.
pub async fn run(config: &DemoConfig, duration_ms: u64) -> eyre::Result<StormReport> {
    let started_at_ms = clock::now_ms();
    progress("starting the cell");
    let cell = Cell::start(config).await?;
    let mut submitted = submit_all(&cell, config).await?;
    let plan = storm_plan(config, duration_ms);
    let load = {
        let (plan, targets) = (plan.clone(), cell.caller_addresses());
        task::spawn(async move { driver::run(&plan, &targets).await })
    };
    let began_at_ms = clock::unix_ms();
    let mut storm = Storm::new(cell, config.seed, duration_ms);
    storm.blow().await;
    let told = load.await;
    progress("settling");
    let last_fault_ms = clock::now_ms();
    let unsettled = settle::wait(&storm.cell, &config.runners.service, SETTLE_LIMIT_MS).await;
    let settled_ms = unsettled.is_empty().then(|| clock::now_ms() - last_fault_ms);
    JobClient::new(storm.cell.job_address()).wait(&mut submitted, JOBS_LIMIT_MS).await;
    progress("shutting down");
    storm.cell.drain().await;

    let report = checked_report(config, &storm.cell, &plan, &told, &submitted);
    let cell = DemoReport { duration_ms: clock::now_ms() - started_at_ms, ..report };
    Ok(StormReport { cell, began_at_ms, timeline: storm.timeline, settled_ms, unsettled })
}

/// The load of a storm: at the crest for most of the time.
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

/// A storm in progress.
struct Storm {
    cell: Cell,
    random: StdRng,
    started_at_ms: u64,
    duration_ms: u64,
    timeline: Vec<Moment>,
}

impl Storm {
    fn new(cell: Cell, seed: u64, duration_ms: u64) -> Self {
        let random = StdRng::seed_from_u64(seed);
        Self { cell, random, started_at_ms: clock::now_ms(), duration_ms, timeline: Vec::new() }
    }

    /// Causes one fault after the other; each part of the time has its own.
    async fn blow(&mut self) {
        self.until(0.08).await;
        self.slow_store().await;
        self.until(0.16).await;
        self.race_operators().await;
        self.until(0.22).await;
        let lost = self.cut_host_off();
        self.silence_runner_links();
        self.until(0.30).await;
        self.fail_a_worker();
        self.replace_lost(lost).await;
        self.until(0.38).await;
        let zone = self.cut_zone();
        self.until(0.50).await;
        self.heal_zone(&zone);
        self.store_down().await;
        self.until(0.58).await;
        self.store_up().await;
        self.cancel_wave().await;
        let silenced = self.silence_host();
        self.until(0.72).await;
        self.heal_host(silenced);
        self.replace_all().await;
        self.until(1.0).await;
    }

    /// Waits until a share of the storm has passed.
    async fn until(&self, share: f64) {
        let at_ms = self.started_at_ms + (self.duration_ms as f64 * share) as u64;
        let wait_ms = at_ms.saturating_sub(clock::now_ms());
        task::sleep(Duration::from_millis(wait_ms)).await;
    }

    fn note(&mut self, what: impl Into<String>) {
        let what = what.into();
        progress(&what);
        self.timeline.push(Moment { at_ms: clock::now_ms() - self.started_at_ms, what });
    }

    fn any_host(&mut self) -> usize {
        self.random.random_range(0..self.cell.slots.len())
    }

    async fn slow_store(&mut self) {
        let faults = Faults {
            seed: self.random.random_range(0..u64::MAX),
            delay_ms: 100,
            lose_answers: 0.2,
            ..Faults::default()
        };
        self.cell.store.set_faults(faults);
        self.note("the store is slow and loses a fifth of its answers");
    }

    /// Ends the store's faults, then lets two operators publish at once.
    async fn race_operators(&mut self) {
        self.cell.store.set_faults(Faults::default());
        self.note("the store is whole again; two operators race");
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
        self.note(format!("{winners} of 2 operators won"));
    }

    fn cut_host_off(&mut self) -> usize {
        let number = self.any_host();
        let slot = &self.cell.slots[number];
        slot.host.cut_off();
        slot.caller_link.set_fault(Fault::new(Kind::Cut));
        self.note(format!("host {number} is cut off for good"));
        number
    }

    async fn replace_lost(&mut self, number: usize) {
        let replaced = self.cell.replace_lost(number).await;
        self.cell.slots[number].caller_link.set_fault(Fault::default());
        self.note(format!("host {number} is replaced: {}", outcome(&replaced)));
    }

    fn silence_runner_links(&mut self) {
        const SHARE: f64 = 0.33;
        let seed = self.random.random_range(0..u64::MAX);
        for link in &self.cell.runner_links {
            link.set_fault(Fault::new(Kind::Silent).with_fraction(SHARE, seed));
            link.set_fault(Fault::default());
        }
        self.note("a third of the connections to runners go silent for good");
    }

    fn fail_a_worker(&mut self) {
        let workers = self.cell.declarations().workers;
        let number = self.random.random_range(0..workers.len());
        self.cell.workers.set_mode(&workers[number].name, Mode::FailsTasks);
        self.note(format!("{} fails everything that it starts", workers[number].name));
    }

    fn cut_zone(&mut self) -> String {
        let zones = self.cell.declarations().zones;
        let zone = zones[self.random.random_range(0..zones.len())].name.clone();
        self.hosts_of(&zone).iter().for_each(Host::cut_store);
        self.note(format!("zone {zone} is cut off from the store"));
        zone
    }

    fn heal_zone(&mut self, zone: &str) {
        self.hosts_of(zone).iter().for_each(Host::heal);
        self.note(format!("zone {zone} is connected again"));
    }

    fn hosts_of(&self, zone: &str) -> Vec<Host> {
        let hosts = self.cell.slots.iter().map(|slot| slot.host.clone());
        hosts.filter(|host| host.zone == zone).collect()
    }

    async fn store_down(&mut self) {
        self.cell.store.set_faults(Faults { down: true, ..Faults::default() });
        self.note("the store is down");
    }

    async fn store_up(&mut self) {
        self.cell.store.set_faults(Faults::default());
        self.note("the store is up");
    }

    /// Submits a large job and cancels it as a whole.
    async fn cancel_wave(&mut self) {
        let job = DemoJobConfig {
            name: "wave".to_owned(),
            team: self
                .cell
                .declarations()
                .teams
                .first()
                .map_or_else(String::new, |team| team.name.clone()),
            tasks: WAVE_TASKS,
            run_ms: 60_000,
            ..DemoJobConfig::default()
        };
        let address = self.cell.job_address();
        let client = JobClient::new(address.as_str());
        let accepted = client.submit_within(&job, ACCEPT_LIMIT_MS).await;
        let path = format!("{JOBS_PATH}/{}", job.name);
        let is_cancelled = delete(&address, &path).await;
        self.note(format!(
            "a wave of {WAVE_TASKS} tasks: accepted: {}, cancelled: {is_cancelled}",
            outcome(&accepted)
        ));
    }

    fn silence_host(&mut self) -> usize {
        let number = self.any_host();
        let slot = &self.cell.slots[number];
        slot.host.silence();
        slot.caller_link.set_fault(Fault::new(Kind::Drop));
        self.note(format!("host {number} hears and says nothing"));
        number
    }

    fn heal_host(&mut self, number: usize) {
        let slot = &self.cell.slots[number];
        slot.host.heal();
        slot.caller_link.set_fault(Fault::default());
        self.note(format!("host {number} is connected again"));
    }

    async fn replace_all(&mut self) {
        for number in 0..self.cell.slots.len() {
            let replaced = self.cell.replace(number).await;
            self.note(format!("host {number} is replaced in turn: {}", outcome(&replaced)));
        }
    }
}

/// How a step of the storm ended, for the timeline.
fn outcome<T>(result: &eyre::Result<T>) -> String {
    match result {
        Ok(_) => "done".to_owned(),
        Err(error) => format!("{error:#}"),
    }
}

async fn delete(address: &str, path: &str) -> bool {
    const TIMEOUT_MS: u64 = 6_000;
    const ERRORS_FROM: u16 = 300;
    let Ok(request) = client::request(Method::Delete, address, path) else { return false };
    let pool = Pool::new(HttpConfig::default());
    let reply = pool.send(address, request, TIMEOUT_MS).await;
    reply.is_ok_and(|reply| reply.status < ERRORS_FROM)
}
