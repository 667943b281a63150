//! The configuration that the operator writes to the store.

use std::sync::Arc;

use serde::Deserialize;
use serde_json::Value;

use crate::decision_log;
use crate::place::spec::Resources;
use crate::platform::runners;
use crate::queue::model::{AdvicePolicy, Queue, QueueDirectory};
use crate::queue::workspaces::{Workspace, Workspaces};

/// Prefix of the keys that the operator writes.
pub const PREFIX: &str = "op/";

/// Key of the current configuration.
pub const CONFIG_KEY: &str = "op/config";

/// Maximum number of log lines about faulty workspaces in one version: versions can come in quick
/// succession, and one mistake can affect every workspace.
const MAX_LOGGED_FINDINGS: usize = 10;

/// The configuration. It has no debug output, since the workspaces contain API keys.
#[derive(Deserialize)]
struct Config {
    version: u64,
    #[serde(default)]
    routes: Vec<Route>,
    #[serde(default)]
    limits: Limits,
    /// Workspaces, each decoded by itself, so that a malformed one does not rule out the others.
    #[serde(default)]
    tenants: Option<Value>,
}

/// A tenant of the platform, which is a workspace in this code base. It has no debug output, since it
/// contains API keys.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Tenant {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    /// Share when all is full, in jobs a second.
    #[serde(default)]
    weight: f64,
    #[serde(default)]
    max_count: MaxCount,
}

/// What a tenant may have running; 0 means no limit.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct MaxCount {
    /// Thousandths of a core, in spite of its name.
    cpu: u64,
    mem_mb: u64,
    gpu: u32,
}

impl MaxCount {
    fn limit(self) -> Resources {
        let declared = runners::resources(self.cpu, self.mem_mb, self.gpu);
        let or_unlimited = |amount: u64| if amount == 0 { u64::MAX } else { amount };
        Resources {
            cpu_millis: or_unlimited(declared.cpu_millis),
            memory_bytes: or_unlimited(declared.memory_bytes),
            accelerators: if self.gpu == 0 { u32::MAX } else { self.gpu },
        }
    }
}

/// A route of the platform, which is a queue in this code base.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Route {
    name: String,
    host: String,
    prefix: String,
    service: String,
    /// 0 is the most urgent.
    #[serde(default)]
    priority: u32,
    /// Failures of a task after which its job fails.
    #[serde(default)]
    max_attempts: u32,
    /// Factor on the work of a job in its latency objective.
    #[serde(default)]
    stretch: f64,
    /// Fixed part of the latency objective of a job, in milliseconds.
    #[serde(default)]
    target_latency_ms: f64,
    #[serde(default)]
    advice: Option<Advice>,
    /// Callers need no key.
    #[serde(default)]
    public: bool,
}

/// The policy of a queue whose steps need admission advice.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Advice {
    /// Time that a request for advice takes, in milliseconds.
    decide_ms: f64,
    /// Time that each runner in the request adds, in milliseconds.
    #[serde(default)]
    each_ms: f64,
    /// Time for which a ticket is valid, in milliseconds.
    valid_ms: f64,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct Limits {
    /// Longest request body, in bytes.
    max_body_bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { max_body_bytes: 262_144 }
    }
}

/// Decodes a configuration.
///
/// # Errors
/// Returns a message that names the missing or malformed field.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "figures are small")]
pub fn decode(text: &[u8]) -> Result<QueueDirectory, String> {
    let config: Config = serde_json::from_slice(text).map_err(|error| error.to_string())?;
    let workspaces = match config.tenants {
        None => None,
        Some(Value::Array(tenants)) => Some(decode_workspaces(tenants, config.version)),
        // The text of a decoding error could quote a key.
        Some(_) => return Err("tenants: expected a list".to_owned()),
    };
    let queues = config.routes.into_iter().map(|route| Queue {
        name: route.name,
        host: route.host,
        prefix: route.prefix,
        service: route.service,
        priority: route.priority,
        max_attempts: route.max_attempts.max(1),
        stretch: route.stretch,
        target_latency_ms: route.target_latency_ms.max(0.0) as u64,
        advice: route.advice.map(|advice| AdvicePolicy {
            base_ms: advice.decide_ms,
            per_runner_ms: advice.each_ms,
            valid_ms: advice.valid_ms.max(0.0) as u64,
        }),
        is_public: route.public,
    });
    Ok(QueueDirectory {
        version: config.version,
        queues: queues.collect(),
        max_body_bytes: config.limits.max_body_bytes,
        workspaces,
    })
}

/// Decodes the workspaces; what is wrong with one is logged, and the others are used.
fn decode_workspaces(tenants: Vec<Value>, version: u64) -> Workspaces {
    let mut findings = Vec::new();
    let mut declared = Vec::new();
    for (position, tenant) in tenants.into_iter().enumerate() {
        // The text of the decoding error could quote a key.
        let Ok(tenant) = serde_json::from_value::<Tenant>(tenant) else {
            findings.push(format!("workspace {position} is malformed"));
            continue;
        };
        let workspace = Workspace {
            name: Arc::from(tenant.name),
            weight: tenant.weight.max(0.0),
            limit: tenant.max_count.limit(),
        };
        declared.push((workspace, tenant.api_keys));
    }
    let (workspaces, faulty) = Workspaces::new(declared);
    findings.extend(faulty);
    for finding in findings.iter().take(MAX_LOGGED_FINDINGS) {
        decision_log::line("workspace_invalid")
            .with("version", version)
            .with("error", finding)
            .end();
    }
    if findings.len() > MAX_LOGGED_FINDINGS {
        decision_log::line("workspaces_invalid")
            .with("version", version)
            .with("findings", findings.len())
            .end();
    }
    workspaces
}
