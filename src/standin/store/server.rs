//! The fake store as a running server, with its control interface.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::task;
use tide::{Body, Response, StatusCode};

use crate::clock;
use crate::configs::http::HttpConfig;
use crate::http::error::ApiError;
use crate::http::{rpc, server};
use crate::standin::store::faults::{Counters, Fate, Faults, Injector};
use crate::standin::store::State;
use crate::store::budget::TokenBucket;
use crate::store::{api, Answer, Operation};

/// Time between looks at waiting watches, in milliseconds.
const STEP_MS: u64 = 5;

/// Time for which a call without an answer is held open, in milliseconds.
const SILENCE_MS: u64 = 60_000;

/// Largest body that the fake reads, in bytes.
const BODY_LIMIT_BYTES: u64 = 64 * 1024 * 1024;

/// When the fake tells callers to come back after overload, in milliseconds.
const RETRY_AFTER_MS: u64 = 200;

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    control: Mutex<Control>,
}

#[derive(Debug)]
struct Control {
    injector: Injector,
    counters: Counters,
    old: Option<State>,
    writes: Option<TokenBucket>,
    reads: Option<TokenBucket>,
}

/// The fake as a running server.
#[derive(Clone, Debug)]
pub struct StoreStandin {
    shared: Arc<Shared>,
    server: server::Server,
}

impl StoreStandin {
    /// Starts the fake on `address`.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(address: &str) -> std::io::Result<Self> {
        let control = Control {
            injector: Injector::new(Faults::default()),
            counters: Counters::default(),
            old: None,
            writes: None,
            reads: None,
        };
        let shared =
            Arc::new(Shared { state: Mutex::new(State::new()), control: Mutex::new(control) });
        let mut app = tide::with_state(Arc::clone(&shared));
        app.at(api::PATH).post(serve);
        app.at("/standin/faults").post(change_faults);
        app.at("/standin/counters").get(show_counters);
        app.at("/healthz").get(|_| async { Ok(Response::new(StatusCode::Ok)) });
        let config = HttpConfig { max_body_bytes: BODY_LIMIT_BYTES, ..HttpConfig::default() };
        let server = server::Server::start(address, app, config).await?;
        Ok(Self { shared, server })
    }

    /// Address of the fake.
    pub fn address(&self) -> String {
        self.server.address().to_string()
    }

    /// The state, for checks.
    pub fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.shared.state)
    }

    /// Sets the faults from now on.
    pub fn set_faults(&self, faults: Faults) {
        set_faults(&self.shared, faults);
    }

    /// Calls taken since the start or the last reset.
    pub fn counters(&self) -> Counters {
        lock(&self.shared.control).counters
    }

    /// Begins to count anew.
    pub fn reset_counters(&self) {
        lock(&self.shared.control).counters = Counters::default();
    }
}

fn set_faults(shared: &Shared, faults: Faults) {
    if faults.compact {
        lock(&shared.state).compact();
    }
    let old = (faults.stale_reads > 0.0).then(|| lock(&shared.state).clone());
    let now_ms = clock::now_ms();
    let bucket = |per_s: u64| (per_s > 0).then(|| TokenBucket::new(per_s, per_s, now_ms));
    let mut control = lock(&shared.control);
    control.old = old;
    control.writes = bucket(faults.writes_per_s);
    control.reads = bucket(faults.reads_per_s);
    control.injector = Injector::new(faults);
}

impl Control {
    fn fate(&mut self, operation: &Operation, now_ms: u64) -> Fate {
        let mut fate = self.injector.fate(operation);
        let bucket = if operation.is_write() { &mut self.writes } else { &mut self.reads };
        let is_over = bucket.as_mut().is_some_and(|bucket| !bucket.take(now_ms, 0));
        if is_over && fate != Fate::Silence {
            fate = Fate::Overload;
        }
        self.counters.count(operation, fate);
        fate
    }
}

