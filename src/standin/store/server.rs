//! HTTP server of the fake store.
//!
//! Beside the store's own calls it serves `POST /standin/faults`, which sets the faults in force,
//! and `GET /standin/counters`, which returns the calls received so far.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::task;
use tide::{Body, Response, StatusCode};

use crate::clock;
use crate::configs::http::HttpConfig;
use crate::http::error::ApiError;
use crate::http::{rpc, server};
use crate::standin::store::faults::{Counters, FaultAction, Faults, Injector};
use crate::standin::store::State;
use crate::store::budget::TokenBucket;
use crate::store::{api, Answer, Operation};

/// Interval at which a waiting watch checks for changes, in milliseconds.
const WATCH_POLL_MS: u64 = 5;

/// Time for which a call is left unanswered under the `silent` fault, in milliseconds.
const UNANSWERED_HOLD_MS: u64 = 60_000;

/// Largest request body that the fake accepts, in bytes.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// Retry delay returned with an overload answer, in milliseconds.
const OVERLOAD_RETRY_AFTER_MS: u64 = 200;

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    control: Mutex<Control>,
}

/// The faults in force and the counters of the fake store.
#[derive(Debug)]
struct Control {
    injector: Injector,
    counters: Counters,
    /// Copy of the state from when the faults were set, for stale reads.
    stale_state: Option<State>,
    /// Limits of the faults in force; `None` for no limit.
    write_limit: Option<TokenBucket>,
    read_limit: Option<TokenBucket>,
}

/// A running fake store.
#[derive(Clone, Debug)]
pub struct StoreStandin {
    shared: Arc<Shared>,
    server: server::Server,
}

impl StoreStandin {
    /// Starts the fake store on `address`; port 0 picks a free port.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(address: &str) -> std::io::Result<Self> {
        let control = Control {
            injector: Injector::new(Faults::default()),
            counters: Counters::default(),
            stale_state: None,
            write_limit: None,
            read_limit: None,
        };
        let shared =
            Arc::new(Shared { state: Mutex::new(State::new()), control: Mutex::new(control) });
        let mut app = tide::with_state(Arc::clone(&shared));
        app.at(api::PATH).post(handle_call);
        app.at("/standin/faults").post(handle_set_faults);
        app.at("/standin/counters").get(handle_counters);
        app.at("/healthz").get(|_| async { Ok(Response::new(StatusCode::Ok)) });
        let config = HttpConfig { max_body_bytes: MAX_BODY_BYTES, ..HttpConfig::default() };
        let server = server::Server::start(address, app, config).await?;
        Ok(Self { shared, server })
    }

    /// Address on which the fake store listens, `IP:port`.
    pub fn address(&self) -> String {
        self.server.address().to_string()
    }

    /// Locks and returns the state, for checks in tests.
    pub fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.shared.state)
    }

    /// Replaces the faults in force and restarts their random sequence.
    pub fn set_faults(&self, faults: Faults) {
        set_faults(&self.shared, faults);
    }

    /// Calls received since the start or the last reset.
    pub fn counters(&self) -> Counters {
        lock(&self.shared.control).counters
    }

    /// Resets the counters to zero.
    pub fn reset_counters(&self) {
        lock(&self.shared.control).counters = Counters::default();
    }
}

fn set_faults(shared: &Shared, faults: Faults) {
    if faults.compact {
        lock(&shared.state).compact();
    }
    let stale_state = (faults.stale_reads > 0.0).then(|| lock(&shared.state).clone());
    let now_ms = clock::now_ms();
    let bucket = |per_s: u64| (per_s > 0).then(|| TokenBucket::new(per_s, per_s, now_ms));
    let mut control = lock(&shared.control);
    control.stale_state = stale_state;
    control.write_limit = bucket(faults.writes_per_s);
    control.read_limit = bucket(faults.reads_per_s);
    control.injector = Injector::new(faults);
}

impl Control {
    fn action(&mut self, operation: &Operation, now_ms: u64) -> FaultAction {
        let mut action = self.injector.next_action(operation);
        let bucket =
            if operation.is_write() { &mut self.write_limit } else { &mut self.read_limit };
        let is_over_limit = bucket.as_mut().is_some_and(|bucket| !bucket.try_take(now_ms, 0));
        if is_over_limit && action != FaultAction::Silence {
            action = FaultAction::Overload;
        }
        self.counters.count(operation, action);
        action
    }
}

