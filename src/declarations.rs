//! What operators declare: the inventory, services, teams and rules.

pub mod check;
pub mod diff;
pub mod feed;
pub mod files;
pub mod garbage;
pub mod parts;
pub mod peer;
pub mod publish;
pub mod read;

use serde::{Deserialize, Serialize};

use crate::collections::HashMap;

/// Everything that operators declare, as one document.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Declarations {
    /// Availability zones.
    pub zones: Vec<ZoneDeclaration>,
    /// Workers that run tasks.
    pub workers: Vec<WorkerDeclaration>,
    /// Services that take requests.
    pub services: Vec<ServiceDeclaration>,
    /// Teams and their quotas.
    pub teams: Vec<TeamDeclaration>,
    /// Rules on which work may share a host, starts whole or is stopped first.
    pub rules: Vec<RuleDeclaration>,
}

/// An availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ZoneDeclaration {
    /// Name of the zone.
    pub name: String,
    /// Region that the zone is in.
    pub region: String,
}

/// A worker and its means.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerDeclaration {
    /// Name of the worker.
    pub name: String,
    /// Zone that the worker is in.
    pub zone: String,
    /// Rack that the worker is in.
    pub rack: String,
    /// Address of the worker, `IP:port`.
    pub address: String,
    /// Processor time, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// Accelerators.
    pub accelerators: u32,
    /// Whether the worker is to be emptied.
    pub drain: bool,
    /// Labels that constraints refer to.
    pub labels: HashMap<String, String>,
}

/// A service that takes requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceDeclaration {
    /// Name of the service.
    pub name: String,
    /// Run time assumed for a kind that has not been seen, in milliseconds.
    pub expected_ms: u64,
    /// Run time above which a request counts as long, in milliseconds.
    pub long_ms: u64,
    /// Endpoints of the service.
    pub endpoints: Vec<EndpointDeclaration>,
}

/// An endpoint (runner) of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EndpointDeclaration {
    /// Name of the endpoint.
    pub name: String,
    /// Zone that the endpoint is in.
    pub zone: String,
    /// Address of the endpoint, `IP:port`.
    pub address: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it accepts at once.
    pub connections: u32,
}

/// A team and its quota over the whole cell.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TeamDeclaration {
    /// Name of the team.
    pub name: String,
    /// Quota of processor time, in thousandths of a core.
    pub cpu_millis: u64,
    /// Quota of memory, in bytes.
    pub memory_bytes: u64,
    /// Quota of accelerators.
    pub accelerators: u32,
}

/// A rule on tasks chosen by a label.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RuleDeclaration {
    /// Name of the rule.
    pub name: String,
    /// What the rule does: `apart` (never share a worker with tasks that match `other`),
    /// `whole` (the job starts all its tasks or none) or `stop_first` (preempted before others).
    pub kind: String,
    /// Label `key=value` of the jobs that the rule is about.
    pub matches: String,
    /// Label `key=value` of the other jobs, for `apart`.
    pub other: String,
}
