//! Settings of `hemlock-placer`, the daemon that places the tasks of one availability zone.

use serde::{Deserialize, Serialize};

use crate::configs::drain::DrainConfig;
use crate::configs::http::HttpConfig;
use crate::configs::log::LogConfig;
use crate::configs::membership::MembershipConfig;
use crate::configs::place::PlaceConfig;
use crate::configs::quota::QuotaConfig;
use crate::configs::store::StoreConfig;
use crate::settings::{Report, Validate};

/// Settings of a placer.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacerConfig {
    /// Name, unique among the placers of the cell; not empty.
    pub name: String,
    /// Availability zone in which it places tasks; not empty.
    pub zone: String,
    /// Address to listen on, `IP:port`; port 0 picks a free one.
    pub address: String,
    /// Token that authenticates calls between daemons of the cell; empty for no authentication.
    pub token: String,
    /// Time between ticks of the control thread, in milliseconds, at least 1.
    pub tick_ms: u64,
    /// Longest wait for a worker's answer, in milliseconds, at least 1.
    pub worker_timeout_ms: u64,
    /// Longest time for which a submission waits for its job to be recorded in the store, in
    /// milliseconds, at least 1.
    pub submit_timeout_ms: u64,
    /// Job records in the store.
    pub records: RecordsConfig,
    /// Client of the platform's store.
    pub store: StoreConfig,
    /// Session in the store by which the placer is a member of the cell.
    pub membership: MembershipConfig,
    /// HTTP server and client.
    pub http: HttpConfig,
    /// Zone shares of the teams' quotas.
    pub quota: QuotaConfig,
    /// Placement of tasks on workers.
    pub place: PlaceConfig,
    /// Graceful shutdown.
    pub drain: DrainConfig,
    /// Log on standard error.
    pub log: LogConfig,
}

impl Default for PlacerConfig {
    fn default() -> Self {
        Self {
            name: "placer-1".to_owned(),
            zone: "zone-1".to_owned(),
            address: "127.0.0.1:0".to_owned(),
            token: String::new(),
            tick_ms: 50,
            worker_timeout_ms: 2_000,
            submit_timeout_ms: 5_000,
            records: RecordsConfig::default(),
            store: StoreConfig { watch_wait_ms: 2_000, ..StoreConfig::default() },
            membership: MembershipConfig::default(),
            http: HttpConfig::default(),
            quota: QuotaConfig { settle_every_ms: 10_000, ..QuotaConfig::default() },
            place: PlaceConfig {
                task_lease_ms: 15_000,
                renew_every_ms: 4_000,
                silent_after_ms: 9_000,
                ..PlaceConfig::default()
            },
            drain: DrainConfig::default(),
            log: LogConfig::default(),
        }
    }
}

impl Validate for PlacerConfig {
    fn validate(&self, report: &mut Report<'_>) {
        report.require(!self.name.is_empty(), "name", "must not be empty");
        report.require(!self.zone.is_empty(), "zone", "must not be empty");
        let address = self.address.parse::<std::net::SocketAddr>().is_ok();
        report.require(address, "address", "expected IP:port");
        report.require(self.tick_ms > 0, "tick_ms", "expected at least 1");
        report.require(self.worker_timeout_ms > 0, "worker_timeout_ms", "expected at least 1");
        report.require(self.submit_timeout_ms > 0, "submit_timeout_ms", "expected at least 1");
        report.nested("records", &self.records);
        report.nested("store", &self.store);
        report.nested("membership", &self.membership);
        report.nested("http", &self.http);
        report.nested("quota", &self.quota);
        report.nested("place", &self.place);
        report.nested("drain", &self.drain);
        report.nested("log", &self.log);
    }
}

/// Write rate, size and retention of the job records in the store.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RecordsConfig {
    /// Shortest time between writes, in milliseconds.
    pub write_every_ms: u64,
    /// Largest value that is written, in bytes, at most the store's limit
    /// [`VALUE_LIMIT_BYTES`](crate::store::api::VALUE_LIMIT_BYTES).
    pub max_value_bytes: usize,
    /// Time for which an ended job can be queried, in milliseconds.
    pub keep_ended_ms: u64,
    /// Most ended jobs that are kept; the oldest are forgotten first.
    pub max_ended: usize,
}

impl Default for RecordsConfig {
    fn default() -> Self {
        Self {
            write_every_ms: 100,
            max_value_bytes: 900_000,
            keep_ended_ms: 3_600_000,
            max_ended: 2_000,
        }
    }
}

impl Validate for RecordsConfig {
    fn validate(&self, report: &mut Report<'_>) {
        let value = self.max_value_bytes <= crate::store::api::VALUE_LIMIT_BYTES;
        report.require(value, "max_value_bytes", "expected at most the store's limit for a value");
    }
}
