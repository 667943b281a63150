//! Fake runners that start every run they are ordered to, and record each order or outcome that
//! violates a guarantee of the scheduler.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_std::task;
use hemlockrock::clock;
use hemlockrock::collections;
use hemlockrock::configs::http::HttpConfig;
use hemlockrock::http::server::Server;
use hemlockrock::queue::model::{JobId, TaskId};
use serde_json::{json, Value};

/// Failures of a task after which its job fails, as the configuration of the cell declares.
pub const ATTEMPTS: u32 = 4;

/// CPU capacity of each runner, in thousandths of a core, unless it has shrunk.
pub const CAPACITY: u64 = 8_000;

/// Time for which a runner may still be filled to its former capacity after its record shows a
/// smaller one, in milliseconds.
const SHRINK_ALLOWANCE_MS: u64 = 4_500;

/// One run in this many fails.
const RUNS_PER_FAILURE: u64 = 25;

/// Crashes of runners under a task after which it may be started only a few more times.
const CRASH_LIMIT: usize = 3;

/// Starts of a task that are allowed after `CRASH_LIMIT` crashes.
const STARTS_AFTER_CRASHES: usize = 2;

/// Shortest and longest time until a runner that has crashed is back, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 1_000..3_000;

/// Status of the answer to an order that stays unanswered.
const NO_ANSWER: u16 = 500;

const POLL_MS: u64 = 10;
const MAX_LEASE_MS: u64 = 10_000;

/// While orders are delayed, one in this many stays unanswered and is carried out later.
const ORDERS_PER_DELAY: u64 = 5;

const MIN_ORDER_DELAY_MS: u64 = 2_000;
const MAX_ORDER_DELAY_MS: u64 = 6_000;

/// A job as submitted by its caller.
#[derive(Clone, Debug)]
pub struct JobPlan {
    pub spec: String,
    /// For each step the number of tasks, their CPU in thousandths of a core and their duration in
    /// milliseconds. Each step depends on the one before.
    pub steps: Vec<(u32, u64, u64)>,
    /// The last task of the last step crashes its runner at the end of its work.
    pub is_deadly: bool,
}

/// History of a task over all runners.
#[derive(Clone, Debug, Default)]
pub struct TaskHistory {
    /// A run has ended as done, whether or not its runner has been restarted since.
    has_ended_done: bool,
    /// The leader has acknowledged a run that ended as done.
    pub is_done: bool,
    /// Numbers of the failed runs that the leader has acknowledged.
    pub failures: BTreeSet<u64>,
    /// Starts of all runs, in milliseconds.
    starts_ms: Vec<u64>,
    /// Times at which a run of the task has crashed its runner, in milliseconds.
    pub crashes_ms: Vec<u64>,
}

/// End of a run that crashes its runner.
const CRASH: &str = "crash";

/// CPU capacity of a runner over time, in thousandths of a core.
#[derive(Debug)]
struct Capacity {
    now: u64,
    /// What the runner's record shows, and each earlier value with the time at which it was
    /// replaced.
    recorded: u64,
    replaced: Vec<(u64, u64)>,
}

#[derive(Clone, Debug)]
struct Run {
    run: u64,
    cpu: u64,
    ends_ms: u64,
    /// How the run ends if its lease lasts: "done", "failed" or `CRASH`.
    how: &'static str,
}

#[derive(Clone, Copy, Debug)]
struct Ended {
    number: u64,
    task: TaskId,
    run: u64,
    how: &'static str,
    at_ms: u64,
}

#[derive(Debug, Default)]
struct Runner {
    /// Start of this instance of the runner, in Unix milliseconds.
    born: u64,
    /// Start of this instance, at which its own clock is 0.
    started_ms: u64,
    /// Highest fencing token seen.
    token: u64,
    /// End of the lease, not on the runner's own clock.
    until_ms: u64,
    running: BTreeMap<TaskId, Run>,
    ended: Vec<Ended>,
    /// Times at which the lease has expired.
    lapses_ms: Vec<u64>,
    /// Number of the last entry of `ended`.
    last_number: u64,
    /// Highest run number of each task that was started or stopped here.
    highest_run: BTreeMap<TaskId, u64>,
    silent_until_ms: u64,
    /// Time until which nothing runs at the runner's address after a crash.
    down_until_ms: u64,
    /// Whether the runner is gone for good.
    is_removed: bool,
}

