//! A small cell for tests: the store and endpoints run inside the test process, the entry hosts are
//! real processes.

#![allow(dead_code, unreachable_pub, reason = "each test binary uses its own part")]
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a panic in a helper fails the test that called it"
)]
#![allow(clippy::disallowed_methods, reason = "tests block their own thread")]

pub mod request;

use std::time::Duration;

pub use request::{Answer, TestRequest};

use async_std::task::block_on;
use hemlockrock::clock;
use hemlockrock::configs::http::HttpConfig;
use hemlockrock::configs::store::StoreConfig;
use hemlockrock::declarations::{
    feed, Declarations, EndpointDeclaration, ServiceDeclaration, ZoneDeclaration,
};
use hemlockrock::http::client::{self, Pool, Reply};
use hemlockrock::ledger::holder::HolderRecord;
use hemlockrock::standin::proxy::ProxyStandin;
use hemlockrock::standin::runner::{Records, RunnerConfig, RunnerStandin};
use hemlockrock::standin::store::{faults::Faults, StoreStandin};
use hemlockrock::store::client::HttpStore;
use hemlockrock::store::{self, Operation};
use http_types::Method;

use super::support::{eventually, Process, Scratch};

const READY_WITHIN: Duration = Duration::from_secs(20);

/// Layout and settings of a test cell.
#[derive(Clone, Debug)]
pub struct CellPlan {
    /// Zone of each entry host.
    pub entries: Vec<&'static str>,
    /// Number of endpoints in each zone.
    pub runners: usize,
    /// Slots of each endpoint.
    pub slots: u32,
    /// Additional settings of each entry host, in YAML.
    pub settings: String,
    /// Whether connections to endpoints, to the store and between entry hosts go through proxies.
    pub is_proxied: bool,
}

impl Default for CellPlan {
    fn default() -> Self {
        Self {
            entries: vec!["z1"],
            runners: 2,
            slots: 8,
            settings: String::new(),
            is_proxied: false,
        }
    }
}

/// A running cell.
pub struct Cell {
    pub store: StoreStandin,
    pub runners: Vec<RunnerStandin>,
    pub entries: Vec<Process>,
    /// One in front of each endpoint, if the plan asks for proxies.
    pub endpoint_proxies: Vec<ProxyStandin>,
    /// One between each entry host and the store.
    pub store_proxies: Vec<ProxyStandin>,
    /// One in front of each entry host, used by its peers.
    pub peer_proxies: Vec<ProxyStandin>,
    pub declarations: Declarations,
    plan: CellPlan,
    scratch: Scratch,
}

impl Cell {
    /// Starts a cell and waits until every entry host is ready and every endpoint is owned.
    pub fn start(plan: CellPlan) -> Self {
        let store = block_on(StoreStandin::start("127.0.0.1:0")).unwrap();
        let mut zones: Vec<&str> = plan.entries.clone();
        zones.dedup();
        let mut runners = Vec::new();
        let mut endpoint_proxies = Vec::new();
        let mut endpoints = Vec::new();
        for zone in &zones {
            for number in 0..plan.runners {
                let name = format!("{zone}-r{number}");
                let config = RunnerConfig {
                    name: name.clone(),
                    slots: plan.slots,
                    ..RunnerConfig::default()
                };
                let runner = block_on(RunnerStandin::start(config)).unwrap();
                let mut address = runner.address();
                if plan.is_proxied {
                    endpoint_proxies.push(proxy(&address));
                    address = endpoint_proxies[endpoint_proxies.len() - 1].address();
                }
                endpoints.push(EndpointDeclaration {
                    name,
                    zone: (*zone).to_owned(),
                    address,
                    slots: plan.slots,
                    connections: 64,
                });
                runners.push(runner);
            }
        }
        let service = ServiceDeclaration {
            name: "orders".to_owned(),
            expected_ms: 5,
            long_ms: 1_000,
            endpoints,
        };
        let zone =
            |name: &&str| ZoneDeclaration { name: (*name).to_owned(), region: "r".to_owned() };
        let declarations = Declarations {
            zones: zones.iter().map(zone).collect(),
            services: vec![service],
            ..Declarations::default()
        };
        let client = http_store(&store.address());
        block_on(feed::publish(&client, &declarations)).unwrap();
        let scratch = Scratch::new();
        let mut cell = Self {
            store,
            runners,
            entries: Vec::new(),
            endpoint_proxies,
            store_proxies: Vec::new(),
            peer_proxies: Vec::new(),
            declarations,
            plan,
            scratch,
        };
        for number in 0..cell.plan.entries.len() {
            let entry = cell.start_entry(number);
            cell.entries.push(entry);
        }
        cell.wait_ready();
        cell
    }

    /// Starts the entry process `number` of the plan, also to replace one that has ended.
    pub fn start_entry(&mut self, number: usize) -> Process {
        let zone = self.plan.entries[number];
        let mut settings = self.plan.settings.clone();
        let mut store = self.store.address();
        if self.plan.is_proxied {
            if self.store_proxies.len() <= number {
                self.store_proxies.push(proxy(&store));
                self.peer_proxies.push(proxy("127.0.0.1:9"));
            }
            store = self.store_proxies[number].address();
            settings.push_str(&format!("advertise: {}\n", self.peer_proxies[number].address()));
        }
        let entry = start_entry(&self.scratch, &store, number, zone, &settings);
        if self.plan.is_proxied {
            self.peer_proxies[number].set_target(entry.address.as_str());
        }
        entry
    }

