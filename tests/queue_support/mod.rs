//! Test harness for the queue scheduler: simulated runners that answer renewals, and a store.

#![allow(dead_code, missing_docs, unreachable_pub, reason = "support module for tests")]
#![allow(clippy::unwrap_used, reason = "tests panic on unexpected values")]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use hemlockrock::collections;
use hemlockrock::configs::queue::QueueConfig;
use hemlockrock::place::spec::Resources;
use hemlockrock::queue::model::{
    Admission, AdvicePolicy, EndedRun, JobId, JobState, OrderError, Queue, QueueDirectory, RunEnd,
    RunnerId, RunnerReport, RunnerStatus, RunningTask, Step, StepId, Submission, TaskId,
};
use hemlockrock::queue::record::{Progress, RosterEntry, RunLeases};
use hemlockrock::queue::scheduler::{
    Action, Event, OrderResult, RenewalOrder, RunnerKey, Scheduler, StartOrder, WriteKey,
};
use hemlockrock::queue::workspaces::{Workspace, Workspaces};

/// Maximum number of failed runs of a task in the test queue.
pub const ATTEMPTS: u32 = 3;

/// Name of a queue with a lower priority than the test queue `q`.
pub const LESS_URGENT_QUEUE: &str = "less-urgent";

/// Name of a queue with a lower priority than the test queue `q`, the admission policy of that queue
/// and the service [`OTHER_SERVICE`].
pub const OTHER_SERVICE_QUEUE: &str = "other-service";

/// Name of an urgent queue whose objective leaves little slack.
pub const TIGHT_QUEUE: &str = "tight";

/// Name of a queue of low priority whose objective leaves much slack.
pub const AMPLE_QUEUE: &str = "ample";

/// Name of a service beside that of the test queue.
pub const OTHER_SERVICE: &str = "t";

const BORN_MS: u64 = 1_000;
const LEASE_MS: u64 = 1_000;

/// A stop order of the scheduler.
#[derive(Clone, Debug)]
pub struct Stop {
    pub runner: RunnerKey,
    pub task: TaskId,
    pub run: u64,
}

#[derive(Debug, Default)]
struct FakeRunner {
    running: Vec<(TaskId, u64)>,
    ended: Vec<EndedRun>,
    acknowledged: u64,
    is_silent: bool,
    /// Whether the runs report no progress.
    is_stalled: bool,
    capacity: u64,
    /// Time at which the current incarnation of the runner started.
    started_ms: u64,
    /// Time that its clock showed then, in milliseconds.
    first_clock_ms: u64,
    /// Whether the runner is one of [`OTHER_SERVICE`].
    is_of_other_service: bool,
    labels: Vec<String>,
    /// Duration of runs relative to their estimate, in thousandths; see [`Harness::run_tasks`].
    duration_millis: u64,
}

impl FakeRunner {
    fn next_end(&self) -> u64 {
        self.ended.last().map_or(self.acknowledged, |last| last.number) + 1
    }
}

/// An advice service whose answer about a step and a runner never changes.
#[derive(Debug)]
struct FakeAdvice {
    admitted_percent: u64,
    /// Number of hosts that can ask it.
    hosts: usize,
    valid_ms: u64,
    /// Runners that may not run anything, whatever the share of admitted ones.
    refused: BTreeSet<RunnerId>,
    /// Answers, with the time at which they arrive.
    in_flight: Vec<(u64, Event)>,
}

impl FakeAdvice {
    fn ask(
        &mut self,
        step: StepId,
        advice_host: Arc<str>,
        runners: Vec<(RunnerKey, RunnerId)>,
        (sent_ms, expected_ms): (u64, u64),
    ) {
        let (asked, names): (Vec<RunnerKey>, Vec<RunnerId>) = runners.into_iter().unzip();
        let is_admitted = |id: &RunnerId| {
            let percent = collections::stable_hash(format!("{step} {id}")) % 100;
            percent < self.admitted_percent && !self.refused.contains(id)
        };
        let admitted = names.iter().filter(|id| is_admitted(id));
        let result = admitted.map(|id| Admission {
            runner: id.to_string(),
            ticket: format!("until {}", sent_ms + expected_ms + self.valid_ms),
        });
        let result = Some(result.collect());
        let answer = Event::AdviceFinished { step, advice_host, asked, sent_ms, result };
        self.in_flight.push((sent_ms + expected_ms, answer));
    }
}

