//! State and event dispatch of the placer of one zone.

use std::collections::BTreeSet;
use std::sync::Arc;

use slotmap::{SecondaryMap, SlotMap};

use super::gang::Claim;
use super::index::RoomIndex;
use super::lifecycle::{TaskEvent, TaskState, WorkerEvent};
use super::message::{Action, Attempt, Event, JobId, JobState};
use super::preempt::Nomination;
use super::profiles::Profiles;
use super::queue::{Queue, TeamKey};
use super::rules::Rules;
use super::scoring::RecentSizes;
use super::spec::Resources;
use super::state::{Job, JobKey, Orphan, Task, TaskKey, WorkerView};
use super::triggers::{PlacementTriggers, QueueScan};
use crate::collections::{HashMap, HashSet};
use crate::configs::place::PlaceConfig;
use crate::declarations::Declarations;
use crate::inventory::{Inventory, WorkerChange, WorkerKey};
use crate::quota::Shares;

/// Decides for one zone which worker runs which task.
///
/// ```
/// use std::sync::Arc;
/// use hemlockrock::configs::place::PlaceConfig;
/// use hemlockrock::declarations::{Declarations, WorkerDeclaration};
/// use hemlockrock::place::message::{Attempt, WorkerReport};
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
/// let barrier = Attempt { epoch: 7, counter: 0 };
/// let report = WorkerReport { barrier, ..Default::default() };
/// placer.step(Event::Report { worker: key, report }, 1, &mut out);
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
    /// Quota shares of the zone; `None` if no quotas are in force.
    pub(crate) shares: Option<Arc<Shares>>,
    /// Epoch under which this process holds the zone lease; `None` if it does not hold it.
    pub(crate) epoch: Option<u64>,
    /// Time until which the store grants the zone lease to this process, in milliseconds.
    pub(crate) confirmed_until_ms: u64,
    /// Counter of the last attempt that was issued in the current epoch.
    pub(crate) counter: u64,
    /// Arrival order of the last job that was added.
    pub(crate) sequence: u64,
    pub(crate) workers: SecondaryMap<WorkerKey, WorkerView>,
    pub(crate) jobs: SlotMap<JobKey, Job>,
    pub(crate) job_ids: HashMap<JobId, JobKey>,
    pub(crate) tasks: SlotMap<TaskKey, Task>,
    /// Placed tasks by their current attempt.
    pub(crate) attempts: HashMap<Attempt, TaskKey>,
    /// Running attempts that belong to no known task.
    pub(crate) orphans: HashMap<Attempt, Orphan>,
    pub(crate) queue: Queue,
    pub(crate) index: RoomIndex,
    pub(crate) rules: Rules,
    pub(crate) profiles: Profiles,
    pub(crate) recent_sizes: RecentSizes,
    /// Waiting tasks for which other tasks are being preempted, with the chosen worker.
    pub(crate) nominations: HashMap<TaskKey, Nomination>,
    /// Victims already chosen while the preemptions for a gang are being planned.
    pub(crate) planned_victims: HashSet<TaskKey>,
    /// Claim of the waiting gang that precedes all others, if it needs one.
    pub(crate) claim: Option<Claim>,
    /// Sum of the capacities of the workers that take tasks.
    pub(crate) open_capacity: Resources,
    pub(crate) triggers: PlacementTriggers,
    /// Unfinished scan of the waiting jobs, continued in the next step.
    pub(crate) scan: Option<QueueScan>,
    /// Teams of which a job was held back by the quota since the limits last changed.
    pub(crate) quota_bound: HashSet<TeamKey>,
    /// Jobs to be tried again at a given time, in milliseconds.
    pub(crate) delayed: BTreeSet<(u64, JobKey)>,
    /// Jobs whose progress changed since it was last emitted.
    pub(crate) dirty_jobs: Vec<JobKey>,
    /// Services with replicas that run an earlier specification.
    pub(crate) rolling_updates: Vec<JobKey>,
    /// Teams with restored tasks that may run on workers not yet read and are not yet charged.
    pub(crate) unlocated_teams: HashSet<TeamKey>,
    /// Sum of the capacities of the workers not yet read, while restored tasks may run there.
    pub(crate) unread_capacity: Resources,
    /// Whether tasks of restored jobs may still run on workers that were not yet read.
    pub(crate) is_locating: bool,
    /// Whether all job records were read after the takeover.
    pub(crate) is_restored: bool,
    /// Time after which no lease granted by an earlier holder can last, in milliseconds; `None`
    /// until more than half of the workers were read.
    pub(crate) inherited_leases_end_ms: Option<u64>,
}

