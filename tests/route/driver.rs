//! Discrete-event simulation of dispatchers, with seeded arrivals and run times in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use hemlockrock::configs::route::RouteConfig;
use hemlockrock::outcome::{Outcome, Reason};
use hemlockrock::route::{
    Action, CallerKey, Dispatcher, EndpointKey, EndpointSignal, Event, KindKey, PeerKey, PeerLoad,
    RequestKey, SendResult, ServiceKey, Submission,
};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

/// The only service of the simulation.
pub(crate) const SERVICE: ServiceKey = ServiceKey(1);

const US_PER_MS: u64 = 1_000;
const TICK_US: u64 = 5 * US_PER_MS;
const HEARTBEAT_US: u64 = 250 * US_PER_MS;

/// One-way network latency between two dispatchers, in microseconds.
const ONE_WAY_US: u64 = 200;

/// Requests of one kind from one caller, as a Poisson process.
#[derive(Clone, Debug)]
pub(crate) struct Stream {
    pub(crate) kind: u32,
    pub(crate) caller: u32,
    /// Dispatcher that its requests are submitted to; `None` for all of them in turn.
    pub(crate) host: Option<usize>,
    /// Mean of the exponentially distributed run times, in milliseconds.
    pub(crate) run_ms: f64,
    /// Start time in milliseconds and arrivals per second from then on, in ascending order.
    pub(crate) rates: Vec<(u64, f64)>,
    pub(crate) deadline_ms: u64,
}

impl Stream {
    pub(crate) fn new(kind: u32, run_ms: f64, per_s: f64) -> Self {
        Self { kind, caller: 0, host: None, run_ms, rates: vec![(0, per_s)], deadline_ms: 60_000 }
    }

    pub(crate) fn with_caller(self, caller: u32) -> Self {
        Self { caller, ..self }
    }

    pub(crate) fn with_host(self, host: usize) -> Self {
        Self { host: Some(host), ..self }
    }

    pub(crate) fn with_deadline_ms(self, deadline_ms: u64) -> Self {
        Self { deadline_ms, ..self }
    }

    pub(crate) fn with_rates(self, rates: &[(u64, f64)]) -> Self {
        Self { rates: rates.to_vec(), ..self }
    }

    fn rate(&self, at_us: u64) -> f64 {
        let begun = self.rates.iter().take_while(|(from_ms, _)| from_ms * US_PER_MS <= at_us);
        begun.last().map_or(0.0, |(_, per_s)| *per_s)
    }
}

/// How an endpoint responds to requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Behaviour {
    Runs,
    FailsImmediately,
    Declines,
    /// Refuses connections.
    Refuses,
}

/// One request that ended or was rejected.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestRecord {
    pub(crate) stream: usize,
    pub(crate) arrived_us: u64,
    /// Time from arrival to the last send, in microseconds; `None` if it was never sent.
    pub(crate) wait_us: Option<u64>,
    pub(crate) ended_us: u64,
    pub(crate) run_us: u64,
    pub(crate) outcome: Outcome,
    pub(crate) reason: Option<Reason>,
    pub(crate) is_in_time: bool,
}

/// Results of one simulation run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Report {
    pub(crate) records: Vec<RequestRecord>,
    pub(crate) sends: Vec<(u64, EndpointKey)>,
    pub(crate) forward_count: usize,
}

impl Report {
    /// The requests that arrived, and the sends, from `from_ms` to `to_ms`.
    pub(crate) fn between(&self, from_ms: u64, to_ms: u64) -> Report {
        let span_us = from_ms * US_PER_MS..to_ms * US_PER_MS;
        let records = self.records.iter().filter(|record| span_us.contains(&record.arrived_us));
        let sends = self.sends.iter().filter(|(at_us, _)| span_us.contains(at_us));
        Report {
            records: records.copied().collect(),
            sends: sends.copied().collect(),
            forward_count: self.forward_count,
        }
    }

    /// The requests of the streams whose index `streams` accepts, and all sends.
    pub(crate) fn of_streams(&self, streams: impl Fn(usize) -> bool) -> Report {
        let records = self.records.iter().filter(|record| streams(record.stream));
        Report {
            records: records.copied().collect(),
            sends: self.sends.clone(),
            forward_count: self.forward_count,
        }
    }

