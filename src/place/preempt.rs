//! Preemption: urgent jobs displace stoppable tasks of lower priority, chosen by the least loss.
//!
//! A waiting task for which room is being made is nominated for the worker: the room is kept for
//! it until the victims have stopped.

use super::lifecycle::TaskState;
use super::message::{Action, StopMode};
use super::placer::Placer;
use super::spec::{Priority, Resources};
use super::state::{JobKey, TaskKey, WorkerView};
use crate::inventory::WorkerKey;

/// Age from which a victim is checkpointed rather than just stopped, in milliseconds.
const MIN_CHECKPOINT_AGE_MS: u64 = 5_000;

/// Cost of restarting a task, including reading its checkpoint, as lost run time in milliseconds.
const RESTART_COST_MS: u64 = 2_000;

/// Maximum number of candidate workers that are compared for one task.
const MAX_CANDIDATE_WORKERS: usize = 512;

/// Nomination of a waiting task for a worker on which victims are being stopped.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Nomination {
    pub(crate) worker: WorkerKey,
    /// Resources promised to the task.
    size: Resources,
    /// Time of the nomination, in milliseconds.
    since_ms: u64,
}

/// Tasks to stop on a worker in order to make room there.
#[derive(Clone, Debug)]
struct Victims {
    worker: WorkerKey,
    tasks: Vec<TaskKey>,
    /// Number of victims that no `stop_first` rule names, then lost run time in milliseconds.
    loss: (usize, u64),
}

impl Placer {
    /// Preempts tasks for the waiting tasks of an urgent job, for each on the worker with the least
    /// loss.
    pub(crate) fn preempt_for(
        &mut self,
        task: TaskKey,
        size: Resources,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(key) = self.tasks.get(task).map(|task| task.job) else { return };
        let Some(job) = self.jobs.get(key) else { return };
        if job.spec.priority < Priority::Urgent {
            return;
        }
        let waiting: Vec<TaskKey> = job.waiting.iter().copied().collect();
        let mut made = 0;
        for task in waiting {
            if made == self.config.preemptions_per_step {
                break;
            }
            let waits = self.tasks.get(task).is_some_and(|task| task.state == TaskState::Waiting);
            if !waits || self.nominations.contains_key(&task) {
                continue;
            }
            let Some(victims) = self.find_least_loss(key, size, now_ms) else { break };
            self.nominate(task, size, &victims, now_ms, out);
            made += 1;
        }
    }

    /// Preempts tasks for all waiting tasks of an urgent gang, or for none; returns whether it did.
    pub(crate) fn preempt_for_gang(
        &mut self,
        key: JobKey,
        waiting: &[TaskKey],
        size: Resources,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) -> bool {
        let urgent = self.jobs.get(key).is_some_and(|job| job.spec.priority == Priority::Urgent);
        if !urgent || waiting.len() > self.config.preemptions_per_step {
            return false;
        }
        let open = waiting.iter().filter(|task| !self.nominations.contains_key(task));
        let open: Vec<TaskKey> = open.copied().collect();
        let mut plan: Vec<(TaskKey, Victims)> = Vec::new();
        for &task in &open {
            let Some(victims) = self.find_least_loss(key, size, now_ms) else { break };
            self.plan_victims(&victims, size);
            plan.push((task, victims));
        }
        for (_, victims) in &plan {
            self.unplan_victims(victims, size);
        }
        if plan.len() < open.len() {
            return false;
        }
        for (task, victims) in plan {
            self.nominate(task, size, &victims, now_ms, out);
        }
        true
    }

    /// Counts victims as stopping while the preemptions for the rest of a gang are planned.
    fn plan_victims(&mut self, victims: &Victims, size: Resources) {
        let released = self.reserved_by(&victims.tasks);
        self.planned_victims.extend(victims.tasks.iter().copied());
        if let Some(view) = self.workers.get_mut(victims.worker) {
            view.stopping = view.stopping.plus(released);
            view.nominated = view.nominated.plus(size);
        }
    }

    /// Reverts `plan_victims`.
    fn unplan_victims(&mut self, victims: &Victims, size: Resources) {
        let released = self.reserved_by(&victims.tasks);
        for task in &victims.tasks {
            self.planned_victims.remove(task);
        }
        if let Some(view) = self.workers.get_mut(victims.worker) {
            view.stopping = view.stopping.minus(released);
            view.nominated = view.nominated.minus(size);
        }
    }

    fn reserved_by(&self, tasks: &[TaskKey]) -> Resources {
        let reserved = tasks.iter().filter_map(|key| self.tasks.get(*key));
        reserved.fold(Resources::default(), |sum, task| sum.plus(task.reserved))
    }

    /// Stops the victims and nominates the task for their worker.
    fn nominate(
        &mut self,
        task: TaskKey,
        size: Resources,
        victims: &Victims,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        for &victim in &victims.tasks {
            let age_ms =
                self.tasks.get(victim).map_or(0, |task| now_ms - task.since_ms.min(now_ms));
            let mode =
                if age_ms >= MIN_CHECKPOINT_AGE_MS { StopMode::Checkpoint } else { StopMode::Stop };
            self.stop_task(victim, mode, now_ms, out);
        }
        let worker = victims.worker;
        self.nominations.insert(task, Nomination { worker, size, since_ms: now_ms });
        if let Some(job) = self.tasks.get(task).and_then(|task| self.jobs.get_mut(task.job)) {
            job.nominated.push(task);
        }
        if let Some(view) = self.workers.get_mut(worker) {
            view.nominated = view.nominated.plus(size);
        }
        self.refresh_room(worker);
    }