async fn handle_set_faults(mut request: tide::Request<Arc<Shared>>) -> tide::Result {
    let body = request.body_bytes().await?;
    match serde_json::from_slice(&body) {
        Ok(faults) => set_faults(request.state(), faults),
        Err(error) => return Ok(ApiError::new(400, "bad_faults", error.to_string()).to_response()),
    }
    Ok(Response::new(StatusCode::NoContent))
}

async fn handle_counters(request: tide::Request<Arc<Shared>>) -> tide::Result {
    let counters = lock(&request.state().control).counters;
    Ok(Response::builder(StatusCode::Ok).body(Body::from_json(&counters)?).build())
}

async fn handle_call(mut request: tide::Request<Arc<Shared>>) -> tide::Result {
    let body = request.body_bytes().await?;
    let operation: Operation = match rpc::decode(&body) {
        Ok(operation) => operation,
        Err(error) => {
            return Ok(ApiError::new(400, "bad_operation", error.to_string()).to_response())
        }
    };
    let shared = Arc::clone(request.state());
    let (action, delay_ms) = {
        let mut control = lock(&shared.control);
        let action = control.action(&operation, clock::now_ms());
        (action, control.injector.faults().delay_ms)
    };
    if delay_ms > 0 {
        task::sleep(Duration::from_millis(delay_ms)).await;
    }
    match action {
        FaultAction::Refuse => Ok(store_down()),
        FaultAction::Overload => {
            Ok(rpc::response(&Answer::Overloaded { retry_after_ms: OVERLOAD_RETRY_AFTER_MS }))
        }
        FaultAction::Silence => {
            task::sleep(Duration::from_millis(UNANSWERED_HOLD_MS)).await;
            Ok(bad_gateway())
        }
        FaultAction::Stale => Ok(rpc::response(&apply_to_stale_state(&shared, operation))),
        FaultAction::LoseAnswer => {
            execute(&shared, operation).await;
            Ok(bad_gateway())
        }
        FaultAction::Answer => match execute(&shared, operation).await {
            Some(answer) => Ok(rpc::response(&answer)),
            None => Ok(bad_gateway()),
        },
    }
}

fn store_down() -> Response {
    ApiError::new(503, "store_down", "the store stand-in is set to be down").to_response()
}

/// A response that does not say whether the call took effect, as from a failing gateway.
fn bad_gateway() -> Response {
    Response::builder(StatusCode::BadGateway)
        .body("the answer of the store stand-in was lost by a fault")
        .build()
}

/// Applies the operation to the copy of the state from when the faults were set.
fn apply_to_stale_state(shared: &Shared, operation: Operation) -> Answer {
    let now_ms = clock::now_ms();
    if let Some(stale_state) = &mut lock(&shared.control).stale_state {
        return stale_state.apply(operation, now_ms);
    }
    lock(&shared.state).apply(operation, now_ms)
}

async fn execute(shared: &Shared, operation: Operation) -> Option<Answer> {
    match operation {
        Operation::Watch { wait_ms, .. } => watch(shared, operation, wait_ms).await,
        operation => Some(lock(&shared.state).apply(operation, clock::now_ms())),
    }
}

/// Answers a watch once there are changes or after `wait_ms`.
///
/// Returns `None`, for no answer, when the store is set to `down` or `silent` meanwhile.
async fn watch(shared: &Shared, operation: Operation, wait_ms: u64) -> Option<Answer> {
    let ends_at_ms = clock::now_ms() + wait_ms;
    let mut seen_revision = None;
    loop {
        let now_ms = clock::now_ms();
        let revision = {
            let mut state = lock(&shared.state);
            state.expire(now_ms);
            state.revision()
        };
        if seen_revision != Some(revision) || now_ms >= ends_at_ms {
            seen_revision = Some(revision);
            let answer = lock(&shared.state).apply(operation.clone(), now_ms);
            let is_empty = matches!(&answer, Answer::Changes { changes, .. } if changes.is_empty());
            if !is_empty || now_ms >= ends_at_ms {
                return Some(answer);
            }
        }
        task::sleep(Duration::from_millis(WATCH_POLL_MS)).await;
        let faults = lock(&shared.control).injector.faults().clone();
        if faults.silent {
            task::sleep(Duration::from_millis(UNANSWERED_HOLD_MS)).await;
        }
        if faults.silent || faults.down {
            return None;
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
