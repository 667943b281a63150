//! Calls between hosts: signs of life, announcements, questions to the leader, advice for it.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tide::{Request, Response};

use crate::configs::http::HttpConfig;
use crate::decision_log;
use crate::http::error::ApiError;
use crate::http::rpc::{self, Call, RpcError};
use crate::http::server;
use crate::platform::advice;
use crate::queue::control::Input;
use crate::queue::front;
use crate::queue::model::{Admission, JobId, JobState, StepId, Submission};
use crate::queue::scheduler::Event;
use crate::queue::shared::Shared;

const HELLO: &str = "/peer/hello";
const SUBMITTED: &str = "/peer/submitted";
const CANCELED: &str = "/peer/canceled";
const STATE: &str = "/peer/state";
const PENDING: &str = "/peer/pending";
const ERRAND: &str = "/peer/errand";
const ADVISE: &str = "/peer/advise";

/// Time that a call for advice may take beyond what its policy says, in milliseconds: other hosts
/// of ours may be slow.
const ADVICE_SLACK_MS: u64 = 1_000;

/// Time between looks for a new leader that has not heard of this host, in milliseconds.
const HELLO_LOOK_MS: u64 = 50;

/// A sign of life of a host.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct Hello {
    address: String,
    /// Processor that it could lead with, in thousandths of a core; 0 if it cannot lead now.
    cpu_millis: u64,
}

/// What the leader says of the hosts that are alive.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct HelloAnswer {
    /// Some of them.
    addresses: Vec<Arc<str>>,
    /// Processor of the largest one, in thousandths of a core.
    largest_millis: u64,
}

/// A request to call for advice.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct AdviceRequest {
    job: JobId,
    occurrence: u32,
    step: u32,
    runners: Vec<String>,
    timeout_ms: u64,
}

/// What the leader says of a job.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize, Deserialize)]
struct StateAnswer {
    state: Option<JobState>,
}

/// What a host does in place of one that the store turns away.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum Errand {
    /// Store a job.
    Submit(Submission),
    /// Store a cancellation.
    Cancel(JobId),
    /// Tell the state of a job.
    State(JobId),
}

/// How an errand ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ErrandEnd {
    /// The record is stored.
    Stored,
    /// The record is not stored and will not be.
    NotStored,
    /// The record may be stored.
    Unsure,
    /// The state of the job.
    State(JobState),
    /// There is no such job.
    NoJob,
}

/// Hosts that an errand is sent to before it is given up.
const ERRAND_TRIES: usize = 2;

/// Lets another host do an errand that this one cannot do without the store.
pub async fn send_errand(shared: &Shared, errand: &Errand) -> ErrandEnd {
    let mut end = ErrandEnd::NotStored;
    let timeout_ms = shared.config.store_timeout_ms;
    for address in shared.other_hosts().into_iter().take(ERRAND_TRIES) {
        let call = Call { address: &address, path: ERRAND, token: "", timeout_ms };
        let result: Result<ErrandEnd, RpcError> = rpc::call(&shared.pool, &call, errand).await;
        match result {
            Ok(ErrandEnd::NotStored) => {}
            Ok(ErrandEnd::Unsure) => end = ErrandEnd::Unsure,
            Ok(settled) => return settled,
            Err(error) => {
                if !error.is_certain() {
                    end = ErrandEnd::Unsure;
                }
                decision_log::line("errand_failed")
                    .with("host_asked", &address)
                    .with("error", error)
                    .end();
            }
        }
    }
    end
}

/// Why the leader gave no answer.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum PeerError {
    /// No leader is known.
    #[error("no leader is known")]
    NoLeader,
    /// This host leads but does not answer in time.
    #[error("the control of this host does not answer")]
    Busy,
    /// The call failed.
    #[error(transparent)]
    Rpc(#[from] RpcError),
}

/// The application that answers other hosts.
pub fn app(shared: Arc<Shared>) -> tide::Server<Arc<Shared>> {
    let mut app = tide::with_state(shared);
    app.at(HELLO).post(|request| async { reply(hello(request).await) });
    app.at(SUBMITTED).post(|request| async { reply(submitted(request).await) });
    app.at(CANCELED).post(|request| async { reply(canceled(request).await) });
    app.at(STATE).post(|request| async { reply(state(request).await) });
    app.at(PENDING).post(|request| async { reply(pending(request).await) });
    app.at(ERRAND).post(|request| async { reply(errand(request).await) });
    app.at(ADVISE).post(|request| async { reply(advise_here(request).await) });
    app
}

