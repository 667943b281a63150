//! Failure handling: attributes failures to jobs or to workers.
//!
//! A job that fails on several workers, where other jobs succeed, is given up. A worker on which
//! several jobs fail is put on probation, and the failures there no longer count against the
//! jobs.

use super::lifecycle::{TaskEvent, WorkerEvent, WorkerState};
use super::message::{Action, JobProgress, StopMode};
use super::placer::Placer;
use super::spec::JobKind;
use super::state::{Job, JobKey, TaskKey};
use crate::inventory::WorkerKey;

impl Placer {
    /// Records that a task of the job succeeded on a worker after `ran_ms` milliseconds.
    pub(crate) fn task_succeeded(&mut self, key: JobKey, worker: WorkerKey, ran_ms: u64) {
        self.learn_run(key, ran_ms);
        self.clear_failures(key, worker);
    }

    /// Resets the failures of a job and of a worker, and ends the worker's probation.
    pub(crate) fn clear_failures(&mut self, key: JobKey, worker: WorkerKey) {
        if let Some(job) = self.jobs.get_mut(key) {
            if !job.failed_workers.is_empty() {
                job.failed_workers.clear();
                self.mark_failures_changed(key);
            }
        }
        if let Some(view) = self.workers.get_mut(worker) {
            view.failed_jobs.clear();
            view.probation_failures = 0;
            view.not_before_ms = 0;
        }
        self.worker_event(worker, WorkerEvent::Clear);
    }

    /// Records that a task failed on a worker. Gives the job up if it failed too often, otherwise
    /// delays the job or, if several jobs failed there, puts the worker on probation.
    pub(crate) fn task_failed(
        &mut self,
        task: TaskKey,
        worker: WorkerKey,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(known) = self.tasks.get(task) else { return };
        // The failure of a replacement says nothing about a task that can finish.
        if known.finished_attempt.is_some() {
            return;
        }
        let key = known.job;
        let is_suspect = self.count_worker_failure(key, worker, now_ms);
        if !is_suspect {
            self.count_job_failure(key, task, worker);
        }
        let Some(job) = self.jobs.get(key) else { return };
        let failures = self.tasks.get(task).map_or(0, |task| task.failures);
        let is_service = job.spec.kind == JobKind::Service;
        let is_poison = job.failed_workers.len() >= self.config.poison_after_workers
            || failures >= self.config.poison_after_failures;
        if is_poison && !is_service {
            self.give_up(key, now_ms, out);
            return;
        }
        let wait_ms = self.backoff(u32::from(failures.saturating_sub(1)));
        if !is_suspect {
            self.delay(key, now_ms + wait_ms);
        }
    }

    /// Counts a failed job against the worker; returns whether enough jobs failed to blame the
    /// worker rather than the job.
    fn count_worker_failure(&mut self, key: JobKey, worker: WorkerKey, now_ms: u64) -> bool {
        let limit = self.config.suspect_after_jobs;
        let Some(view) = self.workers.get_mut(worker) else { return false };
        if !view.failed_jobs.contains(&key) && view.failed_jobs.len() < limit {
            view.failed_jobs.push(key);
        }
        if view.failed_jobs.len() < limit {
            return false;
        }
        let is_new = view.state == WorkerState::Ready;
        let failures = view.probation_failures;
        view.probation_failures = failures.saturating_add(1);
        let blamed_jobs = std::mem::take(&mut view.failed_jobs);
        let wait_ms = self.backoff(failures.saturating_add(2));
        if let Some(view) = self.workers.get_mut(worker) {
            view.not_before_ms = now_ms + wait_ms;
            view.failed_jobs.clone_from(&blamed_jobs);
        }
        if is_new {
            self.worker_event(worker, WorkerEvent::Suspect);
            for key in blamed_jobs {
                let Some(job) = self.jobs.get_mut(key) else { continue };
                if job.failed_workers.contains(&worker) {
                    job.failed_workers.retain(|held| *held != worker);
                    self.mark_failures_changed(key);
                }
            }
        }
        self.refresh_room(worker);
        true
    }

