//! A whole cell in one process: the stand-ins, the entry daemons and the placer daemons.

use async_std::task;
use eyre::WrapErr as _;

use crate::configs::demo::{DemoConfig, RunnersConfig, WorkersConfig};
use crate::configs::http::HttpConfig;
use crate::configs::store::StoreConfig;
use crate::declarations::{self, feed};
use crate::demo::host::{Host, HostPlan, LOOPBACK};
use crate::demo::oracle::RunnerTruth;
use crate::http::client::Pool;
use crate::place::spec::Resources;
use crate::standin::proxy::ProxyStandin;
use crate::standin::runner::{RunnerConfig, RunnerStandin};
use crate::standin::store::StoreStandin;
use crate::standin::worker::agent::Truth;
use crate::standin::worker::{HostedWorker, WorkerConfig, WorkerStandin};
use crate::store::client::HttpStore;

/// Longest wait for the daemons to become ready, in milliseconds.
const READY_LIMIT_MS: u64 = 8_000;

/// A place for an entry host behind the balancer; hosts come and go in it.
#[derive(Debug)]
pub struct Slot {
    /// Stands between the callers and the host, as the balancer does.
    pub caller_link: ProxyStandin,
    /// The host that is there now.
    pub host: Host,
    /// How many hosts have been there.
    generation: u32,
}

/// A running cell.
#[derive(Debug)]
pub struct Cell {
    /// The platform's store.
    pub store: StoreStandin,
    /// Stand between entry hosts and runners, in the order of the runners.
    pub runner_links: Vec<ProxyStandin>,
    /// All workers.
    pub workers: WorkerStandin,
    /// Entry hosts; their zones go round.
    pub slots: Vec<Slot>,
    runners: Vec<RunnerStandin>,
    config: DemoConfig,
}

impl Cell {
    /// Starts everything and waits until it is ready.
    ///
    /// # Errors
    /// An address cannot be bound, or the daemons do not become ready in time.
    pub async fn start(config: &DemoConfig) -> eyre::Result<Self> {
        let store = StoreStandin::start(LOOPBACK).await.wrap_err("store stand-in")?;
        let runners = start_runners(&config.runners).await?;
        let mut runner_links = Vec::new();
        for runner in &runners {
            runner_links.push(ProxyStandin::start(LOOPBACK, runner.address()).await?);
        }
        let workers = start_workers(&config.workers).await?;
        let slots = Vec::new();
        let config = config.clone();
        let mut cell = Self { store, runner_links, workers, slots, runners, config };
        feed::publish(&cell.store_client(), &cell.declarations()).await.wrap_err("declarations")?;
        for number in 0..cell.config.entry_hosts as usize {
            let host = cell.start_host(number, 0).await?;
            let caller_link = ProxyStandin::start(LOOPBACK, host.entry_address()).await?;
            cell.slots.push(Slot { caller_link, host, generation: 0 });
        }
        for slot in &cell.slots {
            let is_ready = slot.host.wait_ready(READY_LIMIT_MS).await;
            eyre::ensure!(is_ready, "host {} did not become ready", slot.host.name);
        }
        Ok(cell)
    }

    /// Addresses at which callers reach the entry hosts.
    pub fn caller_addresses(&self) -> Vec<String> {
        self.slots.iter().map(|slot| slot.caller_link.address()).collect()
    }

    /// Address of a placer daemon that takes jobs.
    pub fn job_address(&self) -> String {
        self.slots.first().map(|slot| slot.host.placer_address()).unwrap_or_default()
    }

    /// A client of the platform's store for operators.
    pub fn store_client(&self) -> HttpStore {
        let config = StoreConfig { address: self.store.address(), ..StoreConfig::default() };
        HttpStore::new(config, Pool::new(HttpConfig::default()))
    }

    /// What the runners recorded.
    pub fn runner_truths(&self) -> Vec<RunnerTruth> {
        let runners = self.runners.iter().enumerate();
        let truths = runners.map(|(number, runner)| RunnerTruth {
            name: runner_name(number),
            slots: self.config.runners.slots,
            connections: self.config.runners.connections,
            records: runner.records(),
        });
        truths.collect()
    }

    /// What the workers recorded.
    pub fn worker_truths(&self) -> Vec<(String, Truth)> {
        self.workers.records()
    }

    /// Starts a new host in a slot, sends callers there and shuts the old one down.
    ///
    /// # Errors
    /// An address cannot be bound, or the new host does not become ready in time.
    pub async fn replace(&mut self, number: usize) -> eyre::Result<()> {
        let old = self.replace_lost(number).await?;
        old.drain().await;
        Ok(())
    }

    /// Starts a new host in the slot of one that is lost; returns the lost one.
    ///
    /// # Errors
    /// An address cannot be bound, or the new host does not become ready in time.
    pub async fn replace_lost(&mut self, number: usize) -> eyre::Result<Host> {
        let generation = self.slots[number].generation + 1;
        let host = self.start_host(number, generation).await?;
        let is_ready = host.wait_ready(READY_LIMIT_MS).await;
        eyre::ensure!(is_ready, "host {} did not become ready", host.name);
        let slot = &mut self.slots[number];
        slot.caller_link.set_target(host.entry_address());
        slot.generation = generation;
        Ok(std::mem::replace(&mut slot.host, host))
    }

    /// Shuts all hosts down.
    pub async fn drain(&self) {
        let hosts = self.slots.iter().map(|slot| slot.host.clone());
        let drains: Vec<_> =
            hosts.map(|host| task::spawn(async move { host.drain().await })).collect();
        for drain in drains {
            drain.await;
        }
    }

    async fn start_host(&self, number: usize, generation: u32) -> eyre::Result<Host> {
        Host::start(HostPlan {
            name: format!("{number}-{generation}"),
            zone: zone_of(&self.config, number).to_owned(),
            store_address: self.store.address(),
            zone_trip_ms: self.config.zone_trip_ms,
        })
        .await
    }

    /// The declarations of the cell.
    pub fn declarations(&self) -> declarations::Declarations {
        let config = &self.config;
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
            workers: (0..config.workers.count as usize).map(|number| self.worker(number)).collect(),
            services: vec![declarations::ServiceDeclaration {
                name: runners.service.clone(),
                expected_ms: runners.expected_ms,
                long_ms: runners.long_ms,
                endpoints: (0..self.runners.len()).map(|number| self.endpoint(number)).collect(),
            }],
            teams: teams(config),
            rules: Vec::new(),
        }
    }

    fn endpoint(&self, number: usize) -> declarations::EndpointDeclaration {
        let config = &self.config;
        declarations::EndpointDeclaration {
            name: runner_name(number),
            zone: zone_of(config, number).to_owned(),
            address: self.runner_links[number].address(),
            slots: config.runners.slots,
            connections: config.runners.connections,
        }
    }

    fn worker(&self, number: usize) -> declarations::WorkerDeclaration {
        let config = &self.config;
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
