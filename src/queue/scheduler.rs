//! Decides which runner runs which task.
//!
//! The scheduler is a state machine without network access or a clock of its own: the leader feeds
//! it an [`Event`] for everything it learns and carries out each [`Action`] it returns.

mod advice;
mod copies;
mod crash;
mod end_cause;
mod event;
pub mod expected_room;
mod inherited;
mod job;
mod lease;
mod lost_runs;
mod orders;
mod pace;
mod persistence;
mod placement;
mod probe;
mod reserve;
mod retention;
mod roster;
mod runner;
mod runner_status;
mod shares;
pub mod speed;
mod speed_placement;
mod unclaimed;
pub mod waiting;

use std::sync::Arc;

use slotmap::SlotMap;

use crate::collections::{HashMap, HashSet};
use crate::configs::queue::QueueConfig;
use crate::decision_log;
use crate::queue::model::{
    JobId, JobState, QueueDirectory, QueueTerms, RunnerId, Submission, TaskId,
};
use crate::queue::record::Progress;
use crate::queue::workspaces::JobOwner;
use end_cause::EndCause;

pub use advice::AdviceHost;
pub use crash::CrashCounts;
pub use event::{Action, Event, OrderResult, ProgressWrite, RenewalOrder, StartOrder};
pub use job::{Job, JobKey};
pub use persistence::WriteKey;
pub use runner::{RunPhase, Runner, RunnerKey};
pub use shares::{share_level, RateMeter, WorkspaceKey, WorkspaceUsage};

/// Size of the range of run numbers of a term. Runs are numbered from the revision of the term's
/// leader key times this value, so that run numbers increase from one leader to the next.
const RUNS_PER_TERM: u64 = 4_096;

/// Shortest lease with which a task is started, in milliseconds: without a confirmed lease of the
/// leader, the run would be lost soon.
const MIN_START_LEASE_MS: u64 = 1_000;

/// Number of fencing tokens of a term. Revisions of the store stay exact in JSON numbers when they
/// are multiplied by it.
const TOKENS_PER_TERM: u64 = 1 << 16;

/// State of the queue as the leader knows it: jobs, runners and leases.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) config: QueueConfig,
    /// Number of the last run; the next one gets the number after it.
    last_run: u64,
    /// Highest fencing token of the term that any runner has been given.
    last_token: u64,
    /// Highest fencing token that belongs to the term.
    max_token: u64,
    directory: Arc<QueueDirectory>,
    jobs: SlotMap<JobKey, Job>,
    job_keys: HashMap<JobId, JobKey>,
    /// Final states that are in the store, each with the time at which this leader learned of it.
    ended: HashMap<JobId, (JobState, u64)>,
    retention: retention::Retention,
    /// Submissions that arrived while the leader's lease was not confirmed.
    deferred: Vec<Submission>,
    /// Progress and runs of jobs that are not known yet.
    unclaimed: unclaimed::Unclaimed,
    /// Cancellations of unknown jobs, each with the time at which this leader learned of it. They refuse
    /// a submission that comes later.
    early_cancels: HashMap<JobId, u64>,
    runners: SlotMap<RunnerKey, Runner>,
    runner_keys: HashMap<RunnerId, RunnerKey>,
    advice_hosts: Vec<AdviceHost>,
    /// Steps that wait for advice, during a placement pass.
    pending_advice: Vec<advice::PendingAdvice>,
    persistence: persistence::Persistence,
    roster_writes: roster::RosterWrites,
    /// Services of which too much is in use for less urgent work to use the reserve, as found in this
    /// placement pass.
    busy_services: HashSet<String>,
    /// Number of searches in this placement pass for tasks that need the reserve.
    reserve_searches: u32,
    /// Estimated share of runners that the policy of each queue admits, by queue name.
    admitted_share: HashMap<String, f64>,
    /// Time until which the leader's lease certainly holds.
    confirmed_until_ms: u64,
    /// Whether the lease has held at any time since the records were read.
    is_term_confirmed: bool,
    inherited: inherited::InheritedWait,
    crashes: crash::CrashHistory,
    shares: shares::Shares,
    speeds: speed::Speeds,
    /// Processor time of work with little slack that was started recently.
    urgent_demand: speed_placement::UrgentDemand,
    /// Time before which copies of overdue runs are not sought again.
    next_copies_ms: u64,
    estimate_errors: waiting::EstimateErrors,
    room_demand: expected_room::RoomDemand,
    /// Time of acceptance of the newest job that was read from the store, in Unix milliseconds.
    newest_loaded_unix_ms: u64,
}

