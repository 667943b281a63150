//! HTTP client with a connection pool. Its errors tell whether a request may have reached the
//! server.

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
/// Always [`ExchangeError::Unanswered`], since bytes may already have been sent. This includes a
/// body that is shorter than its declared length or larger than `max_body_bytes`.
pub async fn exchange(
    stream: TcpStream,
    request: Request,
    max_body_bytes: u64,
) -> Result<Reply, ExchangeError> {
    let answer = async_h1::connect(stream, request).await;
    let mut response = answer.map_err(|error| unanswered(error.to_string()))?;
    let body = read_body(&mut response, max_body_bytes).await?;
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

async fn read_body(response: &mut Response, max_body_bytes: u64) -> Result<Bytes, ExchangeError> {
    use futures_lite::AsyncReadExt as _;

    let declared =
        response.header("content-length").and_then(|value| value.as_str().parse::<u64>().ok());
    if declared.is_some_and(|declared| declared > max_body_bytes) {
        return Err(unanswered(format!("the body exceeds the limit of {max_body_bytes} bytes")));
    }
    let mut body = Vec::new();
    let mut limited = response.take_body().take(max_body_bytes + 1);
    let read = limited.read_to_end(&mut body).await;
    read.map_err(|error| unanswered(error.to_string()))?;
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
        let stream = self.connection(address).await?;
        let exchange = exchange(stream.clone(), request, self.config.max_body_bytes);
        let limit = Duration::from_millis(timeout_ms);
        if !may_send() {
            return Err(ExchangeError::NotSent("cancelled before the first byte".to_owned()));
        }
        let reply = match async_std::future::timeout(limit, exchange).await {
            Ok(reply) => reply?,
            Err(_) => {
                self.close_idle(address);
                return Err(unanswered(format!(
                    "{address} did not answer in full within {timeout_ms} ms"
                )));
            }
        };
        if reply.is_reusable && self.config.max_idle_per_address > 0 {
            self.return_idle(address, stream);
        } else {
            task::spawn(close_after_peer(stream));
        }
        Ok(reply)
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
