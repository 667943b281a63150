//! Settings of the placer daemon.

use serde::{Deserialize, Serialize};

use crate::configs::drain::DrainConfig;
use crate::configs::http::HttpConfig;
use crate::configs::log::LogConfig;
use crate::configs::membership::MembershipConfig;
use crate::configs::place::PlaceConfig;
use crate::configs::quota::QuotaConfig;
use crate::configs::store::StoreConfig;
use crate::settings::{Report, Validate};

/// Settings of the placer daemon.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacerConfig {
    /// Name, unique among placers of the cell.
    pub name: String,
    /// Availability zone that it places in.
    pub zone: String,
    /// Address to listen on, `IP:port`.
    pub address: String,
    /// Token that calls between daemons carry; empty for none.
    pub token: String,
    /// Time between ticks of the control thread, in milliseconds.
    pub tick_ms: u64,
    /// Longest wait for a worker's answer, in milliseconds.
    pub worker_timeout_ms: u64,
    /// Longest wait for a job to be recorded, in milliseconds.
    pub submit_timeout_ms: u64,
    /// Job records in the store.
    pub records: RecordsConfig,
    /// The store.
    pub store: StoreConfig,
    /// Membership.
    pub membership: MembershipConfig,
    /// HTTP server and client.
    pub http: HttpConfig,
    /// Quotas.
    pub quota: QuotaConfig,
    /// Placement.
    pub place: PlaceConfig,
    /// Graceful shutdown.
    pub drain: DrainConfig,
    /// The log.
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

/// Settings of job records in the store.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RecordsConfig {
    /// Shortest time between two writes, in milliseconds.
    pub write_every_ms: u64,
    /// Largest value that is written, in bytes.
    pub max_value_bytes: usize,
    /// Time for which an ended job can still be asked for, in milliseconds.
    pub keep_ended_ms: u64,
    /// Ended jobs that are kept at most.
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
        report.require(value, "max_value_bytes", "expected at most the limit of the store");
    }
}
