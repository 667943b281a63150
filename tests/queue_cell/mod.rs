//! A cell for tests: real host processes that talk to a platform store and runners faked in the
//! test process.

#![allow(dead_code, missing_docs, unreachable_pub, reason = "support module for tests")]
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a panic in a helper fails the test that called it"
)]
#![allow(clippy::disallowed_methods, reason = "tests start real processes")]

pub mod runners;

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};

use async_std::task::block_on;
use bytes::Bytes;
use hemlockrock::clock;
use hemlockrock::configs::http::HttpConfig;
use hemlockrock::http::client::{self, Pool};
use hemlockrock::http::rpc;
use hemlockrock::http::server::Server;
use hemlockrock::queue::model::JobId;
use hemlockrock::queue::record::{self, LeaderRecord};
use hemlockrock::standin::proxy::{Fault, ProxyStandin};
use hemlockrock::store::{Answer, Expect, LeaseId, Operation};
use http_types::Method;
use serde_json::{json, Value};

use super::platform_support;
use runners::RunnerFleet;

/// Time to live of a runner record, in milliseconds: three missed heartbeats.
const RECORD_TTL_MS: u64 = 4_500;

const HOST_NAME: &str = "queue.example";
const PREFIX: &str = "/q/";

/// How a caller's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerResult {
    /// HTTP status of the answer.
    Status(u16),
    /// No answer or an incomplete one.
    NoAnswer,
}

/// A host: its process, and the fault-injecting proxy between it and the store.
#[derive(Debug)]
pub struct Host {
    /// Address at which callers reach the host, `IP:port`.
    pub caller_address: String,
    pub store: ProxyStandin,
    platform_settings: PathBuf,
    queue_settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Hosts, fake runners and the fake platform store.
pub struct Cell {
    pub fleet: runners::SharedFleet,
    pub hosts: Vec<Host>,
    platform: platform_support::SharedStore,
    /// Lease of each runner's record, by number of the runner.
    runner_leases: Vec<LeaseId>,
    /// Servers of the store and, after it, of the runners.
    servers: Vec<Server>,
    pool: Pool,
    /// Version of the operator's configuration.
    version: u64,
}

impl Cell {
    /// Starts hosts and runners; settings and logs of the hosts go to `directory`.
    pub fn start(directory: &Path, hosts: usize, runners: usize) -> Self {
        Self::start_with(directory, hosts, runners, "{}")
    }

    /// As [`Cell::start`], with queue settings in YAML.
    pub fn start_with(directory: &Path, hosts: usize, runners: usize, settings: &str) -> Self {
        Self::start_limited(directory, hosts, runners, settings, &json!({}))
    }

    /// As [`Cell::start_with`], with the `limits` of the platform's settings file.
    pub fn start_limited(
        directory: &Path,
        hosts: usize,
        runners: usize,
        settings: &str,
        limits: &Value,
    ) -> Self {
        std::fs::create_dir_all(directory).unwrap();
        let platform = platform_support::SharedStore::default();
        let server = block_on(platform_support::start(&platform));
        let store = server.address().to_string();
        let fleet = runners::SharedFleet::new(Mutex::new(RunnerFleet::default()));
        let config = HttpConfig { connect_timeout_ms: 500, ..HttpConfig::default() };
        let mut cell = Self {
            fleet: Arc::clone(&fleet),
            hosts: Vec::new(),
            platform,
            runner_leases: Vec::new(),
            servers: vec![server],
            pool: Pool::new(config),
            version: 0,
        };
        cell.declare();
        for _ in 0..runners {
            let number = runners::lock(&fleet).add();
            cell.servers.push(block_on(runners::serve(&fleet, number)));
            let lease = cell.grant_runner_lease();
            cell.runner_leases.push(lease);
        }
        cell.renew_runner_records();
        let queue_settings = directory.join("queue.yaml");
        std::fs::write(&queue_settings, settings).unwrap();
        for number in 0..hosts {
            let host = Host::new(directory, number, &store, &queue_settings, limits);
            cell.hosts.push(host);
            cell.hosts[number].start();
        }
        cell
    }

