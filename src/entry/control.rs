//! The control thread of an entry host: it owns the dispatcher, the ownership of endpoints and the
//! requests that are here, and turns actions of the dispatcher into tasks.

mod flights;
mod foreign;
mod seats;
mod signs;
mod zone;

use std::collections::BTreeMap;
use std::sync::atomic::AtomicBool;
use std::sync::{mpsc, Arc};
use std::time::Duration;

use crate::clock;
use crate::collections::HashMap;
use crate::configs::entry::EntryConfig;
use crate::declarations::feed::Feed;
use crate::http::client::Pool;
use crate::ledger::seat::Seat;
use crate::membership::Session;
use crate::outcome::{Outcome, Reason};
use crate::route::{self, Action, Dispatcher, RequestKey, Submission};
use crate::store::mirror::Mirror;
use crate::store::{Revision, Store};

use super::authority::Authority;
use super::book::{self, Book};
use super::heartbeat::{Exchange, Heard, Heartbeat};
use super::message::{Control, Idle, Input, Purpose, Submitted, Verdict};
use super::metrics::Metrics;
use super::ownership::Ownership;

use flights::Flight;
use signs::Leaving;

/// Longest time between two looks at members, declarations and due work, in milliseconds.
const STEP_MS: u64 = 20;

/// Shortest time between two looks, in milliseconds.
const LOOK_EVERY_MS: u64 = 10;

/// Inputs taken in before due work is looked at again.
const INPUTS_A_STEP: usize = 512;

/// What the control thread is built from.
#[derive(Clone, Debug)]
pub(super) struct Parts {
    /// Settings.
    pub(super) config: Arc<EntryConfig>,
    /// Platform's store.
    pub(super) store: Arc<dyn Store>,
    /// Session with the store.
    pub(super) session: Session,
    /// Copy of the store's keys.
    pub(super) mirror: Mirror,
    /// Declarations in force.
    pub(super) feed: Feed,
    /// Connections to endpoints.
    pub(super) endpoints: Pool,
    /// Connections to other entry hosts.
    pub(super) peers: Pool,
    /// Whether this host may send.
    pub(super) authority: Authority,
    /// Metrics.
    pub(super) metrics: Arc<Metrics>,
    /// Set once every endpoint that this host ranks first for was acquired.
    pub(super) is_settled: Arc<AtomicBool>,
}

/// Starts the control thread.
///
/// # Errors
/// The thread cannot be started.
pub(super) fn start(parts: Parts) -> std::io::Result<Control> {
    let (sender, inputs) = mpsc::channel();
    let control = Control::new(sender);
    let handle = control.clone();
    let builder = std::thread::Builder::new().name("control".to_owned());
    builder.spawn(move || Thread::new(parts, handle).run(&inputs))?;
    Ok(control)
}

struct Thread {
    parts: Parts,
    control: Control,
    dispatcher: Dispatcher,
    ownership: Ownership,
    book: Book,
    heard: Heard,
    waiting: HashMap<RequestKey, Waiting>,
    flights: HashMap<RequestKey, Flight>,
    run_times: HashMap<route::KindKey, f64>,
    leaving: Leaving,
    seats: BTreeMap<String, Seat>,
    terms: HashMap<String, u64>,
    seat_tries: HashMap<String, u64>,
    seen: Seen,
    is_draining: bool,
    actions: Vec<Action>,
}

/// A request whose caller waits.
struct Waiting {
    submitted: Arc<Submitted>,
    verdict: async_channel::Sender<Verdict>,
    may_have_run: bool,
}

/// What was last taken in from the store, and when.
#[derive(Debug, Default)]
struct Seen {
    members_at: Option<Revision>,
    config_revision: u64,
    peers_told_ms: u64,
    foreign_read_ms: u64,
    progress_read_ms: u64,
    seats_ms: u64,
    leaving_read_ms: u64,
    looked_ms: u64,
}

impl Thread {
    fn new(parts: Parts, control: Control) -> Self {
        let seed = crate::collections::stable_hash(&parts.config.name);
        Self {
            dispatcher: Dispatcher::new(parts.config.route.clone(), seed),
            ownership: Ownership::new(parts.config.name.as_str()),
            book: Book::default(),
            heard: Heard::default(),
            waiting: HashMap::default(),
            flights: HashMap::default(),
            run_times: HashMap::default(),
            leaving: Leaving::default(),
            seats: BTreeMap::new(),
            terms: HashMap::default(),
            seat_tries: HashMap::default(),
            seen: Seen::default(),
            is_draining: false,
            actions: Vec::new(),
            parts,
            control,
        }
    }