/// All fake runners, the submitted jobs, and the violations found so far.
#[derive(Debug, Default)]
pub struct RunnerFleet {
    runners: Vec<Runner>,
    /// By number of the runner; a new instance keeps the capacity.
    capacities: Vec<Capacity>,
    pub jobs: BTreeMap<JobId, JobPlan>,
    pub tasks: BTreeMap<TaskId, TaskHistory>,
    pub violations: Vec<String>,
    pub starts: u64,
    pub crashes: u64,
    /// Number of orders that have arrived.
    orders: u64,
    /// Time until which some orders are delayed.
    delays_until_ms: u64,
}

pub type SharedFleet = Arc<Mutex<RunnerFleet>>;

pub fn lock(fleet: &SharedFleet) -> MutexGuard<'_, RunnerFleet> {
    fleet.lock().unwrap()
}

impl RunnerFleet {
    /// Adds a runner and returns its number.
    pub fn add(&mut self) -> usize {
        self.runners.push(Runner::new());
        self.capacities.push(Capacity::new());
        self.runners.len() - 1
    }

    pub fn born(&self, runner: usize) -> u64 {
        self.runners[runner].born
    }

    /// Sets the capacity of a runner; its record follows.
    pub fn resize(&mut self, runner: usize, capacity: u64) {
        self.capacities[runner].now = capacity;
    }

    /// Capacity to show in the record of a runner, which is being written.
    pub fn record_capacity(&mut self, runner: usize) -> u64 {
        self.capacities[runner].record()
    }

    /// Makes a runner unresponsive until `until_ms`; orders that arrive meanwhile are executed
    /// then, or as soon as a new instance has replaced it.
    pub fn silence(&mut self, runner: usize, until_ms: u64) {
        self.runners[runner].silent_until_ms = until_ms;
    }

    /// Takes a runner away for good: its runs end with it, and nothing answers at its address.
    pub fn remove(&mut self, runner: usize) {
        self.runners[runner] = Runner { is_removed: true, ..Runner::new() };
        self.silence(runner, u64::MAX);
    }

    /// Whether a runner was taken away.
    pub fn is_removed(&self, runner: usize) -> bool {
        self.runners[runner].is_removed
    }

    /// Runner at which a task is running.
    pub fn runner_of(&self, task: TaskId) -> Option<usize> {
        self.runners.iter().position(|runner| runner.running.contains_key(&task))
    }

    /// Replaces a runner by a new instance without any state.
    pub fn restart(&mut self, runner: usize) {
        self.end_due_runs(runner);
        self.runners[runner] = Runner::new();
    }

    /// Delays some of the orders that arrive until `until_ms`.
    pub fn delay_orders(&mut self, until_ms: u64) {
        self.delays_until_ms = self.delays_until_ms.max(until_ms);
    }

    /// Time after which an order that arrives now is carried out, in milliseconds; 0 unless it is
    /// delayed.
    fn order_delay_ms(&mut self) -> u64 {
        self.orders += 1;
        let draw = collections::stable_hash(self.orders.to_be_bytes());
        if clock::now_ms() >= self.delays_until_ms || draw % ORDERS_PER_DELAY != 0 {
            return 0;
        }
        let spread_ms = MAX_ORDER_DELAY_MS - MIN_ORDER_DELAY_MS;
        MIN_ORDER_DELAY_MS + draw / ORDERS_PER_DELAY % spread_ms
    }

    /// Tasks that run on any runner now.
    pub fn running(&mut self) -> Vec<TaskId> {
        (0..self.runners.len()).for_each(|runner| self.end_due_runs(runner));
        self.runners.iter().flat_map(|runner| runner.running.keys().copied()).collect()
    }

