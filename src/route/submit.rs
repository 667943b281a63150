//! Takes requests in: forwards, refuses or queues them, and cancels them.

use rand::RngExt as _;

use super::estimate::{Class, Estimate};
use super::message::{Action, CallerKey, RequestKey, ServiceKey, Submission};
use super::queue::Ticket;
use super::request::{Request, Stage};
use super::timers::Timer;
use super::Dispatcher;
use crate::outcome::Reason;

/// Shortest time after which another try is suggested, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// Multiple of the predicted wait that has to fit before the deadline.
const WAIT_MARGIN: f64 = 1.25;

/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1_000.0;

impl Dispatcher {
    /// Takes in a new request.
    pub(super) fn submit(&mut self, submission: Submission, now_ms: u64, out: &mut Vec<Action>) {
        let key = submission.request;
        if self.requests.contains_key(&key) {
            return;
        }
        let at = self.service_at(submission.service, now_ms);
        let is_full_policy = self.is_full_policy();
        let service = &mut self.services[at];
        let (class, estimate) = service.kinds.arrive(submission.kind, now_ms);
        let class = if is_full_policy { class } else { Class::Short };
        service.budget.earn();
        service.review(self.config.long_floor_millis, now_ms);
        self.requests.insert(key, Request::new(submission, class));
        let raw_wait_ms = self.raw_wait_ms(at, &submission, class, now_ms);
        let correction = self.services[at].queue(class).correction(submission.caller);
        let wait_ms = raw_wait_ms * correction;
        if is_full_policy && self.forward(&submission, class, wait_ms, now_ms, out) {
            return;
        }
        if let Some((reason, retry_after_ms)) = self.refusal(at, key, wait_ms, estimate, now_ms) {
            let retry_after_ms = self.jittered(retry_after_ms);
            self.finish(key, reason, retry_after_ms, out);
            return;
        }
        self.enqueue(at, key, raw_wait_ms, now_ms);
        self.dispatch(at, now_ms, out);
        let is_waiting = self.requests.get(&key).is_some_and(|known| known.stage == Stage::Queued);
        if is_waiting {
            self.timers.push(submission.deadline_ms, Timer::Expire(key));
        }
    }

    /// Puts a known request into the queue of its class.
    pub(super) fn enqueue(
        &mut self,
        at: usize,
        key: RequestKey,
        expected_wait_ms: f64,
        now_ms: u64,
    ) {
        const ONE_CALLER: CallerKey = CallerKey(0);
        let is_full_policy = self.is_full_policy();
        let Some(request) = self.requests.get_mut(&key) else { return };
        request.stage = Stage::Queued;
        let submission = request.submission;
        let service = &mut self.services[at];
        let mean_ms = service.kinds.estimate(submission.kind).mean_ms;
        let ticket = if is_full_policy {
            Ticket {
                request: key,
                caller: submission.caller,
                deadline_ms: submission.deadline_ms,
                work_us: (mean_ms * US_PER_MS) as u64,
                expected_wait_ms,
            }
        } else {
            Ticket {
                request: key,
                caller: ONE_CALLER,
                deadline_ms: 0,
                work_us: 0,
                expected_wait_ms: 0.0,
            }
        };
        service.queue_mut(request.class).push(ticket, now_ms);
    }

