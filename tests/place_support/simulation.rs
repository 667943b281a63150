//! Simulation of a zone with faults: workers, two holders, the store and the calls between them.
//!
//! The workers follow the protocol of `place::message`. What runs on them is the ground truth:
//! every start that a worker accepts is checked against the tasks on all workers.

mod network;
mod workers;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use hemlockrock::configs::place::PlaceConfig;
use hemlockrock::declarations::Declarations;
use hemlockrock::inventory::WorkerKey;
use hemlockrock::place::message::{
    Attempt, AttemptState, End, JobId, JobProgress, JobState, StopMode, TaskId,
};
use hemlockrock::place::spec::{JobSpec, Resources};
use hemlockrock::place::{Action, Event, Placer};
use hemlockrock::quota::Shares;
use rand::rngs::SmallRng;
use rand::SeedableRng as _;

use super::ZONE;
use network::Message;
use workers::{Call, Run, SimulatedWorker};

/// Duration of the zone lease in the store, in milliseconds.
const ZONE_LEASE_MS: u64 = 3_000;
/// Time by which a holder takes the zone lease as ended earlier, in milliseconds.
const ZONE_MARGIN_MS: u64 = 200;
/// Time between two steps of the simulation, in milliseconds.
pub(crate) const STEP_MS: u64 = 100;
/// Number of processes that compete for the zone lease.
pub(crate) const HOLDERS: usize = 2;

/// An entry in the log of writes to the store.
#[derive(Clone, Debug)]
enum LogEntry {
    Epoch(u64),
    Job(JobId),
    Cancel(JobId),
}

/// The simulated store.
#[derive(Debug, Default)]
struct Store {
    log: Vec<LogEntry>,
    records: BTreeMap<JobId, (Arc<JobSpec>, JobProgress)>,
    /// Epoch of the zone lease, raised by each new holder.
    epoch: u64,
    /// Index and incarnation of the process that holds the zone lease.
    owner: Option<(usize, u64)>,
    lease_until_ms: u64,
}

/// A process that runs a placer and carries out its actions.
#[derive(Debug)]
pub(crate) struct Holder {
    pub(crate) placer: Placer,
    /// Number of the process start; responses to an earlier incarnation are dropped.
    incarnation: u64,
    pub(crate) is_paused: bool,
    is_store_disconnected: bool,
    disconnected_workers: BTreeSet<usize>,
    /// Number of entries of the store's log that were read.
    cursor: usize,
    inbox: Vec<Event>,
    /// Actions to carry out, with the epoch under which they were emitted.
    outbox: Vec<(u64, Action)>,
    /// Progress to write to the store.
    records: BTreeMap<JobId, JobProgress>,
}

/// The simulated zone.
#[derive(Debug)]
pub(crate) struct Simulation {
    config: PlaceConfig,
    declared: Arc<Declarations>,
    shares: Option<Arc<Shares>>,
    workers: Vec<SimulatedWorker>,
    keys: Vec<WorkerKey>,
    pub(crate) holders: Vec<Holder>,
    store: Store,
    /// Messages in flight: time of delivery, order of sending, message.
    messages: Vec<(u64, u64, Message)>,
    /// Ids of calls that were neither answered nor timed out.
    open_calls: BTreeSet<u64>,
    random: SmallRng,
    pub(crate) now_ms: u64,
    next_id: u64,
    /// Number of process starts so far.
    incarnations: u64,
    /// Probability that a call or its response is lost or late.
    pub(crate) fault_probability: f64,
    /// Number of tasks that workers started.
    pub(crate) starts: u64,
    /// Number of stops that holders emitted, other than to throttle.
    pub(crate) stops: u64,
    pub(crate) last_start_ms: u64,
}

