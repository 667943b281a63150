//! Routes one request: to the dispatcher of this host, or one hop on to a peer.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use futures_lite::future;

use crate::clock;
use crate::http::rpc::{self, Call, RpcError};
use crate::http::server::CallerConnection;
use crate::outcome::{Outcome, Reason};
use crate::route::RequestKey;

use super::message::{Input, RequestResult, SubmittedRequest};
use super::peer::{self, PeerAnswer, PeerRequest};
use super::{deadline, idempotency, Shared};

/// Peers that may fail to take a request before it has to stay at this host.
const MAX_PEERS: u32 = 2;

/// Pause before a request whose endpoints moved to another host is tried again, in milliseconds.
const MOVED_PAUSE_MS: u64 = 100;

/// Time past the deadline for which the answer of a peer is awaited, in milliseconds.
const PEER_GRACE_MS: u64 = 500;

/// Receives a message when the caller disconnects.
pub(super) type CallerGone = async_channel::Receiver<()>;

/// Runs the future that `start` returns to its end in a task, also if the caller disconnects. The
/// future is notified of that through [`CallerGone`].
pub(super) async fn with_caller<T, Fut>(
    link: Option<CallerConnection>,
    start: impl FnOnce(CallerGone) -> Fut,
) -> T
where
    T: Send + 'static,
    Fut: std::future::Future<Output = T> + Send + 'static,
{
    let (sender, gone) = async_channel::bounded(1);
    let mut running = task::spawn(start(gone));
    let watched = async {
        match link {
            Some(link) => link.closed().await,
            None => future::pending().await,
        }
        let _ = sender.try_send(());
        future::pending::<T>().await
    };
    future::or(&mut running, watched).await
}

/// Runs a request to its end. If it is not idempotent, its key is recorded first.
pub(super) async fn run(
    shared: &Arc<Shared>,
    submitted: SubmittedRequest,
    gone: &CallerGone,
) -> RequestResult {
    if submitted.is_idempotent {
        return dispatch(shared, submitted, gone).await;
    }
    let grant = match idempotency::begin(shared, &submitted, gone).await {
        Ok(grant) => grant,
        Err(result) => return result,
    };
    let result = dispatch(shared, submitted, gone).await;
    grant.end(shared, &result);
    result
}

/// Dispatches a request at this host or a peer and waits for its end.
///
/// If endpoints moved after the request was accepted, it is not refused for that but tried again
/// until half of the time to its deadline has passed.
pub(super) async fn dispatch(
    shared: &Shared,
    submitted: SubmittedRequest,
    gone: &CallerGone,
) -> RequestResult {
    let left_ms = submitted.deadline_ms.saturating_sub(clock::now_ms());
    let give_up_ms = deadline(left_ms / 2);
    let mut submitted = Arc::new(submitted);
    let mut failed_peers = 0;
    let mut may_have_run = false;
    loop {
        let result = dispatch_here(shared, Arc::clone(&submitted), gone).await;
        let result = match result {
            RequestResult::Forward { peer, address } => {
                shared.metrics.request_forwarded();
                match forward(shared, &submitted, &address, gone).await {
                    ForwardResult::Ended(result) => result,
                    ForwardResult::NotTaken { is_certain } => {
                        may_have_run |= !is_certain;
                        shared.control.send(Input::PeerFailed(peer));
                        failed_peers += 1;
                        let changed = Arc::make_mut(&mut submitted);
                        changed.is_forwarded = failed_peers >= MAX_PEERS;
                        continue;
                    }
                }
            }
            result => result,
        };
        let has_moved = failed_peers > 0 || shared.is_draining();
        let may_wait = gone.is_empty() && clock::now_ms() < give_up_ms;
        if !(has_moved && may_wait && is_early_refusal(&result)) {
            return without_false_not_run(result, may_have_run);
        }
        task::sleep(Duration::from_millis(MOVED_PAUSE_MS)).await;
    }
}

/// Whether the request was refused before it was queued.
fn is_early_refusal(result: &RequestResult) -> bool {
    matches!(
        result,
        RequestResult::Ended {
            outcome: Outcome::NotRun,
            reason: Reason::DeadlineTooClose | Reason::QueueFull,
            ..
        }
    )
}

/// Replaces `not_run` by `unknown` if a peer may have run the request.
fn without_false_not_run(result: RequestResult, may_have_run: bool) -> RequestResult {
    match result {
        RequestResult::Ended { outcome: Outcome::NotRun, .. } if may_have_run => {
            RequestResult::unknown(Reason::ConnectionLost)
        }
        result => result,
    }
}

/// Dispatches a request at this host; cancels it if the caller disconnects.
async fn dispatch_here(
    shared: &Shared,
    submitted: Arc<SubmittedRequest>,
    gone: &CallerGone,
) -> RequestResult {
    let request = RequestKey(shared.next_request.fetch_add(1, Ordering::Relaxed));
    let (sender, result) = async_channel::bounded(1);
    shared.control.send(Input::Submit { submitted, reply_to: sender, request });
    let ended = async { Some(result.recv().await) };
    let cancelled = async {
        if gone.recv().await.is_err() {
            future::pending::<()>().await;
        }
        None
    };
    let ended = match future::or(ended, cancelled).await {
        Some(ended) => ended,
        None => {
            shared.control.send(Input::Cancel(request));
            result.recv().await
        }
    };
    ended.unwrap_or_else(|_| RequestResult::unknown(Reason::Draining))
}

/// Whether the peer certainly did not run the request, only because it has no endpoint for it now.
fn lost_its_endpoints(answer: &PeerAnswer) -> bool {
    matches!(
        answer,
        PeerAnswer::Ended {
            outcome: Outcome::NotRun,
            reason: Reason::NoEndpoint | Reason::Draining,
            ..
        }
    )
}

/// Result of forwarding a request to a peer.
enum ForwardResult {
    /// The peer answered.
    Ended(RequestResult),
    /// The peer did not answer, or has no endpoint. `is_certain` if it certainly did not run the
    /// request.
    NotTaken { is_certain: bool },
}

async fn forward(
    shared: &Shared,
    submitted: &SubmittedRequest,
    address: &str,
    gone: &CallerGone,
) -> ForwardResult {
    let left_ms = submitted.deadline_ms.saturating_sub(clock::now_ms());
    let call = Call {
        address,
        path: peer::REQUESTS_PATH,
        token: &shared.config.token,
        timeout_ms: left_ms + PEER_GRACE_MS,
    };
    let body = PeerRequest::new(submitted);
    let answered = async {
        let answer: Result<PeerAnswer, RpcError> = rpc::call(&shared.peers, &call, &body).await;
        Some(answer)
    };
    let cancelled = async {
        if gone.recv().await.is_err() {
            future::pending::<()>().await;
        }
        None
    };
    match future::or(answered, cancelled).await {
        Some(Ok(answer)) if lost_its_endpoints(&answer) => {
            ForwardResult::NotTaken { is_certain: true }
        }
        Some(Ok(answer)) => ForwardResult::Ended(answer.into_result()),
        Some(Err(error)) if error.is_not_executed() => ForwardResult::NotTaken { is_certain: true },
        Some(Err(_)) if submitted.is_idempotent => ForwardResult::NotTaken { is_certain: false },
        Some(Err(_)) => ForwardResult::Ended(RequestResult::unknown(Reason::ConnectionLost)),
        // The peer notices that the connection is closed; it may have sent the request already.
        None => ForwardResult::Ended(RequestResult::unknown(Reason::Cancelled)),
    }
}