    /// Quantile (0 to 1) of the waits of sent requests, in milliseconds.
    pub(crate) fn wait_ms(&self, quantile: f64) -> f64 {
        let mut waits: Vec<u64> = self.records.iter().filter_map(|record| record.wait_us).collect();
        waits.sort_unstable();
        let index = (waits.len() as f64 * quantile) as usize;
        waits.get(index.min(waits.len().saturating_sub(1))).map_or(0.0, |us| *us as f64 / 1_000.0)
    }

    /// Number of requests that were answered by their deadline.
    pub(crate) fn in_time(&self) -> usize {
        self.records.iter().filter(|record| record.is_in_time).count()
    }

    /// Number of requests that were answered after their deadline.
    pub(crate) fn done_late(&self) -> usize {
        let done = self.records.iter().filter(|record| record.outcome == Outcome::Done);
        done.filter(|record| !record.is_in_time).count()
    }

    pub(crate) fn count(&self, reason: Reason) -> usize {
        self.records.iter().filter(|record| record.reason == Some(reason)).count()
    }

    /// Sum of the run times of requests answered in time between `from_ms` and `to_ms`.
    pub(crate) fn in_time_work_ms(&self, from_ms: u64, to_ms: u64) -> f64 {
        let span_us = from_ms * US_PER_MS..to_ms * US_PER_MS;
        let in_time = self
            .records
            .iter()
            .filter(|record| record.is_in_time && span_us.contains(&record.ended_us));
        in_time.map(|record| record.run_us as f64 / 1_000.0).sum()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrival(usize),
    Forwarded(RequestKey, usize),
    /// End of a send with 0 for an answer, 1 for a server error, 2 for declined, 3 for not sent.
    End(RequestKey, EndpointKey, u8),
    ProbeAnswer(EndpointKey),
    /// Change of behaviour, by index in `changes`.
    ChangeBehaviour(EndpointKey, usize),
    Tick,
    Heartbeat,
}

#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    host: usize,
    stream: usize,
    arrived_us: u64,
    deadline_us: u64,
    run_us: u64,
    sent: Option<(u64, EndpointKey)>,
}

/// Simulates one dispatcher, or several that divide the endpoints among them.
#[derive(Debug)]
pub(crate) struct Driver {
    dispatchers: Vec<Dispatcher>,
    streams: Vec<Stream>,
    behaviours: BTreeMap<EndpointKey, Behaviour>,
    changes: Vec<Behaviour>,
    rng: StdRng,
    event_queue: BinaryHeap<Reverse<(u64, u64, SimEvent)>>,
    sequence: u64,
    open_requests: BTreeMap<RequestKey, OpenRequest>,
    next_request: u64,
    report: Report,
    in_flight: BTreeMap<EndpointKey, u32>,
    slots: u32,
}

impl Driver {
    /// One dispatcher that owns `endpoints` endpoints with `slots` slots each.
    pub(crate) fn new(config: &RouteConfig, endpoints: u32, slots: u32, seed: u64) -> Self {
        Self::with_hosts(1, config, endpoints, slots, seed)
    }

    /// Dispatchers that own every `hosts`-th endpoint each and exchange heartbeats.
    pub(crate) fn with_hosts(
        hosts: u32,
        config: &RouteConfig,
        endpoints: u32,
        slots: u32,
        seed: u64,
    ) -> Self {
        let dispatcher = |host| Dispatcher::new(config.clone(), seed + u64::from(host));
        let mut driver = Self {
            dispatchers: (0..hosts).map(dispatcher).collect(),
            streams: Vec::new(),
            behaviours: BTreeMap::new(),
            changes: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            event_queue: BinaryHeap::new(),
            sequence: 0,
            open_requests: BTreeMap::new(),
            next_request: 0,
            report: Report::default(),
            in_flight: BTreeMap::new(),
            slots,
        };
        for endpoint in (0..endpoints).map(EndpointKey) {
            driver.behaviours.insert(endpoint, Behaviour::Runs);
            let own = Event::EndpointAcquired { endpoint, service: SERVICE, slots, guard: None };
            let host = driver.owner(endpoint);
            driver.step(host, own, 0);
            driver.step(host, Event::BusySlots { endpoint, busy: 0 }, 0);
        }
        driver.schedule(TICK_US, SimEvent::Tick);
        driver.schedule(0, SimEvent::Heartbeat);
        driver
    }

    fn owner(&self, endpoint: EndpointKey) -> usize {
        endpoint.0 as usize % self.dispatchers.len()
    }

