//! Job lifecycle: submission, restore, cancellation, ended attempts, progress and state changes.

use std::collections::VecDeque;
use std::sync::Arc;

use super::lifecycle::{TaskEvent, TaskState};
use super::message::{
    Action, Attempt, End, JobId, JobProgress, JobState, Refusal, Rejection, StopMode,
};
use super::placer::Placer;
use super::spec::{JobKind, JobSpec, Resources};
use super::state::{Job, JobKey, RetainedAttempt, Task, TaskKey};
use crate::inventory::{Worker, WorkerKey};

impl Placer {
    /// Adds a new job, or rejects it if it can never run; ignores a known job id.
    pub(crate) fn submit(
        &mut self,
        job_id: JobId,
        spec: Arc<JobSpec>,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        if self.job_ids.contains_key(&job_id) {
            return;
        }
        let rejection = self.rejection(&spec);
        let key = self.add_job(job_id, spec, false);
        match rejection {
            Some(rejection) => self.end_job(key, JobState::Rejected(rejection), out),
            None => self.add_tasks(key, &JobProgress::default(), now_ms),
        }
    }

    /// Adds a job that was read from the store after a takeover; ignores a known job id.
    pub(crate) fn restore(
        &mut self,
        job_id: JobId,
        spec: Arc<JobSpec>,
        progress: &JobProgress,
        now_ms: u64,
    ) {
        if self.job_ids.contains_key(&job_id) {
            return;
        }
        let key = self.add_job(job_id, spec, true);
        self.add_tasks(key, progress, now_ms);
        let Some(job) = self.jobs.get_mut(key) else { return };
        if job.waiting_count > 0 {
            self.unlocated_teams.insert(job.team);
        }
        self.restore_failures(key, progress);
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.version = progress.version;
        job.is_cancelled = progress.is_cancelled;
        if let Some(ended) = &progress.ended {
            job.state = ended.clone();
        }
        if progress.is_cancelled {
            self.dequeue(key);
        }
    }

    /// Returns why the job can never run in this zone, even with all workers empty.
    pub(crate) fn rejection(&self, spec: &JobSpec) -> Option<Rejection> {
        if let Some(error) = spec.validation_error() {
            return Some(Rejection::InvalidSpec(error.to_owned()));
        }
        let teams = &self.declarations.teams;
        if !teams.is_empty() && !teams.iter().any(|team| team.name == spec.team) {
            return Some(Rejection::UnknownTeam);
        }
        if self.inventory.is_empty() {
            return None;
        }
        let mut fitting = 0_u64;
        let mut is_labelled = false;
        for (_, worker) in self.inventory.workers().filter(|(_, worker)| !worker.is_removed) {
            if has_labels(worker, spec) {
                is_labelled = true;
                fitting += count_that_fits(spec.resources(), worker.capacity);
            }
        }
        match (is_labelled, fitting) {
            (false, _) => Some(Rejection::NoSuchLabels),
            (true, 0) => Some(Rejection::TooLarge),
            (true, count) if spec.kind == JobKind::Gang && count < u64::from(spec.tasks) => {
                Some(Rejection::GangTooLarge)
            }
            _ => None,
        }
    }

    fn add_job(&mut self, job_id: JobId, spec: Arc<JobSpec>, is_restored: bool) -> JobKey {
        self.sequence += 1;
        let team = self.queue.team_key(&spec.team);
        let limit = self.limit_of(&spec.team);
        self.queue.set_limit(team, limit);
        let job_rules = self.rules.for_job(&spec);
        let key = self.jobs.insert(Job {
            id: Arc::clone(&job_id),
            spec,
            sequence: self.sequence,
            tasks: Vec::new(),
            waiting: VecDeque::new(),
            waiting_count: 0,
            placed_count: 0,
            running_count: 0,
            stopping_count: 0,
            finished_count: 0,
            state: JobState::Waiting,
            team,
            rules: job_rules,
            generation: 0,
            failed_workers: Vec::new(),
            not_before_ms: 0,
            nominated: Vec::new(),
            is_cancelled: false,
            is_given_up: false,
            is_restored,
            version: 0,
            is_dirty: false,
            retained_attempts: Vec::new(),
        });
        self.job_ids.insert(job_id, key);
        key
    }

