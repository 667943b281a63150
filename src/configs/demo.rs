//! Settings of `hemlock-demo`, which runs a whole cell in one process.

use serde::{Deserialize, Serialize};

use crate::configs::log::LogConfig;
use crate::settings::{Report, Validate};

/// A cell with its hosts, workers, endpoints, load and jobs.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DemoConfig {
    /// Name of the cell.
    pub name: String,
    /// Seed of the random arrival times, kinds and callers of requests.
    pub seed: u64,
    /// Region of the zones.
    pub region: String,
    /// Names of the availability zones, at least one.
    pub zones: Vec<String>,
    /// Entry hosts in all zones together, at least one per zone.
    pub entry_hosts: u32,
    /// Simulated one-way network latency between zones, in milliseconds, 0 or more.
    pub zone_trip_ms: f64,
    /// Simulated one-way network latency between callers and entry hosts, in milliseconds, 0 or
    /// more.
    pub caller_trip_ms: f64,
    /// Workers of the cell.
    pub workers: WorkersConfig,
    /// Runners (endpoints) of the service.
    pub runners: RunnersConfig,
    /// Requests that are sent to the service.
    pub load: DemoLoadConfig,
    /// Jobs that are submitted at the start.
    pub jobs: Vec<DemoJobConfig>,
    /// Log of the cell's daemons; level `error` by default.
    pub log: LogConfig,
}

/// Number, racks and resources of the workers.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkersConfig {
    /// Workers in all zones together, at least 1.
    pub count: u32,
    /// Workers in each rack, at least 1.
    pub per_rack: u32,
    /// Processor time of each worker, in thousandths of a core, at least 1.
    pub cpu_millis: u64,
    /// Memory of each worker, in bytes, at least 1.
    pub memory_bytes: u64,
    /// One in this many workers has accelerators; 0 for none.
    pub accelerators_every: u32,
    /// Accelerators of each worker that has any.
    pub accelerators: u32,
}

/// Service of the cell and its runners.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RunnersConfig {
    /// Name of the service; not empty.
    pub service: String,
    /// Runners in all zones together, at least 1.
    pub count: u32,
    /// Requests that each runner runs at once, at least 1.
    pub slots: u32,
    /// Connections that each runner accepts at once, at least `slots`.
    pub connections: u32,
    /// Declared run time of the service's requests, in milliseconds.
    pub expected_ms: u64,
    /// Declared run time above which a request counts as long, in milliseconds.
    pub long_ms: u64,
}

/// Request load: a calm phase, a crest (the peak), and a calm phase again, 1 to 20,000 ms in total.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DemoLoadConfig {
    /// Duration of each of the two calm phases, in milliseconds.
    pub calm_ms: u64,
    /// Duration of the crest, in milliseconds.
    pub crest_ms: u64,
    /// Rate in the calm phases, in requests per second, 0 or more.
    pub calm_per_s: f64,
    /// Rate at the crest, in requests per second, 0 or more.
    pub crest_per_s: f64,
    /// Number of distinct callers, at least 1.
    pub callers: u32,
    /// Length of a request body, in bytes.
    pub body_bytes: usize,
    /// Kinds of requests, at least one.
    pub kinds: Vec<DemoKindConfig>,
}

/// A kind of request, sent as `Hemlock-Kind`.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DemoKindConfig {
    /// Name of the kind.
    pub name: String,
    /// Share of all requests, 0 to 1.
    pub share: f64,
    /// Run time at the runner, in milliseconds.
    pub run_ms: u64,
    /// Share of this kind's requests that may run more than once, 0 to 1.
    pub idempotent_share: f64,
    /// Deadline of a request, in milliseconds from its arrival, at least 1.
    pub deadline_ms: u64,
}

/// A job that is submitted when the cell has started.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DemoJobConfig {
    /// Name of the job; not empty.
    pub name: String,
    /// Team whose quota the job uses.
    pub team: String,
    /// `service` (runs on), `batch`, or `gang` (starts all tasks or none).
    pub kind: String,
    /// Number of tasks, or replicas of a service, at least 1.
    pub tasks: u32,
    /// Processor time that each task reserves, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory that each task reserves, in bytes.
    pub memory_bytes: u64,
    /// Accelerators that each task reserves.
    pub accelerators: u32,
    /// Run time of each task, in milliseconds; the tasks of a service run on.
    pub run_ms: u64,
}

impl Default for DemoConfig {
    fn default() -> Self {
        Self {
            name: "cell".to_owned(),
            seed: 1,
            region: "region-1".to_owned(),
            zones: vec!["zone-1".to_owned(), "zone-2".to_owned()],
            entry_hosts: 4,
            zone_trip_ms: 1.0,
            caller_trip_ms: 1.0,
            workers: WorkersConfig::default(),
            runners: RunnersConfig::default(),
            load: DemoLoadConfig::default(),
            jobs: vec![DemoJobConfig::default()],
            log: LogConfig { level: "error".to_owned(), ..LogConfig::default() },
        }
    }
}