    /// Counts a failure against the task and its job, which avoids the worker from now on.
    fn count_job_failure(&mut self, key: JobKey, task: TaskKey, worker: WorkerKey) {
        if let Some(task) = self.tasks.get_mut(task) {
            task.failures = task.failures.saturating_add(1);
        }
        if let Some(job) = self.jobs.get_mut(key) {
            if !job.failed_workers.contains(&worker) {
                job.failed_workers.push(worker);
            }
            // A service is never given up; dropping the oldest entry lets it retry that worker.
            if job.failed_workers.len() > self.config.poison_after_workers {
                job.failed_workers.remove(0);
            }
        }
        self.mark_failures_changed(key);
    }

    /// Marks the progress of a job as changed after its failures changed. Those of a service are not
    /// stored, because it is never given up.
    pub(crate) fn mark_failures_changed(&mut self, key: JobKey) {
        if self.jobs.get(key).is_some_and(|job| job.spec.kind != JobKind::Service) {
            self.mark_progress_changed(key);
        }
    }

    /// Failures of a job for its stored progress: the number of each unfinished task, and the names
    /// of the workers.
    pub(crate) fn stored_failures(&self, job: &Job) -> (Vec<(u32, u8)>, Vec<String>) {
        if job.spec.kind == JobKind::Service {
            return (Vec::new(), Vec::new());
        }
        let tasks = job.tasks.iter().filter_map(|key| self.tasks.get(*key));
        let failed = tasks.filter(|task| task.failures > 0 && !task.state.is_final());
        let workers = job.failed_workers.iter().filter_map(|key| self.inventory.worker(*key));
        (
            failed.map(|task| (task.index, task.failures)).collect(),
            workers.map(|worker| worker.name.clone()).collect(),
        )
    }

    /// Takes the failures of a restored job from its stored progress.
    pub(crate) fn restore_failures(&mut self, key: JobKey, progress: &JobProgress) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        let workers = progress.failed_workers.iter().filter_map(|name| self.inventory.key(name));
        job.failed_workers = workers.collect();
        for (index, failures) in &progress.failures {
            let task = job.tasks.get(*index as usize).and_then(|key| self.tasks.get_mut(*key));
            if let Some(task) = task {
                task.failures = *failures;
            }
        }
    }

    /// Gives up a job that failed too often: stops its running tasks and ends the others.
    fn give_up(&mut self, key: JobKey, now_ms: u64, out: &mut Vec<Action>) {
        self.dequeue(key);
        self.drop_claim(key);
        if let Some(job) = self.jobs.get_mut(key) {
            job.is_given_up = true;
        }
        for task in self.jobs.get(key).map(|job| job.tasks.clone()).unwrap_or_default() {
            if self.tasks.get(task).is_some_and(|task| task.state.is_placed()) {
                self.stop_task(task, StopMode::Stop, now_ms, out);
            } else if !self.may_run_on_unread_worker(key) {
                self.task_event(task, TaskEvent::GiveUp, now_ms);
            }
        }
        self.refresh_job(key, now_ms, out);
    }

    /// Exponential backoff after this many failures, in milliseconds.
    fn backoff(&self, failures: u32) -> u64 {
        let factor = 1_u64 << failures.min(16);
        self.config.backoff_ms.saturating_mul(factor).min(self.config.max_backoff_ms)
    }

    /// Postpones the placement of a job.
    fn delay(&mut self, key: JobKey, until_ms: u64) {
        if let Some(job) = self.jobs.get_mut(key) {
            job.not_before_ms = job.not_before_ms.max(until_ms);
            self.delayed.insert((job.not_before_ms, key));
        }
    }

    /// Makes jobs and workers available again whose delay or backoff is over.
    pub(crate) fn resume_delayed(&mut self, now_ms: u64) {
        while let Some(&(at_ms, key)) = self.delayed.first() {
            if at_ms > now_ms {
                break;
            }
            self.delayed.pop_first();
            if self.jobs.contains_key(key) {
                self.triggers.add_job(key);
            }
        }
        let due = |view: &super::state::WorkerView| {
            view.not_before_ms > 0 && now_ms >= view.not_before_ms
        };
        let workers = self.workers.iter().filter(|(_, view)| due(view));
        let workers: Vec<WorkerKey> = workers.map(|(key, _)| key).collect();
        for key in workers {
            self.workers[key].not_before_ms = 0;
            self.refresh_room(key);
        }
    }
}
