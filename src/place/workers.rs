//! Workers: reads, reports, silence, renewals and the certain end of leases.

use super::life::{TaskEvent, TaskState, WorkerEvent, WorkerState};
use super::message::{Action, Attempt, AttemptReport, AttemptState, End, StopMode, WorkerReport};
use super::placer::Placer;
use super::state::{Orphan, TaskKey, WorkerView};
use crate::inventory::WorkerKey;

impl Placer {
    /// Takes the zone under a new epoch, or notes that it is still held.
    pub(crate) fn hold(
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
        self.inherited_until_ms = None;
        let keys: Vec<WorkerKey> = self.inventory.workers().map(|(key, _)| key).collect();
        for key in keys {
            self.workers.remove(key);
            self.add_worker(key, now_ms);
        }
        self.call_workers(now_ms, out);
    }

    /// Drops everything that only the holder knows.
    pub(crate) fn release_zone(&mut self) {
        self.epoch = None;
        self.jobs.clear();
        self.job_ids.clear();
        self.tasks.clear();
        self.attempts.clear();
        self.orphans.clear();
        self.queue.clear();
        self.dirty_jobs.clear();
        for view in self.workers.values_mut() {
            *view = WorkerView::new(view.capacity, 0);
        }
    }

    pub(crate) fn add_worker(&mut self, key: WorkerKey, now_ms: u64) {
        let Some(worker) = self.inventory.worker(key) else { return };
        match self.workers.get_mut(key) {
            Some(view) => {
                view.capacity = worker.capacity;
                self.worker_event(key, WorkerEvent::Declare);
            }
            None => {
                self.workers.insert(key, WorkerView::new(worker.capacity, now_ms));
                if worker.is_removed {
                    self.worker_event(key, WorkerEvent::Remove);
                }
            }
        }
    }

    pub(crate) fn change_worker(&mut self, key: WorkerKey) {
        let Some(worker) = self.inventory.worker(key) else { return };
        if let Some(view) = self.workers.get_mut(key) {
            view.capacity = worker.capacity;
        }
    }

    pub(crate) fn worker_event(&mut self, key: WorkerKey, event: WorkerEvent) {
        let Some(view) = self.workers.get_mut(key) else { return };
        if let Some(after) = view.state.after(event) {
            view.state = after;
        }
    }

    pub(crate) fn silence(&mut self, key: WorkerKey, now_ms: u64) {
        self.worker_event(key, WorkerEvent::Silence);
        let Some(view) = self.workers.get_mut(key) else { return };
        view.needs_read = true;
        for task in view.tasks.clone() {
            self.task_event(task, TaskEvent::Lose, now_ms);
        }
    }

    pub(crate) fn lost_reply(&mut self, attempt: Attempt, now_ms: u64, out: &mut Vec<Action>) {
        let Some(&key) = self.attempts.get(&attempt) else { return };
        self.task_event(key, TaskEvent::Lose, now_ms);
        let worker = self.tasks[key].worker;
        let barrier = self.barrier();
        if let Some(view) = self.workers.get_mut(worker) {
            view.needs_read = true;
            view.next_call_ms = now_ms + self.config.renew_every_ms;
            out.push(Action::Read { worker, barrier });
        }
    }

    /// The latest attempt that was begun.
    pub(crate) fn barrier(&self) -> Attempt {
        Attempt { epoch: self.epoch.unwrap_or(0), counter: self.counter }
    }

    pub(crate) fn report(
        &mut self,
        worker: WorkerKey,
        report: &WorkerReport,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(view) = self.workers.get_mut(worker) else { return };
        view.heard_at_ms = now_ms;
        view.token_ms = report.token_ms;
        view.token_at_ms = now_ms;
        // A report without our barrier answers a call of an earlier epoch.
        let is_ours = Some(report.barrier.epoch) == self.epoch;
        if view.state == WorkerState::Unread && !is_ours && report.barrier.epoch != 0 {
            return;
        }
        let barrier_now = Attempt { epoch: self.epoch.unwrap_or(0), counter: self.counter };
        if report.barrier >= barrier_now || view.state != WorkerState::Ready {
            view.needs_read = false;
        }
        self.worker_event(worker, WorkerEvent::Read);
        for item in &report.attempts {
            self.reported(worker, item, now_ms, out);
        }
        self.settle_absent(worker, report, now_ms, out);
        self.settle_orphans(worker, report);
        self.update_locating(now_ms);
    }

