//! A small cell inside the process of the load tool: real entry hosts with a fake store and fake
//! endpoints.

use std::time::Duration;

use async_std::task;
use eyre::WrapErr as _;
use http_types::Method;

use crate::clock;
use crate::configs::entry::EntryConfig;
use crate::configs::http::HttpConfig;
use crate::configs::route::RouteConfig;
use crate::configs::store::StoreConfig;
use crate::declarations::feed;
use crate::declarations::{Declarations, EndpointDeclaration, ServiceDeclaration, ZoneDeclaration};
use crate::entry::Entry;
use crate::http::client::{self, Pool};
use crate::standin::runner::{RunnerConfig, RunnerStandin};
use crate::standin::store::StoreStandin;
use crate::store::client::HttpStore;

/// Service that the endpoints of the cell serve.
pub(super) const SERVICE: &str = "orders";

/// Zone of the cell.
const ZONE: &str = "zone-1";

/// Longest wait until all endpoints have an owner, in milliseconds.
const READY_TIMEOUT_MS: u64 = 30_000;

/// Pause in which heartbeats carry the load of each entry host to its peers, in milliseconds.
const HEARTBEAT_SETTLE_MS: u64 = 600;

/// Size and settings of a cell.
#[derive(Clone, Debug)]
pub(super) struct CellConfig {
    /// Number of entry hosts.
    pub(super) entries: usize,
    /// Number of endpoints.
    pub(super) runners: usize,
    /// Slots of each endpoint: requests that it runs at the same time.
    pub(super) slots: u32,
    /// Dispatch settings of the entry hosts.
    pub(super) route: RouteConfig,
}

/// A running cell with one service, [`SERVICE`], in one zone.
#[derive(Debug)]
pub(super) struct Cell {
    /// The fake endpoints; their records show what really ran.
    pub(super) runners: Vec<RunnerStandin>,
    entries: Vec<Entry>,
    _store: StoreStandin,
}

impl Cell {
    /// Starts a cell and waits until every endpoint is owned by an entry host.
    pub(super) async fn start(config: &CellConfig) -> eyre::Result<Self> {
        let store =
            StoreStandin::start("127.0.0.1:0").await.wrap_err("cannot start the store stand-in")?;
        let mut runners = Vec::new();
        for number in 0..config.runners {
            let name = format!("runner-{number}");
            let runner_config =
                RunnerConfig { name, slots: config.slots, ..RunnerConfig::default() };
            runners.push(
                RunnerStandin::start(runner_config)
                    .await
                    .wrap_err("cannot start a runner stand-in")?,
            );
        }
        let store_config = StoreConfig { address: store.address(), ..StoreConfig::default() };
        let client = HttpStore::new(store_config.clone(), Pool::new(HttpConfig::default()));
        feed::publish(&client, &declarations(&runners, config.slots)).await?;
        let mut entries = Vec::new();
        for number in 0..config.entries {
            let mut entry_config = EntryConfig {
                name: format!("entry-{number}"),
                zone: ZONE.to_owned(),
                store: store_config.clone(),
                route: config.route.clone(),
                ..EntryConfig::default()
            };
            entry_config.drain.balancer_delay_ms = 0;
            entries.push(Entry::start(entry_config).await?);
        }
        let cell = Self { runners, entries, _store: store };
        cell.wait_ready().await?;
        Ok(cell)
    }

    /// Addresses of the entry hosts.
    pub(super) fn targets(&self) -> Vec<String> {
        self.entries.iter().map(|entry| entry.address().to_string()).collect()
    }

    /// Drains the entry hosts and stops the endpoints.
    pub(super) async fn stop(self) {
        for entry in self.entries {
            entry.drain().await;
        }
        for runner in self.runners {
            runner.stop().await;
        }
    }

    async fn wait_ready(&self) -> eyre::Result<()> {
        const POLL_MS: u64 = 50;
        let deadline_ms = clock::now_ms() + READY_TIMEOUT_MS;
        while self.owned_endpoints().await < self.runners.len() as u64 {
            eyre::ensure!(
                clock::now_ms() < deadline_ms,
                "not all endpoints had an owner after {READY_TIMEOUT_MS} ms"
            );
            task::sleep(Duration::from_millis(POLL_MS)).await;
        }
        task::sleep(Duration::from_millis(HEARTBEAT_SETTLE_MS)).await;
        Ok(())
    }

    /// Number of endpoints that the entry hosts own together; one that does not answer counts as 0.
    async fn owned_endpoints(&self) -> u64 {
        let mut owned = 0;
        for target in self.targets() {
            owned += endpoints_owned_by(&target).await.unwrap_or(0);
        }
        owned
    }
}

/// Reads the number of endpoints that an entry host owns from its metrics.
async fn endpoints_owned_by(address: &str) -> Option<u64> {
    const LIMIT_BYTES: u64 = 1024 * 1024;
    const TIMEOUT_MS: u64 = 1_000;
    let stream = client::connect(address, TIMEOUT_MS).await.ok()?;
    let request = client::request(Method::Get, address, "/metrics").ok()?;
    let reply = client::exchange(stream, request, LIMIT_BYTES).await.ok()?;
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    let line = text.lines().find(|line| line.starts_with("hemlock_endpoints_owned "))?;
    line.rsplit(' ').next()?.parse().ok()
}

/// Declares the zone, the service and its endpoints.
fn declarations(runners: &[RunnerStandin], slots: u32) -> Declarations {
    const CONNECTIONS: u32 = 64;
    let endpoints = runners.iter().enumerate().map(|(number, runner)| EndpointDeclaration {
        name: format!("runner-{number}"),
        zone: ZONE.to_owned(),
        address: runner.address(),
        slots,
        connections: CONNECTIONS,
    });
    let service = ServiceDeclaration {
        name: SERVICE.to_owned(),
        endpoints: endpoints.collect(),
        ..ServiceDeclaration::default()
    };
    let zone = ZoneDeclaration { name: ZONE.to_owned(), region: "region-1".to_owned() };
    Declarations { zones: vec![zone], services: vec![service], ..Declarations::default() }
}
