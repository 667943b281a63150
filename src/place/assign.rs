//! Assigns waiting tasks to workers, within a budget for each step.

use std::sync::Arc;

use super::index::{Entry, Row};
use super::jobs::has_labels;
use super::lifecycle::{TaskEvent, TaskState};
use super::message::{Action, Attempt, TaskId};
use super::placer::Placer;
use super::queue::{TeamKey, PRIORITY_LEVELS};
use super::scoring::{Scoring, TaskShape, ZoneTotals};
use super::spec::{JobKind, Priority, Resources};
use super::state::{JobKey, TaskKey, WorkerView};
use super::triggers::QueueScan;
use crate::collections::{HashMap, HashSet};
use crate::configs::place::Policy;
use crate::inventory::{RackKey, WorkerKey};

/// Failed searches that one attempt to place a gang counts as in the budget of a step.
const GANG_SEARCH_COST: usize = 8;

/// Maximum number of task sizes without a fitting worker that one pass remembers.
const MAX_UNPLACEABLE_SIZES: usize = 16;

/// State of one placement pass over the waiting jobs: known dead ends and the remaining budget.
#[derive(Debug)]
struct Pass {
    /// Sizes that fit on no worker; a size at least as large is not searched for again.
    unplaceable_sizes: Vec<Resources>,
    /// Free resources of the workers that got room, during a scan for these workers only; `None`
    /// otherwise.
    freed_room: Option<Vec<Resources>>,
    /// Teams of which a job was held back by the quota in an earlier pass.
    quota_bound: HashSet<TeamKey>,
    /// Jobs that may still be examined.
    jobs_left: usize,
    /// Searches for a worker that may still fail.
    searches_left: usize,
    /// Tasks that may still be placed.
    placements_left: usize,
}

impl Pass {
    /// Whether any part of the budget is used up.
    fn is_exhausted(&self) -> bool {
        self.jobs_left == 0 || self.searches_left == 0 || self.placements_left == 0
    }

    /// Whether a task of this size fits on one of the workers that got room.
    fn may_fit(&self, size: Resources) -> bool {
        self.freed_room.as_ref().is_none_or(|freed| freed.iter().any(|room| size.fits(*room)))
    }
}

/// Number of tasks of the job on the rack and on the worker, then the room score; lower is better.
type SpreadScore = (u32, u32, f32);

/// Result of trying to place tasks of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// At least one task was placed.
    Placed,
    /// No further task can be placed now.
    Blocked,
}

impl Placer {
    /// Places waiting tasks if something changed that may make them placeable.
    pub(crate) fn assign(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let is_idle = self.triggers.is_empty() && self.scan.is_none();
        if is_idle || !self.is_holding_confirmed(now_ms) {
            return;
        }
        let mut pass = Pass {
            unplaceable_sizes: Vec::new(),
            freed_room: None,
            quota_bound: HashSet::default(),
            jobs_left: self.config.looks_per_step,
            searches_left: self.config.searches_per_step,
            placements_left: self.config.placements_per_step,
        };
        let triggers = std::mem::take(&mut self.triggers);
        if triggers.is_all() {
            self.scan = Some(QueueScan { level: PRIORITY_LEVELS - 1, ..QueueScan::default() });
        }
        if !triggers.workers().is_empty() {
            let free = |worker: &WorkerKey| self.workers.get(*worker).map(WorkerView::free);
            pass.freed_room = Some(triggers.workers().iter().filter_map(free).collect());
            let mut scan = QueueScan { level: PRIORITY_LEVELS - 1, ..QueueScan::default() };
            pass.quota_bound = std::mem::take(&mut self.quota_bound);
            if !self.continue_scan(&mut scan, &mut pass, now_ms, out) {
                self.quota_bound.extend(pass.quota_bound.drain());
            }
            pass.freed_room = None;
            pass.unplaceable_sizes.clear();
        }
        for &job in triggers.jobs() {
            self.assign_job(job, &mut pass, now_ms, out);
        }
        pass.unplaceable_sizes.clear();
        if let Some(mut scan) = self.scan.take() {
            if !self.continue_scan(&mut scan, &mut pass, now_ms, out) {
                self.scan = Some(scan);
            }
        } else if pass.placements_left == 0 {
            self.triggers.add_all();
        }
    }

