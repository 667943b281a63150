//! The interfaces of an entry host: requests of callers, calls of peers, health.

mod parse;

use std::sync::Arc;

use async_std::task;

use tide::{Response, StatusCode};

use crate::clock;
use crate::declarations;
use crate::http::error::ApiError;
use crate::http::rpc;
use crate::http::server::{self, CallerLink};
use crate::jobs::door::Door;
use crate::membership::{self, Role};
use crate::outcome::Outcome;
use crate::telemetry;

use super::heartbeat::Exchange;
use super::journey;
use super::message::{Input, Submitted, Verdict};
use super::peer::{
    self, BeginRequest, CancelRequest, EndRequest, PeerAnswer, PeerRequest, ReleaseAnswer,
    ReleaseRequest,
};
use super::{answer, beat, keys, peer_http, Shared};

type Request = tide::Request<Arc<Shared>>;

/// The application that an entry host serves.
pub(super) fn app(shared: Arc<Shared>) -> tide::Server<Arc<Shared>> {
    let (feed, token) = (shared.feed.clone(), shared.config.token.clone());
    let jobs = Door::new(
        shared.mirror.clone(),
        feed.clone(),
        shared.peers.clone(),
        shared.config.http.clone(),
        token.clone(),
    );
    let mut app = tide::with_state(shared);
    declarations::peer::mount(&mut app, feed, token);
    jobs.mount(&mut app);
    app.at("/v1/services/:service/requests").post(take_request);
    app.at("/v1/services/:service/requests/:key").delete(cancel_request);
    app.at(peer::REQUESTS_PATH).post(take_peer_request);
    app.at(peer::HEARTBEAT_PATH).post(take_heartbeat);
    app.at(peer::RELEASE_PATH).post(take_release);
    app.at(peer::CANCEL_PATH).post(take_cancel);
    app.at(peer::BEGIN_PATH).post(take_begin);
    app.at(peer::END_PATH).post(take_end);
    app.at("/healthz").get(|_| async { Ok(Response::new(StatusCode::Ok)) });
    app.at("/readyz").get(readiness);
    app.at("/metrics").get(metrics);
    app
}

async fn readiness(request: Request) -> tide::Result {
    if request.state().is_ready() {
        return Ok(Response::new(StatusCode::Ok));
    }
    let error = ApiError::new(503, "not_ready", "no configuration, no session, or shutting down");
    Ok(error.to_response())
}

async fn metrics(request: Request) -> tide::Result {
    let shared = request.state();
    let idle = shared.control.ask(Input::Idle).await.unwrap_or_default();
    shared.metrics.owned(idle.owned);
    Ok(telemetry::metrics_response(shared.metrics.registry()))
}

async fn take_request(mut request: Request) -> tide::Result {
    let shared = Arc::clone(request.state());
    let submitted = match parse::submitted(&mut request).await {
        Ok(submitted) => submitted,
        Err(error) => return Ok(answer::refused(&error)),
    };
    let id = submitted.id.clone();
    let link = request.ext::<CallerLink>().cloned();
    let verdict = journey::with_caller(link, |gone| run(shared, submitted, gone)).await;
    Ok(answer::response(&verdict, &id))
}

async fn run(shared: Arc<Shared>, submitted: Submitted, gone: journey::Gone) -> Verdict {
    let begun_us = clock::now_us();
    let id = submitted.id.clone();
    let service = submitted.service.clone();
    shared.metrics.begun();
    let verdict = journey::run(&shared, submitted, &gone).await;
    let outcome = verdict.outcome().unwrap_or(Outcome::Unknown);
    const US_PER_S: f64 = 1_000_000.0;
    #[allow(clippy::cast_precision_loss, reason = "a time for a histogram")]
    let seconds = clock::now_us().saturating_sub(begun_us) as f64 / US_PER_S;
    shared.metrics.answered(outcome, seconds);
    let outcome = outcome.as_str();
    spdlog::debug!("request ended", kv: { request_id = id.as_str(), service = service.as_str(), outcome });
    verdict
}

