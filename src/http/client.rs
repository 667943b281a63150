//! HTTP client with a connection pool. Its errors tell whether a request may have reached the
//! server.

use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task;
use bytes::Bytes;
use futures_lite::future;
use http_types::{Request, Response};

use crate::collections::HashMap;
use crate::configs::http::HttpConfig;
use crate::{clock, http};

/// Most bytes of a body that are read at once.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// Why an exchange gave no complete response, and whether the request may have been received.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    #[error("request not sent: {0}")]
    NotSent(String),
    /// No byte of the request was sent, because nothing listens at the address.
    #[error("connection refused: {0}")]
    ConnectionRefused(String),
    /// The request was sent at least in part; the server may have executed it.
    #[error("no complete response: {0}")]
    Unanswered(String),
    /// The request was sent at least in part, and the time limit of the exchange has passed.
    #[error("no complete response: {0}")]
    TimedOut(String),
}

impl ExchangeError {
    /// Whether the server certainly never received the request.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::ConnectionRefused(_))
    }
}

/// A complete HTTP response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Header names in lower case with their values.
    pub headers: Vec<(String, String)>,
    /// The complete body; its length matches `Content-Length` if the server sent one.
    pub body: Bytes,
    /// Whether the connection may be reused: the response had a known end and no
    /// `Connection: close`.
    pub is_reusable: bool,
}

impl Reply {
    /// Value of a header; the name is case-insensitive. `None` if the header is missing.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Sends one request on an open connection and reads the complete response.
///
/// # Errors
/// Never one for which [`ExchangeError::is_not_sent`] holds, since bytes may already have been
/// sent. A body that is shorter than its declared length or larger than `max_body_bytes` is an error
/// as well.
pub async fn exchange(
    stream: TcpStream,
    request: Request,
    max_body_bytes: u64,
) -> Result<Reply, ExchangeError> {
    exchange_while_progressing(stream, request, max_body_bytes, None).await
}

/// As [`exchange`]; fails once neither the head nor the next part of the body has arrived for
/// `idle_timeout`.
async fn exchange_while_progressing(
    stream: TcpStream,
    request: Request,
    max_body_bytes: u64,
    idle_timeout: Option<Duration>,
) -> Result<Reply, ExchangeError> {
    // Boxed, since it is far larger than the rest of the exchange, and the futures around it are
    // moved when they are spawned.
    let connected = Box::pin(async_h1::connect(stream, request));
    let answer = within(idle_timeout, connected).await?;
    let mut response = answer.map_err(|error| unanswered(error.to_string()))?;
    let body = read_body(&mut response, max_body_bytes, idle_timeout).await?;
    let headers: Vec<(String, String)> = response
        .iter()
        .flat_map(|(name, values)| {
            values.iter().map(|value| (name.as_str().to_owned(), value.as_str().to_owned()))
        })
        .collect();
    let is_closing = response
        .header("connection")
        .is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"));
    let has_known_length = response.header("content-length").is_some()
        || response.header("transfer-encoding").is_some();
    Ok(Reply {
        status: response.status().into(),
        headers,
        body,
        is_reusable: has_known_length && !is_closing,
    })
}

/// Waits for `step`, at most for `idle_timeout`.
async fn within<T>(
    idle_timeout: Option<Duration>,
    step: impl Future<Output = T>,
) -> Result<T, ExchangeError> {
    let Some(limit) = idle_timeout else { return Ok(step.await) };
    let done = async_std::future::timeout(limit, step).await;
    done.map_err(|_| ExchangeError::TimedOut(format!("nothing within {} ms", limit.as_millis())))
}

async fn read_body(
    response: &mut Response,
    max_body_bytes: u64,
    idle_timeout: Option<Duration>,
) -> Result<Bytes, ExchangeError> {
    use futures_lite::AsyncReadExt as _;

    let declared =
        response.header("content-length").and_then(|value| value.as_str().parse::<u64>().ok());
    if declared.is_some_and(|declared| declared > max_body_bytes) {
        return Err(unanswered(format!("the body exceeds the limit of {max_body_bytes} bytes")));
    }
    let mut body = Vec::new();
    let mut limited = response.take_body().take(max_body_bytes + 1);
    let expected = declared.and_then(|declared| usize::try_from(declared).ok());
    let mut chunk = vec![0_u8; expected.unwrap_or(READ_CHUNK_BYTES).clamp(1, READ_CHUNK_BYTES)];
    loop {
        let read = within(idle_timeout, limited.read(&mut chunk)).await?;
        match read.map_err(|error| unanswered(error.to_string()))? {
            0 => break,
            length => body.extend_from_slice(&chunk[..length]),
        }
    }
    let length = body.len() as u64;
    if length > max_body_bytes {
        return Err(unanswered(format!("the body exceeds the limit of {max_body_bytes} bytes")));
    }
    match declared {
        Some(declared) if declared != length => {
            Err(unanswered(format!("the body ended after {length} of {declared} bytes")))
        }
        _ => Ok(Bytes::from(body)),
    }
}

/// Opens a connection with `TCP_NODELAY` set.
///
/// # Errors
/// [`ExchangeError::ConnectionRefused`] if nothing listens at the address,
/// [`ExchangeError::NotSent`] if it cannot be reached within `connect_timeout_ms`.
pub async fn connect(address: &str, connect_timeout_ms: u64) -> Result<TcpStream, ExchangeError> {
    let limit = Duration::from_millis(connect_timeout_ms);
    let opened = async_std::future::timeout(limit, TcpStream::connect(address)).await;
    let stream = opened
        .map_err(|_| {
            ExchangeError::NotSent(format!(
                "{address} did not accept within {connect_timeout_ms} ms"
            ))
        })?
        .map_err(|error| connect_error(address, &error))?;
    let nodelay = stream.set_nodelay(true);
    nodelay.map_err(|error| ExchangeError::NotSent(format!("{address}: {error}")))?;
    Ok(stream)
}

/// Whether the server has closed an idle connection or sent unsolicited bytes on it.
pub async fn is_stale(stream: &TcpStream) -> bool {
    let mut byte = [0_u8; 1];
    let peeked = async { Some(stream.peek(&mut byte).await) };
    let quiet = async {
        future::yield_now().await;
        None
    };
    future::or(peeked, quiet).await.is_some()
}

/// Limits on the time of an exchange, not counting the time to connect.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeLimits {
    /// Longest wait, in milliseconds.
    timeout_ms: u64,
    /// Whether the wait begins again with each part of the response, rather than covering all of it.
    is_per_part: bool,
}

