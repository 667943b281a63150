//! Control thread of an entry host. It owns the dispatcher, the ownership of endpoints, the held
//! ledgers and the requests at this host, and turns the dispatcher's actions into tasks.

mod foreign;
mod leaving;
mod ledgers;
mod sends;
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
use crate::ledger::holder::HeldLedger;
use crate::membership::Session;
use crate::outcome::{Outcome, Reason};
use crate::route::{self, Action, Dispatcher, RequestKey, Submission};
use crate::store::mirror::Mirror;
use crate::store::{Revision, Store};

use super::authority::Authority;
use super::catalog::{self, Catalog};
use super::heartbeat::{Exchange, Heartbeat, PeerHeartbeats};
use super::message::{Control, Input, ReadPurpose, Remaining, RequestResult, SubmittedRequest};
use super::metrics::Metrics;
use super::ownership::Ownership;

use leaving::Leaving;
use sends::InFlight;

/// Longest time for which the thread waits for an input before it checks for due work, in
/// milliseconds.
const MAX_PAUSE_MS: u64 = 20;

/// Shortest time between two checks of members, declarations and other periodic work, in
/// milliseconds.
const REFRESH_EVERY_MS: u64 = 10;

/// Most inputs handled before due work is checked again.
const MAX_INPUTS_PER_STEP: usize = 512;

/// Configuration, clients and shared state that the control thread uses.
#[derive(Clone, Debug)]
pub(super) struct Dependencies {
    pub(super) config: Arc<EntryConfig>,
    /// The platform's store.
    pub(super) store: Arc<dyn Store>,
    /// Session of this host with the store.
    pub(super) session: Session,
    /// Local copy of the store's keys.
    pub(super) mirror: Mirror,
    /// Declarations in force.
    pub(super) feed: Feed,
    /// Connections to endpoints.
    pub(super) endpoints: Pool,
    /// Connections to other entry hosts.
    pub(super) peers: Pool,
    /// Whether this host may send to the endpoints it owns.
    pub(super) authority: Authority,
    pub(super) metrics: Arc<Metrics>,
    /// Set by the control thread once this host can send requests somewhere.
    pub(super) is_settled: Arc<AtomicBool>,
}

/// Starts the control thread and returns the handle that sends inputs to it.
///
/// # Errors
/// The thread cannot be started.
pub(super) fn start(deps: Dependencies) -> std::io::Result<Control> {
    let (sender, inputs) = mpsc::channel();
    let control = Control::new(sender);
    let handle = control.clone();
    let builder = std::thread::Builder::new().name("control".to_owned());
    builder.spawn(move || ControlThread::new(deps, handle).run(&inputs))?;
    Ok(control)
}

/// State of the control thread.
struct ControlThread {
    deps: Dependencies,
    control: Control,
    dispatcher: Dispatcher,
    ownership: Ownership,
    catalog: Catalog,
    heartbeats: PeerHeartbeats,
    /// Requests whose callers wait for a result.
    waiting: HashMap<RequestKey, Waiting>,
    /// Sends to endpoints that have not ended.
    in_flight: HashMap<RequestKey, InFlight>,
    /// Moving average of the run time of each kind of work, in milliseconds.
    run_times: HashMap<route::KindKey, f64>,
    /// Endpoints that are about to shut down.
    leaving: Leaving,
    /// Ledgers that this host holds, by zone.
    ledgers: BTreeMap<String, HeldLedger>,
    /// Number of times this host became holder, by zone.
    terms: HashMap<String, u64>,
    /// Earliest time of the next attempt to become holder, by zone, on the monotonic clock.
    next_claim_ms: HashMap<String, u64>,
    checked: LastChecked,
    is_draining: bool,
    /// Reused buffer for the dispatcher's actions.
    actions: Vec<Action>,
}

/// A request whose caller waits for a result.
struct Waiting {
    submitted: Arc<SubmittedRequest>,
    reply_to: async_channel::Sender<RequestResult>,
    /// Whether a send of the request was lost, so that it may have run.
    may_have_run: bool,
}

/// Revisions last processed, and the times of the last periodic checks in milliseconds on the
/// monotonic clock.
#[derive(Debug, Default)]
struct LastChecked {
    members_revision: Option<Revision>,
    config_revision: u64,
    peers_reported_ms: u64,
    foreign_read_ms: u64,
    progress_read_ms: u64,
    ledgers_checked_ms: u64,
    leaving_read_ms: u64,
    refreshed_ms: u64,
}

impl ControlThread {
    fn new(deps: Dependencies, control: Control) -> Self {
        let seed = crate::collections::stable_hash(&deps.config.name);
        Self {
            dispatcher: Dispatcher::new(deps.config.route.clone(), seed),
            ownership: Ownership::new(deps.config.name.as_str()),
            catalog: Catalog::default(),
            heartbeats: PeerHeartbeats::default(),
            waiting: HashMap::default(),
            in_flight: HashMap::default(),
            run_times: HashMap::default(),
            leaving: Leaving::default(),
            ledgers: BTreeMap::new(),
            terms: HashMap::default(),
            next_claim_ms: HashMap::default(),
            checked: LastChecked::default(),
            is_draining: false,
            actions: Vec::new(),
            deps,
            control,
        }
    }

