//! Decides which endpoint gets which request, and when.
//!
//! A [`Dispatcher`] runs on the control thread of an entry host. It is driven
//! by events and answers with actions; it has no clock, no I/O and no source
//! of chance but its seed.

mod budget;
mod circuit;
mod deadlines;
mod endpoint;
mod endpoints;
mod estimate;
mod message;
mod peers;
mod pool;
mod quantile;
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
    Action, CallerKey, EndpointKey, Event, Guard, KindKey, Load, PeerKey, PeerLoad, RequestKey,
    SendResult, ServiceKey, ServiceLoad, Sign, Submission,
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
    rng: SmallRng,
    services: Vec<Service>,
    service_index: HashMap<ServiceKey, usize>,
    endpoint_services: HashMap<EndpointKey, usize>,
    requests: HashMap<RequestKey, Request>,
    peers: Peers,
    timers: Timers,
}

impl Dispatcher {
    /// A dispatcher without endpoints; `seed` settles ties and jitter.
    pub fn new(config: RouteConfig, seed: u64) -> Self {
        let peers = Peers::new(config.peer_age_ms);
        Self {
            config,
            rng: SmallRng::seed_from_u64(seed),
            services: Vec::new(),
            service_index: HashMap::default(),
            endpoint_services: HashMap::default(),
            requests: HashMap::default(),
            peers,
            timers: Timers::default(),
        }
    }

    /// Takes in one event and appends what is to be done to `out`.
    pub fn step(&mut self, event: Event, now_ms: u64, out: &mut Vec<Action>) {
        match event {
            Event::Own { endpoint, service, slots, guard } => {
                self.own(endpoint, service, slots, guard, now_ms);
            }
            Event::Disown { endpoint } => self.disown(endpoint, now_ms, out),
            Event::Learned { endpoint, busy } => self.learn(endpoint, busy, now_ms, out),
            Event::Submit(submission) => self.submit(submission, now_ms, out),
            Event::Cancel { request } => self.cancel(request, out),
            Event::Ended { request, endpoint, result } => {
                self.end(request, endpoint, result, now_ms, out);
            }
            Event::Sign { endpoint, sign } => self.note_sign(endpoint, sign, now_ms, out),
            Event::Peers(loads) => self.peers.hear(loads, now_ms),
            Event::Tick => {}
        }
        while let Some(timer) = self.timers.pop_due(now_ms) {
            self.fire(timer, now_ms, out);
        }
    }

    /// Expected waits and free slots, for the heartbeats to peers.
    pub fn load(&self) -> Load {
        let usable = self.services.iter().filter(|service| service.pool.slots() > 0);
        Load { services: usable.map(|service| (service.key, service.load())).collect() }
    }

    /// When [`Event::Tick`] is due at the latest, if ever.
    pub fn next_due_ms(&self) -> Option<u64> {
        self.timers.next_due_ms()
    }

    fn fire(&mut self, timer: Timer, now_ms: u64, out: &mut Vec<Action>) {
        match timer {
            Timer::Expire(request) => self.expire(request, now_ms, out),
            Timer::Outlive(request, attempt) => self.outlive(request, attempt, now_ms),
            Timer::Retry(request, attempt) => self.retry(request, attempt, now_ms, out),
            Timer::Probe(endpoint, epoch) => self.probe(endpoint, epoch, now_ms, out),
            Timer::Refresh(endpoint) => self.refresh(endpoint, now_ms, out),
            Timer::Circuit(service) => {
                if let Some(at) = self.service_index.get(&service) {
                    self.dispatch(*at, now_ms, out);
                }
            }
            Timer::Stranded(service) => self.give_up_stranded(service, now_ms, out),
        }
    }

    /// Index of a service, which is added if it is new.
    fn service_at(&mut self, key: ServiceKey, now_ms: u64) -> usize {
        if let Some(at) = self.service_index.get(&key) {
            return *at;
        }
        let at = self.services.len();
        self.services.push(Service::new(key, &self.config, now_ms));
        self.service_index.insert(key, at);
        self.timers.push(now_ms + self.config.no_endpoint_wait_ms, Timer::Stranded(key));
        at
    }

    fn is_full_policy(&self) -> bool {
        self.config.policy == Policy::Full
    }

    /// Ends a request that an endpoint did not answer in this try.
    ///
    /// It is said to be not run only if no earlier try can have run it.
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