/// A scheduler with simulated runners and a store that answer immediately.
pub struct Harness {
    pub scheduler: Scheduler,
    pub config: QueueConfig,
    pub now_ms: u64,
    /// All actions of the scheduler so far, without answered renewals.
    pub actions: Vec<Action>,
    runners: BTreeMap<RunnerId, FakeRunner>,
    starts: Vec<StartOrder>,
    stops: Vec<Stop>,
    /// Progress writes that are not answered until [`Harness::complete_saves`]; `None` answers each
    /// after `save_latency_ms`.
    delayed_saves: Option<Vec<WriteKey>>,
    /// Time that the store takes to answer a progress write, in milliseconds.
    pub save_latency_ms: u64,
    /// Progress writes in flight, with the time of their answer.
    saves_in_flight: Vec<(u64, WriteKey)>,
    renewal_sent_ms: BTreeMap<RunnerId, u64>,
    /// End of the lease at each runner, on its clock.
    leases: BTreeMap<RunnerId, u64>,
    /// Keys of the runners, as in the last renewal of each.
    runner_keys: BTreeMap<RunnerId, RunnerKey>,
    /// Fencing token of the last renewal of each runner.
    renewal_tokens: BTreeMap<RunnerId, u64>,
    /// Advice service; `None` if the queue has no admission policy.
    advice: Option<FakeAdvice>,
    /// Whether the leader's lease is confirmed again at each step.
    confirms_lease: bool,
    /// Version, admission policy and workspaces of the directory.
    declared: (u64, Option<AdvicePolicy>, Option<Workspaces>),
    /// Whether the directory names no queues.
    hides_queues: bool,
    /// The stored roster.
    roster: Vec<RosterEntry>,
    /// Whether the store refuses writes of the roster.
    refuses_roster: bool,
    /// Progress of each job that was written last.
    pub saved: BTreeMap<JobId, Progress>,
    /// Estimates of the submitted steps, in milliseconds; see [`Harness::submit`].
    estimates_ms: BTreeMap<StepId, u64>,
    /// Runs that [`Harness::run_tasks`] ends, with the time of the end.
    due_ends: Vec<(u64, StartOrder)>,
    /// Begin and end of the runs of [`Harness::run_tasks`], by run number.
    run_times_ms: BTreeMap<u64, (u64, u64)>,
}

/// A job in the test queue.
pub fn job(id: u64, steps: Vec<Step>) -> Submission {
    Submission {
        id: JobId(id),
        queue: "q".to_owned(),
        spec: Bytes::from_static(b"spec"),
        steps,
        accepted_unix_ms: 0,
        workspace: None,
        terms: None,
    }
}

/// A job of a workspace in the test queue.
pub fn job_of(id: u64, workspace: &str, steps: Vec<Step>) -> Submission {
    Submission { workspace: Some(workspace.into()), ..job(id, steps) }
}

/// A step of `count` tasks, each of which needs `cpu_millis` thousandths of a core.
pub fn step(count: u32, cpu_millis: u64) -> Step {
    let need = Resources::new(cpu_millis, 1, 0);
    Step { count, need, estimate_ms: 500, ..Step::default() }
}

/// Identifier of a task in the first occurrence of a job.
pub fn task(job: u64, step: u32, index: u32) -> TaskId {
    TaskId { step: StepId { job: JobId(job), occurrence: 0, step }, index }
}

impl Harness {
    pub fn new(token: u64) -> Self {
        Self::with_confirmation(token, true)
    }

    /// A leader whose lease has lapsed before it had read the records.
    pub fn new_unconfirmed(token: u64) -> Self {
        Self::with_confirmation(token, false)
    }

    /// A leader with other settings than the default ones.
    pub fn with_config(token: u64, config: QueueConfig) -> Self {
        Self::with_settings(token, true, config)
    }

    fn with_confirmation(token: u64, confirms_lease: bool) -> Self {
        Self::with_settings(token, confirms_lease, QueueConfig::default())
    }

    fn with_settings(token: u64, confirms_lease: bool, config: QueueConfig) -> Self {
        let mut harness = Self {
            scheduler: Scheduler::new(config.clone(), token),
            config,
            now_ms: 10_000,
            actions: Vec::new(),
            runners: BTreeMap::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            delayed_saves: None,
            save_latency_ms: 0,
            saves_in_flight: Vec::new(),
            renewal_sent_ms: BTreeMap::new(),
            leases: BTreeMap::new(),
            runner_keys: BTreeMap::new(),
            renewal_tokens: BTreeMap::new(),
            advice: None,
            confirms_lease,
            declared: (0, None, None),
            hides_queues: false,
            roster: Vec::new(),
            refuses_roster: false,
            saved: BTreeMap::new(),
            estimates_ms: BTreeMap::new(),
            due_ends: Vec::new(),
            run_times_ms: BTreeMap::new(),
        };
        harness.declare(1, None);
        harness
    }

    fn declare(&mut self, version: u64, advice: Option<AdvicePolicy>) {
        self.declared = (version, advice, self.declared.2.clone());
        let directory = self.directory();
        self.handle(Event::DirectoryUpdated(directory));
    }

    /// Declares workspaces by name, weight and limit.
    pub fn declare_workspaces(&mut self, workspaces: &[(&str, f64, Resources)]) {
        let declared = workspaces.iter().map(|(name, weight, limit)| {
            let workspace = Workspace { name: (*name).into(), weight: *weight, limit: *limit };
            (workspace, [format!("key of {name}")])
        });
        let (workspaces, findings) = Workspaces::new(declared);
        assert!(findings.is_empty(), "{findings:?}");
        self.declared.2 = Some(workspaces);
        self.declare(self.declared.0 + 1, self.declared.1);
    }

