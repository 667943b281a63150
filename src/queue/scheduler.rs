//! Decides what runs where: events in, actions out, no network and no clock.

mod advice;
mod event;
mod forgetting;
mod job;
mod lease;
mod orders;
mod pace;
mod placing;
mod runner;
mod saving;
mod status;

use std::sync::Arc;

use slotmap::SlotMap;

use crate::collections::{HashMap, HashSet};
use crate::configs::queue::QueueConfig;
use crate::decision_log;
use crate::queue::model::{Directory, JobId, JobState, RunnerId, Submission};
use crate::queue::record::Progress;

pub use advice::Helper;
pub use event::{Action, Event, HoldOrder, Ordered, Save, StartOrder};
pub use job::{Job, JobKey};
pub use runner::{Phase, Runner, RunnerKey};

/// Runs of one term are numbered from its token times this, so that numbers rise over leaders.
const RUNS_PER_TOKEN: u64 = 4_096;

/// The whole state of the leader.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) config: QueueConfig,
    next_run: u64,
    directory: Arc<Directory>,
    jobs: SlotMap<JobKey, Job>,
    job_keys: HashMap<JobId, JobKey>,
    /// Jobs whose final state is stored, and when this leader learned of it.
    ended: HashMap<JobId, (JobState, u64)>,
    forgetting: forgetting::Forgetting,
    /// Jobs that came while the leader's lease was not confirmed.
    deferred: Vec<Submission>,
    /// Cancellations that came before their submission.
    early_cancels: HashSet<JobId>,
    runners: SlotMap<RunnerKey, Runner>,
    runner_keys: HashMap<RunnerId, RunnerKey>,
    helpers: Vec<Helper>,
    saving: saving::Saving,
    admitted_share: HashMap<String, f64>,
    /// Until when the leader's lease certainly holds.
    confirmed_until_ms: u64,
    /// Until when tasks that a former leader may have started elsewhere wait for unheard runners.
    inherited_until_ms: u64,
}

impl Scheduler {
    /// The state of a new leader that knows nothing yet.
    pub fn new(config: QueueConfig, token: u64) -> Self {
        Self {
            config,
            next_run: token.saturating_mul(RUNS_PER_TOKEN),
            directory: Arc::default(),
            jobs: SlotMap::with_key(),
            job_keys: HashMap::default(),
            ended: HashMap::default(),
            forgetting: forgetting::Forgetting::default(),
            deferred: Vec::new(),
            early_cancels: HashSet::default(),
            runners: SlotMap::with_key(),
            runner_keys: HashMap::default(),
            helpers: Vec::new(),
            saving: saving::Saving::default(),
            admitted_share: HashMap::default(),
            confirmed_until_ms: 0,
            inherited_until_ms: 0,
        }
    }

    /// Tasks of jobs known so far may run at runners that have not answered yet: they wait for
    /// those runners until `until_ms`.
    pub fn inherit(&mut self, until_ms: u64) {
        self.inherited_until_ms = until_ms;
        let steps = self.jobs.values_mut().flat_map(|job| &mut job.steps);
        for task in steps.flat_map(|step| &mut step.tasks) {
            task.is_inherited = true;
        }
    }

    /// Takes in an event; what follows from it comes with the next [`Scheduler::act`].
    pub fn step(&mut self, event: Event, now_ms: u64) {
        match event {
            Event::Declared(directory) => self.directory = directory,
            // A successor that is not known here yet would not take the job for an inherited one.
            Event::Submitted(submission) if now_ms >= self.confirmed_until_ms => {
                self.deferred.push(submission);
            }
            Event::Submitted(submission) => self.submit(submission, now_ms),
            Event::Progress(id, progress) => self.restore(id, &progress, now_ms),
            Event::Canceled(id) => self.cancel(id, now_ms),
            Event::RunnerListed(report) => self.list_runner(report, now_ms),
            Event::RunnerUnlisted(id) => self.unlist_runner(&id),
            Event::RosterKnown(id, address) => self.expect_runner(id, address),
            Event::Held { runner, sent_ms, result } => self.held(runner, sent_ms, result, now_ms),
            Event::Ordered(ordered) => self.ordered(&ordered, now_ms),
            Event::PaceFailed { runner, task } => self.pace_failed(runner, task),
            Event::Advised { step, helper, asked, sent_ms, result } => {
                self.advised(step, &helper, &asked, sent_ms, result, now_ms);
            }
            Event::HelperSeen { address } => self.helper_seen(address, now_ms),
            Event::Saved { is_stored } => self.saved(is_stored, now_ms),
            Event::Forgotten { is_removed } => self.forgotten(is_removed),
            Event::RosterSaved { is_stored } => self.roster_saved(is_stored),
            Event::Confirmed { until_ms } => self.confirm(until_ms, now_ms),
            Event::Tick => {}
        }
    }

