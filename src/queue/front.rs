//! What callers ask of a host: to take a job, to tell its state, to cancel it, to count.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use http_types::{Method, StatusCode};
use tide::{Request, Response};

use crate::clock;
use crate::configs::http::HttpConfig;
use crate::decision_log;
use crate::http::error::ApiError;
use crate::http::rpc;
use crate::http::server;
use crate::platform::callers::{self, Decoded};
use crate::queue::model::{JobId, JobState, Queue, QueueDirectory, Submission};
use crate::queue::peer::{self, Errand, ErrandEnd, PeerError};
use crate::queue::record::{self, Progress};
use crate::queue::shared::Shared;
use crate::queue::watch;
use crate::store::{self, Expect, Priority, Put, PutOutcome, StoreError};

/// Time that callers wait who do not say so, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 3_000;

/// Part of a caller's time that is left for the answer to arrive, in milliseconds.
const ANSWER_MARGIN_MS: u64 = 150;

/// Pause between two tries to store a record, in milliseconds.
const RETRY_MS: u64 = 60;

/// When a caller should come back after a refusal for want of the store, in milliseconds: outages
/// last for seconds, and a caller that comes back at once uses up its tries.
const RETRY_AFTER_MS: u64 = 2_000;

/// Tries to reach a store that certainly did nothing, before the caller is sent elsewhere.
const CERTAIN_TRIES: u32 = 3;

/// The application that answers callers.
pub fn app(shared: Arc<Shared>) -> tide::Server<Arc<Shared>> {
    let mut app = tide::with_state(shared);
    app.at("/").all(handle);
    app.at("/*").all(handle);
    app
}

async fn handle(request: Request<Arc<Shared>>) -> tide::Result {
    let begun_us = clock::now_us();
    let shared = Arc::clone(request.state());
    let kind = match request.method() {
        Method::Post => "submit",
        Method::Get => "get",
        Method::Delete => "cancel",
        _ => "other",
    };
    let response = route(&shared, request).await.unwrap_or_else(|error| error.to_response());
    let status: u16 = response.status().into();
    shared.metrics.requests.with_label_values(&[kind, &status.to_string()]).inc();
    #[allow(clippy::cast_precision_loss, reason = "a latency for a histogram")]
    let seconds = clock::now_us().saturating_sub(begun_us) as f64 / 1_000_000.0;
    shared.metrics.request_seconds.with_label_values(&[kind]).observe(seconds);
    Ok(response)
}

async fn route(
    shared: &Arc<Shared>,
    mut request: Request<Arc<Shared>>,
) -> Result<Response, ApiError> {
    let directory = shared.directory();
    if directory.version == 0 {
        let error = ApiError::new(503, "no_declarations", "the host has no declarations yet");
        return Err(error.with_retry_after_ms(RETRY_AFTER_MS));
    }
    let path = request.url().path().to_owned();
    let queue = queue_of(&directory, &request, &path)?.clone();
    let rest = path.get(queue.prefix.len()..).unwrap_or_default();
    if rest.is_empty() && request.method() == Method::Get {
        return count(shared, &queue).await;
    }
    let id = JobId::parse(rest).ok_or_else(|| {
        ApiError::new(400, "bad_id", "expected 16 hexadecimal digits after the prefix")
    })?;
    match request.method() {
        Method::Post => submit(shared, &directory, &queue, id, &mut request).await,
        Method::Get => state(shared, id).await,
        Method::Delete => cancel(shared, id).await,
        _ => Err(ApiError::new(405, "wrong_method", "expected POST, GET or DELETE")),
    }
}

fn queue_of<'a>(
    directory: &'a QueueDirectory,
    request: &Request<Arc<Shared>>,
    path: &str,
) -> Result<&'a Queue, ApiError> {
    let host = request.header("Host").map_or("", |values| values.as_str());
    let name = host.split(':').next().unwrap_or_default();
    directory.queue_at(name, path).ok_or_else(|| {
        decision_log::line("queue_unknown")
            .with("host_header", host)
            .with("path", path)
            .with("version", directory.version)
            .end();
        ApiError::new(404, "no_such_queue", format!("no queue at {name}{path}"))
    })
}

fn deadline_ms(request: &Request<Arc<Shared>>) -> u64 {
    let given = request.header(callers::DEADLINE_HEADER).map_or("", |values| values.as_str());
    let wait_ms = given.parse().unwrap_or(DEFAULT_DEADLINE_MS);
    clock::now_ms() + wait_ms.saturating_sub(ANSWER_MARGIN_MS)
}