    fn directory(&self) -> Arc<QueueDirectory> {
        let (version, advice, workspaces) = self.declared.clone();
        let queue = Queue {
            name: "q".to_owned(),
            host: "h".to_owned(),
            prefix: "/q/".to_owned(),
            service: "s".to_owned(),
            priority: 0,
            max_attempts: ATTEMPTS,
            stretch: 2.0,
            target_latency_ms: 1_000,
            advice,
            is_public: false,
        };
        let less_urgent = Queue {
            name: LESS_URGENT_QUEUE.to_owned(),
            prefix: "/less-urgent/".to_owned(),
            priority: 1,
            advice: None,
            ..queue.clone()
        };
        let other_service = Queue {
            name: OTHER_SERVICE_QUEUE.to_owned(),
            prefix: "/other-service/".to_owned(),
            service: OTHER_SERVICE.to_owned(),
            priority: 1,
            ..queue.clone()
        };
        let tight = Queue {
            name: TIGHT_QUEUE.to_owned(),
            prefix: "/tight/".to_owned(),
            stretch: 1.5,
            target_latency_ms: 250,
            ..queue.clone()
        };
        let ample = Queue {
            name: AMPLE_QUEUE.to_owned(),
            prefix: "/ample/".to_owned(),
            priority: 2,
            stretch: 2.2,
            target_latency_ms: 1_200,
            ..queue.clone()
        };
        let queues = if self.hides_queues {
            Vec::new()
        } else {
            vec![queue, less_urgent, other_service, tight, ample]
        };
        Arc::new(QueueDirectory { version, queues, max_body_bytes: 1 << 18, workspaces })
    }

    /// Removes all queues in the next version of the declaration, or declares them again.
    pub fn hide_queues(&mut self, is_hidden: bool) {
        self.hides_queues = is_hidden;
        self.declare(self.declared.0 + 1, self.declared.1);
    }

    /// The job as a host records it that knows the declared queues.
    pub fn with_terms(&self, submission: Submission) -> Submission {
        let directory = self.directory();
        let queue = directory.queue(&submission.queue).unwrap();
        Submission { terms: Some(Arc::new(queue.terms(directory.version))), ..submission }
    }

    /// Replaces the leader by one that has read the records of these jobs and the roster, but has not
    /// read any runner yet.
    pub fn take_over(&mut self, token: u64, jobs: &[Submission]) {
        self.load_successor(token, jobs);
        self.scheduler.await_former_terms(None, self.now_ms);
        self.take_actions();
    }

    /// Like [`Harness::take_over`], after a leader that sent its last order just now.
    pub fn take_over_from_ended_term(&mut self, token: u64, jobs: &[Submission]) {
        const NONCE: u64 = 1;
        self.load_successor(token, jobs);
        self.scheduler.await_former_terms(Some([NONCE].into_iter().collect()), self.now_ms);
        let ordered_ms = self.now_ms;
        self.handle(Event::FormerTermEnded { nonce: NONCE, ordered_ms });
    }

    fn load_successor(&mut self, token: u64, jobs: &[Submission]) {
        self.scheduler = Scheduler::new(self.config.clone(), token);
        self.actions.clear();
        self.starts.clear();
        self.stops.clear();
        self.saves_in_flight.clear();
        let mut events = vec![Event::DirectoryUpdated(self.directory())];
        for id in self.runners.keys() {
            events.push(Event::RunnerListed(self.report(id, false)));
        }
        events.extend(self.roster.iter().cloned().map(Event::RosterEntryLoaded));
        events.extend(jobs.iter().cloned().map(Event::JobLoaded));
        let saved = self.saved.iter();
        events.extend(saved.map(|(id, progress)| Event::ProgressLoaded(*id, progress.clone())));
        for event in events {
            self.scheduler.handle_event(event, self.now_ms);
        }
    }

    /// Lets a start order take effect although the scheduler gets no answer.
    pub fn run_unanswered(&mut self, start: &StartOrder) {
        self.begin_run(start);
        self.answer_start(start, Err(OrderError::Unanswered));
    }

    /// Lets a start order take effect.
    pub fn begin_run(&mut self, start: &StartOrder) {
        let runner = self.runners.get_mut(&start.target.0).unwrap();
        if !runner.running.contains(&(start.task, start.run)) {
            runner.running.push((start.task, start.run));
        }
    }

    /// Runs that are in progress, with their runners.
    pub fn runs(&self) -> Vec<(RunnerId, TaskId, u64)> {
        let runs = self.runners.iter().flat_map(|(id, runner)| {
            runner.running.iter().map(|(task, run)| (RunnerId::clone(id), *task, *run))
        });
        runs.collect()
    }

    /// Ends the runs of runners whose lease has expired on their clock.
    pub fn lapse_runs(&mut self) {
        let lapsed: Vec<RunnerId> = self
            .runners
            .keys()
            .filter(|id| self.clock_ms(id) >= self.lease_until_ms(id))
            .cloned()
            .collect();
        for id in lapsed {
            let runner = self.runners.get_mut(&id).unwrap();
            for (task, run) in std::mem::take(&mut runner.running) {
                let number = runner.next_end();
                let end = RunEnd::Lapsed;
                runner.ended.push(EndedRun { number, task, run, end, checkpoint: Bytes::new() });
            }
        }
    }

