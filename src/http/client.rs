//! HTTP exchanges over pooled connections, with errors that tell how far a request got.

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

/// Why an exchange gave no whole answer, and how far it got.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// No byte of the request was sent, since nothing listens at the address.
    #[error("refused: {0}")]
    Refused(String),
    /// The request was sent in part or whole; the other side may have taken it.
    #[error("no whole answer: {0}")]
    Unanswered(String),
}

impl ExchangeError {
    /// Whether the other side certainly never saw the request.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Refused(_))
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Header names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// The whole body; its length was checked.
    pub body: Bytes,
    /// Whether the connection may be used again.
    pub reusable: bool,
}

impl Reply {
    /// Value of a header, by its name in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Sends one request on an open connection and reads the whole answer.
///
/// # Errors
/// [`ExchangeError::Unanswered`] always: once this runs, bytes may have left.
/// A body shorter than its declared length is such an error.
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
    let closes = response
        .header("connection")
        .is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"));
    let framed = response.header("content-length").is_some()
        || response.header("transfer-encoding").is_some();
    Ok(Reply { status: response.status().into(), headers, body, reusable: framed && !closes })
}

async fn read_body(response: &mut Response, max_body_bytes: u64) -> Result<Bytes, ExchangeError> {
    use futures_lite::AsyncReadExt as _;

    let declared =
        response.header("content-length").and_then(|value| value.as_str().parse::<u64>().ok());
    if declared.is_some_and(|declared| declared > max_body_bytes) {
        return Err(unanswered(format!("the body is larger than {max_body_bytes} bytes")));
    }
    let mut body = Vec::new();
    let mut limited = response.take_body().take(max_body_bytes + 1);
    let read = limited.read_to_end(&mut body).await;
    read.map_err(|error| unanswered(error.to_string()))?;
    let length = body.len() as u64;
    if length > max_body_bytes {
        return Err(unanswered(format!("the body is larger than {max_body_bytes} bytes")));
    }
    match declared {
        Some(declared) if declared != length => {
            Err(unanswered(format!("the body ended after {length} of {declared} bytes")))
        }
        _ => Ok(Bytes::from(body)),
    }
}

/// Opens a connection without delay for small writes.
///
/// # Errors
/// [`ExchangeError::Refused`] when nothing listens at the address, [`ExchangeError::NotSent`]
/// when it cannot be reached in time.
pub async fn open(address: &str, connect_timeout_ms: u64) -> Result<TcpStream, ExchangeError> {
    let limit = Duration::from_millis(connect_timeout_ms);
    let opened = async_std::future::timeout(limit, TcpStream::connect(address)).await;
    let stream = opened
        .map_err(|_| ExchangeError::NotSent(format!("{address} did not accept in time")))?
        .map_err(|error| connect_error(address, &error))?;
    let nodelay = stream.set_nodelay(true);
    nodelay.map_err(|error| ExchangeError::NotSent(format!("{address}: {error}")))?;
    Ok(stream)
}

/// Whether the other side has closed an idle connection or sent bytes that nobody asked for.
pub async fn is_stale(stream: &TcpStream) -> bool {
    let mut byte = [0_u8; 1];
    let peeked = async { Some(stream.peek(&mut byte).await) };
    let quiet = async {
        future::yield_now().await;
        None
    };
    future::or(peeked, quiet).await.is_some()
}

/// Connections to many addresses, kept for reuse within limits.
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
    /// A pool without connections.
    pub fn new(config: HttpConfig) -> Self {
        Self { config, idle: Arc::default() }
    }

    /// Sends `request` to `address` and reads the whole answer within `timeout_ms`.
    ///
    /// # Errors
    /// [`ExchangeError`] tells whether the request can have arrived.
    pub async fn send(
        &self,
        address: &str,
        request: Request,
        timeout_ms: u64,
    ) -> Result<Reply, ExchangeError> {
        self.send_if(address, request, timeout_ms, || true).await
    }

    /// As [`Pool::send`], but asks `may_send` between opening the connection and the first byte.
    ///
    /// # Errors
    /// [`ExchangeError`]; [`ExchangeError::NotSent`] when `may_send` says no.
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
            return Err(ExchangeError::NotSent("not allowed to send any more".to_owned()));
        }
        let reply = match async_std::future::timeout(limit, exchange).await {
            Ok(reply) => reply?,
            Err(_) => {
                self.forget(address);
                return Err(unanswered(format!("no answer within {timeout_ms} ms")));
            }
        };
        if reply.reusable && self.config.max_idle_per_address > 0 {
            self.keep(address, stream);
        } else {
            task::spawn(part(stream));
        }
        Ok(reply)
    }

    /// Closes the idle connections to `address`, such as when one of them went silent.
    pub fn forget(&self, address: &str) {
        self.lock().remove(address);
    }

    async fn connection(&self, address: &str) -> Result<TcpStream, ExchangeError> {
        while let Some(stream) = self.take_idle(address) {
            if !is_stale(&stream).await {
                return Ok(stream);
            }
        }
        open(address, self.config.connect_timeout_ms).await
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

    fn keep(&self, address: &str, stream: TcpStream) {
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

/// A request to `http://{address}{path}`.
///
/// # Errors
/// [`http::error::ApiError`] when address and path do not form a URL.
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

/// Lets the other side close first, so that the port here is free again at once.
async fn part(mut stream: TcpStream) {
    use futures_lite::AsyncReadExt as _;

    const PART_LIMIT: Duration = Duration::from_secs(1);
    let mut byte = [0_u8; 1];
    let _ = async_std::future::timeout(PART_LIMIT, stream.read(&mut byte)).await;
}

fn connect_error(address: &str, error: &std::io::Error) -> ExchangeError {
    let message = format!("{address}: {error}");
    if error.kind() == std::io::ErrorKind::ConnectionRefused {
        return ExchangeError::Refused(message);
    }
    ExchangeError::NotSent(message)
}

fn unanswered(message: impl Into<String>) -> ExchangeError {
    ExchangeError::Unanswered(message.into())
}