async fn submit(
    shared: &Arc<Shared>,
    directory: &QueueDirectory,
    queue: &Queue,
    id: JobId,
    request: &mut Request<Arc<Shared>>,
) -> Result<Response, ApiError> {
    let deadline_ms = deadline_ms(request);
    let limits = HttpConfig { max_body_bytes: directory.max_body_bytes, ..HttpConfig::default() };
    let body = server::read_body(request, &limits).await?;
    let submission = match callers::decode_submission(id, &queue.name, &body, clock::unix_ms()) {
        Decoded::Job(submission) => submission,
        Decoded::Invalid(message) => {
            decision_log::line("job_invalid").with("job", id).with("error", &message).end();
            return Err(ApiError::new(400, "not_a_job", message));
        }
        Decoded::Repeats => {
            decision_log::line("job_refused").with("job", id).with("reason", "repeats").end();
            return Err(ApiError::new(503, "repeats", "jobs that repeat are not served"));
        }
    };
    let steps = submission.steps.len();
    let (stored, by) = if shared.is_store_away() {
        (peer::send_errand(shared, &Errand::Submit(submission)).await, "another host")
    } else {
        (keep_job(shared, submission, deadline_ms).await, "this host")
    };
    decision_log::line("job_submitted")
        .with("job", id)
        .with("queue", &queue.name)
        .with("version", directory.version)
        .with("steps", steps)
        .with("by", by)
        .with("outcome", format_args!("{stored:?}"))
        .end();
    stored_response(stored)
}

/// The answer to a caller whose record was to be stored.
fn stored_response(end: ErrandEnd) -> Result<Response, ApiError> {
    match end {
        ErrandEnd::Stored | ErrandEnd::State(_) => Ok(Response::new(StatusCode::Ok)),
        ErrandEnd::NotStored => Err(store_away()),
        ErrandEnd::Unsure => Err(ApiError::new(504, "unknown", "the record may have been stored")),
        ErrandEnd::NoJob => Err(no_such_job()),
    }
}

fn no_such_job() -> ApiError {
    ApiError::new(410, "no_such_job", "the job is not known")
}

/// Does an errand for a host that the store turns away.
pub async fn run_errand(shared: &Arc<Shared>, errand: Errand) -> ErrandEnd {
    if shared.is_store_away() {
        return ErrandEnd::NotStored;
    }
    let deadline_ms = clock::now_ms() + shared.config.store_timeout_ms;
    match errand {
        Errand::Submit(submission) => keep_job(shared, submission, deadline_ms).await,
        Errand::Cancel(id) => keep_cancel(shared, id, deadline_ms).await,
        Errand::State(id) => match find_state(shared, id).await {
            Ok(Some((state, _))) => ErrandEnd::State(state),
            Ok(None) => ErrandEnd::NoJob,
            Err(_) => ErrandEnd::NotStored,
        },
    }
}

/// Stores a job and tells the leader of it.
async fn keep_job(shared: &Arc<Shared>, submission: Submission, deadline_ms: u64) -> ErrandEnd {
    let key = record::job_key(submission.id);
    let value = match record::encode(&submission) {
        Ok(value) => value,
        Err(error) => {
            decision_log::line("job_unwritable")
                .with("job", submission.id)
                .with("error", error)
                .end();
            return ErrandEnd::NotStored;
        }
    };
    let stored = store_once(shared, key, value, deadline_ms).await;
    if stored == Stored::New {
        let told = Arc::clone(shared);
        let id = submission.id;
        announce(id, async move { peer::announce(&told, submission).await });
    }
    stored.into()
}

/// Stores a cancellation and tells the leader of it.
async fn keep_cancel(shared: &Arc<Shared>, id: JobId, deadline_ms: u64) -> ErrandEnd {
    match read(shared, record::job_key(id)).await {
        Ok(Some(_)) => {}
        Ok(None) => return ErrandEnd::NoJob,
        Err(_) => return ErrandEnd::NotStored,
    }
    let value = bytes::Bytes::from_static(b"cancel");
    let stored = store_once(shared, record::cancel_key(id), value, deadline_ms).await;
    if matches!(stored, Stored::New | Stored::Known) {
        let told = Arc::clone(shared);
        announce(id, async move { peer::announce_cancel(&told, id).await });
    }
    stored.into()
}

fn store_away() -> ApiError {
    let error = ApiError::new(503, "store_away", "the store does not take the job; it has not run");
    error.with_retry_after_ms(RETRY_AFTER_MS)
}

/// Tells the leader without keeping the caller waiting; it finds the record by itself if that fails.
fn announce(id: JobId, telling: impl Future<Output = Result<(), PeerError>> + Send + 'static) {
    task::spawn(async move {
        if let Err(error) = telling.await {
            decision_log::line("announce_failed").with("job", id).with("error", error).end();
        }
    });
}

/// What became of a record that is written once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stored {
    /// This call wrote it.
    New,
    /// It was there.
    Known,
    /// It was not written and will not be.
    Nothing,
    /// It may be there, or come to be there.
    Unsure,
}

impl From<Stored> for ErrandEnd {
    fn from(stored: Stored) -> Self {
        match stored {
            Stored::New | Stored::Known => Self::Stored,
            Stored::Nothing => Self::NotStored,
            Stored::Unsure => Self::Unsure,
        }
    }
}