    /// Number of the next ended run of a runner.
    pub fn next_end(&self, id: &str) -> u64 {
        self.runners[id].next_end()
    }

    pub fn is_silent(&self, id: &str) -> bool {
        self.runners[id].is_silent
    }

    /// Gives the queue an admission policy that admits `admitted_percent` of the runners, and
    /// `hosts` that can ask for advice.
    pub fn require_advice(&mut self, policy: AdvicePolicy, admitted_percent: u64, hosts: usize) {
        self.declare(2, Some(policy));
        let valid_ms = policy.valid_ms;
        let (refused, in_flight) = (BTreeSet::new(), Vec::new());
        self.advice = Some(FakeAdvice { admitted_percent, hosts, valid_ms, refused, in_flight });
        self.send_heartbeats();
    }

    /// Makes the advice service refuse the runner in its answers to later calls, or no longer.
    pub fn refuse_runner(&mut self, id: &str, is_refused: bool) {
        let refused = &mut self.advice.as_mut().unwrap().refused;
        if is_refused {
            refused.insert(RunnerId::from(id));
        } else {
            refused.remove(id);
        }
    }

    fn send_heartbeats(&mut self) {
        let hosts = self.advice.as_ref().map_or(0, |advice| advice.hosts);
        for host in 0..hosts {
            let address = Arc::from(format!("host-{host}:1"));
            self.scheduler.handle_event(Event::AdviceHostSeen { address }, self.now_ms);
        }
    }

    fn answer_due_advice(&mut self) {
        let now_ms = self.now_ms;
        let Some(advice) = &mut self.advice else { return };
        let in_flight = std::mem::take(&mut advice.in_flight);
        let (due, later) = in_flight.into_iter().partition(|(due_ms, _)| *due_ms <= now_ms);
        advice.in_flight = later;
        let due: Vec<(u64, Event)> = due;
        for (_, event) in due {
            self.scheduler.handle_event(event, now_ms);
        }
        self.send_heartbeats();
    }

    /// Creates a harness with these runners and submits job 1; returns the resulting start orders.
    pub fn with_job(runners: &[(&str, u64)], steps: Vec<Step>) -> (Self, Vec<StartOrder>) {
        let mut harness = Self::new(1);
        for (id, capacity) in runners {
            harness.add_runner(id, *capacity);
        }
        harness.handle(Event::JobSubmitted(job(1, steps)));
        let starts = harness.starts();
        (harness, starts)
    }

    fn report(&self, id: &str, is_draining: bool) -> RunnerReport {
        let service = if self.runners[id].is_of_other_service { OTHER_SERVICE } else { "s" };
        RunnerReport {
            id: RunnerId::from(id),
            address: format!("{id}:1"),
            zone: "z".to_owned(),
            service: service.to_owned(),
            is_draining,
            leaves_in_ms: None,
            labels: self.runners[id].labels.clone(),
            capacity: Resources::new(self.runners[id].capacity, 1 << 30, 0),
            started_unix_ms: BORN_MS + self.runners[id].started_ms,
        }
    }

    pub fn add_runner(&mut self, id: &str, capacity: u64) {
        self.add_runner_with_runs(id, capacity, Vec::new());
    }

    /// Adds a runner of [`OTHER_SERVICE`].
    pub fn add_runner_of_other_service(&mut self, id: &str, capacity: u64) {
        let is_of_other_service = true;
        let runner = FakeRunner { capacity, is_of_other_service, ..FakeRunner::default() };
        self.runners.insert(RunnerId::from(id), runner);
        let report = self.report(id, false);
        self.handle(Event::RunnerListed(report));
        self.advance(20);
    }

    /// Adds a runner with labels, on which runs take `duration_millis` thousandths of their estimate.
    pub fn add_labelled_runner(
        &mut self,
        id: &str,
        capacity: u64,
        labels: &[&str],
        duration_millis: u64,
    ) {
        let labels = labels.iter().map(|label| (*label).to_owned()).collect();
        let runner = FakeRunner { capacity, labels, duration_millis, ..FakeRunner::default() };
        self.runners.insert(RunnerId::from(id), runner);
        let report = self.report(id, false);
        self.handle(Event::RunnerListed(report));
        self.advance(20);
    }

    /// Submits a job whose runs [`Harness::run_tasks`] can end.
    pub fn submit(&mut self, submission: Submission) {
        for (number, step) in (0..).zip(&submission.steps) {
            let id = StepId { job: submission.id, occurrence: 0, step: number };
            self.estimates_ms.insert(id, step.estimate_ms);
        }
        self.handle(Event::JobSubmitted(submission));
    }

