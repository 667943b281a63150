//! Prometheus metrics of a placer.

use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Metrics of a placer and the registry that they are exported from.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    pub(crate) registry: Registry,
    pub(crate) is_active: IntGauge,
    pub(crate) epoch: IntGauge,
    pub(crate) takeovers: IntCounter,
    pub(crate) jobs: IntGauge,
    pub(crate) submissions: IntCounterVec,
    pub(crate) starts: IntCounter,
    pub(crate) worker_calls: IntCounterVec,
    pub(crate) record_writes: IntCounter,
    pub(crate) record_bytes: IntCounter,
    pub(crate) decision_seconds: Histogram,
}

impl Metrics {
    pub(crate) fn new() -> eyre::Result<Self> {
        let registry = Registry::new();
        let gauge = |name: &str, help: &str| -> eyre::Result<IntGauge> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let counter = |name: &str, help: &str| -> eyre::Result<IntCounter> {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let counters = |name: &str, help: &str, label: &str| -> eyre::Result<IntCounterVec> {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counters.clone()))?;
            Ok(counters)
        };
        let options = HistogramOpts::new("hemlock_decision_seconds", "Time of one decision step")
            .buckets(vec![0.00001, 0.0001, 0.0005, 0.001, 0.005, 0.02, 0.1, 0.5]);
        let decision_seconds = Histogram::with_opts(options)?;
        registry.register(Box::new(decision_seconds.clone()))?;
        Ok(Self {
            is_active: gauge("hemlock_placer_active", "Whether this placer holds its zone")?,
            epoch: gauge("hemlock_placer_epoch", "Epoch under which the zone is held")?,
            takeovers: counter("hemlock_placer_takeovers_total", "Times the zone was taken")?,
            jobs: gauge("hemlock_jobs", "Jobs that are kept, ended ones included")?,
            submissions: counters("hemlock_submissions_total", "Submissions", "outcome")?,
            starts: counter("hemlock_starts_total", "Starts that were sent")?,
            worker_calls: counters("hemlock_worker_calls_total", "Calls to workers", "result")?,
            record_writes: counter("hemlock_record_writes_total", "Writes of job records")?,
            record_bytes: counter("hemlock_record_bytes_total", "Bytes of job records written")?,
            decision_seconds,
            registry,
        })
    }
}
