//! Keeps stored progress and runs of jobs that are not known yet.
//!
//! The record of a job may be read after its progress or after the status of a runner. A kept end is
//! not acknowledged until its job becomes known, or until a read that was sent after the end arrived
//! shows that the job has no record: it was removed after its retention time.

use crate::collections::HashMap;
use crate::decision_log;
use crate::queue::model::{EndedRun, JobId, JobState, TaskId};
use crate::queue::record::Progress;
use crate::queue::scheduler::event::Action;
use crate::queue::scheduler::job::TaskState;
use crate::queue::scheduler::runner::RunnerKey;
use crate::queue::scheduler::Scheduler;

/// Maximum number of ended runs that are kept. Further ones are left in the lists of their runners.
const MAX_KEPT_ENDS: usize = 20_000;

/// Maximum number of unknown jobs whose progress and runs are kept.
const MAX_UNKNOWN_JOBS: usize = 20_000;

/// Maximum number of jobs that one action reads, one after the other.
const READ_BATCH: usize = 10;

/// Minimum time between two reads, in milliseconds; it also delays the next one after a failure.
const READ_GAP_MS: u64 = 100;

/// Progress and runs of jobs that are not known yet.
#[derive(Debug, Default)]
pub(super) struct Unclaimed {
    jobs: HashMap<JobId, UnknownJob>,
    /// Number of ended runs of all jobs.
    end_count: usize,
    /// Whether an [`Action::ReadJobs`] is not answered yet.
    is_read_in_flight: bool,
    /// Time before which no further read starts.
    next_read_ms: u64,
}

#[derive(Debug, Default)]
struct UnknownJob {
    progress: Option<Progress>,
    /// In the order in which they arrived.
    ends: Vec<KeptEnd>,
    /// Runs that were found on runners.
    runs: Vec<(RunnerKey, TaskId)>,
    /// Numbers of the ends and runs that were known when the job's record was last asked for; `None`
    /// if it was not.
    known_before_read: Option<[usize; 2]>,
}

#[derive(Debug)]
struct KeptEnd {
    runner: RunnerKey,
    /// Incarnation of the runner that the number of the end belongs to.
    started_unix_ms: Option<u64>,
    ended: EndedRun,
    received_ms: u64,
}

impl Unclaimed {
    fn take(&mut self, id: JobId) -> Option<UnknownJob> {
        let job = self.jobs.remove(&id)?;
        self.end_count -= job.ends.len();
        Some(job)
    }
}

impl Scheduler {
    /// Whether a job is neither unfinished nor ended as far as this leader knows. A deferred job is
    /// not known yet.
    pub(super) fn is_unknown(&self, id: JobId) -> bool {
        !self.job_keys.contains_key(&id) && !self.ended.contains_key(&id)
    }

