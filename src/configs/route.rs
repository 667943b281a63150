//! Settings of the dispatch of requests to endpoints.

use serde::{Deserialize, Serialize};

use crate::settings::{Report, Validate};

/// How requests are ordered and how their endpoint is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Fair shares, deadlines, slots reserved for short work, and forwarding to other hosts.
    #[default]
    Full,
    /// First come, first served and round robin; no reserved slots, no refusal by deadline, no
    /// forwarding.
    Baseline,
}

/// Policy, queues, retries and health checks of dispatch; each service is counted by itself.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouteConfig {
    /// How requests are ordered and sent: `full` or `baseline`.
    pub policy: Policy,
    /// Most requests of one service that wait at once, at least 1.
    pub max_queued: usize,
    /// Run time assumed for a service without measurements, in milliseconds, at least 1.
    pub prior_run_ms: u64,
    /// A kind of request is long if its mean run time is at least this multiple of that of short
    /// kinds; at least 2.
    pub long_factor: u32,
    /// Smallest part of its share by demand that long work keeps, in thousandths, at most 1000.
    pub long_floor_millis: u32,
    /// Quantum of fair queueing, in milliseconds of run time, at least 1: callers that have
    /// received the same number of quanta are served by deadline.
    pub fair_quantum_ms: u64,
    /// Retries allowed per submitted request, in thousandths, at most 1000.
    pub retry_ratio_millis: u32,
    /// Most unused retries that the retry budget accumulates.
    pub retry_burst: u32,
    /// Most attempts for one request, including the first, at least 1.
    pub max_tries: u32,
    /// Backoff before the first retry, in milliseconds; it doubles with each further one.
    pub retry_backoff_ms: u64,
    /// Consecutive failures that eject an endpoint, at least 1.
    pub eject_after: u32,
    /// Duration of an endpoint's first ejection, in milliseconds, at least 1; it doubles each time.
    pub eject_ms: u64,
    /// Longest duration of an ejection, in milliseconds, at least `eject_ms`.
    pub max_eject_ms: u64,
    /// Part of a service's endpoints that may be ejected at once, in thousandths, at most 1000.
    pub max_ejected_millis: u32,
    /// Time for which a service whose endpoints fail refuses all requests, in milliseconds, at
    /// least 1; it doubles while they keep failing.
    pub circuit_open_ms: u64,
    /// Longest time for which the slot of a lost request stays occupied, in milliseconds: the
    /// request may still run at the endpoint.
    pub lost_hold_ms: u64,
    /// Longest time for which a request waits for a service without usable endpoints, in
    /// milliseconds.
    pub no_endpoint_wait_ms: u64,
    /// Age at which the load reported by another entry host is ignored, in milliseconds.
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