impl Default for WorkersConfig {
    fn default() -> Self {
        Self {
            count: 8,
            per_rack: 4,
            cpu_millis: 16_000,
            memory_bytes: 32_000_000_000,
            accelerators_every: 4,
            accelerators: 2,
        }
    }
}

impl Default for RunnersConfig {
    fn default() -> Self {
        Self {
            service: "orders".to_owned(),
            count: 8,
            slots: 8,
            connections: 64,
            expected_ms: 50,
            long_ms: 500,
        }
    }
}

impl Default for DemoLoadConfig {
    fn default() -> Self {
        Self {
            calm_ms: 3_000,
            crest_ms: 3_000,
            calm_per_s: 100.0,
            crest_per_s: 400.0,
            callers: 20,
            body_bytes: 256,
            kinds: vec![DemoKindConfig::default()],
        }
    }
}

impl Default for DemoKindConfig {
    fn default() -> Self {
        Self {
            name: "short".to_owned(),
            share: 1.0,
            run_ms: 20,
            idempotent_share: 0.5,
            deadline_ms: 1_000,
        }
    }
}

impl Default for DemoJobConfig {
    fn default() -> Self {
        Self {
            name: "rebuild".to_owned(),
            team: "planning".to_owned(),
            kind: "batch".to_owned(),
            tasks: 8,
            cpu_millis: 1_000,
            memory_bytes: 1_000_000_000,
            accelerators: 0,
            run_ms: 1_000,
        }
    }
}

impl Validate for DemoConfig {
    fn validate(&self, report: &mut Report<'_>) {
        report.require(!self.zones.is_empty(), "zones", "expected at least one zone");
        let hosts = self.entry_hosts as usize >= self.zones.len();
        report.require(hosts, "entry_hosts", "expected at least one per zone");
        report.require(self.zone_trip_ms >= 0.0, "zone_trip_ms", "expected 0 or more");
        report.require(self.caller_trip_ms >= 0.0, "caller_trip_ms", "expected 0 or more");
        report.nested("workers", &self.workers);
        report.nested("runners", &self.runners);
        report.nested("load", &self.load);
        for (index, job) in self.jobs.iter().enumerate() {
            report.nested(&format!("jobs[{index}]"), job);
        }
        report.nested("log", &self.log);
    }
}

impl Validate for WorkersConfig {
    fn validate(&self, report: &mut Report<'_>) {
        report.require(self.count > 0, "count", "expected at least 1");
        report.require(self.per_rack > 0, "per_rack", "expected at least 1");
        report.require(self.cpu_millis > 0, "cpu_millis", "expected at least 1");
        report.require(self.memory_bytes > 0, "memory_bytes", "expected at least 1");
    }
}

impl Validate for RunnersConfig {
    fn validate(&self, report: &mut Report<'_>) {
        report.require(!self.service.is_empty(), "service", "must not be empty");
        report.require(self.count > 0, "count", "expected at least 1");
        report.require(self.slots > 0, "slots", "expected at least 1");
        let connections = self.connections >= self.slots;
        report.require(connections, "connections", "expected at least as many as slots");
    }
}

impl Validate for DemoLoadConfig {
    fn validate(&self, report: &mut Report<'_>) {
        const LONGEST_MS: u64 = 20_000;
        let total_ms = self.calm_ms.saturating_mul(2).saturating_add(self.crest_ms);
        let length = (1..=LONGEST_MS).contains(&total_ms);
        report.require(length, "crest_ms", "expected 1 to 20000 ms in total with both calm phases");
        report.require(self.calm_per_s >= 0.0, "calm_per_s", "expected 0 or more");
        report.require(self.crest_per_s >= 0.0, "crest_per_s", "expected 0 or more");
        report.require(self.callers > 0, "callers", "expected at least 1");
        report.require(!self.kinds.is_empty(), "kinds", "expected at least one kind");
        for (index, kind) in self.kinds.iter().enumerate() {
            report.nested(&format!("kinds[{index}]"), kind);
        }
    }
}

impl Validate for DemoKindConfig {
    fn validate(&self, report: &mut Report<'_>) {
        let shares = 0.0..=1.0;
        report.require(shares.contains(&self.share), "share", "expected 0 to 1");
        let idempotent = shares.contains(&self.idempotent_share);
        report.require(idempotent, "idempotent_share", "expected 0 to 1");
        report.require(self.deadline_ms > 0, "deadline_ms", "expected at least 1");
    }
}

impl Validate for DemoJobConfig {
    fn validate(&self, report: &mut Report<'_>) {
        let kinds = ["service", "batch", "gang"];
        let kind = kinds.contains(&self.kind.as_str());
        report.require(kind, "kind", "expected service, batch or gang");
        report.require(!self.name.is_empty(), "name", "must not be empty");
        report.require(self.tasks > 0, "tasks", "expected at least 1");
    }
}