    fn run(mut self, inputs: &mpsc::Receiver<Input>) {
        loop {
            match inputs.recv_timeout(self.pause()) {
                Ok(Input::Stop) | Err(mpsc::RecvTimeoutError::Disconnected) => return,
                Ok(input) => {
                    self.take(input);
                    for input in inputs.try_iter().take(INPUTS_A_STEP) {
                        if matches!(input, Input::Stop) {
                            return;
                        }
                        self.take(input);
                    }
                }
                Err(mpsc::RecvTimeoutError::Timeout) => {}
            }
            self.do_due();
        }
    }

    /// Does what is due by time.
    fn do_due(&mut self) {
        let now_ms = clock::now_ms();
        if self.dispatcher.next_due_ms().is_some_and(|due_ms| due_ms <= now_ms) {
            self.step(route::Event::Tick);
        }
        let seats_due_ms = self.seats.values().filter_map(Seat::next_due_ms).min();
        if seats_due_ms.is_some_and(|due_ms| due_ms <= now_ms) {
            self.tick_seats();
        }
        if now_ms < self.seen.looked_ms + LOOK_EVERY_MS {
            return;
        }
        self.seen.looked_ms = now_ms;
        self.look_around();
        self.step(route::Event::Tick);
        self.tick_seats();
        self.hand_back_queued();
    }

