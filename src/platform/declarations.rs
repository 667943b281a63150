//! The configuration that the operator writes to the store.

use serde::Deserialize;

use crate::queue::model::{AdvicePolicy, Queue, QueueDirectory};

/// Prefix of the keys that the operator writes.
pub const PREFIX: &str = "op/";

/// Key of the current configuration.
pub const CONFIG_KEY: &str = "op/config";

#[derive(Debug)]
#[derive(Deserialize)]
struct Config {
    version: u64,
    #[serde(default)]
    routes: Vec<Route>,
    #[serde(default)]
    limits: Limits,
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
    });
    Ok(QueueDirectory {
        version: config.version,
        queues: queues.collect(),
        max_body_bytes: config.limits.max_body_bytes,
    })
}