impl Simulation {
    pub(crate) fn new(declared: Declarations, shares: Option<Shares>, seed: u64) -> Self {
        let declared = Arc::new(declared);
        let workers = (0..).zip(&declared.workers).map(|(index, worker)| SimulatedWorker {
            capacity: Resources::new(worker.cpu_millis, worker.memory_bytes, worker.accelerators),
            clock_offset_ms: 50_000 + index * 977,
            epoch: 0,
            barrier: Attempt::default(),
            runs: BTreeMap::new(),
        });
        let mut simulation = Self {
            config: PlaceConfig::default(),
            workers: workers.collect(),
            declared,
            shares: shares.map(Arc::new),
            keys: Vec::new(),
            holders: Vec::new(),
            store: Store::default(),
            messages: Vec::new(),
            open_calls: BTreeSet::new(),
            random: SmallRng::seed_from_u64(seed),
            now_ms: 10_000,
            next_id: 0,
            incarnations: 0,
            fault_probability: 0.0,
            starts: 0,
            stops: 0,
            last_start_ms: 0,
        };
        for holder in 0..HOLDERS {
            let new_holder = simulation.new_holder();
            simulation.holders.insert(holder, new_holder);
        }
        simulation.keys =
            simulation.holders[0].placer.inventory().workers().map(|(key, _)| key).collect();
        simulation
    }

    fn new_holder(&mut self) -> Holder {
        self.incarnations += 1;
        let mut placer = Placer::new(self.config.clone(), ZONE, self.incarnations);
        let mut out = Vec::new();
        placer.step(Event::Declared(Arc::clone(&self.declared)), self.now_ms, &mut out);
        if let Some(shares) = &self.shares {
            placer.step(Event::Quota(Arc::clone(shares)), self.now_ms, &mut out);
        }
        Holder {
            placer,
            incarnation: self.incarnations,
            is_paused: false,
            is_store_disconnected: false,
            disconnected_workers: BTreeSet::new(),
            cursor: 0,
            inbox: Vec::new(),
            outbox: Vec::new(),
            records: BTreeMap::new(),
        }
    }

    pub(crate) fn submit(&mut self, spec: JobSpec) -> JobId {
        let id: JobId = format!("j{}", self.store.records.len()).as_str().into();
        self.store.records.insert(Arc::clone(&id), (Arc::new(spec), JobProgress::default()));
        self.store.log.push(LogEntry::Job(Arc::clone(&id)));
        id
    }

    pub(crate) fn cancel(&mut self, number: usize) {
        let Some(id) = self.store.records.keys().nth(number).cloned() else { return };
        if let Some((_, progress)) = self.store.records.get_mut(&id) {
            progress.is_cancelled = true;
        }
        self.store.log.push(LogEntry::Cancel(id));
    }

    pub(crate) fn pause(&mut self, holder: usize) {
        self.holders[holder].is_paused = true;
    }

    pub(crate) fn resume(&mut self, holder: usize) {
        self.holders[holder].is_paused = false;
    }

    pub(crate) fn kill(&mut self, holder: usize) {
        self.holders[holder] = self.new_holder();
    }

    pub(crate) fn disconnect_store(&mut self, holder: usize) {
        self.holders[holder].is_store_disconnected = true;
    }

    pub(crate) fn disconnect_worker(&mut self, holder: usize, worker: usize) {
        let worker = worker % self.workers.len();
        self.holders[holder].disconnected_workers.insert(worker);
    }

    pub(crate) fn clear_faults(&mut self) {
        for holder in &mut self.holders {
            holder.is_paused = false;
            holder.is_store_disconnected = false;
            holder.disconnected_workers.clear();
        }
    }

    /// Restarts a worker's host: its tasks are gone and its clock jumps forward.
    pub(crate) fn restart_worker(&mut self, worker: usize) {
        let worker = worker % self.workers.len();
        self.workers[worker].runs.clear();
        self.workers[worker].clock_offset_ms += 1_000_000;
    }

