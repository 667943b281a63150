//! Counters and histograms of a host.

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry,
};

/// Bounds of latencies, in seconds.
const LATENCY_BOUNDS_S: [f64; 9] = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 3.0];

/// Counters and histograms of a host.
#[derive(Clone, Debug)]
pub struct QueueMetrics {
    /// Callers' requests by kind and status.
    pub requests: IntCounterVec,
    /// Time until callers' requests were answered, by kind.
    pub request_seconds: HistogramVec,
    /// Orders to runners by kind and result.
    pub orders: IntCounterVec,
    /// Time until orders were answered.
    pub order_seconds: Histogram,
    /// Calls to the store by purpose and result.
    pub store_calls: IntCounterVec,
    /// Jobs, held tasks and usable runners that the leader knows.
    pub known: IntGaugeVec,
}

impl QueueMetrics {
    /// Metrics in `registry`.
    ///
    /// # Errors
    /// The registry has metrics of the same names.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let bounds = LATENCY_BOUNDS_S.to_vec();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels)
        };
        let latency =
            |name: &str, help: &str| HistogramOpts::new(name, help).buckets(bounds.clone());
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
            known: IntGaugeVec::new(Opts::new("queue_known", "What the leader knows"), &["what"])?,
        };
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.request_seconds.clone()))?;
        registry.register(Box::new(metrics.orders.clone()))?;
        registry.register(Box::new(metrics.order_seconds.clone()))?;
        registry.register(Box::new(metrics.store_calls.clone()))?;
        registry.register(Box::new(metrics.known.clone()))?;
        Ok(metrics)
    }
}
