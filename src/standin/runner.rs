//! A fake of an endpoint with slots, which keeps its own record of what it ran.
//!
//! The record is the oracle of the tests: it says which request began and ended
//! when, how much ran at once, and what came in after the endpoint said that it leaves.

mod records;

use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use async_std::task;
use futures_lite::AsyncWriteExt as _;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use tide::{Request, Response, StatusCode};

use crate::configs::http::HttpConfig;
use crate::http::error::ApiError;
use crate::http::server::{self, CallerLink, Server};
use crate::{clock, outcome};

pub use records::{Records, Run};

/// Header that sets how long a request runs, in milliseconds.
pub const RUN_HEADER: &str = "Hemlock-Standin-Run-Ms";

/// Pause between the answer and its unasked copy, in milliseconds.
const DOUBLE_AFTER_MS: u64 = 2;

/// Settings of the fake endpoint.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RunnerConfig {
    /// Name of the endpoint.
    pub name: String,
    /// Address to listen on, `IP:port`.
    pub listen: String,
    /// Requests that run at once; one more is declined.
    pub slots: u32,
    /// Run time of a request that does not set its own, in milliseconds.
    pub run_ms: u64,
    /// Factor on run times in slow mode.
    pub slow_factor: u64,
}

impl Default for RunnerConfig {
    fn default() -> Self {
        Self {
            name: "runner".to_owned(),
            listen: "127.0.0.1:0".to_owned(),
            slots: 8,
            run_ms: 2,
            slow_factor: 20,
        }
    }
}

/// How the fake endpoint behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Runs and answers.
    #[default]
    Normal,
    /// Runs and answers, and says that it leaves.
    Leaving,
    /// Answers 500 at once without running anything.
    FastFail,
    /// Runs many times longer.
    Slow,
    /// Accepts requests and never answers.
    Silent,
    /// Runs, then sends less than it declares.
    Short,
    /// Starts to run, then breaks the connection.
    Reset,
    /// Runs, then sends its answer twice.
    Doubled,
}

/// Asks for a mode.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize, Deserialize)]
pub struct ModeChange {
    /// The new mode.
    pub mode: Mode,
}

/// What the fake endpoint says about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Health {
    /// Name of the endpoint.
    pub name: String,
    /// Requests that run now.
    pub busy: u32,
    /// Requests that may run at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// What the fake endpoint answers to a request that it ran.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RunAnswer {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Digest of the request's body, in hexadecimal.
    pub sha256: String,
}

/// A running fake endpoint.
#[derive(Clone, Debug)]
pub struct RunnerStandin {
    shared: Arc<Shared>,
    server: Server,
}

#[derive(Debug)]
struct Shared {
    config: RunnerConfig,
    state: Mutex<State>,
    server: OnceLock<Server>,
}

#[derive(Debug, Default)]
struct State {
    mode: Mode,
    records: Records,
}

impl RunnerStandin {
    /// Starts the fake endpoint.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(config: RunnerConfig) -> std::io::Result<Self> {
        let listen = config.listen.clone();
        let shared = Arc::new(Shared { config, state: Mutex::default(), server: OnceLock::new() });
        let mut app = tide::with_state(Arc::clone(&shared));
        app.at("/").post(serve);
        app.at("/healthz").get(serve_health);
        app.at("/standin/mode").post(serve_mode);
        app.at("/standin/records").get(serve_records);
        app.at("/*").post(serve);
        let server = Server::start(&listen, app, HttpConfig::default()).await?;
        let _ = shared.server.set(server.clone());
        Ok(Self { shared, server })
    }

    /// Address of the endpoint.
    pub fn address(&self) -> String {
        self.server.address().to_string()
    }

    /// What the endpoint ran until now.
    pub fn records(&self) -> Records {
        self.shared.lock().records.clone()
    }

    /// Changes how the endpoint behaves.
    pub fn set_mode(&self, mode: Mode) {
        self.shared.set_mode(mode);
    }

    /// Stops accepting and breaks nothing that runs; for an endpoint that goes away.
    pub async fn stop(&self) {
        self.server.finish(0).await;
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_mode(&self, mode: Mode) {
        let mut state = self.lock();
        state.mode = mode;
        if mode != Mode::Leaving {
            state.records.leaving_since_ms = None;
        }
    }

    fn connections(&self) -> usize {
        self.server.get().map_or(0, Server::connections)
    }

    fn run_ms(&self, request: &Request<Arc<Self>>, mode: Mode) -> u64 {
        let asked = request.header(RUN_HEADER).and_then(|value| value.as_str().parse().ok());
        let run_ms = asked.unwrap_or(self.config.run_ms);
        if mode == Mode::Slow {
            return run_ms.saturating_mul(self.config.slow_factor);
        }
        run_ms
    }
}

