//! Checks the promises against what endpoints and workers recorded themselves.
//!
//! The oracle never asks a daemon: it compares what callers were told with
//! the records of the stand-ins.

use serde::{Deserialize, Serialize};

use crate::collections::{HashMap, HashSet};
use crate::load::driver::Told;
use crate::outcome::Outcome;
use crate::place::message::TaskId;
use crate::standin::runner::Records;
use crate::standin::worker::agent::{Run, Truth};

/// Examples that are kept of each broken promise.
const EXAMPLE_LIMIT: usize = 3;

/// A promise that can be broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// A `done` answer is whole and the request's own.
    OwnAnswer,
    /// A request that was told `not_run` did not run.
    NotRunMeansNotRun,
    /// A request told `done` did run.
    DoneMeansRun,
    /// A request that must not repeat runs at most once.
    AtMostOnce,
    /// A runner never has more requests than slots.
    RunnerSlots,
    /// A runner never has more connections than it accepts.
    RunnerConnections,
    /// A worker is never given more than its means.
    WorkerMeans,
    /// A task never runs in two places at once.
    OnePlace,
    /// The tasks of a gang start together or not at all.
    GangWhole,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Violation {
    /// Which promise.
    pub promise: Promise,
    /// How often.
    pub count: u64,
    /// What was seen, for the first few.
    pub examples: Vec<String>,
}

/// Collects violations by promise.
#[derive(Debug, Default)]
pub struct Violations {
    found: HashMap<Promise, Violation>,
}

impl Violations {
    /// No violations yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes one violation.
    pub fn push(&mut self, promise: Promise, example: impl Into<String>) {
        let violation = self.found.entry(promise).or_insert_with(|| Violation {
            promise,
            count: 0,
            examples: Vec::new(),
        });
        violation.count += 1;
        if violation.examples.len() < EXAMPLE_LIMIT {
            violation.examples.push(example.into());
        }
    }

    /// The violations in the order of the promises.
    pub fn into_sorted(self) -> Vec<Violation> {
        let mut found: Vec<Violation> = self.found.into_values().collect();
        found.sort_by_key(|violation| violation.promise);
        found
    }
}

/// What one runner recorded, beside its declared limits.
#[derive(Clone, Debug)]
pub struct RunnerTruth {
    /// Name of the runner.
    pub name: String,
    /// Requests that it may run at once.
    pub slots: u32,
    /// Connections that it may have at once.
    pub connections: u32,
    /// Its own record.
    pub records: Records,
}

/// Checks what callers were told against the records of the runners.
///
/// ```
/// use hemlockrock::demo::oracle;
///
/// let mut violations = oracle::Violations::new();
/// oracle::check_requests(&[], &[], &mut violations);
/// assert!(violations.into_sorted().is_empty());
/// ```
pub fn check_requests(told: &[Told], runners: &[RunnerTruth], violations: &mut Violations) {
    let runs = runs_by_key(runners);
    for one in told {
        check_one(one, runs.get(one.key.as_str()).copied().unwrap_or(0), violations);
    }
    for runner in runners {
        check_limits(runner, violations);
    }
}

fn runs_by_key(runners: &[RunnerTruth]) -> HashMap<&str, u64> {
    let mut runs = HashMap::default();
    for run in runners.iter().flat_map(|runner| &runner.records.runs) {
        *runs.entry(run.key.as_str()).or_insert(0) += 1;
    }
    runs
}

fn check_one(told: &Told, runs: u64, violations: &mut Violations) {
    let key = &told.key;
    if !told.arrival.is_idempotent && runs > 1 {
        violations.push(Promise::AtMostOnce, format!("{key} ran {runs} times"));
    }
    match told.outcome {
        Some(Outcome::NotRun) if runs > 0 => {
            violations.push(Promise::NotRunMeansNotRun, format!("{key} ran {runs} times"));
        }
        Some(Outcome::Done) if runs == 0 => {
            violations.push(Promise::DoneMeansRun, format!("{key} never ran"));
        }
        Some(Outcome::Done) if !told.is_own_answer => {
            violations.push(Promise::OwnAnswer, format!("{key} got another answer"));
        }
        _ => {}
    }
}

fn check_limits(runner: &RunnerTruth, violations: &mut Violations) {
    let RunnerTruth { name, slots, connections, records } = runner;
    if records.max_busy > *slots || records.over_slots > 0 {
        let over = records.over_slots;
        let at_ms = &records.over_slots_at_ms;
        let busy = records.max_busy;
        let example = format!("{name}: {busy} of {slots} busy, {over} sent over at {at_ms:?}");
        violations.push(Promise::RunnerSlots, example);
    }
    if records.max_connections > *connections as usize {
        let example = format!("{name}: {} of {connections}", records.max_connections);
        violations.push(Promise::RunnerConnections, example);
    }
}

/// A gang job and how many tasks it has.
#[derive(Clone, Debug)]
pub struct GangTruth {
    /// Id of the job.
    pub job_id: String,
    /// Tasks that start together.
    pub tasks: u32,
}

/// Checks what workers were given and where tasks ran.
pub fn check_tasks(workers: &[(String, Truth)], gangs: &[GangTruth], violations: &mut Violations) {
    for (name, truth) in workers {
        if !truth.max_reserved.fits(truth.means) {
            let example = format!("{name}: {:?} of {:?}", truth.max_reserved, truth.means);
            violations.push(Promise::WorkerMeans, example);
        }
    }
    for (task, runs) in runs_by_task(workers) {
        check_one_place(task, runs, violations);
    }
    for gang in gangs {
        check_gang(gang, workers, violations);
    }
}

fn runs_by_task(workers: &[(String, Truth)]) -> HashMap<&TaskId, Vec<(&str, &Run)>> {
    let mut by_task: HashMap<&TaskId, Vec<(&str, &Run)>> = HashMap::default();
    for (name, truth) in workers {
        for run in &truth.runs {
            by_task.entry(&run.task).or_default().push((name, run));
        }
    }
    by_task
}

/// Reports each run that began before the one before it had ended.
fn check_one_place(task: &TaskId, mut runs: Vec<(&str, &Run)>, violations: &mut Violations) {
    runs.sort_by_key(|(_, run)| run.started_at_ms);
    for pair in runs.windows(2) {
        let [(first_worker, first), (second_worker, second)] = pair else { continue };
        let has_ended =
            first.ended.is_some_and(|(ended_at_ms, _)| ended_at_ms <= second.started_at_ms);
        if !has_ended {
            let example = format!("{task:?} on {first_worker} and {second_worker}");
            violations.push(Promise::OnePlace, example);
        }
    }
}

fn check_gang(gang: &GangTruth, workers: &[(String, Truth)], violations: &mut Violations) {
    let runs = workers.iter().flat_map(|(_, truth)| &truth.runs);
    let own = runs.filter(|run| *run.task.job_id == *gang.job_id);
    let started: HashSet<u32> = own.map(|run| run.task.index).collect();
    if !started.is_empty() && started.len() != gang.tasks as usize {
        let example = format!("{}: {} of {} tasks", gang.job_id, started.len(), gang.tasks);
        violations.push(Promise::GangWhole, example);
    }
}
