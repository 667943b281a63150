//! A fake runner: a service endpoint that runs a limited number of requests at once.
//!
//! It records which request began and ended when, how many ran at once, and what
//! arrived after it announced its shutdown. Tests compare the answers that callers
//! received with this record.

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
use crate::http::server::{self, CallerConnection, Server};
use crate::{clock, outcome};

pub use records::{Records, Run};

/// Request header that sets how long the request runs, in milliseconds; absent means
/// [`RunnerConfig::run_ms`].
pub const RUN_HEADER: &str = "Hemlock-Standin-Run-Ms";

/// Pause between an answer and what the mode does after it, in milliseconds: closing the connection
/// (`short`) or sending the answer again (`doubled`).
const AFTER_ANSWER_MS: u64 = 2;

/// Settings of the fake runner.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RunnerConfig {
    /// Name of the runner, returned in its answers.
    pub name: String,
    /// Address to listen on, `IP:port`; port 0 picks a free port.
    pub listen: String,
    /// Number of requests that run at once; any beyond it is declined with `Hemlock-Not-Started`.
    pub slots: u32,
    /// Run time of a request that does not set its own, in milliseconds.
    pub run_ms: u64,
    /// Factor by which run times are multiplied in slow mode.
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

/// How the fake runner behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Runs requests and answers.
    #[default]
    Normal,
    /// Runs requests and answers, and announces in answers and `/healthz` that it is leaving.
    Leaving,
    /// Answers 500 at once without running the request.
    FastFail,
    /// Runs requests [`RunnerConfig::slow_factor`] times as long.
    Slow,
    /// Accepts requests and never answers.
    Silent,
    /// Runs the request, then sends half of the declared body and closes the connection.
    Short,
    /// Starts to run the request, then closes the connection without an answer.
    Reset,
    /// Runs the request, then sends its answer twice.
    Doubled,
}

/// Body of `POST /standin/mode`.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize, Deserialize)]
pub struct ModeChange {
    /// Mode to behave in from now on.
    pub mode: Mode,
}

/// Answer of `GET /healthz`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Health {
    /// Name of the runner.
    pub name: String,
    /// Requests that run now.
    pub busy: u32,
    /// Requests that may run at once.
    pub slots: u32,
    /// Whether it announces that it is leaving.
    pub leaving: bool,
}

/// Body of the answer to a request that was run.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RunAnswer {
    /// Name of the runner that ran it.
    pub endpoint: String,
    /// SHA-256 of the request's body, in lower-case hexadecimal.
    pub sha256: String,
}

/// A running fake runner.
#[derive(Clone, Debug)]
pub struct RunnerStandin {
    shared: Arc<Shared>,
    server: Server,
}

#[derive(Debug)]
struct Shared {
    config: RunnerConfig,
    state: Mutex<State>,
    /// Set once the server has started; counts the open connections.
    server: OnceLock<Server>,
}

#[derive(Debug, Default)]
struct State {
    mode: Mode,
    records: Records,
}

impl RunnerStandin {
    /// Starts the fake runner in normal mode.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(config: RunnerConfig) -> std::io::Result<Self> {
        let listen = config.listen.clone();
        let shared = Arc::new(Shared { config, state: Mutex::default(), server: OnceLock::new() });
        let mut app = tide::with_state(Arc::clone(&shared));
        app.at("/").post(handle_run);
        app.at("/healthz").get(handle_health);
        app.at("/standin/mode").post(handle_set_mode);
        app.at("/standin/records").get(handle_records);
        app.at("/*").post(handle_run);
        let server = Server::start(&listen, app, HttpConfig::default()).await?;
        let _ = shared.server.set(server.clone());
        Ok(Self { shared, server })
    }

    /// Address on which the runner listens, `IP:port`.
    pub fn address(&self) -> String {
        self.server.address().to_string()
    }

    /// Returns a copy of the record of what was run so far.
    pub fn records(&self) -> Records {
        self.shared.lock().records.clone()
    }

    /// Changes the behaviour, as `POST /standin/mode` does; leaving the `leaving` mode withdraws
    /// the announcement.
    pub fn set_mode(&self, mode: Mode) {
        self.shared.set_mode(mode);
    }

    /// Stops accepting connections, like an endpoint that shuts down; running requests are not
    /// aborted.
    pub async fn stop(&self) {
        self.server.shut_down(0).await;
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
        let requested_ms = request.header(RUN_HEADER).and_then(|value| value.as_str().parse().ok());
        let run_ms = requested_ms.unwrap_or(self.config.run_ms);
        if mode == Mode::Slow {
            return run_ms.saturating_mul(self.config.slow_factor);
        }
        run_ms
    }
}

