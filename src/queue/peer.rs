//! Calls between hosts: heartbeats, announcements and queries to the leader, operations relayed to
//! a host that still reaches the store, and admission advice requested on behalf of the leader.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tide::{Request, Response};

use crate::clock;
use crate::configs::http::HttpConfig;
use crate::decision_log;
use crate::http::error::ApiError;
use crate::http::rpc::{self, Call, RpcError};
use crate::http::server;
use crate::platform::advice;
use crate::queue::caller_api;
use crate::queue::control::ControlInput;
use crate::queue::host_state::HostState;
use crate::queue::model::{Admission, JobId, JobState, StepId, Submission};
use crate::queue::record::LeaderRecord;
use crate::queue::scheduler::Event;
use crate::queue::workspaces::JobOwner;

const HEARTBEAT_PATH: &str = "/peer/hello";
const SUBMITTED_PATH: &str = "/peer/submitted";
const CANCELED_PATH: &str = "/peer/canceled";
const STATE_PATH: &str = "/peer/state";
const PENDING_PATH: &str = "/peer/pending";
const RELAY_PATH: &str = "/peer/errand";
const ADVISE_PATH: &str = "/peer/advise";
const TERM_PATH: &str = "/peer/term";

/// Time that a request for advice may take beyond the duration that its policy declares, in
/// milliseconds: the host that relays it may be slow.
const ADVICE_RELAY_MARGIN_MS: u64 = 1_000;

/// Interval at which a host checks for a new leader that needs its first heartbeat, in
/// milliseconds.
const NEW_LEADER_POLL_MS: u64 = 50;

/// A heartbeat that a host sends to the leader.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct Heartbeat {
    /// Peer address of the sender, `IP:port`.
    address: String,
    /// CPU capacity of the sender, in thousandths of a core; 0 if it cannot lead now.
    cpu_millis: u64,
}

/// The leader's answer to a heartbeat.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct HeartbeatAnswer {
    /// Peer addresses of hosts that have sent heartbeats, the most recent first; not all of them.
    addresses: Vec<Arc<str>>,
    /// CPU capacity of the largest host that could lead, in thousandths of a core.
    largest_millis: u64,
}

/// Asks a host to request advice about one step, given by its job, the occurrence of the job and
/// its position in the job, from the advice service.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct AdviceRequest {
    job: JobId,
    occurrence: u32,
    step: u32,
    /// Names of the runners that the advice is about.
    runners: Vec<String>,
    /// Longest wait for the advice service, in milliseconds.
    timeout_ms: u64,
}

/// A leader's query whether the term of a former one has ended.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct TermQuery {
    /// Name of the host that led the term.
    host: String,
    /// Nonce of the term.
    nonce: u64,
}

/// A host's answer to a query about one of its terms.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize, Deserialize)]
struct TermAnswer {
    /// Time since the host can last have sent an order in that term, in milliseconds; `None` if the
    /// term has not ended.
    ordered_ms_ago: Option<u64>,
}

/// The leader's answer to a query for the state of a job.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct StateAnswer {
    /// `None` if the leader does not know the job.
    state: Option<JobState>,
    /// Whom the job belongs to; absent if the leader knows of no workspaces or is of a version without
    /// them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    owner: Option<JobOwner>,
}

/// An operation that a host without access to the store relays to another host.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum RelayRequest {
    /// Stores a submitted job.
    Submit(Submission),
    /// Stores the cancellation of a job.
    Cancel(JobId),
    /// Reads the state of a job.
    State(JobId),
    /// Stores the cancellation of a job unless it belongs to somebody else. Hosts of a version without
    /// workspaces refuse this operation and [`RelayRequest::StateOf`].
    CancelOf(JobId, JobOwner),
    /// Reads the state of a job unless it belongs to somebody else.
    StateOf(JobId, JobOwner),
}

impl RelayRequest {
    /// Cancellation of a job that has to belong to `owner`, unless that is `None`.
    pub fn cancel(id: JobId, owner: Option<JobOwner>) -> Self {
        owner.map_or(Self::Cancel(id), |owner| Self::CancelOf(id, owner))
    }

    /// Query for the state of a job that has to belong to `owner`, unless that is `None`.
    pub fn state(id: JobId, owner: Option<JobOwner>) -> Self {
        owner.map_or(Self::State(id), |owner| Self::StateOf(id, owner))
    }
}

/// Outcome of a relayed operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RelayOutcome {
    /// The record is stored.
    Stored,
    /// The operation had no effect and will not have one.
    NotStored,
    /// It is unknown whether the record is or will be stored.
    Unsure,
    /// State of the job that was asked for.
    State(JobState),
    /// There is no such job.
    NoJob,
}

