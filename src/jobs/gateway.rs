//! Gateway of the job API, served by placers and by entry hosts.
//!
//! Each job has one home zone, derived from its id and the declared capacity of the zones, so that
//! a retry through any gateway reaches the same placer as the first attempt. The gateway forwards a
//! request to the holder of the home zone in at most one hop.

use std::sync::mpsc::Sender;
use std::sync::Arc;

use http_types::Method;
use serde::de::DeserializeOwned;
use serde::Serialize;
use tide::{Request, Response, StatusCode};

use crate::collections;
use crate::configs::http::HttpConfig;
use crate::declarations::feed::Feed;
use crate::declarations::{Declarations, WorkerDeclaration};
use crate::http::client::{self, Pool, Reply as HttpReply};
use crate::http::error::ApiError;
use crate::http::{rpc, server};
use crate::jobs::api::{
    JobView, Listing, Submission, SubmitAnswer, SubmitOutcome, WorkerView, JOBS_PATH, WORKERS_PATH,
};
use crate::outcome::OUTCOME_HEADER;
use crate::place::spec::{JobSpec, Resources};
use crate::placer::message::{ApiRequest, Message, Reply, RequestError};
use crate::placer::zone_lease;
use crate::store::mirror::Mirror;

/// Header of a request that another gateway has forwarded.
pub const HOP_HEADER: &str = "Hemlock-Hop";

/// Delay after which callers should retry when no placer can serve the request, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// HTTP handlers of the job API.
#[derive(Clone, Debug)]
pub struct JobGateway {
    mirror: Mirror,
    feed: Feed,
    pool: Pool,
    http: HttpConfig,
    token: String,
    timeout_ms: u64,
    /// Placer in this process; `None` on entry hosts.
    local: Option<LocalPlacer>,
}

/// Placer in the same process as the gateway.
#[derive(Clone, Debug)]
struct LocalPlacer {
    zone: String,
    address: String,
    messages: Sender<Message>,
}

impl JobGateway {
    /// Creates a gateway that forwards every request.
    pub fn new(mirror: Mirror, feed: Feed, pool: Pool, http: HttpConfig, token: String) -> Self {
        const FORWARD_TIMEOUT_MS: u64 = 8_000;
        Self { mirror, feed, pool, http, token, timeout_ms: FORWARD_TIMEOUT_MS, local: None }
    }

    /// Serves requests for `zone` in this process, by the placer at `address` whose control thread
    /// receives `messages`, as long as no other placer holds the zone lease.
    #[must_use]
    pub fn with_local(
        mut self,
        zone: impl Into<String>,
        address: impl Into<String>,
        messages: Sender<Message>,
    ) -> Self {
        self.local = Some(LocalPlacer { zone: zone.into(), address: address.into(), messages });
        self
    }

    /// Adds the routes of the job API to `app`.
    pub fn mount<State>(self, app: &mut tide::Server<State>)
    where
        State: Clone + Send + Sync + 'static,
    {
        let gateway = Arc::new(self);
        let jobs = Arc::clone(&gateway);
        app.at(JOBS_PATH)
            .post(move |request| respond(Arc::clone(&jobs), request, Operation::Submit));
        let jobs = Arc::clone(&gateway);
        app.at(JOBS_PATH).get(move |request| respond(Arc::clone(&jobs), request, Operation::List));
        let jobs = Arc::clone(&gateway);
        app.at("/v1/jobs/:id")
            .get(move |request| respond(Arc::clone(&jobs), request, Operation::Get));
        let jobs = Arc::clone(&gateway);
        app.at("/v1/jobs/:id")
            .delete(move |request| respond(Arc::clone(&jobs), request, Operation::Cancel));
        let jobs = Arc::clone(&gateway);
        app.at("/v1/jobs/:id/explain")
            .get(move |request| respond(Arc::clone(&jobs), request, Operation::Explain));
        let workers = Arc::clone(&gateway);
        app.at(WORKERS_PATH)
            .get(move |request| respond(Arc::clone(&workers), request, Operation::Workers));
    }