impl Placer {
    /// Creates a placer for `zone` that does not hold the zone lease. The seed is ignored: no
    /// decision is random.
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
            queue: Queue::default(),
            index: RoomIndex::default(),
            rules: Rules::default(),
            profiles: Profiles::default(),
            recent_sizes: RecentSizes::default(),
            nominations: HashMap::default(),
            planned_victims: HashSet::default(),
            claim: None,
            open_capacity: Resources::default(),
            triggers: PlacementTriggers::default(),
            scan: None,
            quota_bound: HashSet::default(),
            delayed: BTreeSet::new(),
            dirty_jobs: Vec::new(),
            rolling_updates: Vec::new(),
            unlocated_teams: HashSet::default(),
            unread_capacity: Resources::default(),
            is_locating: false,
            is_restored: false,
            inherited_leases_end_ms: None,
        }
    }

    /// Processes one event and appends the resulting actions to `out`.
    ///
    /// All times are milliseconds of the same monotonic clock. A placer that does not hold the zone
    /// lease only processes declarations, quota shares and changes of the lease.
    pub fn step(&mut self, event: Event, now_ms: u64, out: &mut Vec<Action>) {
        match event {
            Event::Declared(declarations) => self.declare(declarations, now_ms),
            Event::Holding { epoch, confirmed_until_ms } => {
                self.hold_zone(epoch, confirmed_until_ms, now_ms, out);
            }
            Event::Quota(shares) => self.set_shares(shares),
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
            Event::Replace { job_id, spec } => self.replace_service(&job_id, spec, now_ms, out),
            Event::Restored { job_id, spec, progress } => {
                self.restore(job_id, spec, &progress, now_ms);
            }
            Event::RestoredAll => self.restore_finished(out),
            Event::Recorded { job_id, version } => self.progress_stored(&job_id, version, out),
            Event::Report { worker, report } => self.worker_reported(worker, &report, now_ms, out),
            Event::Confirmed { attempt } => {
                self.attempt_event(attempt, TaskEvent::Confirm, now_ms, out);
            }
            Event::Refused { attempt, refusal } => {
                self.start_refused(attempt, refusal, now_ms, out);
            }
            Event::LostReply { attempt } => self.lost_reply(attempt, now_ms, out),
            Event::Ended { attempt, end } => self.attempt_ended(attempt, end, now_ms, out),
            Event::Stopped { attempt } => {
                self.attempt_event(attempt, TaskEvent::Absent, now_ms, out);
            }
            Event::Silent { worker } => self.worker_silent(worker, now_ms),
            Event::Tick => self.tick(now_ms, out),
            Event::Declared(_) | Event::Holding { .. } | Event::Quota(_) | Event::Fenced => {}
        }
    }

    /// Returns the workers of the zone.
    pub fn inventory(&self) -> &Inventory {
        &self.inventory
    }

    /// Returns the epoch under which this process holds the zone lease, or `None`.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// Returns the state of a job, or `None` if the job is unknown.
    pub fn job_state(&self, job_id: &str) -> Option<&JobState> {
        let key = self.job_ids.get(job_id)?;
        self.jobs.get(*key).map(|job| &job.state)
    }

    /// Returns the resources reserved on a worker.
    pub fn reserved(&self, worker: WorkerKey) -> Resources {
        self.workers.get(worker).map_or(Resources::default(), |view| view.reserved)
    }

    /// Returns whether the last step left placement work that the next step should continue.
    pub fn has_work(&self, now_ms: u64) -> bool {
        let is_idle = self.triggers.is_empty() && self.scan.is_none();
        !is_idle && self.epoch.is_some() && self.is_holding_confirmed(now_ms)
    }

    fn declare(&mut self, declarations: Arc<Declarations>, now_ms: u64) {
        let changes = self.inventory.apply(&declarations);
        if declarations.rules != self.declarations.rules {
            self.set_rules(&declarations.rules);
        }
        self.declarations = declarations;
        for change in changes {
            match change {
                WorkerChange::Added(key) => self.add_worker(key, now_ms),
                WorkerChange::Changed(key) => self.change_worker(key),
                WorkerChange::Removed(key) => self.worker_event(key, WorkerEvent::Remove),
            }
        }
        self.refresh_limits();
        self.refresh_unread_capacity();
        self.triggers.add_all();
    }

    /// Applies an event to a task and updates reservations and counts.
    ///
    /// Returns whether the state chart allowed the transition.
    pub(crate) fn task_event(&mut self, key: TaskKey, event: TaskEvent, now_ms: u64) -> bool {
        let Some(task) = self.tasks.get_mut(key) else { return false };
        let before = task.state;
        let Some(after) = before.after(event) else { return false };
        task.state = after;
        task.since_ms = now_ms;
        let job_key = task.job;
        if before.is_placed() && !after.is_placed() {
            self.release_reservation(key, before);
        } else if after == TaskState::Stopping {
            let (worker, reserved) = (task.worker, task.reserved);
            if let Some(view) = self.workers.get_mut(worker) {
                view.stopping = view.stopping.plus(reserved);
            }
            self.refresh_room(worker);
        }
        if before == TaskState::Waiting {
            self.drop_nomination(key);
        }
        self.update_counts(job_key, key, before, after);
        true
    }

    /// Updates the task counts of a job, and queues the job if the task waits again.
    fn update_counts(
        &mut self,
        job_key: JobKey,
        key: TaskKey,
        before: TaskState,
        after: TaskState,
    ) {
        let Some(job) = self.jobs.get_mut(job_key) else { return };
        let step = |count: &mut u32, was: bool, is: bool| {
            *count = *count + u32::from(is) - u32::from(was);
        };
        let waits = |state| state == TaskState::Waiting;
        let runs = |state| matches!(state, TaskState::Running | TaskState::Stopping);
        let finished = |state| state == TaskState::Finished;
        step(&mut job.waiting_count, waits(before), waits(after));
        step(&mut job.running_count, runs(before), runs(after));
        let stops = |state| state == TaskState::Stopping;
        step(&mut job.stopping_count, stops(before), stops(after));
        step(&mut job.finished_count, finished(before), finished(after));
        step(&mut job.placed_count, before.is_placed(), after.is_placed());
        if waits(after) && !waits(before) {
            job.waiting.push_back(key);
            self.enqueue(job_key);
        } else if job.rules.is_all_or_nothing && job.waiting_count > 0 && !waits(before) {
            // Retries a gang that lacks members: it can be completed once the other members are
            // settled.
            self.triggers.add_job(job_key);
        }
    }

    /// Adds a job to the queue of waiting jobs.
    pub(crate) fn enqueue(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else { return };
        self.queue.add(job.team, job.spec.priority, job.sequence, key);
        self.triggers.add_job(key);
    }

    /// Removes a job from the queue; its waiting tasks, if any, are not placed.
    pub(crate) fn dequeue(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else { return };
        self.queue.remove(job.team, job.spec.priority, job.sequence);
    }

    /// Releases the reservation of a task that is no longer placed.
    fn release_reservation(&mut self, key: TaskKey, before: TaskState) {
        let Some(task) = self.tasks.get(key) else { return };
        let (worker, reserved, job_key) = (task.worker, task.reserved, task.job);
        self.attempts.remove(&task.attempt);
        let Some(job) = self.jobs.get(job_key) else { return };
        self.queue.refund(job.team, reserved);
        if let Some(view) = self.workers.get_mut(worker) {
            view.reserved = view.reserved.minus(reserved);
            if before == TaskState::Stopping {
                view.stopping = view.stopping.minus(reserved);
            }
            if let Some(position) = view.tasks.iter().position(|held| *held == key) {
                view.tasks.swap_remove(position);
            }
            for side in &job.rules.anti_affinity {
                if let Some(count) = view.anti_affinity.get_mut(usize::from(*side)) {
                    *count = count.saturating_sub(1);
                }
            }
        }
        self.refresh_room(worker);
        self.triggers.add_worker(worker);
    }
}