async fn serve_health(request: Request<Arc<Shared>>) -> tide::Result {
    let shared = request.state();
    let mut state = shared.lock();
    let health = Health {
        name: shared.config.name.clone(),
        busy: state.records.busy,
        slots: shared.config.slots,
        leaving: state.mode == Mode::Leaving,
    };
    if health.leaving {
        state.records.announce();
    }
    Ok(json(StatusCode::Ok, &health))
}

async fn serve_mode(mut request: Request<Arc<Shared>>) -> tide::Result {
    let body = request.body_bytes().await?;
    match serde_json::from_slice::<ModeChange>(&body) {
        Ok(change) => request.state().set_mode(change.mode),
        Err(error) => {
            return Ok(ApiError::new(400, "bad_mode", error.to_string()).to_response());
        }
    }
    Ok(Response::new(StatusCode::NoContent))
}

async fn serve_records(request: Request<Arc<Shared>>) -> tide::Result {
    let records = request.state().lock().records.clone();
    Ok(json(StatusCode::Ok, &records))
}

async fn serve(mut request: Request<Arc<Shared>>) -> tide::Result {
    let body = server::read_body(&mut request, &HttpConfig::default()).await;
    let body = match body {
        Ok(body) => body,
        Err(error) => return Ok(error.to_response()),
    };
    let shared = Arc::clone(request.state());
    let link = request.ext::<CallerLink>().cloned();
    let run = Run::new(header(&request, "Idempotency-Key"), header(&request, "Hemlock-Request-Id"));
    let connections = shared.connections();
    let (mode, begun) = {
        let mut state = shared.lock();
        let mode = state.mode;
        let begun = match mode {
            Mode::FastFail | Mode::Silent => None,
            _ => Some(state.records.begin(run, connections, shared.config.slots)),
        };
        (mode, begun)
    };
    let index = match (mode, begun) {
        (Mode::FastFail, _) => return Ok(Response::new(StatusCode::InternalServerError)),
        (_, Some(Some(index))) => index,
        (_, Some(None)) => return Ok(declined()),
        (_, None) => return Ok(keep_silent(&shared, link).await),
    };
    let run_ms = shared.run_ms(&request, mode);
    if mode == Mode::Reset {
        cut(link.as_ref());
    }
    // The run goes on when the caller goes away, as it would in a program behind a slot.
    let ended = Arc::clone(&shared);
    task::spawn(async move {
        task::sleep(Duration::from_millis(run_ms)).await;
        ended.lock().records.end(index);
    })
    .await;
    let answer = RunAnswer {
        endpoint: shared.config.name.clone(),
        sha256: format!("{:x}", Sha256::digest(&body)),
    };
    Ok(finish(&shared, mode, &answer, link.as_ref()))
}

/// The answer of a run, broken as the mode asks.
fn finish(shared: &Shared, mode: Mode, answer: &RunAnswer, link: Option<&CallerLink>) -> Response {
    let mut response = json(StatusCode::Ok, answer);
    match mode {
        Mode::Leaving => {
            response.insert_header(outcome::LEAVING_HEADER, "true");
            shared.lock().records.announce();
        }
        Mode::Short => {
            let body = serde_json::to_vec(answer).unwrap_or_default();
            let declared = body.len();
            let half = futures_lite::io::Cursor::new(body[..declared / 2].to_vec());
            let reader = futures_lite::io::BufReader::new(half);
            response.set_body(tide::Body::from_reader(reader, Some(declared)));
            let link = link.cloned();
            task::spawn(async move {
                task::sleep(Duration::from_millis(DOUBLE_AFTER_MS)).await;
                cut(link.as_ref());
            });
        }
        Mode::Doubled => send_again(answer, link.cloned()),
        _ => {}
    }
    response
}

fn send_again(answer: &RunAnswer, link: Option<CallerLink>) {
    let body = serde_json::to_string(answer).unwrap_or_default();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    task::spawn(async move {
        task::sleep(Duration::from_millis(DOUBLE_AFTER_MS)).await;
        if let Some(link) = link {
            let _ = link.stream().write_all(format!("{head}{body}").as_bytes()).await;
        }
    });
}

async fn keep_silent(shared: &Shared, link: Option<CallerLink>) -> Response {
    shared.lock().records.unanswered += 1;
    if let Some(link) = link {
        link.closed().await;
    }
    Response::new(StatusCode::ServiceUnavailable)
}

fn declined() -> Response {
    let mut response = Response::new(StatusCode::ServiceUnavailable);
    response.insert_header(outcome::NOT_STARTED_HEADER, "true");
    response
}

fn cut(link: Option<&CallerLink>) {
    if let Some(link) = link {
        let _ = link.stream().shutdown(std::net::Shutdown::Both);
    }
}

fn header(request: &Request<Arc<Shared>>, name: &str) -> String {
    request.header(name).map_or_else(String::new, |values| values.as_str().to_owned())
}

fn json(status: StatusCode, value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::builder(status).content_type("application/json").body(body).build()
}

/// Wall time now, in milliseconds, so that records of several processes can be compared.
fn now_ms() -> u64 {
    clock::unix_ms()
}
