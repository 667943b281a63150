//! The job door: every placer serves it, and entry daemons pass calls on to it.
//!
//! A job has one home zone, found from its id and the declared capacity of the zones, so that a
//! retry through any door meets the first try. A call goes to the holder of the home zone in at
//! most one hop.

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
use crate::placer::message::{Ask, AskError, Message, Reply};
use crate::placer::zone;
use crate::store::mirror::Mirror;

/// Header of a call that another door passed on.
pub const HOP_HEADER: &str = "Hemlock-Hop";

/// When a caller should try again while no placer holds the zone, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// A door for jobs.
#[derive(Clone, Debug)]
pub struct Door {
    mirror: Mirror,
    feed: Feed,
    pool: Pool,
    http: HttpConfig,
    token: String,
    timeout_ms: u64,
    local: Option<Local>,
}

/// The control thread behind a door.
#[derive(Clone, Debug)]
struct Local {
    zone: String,
    address: String,
    messages: Sender<Message>,
}

impl Door {
    /// A door that passes every call on.
    pub fn new(mirror: Mirror, feed: Feed, pool: Pool, http: HttpConfig, token: String) -> Self {
        const TIMEOUT_MS: u64 = 8_000;
        Self { mirror, feed, pool, http, token, timeout_ms: TIMEOUT_MS, local: None }
    }

    /// The door of the placer of `zone` at `address`.
    #[must_use]
    pub fn with_local(
        mut self,
        zone: impl Into<String>,
        address: impl Into<String>,
        messages: Sender<Message>,
    ) -> Self {
        self.local = Some(Local { zone: zone.into(), address: address.into(), messages });
        self
    }

    /// Serves the paths of the door in `app`.
    pub fn mount<State>(self, app: &mut tide::Server<State>)
    where
        State: Clone + Send + Sync + 'static,
    {
        let door = Arc::new(self);
        let jobs = Arc::clone(&door);
        app.at(JOBS_PATH).post(move |request| answer(Arc::clone(&jobs), request, Call::Submit));
        let jobs = Arc::clone(&door);
        app.at(JOBS_PATH).get(move |request| answer(Arc::clone(&jobs), request, Call::List));
        let jobs = Arc::clone(&door);
        app.at("/v1/jobs/:id").get(move |request| answer(Arc::clone(&jobs), request, Call::Get));
        let jobs = Arc::clone(&door);
        app.at("/v1/jobs/:id")
            .delete(move |request| answer(Arc::clone(&jobs), request, Call::Cancel));
        let jobs = Arc::clone(&door);
        app.at("/v1/jobs/:id/explain")
            .get(move |request| answer(Arc::clone(&jobs), request, Call::Explain));
        let workers = Arc::clone(&door);
        app.at(WORKERS_PATH)
            .get(move |request| answer(Arc::clone(&workers), request, Call::Workers));
    }

    async fn submit(&self, body: &[u8], is_passed: bool) -> Result<Response, ApiError> {
        let mut submission: Submission = serde_json::from_slice(body)
            .map_err(|error| ApiError::new(400, "bad_job", error.to_string()))?;
        if let Some(fault) = submission.fault() {
            return Err(ApiError::new(400, "bad_job", fault));
        }
        submission.id = submission.job_id();
        let declared = self.feed.current();
        if submission.zone.is_empty() {
            let home = zone_for(&declared.declarations, &submission.id, &submission.spec);
            submission.zone = home.ok_or_else(no_zone)?;
        }
        let zone = submission.zone.clone();
        if self.is_local(&zone) {
            let submission = Box::new(submission);
            let asked = self.ask(|reply| Ask::Submit { submission, reply }).await;
            return asked.map(|answer| submit_response(&answer)).map_err(ask_error);
        }
        let body = serde_json::to_vec(&submission).unwrap_or_default();
        let reply = self.pass(&zone, Method::Post, JOBS_PATH, body, is_passed).await?;
        Ok(passed_response(&reply))
    }

    async fn one(&self, id: &str, call: Call, is_passed: bool) -> Result<Response, ApiError> {
        let declared = self.feed.current();
        let home = home_zone(&declared.declarations, id).ok_or_else(no_zone)?;
        if is_passed {
            return self.one_local(id, call).await;
        }
        let first = self.one_in(&home, id, call).await;
        let is_elsewhere = matches!(&first, Err(error) if error.status == 404);
        if !is_elsewhere {
            return first;
        }
        for zone in zones(&declared.declarations).filter(|zone| **zone != home) {
            let found = self.one_in(zone, id, call).await;
            if !matches!(&found, Err(error) if error.status == 404) {
                return found;
            }
        }
        first
    }

