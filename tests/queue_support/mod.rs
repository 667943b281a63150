//! A world of runners that answer renewals, for cases about the scheduler of queues.

#![allow(dead_code, missing_docs, unreachable_pub, reason = "a support module of tests")]
#![allow(clippy::unwrap_used, reason = "a helper of tests")]

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use hemlockrock::configs::queue::QueueConfig;
use hemlockrock::place::spec::Resources;
use hemlockrock::queue::model::{
    Directory, EndedRun, JobId, JobState, OrderError, Queue, RunEnd, RunnerId, RunnerReport,
    RunnerStatus, RunningTask, Step, StepId, Submission, TaskId,
};
use hemlockrock::queue::scheduler::{
    Action, Event, HoldOrder, Ordered, RunnerKey, Scheduler, StartOrder,
};

/// Attempts of a task in the queue of the tests.
pub const ATTEMPTS: u32 = 3;

const BORN_MS: u64 = 1_000;
const LEASE_MS: u64 = 1_000;

/// A stop that the scheduler has ordered.
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
    /// Its runs make no progress.
    stands_still: bool,
    capacity: u64,
}

/// Runners and a store that answer at once.
pub struct World {
    pub scheduler: Scheduler,
    pub config: QueueConfig,
    pub now_ms: u64,
    pub seen: Vec<Action>,
    runners: BTreeMap<RunnerId, FakeRunner>,
    starts: Vec<StartOrder>,
    stops: Vec<Stop>,
    held_saves: Option<usize>,
    hold_sent_ms: BTreeMap<RunnerId, u64>,
    confirms: bool,
}

/// A job in the queue of the tests.
pub fn job(id: u64, steps: Vec<Step>) -> Submission {
    Submission {
        id: JobId(id),
        queue: "q".to_owned(),
        spec: Bytes::from_static(b"spec"),
        steps,
        accepted_unix_ms: 0,
    }
}

/// A step of `count` tasks that need so many thousandths of a core.
pub fn step(count: u32, cpu_millis: u64) -> Step {
    let need = Resources::new(cpu_millis, 1, 0);
    Step { count, need, estimate_ms: 500, ..Step::default() }
}

/// A task by its numbers.
pub fn task(job: u64, step: u32, index: u32) -> TaskId {
    TaskId { step: StepId { job: JobId(job), occurrence: 0, step }, index }
}

impl World {
    pub fn new(token: u64) -> Self {
        let config = QueueConfig::default();
        let mut world = Self {
            scheduler: Scheduler::new(config.clone(), token),
            config,
            now_ms: 10_000,
            seen: Vec::new(),
            runners: BTreeMap::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            held_saves: None,
            hold_sent_ms: BTreeMap::new(),
            confirms: true,
        };
        let queue = Queue {
            name: "q".to_owned(),
            host: "h".to_owned(),
            prefix: "/q/".to_owned(),
            service: "s".to_owned(),
            priority: 0,
            max_attempts: ATTEMPTS,
            stretch: 2.0,
            target_latency_ms: 1_000,
            advice: None,
        };
        let directory = Directory { version: 1, queues: vec![queue], max_body_bytes: 1 << 18 };
        world.step(Event::Declared(Arc::new(directory)));
        world
    }

    /// A world with these runners and job 1, and the starts that it leads to.
    pub fn with_job(runners: &[(&str, u64)], steps: Vec<Step>) -> (Self, Vec<StartOrder>) {
        let mut world = Self::new(1);
        for (id, capacity) in runners {
            world.add_runner(id, *capacity);
        }
        world.step(Event::Submitted(job(1, steps)));
        let starts = world.starts();
        (world, starts)
    }

    fn report(&self, id: &str, is_draining: bool) -> RunnerReport {
        RunnerReport {
            id: RunnerId::from(id),
            address: format!("{id}:1"),
            zone: "z".to_owned(),
            service: "s".to_owned(),
            is_draining,
            leaves_in_ms: None,
            labels: Vec::new(),
            capacity: Resources::new(self.runners[id].capacity, 1 << 30, 0),
            born_unix_ms: BORN_MS,
        }
    }

    pub fn add_runner(&mut self, id: &str, capacity: u64) {
        self.add_runner_with(id, capacity, Vec::new());
    }