    fn apply(&self, operation: Operation) -> Answer {
        platform_support::apply(&self.platform, operation)
    }

    /// Writes the next version of the operator's configuration.
    pub fn declare(&mut self) {
        let config = json!({ "routes": [self.route()] });
        self.declare_config(config);
    }

    /// Writes the next version of the operator's configuration with these entries.
    pub fn declare_config(&mut self, mut config: Value) {
        self.version += 1;
        config["version"] = json!(self.version);
        self.put("op/config", &config, None);
    }

    /// The route of the cell, as its configuration declares it.
    pub fn route(&self) -> Value {
        json!({
            "name": "q", "host": HOST_NAME, "prefix": PREFIX, "service": "s", "priority": 0,
            "max-attempts": runners::ATTEMPTS, "stretch": 2.0, "target-latency-ms": 1000,
        })
    }

    fn put(&self, key: &str, value: &Value, lease: Option<LeaseId>) {
        let value = Bytes::from(value.to_string());
        let put = Operation::Put { key: key.to_owned(), value, expect: Expect::Any, lease };
        self.apply(put);
    }

    /// Writes the record of a runner as another writer would, whatever its content.
    pub fn write_runner_record(&self, id: &str, text: impl Into<Bytes>) {
        let (key, value) = (format!("servers/{id}"), text.into());
        self.apply(Operation::Put { key, value, expect: Expect::Any, lease: None });
    }

    /// Whether all host processes run.
    pub fn are_hosts_up(&mut self) -> bool {
        self.hosts.iter_mut().all(Host::is_up)
    }

    fn grant_runner_lease(&self) -> LeaseId {
        match self.apply(Operation::Grant { ttl_ms: RECORD_TTL_MS }) {
            Answer::Granted { lease } => lease,
            _ => panic!("the store granted no lease"),
        }
    }

    /// Writes the record of each runner and renews its lease, or replaces a lease that has expired,
    /// as a runner's heartbeat does.
    pub fn renew_runner_records(&mut self) {
        for number in 0..self.runner_leases.len() {
            let is_absent = |fleet: &RunnerFleet| fleet.is_down(number) || fleet.is_removed(number);
            if is_absent(&runners::lock(&self.fleet)) {
                continue;
            }
            let lease = self.runner_leases[number];
            if !matches!(self.apply(Operation::Renew { lease }), Answer::Renewed) {
                self.runner_leases[number] = self.grant_runner_lease();
            }
            let capacity = runners::lock(&self.fleet).record_capacity(number);
            let record = json!({
                "service": "s", "address": self.servers[number + 1].address().to_string(),
                "zone": "z", "version": "1", "slots": 8, "state": "ready",
                "cold-remaining-ms": 0, "sequence": clock::now_ms(), "labels": [],
                "capacity": { "cpu": capacity, "mem-mb": 4096, "gpu": 0 },
                "born": runners::lock(&self.fleet).born(number),
            });
            self.put(&format!("servers/i-{number}"), &record, Some(self.runner_leases[number]));
        }
    }

    /// Number of the host that leads according to the store.
    pub fn leader(&self) -> Option<usize> {
        let answer = self.apply(Operation::Get { key: record::LEADER.to_owned() });
        let Answer::Entry { entry: Some(entry) } = answer else { return None };
        let leader: LeaderRecord = rpc::decode(&entry.value).unwrap();
        leader.host.trim_start_matches("host-").parse().ok()
    }

    /// Fencing token of the current term; 0 if there is no leader.
    pub fn leader_token(&self) -> u64 {
        let answer = self.apply(Operation::Get { key: record::LEADER.to_owned() });
        match answer {
            Answer::Entry { entry: Some(entry) } => entry.created.0,
            _ => 0,
        }
    }

    /// Compacts the history of the store, so that older revisions can no longer be watched.
    pub fn compact(&self) {
        self.platform.lock().unwrap().compact();
    }