    async fn one_in(&self, zone: &str, id: &str, call: Call) -> Result<Response, ApiError> {
        if self.is_local(zone) {
            return self.one_local(id, call).await;
        }
        let (method, path) = match call {
            Call::Cancel => (Method::Delete, format!("{JOBS_PATH}/{id}")),
            Call::Explain => (Method::Get, format!("{JOBS_PATH}/{id}/explain")),
            _ => (Method::Get, format!("{JOBS_PATH}/{id}")),
        };
        let reply = self.pass(zone, method, &path, Vec::new(), false).await?;
        match reply.status {
            404 => Err(ask_error(AskError::NoSuchJob)),
            _ => Ok(passed_response(&reply)),
        }
    }

    async fn one_local(&self, id: &str, call: Call) -> Result<Response, ApiError> {
        let id = id.to_owned();
        match call {
            Call::Cancel => {
                let view = self.ask(|reply| Ask::Cancel { id, reply }).await;
                view.map(|view| json(&view)).map_err(ask_error)
            }
            Call::Explain => {
                let why = self.ask(|reply| Ask::Explain { id, reply }).await;
                why.map(|why| json(&why)).map_err(ask_error)
            }
            _ => {
                let view = self.ask(|reply| Ask::Get { id, reply }).await;
                view.map(|view| json(&view)).map_err(ask_error)
            }
        }
    }

    /// The items of every zone, or of this placer's zone when another door asks.
    async fn collect<T>(
        &self,
        path: &str,
        is_passed: bool,
        ask: fn(Reply<Vec<T>>) -> Ask,
    ) -> Result<Response, ApiError>
    where
        T: Serialize + DeserializeOwned,
    {
        if is_passed {
            let items = self.ask(ask).await.map_err(ask_error)?;
            return Ok(json(&Listing { items, missing_zones: Vec::new() }));
        }
        let declared = self.feed.current();
        let mut all = Listing { items: Vec::new(), missing_zones: Vec::new() };
        for zone in zones(&declared.declarations) {
            let found = match self.is_local(zone) {
                true => self.ask(ask).await.ok(),
                false => self.collect_from(zone, path).await,
            };
            match found {
                Some(items) => all.items.extend(items),
                None => all.missing_zones.push(zone.clone()),
            }
        }
        Ok(json(&all))
    }

    async fn collect_from<T: DeserializeOwned>(&self, zone: &str, path: &str) -> Option<Vec<T>> {
        let reply = self.pass(zone, Method::Get, path, Vec::new(), false).await.ok()?;
        let listing: Listing<T> = serde_json::from_slice(&reply.body).ok()?;
        Some(listing.items)
    }

    fn is_local(&self, zone: &str) -> bool {
        let Some(local) = &self.local else { return false };
        if local.zone != zone {
            return false;
        }
        // A stand-by passes calls on; a holder that the mirror does not show yet is asked here.
        let holder = zone::holder(&self.mirror.snapshot(), zone);
        holder.is_none_or(|holder| holder.address == local.address)
    }

    async fn ask<T>(&self, ask: impl FnOnce(Reply<T>) -> Ask) -> Result<T, AskError> {
        let local = self.local.as_ref().ok_or(AskError::NotActive)?;
        let (reply, answer) = async_channel::bounded(1);
        let sent = local.messages.send(Message::Ask(ask(reply)));
        sent.map_err(|_| AskError::NotActive)?;
        answer.recv().await.unwrap_or(Err(AskError::NotActive))
    }

    /// Passes a call to the holder of `zone`.
    async fn pass(
        &self,
        zone: &str,
        method: Method,
        path: &str,
        body: Vec<u8>,
        is_passed: bool,
    ) -> Result<HttpReply, ApiError> {
        let holder = zone::holder(&self.mirror.snapshot(), zone).filter(|_| !is_passed);
        let holder = holder.ok_or_else(|| not_held(zone))?;
        let mut request = client::request(method, &holder.address, path)?;
        request.insert_header(HOP_HEADER, "1");
        request.insert_header(rpc::TOKEN_HEADER, self.token.as_str());
        if !body.is_empty() {
            request.set_body(body);
            request.insert_header("Content-Type", "application/json");
        }
        let sent = self.pool.send(&holder.address, request, self.timeout_ms).await;
        sent.map_err(|error| match error.is_not_sent() {
            true => not_held(zone),
            false => ApiError::new(504, "unknown", error.to_string()),
        })
    }
}