/// Writes a record unless it exists; a lost answer is settled by the same write again.
async fn store_once(shared: &Shared, key: String, value: bytes::Bytes, deadline_ms: u64) -> Stored {
    let mut is_unsure = false;
    let mut tries = 0;
    loop {
        let put =
            Put { key: key.clone(), value: value.clone(), expect: Expect::Absent, lease: None };
        let left_ms = deadline_ms.saturating_sub(clock::now_ms());
        let writing = store::put(&*shared.store, put, Priority::Record);
        let limit = Duration::from_millis(left_ms);
        let result = match async_std::future::timeout(limit, writing).await {
            Ok(result) => result,
            Err(_) => Err(StoreError::Lost("the caller's time is over".to_owned())),
        };
        watch::note(shared, "record", &result);
        match result {
            Ok(PutOutcome::Written(_)) => return Stored::New,
            // A try whose answer was lost may have written it: nobody else announces it then.
            Ok(PutOutcome::Conflict(_)) if is_unsure => return Stored::New,
            Ok(PutOutcome::Conflict(_)) => return Stored::Known,
            Err(error) if error.is_certain() => tries += 1,
            Err(_) => is_unsure = true,
        }
        let is_late = clock::now_ms() + RETRY_MS >= deadline_ms;
        if is_unsure && is_late {
            return Stored::Unsure;
        }
        if !is_unsure && (is_late || tries >= CERTAIN_TRIES) {
            return Stored::Nothing;
        }
        task::sleep(Duration::from_millis(RETRY_MS)).await;
    }
}

async fn count(shared: &Shared, queue: &Queue) -> Result<Response, ApiError> {
    match peer::ask_pending(shared, &queue.name).await {
        Ok(jobs) => Ok(json(callers::encode_pending(jobs))),
        Err(error) => {
            decision_log::line("count_unknown")
                .with("queue", &queue.name)
                .with("error", &error)
                .end();
            let error = ApiError::new(503, "leader_away", error.to_string());
            Err(error.with_retry_after_ms(RETRY_AFTER_MS))
        }
    }
}

async fn state(shared: &Shared, id: JobId) -> Result<Response, ApiError> {
    if let Some(state) = shared.final_state(id) {
        return Ok(json(callers::encode_state(state)));
    }
    let found = find_state(shared, id).await;
    let (state, source) = match found {
        Ok(Some(found)) => found,
        Ok(None) => return Err(no_such_job()),
        Err(error) => match peer::send_errand(shared, &Errand::State(id)).await {
            ErrandEnd::State(state) => (state, "another host"),
            ErrandEnd::NoJob => return Err(no_such_job()),
            _ => return Err(error),
        },
    };
    decision_log::line("state_told")
        .with("job", id)
        .with("state", format_args!("{state:?}"))
        .with("source", source)
        .end();
    if state.is_final() {
        shared.note_final(id, state);
    }
    Ok(json(callers::encode_state(state)))
}

/// State of a job and who knows it: the leader, or else the store.
async fn find_state(
    shared: &Shared,
    id: JobId,
) -> Result<Option<(JobState, &'static str)>, ApiError> {
    if let Ok(Some(state)) = peer::ask_state(shared, id).await {
        return Ok(Some((state, "leader")));
    }
    Ok(stored_state(shared, id).await?.map(|state| (state, "store")))
}

/// State of a job from its records; `None` if there are none.
async fn stored_state(shared: &Shared, id: JobId) -> Result<Option<JobState>, ApiError> {
    let progress = read(shared, record::progress_key(id)).await?;
    if let Some(entry) = progress {
        let progress: Result<Progress, _> = rpc::decode(&entry.value);
        return match progress {
            Ok(progress) => Ok(Some(progress.state)),
            Err(error) => {
                decision_log::line("progress_unreadable")
                    .with("job", id)
                    .with("error", error)
                    .end();
                Err(ApiError::new(503, "unreadable", "the progress of the job cannot be read"))
            }
        };
    }
    let job = read(shared, record::job_key(id)).await?;
    Ok(job.map(|_| JobState::Queued))
}

async fn read(shared: &Shared, key: String) -> Result<Option<store::Entry>, ApiError> {
    if shared.is_store_away() {
        return Err(store_away());
    }
    let result = store::get(&*shared.store, key, Priority::Record).await;
    watch::note(shared, "get", &result);
    result.map_err(|error| {
        let error = ApiError::new(503, "store_away", error.to_string());
        error.with_retry_after_ms(RETRY_AFTER_MS)
    })
}

async fn cancel(shared: &Arc<Shared>, id: JobId) -> Result<Response, ApiError> {
    let deadline_ms = clock::now_ms() + DEFAULT_DEADLINE_MS - ANSWER_MARGIN_MS;
    let end = if shared.is_store_away() {
        peer::send_errand(shared, &Errand::Cancel(id)).await
    } else {
        keep_cancel(shared, id, deadline_ms).await
    };
    decision_log::line("job_cancelled")
        .with("job", id)
        .with("outcome", format_args!("{end:?}"))
        .end();
    stored_response(end)
}

fn json(body: Vec<u8>) -> Response {
    Response::builder(StatusCode::Ok).content_type("application/json").body(body).build()
}
