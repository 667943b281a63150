//! One entry host of a demo: an entry daemon and a placer daemon behind fault proxies.

use std::time::Duration;

use async_std::task;
use http_types::Method;

use crate::clock;
use crate::configs::entry::EntryConfig;
use crate::configs::http::HttpConfig;
use crate::configs::placer::PlacerConfig;
use crate::configs::store::StoreConfig;
use crate::entry::Entry;
use crate::http::client::{self, Pool};
use crate::placer::PlacerDaemon;
use crate::standin::proxy::{Fault, FaultKind, ProxyStandin};

/// Listen address of all servers in a demo; port 0 picks a free port.
pub const LOOPBACK: &str = "127.0.0.1:0";

/// Authentication token shared by the daemons of a demo.
const TOKEN: &str = "demo";

/// Interval between readiness probes, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 50;

/// Timeout of a readiness probe, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 1_000;

/// Settings of an entry host in a demo.
#[derive(Clone, Debug)]
pub struct HostConfig {
    /// Name of the host; its daemons are `entry-` and `placer-` with this name.
    pub name: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address of the store stand-in.
    pub store_address: String,
    /// One-way network delay to this host from other entry hosts, in milliseconds.
    pub zone_trip_ms: f64,
}

/// A running entry host.
#[derive(Clone, Debug)]
pub struct Host {
    /// Name of the host, without the prefix of its daemons.
    pub name: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Its entry daemon.
    pub entry: Entry,
    /// Its placer daemon.
    pub placer: PlacerDaemon,
    /// Proxy between other entry hosts and this one.
    peer_proxy: ProxyStandin,
    /// Proxy between this host's daemons and the store.
    store_proxy: ProxyStandin,
    zone_trip_ms: f64,
}

impl Host {
    /// Starts both daemons of a host without waiting until they are ready.
    ///
    /// # Errors
    /// An address cannot be bound.
    pub async fn start(config: HostConfig) -> eyre::Result<Self> {
        let peer_proxy = ProxyStandin::start(LOOPBACK, LOOPBACK).await?;
        let store_proxy = ProxyStandin::start(LOOPBACK, config.store_address).await?;
        let store = StoreConfig { address: store_proxy.address(), ..StoreConfig::default() };
        let entry = Entry::start(EntryConfig {
            name: format!("entry-{}", config.name),
            zone: config.zone.clone(),
            listen: LOOPBACK.to_owned(),
            advertise: peer_proxy.address(),
            token: TOKEN.to_owned(),
            store: store.clone(),
            ..EntryConfig::default()
        })
        .await?;
        peer_proxy.set_target(entry.address().to_string());
        let placer = PlacerDaemon::start(PlacerConfig {
            name: format!("placer-{}", config.name),
            zone: config.zone.clone(),
            address: LOOPBACK.to_owned(),
            token: TOKEN.to_owned(),
            store,
            ..PlacerConfig::default()
        })
        .await?;
        let host = Self {
            name: config.name,
            zone: config.zone,
            entry,
            placer,
            peer_proxy,
            store_proxy,
            zone_trip_ms: config.zone_trip_ms,
        };
        host.clear_faults();
        Ok(host)
    }

    /// Address of the entry daemon's request API, without a proxy before it.
    pub fn entry_address(&self) -> String {
        self.entry.address().to_string()
    }

    /// Address of the placer daemon's job API.
    pub fn placer_address(&self) -> String {
        self.placer.address().to_string()
    }

    /// Closes all connections to the store and from other entry hosts, and refuses new ones.
    pub fn isolate(&self) {
        self.store_proxy.set_fault(Fault::new(FaultKind::Cut));
        self.peer_proxy.set_fault(Fault::new(FaultKind::Cut));
    }

    /// Closes all connections to the store and refuses new ones.
    pub fn disconnect_store(&self) {
        self.store_proxy.set_fault(Fault::new(FaultKind::Cut));
    }

    /// Drops all bytes to and from the store and other entry hosts; connections stay open.
    pub fn drop_traffic(&self) {
        self.store_proxy.set_fault(Fault::new(FaultKind::Drop));
        self.peer_proxy.set_fault(Fault::new(FaultKind::Drop));
    }

    /// Closes connections from other entry hosts whenever this host answers, so that the answers
    /// are lost.
    pub fn lose_peer_answers(&self) {
        self.peer_proxy.set_fault(Fault::new(FaultKind::LostAnswer));
    }

    /// Removes the faults of this host's proxies, except for the usual network delay.
    pub fn clear_faults(&self) {
        const US_PER_MS: f64 = 1_000.0;
        let trip_us = (self.zone_trip_ms * US_PER_MS) as u64;
        self.store_proxy.set_fault(Fault::default());
        self.peer_proxy.set_fault(Fault::new(FaultKind::Delay).with_delay_us(trip_us));
    }

    /// Waits until both daemons are ready; false if they are not within `limit_ms`.
    pub async fn wait_ready(&self, limit_ms: u64) -> bool {
        let pool = Pool::new(HttpConfig::default());
        let ends_at_ms = clock::now_ms() + limit_ms;
        for address in [self.entry_address(), self.placer_address()] {
            while !is_ready(&pool, &address).await {
                if clock::now_ms() >= ends_at_ms {
                    return false;
                }
                task::sleep(Duration::from_millis(PROBE_INTERVAL_MS)).await;
            }
        }
        true
    }

    /// Drains both daemons at the same time and waits until they have stopped.
    pub async fn drain(&self) {
        let placer = self.placer.clone();
        let placer = task::spawn(async move { placer.drain().await });
        self.entry.drain().await;
        placer.await;
    }
}

/// Whether the daemon at `address` answers `/readyz` with 200.
pub async fn is_ready(pool: &Pool, address: &str) -> bool {
    const OK: u16 = 200;
    let Ok(request) = client::request(Method::Get, address, "/readyz") else { return false };
    let reply = pool.send(address, request, PROBE_TIMEOUT_MS).await;
    reply.is_ok_and(|reply| reply.status == OK)
}
