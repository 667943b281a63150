//! The placer of one zone: takes events and answers with actions.

use std::collections::BTreeMap;
use std::sync::Arc;

use slotmap::{SecondaryMap, SlotMap};

use super::life::{TaskEvent, TaskState, WorkerEvent};
use super::message::{Action, Attempt, Event, JobId, JobState};
use super::spec::{Priority, Resources};
use super::state::{Job, JobKey, Orphan, Task, TaskKey, WorkerView};
use crate::collections::HashMap;
use crate::configs::place::PlaceConfig;
use crate::declarations::Declarations;
use crate::inventory::{Change, Inventory, WorkerKey};
use crate::quota::Shares;

/// Decides for one zone which worker runs which task.
///
/// ```
/// use std::sync::Arc;
/// use hemlockrock::configs::place::PlaceConfig;
/// use hemlockrock::declarations::{Declarations, WorkerDeclaration};
/// use hemlockrock::place::message::WorkerReport;
/// use hemlockrock::place::spec::JobSpec;
/// use hemlockrock::place::{Action, Event, Placer};
///
/// let worker = WorkerDeclaration {
///     name: "w1".into(), zone: "mid-1".into(), rack: "r1".into(),
///     cpu_millis: 4_000, memory_bytes: 8 << 30, ..Default::default()
/// };
/// let declared = Arc::new(Declarations { workers: vec![worker], ..Default::default() });
/// let mut placer = Placer::new(PlaceConfig::default(), "mid-1", 1);
/// let mut out = Vec::new();
/// placer.step(Event::Declared(declared), 0, &mut out);
/// placer.step(Event::Holding { epoch: 7, confirmed_until_ms: 10_000 }, 0, &mut out);
/// let key = placer.inventory().key("w1").unwrap();
/// placer.step(Event::Report { worker: key, report: WorkerReport::default() }, 1, &mut out);
/// out.clear();
/// let spec = Arc::new(JobSpec::new("range", 1));
/// placer.step(Event::Submit { job_id: "j1".into(), spec }, 2, &mut out);
/// assert!(out.iter().any(|action| matches!(action, Action::Start { .. })));
/// ```
#[derive(Clone, Debug)]
pub struct Placer {
    pub(crate) config: PlaceConfig,
    pub(crate) inventory: Inventory,
    pub(crate) declarations: Arc<Declarations>,
    pub(crate) shares: Option<Arc<Shares>>,
    pub(crate) epoch: Option<u64>,
    pub(crate) confirmed_until_ms: u64,
    pub(crate) counter: u64,
    pub(crate) sequence: u64,
    pub(crate) workers: SecondaryMap<WorkerKey, WorkerView>,
    pub(crate) jobs: SlotMap<JobKey, Job>,
    pub(crate) job_ids: HashMap<JobId, JobKey>,
    pub(crate) tasks: SlotMap<TaskKey, Task>,
    pub(crate) attempts: HashMap<Attempt, TaskKey>,
    pub(crate) orphans: HashMap<Attempt, Orphan>,
    pub(crate) queue: BTreeMap<(std::cmp::Reverse<Priority>, u64), JobKey>,
    pub(crate) dirty_jobs: Vec<JobKey>,
    /// Whether tasks of restored jobs may still run on workers that were not read.
    pub(crate) is_locating: bool,
    pub(crate) is_restored: bool,
    /// Time after which no lease of an earlier holder can last, once it is known.
    pub(crate) inherited_until_ms: Option<u64>,
}

impl Placer {
    /// A placer of `zone` that does not hold it yet.
    pub fn new(config: PlaceConfig, zone: impl Into<String>, _seed: u64) -> Self {
        Self {
            config,
            inventory: Inventory::new(zone),
            declarations: Arc::default(),
            shares: None,
            epoch: None,
            confirmed_until_ms: 0,
            counter: 0,
            sequence: 0,
            workers: SecondaryMap::new(),
            jobs: SlotMap::with_key(),
            job_ids: HashMap::default(),
            tasks: SlotMap::with_key(),
            attempts: HashMap::default(),
            orphans: HashMap::default(),
            queue: BTreeMap::new(),
            dirty_jobs: Vec::new(),
            is_locating: false,
            is_restored: false,
            inherited_until_ms: None,
        }
    }

    /// Takes in one event and appends what is to be done to `out`.
    ///
    /// Times are milliseconds of one monotonic clock. A placer that does not
    /// hold the zone takes in declarations only.
    pub fn step(&mut self, event: Event, now_ms: u64, out: &mut Vec<Action>) {
        match event {
            Event::Declared(declarations) => self.declare(declarations, now_ms),
            Event::Holding { epoch, confirmed_until_ms } => {
                self.hold(epoch, confirmed_until_ms, now_ms, out);
            }
            Event::Quota(shares) => self.shares = Some(shares),
            Event::Fenced => self.release_zone(),
            _ if self.epoch.is_none() => return,
            event => self.step_holding(event, now_ms, out),
        }
        if self.epoch.is_some() {
            self.assign(now_ms, out);
        }
    }

