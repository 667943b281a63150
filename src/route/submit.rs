//! Admission of requests (forward, reject or queue), and their cancellation and expiry.

use rand::RngExt as _;

use super::estimate::{Class, Estimate};
use super::message::{Action, CallerKey, RequestKey, ServiceKey, Submission};
use super::queue::NewEntry;
use super::request::{Request, Stage};
use super::timers::Timer;
use super::Dispatcher;
use crate::outcome::Reason;

/// Lower bound of the wait suggested to callers before they retry, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// Safety factor on the expected wait when it is compared with the deadline.
const WAIT_MARGIN: f64 = 1.25;

/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1_000.0;

impl Dispatcher {
    /// Handles a new request: forwards, rejects, queues or sends it.
    pub(super) fn submit(&mut self, submission: Submission, now_ms: u64, out: &mut Vec<Action>) {
        let key = submission.request;
        if self.requests.contains_key(&key) {
            return;
        }
        let index = self.service_index_or_insert(submission.service, now_ms);
        let is_full_policy = self.is_full_policy();
        let service = &mut self.services[index];
        let (class, estimate) = service.kinds.record_arrival(submission.kind, now_ms);
        let class = if is_full_policy { class } else { Class::Short };
        service.budget.deposit();
        service.reclassify(self.config.long_floor_millis, now_ms);
        self.requests.insert(key, Request::new(submission, class));
        let uncorrected_wait_ms = self.uncorrected_wait_ms(index, &submission, class, now_ms);
        let correction = self.services[index].queue(class).correction(submission.caller);
        let wait_ms = uncorrected_wait_ms * correction;
        if is_full_policy && self.try_forward(&submission, class, wait_ms, now_ms, out) {
            return;
        }
        if let Some((reason, retry_after_ms)) =
            self.rejection(index, key, wait_ms, estimate, now_ms)
        {
            let retry_after_ms = self.jittered(retry_after_ms);
            self.finish(key, reason, retry_after_ms, out);
            return;
        }
        self.enqueue(index, key, uncorrected_wait_ms, now_ms);
        self.dispatch(index, now_ms, out);
        let is_queued = self.requests.get(&key).is_some_and(|known| known.stage == Stage::Queued);
        if is_queued {
            self.timers.push(submission.deadline_ms, Timer::Deadline(key));
        }
    }

    /// Puts a request into its class's queue of the service with this index.
    pub(super) fn enqueue(
        &mut self,
        index: usize,
        key: RequestKey,
        expected_wait_ms: f64,
        now_ms: u64,
    ) {
        // The baseline policy is first come, first served: one caller and no deadlines.
        const SHARED_CALLER: CallerKey = CallerKey(0);
        let is_full_policy = self.is_full_policy();
        let Some(request) = self.requests.get_mut(&key) else { return };
        request.stage = Stage::Queued;
        let submission = request.submission;
        let service = &mut self.services[index];
        let mean_ms = service.kinds.estimate(submission.kind).mean_ms;
        let entry = if is_full_policy {
            NewEntry {
                request: key,
                caller: submission.caller,
                deadline_ms: submission.deadline_ms,
                work_us: (mean_ms * MICROS_PER_MS) as u64,
                expected_wait_ms,
            }
        } else {
            NewEntry {
                request: key,
                caller: SHARED_CALLER,
                deadline_ms: 0,
                work_us: 0,
                expected_wait_ms: 0.0,
            }
        };
        service.queue_mut(request.class).push(entry, now_ms);
    }

    /// Cancels a request; one that was already sent is not retried, and aborted if idempotent.
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
                if let Some(index) = self.service_indices.get(&service) {
                    self.services[*index].queue_mut(class).remove(key);
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
        if let Some(index) = self.service_indices.get(&request.submission.service) {
            self.services[*index].queue_mut(class).expire(key, now_ms);
        }
        let retry_after_ms = self.jittered(MIN_RETRY_AFTER_MS);
        self.finish(key, Reason::Expired, retry_after_ms, out);
    }

    /// Forwards the queued requests of a service without usable endpoints to peers that have some.
    pub(super) fn forward_queued(&mut self, index: usize, now_ms: u64, out: &mut Vec<Action>) {
        for class in [Class::Short, Class::Long] {
            for key in self.services[index].queue_mut(class).drain(now_ms) {
                let Some(request) = self.requests.get(&key).copied() else { continue };
                if !self.try_forward(&request.submission, class, f64::INFINITY, now_ms, out) {
                    self.enqueue(index, key, 0.0, now_ms);
                }
            }
        }
    }

