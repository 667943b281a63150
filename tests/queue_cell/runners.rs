//! Stand-ins of runners that start whatever they are told to, and note each broken promise.

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

/// Attempts of a task in the queue of the cell.
pub const ATTEMPTS: u32 = 4;

/// Thousandths of a core of each runner.
pub const CAPACITY: u64 = 8_000;

/// Share of runs that fail, one in so many.
const FAILS_ONE_IN: u64 = 25;

const LOOK_MS: u64 = 10;
const HOLD_LIMIT_MS: u64 = 10_000;

/// A job as its caller wants it.
#[derive(Clone, Debug)]
pub struct Plan {
    pub spec: String,
    /// Tasks, thousandths of a core and milliseconds of each step; each step follows the one before.
    pub steps: Vec<(u32, u64, u64)>,
}

/// What is known of a task over all runners.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// A run of it has ended as done, in whatever life of its runner.
    has_ended_done: bool,
    /// An end as done was acknowledged.
    pub is_done: bool,
    /// Failed runs whose ends were acknowledged.
    pub failures: BTreeSet<u64>,
    /// When a run of it began last.
    started_ms: u64,
}

#[derive(Clone, Debug)]
struct Run {
    run: u64,
    cpu: u64,
    ends_ms: u64,
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
    born: u64,
    token: u64,
    until_ms: u64,
    running: BTreeMap<TaskId, Run>,
    ended: Vec<Ended>,
    /// When the lease lapsed, each time.
    lapses_ms: Vec<u64>,
    last_number: u64,
    highest: BTreeMap<TaskId, u64>,
    silent_until_ms: u64,
}

/// All runners, the jobs, and what went wrong.
#[derive(Debug, Default)]
pub struct World {
    runners: Vec<Runner>,
    pub jobs: BTreeMap<JobId, Plan>,
    pub tasks: BTreeMap<TaskId, History>,
    pub broken: Vec<String>,
    pub starts: u64,
}

pub type Shared = Arc<Mutex<World>>;

pub fn lock(world: &Shared) -> MutexGuard<'_, World> {
    world.lock().unwrap()
}

impl World {
    /// Adds a runner and returns its number.
    pub fn add(&mut self) -> usize {
        self.runners.push(Runner { born: clock::unix_ms(), ..Runner::default() });
        self.runners.len() - 1
    }

    pub fn born(&self, runner: usize) -> u64 {
        self.runners[runner].born
    }

    /// Lets a runner carry out nothing until then; what arrives meanwhile is carried out late.
    pub fn silence(&mut self, runner: usize, until_ms: u64) {
        self.runners[runner].silent_until_ms = until_ms;
    }

    /// Ends the life of a runner and begins another.
    pub fn restart(&mut self, runner: usize) {
        self.runners[runner] = Runner { born: clock::unix_ms(), ..Runner::default() };
    }

    /// Tasks that run anywhere now.
    pub fn running(&mut self) -> Vec<TaskId> {
        (0..self.runners.len()).for_each(|runner| self.advance(runner));
        self.runners.iter().flat_map(|runner| runner.running.keys().copied()).collect()
    }

    /// Lets the runs end whose work is done or whose lease is over.
    fn advance(&mut self, at: usize) {
        let now_ms = clock::now_ms();
        let runner = &mut self.runners[at];
        let lapsed_ms = runner.until_ms;
        let ends = |run: &Run| run.ends_ms.min(lapsed_ms);
        let mut over: Vec<(u64, TaskId)> = runner
            .running
            .iter()
            .filter(|(_, run)| ends(run) <= now_ms)
            .map(|(task, run)| (ends(run), *task))
            .collect();
        over.sort_unstable();
        for (at_ms, task) in over {
            let how = match runner.running.get(&task) {
                Some(run) if run.ends_ms <= lapsed_ms => run.how,
                _ => "lapsed",
            };
            runner.end(task, how, at_ms);
            if how == "done" {
                self.tasks.entry(task).or_default().has_ended_done = true;
            }
        }
    }

    fn report(&mut self, runner: usize, task: TaskId, what: &str) {
        self.broken.push(format!("{what}: {task} at runner {runner}, {} ms", clock::now_ms()));
    }

