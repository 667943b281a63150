//! Zone takeover and worker liveness: reads, renewals, silent workers and the end of leases.

use super::lifecycle::{TaskEvent, WorkerEvent, WorkerState};
use super::message::{Action, Attempt, StopMode};
use super::placer::Placer;
use super::queue::TeamKey;
use super::spec::Resources;
use super::state::{JobKey, WorkerView};
use crate::collections::HashSet;
use crate::inventory::WorkerKey;

impl Placer {
    /// Starts holding the zone under a new epoch, or records a renewal of the zone lease.
    pub(crate) fn hold_zone(
        &mut self,
        epoch: u64,
        confirmed_until_ms: u64,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        self.confirmed_until_ms = confirmed_until_ms;
        if self.epoch == Some(epoch) {
            return;
        }
        self.release_zone();
        self.epoch = Some(epoch);
        self.counter = 0;
        self.is_locating = true;
        self.is_restored = false;
        self.inherited_leases_end_ms = None;
        let keys: Vec<WorkerKey> = self.inventory.workers().map(|(key, _)| key).collect();
        for key in keys {
            if let Some(view) = self.workers.remove(key) {
                self.index.remove(view.row);
            }
            self.add_worker(key, now_ms);
        }
        self.refresh_unread_capacity();
        self.call_workers(now_ms, out);
    }

    /// Clears all state of the zone that only its holder may use.
    pub(crate) fn release_zone(&mut self) {
        self.epoch = None;
        self.jobs.clear();
        self.job_ids.clear();
        self.tasks.clear();
        self.attempts.clear();
        self.orphans.clear();
        self.queue.clear();
        self.dirty_jobs.clear();
        self.rolling_updates.clear();
        self.unlocated_teams.clear();
        self.nominations.clear();
        self.delayed.clear();
        self.claim = None;
        self.triggers = super::triggers::PlacementTriggers::default();
        self.scan = None;
        self.quota_bound.clear();
        let side_count = self.rules.anti_affinity_side_count();
        for view in self.workers.values_mut() {
            *view = WorkerView::new(view.row, view.capacity, side_count, 0);
        }
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        keys.into_iter().for_each(|key| self.refresh_room(key));
    }

    /// Adds a declared worker, or restores one that was removed and is declared again.
    pub(crate) fn add_worker(&mut self, key: WorkerKey, now_ms: u64) {
        let Some(worker) = self.inventory.worker(key) else { return };
        match self.workers.get_mut(key) {
            Some(view) => {
                view.capacity = worker.capacity;
                self.worker_event(key, WorkerEvent::Declare);
            }
            None => {
                let (capacity, is_removed) = (worker.capacity, worker.is_removed);
                let row = self.index.add(key);
                let side_count = self.rules.anti_affinity_side_count();
                self.workers.insert(key, WorkerView::new(row, capacity, side_count, now_ms));
                if is_removed {
                    self.worker_event(key, WorkerEvent::Remove);
                }
            }
        }
        self.refresh_room(key);
    }

    /// Updates the room index with the resources of a worker and whether it takes tasks.
    pub(crate) fn refresh_room(&mut self, key: WorkerKey) {
        let (Some(view), Some(worker)) = (self.workers.get(key), self.inventory.worker(key)) else {
            return;
        };
        let probes = view.state == WorkerState::Probation;
        let is_open = view.state.takes_tasks()
            && view.required_barrier.is_none()
            && !worker.is_draining
            && !(probes && (view.not_before_ms > 0 || !view.tasks.is_empty()));
        let was_open = self.index.is_open(view.row);
        if is_open && !was_open {
            self.open_capacity = self.open_capacity.plus(view.capacity);
            self.triggers.add_worker(key);
        } else if was_open && !is_open {
            self.open_capacity = self.open_capacity.minus(self.index.entry(view.row).capacity);
        } else if is_open {
            let known = self.index.entry(view.row).capacity;
            self.open_capacity = self.open_capacity.minus(known).plus(view.capacity);
        }
        self.index.set(view.row, view.capacity, is_open.then(|| view.room()));
    }

    pub(crate) fn change_worker(&mut self, key: WorkerKey) {
        let Some(worker) = self.inventory.worker(key) else { return };
        if let Some(view) = self.workers.get_mut(key) {
            view.capacity = worker.capacity;
        }
        self.refresh_room(key);
    }