    fn reported(
        &mut self,
        worker: WorkerKey,
        item: &AttemptReport,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        if !self.attempts.contains_key(&item.attempt) && !self.adopt(worker, item, now_ms, out) {
            self.report_unknown(worker, item, out);
            return;
        }
        let attempt = item.attempt;
        let Some(&key) = self.attempts.get(&attempt) else { return };
        match item.state {
            AttemptState::Running | AttemptState::Stopping => {
                if self.tasks[key].state == TaskState::Stopping {
                    out.push(Action::Stop { worker, attempt, mode: StopMode::Stop });
                } else {
                    self.attempt_event(attempt, TaskEvent::Confirm, now_ms, out);
                }
            }
            AttemptState::Stopped => {
                self.attempt_event(attempt, TaskEvent::Absent, now_ms, out);
                out.push(Action::Forget { worker, attempts: vec![attempt] });
            }
            AttemptState::Ended(end) => self.ended(attempt, end, now_ms, out),
        }
    }

    /// Takes over a running attempt of an earlier holder for its waiting task.
    fn adopt(
        &mut self,
        worker: WorkerKey,
        item: &AttemptReport,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(key) = self.adoptable(item) else { return false };
        if !self.task_event(key, TaskEvent::Adopt, now_ms) {
            return false;
        }
        self.drop_orphan(item.attempt);
        let task = &mut self.tasks[key];
        task.attempt = item.attempt;
        task.worker = worker;
        task.reserved = item.reserved;
        self.attempts.insert(item.attempt, key);
        if let Some(view) = self.workers.get_mut(worker) {
            view.reserved = view.reserved.plus(item.reserved);
            view.tasks.push(key);
        }
        self.settle(key, now_ms, out);
        true
    }

    fn adoptable(&self, item: &AttemptReport) -> Option<TaskKey> {
        if item.state == AttemptState::Stopped {
            return None;
        }
        let job = self.jobs.get(*self.job_ids.get(&item.task.job_id)?)?;
        let key = *job.tasks.get(item.task.index as usize)?;
        (self.tasks.get(key)?.state == TaskState::Waiting && job.is_restored).then_some(key)
    }

    fn report_unknown(&mut self, worker: WorkerKey, item: &AttemptReport, out: &mut Vec<Action>) {
        let attempt = item.attempt;
        match item.state {
            AttemptState::Stopped | AttemptState::Ended(End::Failed) => {
                out.push(Action::Forget { worker, attempts: vec![attempt] });
            }
            AttemptState::Ended(End::Finished) => {
                if self.is_restored && !self.is_unforgotten(item) {
                    out.push(Action::Forget { worker, attempts: vec![attempt] });
                }
            }
            AttemptState::Running | AttemptState::Stopping => {
                self.add_orphan(worker, item);
                if self.is_restored {
                    out.push(Action::Stop { worker, attempt, mode: StopMode::Stop });
                }
            }
        }
    }

    fn is_unforgotten(&self, item: &AttemptReport) -> bool {
        let job = self.job_ids.get(&item.task.job_id).and_then(|key| self.jobs.get(*key));
        job.is_some_and(|job| job.unforgotten.iter().any(|kept| kept.attempt == item.attempt))
    }

    fn add_orphan(&mut self, worker: WorkerKey, item: &AttemptReport) {
        if self.orphans.contains_key(&item.attempt) {
            return;
        }
        let orphan = Orphan { worker, task: item.task.clone(), reserved: item.reserved };
        self.orphans.insert(item.attempt, orphan);
        if let Some(view) = self.workers.get_mut(worker) {
            view.reserved = view.reserved.plus(item.reserved);
            view.orphans.push(item.attempt);
        }
    }

    fn drop_orphan(&mut self, attempt: Attempt) {
        let Some(orphan) = self.orphans.remove(&attempt) else { return };
        if let Some(view) = self.workers.get_mut(orphan.worker) {
            view.reserved = view.reserved.minus(orphan.reserved);
            view.orphans.retain(|held| *held != attempt);
        }
    }

    /// Tasks held here that the report does not list: gone for certain if the barrier covers them.
    fn settle_absent(
        &mut self,
        worker: WorkerKey,
        report: &WorkerReport,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(view) = self.workers.get(worker) else { return };
        for key in view.tasks.clone() {
            let Some(task) = self.tasks.get(key) else { continue };
            let attempt = task.attempt;
            if report.attempts.iter().any(|item| item.attempt == attempt) {
                continue;
            }
            if attempt <= report.barrier {
                self.attempt_event(attempt, TaskEvent::Absent, now_ms, out);
            } else if task.state != TaskState::Starting {
                self.workers[worker].needs_read = true;
            }
        }
    }

