//! The HTTP API for callers: submitting and cancelling jobs, reading their state, counting the
//! pending jobs of a queue.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use futures_lite::future;
use http_types::headers::HeaderValue;
use http_types::{Method, StatusCode};
use tide::{Request, Response};

use crate::clock;
use crate::configs::http::HttpConfig;
use crate::decision_log;
use crate::http::error::ApiError;
use crate::http::rpc;
use crate::http::server::{self, CallerConnection};
use crate::place::spec;
use crate::platform::callers::{self, DecodedSubmission};
use crate::queue::authentication::{self, RefusedKey};
use crate::queue::host_state::HostState;
use crate::queue::model::{JobId, JobState, Queue, QueueDirectory, Submission};
use crate::queue::peer::{self, PeerError, RelayOutcome, RelayRequest};
use crate::queue::record::{self, Progress};
use crate::queue::watch;
use crate::queue::workspaces::JobOwner;
use crate::store::{self, Commit, CommitOutcome, Expect, Priority, StoreError};

/// Deadline of requests without a deadline header, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 3_000;

/// Part of a caller's deadline that is reserved for the answer to arrive, in milliseconds.
const ANSWER_MARGIN_MS: u64 = 150;

/// Pause between two attempts to write a record, in milliseconds.
const RETRY_MS: u64 = 60;

/// Retry-After of answers that fail because the store or the leader is unavailable, in
/// milliseconds: outages last for seconds, and a caller that retries at once uses up its attempts.
const RETRY_AFTER_MS: u64 = 2_000;

/// Attempts that are known to have had no effect, after which a write fails and the caller should
/// try another host.
const MAX_FAILED_WRITES: u32 = 3;

/// The HTTP application that serves callers.
pub fn app(shared: Arc<HostState>) -> tide::Server<Arc<HostState>> {
    let mut app = tide::with_state(shared);
    app.at("/").all(handle);
    app.at("/*").all(handle);
    app
}

async fn handle(mut request: Request<Arc<HostState>>) -> tide::Result {
    let begun_us = clock::now_us();
    let shared = Arc::clone(request.state());
    let kind = match request.method() {
        Method::Post => "submit",
        Method::Get => "get",
        Method::Delete => "cancel",
        _ => "other",
    };
    let routed = route(&shared, &mut request).await;
    let mut response = routed.unwrap_or_else(|error| error.to_response());
    // The server discards the rest of an unread body after the response, and with it a next request
    // that the caller has sent meanwhile on the same connection.
    if request.len() != Some(0) {
        response.insert_header("Connection", "close");
    }
    let status: u16 = response.status().into();
    shared.metrics.requests.with_label_values(&[kind, &status.to_string()]).inc();
    #[allow(clippy::cast_precision_loss, reason = "a latency for a histogram")]
    let seconds = clock::now_us().saturating_sub(begun_us) as f64 / 1_000_000.0;
    shared.metrics.request_seconds.with_label_values(&[kind]).observe(seconds);
    Ok(response)
}

async fn route(
    shared: &Arc<HostState>,
    request: &mut Request<Arc<HostState>>,
) -> Result<Response, ApiError> {
    let directory = shared.directory();
    if directory.version == 0 {
        let error = ApiError::new(
            503,
            "no_declarations",
            "this host has not read the operator's declarations yet",
        );
        return Err(error.with_retry_after_ms(RETRY_AFTER_MS));
    }
    let path = request.url().path().to_owned();
    let queue = matching_queue(&directory, request, &path)?.clone();
    let owner = authenticate(shared, &directory, &queue, request)?;
    let rest = path.get(queue.prefix.len()..).unwrap_or_default();
    if rest.is_empty() && request.method() == Method::Get {
        return pending_count(shared, &queue).await;
    }
    let id = JobId::parse(rest).ok_or_else(|| {
        ApiError::new(
            400,
            "bad_id",
            "expected a job id of 16 lower-case hexadecimal digits after the prefix",
        )
    })?;
    match request.method() {
        Method::Post => submit(shared, &directory, &queue, id, owner, request).await,
        Method::Get => job_state(shared, id, owner).await,
        Method::Delete => cancel(shared, id, owner).await,
        _ => Err(ApiError::new(405, "wrong_method", "expected POST, GET or DELETE")),
    }
}

