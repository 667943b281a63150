//! Drives dispatchers with seeded arrivals and run times, in virtual time.

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

/// The one service of these tests.
pub(crate) const SERVICE: ServiceKey = ServiceKey(1);

const US_PER_MS: u64 = 1_000;
const TICK_US: u64 = 5 * US_PER_MS;
const HEARTBEAT_US: u64 = 250 * US_PER_MS;

/// Time of one way between two dispatchers.
const TRIP_US: u64 = 200;

/// Requests of one kind from one caller, arriving at random.
#[derive(Clone, Debug)]
pub(crate) struct Stream {
    pub(crate) kind: u32,
    pub(crate) caller: u32,
    /// Where its requests enter; in turn at all dispatchers if nothing is set.
    pub(crate) host: Option<usize>,
    /// Mean run time, in milliseconds; run times are exponential.
    pub(crate) run_ms: f64,
    /// Arrivals a second, from each of these times in milliseconds on.
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

/// What an endpoint does to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Behaviour {
    Runs,
    FailsAtOnce,
    Declines,
    /// Nothing listens.
    Refuses,
}

/// One finished or refused request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Record {
    pub(crate) stream: usize,
    pub(crate) arrived_us: u64,
    /// Time from arrival to its last send, if it was sent.
    pub(crate) wait_us: Option<u64>,
    pub(crate) ended_us: u64,
    pub(crate) run_us: u64,
    pub(crate) outcome: Outcome,
    pub(crate) reason: Option<Reason>,
    pub(crate) is_in_time: bool,
}

/// Everything that one run showed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Report {
    pub(crate) records: Vec<Record>,
    pub(crate) sends: Vec<(u64, EndpointKey)>,
    pub(crate) forwards: usize,
}

impl Report {
    /// Records that arrived within a span of time, in milliseconds.
    pub(crate) fn between(&self, from_ms: u64, to_ms: u64) -> Report {
        let span_us = from_ms * US_PER_MS..to_ms * US_PER_MS;
        let records = self.records.iter().filter(|one| span_us.contains(&one.arrived_us));
        let sends = self.sends.iter().filter(|(at_us, _)| span_us.contains(at_us));
        Report {
            records: records.copied().collect(),
            sends: sends.copied().collect(),
            forwards: self.forwards,
        }
    }

    pub(crate) fn of(&self, streams: impl Fn(usize) -> bool) -> Report {
        let records = self.records.iter().filter(|one| streams(one.stream));
        Report {
            records: records.copied().collect(),
            sends: self.sends.clone(),
            forwards: self.forwards,
        }
    }

    /// The wait that `quantile` of the sent requests stay under, in milliseconds.
    pub(crate) fn wait_ms(&self, quantile: f64) -> f64 {
        let mut waits: Vec<u64> = self.records.iter().filter_map(|one| one.wait_us).collect();
        waits.sort_unstable();
        let at = (waits.len() as f64 * quantile) as usize;
        waits.get(at.min(waits.len().saturating_sub(1))).map_or(0.0, |us| *us as f64 / 1_000.0)
    }

    pub(crate) fn good(&self) -> usize {
        self.records.iter().filter(|one| one.is_in_time).count()
    }

    pub(crate) fn late(&self) -> usize {
        let done = self.records.iter().filter(|one| one.outcome == Outcome::Done);
        done.filter(|one| !one.is_in_time).count()
    }

    pub(crate) fn count(&self, reason: Reason) -> usize {
        self.records.iter().filter(|one| one.reason == Some(reason)).count()
    }

    /// Run time of answers that ended within a span of time, in milliseconds.
    pub(crate) fn good_work_ended_ms(&self, from_ms: u64, to_ms: u64) -> f64 {
        let span_us = from_ms * US_PER_MS..to_ms * US_PER_MS;
        let good =
            self.records.iter().filter(|one| one.is_in_time && span_us.contains(&one.ended_us));
        good.map(|one| one.run_us as f64 / 1_000.0).sum()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrival(usize),
    Forwarded(RequestKey, usize),
    End(RequestKey, EndpointKey, u8),
    ProbeAnswer(EndpointKey),
    Behave(EndpointKey, usize),
    Tick,
    Heartbeat,
}

#[derive(Clone, Copy, Debug)]
struct Open {
    host: usize,
    stream: usize,
    arrived_us: u64,
    deadline_us: u64,
    run_us: u64,
    sent: Option<(u64, EndpointKey)>,
}

/// Drives one dispatcher, or several that share the endpoints.
#[derive(Debug)]
pub(crate) struct Driver {
    dispatchers: Vec<Dispatcher>,
    streams: Vec<Stream>,
    behaviours: BTreeMap<EndpointKey, Behaviour>,
    changes: Vec<Behaviour>,
    rng: StdRng,
    agenda: BinaryHeap<Reverse<(u64, u64, Happening)>>,
    sequence: u64,
    open: BTreeMap<RequestKey, Open>,
    next_request: u64,
    report: Report,
    in_flight: BTreeMap<EndpointKey, u32>,
    slots: u32,
}

impl Driver {
    /// One dispatcher that owns `endpoints` with `slots` each.
    pub(crate) fn new(config: &RouteConfig, endpoints: u32, slots: u32, seed: u64) -> Self {
        Self::with_hosts(1, config, endpoints, slots, seed)
    }