    /// The ends at the front of a runner's list that can be processed now: those before the first one
    /// that exceeds the number of kept ends.
    pub(super) fn processable_ends<'a>(
        &self,
        key: RunnerKey,
        listed: &'a [EndedRun],
    ) -> &'a [EndedRun] {
        let last_seen = self.runners[key].last_seen_end;
        let room = MAX_KEPT_ENDS.saturating_sub(self.unclaimed.end_count);
        let unknown = listed
            .iter()
            .enumerate()
            .filter(|(_, ended)| ended.number > last_seen && self.is_unknown(ended.task.step.job));
        let first_beyond = unknown.map(|(at, _)| at).nth(room);
        first_beyond.map_or(listed, |at| &listed[..at])
    }

    /// Keeps progress until its job becomes known. A final state needs no submission.
    pub(super) fn keep_progress(&mut self, id: JobId, progress: Progress, now_ms: u64) {
        if self.ended.contains_key(&id) {
            return;
        }
        if progress.state.is_final() {
            self.retention.keep_lost_runs(id, &progress.lost);
            self.ended.insert(id, (progress.state, now_ms));
            self.claim(id, now_ms);
            return;
        }
        let is_kept = self.unclaimed.jobs.len() < MAX_UNKNOWN_JOBS;
        decision_log::line("progress_unclaimed")
            .with("job", id)
            .with("done", progress.done.len())
            .with("kept", is_kept)
            .end();
        if is_kept {
            self.unclaimed.jobs.entry(id).or_default().progress = Some(progress);
        }
    }

    /// Keeps an ended run until its job becomes known.
    pub(super) fn keep_end(&mut self, key: RunnerKey, ended: &EndedRun, now_ms: u64) {
        let runner = &mut self.runners[key];
        runner.unclaimed_ends.insert(ended.number);
        decision_log::line("end_unclaimed")
            .with("task", ended.task)
            .with("run", ended.run)
            .with("runner", &runner.id)
            .with("number", ended.number)
            .with("end", format_args!("{:?}", ended.end))
            .end();
        let kept = KeptEnd {
            runner: key,
            started_unix_ms: runner.started_unix_ms,
            ended: ended.clone(),
            received_ms: now_ms,
        };
        self.unclaimed.jobs.entry(ended.task.step.job).or_default().ends.push(kept);
        self.unclaimed.end_count += 1;
    }

    /// Notes that a runner has a run of a job that is not known.
    pub(super) fn keep_run(&mut self, key: RunnerKey, task: TaskId) {
        if self.is_unknown(task.step.job) && self.unclaimed.jobs.len() < MAX_UNKNOWN_JOBS {
            self.unclaimed.jobs.entry(task.step.job).or_default().runs.push((key, task));
        }
    }

    /// Applies what was kept for a job that has become known, before any of its tasks starts.
    pub(super) fn claim(&mut self, id: JobId, now_ms: u64) {
        let Some(unknown) = self.unclaimed.take(id) else { return };
        if let (Some(progress), Some(key)) = (unknown.progress, self.job_keys.get(&id).copied()) {
            decision_log::line("progress_claimed").with("job", id).end();
            self.restore(key, &progress, now_ms);
        }
        if !unknown.ends.is_empty() || !unknown.runs.is_empty() {
            self.mark_active(id);
        }
        for kept in unknown.ends {
            self.apply_end(kept.runner, &kept.ended, false, now_ms);
            self.resolve_end(&kept, "claimed", now_ms);
        }
        for (runner, task) in unknown.runs {
            self.claim_run(runner, task);
        }
    }

    fn mark_active(&mut self, id: JobId) {
        let Some(key) = self.job_keys.get(&id).copied() else { return };
        let job = &mut self.jobs[key];
        if job.state == JobState::Queued {
            job.state = JobState::Active;
        }
    }

    /// Assigns a task to the runner that still has a run of it, so that it is not started elsewhere
    /// before that run has ended.
    fn claim_run(&mut self, runner: RunnerKey, task: TaskId) {
        self.attribute_run(runner, task);
        let assignment = self.runners.get(runner).and_then(|found| found.assignments.get(&task));
        let Some(run) = assignment.map(|assignment| assignment.run) else { return };
        let Some(key) = self.job_keys.get(&task.step.job).copied() else { return };
        let Some(known) = self.jobs[key].task_mut(task) else { return };
        known.last_run = known.last_run.max(run);
        if known.state == TaskState::Waiting {
            known.state = TaskState::Assigned(runner);
        }
    }

    /// Lets a kept end be acknowledged once the changes of its job are stored, unless its runner has
    /// restarted since.
    fn resolve_end(&mut self, kept: &KeptEnd, outcome: &str, now_ms: u64) {
        decision_log::line("end_resolved")
            .with("task", kept.ended.task)
            .with("run", kept.ended.run)
            .with("number", kept.ended.number)
            .with("outcome", outcome)
            .with("held_ms", now_ms.saturating_sub(kept.received_ms))
            .end();
        let Some(runner) = self.runners.get_mut(kept.runner) else { return };
        if runner.started_unix_ms == kept.started_unix_ms
            && runner.unclaimed_ends.remove(&kept.ended.number)
        {
            self.withhold_end(kept.runner, &kept.ended);
            self.await_stored_outcome(kept.runner, &kept.ended);
        }
    }

    /// Requests a read of the records of jobs of which only progress or runs are known.
    ///
    /// Not while the leader's lease is not confirmed: the job may be a deferred one.
    pub(super) fn read_unknown_jobs(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let unclaimed = &mut self.unclaimed;
        if unclaimed.jobs.is_empty()
            || unclaimed.is_read_in_flight
            || now_ms < unclaimed.next_read_ms
            || now_ms >= self.confirmed_until_ms
        {
            return;
        }
        unclaimed.is_read_in_flight = true;
        unclaimed.next_read_ms = now_ms + READ_GAP_MS;
        let mut read = Vec::new();
        for (id, unknown) in unclaimed.jobs.iter_mut().take(READ_BATCH) {
            unknown.known_before_read = Some([unknown.ends.len(), unknown.runs.len()]);
            read.push(*id);
        }
        out.push(Action::ReadJobs(read));
    }

    /// Drops what was kept for jobs without a record, except for what came after the read was sent.
    pub(super) fn jobs_read(&mut self, absent: &[JobId], now_ms: u64) {
        self.unclaimed.is_read_in_flight = false;
        for id in absent {
            let Some(unknown) = self.unclaimed.jobs.get_mut(id) else { continue };
            let Some([ends, runs]) = unknown.known_before_read.take() else { continue };
            let released: Vec<KeptEnd> = unknown.ends.drain(..ends).collect();
            unknown.runs.drain(..runs);
            if unknown.progress.take().is_some() {
                decision_log::line("progress_released").with("job", id).end();
            }
            if unknown.ends.is_empty() && unknown.runs.is_empty() {
                self.unclaimed.jobs.remove(id);
            }
            self.unclaimed.end_count -= released.len();
            for kept in released {
                self.resolve_end(&kept, "no job record", now_ms);
            }
        }
    }
}