/// Finds the queue that serves the request's host name and path.
fn matching_queue<'a>(
    directory: &'a QueueDirectory,
    request: &Request<Arc<HostState>>,
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
        ApiError::new(404, "no_such_queue", format!("no queue serves {name}{path}"))
    })
}

/// Determines whose jobs the request may reach, as [`authentication::authenticate`] does, and counts
/// and logs a refusal.
fn authenticate(
    shared: &HostState,
    directory: &QueueDirectory,
    queue: &Queue,
    request: &Request<Arc<HostState>>,
) -> Result<Option<JobOwner>, ApiError> {
    let headers = request.header(callers::API_KEY_HEADER);
    let keys = headers.into_iter().flatten().map(HeaderValue::as_str);
    let is_current = shared.are_keys_current();
    authentication::authenticate(directory, queue, keys, is_current).map_err(|refused| {
        shared.metrics.refused_keys.with_label_values(&[refused.reason()]).inc();
        shared.refusal_log.record(refused, &queue.name, clock::now_ms());
        match refused {
            RefusedKey::Unconfirmed => ApiError::new(503, "store_away", refused.to_string())
                .with_retry_after_ms(RETRY_AFTER_MS),
            _ => ApiError::new(401, "unknown_key", refused.to_string()),
        }
    })
}

/// Time until which the request has to be handled, in milliseconds of [`clock::now_ms`].
fn deadline_ms(request: &Request<Arc<HostState>>) -> u64 {
    let given = request.header(callers::DEADLINE_HEADER).map_or("", |values| values.as_str());
    let wait_ms = given.parse().unwrap_or(DEFAULT_DEADLINE_MS);
    clock::now_ms() + wait_ms.saturating_sub(ANSWER_MARGIN_MS)
}

async fn submit(
    shared: &Arc<HostState>,
    directory: &QueueDirectory,
    queue: &Queue,
    id: JobId,
    owner: Option<JobOwner>,
    request: &mut Request<Arc<HostState>>,
) -> Result<Response, ApiError> {
    let workspace = owner.as_ref().and_then(JobOwner::workspace);
    let deadline_ms = deadline_ms(request);
    let limits = HttpConfig { max_body_bytes: directory.max_body_bytes, ..HttpConfig::default() };
    let body = server::read_body(request, &limits).await?;
    let submission = match callers::decode_submission(id, &queue.name, &body, clock::unix_ms()) {
        DecodedSubmission::Job(submission) => {
            let terms = Some(Arc::new(queue.terms(directory.version)));
            Submission { workspace: workspace.clone(), terms, ..submission }
        }
        DecodedSubmission::Invalid(message) => {
            decision_log::line("job_invalid").with("job", id).with("error", &message).end();
            return Err(ApiError::new(400, "not_a_job", message));
        }
        DecodedSubmission::Repeating => {
            decision_log::line("job_refused").with("job", id).with("reason", "repeats").end();
            return Err(ApiError::new(503, "repeats", "repeating jobs are not supported"));
        }
    };
    let steps = submission.steps.len();
    let tasks: u64 = submission.steps.iter().map(|step| u64::from(step.count)).sum();
    if tasks > u64::from(spec::MAX_TASKS) {
        decision_log::line("job_refused").with("job", id).with("tasks", tasks).end();
        let message = format!("the job has {tasks} tasks, more than {}", spec::MAX_TASKS);
        return Err(ApiError::new(400, "too_many_tasks", message));
    }
    if has_caller_left(request).await {
        decision_log::line("job_dropped").with("job", id).with("reason", "caller left").end();
        return Err(ApiError::new(503, "caller_left", "the caller has left; nothing was stored"));
    }
    let (stored, by) = if shared.is_store_away() {
        (peer::relay(shared, &RelayRequest::Submit(submission)).await, "another host")
    } else {
        (store_job(shared, submission, deadline_ms).await, "this host")
    };
    line_with_workspace("job_submitted", workspace.as_deref())
        .with("job", id)
        .with("queue", &queue.name)
        .with("version", directory.version)
        .with("steps", steps)
        .with("by", by)
        .with("outcome", format_args!("{stored:?}"))
        .end();
    if stored == RelayOutcome::NoJob {
        // A job of another owner is not disclosed.
        let message = match owner {
            None => "the job was cancelled before its submission was stored",
            Some(_) => "the job was cancelled before its submission was stored, or its id is taken",
        };
        return Err(ApiError::new(410, "job_cancelled", message));
    }
    stored_response(stored)
}

