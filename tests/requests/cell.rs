//! A small cell for tests: the store and endpoints inside the test process, real entry processes.

#![allow(dead_code, unreachable_pub, reason = "each test binary uses its own part")]
#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a helper that fails fails its test")]
#![allow(clippy::disallowed_methods, reason = "tests block their own thread")]

use std::time::Duration;

use async_std::task::block_on;
use hemlockrock::clock;
use hemlockrock::configs::http::HttpConfig;
use hemlockrock::configs::store::StoreConfig;
use hemlockrock::declarations::{
    feed, Declarations, EndpointDeclaration, ServiceDeclaration, ZoneDeclaration,
};
use hemlockrock::http::client::{self, Pool, Reply};
use hemlockrock::ledger::seat::Holder;
use hemlockrock::standin::proxy::ProxyStandin;
use hemlockrock::standin::runner::{RunnerConfig, RunnerStandin};
use hemlockrock::standin::store::{faults::Faults, StoreStandin};
use hemlockrock::store::client::HttpStore;
use hemlockrock::store::{self, Operation};
use http_types::Method;
use sha2::{Digest as _, Sha256};

use super::support::{eventually, Process, Scratch};

const READY_WITHIN: Duration = Duration::from_secs(20);

/// What a cell consists of.
#[derive(Clone, Debug)]
pub struct CellPlan {
    /// Zone of each entry host.
    pub entries: Vec<&'static str>,
    /// Endpoints in each zone.
    pub runners: usize,
    /// Slots of each endpoint.
    pub slots: u32,
    /// More settings of each entry host, in YAML.
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
    /// In front of each endpoint, if the plan asks for proxies.
    pub endpoint_proxies: Vec<ProxyStandin>,
    /// Between each entry host and the store.
    pub store_proxies: Vec<ProxyStandin>,
    /// In front of each entry host, for its peers.
    pub peer_proxies: Vec<ProxyStandin>,
    pub declarations: Declarations,
    plan: CellPlan,
    scratch: Scratch,
}

impl Cell {
    /// Starts a cell and waits until every entry host is ready and owns its share.
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

    /// Starts one entry process of the plan, also to replace one that has ended.
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
        let read = |entry: &store::Entry| serde_json::from_slice::<Holder>(&entry.value).unwrap();
        entries.iter().map(|entry| read(entry).name).collect()
    }

    /// Number of the entry host that holds the only ledger.
    pub fn holder(&self) -> usize {
        let name = self.holders().pop().unwrap();
        name.trim_start_matches('e').parse().unwrap()
    }

    /// Waits until every entry host is ready and every endpoint is owned once.
    pub fn wait_ready(&self) {
        for entry in &self.entries {
            eventually("an entry host is ready", READY_WITHIN, || is_ready(&entry.address));
        }
        let zones = self.declarations.zones.len();
        eventually("every ledger is held", READY_WITHIN, || self.holders().len() == zones);
        let declared = self.declarations.services[0].endpoints.len();
        eventually("every endpoint is owned", READY_WITHIN, || self.owned() == declared);
        // Heartbeats carry the owned endpoints to the peers.
        std::thread::sleep(Duration::from_millis(400));
    }

    /// Endpoints owned by the entry hosts that answer.
    pub fn owned(&self) -> usize {
        self.entries.iter().map(|entry| owned_by(&entry.address)).sum()
    }

    /// Endpoints owned by one entry host.
    pub fn owned_by(&self, entry: usize) -> usize {
        owned_by(&self.entries[entry].address)
    }

    /// Sets what goes wrong with the store.
    pub fn set_store_faults(&self, faults: Faults) {
        self.store.set_faults(faults);
    }

    /// Sends a request to an entry host and waits for its answer.
    pub fn ask(&self, entry: usize, ask: &Ask) -> Answer {
        block_on(ask.send(&self.entries[entry].address))
    }

    /// Sends requests at the same time and waits for all answers.
    pub fn ask_all(&self, asks: &[(usize, Ask)]) -> Vec<Answer> {
        let tasks: Vec<_> =
            asks.iter().map(|(entry, ask)| self.begin(*entry, ask.clone())).collect();
        block_on(async {
            let mut answers = Vec::new();
            for task in tasks {
                answers.push(task.await);
            }
            answers
        })
    }

    /// Sends a request without waiting for its answer.
    pub fn begin(&self, entry: usize, ask: Ask) -> async_std::task::JoinHandle<Answer> {
        let address = self.entries[entry].address.clone();
        async_std::task::spawn(async move { ask.send(&address).await })
    }

    /// How often a request with `key` ran, on all endpoints.
    pub fn runs_of(&self, key: &str) -> usize {
        self.runners.iter().map(|runner| runner.records().runs_of(key)).sum()
    }

    /// How many requests ran.
    pub fn total_runs(&self) -> usize {
        self.runners.iter().map(|runner| runner.records().runs.len()).sum()
    }

    /// Checks the limits of slots and connections on every endpoint.
    pub fn check_limits(&self) {
        for runner in &self.runners {
            let records = runner.records();
            assert_eq!(records.over_slots, 0, "slots {records:?}");
            assert!(records.max_connections <= 64, "connections {}", records.max_connections);
        }
    }
}

