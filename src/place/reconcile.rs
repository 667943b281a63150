//! Reconciles worker reports with the recorded tasks: attempts are adopted, confirmed or stopped.

use super::lifecycle::{TaskEvent, TaskState, WorkerEvent};
use super::message::{
    Action, Attempt, AttemptReport, AttemptState, End, StopMode, TaskId, WorkerReport,
};
use super::placer::Placer;
use super::spec::JobKind;
use super::state::{Orphan, TaskKey};
use crate::inventory::WorkerKey;

impl Placer {
    /// Processes a worker's report.
    pub(crate) fn worker_reported(
        &mut self,
        worker: WorkerKey,
        report: &WorkerReport,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(view) = self.workers.get_mut(worker) else { return };
        // A report whose barrier has another epoch answers a call of an earlier holder.
        let is_ours = Some(report.barrier.epoch) == self.epoch;
        if !view.was_read && !is_ours {
            return;
        }
        view.was_read = true;
        view.last_report_ms = now_ms;
        if let Some(oldest_call_ms) = view.oldest_call_ms.take() {
            view.epoch_accepted_ms = oldest_call_ms;
        }
        view.token_ms = report.token_ms;
        view.token_at_ms = now_ms;
        if view.required_barrier.is_some_and(|barrier| report.barrier < barrier) {
            self.reconcile(worker, report, now_ms, out);
            return;
        }
        view.required_barrier = None;
        self.worker_event(worker, WorkerEvent::Read);
        self.reconcile(worker, report, now_ms, out);
        self.update_locating(now_ms, out);
    }

    /// Applies the content of a report to tasks, orphans and usage.
    fn reconcile(
        &mut self,
        worker: WorkerKey,
        report: &WorkerReport,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        for item in &report.attempts {
            self.reconcile_attempt(worker, item, now_ms, out);
        }
        self.reconcile_absent(worker, report, now_ms, out);
        self.reconcile_orphans(worker, report, now_ms, out);
        self.process_usage(worker, report, now_ms, out);
        self.refresh_room(worker);
    }

    /// Applies the reported state of one attempt.
    fn reconcile_attempt(
        &mut self,
        worker: WorkerKey,
        item: &AttemptReport,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        if !self.attempts.contains_key(&item.attempt) && !self.adopt(worker, item, now_ms, out) {
            self.reconcile_unknown(worker, item, now_ms, out);
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
            AttemptState::Ended(end) => self.attempt_ended(attempt, end, now_ms, out),
        }
    }