impl Scheduler {
    /// State of a new leader that has not read anything yet.
    ///
    /// `term` is the revision at which the store created its leader key.
    pub fn new(config: QueueConfig, term: u64) -> Self {
        let first_token = term.saturating_mul(TOKENS_PER_TERM);
        let speeds = speed::Speeds::new(config.speed_half_life_ms, config.speed_dead_zone_millis);
        Self {
            config,
            last_run: term.saturating_mul(RUNS_PER_TERM),
            last_token: first_token,
            max_token: first_token.saturating_add(TOKENS_PER_TERM - 1),
            directory: Arc::default(),
            jobs: SlotMap::with_key(),
            job_keys: HashMap::default(),
            ended: HashMap::default(),
            retention: retention::Retention::default(),
            deferred: Vec::new(),
            unclaimed: unclaimed::Unclaimed::default(),
            early_cancels: HashMap::default(),
            runners: SlotMap::with_key(),
            runner_keys: HashMap::default(),
            advice_hosts: Vec::new(),
            pending_advice: Vec::new(),
            persistence: persistence::Persistence::default(),
            roster_writes: roster::RosterWrites::default(),
            busy_services: HashSet::default(),
            reserve_searches: 0,
            admitted_share: HashMap::default(),
            confirmed_until_ms: 0,
            is_term_confirmed: false,
            inherited: inherited::InheritedWait::default(),
            crashes: crash::CrashHistory::default(),
            shares: shares::Shares::default(),
            speeds,
            urgent_demand: speed_placement::UrgentDemand::default(),
            next_copies_ms: 0,
            estimate_errors: waiting::EstimateErrors::default(),
            room_demand: expected_room::RoomDemand::default(),
            newest_loaded_unix_ms: 0,
        }
    }

    /// Updates the state with an event.
    ///
    /// The resulting actions are returned by the next call of [`Scheduler::take_actions`].
    pub fn handle_event(&mut self, event: Event, now_ms: u64) {
        match event {
            Event::DirectoryUpdated(directory) => {
                self.shares.update(directory.workspaces.as_ref());
                self.directory = directory;
                self.update_terms(now_ms);
            }
            // A successor may already lead. It would not regard a job that arrives now as one that
            // this leader may have started, so that both might run it.
            Event::JobSubmitted(submission) if now_ms >= self.confirmed_until_ms => {
                self.deferred.push(submission);
            }
            Event::JobSubmitted(submission) => self.submit(submission, now_ms),
            Event::JobLoaded(submission) => self.load(submission, now_ms),
            Event::ProgressLoaded(id, progress) => self.load_progress(id, progress, now_ms),
            Event::JobCanceled(id) => self.cancel(id, now_ms),
            Event::JobsRead { absent } => self.jobs_read(&absent, now_ms),
            Event::RunnerListed(report) => self.list_runner(report, now_ms),
            Event::RunnerUnlisted(id) => self.unlist_runner(&id, now_ms),
            Event::RosterEntryLoaded(entry) => self.add_roster_runner(entry),
            Event::RenewalFinished { runner, sent_ms, result } => {
                self.renewal_finished(runner, sent_ms, result, now_ms);
            }
            Event::OrderFinished(outcome) => self.order_finished(&outcome, now_ms),
            Event::PaceFailed { runner, task } => self.pace_failed(runner, task),
            Event::AdviceFinished { step, advice_host, asked, sent_ms, result } => {
                self.advice_finished(step, &advice_host, &asked, sent_ms, result, now_ms);
            }
            Event::AdviceHostSeen { address } => self.record_advice_host(address, now_ms),
            Event::ProgressSaved { write, is_stored } => {
                self.progress_saved(write, is_stored, now_ms);
            }
            Event::RecordsRemoved { is_removed } => self.records_removed(is_removed, now_ms),
            Event::RosterSaved { is_stored } => self.roster_saved(is_stored),
            Event::FormerTermEnded { nonce, ordered_ms } => {
                self.former_term_ended(nonce, ordered_ms, now_ms);
            }
            Event::TermsSettled { is_stored } => self.terms_settled(is_stored, now_ms),
            Event::LeaderLeaseConfirmed { until_ms } => self.confirm_leader_lease(until_ms, now_ms),
            Event::Tick => {}
        }
    }

