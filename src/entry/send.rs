//! One send of a request to an endpoint, and the reading of an endpoint's health.

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
use super::message::{Said, Submitted};

/// Pause between looks at whether sending is allowed again, in milliseconds.
const AUTHORITY_POLL_MS: u64 = 10;

/// Time past the deadline for an answer that is on its way, in milliseconds.
const ANSWER_GRACE_MS: u64 = 50;

/// First status that tells of a failure of the endpoint.
const SERVER_ERROR: u16 = 500;

/// One send.
#[derive(Debug)]
pub struct Send {
    /// The request.
    pub submitted: Arc<Submitted>,
    /// Address of the endpoint.
    pub address: String,
    /// Lease under which the endpoint is owned.
    pub held: LeaseId,
    /// Connections to endpoints.
    pub pool: Pool,
    /// Whether the connection may serve another request afterwards.
    pub may_reuse: bool,
    /// Whether this host may send.
    pub authority: Authority,
    /// Ends the send early when something arrives.
    pub abort: async_channel::Receiver<Reason>,
}

/// How a send ended.
#[derive(Debug)]
pub struct Sent {
    /// How it ended.
    pub result: SendResult,
    /// The whole answer, if there is one.
    pub reply: Option<Reply>,
    /// What the answer told about the endpoint.
    pub sign: Option<EndpointSignal>,
}

impl Sent {
    fn without_reply(result: SendResult, sign: Option<EndpointSignal>) -> Self {
        Self { result, reply: None, sign }
    }
}

/// Carries out one send.
pub async fn send(job: Send) -> Sent {
    if !wait_for_authority(&job).await {
        return Sent::without_reply(SendResult::NotSent, None);
    }
    let Ok(mut request) = endpoint_request(&job.submitted, &job.address) else {
        return Sent::without_reply(SendResult::NotSent, None);
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
            job.pool.forget(&job.address);
            Sent::without_reply(SendResult::Lost { reason }, None)
        }
        Err(Err(ExchangeError::Refused(_))) => {
            Sent::without_reply(SendResult::NotSent, Some(EndpointSignal::ConnectionRefused))
        }
        Err(sent) => judge(sent, clock::now_ms().saturating_sub(begun_ms), timeout_ms),
    }
}

/// Waits while another session or an outage is being settled; false when the endpoint was lost.
async fn wait_for_authority(job: &Send) -> bool {
    while !job.authority.may_send(job.held) {
        let is_late = clock::now_ms() >= job.submitted.deadline_ms;
        if is_late || job.authority.is_superseded(job.held) || !job.abort.is_empty() {
            return false;
        }
        task::sleep(Duration::from_millis(AUTHORITY_POLL_MS)).await;
    }
    true
}

fn judge(sent: Result<Reply, ExchangeError>, ran_ms: u64, timeout_ms: u64) -> Sent {
    match sent {
        Ok(reply) => judge_reply(reply, ran_ms),
        Err(ExchangeError::NotSent(_) | ExchangeError::Refused(_)) => {
            Sent::without_reply(SendResult::NotSent, None)
        }
        Err(ExchangeError::Unanswered(message)) => {
            let reason = if ran_ms >= timeout_ms {
                Reason::TimedOut
            } else if message.starts_with("the body ended") {
                Reason::ShortAnswer
            } else {
                Reason::ConnectionLost
            };
            Sent::without_reply(SendResult::Lost { reason }, None)
        }
    }
}

fn judge_reply(reply: Reply, ran_ms: u64) -> Sent {
    let is_leaving = reply.header(outcome::LEAVING_HEADER) == Some("true");
    let sign = is_leaving.then_some(EndpointSignal::Leaving);
    if reply.header(outcome::NOT_STARTED_HEADER) == Some("true") {
        return Sent::without_reply(SendResult::Declined, sign);
    }
    let result = if reply.status >= SERVER_ERROR {
        SendResult::ServerError
    } else {
        SendResult::Done { ran_ms }
    };
    Sent { result, reply: Some(reply), sign }
}

fn endpoint_request(
    submitted: &Submitted,
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

/// Sets a header; one that cannot be sent is left out.
fn set_header(request: &mut http_types::Request, name: &str, value: &str) {
    let name = HeaderName::from_bytes(name.as_bytes().to_vec());
    let value = HeaderValue::from_bytes(value.as_bytes().to_vec());
    if let (Ok(name), Ok(value)) = (name, value) {
        request.insert_header(name, value);
    }
}

/// Asks an endpoint for its busy slots on a connection of its own.
pub async fn read_health(address: &str, timeout_ms: u64) -> Option<Said> {
    const MAX_HEALTH_BYTES: u64 = 64 * 1024;
    #[derive(Default)]
    #[derive(Deserialize)]
    #[serde(default)]
    struct Health {
        busy: Option<u32>,
        leaving: Option<bool>,
    }
    let read = async {
        let stream = client::open(address, timeout_ms).await.ok()?;
        let mut request = client::request(Method::Get, address, "/healthz").ok()?;
        request.insert_header("Connection", "close");
        let reply = client::exchange(stream, request, MAX_HEALTH_BYTES).await.ok()?;
        let health: Health = serde_json::from_slice(&reply.body).unwrap_or_default();
        Some(Said { busy: health.busy, is_leaving: health.leaving })
    };
    async_std::future::timeout(Duration::from_millis(timeout_ms), read).await.ok().flatten()
}