    async fn submit(&self, body: &[u8], is_forwarded: bool) -> Result<Response, ApiError> {
        let mut submission: Submission = serde_json::from_slice(body)
            .map_err(|error| ApiError::new(400, "bad_job", error.to_string()))?;
        if let Some(error) = submission.validation_error() {
            return Err(ApiError::new(400, "bad_job", error));
        }
        submission.id = submission.job_id();
        let declared = self.feed.current();
        if submission.zone.is_empty() {
            let home = zone_for(&declared.declarations, &submission.id, &submission.spec);
            submission.zone = home.ok_or_else(no_zone_declared)?;
        }
        let zone = submission.zone.clone();
        if self.is_local(&zone) {
            let submission = Box::new(submission);
            let asked = self.request_local(|reply| ApiRequest::Submit { submission, reply }).await;
            return asked.map(|answer| submit_response(&answer)).map_err(api_error);
        }
        let body = serde_json::to_vec(&submission).unwrap_or_default();
        let reply = self.forward(&zone, Method::Post, JOBS_PATH, body, is_forwarded).await?;
        Ok(forwarded_response(&reply))
    }

    async fn handle_job(
        &self,
        id: &str,
        operation: Operation,
        is_forwarded: bool,
    ) -> Result<Response, ApiError> {
        let declared = self.feed.current();
        let home = home_zone(&declared.declarations, id).ok_or_else(no_zone_declared)?;
        if is_forwarded {
            return self.handle_job_locally(id, operation).await;
        }
        let first = self.handle_job_in(&home, id, operation).await;
        let is_unknown_there = matches!(&first, Err(error) if error.status == 404);
        if !is_unknown_there {
            return first;
        }
        for zone in zones(&declared.declarations).filter(|zone| **zone != home) {
            let found = self.handle_job_in(zone, id, operation).await;
            if !matches!(&found, Err(error) if error.status == 404) {
                return found;
            }
        }
        first
    }

    async fn handle_job_in(
        &self,
        zone: &str,
        id: &str,
        operation: Operation,
    ) -> Result<Response, ApiError> {
        if self.is_local(zone) {
            return self.handle_job_locally(id, operation).await;
        }
        let (method, path) = match operation {
            Operation::Cancel => (Method::Delete, format!("{JOBS_PATH}/{id}")),
            Operation::Explain => (Method::Get, format!("{JOBS_PATH}/{id}/explain")),
            _ => (Method::Get, format!("{JOBS_PATH}/{id}")),
        };
        let reply = self.forward(zone, method, &path, Vec::new(), false).await?;
        match reply.status {
            404 => Err(api_error(RequestError::NoSuchJob)),
            _ => Ok(forwarded_response(&reply)),
        }
    }

    async fn handle_job_locally(
        &self,
        id: &str,
        operation: Operation,
    ) -> Result<Response, ApiError> {
        let id = id.to_owned();
        match operation {
            Operation::Cancel => {
                let view = self.request_local(|reply| ApiRequest::Cancel { id, reply }).await;
                view.map(|view| json(&view)).map_err(api_error)
            }
            Operation::Explain => {
                let explanation =
                    self.request_local(|reply| ApiRequest::Explain { id, reply }).await;
                explanation.map(|explanation| json(&explanation)).map_err(api_error)
            }
            _ => {
                let view = self.request_local(|reply| ApiRequest::Get { id, reply }).await;
                view.map(|view| json(&view)).map_err(api_error)
            }
        }
    }

    /// Lists the items of every zone or, for a forwarded request, of this placer's zone only.
    async fn list<T>(
        &self,
        path: &str,
        is_forwarded: bool,
        build_request: fn(Reply<Vec<T>>) -> ApiRequest,
    ) -> Result<Response, ApiError>
    where
        T: Serialize + DeserializeOwned,
    {
        if is_forwarded {
            let items = self.request_local(build_request).await.map_err(api_error)?;
            return Ok(json(&Listing { items, missing_zones: Vec::new() }));
        }
        let declared = self.feed.current();
        let mut all = Listing { items: Vec::new(), missing_zones: Vec::new() };
        for zone in zones(&declared.declarations) {
            let found = match self.is_local(zone) {
                true => self.request_local(build_request).await.ok(),
                false => self.list_from(zone, path).await,
            };
            match found {
                Some(items) => all.items.extend(items),
                None => all.missing_zones.push(zone.clone()),
            }
        }
        Ok(json(&all))
    }

    async fn list_from<T: DeserializeOwned>(&self, zone: &str, path: &str) -> Option<Vec<T>> {
        let reply = self.forward(zone, Method::Get, path, Vec::new(), false).await.ok()?;
        let listing: Listing<T> = serde_json::from_slice(&reply.body).ok()?;
        Some(listing.items)
    }