/// Whether the caller has closed its connection, so that nobody would learn of the job: a request may
/// wait here for longer than its caller does while the host stands still.
async fn has_caller_left(request: &Request<Arc<HostState>>) -> bool {
    let Some(connection) = request.ext::<CallerConnection>() else { return false };
    future::poll_once(connection.closed()).await.is_some()
}

/// Begins a log line for `event`, with the workspace of the request if it has one.
fn line_with_workspace(event: &str, workspace: Option<&str>) -> decision_log::Line {
    let line = decision_log::line(event);
    match workspace {
        Some(workspace) => line.with("workspace", workspace),
        None => line,
    }
}

/// The response to a submission or cancellation.
fn stored_response(outcome: RelayOutcome) -> Result<Response, ApiError> {
    match outcome {
        RelayOutcome::Stored | RelayOutcome::State(_) => Ok(Response::new(StatusCode::Ok)),
        RelayOutcome::NotStored => Err(store_unavailable()),
        RelayOutcome::Unsure => {
            Err(ApiError::new(504, "unknown", "it is unknown whether the record was stored"))
        }
        RelayOutcome::NoJob => Err(no_such_job()),
    }
}

fn no_such_job() -> ApiError {
    ApiError::new(410, "no_such_job", "no such job")
}

/// Performs an operation for a host that cannot reach the store.
pub async fn serve_relay(shared: &Arc<HostState>, request: RelayRequest) -> RelayOutcome {
    if shared.is_store_away() {
        return RelayOutcome::NotStored;
    }
    let deadline_ms = clock::now_ms() + shared.config.store_timeout_ms;
    match request {
        RelayRequest::Submit(submission) => store_job(shared, submission, deadline_ms).await,
        RelayRequest::Cancel(id) => store_cancellation(shared, id, None, deadline_ms).await,
        RelayRequest::CancelOf(id, owner) => {
            store_cancellation(shared, id, Some(&owner), deadline_ms).await
        }
        RelayRequest::State(id) => relayed_state(shared, id, None).await,
        RelayRequest::StateOf(id, owner) => relayed_state(shared, id, Some(&owner)).await,
    }
}

async fn relayed_state(shared: &HostState, id: JobId, owner: Option<&JobOwner>) -> RelayOutcome {
    match find_state(shared, id, owner).await {
        Ok(Some((state, _))) => RelayOutcome::State(state),
        Ok(None) => RelayOutcome::NoJob,
        Err(_) => RelayOutcome::NotStored,
    }
}

/// Stores a job and announces it to the leader, unless the job has been cancelled already.
async fn store_job(
    shared: &Arc<HostState>,
    submission: Submission,
    deadline_ms: u64,
) -> RelayOutcome {
    let key = record::job_key(submission.id);
    let value = match record::encode(&submission) {
        Ok(value) => value,
        Err(error) => {
            decision_log::line("job_unwritable")
                .with("job", submission.id)
                .with("error", error)
                .end();
            return RelayOutcome::NotStored;
        }
    };
    let unless = Some(record::cancel_key(submission.id));
    let stored = create_record(shared, key, value, unless, deadline_ms).await;
    if let RecordWrite::Exists { content, .. } = &stored {
        let owner = JobOwner::from(submission.workspace.clone());
        let is_shared = submission.workspace.is_some() || has_workspaces(shared);
        if is_shared && owner_in_record(submission.id, content).ok() != Some(owner) {
            return RelayOutcome::NoJob;
        }
    }
    // No other host announces a job that an attempt without an answer has stored.
    if matches!(stored, RecordWrite::Created | RecordWrite::Exists { may_be_own: true, .. }) {
        let announcing = Arc::clone(shared);
        let id = submission.id;
        announce_in_background(id, async move {
            peer::announce_submission(&announcing, submission).await
        });
    }
    stored.into()
}

