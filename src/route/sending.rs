//! Sending of queued requests to endpoints with free slots.

use super::endpoint::Endpoint;
use super::estimate::Class;
use super::message::{Action, EndpointKey, RequestKey};
use super::request::Stage;
use super::timers::Timer;
use super::Dispatcher;
use crate::outcome::Reason;

impl Dispatcher {
    /// Sends queued requests of a service until its slots or its queues are used up.
    pub(super) fn dispatch(&mut self, index: usize, now_ms: u64, out: &mut Vec<Action>) {
        loop {
            let service = &mut self.services[index];
            let Some(class) = service.next_class() else { return };
            if !service.circuit.may_send(service.in_flight, now_ms) {
                return;
            }
            let Some(key) = service.queue_mut(class).pop(now_ms) else { return };
            if let Some(reason) = self.lateness_reason(index, key, now_ms) {
                let retry_after_ms = self.jittered(0);
                self.finish(key, reason, retry_after_ms, out);
                continue;
            }
            let last_endpoint = self.requests.get(&key).and_then(|request| request.last_endpoint);
            let Some(endpoint) = self.pick_endpoint(index, last_endpoint) else { return };
            self.send(index, key, endpoint, now_ms, out);
        }
    }

    /// Counts a running request as long work once it exceeds the limit of short work.
    pub(super) fn mark_long(&mut self, key: RequestKey, attempt: u32, now_ms: u64) {
        let Some(request) = self.requests.get_mut(&key) else { return };
        let Stage::Running { sent_at_ms, is_long, .. } = &mut request.stage else { return };
        if *is_long || request.tries != attempt {
            return;
        }
        *is_long = true;
        let elapsed_ms = (now_ms - *sent_at_ms) as f64;
        let submission = request.submission;
        let Some(index) = self.service_indices.get(&submission.service) else { return };
        let service = &mut self.services[*index];
        service.long_in_flight += 1;
        service.kinds.record_overrun(submission.kind, elapsed_ms);
    }

    fn pick_endpoint(&mut self, index: usize, avoid: Option<EndpointKey>) -> Option<EndpointKey> {
        let is_full_policy = self.is_full_policy();
        let pool = &mut self.services[index].pool;
        if is_full_policy {
            pool.pick_least_loaded(avoid, &mut self.rng)
        } else {
            pool.pick_round_robin()
        }
    }

    /// Reason not to send a request because of its deadline; `None` if it should be sent.
    fn lateness_reason(&self, index: usize, key: RequestKey, now_ms: u64) -> Option<Reason> {
        let submission = &self.requests.get(&key)?.submission;
        if submission.deadline_ms <= now_ms {
            return Some(Reason::Expired);
        }
        let service = &self.services[index];
        let kinds = &service.kinds;
        let estimate = kinds.estimate(submission.kind);
        let is_contended = service.queued() > service.pool.free() as usize;
        let required_ms = if is_contended { estimate.p90_ms } else { estimate.mean_ms };
        let left_ms = (submission.deadline_ms - now_ms) as f64;
        let is_hopeless = required_ms > left_ms && !kinds.is_idle(submission.kind);
        (is_hopeless && self.is_full_policy()).then_some(Reason::DeadlineTooClose)
    }

    fn send(
        &mut self,
        index: usize,
        key: RequestKey,
        endpoint: EndpointKey,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&key) else { return };
        let service = &mut self.services[index];
        let is_long = request.class == Class::Long;
        request.stage = Stage::Running { endpoint, sent_at_ms: now_ms, is_long };
        request.tries += 1;
        request.last_endpoint = Some(endpoint);
        let kind = request.submission.kind;
        service.in_flight += 1;
        service.long_in_flight += u32::from(is_long);
        service.kinds.record_start(kind);
        service.pool.update(endpoint, now_ms, Endpoint::acquire_slot);
        if !is_long {
            let due_ms = now_ms + service.kinds.long_after_ms(kind) as u64;
            self.timers.push(due_ms, Timer::LongRun(key, request.tries));
        }
        out.push(Action::Send { request: key, endpoint });
    }
}