    fn assign_job(&mut self, job: JobKey, pass: &mut Pass, now_ms: u64, out: &mut Vec<Action>) {
        while !pass.is_exhausted()
            && self.assign_from_job(job, pass, now_ms, out) == Outcome::Placed
        {}
    }

    /// Continues a scan of all waiting jobs; returns whether it reached the end.
    fn continue_scan(
        &mut self,
        scan: &mut QueueScan,
        pass: &mut Pass,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) -> bool {
        loop {
            while let Some(next) = self.queue.next_team(scan.level, scan.team) {
                if pass.is_exhausted() {
                    return false;
                }
                self.assign_team(scan, next.1, pass, now_ms, out);
                if !pass.is_exhausted() {
                    scan.team = Some(next);
                }
            }
            if scan.level == 0 {
                return true;
            }
            *scan = QueueScan { level: scan.level - 1, ..QueueScan::default() };
        }
    }

    /// Places one task or one gang of a team. The scan then reaches the team again at the position
    /// given by its increased use.
    fn assign_team(
        &mut self,
        scan: &mut QueueScan,
        team: TeamKey,
        pass: &mut Pass,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let mut after = scan.after.get(&team).copied().unwrap_or(0);
        while !pass.is_exhausted() {
            let Some((sequence, job)) = self.queue.next_job(team, scan.level, after) else {
                break;
            };
            if self.assign_from_job(job, pass, now_ms, out) == Outcome::Placed {
                break;
            }
            after = sequence;
        }
        scan.after.insert(team, after);
    }

    /// Places one waiting task of a job, or all of them if the job is a gang.
    fn assign_from_job(
        &mut self,
        key: JobKey,
        pass: &mut Pass,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) -> Outcome {
        let Some(job) = self.jobs.get(key) else { return Outcome::Blocked };
        if job.is_restored && self.is_locating || now_ms < job.not_before_ms {
            return Outcome::Blocked;
        }
        pass.jobs_left = pass.jobs_left.saturating_sub(1);
        let size = self.size_of(key);
        let is_urgent = job.spec.priority == Priority::Urgent;
        let is_quota_bound = pass.quota_bound.contains(&job.team);
        let lacks_members = job.rules.is_all_or_nothing && job.placed_count > 0;
        if !pass.may_fit(size) && !is_urgent && !is_quota_bound && !lacks_members {
            return Outcome::Blocked;
        }
        let has_room_made = !job.nominated.is_empty();
        let is_unconstrained =
            job.is_unconstrained() && !self.has_claim() && !lacks_members && !has_room_made;
        if is_unconstrained && pass.unplaceable_sizes.iter().any(|known| known.fits(size)) {
            return Outcome::Blocked;
        }
        if job.rules.is_all_or_nothing {
            pass.searches_left = pass.searches_left.saturating_sub(GANG_SEARCH_COST);
            return self.assign_gang(key, now_ms, out);
        }
        let Some(mut task) = self.next_waiting(key) else {
            self.dequeue(key);
            return Outcome::Blocked;
        };
        let team = self.jobs[key].team;
        if !self.quota_allows(team, size) {
            self.quota_bound.insert(team);
            return Outcome::Blocked;
        }
        if let Some(nominated) = self.ready_nomination(key, size) {
            task = nominated;
        }
        if let Some(worker) = self.choose_worker(key, task, size, now_ms) {
            self.start_task(task, worker, size, now_ms, out);
            self.consume_spare(key, worker, size, self.expected_end_ms(&self.jobs[key], now_ms));
            pass.placements_left = pass.placements_left.saturating_sub(1);
            return Outcome::Placed;
        }
        pass.searches_left = pass.searches_left.saturating_sub(1);
        if is_unconstrained && pass.unplaceable_sizes.len() < MAX_UNPLACEABLE_SIZES {
            pass.unplaceable_sizes.push(size);
        }
        self.preempt_for(task, size, now_ms, out);
        Outcome::Blocked
    }

