//! HTTP server for a tide application.
//!
//! It limits the number of connections and the memory of requests in flight, answers malformed requests with the
//! common JSON error body, lets handlers detect that the caller has
//! disconnected, and drains without interrupting a request in flight.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{ready, Poll};
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures_lite::{
    future, AsyncBufRead, AsyncBufReadExt as _, AsyncRead as _, AsyncReadExt as _,
    AsyncWriteExt as _,
};
use http_types::{Request, Response};

use crate::clock;
use crate::configs::http::HttpConfig;
use crate::http::budget::{self, Budget, LimitReason};
use crate::http::connection::{Connection, ConnectionStream, Phase, RequestBytes};
use crate::http::error::ApiError;
use crate::http::head;

/// Interval at which a server that shuts down checks whether all connections have closed.
const DRAIN_POLL_MS: u64 = 10;

/// Time for which an idle connection stays open once the server drains.
const DRAIN_IDLE_TIMEOUT_MS: u64 = 500;

/// Pause after a failed `accept`, for example when no file descriptors are left.
const ACCEPT_RETRY_PAUSE_MS: u64 = 20;

/// Longest wait until the connection that is closed for a new one has ended, in steps of
/// `REPLACE_PAUSE_MS`.
const REPLACE_ATTEMPTS: u32 = 500;

/// Pause between two checks whether a connection has ended, in milliseconds.
const REPLACE_PAUSE_MS: u64 = 2;

/// Bytes that are read of a head at once; most heads are shorter.
const HEAD_PIECE_BYTES: usize = 4 * 1024;

/// Status of the answer to a head over the limit.
const HEAD_TOO_LARGE: u16 = 431;

/// Longest wait until an error response is taken, in milliseconds.
const ERROR_TIMEOUT_MS: u64 = 1_000;

/// The caller's connection, attached to each request as an extension so that a handler can detect
/// that the caller has disconnected.
#[derive(Clone, Debug)]
pub struct CallerConnection {
    stream: TcpStream,
    connection: Arc<Connection>,
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
    budget: Budget,
    /// Number of the server among those that share the budget.
    number: u64,
}

impl Shared {
    fn new(budget: Budget) -> Self {
        let number = budget.next_id();
        let (drain, drain_begun) = async_channel::bounded(1);
        Self {
            is_draining: AtomicBool::new(false),
            drain,
            drain_begun,
            is_closed: AtomicBool::new(false),
            connections: AtomicUsize::new(0),
            requests: AtomicUsize::new(0),
            budget,
            number,
        }
    }

    /// Waits until the server starts to drain.
    async fn drain_begun(&self) {
        let _ = self.drain_begun.recv().await;
    }
}

impl Server {
    /// Binds `address`, such as `127.0.0.1:0`, and starts to serve `app` on it, with a memory budget
    /// of its own.
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

    /// Binds `address` and starts to serve `app` on it. `budget` is shared with the other servers of
    /// the process.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start_with_budget<State>(
        address: &str,
        app: tide::Server<State>,
        config: HttpConfig,
        budget: &Budget,
    ) -> std::io::Result<Self>
    where
        State: Clone + Send + Sync + 'static,
    {
        Self::start_shared(TcpListener::bind(address).await?, app, config, budget)
    }

    /// Starts to serve `app` on a bound listener, with a memory budget of its own.
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
        let budget = Budget::new(config.max_inflight_bytes).map_err(std::io::Error::other)?;
        Self::start_shared(listener, app, config, &budget)
    }

    fn start_shared<State>(
        listener: TcpListener,
        app: tide::Server<State>,
        config: HttpConfig,
        budget: &Budget,
    ) -> std::io::Result<Self>
    where
        State: Clone + Send + Sync + 'static,
    {
        let shared = Arc::new(Shared::new(budget.clone()));
        let server = Self { shared: Arc::clone(&shared), address: listener.local_addr()? };
        task::spawn(accept_loop(listener, app, Arc::new(config), shared));
        Ok(server)
    }

    /// The memory budget of the server, for its metrics.
    pub fn budget(&self) -> &Budget {
        &self.shared.budget
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
            shared.budget.replace_connection(shared.number);
            task::sleep(Duration::from_millis(ACCEPT_RETRY_PAUSE_MS)).await;
            continue;
        };
        let is_full = !has_room(&config, &shared).await;
        let guard = CountGuard::new(&shared, |shared| &shared.connections);
        // Registered here, so that it can be closed for the next one before its task has begun.
        let connection = ConnectionGuard::new(&shared);
        if is_full {
            connection.connection.begin(Phase::Answer);
        }
        let (app, config, shared) = (app.clone(), Arc::clone(&config), Arc::clone(&shared));
        task::spawn(async move {
            let _guard = guard;
            let _ = stream.set_nodelay(true);
            if is_full {
                shared.budget.count(LimitReason::NoConnection);
                let error = ApiError::new(
                    503,
                    "too_many_connections",
                    format!("all {} connections are in use", config.max_connections),
                );
                write_error(stream, &error.with_retry_after_ms(1_000)).await;
                return;
            }
            serve_connection(stream, app, &config, &shared, &connection.connection).await;
        });
    }
}

