//! Sends the requests of a plan at their scheduled times, however slow the answers are.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::task;
use http_types::Method;
use sha2::{Digest as _, Sha256};

use crate::clock;
use crate::configs::http::HttpConfig;
use crate::http::client::{self, ExchangeError, Pool, Reply};
use crate::load::plan::{Arrival, KindPlan, Plan};
use crate::outcome::{Outcome, OUTCOME_HEADER, REASON_HEADER};

/// Header that tells the fake endpoint how long to run the request, in milliseconds.
pub const RUN_HEADER: &str = "Hemlock-Standin-Run-Ms";

/// Time for which a caller waits for an answer after the deadline, in milliseconds.
const ANSWER_GRACE_MS: u64 = 10_000;

/// The answer that a caller got to one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerResult {
    /// Planned request that the answer belongs to.
    pub arrival: Arrival,
    /// Value of its `Idempotency-Key` header.
    pub key: String,
    /// Outcome in the answer; `None` if no complete answer came or it names none.
    pub outcome: Option<Outcome>,
    /// Reason in the answer; empty if there is none.
    pub reason: String,
    /// HTTP status; 0 if no complete answer came.
    pub status: u16,
    /// Whether the body names the digest of this request's body, so that it answers this request.
    pub is_own_answer: bool,
    /// Time from the scheduled sending to the answer, in microseconds.
    pub latency_us: u64,
    /// Time from the start of the load to the answer, in microseconds.
    pub answered_at_us: u64,
}

/// Number of results by the reason in the answer; those without a reason are left out.
pub fn reasons<'a>(results: impl IntoIterator<Item = &'a CallerResult>) -> BTreeMap<String, u64> {
    let mut reasons = BTreeMap::new();
    for result in results.into_iter().filter(|result| !result.reason.is_empty()) {
        *reasons.entry(result.reason.clone()).or_default() += 1;
    }
    reasons
}

/// Sends all requests of a plan to the entry hosts at `targets`; returns the results in the order
/// of the plan.
///
/// Requests go to the entry hosts in turn, as a load balancer would send them.
pub async fn run(plan: &Plan, targets: &[String]) -> Vec<CallerResult> {
    let config = HttpConfig { max_idle_per_address: 4_096, ..HttpConfig::default() };
    let pool = Pool::new(config);
    let plan = Arc::new(plan.clone());
    let arrivals = plan.arrivals();
    let results = Arc::new(Mutex::new(Vec::with_capacity(arrivals.len())));
    let start_us = clock::now_us();
    let mut in_flight = Vec::with_capacity(arrivals.len());
    for arrival in arrivals {
        wait_until(start_us + arrival.at_us).await;
        let target = targets[arrival.number as usize % targets.len()].clone();
        let sender = Sender { plan: Arc::clone(&plan), pool: pool.clone(), target, start_us };
        let results = Arc::clone(&results);
        in_flight.push(task::spawn(async move {
            let result = sender.send(arrival).await;
            results.lock().unwrap_or_else(PoisonError::into_inner).push(result);
        }));
    }
    for request in in_flight {
        request.await;
    }
    let mut results = std::mem::take(&mut *results.lock().unwrap_or_else(PoisonError::into_inner));
    results.sort_by_key(|result| result.arrival.number);
    results
}

async fn wait_until(at_us: u64) {
    let now_us = clock::now_us();
    if at_us > now_us {
        task::sleep(Duration::from_micros(at_us - now_us)).await;
    }
}

/// Sends one request of a plan.
struct Sender {
    plan: Arc<Plan>,
    pool: Pool,
    /// Address of the entry host.
    target: String,
    /// Start of the load, on the monotonic clock.
    start_us: u64,
}

impl Sender {
    async fn send(self, arrival: Arrival) -> CallerResult {
        let key = format!("{}-{}", self.plan.seed, arrival.number);
        let body = body(&key, self.plan.body_bytes);
        self.simulate_trip().await;
        let reply = self.exchange(&arrival, &key, body.clone()).await;
        self.simulate_trip().await;
        let now_us = clock::now_us();
        let outcome = reply.as_ref().ok().and_then(|reply| reply.header(OUTCOME_HEADER));
        let outcome = outcome.and_then(Outcome::parse);
        let reason = reply.as_ref().ok().and_then(|reply| reply.header(REASON_HEADER));
        let reason = reason.unwrap_or_default().to_owned();
        let is_own_answer = reply.as_ref().is_ok_and(|reply| names_digest_of(reply, &body));
        CallerResult {
            key,
            outcome,
            reason,
            status: reply.as_ref().map_or(0, |reply| reply.status),
            is_own_answer,
            latency_us: now_us.saturating_sub(self.start_us + arrival.at_us),
            answered_at_us: now_us.saturating_sub(self.start_us),
            arrival,
        }
    }

    async fn exchange(
        &self,
        arrival: &Arrival,
        key: &str,
        body: Vec<u8>,
    ) -> Result<Reply, ExchangeError> {
        let kind: &KindPlan = &self.plan.kinds[arrival.kind];
        let path = format!("/v1/services/{}/requests", self.plan.service);
        let mut request = client::request(Method::Post, &self.target, &path)
            .map_err(|error| ExchangeError::NotSent(error.to_string()))?;
        request.insert_header("Idempotency-Key", key);
        request.insert_header("Hemlock-Idempotent", arrival.is_idempotent.to_string());
        request.insert_header("Hemlock-Deadline-Ms", kind.deadline_ms.to_string());
        request.insert_header("Hemlock-Caller", format!("caller-{}", arrival.caller));
        request.insert_header("Hemlock-Kind", kind.name.as_str());
        request.insert_header(RUN_HEADER, kind.run_ms.to_string());
        request.set_body(body);
        self.pool.send(&self.target, request, kind.deadline_ms + ANSWER_GRACE_MS).await
    }

    /// Sleeps for the one-way network latency between caller and entry host.
    async fn simulate_trip(&self) {
        const US_PER_MS: f64 = 1_000.0;
        let trip_us = (self.plan.caller_trip_ms * US_PER_MS) as u64;
        if trip_us > 0 {
            task::sleep(Duration::from_micros(trip_us)).await;
        }
    }
}

/// A body that is unique to the request, at least `body_bytes` long.
fn body(key: &str, body_bytes: usize) -> Vec<u8> {
    let mut body = format!("request {key} ").into_bytes();
    body.resize(body.len().max(body_bytes), b'.');
    body
}

/// Whether the answer contains the SHA-256 digest of `body`, as an endpoint that ran it sends.
fn names_digest_of(reply: &Reply, body: &[u8]) -> bool {
    let digest = format!("{:x}", Sha256::digest(body));
    std::str::from_utf8(&reply.body).is_ok_and(|text| text.contains(&digest))
}