fn reply(result: Result<Response, ApiError>) -> tide::Result {
    Ok(result.unwrap_or_else(|error| error.to_response()))
}

async fn body<T: DeserializeOwned>(request: &mut Request<Arc<Shared>>) -> Result<T, ApiError> {
    let bytes = server::read_body(request, &HttpConfig::default()).await?;
    rpc::decode(&bytes).map_err(|error| ApiError::new(400, "body", error.to_string()))
}

fn not_leading() -> ApiError {
    ApiError::new(409, "not_leading", "this host does not lead")
}

async fn tell(shared: &Shared, event: Event) -> Result<Response, ApiError> {
    let control = shared.control().ok_or_else(not_leading)?;
    control.send(Input::Event(event)).await.map_err(|_| not_leading())?;
    Ok(rpc::answer(&()))
}

async fn hello(mut request: Request<Arc<Shared>>) -> Result<Response, ApiError> {
    let Hello { address, cpu_millis } = body(&mut request).await?;
    let shared = request.state();
    let address: Arc<str> = Arc::from(address);
    let addresses = shared.note_host(Arc::clone(&address));
    let largest_millis = shared.note_size(cpu_millis);
    tell(shared, Event::AdviceHostSeen { address }).await?;
    Ok(rpc::answer(&HelloAnswer { addresses, largest_millis }))
}

async fn errand(mut request: Request<Arc<Shared>>) -> Result<Response, ApiError> {
    let errand: Errand = body(&mut request).await?;
    Ok(rpc::answer(&front::run_errand(request.state(), errand).await))
}

async fn submitted(mut request: Request<Arc<Shared>>) -> Result<Response, ApiError> {
    let submission: Submission = body(&mut request).await?;
    tell(request.state(), Event::JobSubmitted(submission)).await
}

async fn canceled(mut request: Request<Arc<Shared>>) -> Result<Response, ApiError> {
    let id: JobId = body(&mut request).await?;
    tell(request.state(), Event::JobCanceled(id)).await
}

async fn state(mut request: Request<Arc<Shared>>) -> Result<Response, ApiError> {
    let id: JobId = body(&mut request).await?;
    let state = ask(request.state(), |answer| Input::State(id, answer)).await;
    Ok(rpc::answer(&StateAnswer { state: state.map_err(|_| not_leading())? }))
}

async fn pending(mut request: Request<Arc<Shared>>) -> Result<Response, ApiError> {
    let queue: String = body(&mut request).await?;
    let jobs = ask(request.state(), |answer| Input::Pending(queue, answer)).await;
    Ok(rpc::answer(&jobs.map_err(|_| not_leading())?))
}

async fn advise_here(mut request: Request<Arc<Shared>>) -> Result<Response, ApiError> {
    let asked: AdviceRequest = body(&mut request).await?;
    let step = StepId { job: asked.job, occurrence: asked.occurrence, step: asked.step };
    let advice = ask_service(request.state(), step, &asked.runners, asked.timeout_ms).await;
    let advice = advice.map_err(|error| ApiError::new(502, "no_advice", error))?;
    Ok(rpc::answer(&advice))
}

async fn ask_service(
    shared: &Shared,
    step: StepId,
    runners: &[String],
    timeout_ms: u64,
) -> Result<Vec<Admission>, String> {
    let Some(address) = &shared.site.advice_address else {
        return Err("no advice service is configured".to_owned());
    };
    advice::ask(&shared.pool, address, step, runners, timeout_ms).await
}

/// Asks the control of this host.
async fn ask<T>(
    shared: &Shared,
    question: impl FnOnce(async_channel::Sender<T>) -> Input,
) -> Result<T, PeerError> {
    let control = shared.control().ok_or(PeerError::NoLeader)?;
    let (sender, answer) = async_channel::bounded(1);
    control.send(question(sender)).await.map_err(|_| PeerError::NoLeader)?;
    let limit = Duration::from_millis(shared.config.peer_timeout_ms);
    let answered = async_std::future::timeout(limit, answer.recv()).await;
    answered.ok().and_then(Result::ok).ok_or(PeerError::Busy)
}