    pub(crate) fn worker_event(&mut self, key: WorkerKey, event: WorkerEvent) {
        let Some(view) = self.workers.get_mut(key) else { return };
        if let Some(after) = view.state.after(event) {
            view.state = after;
            self.refresh_room(key);
        }
    }

    /// Handles a worker that does not answer: its tasks stay reserved, but it is unknown whether
    /// they run until the worker is read.
    pub(crate) fn worker_silent(&mut self, key: WorkerKey, now_ms: u64) {
        self.worker_event(key, WorkerEvent::Silence);
        let barrier = self.barrier();
        let Some(view) = self.workers.get_mut(key) else { return };
        view.required_barrier = Some(barrier);
        view.oldest_call_ms = None;
        for task in view.tasks.clone() {
            self.task_event(task, TaskEvent::Lose, now_ms);
        }
        self.drop_nominations_on(key);
        self.refresh_room(key);
    }

    /// Handles a start without a response: reads the worker to learn whether the task runs.
    pub(crate) fn lost_reply(&mut self, attempt: Attempt, now_ms: u64, out: &mut Vec<Action>) {
        let Some(&key) = self.attempts.get(&attempt) else { return };
        self.task_event(key, TaskEvent::Lose, now_ms);
        self.require_read(self.tasks[key].worker, now_ms, out);
    }

    /// Reads a worker, which gets no tasks until a report covers the current barrier.
    pub(crate) fn require_read(&mut self, worker: WorkerKey, now_ms: u64, out: &mut Vec<Action>) {
        let barrier = self.barrier();
        let Some(view) = self.workers.get_mut(worker) else { return };
        view.required_barrier = Some(barrier);
        view.next_call_ms = now_ms + self.config.renew_every_ms;
        view.oldest_call_ms = view.oldest_call_ms.or(Some(now_ms));
        out.push(Action::Read { worker, barrier });
        self.refresh_room(worker);
    }

    /// Returns the last attempt that was issued.
    pub(crate) fn barrier(&self) -> Attempt {
        Attempt { epoch: self.epoch.unwrap_or(0), counter: self.counter }
    }

    /// Handles the end of the restore: orphans of known jobs are charged, all others are stopped.
    pub(crate) fn restore_finished(&mut self, out: &mut Vec<Action>) {
        self.is_restored = true;
        let mut attempts: Vec<Attempt> = self.orphans.keys().copied().collect();
        attempts.sort_unstable();
        for attempt in attempts {
            self.charge_orphan(attempt);
            let orphan = &self.orphans[&attempt];
            let known = self.job_ids.contains_key(&orphan.task.job_id);
            if !known {
                let worker = orphan.worker;
                out.push(Action::Stop { worker, attempt, mode: StopMode::Stop });
            }
            // The attempt of a known job is adopted at the next report.
        }
    }

    /// Ends the search for tasks of restored jobs once none can run on a worker that was not read:
    /// all workers were read, or the leases granted by earlier holders have lapsed.
    pub(crate) fn update_locating(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        if !self.is_locating {
            return;
        }
        self.refresh_unread_capacity();
        let unread = self.workers.values().filter(|view| !view.was_read).count();
        let total = self.workers.len();
        if self.inherited_leases_end_ms.is_none() && (total - unread) * 2 > total {
            let lease = self.config.task_lease_ms + self.config.clock_margin_ms;
            self.inherited_leases_end_ms = Some(now_ms + self.config.holding_window_ms + lease);
        }
        let lapsed = self.inherited_leases_end_ms.is_some_and(|until| now_ms >= until);
        if self.is_restored && (unread == 0 || lapsed) {
            self.is_locating = false;
            self.unlocated_teams.clear();
            self.triggers.add_all();
            self.follow_up_restored(now_ms, out);
        }
    }

    /// Recomputes the capacity of the workers that were not read yet. If it fell, teams whose
    /// restored tasks may run there can use more.
    pub(crate) fn refresh_unread_capacity(&mut self) {
        let unread = self.workers.values().filter(|view| !view.was_read);
        let capacity = unread.fold(Resources::default(), |sum, view| sum.plus(view.capacity));
        if capacity == self.unread_capacity {
            return;
        }
        self.unread_capacity = capacity;
        if self.is_locating && self.shares.is_some() {
            self.triggers.add_all();
        }
    }

