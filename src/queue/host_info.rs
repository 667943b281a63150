//! Identity, addresses and resource limits of the local host.

/// Description of the local host, from the settings that the platform provides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostInfo {
    /// Name of the host.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Listen address for requests of callers, `IP:port`.
    pub front_address: String,
    /// Listen address for readiness checks of the load balancer.
    pub ready_address: String,
    /// Listen address for calls between hosts, which the other hosts also connect to.
    pub peer_address: String,
    /// Listen address of the metrics endpoint.
    pub metrics_address: String,
    /// Address of the platform's store.
    pub store_address: String,
    /// Address of the advice service, which decides which runners may run a step; `None` if the
    /// platform has none.
    pub advice_address: Option<String>,
    /// Time between the request to stop and the forced kill of the process, in milliseconds.
    pub shutdown_grace_ms: u64,
    /// Time without the store after which requests with an API key are refused, since the key may
    /// have been removed in the meantime, in milliseconds; `None` if they are served for any time.
    pub key_validity_ms: Option<u64>,
    /// Processor capacity of the host, in thousandths of a core.
    pub cpu_millis: u64,
    /// Maximum number of open file descriptors of the process.
    pub descriptor_limit: usize,
    /// Memory of the host, in megabytes.
    pub memory_mb: u64,
}
