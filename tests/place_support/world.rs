//! A zone in which everything may fail: workers, two holders, the store and the calls between.
//!
//! Workers are the truth. Each keeps the rules of `place::message`, and every
//! start that one takes is checked against what runs on all of them.

mod agents;
mod network;

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
use agents::{Agent, Call, Run};
use network::Message;

/// Time to live of the zone lease in the store.
const ZONE_LEASE_MS: u64 = 3_000;
const ZONE_MARGIN_MS: u64 = 200;
pub(crate) const STEP_MS: u64 = 100;
pub(crate) const HOLDERS: usize = 2;

/// What the store keeps, in the order of its writes.
#[derive(Clone, Debug)]
enum Entry {
    Epoch(u64),
    Job(JobId),
    Cancel(JobId),
}

#[derive(Debug, Default)]
struct Store {
    log: Vec<Entry>,
    records: BTreeMap<JobId, (Arc<JobSpec>, JobProgress)>,
    epoch: u64,
    owner: Option<(usize, u64)>,
    lease_until_ms: u64,
}

/// A placer with the little daemon around it.
#[derive(Debug)]
pub(crate) struct Holder {
    pub(crate) placer: Placer,
    life: u64,
    pub(crate) is_paused: bool,
    is_cut_from_store: bool,
    cut_workers: BTreeSet<usize>,
    cursor: usize,
    inbox: Vec<Event>,
    outbox: Vec<(u64, Action)>,
    records: BTreeMap<JobId, JobProgress>,
}

/// The whole zone.
#[derive(Debug)]
pub(crate) struct World {
    config: PlaceConfig,
    declared: Arc<Declarations>,
    shares: Option<Arc<Shares>>,
    agents: Vec<Agent>,
    keys: Vec<WorkerKey>,
    pub(crate) holders: Vec<Holder>,
    store: Store,
    messages: Vec<(u64, u64, Message)>,
    open_calls: BTreeSet<u64>,
    random: SmallRng,
    pub(crate) now_ms: u64,
    next_id: u64,
    lives: u64,
    /// Chance that a call or its answer is lost or late.
    pub(crate) trouble: f64,
    pub(crate) starts: u64,
    pub(crate) stops: u64,
    pub(crate) last_start_ms: u64,
}

impl World {
    pub(crate) fn new(declared: Declarations, shares: Option<Shares>, seed: u64) -> Self {
        let declared = Arc::new(declared);
        let agents = (0..).zip(&declared.workers).map(|(index, worker)| Agent {
            capacity: Resources::new(worker.cpu_millis, worker.memory_bytes, worker.accelerators),
            clock_offset_ms: 50_000 + index * 977,
            epoch: 0,
            barrier: Attempt::default(),
            runs: BTreeMap::new(),
        });
        let mut world = Self {
            config: PlaceConfig::default(),
            agents: agents.collect(),
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
            lives: 0,
            trouble: 0.0,
            starts: 0,
            stops: 0,
            last_start_ms: 0,
        };
        for holder in 0..HOLDERS {
            let fresh = world.fresh_holder();
            world.holders.insert(holder, fresh);
        }
        world.keys = world.holders[0].placer.inventory().workers().map(|(key, _)| key).collect();
        world
    }

    fn fresh_holder(&mut self) -> Holder {
        self.lives += 1;
        let mut placer = Placer::new(self.config.clone(), ZONE, self.lives);
        let mut out = Vec::new();
        placer.step(Event::Declared(Arc::clone(&self.declared)), self.now_ms, &mut out);
        if let Some(shares) = &self.shares {
            placer.step(Event::Quota(Arc::clone(shares)), self.now_ms, &mut out);
        }
        Holder {
            placer,
            life: self.lives,
            is_paused: false,
            is_cut_from_store: false,
            cut_workers: BTreeSet::new(),
            cursor: 0,
            inbox: Vec::new(),
            outbox: Vec::new(),
            records: BTreeMap::new(),
        }
    }

    pub(crate) fn submit(&mut self, spec: JobSpec) -> JobId {
        let id: JobId = format!("j{}", self.store.records.len()).as_str().into();
        self.store.records.insert(Arc::clone(&id), (Arc::new(spec), JobProgress::default()));
        self.store.log.push(Entry::Job(Arc::clone(&id)));
        id
    }

    pub(crate) fn cancel(&mut self, number: usize) {
        let Some(id) = self.store.records.keys().nth(number).cloned() else { return };
        if let Some((_, progress)) = self.store.records.get_mut(&id) {
            progress.is_cancelled = true;
        }
        self.store.log.push(Entry::Cancel(id));
    }

    pub(crate) fn pause(&mut self, holder: usize) {
        self.holders[holder].is_paused = true;
    }

    pub(crate) fn resume(&mut self, holder: usize) {
        self.holders[holder].is_paused = false;
    }

    pub(crate) fn kill(&mut self, holder: usize) {
        self.holders[holder] = self.fresh_holder();
    }

    pub(crate) fn cut_store(&mut self, holder: usize) {
        self.holders[holder].is_cut_from_store = true;
    }