    /// Advances the time, confirms each start, and ends each run as done once its estimate is over,
    /// times the duration factor of its runner and `duration_millis` of the task. Returns the starts.
    pub fn run_tasks(
        &mut self,
        ms: u64,
        duration_millis: impl Fn(TaskId) -> u64,
    ) -> Vec<StartOrder> {
        const STEP_MS: u64 = 10;
        const MICRO: u64 = 1_000_000;
        let mut started = Vec::new();
        for _ in 0..ms / STEP_MS {
            self.advance(STEP_MS);
            let starts = self.starts();
            self.answer_starts(&starts);
            for start in &starts {
                let estimate_ms = self.estimates_ms[&start.task.step];
                let factor = self.runners[&start.target.0].duration_millis;
                let run_ms = estimate_ms * factor * duration_millis(start.task) / MICRO;
                self.due_ends.push((self.now_ms + run_ms, start.clone()));
                self.run_times_ms.insert(start.run, (self.now_ms, self.now_ms + run_ms));
            }
            started.extend(starts);
            let stops = self.stops();
            for stop in stops {
                self.due_ends.retain(|(_, start)| start.run != stop.run);
                self.end_stopped_run(&stop);
            }
            let now_ms = self.now_ms;
            let ends = std::mem::take(&mut self.due_ends);
            let (due, later) = ends.into_iter().partition(|(due_ms, _)| *due_ms <= now_ms);
            self.due_ends = later;
            let due: Vec<(u64, StartOrder)> = due;
            for (_, start) in due {
                self.end_run(start.runner, start.task, start.run, RunEnd::Done);
            }
        }
        started
    }

    /// Answers a stop order, and ends the run, which its runner reports with the next renewal.
    pub fn end_stopped_run(&mut self, stop: &Stop) {
        self.answer_stop(stop, Ok(()));
        self.end_run(stop.runner, stop.task, stop.run, RunEnd::Stopped);
    }

    /// Ends a run at its runner, which reports it with the next renewal.
    pub fn end_run(&mut self, key: RunnerKey, task: TaskId, run: u64, end: RunEnd) {
        let id = self.runner_keys.iter().find(|(_, known)| **known == key);
        let id = RunnerId::clone(id.unwrap().0);
        let runner = self.runners.get_mut(&id).unwrap();
        if !runner.running.contains(&(task, run)) {
            return;
        }
        runner.running.retain(|running| *running != (task, run));
        let number = runner.ended.last().map_or(runner.acknowledged, |last| last.number) + 1;
        runner.ended.push(EndedRun { number, task, run, end, checkpoint: Bytes::new() });
    }

    /// Adds a runner with runs that a previous leader started.
    pub fn add_runner_with_runs(&mut self, id: &str, capacity: u64, running: Vec<(TaskId, u64)>) {
        self.add_runner_with_ended_runs(id, capacity, running, Vec::new());
    }

    /// Adds a runner with runs that a previous leader started, of which those in `done` have ended.
    pub fn add_runner_with_ended_runs(
        &mut self,
        id: &str,
        capacity: u64,
        running: Vec<(TaskId, u64)>,
        done: Vec<(TaskId, u64)>,
    ) {
        let ended = (1..).zip(done).map(|(number, (task, run))| EndedRun {
            number,
            task,
            run,
            end: RunEnd::Done,
            checkpoint: Bytes::new(),
        });
        let ended = ended.collect();
        let runner = FakeRunner { capacity, running, ended, ..FakeRunner::default() };
        self.runners.insert(RunnerId::from(id), runner);
        let report = self.report(id, false);
        self.handle(Event::RunnerListed(report));
        self.advance(20);
    }

    pub fn drain_runner(&mut self, id: &str) {
        let report = self.report(id, true);
        self.handle(Event::RunnerListed(report));
    }

    /// Adds a runner that the stored roster names but that has no record yet.
    pub fn add_unlisted_runner(&mut self, id: &str, capacity: u64, running: Vec<(TaskId, u64)>) {
        let runner = FakeRunner { capacity, running, ..FakeRunner::default() };
        self.runners.insert(RunnerId::from(id), runner);
        self.handle(Event::RosterEntryLoaded(self.roster_entry(id)));
        self.advance(100);
    }

    /// Roster entry of a runner that runs under usual leases.
    pub fn roster_entry(&self, id: &str) -> RosterEntry {
        RosterEntry {
            id: id.to_owned(),
            address: format!("{id}:1"),
            started_unix_ms: self.report(id, false).started_unix_ms,
            leases: RunLeases::Usual,
        }
    }

    /// Publishes the record of a runner.
    pub fn list_runner(&mut self, id: &str) {
        let report = self.report(id, false);
        self.handle(Event::RunnerListed(report));
    }

    /// Changes the capacity in the record of a runner.
    pub fn resize_runner(&mut self, id: &str, capacity: Resources) {
        let report = RunnerReport { capacity, ..self.report(id, false) };
        self.handle(Event::RunnerListed(report));
    }

    /// Removes the record of a runner.
    pub fn unlist_runner(&mut self, id: &str) {
        self.handle(Event::RunnerUnlisted(RunnerId::from(id)));
    }

    /// Fencing token of the last renewal that was sent to a runner.
    pub fn last_token(&self, id: &str) -> u64 {
        self.renewal_tokens.get(id).copied().unwrap_or_default()
    }

    /// Changes the address in the record of a runner.
    pub fn move_runner(&mut self, id: &str, address: &str) {
        let report = RunnerReport { address: address.to_owned(), ..self.report(id, false) };
        self.handle(Event::RunnerListed(report));
    }