    /// Appends the orders, calls and writes that the state calls for now.
    pub fn act(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        self.expire_runners(now_ms);
        self.stop_stalled(now_ms);
        self.repeat_orders(now_ms, out);
        if self.may_order(now_ms) {
            self.place(now_ms, out);
        }
        self.adjust_pace(now_ms, out);
        self.save(now_ms, out);
        self.forget(now_ms, out);
        self.renew(now_ms, out);
    }

    /// Whether runners may be ordered: the leader's lease holds, or lapsed so lately that a
    /// successor still waits for the runners that have not answered it.
    pub fn may_order(&self, now_ms: u64) -> bool {
        now_ms < self.confirmed_until_ms + self.config.bridge_ms
    }

    /// State of a job as callers may see it; a final state shows once it is stored.
    pub fn state_of(&self, id: JobId) -> Option<JobState> {
        if let Some((state, _)) = self.ended.get(&id) {
            return Some(*state);
        }
        let job = &self.jobs[*self.job_keys.get(&id)?];
        let shown = if job.state.is_final() { JobState::Active } else { job.state };
        Some(shown)
    }

    /// Accepted jobs of a queue of which no task has started.
    pub fn pending(&self, queue: &str) -> u64 {
        let waiting = self
            .jobs
            .values()
            .filter(|job| job.state == JobState::Queued && job.submission.queue == queue);
        waiting.count() as u64
    }

    /// Jobs that are not ended, tasks that runners hold, and runners that are usable.
    pub fn figures(&self, now_ms: u64) -> [usize; 3] {
        let held = self.runners.values().map(|runner| runner.assigned.len()).sum();
        let usable = self.runners.values().filter(|runner| runner.is_usable(now_ms)).count();
        [self.jobs.len(), held, usable]
    }

    /// The lease still holds, so that no successor has taken over the jobs that came meanwhile.
    fn confirm(&mut self, until_ms: u64, now_ms: u64) {
        self.confirmed_until_ms = until_ms;
        if now_ms < until_ms {
            for submission in std::mem::take(&mut self.deferred) {
                self.submit(submission, now_ms);
            }
        }
    }

    fn submit(&mut self, submission: Submission, now_ms: u64) {
        let id = submission.id;
        if self.job_keys.contains_key(&id) || self.ended.contains_key(&id) {
            return;
        }
        let queue = self.directory.queue(&submission.queue);
        let job = Job::new(submission, queue, now_ms);
        let key = self.jobs.insert(job);
        self.job_keys.insert(id, key);
        if self.early_cancels.remove(&id) {
            self.cancel(id, now_ms);
        }
    }

    fn restore(&mut self, id: JobId, progress: &Progress, now_ms: u64) {
        let Some(key) = self.job_keys.get(&id).copied() else { return };
        if progress.state.is_final() {
            self.job_keys.remove(&id);
            self.jobs.remove(key);
            self.ended.insert(id, (progress.state, now_ms));
            return;
        }
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.restore(progress);
        if job.is_done() {
            self.finish(key, JobState::Completed, now_ms);
        }
    }

    fn cancel(&mut self, id: JobId, now_ms: u64) {
        if self.ended.contains_key(&id) {
            return;
        }
        let Some(key) = self.job_keys.get(&id).copied() else {
            self.early_cancels.insert(id);
            return;
        };
        if !self.jobs[key].state.is_final() {
            self.finish(key, JobState::Canceled, now_ms);
        }
    }

    /// Gives a job its final state and lets what still runs of it be stopped.
    fn finish(&mut self, key: JobKey, state: JobState, now_ms: u64) {
        let job = &mut self.jobs[key];
        if job.state.is_final() {
            return;
        }
        job.state = state;
        let id = job.submission.id;
        decision_log::line("job_ended")
            .with("job", id)
            .with("state", format_args!("{state:?}"))
            .with("queue", &job.submission.queue)
            .with("age_ms", now_ms.saturating_sub(job.known_ms))
            .end();
        self.saving.note_final(key);
        for runner in self.runners.values_mut() {
            for (task, assigned) in &mut runner.assigned {
                if task.step.job == id {
                    assigned.stop(now_ms);
                }
            }
        }
    }

    fn new_run(&mut self) -> u64 {
        self.next_run += 1;
        self.next_run
    }
}
