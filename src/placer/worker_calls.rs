//! Calls to workers: one on its way to each, everything else waits and goes with the next.

use std::sync::mpsc::Sender;

use async_std::task;

use crate::collections::HashMap;
use crate::http::client::Pool;
use crate::http::rpc::{self, Call};
use crate::inventory::WorkerKey;
use crate::place::message::WorkerReport;
use crate::placer::message::{CallFailure, CompletedCall, Message};
use crate::placer::wire::{self, ReportUpdate, WorkerCall};

/// Most calls that begin in one turn; the others follow in the next, so that the renewals of a whole
/// zone do not open their connections at once.
const CALLS_PER_TURN: usize = 32;

/// Pause before what a failed call carried is sent again, in milliseconds.
const RETRY_MS: u64 = 1_000;

/// First pause after a start or an end until the worker is asked again, in milliseconds; it doubles
/// until [`LAST_POLL_MS`], then the renewals are enough.
const FIRST_POLL_MS: u64 = 500;

/// Longest pause between two polls, in milliseconds.
const LAST_POLL_MS: u64 = 2_000;

/// Where and how workers are called.
#[derive(Clone, Debug)]
pub(crate) struct WorkerClient {
    pub(crate) pool: Pool,
    pub(crate) token: String,
    pub(crate) timeout_ms: u64,
    pub(crate) messages: Sender<Message>,
}

/// The calls of one holder.
#[derive(Debug, Default)]
pub(crate) struct WorkerCalls {
    queues: HashMap<WorkerKey, WorkerQueue>,
    /// Workers with something to send.
    due: Vec<WorkerKey>,
}

#[derive(Debug, Default)]
struct WorkerQueue {
    outbox: WorkerCall,
    /// Last report with its number.
    report: Option<(u64, WorkerReport)>,
    is_busy: bool,
    is_due: bool,
    /// Time before which nothing is sent after a failed call, in milliseconds.
    not_before_ms: u64,
    /// When the worker is asked for a report again, and the pause before that.
    poll: Option<(u64, u64)>,
}

impl WorkerCalls {
    /// The call that goes to `worker` next.
    pub(crate) fn outbox(&mut self, worker: WorkerKey) -> &mut WorkerCall {
        let queue = self.queues.entry(worker).or_default();
        if !queue.is_due {
            queue.is_due = true;
            self.due.push(worker);
        }
        &mut queue.outbox
    }

    /// The call to `worker` ended; the next may go.
    pub(crate) fn call_ended(&mut self, worker: WorkerKey) {
        let Some(queue) = self.queues.get_mut(&worker) else { return };
        queue.is_busy = false;
        if !queue.outbox.is_empty() && !queue.is_due {
            queue.is_due = true;
            self.due.push(worker);
        }
    }

    /// Something began or ended on the worker: more is likely to end soon.
    pub(crate) fn note_activity(&mut self, worker: WorkerKey, now_ms: u64) {
        if let Some(queue) = self.queues.get_mut(&worker) {
            queue.poll = Some((now_ms + FIRST_POLL_MS, FIRST_POLL_MS));
        }
    }

    /// Asks the workers for reports on which something began or ended lately.
    pub(crate) fn poll(&mut self, now_ms: u64) {
        for (worker, queue) in &mut self.queues {
            let Some((at_ms, pause_ms)) = queue.poll.filter(|(at_ms, _)| *at_ms <= now_ms) else {
                continue;
            };
            let next_ms = pause_ms * 2;
            queue.poll = (next_ms <= LAST_POLL_MS).then_some((at_ms + next_ms, next_ms));
            queue.outbox.wants_report = true;
            if !queue.is_due {
                queue.is_due = true;
                self.due.push(*worker);
            }
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
        if let Some(queue) = self.queues.get_mut(&worker) {
            queue.not_before_ms = now_ms + RETRY_MS;
        }
    }

    /// Takes the calls that can go now.
    pub(crate) fn take_due(&mut self, now_ms: u64) -> Vec<(WorkerKey, WorkerCall)> {
        let mut calls = Vec::new();
        let mut later = Vec::new();
        for worker in std::mem::take(&mut self.due) {
            let Some(queue) = self.queues.get_mut(&worker) else { continue };
            if calls.len() >= CALLS_PER_TURN || now_ms < queue.not_before_ms {
                later.push(worker);
                continue;
            }
            queue.is_due = false;
            if queue.is_busy || queue.outbox.is_empty() {
                continue;
            }
            queue.is_busy = true;
            let known_report = queue.report.as_ref().map_or(0, |(number, _)| *number);
            calls.push((worker, WorkerCall { known_report, ..std::mem::take(&mut queue.outbox) }));
        }
        self.due = later;
        calls
    }

    /// Whether more calls could go at once.
    pub(crate) fn has_ready(&self, now_ms: u64) -> bool {
        self.due.iter().any(|worker| {
            let queue = self.queues.get(worker);
            queue.is_some_and(|queue| !queue.is_busy && now_ms >= queue.not_before_ms)
        })
    }

    /// The whole report after an update; none when the update is of a report that is not here, and
    /// then the next call asks for all.
    pub(crate) fn apply_update(
        &mut self,
        worker: WorkerKey,
        update: ReportUpdate,
    ) -> Option<WorkerReport> {
        let queue = self.queues.get_mut(&worker)?;
        let number = update.number;
        let report = update.apply(queue.report.take());
        queue.report = report.clone().map(|report| (number, report));
        if report.is_none() {
            self.outbox(worker).wants_report = true;
        }
        report
    }
}

impl WorkerClient {
    /// Sends a call; its end comes as a message.
    pub(crate) fn send(&self, address: String, worker: WorkerKey, call: WorkerCall) {
        let client = self.clone();
        task::spawn(async move {
            let result = client.call(&address, &call).await;
            let completed = CompletedCall { epoch: call.epoch, worker, call, result };
            let _ = client.messages.send(Message::CallCompleted(Box::new(completed)));
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
