//! Metrics of the store client.

use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

use crate::store::StoreError;

/// Counters of calls by kind and end.
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
    /// The registry has metrics of the same names.
    pub fn register(&self, registry: &Registry) -> Result<(), prometheus::Error> {
        registry.register(Box::new(self.calls.clone()))?;
        registry.register(Box::new(self.away.clone()))
    }

    /// Counts one call.
    pub(crate) fn count<T>(&self, kind: &str, result: &Result<T, StoreError>) {
        let end = match result {
            Ok(_) => "answered",
            Err(StoreError::Away(_)) => "away",
            Err(StoreError::Lost(_)) => "lost",
            Err(StoreError::LeaseGone) => "lease_gone",
            Err(StoreError::TooLarge) => "too_large",
            Err(StoreError::Overloaded { .. }) => "overloaded",
            Err(StoreError::OverBudget) => "over_budget",
        };
        self.calls.with_label_values(&[kind, end]).inc();
    }

    /// Notes whether the store has failed lately.
    pub(crate) fn set_away(&self, is_away: bool) {
        self.away.set(i64::from(is_away));
    }
}