fn has_workspaces(shared: &HostState) -> bool {
    shared.directory().workspaces.is_some()
}

/// Stores the cancellation of a job, which has to belong to `owner` unless that is `None`, and
/// announces it to the leader.
///
/// It is stored for an unknown job as well: a submission that is still on its way is refused by it.
async fn store_cancellation(
    shared: &Arc<HostState>,
    id: JobId,
    owner: Option<&JobOwner>,
    deadline_ms: u64,
) -> RelayOutcome {
    let Some(owner) = owner else {
        let stored = write_cancellation(shared, id, None, deadline_ms).await;
        if !matches!(stored, RecordWrite::Created | RecordWrite::Exists { .. }) {
            return stored.into();
        }
        // The submission may have been stored since the request arrived, so that the job is looked up
        // after the write.
        return match read_record(shared, record::job_key(id)).await {
            Ok(None) => RelayOutcome::NoJob,
            Ok(Some(_)) | Err(_) => RelayOutcome::Stored,
        };
    };
    let mut is_submitted_meanwhile = false;
    let mut failed_reads = 0;
    loop {
        let unless = match stored_owner(shared, id).await {
            Ok(Some(found)) if found == *owner => None,
            Ok(Some(_)) => return RelayOutcome::NoJob,
            // The submission may be on its way, and may be another owner's.
            Ok(None) => Some(record::job_key(id)),
            Err(_) => {
                failed_reads += 1;
                let is_late = clock::now_ms() + RETRY_MS >= deadline_ms;
                if is_late || failed_reads >= MAX_FAILED_WRITES || shared.is_store_away() {
                    return RelayOutcome::NotStored;
                }
                task::sleep(Duration::from_millis(RETRY_MS)).await;
                continue;
            }
        };
        let is_known = unless.is_none();
        match write_cancellation(shared, id, unless, deadline_ms).await {
            RecordWrite::RuledOut if is_submitted_meanwhile => return RelayOutcome::NotStored,
            RecordWrite::RuledOut => is_submitted_meanwhile = true,
            RecordWrite::Created | RecordWrite::Exists { .. } if !is_known => {
                return RelayOutcome::NoJob;
            }
            stored => return stored.into(),
        }
    }
}

/// Stores the cancellation of a job unless a record with the key `unless` exists, and announces it to
/// the leader.
async fn write_cancellation(
    shared: &Arc<HostState>,
    id: JobId,
    unless: Option<String>,
    deadline_ms: u64,
) -> RecordWrite {
    let value = bytes::Bytes::from_static(b"cancel");
    let stored = create_record(shared, record::cancel_key(id), value, unless, deadline_ms).await;
    if matches!(stored, RecordWrite::Created | RecordWrite::Exists { .. }) {
        let announcing = Arc::clone(shared);
        announce_in_background(
            id,
            async move { peer::announce_cancellation(&announcing, id).await },
        );
    }
    stored
}

/// Reads whom a job belongs to from the store; `None` if the store has no record of it.
async fn stored_owner(shared: &HostState, id: JobId) -> Result<Option<JobOwner>, ApiError> {
    let job = read_record(shared, record::job_key(id)).await?;
    job.map(|entry| owner_in_record(id, &entry.value)).transpose()
}

/// Decodes whom a job belongs to from the record of its submission.
fn owner_in_record(id: JobId, bytes: &[u8]) -> Result<JobOwner, ApiError> {
    match record::decode_submission(bytes) {
        Ok(submission) => Ok(JobOwner::from(submission.workspace)),
        Err(error) => {
            decision_log::line("job_unreadable").with("job", id).with("error", error).end();
            Err(ApiError::new(503, "unreadable", "the record of the job is malformed"))
        }
    }
}

