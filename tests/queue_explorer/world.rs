//! One simulated cell: hosts, runners and a store, driven by an agenda in virtual time.

use hemlockrock::configs::queue::QueueConfig;
use hemlockrock::queue::model::JobState;
use hemlockrock::queue::scheduler::{Action, Event};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

use super::agenda::{Agenda, Occurrence, Process, Timer};
use super::call::Order;
use super::checks::Checks;
use super::faults::Faults;
use super::host::{self, Host, Term};
use super::lateness::Lateness;
use super::load::{self, Plan};
use super::runner::Runner;
use super::store::{Key, Store, Value};
use super::trace::{Subject, Trace};

/// Start of the simulated time, in milliseconds.
const BEGIN_MS: u64 = 10_000;

/// Time within which jobs arrive, in milliseconds.
const ARRIVALS_MS: u64 = 14_000;

/// Time after which there are no more faults, in milliseconds.
const FAULTS_MS: u64 = 18_000;

/// Time after the faults for which late calls may still arrive, in milliseconds.
const LATE_CALLS_MS: u64 = 13_000;

/// Time after the faults in which all jobs have to end, in milliseconds.
const SETTLE_MS: u64 = 60_000;

/// Time within which long-running jobs arrive, in milliseconds.
const LONG_RUNNING_ARRIVALS_MS: u64 = 4_000;

/// Time after the faults from which on and until which long-running jobs are cancelled, in
/// milliseconds.
const LONG_RUNNING_ENDS_MS: (u64, u64) = (11_000, LATE_CALLS_MS);

/// Number of runners that a world has in addition if some go for good.
const SPARE_RUNNERS: usize = 2;

/// Longest time between two scheduler passes with and without jobs or tasks, in milliseconds.
const TICK_MS: (u64, u64) = (25, 200);

/// Time after which a submission that found no host is tried again, in milliseconds.
const SUBMISSION_RETRY_MS: u64 = 200;

/// State of a cell.
#[derive(Debug)]
pub(super) struct World {
    pub(super) now_ms: u64,
    pub(super) rng: SmallRng,
    /// Draws the losses of runners and the long-running jobs; worlds without them do not depend on
    /// it.
    pub(super) loss_rng: SmallRng,
    pub(super) faults: Faults,
    pub(super) config: QueueConfig,
    pub(super) agenda: Agenda,
    pub(super) store: Store,
    /// Time until which the store does not answer.
    pub(super) store_away_until_ms: u64,
    pub(super) hosts: Vec<Host>,
    pub(super) runners: Vec<Runner>,
    pub(super) plans: Vec<Plan>,
    pub(super) checks: Checks,
    pub(super) lateness: Lateness,
    pub(super) trace: Trace,
    pub(super) call_count: u64,
    /// Number of terms that hosts have campaigned for.
    pub(super) term_count: u64,
}

