//! What runners write about themselves into the store.

use std::sync::Arc;

use serde::Deserialize;

use crate::place::spec::Resources;
use crate::queue::model::RunnerReport;

/// Prefix of the runners' own records.
pub const PREFIX: &str = "servers/";

const BYTES_PER_MB: u64 = 1 << 20;

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Report {
    service: String,
    address: String,
    zone: String,
    state: State,
    capacity: Capacity,
    #[serde(default)]
    labels: Vec<String>,
    #[serde(default)]
    remaining_ms: Option<f64>,
    #[serde(default)]
    born: u64,
}

#[derive(Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum State {
    Ready,
    Draining,
}

#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Capacity {
    /// Thousandths of a core.
    cpu: u64,
    mem_mb: u64,
    #[serde(default)]
    gpu: u32,
}

/// Our resources from the platform's figures.
pub(super) fn resources(cpu: u64, mem_mb: u64, gpu: u32) -> Resources {
    Resources::new(cpu, mem_mb.saturating_mul(BYTES_PER_MB), gpu)
}

/// Reads the record of the runner whose key this is.
///
/// # Errors
/// Why the record names no runner to use; others write there too.
pub fn decode(key: &str, text: &[u8]) -> Result<RunnerReport, String> {
    let id = key.strip_prefix(PREFIX).filter(|id| !id.is_empty()).ok_or("not a runner's key")?;
    let report: Report = serde_json::from_slice(text).map_err(|error| error.to_string())?;
    let address: Result<std::net::SocketAddr, _> = report.address.parse();
    address.map_err(|error| format!("address: {error}"))?;
    let Capacity { cpu, mem_mb, gpu } = report.capacity;
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped")]
    let leaves_in_ms = report.remaining_ms.map(|ms| ms.clamp(0.0, 1e9) as u64);
    Ok(RunnerReport {
        id: Arc::from(id),
        address: report.address,
        zone: report.zone,
        service: report.service,
        is_draining: report.state == State::Draining,
        leaves_in_ms,
        labels: report.labels,
        capacity: resources(cpu, mem_mb, gpu),
        started_unix_ms: report.born,
    })
}