    /// Adds a stream of requests.
    pub(crate) fn with_stream(mut self, stream: Stream) -> Self {
        self.streams.push(stream);
        let index = self.streams.len() - 1;
        self.schedule_arrival(index, 0);
        self
    }

    /// Changes the behaviour of an endpoint at `at_ms`.
    pub(crate) fn with_change(mut self, endpoint: u32, at_ms: u64, behaviour: Behaviour) -> Self {
        self.changes.push(behaviour);
        let event = SimEvent::ChangeBehaviour(EndpointKey(endpoint), self.changes.len() - 1);
        self.schedule(at_ms * US_PER_MS, event);
        self
    }

    /// Runs the simulation until `until_ms`; panics if an endpoint gets more requests than slots.
    pub(crate) fn run(mut self, until_ms: u64) -> Report {
        while let Some(Reverse((at_us, _, event))) = self.event_queue.pop() {
            if at_us > until_ms * US_PER_MS {
                break;
            }
            self.handle(event, at_us);
        }
        self.report
    }

    fn handle(&mut self, event: SimEvent, at_us: u64) {
        match event {
            SimEvent::Arrival(stream) => {
                self.schedule_arrival(stream, at_us);
                self.arrive(stream, at_us);
            }
            SimEvent::End(request, endpoint, code) => self.end(request, endpoint, code, at_us),
            SimEvent::ProbeAnswer(endpoint) => {
                let answers = self.behaviours[&endpoint] != Behaviour::Refuses;
                let signal = if answers {
                    EndpointSignal::ProbeSucceeded
                } else {
                    EndpointSignal::ProbeFailed
                };
                self.step(self.owner(endpoint), Event::Signal { endpoint, signal }, at_us);
            }
            SimEvent::ChangeBehaviour(endpoint, change) => {
                self.behaviours.insert(endpoint, self.changes[change]);
            }
            SimEvent::Tick => {
                for host in 0..self.dispatchers.len() {
                    self.step(host, Event::Tick, at_us);
                }
                self.schedule(at_us + TICK_US, SimEvent::Tick);
            }
            SimEvent::Heartbeat => self.send_heartbeats(at_us),
            SimEvent::Forwarded(request, host) => {
                if let Some(open_request) = self.open_requests.get_mut(&request) {
                    open_request.host = host;
                }
                self.submit(request, true, at_us);
            }
        }
    }

    fn arrive(&mut self, stream: usize, at_us: u64) {
        let Stream { host, run_ms, deadline_ms, .. } = self.streams[stream];
        let request = RequestKey(self.next_request);
        let host = host.unwrap_or(self.next_request as usize % self.dispatchers.len());
        self.next_request += 1;
        let run_us = (self.exponential(run_ms) * 1_000.0) as u64;
        let deadline_us = at_us + deadline_ms * US_PER_MS;
        let open_request =
            OpenRequest { host, stream, arrived_us: at_us, deadline_us, run_us, sent: None };
        self.open_requests.insert(request, open_request);
        self.submit(request, false, at_us);
    }

    fn submit(&mut self, request: RequestKey, is_forwarded: bool, at_us: u64) {
        let open_request = self.open_requests[&request];
        let Stream { kind, caller, .. } = self.streams[open_request.stream];
        let submission = Submission {
            request,
            service: SERVICE,
            kind: KindKey(kind),
            caller: CallerKey(caller),
            is_idempotent: false,
            is_forwarded,
            deadline_ms: open_request.deadline_us / US_PER_MS,
        };
        self.step(open_request.host, Event::Submit(submission), at_us);
    }

    /// Sends every dispatcher the load of the others.
    fn send_heartbeats(&mut self, at_us: u64) {
        self.schedule(at_us + HEARTBEAT_US, SimEvent::Heartbeat);
        let hosts = self.dispatchers.len();
        let loads: Vec<_> =
            self.dispatchers.iter().map(|dispatcher| dispatcher.load().services).collect();
        for host in (0..hosts).filter(|_| hosts > 1) {
            let others = (0..hosts).filter(|other| *other != host);
            let peers = others.map(|other| PeerLoad {
                peer: PeerKey(other as u32),
                trip_ms: ONE_WAY_US as f64 / 1_000.0,
                is_same_zone: true,
                services: loads[other].clone(),
            });
            let peers = Event::PeerLoads(peers.collect());
            self.step(host, peers, at_us);
        }
    }