/// Whether one more connection can be served, if need be after another one was closed.
async fn has_room(config: &HttpConfig, shared: &Shared) -> bool {
    let is_full = || shared.connections.load(Ordering::Acquire) >= config.max_connections;
    if !is_full() {
        return true;
    }
    if !shared.budget.replace_connection(shared.number) {
        return false;
    }
    for _ in 0..REPLACE_ATTEMPTS {
        if !is_full() {
            return true;
        }
        task::sleep(Duration::from_millis(REPLACE_PAUSE_MS)).await;
    }
    false
}

/// Serves one connection until it is closed or aborted.
async fn serve_connection<State>(
    stream: TcpStream,
    app: tide::Server<State>,
    config: &HttpConfig,
    shared: &Arc<Shared>,
    connection: &Arc<Connection>,
) where
    State: Clone + Send + Sync + 'static,
{
    let serving = async {
        serve_requests(&stream, &app, config, shared, connection).await;
        None
    };
    let aborted = future::or(serving, connection.aborted()).await;
    connection.release();
    if matches!(aborted, Some(Phase::Head | Phase::Body)) {
        write_error(stream, &budget::no_memory()).await;
    }
}

/// Serves the requests of one connection, one at a time.
async fn serve_requests<State>(
    stream: &TcpStream,
    app: &tide::Server<State>,
    config: &HttpConfig,
    shared: &Arc<Shared>,
    connection: &Arc<Connection>,
) where
    State: Clone + Send + Sync + 'static,
{
    loop {
        let request = read_head(stream, config, connection);
        let head_timeout_elapsed = async {
            wait_for_head_timeout(shared, Duration::from_millis(config.head_timeout_ms)).await;
            Ok(None)
        };
        let request = match future::or(request, head_timeout_elapsed).await {
            Ok(Some(request)) => request,
            Ok(None) => return,
            Err(error) => {
                if error.status == HEAD_TOO_LARGE {
                    shared.budget.count(LimitReason::HeadTooLarge);
                }
                write_error(stream.clone(), &error).await;
                return;
            }
        };
        if let Err(error) = shared.budget.reserve(connection, budget::REQUEST_BYTES).await {
            write_error(stream.clone(), &error).await;
            return;
        }
        if !connection.begin(Phase::Handler) {
            return;
        }
        connection.set_request(request, config.max_body_bytes);
        // Boxed, so that an idle connection does not hold the memory of an exchange.
        let exchange = Box::pin(exchange(stream, app, shared, connection));
        let answer_timeout_elapsed = async {
            wait_for_answer_timeout(connection, config.answer_timeout_ms).await;
            shared.budget.count(LimitReason::AnswerTimeout);
            false
        };
        if !future::or(exchange, answer_timeout_elapsed).await {
            return;
        }
        connection.complete_request();
    }
}

/// Reads the next request head; `None` if the client closes the connection instead.
async fn read_head(
    mut stream: &TcpStream,
    config: &HttpConfig,
    connection: &Connection,
) -> Result<Option<RequestBytes>, ApiError> {
    let too_large = || {
        head::too_large(format!("the head exceeds the limit of {} bytes", config.max_head_bytes))
    };
    let mut bytes = connection.take_unread();
    let mut searched = 0;
    loop {
        if let Some(length) = head::end(&bytes, searched) {
            if length > config.max_head_bytes {
                return Err(too_large());
            }
            return head::split(bytes, length).map(Some);
        }
        if bytes.len() >= config.max_head_bytes {
            return Err(too_large());
        }
        searched = bytes.len();
        if !bytes.is_empty() {
            if !connection.begin(Phase::Head) {
                return Ok(None);
            }
            let uncharged = bytes.capacity().saturating_sub(connection.reserved());
            if uncharged > 0 {
                connection.budget().reserve(connection, uncharged).await?;
            }
        }
        let read = std::future::poll_fn(|context| {
            // On the stack of this call only, so that a waiting connection does not hold a buffer.
            let mut piece = [0_u8; HEAD_PIECE_BYTES];
            let read = ready!(Pin::new(&mut stream).poll_read(context, &mut piece));
            Poll::Ready(read.map(|length| bytes.extend_from_slice(&piece[..length])))
        });
        if read.await.is_err() || bytes.len() == searched {
            return Ok(None);
        }
    }
}

/// Lets the HTTP library serve one request whose head was read; returns whether the connection can
/// serve another one.
async fn exchange<State>(
    stream: &TcpStream,
    app: &tide::Server<State>,
    shared: &Arc<Shared>,
    connection: &Arc<Connection>,
) -> bool
where
    State: Clone + Send + Sync + 'static,
{
    let is_request_begun = AtomicBool::new(false);
    let endpoint = |request: Request| {
        is_request_begun.store(true, Ordering::Release);
        let caller =
            CallerConnection { stream: stream.clone(), connection: Arc::clone(connection) };
        respond(request, caller, app.clone(), Arc::clone(shared))
    };
    let io = ConnectionStream::new(stream.clone(), Arc::clone(connection));
    let served = async_h1::server::Server::new(io, endpoint).accept_one().await;
    match served {
        Ok(async_h1::server::ConnectionStatus::KeepAlive) => true,
        Err(error) if !is_request_begun.load(Ordering::Acquire) => {
            let status: u16 = error.status().into();
            let status = if (400..500).contains(&status) { status } else { 400 };
            let error = ApiError::new(status, "malformed_request", error.to_string());
            write_error(stream.clone(), &error).await;
            false
        }
        _ => false,
    }
}

