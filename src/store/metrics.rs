//! Metrics of the store client.

use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

use crate::store::StoreError;

/// Prometheus metrics of the store client.
#[derive(Clone, Debug)]
pub struct StoreMetrics {
    calls: IntCounterVec,
    away: IntGauge,
}

impl Default for StoreMetrics {
    #[allow(clippy::expect_used, reason = "the names are constant")]
    fn default() -> Self {
        let options = Opts::new("hemlock_store_calls_total", "Store calls by kind and end");
        let away = Opts::new("hemlock_store_away", "1 while the store has failed lately");
        Self {
            calls: IntCounterVec::new(options, &["kind", "end"]).expect("constant names"),
            away: IntGauge::with_opts(away).expect("constant names"),
        }
    }
}

impl StoreMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// The registry already holds metrics of the same names.
    pub fn register(&self, registry: &Registry) -> Result<(), prometheus::Error> {
        registry.register(Box::new(self.calls.clone()))?;
        registry.register(Box::new(self.away.clone()))
    }

    /// Counts one call by operation kind and result.
    pub(crate) fn record_call<T>(&self, kind: &str, result: &Result<T, StoreError>) {
        let end = match result {
            Ok(_) => "answered",
            Err(StoreError::Unavailable(_)) => "away",
            Err(StoreError::Indeterminate(_)) => "lost",
            Err(StoreError::LeaseGone) => "lease_gone",
            Err(StoreError::TooLarge) => "too_large",
            Err(StoreError::Overloaded { .. }) => "overloaded",
            Err(StoreError::OverBudget) => "over_budget",
        };
        self.calls.with_label_values(&[kind, end]).inc();
    }

    /// Sets the gauge that tells whether the circuit breaker is open.
    pub(crate) fn set_unavailable(&self, is_unavailable: bool) {
        self.away.set(i64::from(is_unavailable));
    }
}
