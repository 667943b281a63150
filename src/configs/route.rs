//! Settings of dispatch.

use serde::{Deserialize, Serialize};

use crate::settings::{Report, Validate};

/// How requests are ordered and where they go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Fair shares, deadlines, reserved slots for short work, and spill.
    #[default]
    Full,
    /// First come first served, round robin, no reserve, no refusal by deadline, no spill.
    Baseline,
}

/// Settings of dispatch.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouteConfig {
    /// Policy: full or baseline.
    pub policy: Policy,
    /// Requests of one service that wait at once.
    pub max_queued: usize,
    /// Run time assumed for a service that nothing is known of, in milliseconds.
    pub prior_run_ms: u64,
    /// A kind is long when its run time is at least this multiple of that of short work.
    pub long_factor: u32,
    /// Part of its share by demand that long work keeps at least, in thousandths.
    pub long_floor_millis: u32,
    /// Service that a caller may be ahead of another before it waits, in milliseconds of run time.
    pub fair_quantum_ms: u64,
    /// Retries for each request that is submitted, in thousandths.
    pub retry_ratio_millis: u32,
    /// Retries that may be saved up.
    pub retry_burst: u32,
    /// Tries of one request, the first included.
    pub max_tries: u32,
    /// Wait before the first retry, in milliseconds; it doubles with each further one.
    pub retry_backoff_ms: u64,
    /// Failures in a row, without a success between, that eject an endpoint.
    pub eject_after: u32,
    /// Time for which an endpoint is ejected first, in milliseconds; it doubles each time.
    pub eject_ms: u64,
    /// Longest time for which an endpoint is ejected, in milliseconds.
    pub max_eject_ms: u64,
    /// Part of the endpoints of a service that may be ejected for failures, in thousandths.
    pub max_ejected_millis: u32,
    /// Time for which a failing pool refuses all requests, in milliseconds.
    pub circuit_open_ms: u64,
    /// Longest time for which the slot of a lost request is held back, in milliseconds.
    pub lost_hold_ms: u64,
    /// Longest wait of a request for a service without endpoints, in milliseconds.
    pub no_endpoint_wait_ms: u64,
    /// Age at which the load of a peer is no longer believed, in milliseconds.
    pub peer_age_ms: u64,
}

impl Default for RouteConfig {
    fn default() -> Self {
        Self {
            policy: Policy::Full,
            max_queued: 10_000,
            prior_run_ms: 20,
            long_factor: 8,
            long_floor_millis: 850,
            fair_quantum_ms: 10,
            retry_ratio_millis: 100,
            retry_burst: 50,
            max_tries: 3,
            retry_backoff_ms: 5,
            eject_after: 5,
            eject_ms: 1_000,
            max_eject_ms: 30_000,
            max_ejected_millis: 340,
            circuit_open_ms: 500,
            lost_hold_ms: 5_000,
            no_endpoint_wait_ms: 1_000,
            peer_age_ms: 3_000,
        }
    }
}

impl Validate for RouteConfig {
    fn validate(&self, report: &mut Report<'_>) {
        const ALL_MILLIS: u32 = 1_000;
        let positive = [
            (self.max_queued > 0, "max_queued"),
            (self.prior_run_ms > 0, "prior_run_ms"),
            (self.fair_quantum_ms > 0, "fair_quantum_ms"),
            (self.max_tries > 0, "max_tries"),
            (self.eject_after > 0, "eject_after"),
            (self.eject_ms > 0, "eject_ms"),
            (self.circuit_open_ms > 0, "circuit_open_ms"),
        ];
        for (holds, path) in positive {
            report.require(holds, path, "expected at least 1");
        }
        report.require(self.long_factor > 1, "long_factor", "expected at least 2");
        let longest = self.max_eject_ms >= self.eject_ms;
        report.require(longest, "max_eject_ms", "expected at least eject_ms");
        let parts = [
            (self.long_floor_millis, "long_floor_millis"),
            (self.retry_ratio_millis, "retry_ratio_millis"),
            (self.max_ejected_millis, "max_ejected_millis"),
        ];
        for (part, path) in parts {
            report.require(part <= ALL_MILLIS, path, "expected at most 1000");
        }
    }
}
