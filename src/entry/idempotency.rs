//! Idempotency keys at an entry host: asks the holder of a key's ledger for permission before a
//! request is sent, and reports the end of the run to it.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use futures_lite::future;

use crate::clock;
use crate::collections::stable_hash;
use crate::http::rpc::{self, Call, RpcError};
use crate::ledger::holder::{self, HolderRecord};
use crate::ledger::{Begin, BeginResult, Claim, End, Ticket};
use crate::outcome::Reason;

use super::message::{Input, RequestResult, SubmittedRequest};
use super::peer::{self, BeginRequest, EndRequest, PeerAnswer};
use super::routing::CallerGone;
use super::{deadline, Shared};

/// Longest time for which one call waits for a result, in milliseconds.
const MAX_CALL_WAIT_MS: u64 = 1_000;

/// Pause before the holder is looked up and called again, in milliseconds.
const HOLDER_RETRY_MS: u64 = 50;

/// Attempts to report the end of a run to the holder.
const END_TRIES: u32 = 40;

/// Time past the deadline for which a holder waits for the end of a run, in milliseconds.
const END_GRACE_MS: u64 = 2_000;

/// Permission of a ledger to send a request once. [`Grant::end`] must report its end.
#[derive(Debug)]
pub(super) struct Grant {
    zone: String,
    key: String,
    claim: Claim,
}

impl Grant {
    /// Reports the end of the run to the holder in the background, so that the caller need not
    /// wait.
    pub(super) fn end(self, shared: &Arc<Shared>, result: &RequestResult) {
        let Self { zone, key, claim } = self;
        let answer = PeerAnswer::new(result);
        let request = EndRequest { zone, end: End { key, claim, answer } };
        report_end(shared, request);
    }
}

/// Waits until the key is recorded and the request may be sent. The error is the result for the
/// caller if the request is not to run here.
pub(super) async fn begin(
    shared: &Arc<Shared>,
    submitted: &SubmittedRequest,
    gone: &CallerGone,
) -> Result<Grant, RequestResult> {
    let key = format!("{}/{}", submitted.service, submitted.key);
    let declared = shared.declared();
    let zones = declared.zones.iter().map(String::as_str);
    let Some(zone) = holder::home_zone(zones, &key).map(str::to_owned) else {
        return Err(RequestResult::not_run(Reason::LedgerAway));
    };
    let give_up_ms = deadline(shared.config.ledger.holder_wait_ms).min(submitted.deadline_ms);
    let mut request = KeyRequest { shared, submitted, zone, key, abandoned: Vec::new() };
    loop {
        let claim = Claim(rand::random());
        let result = request.ask_holder(claim, gone).await;
        match result {
            Some(BeginResult::Granted) if gone.is_empty() => {
                return Ok(Grant { zone: request.zone, key: request.key, claim });
            }
            Some(BeginResult::Ended(answer)) => return Err(answer.into_result()),
            Some(BeginResult::InDoubt) => return Err(RequestResult::unknown(Reason::KeyInDoubt)),
            Some(BeginResult::Mismatch) => return Err(RequestResult::not_run(Reason::KeyReused)),
            _ => request.abandoned.push(claim),
        }
        if let Some(result) = request.give_up(result.as_ref(), give_up_ms, gone) {
            request.withdraw();
            return Err(result);
        }
        task::sleep(Duration::from_millis(HOLDER_RETRY_MS)).await;
    }
}

/// A request that asks for permission to run under its key.
struct KeyRequest<'a> {
    shared: &'a Arc<Shared>,
    submitted: &'a SubmittedRequest,
    zone: String,
    key: String,
    /// Attempts whose result did not arrive or was not a grant.
    abandoned: Vec<Claim>,
}

