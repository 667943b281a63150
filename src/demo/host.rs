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
use crate::standin::proxy::{Fault, Kind, ProxyStandin};

/// Address on which everything listens; the port is a free one.
pub const LOOPBACK: &str = "127.0.0.1:0";

/// Token that the daemons of a demo share.
const TOKEN: &str = "demo";

/// Time between looks at whether a daemon is ready, in milliseconds.
const LOOK_EVERY_MS: u64 = 50;

/// Longest wait for a look, in milliseconds.
const LOOK_TIMEOUT_MS: u64 = 1_000;

/// Where a host stands and what it can reach.
#[derive(Clone, Debug)]
pub struct HostPlan {
    /// Name of the host.
    pub name: String,
    /// Zone of the host.
    pub zone: String,
    /// Address of the platform's store.
    pub store_address: String,
    /// Distance of other entry hosts one way, in milliseconds.
    pub zone_trip_ms: f64,
}

/// A running entry host.
#[derive(Clone, Debug)]
pub struct Host {
    /// Name of the host.
    pub name: String,
    /// Zone of the host.
    pub zone: String,
    /// Its entry daemon.
    pub entry: Entry,
    /// Its placer daemon.
    pub placer: PlacerDaemon,
    /// Stands between other entry hosts and this one.
    peer_link: ProxyStandin,
    /// Stands between this host and the store.
    store_link: ProxyStandin,
    zone_trip_ms: f64,
}

impl Host {
    /// Starts the daemons of a host; they are not ready yet.
    ///
    /// # Errors
    /// An address cannot be bound.
    pub async fn start(plan: HostPlan) -> eyre::Result<Self> {
        let peer_link = ProxyStandin::start(LOOPBACK, LOOPBACK).await?;
        let store_link = ProxyStandin::start(LOOPBACK, plan.store_address).await?;
        let store = StoreConfig { address: store_link.address(), ..StoreConfig::default() };
        let entry = Entry::start(EntryConfig {
            name: format!("entry-{}", plan.name),
            zone: plan.zone.clone(),
            listen: LOOPBACK.to_owned(),
            advertise: peer_link.address(),
            token: TOKEN.to_owned(),
            store: store.clone(),
            ..EntryConfig::default()
        })
        .await?;
        peer_link.set_target(entry.address().to_string());
        let placer = PlacerDaemon::start(PlacerConfig {
            name: format!("placer-{}", plan.name),
            zone: plan.zone.clone(),
            address: LOOPBACK.to_owned(),
            token: TOKEN.to_owned(),
            store,
            ..PlacerConfig::default()
        })
        .await?;
        let host = Self {
            name: plan.name,
            zone: plan.zone,
            entry,
            placer,
            peer_link,
            store_link,
            zone_trip_ms: plan.zone_trip_ms,
        };
        host.heal();
        Ok(host)
    }

    /// Address at which callers reach the entry daemon.
    pub fn entry_address(&self) -> String {
        self.entry.address().to_string()
    }

    /// Address at which the placer daemon takes jobs.
    pub fn placer_address(&self) -> String {
        self.placer.address().to_string()
    }

    /// Cuts the host off from the store and from the other entry hosts.
    pub fn cut_off(&self) {
        self.store_link.set_fault(Fault::new(Kind::Cut));
        self.peer_link.set_fault(Fault::new(Kind::Cut));
    }

    /// Cuts the host off from the store alone.
    pub fn cut_store(&self) {
        self.store_link.set_fault(Fault::new(Kind::Cut));
    }

    /// Lets no byte pass between the host and the store or other entry hosts; nothing is closed.
    pub fn silence(&self) {
        self.store_link.set_fault(Fault::new(Kind::Drop));
        self.peer_link.set_fault(Fault::new(Kind::Drop));
    }

    /// Loses every answer that this host gives to other entry hosts.
    pub fn lose_peer_answers(&self) {
        self.peer_link.set_fault(Fault::new(Kind::LostAnswer));
    }

    /// Ends the faults of this host's links.
    pub fn heal(&self) {
        const US_PER_MS: f64 = 1_000.0;
        let trip_us = (self.zone_trip_ms * US_PER_MS) as u64;
        self.store_link.set_fault(Fault::default());
        self.peer_link.set_fault(Fault::new(Kind::Delay).with_delay_us(trip_us));
    }

    /// Waits until both daemons are ready; tells whether they were in time.
    pub async fn wait_ready(&self, limit_ms: u64) -> bool {
        let pool = Pool::new(HttpConfig::default());
        let ends_at_ms = clock::now_ms() + limit_ms;
        for address in [self.entry_address(), self.placer_address()] {
            while !is_ready(&pool, &address).await {
                if clock::now_ms() >= ends_at_ms {
                    return false;
                }
                task::sleep(Duration::from_millis(LOOK_EVERY_MS)).await;
            }
        }
        true
    }

    /// Shuts both daemons down in order.
    pub async fn drain(&self) {
        let placer = self.placer.clone();
        let placer = task::spawn(async move { placer.drain().await });
        self.entry.drain().await;
        placer.await;
    }
}

/// Whether the daemon at `address` says that it is ready.
pub async fn is_ready(pool: &Pool, address: &str) -> bool {
    const OK: u16 = 200;
    let Ok(request) = client::request(Method::Get, address, "/readyz") else { return false };
    let reply = pool.send(address, request, LOOK_TIMEOUT_MS).await;
    reply.is_ok_and(|reply| reply.status == OK)
}
