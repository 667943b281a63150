//! Why a job waits: how many workers each reason rules out; and totals of the zone.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::jobs::has_labels;
use super::life::WorkerState;
use super::message::JobState;
use super::placer::Placer;
use super::spec::Resources;
use super::state::{JobKey, WorkerView};
use crate::inventory::{Worker, WorkerKey};
use crate::quota::Need;

/// Why a worker does not take a task now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RuledOut {
    /// It was not read under this epoch.
    Unread,
    /// It does not answer.
    Silent,
    /// It is being emptied or was removed.
    Draining,
    /// It failed too much of what it started.
    Probation,
    /// It lacks a label.
    Labels,
    /// A rule keeps the job apart from what runs there.
    Apart,
    /// A task of the job failed there.
    FailedThere,
    /// It is too small even when empty.
    TooSmall,
    /// It lacks processor time now.
    Processor,
    /// It lacks memory now.
    Memory,
    /// It lacks accelerators now.
    Accelerators,
    /// Its room is kept for a gang or for urgent work.
    Claimed,
}

/// What keeps a whole job from being placed, whatever the workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HeldBack {
    /// The share of its team in this zone is used up.
    Quota,
    /// It failed and is tried again later.
    Backoff,
    /// Its tasks may still run on workers that were not read after a takeover.
    Locating,
    /// Not all tasks of the gang fit at once.
    WholeGang,
}

/// Why a job waits.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Explanation {
    /// State of the job.
    pub state: JobState,
    /// Tasks that wait.
    pub waiting: u32,
    /// Tasks that hold resources.
    pub placed: u32,
    /// Tasks that finished.
    pub finished: u32,
    /// What is reserved for each task: the larger of the declared and the learned size.
    pub size: Resources,
    /// Workers of the zone.
    pub workers: u32,
    /// Workers that would take one task now.
    pub open: u32,
    /// Workers by the first reason that rules them out.
    pub ruled_out: BTreeMap<RuledOut, u32>,
    /// What holds the whole job back.
    pub held_back: Vec<HeldBack>,
    /// Time in which the gang is expected to start, in milliseconds.
    pub expected_start_in_ms: Option<u64>,
}

/// Totals of the zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Stats {
    /// Workers.
    pub workers: u32,
    /// Workers that take tasks.
    pub open_workers: u32,
    /// Workers that do not answer.
    pub silent_workers: u32,
    /// Workers not read under this epoch.
    pub unread_workers: u32,
    /// Capacity of the workers that take tasks.
    pub capacity: Resources,
    /// Reserved on all workers.
    pub reserved: Resources,
    /// Held idle for a gang.
    pub claimed: Resources,
    /// Jobs that are not ended.
    pub jobs: u32,
    /// Tasks that wait.
    pub waiting: u32,
    /// Tasks that hold resources.
    pub placed: u32,
    /// Tasks that run.
    pub running: u32,
}

impl Placer {
    /// Why a job waits, if it is known.
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
        let expects = self.claim.as_ref().map(super::gang::Claim::expects);
        let expected = expects.filter(|(claimed, _)| *claimed == key);
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
            expected_start_in_ms: expected.map(|(_, at_ms)| at_ms.saturating_sub(now_ms)),
        })
    }

    fn held_back(&self, key: JobKey, size: Resources, now_ms: u64) -> Vec<HeldBack> {
        let Some(job) = self.jobs.get(key) else { return Vec::new() };
        if job.waiting_count == 0 {
            return Vec::new();
        }
        let whole = job.ruling.is_whole;
        let need = if whole { size.times(job.waiting_count) } else { size };
        let reasons = [
            (HeldBack::Quota, !self.queue.allows(job.team, need)),
            (HeldBack::Backoff, now_ms < job.not_before_ms),
            (HeldBack::Locating, job.is_restored && self.is_locating),
            (HeldBack::WholeGang, whole),
        ];
        reasons.into_iter().filter(|(_, holds)| *holds).map(|(reason, _)| reason).collect()
    }

    fn ruled_out(
        &self,
        key: JobKey,
        size: Resources,
        worker_key: WorkerKey,
        worker: &Worker,
        now_ms: u64,
    ) -> Option<RuledOut> {
        let (job, view) = (self.jobs.get(key)?, self.workers.get(worker_key)?);
        if let Some(reason) = closed(view, worker) {
            return Some(reason);
        }
        if !has_labels(worker, &job.spec) {
            return Some(RuledOut::Labels);
        }
        if job.failed_workers.contains(&worker_key) {
            return Some(RuledOut::FailedThere);
        }
        if !self.is_apart(key, worker_key) {
            return Some(RuledOut::Apart);
        }
        if let Some(reason) = lacks(size, view) {
            return Some(reason);
        }
        let ends_ms = self.expected_end_ms(job, now_ms);
        let entry = self.index.entry(view.row);
        let is_free = size.fits(view.room()) && self.claim_admits(key, entry, size, ends_ms);
        (!is_free).then_some(RuledOut::Claimed)
    }

    /// What each team uses and waits for here, once it is certain what runs.
    pub fn needs(&self) -> Option<BTreeMap<String, Need>> {
        if self.epoch.is_none() || self.is_locating {
            return None;
        }
        let mut needs: BTreeMap<String, Need> = BTreeMap::new();
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

    /// Totals of the zone.
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
        stats.claimed = self.claim.as_ref().map(|claim| claim.held(free)).unwrap_or_default();
        stats
    }
}

fn closed(view: &WorkerView, worker: &Worker) -> Option<RuledOut> {
    match view.state {
        _ if worker.is_draining || worker.is_removed => Some(RuledOut::Draining),
        WorkerState::Unread => Some(RuledOut::Unread),
        WorkerState::Silent => Some(RuledOut::Silent),
        _ if view.needs_read.is_some() => Some(RuledOut::Silent),
        WorkerState::Probation if view.not_before_ms > 0 || !view.tasks.is_empty() => {
            Some(RuledOut::Probation)
        }
        WorkerState::Leaving | WorkerState::Gone => Some(RuledOut::Draining),
        WorkerState::Ready | WorkerState::Probation => None,
    }
}

fn lacks(size: Resources, view: &WorkerView) -> Option<RuledOut> {
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
