//! The store over HTTP, within one budget for all calls of the process.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::task;
use futures_lite::future;

use crate::clock;
use crate::collections;
use crate::configs::store::StoreConfig;
use crate::http::client::Pool;
use crate::http::rpc::{self, Call, RpcError};
use crate::store::gate::{Admission, Gate};
use crate::store::metrics::StoreMetrics;
use crate::store::{api, Answer, BoxFuture, Operation, Priority, Store, StoreError};

/// Time between looks at whether the store failed while a watch waits, in milliseconds.
const WATCH_LOOK_MS: u64 = 250;

/// The platform's store over HTTP.
#[derive(Clone, Debug)]
pub struct HttpStore {
    config: StoreConfig,
    pool: Pool,
    gate: Arc<Mutex<Gate>>,
    metrics: StoreMetrics,
}

impl HttpStore {
    /// A client of the store that `config` names.
    pub fn new(config: StoreConfig, pool: Pool) -> Self {
        let gate = Gate::new(&config, seed(), clock::now_ms());
        Self { config, pool, gate: Arc::new(Mutex::new(gate)), metrics: StoreMetrics::default() }
    }

    /// Registers the client's metrics.
    ///
    /// # Errors
    /// The registry has metrics of the same names.
    pub fn with_metrics(self, registry: &prometheus::Registry) -> Result<Self, prometheus::Error> {
        self.metrics.register(registry)?;
        Ok(self)
    }

    /// Whether the store has failed lately, so that calls are refused but for probes.
    pub fn is_away(&self) -> bool {
        self.gate().is_away()
    }

    async fn carry_out(
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
        let result = match self.await_turn(operation.is_write(), priority).await {
            Ok(()) => {
                let result = self.send(operation).await;
                self.gate().ended(&result, clock::now_ms());
                result
            }
            Err(error) => Err(error),
        };
        self.metrics.count(kind, &result);
        self.metrics.set_away(self.is_away());
        result
    }

    async fn await_turn(&self, is_write: bool, priority: Priority) -> Result<(), StoreError> {
        let ends_at_ms = clock::now_ms() + self.config.budget_wait_ms;
        loop {
            let now_ms = clock::now_ms();
            let admission = self.gate().ask(is_write, priority, now_ms);
            match admission {
                Admission::Go => return Ok(()),
                Admission::Away => return Err(StoreError::Away("it failed lately".to_owned())),
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
                future::or(self.exchange(&operation, wait_ms), self.failed_meanwhile()).await
            }
            _ => self.exchange(&operation, 0).await,
        }
    }

    /// Ends a watch whose connection may be dead when other calls fail.
    async fn failed_meanwhile(&self) -> Result<Answer, StoreError> {
        loop {
            task::sleep(Duration::from_millis(WATCH_LOOK_MS)).await;
            if self.is_away() {
                return Err(StoreError::Lost("other calls fail".to_owned()));
            }
        }
    }

    async fn exchange(&self, operation: &Operation, waits_ms: u64) -> Result<Answer, StoreError> {
        let call = Call {
            address: &self.config.address,
            path: api::PATH,
            token: "",
            timeout_ms: self.config.timeout_ms + waits_ms,
        };
        let answer: Answer =
            rpc::call(&self.pool, &call, operation).await.map_err(|error| store_error(&error))?;
        match answer {
            Answer::LeaseGone | Answer::TooLarge | Answer::Overloaded { .. } => {
                Err(answer.unexpected())
            }
            answer => Ok(answer),
        }
    }

    fn gate(&self) -> MutexGuard<'_, Gate> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Store for HttpStore {
    fn call(
        &self,
        operation: Operation,
        priority: Priority,
    ) -> BoxFuture<'_, Result<Answer, StoreError>> {
        Box::pin(self.carry_out(operation, priority))
    }
}

/// A seed that differs between processes and starts.
fn seed() -> u64 {
    let text = format!("{}-{}-{}", std::process::id(), clock::unix_ms(), clock::now_us());
    collections::stable_hash(text)
}

fn store_error(error: &RpcError) -> StoreError {
    if error.is_certain() {
        return StoreError::Away(error.to_string());
    }
    StoreError::Lost(error.to_string())
}