    /// Appends to `out` all actions that are due at `now_ms`.
    pub fn take_actions(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        self.expire_runners(now_ms);
        self.stop_stalled(now_ms);
        self.update_speeds(now_ms);
        self.send_due_orders(now_ms, out);
        // A term whose lease has lapsed during the takeover may have a successor already, which has
        // not read the jobs that this leader has.
        if self.is_term_confirmed && self.run_lease_ms(now_ms) >= MIN_START_LEASE_MS {
            self.place_ready_steps(now_ms, out);
        }
        self.adjust_pace(now_ms, out);
        self.save_roster(now_ms, out);
        self.save_progress(now_ms, out);
        self.settle_terms(now_ms, out);
        self.remove_expired_records(now_ms, out);
        self.read_unknown_jobs(now_ms, out);
        self.renew_leases(now_ms, out);
    }

    /// Duration of the leases that the leader may ask runners for now, in milliseconds; 0 if it may
    /// send no more orders.
    ///
    /// They end at most `bridge_ms` after the confirmed time of the leader's own lease: so long, a
    /// successor waits for the runners that have not answered it.
    fn run_lease_ms(&self, now_ms: u64) -> u64 {
        let bridged_until_ms = self.confirmed_until_ms + self.config.bridge_ms;
        self.config.run_lease_ms.min(bridged_until_ms.saturating_sub(now_ms))
    }

    /// State of a job as reported to callers; a final state is reported only once it is stored.
    pub fn state_of(&self, id: JobId) -> Option<JobState> {
        if let Some((state, _)) = self.ended.get(&id) {
            return Some(*state);
        }
        let job = &self.jobs[*self.job_keys.get(&id)?];
        let shown = if job.state.is_final() { JobState::Active } else { job.state };
        Some(shown)
    }

    /// Whom a known job belongs to.
    pub fn owner_of(&self, id: JobId) -> JobOwner {
        let job = self.job_keys.get(&id).and_then(|key| self.jobs.get(*key));
        let workspace = match job {
            Some(job) => job.submission.workspace.clone(),
            None => self.retention.workspace(id).cloned(),
        };
        JobOwner::from(workspace)
    }

    /// Number of accepted jobs in a queue of which no task has started.
    pub fn pending(&self, queue: &str) -> u64 {
        let waiting = self
            .jobs
            .values()
            .filter(|job| job.state == JobState::Queued && job.submission.queue == queue);
        waiting.count() as u64
    }

    /// Numbers of unfinished jobs, of tasks assigned to runners, and of usable runners.
    pub fn counts(&self, now_ms: u64) -> [usize; 3] {
        let assigned = self.runners.values().map(|runner| runner.assignments.len()).sum();
        let usable = self.runners.values().filter(|runner| runner.is_usable(now_ms)).count();
        [self.jobs.len(), assigned, usable]
    }

    /// Extends the confirmed time of the leader's lease.
    ///
    /// While the lease holds, no successor can have started the deferred jobs, so that they are
    /// submitted now.
    fn confirm_leader_lease(&mut self, until_ms: u64, now_ms: u64) {
        self.confirmed_until_ms = until_ms;
        if now_ms < until_ms {
            self.is_term_confirmed = true;
            for submission in std::mem::take(&mut self.deferred) {
                self.submit(submission, now_ms);
            }
        }
    }

    fn submit(&mut self, submission: Submission, now_ms: u64) {
        let id = submission.id;
        if !self.is_unknown(id) || self.retention.is_removed(id) {
            return;
        }
        let terms = self.newest_terms(&submission);
        let mut job = Job::new(submission, terms, now_ms);
        job.owner = self.shares.owner_of(job.submission.workspace.as_ref());
        let key = self.jobs.insert(job);
        self.shares.expect_charge(key);
        self.job_keys.insert(id, key);
        self.claim(id, now_ms);
        if self.early_cancels.remove(&id).is_some() {
            self.cancel(id, now_ms);
        }
    }