impl ExchangeLimits {
    /// Limits the wait for the head of the response, and for each further part of the body, to
    /// `timeout_ms`. A large response may take longer on a slow link.
    pub fn while_progressing(timeout_ms: u64) -> Self {
        Self { timeout_ms, is_per_part: true }
    }
}

/// Pool of idle connections by address. Clones share the connections.
#[derive(Clone, Debug)]
pub struct Pool {
    config: HttpConfig,
    idle: Arc<Mutex<HashMap<String, Vec<IdleConnection>>>>,
}

#[derive(Debug)]
struct IdleConnection {
    stream: TcpStream,
    since_ms: u64,
}

impl Pool {
    /// Creates an empty pool with the limits in `config`.
    pub fn new(config: HttpConfig) -> Self {
        Self { config, idle: Arc::default() }
    }

    /// Sends `request` to `address` and reads the complete response within `timeout_ms`, not
    /// counting the time to connect.
    ///
    /// # Errors
    /// [`ExchangeError`] tells whether the request may have been received.
    pub async fn send(
        &self,
        address: &str,
        request: Request,
        timeout_ms: u64,
    ) -> Result<Reply, ExchangeError> {
        self.send_if(address, request, timeout_ms, || true).await
    }

    /// As [`Pool::send`], but calls `may_send` between connecting and sending the first byte.
    ///
    /// # Errors
    /// As [`Pool::send`]; [`ExchangeError::NotSent`] if `may_send` returns false.
    pub async fn send_if(
        &self,
        address: &str,
        request: Request,
        timeout_ms: u64,
        may_send: impl FnOnce() -> bool,
    ) -> Result<Reply, ExchangeError> {
        let limits = ExchangeLimits { timeout_ms, is_per_part: false };
        self.exchange_if(address, request, limits, may_send).await
    }