    /// Returns whether a team's quota has room for `more`. Restored tasks of the team that may run on
    /// workers not yet read are taken to fill these workers.
    pub(crate) fn quota_allows(&self, team: TeamKey, more: Resources) -> bool {
        let is_unclear = self.is_locating && self.unlocated_teams.contains(&team);
        let unlocated = if is_unclear { self.unread_capacity } else { Resources::default() };
        self.queue.allows(team, more.plus(unlocated))
    }

    /// Returns the next waiting task of a job, and drops queue entries that no longer wait.
    pub(crate) fn next_waiting(&mut self, key: JobKey) -> Option<TaskKey> {
        let job = self.jobs.get_mut(key)?;
        while let Some(&task) = job.waiting.front() {
            if self.tasks.get(task).is_some_and(|task| task.state == TaskState::Waiting) {
                return Some(task);
            }
            job.waiting.pop_front();
        }
        None
    }

    /// Chooses a worker for a task of this size; `None` if no permitted worker has room.
    pub(crate) fn choose_worker(
        &self,
        key: JobKey,
        task: TaskKey,
        size: Resources,
        now_ms: u64,
    ) -> Option<WorkerKey> {
        let job = self.jobs.get(key)?;
        if let Some(worker) = self.nominated_worker(task, size) {
            return Some(worker);
        }
        let ends_ms = self.expected_end_ms(job, now_ms);
        let admits = |_: Row, entry: &Entry| {
            self.satisfies_constraints(key, entry.worker)
                && self.claim_allows(key, entry, size, ends_ms)
        };
        let row = match (self.config.policy, job.spec.kind) {
            (Policy::FirstFit, _) => self.first_fit(size, admits),
            (Policy::BestFit, _) => self.full_scan(&self.shape(size, Scoring::BestFit), admits),
            (Policy::Full, JobKind::Service) => self.spread(key, size, admits),
            (Policy::Full, _) => self.index.find_best(&self.shape(size, Scoring::Balanced), admits),
        };
        row.map(|row| self.index.entry(row).worker)
    }

    /// Returns whether labels, anti-affinity rules and earlier failures permit a job on a worker.
    pub(crate) fn satisfies_constraints(&self, key: JobKey, worker: WorkerKey) -> bool {
        let Some(job) = self.jobs.get(key) else { return false };
        if job.is_unconstrained() {
            return true;
        }
        let labelled = job.spec.constraints.is_empty()
            || self.inventory.worker(worker).is_some_and(|known| has_labels(known, &job.spec));
        labelled
            && !job.failed_workers.contains(&worker)
            && self.satisfies_anti_affinity(key, worker)
    }

    /// Returns whether no anti-affinity rule separates the job from the tasks on the worker.
    pub(crate) fn satisfies_anti_affinity(&self, key: JobKey, worker: WorkerKey) -> bool {
        let (Some(job), Some(view)) = (self.jobs.get(key), self.workers.get(worker)) else {
            return false;
        };
        let anti_affinity = &job.rules.anti_affinity;
        anti_affinity
            .iter()
            .all(|side| view.anti_affinity.get(usize::from(side ^ 1)).is_none_or(|held| *held == 0))
    }

    pub(crate) fn shape(&self, size: Resources, scoring: Scoring) -> TaskShape {
        let totals = ZoneTotals {
            room: self.index.total_room(),
            capacity: self.open_capacity,
            scale: self.index.scale(),
            largest: self.recent_sizes.largest(),
        };
        TaskShape::new(size, scoring, &totals)
    }

    fn first_fit(
        &self,
        size: Resources,
        mut admits: impl FnMut(Row, &Entry) -> bool,
    ) -> Option<Row> {
        let mut open = self.index.open();
        open.find(|(row, entry)| size.fits(entry.room) && admits(*row, entry)).map(|(row, _)| row)
    }