    /// A runner where a former leader has started something.
    pub fn add_runner_with(&mut self, id: &str, capacity: u64, running: Vec<(TaskId, u64)>) {
        self.add_runner_after(id, capacity, running, Vec::new());
    }

    /// A runner where a former leader has started something, some of which has ended.
    pub fn add_runner_after(
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
        self.step(Event::RunnerListed(report));
        self.pass(20);
    }

    pub fn drain_runner(&mut self, id: &str) {
        let report = self.report(id, true);
        self.step(Event::RunnerListed(report));
    }

    /// Lets a runner no longer answer.
    pub fn silence(&mut self, id: &str) {
        self.runners.get_mut(id).unwrap().is_silent = true;
    }

    /// Lets a silent runner answer again.
    pub fn hear(&mut self, id: &str) {
        self.runners.get_mut(id).unwrap().is_silent = false;
    }

    /// Lets the runs of a runner make no more progress.
    pub fn stand_still(&mut self, id: &str) {
        self.runners.get_mut(id).unwrap().stands_still = true;
    }

    /// Lets a run go on at a runner that the scheduler has not started there.
    pub fn run_at(&mut self, id: &str, task: TaskId, run: u64) {
        self.runners.get_mut(id).unwrap().running.push((task, run));
        self.renew(id);
    }

    /// Lets a run end at a runner.
    pub fn end_at(&mut self, id: &str, number: u64, task: TaskId, run: u64, end: RunEnd) {
        let runner = self.runners.get_mut(id).unwrap();
        runner.running.retain(|running| *running != (task, run));
        runner.ended.push(EndedRun { number, task, run, end, checkpoint: Bytes::new() });
        self.renew(id);
    }

    /// Lets a run that was started end, and the runner answer with it.
    pub fn end(&mut self, start: &StartOrder, end: RunEnd) {
        let id = start.at.0.clone();
        let runner = &self.runners[&id];
        let number = runner.ended.last().map_or(runner.acknowledged, |last| last.number) + 1;
        self.end_at(&id, number, start.task, start.run, end);
        self.pass(100);
    }

    /// As [`World::end`] when the leader's lease is not confirmed.
    pub fn end_quietly(&mut self, start: &StartOrder, end: RunEnd) {
        self.confirms = false;
        self.end(start, end);
    }

    /// A runner that is listed and has never answered.
    pub fn add_silent_runner(&mut self, id: &str, capacity: u64) {
        let runner = FakeRunner { capacity, is_silent: true, ..FakeRunner::default() };
        self.runners.insert(RunnerId::from(id), runner);
        let report = self.report(id, false);
        self.step(Event::RunnerListed(report));
        self.pass(20);
    }

    fn status(&self, id: &str) -> RunnerStatus {
        let runner = &self.runners[id];
        #[allow(clippy::cast_precision_loss, reason = "a percentage")]
        let progress = (self.now_ms % 100_000) as f64 / 1_000.0;
        let running = runner.running.iter().map(|(task, run)| RunningTask {
            task: *task,
            run: *run,
            checkpoint: Bytes::new(),
            percent: if runner.stands_still { 10.0 } else { progress },
            load: 0.0,
        });
        RunnerStatus {
            born_unix_ms: BORN_MS,
            clock_ms: self.now_ms,
            running: running.collect(),
            ended: runner.ended.clone(),
        }
    }

    /// Answers the renewal that waits at a runner, if any.
    fn renew(&mut self, id: &str) {
        let waiting = self
            .seen
            .iter()
            .rposition(|action| matches!(action, Action::Hold(hold) if &*hold.at.0 == id));
        let Some(Action::Hold(hold)) = waiting.map(|at| self.seen[at].clone()) else { return };
        self.answer_hold(&hold);
    }

    fn answer_hold(&mut self, hold: &HoldOrder) {
        let id = hold.at.0.clone();
        let Some(runner) = self.runners.get_mut(&id) else { return };
        let result = if runner.is_silent {
            Err(OrderError::Unanswered)
        } else {
            runner.acknowledged = runner.acknowledged.max(hold.acknowledged);
            let acknowledged = runner.acknowledged;
            runner.ended.retain(|ended| ended.number > acknowledged);
            Ok(self.status(&id))
        };
        self.seen
            .retain(|action| !matches!(action, Action::Hold(known) if known.runner == hold.runner));
        let sent_ms = self.hold_sent_ms.get(&id).copied().unwrap_or(self.now_ms);
        self.step(Event::Held { runner: hold.runner, sent_ms, result });
    }

