//! Results of sends: updates estimates and health, then completes, retries or fails the request.

use rand::RngExt as _;

use super::endpoint::Endpoint;
use super::message::{Action, EndpointKey, RequestKey, SendResult};
use super::pool::EjectionLimits;
use super::request::{Request, Stage};
use super::timers::Timer;
use super::Dispatcher;
use crate::outcome::Reason;

/// Multiple of the 99th percentile of the run time after which a request has ended or is lost.
const LOST_AFTER_P99S: f64 = 2.0;

impl Dispatcher {
    /// Handles the end of a send.
    pub(super) fn handle_send_end(
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
        let Some(index) = self.service_indices.get(&request.submission.service).copied() else {
            return;
        };
        let service = &mut self.services[index];
        service.in_flight -= 1;
        service.long_in_flight -= u32::from(is_long);
        service.kinds.record_end(request.submission.kind);
        if matches!(result, SendResult::Lost { .. }) {
            self.hold_slot(index, endpoint, &request, sent_at_ms, now_ms);
        }
        self.services[index].pool.update(endpoint, now_ms, Endpoint::release_slot);
        self.remove_if_drained(index, endpoint);
        if self.counts_for_health(index, &request, sent_at_ms, result, now_ms) {
            self.record_health(index, endpoint, result, now_ms);
        }
        self.complete_or_retry(index, &request, result, now_ms, out);
        self.check_for_usable_slots(index, now_ms, out);
        self.dispatch(index, now_ms, out);
    }

    /// Puts a request back into its queue after its backoff; `attempt` is its number of sends.
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
        let Some(index) = self.service_indices.get(&submission.service).copied() else { return };
        self.enqueue(index, key, 0.0, now_ms);
        self.timers.push(submission.deadline_ms, Timer::Deadline(key));
        self.dispatch(index, now_ms, out);
    }

    /// Holds back the slot of a lost request for as long as the request may still run.
    fn hold_slot(
        &mut self,
        index: usize,
        endpoint: EndpointKey,
        request: &Request,
        sent_at_ms: u64,
        now_ms: u64,
    ) {
        let service = &mut self.services[index];
        let p99_ms = service.kinds.estimate(request.submission.kind).p99_ms;
        let expected_end_ms = sent_at_ms + (p99_ms * LOST_AFTER_P99S) as u64;
        let until_ms = expected_end_ms.max(now_ms + p99_ms as u64);
        let until_ms = until_ms.min(now_ms + self.config.lost_hold_ms);
        service.pool.update(endpoint, now_ms, |state| state.hold_slot(until_ms, now_ms));
        self.timers.push(until_ms, Timer::SlotsFreed(endpoint));
    }

    /// Whether the result of a send counts for the health of the endpoint.
    ///
    /// A send that was aborted by this host does not, nor does one whose deadline
    /// passed too early for a typical run to end.
    fn counts_for_health(
        &self,
        index: usize,
        request: &Request,
        sent_at_ms: u64,
        result: SendResult,
        now_ms: u64,
    ) -> bool {
        let SendResult::Lost { reason } = result else { return true };
        match reason {
            Reason::Cancelled | Reason::Draining => false,
            Reason::TimedOut => {
                let p99_ms = self.services[index].kinds.estimate(request.submission.kind).p99_ms;
                let elapsed_ms = now_ms.saturating_sub(sent_at_ms) as f64;
                elapsed_ms >= p99_ms * LOST_AFTER_P99S
            }
            _ => !request.is_cancelled,
        }
    }

    /// Records a result, which may open the circuit or eject the endpoint.
    fn record_health(
        &mut self,
        index: usize,
        endpoint: EndpointKey,
        result: SendResult,
        now_ms: u64,
    ) {
        let limits = EjectionLimits {
            max_consecutive_failures: self.config.eject_after,
            max_ejected_millis: self.config.max_ejected_millis,
        };
        let is_success = matches!(result, SendResult::Done { .. });
        let is_fault = !is_success && result != SendResult::ServerError;
        let service = &mut self.services[index];
        if let Some(until_ms) = service.circuit.record(is_fault, now_ms) {
            self.timers.push(until_ms, Timer::CircuitHalfOpen(service.key));
        }
        if service.pool.record(endpoint, is_success, limits, now_ms) {
            self.eject(index, endpoint, now_ms);
        }
    }

    /// Completes, retries or fails a request by the result of its send.
    fn complete_or_retry(
        &mut self,
        index: usize,
        request: &Request,
        result: SendResult,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let key = request.submission.request;
        match result {
            SendResult::Done { ran_ms } => {
                self.services[index].kinds.record_run(request.submission.kind, ran_ms);
                self.requests.remove(&key);
            }
            SendResult::ServerError => {
                self.requests.remove(&key);
            }
            SendResult::Declined => {
                self.retry_or_finish(index, request, Reason::Declined, now_ms, out);
            }
            SendResult::NotSent => {
                self.retry_or_finish(index, request, Reason::NoEndpoint, now_ms, out);
            }
            SendResult::Lost { reason } => {
                if let Some(known) = self.requests.get_mut(&key) {
                    known.may_have_run = Some(reason);
                }
                if request.submission.is_idempotent {
                    self.retry_or_finish(index, request, reason, now_ms, out);
                } else {
                    self.finish(key, reason, 0, out);
                }
            }
        }
    }

    /// Schedules a retry after a backoff, or ends the request with `reason` if it can't be retried.
    fn retry_or_finish(
        &mut self,
        index: usize,
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
        if !self.services[index].budget.try_withdraw() {
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