    /// Names of the runners in the last roster that was written.
    pub fn stored_roster(&self) -> Vec<String> {
        let rosters = self.actions.iter().rev().find_map(|action| match action {
            Action::SaveRoster(entries) => Some(entries),
            _ => None,
        });
        let mut names: Vec<String> =
            rosters.into_iter().flatten().map(|entry| entry.id.clone()).collect();
        names.sort_unstable();
        names
    }

    /// Makes a runner stop answering.
    pub fn make_silent(&mut self, id: &str) {
        self.runners.get_mut(id).unwrap().is_silent = true;
    }

    /// Makes a runner stop answering and breaks its connections, so that the pending renewal fails.
    pub fn cut_off_runner(&mut self, id: &str) {
        self.make_silent(id);
        self.renew(id);
    }

    /// Lists a new runner at the address of one that has crashed.
    pub fn replace_runner(&mut self, id: &str, address: &str) {
        let capacity = self.runners[id].capacity;
        let name = RunnerId::from(format!("{id}'"));
        let runner = FakeRunner { capacity, started_ms: self.now_ms, ..FakeRunner::default() };
        self.runners.insert(RunnerId::clone(&name), runner);
        let report = self.report(&name, false);
        self.handle(Event::RunnerListed(RunnerReport { address: address.to_owned(), ..report }));
    }

    /// Makes a silent runner answer again.
    pub fn make_responsive(&mut self, id: &str) {
        self.runners.get_mut(id).unwrap().is_silent = false;
    }

    /// Starts a runner again under the same name: it runs nothing and numbers its ends from 1. The
    /// pending renewal is not answered.
    pub fn restart_runner(&mut self, id: &str) {
        self.restart_runner_with_clock(id, 0);
    }

    /// Like [`Harness::restart_runner`]; the clock of the new incarnation begins at `first_clock_ms`.
    pub fn restart_runner_with_clock(&mut self, id: &str, first_clock_ms: u64) {
        self.make_silent(id);
        self.renew(id);
        let (capacity, started_ms) = (self.runners[id].capacity, self.now_ms);
        let runner = FakeRunner { capacity, started_ms, first_clock_ms, ..FakeRunner::default() };
        self.runners.insert(RunnerId::from(id), runner);
    }

    /// Makes the store refuse all further writes of the roster, or no longer.
    pub fn refuse_roster_writes(&mut self, is_refused: bool) {
        self.refuses_roster = is_refused;
    }

    /// The runner's clock, in milliseconds.
    fn clock_ms(&self, id: &str) -> u64 {
        let runner = &self.runners[id];
        runner.first_clock_ms + self.now_ms - runner.started_ms
    }

    /// Makes the runs of a runner report no more progress.
    pub fn stall_runs(&mut self, id: &str) {
        self.runners.get_mut(id).unwrap().is_stalled = true;
    }

    /// Adds a run that the scheduler did not start to a runner.
    pub fn run_at(&mut self, id: &str, task: TaskId, run: u64) {
        self.runners.get_mut(id).unwrap().running.push((task, run));
        self.renew(id);
    }

    /// Ends a run on a runner; `number` is the sequence number of the end.
    pub fn end_at(&mut self, id: &str, number: u64, task: TaskId, run: u64, end: RunEnd) {
        let runner = self.runners.get_mut(id).unwrap();
        runner.running.retain(|running| *running != (task, run));
        runner.ended.push(EndedRun { number, task, run, end, checkpoint: Bytes::new() });
        self.renew(id);
    }

    /// Ends a run that was started and reports it to the scheduler.
    pub fn end(&mut self, start: &StartOrder, end: RunEnd) {
        let id = start.target.0.clone();
        let runner = &self.runners[&id];
        let number = runner.ended.last().map_or(runner.acknowledged, |last| last.number) + 1;
        self.end_at(&id, number, start.task, start.run, end);
        self.advance(100);
    }

    /// Like [`Harness::end`], but without confirming the leader's lease.
    pub fn end_without_confirmation(&mut self, start: &StartOrder, end: RunEnd) {
        self.confirms_lease = false;
        self.end(start, end);
    }

    /// Adds a runner that is listed but never answers.
    pub fn add_silent_runner(&mut self, id: &str, capacity: u64) {
        let runner = FakeRunner { capacity, is_silent: true, ..FakeRunner::default() };
        self.runners.insert(RunnerId::from(id), runner);
        let report = self.report(id, false);
        self.handle(Event::RunnerListed(report));
        self.advance(20);
    }

    /// Status that a runner would report now.
    pub fn status(&self, id: &str) -> RunnerStatus {
        let runner = &self.runners[id];
        #[allow(clippy::cast_precision_loss, reason = "a percentage tolerates rounding")]
        let progress = (self.now_ms % 100_000) as f64 / 1_000.0;
        let running = runner.running.iter().map(|(task, run)| RunningTask {
            task: *task,
            run: *run,
            checkpoint: Bytes::new(),
            percent: match self.run_times_ms.get(run) {
                _ if runner.is_stalled => 10.0,
                Some((begun_ms, end_ms)) => {
                    let total_ms = (end_ms - begun_ms).max(1);
                    (self.now_ms - begun_ms) as f64 * 100.0 / total_ms as f64
                }
                None => progress,
            },
            load: 0.0,
        });
        RunnerStatus {
            started_unix_ms: BORN_MS + runner.started_ms,
            clock_ms: self.clock_ms(id),
            running: running.collect(),
            ended: runner.ended.clone(),
        }
    }