    fn start(&mut self, at: usize, body: &Value) -> (u16, Value) {
        (0..self.runners.len()).for_each(|runner| self.advance(runner));
        let now_ms = clock::now_ms();
        let refuse = |reason: &str| (409, json!({ "clock-ms": now_ms, "reason": reason }));
        let Some(task) = body["task"].as_str().and_then(TaskId::parse) else {
            return (400, json!({ "clock-ms": now_ms }));
        };
        let run = body["run"].as_u64().unwrap();
        let until_ms = body["until-ms"].as_u64().unwrap().min(now_ms + HOLD_LIMIT_MS);
        let runner = &mut self.runners[at];
        if !runner.admits(body) {
            return refuse("fence");
        }
        runner.extend(until_ms, now_ms);
        if runner.running.get(&task).is_some_and(|known| known.run == run) {
            return (200, json!({ "clock-ms": now_ms }));
        }
        if runner.highest.get(&task).is_some_and(|highest| *highest >= run) {
            return refuse("old");
        }
        if until_ms <= now_ms {
            return refuse("late");
        }
        self.judge(at, task, body);
        let plan = self
            .jobs
            .get(&task.step.job)
            .and_then(|plan| plan.steps.get(task.step.step as usize).copied());
        let (_, cpu, work_ms) = plan.unwrap_or((0, 0, 100));
        let luck = collections::stable_hash(format!("{task}/{run}")) % FAILS_ONE_IN;
        let how = if luck == 0 { "failed" } else { "done" };
        let runner = &mut self.runners[at];
        runner.highest.insert(task, run);
        runner.running.insert(task, Run { run, cpu, ends_ms: now_ms + work_ms, how });
        self.tasks.entry(task).or_default().started_ms = now_ms;
        self.starts += 1;
        (200, json!({ "clock-ms": now_ms }))
    }

    /// Notes what a start breaks.
    fn judge(&mut self, at: usize, task: TaskId, body: &Value) {
        let Some(plan) = self.jobs.get(&task.step.job).cloned() else {
            return self.report(at, task, "nobody asked for it");
        };
        if body["spec"].as_str() != Some(plan.spec.as_str()) {
            self.report(at, task, "another text");
        }
        let step = task.step.step as usize;
        let Some((_, cpu, _)) = plan.steps.get(step).copied() else {
            return self.report(at, task, "no such step");
        };
        if self.runners.iter().any(|runner| runner.running.contains_key(&task)) {
            self.report(at, task, "it runs already");
        }
        let history = self.tasks.entry(task).or_default().clone();
        if history.is_done {
            self.report(at, task, "it is done already");
        }
        if history.failures.len() >= ATTEMPTS as usize {
            self.report(at, task, "no attempt is left");
        }
        let used: u64 = self.runners[at].running.values().map(|run| run.cpu).sum();
        if used + cpu > CAPACITY {
            self.report(at, task, "no room");
        }
        for earlier in 0..step {
            let count = plan.steps[earlier].0;
            let is_done = |index: u32| {
                let mut before = task;
                (before.step.step, before.index) = (earlier as u32, index);
                self.tasks.get(&before).is_some_and(|history| history.has_ended_done)
            };
            if !(0..count).all(is_done) {
                self.report(at, task, "an earlier step is not done");
            }
        }
    }

    fn stop(&mut self, at: usize, body: &Value) -> (u16, Value) {
        self.advance(at);
        let now_ms = clock::now_ms();
        let runner = &mut self.runners[at];
        let Some(task) = body["task"].as_str().and_then(TaskId::parse) else {
            return (400, json!({ "clock-ms": now_ms }));
        };
        if !runner.admits(body) {
            return (409, json!({ "clock-ms": now_ms, "reason": "fence" }));
        }
        let run = body["run"].as_u64().unwrap();
        if runner.running.get(&task).is_some_and(|known| known.run <= run) {
            runner.end(task, "stopped", now_ms);
        }
        let highest = runner.highest.entry(task).or_default();
        *highest = run.max(*highest);
        (200, json!({ "clock-ms": now_ms }))
    }

    fn hold(&mut self, at: usize, body: &Value) -> Result<(), (u16, Value)> {
        self.advance(at);
        let now_ms = clock::now_ms();
        let runner = &mut self.runners[at];
        if !runner.admits(body) {
            return Err((409, json!({ "clock-ms": now_ms, "reason": "fence" })));
        }
        if let Some(until_ms) = body["until-ms"].as_u64() {
            runner.extend(until_ms.min(now_ms + HOLD_LIMIT_MS), now_ms);
        }
        let seen = body["last-seen"].as_u64().unwrap_or_default();
        let (known, left) = runner.ended.drain(..).partition(|ended| ended.number <= seen);
        runner.ended = left;
        for ended in known {
            self.acknowledge(at, ended);
        }
        Ok(())
    }