    fn end(&mut self, request: RequestKey, endpoint: EndpointKey, code: u8, at_us: u64) {
        *self.in_flight.entry(endpoint).or_default() -= 1;
        let open_request = self.open_requests[&request];
        let host = open_request.host;
        let ran_ms =
            at_us / US_PER_MS - open_request.sent.expect("the request was sent").0 / US_PER_MS;
        let result = match code {
            0 => SendResult::Done { ran_ms },
            1 => SendResult::ServerError,
            2 => SendResult::Declined,
            _ => SendResult::NotSent,
        };
        if code < 2 {
            let is_in_time = code == 0 && at_us <= open_request.deadline_us;
            self.finish(request, Outcome::Done, None, is_in_time, at_us);
        }
        self.step(host, Event::SendEnded { request, endpoint, result }, at_us);
    }

    fn step(&mut self, host: usize, event: Event, at_us: u64) {
        let mut out = Vec::new();
        self.dispatchers[host].step(event, at_us / US_PER_MS, &mut out);
        for action in out {
            self.perform(action, at_us);
        }
    }

    fn perform(&mut self, action: Action, at_us: u64) {
        match action {
            Action::Send { request, endpoint } => self.send(request, endpoint, at_us),
            Action::Finish { request, outcome, reason, .. } => {
                self.finish(request, outcome, Some(reason), false, at_us);
            }
            Action::Probe { endpoint } => {
                self.schedule(at_us + US_PER_MS, SimEvent::ProbeAnswer(endpoint));
            }
            Action::Forward { request, peer } => {
                self.report.forward_count += 1;
                let forwarded = SimEvent::Forwarded(request, peer.0 as usize);
                self.schedule(at_us + ONE_WAY_US, forwarded);
            }
            Action::Abort { .. } => unreachable!("the simulation cancels no request"),
        }
    }

    fn send(&mut self, request: RequestKey, endpoint: EndpointKey, at_us: u64) {
        let in_flight = self.in_flight.entry(endpoint).or_default();
        *in_flight += 1;
        assert!(*in_flight <= self.slots, "more requests in flight than slots");
        self.report.sends.push((at_us, endpoint));
        let open_request = self.open_requests.get_mut(&request).expect("the request is open");
        open_request.sent = Some((at_us, endpoint));
        let (run_us, code) = match self.behaviours[&endpoint] {
            Behaviour::Runs => (open_request.run_us, 0),
            Behaviour::FailsImmediately => (US_PER_MS, 1),
            Behaviour::Declines => (US_PER_MS, 2),
            Behaviour::Refuses => (US_PER_MS / 10, 3),
        };
        self.schedule(at_us + run_us, SimEvent::End(request, endpoint, code));
    }

    fn finish(
        &mut self,
        request: RequestKey,
        outcome: Outcome,
        reason: Option<Reason>,
        is_in_time: bool,
        at_us: u64,
    ) {
        let open_request = self.open_requests[&request];
        self.open_requests.remove(&request);
        self.report.records.push(RequestRecord {
            stream: open_request.stream,
            arrived_us: open_request.arrived_us,
            wait_us: open_request.sent.map(|(sent_us, _)| sent_us - open_request.arrived_us),
            ended_us: at_us,
            run_us: open_request.run_us,
            outcome,
            reason,
            is_in_time,
        });
    }

    fn schedule_arrival(&mut self, stream: usize, now_us: u64) {
        const IDLE_US: u64 = 10 * US_PER_MS;
        const US_PER_S: f64 = 1_000_000.0;
        let per_s = self.streams[stream].rate(now_us);
        if per_s <= 0.0 {
            // The rate is 0: schedule the next attempt at the next change of the rate.
            let next = self.streams[stream].rates.iter().map(|(from_ms, _)| from_ms * US_PER_MS);
            if let Some(from_us) = next.filter(|from_us| *from_us > now_us).min() {
                self.schedule(from_us.max(now_us + IDLE_US), SimEvent::Arrival(stream));
            }
            return;
        }
        let gap_us = (self.exponential(US_PER_S / per_s)) as u64;
        self.schedule(now_us + gap_us, SimEvent::Arrival(stream));
    }

    fn schedule(&mut self, at_us: u64, event: SimEvent) {
        self.event_queue.push(Reverse((at_us, self.sequence, event)));
        self.sequence += 1;
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        -uniform.ln() * mean
    }
}