    /// Dispatchers that own the endpoints in turn and hear of each other's load.
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
            agenda: BinaryHeap::new(),
            sequence: 0,
            open: BTreeMap::new(),
            next_request: 0,
            report: Report::default(),
            in_flight: BTreeMap::new(),
            slots,
        };
        for endpoint in (0..endpoints).map(EndpointKey) {
            driver.behaviours.insert(endpoint, Behaviour::Runs);
            let own = Event::Own { endpoint, service: SERVICE, slots, guard: None };
            let host = driver.owner(endpoint);
            driver.step(host, own, 0);
            driver.step(host, Event::BusySlots { endpoint, busy: 0 }, 0);
        }
        driver.plan(TICK_US, Happening::Tick);
        driver.plan(0, Happening::Heartbeat);
        driver
    }

    fn owner(&self, endpoint: EndpointKey) -> usize {
        endpoint.0 as usize % self.dispatchers.len()
    }

    /// Adds a stream of requests.
    pub(crate) fn with_stream(mut self, stream: Stream) -> Self {
        self.streams.push(stream);
        let at = self.streams.len() - 1;
        self.plan_arrival(at, 0);
        self
    }

    /// Lets an endpoint behave in another way from `at_ms` on.
    pub(crate) fn with_change(mut self, endpoint: u32, at_ms: u64, behaviour: Behaviour) -> Self {
        self.changes.push(behaviour);
        let happening = Happening::Behave(EndpointKey(endpoint), self.changes.len() - 1);
        self.plan(at_ms * US_PER_MS, happening);
        self
    }

    /// Lets time pass until `until_ms` and tells what happened; checks the slots on the way.
    pub(crate) fn run(mut self, until_ms: u64) -> Report {
        while let Some(Reverse((at_us, _, happening))) = self.agenda.pop() {
            if at_us > until_ms * US_PER_MS {
                break;
            }
            self.happen(happening, at_us);
        }
        self.report
    }

    fn happen(&mut self, happening: Happening, at_us: u64) {
        match happening {
            Happening::Arrival(stream) => {
                self.plan_arrival(stream, at_us);
                self.arrive(stream, at_us);
            }
            Happening::End(request, endpoint, code) => self.end(request, endpoint, code, at_us),
            Happening::ProbeAnswer(endpoint) => {
                let answers = self.behaviours[&endpoint] != Behaviour::Refuses;
                let signal = if answers {
                    EndpointSignal::ProbeSucceeded
                } else {
                    EndpointSignal::ProbeFailed
                };
                self.step(self.owner(endpoint), Event::Signal { endpoint, signal }, at_us);
            }
            Happening::Behave(endpoint, change) => {
                self.behaviours.insert(endpoint, self.changes[change]);
            }
            Happening::Tick => {
                for host in 0..self.dispatchers.len() {
                    self.step(host, Event::Tick, at_us);
                }
                self.plan(at_us + TICK_US, Happening::Tick);
            }
            Happening::Heartbeat => self.tell_peers(at_us),
            Happening::Forwarded(request, host) => {
                if let Some(open) = self.open.get_mut(&request) {
                    open.host = host;
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
        let open = Open { host, stream, arrived_us: at_us, deadline_us, run_us, sent: None };
        self.open.insert(request, open);
        self.submit(request, false, at_us);
    }

    fn submit(&mut self, request: RequestKey, is_forwarded: bool, at_us: u64) {
        let open = self.open[&request];
        let Stream { kind, caller, .. } = self.streams[open.stream];
        let submission = Submission {
            request,
            service: SERVICE,
            kind: KindKey(kind),
            caller: CallerKey(caller),
            is_idempotent: false,
            is_forwarded,
            deadline_ms: open.deadline_us / US_PER_MS,
        };
        self.step(open.host, Event::Submit(submission), at_us);
    }

    /// Tells every dispatcher the load of the others.
    fn tell_peers(&mut self, at_us: u64) {
        self.plan(at_us + HEARTBEAT_US, Happening::Heartbeat);
        let hosts = self.dispatchers.len();
        let loads: Vec<_> = self.dispatchers.iter().map(|one| one.load().services).collect();
        for host in (0..hosts).filter(|_| hosts > 1) {
            let others = (0..hosts).filter(|other| *other != host);
            let peers = others.map(|other| PeerLoad {
                peer: PeerKey(other as u32),
                trip_ms: TRIP_US as f64 / 1_000.0,
                is_same_zone: true,
                services: loads[other].clone(),
            });
            let peers = Event::PeerLoads(peers.collect());
            self.step(host, peers, at_us);
        }
    }

    fn end(&mut self, request: RequestKey, endpoint: EndpointKey, code: u8, at_us: u64) {
        *self.in_flight.entry(endpoint).or_default() -= 1;
        let open = self.open[&request];
        let host = open.host;
        let ran_ms = at_us / US_PER_MS - open.sent.expect("it was sent").0 / US_PER_MS;
        let result = match code {
            0 => SendResult::Done { ran_ms },
            1 => SendResult::ServerError,
            2 => SendResult::Declined,
            _ => SendResult::NotSent,
        };
        if code < 2 {
            let is_in_time = code == 0 && at_us <= open.deadline_us;
            self.close(request, Outcome::Done, None, is_in_time, at_us);
        }
        self.step(host, Event::SendEnded { request, endpoint, result }, at_us);
    }

    fn step(&mut self, host: usize, event: Event, at_us: u64) {
        let mut out = Vec::new();
        self.dispatchers[host].step(event, at_us / US_PER_MS, &mut out);
        for action in out {
            self.act(action, at_us);
        }
    }

    fn act(&mut self, action: Action, at_us: u64) {
        match action {
            Action::Send { request, endpoint } => self.send(request, endpoint, at_us),
            Action::Finish { request, outcome, reason, .. } => {
                self.close(request, outcome, Some(reason), false, at_us);
            }
            Action::Probe { endpoint } => {
                self.plan(at_us + US_PER_MS, Happening::ProbeAnswer(endpoint));
            }
            Action::Forward { request, peer } => {
                self.report.forwards += 1;
                let forwarded = Happening::Forwarded(request, peer.0 as usize);
                self.plan(at_us + TRIP_US, forwarded);
            }
            Action::Abort { .. } => unreachable!("nothing is cancelled"),
        }
    }

    fn send(&mut self, request: RequestKey, endpoint: EndpointKey, at_us: u64) {
        let in_flight = self.in_flight.entry(endpoint).or_default();
        *in_flight += 1;
        assert!(*in_flight <= self.slots, "more in flight than slots");
        self.report.sends.push((at_us, endpoint));
        let open = self.open.get_mut(&request).expect("it is open");
        open.sent = Some((at_us, endpoint));
        let (run_us, code) = match self.behaviours[&endpoint] {
            Behaviour::Runs => (open.run_us, 0),
            Behaviour::FailsAtOnce => (US_PER_MS, 1),
            Behaviour::Declines => (US_PER_MS, 2),
            Behaviour::Refuses => (US_PER_MS / 10, 3),
        };
        self.plan(at_us + run_us, Happening::End(request, endpoint, code));
    }

    fn close(
        &mut self,
        request: RequestKey,
        outcome: Outcome,
        reason: Option<Reason>,
        is_in_time: bool,
        at_us: u64,
    ) {
        let open = self.open[&request];
        self.open.remove(&request);
        self.report.records.push(Record {
            stream: open.stream,
            arrived_us: open.arrived_us,
            wait_us: open.sent.map(|(sent_us, _)| sent_us - open.arrived_us),
            ended_us: at_us,
            run_us: open.run_us,
            outcome,
            reason,
            is_in_time,
        });
    }

    fn plan_arrival(&mut self, stream: usize, now_us: u64) {
        const IDLE_US: u64 = 10 * US_PER_MS;
        const US_PER_S: f64 = 1_000_000.0;
        let per_s = self.streams[stream].rate(now_us);
        if per_s <= 0.0 {
            // Nothing arrives now: look again a little later.
            let next = self.streams[stream].rates.iter().map(|(from_ms, _)| from_ms * US_PER_MS);
            if let Some(from_us) = next.filter(|from_us| *from_us > now_us).min() {
                self.plan(from_us.max(now_us + IDLE_US), Happening::Arrival(stream));
            }
            return;
        }
        let gap_us = (self.exponential(US_PER_S / per_s)) as u64;
        self.plan(now_us + gap_us, Happening::Arrival(stream));
    }

    fn plan(&mut self, at_us: u64, happening: Happening) {
        self.agenda.push(Reverse((at_us, self.sequence, happening)));
        self.sequence += 1;
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        -uniform.ln() * mean
    }
}