    /// Finds the worker on which making room for `size` loses the least.
    fn find_least_loss(&self, key: JobKey, size: Resources, now_ms: u64) -> Option<Victims> {
        let mut best: Option<Victims> = None;
        let mut candidates = 0;
        for (_, entry) in self.index.open() {
            if !size.fits(entry.capacity) || !self.satisfies_constraints(key, entry.worker) {
                continue;
            }
            let Some(view) = self.workers.get(entry.worker) else { continue };
            let Some(victims) = self.choose_victims(key, entry.worker, view, size, now_ms) else {
                continue;
            };
            candidates += 1;
            if best.as_ref().is_none_or(|known| victims.loss < known.loss) {
                best = Some(victims);
            }
            if candidates == MAX_CANDIDATE_WORKERS {
                break;
            }
        }
        best
    }

    /// Chooses the tasks to stop on a worker to make room for `size`; `None` if there is no way.
    fn choose_victims(
        &self,
        key: JobKey,
        worker: WorkerKey,
        view: &WorkerView,
        size: Resources,
        now_ms: u64,
    ) -> Option<Victims> {
        let priority = self.jobs.get(key)?.spec.priority;
        let mut offered: Vec<(bool, Priority, u64, TaskKey, Resources)> = Vec::new();
        for &held in &view.tasks {
            let task = self.tasks.get(held)?;
            let job = self.jobs.get(task.job)?;
            let may_stop = job.spec.is_stoppable
                && job.spec.priority < priority
                && !self.planned_victims.contains(&held);
            if !may_stop || !matches!(task.state, TaskState::Running | TaskState::Starting) {
                continue;
            }
            let age_ms = now_ms.saturating_sub(task.since_ms);
            let lost_ms = if age_ms >= MIN_CHECKPOINT_AGE_MS { 0 } else { age_ms };
            let loss_ms = RESTART_COST_MS + lost_ms;
            let last = !job.rules.is_preempted_first;
            offered.push((last, job.spec.priority, loss_ms, held, task.reserved));
        }
        offered.sort_unstable_by_key(|(last, priority, loss_ms, held, _)| {
            (*last, *priority, *loss_ms, *held)
        });
        // Free resources and those being released, minus those promised to nominated tasks.
        let mut room = view.free().plus(view.stopping).minus(view.nominated);
        let mut taken: Vec<(bool, u64, TaskKey, Resources)> = Vec::new();
        for (last, _, loss_ms, held, reserved) in offered {
            if size.fits(room) {
                break;
            }
            room = room.plus(reserved);
            taken.push((last, loss_ms, held, reserved));
        }
        if !size.fits(room) {
            return None;
        }
        // Spares victims that turned out not to be needed.
        let mut index = 0;
        while index < taken.len() {
            let without = room.minus(taken[index].3);
            if size.fits(without) {
                room = without;
                taken.remove(index);
            } else {
                index += 1;
            }
        }
        let loss_ms = taken.iter().map(|(_, loss_ms, _, _)| loss_ms).sum();
        let unoffered = taken.iter().filter(|(last, ..)| *last).count();
        let tasks = taken.into_iter().map(|(_, _, held, _)| held).collect();
        Some(Victims { worker, tasks, loss: (unoffered, loss_ms) })
    }

    /// Returns the worker that a task is nominated for, once the worker has room.
    pub(crate) fn nominated_worker(&self, task: TaskKey, size: Resources) -> Option<WorkerKey> {
        let nomination = self.nominations.get(&task)?;
        let view = self.workers.get(nomination.worker)?;
        (self.index.is_open(view.row) && size.fits(view.free())).then_some(nomination.worker)
    }

    /// Returns a nominated task of the job whose worker has room.
    pub(crate) fn ready_nomination(&self, key: JobKey, size: Resources) -> Option<TaskKey> {
        let nominated = &self.jobs.get(key)?.nominated;
        nominated.iter().copied().find(|task| self.nominated_worker(*task, size).is_some())
    }

    /// Removes the nomination of a task and releases the promised resources.
    pub(crate) fn drop_nomination(&mut self, task: TaskKey) {
        let Some(nomination) = self.nominations.remove(&task) else { return };
        if let Some(job) = self.tasks.get(task).and_then(|task| self.jobs.get_mut(task.job)) {
            job.nominated.retain(|held| *held != task);
        }
        if let Some(view) = self.workers.get_mut(nomination.worker) {
            view.nominated = view.nominated.minus(nomination.size);
        }
        self.refresh_room(nomination.worker);
        self.triggers.add_worker(nomination.worker);
        if let Some(job) = self.tasks.get(task).map(|task| task.job) {
            self.triggers.add_job(job);
        }
    }

    /// Removes all nominations for a worker that went silent.
    pub(crate) fn drop_nominations_on(&mut self, worker: WorkerKey) {
        self.drop_nominations(|nomination| nomination.worker == worker);
    }

    /// Removes nominations whose victims did not stop in time.
    pub(crate) fn expire_nominations(&mut self, now_ms: u64) {
        let limit_ms = self.config.nomination_timeout_ms;
        self.drop_nominations(|nomination| now_ms >= nomination.since_ms + limit_ms);
    }

    fn drop_nominations(&mut self, is_dropped: impl Fn(&Nomination) -> bool) {
        let dropped = self.nominations.iter().filter(|(_, nomination)| is_dropped(nomination));
        let mut dropped: Vec<TaskKey> = dropped.map(|(task, _)| *task).collect();
        if dropped.is_empty() {
            return;
        }
        dropped.sort_unstable();
        dropped.into_iter().for_each(|task| self.drop_nomination(task));
    }
}
