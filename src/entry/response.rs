//! HTTP responses to callers.

use http_types::headers::{HeaderName, HeaderValue};
use tide::{Response, StatusCode};

use crate::http::client::Reply;
use crate::http::error::ApiError;
use crate::outcome::{self, Outcome, Reason};

use super::message::RequestResult;
use super::peer;

/// Status of a request that did not run and may succeed later.
const UNAVAILABLE: u16 = 503;

/// Status of a request that was refused because of overload.
const TOO_MANY: u16 = 429;

/// Status of a request whose idempotency key was used for another request.
const CONFLICT: u16 = 409;

/// Status of a request that may have run.
const GATEWAY_TIMEOUT: u16 = 504;

/// Response for the result of a request.
pub(super) fn from_result(result: &RequestResult, request_id: &str) -> Response {
    let mut response = match result {
        RequestResult::Answered(reply) => from_reply(reply),
        RequestResult::Ended { outcome, reason, retry_after_ms } => {
            from_outcome(*outcome, *reason, *retry_after_ms)
        }
        RequestResult::Forward { .. } => from_outcome(Outcome::NotRun, Reason::NoEndpoint, 0),
    };
    set_header(&mut response, outcome::REQUEST_ID_HEADER, request_id);
    response
}

/// Response to a request that was refused before it was submitted.
pub(super) fn from_error(error: &ApiError) -> Response {
    let mut response = error.to_response();
    set_header(&mut response, outcome::OUTCOME_HEADER, Outcome::NotRun.as_str());
    response
}

/// Response that passes on the whole answer of an endpoint.
fn from_reply(reply: &Reply) -> Response {
    let status = StatusCode::try_from(reply.status).unwrap_or(StatusCode::BadGateway);
    let mut response = Response::new(status);
    response.set_body(tide::Body::from_bytes(reply.body.to_vec()));
    for (name, value) in peer::end_to_end(&reply.headers) {
        set_header(&mut response, &name, &value);
    }
    response.remove_header(outcome::LEAVING_HEADER);
    response.remove_header(outcome::REASON_HEADER);
    set_header(&mut response, outcome::OUTCOME_HEADER, Outcome::Done.as_str());
    response
}

/// Response for a request without a whole answer.
fn from_outcome(outcome: Outcome, reason: Reason, retry_after_ms: u64) -> Response {
    let status = match (outcome, reason) {
        (Outcome::Unknown | Outcome::Done, _) => GATEWAY_TIMEOUT,
        (_, Reason::KeyReused) => CONFLICT,
        (_, Reason::QueueFull | Reason::DeadlineTooClose | Reason::NoRetryLeft) => TOO_MANY,
        _ => UNAVAILABLE,
    };
    let mut error = ApiError::new(status, reason.as_str(), reason.message());
    if outcome == Outcome::NotRun && reason != Reason::KeyReused {
        error = error.with_retry_after_ms(retry_after_ms.max(1));
    }
    let mut response = error.to_response();
    set_header(&mut response, outcome::OUTCOME_HEADER, outcome.as_str());
    set_header(&mut response, outcome::REASON_HEADER, reason.as_str());
    response
}

/// Sets a header; invalid names and values are skipped.
fn set_header(response: &mut Response, name: &str, value: &str) {
    let name = HeaderName::from_bytes(name.as_bytes().to_vec());
    let value = HeaderValue::from_bytes(value.as_bytes().to_vec());
    if let (Ok(name), Ok(value)) = (name, value) {
        response.insert_header(name, value);
    }
}