    fn is_local(&self, zone: &str) -> bool {
        let Some(local) = &self.local else { return false };
        if local.zone != zone {
            return false;
        }
        // A standby forwards requests. While the mirror shows no holder, the local placer is asked,
        // since it may have become the holder already.
        let holder = zone_lease::holder(&self.mirror.snapshot(), zone);
        holder.is_none_or(|holder| holder.address == local.address)
    }

    async fn request_local<T>(
        &self,
        build_request: impl FnOnce(Reply<T>) -> ApiRequest,
    ) -> Result<T, RequestError> {
        let local = self.local.as_ref().ok_or(RequestError::NotActive)?;
        let (reply, answer) = async_channel::bounded(1);
        let sent = local.messages.send(Message::Request(build_request(reply)));
        sent.map_err(|_| RequestError::NotActive)?;
        answer.recv().await.unwrap_or(Err(RequestError::NotActive))
    }

    /// Forwards a request to the holder of `zone`; a request that was forwarded before fails
    /// instead.
    async fn forward(
        &self,
        zone: &str,
        method: Method,
        path: &str,
        body: Vec<u8>,
        is_forwarded: bool,
    ) -> Result<HttpReply, ApiError> {
        let holder = zone_lease::holder(&self.mirror.snapshot(), zone).filter(|_| !is_forwarded);
        let holder = holder.ok_or_else(|| zone_not_held(zone))?;
        let mut request = client::request(method, &holder.address, path)?;
        request.insert_header(HOP_HEADER, "1");
        request.insert_header(rpc::TOKEN_HEADER, self.token.as_str());
        if !body.is_empty() {
            request.set_body(body);
            request.insert_header("Content-Type", "application/json");
        }
        let sent = self.pool.send(&holder.address, request, self.timeout_ms).await;
        sent.map_err(|error| match error.is_not_sent() {
            true => zone_not_held(zone),
            false => ApiError::new(504, "unknown", error.to_string()),
        })
    }
}

/// Operation of the job API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Operation {
    Submit,
    List,
    Get,
    Cancel,
    Explain,
    Workers,
}

async fn respond<State>(
    gateway: Arc<JobGateway>,
    mut request: Request<State>,
    operation: Operation,
) -> tide::Result {
    let is_forwarded = request.header(HOP_HEADER).is_some();
    let answered = handle(&gateway, &mut request, operation, is_forwarded).await;
    Ok(answered.unwrap_or_else(|error| {
        let mut response = error.to_response();
        if operation == Operation::Submit {
            let outcome = match error.status {
                504 => SubmitOutcome::Unknown,
                _ => SubmitOutcome::NotRun,
            };
            response.insert_header(OUTCOME_HEADER, outcome.as_str());
        }
        response
    }))
}

async fn handle<State>(
    gateway: &JobGateway,
    request: &mut Request<State>,
    operation: Operation,
    is_forwarded: bool,
) -> Result<Response, ApiError> {
    if is_forwarded {
        rpc::check_token(request, &gateway.token)?;
    }
    let id = request.param("id").unwrap_or_default().to_owned();
    match operation {
        Operation::Submit => {
            let body = server::read_body(request, &gateway.http).await?;
            gateway.submit(&body, is_forwarded).await
        }
        Operation::List => {
            gateway
                .list::<JobView>(JOBS_PATH, is_forwarded, |reply| ApiRequest::List { reply })
                .await
        }
        Operation::Workers => {
            gateway
                .list::<WorkerView>(WORKERS_PATH, is_forwarded, |reply| ApiRequest::Workers {
                    reply,
                })
                .await
        }
        Operation::Get | Operation::Cancel | Operation::Explain => {
            gateway.handle_job(&id, operation, is_forwarded).await
        }
    }
}

/// Home zone of a job id, chosen by rendezvous hashing over the zones, weighted by their processor
/// capacity; `None` if no zone is declared.
///
/// ```
/// use hemlockrock::declarations::{Declarations, ZoneDeclaration};
/// use hemlockrock::jobs::gateway;
///
/// let zone = ZoneDeclaration { name: "mid-1".into(), region: "mid".into() };
/// let declared = Declarations { zones: vec![zone], ..Declarations::default() };
/// assert_eq!(gateway::home_zone(&declared, "range-7").as_deref(), Some("mid-1"));
/// ```
pub fn home_zone(declarations: &Declarations, id: &str) -> Option<String> {
    best_zone(declarations, id, |_| true)
}