    /// As [`Pool::send`], with other limits on the time.
    ///
    /// # Errors
    /// As [`Pool::send`].
    pub async fn send_within(
        &self,
        address: &str,
        request: Request,
        limits: ExchangeLimits,
    ) -> Result<Reply, ExchangeError> {
        self.exchange_if(address, request, limits, || true).await
    }

    async fn exchange_if(
        &self,
        address: &str,
        request: Request,
        limits: ExchangeLimits,
        may_send: impl FnOnce() -> bool,
    ) -> Result<Reply, ExchangeError> {
        let stream = self.connection(address).await?;
        if !may_send() {
            return Err(ExchangeError::NotSent("cancelled before the first byte".to_owned()));
        }
        let reply = match self.exchange_within(stream.clone(), request, limits).await {
            Ok(reply) => reply,
            Err(ExchangeError::TimedOut(message)) => {
                self.close_idle(address);
                return Err(ExchangeError::TimedOut(format!("{address}: {message}")));
            }
            Err(error) => return Err(error),
        };
        if reply.is_reusable && self.config.max_idle_per_address > 0 {
            self.return_idle(address, stream);
        } else {
            task::spawn(close_after_peer(stream));
        }
        Ok(reply)
    }

    async fn exchange_within(
        &self,
        stream: TcpStream,
        request: Request,
        limits: ExchangeLimits,
    ) -> Result<Reply, ExchangeError> {
        let max_body_bytes = self.config.max_body_bytes;
        let ExchangeLimits { timeout_ms, is_per_part } = limits;
        let limit = Some(Duration::from_millis(timeout_ms));
        if is_per_part {
            return exchange_while_progressing(stream, request, max_body_bytes, limit).await;
        }
        within(limit, exchange(stream, request, max_body_bytes)).await?
    }

    /// Closes the idle connections to `address`, for example after one of them timed out.
    pub fn close_idle(&self, address: &str) {
        self.lock().remove(address);
    }

    async fn connection(&self, address: &str) -> Result<TcpStream, ExchangeError> {
        while let Some(stream) = self.take_idle(address) {
            if !is_stale(&stream).await {
                return Ok(stream);
            }
        }
        connect(address, self.config.connect_timeout_ms).await
    }

    fn take_idle(&self, address: &str) -> Option<TcpStream> {
        let oldest_ms = clock::now_ms().saturating_sub(self.config.idle_timeout_ms);
        let mut idle = self.lock();
        let connections = idle.get_mut(address)?;
        let newest = connections.pop()?;
        if newest.since_ms < oldest_ms {
            connections.clear();
            return None;
        }
        Some(newest.stream)
    }

    fn return_idle(&self, address: &str, stream: TcpStream) {
        let mut idle = self.lock();
        if !idle.contains_key(address) {
            idle.insert(address.to_owned(), Vec::new());
        }
        let Some(connections) = idle.get_mut(address) else { return };
        if connections.len() < self.config.max_idle_per_address {
            connections.push(IdleConnection { stream, since_ms: clock::now_ms() });
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Creates a request for `http://{address}{path}`.
///
/// # Errors
/// [`http::error::ApiError`] if address and path do not form a valid URL.
pub fn request(
    method: http_types::Method,
    address: &str,
    path: &str,
) -> Result<Request, http::error::ApiError> {
    let url = http_types::Url::parse(&format!("http://{address}{path}"));
    let url = url.map_err(|error| {
        http::error::ApiError::new(400, "bad_address", format!("{address}{path}: {error}"))
    })?;
    Ok(Request::new(method, url))
}

/// Waits up to a second for the server to close the connection first, so that the `TIME_WAIT`
/// state is on its side and the local port is free at once.
async fn close_after_peer(mut stream: TcpStream) {
    use futures_lite::AsyncReadExt as _;

    const CLOSE_WAIT: Duration = Duration::from_secs(1);
    let mut byte = [0_u8; 1];
    let _ = async_std::future::timeout(CLOSE_WAIT, stream.read(&mut byte)).await;
}

fn connect_error(address: &str, error: &std::io::Error) -> ExchangeError {
    let message = format!("{address}: {error}");
    if error.kind() == std::io::ErrorKind::ConnectionRefused {
        return ExchangeError::ConnectionRefused(message);
    }
    ExchangeError::NotSent(message)
}

fn unanswered(message: impl Into<String>) -> ExchangeError {
    ExchangeError::Unanswered(message.into())
}
