//! Gang scheduling: all waiting tasks of a gang are placed together or not at all.
//!
//! One waiting gang at a time, the first by priority and arrival, has a claim on the workers on
//! which it is expected to be able to start first. Other tasks are backfilled on these workers
//! only if they are expected to end before that start, leave the claimed resources free, or have
//! a higher priority. Without the claim, a steady flow of smaller tasks would starve the gang.

use super::assign::Outcome;
use super::index::Entry;
use super::jobs::count_that_fits;
use super::lifecycle::TaskState;
use super::message::{Action, StopMode};
use super::placer::Placer;
use super::spec::Resources;
use super::state::{Job, JobKey, TaskKey};
use crate::collections::HashMap;
use crate::configs::place::Policy;
use crate::inventory::WorkerKey;

/// Resources of one worker as divided by a claim.
#[derive(Clone, Copy, Debug)]
struct WorkerClaim {
    /// Resources that the gang will take.
    claimed: Resources,
    /// Resources that are expected to stay free beside the gang when it starts.
    spare: Resources,
}

/// A claim of a waiting gang on the workers where it is expected to start.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    /// Gang that holds the claim.
    job: JobKey,
    /// Time at which the gang is expected to start, in milliseconds.
    start_ms: u64,
    /// Time at which the claim was last computed, in milliseconds.
    made_at_ms: u64,
    workers: HashMap<WorkerKey, WorkerClaim>,
}

/// Expected end of a task, which releases resources on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ExpectedRelease {
    at_ms: u64,
    worker: WorkerKey,
    released: Resources,
}

impl Placer {
    /// Returns whether a gang holds a claim.
    pub(crate) fn has_claim(&self) -> bool {
        self.claim.is_some()
    }

    /// Returns whether a task of another job may use a worker despite the claim, if there is one.
    pub(crate) fn claim_allows(
        &self,
        key: JobKey,
        entry: &Entry,
        size: Resources,
        ends_ms: u64,
    ) -> bool {
        let Some(claim) = &self.claim else { return true };
        if claim.job == key {
            return true;
        }
        let Some(worker_claim) = claim.workers.get(&entry.worker) else { return true };
        let priority = |job: JobKey| self.jobs.get(job).map(|job| job.spec.priority);
        if priority(key) > priority(claim.job) {
            return true;
        }
        let starts_later = claim.start_ms > claim.made_at_ms;
        starts_later && ends_ms <= claim.start_ms || size.fits(worker_claim.spare)
    }

    /// Subtracts a task that outlasts the start of the claiming gang from the spare resources of
    /// its worker.
    pub(crate) fn consume_spare(
        &mut self,
        key: JobKey,
        worker: WorkerKey,
        size: Resources,
        ends: u64,
    ) {
        let Some(claim) = &mut self.claim else { return };
        if claim.job == key || ends <= claim.start_ms {
            return;
        }
        if let Some(worker_claim) = claim.workers.get_mut(&worker) {
            worker_claim.spare = worker_claim.spare.minus(size);
        }
    }

    /// Drops the claim if the job holds it.
    pub(crate) fn drop_claim(&mut self, key: JobKey) {
        if self.claim.as_ref().is_some_and(|claim| claim.job == key) {
            self.claim = None;
            self.triggers.add_all();
        }
    }

    /// Places all waiting tasks of a gang, or none.
    ///
    /// If members were lost and cannot be replaced, the remaining ones are stopped. If nothing can
    /// be placed, an urgent gang preempts other tasks; a gang for which this is not possible claims
    /// workers once it has waited for `gang_patience_ms`.
    pub(crate) fn assign_gang(
        &mut self,
        key: JobKey,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) -> Outcome {
        let Some(job) = self.jobs.get(key) else { return Outcome::Blocked };
        let waiting = self.waiting_tasks(job);
        let (team, placed) = (job.team, job.placed_count);
        if waiting.is_empty() {
            self.dequeue(key);
            return Outcome::Blocked;
        }
        if placed > 0 && self.has_unsettled_member(key) {
            return Outcome::Blocked;
        }
        let size = self.size_of(key);
        let count = u32::try_from(waiting.len()).unwrap_or(u32::MAX);
        let is_allowed = self.quota_allows(team, size.times(count));
        let chosen =
            if is_allowed { self.choose_gang_workers(key, &waiting, size, now_ms) } else { None };
        if let Some(workers) = chosen {
            for (task, worker) in waiting.into_iter().zip(workers) {
                self.start_task(task, worker, size, now_ms, out);
            }
            self.drop_claim(key);
            return Outcome::Placed;
        }
        if placed > 0 {
            self.stop_members(key, now_ms, out);
            return Outcome::Blocked;
        }
        let first = waiting.first().and_then(|task| self.tasks.get(*task));
        let waited_ms = first.map_or(0, |task| now_ms.saturating_sub(task.since_ms));
        let may_claim = is_allowed && self.config.policy == Policy::Full;
        let is_patient = waited_ms < self.config.gang_patience_ms;
        if may_claim && !self.preempt_for_gang(key, &waiting, size, now_ms, out) && !is_patient {
            self.update_claim(key, size, count, now_ms);
        }
        if may_claim {
            // Without this retry, the gang would be tried again only once a worker gets room for
            // one of its tasks.
            let every_ms = self.config.claim_every_ms;
            self.delayed.insert(((now_ms / every_ms + 1) * every_ms, key));
        }
        Outcome::Blocked
    }

