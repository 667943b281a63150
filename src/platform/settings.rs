//! The settings file that the platform provides to each host process.

use serde::Deserialize;

use crate::queue::host_info::HostInfo;

/// Environment variable with the path of the settings file.
pub const PATH_VARIABLE: &str = "HEMLOCKROCK_CONFIG";

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Settings {
    node_name: String,
    ip: String,
    zone: String,
    listen_addrs: ListenAddrs,
    /// The first port serves other hosts, the port after it serves the metrics.
    internal_ports: Vec<u16>,
    #[serde(default)]
    bounds: Bounds,
    #[serde(default)]
    limits: Limits,
    /// Address of the advice service, which decides which runners may run a step.
    #[serde(default)]
    advice: Option<String>,
    /// The platform's key-value store.
    platform: Platform,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ListenAddrs {
    front: String,
    ready: String,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Platform {
    address: String,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct Limits {
    max_fds: usize,
    /// Memory of the host, in megabytes.
    memory_mb: u64,
    /// Fraction of the processor that the process may use.
    cpu_share: f64,
    /// Speed of the processor as a multiple of one core; not a number of cores, in spite of its
    /// name.
    cores: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { max_fds: 1_024, memory_mb: 256, cpu_share: 1.0, cores: 1.0 }
    }
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct Bounds {
    /// Time between the request to stop and the kill, in seconds.
    grace_s: f64,
    /// Whether a host that has not heard from the store for `revoke_ms` refuses requests with a key.
    revoke_strict: bool,
    revoke_ms: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { grace_s: 6.0, revoke_strict: false, revoke_ms: 5_000.0 }
    }
}

/// Decodes the settings file.
///
/// # Errors
/// Returns a message that names the missing or malformed field.
///
/// ```
/// let error = hemlockrock::platform::settings::decode(b"{\"ip\":\"10.0.0.1\"}").unwrap_err();
/// assert!(error.contains("node-name"), "{error}");
/// ```
pub fn decode(text: &[u8]) -> Result<HostInfo, String> {
    const MS_PER_S: f64 = 1_000.0;
    const MILLIS_PER_CORE: f64 = 1_000.0;
    let settings: Settings = serde_json::from_slice(text).map_err(|error| error.to_string())?;
    let peer_port = *settings.internal_ports.first().ok_or("internal-ports is empty")?;
    Ok(HostInfo {
        host: settings.node_name,
        zone: settings.zone,
        front_address: settings.listen_addrs.front,
        ready_address: settings.listen_addrs.ready,
        peer_address: format!("{}:{peer_port}", settings.ip),
        metrics_address: format!("{}:{}", settings.ip, peer_port + 1),
        store_address: settings.platform.address,
        advice_address: settings.advice.filter(|address| !address.is_empty()),
        shutdown_grace_ms: clamp_to_u64(settings.bounds.grace_s * MS_PER_S),
        key_validity_ms: settings
            .bounds
            .revoke_strict
            .then(|| clamp_to_u64(settings.bounds.revoke_ms)),
        cpu_millis: clamp_to_u64(
            settings.limits.cpu_share * settings.limits.cores * MILLIS_PER_CORE,
        ),
        descriptor_limit: settings.limits.max_fds,
        memory_mb: settings.limits.memory_mb,
    })
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range first"
)]
fn clamp_to_u64(value: f64) -> u64 {
    const LIMIT: f64 = 1e12;
    value.clamp(0.0, LIMIT) as u64
}
