//! A whole cell in one process: stand-ins for store, runners and workers, entry and placer daemons,
//! and fault proxies between them.

use async_std::task;
use eyre::WrapErr as _;

use crate::configs::demo::{DemoConfig, RunnersConfig, WorkersConfig};
use crate::configs::http::HttpConfig;
use crate::configs::store::StoreConfig;
use crate::declarations::{self, feed};
use crate::demo::host::{Host, HostConfig, LOOPBACK};
use crate::demo::oracle::RunnerRecord;
use crate::http::client::Pool;
use crate::place::spec::Resources;
use crate::standin::proxy::ProxyStandin;
use crate::standin::runner::{RunnerConfig, RunnerStandin};
use crate::standin::store::StoreStandin;
use crate::standin::worker::agent::WorkerRecord;
use crate::standin::worker::{HostedWorker, WorkerConfig, WorkerStandin};
use crate::store::client::HttpStore;

/// Longest wait for the daemons to become ready, in milliseconds.
const READY_TIMEOUT_MS: u64 = 8_000;

/// A position behind the load balancer, filled by one entry host after another.
#[derive(Debug)]
pub struct HostSlot {
    /// Proxy between the callers and the host, in the place of the load balancer; its address stays
    /// when the host is replaced.
    pub caller_proxy: ProxyStandin,
    /// The current host.
    pub host: Host,
    /// How many times the host has been replaced; part of its name.
    generation: u32,
}

/// A running cell.
#[derive(Debug)]
pub struct Cell {
    /// Stand-in for the platform's store.
    pub store: StoreStandin,
    /// Proxies between entry hosts and runners, in the order of the runners.
    pub runner_proxies: Vec<ProxyStandin>,
    /// Stand-in that hosts all workers.
    pub workers: WorkerStandin,
    /// Positions of the entry hosts, spread over the zones round-robin.
    pub host_slots: Vec<HostSlot>,
    runners: Vec<RunnerStandin>,
    config: DemoConfig,
}

impl Cell {
    /// Starts stand-ins and daemons, publishes the declarations and waits until all hosts are
    /// ready.
    ///
    /// # Errors
    /// An address cannot be bound, or the daemons do not become ready in time.
    pub async fn start(config: &DemoConfig) -> eyre::Result<Self> {
        let store =
            StoreStandin::start(LOOPBACK).await.wrap_err("cannot start the store stand-in")?;
        let runners = start_runners(&config.runners).await?;
        let mut runner_proxies = Vec::new();
        for runner in &runners {
            runner_proxies.push(ProxyStandin::start(LOOPBACK, runner.address()).await?);
        }
        let workers = start_workers(&config.workers).await?;
        let host_slots = Vec::new();
        let config = config.clone();
        let mut cell = Self { store, runner_proxies, workers, host_slots, runners, config };
        feed::publish(&cell.store_client(), &cell.declarations())
            .await
            .wrap_err("cannot publish the declarations of the cell")?;
        for number in 0..cell.config.entry_hosts as usize {
            let host = cell.start_host(number, 0).await?;
            let caller_proxy = ProxyStandin::start(LOOPBACK, host.entry_address()).await?;
            cell.host_slots.push(HostSlot { caller_proxy, host, generation: 0 });
        }
        for slot in &cell.host_slots {
            let is_ready = slot.host.wait_ready(READY_TIMEOUT_MS).await;
            eyre::ensure!(
                is_ready,
                "host {} did not become ready within {READY_TIMEOUT_MS} ms",
                slot.host.name
            );
        }
        Ok(cell)
    }

    /// Addresses at which callers reach the entry hosts.
    pub fn caller_addresses(&self) -> Vec<String> {
        self.host_slots.iter().map(|slot| slot.caller_proxy.address()).collect()
    }

    /// Address of the job API of one placer daemon; empty if there are no hosts.
    pub fn job_address(&self) -> String {
        self.host_slots.first().map(|slot| slot.host.placer_address()).unwrap_or_default()
    }

    /// Creates a client that writes to the store directly, as an operator's tool does.
    pub fn store_client(&self) -> HttpStore {
        let config = StoreConfig { address: self.store.address(), ..StoreConfig::default() };
        HttpStore::new(config, Pool::new(HttpConfig::default()))
    }