/// Starts one entry process.
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

/// A client of the store at `address`.
pub fn http_store(address: &str) -> HttpStore {
    let config = StoreConfig { address: address.to_owned(), ..StoreConfig::default() };
    HttpStore::new(config, Pool::new(HttpConfig::default()))
}

fn proxy(target: &str) -> ProxyStandin {
    block_on(ProxyStandin::start("127.0.0.1:0", target)).unwrap()
}

/// Whether an entry host says that callers may be sent there.
pub fn is_ready(address: &str) -> bool {
    get(address, "/readyz").is_some_and(|reply| reply.status == 200)
}

fn owned_by(address: &str) -> usize {
    let Some(reply) = get(address, "/metrics") else { return 0 };
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    let line = text.lines().find(|line| line.starts_with("hemlock_endpoints_owned "));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0)
}

fn get(address: &str, path: &str) -> Option<Reply> {
    block_on(async {
        let stream = client::open(address, 1_000).await.ok()?;
        let request = client::request(Method::Get, address, path).ok()?;
        let exchange = client::exchange(stream, request, 1 << 20);
        let limit = Duration::from_secs(2);
        async_std::future::timeout(limit, exchange).await.ok()?.ok()
    })
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Ask {
    service: String,
    headers: Vec<(String, String)>,
    body: String,
}

impl Ask {
    /// A request with an idempotency key that may run once.
    pub fn new(key: impl Into<String>) -> Self {
        Self::without_key().with_header("Idempotency-Key", &key.into())
    }

    /// A request without a key.
    pub fn without_key() -> Self {
        Self { service: "orders".to_owned(), headers: Vec::new(), body: "body".to_owned() }
    }

    /// An idempotent request without a key.
    pub fn idempotent() -> Self {
        Self::without_key().with_header("Hemlock-Idempotent", "true")
    }

    /// Sets a header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the run time at the endpoint.
    #[must_use]
    pub fn with_run_ms(self, run_ms: u64) -> Self {
        self.with_header("Hemlock-Standin-Run-Ms", &run_ms.to_string())
    }

    /// Sets the deadline.
    #[must_use]
    pub fn with_deadline_ms(self, deadline_ms: u64) -> Self {
        self.with_header("Hemlock-Deadline-Ms", &deadline_ms.to_string())
    }

    /// Sets the body.
    #[must_use]
    pub fn with_body(mut self, body: impl Into<String>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets the service.
    #[must_use]
    pub fn with_service(mut self, service: &str) -> Self {
        self.service = service.to_owned();
        self
    }

    /// Cancels a request by its key; the status of the answer.
    pub async fn cancel(address: &str, key: &str) -> u16 {
        let path = format!("/v1/services/orders/requests/{key}");
        let request = client::request(Method::Delete, address, &path).unwrap();
        let stream = client::open(address, 2_000).await.unwrap();
        client::exchange(stream, request, 1 << 20).await.unwrap().status
    }

    /// Sends the request on a connection of its own.
    pub async fn send(&self, address: &str) -> Answer {
        let path = format!("/v1/services/{}/requests", self.service);
        let mut request = client::request(Method::Post, address, &path).unwrap();
        request.set_body(self.body.as_bytes());
        for (name, value) in &self.headers {
            request.insert_header(name.as_str(), value.as_str());
        }
        let exchange = async {
            let stream = client::open(address, 2_000).await?;
            client::exchange(stream, request, 8 << 20).await
        };
        match async_std::future::timeout(Duration::from_secs(60), exchange).await {
            Ok(Ok(reply)) => {
                Answer { status: reply.status, reply: Some(reply), error: String::new() }
            }
            Ok(Err(error)) => Answer { status: 0, reply: None, error: error.to_string() },
            Err(_) => Answer { status: 0, reply: None, error: "hangs".to_owned() },
        }
    }
}

/// What a caller got; status 0 if the connection broke.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub reply: Option<Reply>,
    pub error: String,
}

impl Answer {
    /// The outcome header; empty without an answer.
    pub fn outcome(&self) -> &str {
        self.reply.as_ref().and_then(|reply| reply.header("Hemlock-Outcome")).unwrap_or("")
    }

    /// The reason header.
    pub fn reason(&self) -> &str {
        self.reply.as_ref().and_then(|reply| reply.header("Hemlock-Reason")).unwrap_or("")
    }

    /// The body.
    pub fn body(&self) -> &[u8] {
        self.reply.as_ref().map_or(&[], |reply| &reply.body)
    }

    /// Whether this is an endpoint's whole answer to a request with `body`.
    pub fn is_answer_to(&self, body: &str) -> bool {
        let digest = format!("{:x}", Sha256::digest(body.as_bytes()));
        let answer: Result<hemlockrock::standin::runner::RunAnswer, _> =
            serde_json::from_slice(self.body());
        answer.is_ok_and(|answer| answer.sha256 == digest)
    }

    /// Paths of the findings in an error.
    pub fn findings(&self) -> Vec<String> {
        let error: hemlockrock::http::error::ApiError =
            serde_json::from_slice(self.body()).unwrap();
        error.findings.items.into_iter().map(|finding| finding.path).collect()
    }
}
