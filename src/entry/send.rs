//! Sends a request to an endpoint, and reads the health of an endpoint.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use futures_lite::future;
use http_types::headers::{HeaderName, HeaderValue};
use http_types::Method;
use serde::Deserialize;

use crate::clock;
use crate::http::client::{self, ExchangeError, Pool, Reply};
use crate::outcome::{self, Reason};
use crate::route::{EndpointSignal, SendResult};
use crate::store::LeaseId;

use super::authority::Authority;
use super::message::{HealthReport, SubmittedRequest};

/// Poll interval while permission to send is missing, in milliseconds.
const AUTHORITY_POLL_MS: u64 = 10;

/// Time past the deadline for which an answer is awaited, in milliseconds.
const ANSWER_GRACE_MS: u64 = 50;

/// Lowest HTTP status that counts as a failure of the endpoint.
const SERVER_ERROR: u16 = 500;

/// One send of a request to an endpoint.
#[derive(Debug)]
pub struct SendJob {
    /// Request to send.
    pub submitted: Arc<SubmittedRequest>,
    /// Address of the endpoint, `IP:port`.
    pub address: String,
    /// Lease under which the endpoint was acquired.
    pub held: LeaseId,
    /// Connections to endpoints.
    pub pool: Pool,
    /// Whether the connection may be reused for other requests.
    pub may_reuse: bool,
    /// Permission to send, checked right before the write.
    pub authority: Authority,
    /// Aborts the send with the received reason.
    pub abort: async_channel::Receiver<Reason>,
}

/// End of a send.
#[derive(Debug)]
pub struct SendReport {
    /// How it ended.
    pub result: SendResult,
    /// The whole answer, if there is one.
    pub reply: Option<Reply>,
    /// State of the endpoint that the send revealed, if any.
    pub signal: Option<EndpointSignal>,
}

impl SendReport {
    fn without_reply(result: SendResult, signal: Option<EndpointSignal>) -> Self {
        Self { result, reply: None, signal }
    }
}

/// Sends a request and waits for its answer, an abort, or the deadline.
pub async fn send(job: SendJob) -> SendReport {
    if !wait_for_authority(&job).await {
        return SendReport::without_reply(SendResult::NotSent, None);
    }
    let Ok(mut request) = endpoint_request(&job.submitted, &job.address) else {
        return SendReport::without_reply(SendResult::NotSent, None);
    };
    if !job.may_reuse {
        request.insert_header("Connection", "close");
    }
    let begun_ms = clock::now_ms();
    let timeout_ms = job.submitted.deadline_ms.saturating_sub(begun_ms) + ANSWER_GRACE_MS;
    let may_send = || job.authority.may_send(job.held);
    let exchange = async {
        let sent = job.pool.send_if(&job.address, request, timeout_ms, may_send).await;
        Err::<Reason, _>(sent)
    };
    let aborted = async { Ok(job.abort.recv().await.unwrap_or(Reason::ConnectionLost)) };
    match future::or(exchange, aborted).await {
        Ok(reason) => {
            job.pool.close_idle(&job.address);
            SendReport::without_reply(SendResult::Lost { reason }, None)
        }
        Err(Err(ExchangeError::ConnectionRefused(_))) => {
            SendReport::without_reply(SendResult::NotSent, Some(EndpointSignal::ConnectionRefused))
        }
        Err(sent) => classify(sent, clock::now_ms().saturating_sub(begun_ms), timeout_ms),
    }
}

/// Waits until sending is permitted, for example while a new session or an outage is being
/// confirmed. Returns false if the endpoint was lost, the deadline passed or the send was aborted.
async fn wait_for_authority(job: &SendJob) -> bool {
    while !job.authority.may_send(job.held) {
        let is_late = clock::now_ms() >= job.submitted.deadline_ms;
        if is_late || job.authority.is_superseded(job.held) || !job.abort.is_empty() {
            return false;
        }
        task::sleep(Duration::from_millis(AUTHORITY_POLL_MS)).await;
    }
    true
}

/// Converts the result of an HTTP exchange into the end of a send.
fn classify(sent: Result<Reply, ExchangeError>, ran_ms: u64, timeout_ms: u64) -> SendReport {
    match sent {
        Ok(reply) => classify_reply(reply, ran_ms),
        Err(ExchangeError::NotSent(_) | ExchangeError::ConnectionRefused(_)) => {
            SendReport::without_reply(SendResult::NotSent, None)
        }
        Err(ExchangeError::Unanswered(message) | ExchangeError::TimedOut(message)) => {
            let reason = if ran_ms >= timeout_ms {
                Reason::TimedOut
            } else if message.starts_with("the body ended") {
                Reason::ShortAnswer
            } else {
                Reason::ConnectionLost
            };
            SendReport::without_reply(SendResult::Lost { reason }, None)
        }
    }
}

/// Converts a whole answer into the end of a send.
fn classify_reply(reply: Reply, ran_ms: u64) -> SendReport {
    let is_leaving = reply.header(outcome::LEAVING_HEADER) == Some("true");
    let signal = is_leaving.then_some(EndpointSignal::Leaving);
    if reply.header(outcome::NOT_STARTED_HEADER) == Some("true") {
        return SendReport::without_reply(SendResult::Declined, signal);
    }
    let result = if reply.status >= SERVER_ERROR {
        SendResult::ServerError
    } else {
        SendResult::Done { ran_ms }
    };
    SendReport { result, reply: Some(reply), signal }
}

fn endpoint_request(
    submitted: &SubmittedRequest,
    address: &str,
) -> Result<http_types::Request, crate::http::error::ApiError> {
    let mut request = client::request(Method::Post, address, "/")?;
    request.set_body(submitted.body.to_vec());
    for (name, value) in &submitted.headers {
        set_header(&mut request, name, value);
    }
    set_header(&mut request, outcome::REQUEST_ID_HEADER, &submitted.id);
    if !submitted.key.is_empty() {
        set_header(&mut request, outcome::IDEMPOTENCY_KEY_HEADER, &submitted.key);
    }
    Ok(request)
}

/// Sets a header; invalid names and values are skipped.
fn set_header(request: &mut http_types::Request, name: &str, value: &str) {
    let name = HeaderName::from_bytes(name.as_bytes().to_vec());
    let value = HeaderValue::from_bytes(value.as_bytes().to_vec());
    if let (Ok(name), Ok(value)) = (name, value) {
        request.insert_header(name, value);
    }
}

/// Reads the health of an endpoint on a connection of its own; `None` if it does not answer within
/// `timeout_ms`.
pub async fn read_health(address: &str, timeout_ms: u64) -> Option<HealthReport> {
    const MAX_HEALTH_BYTES: u64 = 64 * 1024;
    #[derive(Default)]
    #[derive(Deserialize)]
    #[serde(default)]
    struct Health {
        busy: Option<u32>,
        leaving: Option<bool>,
    }
    let read = async {
        let stream = client::connect(address, timeout_ms).await.ok()?;
        let mut request = client::request(Method::Get, address, "/healthz").ok()?;
        request.insert_header("Connection", "close");
        let reply = client::exchange(stream, request, MAX_HEALTH_BYTES).await.ok()?;
        let health: Health = serde_json::from_slice(&reply.body).unwrap_or_default();
        Some(HealthReport { busy: health.busy, is_leaving: health.leaving })
    };
    async_std::future::timeout(Duration::from_millis(timeout_ms), read).await.ok().flatten()
}