    fn waiting_tasks(&self, job: &Job) -> Vec<TaskKey> {
        let waits =
            |key: &TaskKey| self.tasks.get(*key).is_some_and(|t| t.state == TaskState::Waiting);
        job.tasks.iter().copied().filter(waits).collect()
    }

    /// Whether a member is being stopped, or it is unknown whether it runs.
    fn has_unsettled_member(&self, key: JobKey) -> bool {
        let Some(job) = self.jobs.get(key) else { return false };
        let unsettled = |state| matches!(state, TaskState::Stopping | TaskState::Unsure);
        job.tasks.iter().any(|task| self.tasks.get(*task).is_some_and(|t| unsettled(t.state)))
    }

    /// Stops the placed members, so that all tasks of the gang can start together again later.
    fn stop_members(&mut self, key: JobKey, now_ms: u64, out: &mut Vec<Action>) {
        for task in self.jobs.get(key).map(|job| job.tasks.clone()).unwrap_or_default() {
            if self.tasks.get(task).is_some_and(|task| task.state.is_placed()) {
                self.stop_task(task, StopMode::Checkpoint, now_ms, out);
            }
        }
    }

    /// Chooses a worker for each waiting task, or returns `None` if not all fit; reserves nothing.
    fn choose_gang_workers(
        &mut self,
        key: JobKey,
        waiting: &[TaskKey],
        size: Resources,
        now_ms: u64,
    ) -> Option<Vec<WorkerKey>> {
        if !self.may_have_room(size, waiting.len()) {
            return None;
        }
        let mut chosen: Vec<WorkerKey> = Vec::with_capacity(waiting.len());
        let has_self_anti_affinity = self.has_self_anti_affinity(key);
        for &task in waiting {
            let candidate = self.choose_worker(key, task, size, now_ms);
            let Some(worker) = candidate else { break };
            let view = &mut self.workers[worker];
            view.tentative = view.tentative.plus(size);
            chosen.push(worker);
            if has_self_anti_affinity {
                view.tentative = view.capacity;
            }
            self.refresh_room(worker);
        }
        for &worker in &chosen {
            self.workers[worker].tentative = Resources::default();
            self.refresh_room(worker);
        }
        (chosen.len() == waiting.len()).then_some(chosen)
    }

    fn has_self_anti_affinity(&self, key: JobKey) -> bool {
        let Some(job) = self.jobs.get(key) else { return false };
        let anti_affinity = &job.rules.anti_affinity;
        anti_affinity.iter().any(|side| anti_affinity.contains(&(side ^ 1)))
    }

    /// Quick check whether the open workers have room for `count` tasks, ignoring labels, rules
    /// and claims.
    fn may_have_room(&self, size: Resources, count: usize) -> bool {
        let mut open = self.index.open();
        let mut left = u64::try_from(count).unwrap_or(u64::MAX);
        open.any(|(_, entry)| {
            if size.fits(entry.room) {
                left = left.saturating_sub(count_that_fits(size, entry.room));
            }
            left == 0
        })
    }

    /// Claims workers for a gang, unless a gang that precedes it holds the claim. Recomputes an own
    /// claim once it is `claim_every_ms` old.
    fn update_claim(&mut self, key: JobKey, size: Resources, count: u32, now_ms: u64) {
        if let Some(claim) = &self.claim {
            let is_fresh = now_ms < claim.made_at_ms + self.config.claim_every_ms;
            if claim.job == key && is_fresh || claim.job != key && !self.precedes(key, claim.job) {
                return;
            }
        }
        let claim = self.compute_claim(key, size, u64::from(count), now_ms);
        let is_kept = |worker: &WorkerKey| {
            claim.as_ref().is_some_and(|claim| claim.workers.contains_key(worker))
        };
        let freed = self.claim.iter().flat_map(|claim| claim.workers.keys());
        let freed: Vec<WorkerKey> = freed.filter(|worker| !is_kept(worker)).copied().collect();
        freed.into_iter().for_each(|worker| self.triggers.add_worker(worker));
        self.claim = claim;
    }