async fn change_faults(mut request: tide::Request<Arc<Shared>>) -> tide::Result {
    let body = request.body_bytes().await?;
    match serde_json::from_slice(&body) {
        Ok(faults) => set_faults(request.state(), faults),
        Err(error) => return Ok(ApiError::new(400, "bad_faults", error.to_string()).to_response()),
    }
    Ok(Response::new(StatusCode::NoContent))
}

async fn show_counters(request: tide::Request<Arc<Shared>>) -> tide::Result {
    let counters = lock(&request.state().control).counters;
    Ok(Response::builder(StatusCode::Ok).body(Body::from_json(&counters)?).build())
}

async fn serve(mut request: tide::Request<Arc<Shared>>) -> tide::Result {
    let body = request.body_bytes().await?;
    let operation: Operation = match rpc::decode(&body) {
        Ok(operation) => operation,
        Err(error) => {
            return Ok(ApiError::new(400, "bad_operation", error.to_string()).to_response())
        }
    };
    let shared = Arc::clone(request.state());
    let (fate, delay_ms) = {
        let mut control = lock(&shared.control);
        let fate = control.fate(&operation, clock::now_ms());
        (fate, control.injector.faults().delay_ms)
    };
    if delay_ms > 0 {
        task::sleep(Duration::from_millis(delay_ms)).await;
    }
    match fate {
        Fate::Refuse => Ok(refusal()),
        Fate::Overload => Ok(rpc::answer(&Answer::Overloaded { retry_after_ms: RETRY_AFTER_MS })),
        Fate::Silence => {
            task::sleep(Duration::from_millis(SILENCE_MS)).await;
            Ok(lost())
        }
        Fate::Stale => Ok(rpc::answer(&stale(&shared, operation))),
        Fate::LoseAnswer => {
            carry_out(&shared, operation).await;
            Ok(lost())
        }
        Fate::Answer => match carry_out(&shared, operation).await {
            Some(answer) => Ok(rpc::answer(&answer)),
            None => Ok(lost()),
        },
    }
}

fn refusal() -> Response {
    ApiError::new(503, "store_down", "the store is down").to_response()
}

/// A response that tells nothing about the call, as one from a gateway does.
fn lost() -> Response {
    Response::builder(StatusCode::BadGateway).body("the answer was lost").build()
}

fn stale(shared: &Shared, operation: Operation) -> Answer {
    let now_ms = clock::now_ms();
    if let Some(old) = &mut lock(&shared.control).old {
        return old.apply(operation, now_ms);
    }
    lock(&shared.state).apply(operation, now_ms)
}

async fn carry_out(shared: &Shared, operation: Operation) -> Option<Answer> {
    match operation {
        Operation::Watch { wait_ms, .. } => watch(shared, operation, wait_ms).await,
        operation => Some(lock(&shared.state).apply(operation, clock::now_ms())),
    }
}

/// Waits for changes; a store that goes down ends its watches without an answer.
async fn watch(shared: &Shared, operation: Operation, wait_ms: u64) -> Option<Answer> {
    let ends_at_ms = clock::now_ms() + wait_ms;
    let mut seen = None;
    loop {
        let now_ms = clock::now_ms();
        let revision = {
            let mut state = lock(&shared.state);
            state.expire(now_ms);
            state.revision()
        };
        if seen != Some(revision) || now_ms >= ends_at_ms {
            seen = Some(revision);
            let answer = lock(&shared.state).apply(operation.clone(), now_ms);
            let is_empty = matches!(&answer, Answer::Changes { changes, .. } if changes.is_empty());
            if !is_empty || now_ms >= ends_at_ms {
                return Some(answer);
            }
        }
        task::sleep(Duration::from_millis(STEP_MS)).await;
        let faults = lock(&shared.control).injector.faults().clone();
        if faults.silent {
            task::sleep(Duration::from_millis(SILENCE_MS)).await;
        }
        if faults.silent || faults.down {
            return None;
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