fn store_unavailable() -> ApiError {
    let error = ApiError::new(503, "store_away", "the store is unavailable; nothing was stored");
    error.with_retry_after_ms(RETRY_AFTER_MS)
}

/// Announces a record to the leader without delaying the answer to the caller. A failure is only
/// logged, because the leader also watches the records.
fn announce_in_background(
    id: JobId,
    announcement: impl Future<Output = Result<(), PeerError>> + Send + 'static,
) {
    task::spawn(async move {
        if let Err(error) = announcement.await {
            decision_log::line("announce_failed").with("job", id).with("error", error).end();
        }
    });
}

/// Outcome of creating a record.
#[derive(Clone, Debug, PartialEq, Eq)]
enum RecordWrite {
    /// This call created the record.
    Created,
    /// The record exists with this content.
    Exists {
        content: bytes::Bytes,
        /// An attempt of this call whose answer was lost may have created it.
        may_be_own: bool,
    },
    /// Another record rules this one out.
    RuledOut,
    /// The record was not written and will not be.
    NotWritten,
    /// The record may have been written, or may still be.
    Unknown,
}

impl From<RecordWrite> for RelayOutcome {
    fn from(stored: RecordWrite) -> Self {
        match stored {
            RecordWrite::Created | RecordWrite::Exists { .. } => Self::Stored,
            RecordWrite::RuledOut => Self::NoJob,
            RecordWrite::NotWritten => Self::NotStored,
            RecordWrite::Unknown => Self::Unsure,
        }
    }
}

/// Creates a record unless it exists, or a record with the key `unless` does. After a lost answer the
/// same write is repeated, which shows whether the first one took effect.
async fn create_record(
    shared: &HostState,
    key: String,
    value: bytes::Bytes,
    unless: Option<String>,
    deadline_ms: u64,
) -> RecordWrite {
    let conditions = std::iter::once(key.clone()).chain(unless);
    let commit = Commit {
        conditions: conditions.map(|key| (key, Expect::Absent)).collect(),
        puts: vec![(key.clone(), value, None)],
        deletes: Vec::new(),
    };
    let mut has_lost_answer = false;
    let mut failed_writes = 0;
    loop {
        let left_ms = deadline_ms.saturating_sub(clock::now_ms());
        let writing = store::commit(&*shared.store, commit.clone(), Priority::Interactive);
        let limit = Duration::from_millis(left_ms);
        let result = match async_std::future::timeout(limit, writing).await {
            Ok(result) => result,
            Err(_) => Err(StoreError::Indeterminate("no answer before the deadline".to_owned())),
        };
        watch::record_store_call(shared, "record", &result);
        match result {
            Ok(CommitOutcome::Written(_)) => return RecordWrite::Created,
            Ok(CommitOutcome::Conflict(entries)) => {
                let present = entries.into_iter().find(|entry| entry.key == key);
                return present.map_or(RecordWrite::RuledOut, |present| RecordWrite::Exists {
                    content: present.value,
                    may_be_own: has_lost_answer,
                });
            }
            Err(error) if error.is_not_executed() => failed_writes += 1,
            Err(_) => has_lost_answer = true,
        }
        let is_late = clock::now_ms() + RETRY_MS >= deadline_ms;
        if has_lost_answer && is_late {
            return RecordWrite::Unknown;
        }
        if !has_lost_answer && (is_late || failed_writes >= MAX_FAILED_WRITES) {
            return RecordWrite::NotWritten;
        }
        task::sleep(Duration::from_millis(RETRY_MS)).await;
    }
}

