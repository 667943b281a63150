//! Settings of `hemlock-entry`, the daemon that takes requests and sends them to endpoints.

use serde::{Deserialize, Serialize};

use crate::configs::drain::DrainConfig;
use crate::configs::http::HttpConfig;
use crate::configs::ledger::LedgerConfig;
use crate::configs::log::LogConfig;
use crate::configs::membership::MembershipConfig;
use crate::configs::route::RouteConfig;
use crate::configs::store::StoreConfig;
use crate::settings::{Report, Validate};

/// Settings of an entry host.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntryConfig {
    /// Name of this host, unique among the entry hosts of the cell: letters, digits, `-`, `.` or
    /// `_`.
    pub name: String,
    /// Availability zone of this host: letters, digits, `-`, `.` or `_`.
    pub zone: String,
    /// Address to listen on, `IP:port`; port 0 picks a free one.
    pub listen: String,
    /// Address at which peers reach this host, `IP:port`; empty for the bound address.
    pub advertise: String,
    /// Token that authenticates calls between daemons of the cell; empty for no authentication.
    pub token: String,
    /// Threads of the async runtime that serve traffic; 0 for one per core.
    pub traffic_threads: usize,
    /// Log on standard error.
    pub log: LogConfig,
    /// HTTP server and client.
    pub http: HttpConfig,
    /// Client of the platform's store.
    pub store: StoreConfig,
    /// Session in the store by which this host is a member of the cell.
    pub membership: MembershipConfig,
    /// Dispatch of requests to endpoints.
    pub route: RouteConfig,
    /// Ledger of idempotency keys.
    pub ledger: LedgerConfig,
    /// Graceful shutdown.
    pub drain: DrainConfig,
    /// Ownership of endpoints and connections to them.
    pub endpoints: EndpointsConfig,
    /// Platform's list of live and leaving hosts.
    pub hosts: HostsConfig,
    /// Calls between entry hosts.
    pub peers: PeersConfig,
    /// Deadline of a request that sets none, in milliseconds from its arrival, at least 1.
    pub default_deadline_ms: u64,
    /// Longest deadline that a request may set, in milliseconds from its arrival, at least
    /// `default_deadline_ms`.
    pub max_deadline_ms: u64,
}

impl Default for EntryConfig {
    fn default() -> Self {
        Self {
            name: "entry-1".to_owned(),
            zone: "zone-1".to_owned(),
            listen: "127.0.0.1:0".to_owned(),
            advertise: String::new(),
            token: String::new(),
            traffic_threads: 0,
            log: LogConfig::default(),
            http: HttpConfig::default(),
            store: StoreConfig::default(),
            membership: MembershipConfig::default(),
            route: RouteConfig::default(),
            ledger: LedgerConfig::default(),
            drain: DrainConfig::default(),
            endpoints: EndpointsConfig::default(),
            hosts: HostsConfig::default(),
            peers: PeersConfig::default(),
            default_deadline_ms: 10_000,
            max_deadline_ms: 600_000,
        }
    }
}

impl Validate for EntryConfig {
    fn validate(&self, report: &mut Report<'_>) {
        report.require(is_name(&self.name), "name", "expected letters, digits, - . or _");
        report.require(is_name(&self.zone), "zone", "expected letters, digits, - . or _");
        report.require(is_address(&self.listen), "listen", "expected IP:port");
        let advertise = self.advertise.is_empty() || is_address(&self.advertise);
        report.require(advertise, "advertise", "expected IP:port");
        let deadline = self.default_deadline_ms > 0;
        report.require(deadline, "default_deadline_ms", "expected at least 1");
        let longest = self.max_deadline_ms >= self.default_deadline_ms;
        report.require(longest, "max_deadline_ms", "expected at least default_deadline_ms");
        report.nested("log", &self.log);
        report.nested("http", &self.http);
        report.nested("store", &self.store);
        report.nested("membership", &self.membership);
        report.nested("route", &self.route);
        report.nested("ledger", &self.ledger);
        report.nested("drain", &self.drain);
        report.nested("endpoints", &self.endpoints);
        report.nested("hosts", &self.hosts);
        report.nested("peers", &self.peers);
    }
}

