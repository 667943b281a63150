//! A simulated cell: runners, the store and the advice service answer the scheduler's actions.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hemlockrock::configs::queue::QueueConfig;
use hemlockrock::place::spec::Resources;
use hemlockrock::queue::model::{
    Admission, AdvicePolicy, EndedRun, JobId, Queue, QueueDirectory, RunEnd, RunnerId,
    RunnerReport, RunnerStatus, RunningTask, Step, Submission, TaskId,
};
use hemlockrock::queue::scheduler::{Action, Event, OrderResult, RenewalOrder, Scheduler};
use hemlockrock::queue::workspaces::{Workspace, Workspaces};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

/// Time between two scheduler passes, in milliseconds.
const PASS_GAP_MS: u64 = 5;

/// Time that the store and the runners take for an answer, in milliseconds.
const ANSWER_MS: u64 = 5;

const ADVICE_HOSTS: usize = 147;
const SEED: u64 = 17;
const BORN_MS: u64 = 1;

/// A kind of job, one for each queue.
struct JobKind {
    queue: &'static str,
    /// Submissions for each 1,000 seconds and runner.
    rate: f64,
    tasks: u32,
    steps: u32,
    duration_ms: u64,
    cpu_millis: u64,
    /// Duration of a request for advice: its fixed part, and the part for each runner.
    advice_ms: (f64, f64),
}

const KINDS: [JobKind; 3] = [
    JobKind {
        queue: "short",
        rate: 47.0,
        tasks: 13,
        steps: 2,
        duration_ms: 600,
        cpu_millis: 7_000,
        advice_ms: (33.8, 0.481),
    },
    JobKind {
        queue: "long",
        rate: 5.6,
        tasks: 33,
        steps: 2,
        duration_ms: 4_100,
        cpu_millis: 9_000,
        advice_ms: (572.0, 8.06),
    },
    JobKind {
        queue: "lasting",
        rate: 0.4,
        tasks: 40,
        steps: 1,
        duration_ms: 45_000,
        cpu_millis: 9_000,
        advice_ms: (416.0, 5.98),
    },
];

/// Time spent in the scheduler for one kind of input.
#[derive(Debug, Default)]
pub(crate) struct Cost {
    pub(crate) calls: u64,
    pub(crate) spent: Duration,
}

#[derive(Debug)]
struct Runner {
    running: Vec<(TaskId, u64)>,
    ended: Vec<EndedRun>,
    last_number: u64,
    /// Renewal that has not been answered, and the time at which it was sent.
    renewal: Option<(RenewalOrder, u64)>,
}

/// The simulated cell and the costs so far.
pub(crate) struct Cell {
    pub(crate) costs: BTreeMap<&'static str, Cost>,
    pub(crate) started_runs: u64,
    pub(crate) ended_jobs: u64,
    scheduler: Scheduler,
    now_ms: u64,
    runners: BTreeMap<RunnerId, Runner>,
    /// Events that the scheduler receives later, by time.
    due: BTreeMap<u64, Vec<(&'static str, Event)>>,
    /// Runs that end, by time.
    ends: BTreeMap<u64, Vec<(RunnerId, TaskId, u64)>>,
    durations: BTreeMap<JobId, u64>,
    submitted_ms: BTreeMap<JobId, u64>,
    waits_ms: BTreeSet<(u64, JobId)>,
    random: StdRng,
    last_job: u64,
    /// Number of workspaces that the jobs belong to; 0 if the deployment has none.
    workspaces: u64,
}

impl Cell {
    pub(crate) fn new(runners: u64, workspaces: u64) -> Self {
        let config = QueueConfig::default();
        let mut cell = Self {
            costs: BTreeMap::new(),
            started_runs: 0,
            ended_jobs: 0,
            scheduler: Scheduler::new(config, 1),
            now_ms: 1_000,
            runners: BTreeMap::new(),
            due: BTreeMap::new(),
            ends: BTreeMap::new(),
            durations: BTreeMap::new(),
            submitted_ms: BTreeMap::new(),
            waits_ms: BTreeSet::new(),
            random: StdRng::seed_from_u64(SEED),
            last_job: 0,
            workspaces,
        };
        cell.handle("directory", Event::DirectoryUpdated(Arc::new(directory(runners, workspaces))));
        for number in 0..runners {
            cell.add_runner(number);
        }
        cell
    }

    fn add_runner(&mut self, number: u64) {
        let id = RunnerId::from(format!("runner-{number}"));
        let report = RunnerReport {
            id: Arc::clone(&id),
            address: format!("10.0.0.1:{number}"),
            zone: format!("z{}", number % 6),
            service: "s".to_owned(),
            is_draining: false,
            leaves_in_ms: None,
            labels: vec![format!("r{}", number / 8)],
            capacity: Resources::new(36_000, 64 << 30, 0),
            started_unix_ms: BORN_MS,
        };
        let runner =
            Runner { running: Vec::new(), ended: Vec::new(), last_number: 0, renewal: None };
        self.runners.insert(id, runner);
        self.handle("watch", Event::RunnerListed(report));
    }