    /// Connection pool of the callers, and the address of the host.
    pub fn caller_connection(&self, host: usize) -> (Pool, String) {
        (self.pool.clone(), self.hosts[host].caller_address.clone())
    }
}

/// Sends a request about a job to the host at `address`.
pub async fn send(
    pool: &Pool,
    address: &str,
    method: Method,
    job: JobId,
    body: Option<Value>,
) -> (CallerResult, Value) {
    send_to(pool, address, (method, &format!("{PREFIX}{job}")), &[], body).await
}

/// Sends a request with additional headers to the host at `address`.
pub async fn send_to(
    pool: &Pool,
    address: &str,
    (method, path): (Method, &str),
    headers: &[(&str, &str)],
    body: Option<Value>,
) -> (CallerResult, Value) {
    const TIMEOUT_MS: u64 = 3_000;
    let mut request = client::request(method, address, path).unwrap();
    request.insert_header("Host", HOST_NAME);
    for (name, value) in headers {
        request.append_header(*name, *value);
    }
    if let Some(body) = body {
        request.set_body(body.to_string());
        request.insert_header("Content-Type", "application/json");
    }
    match pool.send(address, request, TIMEOUT_MS).await {
        Ok(reply) => {
            let body = serde_json::from_slice(&reply.body).unwrap_or(Value::Null);
            (CallerResult::Status(reply.status), body)
        }
        Err(_) => (CallerResult::NoAnswer, Value::Null),
    }
}

impl Host {
    fn new(
        directory: &Path,
        number: usize,
        store: &str,
        queue_settings: &Path,
        limits: &Value,
    ) -> Self {
        let proxy = block_on(ProxyStandin::start("127.0.0.1:0", store)).unwrap();
        let ip = format!("127.0.0.{}", 10 + number);
        let port = free_ports(&ip);
        let caller_address = format!("{ip}:{port}");
        let settings = json!({
            "node-name": format!("host-{number}"), "ip": ip, "zone": "z",
            "listen-addrs": { "front": caller_address, "ready": format!("{ip}:{}", port + 1) },
            "internal-ports": [port + 2, port + 3],
            "platform": { "address": proxy.address() },
            "bounds": { "grace-s": 4 },
            "limits": limits,
        });
        let path = directory.join(format!("host-{number}.json"));
        std::fs::write(&path, settings.to_string()).unwrap();
        let log = directory.join(format!("host-{number}.log"));
        let _ = std::fs::remove_file(&log);
        let queue_settings = queue_settings.to_path_buf();
        Self {
            caller_address,
            store: proxy,
            platform_settings: path,
            queue_settings,
            log,
            child: None,
        }
    }

    /// Starts the process unless it runs already.
    pub fn start(&mut self) {
        if let Some(child) = &mut self.child {
            if child.try_wait().unwrap().is_none() {
                return;
            }
        }
        let log = std::fs::File::options().create(true).append(true).open(&self.log).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_hemlock-queue"));
        command
            .arg("--site")
            .arg(&self.platform_settings)
            .arg("--settings")
            .arg(&self.queue_settings);
        command.stdout(log).stderr(Stdio::null());
        self.child = Some(command.spawn().unwrap());
    }

    /// Whether the process runs.
    pub fn is_up(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| child.try_wait().unwrap().is_none())
    }

    /// Process id; `None` if the process was not started or was killed.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            child.wait().unwrap();
        }
    }

    /// Sends a signal to the process, if it runs.
    #[allow(unsafe_code, reason = "signals to our own child")]
    pub fn signal(&mut self, signal: i32) {
        let Some(child) = &mut self.child else { return };
        if child.try_wait().unwrap().is_some() {
            return;
        }
        // SAFETY: the process is our child and has not been waited for.
        unsafe { libc::kill(i32::try_from(child.id()).unwrap(), signal) };
    }

    /// Sets the fault that the proxy between the host and the store injects.
    pub fn set_store_fault(&self, fault: Fault) {
        self.store.set_fault(fault);
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Finds four consecutive free ports at an address and returns the first.
fn free_ports(ip: &str) -> u16 {
    loop {
        let first = std::net::TcpListener::bind((ip, 0)).unwrap();
        let port = first.local_addr().unwrap().port();
        let is_free = |port: u16| std::net::TcpListener::bind((ip, port)).is_ok();
        if port < 65_000 && (port + 1..port + 4).all(is_free) {
            return port;
        }
    }
}