/// Hosts that an operation is relayed to before it fails.
const MAX_RELAY_HOSTS: usize = 2;

/// Relays an operation to other hosts, one after the other until one completes it, because this
/// host cannot reach the store.
pub async fn relay(shared: &HostState, request: &RelayRequest) -> RelayOutcome {
    let mut outcome = RelayOutcome::NotStored;
    let timeout_ms = shared.config.store_timeout_ms;
    for address in shared.other_hosts().into_iter().take(MAX_RELAY_HOSTS) {
        let call = Call { address: &address, path: RELAY_PATH, token: "", timeout_ms };
        let result: Result<RelayOutcome, RpcError> = rpc::call(&shared.pool, &call, request).await;
        match result {
            Ok(RelayOutcome::NotStored) => {}
            Ok(RelayOutcome::Unsure) => outcome = RelayOutcome::Unsure,
            Ok(completed) => return completed,
            Err(error) => {
                if !error.is_not_executed() {
                    outcome = RelayOutcome::Unsure;
                }
                decision_log::line("errand_failed")
                    .with("host_asked", &address)
                    .with("error", error)
                    .end();
            }
        }
    }
    outcome
}

/// Reason why a query or announcement did not reach the leader.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum PeerError {
    /// This host knows of no leader, or its own term has just ended.
    #[error("no leader is known")]
    NoLeader,
    /// This host leads, but its control loop did not answer within `peer_timeout_ms`.
    #[error("the control loop of this leader did not answer in time")]
    ControlLoopTimeout,
    /// The call to the leader failed.
    #[error(transparent)]
    Rpc(#[from] RpcError),
}

/// The HTTP application that serves calls of other hosts.
pub fn app(shared: Arc<HostState>) -> tide::Server<Arc<HostState>> {
    let mut app = tide::with_state(shared);
    app.at(HEARTBEAT_PATH).post(|request| async { reply(heartbeat(request).await) });
    app.at(SUBMITTED_PATH).post(|request| async { reply(submitted(request).await) });
    app.at(CANCELED_PATH).post(|request| async { reply(canceled(request).await) });
    app.at(STATE_PATH).post(|request| async { reply(state(request).await) });
    app.at(PENDING_PATH).post(|request| async { reply(pending(request).await) });
    app.at(RELAY_PATH).post(|request| async { reply(relayed(request).await) });
    app.at(ADVISE_PATH).post(|request| async { reply(serve_advice(request).await) });
    app.at(TERM_PATH).post(|request| async { reply(term(request).await) });
    app
}

fn reply(result: Result<Response, ApiError>) -> tide::Result {
    Ok(result.unwrap_or_else(|error| error.to_response()))
}

async fn body<T: DeserializeOwned>(request: &mut Request<Arc<HostState>>) -> Result<T, ApiError> {
    let bytes = server::read_body(request, &HttpConfig::default()).await?;
    rpc::decode(&bytes).map_err(|error| ApiError::new(400, "body", error.to_string()))
}

/// The error of a host that was called as the leader but is not.
fn not_leading() -> ApiError {
    ApiError::new(409, "not_leading", "this host is not the leader")
}

/// Passes an event to the control loop of this host.
async fn forward_event(shared: &HostState, event: Event) -> Result<Response, ApiError> {
    let control = shared.control_loop().ok_or_else(not_leading)?;
    control.send(ControlInput::Event(event)).await.map_err(|_| not_leading())?;
    Ok(rpc::response(&()))
}

async fn heartbeat(mut request: Request<Arc<HostState>>) -> Result<Response, ApiError> {
    let Heartbeat { address, cpu_millis } = body(&mut request).await?;
    let shared = request.state();
    let address: Arc<str> = Arc::from(address);
    let addresses = shared.record_host(Arc::clone(&address));
    let largest_millis = shared.record_host_capacity(cpu_millis);
    forward_event(shared, Event::AdviceHostSeen { address }).await?;
    Ok(rpc::response(&HeartbeatAnswer { addresses, largest_millis }))
}

async fn relayed(mut request: Request<Arc<HostState>>) -> Result<Response, ApiError> {
    let operation: RelayRequest = body(&mut request).await?;
    Ok(rpc::response(&caller_api::serve_relay(request.state(), operation).await))
}

async fn submitted(mut request: Request<Arc<HostState>>) -> Result<Response, ApiError> {
    let submission: Submission = body(&mut request).await?;
    forward_event(request.state(), Event::JobSubmitted(submission)).await
}

async fn canceled(mut request: Request<Arc<HostState>>) -> Result<Response, ApiError> {
    let id: JobId = body(&mut request).await?;
    forward_event(request.state(), Event::JobCanceled(id)).await
}

