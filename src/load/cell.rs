//! A small cell inside the process of the load tool: store, endpoints and entry hosts.

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

/// Longest wait for the cell to be ready, in milliseconds.
const READY_WITHIN_MS: u64 = 30_000;

/// Time for heartbeats to carry the load of every host to its peers, in milliseconds.
const HEARTBEATS_MS: u64 = 600;

/// What a cell consists of.
#[derive(Clone, Debug)]
pub(super) struct CellPlan {
    /// Entry hosts.
    pub(super) entries: usize,
    /// Endpoints.
    pub(super) runners: usize,
    /// Slots of each endpoint.
    pub(super) slots: u32,
    /// Dispatch.
    pub(super) route: RouteConfig,
}

/// A running cell.
#[derive(Debug)]
pub(super) struct Cell {
    /// The endpoints.
    pub(super) runners: Vec<RunnerStandin>,
    entries: Vec<Entry>,
    _store: StoreStandin,
}

impl Cell {
    /// Starts a cell and waits until every endpoint has an owner.
    pub(super) async fn start(plan: &CellPlan) -> eyre::Result<Self> {
        let store = StoreStandin::start("127.0.0.1:0").await.wrap_err("store stand-in")?;
        let mut runners = Vec::new();
        for number in 0..plan.runners {
            let name = format!("runner-{number}");
            let config = RunnerConfig { name, slots: plan.slots, ..RunnerConfig::default() };
            runners.push(RunnerStandin::start(config).await.wrap_err("runner stand-in")?);
        }
        let store_config = StoreConfig { address: store.address(), ..StoreConfig::default() };
        let client = HttpStore::new(store_config.clone(), Pool::new(HttpConfig::default()));
        feed::publish(&client, &declarations(&runners, plan.slots)).await?;
        let mut entries = Vec::new();
        for number in 0..plan.entries {
            let mut config = EntryConfig {
                name: format!("entry-{number}"),
                zone: ZONE.to_owned(),
                store: store_config.clone(),
                route: plan.route.clone(),
                ..EntryConfig::default()
            };
            config.drain.balancer_delay_ms = 0;
            entries.push(Entry::start(config).await?);
        }
        let cell = Self { runners, entries, _store: store };
        cell.wait_ready().await?;
        Ok(cell)
    }

    /// Addresses of the entry hosts.
    pub(super) fn targets(&self) -> Vec<String> {
        self.entries.iter().map(|entry| entry.address().to_string()).collect()
    }

    /// Ends the cell.
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
        let gives_up_ms = clock::now_ms() + READY_WITHIN_MS;
        while self.owned().await < self.runners.len() as u64 {
            eyre::ensure!(clock::now_ms() < gives_up_ms, "the cell was not ready in time");
            task::sleep(Duration::from_millis(POLL_MS)).await;
        }
        task::sleep(Duration::from_millis(HEARTBEATS_MS)).await;
        Ok(())
    }

    /// Endpoints that the entry hosts own in all.
    async fn owned(&self) -> u64 {
        let mut owned = 0;
        for target in self.targets() {
            owned += owned_by(&target).await.unwrap_or(0);
        }
        owned
    }
}

async fn owned_by(address: &str) -> Option<u64> {
    const LIMIT_BYTES: u64 = 1024 * 1024;
    const TIMEOUT_MS: u64 = 1_000;
    let stream = client::open(address, TIMEOUT_MS).await.ok()?;
    let request = client::request(Method::Get, address, "/metrics").ok()?;
    let reply = client::exchange(stream, request, LIMIT_BYTES).await.ok()?;
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    let line = text.lines().find(|line| line.starts_with("hemlock_endpoints_owned "))?;
    line.rsplit(' ').next()?.parse().ok()
}

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