async fn pending_count(shared: &HostState, queue: &Queue) -> Result<Response, ApiError> {
    match peer::query_pending(shared, &queue.name).await {
        Ok(jobs) => Ok(json_response(callers::encode_pending(jobs))),
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

async fn job_state(
    shared: &HostState,
    id: JobId,
    owner: Option<JobOwner>,
) -> Result<Response, ApiError> {
    if let Some(state) = shared.final_state(id, owner.as_ref()) {
        return Ok(json_response(callers::encode_state(state)));
    }
    let found = find_state(shared, id, owner.as_ref()).await;
    let (state, source) = match found {
        Ok(Some(found)) => found,
        Ok(None) => return Err(no_such_job()),
        Err(error) => match peer::relay(shared, &RelayRequest::state(id, owner.clone())).await {
            RelayOutcome::State(state) => (state, "another host"),
            RelayOutcome::NoJob => return Err(no_such_job()),
            _ => return Err(error),
        },
    };
    decision_log::line("state_told")
        .with("job", id)
        .with("state", format_args!("{state:?}"))
        .with("source", source)
        .end();
    if state.is_final() {
        shared.record_final_state(id, state, owner);
    }
    Ok(json_response(callers::encode_state(state)))
}

/// Finds the state of a job, which has to belong to `owner` unless that is `None`, and names its source
/// for the log: the leader, or the store if the leader does not know the job or does not answer.
async fn find_state(
    shared: &HostState,
    id: JobId,
    owner: Option<&JobOwner>,
) -> Result<Option<(JobState, &'static str)>, ApiError> {
    if let Ok(Some((state, found))) = peer::query_state(shared, id).await {
        let Some(owner) = owner else { return Ok(Some((state, "leader"))) };
        let found = match found {
            Some(found) => Some(found),
            None => stored_owner(shared, id).await?,
        };
        return Ok((found.as_ref() == Some(owner)).then_some((state, "leader")));
    }
    Ok(stored_state(shared, id, owner).await?.map(|state| (state, "store")))
}

/// Reads the state of a job, which has to belong to `owner` unless that is `None`, from the store;
/// `None` if the store has no record of it.
async fn stored_state(
    shared: &HostState,
    id: JobId,
    owner: Option<&JobOwner>,
) -> Result<Option<JobState>, ApiError> {
    let progress = read_record(shared, record::progress_key(id)).await?;
    if let Some(owner) = owner {
        if stored_owner(shared, id).await?.as_ref() != Some(owner) {
            return Ok(None);
        }
        if progress.is_none() {
            return Ok(Some(JobState::Queued));
        }
    }
    if let Some(entry) = progress {
        let progress: Result<Progress, _> = rpc::decode(&entry.value);
        return match progress {
            Ok(progress) => Ok(Some(progress.state)),
            Err(error) => {
                decision_log::line("progress_unreadable")
                    .with("job", id)
                    .with("error", error)
                    .end();
                Err(ApiError::new(503, "unreadable", "the progress record of the job is malformed"))
            }
        };
    }
    let job = read_record(shared, record::job_key(id)).await?;
    Ok(job.map(|_| JobState::Queued))
}

async fn read_record(shared: &HostState, key: String) -> Result<Option<store::Entry>, ApiError> {
    if shared.is_store_away() {
        return Err(store_unavailable());
    }
    let result = store::get(&*shared.store, key, Priority::Interactive).await;
    watch::record_store_call(shared, "get", &result);
    result.map_err(|error| {
        let error = ApiError::new(503, "store_away", error.to_string());
        error.with_retry_after_ms(RETRY_AFTER_MS)
    })
}

async fn cancel(
    shared: &Arc<HostState>,
    id: JobId,
    owner: Option<JobOwner>,
) -> Result<Response, ApiError> {
    let workspace = owner.as_ref().and_then(JobOwner::workspace);
    let deadline_ms = clock::now_ms() + DEFAULT_DEADLINE_MS - ANSWER_MARGIN_MS;
    let end = if shared.is_store_away() {
        peer::relay(shared, &RelayRequest::cancel(id, owner)).await
    } else {
        store_cancellation(shared, id, owner.as_ref(), deadline_ms).await
    };
    line_with_workspace("job_cancelled", workspace.as_deref())
        .with("job", id)
        .with("outcome", format_args!("{end:?}"))
        .end();
    stored_response(end)
}

fn json_response(body: Vec<u8>) -> Response {
    Response::builder(StatusCode::Ok).content_type("application/json").body(body).build()
}
