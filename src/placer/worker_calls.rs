//! Batching of calls to workers: at most one call to each worker is in flight, and further commands
//! are queued for the next.

use std::sync::mpsc::Sender;

use async_std::task;

use crate::collections::HashMap;
use crate::http::client::Pool;
use crate::http::rpc::{self, Call};
use crate::inventory::WorkerKey;
use crate::place::message::WorkerReport;
use crate::placer::message::{CallFailure, CompletedCall, Message};
use crate::placer::wire::{self, ReportUpdate, WorkerCall};

/// Most calls that are sent in one turn of the control thread; the rest is sent in the next turns,
/// so that the renewals of a whole zone do not open all their connections at the same time.
const MAX_CALLS_PER_TURN: usize = 32;

/// Delay before the commands of a failed call are sent again, in milliseconds.
const RETRY_MS: u64 = 1_000;

/// Delay of the first poll of a worker after a task started or ended on it, in milliseconds. The
/// delay doubles up to [`MAX_POLL_DELAY_MS`]; after that the lease renewals deliver reports often
/// enough.
const FIRST_POLL_DELAY_MS: u64 = 500;

/// Longest delay between two polls of a worker, in milliseconds.
const MAX_POLL_DELAY_MS: u64 = 2_000;

/// Client for calls to workers.
#[derive(Clone, Debug)]
pub(crate) struct WorkerClient {
    pub(crate) pool: Pool,
    pub(crate) token: String,
    pub(crate) timeout_ms: u64,
    /// Receives [`Message::CallCompleted`] for each call.
    pub(crate) messages: Sender<Message>,
}

/// Queued and in-flight calls to the workers of the zone.
#[derive(Debug, Default)]
pub(crate) struct WorkerCalls {
    queues: HashMap<WorkerKey, WorkerQueue>,
    /// Workers with queued commands, each at most once.
    due: Vec<WorkerKey>,
}

/// Queued commands, call in flight and polling state of one worker.
#[derive(Debug, Default)]
struct WorkerQueue {
    /// Commands for the next call.
    outbox: WorkerCall,
    /// Number and content of the last report.
    report: Option<(u64, WorkerReport)>,
    /// Whether a call is in flight.
    is_busy: bool,
    /// Whether the worker is in `WorkerCalls::due`.
    is_due: bool,
    /// Time before which no call is sent, set after a failed call, in milliseconds.
    not_before_ms: u64,
    /// Time of the next poll and the delay that led to it, both in milliseconds.
    poll: Option<(u64, u64)>,
}

impl WorkerCalls {
    /// The next call to `worker`, to which commands can be added.
    pub(crate) fn outbox(&mut self, worker: WorkerKey) -> &mut WorkerCall {
        let queue = self.queues.entry(worker).or_default();
        if !queue.is_due {
            queue.is_due = true;
            self.due.push(worker);
        }
        &mut queue.outbox
    }

    /// Notes that the call to `worker` ended, so that the next one can be sent.
    pub(crate) fn call_ended(&mut self, worker: WorkerKey) {
        let Some(queue) = self.queues.get_mut(&worker) else { return };
        queue.is_busy = false;
        if !queue.outbox.is_empty() && !queue.is_due {
            queue.is_due = true;
            self.due.push(worker);
        }
    }

    /// Notes that a task started or ended on the worker, and polls it soon, as more tasks are
    /// likely to end.
    pub(crate) fn note_activity(&mut self, worker: WorkerKey, now_ms: u64) {
        if let Some(queue) = self.queues.get_mut(&worker) {
            queue.poll = Some((now_ms + FIRST_POLL_DELAY_MS, FIRST_POLL_DELAY_MS));
        }
    }

    /// Requests reports from the workers on which a task started or ended lately.
    pub(crate) fn poll(&mut self, now_ms: u64) {
        for (worker, queue) in &mut self.queues {
            let Some((at_ms, delay_ms)) = queue.poll.filter(|(at_ms, _)| *at_ms <= now_ms) else {
                continue;
            };
            let next_ms = delay_ms * 2;
            queue.poll = (next_ms <= MAX_POLL_DELAY_MS).then_some((at_ms + next_ms, next_ms));
            queue.outbox.wants_report = true;
            if !queue.is_due {
                queue.is_due = true;
                self.due.push(*worker);
            }
        }
    }

    /// Queues the commands of a failed call again, except its starts. The commands are idempotent,
    /// and a renewal that is sent twice extends no lease beyond its token plus the lease duration.
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

    /// Takes the calls that can be sent now.
    pub(crate) fn take_due(&mut self, now_ms: u64) -> Vec<(WorkerKey, WorkerCall)> {
        let mut calls = Vec::new();
        let mut later = Vec::new();
        for worker in std::mem::take(&mut self.due) {
            let Some(queue) = self.queues.get_mut(&worker) else { continue };
            if calls.len() >= MAX_CALLS_PER_TURN || now_ms < queue.not_before_ms {
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

    /// Whether another call could be sent immediately.
    pub(crate) fn has_ready(&self, now_ms: u64) -> bool {
        self.due.iter().any(|worker| {
            let queue = self.queues.get(worker);
            queue.is_some_and(|queue| !queue.is_busy && now_ms >= queue.not_before_ms)
        })
    }

    /// Applies an update to the last report of `worker` and returns the full report. Returns
    /// `None`, and requests a full report with the next call, if the base of the update is not
    /// known here.
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
    /// Sends a call in the background; its result arrives as [`Message::CallCompleted`].
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
        rpc::call(&self.pool, &rpc_call, call).await.map_err(|error| {
            match error.is_not_executed() {
                true => CallFailure::NoEffect(error.to_string()),
                false => CallFailure::Lost(error.to_string()),
            }
        })
    }
}