    /// Drops the teams of which no restored task is missing any more.
    fn update_unlocated_teams(&mut self) {
        if self.shares.is_none() || self.unlocated_teams.is_empty() {
            return;
        }
        let missing = self.jobs.values().filter(|job| job.is_restored && job.waiting_count > 0);
        let teams: HashSet<TeamKey> = missing.map(|job| job.team).collect();
        let count = self.unlocated_teams.len();
        self.unlocated_teams.retain(|team| teams.contains(team));
        if self.unlocated_teams.len() < count {
            self.triggers.add_all();
        }
    }

    /// Follows up on restored jobs once the search ends: ends the tasks of cancelled jobs that
    /// were found on no worker, and updates the state of the jobs.
    fn follow_up_restored(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let restored = self.jobs.iter().filter(|(_, job)| job.is_restored);
        let restored: Vec<JobKey> = restored.map(|(key, _)| key).collect();
        for key in restored {
            if self.jobs[key].is_cancelled || self.jobs[key].is_given_up {
                for task in self.jobs[key].tasks.clone() {
                    self.task_event(task, TaskEvent::Cancel, now_ms);
                }
                self.dequeue(key);
            }
            self.refresh_job(key, now_ms, out);
        }
    }

    /// Handles the periodic timer.
    pub(crate) fn tick(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        for key in keys {
            self.check_silence(key, now_ms, out);
        }
        if self.is_locating && self.is_restored {
            self.update_unlocated_teams();
        }
        self.update_locating(now_ms, out);
        self.resume_delayed(now_ms);
        self.expire_nominations(now_ms);
        self.run_maintenance(now_ms, out);
        self.call_workers(now_ms, out);
        self.flush_progress(out);
    }

    /// Marks a worker without recent reports as silent, and releases its tasks once their leases
    /// have lapsed for certain.
    fn check_silence(&mut self, key: WorkerKey, now_ms: u64, out: &mut Vec<Action>) {
        let Some(view) = self.workers.get(key) else { return };
        let silent = now_ms.saturating_sub(view.last_report_ms) > self.config.silent_after_ms;
        if silent && view.state.takes_tasks() {
            self.worker_silent(key, now_ms);
        }
        let Some(view) = self.workers.get(key) else { return };
        let lapsed = view.leases_end_ms.is_some_and(|end_ms| now_ms >= end_ms);
        if silent && lapsed && !view.tasks.is_empty() {
            for task in view.tasks.clone() {
                if self.task_event(task, TaskEvent::Lapse, now_ms) {
                    self.follow_up(task, now_ms, out);
                }
            }
        }
    }

    /// Sends due calls: a read to each worker that must be read, a lease renewal to each other one.
    fn call_workers(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let barrier = self.barrier();
        let may_renew = self.is_holding_confirmed(now_ms);
        let lease_ms = self.config.task_lease_ms + self.config.clock_margin_ms;
        for (worker, view) in &mut self.workers {
            if now_ms < view.next_call_ms {
                continue;
            }
            view.next_call_ms = now_ms + self.config.renew_every_ms;
            if view.required_barrier.is_some() || !view.state.takes_tasks() {
                view.oldest_call_ms = view.oldest_call_ms.or(Some(now_ms));
                out.push(Action::Read { worker, barrier });
            } else if may_renew {
                view.oldest_call_ms = view.oldest_call_ms.or(Some(now_ms));
                view.leases_end_ms = view.leases_end_ms.max(Some(view.token_at_ms + lease_ms));
                out.push(Action::Renew { worker, token_ms: view.token_ms });
            }
        }
    }

    /// Returns whether no other holder can have read a majority of the workers: the store confirms
    /// the zone lease, or a majority of the workers answered under this epoch within
    /// `holding_window_ms`.
    ///
    /// Starts and renewals are sent only if this holds. A successor that has read a majority of the
    /// workers therefore knows when the leases granted by its predecessor have lapsed, also on
    /// workers that it cannot reach.
    pub(crate) fn is_holding_confirmed(&self, now_ms: u64) -> bool {
        if now_ms < self.confirmed_until_ms {
            return true;
        }
        let since_ms = now_ms.saturating_sub(self.config.holding_window_ms);
        let views = self.workers.values();
        let confirmed = views.filter(|view| view.was_read && view.epoch_accepted_ms >= since_ms);
        confirmed.count() * 2 > self.workers.len()
    }
}