    /// Ends the runs of a runner whose work is finished or whose lease has expired.
    fn end_due_runs(&mut self, at: usize) {
        let now_ms = clock::now_ms();
        let runner = &mut self.runners[at];
        let lease_end_ms = runner.until_ms;
        let ends = |run: &Run| run.ends_ms.min(lease_end_ms);
        let mut due: Vec<(u64, TaskId)> = runner
            .running
            .iter()
            .filter(|(_, run)| ends(run) <= now_ms)
            .map(|(task, run)| (ends(run), *task))
            .collect();
        due.sort_unstable();
        for (at_ms, task) in due {
            let how = match runner.running.get(&task) {
                Some(run) if run.ends_ms <= lease_end_ms => run.how,
                _ => "lapsed",
            };
            if how == CRASH {
                self.tasks.entry(task).or_default().crashes_ms.push(at_ms);
                return self.crash(at);
            }
            runner.end(task, how, at_ms);
            if how == "done" {
                self.tasks.entry(task).or_default().has_ended_done = true;
            }
        }
    }

    /// Replaces a runner by a new instance that starts after a while.
    fn crash(&mut self, at: usize) {
        self.crashes += 1;
        let draw = collections::stable_hash(self.crashes.to_be_bytes());
        let down_ms = DOWN_MS.start + draw % (DOWN_MS.end - DOWN_MS.start);
        self.runners[at] = Runner::starting_after(down_ms);
    }

    /// Whether nothing runs at the runner's address.
    pub fn is_down(&self, runner: usize) -> bool {
        clock::now_ms() < self.runners[runner].down_until_ms
    }

    fn record_violation(&mut self, runner: usize, task: TaskId, what: &str) {
        self.violations.push(format!("{what}: {task} at runner {runner}, {} ms", clock::now_ms()));
    }

    /// Handles an order to start a run as a real runner does.
    fn start(&mut self, at: usize, body: &Value) -> (u16, Value) {
        (0..self.runners.len()).for_each(|runner| self.end_due_runs(runner));
        if self.is_down(at) {
            return (NO_ANSWER, Value::Null);
        }
        let now_ms = clock::now_ms();
        let runner = &mut self.runners[at];
        let clock_ms = runner.clock_ms();
        let refuse = |reason: &str| (409, json!({ "clock-ms": clock_ms, "reason": reason }));
        let Some(task) = body["task"].as_str().and_then(TaskId::parse) else {
            return (400, json!({ "clock-ms": clock_ms }));
        };
        let run = body["run"].as_u64().unwrap();
        let until_ms = runner.lease_end_ms(body["until-ms"].as_u64().unwrap());
        if !runner.accepts_token(body) {
            return refuse("fence");
        }
        runner.extend_lease(until_ms, now_ms);
        if runner.running.get(&task).is_some_and(|known| known.run == run) {
            return (200, json!({ "clock-ms": clock_ms }));
        }
        if runner.highest_run.get(&task).is_some_and(|highest| *highest >= run) {
            return refuse("old");
        }
        if until_ms <= now_ms {
            return refuse("late");
        }
        self.check_start(at, task, body);
        let plan = self
            .jobs
            .get(&task.step.job)
            .and_then(|plan| plan.steps.get(task.step.step as usize).copied());
        let (_, cpu, work_ms) = plan.unwrap_or((0, 0, 100));
        let draw = collections::stable_hash(format!("{task}/{run}")) % RUNS_PER_FAILURE;
        let how = match draw {
            _ if self.is_deadly(task) => CRASH,
            0 => "failed",
            _ => "done",
        };
        let runner = &mut self.runners[at];
        runner.highest_run.insert(task, run);
        runner.running.insert(task, Run { run, cpu, ends_ms: now_ms + work_ms, how });
        self.tasks.entry(task).or_default().starts_ms.push(now_ms);
        self.starts += 1;
        (200, json!({ "clock-ms": clock_ms }))
    }