    /// Takes in that the sender knows of an end.
    fn acknowledge(&mut self, at: usize, ended: Ended) {
        let Ended { task, run, how, at_ms, .. } = ended;
        let history = self.tasks.entry(task).or_default();
        if how == "failed" {
            history.failures.insert(run);
        }
        if how != "done" {
            return;
        }
        let again_ms = history.started_ms;
        history.is_done = true;
        let lapsed = |ms: &u64| (at_ms..=again_ms).contains(ms);
        if again_ms > at_ms && !self.runners[at].lapses_ms.iter().any(lapsed) {
            self.report(at, task, "it was started again after an end that counts");
        }
    }

    fn lists(&mut self, at: usize) -> Option<Value> {
        self.advance(at);
        let runner = &self.runners[at];
        let row = |(task, run): (&TaskId, &Run)| json!([task.to_string(), run.run, "", 1.0, 0.0]);
        let running: Vec<Value> = runner.running.iter().map(row).collect();
        let ended: Vec<Value> = runner
            .ended
            .iter()
            .map(|end| json!([end.number, end.task.to_string(), end.run, end.how, ""]))
            .collect();
        (!ended.is_empty()).then(|| self.answer(at, &running, &ended))
    }

    fn answer(&self, at: usize, running: &[Value], ended: &[Value]) -> Value {
        json!({ "clock-ms": clock::now_ms(), "born": self.runners[at].born,
            "running": running, "ended-runs": ended })
    }

    fn all_lists(&mut self, at: usize) -> Value {
        if let Some(lists) = self.lists(at) {
            return lists;
        }
        let row = |(task, run): (&TaskId, &Run)| json!([task.to_string(), run.run, "", 1.0, 0.0]);
        let running: Vec<Value> = self.runners[at].running.iter().map(row).collect();
        self.answer(at, &running, &[])
    }
}

impl Runner {
    /// Whether an order comes from the newest sender known.
    fn admits(&mut self, body: &Value) -> bool {
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

    fn extend(&mut self, until_ms: u64, now_ms: u64) {
        if self.until_ms < now_ms {
            self.lapses_ms.push(self.until_ms);
        }
        self.until_ms = self.until_ms.max(until_ms);
    }
}

#[derive(Clone)]
struct At {
    world: Shared,
    runner: usize,
}

/// Waits while the runner is silent, and reads what it was told; nothing if its life has ended.
async fn read(request: &mut tide::Request<At>) -> tide::Result<Option<Value>> {
    let body: Value = request.body_json().await?;
    let At { world, runner } = request.state().clone();
    let born = lock(&world).runners[runner].born;
    loop {
        let until_ms = lock(&world).runners[runner].silent_until_ms;
        if clock::now_ms() >= until_ms {
            break;
        }
        task::sleep(Duration::from_millis(LOOK_MS)).await;
    }
    let lives = lock(&world).runners[runner].born == born;
    Ok(lives.then_some(body))
}

fn respond((status, body): (u16, Value)) -> tide::Response {
    tide::Response::builder(status).content_type("application/json").body(body.to_string()).build()
}

fn gone() -> tide::Response {
    tide::Response::new(500)
}

async fn run_start(mut request: tide::Request<At>) -> tide::Result {
    let Some(body) = read(&mut request).await? else { return Ok(gone()) };
    let At { world, runner } = request.state();
    let answer = lock(world).start(*runner, &body);
    Ok(respond(answer))
}

async fn run_stop(mut request: tide::Request<At>) -> tide::Result {
    let Some(body) = read(&mut request).await? else { return Ok(gone()) };
    let At { world, runner } = request.state();
    let answer = lock(world).stop(*runner, &body);
    Ok(respond(answer))
}

async fn hold(mut request: tide::Request<At>) -> tide::Result {
    let Some(body) = read(&mut request).await? else { return Ok(gone()) };
    let At { world, runner } = request.state().clone();
    if let Err(refusal) = lock(&world).hold(runner, &body) {
        return Ok(respond(refusal));
    }
    let ends_ms = clock::now_ms() + body["wait-ms"].as_u64().unwrap_or_default();
    while clock::now_ms() < ends_ms {
        if lock(&world).lists(runner).is_some() {
            break;
        }
        task::sleep(Duration::from_millis(LOOK_MS)).await;
    }
    let lists = lock(&world).all_lists(runner);
    Ok(respond((200, lists)))
}

/// Starts the server of one runner.
pub async fn serve(world: &Shared, runner: usize) -> Server {
    let mut app = tide::with_state(At { world: Arc::clone(world), runner });
    app.at("/run-start").post(run_start);
    app.at("/run-stop").post(run_stop);
    app.at("/hold").post(hold);
    Server::start("127.0.0.1:0", app, HttpConfig::default()).await.unwrap()
}