    /// Lets one running task exit on its own; `number` selects it.
    pub(crate) fn end_task(&mut self, number: usize, end: End) {
        let running = self.workers.iter_mut().flat_map(|simulated| simulated.runs.values_mut());
        let mut running: Vec<&mut Run> = running.filter(|run| run.is_running()).collect();
        if running.is_empty() {
            return;
        }
        let number = number % running.len();
        running[number].state = AttemptState::Ended(end);
    }

    pub(crate) fn advance(&mut self, span_ms: u64) {
        let ends_ms = self.now_ms + span_ms;
        while self.now_ms < ends_ms {
            self.now_ms += STEP_MS;
            self.expire_leases();
            self.deliver();
            for holder in 0..HOLDERS {
                if !self.holders[holder].is_paused {
                    self.step_holder(holder);
                }
            }
        }
    }

    /// Tasks that run on any worker.
    pub(crate) fn running(&self) -> Vec<TaskId> {
        let runs = self.workers.iter().flat_map(|simulated| simulated.runs.values());
        runs.filter(|run| run.is_running()).map(|run| run.task.clone()).collect()
    }

    /// Index of the holder under the latest epoch.
    pub(crate) fn active(&self) -> Option<usize> {
        let epoch = self.store.epoch;
        (0..HOLDERS).find(|holder| self.holders[*holder].placer.epoch() == Some(epoch))
    }

    pub(crate) fn jobs(&self) -> Vec<(JobId, Arc<JobSpec>, JobProgress)> {
        let records = self.store.records.iter();
        records.map(|(id, (spec, progress))| (id.clone(), spec.clone(), progress.clone())).collect()
    }

    /// Checks a zone without faults that had time to settle: the active holder's reservations match
    /// the workers, gangs run completely or not at all, and no cancelled job runs.
    pub(crate) fn check_at_rest(&self) {
        let holder = self.active().expect("a holder at rest");
        let placer = &self.holders[holder].placer;
        for (simulated, key) in self.workers.iter().zip(&self.keys) {
            let runs = simulated.runs.values().filter(|run| run.is_running());
            let expected = runs.fold(Resources::default(), |sum, run| sum.plus(run.reserved));
            assert_eq!(placer.reserved(*key), expected, "reservations at rest");
        }
        let running = self.running();
        for (id, spec, progress) in self.jobs() {
            let count = running.iter().filter(|task| task.job_id == id).count();
            let finished: u32 = progress.finished.iter().map(|(from, to)| to - from).sum();
            if progress.is_cancelled {
                assert_eq!(count, 0, "{id} was cancelled");
            } else if spec.kind == hemlockrock::place::spec::JobKind::Gang {
                let all = (spec.tasks - finished) as usize;
                assert!(count == 0 || count == all, "{id}: {count} of {all} run");
            }
        }
    }

    /// Carries out a holder's actions, then lets it process the store's changes and its responses.
    fn step_holder(&mut self, number: usize) {
        for (epoch, action) in std::mem::take(&mut self.holders[number].outbox) {
            self.carry_out(number, epoch, action);
        }
        let mut events = Vec::new();
        if !self.holders[number].is_store_disconnected {
            events.extend(self.sync_store(number));
        }
        events.append(&mut self.holders[number].inbox);
        events.push(Event::Tick);
        for event in events {
            self.process(number, event);
        }
    }

    fn process(&mut self, number: usize, event: Event) {
        let now_ms = self.now_ms;
        let holder = &mut self.holders[number];
        let mut out = Vec::new();
        holder.placer.step(event, now_ms, &mut out);
        let epoch = holder.placer.epoch().unwrap_or(0);
        let actions = out.into_iter().map(|action| (epoch, action));
        holder.outbox.extend(actions);
    }