    fn is_deadly(&self, task: TaskId) -> bool {
        let Some(plan) = self.jobs.get(&task.step.job).filter(|plan| plan.is_deadly) else {
            return false;
        };
        let last = plan.steps.len() - 1;
        task.step.step as usize == last && task.index + 1 == plan.steps[last].0
    }

    /// Records the guarantees that starting this task violates.
    fn check_start(&mut self, at: usize, task: TaskId, body: &Value) {
        let Some(plan) = self.jobs.get(&task.step.job).cloned() else {
            return self.record_violation(
                at,
                task,
                "a task of a job that was never submitted was started",
            );
        };
        if body["spec"].as_str() != Some(plan.spec.as_str()) {
            self.record_violation(at, task, "the specification differs from the submitted one");
        }
        let step = task.step.step as usize;
        let Some((_, cpu, _)) = plan.steps.get(step).copied() else {
            return self.record_violation(at, task, "the job has no such step");
        };
        if self.runners.iter().any(|runner| runner.running.contains_key(&task)) {
            self.record_violation(at, task, "the task is already running");
        }
        let history = self.tasks.entry(task).or_default().clone();
        if history.is_done {
            self.record_violation(at, task, "the task is already done");
        }
        if history.failures.len() >= ATTEMPTS as usize {
            self.record_violation(at, task, "the task has no attempts left");
        }
        let limit_ms = history.crashes_ms.get(CRASH_LIMIT - 1).copied().unwrap_or(u64::MAX);
        let late = history.starts_ms.iter().filter(|ms| **ms > limit_ms).count();
        if late >= STARTS_AFTER_CRASHES {
            self.record_violation(at, task, "too many starts after runners have crashed");
        }
        let used: u64 = self.runners[at].running.values().map(|run| run.cpu).sum();
        if used + cpu > self.capacities[at].limit() {
            self.record_violation(at, task, "the capacity of the runner is exceeded");
        }
        for earlier in 0..step {
            let count = plan.steps[earlier].0;
            let is_done = |index: u32| {
                let mut before = task;
                (before.step.step, before.index) = (earlier as u32, index);
                self.tasks.get(&before).is_some_and(|history| history.has_ended_done)
            };
            if !(0..count).all(is_done) {
                self.record_violation(at, task, "an earlier step is not done");
            }
        }
    }

    fn stop(&mut self, at: usize, body: &Value) -> (u16, Value) {
        self.end_due_runs(at);
        if self.is_down(at) {
            return (NO_ANSWER, Value::Null);
        }
        let now_ms = clock::now_ms();
        let runner = &mut self.runners[at];
        let clock_ms = runner.clock_ms();
        let Some(task) = body["task"].as_str().and_then(TaskId::parse) else {
            return (400, json!({ "clock-ms": clock_ms }));
        };
        if !runner.accepts_token(body) {
            return (409, json!({ "clock-ms": clock_ms, "reason": "fence" }));
        }
        let run = body["run"].as_u64().unwrap();
        if runner.running.get(&task).is_some_and(|known| known.run <= run) {
            runner.end(task, "stopped", now_ms);
        }
        let highest = runner.highest_run.entry(task).or_default();
        *highest = run.max(*highest);
        (200, json!({ "clock-ms": clock_ms }))
    }

    fn hold(&mut self, at: usize, body: &Value) -> Result<(), (u16, Value)> {
        self.end_due_runs(at);
        if self.is_down(at) {
            return Err((NO_ANSWER, Value::Null));
        }
        let now_ms = clock::now_ms();
        let runner = &mut self.runners[at];
        if !runner.accepts_token(body) {
            return Err((409, json!({ "clock-ms": runner.clock_ms(), "reason": "fence" })));
        }
        if let Some(until_ms) = body["until-ms"].as_u64() {
            runner.extend_lease(runner.lease_end_ms(until_ms), now_ms);
        }
        let seen = body["last-seen"].as_u64().unwrap_or_default();
        let (known, left) = runner.ended.drain(..).partition(|ended| ended.number <= seen);
        runner.ended = left;
        for ended in known {
            self.acknowledge(at, ended);
        }
        Ok(())
    }

