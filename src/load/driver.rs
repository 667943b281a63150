//! Sends the requests of a plan at their intended times, however slow the answers are.

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

/// Header that tells the stand-in runner how long to run.
pub const RUN_HEADER: &str = "Hemlock-Standin-Run-Ms";

/// Time beyond the deadline for which a caller waits for its answer, in milliseconds.
const PATIENCE_MS: u64 = 10_000;

/// What a caller was told about one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    /// The request.
    pub arrival: Arrival,
    /// Its `Idempotency-Key`.
    pub key: String,
    /// Outcome, or nothing if no whole answer came.
    pub outcome: Option<Outcome>,
    /// Why, if the caller was told; otherwise empty.
    pub reason: String,
    /// Status, 0 if no answer came.
    pub status: u16,
    /// Whether a `done` answer was whole and the request's own.
    pub is_own_answer: bool,
    /// Time from the intended sending to the answer, in microseconds.
    pub latency_us: u64,
    /// When the answer came, in microseconds from the start of the load.
    pub answered_at_us: u64,
}

/// Runs a plan against the entry hosts at `targets`; returns what every caller was told.
///
/// Callers are spread over the entry hosts as a balancer would: by request, in turn.
pub async fn run(plan: &Plan, targets: &[String]) -> Vec<Told> {
    let config = HttpConfig { max_idle_per_address: 4_096, ..HttpConfig::default() };
    let pool = Pool::new(config);
    let plan = Arc::new(plan.clone());
    let arrivals = plan.arrivals();
    let told = Arc::new(Mutex::new(Vec::with_capacity(arrivals.len())));
    let start_us = clock::now_us();
    let mut open = Vec::with_capacity(arrivals.len());
    for arrival in arrivals {
        wait_until(start_us + arrival.at_us).await;
        let target = targets[arrival.number as usize % targets.len()].clone();
        let sender = Sender { plan: Arc::clone(&plan), pool: pool.clone(), target, start_us };
        let told = Arc::clone(&told);
        open.push(task::spawn(async move {
            let one = sender.send(arrival).await;
            told.lock().unwrap_or_else(PoisonError::into_inner).push(one);
        }));
    }
    for one in open {
        one.await;
    }
    let mut told = std::mem::take(&mut *told.lock().unwrap_or_else(PoisonError::into_inner));
    told.sort_by_key(|one| one.arrival.number);
    told
}

async fn wait_until(at_us: u64) {
    let now_us = clock::now_us();
    if at_us > now_us {
        task::sleep(Duration::from_micros(at_us - now_us)).await;
    }
}

struct Sender {
    plan: Arc<Plan>,
    pool: Pool,
    target: String,
    start_us: u64,
}

impl Sender {
    async fn send(self, arrival: Arrival) -> Told {
        let key = format!("{}-{}", self.plan.seed, arrival.number);
        let body = body(&key, self.plan.body_bytes);
        self.trip().await;
        let reply = self.exchange(&arrival, &key, body.clone()).await;
        self.trip().await;
        let now_us = clock::now_us();
        let outcome = reply.as_ref().ok().and_then(|reply| reply.header(OUTCOME_HEADER));
        let outcome = outcome.and_then(Outcome::parse);
        let reason = reply.as_ref().ok().and_then(|reply| reply.header(REASON_HEADER));
        let reason = reason.unwrap_or_default().to_owned();
        let is_own_answer = reply.as_ref().is_ok_and(|reply| echoes(reply, &body));
        Told {
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
        self.pool.send(&self.target, request, kind.deadline_ms + PATIENCE_MS).await
    }

    async fn trip(&self) {
        const US_PER_MS: f64 = 1_000.0;
        let trip_us = (self.plan.caller_trip_ms * US_PER_MS) as u64;
        if trip_us > 0 {
            task::sleep(Duration::from_micros(trip_us)).await;
        }
    }
}

/// A body that no other request has.
fn body(key: &str, body_bytes: usize) -> Vec<u8> {
    let mut body = format!("request {key} ").into_bytes();
    body.resize(body.len().max(body_bytes), b'.');
    body
}

/// Whether the answer names the digest of this request's own body.
fn echoes(reply: &Reply, body: &[u8]) -> bool {
    let digest = format!("{:x}", Sha256::digest(body));
    std::str::from_utf8(&reply.body).is_ok_and(|text| text.contains(&digest))
}