    fn settle_orphans(&mut self, worker: WorkerKey, report: &WorkerReport) {
        let Some(view) = self.workers.get(worker) else { return };
        for attempt in view.orphans.clone() {
            let runs = report.attempts.iter().any(|item| {
                let state = item.state;
                item.attempt == attempt
                    && matches!(state, AttemptState::Running | AttemptState::Stopping)
            });
            if !runs {
                self.drop_orphan(attempt);
            }
        }
    }

    pub(crate) fn restored_all(&mut self, out: &mut Vec<Action>) {
        self.is_restored = true;
        let mut attempts: Vec<Attempt> = self.orphans.keys().copied().collect();
        attempts.sort_unstable();
        for attempt in attempts {
            let orphan = &self.orphans[&attempt];
            let known = self.job_ids.contains_key(&orphan.task.job_id);
            if !known {
                let worker = orphan.worker;
                out.push(Action::Stop { worker, attempt, mode: StopMode::Stop });
            }
            // The attempt of a known job is taken over at the next report.
        }
    }

    /// Ends the search for tasks of restored jobs once they can run nowhere unseen.
    fn update_locating(&mut self, now_ms: u64) {
        if !self.is_locating {
            return;
        }
        let unread = self.workers.values().filter(|view| view.state == WorkerState::Unread).count();
        let total = self.workers.len();
        if self.inherited_until_ms.is_none() && (total - unread) * 2 > total {
            let lease = self.config.task_lease_ms + self.config.clock_margin_ms;
            self.inherited_until_ms = Some(now_ms + self.config.holding_window_ms + lease);
        }
        let lapsed = self.inherited_until_ms.is_some_and(|until| now_ms >= until);
        if self.is_restored && (unread == 0 || lapsed) {
            self.is_locating = false;
        }
    }

    pub(crate) fn tick(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        for key in keys {
            self.check_silence(key, now_ms, out);
        }
        self.update_locating(now_ms);
        self.call_workers(now_ms, out);
        self.flush_progress(out);
    }

    fn check_silence(&mut self, key: WorkerKey, now_ms: u64, out: &mut Vec<Action>) {
        let Some(view) = self.workers.get(key) else { return };
        let silent = now_ms.saturating_sub(view.heard_at_ms) > self.config.silent_after_ms;
        if silent && view.state.takes_tasks() {
            self.silence(key, now_ms);
        }
        let Some(view) = self.workers.get(key) else { return };
        let lapsed = view.horizon_ms.is_some_and(|horizon| now_ms >= horizon);
        if silent && lapsed && !view.tasks.is_empty() {
            for task in view.tasks.clone() {
                if self.task_event(task, TaskEvent::Lapse, now_ms) {
                    self.settle(task, now_ms, out);
                }
            }
        }
    }

    /// Reads workers that must be read and renews the leases on the others, each when it is due.
    fn call_workers(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let barrier = self.barrier();
        let may_renew = self.may_renew(now_ms);
        let lease_ms = self.config.task_lease_ms + self.config.clock_margin_ms;
        for (worker, view) in &mut self.workers {
            if now_ms < view.next_call_ms {
                continue;
            }
            view.next_call_ms = now_ms + self.config.renew_every_ms;
            if view.needs_read || !view.state.takes_tasks() {
                out.push(Action::Read { worker, barrier });
            } else if may_renew {
                view.horizon_ms = view.horizon_ms.max(Some(view.token_at_ms + lease_ms));
                out.push(Action::Renew { worker, token_ms: view.token_ms });
            }
        }
    }

    /// Whether no other holder can have taken the zone unnoticed: the store
    /// confirms it, or more than half of the workers answered lately.
    fn may_renew(&self, now_ms: u64) -> bool {
        if now_ms < self.confirmed_until_ms {
            return true;
        }
        let since_ms = now_ms.saturating_sub(self.config.holding_window_ms);
        let views = self.workers.values();
        let heard = views.filter(|view| view.state.takes_tasks() && view.heard_at_ms >= since_ms);
        heard.count() * 2 > self.workers.len()
    }
}
