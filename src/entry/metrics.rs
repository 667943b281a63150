//! Metrics of an entry host.

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};

use crate::outcome::{Outcome, Reason};

/// Histogram bucket bounds for times, in seconds.
const SECONDS_BUCKETS: [f64; 11] =
    [0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 5.0, 30.0];

/// Counters, gauges and histograms of an entry host.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    refused: IntCounterVec,
    latency: HistogramVec,
    in_flight: IntGauge,
    owned: IntGauge,
    forwarded: IntCounter,
    commits: IntCounterVec,
    commit_time: Histogram,
}

impl Metrics {
    /// Creates the metrics in a registry of their own.
    ///
    /// # Errors
    /// A metric cannot be registered.
    pub fn new() -> prometheus::Result<Self> {
        let by_outcome = Opts::new("hemlock_requests_total", "Requests answered, by outcome");
        let by_reason = Opts::new("hemlock_refused_total", "Requests not run, by reason");
        let latency = HistogramOpts::new("hemlock_request_seconds", "Time from request to answer")
            .buckets(SECONDS_BUCKETS.to_vec());
        let commits = Opts::new("hemlock_ledger_commits_total", "Store writes of the ledger");
        let commit_time =
            HistogramOpts::new("hemlock_ledger_commit_seconds", "Time of a store write")
                .buckets(SECONDS_BUCKETS.to_vec());
        let metrics = Self {
            registry: Registry::new(),
            requests: IntCounterVec::new(by_outcome, &["outcome"])?,
            refused: IntCounterVec::new(by_reason, &["reason"])?,
            latency: HistogramVec::new(latency, &["outcome"])?,
            in_flight: IntGauge::new("hemlock_requests_in_flight", "Requests not yet answered")?,
            owned: IntGauge::new("hemlock_endpoints_owned", "Endpoints that this host owns")?,
            forwarded: IntCounter::new("hemlock_forwarded_total", "Requests handed to a peer")?,
            commits: IntCounterVec::new(commits, &["result"])?,
            commit_time: Histogram::with_opts(commit_time)?,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> prometheus::Result<()> {
        self.registry.register(Box::new(self.requests.clone()))?;
        self.registry.register(Box::new(self.refused.clone()))?;
        self.registry.register(Box::new(self.latency.clone()))?;
        self.registry.register(Box::new(self.in_flight.clone()))?;
        self.registry.register(Box::new(self.owned.clone()))?;
        self.registry.register(Box::new(self.forwarded.clone()))?;
        self.registry.register(Box::new(self.commits.clone()))?;
        self.registry.register(Box::new(self.commit_time.clone()))
    }

    /// Registry that holds the metrics.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Counts a request that was accepted.
    pub fn request_started(&self) {
        self.in_flight.inc();
    }

    /// Counts a request that was answered after `seconds`.
    pub fn request_ended(&self, outcome: Outcome, seconds: f64) {
        self.in_flight.dec();
        self.requests.with_label_values(&[outcome.as_str()]).inc();
        self.latency.with_label_values(&[outcome.as_str()]).observe(seconds);
    }

    /// Counts a request that did not run.
    pub fn request_not_run(&self, reason: Reason) {
        self.refused.with_label_values(&[reason.as_str()]).inc();
    }

    /// Counts a request that was forwarded to a peer.
    pub fn request_forwarded(&self) {
        self.forwarded.inc();
    }

    /// Sets the number of owned endpoints.
    pub fn set_owned_endpoints(&self, count: usize) {
        self.owned.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts a write of a ledger to the store that took `seconds`.
    pub fn ledger_commit(&self, result: &str, seconds: f64) {
        self.commits.with_label_values(&[result]).inc();
        self.commit_time.observe(seconds);
    }
}