    pub fn step(&mut self, event: Event) {
        self.scheduler.step(event, self.now_ms);
        self.act();
    }

    fn act(&mut self) {
        if self.confirms {
            let until_ms = self.now_ms + LEASE_MS;
            self.scheduler.step(Event::Confirmed { until_ms }, self.now_ms);
        }
        let mut out = Vec::new();
        self.scheduler.act(self.now_ms, &mut out);
        for action in out {
            match action.clone() {
                Action::Start(order) => self.starts.push(order),
                Action::Stop { runner, task, run, .. } => {
                    self.stops.push(Stop { runner, task, run });
                }
                Action::Save(_) if self.held_saves.is_some() => {
                    self.held_saves = self.held_saves.map(|held| held + 1);
                }
                Action::Save(_) => {
                    self.scheduler.step(Event::Saved { is_stored: true }, self.now_ms);
                }
                Action::SaveRoster(_) => {
                    self.scheduler.step(Event::RosterSaved { is_stored: true }, self.now_ms);
                }
                Action::Hold(hold) => {
                    self.hold_sent_ms.insert(hold.at.0, self.now_ms);
                }
                _ => {}
            }
            self.seen.push(action);
        }
    }

    /// Lets time pass; renewals are answered when they have news or their wait is over.
    pub fn pass(&mut self, ms: u64) {
        const STEP_MS: u64 = 10;
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.now_ms = end_ms.min(self.now_ms + STEP_MS);
            self.act();
            let due: Vec<HoldOrder> = self
                .seen
                .iter()
                .filter_map(|action| match action {
                    Action::Hold(hold) if self.is_due(hold) || self.has_news(&hold.at.0) => {
                        Some(hold.clone())
                    }
                    _ => None,
                })
                .collect();
            for hold in due {
                self.answer_hold(&hold);
            }
        }
    }

    fn is_due(&self, hold: &HoldOrder) -> bool {
        let sent_ms = self.hold_sent_ms.get(&hold.at.0).copied().unwrap_or_default();
        self.now_ms >= sent_ms + hold.wait_ms
    }

    fn has_news(&self, id: &str) -> bool {
        self.runners.get(id).is_some_and(|runner| !runner.ended.is_empty())
    }

    pub fn confirm_until(&mut self, until_ms: u64) {
        self.confirms = false;
        self.scheduler.step(Event::Confirmed { until_ms }, self.now_ms);
    }

    pub fn pass_without_confirmation(&mut self, ms: u64) {
        self.confirms = false;
        self.pass(ms);
    }

    pub fn hold_saves(&mut self) {
        self.held_saves = Some(0);
    }

    pub fn release_saves(&mut self) {
        if self.held_saves.take().is_some_and(|held| held > 0) {
            self.step(Event::Saved { is_stored: true });
        }
        self.pass(100);
    }

    /// The starts that were ordered since the last call.
    pub fn starts(&mut self) -> Vec<StartOrder> {
        std::mem::take(&mut self.starts)
    }

    /// The stops that were ordered since the last call.
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
            let runner = self.runners.get_mut(&start.at.0).unwrap();
            runner.running.push((start.task, start.run));
        }
        let StartOrder { runner, task, run, .. } = *start;
        let sent_ms = self.now_ms;
        let ordered = Ordered { runner, task, run, is_stop: false, sent_ms, result };
        self.step(Event::Ordered(ordered));
    }

    pub fn answer_stop(&mut self, stop: &Stop, result: Result<(), OrderError>) {
        let Stop { runner, task, run } = *stop;
        let sent_ms = self.now_ms;
        let ordered = Ordered { runner, task, run, is_stop: true, sent_ms, result };
        self.step(Event::Ordered(ordered));
    }

    pub fn state(&self, job: u64) -> Option<JobState> {
        self.scheduler.state_of(JobId(job))
    }

    /// Number of the last end that the scheduler has let a runner forget.
    pub fn acknowledged(&self, id: &str) -> u64 {
        self.runners[id].acknowledged
    }
}
