//! Calls between our processes: one HTTP request whose bodies are MessagePack.

use http_types::Method;
use serde::de::DeserializeOwned;
use serde::Serialize;
use tide::{Response, StatusCode};

use crate::http::client::{self, ExchangeError, Pool};
use crate::http::error::ApiError;

/// Content type of MessagePack bodies.
pub const CONTENT_TYPE: &str = "application/msgpack";

/// Header that carries the shared token of a cell.
pub const TOKEN_HEADER: &str = "Hemlock-Token";

/// Why a call gave no answer.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum RpcError {
    /// The exchange failed; the inner error tells how far it got.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    /// The other side answered with an error.
    #[error("refused: {0}")]
    Refused(ApiError),
    /// A body could not be written or read.
    #[error("body: {0}")]
    Body(String),
}

impl RpcError {
    /// Whether the other side certainly did not act on the call.
    pub fn is_certain(&self) -> bool {
        match self {
            Self::Exchange(error) => error.is_not_sent(),
            Self::Refused(_) => true,
            Self::Body(_) => false,
        }
    }
}

/// One kind of call: where it goes and how long it may take.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Address of the other side, `IP:port`.
    pub address: &'a str,
    /// Path of the call.
    pub path: &'a str,
    /// Token of the cell; empty for none.
    pub token: &'a str,
    /// Longest wait for the answer, in milliseconds.
    pub timeout_ms: u64,
}

/// Sends `body` and reads the typed answer.
///
/// # Errors
/// [`RpcError`]; [`RpcError::is_certain`] tells whether the call can have taken effect.
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
        client::request(Method::Post, call.address, call.path).map_err(RpcError::Refused)?;
    request.set_body(encode(body)?);
    request.insert_header("Content-Type", CONTENT_TYPE);
    if !call.token.is_empty() {
        request.insert_header(TOKEN_HEADER, call.token);
    }
    let reply = pool.send(call.address, request, call.timeout_ms).await?;
    const OK: u16 = 200;
    if reply.status != OK {
        return Err(refusal(reply.status, &reply.body));
    }
    decode(&reply.body)
}

fn refusal(status: u16, body: &[u8]) -> RpcError {
    match serde_json::from_slice::<ApiError>(body) {
        Ok(error) => RpcError::Refused(ApiError { status, ..error }),
        Err(_) => RpcError::Body(format!("status {status} without a readable error")),
    }
}

/// Writes a value as MessagePack with field names.
///
/// # Errors
/// [`RpcError::Body`] when the value cannot be written.
pub fn encode(value: &impl Serialize) -> Result<Vec<u8>, RpcError> {
    rmp_serde::to_vec_named(value).map_err(|error| RpcError::Body(error.to_string()))
}

/// Reads a value from MessagePack.
///
/// # Errors
/// [`RpcError::Body`] when the bytes are not such a value.
///
/// ```
/// use hemlockrock::http::rpc;
///
/// let bytes = rpc::encode(&(1_u32, "milk"))?;
/// assert_eq!(rpc::decode::<(u32, String)>(&bytes)?, (1, "milk".to_owned()));
/// assert!(rpc::decode::<(u32, String)>(&bytes[..2]).is_err());
/// # Ok::<(), rpc::RpcError>(())
/// ```
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, RpcError> {
    rmp_serde::from_slice(bytes).map_err(|error| RpcError::Body(error.to_string()))
}

/// The answer of a call as a response.
pub fn answer(value: &impl Serialize) -> Response {
    match encode(value) {
        Ok(bytes) => {
            Response::builder(StatusCode::Ok).content_type(CONTENT_TYPE).body(bytes).build()
        }
        Err(error) => ApiError::new(500, "encoding", error.to_string()).to_response(),
    }
}

/// Checks the token of a call in constant time; an empty expected token admits all.
///
/// # Errors
/// A 401 error when the token is missing or another one.
pub fn admit<State>(request: &tide::Request<State>, token: &str) -> Result<(), ApiError> {
    if token.is_empty() {
        return Ok(());
    }
    let given = request.header(TOKEN_HEADER).map_or("", |values| values.as_str());
    if same_secret(given.as_bytes(), token.as_bytes()) {
        return Ok(());
    }
    Err(ApiError::new(401, "not_admitted", "the token is missing or not this cell's"))
}

fn same_secret(given: &[u8], expected: &[u8]) -> bool {
    let differing = given.iter().zip(expected).fold(0, |all, (left, right)| all | (left ^ right));
    given.len() == expected.len() && differing == 0
}