async fn handle_health(request: Request<Arc<Shared>>) -> tide::Result {
    let shared = request.state();
    let mut state = shared.lock();
    let health = Health {
        name: shared.config.name.clone(),
        busy: state.records.busy,
        slots: shared.config.slots,
        leaving: state.mode == Mode::Leaving,
    };
    if health.leaving {
        state.records.announce_leaving();
    }
    Ok(json(StatusCode::Ok, &health))
}

async fn handle_set_mode(mut request: Request<Arc<Shared>>) -> tide::Result {
    let body = request.body_bytes().await?;
    match serde_json::from_slice::<ModeChange>(&body) {
        Ok(change) => request.state().set_mode(change.mode),
        Err(error) => {
            return Ok(ApiError::new(400, "bad_mode", error.to_string()).to_response());
        }
    }
    Ok(Response::new(StatusCode::NoContent))
}

async fn handle_records(request: Request<Arc<Shared>>) -> tide::Result {
    let records = request.state().lock().records.clone();
    Ok(json(StatusCode::Ok, &records))
}

async fn handle_run(mut request: Request<Arc<Shared>>) -> tide::Result {
    let body = server::read_body(&mut request, &HttpConfig::default()).await;
    let body = match body {
        Ok(body) => body,
        Err(error) => return Ok(error.to_response()),
    };
    let shared = Arc::clone(request.state());
    let link = request.ext::<CallerConnection>().cloned();
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
        (_, None) => return Ok(wait_for_close(&shared, link).await),
    };
    let run_ms = shared.run_ms(&request, mode);
    if mode == Mode::Reset {
        close_connection(link.as_ref());
    }
    // A task of its own, so that the run continues when the caller disconnects, as in a real
    // runner.
    let task_shared = Arc::clone(&shared);
    task::spawn(async move {
        task::sleep(Duration::from_millis(run_ms)).await;
        task_shared.lock().records.end(index);
    })
    .await;
    let answer = RunAnswer {
        endpoint: shared.config.name.clone(),
        sha256: format!("{:x}", Sha256::digest(&body)),
    };
    Ok(run_response(&shared, mode, &answer, link.as_ref()))
}

/// Builds the answer to a request that was run, with the fault of the mode.
fn run_response(
    shared: &Shared,
    mode: Mode,
    answer: &RunAnswer,
    link: Option<&CallerConnection>,
) -> Response {
    let mut response = json(StatusCode::Ok, answer);
    match mode {
        Mode::Leaving => {
            response.insert_header(outcome::LEAVING_HEADER, "true");
            shared.lock().records.announce_leaving();
        }
        Mode::Short => {
            let body = serde_json::to_vec(answer).unwrap_or_default();
            let declared = body.len();
            let half = futures_lite::io::Cursor::new(body[..declared / 2].to_vec());
            let reader = futures_lite::io::BufReader::new(half);
            response.set_body(tide::Body::from_reader(reader, Some(declared)));
            let link = link.cloned();
            task::spawn(async move {
                task::sleep(Duration::from_millis(AFTER_ANSWER_MS)).await;
                close_connection(link.as_ref());
            });
        }
        Mode::Doubled => send_again(answer, link.cloned()),
        _ => {}
    }
    response
}

/// Sends the answer once more, after the one that the server sends.
fn send_again(answer: &RunAnswer, link: Option<CallerConnection>) {
    let body = serde_json::to_string(answer).unwrap_or_default();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    task::spawn(async move {
        task::sleep(Duration::from_millis(AFTER_ANSWER_MS)).await;
        if let Some(link) = link {
            let _ = link.stream().write_all(format!("{head}{body}").as_bytes()).await;
        }
    });
}

/// Waits until the caller closes the connection; the response is never sent.
async fn wait_for_close(shared: &Shared, link: Option<CallerConnection>) -> Response {
    shared.lock().records.unanswered += 1;
    if let Some(link) = link {
        link.closed().await;
    }
    Response::new(StatusCode::ServiceUnavailable)
}

/// Refuses a request for lack of a free slot; the header tells the caller that it did not run.
fn declined() -> Response {
    let mut response = Response::new(StatusCode::ServiceUnavailable);
    response.insert_header(outcome::NOT_STARTED_HEADER, "true");
    response
}

fn close_connection(link: Option<&CallerConnection>) {
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

/// Current time of the system clock, in milliseconds since the Unix epoch.
///
/// Not the monotonic clock, so that records of several processes can be compared.
fn now_ms() -> u64 {
    clock::unix_ms()
}