impl World {
    pub(super) fn new(seed: u64, faults: Faults, is_traced: bool) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let host_count = rng.random_range(2..=3);
        let mut runner_count = rng.random_range(2..=4);
        let mut plans = load::jobs(&mut rng, (BEGIN_MS + 300, BEGIN_MS + ARRIVALS_MS));
        let mut loss_rng = SmallRng::seed_from_u64(!seed);
        if faults.loss_percent > 0 || faults.loss_gap_ms > 0 {
            runner_count += SPARE_RUNNERS;
        }
        if faults.has_long_runs {
            let from_ms = BEGIN_MS + 300;
            let ends_ms = BEGIN_MS + FAULTS_MS;
            plans.extend(load::long_running_jobs(
                &mut loss_rng,
                (from_ms, from_ms + LONG_RUNNING_ARRIVALS_MS),
                (ends_ms + LONG_RUNNING_ENDS_MS.0, ends_ms + LONG_RUNNING_ENDS_MS.1),
            ));
        }
        if faults.has_workspaces {
            plans.iter_mut().for_each(load::add_workspace);
        }
        let mut world = Self {
            now_ms: BEGIN_MS,
            rng,
            loss_rng,
            faults,
            config: QueueConfig::default(),
            agenda: Agenda::default(),
            store: Store::default(),
            store_away_until_ms: 0,
            hosts: (0..host_count).map(|_| Host::new()).collect(),
            runners: Vec::new(),
            plans,
            checks: Checks::default(),
            lateness: Lateness::default(),
            trace: Trace::new(is_traced),
            call_count: 0,
            term_count: 0,
        };
        world.add_runners(runner_count);
        world.plan_submissions();
        for host in 0..host_count {
            world.start_timer(host, Timer::Leader, 1 + 20 * host as u64);
        }
        world.plan_faults();
        world
    }

    /// Runs until all jobs have ended and no late call is left, and judges the stored states.
    pub(super) fn run(&mut self) {
        let settled_ms = BEGIN_MS + FAULTS_MS + LATE_CALLS_MS;
        while let Some((at_ms, occurrence)) = self.agenda.next() {
            self.sample_waiting_tasks(at_ms);
            self.now_ms = at_ms;
            if at_ms > BEGIN_MS + FAULTS_MS + SETTLE_MS || at_ms > settled_ms && self.has_settled()
            {
                break;
            }
            self.dispatch(occurrence);
        }
        for plan in &self.plans {
            let job = plan.submission.id;
            let state = self.store.progress(job).map(|progress| progress.state);
            self.checks.finish(job, state, self.now_ms);
        }
    }

    fn has_settled(&self) -> bool {
        self.plans.iter().all(|plan| {
            self.store.progress(plan.submission.id).is_some_and(|known| known.state.is_final())
        })
    }

    pub(super) fn has_faults(&self) -> bool {
        self.now_ms < BEGIN_MS + FAULTS_MS
    }

    pub(super) fn note(&mut self, subject: Subject, text: impl FnOnce() -> String) {
        self.trace.add(self.now_ms, subject, text);
    }

    /// Plans an occurrence after a delay.
    pub(super) fn plan(&mut self, delay_ms: u64, occurrence: Occurrence) {
        self.agenda.plan(self.now_ms + delay_ms, occurrence);
    }

    fn add_runners(&mut self, count: usize) {
        for runner in 0..count {
            let born_ms = self.rng.random_range(0..BEGIN_MS);
            let capacity_millis = 2_000 * self.rng.random_range(1..=2_u64);
            let rate_millis = self.rng.random_range(980..=1_000);
            self.runners.push(Runner::new(capacity_millis, rate_millis, 1, born_ms));
            self.publish_runner(runner, 1);
        }
    }

    fn plan_submissions(&mut self) {
        for plan in 0..self.plans.len() {
            self.agenda.plan(self.plans[plan].arrives_ms, Occurrence::Submission(plan));
            if let Some(canceled_ms) = self.plans[plan].canceled_ms {
                self.agenda.plan(canceled_ms, Occurrence::Cancellation(plan));
            }
        }
    }

    /// Lets an occurrence take place, or delays it while its host is frozen.
    fn dispatch(&mut self, occurrence: Occurrence) {
        if let Some(host) = occurrence.host() {
            let thaws_ms = self.hosts[host].frozen_until_ms;
            if self.now_ms < thaws_ms {
                self.agenda.plan(thaws_ms, occurrence);
                return;
            }
        }
        match occurrence {
            Occurrence::Submission(plan) => self.submit(plan),
            Occurrence::Cancellation(plan) => self.cancel(plan),
            Occurrence::Announcement { host, key } => self.announce(host, key),
            Occurrence::Pass(process) => self.pass(process),
            Occurrence::Timer(process, timer) => self.timer(process, timer),
            Occurrence::StoreArrival { process, sent_ms, request, is_unanswered } => {
                self.store_arrival(process, sent_ms, request, is_unanswered);
            }
            Occurrence::StoreAnswer { process, sent_ms, request, answer } => {
                self.store_answer(process, sent_ms, request, answer);
            }
            Occurrence::CallArrival { call, is_unanswered } => {
                self.call_arrival(call, is_unanswered);
            }
            Occurrence::CallAnswer { call, answer, life } => {
                self.call_answer(&call, answer, Some(life));
            }
            Occurrence::CallTimeout(call) => self.call_timeout(&call),
            Occurrence::RunnerWake { runner, life } => self.wake_runner(runner, life),
            Occurrence::Fault(fault) => self.fault(fault),
        }
    }

    /// A host that reaches the store and can serve a caller.
    fn serving_host(&mut self) -> Option<usize> {
        let now_ms = self.now_ms;
        let host = self.rng.random_range(0..self.hosts.len());
        let is_serving = self.hosts[host].is_up
            && self.hosts[host].frozen_until_ms <= now_ms
            && self.hosts[host].cut_until_ms <= now_ms
            && self.store_away_until_ms <= now_ms;
        is_serving.then_some(host)
    }

    fn submit(&mut self, plan: usize) {
        let Some(host) = self.serving_host() else {
            self.plan(SUBMISSION_RETRY_MS, Occurrence::Submission(plan));
            return;
        };
        let submission = self.plans[plan].submission.clone();
        let key = Key::Job(submission.id);
        self.checks.jobs.insert(submission.id, submission.clone());
        self.note(Subject::World, || format!("job {} is submitted", submission.id));
        self.store.put(key, Value::Job(submission));
        self.plan_announcement(host, key);
    }

    fn cancel(&mut self, plan: usize) {
        let job = self.plans[plan].submission.id;
        let host = self.serving_host();
        let (Some(host), true) = (host, self.checks.jobs.contains_key(&job)) else {
            self.plan(SUBMISSION_RETRY_MS, Occurrence::Cancellation(plan));
            return;
        };
        self.checks.canceled.insert(job);
        self.note(Subject::World, || format!("job {job} is cancelled"));
        self.store.put(Key::Cancel(job), Value::Cancel);
        self.plan_announcement(host, Key::Cancel(job));
    }

    /// Announces a record to the leader that the host knows: at once, late or never.
    fn plan_announcement(&mut self, host: usize, key: Key) {
        let Some(leader) = self.hosts[host].known_leader else { return };
        let delay_ms = match self.rng.random_range(0..5_u32) {
            0 => return,
            1 => self.rng.random_range(500..=5_000),
            _ => self.rng.random_range(2..=20),
        };
        self.plan(delay_ms, Occurrence::Announcement { host: leader, key });
    }

    fn announce(&mut self, host: usize, key: Key) {
        let Some(entry) = self.store.get(key) else { return };
        let event = host::job_event(key, entry.value.clone());
        let Some(term) = &mut self.hosts[host].term else { return };
        term.inputs.extend(event);
        self.request_pass(host);
    }

    /// Adds an event to the inputs of a leader.
    pub(super) fn input(&mut self, host: usize, event: Event) {
        if let Some(term) = &mut self.hosts[host].term {
            term.inputs.push(event);
            self.request_pass(host);
        }
    }

    pub(super) fn process(&self, host: usize) -> Process {
        Process { host, epoch: self.hosts[host].epoch }
    }

    /// Plans a pass soon, unless one is planned already.
    pub(super) fn request_pass(&mut self, host: usize) {
        let at_ms = self.now_ms + self.rng.random_range(0..=2);
        let process = self.process(host);
        let Some(term) = &mut self.hosts[host].term else { return };
        if term.scheduler.is_some()
            && (term.next_pass_ms <= self.now_ms || at_ms < term.next_pass_ms)
        {
            term.next_pass_ms = at_ms;
            self.agenda.plan(at_ms, Occurrence::Pass(process));
        }
    }

    fn pass(&mut self, process: Process) {
        let Process { host, .. } = process;
        let now_ms = self.now_ms;
        if !self.hosts[host].is_current(process) {
            return;
        }
        let Some(term) = &mut self.hosts[host].term else { return };
        if now_ms < term.next_pass_ms {
            return;
        }
        let Term { scheduler: Some(scheduler), inputs, next_pass_ms, .. } = term else { return };
        for event in inputs.drain(..) {
            scheduler.handle_event(event, now_ms);
        }
        let mut actions = Vec::new();
        scheduler.take_actions(now_ms, &mut actions);
        let [jobs, assigned, _] = scheduler.counts(now_ms);
        *next_pass_ms = now_ms + if jobs + assigned > 0 { TICK_MS.0 } else { TICK_MS.1 };
        let shown: Vec<_> = self
            .checks
            .jobs
            .keys()
            .filter_map(|job| Some((*job, scheduler.state_of(*job)?)))
            .filter(|(_, state): &(_, JobState)| state.is_final())
            .collect();
        let at_ms = *next_pass_ms;
        for (job, state) in shown {
            self.checks.show(job, state, now_ms);
        }
        self.agenda.plan(at_ms, Occurrence::Pass(process));
        for action in actions {
            self.execute(host, action);
        }
    }

    /// Executes an action of a scheduler as the leader does.
    fn execute(&mut self, host: usize, action: Action) {
        match action {
            Action::Start(start) => {
                let order =
                    Order::Start { task: start.task, run: start.run, until_ms: start.until_ms };
                self.send_call(host, start.runner, &start.target.0, start.token, order);
            }
            Action::Stop { runner, target, token, task, run } => {
                self.send_call(host, runner, &target.0, token, Order::Stop { task, run });
            }
            Action::RenewLease(renewal) => {
                let order = Order::Hold {
                    until_ms: renewal.until_ms,
                    last_seen: renewal.acknowledged,
                    wait_ms: renewal.wait_ms,
                };
                self.send_call(host, renewal.runner, &renewal.target.0, renewal.token, order);
            }
            Action::SaveProgress { write, records } => self.save_progress(host, write, records),
            Action::ReadJobs(jobs) => self.read_jobs(host, jobs),
            Action::SaveRoster(entries) => self.save_roster(host, entries),
            Action::SettleTerms => self.settle_terms(host),
            Action::RemoveRecords(jobs) => self.remove_records(host, &jobs),
            Action::Pace { .. } | Action::RequestAdvice { .. } => {}
        }
    }

    /// Ends the term of a host, which goes on as a candidate.
    pub(super) fn end_term(&mut self, host: usize, reason: &str) {
        let Some(term) = &self.hosts[host].term else { return };
        let revision = term.revision;
        self.note(Subject::World, || format!("term {revision} of host {host} ends: {reason}"));
        self.hosts[host].end_term();
        self.start_timer(host, Timer::Leader, 100);
    }
}
