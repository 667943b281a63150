//! The records that runners write about themselves to the store.

use std::sync::Arc;

use serde::Deserialize;

use crate::place::spec::Resources;
use crate::queue::model::RunnerReport;

/// Prefix of the runner records; the platform calls runners servers here.
pub const PREFIX: &str = "servers/";

/// The platform's "MB" are mebibytes.
const BYTES_PER_MB: u64 = 1 << 20;

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RunnerRecord {
    service: String,
    address: String,
    zone: String,
    state: RunnerState,
    capacity: Capacity,
    #[serde(default)]
    labels: Vec<String>,
    #[serde(default)]
    /// Shortest time until a draining runner leaves, in milliseconds.
    remaining_ms: Option<f64>,
    /// When the runner process started, in Unix milliseconds.
    #[serde(default)]
    born: u64,
}

#[derive(Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum RunnerState {
    Ready,
    Draining,
}

#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Capacity {
    /// Thousandths of a core, in spite of its name.
    cpu: u64,
    mem_mb: u64,
    #[serde(default)]
    gpu: u32,
}

/// Converts thousandths of a core, mebibytes and a number of accelerators to [`Resources`].
pub(super) fn resources(cpu: u64, mem_mb: u64, gpu: u32) -> Resources {
    Resources::new(cpu, mem_mb.saturating_mul(BYTES_PER_MB), gpu)
}

/// Decodes the runner record with this key.
///
/// # Errors
/// Returns a message that says why the record does not describe a runner: other programs write
/// under the same prefix.
pub fn decode(key: &str, text: &[u8]) -> Result<RunnerReport, String> {
    let id = key
        .strip_prefix(PREFIX)
        .filter(|id| !id.is_empty())
        .ok_or("the key is not that of a runner record")?;
    let record: RunnerRecord = serde_json::from_slice(text).map_err(|error| error.to_string())?;
    let address: Result<std::net::SocketAddr, _> = record.address.parse();
    address.map_err(|error| format!("malformed address: {error}"))?;
    let Capacity { cpu, mem_mb, gpu } = record.capacity;
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped")]
    let leaves_in_ms = record.remaining_ms.map(|ms| ms.clamp(0.0, 1e9) as u64);
    Ok(RunnerReport {
        id: Arc::from(id),
        address: record.address,
        zone: record.zone,
        service: record.service,
        is_draining: record.state == RunnerState::Draining,
        leaves_in_ms,
        labels: record.labels,
        capacity: resources(cpu, mem_mb, gpu),
        started_unix_ms: record.born,
    })
}
