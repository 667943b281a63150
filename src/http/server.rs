//! HTTP server for a tide application.
//!
//! It limits the number of connections, answers malformed requests with the
//! common JSON error body, lets handlers detect that the caller has
//! disconnected, and drains without interrupting a request in flight.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures_lite::{future, AsyncWriteExt as _};
use http_types::{Request, Response};

use crate::configs::http::HttpConfig;
use crate::http::error::ApiError;

/// Interval at which a server that shuts down checks whether all connections have closed.
const DRAIN_POLL_MS: u64 = 10;

/// Time for which an idle connection stays open once the server drains.
const DRAIN_IDLE_TIMEOUT_MS: u64 = 500;

/// Pause after a failed `accept`, for example when no file descriptors are left.
const ACCEPT_RETRY_PAUSE_MS: u64 = 20;

/// The caller's connection, attached to each request as an extension so that a handler can detect
/// that the caller has disconnected.
#[derive(Clone, Debug)]
pub struct CallerConnection {
    stream: TcpStream,
}

impl CallerConnection {
    /// The connection itself, for test servers that break it on purpose.
    pub fn stream(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Waits until the caller has closed its connection; never returns if the caller sends more
    /// bytes instead.
    pub async fn closed(&self) {
        let mut byte = [0_u8; 1];
        if let Ok(1..) = self.stream.peek(&mut byte).await {
            future::pending::<()>().await;
        }
    }
}

/// Handle to a running server. Clones refer to the same server.
#[derive(Clone, Debug)]
pub struct Server {
    shared: Arc<Shared>,
    address: std::net::SocketAddr,
}

#[derive(Debug)]
struct Shared {
    is_draining: AtomicBool,
    /// Closed when the server starts to drain, which wakes the receivers. Never sent to.
    drain: async_channel::Sender<()>,
    drain_begun: async_channel::Receiver<()>,
    is_closed: AtomicBool,
    connections: AtomicUsize,
    requests: AtomicUsize,
}

impl Shared {
    fn new() -> Self {
        let (drain, drain_begun) = async_channel::bounded(1);
        Self {
            is_draining: AtomicBool::new(false),
            drain,
            drain_begun,
            is_closed: AtomicBool::new(false),
            connections: AtomicUsize::new(0),
            requests: AtomicUsize::new(0),
        }
    }

    /// Waits until the server starts to drain.
    async fn drain_begun(&self) {
        let _ = self.drain_begun.recv().await;
    }
}

impl Server {
    /// Binds `address`, such as `127.0.0.1:0`, and starts to serve `app` on it.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start<State>(
        address: &str,
        app: tide::Server<State>,
        config: HttpConfig,
    ) -> std::io::Result<Self>
    where
        State: Clone + Send + Sync + 'static,
    {
        Self::start_on(TcpListener::bind(address).await?, app, config)
    }

    /// Starts to serve `app` on a bound listener.
    ///
    /// # Errors
    /// The address of the listener cannot be read.
    pub fn start_on<State>(
        listener: TcpListener,
        app: tide::Server<State>,
        config: HttpConfig,
    ) -> std::io::Result<Self>
    where
        State: Clone + Send + Sync + 'static,
    {
        let shared = Arc::new(Shared::new());
        let server = Self { shared: Arc::clone(&shared), address: listener.local_addr()? };
        task::spawn(accept_loop(listener, app, Arc::new(config), shared));
        Ok(server)
    }

    /// Address that the server listens on, with the actual port.
    pub fn address(&self) -> std::net::SocketAddr {
        self.address
    }

    /// Number of requests whose handlers are running.
    pub fn requests_in_flight(&self) -> usize {
        self.shared.requests.load(Ordering::Acquire)
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::Acquire)
    }

    /// Starts to drain: responses carry `Connection: close` from now on, so that callers reconnect
    /// elsewhere.
    pub fn begin_drain(&self) {
        self.shared.is_draining.store(true, Ordering::Release);
        self.shared.drain.close();
    }

    /// Stops accepting and waits, at most `limit_ms`, until all connections have closed.
    ///
    /// Returns whether all have closed. Connects to itself to wake the pending `accept`.
    pub async fn shut_down(&self, limit_ms: u64) -> bool {
        self.begin_drain();
        self.shared.is_closed.store(true, Ordering::Release);
        let _ = TcpStream::connect(self.address).await;
        let idle = async {
            while self.connections() > 0 {
                task::sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
            }
        };
        async_std::future::timeout(Duration::from_millis(limit_ms), idle).await.is_ok()
    }
}

async fn accept_loop<State>(
    listener: TcpListener,
    app: tide::Server<State>,
    config: Arc<HttpConfig>,
    shared: Arc<Shared>,
) where
    State: Clone + Send + Sync + 'static,
{
    loop {
        let accepted = listener.accept().await;
        if shared.is_closed.load(Ordering::Acquire) {
            return;
        }
        let Ok((stream, _)) = accepted else {
            task::sleep(Duration::from_millis(ACCEPT_RETRY_PAUSE_MS)).await;
            continue;
        };
        let guard = CountGuard::new(&shared, |shared| &shared.connections);
        let is_full = shared.connections.load(Ordering::Acquire) > config.max_connections;
        let (app, config, shared) = (app.clone(), Arc::clone(&config), Arc::clone(&shared));
        task::spawn(async move {
            let _guard = guard;
            let _ = stream.set_nodelay(true);
            if is_full {
                let error = ApiError::new(
                    503,
                    "too_many_connections",
                    format!("all {} connections are in use", config.max_connections),
                );
                write_error(stream, &error.with_retry_after_ms(1_000)).await;
                return;
            }
            serve_connection(stream, app, &config, &shared).await;
        });
    }
}