    fn precedes(&self, key: JobKey, other: JobKey) -> bool {
        let rank = |key| {
            self.jobs.get(key).map(|job| (job.spec.priority, std::cmp::Reverse(job.sequence)))
        };
        rank(key) > rank(other)
    }

    fn compute_claim(
        &self,
        key: JobKey,
        size: Resources,
        count: u64,
        now_ms: u64,
    ) -> Option<Claim> {
        let mut rooms: HashMap<WorkerKey, Resources> = HashMap::default();
        let mut slots = 0_u64;
        for (worker, view) in &self.workers {
            if self.index.is_open(view.row) && self.satisfies_constraints(key, worker) {
                slots += count_that_fits(size, view.free());
                rooms.insert(worker, view.free());
            }
        }
        let mut start_ms = now_ms;
        for release in self.expected_releases(&rooms, now_ms) {
            if slots >= count {
                break;
            }
            let Some(room) = rooms.get_mut(&release.worker) else { continue };
            let before = count_that_fits(size, *room);
            *room = room.plus(release.released);
            slots += count_that_fits(size, *room) - before;
            start_ms = release.at_ms;
        }
        if slots < count {
            return None;
        }
        let workers = divide_gang(&rooms, size, count);
        Some(Claim { job: key, start_ms, made_at_ms: now_ms, workers })
    }

    /// Expected ends of the tasks on these workers, earliest first.
    fn expected_releases(
        &self,
        rooms: &HashMap<WorkerKey, Resources>,
        now_ms: u64,
    ) -> Vec<ExpectedRelease> {
        let mut expected_releases = Vec::new();
        for (worker, view) in self.workers.iter().filter(|(key, _)| rooms.contains_key(key)) {
            for task in view.tasks.iter().filter_map(|key| self.tasks.get(*key)) {
                let Some(job) = self.jobs.get(task.job) else { continue };
                let end_ms = match task.state {
                    TaskState::Stopping => now_ms,
                    _ => self.expected_end_ms(job, task.since_ms),
                };
                if end_ms != u64::MAX {
                    // An overdue task is expected to run on for as long as it is overdue.
                    let over_ms = now_ms.saturating_sub(end_ms);
                    let at_ms = end_ms.max(now_ms) + over_ms;
                    expected_releases.push(ExpectedRelease {
                        at_ms,
                        worker,
                        released: task.reserved,
                    });
                }
            }
        }
        expected_releases.sort_unstable();
        expected_releases
    }
}

/// Divides a gang over as few workers as possible, those that hold most tasks first.
fn divide_gang(
    rooms: &HashMap<WorkerKey, Resources>,
    size: Resources,
    count: u64,
) -> HashMap<WorkerKey, WorkerClaim> {
    let mut by_slots: Vec<(u64, WorkerKey)> =
        rooms.iter().map(|(worker, room)| (count_that_fits(size, *room), *worker)).collect();
    by_slots.sort_unstable_by(|left, right| right.0.cmp(&left.0).then(left.1.cmp(&right.1)));
    let mut workers = HashMap::default();
    let mut left = count;
    for (slots, worker) in by_slots {
        let taken = slots.min(left);
        if taken == 0 {
            break;
        }
        left -= taken;
        let claimed = size.times(u32::try_from(taken).unwrap_or(u32::MAX));
        workers.insert(worker, WorkerClaim { claimed, spare: rooms[&worker].minus(claimed) });
    }
    workers
}

impl Claim {
    /// Returns the claimed resources that are free now; `free` gives what is free on a worker.
    pub(crate) fn idle_resources(&self, free: impl Fn(WorkerKey) -> Resources) -> Resources {
        let held = self
            .workers
            .iter()
            .map(|(worker, worker_claim)| worker_claim.claimed.smaller(free(*worker)));
        held.fold(Resources::default(), Resources::plus)
    }

    /// Returns the claiming job and its expected start time, in milliseconds.
    pub(crate) fn expected_start(&self) -> (JobKey, u64) {
        (self.job, self.start_ms)
    }
}