    /// Cancels a request, or stops it from being tried again if it was sent.
    pub(super) fn cancel(&mut self, key: RequestKey, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&key) else { return };
        match request.stage {
            Stage::Running { endpoint, .. } => {
                let is_first = !request.is_cancelled;
                request.is_cancelled = true;
                if is_first && request.submission.is_idempotent {
                    out.push(Action::Abort { request: key, endpoint });
                }
            }
            Stage::Queued => {
                let (class, service) = (request.class, request.submission.service);
                if let Some(at) = self.service_index.get(&service) {
                    self.services[*at].queue_mut(class).remove(key);
                }
                self.finish(key, Reason::Cancelled, 0, out);
            }
            Stage::BackingOff => self.finish(key, Reason::Cancelled, 0, out),
        }
    }

    /// Ends a request that is still queued at its deadline.
    pub(super) fn expire(&mut self, key: RequestKey, now_ms: u64, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&key) else { return };
        if request.stage != Stage::Queued || request.submission.deadline_ms > now_ms {
            return;
        }
        let class = request.class;
        if let Some(at) = self.service_index.get(&request.submission.service) {
            self.services[*at].queue_mut(class).expire(key, now_ms);
        }
        let retry_after_ms = self.jittered(MIN_RETRY_AFTER_MS);
        self.finish(key, Reason::Expired, retry_after_ms, out);
    }

    /// Forwards the queued requests of a service that has lost its endpoints, where a peer has some.
    pub(super) fn forward_queued(&mut self, at: usize, now_ms: u64, out: &mut Vec<Action>) {
        for class in [Class::Short, Class::Long] {
            for key in self.services[at].queue_mut(class).drain(now_ms) {
                let Some(request) = self.requests.get(&key).copied() else { continue };
                if !self.forward(&request.submission, class, f64::INFINITY, now_ms, out) {
                    self.enqueue(at, key, 0.0, now_ms);
                }
            }
        }
    }

    /// Ends the queued requests of a service that has been without endpoints for long.
    pub(super) fn give_up_stranded(&mut self, key: ServiceKey, now_ms: u64, out: &mut Vec<Action>) {
        let Some(at) = self.service_index.get(&key).copied() else { return };
        if !self.is_stranded_long(at, now_ms) {
            return;
        }
        self.forward_queued(at, now_ms, out);
        for class in [Class::Short, Class::Long] {
            for request in self.services[at].queue_mut(class).drain(now_ms) {
                let retry_after_ms = self.jittered(self.config.no_endpoint_wait_ms);
                self.finish(request, Reason::NoEndpoint, retry_after_ms, out);
            }
        }
    }

    /// A wait to suggest, spread so that refused callers don't come back together.
    pub(super) fn jittered(&mut self, wait_ms: u64) -> u64 {
        let wait_ms = wait_ms.max(MIN_RETRY_AFTER_MS);
        wait_ms + self.rng.random_range(0..=wait_ms / 2)
    }

    fn raw_wait_ms(&self, at: usize, submission: &Submission, class: Class, now_ms: u64) -> f64 {
        let service = &self.services[at];
        let queue = service.queue(class);
        let ahead_ms = queue.work_ahead_ms(submission.caller, submission.deadline_ms, now_ms);
        service.wait_ms(class, ahead_ms)
    }

    fn forward(
        &mut self,
        submission: &Submission,
        class: Class,
        wait_ms: f64,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) -> bool {
        let key = submission.request;
        let may_have_run =
            self.requests.get(&key).is_some_and(|known| known.may_have_run.is_some());
        if submission.is_forwarded || may_have_run || wait_ms <= 0.0 {
            return false;
        }
        let peer = self.peers.take_better(submission.service, class, wait_ms, now_ms);
        let Some(peer) = peer else { return false };
        self.requests.remove(&key);
        out.push(Action::Forward { request: key, peer });
        true
    }

    /// Why a request is refused at once, and when it may be tried again.
    fn refusal(
        &self,
        at: usize,
        key: RequestKey,
        wait_ms: f64,
        estimate: Estimate,
        now_ms: u64,
    ) -> Option<(Reason, u64)> {
        let request = self.requests.get(&key)?;
        let submission = &request.submission;
        let service = &self.services[at];
        if submission.deadline_ms <= now_ms {
            return Some((Reason::Expired, 0));
        }
        if let Some(closed_ms) = service.circuit.closed_for_ms(now_ms) {
            return Some((Reason::NoEndpoint, closed_ms));
        }
        if self.is_stranded_long(at, now_ms) {
            return Some((Reason::NoEndpoint, self.config.no_endpoint_wait_ms));
        }
        let max_queued = self.config.max_queued;
        if !self.is_full_policy() {
            let is_full = service.queued() >= max_queued;
            return is_full.then_some((Reason::QueueFull, 0));
        }
        if service.is_full(request.class, submission.caller, max_queued) {
            return Some((Reason::QueueFull, finite_ms(wait_ms)));
        }
        if !wait_ms.is_finite() {
            return None;
        }
        let left_ms = (submission.deadline_ms - now_ms) as f64;
        let is_sent_at_once = wait_ms <= 0.0;
        let run_ms = if is_sent_at_once { estimate.mean_ms } else { estimate.tail_ms };
        let needed_ms = wait_ms * WAIT_MARGIN + run_ms;
        let explores = is_sent_at_once && service.kinds.is_idle(submission.kind);
        (needed_ms > left_ms && !explores)
            .then(|| (Reason::DeadlineTooClose, finite_ms(needed_ms - left_ms)))
    }

    fn is_stranded_long(&self, at: usize, now_ms: u64) -> bool {
        let since_ms = self.services[at].stranded_since_ms;
        since_ms.is_some_and(|since_ms| now_ms >= since_ms + self.config.no_endpoint_wait_ms)
    }
}

fn finite_ms(wait_ms: f64) -> u64 {
    const LONGEST_MS: f64 = 10_000.0;
    wait_ms.clamp(0.0, LONGEST_MS) as u64
}