async fn state(mut request: Request<Arc<HostState>>) -> Result<Response, ApiError> {
    let id: JobId = body(&mut request).await?;
    let shared = request.state();
    let known = query_control_loop(shared, |answer| ControlInput::StateQuery(id, answer)).await;
    let (state, owner) = known.map_err(|_| not_leading())?.unzip();
    let has_workspaces = shared.directory().workspaces.is_some();
    Ok(rpc::response(&StateAnswer { state, owner: owner.filter(|_| has_workspaces) }))
}

async fn pending(mut request: Request<Arc<HostState>>) -> Result<Response, ApiError> {
    let queue: String = body(&mut request).await?;
    let jobs =
        query_control_loop(request.state(), |answer| ControlInput::PendingQuery(queue, answer))
            .await;
    Ok(rpc::response(&jobs.map_err(|_| not_leading())?))
}

/// Answers a query of a later leader about a term of this host. The term ends if it has not yet.
async fn term(mut request: Request<Arc<HostState>>) -> Result<Response, ApiError> {
    let TermQuery { host, nonce } = body(&mut request).await?;
    let shared = request.state();
    if host != shared.host_info.host {
        return Err(ApiError::new(409, "other_host", "another host led the term"));
    }
    let ordered_ms = shared.ordered_until_ms(nonce);
    if ordered_ms.is_none() {
        shared.send_to_control_loop(ControlInput::Superseded("a later leader asks for the term"));
    }
    let ordered_ms_ago = ordered_ms.map(|at_ms| clock::now_ms().saturating_sub(at_ms));
    Ok(rpc::response(&TermAnswer { ordered_ms_ago }))
}

/// Asks a former leader for its term; returns a time after which it has sent no order, in
/// milliseconds of [`clock::now_ms`], or `None` if the term has not ended.
///
/// # Errors
/// Fails when the host does not answer.
pub async fn query_term(
    shared: &HostState,
    former: &LeaderRecord,
) -> Result<Option<u64>, RpcError> {
    let timeout_ms = shared.config.peer_timeout_ms;
    let call = Call { address: &former.address, path: TERM_PATH, token: "", timeout_ms };
    let query = TermQuery { host: former.host.clone(), nonce: former.nonce };
    let TermAnswer { ordered_ms_ago } = rpc::call(&shared.pool, &call, &query).await?;
    Ok(ordered_ms_ago.map(|ago_ms| clock::now_ms().saturating_sub(ago_ms)))
}

async fn serve_advice(mut request: Request<Arc<HostState>>) -> Result<Response, ApiError> {
    let asked: AdviceRequest = body(&mut request).await?;
    let step = StepId { job: asked.job, occurrence: asked.occurrence, step: asked.step };
    let advice = request_advice(request.state(), step, &asked.runners, asked.timeout_ms).await;
    let advice = advice.map_err(|error| ApiError::new(502, "no_advice", error))?;
    Ok(rpc::response(&advice))
}

/// Calls the advice service directly.
async fn request_advice(
    shared: &HostState,
    step: StepId,
    runners: &[String],
    timeout_ms: u64,
) -> Result<Vec<Admission>, String> {
    let Some(address) = &shared.host_info.advice_address else {
        return Err("no advice service is configured".to_owned());
    };
    advice::ask(&shared.pool, address, step, runners, timeout_ms).await
}

/// Sends a query to the control loop of this host and waits for its answer.
async fn query_control_loop<T>(
    shared: &HostState,
    query: impl FnOnce(async_channel::Sender<T>) -> ControlInput,
) -> Result<T, PeerError> {
    let control = shared.control_loop().ok_or(PeerError::NoLeader)?;
    let (sender, answer) = async_channel::bounded(1);
    control.send(query(sender)).await.map_err(|_| PeerError::NoLeader)?;
    let limit = Duration::from_millis(shared.config.peer_timeout_ms);
    let answered = async_std::future::timeout(limit, answer.recv()).await;
    answered.ok().and_then(Result::ok).ok_or(PeerError::ControlLoopTimeout)
}

async fn call_leader<Body, Answer>(
    shared: &HostState,
    path: &str,
    body: &Body,
) -> Result<Answer, PeerError>
where
    Body: Serialize + Sync,
    Answer: DeserializeOwned,
{
    let leader = shared.leader().ok_or(PeerError::NoLeader)?;
    let timeout_ms = shared.config.peer_timeout_ms;
    let call = Call { address: &leader.record.address, path, token: "", timeout_ms };
    Ok(rpc::call(&shared.pool, &call, body).await?)
}