    /// Names of the entry hosts that hold a ledger.
    pub fn holders(&self) -> Vec<String> {
        let prefix = "cell/ledger/".to_owned();
        let answer = self.store.state().apply(Operation::List { prefix }, clock::now_ms());
        let store::Answer::Entries { entries, .. } = answer else { return Vec::new() };
        let read =
            |entry: &store::Entry| serde_json::from_slice::<HolderRecord>(&entry.value).unwrap();
        entries.iter().map(|entry| read(entry).name).collect()
    }

    /// Number of the entry host that holds a ledger, for cells with one zone.
    pub fn holder(&self) -> usize {
        let name = self.holders().pop().unwrap();
        name.trim_start_matches('e').parse().unwrap()
    }

    /// Waits until every entry host is ready, every ledger is held and every endpoint is owned.
    pub fn wait_ready(&self) {
        for entry in &self.entries {
            eventually("an entry host is ready", READY_WITHIN, || is_ready(&entry.address));
        }
        let zones = self.declarations.zones.len();
        eventually("every ledger is held", READY_WITHIN, || self.holders().len() == zones);
        let declared = self.declarations.services[0].endpoints.len();
        eventually("every endpoint is owned", READY_WITHIN, || self.owned() == declared);
        // Waits until heartbeats have reported the owned endpoints to the peers.
        std::thread::sleep(Duration::from_millis(400));
    }

    /// Number of endpoints owned by the entry hosts that answer.
    pub fn owned(&self) -> usize {
        self.entries.iter().map(|entry| owned_by(&entry.address)).sum()
    }

    /// Number of endpoints owned by one entry host.
    pub fn owned_by(&self, entry: usize) -> usize {
        owned_by(&self.entries[entry].address)
    }

    /// Sets the faults that the store injects.
    pub fn set_store_faults(&self, faults: Faults) {
        self.store.set_faults(faults);
    }

    /// Sends a request to an entry host and waits for its answer.
    pub fn send(&self, entry: usize, request: &TestRequest) -> Answer {
        block_on(request.send(&self.entries[entry].address))
    }

    /// Sends requests concurrently and waits for all answers.
    pub fn send_all(&self, requests: &[(usize, TestRequest)]) -> Vec<Answer> {
        let tasks: Vec<_> = requests
            .iter()
            .map(|(entry, request)| self.send_in_background(*entry, request.clone()))
            .collect();
        block_on(async {
            let mut answers = Vec::new();
            for task in tasks {
                answers.push(task.await);
            }
            answers
        })
    }

    /// Sends a request in a task, which yields its answer.
    pub fn send_in_background(
        &self,
        entry: usize,
        request: TestRequest,
    ) -> async_std::task::JoinHandle<Answer> {
        let address = self.entries[entry].address.clone();
        async_std::task::spawn(async move { request.send(&address).await })
    }

    /// Number of runs of requests with `key`, on all endpoints.
    pub fn runs_of(&self, key: &str) -> usize {
        self.runners.iter().map(|runner| runner.records().runs_of(key)).sum()
    }

    /// Number of runs of requests with this request id, on all endpoints.
    pub fn runs_under(&self, request_id: &str) -> usize {
        let records = self.runners.iter().map(RunnerStandin::records);
        let count = |records: Records| {
            records.runs.iter().filter(|run| run.request_id == request_id).count()
        };
        records.map(count).sum()
    }

    /// Number of runs on all endpoints.
    pub fn total_runs(&self) -> usize {
        self.runners.iter().map(|runner| runner.records().runs.len()).sum()
    }

    /// Checks that no endpoint exceeded its slots or its 64 connections.
    pub fn check_limits(&self) {
        for runner in &self.runners {
            let records = runner.records();
            assert_eq!(records.over_slots, 0, "more requests at once than slots: {records:?}");
            assert!(
                records.max_connections <= 64,
                "too many connections: {}",
                records.max_connections
            );
        }
    }
}

/// Starts an entry process with its settings in `scratch`.
pub fn start_entry(
    scratch: &Scratch,
    store: &str,
    number: usize,
    zone: &str,
    settings: &str,
) -> Process {
    let text = format!(
        "name: e{number}\nzone: {zone}\nstore:\n  address: {store}\ntraffic_threads: 2\n\
         drain:\n  balancer_delay_ms: 200\n  drain_timeout_ms: 20000\n\
         log:\n  level: warn\n{settings}"
    );
    let path = scratch.write(&format!("e{number}.yaml"), &text);
    Process::start(env!("CARGO_BIN_EXE_hemlock-entry"), &["--settings", path.to_str().unwrap()])
}

/// Client of the store at `address`.
pub fn http_store(address: &str) -> HttpStore {
    let config = StoreConfig { address: address.to_owned(), ..StoreConfig::default() };
    HttpStore::new(config, Pool::new(HttpConfig::default()))
}

fn proxy(target: &str) -> ProxyStandin {
    block_on(ProxyStandin::start("127.0.0.1:0", target)).unwrap()
}

/// Whether `/readyz` of an entry host answers 200.
pub fn is_ready(address: &str) -> bool {
    get(address, "/readyz").is_some_and(|reply| reply.status == 200)
}

/// Number of endpoints owned by an entry host, from its metrics; 0 if it does not answer.
fn owned_by(address: &str) -> usize {
    let Some(reply) = get(address, "/metrics") else { return 0 };
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    let line = text.lines().find(|line| line.starts_with("hemlock_endpoints_owned "));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0)
}

fn get(address: &str, path: &str) -> Option<Reply> {
    block_on(async {
        let stream = client::connect(address, 1_000).await.ok()?;
        let request = client::request(Method::Get, address, path).ok()?;
        let exchange = client::exchange(stream, request, 1 << 20);
        let limit = Duration::from_secs(2);
        async_std::future::timeout(limit, exchange).await.ok()?.ok()
    })
}
