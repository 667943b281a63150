//! A whole cell in one process: the stand-ins, the entry daemons and the placer daemons.

use std::time::Duration;

use async_std::task;
use eyre::WrapErr as _;
use http_types::Method;

use crate::clock;
use crate::configs::demo::{DemoConfig, RunnersConfig, WorkersConfig};
use crate::configs::entry::EntryConfig;
use crate::configs::http::HttpConfig;
use crate::configs::placer::PlacerConfig;
use crate::configs::store::StoreConfig;
use crate::declarations::{self, feed};
use crate::demo::oracle::RunnerTruth;
use crate::entry::Entry;
use crate::http::client::{self, Pool};
use crate::place::spec::Resources;
use crate::placer::PlacerDaemon;
use crate::standin::proxy::{Fault, Kind, ProxyStandin};
use crate::standin::runner::{RunnerConfig, RunnerStandin};
use crate::standin::store::StoreStandin;
use crate::standin::worker::agent::Truth;
use crate::standin::worker::{HostedWorker, WorkerConfig, WorkerStandin};
use crate::store::client::HttpStore;

/// Address on which everything listens; the port is a free one.
const LOOPBACK: &str = "127.0.0.1:0";

/// Token that the daemons of a demo share.
const TOKEN: &str = "demo";

/// Longest wait for the daemons to become ready, in milliseconds.
const READY_LIMIT_MS: u64 = 8_000;

/// Time between looks at whether the daemons are ready, in milliseconds.
const LOOK_EVERY_MS: u64 = 50;

/// Longest wait for a look, in milliseconds.
const LOOK_TIMEOUT_MS: u64 = 1_000;

/// A running cell.
#[derive(Debug)]
pub struct Cell {
    /// The platform's store.
    pub store: StoreStandin,
    /// The runners, in the order of their numbers.
    pub runners: Vec<RunnerStandin>,
    /// All workers.
    pub workers: WorkerStandin,
    /// The entry daemons; their zones go round.
    pub entries: Vec<Entry>,
    /// The placer daemons; their zones go round.
    pub placers: Vec<PlacerDaemon>,
    /// Stands between the entry daemons, with the distance of zones.
    pub links: Vec<ProxyStandin>,
    runners_config: RunnersConfig,
}

impl Cell {
    /// Starts everything and waits until it is ready.
    ///
    /// # Errors
    /// An address cannot be bound, or the daemons do not become ready in time.
    pub async fn start(config: &DemoConfig) -> eyre::Result<Self> {
        let store = StoreStandin::start(LOOPBACK).await.wrap_err("store stand-in")?;
        let runners = start_runners(&config.runners).await?;
        let workers = start_workers(&config.workers).await?;
        let mut cell = Self {
            store,
            runners,
            workers,
            entries: Vec::new(),
            placers: Vec::new(),
            links: Vec::new(),
            runners_config: config.runners.clone(),
        };
        cell.publish(config).await?;
        for number in 0..config.entry_hosts as usize {
            cell.start_host(config, number).await?;
        }
        cell.wait_ready().await?;
        Ok(cell)
    }

    /// Addresses of the entry daemons for callers.
    pub fn entry_addresses(&self) -> Vec<String> {
        self.entries.iter().map(|entry| entry.address().to_string()).collect()
    }

    /// Address of a placer daemon that takes jobs.
    pub fn job_address(&self) -> String {
        self.placers.first().map(|placer| placer.address().to_string()).unwrap_or_default()
    }

    /// What the runners recorded.
    pub fn runner_truths(&self) -> Vec<RunnerTruth> {
        let runners = self.runners.iter().enumerate();
        let truths = runners.map(|(number, runner)| RunnerTruth {
            name: runner_name(number),
            slots: self.runners_config.slots,
            connections: self.runners_config.connections,
            records: runner.records(),
        });
        truths.collect()
    }

    /// What the workers recorded.
    pub fn worker_truths(&self) -> Vec<(String, Truth)> {
        self.workers.records()
    }

    /// Shuts all daemons down, the placer daemons first.
    pub async fn drain(&self) {
        let placers = self.placers.iter().cloned();
        let placers: Vec<_> =
            placers.map(|placer| task::spawn(async move { placer.drain().await })).collect();
        for placer in placers {
            placer.await;
        }
        let entries = self.entries.iter().cloned();
        let entries: Vec<_> =
            entries.map(|entry| task::spawn(async move { entry.drain().await })).collect();
        for entry in entries {
            entry.await;
        }
    }

    async fn publish(&self, config: &DemoConfig) -> eyre::Result<()> {
        let declarations = self.declarations(config);
        let store_config = StoreConfig { address: self.store.address(), ..StoreConfig::default() };
        let store = HttpStore::new(store_config, Pool::new(HttpConfig::default()));
        feed::publish(&store, &declarations).await.wrap_err("declarations")?;
        Ok(())
    }

    fn declarations(&self, config: &DemoConfig) -> declarations::Declarations {
        let runners = &config.runners;
        declarations::Declarations {
            zones: config
                .zones
                .iter()
                .map(|name| declarations::ZoneDeclaration {
                    name: name.clone(),
                    region: config.region.clone(),
                })
                .collect(),
            workers: (0..config.workers.count as usize)
                .map(|number| self.worker(config, number))
                .collect(),
            services: vec![declarations::ServiceDeclaration {
                name: runners.service.clone(),
                expected_ms: runners.expected_ms,
                long_ms: runners.long_ms,
                endpoints: (0..self.runners.len())
                    .map(|number| self.endpoint(config, number))
                    .collect(),
            }],
            teams: teams(config),
            rules: Vec::new(),
        }
    }