impl KeyRequest<'_> {
    /// Asks the holder once; `None` if it is unknown, did not answer, or the caller disconnected.
    async fn ask_holder(&self, claim: Claim, gone: &CallerGone) -> Option<BeginResult> {
        let left_ms = self.submitted.deadline_ms.saturating_sub(clock::now_ms());
        let request = BeginRequest {
            zone: self.zone.clone(),
            key: self.key.clone(),
            digest: stable_hash(&self.submitted.body),
            claim,
            abandoned: self.abandoned.clone(),
            deadline_in_ms: left_ms,
            wait_ms: left_ms.min(MAX_CALL_WAIT_MS),
        };
        let holder = current_holder(self.shared, &self.zone)?;
        if holder.name == self.shared.config.name {
            return Some(begin_here(self.shared, request, gone).await);
        }
        let call = Call {
            address: &holder.address,
            path: peer::BEGIN_PATH,
            token: &self.shared.config.token,
            timeout_ms: request.wait_ms + self.shared.config.peers.call_timeout_ms,
        };
        let answered = async {
            let answer: Result<BeginResult, RpcError> =
                rpc::call(&self.shared.peers, &call, &request).await;
            answer.ok()
        };
        let cancelled = async {
            if gone.recv().await.is_err() {
                future::pending::<()>().await;
            }
            None
        };
        future::or(answered, cancelled).await
    }

    /// Result for the caller if asking again is of no use; `None` to ask again.
    fn give_up(
        &self,
        result: Option<&BeginResult>,
        give_up_ms: u64,
        gone: &CallerGone,
    ) -> Option<RequestResult> {
        let now_ms = clock::now_ms();
        if !gone.is_empty() {
            return Some(RequestResult::not_run(Reason::Cancelled));
        }
        let is_store_away = !self.shared.mirror.snapshot().is_current;
        match result {
            Some(BeginResult::Running) if now_ms < self.submitted.deadline_ms => None,
            Some(BeginResult::Running) => Some(RequestResult::unknown(Reason::KeyInDoubt)),
            Some(BeginResult::Away) => Some(RequestResult::not_run(Reason::LedgerAway)),
            _ if now_ms >= give_up_ms || is_store_away => {
                Some(RequestResult::not_run(Reason::LedgerAway))
            }
            _ => None,
        }
    }

    /// Tells the holder that none of the abandoned attempts will run.
    fn withdraw(&self) {
        let answer = PeerAnswer::new(&RequestResult::not_run(Reason::LedgerAway));
        for claim in &self.abandoned {
            let end = End { key: self.key.clone(), claim: *claim, answer: answer.clone() };
            report_end(self.shared, EndRequest { zone: self.zone.clone(), end });
        }
    }
}

/// Holder of a zone's ledger, according to the local copy of the store.
fn current_holder(shared: &Shared, zone: &str) -> Option<HolderRecord> {
    let snapshot = shared.mirror.snapshot();
    let entry = snapshot.entries.get(&holder::holder_key(zone))?;
    serde_json::from_slice(&entry.value).ok()
}

/// Asks the ledger held by this host. The result is `Running` if none arrives within `wait_ms` or
/// the caller disconnects.
pub(super) async fn begin_here(
    shared: &Shared,
    request: BeginRequest,
    gone: &CallerGone,
) -> BeginResult {
    let ticket = Ticket(shared.next_request.fetch_add(1, Ordering::Relaxed));
    let zone = request.zone;
    let begin = Begin {
        ticket,
        key: request.key,
        digest: request.digest,
        claim: request.claim,
        abandoned: request.abandoned,
        until_ms: deadline(request.deadline_in_ms + END_GRACE_MS),
    };
    let (sender, result) = async_channel::bounded(1);
    shared.control.send(Input::BeginKey { zone: zone.clone(), begin, reply_to: sender });
    let answered = async { result.recv().await.ok() };
    let waited = async {
        let limit = Duration::from_millis(request.wait_ms);
        let _ = async_std::future::timeout(limit, gone.recv()).await;
        None
    };
    match future::or(answered, waited).await {
        Some(result) => result,
        None => {
            shared.control.send(Input::AbandonKey { zone, ticket });
            BeginResult::Running
        }
    }
}

/// Reports the end of a run to the ledger held by this host; returns whether this host holds it.
pub(super) async fn end_here(shared: &Shared, request: EndRequest) -> bool {
    let EndRequest { zone, end } = request;
    let is_held = shared.control.ask(|is_held| Input::EndKey { zone, end, is_held }).await;
    is_held.unwrap_or(false)
}

/// Reports the end of a run to the holder in a task. A shutdown waits for the task.
fn report_end(shared: &Arc<Shared>, request: EndRequest) {
    let shared = Arc::clone(shared);
    shared.unreported_ends.fetch_add(1, Ordering::AcqRel);
    task::spawn(async move {
        for _ in 0..END_TRIES {
            if send_end(&shared, &request).await {
                break;
            }
            task::sleep(Duration::from_millis(HOLDER_RETRY_MS)).await;
        }
        shared.unreported_ends.fetch_sub(1, Ordering::AcqRel);
    });
}

/// Sends the end of a run to the current holder; returns whether the holder accepted it.
async fn send_end(shared: &Shared, request: &EndRequest) -> bool {
    let Some(holder) = current_holder(shared, &request.zone) else { return false };
    if holder.name == shared.config.name {
        return end_here(shared, request.clone()).await;
    }
    let call = Call {
        address: &holder.address,
        path: peer::END_PATH,
        token: &shared.config.token,
        timeout_ms: shared.config.peers.call_timeout_ms,
    };
    rpc::call(&shared.peers, &call, request).await.unwrap_or(false)
}