    /// Forwards the queues of services without usable endpoints for which a peer has some.
    pub(super) fn forward_without_endpoints(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        if !self.is_full_policy() {
            return;
        }
        for index in 0..self.services.len() {
            let service = &self.services[index];
            let waits = service.no_slots_since_ms.is_some() && service.queued() > 0;
            if waits && self.peers.has_endpoints(service.key) {
                self.forward_queued(index, now_ms, out);
            }
        }
    }

    /// Fails the queue of a service that had no usable endpoint for `no_endpoint_wait_ms`.
    pub(super) fn fail_queued_without_endpoint(
        &mut self,
        key: ServiceKey,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(index) = self.service_indices.get(&key).copied() else { return };
        if !self.is_no_endpoint_wait_over(index, now_ms) {
            return;
        }
        self.forward_queued(index, now_ms, out);
        for class in [Class::Short, Class::Long] {
            for request in self.services[index].queue_mut(class).drain(now_ms) {
                let retry_after_ms = self.jittered(self.config.no_endpoint_wait_ms);
                self.finish(request, Reason::NoEndpoint, retry_after_ms, out);
            }
        }
    }

    /// Wait to suggest to a caller, with jitter so that rejected callers don't retry all at once.
    pub(super) fn jittered(&mut self, wait_ms: u64) -> u64 {
        let wait_ms = wait_ms.max(MIN_RETRY_AFTER_MS);
        wait_ms + self.rng.random_range(0..=wait_ms / 2)
    }

    /// Expected wait of a request, before the correction that the queue has learned for its caller.
    fn uncorrected_wait_ms(
        &self,
        index: usize,
        submission: &Submission,
        class: Class,
        now_ms: u64,
    ) -> f64 {
        let service = &self.services[index];
        let queue = service.queue(class);
        let ahead_ms = queue.work_ahead_ms(submission.caller, submission.deadline_ms, now_ms);
        service.wait_ms(class, ahead_ms)
    }

    /// Forwards a request if it may be forwarded and a peer expects a shorter wait than `wait_ms`;
    /// returns whether it did.
    fn try_forward(
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
        let peer = self.peers.pick_better(submission.service, class, wait_ms, now_ms);
        let Some(peer) = peer else { return false };
        self.requests.remove(&key);
        out.push(Action::Forward { request: key, peer });
        true
    }

    /// Reason to reject a request on arrival and the wait before a retry; `None` to admit it.
    fn rejection(
        &self,
        index: usize,
        key: RequestKey,
        wait_ms: f64,
        estimate: Estimate,
        now_ms: u64,
    ) -> Option<(Reason, u64)> {
        let request = self.requests.get(&key)?;
        let submission = &request.submission;
        let service = &self.services[index];
        if submission.deadline_ms <= now_ms {
            return Some((Reason::Expired, 0));
        }
        if let Some(remaining_ms) = service.circuit.remaining_open_ms(now_ms) {
            return Some((Reason::NoEndpoint, remaining_ms));
        }
        if self.is_no_endpoint_wait_over(index, now_ms) {
            return Some((Reason::NoEndpoint, self.config.no_endpoint_wait_ms));
        }
        let max_queued = self.config.max_queued;
        if !self.is_full_policy() {
            let is_full = service.queued() >= max_queued;
            return is_full.then_some((Reason::QueueFull, 0));
        }
        if service.is_full(request.class, submission.caller, max_queued) {
            return Some((Reason::QueueFull, clamp_wait_ms(wait_ms)));
        }
        if !wait_ms.is_finite() {
            return None;
        }
        let left_ms = (submission.deadline_ms - now_ms) as f64;
        let is_sent_now = wait_ms <= 0.0;
        let run_ms = if is_sent_now { estimate.mean_ms } else { estimate.p99_ms };
        let needed_ms = wait_ms * WAIT_MARGIN + run_ms;
        // One request of an idle kind may always run, so that a wrong estimate gets corrected.
        let is_exploratory = is_sent_now && service.kinds.is_idle(submission.kind);
        (needed_ms > left_ms && !is_exploratory)
            .then(|| (Reason::DeadlineTooClose, clamp_wait_ms(needed_ms - left_ms)))
    }

    /// Whether the wait of a service for a usable endpoint has lasted `no_endpoint_wait_ms`.
    fn is_no_endpoint_wait_over(&self, index: usize, now_ms: u64) -> bool {
        let since_ms = self.services[index].no_slots_since_ms;
        since_ms.is_some_and(|since_ms| now_ms >= since_ms + self.config.no_endpoint_wait_ms)
    }
}

/// Limits a wait suggested to a caller to 10 s.
fn clamp_wait_ms(wait_ms: f64) -> u64 {
    const MAX_WAIT_MS: f64 = 10_000.0;
    wait_ms.clamp(0.0, MAX_WAIT_MS) as u64
}
