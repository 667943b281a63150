//! The way of one request through this host: to its dispatcher here, or one hop to a peer.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use futures_lite::future;

use crate::clock;
use crate::http::rpc::{self, Call, RpcError};
use crate::http::server::CallerLink;
use crate::outcome::{Outcome, Reason};
use crate::route::RequestKey;

use super::message::{Input, Submitted, Verdict};
use super::peer::{self, PeerAnswer, PeerRequest};
use super::{deadline, keys, Shared};

/// Peers that are tried before a request stays here.
const MAX_PEERS: u32 = 2;

/// Pause before a request whose endpoints moved is tried again, in milliseconds.
const MOVED_PAUSE_MS: u64 = 100;

/// Time past the deadline for a peer's answer to arrive, in milliseconds.
const PEER_GRACE_MS: u64 = 500;

/// Becomes readable when the caller has gone.
pub(super) type Gone = async_channel::Receiver<()>;

/// Runs `journey` to its end, also when the caller goes away; the journey is told of that.
pub(super) async fn with_caller<T, Journey>(
    link: Option<CallerLink>,
    journey: impl FnOnce(Gone) -> Journey,
) -> T
where
    T: Send + 'static,
    Journey: std::future::Future<Output = T> + Send + 'static,
{
    let (sender, gone) = async_channel::bounded(1);
    let mut journey = task::spawn(journey(gone));
    let watched = async {
        match link {
            Some(link) => link.closed().await,
            None => future::pending().await,
        }
        let _ = sender.try_send(());
        future::pending::<T>().await
    };
    future::or(&mut journey, watched).await
}

/// Runs a request to its end: under its key if it may run only once.
pub(super) async fn run(shared: &Arc<Shared>, submitted: Submitted, gone: &Gone) -> Verdict {
    if submitted.is_idempotent {
        return dispatch(shared, submitted, gone).await;
    }
    let grant = match keys::begin(shared, &submitted, gone).await {
        Ok(grant) => grant,
        Err(verdict) => return verdict,
    };
    let verdict = dispatch(shared, submitted, gone).await;
    grant.end(shared, &verdict);
    verdict
}

/// Dispatches a request here or at a peer, and waits for its end.
///
/// A request that a host had accepted before its endpoints moved is not refused
/// for that: it is tried again for half of its time.
pub(super) async fn dispatch(shared: &Shared, submitted: Submitted, gone: &Gone) -> Verdict {
    let left_ms = submitted.deadline_ms.saturating_sub(clock::now_ms());
    let give_up_ms = deadline(left_ms / 2);
    let mut submitted = Arc::new(submitted);
    let mut failed_peers = 0;
    let mut may_have_run = false;
    loop {
        let verdict = dispatch_here(shared, Arc::clone(&submitted), gone).await;
        let verdict = match verdict {
            Verdict::Forward { peer, address } => {
                shared.metrics.forwarded();
                match hand_over(shared, &submitted, &address, gone).await {
                    Handed::Ended(verdict) => verdict,
                    Handed::NotTaken { is_certain } => {
                        may_have_run |= !is_certain;
                        shared.control.send(Input::PeerFailed(peer));
                        failed_peers += 1;
                        let changed = Arc::make_mut(&mut submitted);
                        changed.is_forwarded = failed_peers >= MAX_PEERS;
                        continue;
                    }
                }
            }
            verdict => verdict,
        };
        let has_moved = failed_peers > 0 || shared.is_draining();
        let may_wait = gone.is_empty() && clock::now_ms() < give_up_ms;
        if !(has_moved && may_wait && is_early_refusal(&verdict)) {
            return truthful(verdict, may_have_run);
        }
        task::sleep(Duration::from_millis(MOVED_PAUSE_MS)).await;
    }
}

/// Whether the request was refused before it waited.
fn is_early_refusal(verdict: &Verdict) -> bool {
    matches!(
        verdict,
        Verdict::Ended {
            outcome: Outcome::NotRun,
            reason: Reason::DeadlineTooClose | Reason::QueueFull,
            ..
        }
    )
}

/// The verdict, but never `not_run` once a peer may have run the request.
fn truthful(verdict: Verdict, may_have_run: bool) -> Verdict {
    match verdict {
        Verdict::Ended { outcome: Outcome::NotRun, .. } if may_have_run => {
            Verdict::unknown(Reason::ConnectionLost)
        }
        verdict => verdict,
    }
}

async fn dispatch_here(shared: &Shared, submitted: Arc<Submitted>, gone: &Gone) -> Verdict {
    let request = RequestKey(shared.next_request.fetch_add(1, Ordering::Relaxed));
    let (sender, verdict) = async_channel::bounded(1);
    shared.control.send(Input::Submit { submitted, verdict: sender, request });
    let ended = async { Some(verdict.recv().await) };
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
            verdict.recv().await
        }
    };
    ended.unwrap_or_else(|_| Verdict::unknown(Reason::Draining))
}

/// Whether the peer certainly did not run it, and only because it dispatches to no endpoint now.
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

enum Handed {
    Ended(Verdict),
    /// The peer gave no answer of its own; `is_certain` if it certainly did not run the request.
    NotTaken {
        is_certain: bool,
    },
}

async fn hand_over(shared: &Shared, submitted: &Submitted, address: &str, gone: &Gone) -> Handed {
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
        Some(Ok(answer)) if lost_its_endpoints(&answer) => Handed::NotTaken { is_certain: true },
        Some(Ok(answer)) => Handed::Ended(answer.into_verdict()),
        Some(Err(error)) if error.is_certain() => Handed::NotTaken { is_certain: true },
        Some(Err(_)) if submitted.is_idempotent => Handed::NotTaken { is_certain: false },
        Some(Err(_)) => Handed::Ended(Verdict::unknown(Reason::ConnectionLost)),
        // Closing the connection tells the peer; it may have sent the request before.
        None => Handed::Ended(Verdict::unknown(Reason::Cancelled)),
    }
}