    /// Updates the history of a task when the leader acknowledges the end of a run.
    fn acknowledge(&mut self, at: usize, ended: Ended) {
        let Ended { task, run, how, at_ms, .. } = ended;
        let history = self.tasks.entry(task).or_default();
        if how == "failed" {
            history.failures.insert(run);
        }
        if how != "done" {
            return;
        }
        history.is_done = true;
        let lapses_ms = &self.runners[at].lapses_ms;
        let is_valid_at = |ms: u64| !lapses_ms.iter().any(|lapse| (at_ms..=ms).contains(lapse));
        if history.starts_ms.iter().any(|ms| *ms > at_ms && is_valid_at(*ms)) {
            self.record_violation(
                at,
                task,
                "the task was started again after it had ended as done under a valid lease",
            );
        }
    }

    /// Status of a runner; `None` if there are no unacknowledged ends.
    fn status_with_ends(&mut self, at: usize) -> Option<Value> {
        self.end_due_runs(at);
        let runner = &self.runners[at];
        let row = |(task, run): (&TaskId, &Run)| json!([task.to_string(), run.run, "", 1.0, 0.0]);
        let running: Vec<Value> = runner.running.iter().map(row).collect();
        let ended: Vec<Value> = runner
            .ended
            .iter()
            .map(|end| json!([end.number, end.task.to_string(), end.run, end.how, ""]))
            .collect();
        (!ended.is_empty()).then(|| self.status_body(at, &running, &ended))
    }

    fn status_body(&self, at: usize, running: &[Value], ended: &[Value]) -> Value {
        let runner = &self.runners[at];
        json!({ "clock-ms": runner.clock_ms(), "born": runner.born,
            "running": running, "ended-runs": ended })
    }

    fn status(&mut self, at: usize) -> Value {
        if let Some(status) = self.status_with_ends(at) {
            return status;
        }
        let row = |(task, run): (&TaskId, &Run)| json!([task.to_string(), run.run, "", 1.0, 0.0]);
        let running: Vec<Value> = self.runners[at].running.iter().map(row).collect();
        self.status_body(at, &running, &[])
    }
}

impl Capacity {
    fn new() -> Self {
        Self { now: CAPACITY, recorded: CAPACITY, replaced: Vec::new() }
    }

    fn record(&mut self) -> u64 {
        if self.now != self.recorded {
            self.replaced.push((clock::now_ms(), self.recorded));
            self.recorded = self.now;
        }
        self.recorded
    }

    /// Highest capacity that the record has shown within the allowance.
    fn limit(&self) -> u64 {
        let now_ms = clock::now_ms();
        let recent = self.replaced.iter().filter(|(at_ms, _)| now_ms < at_ms + SHRINK_ALLOWANCE_MS);
        recent.map(|(_, capacity)| *capacity).fold(self.recorded, u64::max)
    }
}

impl Runner {
    /// A new instance, whose clock starts now.
    fn new() -> Self {
        Self::starting_after(0)
    }

    /// A new instance that starts after `down_ms`.
    fn starting_after(down_ms: u64) -> Self {
        let started_ms = clock::now_ms() + down_ms;
        let born = clock::unix_ms() + down_ms;
        Self { born, started_ms, down_until_ms: started_ms, ..Self::default() }
    }

    /// The instance's own clock, in milliseconds.
    fn clock_ms(&self) -> u64 {
        clock::now_ms().saturating_sub(self.started_ms)
    }

    /// End of a lease that is given on the instance's own clock, at most `MAX_LEASE_MS` from now.
    fn lease_end_ms(&self, until_ms: u64) -> u64 {
        self.started_ms + until_ms.min(self.clock_ms() + MAX_LEASE_MS)
    }

