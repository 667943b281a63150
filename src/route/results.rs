//! Takes in how sends ended: learns from them, retries or gives up.

use rand::RngExt as _;

use super::endpoint::Endpoint;
use super::message::{Action, EndpointKey, RequestKey, SendResult};
use super::pool::EjectLimits;
use super::request::{Request, Stage};
use super::timers::Timer;
use super::Dispatcher;
use crate::outcome::Reason;

/// Run time, as a multiple of the usual tail, after which a request has certainly ended or is lost.
const HOLD_TAILS: f64 = 2.0;

impl Dispatcher {
    /// Takes in the end of a send.
    pub(super) fn end(
        &mut self,
        key: RequestKey,
        endpoint: EndpointKey,
        result: SendResult,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&key).copied() else { return };
        let Stage::Running { endpoint: sent_to, sent_at_ms, is_long } = request.stage else {
            return;
        };
        if sent_to != endpoint {
            return;
        }
        let Some(at) = self.service_index.get(&request.submission.service).copied() else { return };
        let service = &mut self.services[at];
        service.in_flight -= 1;
        service.long_in_flight -= u32::from(is_long);
        service.kinds.stop(request.submission.kind);
        if matches!(result, SendResult::Lost { .. }) {
            self.hold_slot(at, endpoint, &request, sent_at_ms, now_ms);
        }
        self.services[at].pool.update(endpoint, now_ms, Endpoint::release);
        self.forget_if_gone(at, endpoint);
        if self.is_telling(at, &request, sent_at_ms, result, now_ms) {
            self.judge(at, endpoint, result, now_ms);
        }
        self.settle(at, &request, result, now_ms, out);
        self.note_stranded(at, now_ms, out);
        self.dispatch(at, now_ms, out);
    }

    /// Puts a request back into its queue after its backoff.
    pub(super) fn retry(
        &mut self,
        key: RequestKey,
        attempt: u32,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&key) else { return };
        if request.stage != Stage::BackingOff || request.tries != attempt {
            return;
        }
        let submission = request.submission;
        let Some(at) = self.service_index.get(&submission.service).copied() else { return };
        self.enqueue(at, key, 0.0, now_ms);
        self.timers.push(submission.deadline_ms, Timer::Expire(key));
        self.dispatch(at, now_ms, out);
    }

    /// Holds the slot of a lost request for as long as it may still run.
    fn hold_slot(
        &mut self,
        at: usize,
        endpoint: EndpointKey,
        request: &Request,
        sent_at_ms: u64,
        now_ms: u64,
    ) {
        let service = &mut self.services[at];
        let tail_ms = service.kinds.estimate(request.submission.kind).tail_ms;
        let usual_end_ms = sent_at_ms + (tail_ms * HOLD_TAILS) as u64;
        let until_ms = usual_end_ms.max(now_ms + tail_ms as u64);
        let until_ms = until_ms.min(now_ms + self.config.lost_hold_ms);
        service.pool.update(endpoint, now_ms, |state| state.hold(until_ms, now_ms));
        self.timers.push(until_ms, Timer::Refresh(endpoint));
    }

    /// Whether the end of a send says something about the endpoint.
    ///
    /// A send that was broken off here, or whose deadline passed before even
    /// a usual run would have ended, does not.
    fn is_telling(
        &self,
        at: usize,
        request: &Request,
        sent_at_ms: u64,
        result: SendResult,
        now_ms: u64,
    ) -> bool {
        let SendResult::Lost { reason } = result else { return true };
        match reason {
            Reason::Cancelled | Reason::Draining => false,
            Reason::TimedOut => {
                let usual_ms = self.services[at].kinds.estimate(request.submission.kind).tail_ms;
                let elapsed_ms = now_ms.saturating_sub(sent_at_ms) as f64;
                elapsed_ms >= usual_ms * HOLD_TAILS
            }
            _ => !request.is_cancelled,
        }
    }

    /// Learns about the endpoint and the pool.
    fn judge(&mut self, at: usize, endpoint: EndpointKey, result: SendResult, now_ms: u64) {
        let limits = EjectLimits {
            eject_after: self.config.eject_after,
            max_ejected_millis: self.config.max_ejected_millis,
        };
        let is_success = matches!(result, SendResult::Done { .. });
        let is_fault = !is_success && result != SendResult::DoneFailed;
        let service = &mut self.services[at];
        if let Some(until_ms) = service.circuit.record(is_fault, now_ms) {
            self.timers.push(until_ms, Timer::Circuit(service.key));
        }
        if service.pool.record(endpoint, is_success, limits, now_ms) {
            self.eject(at, endpoint, now_ms);
        }
    }

    /// Decides what becomes of the request.
    fn settle(
        &mut self,
        at: usize,
        request: &Request,
        result: SendResult,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let key = request.submission.request;
        match result {
            SendResult::Done { ran_ms } => {
                self.services[at].kinds.record(request.submission.kind, ran_ms);
                self.requests.remove(&key);
            }
            SendResult::DoneFailed => {
                self.requests.remove(&key);
            }
            SendResult::Declined => self.try_again(at, request, Reason::Declined, now_ms, out),
            SendResult::NotSent => self.try_again(at, request, Reason::NoEndpoint, now_ms, out),
            SendResult::Lost { reason } => {
                if let Some(known) = self.requests.get_mut(&key) {
                    known.may_have_run = Some(reason);
                }
                if request.submission.is_idempotent {
                    self.try_again(at, request, reason, now_ms, out);
                } else {
                    self.finish(key, reason, 0, out);
                }
            }
        }
    }

    /// Lets a request back off, or ends it with `reason` if it can't be tried again.
    fn try_again(
        &mut self,
        at: usize,
        request: &Request,
        reason: Reason,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let key = request.submission.request;
        if request.is_cancelled {
            self.finish(key, Reason::Cancelled, 0, out);
            return;
        }
        let backoff_ms = self.backoff_ms(request.tries);
        let is_in_time = now_ms + backoff_ms < request.submission.deadline_ms;
        if request.tries >= self.config.max_tries || !is_in_time {
            let retry_after_ms = self.jittered(0);
            self.finish(key, reason, retry_after_ms, out);
            return;
        }
        if !self.services[at].budget.take() {
            let retry_after_ms = self.jittered(0);
            self.finish(key, Reason::NoRetryLeft, retry_after_ms, out);
            return;
        }
        if let Some(known) = self.requests.get_mut(&key) {
            known.stage = Stage::BackingOff;
        }
        self.timers.push(now_ms + backoff_ms, Timer::Retry(key, request.tries));
    }

    fn backoff_ms(&mut self, tries: u32) -> u64 {
        const MAX_DOUBLINGS: u32 = 10;
        let doublings = tries.saturating_sub(1).min(MAX_DOUBLINGS);
        let backoff_ms = self.config.retry_backoff_ms << doublings;
        backoff_ms / 2 + self.rng.random_range(0..=backoff_ms)
    }
}