    fn run(mut self, inputs: &mpsc::Receiver<Input>) {
        loop {
            match inputs.recv_timeout(self.pause()) {
                Ok(Input::Stop) | Err(mpsc::RecvTimeoutError::Disconnected) => return,
                Ok(input) => {
                    self.handle_input(input);
                    for input in inputs.try_iter().take(MAX_INPUTS_PER_STEP) {
                        if matches!(input, Input::Stop) {
                            return;
                        }
                        self.handle_input(input);
                    }
                }
                Err(mpsc::RecvTimeoutError::Timeout) => {}
            }
            self.run_due();
        }
    }

    /// Runs the work that is due by time.
    fn run_due(&mut self) {
        let now_ms = clock::now_ms();
        if self.dispatcher.next_due_ms().is_some_and(|due_ms| due_ms <= now_ms) {
            self.step(route::Event::Tick);
        }
        let ledgers_due_ms = self.ledgers.values().filter_map(HeldLedger::next_due_ms).min();
        if ledgers_due_ms.is_some_and(|due_ms| due_ms <= now_ms) {
            self.tick_ledgers();
        }
        if now_ms < self.checked.refreshed_ms + REFRESH_EVERY_MS {
            return;
        }
        self.checked.refreshed_ms = now_ms;
        self.refresh();
        self.step(route::Event::Tick);
        self.tick_ledgers();
        self.forward_queued();
    }

