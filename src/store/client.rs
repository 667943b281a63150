//! The store over HTTP.

use crate::configs::store::StoreConfig;
use crate::http::client::Pool;
use crate::http::rpc::{self, Call, RpcError};
use crate::store::{api, Answer, BoxFuture, Operation, Priority, Store, StoreError};

/// The platform's store over HTTP.
#[derive(Clone, Debug)]
pub struct HttpStore {
    config: StoreConfig,
    pool: Pool,
}

impl HttpStore {
    /// A client of the store that `config` names.
    pub fn new(config: StoreConfig, pool: Pool) -> Self {
        Self { config, pool }
    }

    async fn send(&self, operation: Operation) -> Result<Answer, StoreError> {
        let waits_ms = match &operation {
            Operation::Watch { wait_ms, .. } => *wait_ms,
            _ => 0,
        };
        let call = Call {
            address: &self.config.address,
            path: api::PATH,
            token: "",
            timeout_ms: self.config.timeout_ms + waits_ms,
        };
        let answer: Answer =
            rpc::call(&self.pool, &call, &operation).await.map_err(|error| store_error(&error))?;
        match answer {
            Answer::LeaseGone | Answer::TooLarge | Answer::Overloaded { .. } => {
                Err(answer.unexpected())
            }
            answer => Ok(answer),
        }
    }
}

impl Store for HttpStore {
    fn call(
        &self,
        operation: Operation,
        _priority: Priority,
    ) -> BoxFuture<'_, Result<Answer, StoreError>> {
        Box::pin(self.send(operation))
    }
}

fn store_error(error: &RpcError) -> StoreError {
    if error.is_certain() {
        return StoreError::Away(error.to_string());
    }
    StoreError::Lost(error.to_string())
}
