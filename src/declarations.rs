//! Declarations: the zones, workers, services, teams and rules that operators declare for a cell.
//!
//! They are read from files, checked, published to the store as numbered revisions, and followed
//! by the daemons. Names consist of 1 to 63 letters, digits, `-`, `_` or `.`, a letter or digit
//! first. A field that is absent is empty, 0 or false.

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

/// All declarations of a cell, as one document.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Declarations {
    /// Availability zones.
    pub zones: Vec<ZoneDeclaration>,
    /// Workers, which run tasks.
    pub workers: Vec<WorkerDeclaration>,
    /// Services, which take requests.
    pub services: Vec<ServiceDeclaration>,
    /// Teams and their quotas.
    pub teams: Vec<TeamDeclaration>,
    /// Rules on which jobs may share a worker, start as a whole or are preempted first.
    pub rules: Vec<RuleDeclaration>,
}

/// An availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ZoneDeclaration {
    /// Name, unique among zones.
    pub name: String,
    /// Region of the zone; informational, may be empty.
    pub region: String,
}

/// A worker and its resources.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerDeclaration {
    /// Name, unique among workers.
    pub name: String,
    /// Name of the declared zone that the worker is in.
    pub zone: String,
    /// Name of the rack that the worker is in; racks are not declared by themselves.
    pub rack: String,
    /// Address of the worker, `IP:port`; no other worker or endpoint has it.
    pub address: String,
    /// Processor time for tasks, in thousandths of a core, 1 to 4,096,000.
    pub cpu_millis: u64,
    /// Memory for tasks, in bytes, 16 MiB to 128 TiB.
    pub memory_bytes: u64,
    /// Number of accelerators, at most 1,024; 0 for none.
    pub accelerators: u32,
    /// Whether the worker is drained: it gets no new tasks, and its tasks are moved.
    pub drain: bool,
    /// Labels that constraints refer to.
    pub labels: HashMap<String, String>,
}

/// A service that takes requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceDeclaration {
    /// Name, unique among services.
    pub name: String,
    /// Expected run time of a request, in milliseconds. Informational: dispatch measures run times.
    pub expected_ms: u64,
    /// Run time above which a request counts as long, in milliseconds, at least `expected_ms` or 0.
    /// Informational: dispatch finds out which kinds of requests are long.
    pub long_ms: u64,
    /// Endpoints that run the service's requests.
    pub endpoints: Vec<EndpointDeclaration>,
}

/// An endpoint (runner) of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EndpointDeclaration {
    /// Name, unique within the service.
    pub name: String,
    /// Name of the declared zone that the endpoint is in.
    pub zone: String,
    /// Address of the endpoint, `IP:port`; no other worker or endpoint has it.
    pub address: String,
    /// Requests that the endpoint runs at once, 1 to 65,536.
    pub slots: u32,
    /// Connections that the endpoint accepts at once, at least `slots`: each request has its own.
    pub connections: u32,
}

/// A team and its quota over the whole cell.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TeamDeclaration {
    /// Name, unique among teams.
    pub name: String,
    /// Quota of processor time, in thousandths of a core, at least 1.
    pub cpu_millis: u64,
    /// Quota of memory, in bytes, at least 1.
    pub memory_bytes: u64,
    /// Quota of accelerators; 0 for none.
    pub accelerators: u32,
}

/// A rule for the jobs that have a label.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RuleDeclaration {
    /// Name, unique among rules.
    pub name: String,
    /// What the rule does: `apart` (never share a worker with tasks that match `other`),
    /// `whole` (the job starts all its tasks or none) or `stop_first` (preempted before others).
    pub kind: String,
    /// Label `key=value` of the jobs that the rule applies to.
    pub matches: String,
    /// Label `key=value` of the other jobs, for `apart`; empty for the other kinds.
    pub other: String,
}
