//! Sends queued requests to free slots.

use super::endpoint::Endpoint;
use super::estimate::Class;
use super::message::{Action, EndpointKey, RequestKey};
use super::request::Stage;
use super::timers::Timer;
use super::Dispatcher;
use crate::outcome::Reason;

impl Dispatcher {
    /// Sends as many requests of a service as slots allow.
    pub(super) fn dispatch(&mut self, at: usize, now_ms: u64, out: &mut Vec<Action>) {
        loop {
            let service = &mut self.services[at];
            let Some(class) = service.next_class() else { return };
            if !service.circuit.may_send(service.in_flight, now_ms) {
                return;
            }
            let Some(key) = service.queue_mut(class).pop(now_ms) else { return };
            if let Some(reason) = self.is_too_late(at, key, now_ms) {
                let retry_after_ms = self.jittered(0);
                self.finish(key, reason, retry_after_ms, out);
                continue;
            }
            let last = self.requests.get(&key).and_then(|request| request.last);
            let Some(endpoint) = self.pick(at, last) else { return };
            self.send(at, key, endpoint, now_ms, out);
        }
    }

    /// Counts a running request as long once it has outlived its estimate.
    pub(super) fn outlive(&mut self, key: RequestKey, attempt: u32, now_ms: u64) {
        let Some(request) = self.requests.get_mut(&key) else { return };
        let Stage::Running { sent_at_ms, is_long, .. } = &mut request.stage else { return };
        if *is_long || request.tries != attempt {
            return;
        }
        *is_long = true;
        let elapsed_ms = (now_ms - *sent_at_ms) as f64;
        let submission = request.submission;
        let Some(at) = self.service_index.get(&submission.service) else { return };
        let service = &mut self.services[*at];
        service.long_in_flight += 1;
        service.kinds.outlive(submission.kind, elapsed_ms);
    }

    fn pick(&mut self, at: usize, avoid: Option<EndpointKey>) -> Option<EndpointKey> {
        let is_full_policy = self.is_full_policy();
        let pool = &mut self.services[at].pool;
        if is_full_policy {
            pool.pick(avoid, &mut self.rng)
        } else {
            pool.pick_in_turn()
        }
    }

    /// Why a request is no longer worth a slot, if so.
    fn is_too_late(&self, at: usize, key: RequestKey, now_ms: u64) -> Option<Reason> {
        let submission = &self.requests.get(&key)?.submission;
        if submission.deadline_ms <= now_ms {
            return Some(Reason::Expired);
        }
        let service = &self.services[at];
        let kinds = &service.kinds;
        let estimate = kinds.estimate(submission.kind);
        let has_others = service.queued() > service.pool.free() as usize;
        let needed_ms = if has_others { estimate.usual_ms } else { estimate.mean_ms };
        let left_ms = (submission.deadline_ms - now_ms) as f64;
        let is_hopeless = needed_ms > left_ms && !kinds.is_idle(submission.kind);
        (is_hopeless && self.is_full_policy()).then_some(Reason::DeadlineTooClose)
    }

    fn send(
        &mut self,
        at: usize,
        key: RequestKey,
        endpoint: EndpointKey,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&key) else { return };
        let service = &mut self.services[at];
        let is_long = request.class == Class::Long;
        request.stage = Stage::Running { endpoint, sent_at_ms: now_ms, is_long };
        request.tries += 1;
        request.last = Some(endpoint);
        let kind = request.submission.kind;
        service.in_flight += 1;
        service.long_in_flight += u32::from(is_long);
        service.kinds.start(kind);
        service.pool.update(endpoint, now_ms, Endpoint::take);
        if !is_long {
            let due_ms = now_ms + service.kinds.outlive_ms(kind) as u64;
            self.timers.push(due_ms, Timer::Outlive(key, request.tries));
        }
        out.push(Action::Send { request: key, endpoint });
    }
}
