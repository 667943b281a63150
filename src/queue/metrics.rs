//! Prometheus metrics of a host.

use prometheus::{
    GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry,
};

/// Upper bounds of the latency histogram buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 9] = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 3.0];

/// Prometheus metrics of a host.
#[derive(Clone, Debug)]
pub struct QueueMetrics {
    /// Requests of callers by kind and HTTP status.
    pub requests: IntCounterVec,
    /// Time to answer a caller's request, in seconds, by kind.
    pub request_seconds: HistogramVec,
    /// Orders to runners by kind and result.
    pub orders: IntCounterVec,
    /// Time until a runner answered an order, in seconds.
    pub order_seconds: Histogram,
    /// Calls to the store by kind and result.
    pub store_calls: IntCounterVec,
    /// Numbers of jobs, of tasks assigned to runners and of usable runners, as known to the leader.
    pub leader_gauges: IntGaugeVec,
    /// Records of others in the store that could not be read, by kind.
    pub unreadable_records: IntCounterVec,
    /// Crashes of runners, and suspected tasks, cleared tasks and jobs given up because of them.
    pub crash_events: IntCounterVec,
    /// Duration of runs relative to the usual one, by kind of runner; only kinds that differ clearly.
    pub speed_factors: GaugeVec,
}

impl QueueMetrics {
    /// Creates the metrics and registers them in `registry`.
    ///
    /// # Errors
    /// Fails when the registry already has metrics of the same names.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let buckets = LATENCY_BUCKETS_S.to_vec();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels)
        };
        let latency =
            |name: &str, help: &str| HistogramOpts::new(name, help).buckets(buckets.clone());
        let metrics = Self {
            requests: counter("queue_requests_total", "Requests of callers", &["kind", "status"])?,
            request_seconds: HistogramVec::new(
                latency("queue_request_seconds", "Time until a request was answered"),
                &["kind"],
            )?,
            orders: counter("queue_orders_total", "Orders to runners", &["kind", "result"])?,
            order_seconds: Histogram::with_opts(latency(
                "queue_order_seconds",
                "Time until an order was answered",
            ))?,
            store_calls: counter("queue_store_calls_total", "Store calls", &["kind", "result"])?,
            leader_gauges: IntGaugeVec::new(
                Opts::new("queue_known", "What the leader knows"),
                &["what"],
            )?,
            unreadable_records: counter(
                "queue_unreadable_records_total",
                "Records of others in the store that could not be read",
                &["kind"],
            )?,
            crash_events: counter(
                "queue_crash_events_total",
                "Crashes of runners and their consequences",
                &["event"],
            )?,
            speed_factors: GaugeVec::new(
                Opts::new(
                    "queue_runner_speed_factor",
                    "Duration of runs relative to the usual one, as measured by the leader",
                ),
                &["kind"],
            )?,
        };
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.request_seconds.clone()))?;
        registry.register(Box::new(metrics.orders.clone()))?;
        registry.register(Box::new(metrics.order_seconds.clone()))?;
        registry.register(Box::new(metrics.store_calls.clone()))?;
        registry.register(Box::new(metrics.leader_gauges.clone()))?;
        registry.register(Box::new(metrics.unreadable_records.clone()))?;
        registry.register(Box::new(metrics.crash_events.clone()))?;
        registry.register(Box::new(metrics.speed_factors.clone()))?;
        Ok(metrics)
    }
}