/// Asks the leader for the state of a job and, if the leader can tell, whom it belongs to; `None` if
/// the leader does not know the job.
///
/// # Errors
/// Fails with [`PeerError`] when the leader does not answer.
pub async fn query_state(
    shared: &HostState,
    id: JobId,
) -> Result<Option<(JobState, Option<JobOwner>)>, PeerError> {
    if shared.control_loop().is_some() {
        let known = query_control_loop(shared, |answer| ControlInput::StateQuery(id, answer));
        return Ok(known.await?.map(|(state, owner)| (state, Some(owner))));
    }
    let StateAnswer { state, owner } = call_leader(shared, STATE_PATH, &id).await?;
    Ok(state.map(|state| (state, owner)))
}

/// Asks the leader for the number of accepted jobs of a queue that have not started.
///
/// # Errors
/// Fails with [`PeerError`] when the leader does not answer.
pub async fn query_pending(shared: &HostState, queue: &str) -> Result<u64, PeerError> {
    if shared.control_loop().is_some() {
        return query_control_loop(shared, |answer| {
            ControlInput::PendingQuery(queue.to_owned(), answer)
        })
        .await;
    }
    call_leader(shared, PENDING_PATH, &queue).await
}

/// Announces a stored job to the leader. A failure only causes delay: the leader also watches the
/// job records.
///
/// # Errors
/// Fails with [`PeerError`] when the leader was not reached.
pub async fn announce_submission(
    shared: &HostState,
    submission: Submission,
) -> Result<(), PeerError> {
    notify_leader(shared, SUBMITTED_PATH, submission, Event::JobSubmitted).await
}

/// Announces a stored cancellation to the leader. A failure only causes delay: the leader also
/// watches the job records.
///
/// # Errors
/// Fails with [`PeerError`] when the leader was not reached.
pub async fn announce_cancellation(shared: &HostState, id: JobId) -> Result<(), PeerError> {
    notify_leader(shared, CANCELED_PATH, id, Event::JobCanceled).await
}

/// Passes an event to the control loop of this host if it leads, otherwise to the leader at `path`.
async fn notify_leader<Body>(
    shared: &HostState,
    path: &str,
    body: Body,
    event: impl FnOnce(Body) -> Event,
) -> Result<(), PeerError>
where
    Body: Serialize + Sync,
{
    let Some(control) = shared.control_loop() else {
        return call_leader(shared, path, &body).await;
    };
    let sent = control.send(ControlInput::Event(event(body))).await;
    sent.map_err(|_| PeerError::NoLeader)
}

/// Requests advice about `step` through the host at `advice_host`. `expected_ms` is the duration of
/// the request that the queue's policy declares.
///
/// # Errors
/// Returns a message with the reason why there is no advice.
pub async fn advise(
    shared: &HostState,
    advice_host: &str,
    step: StepId,
    runners: Vec<String>,
    expected_ms: u64,
) -> Result<Vec<Admission>, String> {
    let timeout_ms = expected_ms + ADVICE_RELAY_MARGIN_MS;
    if advice_host == shared.host_info.peer_address {
        return request_advice(shared, step, &runners, timeout_ms).await;
    }
    let StepId { job, occurrence, step } = step;
    let body = AdviceRequest { job, occurrence, step, runners, timeout_ms };
    let call = Call { address: advice_host, path: ADVISE_PATH, token: "", timeout_ms };
    rpc::call(&shared.pool, &call, &body).await.map_err(|error| error.to_string())
}

/// Sends heartbeats to the leader for as long as the process runs, except while this host leads or
/// drains.
pub async fn send_heartbeats(shared: Arc<HostState>) {
    loop {
        if shared.control_loop().is_none() && shared.leader().is_some() && !shared.is_draining() {
            let cpu_millis = if shared.is_ready() { shared.host_info.cpu_millis } else { 0 };
            let heartbeat =
                Heartbeat { address: shared.host_info.peer_address.clone(), cpu_millis };
            let answer: Result<HeartbeatAnswer, PeerError> =
                call_leader(&shared, HEARTBEAT_PATH, &heartbeat).await;
            match answer {
                Ok(HeartbeatAnswer { addresses, largest_millis }) => {
                    shared.set_hosts(addresses);
                    shared.record_host_capacity(largest_millis);
                }
                Err(error) => {
                    decision_log::line("leader_unreached").with("error", error).end();
                }
            }
        }
        wait_for_next_heartbeat(&shared).await;
    }
}

/// Waits until the next heartbeat is due: after `hello_ms`, or at once when there is a new leader.
async fn wait_for_next_heartbeat(shared: &HostState) {
    let token = shared.leader().map(|leader| leader.token);
    let mut waited_ms = 0;
    while waited_ms < shared.config.hello_ms {
        task::sleep(Duration::from_millis(NEW_LEADER_POLL_MS)).await;
        waited_ms += NEW_LEADER_POLL_MS;
        let leader = shared.leader();
        if leader.is_some() && leader.map(|leader| leader.token) != token {
            return;
        }
    }
}