async fn call<Body, Answer>(shared: &Shared, path: &str, body: &Body) -> Result<Answer, PeerError>
where
    Body: Serialize + Sync,
    Answer: DeserializeOwned,
{
    let leader = shared.leader().ok_or(PeerError::NoLeader)?;
    let timeout_ms = shared.config.peer_timeout_ms;
    let call = Call { address: &leader.record.address, path, token: "", timeout_ms };
    Ok(rpc::call(&shared.pool, &call, body).await?)
}

/// State of a job as the leader knows it.
///
/// # Errors
/// [`PeerError`] when the leader does not answer.
pub async fn ask_state(shared: &Shared, id: JobId) -> Result<Option<JobState>, PeerError> {
    if shared.control().is_some() {
        return ask(shared, |answer| Input::State(id, answer)).await;
    }
    let answer: StateAnswer = call(shared, STATE, &id).await?;
    Ok(answer.state)
}

/// Accepted jobs of a queue that have not started.
///
/// # Errors
/// [`PeerError`] when the leader does not answer.
pub async fn ask_pending(shared: &Shared, queue: &str) -> Result<u64, PeerError> {
    if shared.control().is_some() {
        return ask(shared, |answer| Input::Pending(queue.to_owned(), answer)).await;
    }
    call(shared, PENDING, &queue).await
}

/// Tells the leader of a stored job; it finds the record by itself if the call fails.
///
/// # Errors
/// [`PeerError`] when the leader was not reached.
pub async fn announce(shared: &Shared, submission: Submission) -> Result<(), PeerError> {
    tell_leader(shared, SUBMITTED, submission, Event::JobSubmitted).await
}

/// Tells the leader of a stored cancellation; it finds the record by itself if the call fails.
///
/// # Errors
/// [`PeerError`] when the leader was not reached.
pub async fn announce_cancel(shared: &Shared, id: JobId) -> Result<(), PeerError> {
    tell_leader(shared, CANCELED, id, Event::JobCanceled).await
}

/// Hands news to the control of this host if it leads, and else to the leader.
async fn tell_leader<Body>(
    shared: &Shared,
    path: &str,
    body: Body,
    event: impl FnOnce(Body) -> Event,
) -> Result<(), PeerError>
where
    Body: Serialize + Sync,
{
    let Some(control) = shared.control() else { return call(shared, path, &body).await };
    let told = control.send(Input::Event(event(body))).await;
    told.map_err(|_| PeerError::NoLeader)
}

/// Gets advice by way of the host at `helper`.
///
/// # Errors
/// A message that says why there is no advice.
pub async fn advise(
    shared: &Shared,
    helper: &str,
    step: StepId,
    runners: Vec<String>,
    expected_ms: u64,
) -> Result<Vec<Admission>, String> {
    let timeout_ms = expected_ms + ADVICE_SLACK_MS;
    if helper == shared.site.peer_address {
        return ask_service(shared, step, &runners, timeout_ms).await;
    }
    let StepId { job, occurrence, step } = step;
    let body = AdviceRequest { job, occurrence, step, runners, timeout_ms };
    let call = Call { address: helper, path: ADVISE, token: "", timeout_ms };
    rpc::call(&shared.pool, &call, &body).await.map_err(|error| error.to_string())
}

/// Tells the leader again and again that this host is alive.
pub async fn say_hello(shared: Arc<Shared>) {
    loop {
        if shared.control().is_none() && shared.leader().is_some() && !shared.is_draining() {
            let cpu_millis = if shared.is_ready() { shared.site.cpu_millis } else { 0 };
            let hello = Hello { address: shared.site.peer_address.clone(), cpu_millis };
            let said: Result<HelloAnswer, PeerError> = call(&shared, HELLO, &hello).await;
            match said {
                Ok(HelloAnswer { addresses, largest_millis }) => {
                    shared.set_hosts(addresses);
                    shared.note_size(largest_millis);
                }
                Err(error) => {
                    decision_log::line("leader_unreached").with("error", error).end();
                }
            }
        }
        wait_for_hello(&shared).await;
    }
}

/// Waits until the next sign of life is due: a new leader gets one at once.
async fn wait_for_hello(shared: &Shared) {
    let token = shared.leader().map(|leader| leader.token);
    let mut waited_ms = 0;
    while waited_ms < shared.config.hello_ms {
        task::sleep(Duration::from_millis(HELLO_LOOK_MS)).await;
        waited_ms += HELLO_LOOK_MS;
        let leader = shared.leader();
        if leader.is_some() && leader.map(|leader| leader.token) != token {
            return;
        }
    }
}
