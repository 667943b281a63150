//! Parses a caller's request and reports all invalid headers at once.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use bytes::Bytes;

use crate::findings::{Findings, Position};
use crate::http::error::ApiError;
use crate::http::server;
use crate::outcome;

use super::super::message::SubmittedRequest;
use super::super::{deadline, peer, Shared};
use super::Request;

/// Header that says whether the request may run more than once: `true` or `false`.
const IDEMPOTENT: &str = "Hemlock-Idempotent";

/// Header with the time until the deadline, in milliseconds.
const DEADLINE: &str = "Hemlock-Deadline-Ms";

/// Header that names the caller, for fair sharing.
const CALLER: &str = "Hemlock-Caller";

/// Header that names the kind of work.
const KIND: &str = "Hemlock-Kind";

/// Longest value of a header that the entry host reads, in bytes.
const MAX_VALUE_BYTES: usize = 256;

/// Headers that are not passed on because the entry host sets or consumes them.
const OWN_HEADERS: [&str; 4] =
    [outcome::IDEMPOTENCY_KEY_HEADER, outcome::REQUEST_ID_HEADER, DEADLINE, IDEMPOTENT];

/// Parses the headers and reads the body of a request.
pub(super) async fn submitted(request: &mut Request) -> Result<SubmittedRequest, ApiError> {
    let shared = Arc::clone(request.state());
    let service = request.param("service").unwrap_or_default().to_owned();
    check_service(&shared, &service)?;
    let mut submitted = headers(request, &shared, service)?;
    let body = server::read_body(request, &shared.config.http).await?;
    submitted.body = Bytes::from(body);
    Ok(submitted)
}

fn check_service(shared: &Shared, service: &str) -> Result<(), ApiError> {
    const RETRY_AFTER_MS: u64 = 1_000;
    let declared = shared.declared();
    if declared.services.contains(service) {
        return Ok(());
    }
    if declared.revision == 0 {
        let error = ApiError::new(503, "not_ready", "no configuration is in force yet");
        return Err(error.with_retry_after_ms(RETRY_AFTER_MS));
    }
    let message = format!("service {service} is not declared");
    Err(ApiError::new(404, "no_such_service", message))
}

fn headers(
    request: &Request,
    shared: &Shared,
    service: String,
) -> Result<SubmittedRequest, ApiError> {
    let mut parser = HeaderParser { request, findings: Findings::new() };
    let key = parser.text(outcome::IDEMPOTENCY_KEY_HEADER);
    let is_idempotent = parser.flag(IDEMPOTENT);
    let default_ms = shared.config.default_deadline_ms;
    let within_ms = parser.number(DEADLINE, shared.config.max_deadline_ms).unwrap_or(default_ms);
    let caller = parser.text(CALLER);
    let kind = parser.text(KIND);
    let id = parser.text(outcome::REQUEST_ID_HEADER);
    if key.is_empty() && !is_idempotent && parser.findings.is_empty() {
        parser.push(outcome::IDEMPOTENCY_KEY_HEADER, "required unless Hemlock-Idempotent is true");
    }
    parser.findings.into_result(()).map_err(|findings| {
        ApiError::new(400, "bad_headers", "headers are wrong or missing").with_findings(findings)
    })?;
    Ok(SubmittedRequest {
        id: if id.is_empty() { new_id(shared) } else { id },
        service,
        kind,
        caller,
        key,
        is_idempotent,
        is_forwarded: false,
        deadline_ms: deadline(within_ms),
        headers: endpoint_headers(request),
        body: Bytes::new(),
    })
}

/// Generates a request id, unique across hosts and restarts.
fn new_id(shared: &Shared) -> String {
    let number = shared.next_request.fetch_add(1, Ordering::Relaxed);
    let incarnation = shared.session.member().incarnation;
    format!("{}-{incarnation:x}-{number}", shared.config.name)
}

/// Headers of the caller that are passed on to the endpoint.
fn endpoint_headers(request: &Request) -> Vec<(String, String)> {
    let all: Vec<(String, String)> = request
        .iter()
        .flat_map(|(name, values)| {
            values.iter().map(|value| (name.as_str().to_owned(), value.as_str().to_owned()))
        })
        .filter(|(name, _)| !OWN_HEADERS.iter().any(|own| name.eq_ignore_ascii_case(own)))
        .collect();
    peer::end_to_end(&all)
}

/// Parses headers and collects findings.
struct HeaderParser<'a> {
    request: &'a Request,
    findings: Findings,
}

impl HeaderParser<'_> {
    fn push(&mut self, name: &str, message: &str) {
        self.findings.push("request", Position::default(), name, message);
    }

    /// Value of a header; empty if it is absent. Adds a finding if it is repeated, too long or not
    /// printable ASCII.
    fn text(&mut self, name: &str) -> String {
        let Some(values) = self.request.header(name) else { return String::new() };
        let value = values.as_str().to_owned();
        if values.iter().count() > 1 {
            self.push(name, "given more than once");
        } else if value.is_empty() || value.len() > MAX_VALUE_BYTES {
            self.push(name, "expected 1 to 256 characters");
        } else if !value.bytes().all(|byte| byte.is_ascii_graphic() || byte == b' ') {
            self.push(name, "expected printable ASCII");
        }
        value
    }

    /// Value of a boolean header; false if it is absent or invalid.
    fn flag(&mut self, name: &str) -> bool {
        match self.text(name).as_str() {
            "true" => true,
            "false" | "" => false,
            _ => {
                self.push(name, "expected true or false");
                false
            }
        }
    }

    /// Value of a header that holds a whole number from 1 to `max`; `None` if it is absent or
    /// invalid.
    fn number(&mut self, name: &str, max: u64) -> Option<u64> {
        let text = self.text(name);
        if text.is_empty() {
            return None;
        }
        let number = text.parse::<u64>().ok().filter(|number| (1..=max).contains(number));
        if number.is_none() {
            self.push(name, &format!("expected a whole number from 1 to {max}"));
        }
        number
    }
}
