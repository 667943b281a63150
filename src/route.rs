//! Dispatch of requests to the endpoints of an entry host.
//!
//! A [`Dispatcher`] queues requests, picks an endpoint for each, and retries,
//! forwards or rejects it. It runs on the control thread of an entry host as
//! a deterministic state machine: events in, actions out. It reads no clock,
//! does no I/O, and draws random numbers from a seeded generator only.

mod budget;
mod circuit;
mod deadlines;
mod endpoint;
mod endpoints;
mod estimate;
mod histogram;
mod message;
mod peers;
mod pool;
mod queue;
mod rate;
mod request;
mod results;
mod sending;
mod service;
mod shares;
mod submit;
mod timers;

pub mod owner;

pub use message::{
    Action, CallerKey, DispatcherLoad, EndpointKey, EndpointSignal, Event, KindKey, PeerKey,
    PeerLoad, RequestKey, SendResult, ServiceKey, ServiceLoad, Submission, TakeoverGuard,
};

use rand::rngs::SmallRng;
use rand::SeedableRng as _;

use self::peers::Peers;
use self::request::Request;
use self::service::Service;
use self::timers::{Timer, Timers};
use crate::collections::HashMap;
use crate::configs::route::{Policy, RouteConfig};
use crate::outcome::{Outcome, Reason};

/// State machine that dispatches requests to the endpoints owned by this host.
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
/// let acquired = Event::EndpointAcquired { endpoint, service, slots: 8, guard: None };
/// dispatcher.step(acquired, 0, &mut out);
/// dispatcher.step(Event::BusySlots { endpoint, busy: 0 }, 1, &mut out);
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
    rng: SmallRng,
    services: Vec<Service>,
    /// Index in `services` of each service.
    service_indices: HashMap<ServiceKey, usize>,
    /// Index in `services` of the service of each endpoint.
    endpoint_services: HashMap<EndpointKey, usize>,
    requests: HashMap<RequestKey, Request>,
    peers: Peers,
    timers: Timers,
}

impl Dispatcher {
    /// A dispatcher without endpoints; `seed` determines tie-breaking and jitter.
    pub fn new(config: RouteConfig, seed: u64) -> Self {
        let peers = Peers::new(config.peer_age_ms);
        Self {
            config,
            rng: SmallRng::seed_from_u64(seed),
            services: Vec::new(),
            service_indices: HashMap::default(),
            endpoint_services: HashMap::default(),
            requests: HashMap::default(),
            peers,
            timers: Timers::default(),
        }
    }

    /// Handles one event, then all due timers, and appends the resulting actions to `out`.
    ///
    /// `now_ms` is the caller's clock, in milliseconds; it must not go backwards.
    pub fn step(&mut self, event: Event, now_ms: u64, out: &mut Vec<Action>) {
        match event {
            Event::EndpointAcquired { endpoint, service, slots, guard } => {
                self.acquire_endpoint(endpoint, service, slots, guard, now_ms);
            }
            Event::EndpointReleased { endpoint } => self.release_endpoint(endpoint, now_ms, out),
            Event::BusySlots { endpoint, busy } => {
                self.set_busy_elsewhere(endpoint, busy, now_ms, out);
            }
            Event::Submit(submission) => self.submit(submission, now_ms, out),
            Event::Cancel { request } => self.cancel(request, out),
            Event::SendEnded { request, endpoint, result } => {
                self.handle_send_end(request, endpoint, result, now_ms, out);
            }
            Event::Signal { endpoint, signal } => self.handle_signal(endpoint, signal, now_ms, out),
            Event::PeerLoads(loads) => {
                self.peers.update(loads, now_ms);
                self.forward_without_endpoints(now_ms, out);
            }
            Event::Tick => {}
        }
        while let Some(timer) = self.timers.pop_due(now_ms) {
            self.run_timer(timer, now_ms, out);
        }
    }

    /// Expected waits and free slots of the services with usable endpoints, for heartbeats.
    pub fn load(&self) -> DispatcherLoad {
        let usable = self.services.iter().filter(|service| service.pool.slots() > 0);
        DispatcherLoad { services: usable.map(|service| (service.key, service.load())).collect() }
    }

    /// Time by which [`Event::Tick`] must be sent, in milliseconds; `None` if no timer is pending.
    pub fn next_due_ms(&self) -> Option<u64> {
        self.timers.next_due_ms()
    }

    fn run_timer(&mut self, timer: Timer, now_ms: u64, out: &mut Vec<Action>) {
        match timer {
            Timer::Deadline(request) => self.expire(request, now_ms, out),
            Timer::LongRun(request, attempt) => self.mark_long(request, attempt, now_ms),
            Timer::Retry(request, attempt) => self.retry(request, attempt, now_ms, out),
            Timer::Probe(endpoint, epoch) => self.probe(endpoint, epoch, now_ms, out),
            Timer::SlotsFreed(endpoint) => self.refresh_slots(endpoint, now_ms, out),
            Timer::CircuitHalfOpen(service) => {
                if let Some(index) = self.service_indices.get(&service) {
                    self.dispatch(*index, now_ms, out);
                }
            }
            Timer::NoEndpoint(service) => self.fail_queued_without_endpoint(service, now_ms, out),
        }
    }

    /// Index of a service in `services`; adds the service if it is new.
    fn service_index_or_insert(&mut self, key: ServiceKey, now_ms: u64) -> usize {
        if let Some(index) = self.service_indices.get(&key) {
            return *index;
        }
        let index = self.services.len();
        self.services.push(Service::new(key, &self.config, now_ms));
        self.service_indices.insert(key, index);
        self.timers.push(now_ms + self.config.no_endpoint_wait_ms, Timer::NoEndpoint(key));
        index
    }

    fn is_full_policy(&self) -> bool {
        self.config.policy == Policy::Full
    }

    /// Ends a request that got no complete answer in its last try.
    ///
    /// The outcome is `NotRun` only if no earlier try can have run it.
    fn finish(
        &mut self,
        key: RequestKey,
        reason: Reason,
        retry_after_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.remove(&key) else { return };
        let (outcome, reason) = match request.may_have_run {
            Some(earlier) => (Outcome::Unknown, earlier),
            None => (Outcome::NotRun, reason),
        };
        out.push(Action::Finish { request: key, outcome, reason, retry_after_ms });
    }
}