    fn full_scan(
        &self,
        shape: &TaskShape,
        mut admits: impl FnMut(Row, &Entry) -> bool,
    ) -> Option<Row> {
        let fits = self
            .index
            .open()
            .filter(|(row, entry)| shape.size.fits(entry.room) && admits(*row, entry))
            .map(|(row, entry)| (shape.score(entry.room, entry.capacity), row));
        fits.min_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)))
            .map(|(_, row)| row)
    }

    /// Chooses the worker with the fewest tasks of the job on its rack, then on itself.
    fn spread(
        &self,
        key: JobKey,
        size: Resources,
        mut admits: impl FnMut(Row, &Entry) -> bool,
    ) -> Option<Row> {
        let job = self.jobs.get(key)?;
        let mut on_rack: HashMap<RackKey, u32> = HashMap::default();
        let mut on_worker: HashMap<WorkerKey, u32> = HashMap::default();
        for task in job.tasks.iter().filter_map(|task| self.tasks.get(*task)) {
            if !task.state.is_placed() {
                continue;
            }
            let Some(worker) = self.inventory.worker(task.worker) else { continue };
            *on_rack.entry(worker.rack).or_default() += 1;
            *on_worker.entry(task.worker).or_default() += 1;
        }
        let shape = self.shape(size, Scoring::Balanced);
        let mut best: Option<(SpreadScore, Row)> = None;
        for (row, entry) in self.index.open() {
            if !size.fits(entry.room) || !admits(row, entry) {
                continue;
            }
            let Some(worker) = self.inventory.worker(entry.worker) else { continue };
            let rack = on_rack.get(&worker.rack).copied().unwrap_or(0);
            let here = on_worker.get(&entry.worker).copied().unwrap_or(0);
            let score = (rack, here, shape.score(entry.room, entry.capacity));
            if best.is_none_or(|known| (score, row) < known) {
                best = Some((score, row));
            }
        }
        best.map(|(_, row)| row)
    }

    /// Reserves the resources of a task on a worker and emits the start.
    pub(crate) fn start_task(
        &mut self,
        key: TaskKey,
        worker: WorkerKey,
        size: Resources,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        if !self.task_event(key, TaskEvent::Reserve, now_ms) {
            return;
        }
        self.drop_nomination(key);
        self.recent_sizes.add(size);
        self.counter += 1;
        let attempt = Attempt { epoch: self.epoch.unwrap_or(0), counter: self.counter };
        self.record_reservation(key, worker, attempt, size);
        let lease_ms = self.config.task_lease_ms + self.config.clock_margin_ms;
        let view = &mut self.workers[worker];
        view.leases_end_ms = view.leases_end_ms.max(Some(view.token_at_ms + lease_ms));
        let token_ms = view.token_ms;
        self.tasks[key].generation = self.jobs[self.tasks[key].job].generation;
        let task = &self.tasks[key];
        let job = &self.jobs[task.job];
        let id = TaskId { job_id: Arc::clone(&job.id), index: task.index };
        let spec = Arc::clone(&job.spec);
        out.push(Action::Start { worker, attempt, task: id, spec, reserved: size, token_ms });
        if job.waiting_count == 0 {
            let key = task.job;
            self.dequeue(key);
        }
    }

    /// Records the reservation of a task and charges it to the worker and the team.
    pub(crate) fn record_reservation(
        &mut self,
        key: TaskKey,
        worker: WorkerKey,
        attempt: Attempt,
        reserved: Resources,
    ) {
        let Some(task) = self.tasks.get_mut(key) else { return };
        task.attempt = attempt;
        task.worker = worker;
        task.reserved = reserved;
        let job = &self.jobs[task.job];
        self.attempts.insert(attempt, key);
        self.queue.charge(job.team, reserved);
        if let Some(view) = self.workers.get_mut(worker) {
            view.reserved = view.reserved.plus(reserved);
            view.tasks.push(key);
            for side in &job.rules.anti_affinity {
                if let Some(count) = view.anti_affinity.get_mut(usize::from(*side)) {
                    *count += 1;
                }
            }
        }
        self.refresh_room(worker);
    }
}