    /// Time until something is due, at most one step.
    fn pause(&self) -> Duration {
        let seats_due_ms = self.seats.values().filter_map(Seat::next_due_ms).min();
        let due_ms = self.dispatcher.next_due_ms().unwrap_or(u64::MAX);
        let due_ms = due_ms.min(seats_due_ms.unwrap_or(u64::MAX));
        let left_ms = due_ms.saturating_sub(clock::now_ms());
        Duration::from_millis(left_ms.clamp(1, STEP_MS))
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Submit { submitted, verdict, request } => {
                self.submit(request, submitted, verdict);
            }
            Input::Cancel(request) => self.step(route::Event::Cancel { request }),
            Input::CancelKey { service, key, found } => {
                let _ = found.try_send(self.cancel_key(&service, &key));
            }
            Input::Ended { request, endpoint, result, reply, sign } => {
                self.end_flight(request, endpoint, result, reply, sign);
            }
            Input::Read(reading) => self.take_reading(&reading),
            Input::Released { generation, endpoints } => self.acquired(generation, &endpoints),
            Input::Unreleased { generation } => self.ownership.retry(generation),
            Input::Release { request, answer } => {
                let _ = answer.try_send(self.release(&request));
            }
            Input::BeginKey { zone, begin, verdict } => self.begin_key(&zone, begin, verdict),
            Input::AbandonKey { zone, ticket } => self.abandon_key(&zone, ticket),
            Input::EndKey { zone, end, is_held } => {
                let _ = is_held.try_send(self.end_key(&zone, end));
            }
            Input::StoreEvent { zone, term, event } => self.take_store_event(&zone, term, event),
            Input::Hosts(leaving) => self.take_hosts(leaving),
            Input::Heard(heartbeat) => self.hear(*heartbeat),
            Input::PeerFailed(name) => {
                self.heard.forget(&name);
                self.tell_peers();
            }
            Input::Describe(answer) => {
                let _ = answer.try_send(self.describe());
            }
            Input::Drain => {
                self.is_draining = true;
                self.ownership.begin_drain();
            }
            Input::Idle(answer) => {
                let requests = self.waiting.len() + self.flights.len();
                let _ = answer.try_send(Idle { owned: self.ownership.owned().len(), requests });
            }
            Input::Cut => self.cut(),
            Input::Stop => {}
        }
    }

    fn submit(
        &mut self,
        request: RequestKey,
        submitted: Arc<Submitted>,
        verdict: async_channel::Sender<Verdict>,
    ) {
        let Some(service) = self.book.service(&submitted.service) else {
            let _ = verdict.try_send(Verdict::not_run(Reason::NoEndpoint));
            return;
        };
        let submission = Submission {
            request,
            service,
            kind: book::kind_key(&submitted.service, &submitted.kind),
            caller: book::caller_key(&submitted.caller),
            is_idempotent: submitted.is_idempotent,
            is_forwarded: submitted.is_forwarded,
            deadline_ms: submitted.deadline_ms,
        };
        self.waiting.insert(request, Waiting { submitted, verdict, may_have_run: false });
        self.step(route::Event::Submit(submission));
    }

    fn cancel_key(&mut self, service: &str, key: &str) -> bool {
        let matches = |waiting: &Waiting| {
            waiting.submitted.key == key && waiting.submitted.service == service
        };
        let mut found: Vec<RequestKey> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| matches(waiting))
            .map(|(request, _)| *request)
            .collect();
        found.sort();
        for request in &found {
            self.step(route::Event::Cancel { request: *request });
        }
        !found.is_empty()
    }

    /// Sends what still waits in queues on to the host's peers, once it owns nothing any more.
    fn hand_back_queued(&mut self) {
        if !self.is_draining || !self.ownership.owned().is_empty() {
            return;
        }
        let in_queue = |request: &RequestKey, waiting: &Waiting| {
            !waiting.may_have_run && !self.flights.contains_key(request)
        };
        let mut queued: Vec<RequestKey> = self
            .waiting
            .iter()
            .filter(|(request, waiting)| in_queue(request, waiting))
            .map(|(request, _)| *request)
            .collect();
        queued.sort();
        for request in queued {
            let Some(waiting) = self.waiting.get(&request) else { continue };
            let verdict = match self.successor(&waiting.submitted) {
                _ if waiting.submitted.is_forwarded => Verdict::not_run(Reason::Draining),
                Some((peer, address)) => Verdict::Forward { peer, address },
                None => continue,
            };
            self.finish(request, verdict);
            self.step(route::Event::Cancel { request });
        }
    }

    /// The host of the zone with the most free slots for a request.
    fn successor(&self, submitted: &Submitted) -> Option<(String, String)> {
        let config = &self.parts.config;
        let recent = self.heard.recent(config.peers.heartbeat_age_ms);
        let free = |host: &&Heartbeat| {
            let loads = host.loads.iter().find(|(service, _)| *service == submitted.service);
            loads.map_or(0, |(_, load)| load.free_slots)
        };
        let staying =
            recent.into_iter().filter(|host| host.zone == config.zone && !host.is_leaving);
        let best = staying.max_by_key(free)?;
        Some((best.name.clone(), best.address.clone()))
    }

    /// Drives the dispatcher and carries out what it decides.
    fn step(&mut self, event: route::Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.dispatcher.step(event, clock::now_ms(), &mut actions);
        for action in actions.drain(..) {
            self.act(action);
        }
        self.actions = actions;
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { request, endpoint } => self.begin_flight(request, endpoint),
            Action::Finish { request, outcome, reason, retry_after_ms } => {
                self.finish(request, Verdict::Ended { outcome, reason, retry_after_ms });
                if outcome == Outcome::NotRun {
                    self.parts.metrics.refused(reason);
                }
            }
            Action::Forward { request, peer } => self.forward(request, peer),
            Action::Probe { endpoint } => {
                self.read_endpoint(endpoint, Purpose::Probe);
            }
            // An endpoint may go on with a request whose connection breaks, and its slot would be
            // given away; the send goes on to its end instead.
            Action::Abort { .. } => {}
        }
    }

    fn finish(&mut self, request: RequestKey, verdict: Verdict) {
        if let Some(waiting) = self.waiting.remove(&request) {
            let _ = waiting.verdict.try_send(verdict);
        }
    }

    fn forward(&mut self, request: RequestKey, peer: route::PeerKey) {
        let peer = self.book.peer_name(peer).to_owned();
        let recent = self.heard.recent(self.parts.config.peers.heartbeat_age_ms);
        let address = recent.iter().find(|host| host.name == peer).map(|host| host.address.clone());
        let address = address.unwrap_or_default();
        self.finish(request, Verdict::Forward { peer, address });
    }

    fn describe(&self) -> Exchange {
        let config = &self.parts.config;
        let recent = self.heard.recent(config.peers.heartbeat_age_ms);
        let zone = recent.into_iter().filter(|host| host.zone == config.zone).cloned().collect();
        Exchange { own: self.describe_own(), zone }
    }

    /// Tells every caller that still waits what is certain.
    fn cut(&mut self) {
        let waiting = std::mem::take(&mut self.waiting);
        for (request, waiting) in waiting {
            let may_have_run = waiting.may_have_run || self.flights.contains_key(&request);
            let reason = Reason::Draining;
            let verdict =
                if may_have_run { Verdict::unknown(reason) } else { Verdict::not_run(reason) };
            let _ = waiting.verdict.try_send(verdict);
        }
    }

    fn describe_own(&self) -> Heartbeat {
        let member = self.parts.session.member();
        let load = self.dispatcher.load();
        let named = |(service, load): (route::ServiceKey, route::ServiceLoad)| {
            (self.book.service_name(service).to_owned(), load)
        };
        Heartbeat {
            name: member.name,
            zone: member.zone,
            address: member.address,
            incarnation: member.incarnation,
            is_leaving: self.is_draining,
            is_session_held: self.parts.session.lease().is_some(),
            config_revision: self.seen.config_revision,
            leaving: self.leaving_names(),
            loads: load.services.into_iter().map(named).collect(),
        }
    }
}