    /// Reads the store's log, acquires or renews the zone lease, and writes progress.
    fn sync_store(&mut self, number: usize) -> Vec<Event> {
        let incarnation = self.holders[number].incarnation;
        let mut events = self.read_log(number);
        let is_owner = self.store.owner == Some((number, incarnation));
        let is_free = self.now_ms >= self.store.lease_until_ms;
        if is_owner || is_free {
            self.store.lease_until_ms = self.now_ms + ZONE_LEASE_MS;
            let confirmed_until_ms = self.store.lease_until_ms - ZONE_MARGIN_MS;
            if !is_owner || self.holders[number].placer.epoch().is_none() {
                self.store.epoch += 1;
                self.store.owner = Some((number, incarnation));
                self.store.log.push(LogEntry::Epoch(self.store.epoch));
                self.holders[number].cursor = self.store.log.len();
                self.holders[number].records.clear();
                events.clear();
                events.push(Event::Holding { epoch: self.store.epoch, confirmed_until_ms });
                for (job_id, spec, progress) in self.jobs() {
                    events.push(Event::Restored { job_id, spec, progress });
                }
                events.push(Event::RestoredAll);
            } else {
                events.push(Event::Holding { epoch: self.store.epoch, confirmed_until_ms });
                self.write_records(number, &mut events);
            }
        }
        events
    }

    fn read_log(&mut self, number: usize) -> Vec<Event> {
        let holder = &mut self.holders[number];
        let mut events = Vec::new();
        for entry in &self.store.log[holder.cursor..] {
            match entry {
                LogEntry::Epoch(epoch) if Some(*epoch) > holder.placer.epoch() => {
                    if holder.placer.epoch().is_some() {
                        events.push(Event::Fenced);
                    }
                }
                LogEntry::Epoch(_) => {}
                LogEntry::Job(id) => {
                    let (spec, _) = &self.store.records[id];
                    let (job_id, spec) = (Arc::clone(id), Arc::clone(spec));
                    events.push(Event::Submit { job_id, spec });
                }
                LogEntry::Cancel(id) => events.push(Event::Cancel { job_id: Arc::clone(id) }),
            }
        }
        holder.cursor = self.store.log.len();
        events
    }

    fn write_records(&mut self, number: usize, events: &mut Vec<Event>) {
        for (job_id, progress) in std::mem::take(&mut self.holders[number].records) {
            let Some((_, known)) = self.store.records.get_mut(&job_id) else { continue };
            let version = progress.version;
            let is_cancelled = known.is_cancelled || progress.is_cancelled;
            *known = JobProgress { is_cancelled, ..progress };
            events.push(Event::Recorded { job_id, version });
        }
    }

    fn carry_out(&mut self, number: usize, epoch: u64, action: Action) {
        match action {
            Action::Start { worker, attempt, task, reserved, token_ms, .. } => {
                let call = Call::Start { attempt, task, reserved, token_ms };
                let lost = Event::LostReply { attempt };
                self.send(number, epoch, worker, call, Some(lost));
            }
            Action::Stop { worker, attempt, mode } => {
                self.stops += u64::from(mode != StopMode::Throttle);
                self.send(number, epoch, worker, Call::Stop { attempt, mode }, None);
            }
            Action::Read { worker, barrier } => {
                let silent = Event::Silent { worker };
                self.send(number, epoch, worker, Call::Read { barrier }, Some(silent));
            }
            Action::Renew { worker, token_ms } => {
                let silent = Event::Silent { worker };
                self.send(number, epoch, worker, Call::Renew { token_ms }, Some(silent));
            }
            Action::Forget { worker, attempts } => {
                self.send(number, epoch, worker, Call::Forget { attempts }, None);
            }
            Action::JobState { job_id, state } => self.check_state(&job_id, &state),
            Action::Record { job_id, progress } => {
                self.holders[number].records.insert(job_id, progress);
            }
        }
    }

    /// Checks that no task of a job runs when its final state is published.
    fn check_state(&self, job_id: &JobId, state: &JobState) {
        if matches!(state, JobState::Cancelled | JobState::Finished | JobState::Rejected(_)) {
            let running = self.running();
            let still_running = running.iter().find(|task| task.job_id == *job_id);
            assert_eq!(still_running, None, "{job_id} became {state:?} at {} ms", self.now_ms);
        }
    }
}