    /// Advances the cell by `ms` milliseconds.
    pub(crate) fn run(&mut self, ms: u64) {
        let until_ms = self.now_ms + ms;
        while self.now_ms < until_ms {
            self.now_ms += PASS_GAP_MS;
            let until_ms = self.now_ms + 1_000;
            self.handle("lease", Event::LeaderLeaseConfirmed { until_ms });
            self.submit_jobs();
            self.end_runs();
            self.answer_renewals();
            let later = self.due.split_off(&(self.now_ms + 1));
            for (kind, event) in std::mem::replace(&mut self.due, later).into_values().flatten() {
                self.handle(kind, event);
            }
            self.pass();
        }
    }

    /// Time from a submission to its first start that `percent` of the jobs do not exceed.
    pub(crate) fn wait_ms(&self, percent: usize) -> u64 {
        let position = self.waits_ms.len().saturating_sub(1) * percent / 100;
        self.waits_ms.iter().nth(position).map_or(0, |(wait_ms, _)| *wait_ms)
    }

    fn handle(&mut self, kind: &'static str, event: Event) {
        let begun = Instant::now();
        self.scheduler.handle_event(event, self.now_ms);
        self.record(kind, begun.elapsed());
    }

    fn record(&mut self, kind: &'static str, spent: Duration) {
        let cost = self.costs.entry(kind).or_default();
        cost.calls += 1;
        cost.spent += spent;
    }

    fn submit_jobs(&mut self) {
        for JobKind { queue, rate, tasks, steps, duration_ms, cpu_millis, .. } in KINDS {
            let mean = rate * self.runners.len() as f64 * PASS_GAP_MS as f64 / 1e6;
            if self.random.random::<f64>() >= mean {
                continue;
            }
            self.last_job += 1;
            let id = JobId(self.last_job);
            let step = |number: u32| Step {
                count: tasks,
                need: Resources::new(cpu_millis, 8 << 30, 0),
                estimate_ms: duration_ms,
                after: (number > 0).then(|| number - 1).into_iter().collect(),
                is_long_running: queue == "lasting",
                ..Step::default()
            };
            let submission = Submission {
                id,
                queue: queue.to_owned(),
                spec: Bytes::from_static(&[b'x'; 300]),
                steps: (0..steps).map(step).collect(),
                accepted_unix_ms: 0,
                workspace: self.random_workspace(),
                terms: None,
            };
            self.durations.insert(id, duration_ms);
            self.submitted_ms.insert(id, self.now_ms);
            self.handle("submission", Event::JobSubmitted(submission));
        }
    }

    fn random_workspace(&mut self) -> Option<Arc<str>> {
        if self.workspaces == 0 {
            return None;
        }
        Some(workspace_name(self.random.random_range(0..self.workspaces)))
    }

    fn end_runs(&mut self) {
        let later = self.ends.split_off(&(self.now_ms + 1));
        for (id, task, run) in std::mem::replace(&mut self.ends, later).into_values().flatten() {
            let Some(runner) = self.runners.get_mut(&id) else { continue };
            runner.running.retain(|running| *running != (task, run));
            runner.last_number += 1;
            let (number, end) = (runner.last_number, RunEnd::Done);
            runner.ended.push(EndedRun { number, task, run, end, checkpoint: Bytes::new() });
        }
    }

    fn answer_renewals(&mut self) {
        let now_ms = self.now_ms;
        let mut answers = Vec::new();
        for runner in self.runners.values_mut() {
            let is_due = runner.renewal.as_ref().is_some_and(|(order, sent_ms)| {
                now_ms >= sent_ms + ANSWER_MS
                    && (!runner.ended.is_empty() || now_ms >= sent_ms + order.wait_ms)
            });
            let Some((order, sent_ms)) = runner.renewal.take_if(|_| is_due) else { continue };
            let running = runner.running.iter().map(|(task, run)| RunningTask {
                task: *task,
                run: *run,
                checkpoint: Bytes::new(),
                percent: (now_ms % 1_000) as f64 / 10.0,
                load: 0.0,
            });
            let status = RunnerStatus {
                started_unix_ms: BORN_MS,
                clock_ms: now_ms,
                running: running.collect(),
                ended: runner.ended.clone(),
            };
            let (runner, result) = (order.runner, Ok(status));
            answers.push(Event::RenewalFinished { runner, sent_ms, result });
        }
        for answer in answers {
            self.handle("status", answer);
        }
    }