/// Serves the requests of one connection, one at a time.
async fn serve_connection<State>(
    stream: TcpStream,
    app: tide::Server<State>,
    config: &HttpConfig,
    shared: &Arc<Shared>,
) where
    State: Clone + Send + Sync + 'static,
{
    let is_request_begun = Arc::new(AtomicBool::new(false));
    loop {
        is_request_begun.store(false, Ordering::Release);
        let endpoint = |request: Request| {
            is_request_begun.store(true, Ordering::Release);
            respond(request, stream.clone(), app.clone(), Arc::clone(shared))
        };
        let head_timeout = Duration::from_millis(config.head_timeout_ms);
        let mut server = async_h1::server::Server::new(stream.clone(), endpoint);
        let exchange = async { Some(server.accept_one().await) };
        let head_timeout_elapsed = async {
            wait_for_head_timeout(&is_request_begun, shared, head_timeout).await;
            None
        };
        match future::or(exchange, head_timeout_elapsed).await {
            Some(Ok(async_h1::server::ConnectionStatus::KeepAlive)) => {}
            Some(Err(error)) if !is_request_begun.load(Ordering::Acquire) => {
                let status: u16 = error.status().into();
                let status = if (400..500).contains(&status) { status } else { 400 };
                let error = ApiError::new(status, "malformed_request", error.to_string());
                write_error(stream, &error).await;
                return;
            }
            _ => return,
        }
    }
}

/// Returns when no request has begun within the head timeout, or within the drain's idle timeout
/// after the server started to drain. Never returns once a request has begun.
async fn wait_for_head_timeout(
    is_request_begun: &AtomicBool,
    shared: &Shared,
    head_timeout: Duration,
) {
    let drained = async {
        shared.drain_begun().await;
        task::sleep(Duration::from_millis(DRAIN_IDLE_TIMEOUT_MS)).await;
    };
    future::or(task::sleep(head_timeout), drained).await;
    if is_request_begun.load(Ordering::Acquire) {
        future::pending::<()>().await;
    }
}

async fn respond<State>(
    mut request: Request,
    stream: TcpStream,
    app: tide::Server<State>,
    shared: Arc<Shared>,
) -> http_types::Result<Response>
where
    State: Clone + Send + Sync + 'static,
{
    let _guard = CountGuard::new(&shared, |shared| &shared.requests);
    request.ext_mut().insert(CallerConnection { stream });
    let mut response: Response = app.respond(request).await?;
    if response.status() == http_types::StatusCode::NotFound && response.len() == Some(0) {
        response = plain_error(404, "no_such_path", "no resource exists at this path");
    }
    if response.status() == http_types::StatusCode::MethodNotAllowed {
        response = plain_error(405, "wrong_method", "the resource does not support this method");
    }
    if shared.is_draining.load(Ordering::Acquire) {
        response.insert_header("Connection", "close");
    }
    Ok(response)
}

fn plain_error(status: u16, code: &str, message: &str) -> Response {
    ApiError::new(status, code, message).to_response().into()
}

/// Writes an error response to a connection and shuts down its write side.
async fn write_error(mut stream: TcpStream, error: &ApiError) {
    let body = serde_json::to_string(error).unwrap_or_default();
    let status = http_types::StatusCode::try_from(error.status)
        .unwrap_or(http_types::StatusCode::BadRequest);
    let head = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        error.status,
        status.canonical_reason(),
        body.len()
    );
    let _ = stream.write_all(format!("{head}{body}").as_bytes()).await;
    let _ = stream.flush().await;
    let _ = stream.shutdown(std::net::Shutdown::Write);
}

/// Counts one connection or request until dropped.
#[derive(Debug)]
struct CountGuard {
    shared: Arc<Shared>,
    counter: fn(&Shared) -> &AtomicUsize,
}

impl CountGuard {
    fn new(shared: &Arc<Shared>, counter: fn(&Shared) -> &AtomicUsize) -> Self {
        counter(shared).fetch_add(1, Ordering::AcqRel);
        Self { shared: Arc::clone(shared), counter }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        (self.counter)(&self.shared).fetch_sub(1, Ordering::AcqRel);
    }
}

/// Reads a request body within the size and time limits of `config`.
///
/// # Errors
/// 413 if it is too large, 408 if it is too slow, 400 if it ends early or cannot be read.
pub async fn read_body<State>(
    request: &mut tide::Request<State>,
    config: &HttpConfig,
) -> Result<Vec<u8>, ApiError> {
    use futures_lite::AsyncReadExt as _;

    let too_large = || {
        ApiError::new(
            413,
            "body_too_large",
            format!("the body exceeds the limit of {} bytes", config.max_body_bytes),
        )
    };
    let declared = request.len().map(|length| length as u64);
    if declared.is_some_and(|declared| declared > config.max_body_bytes) {
        return Err(too_large());
    }
    let mut body = Vec::new();
    let mut limited = request.take_body().take(config.max_body_bytes + 1);
    let limit = Duration::from_millis(config.body_timeout_ms);
    async_std::future::timeout(limit, limited.read_to_end(&mut body))
        .await
        .map_err(|_| {
            ApiError::new(
                408,
                "body_too_slow",
                format!("the body did not arrive within {} ms", config.body_timeout_ms),
            )
        })?
        .map_err(|error| ApiError::new(400, "body_broken", error.to_string()))?;
    let length = body.len() as u64;
    if length > config.max_body_bytes {
        return Err(too_large());
    }
    if declared.is_some_and(|declared| declared != length) {
        return Err(ApiError::new(400, "body_short", "the body ended before its declared length"));
    }
    Ok(body)
}