/// A call of the door.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Submit,
    List,
    Get,
    Cancel,
    Explain,
    Workers,
}

async fn answer<State>(door: Arc<Door>, mut request: Request<State>, call: Call) -> tide::Result {
    let is_passed = request.header(HOP_HEADER).is_some();
    let answered = handle(&door, &mut request, call, is_passed).await;
    Ok(answered.unwrap_or_else(|error| {
        let mut response = error.to_response();
        if call == Call::Submit {
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
    door: &Door,
    request: &mut Request<State>,
    call: Call,
    is_passed: bool,
) -> Result<Response, ApiError> {
    if is_passed {
        rpc::admit(request, &door.token)?;
    }
    let id = request.param("id").unwrap_or_default().to_owned();
    match call {
        Call::Submit => {
            let body = server::read_body(request, &door.http).await?;
            door.submit(&body, is_passed).await
        }
        Call::List => {
            door.collect::<JobView>(JOBS_PATH, is_passed, |reply| Ask::List { reply }).await
        }
        Call::Workers => {
            door.collect::<WorkerView>(WORKERS_PATH, is_passed, |reply| Ask::Workers { reply })
                .await
        }
        Call::Get | Call::Cancel | Call::Explain => door.one(&id, call, is_passed).await,
    }
}

/// The zone that answers for a job id: a rendezvous over the zones, weighted by their capacity.
///
/// ```
/// use hemlockrock::declarations::{Declarations, ZoneDeclaration};
/// use hemlockrock::jobs::door;
///
/// let zone = ZoneDeclaration { name: "mid-1".into(), region: "mid".into() };
/// let declared = Declarations { zones: vec![zone], ..Declarations::default() };
/// assert_eq!(door::home_zone(&declared, "range-7").as_deref(), Some("mid-1"));
/// ```
pub fn home_zone(declarations: &Declarations, id: &str) -> Option<String> {
    best_zone(declarations, id, |_| true)
}

/// The home zone of a job among the zones with a worker that can hold one of its tasks; of all
/// zones if there is none, where the job is told why it can't run.
pub fn zone_for(declarations: &Declarations, id: &str, spec: &JobSpec) -> Option<String> {
    let suits = |worker: &WorkerDeclaration| {
        let means = Resources::new(worker.cpu_millis, worker.memory_bytes, worker.accelerators);
        let has = |(name, value): (&String, &String)| worker.labels.get(name) == Some(value);
        !worker.drain && spec.resources().fits(means) && spec.constraints.iter().all(has)
    };
    let has_room =
        |zone: &str| declarations.workers.iter().any(|worker| worker.zone == zone && suits(worker));
    best_zone(declarations, id, has_room).or_else(|| home_zone(declarations, id))
}

/// The zone that ranks first for `id` among those that are `admitted`.
fn best_zone(
    declarations: &Declarations,
    id: &str,
    admitted: impl Fn(&str) -> bool,
) -> Option<String> {
    let weighted = zones(declarations).filter(|zone| admitted(zone)).map(|zone| {
        let workers = declarations.workers.iter().filter(|worker| worker.zone == *zone);
        let cpu_millis: u64 = workers.map(|worker| worker.cpu_millis).sum();
        (score(id, zone, cpu_millis), zone)
    });
    let best = weighted.max_by(|left, right| left.0.total_cmp(&right.0).then(right.1.cmp(left.1)));
    best.map(|(_, zone)| zone.clone())
}

/// Score of a zone in a weighted rendezvous: the highest wins in proportion to its weight.
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

fn passed_response(reply: &HttpReply) -> Response {
    let mut response = Response::new(reply.status);
    response.set_body(reply.body.to_vec());
    for name in ["content-type", "retry-after", "hemlock-outcome"] {
        if let Some(value) = reply.header(name) {
            response.insert_header(name, value);
        }
    }
    response
}

fn no_zone() -> ApiError {
    ApiError::new(503, "no_zone", "no zone is declared").with_retry_after_ms(RETRY_AFTER_MS)
}

fn not_held(zone: &str) -> ApiError {
    let message = format!("no placer of zone {zone} can be reached now");
    ApiError::new(503, "not_run", message).with_retry_after_ms(RETRY_AFTER_MS)
}

fn ask_error(error: AskError) -> ApiError {
    let message = error.to_string();
    match error {
        AskError::NotActive => {
            ApiError::new(503, "not_run", message).with_retry_after_ms(RETRY_AFTER_MS)
        }
        AskError::NoSuchJob => ApiError::new(404, "no_such_job", message),
        AskError::NotRecorded => ApiError::new(504, "unknown", message),
    }
}