    fn pass(&mut self) {
        let mut actions = Vec::new();
        let begun = Instant::now();
        self.scheduler.take_actions(self.now_ms, &mut actions);
        self.record("pass", begun.elapsed());
        for host in 0..ADVICE_HOSTS {
            if self.now_ms % 1_000 == 0 {
                let address = Arc::from(format!("10.1.0.{host}:1"));
                self.handle("heartbeat", Event::AdviceHostSeen { address });
            }
        }
        for action in actions {
            self.apply(action);
        }
    }

    fn later(&mut self, delay_ms: u64, kind: &'static str, event: Event) {
        self.due.entry(self.now_ms + delay_ms).or_default().push((kind, event));
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Start(order) => {
                self.started_runs += 1;
                let job = order.task.step.job;
                if let Some(submitted_ms) = self.submitted_ms.remove(&job) {
                    self.waits_ms.insert((self.now_ms - submitted_ms, job));
                }
                let id = Arc::clone(&order.target.0);
                if let Some(runner) = self.runners.get_mut(&id) {
                    runner.running.push((order.task, order.run));
                }
                let duration_ms = self.durations.get(&job).copied().unwrap_or_default();
                let spread = self.random.random_range(50..150);
                let ends_ms = self.now_ms + ANSWER_MS + duration_ms * spread / 100;
                self.ends.entry(ends_ms).or_default().push((id, order.task, order.run));
                let finished = OrderResult {
                    runner: order.runner,
                    task: order.task,
                    run: order.run,
                    is_stop: false,
                    sent_ms: self.now_ms,
                    clock_ms: Some(self.now_ms),
                    result: Ok(()),
                };
                self.later(ANSWER_MS, "order", Event::OrderFinished(finished));
            }
            Action::RenewLease(order) => {
                let sent_ms = self.now_ms;
                if let Some(runner) = self.runners.get_mut(&order.target.0) {
                    runner.ended.retain(|ended| ended.number > order.acknowledged);
                    runner.renewal = Some((order, sent_ms));
                }
            }
            Action::SaveProgress { write, records } => {
                let ended = records.iter().filter(|record| record.progress.state.is_final());
                self.ended_jobs += ended.count() as u64;
                let saved = Event::ProgressSaved { write, is_stored: true };
                self.later(ANSWER_MS, "progress", saved);
            }
            Action::SaveRoster(_) => {
                self.later(ANSWER_MS, "roster", Event::RosterSaved { is_stored: true });
            }
            Action::SettleTerms => {
                self.later(ANSWER_MS, "terms", Event::TermsSettled { is_stored: true });
            }
            Action::RequestAdvice { step, advice_host, runners, expected_ms } => {
                let (asked, names): (Vec<_>, Vec<_>) = runners.into_iter().unzip();
                let admitted = names.into_iter().filter(|_| self.random.random::<f64>() < 0.5);
                let result = admitted
                    .map(|id| Admission { runner: id.to_string(), ticket: "ticket".to_owned() })
                    .collect();
                let (sent_ms, result) = (self.now_ms, Some(result));
                let advised = Event::AdviceFinished { step, advice_host, asked, sent_ms, result };
                self.later(expected_ms, "advice", advised);
            }
            Action::Stop { .. }
            | Action::Pace { .. }
            | Action::ReadJobs(_)
            | Action::RemoveRecords(_) => {}
        }
    }
}

fn workspace_name(number: u64) -> Arc<str> {
    Arc::from(format!("workspace-{number}"))
}

/// Workspaces of equal weights, each of which may use a fifth of the runners.
fn workspaces(runners: u64, count: u64) -> Option<Workspaces> {
    let limit = Resources::new(runners * 36_000 / 5, u64::MAX, u32::MAX);
    let declared = (0..count).map(|number| {
        (Workspace { name: workspace_name(number), weight: 1.0, limit }, [format!("key-{number}")])
    });
    (count > 0).then(|| Workspaces::new(declared).0)
}

fn directory(runners: u64, workspace_count: u64) -> QueueDirectory {
    let queues = KINDS.iter().zip(0..).map(|(kind, priority)| Queue {
        name: kind.queue.to_owned(),
        host: "h".to_owned(),
        prefix: format!("/{}/", kind.queue),
        service: "s".to_owned(),
        priority,
        max_attempts: 3,
        stretch: 1.5,
        target_latency_ms: 250,
        advice: Some(AdvicePolicy {
            base_ms: kind.advice_ms.0,
            per_runner_ms: kind.advice_ms.1,
            valid_ms: 2_500,
        }),
        is_public: false,
    });
    QueueDirectory {
        version: 1,
        queues: queues.collect(),
        max_body_bytes: 1 << 18,
        workspaces: workspaces(runners, workspace_count),
    }
}