    /// Returns the record of each runner with its declared limits.
    pub fn runner_records(&self) -> Vec<RunnerRecord> {
        let runners = self.runners.iter().enumerate();
        let records = runners.map(|(number, runner)| RunnerRecord {
            name: runner_name(number),
            slots: self.config.runners.slots,
            connections: self.config.runners.connections,
            records: runner.records(),
        });
        records.collect()
    }

    /// Returns the record of each worker, in the order of their names.
    pub fn worker_records(&self) -> Vec<(String, WorkerRecord)> {
        self.workers.records()
    }

    /// Replaces the host at this position: starts a new one, redirects callers and drains the old
    /// one.
    ///
    /// # Errors
    /// An address cannot be bound, or the new host does not become ready in time.
    pub async fn replace(&mut self, number: usize) -> eyre::Result<()> {
        let old = self.replace_without_drain(number).await?;
        old.drain().await;
        Ok(())
    }

    /// Replaces the host at this position without draining the old one, which is returned.
    ///
    /// # Errors
    /// An address cannot be bound, or the new host does not become ready in time.
    pub async fn replace_without_drain(&mut self, number: usize) -> eyre::Result<Host> {
        let generation = self.host_slots[number].generation + 1;
        let host = self.start_host(number, generation).await?;
        let is_ready = host.wait_ready(READY_TIMEOUT_MS).await;
        eyre::ensure!(
            is_ready,
            "host {} did not become ready within {READY_TIMEOUT_MS} ms",
            host.name
        );
        let slot = &mut self.host_slots[number];
        slot.caller_proxy.set_target(host.entry_address());
        slot.generation = generation;
        Ok(std::mem::replace(&mut slot.host, host))
    }

    /// Drains all hosts at the same time and waits until they have stopped.
    pub async fn drain(&self) {
        let hosts = self.host_slots.iter().map(|slot| slot.host.clone());
        let drains: Vec<_> =
            hosts.map(|host| task::spawn(async move { host.drain().await })).collect();
        for drain in drains {
            drain.await;
        }
    }

    async fn start_host(&self, number: usize, generation: u32) -> eyre::Result<Host> {
        Host::start(HostConfig {
            name: format!("{number}-{generation}"),
            zone: zone_of(&self.config, number).to_owned(),
            store_address: self.store.address(),
            zone_trip_ms: self.config.zone_trip_ms,
        })
        .await
    }

    /// Builds the declarations that describe the cell: zones, workers, the service and team quotas.
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
            address: self.runner_proxies[number].address(),
            slots: config.runners.slots,
            connections: config.runners.connections,
        }
    }

    fn worker(&self, number: usize) -> declarations::WorkerDeclaration {
        let config = &self.config;
        let zone = zone_of(config, number);
        let in_zone = number / config.zones.len();
        let rack = in_zone / config.workers.per_rack as usize;
        let capacity = worker_capacity(&config.workers, number);
        declarations::WorkerDeclaration {
            name: worker_name(number),
            zone: zone.to_owned(),
            rack: format!("{zone}-rack-{rack}"),
            address: self.workers.address(),
            cpu_millis: capacity.cpu_millis,
            memory_bytes: capacity.memory_bytes,
            accelerators: capacity.accelerators,
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
        runners
            .push(RunnerStandin::start(config).await.wrap_err("cannot start a runner stand-in")?);
    }
    Ok(runners)
}

async fn start_workers(config: &WorkersConfig) -> eyre::Result<WorkerStandin> {
    let workers = (0..config.count as usize)
        .map(|number| HostedWorker::new(worker_name(number), worker_capacity(config, number)))
        .collect();
    let config = WorkerConfig { workers, ..WorkerConfig::default() };
    WorkerStandin::start(config).await.wrap_err("cannot start the worker stand-in")
}

fn worker_capacity(config: &WorkersConfig, number: usize) -> Resources {
    let every = config.accelerators_every as usize;
    let has_accelerators = every > 0 && number % every == 0;
    let accelerators = if has_accelerators { config.accelerators } else { 0 };
    Resources::new(config.cpu_millis, config.memory_bytes, accelerators)
}

/// Declares every team named by a job, with a quota that covers the whole cell.
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
