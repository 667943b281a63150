//! HTTP interface of an entry host: requests of callers, calls of other entry hosts, health and
//! metrics.

mod parse;

use std::sync::Arc;

use async_std::task;

use tide::{Response, StatusCode};

use crate::clock;
use crate::declarations;
use crate::http::error::ApiError;
use crate::http::rpc;
use crate::http::server::{self, CallerConnection};
use crate::jobs::gateway::JobGateway;
use crate::membership::{self, Role};
use crate::outcome::Outcome;
use crate::telemetry;

use super::heartbeat::Exchange;
use super::message::{Input, RequestResult, SubmittedRequest};
use super::peer::{
    self, BeginRequest, CancelRequest, EndRequest, PeerAnswer, PeerRequest, ReleaseAnswer,
    ReleaseRequest,
};
use super::routing;
use super::{heartbeat_sender, idempotency, peer_http, response, Shared};

type Request = tide::Request<Arc<Shared>>;

/// Creates the HTTP application of an entry host with all its routes.
pub(super) fn app(shared: Arc<Shared>) -> tide::Server<Arc<Shared>> {
    let (feed, token) = (shared.feed.clone(), shared.config.token.clone());
    let jobs = JobGateway::new(
        shared.mirror.clone(),
        feed.clone(),
        shared.peers.clone(),
        shared.config.http.clone(),
        token.clone(),
    );
    let mut app = tide::with_state(shared);
    declarations::peer::mount(&mut app, feed, token);
    jobs.mount(&mut app);
    app.at("/v1/services/:service/requests").post(handle_request);
    app.at("/v1/services/:service/requests/:key").delete(cancel_request);
    app.at(peer::REQUESTS_PATH).post(handle_peer_request);
    app.at(peer::HEARTBEAT_PATH).post(handle_heartbeat);
    app.at(peer::RELEASE_PATH).post(handle_release);
    app.at(peer::CANCEL_PATH).post(handle_cancel);
    app.at(peer::BEGIN_PATH).post(handle_begin);
    app.at(peer::END_PATH).post(handle_end);
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
    let remaining = shared.control.ask(Input::Remaining).await.unwrap_or_default();
    shared.metrics.set_owned_endpoints(remaining.owned);
    Ok(telemetry::metrics_response(shared.metrics.registry()))
}

async fn handle_request(mut request: Request) -> tide::Result {
    let shared = Arc::clone(request.state());
    let submitted = match parse::submitted(&mut request).await {
        Ok(submitted) => submitted,
        Err(error) => return Ok(response::from_error(&error)),
    };
    let id = submitted.id.clone();
    let link = request.ext::<CallerConnection>().cloned();
    let result = routing::with_caller(link, |gone| run_request(shared, submitted, gone)).await;
    Ok(response::from_result(&result, &id))
}

/// Runs a request to its end and records its metrics.
async fn run_request(
    shared: Arc<Shared>,
    submitted: SubmittedRequest,
    gone: routing::CallerGone,
) -> RequestResult {
    let begun_us = clock::now_us();
    let id = submitted.id.clone();
    let service = submitted.service.clone();
    shared.metrics.request_started();
    let result = routing::run(&shared, submitted, &gone).await;
    let outcome = result.outcome().unwrap_or(Outcome::Unknown);
    const US_PER_S: f64 = 1_000_000.0;
    #[allow(clippy::cast_precision_loss, reason = "a time for a histogram")]
    let seconds = clock::now_us().saturating_sub(begun_us) as f64 / US_PER_S;
    shared.metrics.request_ended(outcome, seconds);
    let outcome = outcome.as_str();
    spdlog::debug!("request ended", kv: { request_id = id.as_str(), service = service.as_str(), outcome });
    result
}

/// Cancels a request by its idempotency key, at this host or else at all other entry hosts.
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

async fn handle_peer_request(mut request: Request) -> tide::Result {
    let shared = Arc::clone(request.state());
    let call: PeerRequest = match call_body(&mut request).await {
        Ok(call) => call,
        Err(error) => return Ok(error.to_response()),
    };
    let link = request.ext::<CallerConnection>().cloned();
    let (id, service) = (call.id.clone(), call.service.clone());
    let result = routing::with_caller(link, |gone| async move {
        routing::dispatch(&shared, call.into_submitted(), &gone).await
    })
    .await;
    let outcome = result.outcome().unwrap_or(Outcome::Unknown).as_str();
    spdlog::debug!("peer's request ended", kv: { request_id = id.as_str(), service = service.as_str(), outcome });
    Ok(rpc::response(&PeerAnswer::new(&result)))
}

async fn handle_heartbeat(mut request: Request) -> tide::Result {
    let exchange: Exchange = match call_body(&mut request).await {
        Ok(exchange) => exchange,
        Err(error) => return Ok(error.to_response()),
    };
    let shared = request.state();
    let is_same_zone = exchange.own.zone == shared.config.zone;
    heartbeat_sender::handle_exchange(shared, exchange);
    let mut own = shared.control.ask(Input::HeartbeatExchange).await.unwrap_or_default();
    if is_same_zone {
        own.zone.clear();
    }
    Ok(rpc::response(&own))
}

async fn handle_release(mut request: Request) -> tide::Result {
    let release: ReleaseRequest = match call_body(&mut request).await {
        Ok(release) => release,
        Err(error) => return Ok(error.to_response()),
    };
    let control = &request.state().control;
    let answer = control.ask(|answer| Input::Release { request: release, answer }).await;
    let answer: ReleaseAnswer = answer.unwrap_or_default();
    Ok(rpc::response(&answer))
}

async fn handle_cancel(mut request: Request) -> tide::Result {
    let cancel: CancelRequest = match call_body(&mut request).await {
        Ok(cancel) => cancel,
        Err(error) => return Ok(error.to_response()),
    };
    Ok(rpc::response(&cancel_here(request.state(), &cancel).await))
}

async fn handle_begin(mut request: Request) -> tide::Result {
    let begin: BeginRequest = match call_body(&mut request).await {
        Ok(begin) => begin,
        Err(error) => return Ok(error.to_response()),
    };
    let shared = Arc::clone(request.state());
    let link = request.ext::<CallerConnection>().cloned();
    let result = routing::with_caller(link, |gone| async move {
        idempotency::begin_here(&shared, begin, &gone).await
    })
    .await;
    Ok(rpc::response(&result))
}

async fn handle_end(mut request: Request) -> tide::Result {
    let end: EndRequest = match call_body(&mut request).await {
        Ok(end) => end,
        Err(error) => return Ok(error.to_response()),
    };
    Ok(rpc::response(&idempotency::end_here(request.state(), end).await))
}

/// Checks the token of a call between entry hosts and decodes its body.
async fn call_body<T: serde::de::DeserializeOwned>(request: &mut Request) -> Result<T, ApiError> {
    let shared = Arc::clone(request.state());
    rpc::check_token(request, &shared.config.token)?;
    let body = server::read_body(request, &peer_http(&shared.config)).await?;
    rpc::decode(&body).map_err(|error| ApiError::new(400, "bad_call", error.to_string()))
}
