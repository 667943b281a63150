//! Diagnostics: why a job waits, how much each team needs, and totals of the zone.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::jobs::has_labels;
use super::lifecycle::WorkerState;
use super::message::JobState;
use super::placer::Placer;
use super::spec::Resources;
use super::state::{JobKey, WorkerView};
use crate::inventory::{Worker, WorkerKey};
use crate::quota::TeamDemand;

/// Reason why a worker cannot take a task now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RuledOut {
    /// The worker was not yet read under the current epoch.
    Unread,
    /// The worker does not answer, or must be read again before it gets tasks.
    Silent,
    /// The worker is being drained or was removed.
    Draining,
    /// The worker is on probation after failures of several jobs, and gets no further task yet.
    Probation,
    /// The worker lacks a required label.
    Labels,
    /// An anti-affinity rule separates the job from a task on the worker.
    Apart,
    /// A task of the job failed on the worker.
    FailedThere,
    /// The worker is too small even when empty.
    TooSmall,
    /// The worker lacks free processor time.
    Processor,
    /// The worker lacks free memory.
    Memory,
    /// The worker lacks free accelerators.
    Accelerators,
    /// The worker's free resources are claimed by a gang or promised to urgent tasks.
    Claimed,
}

/// Reason, unrelated to single workers, why a job is not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HeldBack {
    /// The team's share of its quota in this zone is used up.
    Quota,
    /// A task failed, and the job waits for its backoff.
    Backoff,
    /// The job's tasks may still run on workers that were not yet read after a takeover.
    Locating,
    /// The job is placed all together or not at all, and not all of its waiting tasks were placed.
    WholeGang,
}

/// State of a job and the reasons why its tasks wait.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Explanation {
    /// State of the job.
    pub state: JobState,
    /// Number of waiting tasks.
    pub waiting: u32,
    /// Number of tasks with a reservation on a worker.
    pub placed: u32,
    /// Number of finished tasks.
    pub finished: u32,
    /// Resources reserved for each task: the larger of the declared size and learned peak usage.
    pub size: Resources,
    /// Number of workers in the zone.
    pub workers: u32,
    /// Number of workers that could take one task of the job now.
    pub open: u32,
    /// Number of workers by the first reason that rules them out.
    pub ruled_out: BTreeMap<RuledOut, u32>,
    /// Reasons that hold the job back on all workers.
    pub held_back: Vec<HeldBack>,
    /// Time until the gang is expected to start, in milliseconds; `None` unless it has a claim.
    pub expected_start_in_ms: Option<u64>,
}

/// Totals of the zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Stats {
    /// Number of workers.
    pub workers: u32,
    /// Number of workers that take tasks.
    pub open_workers: u32,
    /// Number of workers that do not answer.
    pub silent_workers: u32,
    /// Number of workers that were not yet read under the current epoch.
    pub unread_workers: u32,
    /// Capacity of the workers that take tasks.
    pub capacity: Resources,
    /// Sum of the reservations on all workers.
    pub reserved: Resources,
    /// Free resources that are claimed by a waiting gang.
    pub claimed: Resources,
    /// Number of jobs that have not ended.
    pub jobs: u32,
    /// Number of waiting tasks.
    pub waiting: u32,
    /// Number of tasks with a reservation on a worker.
    pub placed: u32,
    /// Number of tasks in state running or stopping.
    pub running: u32,
}

impl Placer {
    /// Returns the state of a job and the reasons why its tasks wait; `None` for an unknown job.
    pub fn explain(&self, job_id: &str, now_ms: u64) -> Option<Explanation> {
        let key = *self.job_ids.get(job_id)?;
        let job = self.jobs.get(key)?;
        let size = self.size_of(key);
        let mut ruled_out = BTreeMap::new();
        let (mut workers, mut open) = (0, 0);
        for (worker_key, worker) in self.inventory.workers() {
            workers += 1;
            match self.ruled_out(key, size, worker_key, worker, now_ms) {
                Some(reason) => *ruled_out.entry(reason).or_default() += 1,
                None => open += 1,
            }
        }
        let claim = self.claim.as_ref().map(super::gang::Claim::expected_start);
        let expected_start = claim.filter(|(claimed, _)| *claimed == key);
        Some(Explanation {
            state: job.state.clone(),
            waiting: job.waiting_count,
            placed: job.placed_count,
            finished: job.finished_count,
            size,
            workers,
            open,
            ruled_out,
            held_back: self.held_back(key, size, now_ms),
            expected_start_in_ms: expected_start.map(|(_, at_ms)| at_ms.saturating_sub(now_ms)),
        })
    }