    fn step_holding(&mut self, event: Event, now_ms: u64, out: &mut Vec<Action>) {
        match event {
            Event::Submit { job_id, spec } => self.submit(job_id, spec, now_ms, out),
            Event::Cancel { job_id } => self.cancel(&job_id, now_ms, out),
            Event::Replace { .. } => {}
            Event::Restored { job_id, spec, progress } => {
                self.restore(job_id, spec, &progress, now_ms);
            }
            Event::RestoredAll => self.restored_all(out),
            Event::Recorded { job_id, version } => self.recorded(&job_id, version, out),
            Event::Report { worker, report } => self.report(worker, &report, now_ms, out),
            Event::Confirmed { attempt } => {
                self.attempt_event(attempt, TaskEvent::Confirm, now_ms, out);
            }
            Event::Refused { attempt, refusal } => self.refused(attempt, refusal, now_ms, out),
            Event::LostReply { attempt } => self.lost_reply(attempt, now_ms, out),
            Event::Ended { attempt, end } => self.ended(attempt, end, now_ms, out),
            Event::Stopped { attempt } => {
                self.attempt_event(attempt, TaskEvent::Absent, now_ms, out);
            }
            Event::Silent { worker } => self.silence(worker, now_ms),
            Event::Tick => self.tick(now_ms, out),
            Event::Declared(_) | Event::Holding { .. } | Event::Quota(_) | Event::Fenced => {}
        }
    }

    /// The workers of the zone.
    pub fn inventory(&self) -> &Inventory {
        &self.inventory
    }

    /// Epoch under which this process holds the zone, if it does.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// What became of a job, if it is known.
    pub fn job_state(&self, job_id: &str) -> Option<&JobState> {
        let key = self.job_ids.get(job_id)?;
        self.jobs.get(*key).map(|job| &job.state)
    }

    /// What is reserved on a worker.
    pub fn reserved(&self, worker: WorkerKey) -> Resources {
        self.workers.get(worker).map_or(Resources::default(), |view| view.reserved)
    }

    fn declare(&mut self, declarations: Arc<Declarations>, now_ms: u64) {
        for change in self.inventory.apply(&declarations) {
            match change {
                Change::Added(key) => self.add_worker(key, now_ms),
                Change::Changed(key) => self.change_worker(key),
                Change::Removed(key) => self.worker_event(key, WorkerEvent::Remove),
            }
        }
        self.declarations = declarations;
    }

    /// Moves a task through its chart and keeps the reservations and counts in step.
    ///
    /// Returns whether the chart allowed it.
    pub(crate) fn task_event(&mut self, key: TaskKey, event: TaskEvent, now_ms: u64) -> bool {
        let Some(task) = self.tasks.get_mut(key) else { return false };
        let before = task.state;
        let Some(after) = before.after(event) else { return false };
        task.state = after;
        task.since_ms = now_ms;
        let job_key = task.job;
        if before.is_placed() && !after.is_placed() {
            self.release(key);
        }
        self.count(job_key, key, before, after);
        true
    }

    fn count(&mut self, job_key: JobKey, key: TaskKey, before: TaskState, after: TaskState) {
        let Some(job) = self.jobs.get_mut(job_key) else { return };
        let step = |count: &mut u32, was: bool, is: bool| {
            *count = *count + u32::from(is) - u32::from(was);
        };
        let waits = |state| state == TaskState::Waiting;
        let runs = |state| matches!(state, TaskState::Running | TaskState::Stopping);
        let finished = |state| state == TaskState::Finished;
        step(&mut job.waiting_count, waits(before), waits(after));
        step(&mut job.running_count, runs(before), runs(after));
        step(&mut job.finished_count, finished(before), finished(after));
        step(&mut job.placed_count, before.is_placed(), after.is_placed());
        if waits(after) && !waits(before) {
            job.waiting.push_back(key);
            let place = (std::cmp::Reverse(job.spec.priority), job.sequence);
            self.queue.insert(place, job_key);
        }
    }

    fn release(&mut self, key: TaskKey) {
        let Some(task) = self.tasks.get_mut(key) else { return };
        self.attempts.remove(&task.attempt);
        if let Some(view) = self.workers.get_mut(task.worker) {
            view.reserved = view.reserved.minus(task.reserved);
            if let Some(position) = view.tasks.iter().position(|held| *held == key) {
                view.tasks.swap_remove(position);
            }
        }
    }
}