    /// Creates the tasks of a job, in the state that its stored progress gives them.
    fn add_tasks(&mut self, key: JobKey, progress: &JobProgress, now_ms: u64) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        let is_final = progress.ended.is_some();
        for index in 0..job.spec.tasks {
            let finished = progress.finished.iter().any(|(from, to)| (*from..*to).contains(&index));
            let state = match (finished, is_final) {
                (true, _) => TaskState::Finished,
                (false, true) => TaskState::Cancelled,
                (false, false) => TaskState::Waiting,
            };
            let task = self.tasks.insert(Task::new(key, index, state, now_ms));
            job.add(task, state);
        }
        if job.waiting_count > 0 {
            self.enqueue(key);
        }
    }

    /// Adds replicas to a service up to the number in its specification.
    pub(crate) fn add_replicas(&mut self, key: JobKey, now_ms: u64) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        let known = u32::try_from(job.tasks.len()).unwrap_or(u32::MAX);
        let last = job.tasks.iter().filter_map(|key| self.tasks.get(*key)).map(|task| task.index);
        let first = last.max().map_or(0, |index| index + 1);
        for index in (first..).take(job.spec.tasks.saturating_sub(known) as usize) {
            let task = self.tasks.insert(Task::new(key, index, TaskState::Waiting, now_ms));
            job.add(task, TaskState::Waiting);
        }
    }

    /// Cancels a job: stops its placed tasks and ends the waiting ones.
    pub(crate) fn cancel(&mut self, job_id: &JobId, now_ms: u64, out: &mut Vec<Action>) {
        let Some(&key) = self.job_ids.get(job_id) else { return };
        let Some(job) = self.jobs.get_mut(key) else { return };
        if job.is_cancelled || job.is_given_up || is_ended(&job.state) {
            return;
        }
        job.is_cancelled = true;
        self.mark_progress_changed(key);
        self.dequeue(key);
        self.drop_claim(key);
        for task in self.jobs.get(key).map(|job| job.tasks.clone()).unwrap_or_default() {
            match self.tasks.get(task).map(|task| task.state) {
                Some(TaskState::Waiting) if !self.may_run_on_unread_worker(key) => {
                    self.task_event(task, TaskEvent::Cancel, now_ms);
                }
                Some(state) if state.is_placed() => {
                    self.stop_task(task, StopMode::Stop, now_ms, out);
                }
                _ => {}
            }
        }
        self.refresh_job(key, now_ms, out);
    }

    /// Emits a stop for a placed task; its resources stay reserved until the stop is confirmed.
    pub(crate) fn stop_task(
        &mut self,
        key: TaskKey,
        mode: StopMode,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        if self.task_event(key, TaskEvent::Stop, now_ms) {
            let task = &self.tasks[key];
            out.push(Action::Stop { worker: task.worker, attempt: task.attempt, mode });
        }
    }

    /// Applies an event to the task whose current attempt is `attempt`, if there is one.
    pub(crate) fn attempt_event(
        &mut self,
        attempt: Attempt,
        event: TaskEvent,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(&key) = self.attempts.get(&attempt) else { return };
        if self.task_event(key, event, now_ms) {
            self.follow_up(key, now_ms, out);
        }
    }

    /// Follows up on a task whose state changed: finishes a waiting task of which an earlier attempt
    /// has finished, ends one that is no longer wanted, and updates the state of the job.
    pub(crate) fn follow_up(&mut self, key: TaskKey, now_ms: u64, out: &mut Vec<Action>) {
        let Some(task) = self.tasks.get(key) else { return };
        let job = task.job;
        let is_waiting = task.state == TaskState::Waiting;
        let is_surplus = task.is_surplus;
        let finished_attempt = task.finished_attempt;
        let Some(known) = self.jobs.get(job) else { return };
        if let (true, Some((worker, attempt))) = (is_waiting, finished_attempt) {
            if self.task_event(key, TaskEvent::Finish, now_ms) {
                self.record_finish(job, worker, attempt);
            }
        } else if is_waiting && (known.is_cancelled || known.is_given_up) {
            self.task_event(key, TaskEvent::Cancel, now_ms);
            self.dequeue(job);
        } else if is_waiting && is_surplus {
            self.task_event(key, TaskEvent::Cancel, now_ms);
        }
        self.refresh_job(job, now_ms, out);
    }

    /// Handles a refused start. A fenced one means that another process holds the zone.
    pub(crate) fn start_refused(
        &mut self,
        attempt: Attempt,
        refusal: Refusal,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        if refusal == Refusal::Fenced {
            self.release_zone();
            return;
        }
        let Some(&key) = self.attempts.get(&attempt) else { return };
        let worker = self.tasks[key].worker;
        if !self.task_event(key, TaskEvent::Refuse, now_ms) {
            return;
        }
        match refusal {
            Refusal::Failed => self.task_failed(key, worker, now_ms, out),
            // The worker's attempts differ from those recorded here.
            Refusal::NoRoom | Refusal::Duplicate => self.require_read(worker, now_ms, out),
            Refusal::Stale | Refusal::Fenced => {}
        }
        self.follow_up(key, now_ms, out);
    }

    /// Handles an attempt that exited on its own; a replica of a service has failed in any case.
    pub(crate) fn attempt_ended(
        &mut self,
        attempt: Attempt,
        end: End,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(&key) = self.attempts.get(&attempt) else { return };
        let Some(task) = self.tasks.get(key) else { return };
        let (job_key, worker) = (task.job, task.worker);
        let ran_ms = now_ms.saturating_sub(task.since_ms);
        let is_service =
            self.jobs.get(job_key).is_some_and(|job| job.spec.kind == JobKind::Service);
        let event = match end {
            End::Finished if !is_service => TaskEvent::Finish,
            _ => TaskEvent::Fail,
        };
        if !self.task_event(key, event, now_ms) {
            return;
        }
        if event == TaskEvent::Finish {
            self.task_succeeded(job_key, worker, ran_ms);
            self.record_finish(job_key, worker, attempt);
        } else {
            out.push(Action::Forget { worker, attempts: vec![attempt] });
            self.task_failed(key, worker, now_ms, out);
        }
        self.follow_up(key, now_ms, out);
    }

    /// Marks the progress of a job, of which a task finished, as changed. The worker keeps the
    /// attempt until the progress is stored.
    fn record_finish(&mut self, key: JobKey, worker: WorkerKey, attempt: Attempt) {
        self.mark_progress_changed(key);
        self.retain_attempt(key, worker, attempt);
    }

    /// Keeps the worker from forgetting a finished attempt until the current progress is stored.
    pub(crate) fn retain_attempt(&mut self, key: JobKey, worker: WorkerKey, attempt: Attempt) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        let version = job.version;
        job.retained_attempts.push(RetainedAttempt { version, worker, attempt });
    }

    /// Handles stored progress: workers may forget the finished attempts that it includes, and an
    /// ended job is removed once its end is stored.
    pub(crate) fn progress_stored(&mut self, job_id: &JobId, version: u64, out: &mut Vec<Action>) {
        let Some(job) = self.job_ids.get(job_id).and_then(|key| self.jobs.get_mut(*key)) else {
            return;
        };
        job.retained_attempts.retain(|kept| {
            if kept.version <= version {
                out.push(Action::Forget { worker: kept.worker, attempts: vec![kept.attempt] });
            }
            kept.version > version
        });
        if is_ended(&job.state) && job.version <= version && job.retained_attempts.is_empty() {
            self.remove_job(job_id);
        }
    }

    /// Removes a job that has ended and whose end is stored.
    fn remove_job(&mut self, job_id: &JobId) {
        let Some(key) = self.job_ids.remove(job_id) else { return };
        self.dequeue(key);
        self.drop_claim(key);
        let Some(job) = self.jobs.remove(key) else { return };
        for task in job.tasks {
            self.drop_nomination(task);
            self.tasks.remove(task);
        }
    }

    /// Returns whether waiting tasks of a restored job may run on workers that were not yet read.
    pub(crate) fn may_run_on_unread_worker(&self, key: JobKey) -> bool {
        self.is_locating && self.jobs.get(key).is_some_and(|job| job.is_restored)
    }

    /// Marks the progress of a job as changed.
    pub(crate) fn mark_progress_changed(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.version += 1;
        if !job.is_dirty {
            job.is_dirty = true;
            self.dirty_jobs.push(key);
        }
    }

    /// Emits the progress of all jobs whose progress changed.
    pub(crate) fn flush_progress(&mut self, out: &mut Vec<Action>) {
        for key in std::mem::take(&mut self.dirty_jobs) {
            let Some(job) = self.jobs.get(key) else { continue };
            let progress = self.progress(job);
            out.push(Action::Record { job_id: Arc::clone(&job.id), progress });
            self.jobs[key].is_dirty = false;
        }
    }

    fn progress(&self, job: &Job) -> JobProgress {
        let mut finished: Vec<(u32, u32)> = Vec::new();
        if job.finished_count > 0 {
            for task in job.tasks.iter().filter_map(|key| self.tasks.get(*key)) {
                if task.state != TaskState::Finished {
                    continue;
                }
                match finished.last_mut() {
                    Some((_, to)) if *to == task.index => *to += 1,
                    _ => finished.push((task.index, task.index + 1)),
                }
            }
        }
        let ended = is_ended(&job.state).then(|| job.state.clone());
        let version = job.version;
        let (failures, failed_workers) = self.stored_failures(job);
        JobProgress {
            version,
            finished,
            is_cancelled: job.is_cancelled,
            ended,
            failures,
            failed_workers,
        }
    }

    /// Recomputes the state of a job and emits it if it changed.
    pub(crate) fn refresh_job(&mut self, key: JobKey, _now_ms: u64, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        if is_ended(&job.state) {
            return;
        }
        let open = job.waiting_count + job.placed_count;
        let state = match (open, job.is_cancelled) {
            (0, _) if job.is_given_up => JobState::Rejected(Rejection::Poison),
            (0, true) => JobState::Cancelled,
            (0, false) => JobState::Finished,
            _ if job.running_count > 0 => JobState::Running,
            _ => JobState::Waiting,
        };
        if is_ended(&state) {
            // Another attempt of an ended task may still run on a worker.
            let id = &self.jobs[key].id;
            let has_orphan = self.orphans.values().any(|orphan| orphan.task.job_id == *id);
            if !has_orphan && !self.may_run_on_unread_worker(key) {
                self.end_job(key, state, out);
            }
        } else if job.state != state {
            job.state = state.clone();
            out.push(Action::JobState { job_id: Arc::clone(&job.id), state });
        }
    }

    /// Sets the final state of a job and emits it together with the progress.
    pub(crate) fn end_job(&mut self, key: JobKey, state: JobState, out: &mut Vec<Action>) {
        self.mark_progress_changed(key);
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.state = state.clone();
        out.push(Action::JobState { job_id: Arc::clone(&job.id), state });
        self.flush_progress(out);
    }
}

/// Returns whether the state of a job is final.
pub(crate) const fn is_ended(state: &JobState) -> bool {
    matches!(
        state,
        JobState::Finished | JobState::Failed | JobState::Cancelled | JobState::Rejected(_)
    )
}

/// Returns whether a worker has all labels that a job requires.
pub(crate) fn has_labels(worker: &Worker, spec: &JobSpec) -> bool {
    spec.constraints.iter().all(|(key, value)| worker.labels.get(key) == Some(value))
}

/// Returns how many tasks of this size fit into `capacity`.
pub(crate) fn count_that_fits(size: Resources, capacity: Resources) -> u64 {
    let times = |need: u64, room: u64| room.checked_div(need).unwrap_or(u64::MAX);
    times(size.cpu_millis, capacity.cpu_millis)
        .min(times(size.memory_bytes, capacity.memory_bytes))
        .min(times(u64::from(size.accelerators), u64::from(capacity.accelerators)))
}
