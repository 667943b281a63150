//! Decides which endpoint gets which request, and when.
//!
//! A [`Dispatcher`] runs on the control thread of an entry host. It is driven
//! by events and answers with actions; it has no clock, no I/O and no source
//! of chance but its seed.

mod message;

use std::collections::VecDeque;

pub use message::{
    Action, CallerKey, EndpointKey, Event, Guard, KindKey, Load, PeerKey, PeerLoad, RequestKey,
    SendResult, ServiceKey, ServiceLoad, Sign, Submission,
};

use crate::collections::HashMap;
use crate::configs::route::RouteConfig;
use crate::outcome::{Outcome, Reason};

/// Dispatches requests to the endpoints that this host owns.
///
/// ```
/// use hemlockrock::configs::route::RouteConfig;
/// use hemlockrock::route::{
///     Action, CallerKey, Dispatcher, EndpointKey, Event, KindKey, RequestKey, ServiceKey, Submission,
/// };
///
/// let mut dispatcher = Dispatcher::new(RouteConfig::default(), 7);
/// let (endpoint, service) = (EndpointKey(1), ServiceKey(1));
/// let mut out = Vec::new();
/// dispatcher.step(Event::Own { endpoint, service, slots: 8, guard: None }, 0, &mut out);
/// dispatcher.step(Event::Learned { endpoint, busy: 0 }, 1, &mut out);
/// let request = RequestKey(1);
/// let submission = Submission {
///     request,
///     service,
///     kind: KindKey(0),
///     caller: CallerKey(0),
///     is_idempotent: false,
///     is_forwarded: false,
///     deadline_ms: 1_000,
/// };
/// dispatcher.step(Event::Submit(submission), 2, &mut out);
/// assert_eq!(out, [Action::Send { request, endpoint }]);
/// ```
#[derive(Debug)]
pub struct Dispatcher {
    config: RouteConfig,
    endpoints: HashMap<EndpointKey, Endpoint>,
    order: Vec<EndpointKey>,
    queue: VecDeque<Submission>,
    running: HashMap<RequestKey, Submission>,
}

#[derive(Debug)]
struct Endpoint {
    service: ServiceKey,
    slots: u32,
    in_flight: u32,
    foreign: Option<u32>,
    is_open: bool,
}

impl Endpoint {
    fn is_free(&self, service: ServiceKey) -> bool {
        let Some(foreign) = self.foreign else { return false };
        self.is_open && self.service == service && self.in_flight + foreign < self.slots
    }
}

impl Dispatcher {
    /// A dispatcher without endpoints; `seed` settles ties.
    pub fn new(config: RouteConfig, seed: u64) -> Self {
        let _ = seed;
        Self {
            config,
            endpoints: HashMap::default(),
            order: Vec::new(),
            queue: VecDeque::new(),
            running: HashMap::default(),
        }
    }

    /// Takes in one event and appends what is to be done to `out`.
    pub fn step(&mut self, event: Event, now_ms: u64, out: &mut Vec<Action>) {
        match event {
            Event::Own { endpoint, service, slots, .. } => {
                let state = Endpoint { service, slots, in_flight: 0, foreign: None, is_open: true };
                if self.endpoints.insert(endpoint, state).is_none() {
                    self.order.push(endpoint);
                }
            }
            Event::Disown { endpoint } => self.set_open(endpoint, false),
            Event::Learned { endpoint, busy } => {
                if let Some(state) = self.endpoints.get_mut(&endpoint) {
                    state.foreign = Some(busy);
                }
            }
            Event::Submit(submission) if self.queue.len() < self.config.max_queued => {
                self.queue.push_back(submission);
            }
            Event::Submit(submission) => {
                finish(submission.request, Outcome::NotRun, Reason::QueueFull, out);
            }
            Event::Cancel { request } => {
                if let Some(at) = self.queue.iter().position(|waiting| waiting.request == request) {
                    self.queue.remove(at);
                    finish(request, Outcome::NotRun, Reason::Cancelled, out);
                }
            }
            Event::Ended { request, endpoint, result } => {
                self.end(request, endpoint, result, out);
            }
            Event::Sign { endpoint, sign } => match sign {
                Sign::Leaving | Sign::Refused => self.set_open(endpoint, false),
                Sign::Staying | Sign::Answering => self.set_open(endpoint, true),
                Sign::Silent => {}
            },
            Event::Peers(_) | Event::Tick => {}
        }
        self.dispatch(now_ms, out);
    }

    /// Expected waits and free slots, for the heartbeats to peers.
    pub fn load(&self, now_ms: u64) -> Load {
        let _ = now_ms;
        Load::default()
    }

    /// When [`Event::Tick`] is due at the latest, if ever.
    pub fn next_due_ms(&self) -> Option<u64> {
        self.queue.iter().map(|waiting| waiting.deadline_ms).min()
    }

    fn set_open(&mut self, endpoint: EndpointKey, is_open: bool) {
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.is_open = is_open;
        }
    }

    fn end(
        &mut self,
        request: RequestKey,
        endpoint: EndpointKey,
        result: SendResult,
        out: &mut Vec<Action>,
    ) {
        let Some(submission) = self.running.remove(&request) else { return };
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.in_flight -= 1;
        }
        match result {
            SendResult::Done { .. } | SendResult::DoneFailed => {}
            SendResult::Declined | SendResult::NotSent => self.queue.push_back(submission),
            SendResult::Lost { reason } => finish(request, Outcome::Unknown, reason, out),
        }
    }

    fn dispatch(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let mut waiting = std::mem::take(&mut self.queue);
        while let Some(submission) = waiting.pop_front() {
            let request = submission.request;
            if submission.deadline_ms <= now_ms {
                finish(request, Outcome::NotRun, Reason::Expired, out);
                continue;
            }
            let free = |key: &&EndpointKey| self.endpoints[key].is_free(submission.service);
            match self.order.iter().find(free).copied() {
                Some(endpoint) => {
                    if let Some(state) = self.endpoints.get_mut(&endpoint) {
                        state.in_flight += 1;
                    }
                    self.running.insert(request, submission);
                    out.push(Action::Send { request, endpoint });
                }
                None => self.queue.push_back(submission),
            }
        }
    }
}

fn finish(request: RequestKey, outcome: Outcome, reason: Reason, out: &mut Vec<Action>) {
    out.push(Action::Finish { request, outcome, reason, retry_after_ms: 0 });
}
