//! Where a host stands and whom it talks to, as its surroundings tell it.

/// Place, addresses and bounds of one host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Site {
    /// Name of the host.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address at which callers arrive, `IP:port`.
    pub front_address: String,
    /// Address at which the balancer asks whether the host is ready.
    pub ready_address: String,
    /// Address for calls between hosts.
    pub peer_address: String,
    /// Address that serves the metrics.
    pub metrics_address: String,
    /// Address of the platform's store.
    pub store_address: String,
    /// Address of the service that advises which runners may run a step.
    pub advice_address: Option<String>,
    /// Time between the request to stop and the kill, in milliseconds.
    pub shutdown_grace_ms: u64,
    /// Processor of the host, in thousandths of a core.
    pub cpu_millis: u64,
    /// Descriptors that the process may have open.
    pub descriptor_limit: usize,
}