/// Zone that a new job is assigned to: the best zone among those with a worker that can run one of
/// its tasks. If there is none, the home zone of the id, whose placer rejects the job with the
/// reason.
pub fn zone_for(declarations: &Declarations, id: &str, spec: &JobSpec) -> Option<String> {
    let can_run = |worker: &WorkerDeclaration| {
        let capacity = Resources::new(worker.cpu_millis, worker.memory_bytes, worker.accelerators);
        let has = |(name, value): (&String, &String)| worker.labels.get(name) == Some(value);
        !worker.drain && spec.resources().fits(capacity) && spec.constraints.iter().all(has)
    };
    let has_suitable_worker = |zone: &str| {
        declarations.workers.iter().any(|worker| worker.zone == zone && can_run(worker))
    };
    best_zone(declarations, id, has_suitable_worker).or_else(|| home_zone(declarations, id))
}

/// Zone with the highest score for `id` among those that `is_candidate` accepts.
fn best_zone(
    declarations: &Declarations,
    id: &str,
    is_candidate: impl Fn(&str) -> bool,
) -> Option<String> {
    let weighted = zones(declarations).filter(|zone| is_candidate(zone)).map(|zone| {
        let workers = declarations.workers.iter().filter(|worker| worker.zone == *zone);
        let cpu_millis: u64 = workers.map(|worker| worker.cpu_millis).sum();
        (score(id, zone, cpu_millis), zone)
    });
    let best = weighted.max_by(|left, right| left.0.total_cmp(&right.0).then(right.1.cmp(left.1)));
    best.map(|(_, zone)| zone.clone())
}

/// Score of a zone in weighted rendezvous hashing: each zone has the highest score for a share of
/// the ids in proportion to its weight.
#[allow(clippy::cast_precision_loss, reason = "a hash and a weight need no more than 53 bits")]
fn score(id: &str, zone: &str, weight: u64) -> f64 {
    const BITS: u32 = 53;
    let hash = collections::stable_hash(format!("{zone}/{id}"));
    let unit = ((hash >> (u64::BITS - BITS)) as f64 + 0.5) / (1_u64 << BITS) as f64;
    weight.max(1) as f64 / -unit.ln()
}

fn zones(declarations: &Declarations) -> impl Iterator<Item = &String> {
    declarations.zones.iter().map(|zone| &zone.name)
}

fn submit_response(answer: &SubmitAnswer) -> Response {
    let status = match (answer.outcome, &answer.state) {
        (SubmitOutcome::Accepted, _) => StatusCode::Ok,
        (SubmitOutcome::NotRun, Some(_)) => StatusCode::UnprocessableEntity,
        (SubmitOutcome::NotRun, None) => StatusCode::ServiceUnavailable,
        (SubmitOutcome::Unknown, _) => StatusCode::GatewayTimeout,
    };
    let mut response = json(answer);
    response.set_status(status);
    response.insert_header(OUTCOME_HEADER, answer.outcome.as_str());
    response
}

fn json(value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::builder(StatusCode::Ok).content_type("application/json").body(body).build()
}

fn forwarded_response(reply: &HttpReply) -> Response {
    let mut response = Response::new(reply.status);
    response.set_body(reply.body.to_vec());
    for name in ["content-type", "retry-after", "hemlock-outcome"] {
        if let Some(value) = reply.header(name) {
            response.insert_header(name, value);
        }
    }
    response
}

fn no_zone_declared() -> ApiError {
    ApiError::new(503, "no_zone", "no zone is declared, so the job has no home zone")
        .with_retry_after_ms(RETRY_AFTER_MS)
}

fn zone_not_held(zone: &str) -> ApiError {
    let message = format!("no active placer of zone {zone} is reachable");
    ApiError::new(503, "not_run", message).with_retry_after_ms(RETRY_AFTER_MS)
}

fn api_error(error: RequestError) -> ApiError {
    let message = error.to_string();
    match error {
        RequestError::NotActive => {
            ApiError::new(503, "not_run", message).with_retry_after_ms(RETRY_AFTER_MS)
        }
        RequestError::NoSuchJob => ApiError::new(404, "no_such_job", message),
        RequestError::NotRecorded => ApiError::new(504, "unknown", message),
    }
}