async fn cancel_request(request: Request) -> tide::Result {
    let shared = request.state();
    let cancel = CancelRequest {
        service: request.param("service").unwrap_or_default().to_owned(),
        key: request.param("key").unwrap_or_default().to_owned(),
    };
    if cancel_here(shared, &cancel).await {
        return Ok(Response::new(StatusCode::Accepted));
    }
    let members = membership::members(&shared.mirror.snapshot());
    let others = members
        .into_iter()
        .filter(|member| member.role == Role::Entry && member.name != shared.config.name);
    let asked: Vec<_> = others
        .map(|member| task::spawn(cancel_at(Arc::clone(shared), member.address, cancel.clone())))
        .collect();
    let mut was_found = false;
    for found in asked {
        was_found |= found.await;
    }
    if was_found {
        return Ok(Response::new(StatusCode::Accepted));
    }
    let message = format!("no request with key {} is waiting", cancel.key);
    Ok(ApiError::new(404, "no_such_request", message).to_response())
}

async fn cancel_at(shared: Arc<Shared>, address: String, cancel: CancelRequest) -> bool {
    let call = rpc::Call {
        address: &address,
        path: peer::CANCEL_PATH,
        token: &shared.config.token,
        timeout_ms: shared.config.peers.call_timeout_ms,
    };
    rpc::call(&shared.peers, &call, &cancel).await.unwrap_or(false)
}

async fn cancel_here(shared: &Shared, cancel: &CancelRequest) -> bool {
    let (service, key) = (cancel.service.clone(), cancel.key.clone());
    let found = shared.control.ask(|found| Input::CancelKey { service, key, found }).await;
    found.unwrap_or(false)
}

async fn take_peer_request(mut request: Request) -> tide::Result {
    let shared = Arc::clone(request.state());
    let call: PeerRequest = match call_body(&mut request).await {
        Ok(call) => call,
        Err(error) => return Ok(error.to_response()),
    };
    let link = request.ext::<CallerLink>().cloned();
    let (id, service) = (call.id.clone(), call.service.clone());
    let verdict = journey::with_caller(link, |gone| async move {
        journey::dispatch(&shared, call.into_submitted(), &gone).await
    })
    .await;
    let outcome = verdict.outcome().unwrap_or(Outcome::Unknown).as_str();
    spdlog::debug!("peer's request ended", kv: { request_id = id.as_str(), service = service.as_str(), outcome });
    Ok(rpc::answer(&PeerAnswer::new(&verdict)))
}

async fn take_heartbeat(mut request: Request) -> tide::Result {
    let exchange: Exchange = match call_body(&mut request).await {
        Ok(exchange) => exchange,
        Err(error) => return Ok(error.to_response()),
    };
    let shared = request.state();
    let is_same_zone = exchange.own.zone == shared.config.zone;
    beat::hear(shared, exchange);
    let mut own = shared.control.ask(Input::Describe).await.unwrap_or_default();
    if is_same_zone {
        own.zone.clear();
    }
    Ok(rpc::answer(&own))
}

async fn take_release(mut request: Request) -> tide::Result {
    let release: ReleaseRequest = match call_body(&mut request).await {
        Ok(release) => release,
        Err(error) => return Ok(error.to_response()),
    };
    let control = &request.state().control;
    let answer = control.ask(|answer| Input::Release { request: release, answer }).await;
    let answer: ReleaseAnswer = answer.unwrap_or_default();
    Ok(rpc::answer(&answer))
}

async fn take_cancel(mut request: Request) -> tide::Result {
    let cancel: CancelRequest = match call_body(&mut request).await {
        Ok(cancel) => cancel,
        Err(error) => return Ok(error.to_response()),
    };
    Ok(rpc::answer(&cancel_here(request.state(), &cancel).await))
}

async fn take_begin(mut request: Request) -> tide::Result {
    let begin: BeginRequest = match call_body(&mut request).await {
        Ok(begin) => begin,
        Err(error) => return Ok(error.to_response()),
    };
    let shared = Arc::clone(request.state());
    let link = request.ext::<CallerLink>().cloned();
    let verdict =
        journey::with_caller(
            link,
            |gone| async move { keys::begin_here(&shared, begin, &gone).await },
        )
        .await;
    Ok(rpc::answer(&verdict))
}

async fn take_end(mut request: Request) -> tide::Result {
    let end: EndRequest = match call_body(&mut request).await {
        Ok(end) => end,
        Err(error) => return Ok(error.to_response()),
    };
    Ok(rpc::answer(&keys::end_here(request.state(), end).await))
}

/// Reads the body of a call between entry hosts, after its token was checked.
async fn call_body<T: serde::de::DeserializeOwned>(request: &mut Request) -> Result<T, ApiError> {
    let shared = Arc::clone(request.state());
    rpc::admit(request, &shared.config.token)?;
    let body = server::read_body(request, &peer_http(&shared.config)).await?;
    rpc::decode(&body).map_err(|error| ApiError::new(400, "bad_call", error.to_string()))
}