    /// Answers the pending renewal of a runner, if there is one.
    fn renew(&mut self, id: &str) {
        let waiting = self.actions.iter().rposition(
            |action| matches!(action, Action::RenewLease(renewal) if &*renewal.target.0 == id),
        );
        let Some(Action::RenewLease(renewal)) = waiting.map(|at| self.actions[at].clone()) else {
            return;
        };
        self.answer_renewal(&renewal);
    }

    /// Answers the pending renewal of a runner with a status from an earlier time.
    pub fn answer_renewal_with(&mut self, id: &str, status: RunnerStatus) {
        let pending = self.actions.iter().rposition(
            |action| matches!(action, Action::RenewLease(renewal) if &*renewal.target.0 == id),
        );
        let Action::RenewLease(renewal) = self.actions.remove(pending.unwrap()) else { return };
        let sent_ms = self.renewal_sent_ms.get(id).copied().unwrap_or(self.now_ms);
        let (runner, result) = (renewal.runner, Ok(status));
        self.handle(Event::RenewalFinished { runner, sent_ms, result });
    }

    fn answer_renewal(&mut self, renewal: &RenewalOrder) {
        let id = renewal.target.0.clone();
        let Some(runner) = self.runners.get_mut(&id) else { return };
        let result = if runner.is_silent {
            Err(OrderError::Unanswered)
        } else {
            runner.acknowledged = runner.acknowledged.max(renewal.acknowledged);
            runner.ended.retain(|ended| ended.number > renewal.acknowledged);
            Ok(self.status(&id))
        };
        self.actions.retain(
            |action| !matches!(action, Action::RenewLease(known) if known.runner == renewal.runner),
        );
        let sent_ms = self.renewal_sent_ms.get(&id).copied().unwrap_or(self.now_ms);
        self.handle(Event::RenewalFinished { runner: renewal.runner, sent_ms, result });
    }

    pub fn handle(&mut self, event: Event) {
        self.scheduler.handle_event(event, self.now_ms);
        self.take_actions();
    }

    fn take_actions(&mut self) {
        if self.confirms_lease {
            let until_ms = self.now_ms + LEASE_MS;
            self.scheduler.handle_event(Event::LeaderLeaseConfirmed { until_ms }, self.now_ms);
        }
        let mut out = Vec::new();
        self.scheduler.take_actions(self.now_ms, &mut out);
        for action in out {
            match action.clone() {
                Action::Start(order) => {
                    self.extend_lease(&order.target.0, order.until_ms);
                    self.starts.push(order);
                }
                Action::Stop { runner, task, run, .. } => {
                    self.stops.push(Stop { runner, task, run });
                }
                Action::SaveProgress { write, records } => {
                    let records = records.into_iter().map(|record| (record.job, record.progress));
                    self.saved.extend(records);
                    self.save_progress(write);
                }
                Action::RequestAdvice { step, advice_host, runners, expected_ms } => {
                    let advice = self.advice.as_mut().unwrap();
                    advice.ask(step, advice_host, runners, (self.now_ms, expected_ms));
                }
                Action::SaveRoster(entries) => {
                    let is_stored = !self.refuses_roster;
                    if is_stored {
                        self.roster = entries;
                    }
                    self.scheduler.handle_event(Event::RosterSaved { is_stored }, self.now_ms);
                }
                Action::RenewLease(renewal) => {
                    let id = renewal.target.0;
                    self.runner_keys.insert(RunnerId::clone(&id), renewal.runner);
                    self.extend_lease(&id, renewal.until_ms.unwrap_or_default());
                    self.renewal_tokens.insert(RunnerId::clone(&id), renewal.token);
                    self.renewal_sent_ms.insert(id, self.now_ms);
                }
                _ => {}
            }
            self.actions.push(action);
        }
    }

    fn extend_lease(&mut self, id: &RunnerId, until_ms: u64) {
        let lease = self.leases.entry(RunnerId::clone(id)).or_default();
        *lease = until_ms.max(*lease);
    }

    fn save_progress(&mut self, write: WriteKey) {
        if let Some(delayed) = &mut self.delayed_saves {
            delayed.push(write);
        } else if self.save_latency_ms > 0 {
            self.saves_in_flight.push((self.now_ms + self.save_latency_ms, write));
        } else {
            self.answer_save(write);
        }
    }

    fn answer_save(&mut self, write: WriteKey) {
        let saved = Event::ProgressSaved { write, is_stored: true };
        self.scheduler.handle_event(saved, self.now_ms);
    }

    fn answer_due_saves(&mut self) {
        let now_ms = self.now_ms;
        let in_flight = std::mem::take(&mut self.saves_in_flight);
        let (due, later) = in_flight.into_iter().partition(|(due_ms, _)| *due_ms <= now_ms);
        self.saves_in_flight = later;
        let due: Vec<(u64, WriteKey)> = due;
        for (_, write) in due {
            self.answer_save(write);
        }
    }

