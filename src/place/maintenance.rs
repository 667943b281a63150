//! Periodic maintenance (drains, rolling updates, removed workers) and changes of services, rules
//! and quotas.

use std::sync::Arc;

use super::lifecycle::{TaskEvent, TaskState, WorkerEvent, WorkerState};
use super::message::{Action, JobId, StopMode};
use super::placer::Placer;
use super::rules::Rules;
use super::spec::{JobKind, JobSpec, Resources};
use super::state::{Job, JobKey, TaskKey};
use crate::declarations::RuleDeclaration;
use crate::inventory::WorkerKey;
use crate::quota::Shares;

/// Replicas of a service for each one that may be down at once in a rolling update or a drain; at
/// least one may be.
const REPLICAS_PER_UNAVAILABLE: u32 = 10;

impl Placer {
    /// Runs the maintenance of one tick.
    pub(crate) fn run_maintenance(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        self.drain_workers(now_ms, out);
        self.continue_rolling_updates(now_ms, out);
        self.delete_removed_workers();
    }

    /// Stops the tasks that may be moved from drained and removed workers; the others run to
    /// completion.
    fn drain_workers(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let drained: Vec<WorkerKey> = self
            .inventory
            .workers()
            .filter(|(_, worker)| worker.is_draining || worker.is_removed)
            .map(|(key, _)| key)
            .collect();
        for key in drained {
            let Some(view) = self.workers.get(key) else { continue };
            for task in view.tasks.clone() {
                if self.may_evict(task) {
                    self.stop_task(task, StopMode::Checkpoint, now_ms, out);
                }
            }
        }
    }

    fn may_evict(&self, key: TaskKey) -> bool {
        let Some(task) = self.tasks.get(key) else { return false };
        let Some(job) = self.jobs.get(task.job) else { return false };
        if task.state != TaskState::Running {
            return false;
        }
        match job.spec.kind {
            JobKind::Service => may_stop_replica(job),
            JobKind::Batch | JobKind::Gang => job.spec.is_stoppable,
        }
    }

    /// Continues all rolling updates.
    fn continue_rolling_updates(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let rolling_updates = std::mem::take(&mut self.rolling_updates);
        for key in rolling_updates {
            if self.continue_rolling_update(key, now_ms, out) {
                self.rolling_updates.push(key);
            }
        }
    }

    /// Stops replicas that run an earlier specification, a few at a time; returns whether any are
    /// left.
    fn continue_rolling_update(&mut self, key: JobKey, now_ms: u64, out: &mut Vec<Action>) -> bool {
        let Some(job) = self.jobs.get(key) else { return false };
        let generation = job.generation;
        let is_old = |task: &TaskKey| {
            let task = self.tasks.get(*task);
            task.is_some_and(|task| task.state.is_placed() && task.generation != generation)
        };
        let old: Vec<TaskKey> = job.tasks.iter().copied().filter(is_old).collect();
        for &task in &old {
            if !self.jobs.get(key).is_some_and(may_stop_replica) {
                break;
            }
            if self.tasks[task].state == TaskState::Running {
                self.stop_task(task, StopMode::Stop, now_ms, out);
            }
        }
        !old.is_empty()
    }

    /// Changes the specification or the number of replicas of a service. Ignores a specification
    /// that is invalid or changes the team or the anti-affinity rules that apply.
    pub(crate) fn replace_service(
        &mut self,
        job_id: &JobId,
        spec: Arc<JobSpec>,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(&key) = self.job_ids.get(job_id) else { return };
        let Some(job) = self.jobs.get(key) else { return };
        let is_service = job.spec.kind == JobKind::Service && spec.kind == JobKind::Service;
        if !is_service || job.is_cancelled || self.rejection(&spec).is_some() {
            return;
        }
        let mut same_size = (*spec).clone();
        same_size.tasks = job.spec.tasks;
        let needs_update = same_size != *job.spec;
        self.dequeue(key);
        let job_rules = self.rules.for_job(&spec);
        let team = self.queue.team_key(&spec.team);
        let job = &mut self.jobs[key];
        if team != job.team || job_rules.anti_affinity != job.rules.anti_affinity {
            // Running replicas are charged to the team and counted under the rules that they
            // started with.
            self.enqueue(key);
            return;
        }
        job.rules = job_rules;
        job.spec = spec;
        job.generation += u32::from(needs_update);
        self.resize_service(key, now_ms, out);
        if needs_update {
            self.rolling_updates.push(key);
        }
        self.enqueue(key);
        self.refresh_job(key, now_ms, out);
    }

