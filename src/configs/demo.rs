//! Settings of the demo: a whole cell in one file.

use serde::{Deserialize, Serialize};

use crate::configs::log::LogConfig;
use crate::settings::{Report, Validate};

/// Settings of the demo.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DemoConfig {
    /// Name of the cell.
    pub name: String,
    /// Chooses arrivals, kinds and callers.
    pub seed: u64,
    /// Region of the zones.
    pub region: String,
    /// Names of the availability zones.
    pub zones: Vec<String>,
    /// Entry hosts over all zones.
    pub entry_hosts: u32,
    /// Distance between zones one way, in milliseconds.
    pub zone_trip_ms: f64,
    /// Distance of callers one way, in milliseconds.
    pub caller_trip_ms: f64,
    /// Workers and their racks.
    pub workers: WorkersConfig,
    /// Runners of the service.
    pub runners: RunnersConfig,
    /// Load of requests.
    pub load: DemoLoadConfig,
    /// Jobs that are submitted at the start.
    pub jobs: Vec<DemoJobConfig>,
    /// Log of the daemons.
    pub log: LogConfig,
}

/// Workers of the demo.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkersConfig {
    /// Workers over all zones.
    pub count: u32,
    /// Workers in a rack.
    pub per_rack: u32,
    /// Processor time of each, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory of each, in bytes.
    pub memory_bytes: u64,
    /// Every how many workers one has accelerators; 0 for none.
    pub accelerators_every: u32,
    /// Accelerators of those that have some.
    pub accelerators: u32,
}

/// Runners of the demo.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RunnersConfig {
    /// Service that they run.
    pub service: String,
    /// Runners over all zones.
    pub count: u32,
    /// Requests that each runs at once.
    pub slots: u32,
    /// Connections that each accepts at once.
    pub connections: u32,
    /// Run time assumed for a kind that has not been seen, in milliseconds.
    pub expected_ms: u64,
    /// Run time above which a request counts as long, in milliseconds.
    pub long_ms: u64,
}

/// Load of the demo: calm, a crest, calm again.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DemoLoadConfig {
    /// Length of each calm stretch, in milliseconds.
    pub calm_ms: u64,
    /// Length of the crest, in milliseconds.
    pub crest_ms: u64,
    /// Rate when calm, in requests a second.
    pub calm_per_s: f64,
    /// Rate at the crest, in requests a second.
    pub crest_per_s: f64,
    /// Number of callers.
    pub callers: u32,
    /// Length of a body, in bytes.
    pub body_bytes: usize,
    /// Kinds of requests.
    pub kinds: Vec<DemoKindConfig>,
}

/// A kind of request in the demo.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DemoKindConfig {
    /// Name of the kind.
    pub name: String,
    /// Share of all requests, 0 to 1.
    pub share: f64,
    /// Run time at the endpoint, in milliseconds.
    pub run_ms: u64,
    /// Share of this kind that may run more than once, 0 to 1.
    pub idempotent_share: f64,
    /// Time by which a caller needs its answer, in milliseconds.
    pub deadline_ms: u64,
}

/// A job of the demo.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DemoJobConfig {
    /// Name of the job.
    pub name: String,
    /// Team that it belongs to.
    pub team: String,
    /// service, batch or gang.
    pub kind: String,
    /// Tasks, or replicas of a service.
    pub tasks: u32,
    /// Processor time of each task, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory of each task, in bytes.
    pub memory_bytes: u64,
    /// Accelerators of each task.
    pub accelerators: u32,
    /// Run time of each task, in milliseconds; a service runs on.
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
        report.require(hosts, "entry_hosts", "expected at least one a zone");
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
        report.require(length, "crest_ms", "expected 20000 ms at most with both calm stretches");
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