/// Returns when no request has begun within the head timeout, or within the drain's idle timeout
/// after the server started to drain.
async fn wait_for_head_timeout(shared: &Shared, head_timeout: Duration) {
    let drained = async {
        shared.drain_begun().await;
        task::sleep(Duration::from_millis(DRAIN_IDLE_TIMEOUT_MS)).await;
    };
    future::or(task::sleep(head_timeout), drained).await;
}

/// Returns when a response has made no progress for `limit_ms`. Polled together with the exchange,
/// which wakes it when the response begins.
async fn wait_for_answer_timeout(connection: &Connection, limit_ms: u64) {
    let answering = std::future::poll_fn(|_| match connection.is_answering() {
        true => Poll::Ready(()),
        false => Poll::Pending,
    });
    answering.await;
    loop {
        let idle_ms = clock::now_ms().saturating_sub(connection.progress_ms());
        if idle_ms >= limit_ms {
            return;
        }
        task::sleep(Duration::from_millis(limit_ms - idle_ms)).await;
    }
}

async fn respond<State>(
    mut request: Request,
    caller: CallerConnection,
    app: tide::Server<State>,
    shared: Arc<Shared>,
) -> http_types::Result<Response>
where
    State: Clone + Send + Sync + 'static,
{
    let _guard = CountGuard::new(&shared, |shared| &shared.requests);
    let connection = Arc::clone(&caller.connection);
    for (name, value) in connection.take_set_aside() {
        request.append_header(name.as_str(), value);
    }
    request.ext_mut().insert(caller);
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
    connection.begin(Phase::Answer);
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
    let retry = error.retry_after_ms.map_or_else(String::new, |retry_after_ms| {
        format!("Retry-After: {}\r\n", retry_after_ms.div_ceil(1_000).max(1))
    });
    let head = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{retry}Connection: close\r\n\r\n",
        error.status,
        status.canonical_reason(),
        body.len()
    );
    let text = format!("{head}{body}");
    let writing = async {
        stream.write_all(text.as_bytes()).await?;
        stream.flush().await
    };
    let limit = Duration::from_millis(ERROR_TIMEOUT_MS);
    let _ = async_std::future::timeout(limit, writing).await;
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
    let connection = request.ext::<CallerConnection>().map(|caller| Arc::clone(&caller.connection));
    let connection = connection.as_deref();
    let unavailable = || Err(budget::no_memory());
    if connection.is_some_and(|connection| !connection.begin(Phase::Body)) {
        return unavailable();
    }
    let limited = request.take_body().take(config.max_body_bytes + 1);
    let limit = Duration::from_millis(config.body_timeout_ms);
    let reading = async_std::future::timeout(limit, read_pieces(limited, connection));
    let body = reading.await.unwrap_or_else(|_| {
        Err(ApiError::new(
            408,
            "body_too_slow",
            format!("the body did not arrive within {} ms", config.body_timeout_ms),
        ))
    });
    // From here on the connection is not aborted: the handler may have effects.
    if connection.is_some_and(|connection| !connection.begin(Phase::Handler)) {
        return unavailable();
    }
    let body = body?;
    let length = body.len() as u64;
    if length > config.max_body_bytes {
        return Err(too_large());
    }
    if declared.is_some_and(|declared| declared != length) {
        return Err(ApiError::new(400, "body_short", "the body ended before its declared length"));
    }
    Ok(body)
}

/// Reads a body to its end. Memory is charged to the budget of the connection before the buffer
/// grows, by at most half of what has arrived.
async fn read_pieces(
    mut source: impl AsyncBufRead + Unpin,
    connection: Option<&Connection>,
) -> Result<Vec<u8>, ApiError> {
    let mut body = Vec::new();
    loop {
        let piece = source.fill_buf().await;
        let piece = piece.map_err(|error| ApiError::new(400, "body_broken", error.to_string()))?;
        if piece.is_empty() {
            return Ok(body);
        }
        let length = piece.len();
        if body.capacity() - body.len() < length {
            let growth = length.max(body.len() / 2);
            if let Some(connection) = connection {
                connection.budget().reserve(connection, growth).await?;
            }
            body.reserve_exact(growth);
        }
        body.extend_from_slice(piece);
        source.consume(length);
    }
}

/// Registers a connection with its budget until dropped.
#[derive(Debug)]
struct ConnectionGuard {
    connection: Arc<Connection>,
}

impl ConnectionGuard {
    fn new(shared: &Shared) -> Self {
        let connection = Connection::new(shared.number, shared.budget.clone());
        shared.budget.add(&connection);
        Self { connection }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.connection.release();
        self.connection.budget().remove(&self.connection);
    }
}