    /// Time until the next work is due, between 1 ms and [`MAX_PAUSE_MS`].
    fn pause(&self) -> Duration {
        let ledgers_due_ms = self.ledgers.values().filter_map(HeldLedger::next_due_ms).min();
        let due_ms = self.dispatcher.next_due_ms().unwrap_or(u64::MAX);
        let due_ms = due_ms.min(ledgers_due_ms.unwrap_or(u64::MAX));
        let left_ms = due_ms.saturating_sub(clock::now_ms());
        Duration::from_millis(left_ms.clamp(1, MAX_PAUSE_MS))
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Submit { submitted, reply_to, request } => {
                self.submit(request, submitted, reply_to);
            }
            Input::Cancel(request) => self.step(route::Event::Cancel { request }),
            Input::CancelKey { service, key, found } => {
                let _ = found.try_send(self.cancel_key(&service, &key));
            }
            Input::Ended { request, endpoint, result, reply, signal } => {
                self.end_send(request, endpoint, result, reply, signal);
            }
            Input::Read(reading) => self.handle_reading(&reading),
            Input::Released { generation, endpoints } => {
                self.handle_released(generation, &endpoints);
            }
            Input::Unreleased { generation } => self.ownership.retry(generation),
            Input::Release { request, answer } => {
                let _ = answer.try_send(self.release(&request));
            }
            Input::BeginKey { zone, begin, reply_to } => self.begin_key(&zone, begin, reply_to),
            Input::AbandonKey { zone, ticket } => self.abandon_key(&zone, ticket),
            Input::EndKey { zone, end, is_held } => {
                let _ = is_held.try_send(self.end_key(&zone, end));
            }
            Input::StoreEvent { zone, term, event } => self.handle_store_event(&zone, term, event),
            Input::Hosts(leaving) => self.set_leaving_hosts(leaving),
            Input::Heartbeat(heartbeat) => self.handle_heartbeat(*heartbeat),
            Input::PeerFailed(name) => {
                self.heartbeats.forget(&name);
                self.report_peer_loads();
            }
            Input::HeartbeatExchange(answer) => {
                let _ = answer.try_send(self.heartbeat_exchange());
            }
            Input::Drain => {
                self.is_draining = true;
                self.ownership.begin_drain();
            }
            Input::Remaining(answer) => {
                let requests = self.waiting.len() + self.in_flight.len();
                let _ =
                    answer.try_send(Remaining { owned: self.ownership.owned().len(), requests });
            }
            Input::AnswerAll => self.answer_all(),
            Input::Stop => {}
        }
    }

    /// Passes an accepted request to the dispatcher; one for a service that isn't declared is not
    /// run.
    fn submit(
        &mut self,
        request: RequestKey,
        submitted: Arc<SubmittedRequest>,
        reply_to: async_channel::Sender<RequestResult>,
    ) {
        let Some(service) = self.catalog.service(&submitted.service) else {
            let _ = reply_to.try_send(RequestResult::not_run(Reason::NoEndpoint));
            return;
        };
        let submission = Submission {
            request,
            service,
            kind: catalog::kind_key(&submitted.service, &submitted.kind),
            caller: catalog::caller_key(&submitted.caller),
            is_idempotent: submitted.is_idempotent,
            is_forwarded: submitted.is_forwarded,
            deadline_ms: submitted.deadline_ms,
        };
        self.waiting.insert(request, Waiting { submitted, reply_to, may_have_run: false });
        self.step(route::Event::Submit(submission));
    }

    /// Cancels all waiting requests with an idempotency key; returns whether there was one.
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

    /// During a drain, forwards requests that are still queued to a peer once this host owns no
    /// endpoint.
    fn forward_queued(&mut self) {
        if !self.is_draining || !self.ownership.owned().is_empty() {
            return;
        }
        let in_queue = |request: &RequestKey, waiting: &Waiting| {
            !waiting.may_have_run && !self.in_flight.contains_key(request)
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
            let result = match self.successor(&waiting.submitted) {
                _ if waiting.submitted.is_forwarded => RequestResult::not_run(Reason::Draining),
                Some((peer, address)) => RequestResult::Forward { peer, address },
                None => continue,
            };
            self.finish(request, result);
            self.step(route::Event::Cancel { request });
        }
    }

    /// Name and address of the zone's host with the most free slots for a request.
    fn successor(&self, submitted: &SubmittedRequest) -> Option<(String, String)> {
        let config = &self.deps.config;
        let recent = self.heartbeats.recent(config.peers.heartbeat_age_ms);
        let free = |host: &&Heartbeat| {
            let loads = host.loads.iter().find(|(service, _)| *service == submitted.service);
            loads.map_or(0, |(_, load)| load.free_slots)
        };
        let staying =
            recent.into_iter().filter(|host| host.zone == config.zone && !host.is_leaving);
        let best = staying.max_by_key(free)?;
        Some((best.name.clone(), best.address.clone()))
    }

    /// Passes an event to the dispatcher and executes the resulting actions.
    fn step(&mut self, event: route::Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.dispatcher.step(event, clock::now_ms(), &mut actions);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { request, endpoint } => self.begin_send(request, endpoint),
            Action::Finish { request, outcome, reason, retry_after_ms } => {
                self.finish(request, RequestResult::Ended { outcome, reason, retry_after_ms });
                if outcome == Outcome::NotRun {
                    self.deps.metrics.request_not_run(reason);
                }
            }
            Action::Forward { request, peer } => self.forward(request, peer),
            Action::Probe { endpoint } => {
                self.read_endpoint(endpoint, ReadPurpose::Probe);
            }
            // Aborting the send would break the connection. The endpoint may go on with the request
            // while its slot is given to another one, so the send runs to its end.
            Action::Abort { .. } => {}
        }
    }

    /// Sends the result to the caller, if it still waits.
    fn finish(&mut self, request: RequestKey, result: RequestResult) {
        if let Some(waiting) = self.waiting.remove(&request) {
            let _ = waiting.reply_to.try_send(result);
        }
    }

    /// Tells the handler of a request to forward it to a peer; the address is empty if the peer has
    /// sent no recent heartbeat.
    fn forward(&mut self, request: RequestKey, peer: route::PeerKey) {
        let peer = self.catalog.peer_name(peer).to_owned();
        let recent = self.heartbeats.recent(self.deps.config.peers.heartbeat_age_ms);
        let address = recent.iter().find(|host| host.name == peer).map(|host| host.address.clone());
        let address = address.unwrap_or_default();
        self.finish(request, RequestResult::Forward { peer, address });
    }

    /// Heartbeat of this host and the recent ones of its zone.
    fn heartbeat_exchange(&self) -> Exchange {
        let config = &self.deps.config;
        let recent = self.heartbeats.recent(config.peers.heartbeat_age_ms);
        let zone = recent.into_iter().filter(|host| host.zone == config.zone).cloned().collect();
        Exchange { own: self.own_heartbeat(), zone }
    }

    /// Answers every waiting caller with `unknown` if its request may have run, else with
    /// `not_run`.
    fn answer_all(&mut self) {
        let waiting = std::mem::take(&mut self.waiting);
        for (request, waiting) in waiting {
            let may_have_run = waiting.may_have_run || self.in_flight.contains_key(&request);
            let reason = Reason::Draining;
            let result = if may_have_run {
                RequestResult::unknown(reason)
            } else {
                RequestResult::not_run(reason)
            };
            let _ = waiting.reply_to.try_send(result);
        }
    }

    fn own_heartbeat(&self) -> Heartbeat {
        let member = self.deps.session.member();
        let load = self.dispatcher.load();
        let named = |(service, load): (route::ServiceKey, route::ServiceLoad)| {
            (self.catalog.service_name(service).to_owned(), load)
        };
        Heartbeat {
            name: member.name,
            zone: member.zone,
            address: member.address,
            incarnation: member.incarnation,
            is_leaving: self.is_draining,
            is_session_held: self.deps.session.lease().is_some(),
            config_revision: self.checked.config_revision,
            leaving: self.leaving_names(),
            loads: load.services.into_iter().map(named).collect(),
        }
    }
}
