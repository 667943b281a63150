//! Places waiting tasks on workers.

use super::jobs::has_labels;
use super::life::{TaskEvent, TaskState};
use super::message::{Action, Attempt, TaskId};
use super::placer::Placer;
use super::spec::JobSpec;
use super::state::{JobKey, TaskKey};
use crate::inventory::WorkerKey;
use std::sync::Arc;

impl Placer {
    /// Places as many waiting tasks as there is room for.
    pub(crate) fn assign(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let jobs: Vec<JobKey> = self.queue.values().copied().collect();
        for key in jobs {
            self.assign_job(key, now_ms, out);
        }
    }

    fn assign_job(&mut self, key: JobKey, now_ms: u64, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(key) else { return };
        if job.is_restored && self.is_locating {
            return;
        }
        let spec = Arc::clone(&job.spec);
        while let Some(task) = self.next_waiting(key) {
            let Some(worker) = self.first_fit(&spec) else { return };
            self.start(task, worker, &spec, now_ms, out);
        }
        self.queue.remove(&self.queue_place(key));
    }

    fn next_waiting(&mut self, key: JobKey) -> Option<TaskKey> {
        let job = self.jobs.get_mut(key)?;
        while let Some(&task) = job.waiting.front() {
            if self.tasks.get(task).is_some_and(|task| task.state == TaskState::Waiting) {
                return Some(task);
            }
            job.waiting.pop_front();
        }
        None
    }

    fn first_fit(&self, spec: &JobSpec) -> Option<WorkerKey> {
        let fits = |(key, view): &(WorkerKey, &super::state::WorkerView)| {
            view.state.takes_tasks()
                && !view.needs_read
                && spec.resources().fits(view.free())
                && self
                    .inventory
                    .worker(*key)
                    .is_some_and(|worker| !worker.is_draining && has_labels(worker, spec))
        };
        self.workers.iter().find(fits).map(|(key, _)| key)
    }

    /// Reserves the resources of a task on a worker and sends the start.
    pub(crate) fn start(
        &mut self,
        key: TaskKey,
        worker: WorkerKey,
        spec: &Arc<JobSpec>,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        if !self.task_event(key, TaskEvent::Reserve, now_ms) {
            return;
        }
        self.counter += 1;
        let attempt = Attempt { epoch: self.epoch.unwrap_or(0), counter: self.counter };
        let reserved = spec.resources();
        let lease_ms = self.config.task_lease_ms + self.config.clock_margin_ms;
        let task = &mut self.tasks[key];
        task.attempt = attempt;
        task.worker = worker;
        task.reserved = reserved;
        let id = TaskId { job_id: Arc::clone(&self.jobs[task.job].id), index: task.index };
        self.attempts.insert(attempt, key);
        let view = &mut self.workers[worker];
        view.reserved = view.reserved.plus(reserved);
        view.tasks.push(key);
        view.horizon_ms = view.horizon_ms.max(Some(view.token_at_ms + lease_ms));
        let (spec, token_ms) = (Arc::clone(spec), view.token_ms);
        out.push(Action::Start { worker, attempt, task: id, spec, reserved, token_ms });
    }
}