    fn held_back(&self, key: JobKey, size: Resources, now_ms: u64) -> Vec<HeldBack> {
        let Some(job) = self.jobs.get(key) else { return Vec::new() };
        if job.waiting_count == 0 {
            return Vec::new();
        }
        let whole = job.rules.is_all_or_nothing;
        let need = if whole { size.times(job.waiting_count) } else { size };
        let reasons = [
            (HeldBack::Quota, !self.queue.allows(job.team, need)),
            (HeldBack::Backoff, now_ms < job.not_before_ms),
            (HeldBack::Locating, job.is_restored && self.is_locating),
            (HeldBack::WholeGang, whole),
        ];
        reasons.into_iter().filter(|(_, holds)| *holds).map(|(reason, _)| reason).collect()
    }

    /// The first reason why a worker cannot take a task of a job; `None` if it can.
    fn ruled_out(
        &self,
        key: JobKey,
        size: Resources,
        worker_key: WorkerKey,
        worker: &Worker,
        now_ms: u64,
    ) -> Option<RuledOut> {
        let (job, view) = (self.jobs.get(key)?, self.workers.get(worker_key)?);
        if let Some(reason) = unavailable_reason(view, worker) {
            return Some(reason);
        }
        if !has_labels(worker, &job.spec) {
            return Some(RuledOut::Labels);
        }
        if job.failed_workers.contains(&worker_key) {
            return Some(RuledOut::FailedThere);
        }
        if !self.satisfies_anti_affinity(key, worker_key) {
            return Some(RuledOut::Apart);
        }
        if let Some(reason) = missing_resource(size, view) {
            return Some(reason);
        }
        let ends_ms = self.expected_end_ms(job, now_ms);
        let entry = self.index.entry(view.row);
        let is_free = size.fits(view.room()) && self.claim_allows(key, entry, size, ends_ms);
        (!is_free).then_some(RuledOut::Claimed)
    }

    /// Returns what each team uses and waits for in this zone; `None` unless this process holds the
    /// zone and knows what runs on the workers.
    pub fn needs(&self) -> Option<BTreeMap<String, TeamDemand>> {
        if self.epoch.is_none() || self.is_locating {
            return None;
        }
        let mut needs: BTreeMap<String, TeamDemand> = BTreeMap::new();
        for team in self.queue.teams().filter(|team| !team.used.is_zero()) {
            needs.entry(team.name.clone()).or_default().used = team.used;
        }
        for (key, job) in self.jobs.iter().filter(|(_, job)| job.waiting_count > 0) {
            if job.is_cancelled || job.is_given_up {
                continue;
            }
            let need = needs.entry(job.spec.team.clone()).or_default();
            let waiting = self.size_of(key).times(job.waiting_count);
            need.waiting = need.waiting.plus(waiting);
        }
        Some(needs)
    }

    /// Returns the totals of the zone.
    pub fn stats(&self) -> Stats {
        let mut stats = Stats { capacity: self.open_capacity, ..Stats::default() };
        for view in self.workers.values() {
            stats.workers += 1;
            stats.open_workers += u32::from(self.index.is_open(view.row));
            stats.silent_workers += u32::from(view.state == WorkerState::Silent);
            stats.unread_workers += u32::from(view.state == WorkerState::Unread);
            stats.reserved = stats.reserved.plus(view.reserved);
        }
        for job in self.jobs.values() {
            stats.jobs += u32::from(!super::jobs::is_ended(&job.state));
            stats.waiting += job.waiting_count;
            stats.placed += job.placed_count;
            stats.running += job.running_count;
        }
        let free = |worker| self.workers.get(worker).map_or(Resources::default(), WorkerView::free);
        stats.claimed =
            self.claim.as_ref().map(|claim| claim.idle_resources(free)).unwrap_or_default();
        stats
    }
}

/// The reason why a worker takes no tasks of any job; `None` if it takes some.
fn unavailable_reason(view: &WorkerView, worker: &Worker) -> Option<RuledOut> {
    match view.state {
        _ if worker.is_draining || worker.is_removed => Some(RuledOut::Draining),
        WorkerState::Unread => Some(RuledOut::Unread),
        WorkerState::Silent => Some(RuledOut::Silent),
        _ if view.required_barrier.is_some() => Some(RuledOut::Silent),
        WorkerState::Probation if view.not_before_ms > 0 || !view.tasks.is_empty() => {
            Some(RuledOut::Probation)
        }
        WorkerState::Leaving | WorkerState::Gone => Some(RuledOut::Draining),
        WorkerState::Ready | WorkerState::Probation => None,
    }
}

/// The first resource that a worker lacks for a task of this size.
fn missing_resource(size: Resources, view: &WorkerView) -> Option<RuledOut> {
    let free = view.free();
    if !size.fits(view.capacity) {
        return Some(RuledOut::TooSmall);
    }
    if size.cpu_millis > free.cpu_millis {
        return Some(RuledOut::Processor);
    }
    if size.memory_bytes > free.memory_bytes {
        return Some(RuledOut::Memory);
    }
    (size.accelerators > free.accelerators).then_some(RuledOut::Accelerators)
}