    /// Advances the time; a renewal is answered when its wait is over or a run has ended.
    pub fn advance(&mut self, ms: u64) {
        const STEP_MS: u64 = 10;
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.now_ms = end_ms.min(self.now_ms + STEP_MS);
            self.answer_due_saves();
            self.answer_due_advice();
            self.take_actions();
            let due: Vec<RenewalOrder> = self
                .actions
                .iter()
                .filter_map(|action| match action {
                    Action::RenewLease(renewal)
                        if self.is_due(renewal) || self.has_ended_runs(&renewal.target.0) =>
                    {
                        Some(renewal.clone())
                    }
                    _ => None,
                })
                .collect();
            for renewal in due {
                self.answer_renewal(&renewal);
            }
        }
    }

    /// Lets all runners that answer report their status now.
    pub fn read_runners(&mut self) {
        let keys: Vec<(RunnerId, RunnerKey)> =
            self.runner_keys.iter().map(|(id, key)| (RunnerId::clone(id), *key)).collect();
        for (id, runner) in keys {
            if !self.runners[&id].is_silent {
                let (sent_ms, result) = (self.now_ms, Ok(self.status(&id)));
                self.handle(Event::RenewalFinished { runner, sent_ms, result });
            }
        }
    }

    /// Advances the time by `ms`, or until a start order has been sent.
    pub fn advance_until_start(&mut self, ms: u64) {
        const STEP_MS: u64 = 10;
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms && self.starts.is_empty() {
            self.advance(STEP_MS.min(end_ms - self.now_ms));
        }
    }

    fn is_due(&self, renewal: &RenewalOrder) -> bool {
        let sent_ms = self.renewal_sent_ms.get(&renewal.target.0).copied().unwrap_or_default();
        self.now_ms >= sent_ms + renewal.wait_ms
    }

    fn has_ended_runs(&self, id: &str) -> bool {
        self.runners.get(id).is_some_and(|runner| !runner.ended.is_empty())
    }

    /// Advances the time and confirms each start order within 100 ms.
    pub fn advance_answering_starts(&mut self, ms: u64) {
        const STEP_MS: u64 = 100;
        for _ in 0..ms / STEP_MS {
            self.advance(STEP_MS);
            let starts = self.starts();
            self.answer_starts(&starts);
        }
    }

    pub fn confirm_lease_until(&mut self, until_ms: u64) {
        self.confirms_lease = false;
        self.scheduler.handle_event(Event::LeaderLeaseConfirmed { until_ms }, self.now_ms);
    }

    pub fn advance_without_confirmation(&mut self, ms: u64) {
        self.confirms_lease = false;
        self.advance(ms);
    }

    pub fn delay_saves(&mut self) {
        self.delayed_saves = Some(Vec::new());
    }

    pub fn complete_saves(&mut self) {
        for write in self.delayed_saves.take().unwrap_or_default() {
            self.handle(Event::ProgressSaved { write, is_stored: true });
        }
        self.advance(100);
    }

    /// Start orders since the last call.
    pub fn starts(&mut self) -> Vec<StartOrder> {
        std::mem::take(&mut self.starts)
    }

    /// Whether the start orders since the last call of [`Harness::starts`] include one of a task.
    pub fn has_started(&self, task: TaskId) -> bool {
        self.starts.iter().any(|start| start.task == task)
    }

    /// Stop orders since the last call.
    pub fn stops(&mut self) -> Vec<Stop> {
        std::mem::take(&mut self.stops)
    }

    pub fn answer_starts(&mut self, starts: &[StartOrder]) {
        for start in starts {
            self.answer_start(start, Ok(()));
        }
    }

    pub fn answer_start(&mut self, start: &StartOrder, result: Result<(), OrderError>) {
        if result.is_ok() {
            let runner = self.runners.get_mut(&start.target.0).unwrap();
            runner.running.push((start.task, start.run));
        }
        let StartOrder { runner, task, run, .. } = *start;
        let sent_ms = self.now_ms;
        let clock_ms = result.is_ok().then(|| self.clock_ms(&start.target.0));
        let ordered = OrderResult { runner, task, run, is_stop: false, sent_ms, clock_ms, result };
        self.handle(Event::OrderFinished(ordered));
    }

    pub fn answer_stop(&mut self, stop: &Stop, result: Result<(), OrderError>) {
        let Stop { runner, task, run } = *stop;
        let sent_ms = self.now_ms;
        let clock_ms = None;
        let ordered = OrderResult { runner, task, run, is_stop: true, sent_ms, clock_ms, result };
        self.handle(Event::OrderFinished(ordered));
    }

    pub fn state(&self, job: u64) -> Option<JobState> {
        self.scheduler.state_of(JobId(job))
    }

    /// End of the lease at a runner that has not been restarted.
    pub fn lease_until_ms(&self, id: &str) -> u64 {
        self.leases.get(id).copied().unwrap_or_default()
    }

    /// Number of the last ended run that the scheduler acknowledged to a runner.
    pub fn acknowledged(&self, id: &str) -> u64 {
        self.runners[id].acknowledged
    }
}