/// Settings of the ownership of endpoints and of the connections to them.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EndpointsConfig {
    /// Whether a connection to an endpoint is reused for further requests. With reuse, a duplicate
    /// answer of an endpoint can be mistaken for the answer to the next request.
    pub reuse_connections: bool,
    /// Time since the last answer within which an open connection to an endpoint or peer is reused,
    /// in milliseconds.
    pub fresh_ms: u64,
    /// Idle connections kept to one endpoint; no effect without `reuse_connections`.
    pub max_idle: usize,
    /// Time for which the list of members has to be unchanged before endpoints are acquired, in
    /// milliseconds.
    pub settle_ms: u64,
    /// Slots of an endpoint that are held back after its owner was lost without a handover, since
    /// requests of that owner may still run there.
    pub guard_slots: u32,
    /// Time after the loss of an owner for which `guard_slots` are held back, in milliseconds.
    pub guard_ms: u64,
    /// Time for which a newly acquired endpoint that does not report its busy slots gets no
    /// requests, in milliseconds; after that, none are assumed busy.
    pub unread_hold_ms: u64,
    /// Time between readings of an endpoint's busy slots, in milliseconds, at least 1.
    pub read_every_ms: u64,
    /// Longest wait for the answer to a health probe of an endpoint, in milliseconds, at least 1.
    pub probe_timeout_ms: u64,
    /// Time without an answer to a request after which the endpoint is asked whether it still runs
    /// the request, in milliseconds, at least 1.
    pub progress_ms: u64,
}

impl Default for EndpointsConfig {
    fn default() -> Self {
        Self {
            reuse_connections: false,
            fresh_ms: 1_000,
            max_idle: 8,
            settle_ms: 300,
            guard_slots: 1,
            guard_ms: 10_000,
            unread_hold_ms: 5_000,
            read_every_ms: 100,
            probe_timeout_ms: 500,
            progress_ms: 500,
        }
    }
}

impl Validate for EndpointsConfig {
    fn validate(&self, report: &mut Report<'_>) {
        report.require(self.read_every_ms > 0, "read_every_ms", "expected at least 1");
        report.require(self.probe_timeout_ms > 0, "probe_timeout_ms", "expected at least 1");
        report.require(self.progress_ms > 0, "progress_ms", "expected at least 1");
    }
}

/// Settings of the platform's list of live and leaving hosts.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostsConfig {
    /// Address that serves the list, `IP:port`; empty if the platform has none.
    pub address: String,
    /// Time between readings of the list, in milliseconds, at least 1.
    pub every_ms: u64,
    /// Longest wait for the list, in milliseconds, at least 1.
    pub timeout_ms: u64,
}

impl Default for HostsConfig {
    fn default() -> Self {
        Self { address: String::new(), every_ms: 500, timeout_ms: 1_000 }
    }
}

impl Validate for HostsConfig {
    fn validate(&self, report: &mut Report<'_>) {
        let address = self.address.is_empty() || is_address(&self.address);
        report.require(address, "address", "expected IP:port");
        report.require(self.every_ms > 0, "every_ms", "expected at least 1");
        report.require(self.timeout_ms > 0, "timeout_ms", "expected at least 1");
    }
}

/// Settings of the calls between entry hosts.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeersConfig {
    /// Time between heartbeats to a peer, in milliseconds, at least 1.
    pub heartbeat_every_ms: u64,
    /// Age at which the last heartbeat of a peer is ignored, in milliseconds, more than twice
    /// `heartbeat_every_ms`.
    pub heartbeat_age_ms: u64,
    /// Longest wait for the answer to a heartbeat or to a request to release endpoints, in
    /// milliseconds, at least 1.
    pub call_timeout_ms: u64,
    /// Expected one-way network latency to another host of the zone, in milliseconds, 0 or more.
    pub peer_trip_ms: f64,
    /// Expected one-way network latency to a host of another zone, in milliseconds, 0 or more.
    pub zone_trip_ms: f64,
}

impl Default for PeersConfig {
    fn default() -> Self {
        Self {
            heartbeat_every_ms: 250,
            heartbeat_age_ms: 1_500,
            call_timeout_ms: 1_000,
            peer_trip_ms: 0.1,
            zone_trip_ms: 1.5,
        }
    }
}

impl Validate for PeersConfig {
    fn validate(&self, report: &mut Report<'_>) {
        report.require(self.heartbeat_every_ms > 0, "heartbeat_every_ms", "expected at least 1");
        let age = self.heartbeat_age_ms > self.heartbeat_every_ms * 2;
        report.require(age, "heartbeat_age_ms", "expected more than twice heartbeat_every_ms");
        report.require(self.call_timeout_ms > 0, "call_timeout_ms", "expected at least 1");
        let trips = self.peer_trip_ms >= 0.0 && self.zone_trip_ms >= 0.0;
        report.require(trips, "zone_trip_ms", "expected 0 or more, also for peer_trip_ms");
    }
}

fn is_name(name: &str) -> bool {
    let plain = |letter: char| letter.is_ascii_alphanumeric() || "-._".contains(letter);
    !name.is_empty() && name.chars().all(plain)
}

fn is_address(address: &str) -> bool {
    address.parse::<std::net::SocketAddr>().is_ok()
}
