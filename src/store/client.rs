//! HTTP client of the store, with one call budget and circuit breaker per client.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::task;
use futures_lite::future;

use crate::clock;
use crate::collections;
use crate::configs::store::StoreConfig;
use crate::http::client::Pool;
use crate::http::rpc::{self, Call, RpcError};
use crate::store::admission::{Admission, AdmissionController};
use crate::store::metrics::StoreMetrics;
use crate::store::{api, Answer, BoxFuture, Operation, Priority, Store, StoreError};

/// Interval at which a waiting watch checks whether the circuit breaker has opened, in
/// milliseconds.
const WATCH_CHECK_INTERVAL_MS: u64 = 250;

/// HTTP client of the platform's store. Clones share one call budget and circuit breaker.
#[derive(Clone, Debug)]
pub struct HttpStore {
    config: StoreConfig,
    pool: Pool,
    admission: Arc<Mutex<AdmissionController>>,
    metrics: StoreMetrics,
}

impl HttpStore {
    /// Creates a client of the store at the address in `config`.
    pub fn new(config: StoreConfig, pool: Pool) -> Self {
        let admission = AdmissionController::new(&config, seed(), clock::now_ms());
        Self {
            config,
            pool,
            admission: Arc::new(Mutex::new(admission)),
            metrics: StoreMetrics::default(),
        }
    }

    /// Registers the client's metrics.
    ///
    /// # Errors
    /// The registry already holds metrics of the same names.
    pub fn with_metrics(self, registry: &prometheus::Registry) -> Result<Self, prometheus::Error> {
        self.metrics.register(registry)?;
        Ok(self)
    }

    /// Whether the circuit breaker is open: the store has failed repeatedly, and only probes are
    /// sent to it.
    pub fn is_unavailable(&self) -> bool {
        self.admission().is_unavailable()
    }

    async fn execute(
        &self,
        operation: Operation,
        priority: Priority,
    ) -> Result<Answer, StoreError> {
        if let Operation::Put { value, .. } = &operation {
            if value.len() > api::VALUE_LIMIT_BYTES {
                return Err(StoreError::TooLarge);
            }
        }
        let kind = operation.kind();
        let result = match self.await_admission(operation.is_write(), priority).await {
            Ok(()) => {
                let result = self.send(operation).await;
                self.admission().record_result(&result, clock::now_ms());
                result
            }
            Err(error) => Err(error),
        };
        self.metrics.record_call(kind, &result);
        self.metrics.set_unavailable(self.is_unavailable());
        result
    }

    async fn await_admission(&self, is_write: bool, priority: Priority) -> Result<(), StoreError> {
        let ends_at_ms = clock::now_ms() + self.config.budget_wait_ms;
        loop {
            let now_ms = clock::now_ms();
            let admission = self.admission().admit(is_write, priority, now_ms);
            match admission {
                Admission::Admitted => return Ok(()),
                Admission::Unavailable => {
                    return Err(StoreError::Unavailable(
                        "recent calls failed and the circuit breaker is open".to_owned(),
                    ))
                }
                Admission::Wait(wait_ms) if now_ms + wait_ms > ends_at_ms => {
                    return Err(StoreError::OverBudget);
                }
                Admission::Wait(wait_ms) => task::sleep(Duration::from_millis(wait_ms)).await,
            }
        }
    }

    async fn send(&self, operation: Operation) -> Result<Answer, StoreError> {
        match &operation {
            Operation::Watch { wait_ms, .. } => {
                let wait_ms = *wait_ms;
                future::or(self.exchange(&operation, wait_ms), self.wait_until_unavailable()).await
            }
            _ => self.exchange(&operation, 0).await,
        }
    }

    /// Ends a waiting watch with an error once the circuit breaker opens: other calls fail, so the
    /// watch's connection may be dead too.
    async fn wait_until_unavailable(&self) -> Result<Answer, StoreError> {
        loop {
            task::sleep(Duration::from_millis(WATCH_CHECK_INTERVAL_MS)).await;
            if self.is_unavailable() {
                return Err(StoreError::Indeterminate("other store calls are failing".to_owned()));
            }
        }
    }

    async fn exchange(&self, operation: &Operation, wait_ms: u64) -> Result<Answer, StoreError> {
        let call = Call {
            address: &self.config.address,
            path: api::PATH,
            token: "",
            timeout_ms: self.config.timeout_ms + wait_ms,
        };
        let answer: Answer =
            rpc::call(&self.pool, &call, operation).await.map_err(|error| store_error(&error))?;
        match answer {
            Answer::LeaseGone | Answer::TooLarge | Answer::Overloaded { .. } => {
                Err(answer.into_error())
            }
            answer => Ok(answer),
        }
    }

    fn admission(&self) -> MutexGuard<'_, AdmissionController> {
        self.admission.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Store for HttpStore {
    fn call(
        &self,
        operation: Operation,
        priority: Priority,
    ) -> BoxFuture<'_, Result<Answer, StoreError>> {
        Box::pin(self.execute(operation, priority))
    }
}

/// Jitter seed that differs between processes and between starts of one process.
fn seed() -> u64 {
    let text = format!("{}-{}-{}", std::process::id(), clock::unix_ms(), clock::now_us());
    collections::stable_hash(text)
}

fn store_error(error: &RpcError) -> StoreError {
    if error.is_not_executed() {
        return StoreError::Unavailable(error.to_string());
    }
    StoreError::Indeterminate(error.to_string())
}