    /// Adopts an attempt started by an earlier holder for the waiting task that it belongs to.
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
        self.record_reservation(key, worker, item.attempt, item.reserved);
        if let Some(task) = self.tasks.get_mut(key) {
            task.since_ms = now_ms.saturating_sub(item.age_ms);
        }
        let job = self.tasks[key].job;
        if self.jobs.get(job).is_some_and(|job| job.is_cancelled || job.is_given_up) {
            self.stop_task(key, StopMode::Stop, now_ms, out);
        }
        self.follow_up(key, now_ms, out);
        true
    }

    /// The waiting task of a restored job that a reported attempt belongs to.
    fn adoptable(&self, item: &AttemptReport) -> Option<TaskKey> {
        if item.state == AttemptState::Stopped {
            return None;
        }
        let key = self.known_task(&item.task)?;
        let task = self.tasks.get(key)?;
        let is_restored = self.jobs.get(task.job)?.is_restored;
        (task.state == TaskState::Waiting && is_restored).then_some(key)
    }

    /// The task with this id, if its job is known.
    fn known_task(&self, task: &TaskId) -> Option<TaskKey> {
        let job = self.jobs.get(*self.job_ids.get(&task.job_id)?)?;
        let has_index = |key: &TaskKey| self.tasks.get(*key).is_some_and(|t| t.index == task.index);
        let near = job.tasks.get(task.index as usize).copied().filter(has_index);
        near.or_else(|| job.tasks.iter().copied().find(has_index))
    }

    /// Handles a reported attempt that is not the current one of its task: a failed one is
    /// forgotten, a running one becomes an orphan and is stopped.
    fn reconcile_unknown(
        &mut self,
        worker: WorkerKey,
        item: &AttemptReport,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let attempt = item.attempt;
        match item.state {
            AttemptState::Stopped | AttemptState::Ended(End::Failed) => {
                out.push(Action::Forget { worker, attempts: vec![attempt] });
            }
            AttemptState::Ended(End::Finished) => {
                if self.is_restored && !self.is_retained(item) {
                    self.reconcile_finished(worker, item, now_ms, out);
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

    /// Handles a finished attempt that is not the current one of its task: the task is finished, and
    /// an attempt that replaced it is stopped. The worker keeps the attempt until the progress is
    /// stored.
    fn reconcile_finished(
        &mut self,
        worker: WorkerKey,
        item: &AttemptReport,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let attempt = item.attempt;
        let Some(key) = self.known_task(&item.task).filter(|key| !self.is_replica(*key)) else {
            out.push(Action::Forget { worker, attempts: vec![attempt] });
            return;
        };
        let task = &mut self.tasks[key];
        match task.state {
            TaskState::Finished => {
                let job = task.job;
                self.retain_attempt(job, worker, attempt);
            }
            // The attempt is forgotten once the end of the job is stored.
            TaskState::Failed | TaskState::Cancelled => {}
            _ => {
                task.finished_attempt.get_or_insert((worker, attempt));
                self.stop_task(key, StopMode::Stop, now_ms, out);
                self.follow_up(key, now_ms, out);
            }
        }
    }

    /// Whether a task is a replica of a service, which is started again whenever it ends.
    fn is_replica(&self, key: TaskKey) -> bool {
        let job = self.tasks.get(key).and_then(|task| self.jobs.get(task.job));
        job.is_some_and(|job| job.spec.kind == JobKind::Service)
    }

    fn is_retained(&self, item: &AttemptReport) -> bool {
        let job = self.job_ids.get(&item.task.job_id).and_then(|key| self.jobs.get(*key));
        job.is_some_and(|job| job.retained_attempts.iter().any(|kept| kept.attempt == item.attempt))
    }

    fn add_orphan(&mut self, worker: WorkerKey, item: &AttemptReport) {
        if self.orphans.contains_key(&item.attempt) {
            return;
        }
        let (task, reserved) = (item.task.clone(), item.reserved);
        self.orphans.insert(item.attempt, Orphan { worker, task, reserved, team: None });
        self.charge_orphan(item.attempt);
        if let Some(view) = self.workers.get_mut(worker) {
            view.reserved = view.reserved.plus(item.reserved);
            view.orphans.push(item.attempt);
        }
        self.refresh_room(worker);
    }

    /// Charges an orphan to its team, if the job is known and it was not charged yet.
    pub(crate) fn charge_orphan(&mut self, attempt: Attempt) {
        let Some(orphan) = self.orphans.get_mut(&attempt) else { return };
        let job = self.job_ids.get(&orphan.task.job_id).and_then(|key| self.jobs.get(*key));
        if let (None, Some(job)) = (orphan.team, job) {
            orphan.team = Some(job.team);
            self.queue.charge(job.team, orphan.reserved);
        }
    }

    fn drop_orphan(&mut self, attempt: Attempt) {
        let Some(orphan) = self.orphans.remove(&attempt) else { return };
        if let Some(team) = orphan.team {
            self.queue.refund(team, orphan.reserved);
        }
        if let Some(view) = self.workers.get_mut(orphan.worker) {
            view.reserved = view.reserved.minus(orphan.reserved);
            view.orphans.retain(|held| *held != attempt);
        }
        self.refresh_room(orphan.worker);
        self.triggers.add_worker(orphan.worker);
    }

    /// Handles placed tasks that the report does not list. One covered by the report's barrier
    /// certainly does not run; for any other that should run, the worker is read again.
    fn reconcile_absent(
        &mut self,
        worker: WorkerKey,
        report: &WorkerReport,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let barrier = self.barrier();
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
                self.workers[worker].required_barrier = Some(barrier);
            }
        }
    }

    /// Removes orphans that the report no longer lists as running.
    fn reconcile_orphans(
        &mut self,
        worker: WorkerKey,
        report: &WorkerReport,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(view) = self.workers.get(worker) else { return };
        for attempt in view.orphans.clone() {
            let runs = report.attempts.iter().any(|item| {
                let state = item.state;
                item.attempt == attempt
                    && matches!(state, AttemptState::Running | AttemptState::Stopping)
            });
            if runs {
                continue;
            }
            let job_id = self.orphans.get(&attempt).map(|orphan| orphan.task.job_id.clone());
            self.drop_orphan(attempt);
            if let Some(&key) = job_id.and_then(|id| self.job_ids.get(&id)) {
                self.refresh_job(key, now_ms, out);
            }
        }
    }
}
