//! Idempotency keys as an entry host handles them: asks the holder of the key's ledger before a
//! request is sent, and tells it the end.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use futures_lite::future;

use crate::clock;
use crate::collections::stable_hash;
use crate::http::rpc::{self, Call, RpcError};
use crate::ledger::seat::{self, Holder};
use crate::ledger::{Begin, Claim, End, KeyVerdict, Ticket};
use crate::outcome::Reason;

use super::journey::Gone;
use super::message::{Input, Submitted, Verdict};
use super::peer::{self, BeginRequest, EndRequest, PeerAnswer};
use super::{deadline, Shared};

/// Longest wait of one call for a verdict, in milliseconds.
const WAIT_MS: u64 = 1_000;

/// Pause before the holder is looked up again, in milliseconds.
const LOOK_AGAIN_MS: u64 = 50;

/// Tries to tell the holder the end of a run.
const END_TRIES: u32 = 40;

/// Time past the deadline for which a holder waits for the end of a run, in milliseconds.
const END_GRACE_MS: u64 = 2_000;

/// The right to run a request once.
#[derive(Debug)]
pub(super) struct Grant {
    zone: String,
    key: String,
    claim: Claim,
}

impl Grant {
    /// Tells the holder how the run ended, without making the caller wait.
    pub(super) fn end(self, shared: &Arc<Shared>, verdict: &Verdict) {
        let Self { zone, key, claim } = self;
        let answer = PeerAnswer::new(verdict);
        let request = EndRequest { zone, end: End { key, claim, answer } };
        tell_end(shared, request);
    }
}

/// Waits until the request is recorded and may run; or tells how it ended without running here.
pub(super) async fn begin(
    shared: &Arc<Shared>,
    submitted: &Submitted,
    gone: &Gone,
) -> Result<Grant, Verdict> {
    let key = format!("{}/{}", submitted.service, submitted.key);
    let declared = shared.declared();
    let zones = declared.zones.iter().map(String::as_str);
    let Some(zone) = seat::home_zone(zones, &key).map(str::to_owned) else {
        return Err(Verdict::not_run(Reason::LedgerAway));
    };
    let give_up_ms = deadline(shared.config.ledger.holder_wait_ms).min(submitted.deadline_ms);
    let mut asking = Asking { shared, submitted, zone, key, abandoned: Vec::new() };
    loop {
        let claim = Claim(rand::random());
        let verdict = asking.ask(claim, gone).await;
        match verdict {
            Some(KeyVerdict::Granted) if gone.is_empty() => {
                return Ok(Grant { zone: asking.zone, key: asking.key, claim });
            }
            Some(KeyVerdict::Ended(answer)) => return Err(answer.into_verdict()),
            Some(KeyVerdict::InDoubt) => return Err(Verdict::unknown(Reason::KeyInDoubt)),
            Some(KeyVerdict::Mismatch) => return Err(Verdict::not_run(Reason::KeyReused)),
            _ => asking.abandoned.push(claim),
        }
        if let Some(verdict) = asking.give_up(verdict.as_ref(), give_up_ms, gone) {
            asking.take_back();
            return Err(verdict);
        }
        task::sleep(Duration::from_millis(LOOK_AGAIN_MS)).await;
    }
}

/// A request that asks for its key.
struct Asking<'a> {
    shared: &'a Arc<Shared>,
    submitted: &'a Submitted,
    zone: String,
    key: String,
    abandoned: Vec<Claim>,
}

impl Asking<'_> {
    /// Asks the holder once; nothing if it gave no verdict.
    async fn ask(&self, claim: Claim, gone: &Gone) -> Option<KeyVerdict> {
        let left_ms = self.submitted.deadline_ms.saturating_sub(clock::now_ms());
        let request = BeginRequest {
            zone: self.zone.clone(),
            key: self.key.clone(),
            digest: stable_hash(&self.submitted.body),
            claim,
            abandoned: self.abandoned.clone(),
            deadline_in_ms: left_ms,
            wait_ms: left_ms.min(WAIT_MS),
        };
        let holder = holder(self.shared, &self.zone)?;
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
            let answer: Result<KeyVerdict, RpcError> =
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

    /// What the caller is told if there is no use in asking again.
    fn give_up(
        &self,
        verdict: Option<&KeyVerdict>,
        give_up_ms: u64,
        gone: &Gone,
    ) -> Option<Verdict> {
        let now_ms = clock::now_ms();
        if !gone.is_empty() {
            return Some(Verdict::not_run(Reason::Cancelled));
        }
        let is_store_away = !self.shared.mirror.snapshot().is_current;
        match verdict {
            Some(KeyVerdict::Running) if now_ms < self.submitted.deadline_ms => None,
            Some(KeyVerdict::Running) => Some(Verdict::unknown(Reason::KeyInDoubt)),
            Some(KeyVerdict::Away) => Some(Verdict::not_run(Reason::LedgerAway)),
            _ if now_ms >= give_up_ms || is_store_away => {
                Some(Verdict::not_run(Reason::LedgerAway))
            }
            _ => None,
        }
    }

    /// Tells the holder that none of the submissions will run.
    fn take_back(&self) {
        let answer = PeerAnswer::new(&Verdict::not_run(Reason::LedgerAway));
        for claim in &self.abandoned {
            let end = End { key: self.key.clone(), claim: *claim, answer: answer.clone() };
            tell_end(self.shared, EndRequest { zone: self.zone.clone(), end });
        }
    }
}

/// The holder of a zone's ledger, as far as the store's copy tells.
fn holder(shared: &Shared, zone: &str) -> Option<Holder> {
    let snapshot = shared.mirror.snapshot();
    let entry = snapshot.entries.get(&seat::holder_key(zone))?;
    serde_json::from_slice(&entry.value).ok()
}

/// Asks the ledger that this host holds.
pub(super) async fn begin_here(shared: &Shared, request: BeginRequest, gone: &Gone) -> KeyVerdict {
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
    let (sender, verdict) = async_channel::bounded(1);
    shared.control.send(Input::BeginKey { zone: zone.clone(), begin, verdict: sender });
    let answered = async { verdict.recv().await.ok() };
    let waited = async {
        let limit = Duration::from_millis(request.wait_ms);
        let _ = async_std::future::timeout(limit, gone.recv()).await;
        None
    };
    match future::or(answered, waited).await {
        Some(verdict) => verdict,
        None => {
            shared.control.send(Input::AbandonKey { zone, ticket });
            KeyVerdict::Running
        }
    }
}

/// Tells the ledger that this host holds how a run ended; whether it holds it.
pub(super) async fn end_here(shared: &Shared, request: EndRequest) -> bool {
    let EndRequest { zone, end } = request;
    let told = shared.control.ask(|is_held| Input::EndKey { zone, end, is_held }).await;
    told.unwrap_or(false)
}

/// Tells the holder how a run ended, in a task that a shutdown waits for.
fn tell_end(shared: &Arc<Shared>, request: EndRequest) {
    let shared = Arc::clone(shared);
    shared.open_ends.fetch_add(1, Ordering::AcqRel);
    task::spawn(async move {
        for _ in 0..END_TRIES {
            if try_end(&shared, &request).await {
                break;
            }
            task::sleep(Duration::from_millis(LOOK_AGAIN_MS)).await;
        }
        shared.open_ends.fetch_sub(1, Ordering::AcqRel);
    });
}

async fn try_end(shared: &Shared, request: &EndRequest) -> bool {
    let Some(holder) = holder(shared, &request.zone) else { return false };
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