    fn endpoint(&self, config: &DemoConfig, number: usize) -> declarations::EndpointDeclaration {
        declarations::EndpointDeclaration {
            name: runner_name(number),
            zone: zone_of(config, number).to_owned(),
            address: self.runners[number].address(),
            slots: config.runners.slots,
            connections: config.runners.connections,
        }
    }

    fn worker(&self, config: &DemoConfig, number: usize) -> declarations::WorkerDeclaration {
        let zone = zone_of(config, number);
        let in_zone = number / config.zones.len();
        let rack = in_zone / config.workers.per_rack as usize;
        let means = means(&config.workers, number);
        declarations::WorkerDeclaration {
            name: worker_name(number),
            zone: zone.to_owned(),
            rack: format!("{zone}-rack-{rack}"),
            address: self.workers.address(),
            cpu_millis: means.cpu_millis,
            memory_bytes: means.memory_bytes,
            accelerators: means.accelerators,
            ..declarations::WorkerDeclaration::default()
        }
    }

    /// Starts the entry daemon and the placer daemon of one entry host.
    async fn start_host(&mut self, config: &DemoConfig, number: usize) -> eyre::Result<()> {
        const US_PER_MS: f64 = 1_000.0;
        let zone = zone_of(config, number);
        let store = StoreConfig { address: self.store.address(), ..StoreConfig::default() };
        let link = ProxyStandin::start(LOOPBACK, LOOPBACK).await?;
        let trip_us = (config.zone_trip_ms * US_PER_MS) as u64;
        link.set_fault(Fault::new(Kind::Delay).with_delay_us(trip_us));
        let entry = Entry::start(EntryConfig {
            name: format!("entry-{number}"),
            zone: zone.to_owned(),
            listen: LOOPBACK.to_owned(),
            advertise: link.address(),
            token: TOKEN.to_owned(),
            store: store.clone(),
            ..EntryConfig::default()
        })
        .await?;
        link.set_target(entry.address().to_string());
        let placer = PlacerDaemon::start(PlacerConfig {
            name: format!("placer-{number}"),
            zone: zone.to_owned(),
            address: LOOPBACK.to_owned(),
            token: TOKEN.to_owned(),
            store,
            ..PlacerConfig::default()
        })
        .await?;
        self.links.push(link);
        self.entries.push(entry);
        self.placers.push(placer);
        Ok(())
    }

    async fn wait_ready(&self) -> eyre::Result<()> {
        let pool = Pool::new(HttpConfig::default());
        let mut waiting = self.entry_addresses();
        waiting.extend(self.placers.iter().map(|placer| placer.address().to_string()));
        let ends_at_ms = clock::now_ms() + READY_LIMIT_MS;
        while let Some(address) = waiting.last() {
            if is_ready(&pool, address).await {
                waiting.pop();
                continue;
            }
            eyre::ensure!(clock::now_ms() < ends_at_ms, "{address} did not become ready");
            task::sleep(Duration::from_millis(LOOK_EVERY_MS)).await;
        }
        Ok(())
    }
}

async fn is_ready(pool: &Pool, address: &str) -> bool {
    const OK: u16 = 200;
    let Ok(request) = client::request(Method::Get, address, "/readyz") else { return false };
    let reply = pool.send(address, request, LOOK_TIMEOUT_MS).await;
    reply.is_ok_and(|reply| reply.status == OK)
}

async fn start_runners(config: &RunnersConfig) -> eyre::Result<Vec<RunnerStandin>> {
    let mut runners = Vec::new();
    for number in 0..config.count as usize {
        let config = RunnerConfig {
            name: runner_name(number),
            slots: config.slots,
            ..RunnerConfig::default()
        };
        runners.push(RunnerStandin::start(config).await.wrap_err("runner stand-in")?);
    }
    Ok(runners)
}

async fn start_workers(config: &WorkersConfig) -> eyre::Result<WorkerStandin> {
    let workers = (0..config.count as usize)
        .map(|number| HostedWorker::new(worker_name(number), means(config, number)))
        .collect();
    let config = WorkerConfig { workers, ..WorkerConfig::default() };
    WorkerStandin::start(config).await.wrap_err("worker stand-in")
}

fn means(config: &WorkersConfig, number: usize) -> Resources {
    let every = config.accelerators_every as usize;
    let has_accelerators = every > 0 && number % every == 0;
    let accelerators = if has_accelerators { config.accelerators } else { 0 };
    Resources::new(config.cpu_millis, config.memory_bytes, accelerators)
}

/// Every team that a job names, with a quota as large as the cell.
fn teams(config: &DemoConfig) -> Vec<declarations::TeamDeclaration> {
    let mut names: Vec<&str> = config.jobs.iter().map(|job| job.team.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    let count = u64::from(config.workers.count);
    let team = |name: &str| declarations::TeamDeclaration {
        name: name.to_owned(),
        cpu_millis: config.workers.cpu_millis * count,
        memory_bytes: config.workers.memory_bytes * count,
        accelerators: config.workers.accelerators * config.workers.count,
    };
    names.into_iter().map(team).collect()
}

fn zone_of(config: &DemoConfig, number: usize) -> &str {
    &config.zones[number % config.zones.len()]
}

fn runner_name(number: usize) -> String {
    format!("runner-{number:02}")
}

fn worker_name(number: usize) -> String {
    format!("worker-{number:02}")
}
