//! Connections and memory that the HTTP servers of a host may use, derived from the host's limits.

use crate::configs::http;
use crate::queue::host_info::HostInfo;

/// Most file descriptors reserved for connections to runners, other hosts and the store, and for
/// connections of other hosts.
const MAX_RESERVED_DESCRIPTORS: usize = 1_500;

/// Most connections for readiness checks, and as many for metrics.
const MAX_PROBE_CONNECTIONS: usize = 64;

/// Memory that the process uses under load for all but its HTTP servers, in megabytes.
const PROCESS_MB: u64 = 30;

/// Memory of a connection that waits for a request, in bytes.
const CONNECTION_BYTES: u64 = 8 * 1024;

/// Least number of connections of a server.
const MIN_CONNECTIONS: usize = 16;

/// Limits of the HTTP servers of one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// Memory for the requests in flight of all servers, in bytes.
    pub inflight_bytes: usize,
    /// Connections of callers.
    pub front_connections: usize,
    /// Connections of other hosts.
    pub peer_connections: usize,
    /// Connections for readiness checks, and as many for metrics.
    pub probe_connections: usize,
}

impl ServerLimits {
    /// Derives the limits of a host.
    pub fn new(host_info: &HostInfo) -> Self {
        const BYTES_PER_MB: u64 = 1024 * 1024;
        let spare_bytes = host_info.memory_mb.saturating_sub(PROCESS_MB) * BYTES_PER_MB;
        let spare_bytes = usize::try_from(spare_bytes).unwrap_or(usize::MAX);
        let by_memory = spare_bytes / 4 / usize::try_from(CONNECTION_BYTES).unwrap_or(usize::MAX);
        let descriptors = host_info.descriptor_limit;
        let reserved = MAX_RESERVED_DESCRIPTORS.min(descriptors / 2);
        let probe_connections = MAX_PROBE_CONNECTIONS.min(descriptors / 16);
        let front = descriptors.saturating_sub(reserved + 2 * probe_connections);
        Self {
            inflight_bytes: (spare_bytes / 2).max(http::MIN_INFLIGHT_BYTES),
            front_connections: front.min(by_memory).max(MIN_CONNECTIONS),
            peer_connections: (reserved / 3).max(MIN_CONNECTIONS),
            probe_connections: probe_connections.max(MIN_CONNECTIONS),
        }
    }
}