    /// Adds or stops replicas until the number in the specification is reached.
    fn resize_service(&mut self, key: JobKey, now_ms: u64, out: &mut Vec<Action>) {
        let wanted = self.jobs[key].spec.tasks as usize;
        let known = self.jobs[key].tasks.len();
        if wanted > known {
            self.add_replicas(key, now_ms);
        }
        for task in self.jobs[key].tasks.split_off(wanted.min(known)) {
            if self.tasks[task].state.is_placed() {
                self.tasks[task].is_surplus = true;
                self.stop_task(task, StopMode::Stop, now_ms, out);
                self.jobs[key].tasks.push(task);
            } else {
                self.task_event(task, TaskEvent::Cancel, now_ms);
            }
        }
    }

    /// Deletes removed workers on which nothing can run any more.
    fn delete_removed_workers(&mut self) {
        let gone: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, view)| view.state == WorkerState::Leaving)
            .filter(|(_, view)| view.tasks.is_empty() && view.orphans.is_empty())
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            if self.is_locating {
                return;
            }
            self.worker_event(key, WorkerEvent::Forget);
            if let Some(view) = self.workers.remove(key) {
                self.index.remove(view.row);
            }
            self.inventory.forget(key);
        }
    }

    /// Replaces the placement rules and recomputes their effects on jobs and workers.
    pub(crate) fn set_rules(&mut self, declared: &[RuleDeclaration]) {
        self.rules = Rules::new(declared);
        let side_count = self.rules.anti_affinity_side_count();
        for view in self.workers.values_mut() {
            view.anti_affinity = vec![0; side_count];
        }
        for job in self.jobs.values_mut() {
            job.rules = self.rules.for_job(&job.spec);
        }
        for task in self.tasks.values().filter(|task| task.state.is_placed()) {
            let Some(view) = self.workers.get_mut(task.worker) else { continue };
            for side in &self.jobs[task.job].rules.anti_affinity {
                view.anti_affinity[usize::from(*side)] += 1;
            }
        }
    }

    /// Replaces the quota shares of the zone.
    pub(crate) fn set_shares(&mut self, shares: Arc<Shares>) {
        self.shares = Some(shares);
        self.refresh_limits();
        self.quota_bound.clear();
        self.triggers.add_all();
    }

    /// Recomputes the limits of all teams from the quota shares and the capacity of the zone.
    pub(crate) fn refresh_limits(&mut self) {
        let workers = self.inventory.workers();
        let total =
            workers.fold(Resources::default(), |sum, (_, worker)| sum.plus(worker.capacity));
        self.queue.set_total(total);
        let names: Vec<String> = self.queue.teams().map(|team| team.name.clone()).collect();
        for name in names {
            let limit = self.limit_of(&name);
            let key = self.queue.team_key(&name);
            self.queue.set_limit(key, limit);
        }
    }

    /// Returns what a team may use in this zone; `None` if no quotas are in force.
    pub(crate) fn limit_of(&self, team: &str) -> Option<Resources> {
        let shares = self.shares.as_ref()?;
        Some(shares.teams.get(team).copied().unwrap_or_default())
    }
}

/// Returns whether one more replica of a service may be stopped.
fn may_stop_replica(job: &Job) -> bool {
    let allowed = (job.spec.tasks / REPLICAS_PER_UNAVAILABLE).max(1);
    let down = job.waiting_count + job.stopping_count;
    down < allowed
}
