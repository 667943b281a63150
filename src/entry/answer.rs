//! Responses to callers.

use http_types::headers::{HeaderName, HeaderValue};
use tide::{Response, StatusCode};

use crate::http::client::Reply;
use crate::http::error::ApiError;
use crate::outcome::{self, Outcome, Reason};

use super::message::Verdict;
use super::peer;

/// Status of work that may run later.
const UNAVAILABLE: u16 = 503;

/// Status of work that is refused because there is too much of it.
const TOO_MANY: u16 = 429;

/// Status of a request whose key belongs to another.
const CONFLICT: u16 = 409;

/// Status of work that may have run.
const GATEWAY_TIMEOUT: u16 = 504;

/// The response that tells a verdict.
pub(super) fn response(verdict: &Verdict, request_id: &str) -> Response {
    let mut response = match verdict {
        Verdict::Answered(reply) => whole(reply),
        Verdict::Ended { outcome, reason, retry_after_ms } => {
            ended(*outcome, *reason, *retry_after_ms)
        }
        Verdict::Forward { .. } => ended(Outcome::NotRun, Reason::NoEndpoint, 0),
    };
    set(&mut response, outcome::REQUEST_ID_HEADER, request_id);
    response
}

/// The response to a request that was refused before it was submitted.
pub(super) fn refused(error: &ApiError) -> Response {
    let mut response = error.to_response();
    set(&mut response, outcome::OUTCOME_HEADER, Outcome::NotRun.as_str());
    response
}

fn whole(reply: &Reply) -> Response {
    let status = StatusCode::try_from(reply.status).unwrap_or(StatusCode::BadGateway);
    let mut response = Response::new(status);
    response.set_body(tide::Body::from_bytes(reply.body.to_vec()));
    for (name, value) in peer::end_to_end(&reply.headers) {
        set(&mut response, &name, &value);
    }
    response.remove_header(outcome::LEAVING_HEADER);
    response.remove_header(outcome::REASON_HEADER);
    set(&mut response, outcome::OUTCOME_HEADER, Outcome::Done.as_str());
    response
}

fn ended(outcome: Outcome, reason: Reason, retry_after_ms: u64) -> Response {
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
    set(&mut response, outcome::OUTCOME_HEADER, outcome.as_str());
    set(&mut response, outcome::REASON_HEADER, reason.as_str());
    response
}

/// Sets a header; one that cannot be sent is left out.
fn set(response: &mut Response, name: &str, value: &str) {
    let name = HeaderName::from_bytes(name.as_bytes().to_vec());
    let value = HeaderValue::from_bytes(value.as_bytes().to_vec());
    if let (Ok(name), Ok(value)) = (name, value) {
        response.insert_header(name, value);
    }
}
