//! A bounded HTTP server around a tide application.
//!
//! It limits connections, answers broken heads in the common error shape,
//! tells handlers when their caller has gone, and drains without cutting a
//! request that has begun.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures_lite::{future, AsyncWriteExt as _};
use http_types::{Request, Response};

use crate::configs::http::HttpConfig;
use crate::http::error::ApiError;

/// Pause between looks at whether a draining server has become idle.
const DRAIN_POLL_MS: u64 = 10;

/// Time for which an idle connection stays open once the server drains.
const DRAIN_LINGER_MS: u64 = 500;

/// Pause after a failed accept, such as one for want of file descriptors.
const ACCEPT_PAUSE_MS: u64 = 20;

/// Tells whether the caller of a request still has its connection open.
#[derive(Clone, Debug)]
pub struct CallerLink {
    stream: TcpStream,
}

impl CallerLink {
    /// The caller's connection, for stand-ins that break it on purpose.
    pub fn stream(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Waits until the caller has closed its connection; forever if it never does.
    pub async fn closed(&self) {
        let mut byte = [0_u8; 1];
        if let Ok(1..) = self.stream.peek(&mut byte).await {
            future::pending::<()>().await;
        }
    }
}

/// A running server.
#[derive(Clone, Debug)]
pub struct Server {
    shared: Arc<Shared>,
    address: std::net::SocketAddr,
}

#[derive(Debug, Default)]
struct Shared {
    draining: AtomicBool,
    closed: AtomicBool,
    connections: AtomicUsize,
    requests: AtomicUsize,
}

impl Server {
    /// Starts to serve `app` on `address`, such as `127.0.0.1:0`.
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

    /// Starts to serve `app` on a listener that is already bound.
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
        let shared = Arc::new(Shared::default());
        let server = Self { shared: Arc::clone(&shared), address: listener.local_addr()? };
        task::spawn(accept_loop(listener, app, Arc::new(config), shared));
        Ok(server)
    }

    /// Address that the server listens on.
    pub fn address(&self) -> std::net::SocketAddr {
        self.address
    }

    /// Requests that have begun and not ended.
    pub fn requests(&self) -> usize {
        self.shared.requests.load(Ordering::Acquire)
    }

    /// Connections that are open.
    pub fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::Acquire)
    }

    /// Asks callers to go elsewhere: answers carry `Connection: close` from now on.
    pub fn begin_drain(&self) {
        self.shared.draining.store(true, Ordering::Release);
    }

    /// Stops accepting and waits, at most `limit_ms`, until every connection has ended.
    ///
    /// Returns whether all of them did.
    pub async fn finish(&self, limit_ms: u64) -> bool {
        self.begin_drain();
        self.shared.closed.store(true, Ordering::Release);
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
        if shared.closed.load(Ordering::Acquire) {
            return;
        }
        let Ok((stream, _)) = accepted else {
            task::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            continue;
        };
        let guard = CountGuard::new(&shared, |shared| &shared.connections);
        let full = shared.connections.load(Ordering::Acquire) > config.max_connections;
        let (app, config, shared) = (app.clone(), Arc::clone(&config), Arc::clone(&shared));
        task::spawn(async move {
            let _guard = guard;
            let _ = stream.set_nodelay(true);
            if full {
                let error = ApiError::new(503, "too_many_connections", "no connection is free");
                write_error(stream, &error.with_retry_after_ms(1_000)).await;
                return;
            }
            serve_connection(stream, app, &config, &shared).await;
        });
    }
}

/// Serves the requests of one connection, one after the other.
async fn serve_connection<State>(
    stream: TcpStream,
    app: tide::Server<State>,
    config: &HttpConfig,
    shared: &Arc<Shared>,
) where
    State: Clone + Send + Sync + 'static,
{
    let begun = Arc::new(AtomicBool::new(false));
    loop {
        begun.store(false, Ordering::Release);
        let endpoint = |request: Request| {
            begun.store(true, Ordering::Release);
            respond(request, stream.clone(), app.clone(), Arc::clone(shared))
        };
        let options = Duration::from_millis(config.head_timeout_ms);
        let mut server = async_h1::server::Server::new(stream.clone(), endpoint);
        let one = async { Some(server.accept_one().await) };
        let head_limit = async {
            wait_idle_limit(&begun, shared, options).await;
            None
        };
        match future::or(one, head_limit).await {
            Some(Ok(async_h1::server::ConnectionStatus::KeepAlive)) => {}
            Some(Err(error)) if !begun.load(Ordering::Acquire) => {
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

/// Ends when no request has begun within the head timeout, or within the linger of a drain.
async fn wait_idle_limit(begun: &AtomicBool, shared: &Shared, head_timeout: Duration) {
    let step = Duration::from_millis(DRAIN_LINGER_MS);
    let mut waited = Duration::ZERO;
    loop {
        let draining_before = shared.draining.load(Ordering::Acquire);
        task::sleep(step.min(head_timeout)).await;
        if begun.load(Ordering::Acquire) {
            future::pending::<()>().await;
        }
        waited += step;
        if draining_before || waited >= head_timeout {
            return;
        }
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
    request.ext_mut().insert(CallerLink { stream });
    let mut response: Response = app.respond(request).await?;
    if response.status() == http_types::StatusCode::NotFound && response.len() == Some(0) {
        response = plain_error(404, "no_such_path", "nothing is served here");
    }
    if response.status() == http_types::StatusCode::MethodNotAllowed {
        response = plain_error(405, "wrong_method", "the method is not served here");
    }
    if shared.draining.load(Ordering::Acquire) {
        response.insert_header("Connection", "close");
    }
    Ok(response)
}

fn plain_error(status: u16, code: &str, message: &str) -> Response {
    ApiError::new(status, code, message).to_response().into()
}

/// Answers a connection that will not be served further.
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

/// Counts one connection or request for as long as it lives.
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

/// Reads a request body within the limits of size and time.
///
/// # Errors
/// 413 when it is too large, 408 when it is too slow, 400 when it ends early.
pub async fn read_body<State>(
    request: &mut tide::Request<State>,
    config: &HttpConfig,
) -> Result<Vec<u8>, ApiError> {
    use futures_lite::AsyncReadExt as _;

    let too_large =
        || ApiError::new(413, "body_too_large", format!("at most {} bytes", config.max_body_bytes));
    let declared = request.len().map(|length| length as u64);
    if declared.is_some_and(|declared| declared > config.max_body_bytes) {
        return Err(too_large());
    }
    let mut body = Vec::new();
    let mut limited = request.take_body().take(config.max_body_bytes + 1);
    let limit = Duration::from_millis(config.body_timeout_ms);
    async_std::future::timeout(limit, limited.read_to_end(&mut body))
        .await
        .map_err(|_| ApiError::new(408, "body_too_slow", "the body did not come in time"))?
        .map_err(|error| ApiError::new(400, "body_broken", error.to_string()))?;
    let length = body.len() as u64;
    if length > config.max_body_bytes {
        return Err(too_large());
    }
    if declared.is_some_and(|declared| declared != length) {
        return Err(ApiError::new(400, "body_short", "the body ended early"));
    }
    Ok(body)
}