    /// Whether an order has the highest fencing token seen so far.
    fn accepts_token(&mut self, body: &Value) -> bool {
        let token = body["fencing-token"].as_u64().unwrap_or_default();
        let is_new = token >= self.token;
        self.token = self.token.max(token);
        is_new
    }

    fn end(&mut self, task: TaskId, how: &'static str, at_ms: u64) {
        let Some(Run { run, .. }) = self.running.remove(&task) else { return };
        self.last_number += 1;
        self.ended.push(Ended { number: self.last_number, task, run, how, at_ms });
    }

    fn extend_lease(&mut self, until_ms: u64, now_ms: u64) {
        if self.until_ms < now_ms {
            self.lapses_ms.push(self.until_ms);
        }
        self.until_ms = self.until_ms.max(until_ms);
    }
}

#[derive(Clone)]
struct ServerState {
    fleet: SharedFleet,
    runner: usize,
}

/// An order that is to be carried out now.
struct Order {
    body: Value,
    /// Instance that the order arrived at, by its start in Unix milliseconds; `None` if the order
    /// was delayed.
    ///
    /// Only that instance answers, but the order is carried out by whichever there is.
    answers: Option<u64>,
}

/// Waits until an order is carried out: its delay is over and the runner is responsive.
async fn receive(request: &mut tide::Request<ServerState>) -> tide::Result<Order> {
    let body: Value = request.body_json().await?;
    let ServerState { fleet, runner } = request.state().clone();
    let (born, delay_ms) = {
        let mut fleet = lock(&fleet);
        (fleet.born(runner), fleet.order_delay_ms())
    };
    task::sleep(Duration::from_millis(delay_ms)).await;
    while clock::now_ms() < lock(&fleet).runners[runner].silent_until_ms {
        task::sleep(Duration::from_millis(POLL_MS)).await;
    }
    Ok(Order { body, answers: (delay_ms == 0).then_some(born) })
}

/// Answers an order, unless it stays unanswered.
fn respond(state: &ServerState, order: &Order, (status, body): (u16, Value)) -> tide::Response {
    if order.answers != Some(lock(&state.fleet).born(state.runner)) {
        return tide::Response::new(NO_ANSWER);
    }
    tide::Response::builder(status).content_type("application/json").body(body.to_string()).build()
}

async fn run_start(mut request: tide::Request<ServerState>) -> tide::Result {
    let order = receive(&mut request).await?;
    let state = request.state();
    let answer = lock(&state.fleet).start(state.runner, &order.body);
    Ok(respond(state, &order, answer))
}

async fn run_stop(mut request: tide::Request<ServerState>) -> tide::Result {
    let order = receive(&mut request).await?;
    let state = request.state();
    let answer = lock(&state.fleet).stop(state.runner, &order.body);
    Ok(respond(state, &order, answer))
}

async fn hold(mut request: tide::Request<ServerState>) -> tide::Result {
    let order = receive(&mut request).await?;
    let state = request.state();
    let ServerState { fleet, runner } = state;
    let held = lock(fleet).hold(*runner, &order.body);
    if let Err(refusal) = held {
        return Ok(respond(state, &order, refusal));
    }
    let ends_ms = clock::now_ms() + order.body["wait-ms"].as_u64().unwrap_or_default();
    while clock::now_ms() < ends_ms {
        if lock(fleet).status_with_ends(*runner).is_some() {
            break;
        }
        task::sleep(Duration::from_millis(POLL_MS)).await;
    }
    let status = lock(fleet).status(*runner);
    Ok(respond(state, &order, (200, status)))
}

/// Starts the HTTP server of one runner.
pub async fn serve(fleet: &SharedFleet, runner: usize) -> Server {
    let mut app = tide::with_state(ServerState { fleet: Arc::clone(fleet), runner });
    app.at("/run-start").post(run_start);
    app.at("/run-stop").post(run_stop);
    app.at("/hold").post(hold);
    Server::start("127.0.0.1:0", app, HttpConfig::default()).await.unwrap()
}