    /// The newest known terms of a job's queue: those of the directory, unless the host that accepted the
    /// job knew a newer one, or the queue is not declared any more.
    fn newest_terms(&self, submission: &Submission) -> Option<Arc<QueueTerms>> {
        let recorded = submission.terms.as_ref();
        let declared = self.directory.queue(&submission.queue);
        let is_newer = recorded.is_none_or(|terms| terms.version < self.directory.version);
        match declared.filter(|_| is_newer) {
            Some(queue) => Some(Arc::new(queue.terms(self.directory.version))),
            None => recorded.cloned(),
        }
    }

    /// Applies the declared queues to all jobs in progress. A job whose queue is not declared any more
    /// keeps the terms that it has.
    fn update_terms(&mut self, now_ms: u64) {
        let directory = Arc::clone(&self.directory);
        let queues = directory.queues.iter();
        let declared: HashMap<&str, Arc<QueueTerms>> = queues
            .map(|queue| (queue.name.as_str(), Arc::new(queue.terms(directory.version))))
            .collect();
        let mut exhausted = Vec::new();
        for (key, job) in &mut self.jobs {
            let Some(terms) = declared.get(job.submission.queue.as_str()) else { continue };
            if job.terms.as_ref().is_some_and(|known| known.version > terms.version) {
                continue;
            }
            job.set_terms(Some(Arc::clone(terms)));
            exhausted.extend(job.failed_tasks().map(|task| (key, task)));
        }
        for (key, task) in exhausted {
            self.fail_if_exhausted(key, task, now_ms);
        }
    }

    /// Ends a job once runs of the task have failed as often as its queue allows.
    fn fail_if_exhausted(&mut self, key: JobKey, task: TaskId, now_ms: u64) {
        if let Some((runs, allowed)) = self.jobs[key].exhausted_attempts(task) {
            let cause = EndCause::FailedRuns { task, runs, allowed };
            self.finish(key, JobState::Failed, &cause, now_ms);
        }
    }

    /// Adds a job that was read from the store when the term began.
    fn load(&mut self, submission: Submission, now_ms: u64) {
        let id = submission.id;
        self.newest_loaded_unix_ms = self.newest_loaded_unix_ms.max(submission.accepted_unix_ms);
        self.submit(submission, now_ms);
        if let Some(key) = self.job_keys.get(&id) {
            self.jobs[*key].is_loaded = true;
        }
    }

    fn load_progress(&mut self, id: JobId, progress: Progress, now_ms: u64) {
        let Some(key) = self.job_keys.get(&id).copied() else {
            self.keep_progress(id, progress, now_ms);
            return;
        };
        self.restore(key, &progress, now_ms);
    }

    fn restore(&mut self, key: JobKey, progress: &Progress, now_ms: u64) {
        if progress.state.is_final() {
            if let Some(job) = self.jobs.remove(key) {
                self.keep_departed(&job, progress);
                self.job_keys.remove(&job.submission.id);
                self.retention.keep_lost_runs(job.submission.id, &progress.lost);
                self.retention.keep_workspace(job.submission.id, job.submission.workspace);
                self.ended.insert(job.submission.id, (progress.state, now_ms));
            }
            return;
        }
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.restore(progress);
        if job.is_done() {
            self.finish(key, JobState::Completed, &EndCause::TasksDone, now_ms);
        }
        self.restore_suspects(key);
    }

    fn cancel(&mut self, id: JobId, now_ms: u64) {
        if self.ended.contains_key(&id) {
            return;
        }
        let Some(key) = self.job_keys.get(&id).copied() else {
            self.early_cancels.entry(id).or_insert(now_ms);
            return;
        };
        if !self.jobs[key].state.is_final() {
            self.finish(key, JobState::Canceled, &EndCause::Cancellation, now_ms);
        }
    }

    /// Sets the final state of a job and stops its remaining runs.
    fn finish(&mut self, key: JobKey, state: JobState, cause: &EndCause, now_ms: u64) {
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
            .with("cause", cause)
            .end();
        self.mark_dirty(key);
        for runner in self.runners.values_mut() {
            for (task, assignment) in &mut runner.assignments {
                if task.step.job == id {
                    assignment.stop(now_ms);
                }
            }
        }
    }

    /// Returns a fencing token that is higher than those of all earlier orders of the term.
    fn new_token(&mut self) -> u64 {
        self.last_token = self.max_token.min(self.last_token + 1);
        self.last_token
    }

    fn new_run(&mut self) -> u64 {
        self.last_run += 1;
        self.last_run
    }
}
