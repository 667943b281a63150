//! RPC between daemons: HTTP POST with MessagePack bodies. Errors have the JSON body of
//! [`ApiError`].

use http_types::Method;
use serde::de::DeserializeOwned;
use serde::Serialize;
use tide::{Response, StatusCode};

use crate::http::client::{self, ExchangeError, Pool};
use crate::http::error::ApiError;

/// Content type of RPC bodies.
pub const CONTENT_TYPE: &str = "application/msgpack";

/// Header that carries the cell's shared secret token.
pub const TOKEN_HEADER: &str = "Hemlock-Token";

/// Why a call failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum RpcError {
    /// The HTTP exchange failed.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    /// The server answered with an error, or the request could not be built.
    #[error("error response: {0}")]
    ErrorResponse(ApiError),
    /// The request body could not be encoded, or the response body could not be decoded.
    #[error("cannot encode or decode the body: {0}")]
    Codec(String),
}

impl RpcError {
    /// Whether the server certainly did not execute the call.
    pub fn is_not_executed(&self) -> bool {
        match self {
            Self::Exchange(error) => error.is_not_sent(),
            Self::ErrorResponse(_) => true,
            Self::Codec(_) => false,
        }
    }
}

/// Destination and limits of a call.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Address of the server, `IP:port`.
    pub address: &'a str,
    /// HTTP path.
    pub path: &'a str,
    /// Token of the cell; empty to send none.
    pub token: &'a str,
    /// Longest wait for the complete response, in milliseconds.
    pub timeout_ms: u64,
}

/// Sends `body` and decodes the response as `Answer`.
///
/// # Errors
/// [`RpcError::is_not_executed`] tells whether the call may have taken effect.
pub async fn call<Body, Answer>(
    pool: &Pool,
    call: &Call<'_>,
    body: &Body,
) -> Result<Answer, RpcError>
where
    Body: Serialize + Sync,
    Answer: DeserializeOwned,
{
    let mut request =
        client::request(Method::Post, call.address, call.path).map_err(RpcError::ErrorResponse)?;
    request.set_body(encode(body)?);
    request.insert_header("Content-Type", CONTENT_TYPE);
    if !call.token.is_empty() {
        request.insert_header(TOKEN_HEADER, call.token);
    }
    let reply = pool.send(call.address, request, call.timeout_ms).await?;
    const OK: u16 = 200;
    if reply.status != OK {
        return Err(error_from_response(reply.status, &reply.body));
    }
    decode(&reply.body)
}

fn error_from_response(status: u16, body: &[u8]) -> RpcError {
    match serde_json::from_slice::<ApiError>(body) {
        Ok(error) => RpcError::ErrorResponse(ApiError { status, ..error }),
        Err(_) => {
            RpcError::Codec(format!("status {status} with an error body that cannot be decoded"))
        }
    }
}

/// Encodes a value as MessagePack with field names.
///
/// # Errors
/// [`RpcError::Codec`] if the value cannot be encoded.
pub fn encode(value: &impl Serialize) -> Result<Vec<u8>, RpcError> {
    rmp_serde::to_vec_named(value).map_err(|error| RpcError::Codec(error.to_string()))
}

/// Decodes a value from MessagePack.
///
/// # Errors
/// [`RpcError::Codec`] if the bytes do not encode a `T`.
///
/// ```
/// use hemlockrock::http::rpc;
///
/// let bytes = rpc::encode(&(1_u32, "entry-1"))?;
/// assert_eq!(rpc::decode::<(u32, String)>(&bytes)?, (1, "entry-1".to_owned()));
/// assert!(rpc::decode::<(u32, String)>(&bytes[..2]).is_err());
/// # Ok::<(), rpc::RpcError>(())
/// ```
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, RpcError> {
    rmp_serde::from_slice(bytes).map_err(|error| RpcError::Codec(error.to_string()))
}

/// Creates the HTTP response that carries the result of a call; a 500 error if it cannot be
/// encoded.
pub fn response(value: &impl Serialize) -> Response {
    match encode(value) {
        Ok(bytes) => {
            Response::builder(StatusCode::Ok).content_type(CONTENT_TYPE).body(bytes).build()
        }
        Err(error) => ApiError::new(500, "encoding", error.to_string()).to_response(),
    }
}

/// Checks the token of a request in constant time. An empty `token` admits every request.
///
/// # Errors
/// A 401 error if the token is missing or differs from `token`.
pub fn check_token<State>(request: &tide::Request<State>, token: &str) -> Result<(), ApiError> {
    if token.is_empty() {
        return Ok(());
    }
    let given = request.header(TOKEN_HEADER).map_or("", |values| values.as_str());
    if is_equal_constant_time(given.as_bytes(), token.as_bytes()) {
        return Ok(());
    }
    Err(ApiError::new(401, "not_admitted", "the Hemlock-Token header is missing or wrong"))
}

fn is_equal_constant_time(given: &[u8], expected: &[u8]) -> bool {
    let differing = given.iter().zip(expected).fold(0, |all, (left, right)| all | (left ^ right));
    given.len() == expected.len() && differing == 0
}