    pub(crate) fn cut_worker(&mut self, holder: usize, worker: usize) {
        let worker = worker % self.agents.len();
        self.holders[holder].cut_workers.insert(worker);
    }

    pub(crate) fn heal(&mut self) {
        for holder in &mut self.holders {
            holder.is_paused = false;
            holder.is_cut_from_store = false;
            holder.cut_workers.clear();
        }
    }

    /// A worker's host restarts: all that it ran ends, and it forgets what it knew.
    pub(crate) fn restart_worker(&mut self, worker: usize) {
        let worker = worker % self.agents.len();
        self.agents[worker].runs.clear();
        self.agents[worker].clock_offset_ms += 1_000_000;
    }

    /// One running task ends by itself.
    pub(crate) fn end_task(&mut self, number: usize, end: End) {
        let running = self.agents.iter_mut().flat_map(|agent| agent.runs.values_mut());
        let mut running: Vec<&mut Run> = running.filter(|run| run.runs()).collect();
        if running.is_empty() {
            return;
        }
        let number = number % running.len();
        running[number].state = AttemptState::Ended(end);
    }

    pub(crate) fn pass_time(&mut self, span_ms: u64) {
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

    pub(crate) fn running(&self) -> Vec<TaskId> {
        let runs = self.agents.iter().flat_map(|agent| agent.runs.values());
        runs.filter(|run| run.runs()).map(|run| run.task.clone()).collect()
    }

    pub(crate) fn active(&self) -> Option<usize> {
        let epoch = self.store.epoch;
        (0..HOLDERS).find(|holder| self.holders[*holder].placer.epoch() == Some(epoch))
    }

    pub(crate) fn jobs(&self) -> Vec<(JobId, Arc<JobSpec>, JobProgress)> {
        let records = self.store.records.iter();
        records.map(|(id, (spec, progress))| (id.clone(), spec.clone(), progress.clone())).collect()
    }

    /// At rest, the active holder knows what runs and whole jobs run whole.
    pub(crate) fn check_at_rest(&self) {
        let holder = self.active().expect("a holder at rest");
        let placer = &self.holders[holder].placer;
        for (agent, key) in self.agents.iter().zip(&self.keys) {
            let runs = agent.runs.values().filter(|run| run.runs());
            let truth = runs.fold(Resources::default(), |sum, run| sum.plus(run.reserved));
            assert_eq!(placer.reserved(*key), truth, "reservations at rest");
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

    fn step_holder(&mut self, number: usize) {
        for (epoch, action) in std::mem::take(&mut self.holders[number].outbox) {
            self.carry_out(number, epoch, action);
        }
        let mut events = Vec::new();
        if !self.holders[number].is_cut_from_store {
            events.extend(self.sync_store(number));
        }
        events.append(&mut self.holders[number].inbox);
        events.push(Event::Tick);
        for event in events {
            self.feed(number, event);
        }
    }

    fn feed(&mut self, number: usize, event: Event) {
        let now_ms = self.now_ms;
        let holder = &mut self.holders[number];
        let mut out = Vec::new();
        holder.placer.step(event, now_ms, &mut out);
        let epoch = holder.placer.epoch().unwrap_or(0);
        let actions = out.into_iter().map(|action| (epoch, action));
        holder.outbox.extend(actions);
    }

    fn sync_store(&mut self, number: usize) -> Vec<Event> {
        let life = self.holders[number].life;
        let mut events = self.follow_log(number);
        let is_owner = self.store.owner == Some((number, life));
        let is_free = self.now_ms >= self.store.lease_until_ms;
        if is_owner || is_free {
            self.store.lease_until_ms = self.now_ms + ZONE_LEASE_MS;
            let confirmed_until_ms = self.store.lease_until_ms - ZONE_MARGIN_MS;
            if !is_owner || self.holders[number].placer.epoch().is_none() {
                self.store.epoch += 1;
                self.store.owner = Some((number, life));
                self.store.log.push(Entry::Epoch(self.store.epoch));
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

    fn follow_log(&mut self, number: usize) -> Vec<Event> {
        let holder = &mut self.holders[number];
        let mut events = Vec::new();
        for entry in &self.store.log[holder.cursor..] {
            match entry {
                Entry::Epoch(epoch) if Some(*epoch) > holder.placer.epoch() => {
                    if holder.placer.epoch().is_some() {
                        events.push(Event::Fenced);
                    }
                }
                Entry::Epoch(_) => {}
                Entry::Job(id) => {
                    let (spec, _) = &self.store.records[id];
                    let (job_id, spec) = (Arc::clone(id), Arc::clone(spec));
                    events.push(Event::Submit { job_id, spec });
                }
                Entry::Cancel(id) => events.push(Event::Cancel { job_id: Arc::clone(id) }),
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

    fn check_state(&self, job_id: &JobId, state: &JobState) {
        if matches!(state, JobState::Cancelled | JobState::Finished | JobState::Rejected(_)) {
            let running = self.running();
            let ghost = running.iter().find(|task| task.job_id == *job_id);
            assert_eq!(ghost, None, "told {state:?} at {} ms", self.now_ms);
        }
    }
}
