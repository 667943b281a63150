//! Calls to workers: one on its way to each, everything else waits and goes with the next.

use std::sync::mpsc::Sender;

use async_std::task;

use crate::collections::HashMap;
use crate::http::client::Pool;
use crate::http::rpc::{self, Call};
use crate::inventory::WorkerKey;
use crate::place::message::WorkerReport;
use crate::placer::message::{CallFailure, Called, Message};
use crate::placer::wire::{self, ReportUpdate, WorkerCall};

/// Most calls that begin in one turn; the others follow in the next, so that the renewals of a whole
/// zone do not open their connections at once.
const CALLS_PER_TURN: usize = 32;

/// Pause before what a failed call carried is sent again, in milliseconds.
const RETRY_MS: u64 = 1_000;

/// Where and how workers are called.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) pool: Pool,
    pub(crate) token: String,
    pub(crate) timeout_ms: u64,
    pub(crate) results: Sender<Message>,
}

/// The calls of one holder.
#[derive(Debug, Default)]
pub(crate) struct Links {
    links: HashMap<WorkerKey, Link>,
    /// Workers with something to send.
    due: Vec<WorkerKey>,
}

#[derive(Debug, Default)]
struct Link {
    outbox: WorkerCall,
    /// Last report with its number.
    report: Option<(u64, WorkerReport)>,
    is_busy: bool,
    is_due: bool,
    /// Time before which nothing is sent after a failed call, in milliseconds.
    not_before_ms: u64,
}

impl Links {
    /// The call that goes to `worker` next.
    pub(crate) fn outbox(&mut self, worker: WorkerKey) -> &mut WorkerCall {
        let link = self.links.entry(worker).or_default();
        if !link.is_due {
            link.is_due = true;
            self.due.push(worker);
        }
        &mut link.outbox
    }

    /// The call to `worker` ended; the next may go.
    pub(crate) fn ended(&mut self, worker: WorkerKey) {
        let Some(link) = self.links.get_mut(&worker) else { return };
        link.is_busy = false;
        if !link.outbox.is_empty() && !link.is_due {
            link.is_due = true;
            self.due.push(worker);
        }
    }

    /// Sends again, after a pause, what a failed call carried, but for its starts. All of it is
    /// idempotent, and a renewal lengthens no lease beyond its token.
    pub(crate) fn retry(&mut self, worker: WorkerKey, call: &WorkerCall, now_ms: u64) {
        let outbox = self.outbox(worker);
        outbox.barrier = outbox.barrier.max(call.barrier);
        outbox.renew_token_ms = outbox.renew_token_ms.max(call.renew_token_ms);
        outbox.wants_report |= call.wants_report;
        outbox.forget.extend(&call.forget);
        outbox.stops.extend(&call.stops);
        if let Some(link) = self.links.get_mut(&worker) {
            link.not_before_ms = now_ms + RETRY_MS;
        }
    }

    /// Takes the calls that can go now.
    pub(crate) fn take_due(&mut self, now_ms: u64) -> Vec<(WorkerKey, WorkerCall)> {
        let mut calls = Vec::new();
        let mut later = Vec::new();
        for worker in std::mem::take(&mut self.due) {
            let Some(link) = self.links.get_mut(&worker) else { continue };
            if calls.len() >= CALLS_PER_TURN || now_ms < link.not_before_ms {
                later.push(worker);
                continue;
            }
            link.is_due = false;
            if link.is_busy || link.outbox.is_empty() {
                continue;
            }
            link.is_busy = true;
            let known_report = link.report.as_ref().map_or(0, |(number, _)| *number);
            calls.push((worker, WorkerCall { known_report, ..std::mem::take(&mut link.outbox) }));
        }
        self.due = later;
        calls
    }

    /// Whether more calls could go at once.
    pub(crate) fn has_more(&self, now_ms: u64) -> bool {
        self.due.iter().any(|worker| {
            let link = self.links.get(worker);
            link.is_some_and(|link| !link.is_busy && now_ms >= link.not_before_ms)
        })
    }

    /// The whole report after an update; none when the update is of a report that is not here, and
    /// then the next call asks for all.
    pub(crate) fn updated(
        &mut self,
        worker: WorkerKey,
        update: ReportUpdate,
    ) -> Option<WorkerReport> {
        let link = self.links.get_mut(&worker)?;
        let number = update.number;
        let report = update.apply(link.report.take());
        link.report = report.clone().map(|report| (number, report));
        if report.is_none() {
            self.outbox(worker).wants_report = true;
        }
        report
    }
}

impl Caller {
    /// Sends a call; its end comes as a message.
    pub(crate) fn send(&self, address: String, worker: WorkerKey, call: WorkerCall) {
        let caller = self.clone();
        task::spawn(async move {
            let result = caller.call(&address, &call).await;
            let called = Called { epoch: call.epoch, worker, call, result };
            let _ = caller.results.send(Message::Called(Box::new(called)));
        });
    }

    async fn call(
        &self,
        address: &str,
        call: &WorkerCall,
    ) -> Result<wire::WorkerAnswer, CallFailure> {
        let rpc_call =
            Call { address, path: wire::PATH, token: &self.token, timeout_ms: self.timeout_ms };
        rpc::call(&self.pool, &rpc_call, call).await.map_err(|error| match error.is_certain() {
            true => CallFailure::NoEffect(error.to_string()),
            false => CallFailure::Lost(error.to_string()),
        })
    }
}
