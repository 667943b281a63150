//! Test oracle: checks the cell's guarantees against the records of runners and workers.
//!
//! It asks no daemon: it compares the answers that callers received with what
//! the stand-ins recorded.

use serde::{Deserialize, Serialize};

use crate::collections::{HashMap, HashSet};
use crate::load::driver::CallerResult;
use crate::outcome::Outcome;
use crate::place::message::TaskId;
use crate::standin::runner::Records;
use crate::standin::worker::agent::{Run, WorkerRecord};

/// Number of examples kept of each broken promise.
const MAX_EXAMPLES: usize = 3;

/// A guarantee of the cell that the oracle checks; printed under "promises broken".
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// A `done` answer is complete and belongs to its request.
    OwnAnswer,
    /// A request answered with `not_run` did not run.
    NotRunMeansNotRun,
    /// A request answered with `done` did run.
    DoneMeansRun,
    /// A request that is not idempotent runs at most once.
    AtMostOnce,
    /// A runner is never sent more requests at once than it has slots.
    RunnerSlots,
    /// A runner never has more open connections than it declares.
    RunnerConnections,
    /// The resources reserved on a worker never exceed its capacity.
    WorkerMeans,
    /// A task never runs on two workers at once, nor twice on one.
    OnePlace,
    /// The tasks of a gang start together or not at all.
    GangWhole,
}

/// One promise that was broken in a run, with examples of the cases.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Violation {
    /// Guarantee that did not hold.
    pub promise: Promise,
    /// How many times it was broken.
    pub count: u64,
    /// Descriptions of the first three cases.
    pub examples: Vec<String>,
}

/// Collects violations by promise.
#[derive(Debug, Default)]
pub struct Violations {
    found: HashMap<Promise, Violation>,
}

impl Violations {
    /// Creates an empty collection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds one violation, described by `example`.
    pub fn push(&mut self, promise: Promise, example: impl Into<String>) {
        let violation = self.found.entry(promise).or_insert_with(|| Violation {
            promise,
            count: 0,
            examples: Vec::new(),
        });
        violation.count += 1;
        if violation.examples.len() < MAX_EXAMPLES {
            violation.examples.push(example.into());
        }
    }

    /// Returns the violations in the order of [`Promise`].
    pub fn into_sorted(self) -> Vec<Violation> {
        let mut found: Vec<Violation> = self.found.into_values().collect();
        found.sort_by_key(|violation| violation.promise);
        found
    }
}

/// The record of one runner with its declared limits.
#[derive(Clone, Debug)]
pub struct RunnerRecord {
    /// Name of the runner.
    pub name: String,
    /// Declared number of requests that it runs at once.
    pub slots: u32,
    /// Declared number of connections that it accepts at once.
    pub connections: u32,
    /// What the runner recorded itself.
    pub records: Records,
}

/// Checks the answers that callers received against the records of the runners.
///
/// ```
/// use hemlockrock::demo::oracle;
///
/// let mut violations = oracle::Violations::new();
/// oracle::check_requests(&[], &[], &mut violations);
/// assert!(violations.into_sorted().is_empty());
/// ```
pub fn check_requests(
    results: &[CallerResult],
    runners: &[RunnerRecord],
    violations: &mut Violations,
) {
    let runs = runs_by_key(runners);
    for result in results {
        check_request(result, runs.get(result.key.as_str()).copied().unwrap_or(0), violations);
    }
    for runner in runners {
        check_limits(runner, violations);
    }
}

fn runs_by_key(runners: &[RunnerRecord]) -> HashMap<&str, u64> {
    let mut runs = HashMap::default();
    for run in runners.iter().flat_map(|runner| &runner.records.runs) {
        *runs.entry(run.key.as_str()).or_insert(0) += 1;
    }
    runs
}

fn check_request(result: &CallerResult, runs: u64, violations: &mut Violations) {
    let key = &result.key;
    if !result.arrival.is_idempotent && runs > 1 {
        violations.push(Promise::AtMostOnce, format!("{key} ran {runs} times"));
    }
    match result.outcome {
        Some(Outcome::NotRun) if runs > 0 => {
            violations.push(Promise::NotRunMeansNotRun, format!("{key} ran {runs} times"));
        }
        Some(Outcome::Done) if runs == 0 => {
            violations.push(Promise::DoneMeansRun, format!("{key} never ran"));
        }
        Some(Outcome::Done) if !result.is_own_answer => {
            violations.push(Promise::OwnAnswer, format!("{key} got another answer"));
        }
        _ => {}
    }
}

fn check_limits(runner: &RunnerRecord, violations: &mut Violations) {
    let RunnerRecord { name, slots, connections, records } = runner;
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

/// A gang job whose tasks have to start together.
#[derive(Clone, Debug)]
pub struct ExpectedGang {
    /// Id of the job.
    pub job_id: String,
    /// Number of its tasks.
    pub tasks: u32,
}

/// Checks reservations on workers, that each task ran in one place, and that gangs started whole.
pub fn check_tasks(
    workers: &[(String, WorkerRecord)],
    gangs: &[ExpectedGang],
    violations: &mut Violations,
) {
    for (name, record) in workers {
        if !record.max_reserved.fits(record.capacity) {
            let example = format!("{name}: {:?} of {:?}", record.max_reserved, record.capacity);
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

fn runs_by_task(workers: &[(String, WorkerRecord)]) -> HashMap<&TaskId, Vec<(&str, &Run)>> {
    let mut by_task: HashMap<&TaskId, Vec<(&str, &Run)>> = HashMap::default();
    for (name, record) in workers {
        for run in &record.runs {
            by_task.entry(&run.task).or_default().push((name, run));
        }
    }
    by_task
}

/// Adds a violation for each run that began before the previous one had ended.
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

fn check_gang(
    gang: &ExpectedGang,
    workers: &[(String, WorkerRecord)],
    violations: &mut Violations,
) {
    let runs = workers.iter().flat_map(|(_, record)| &record.runs);
    let own = runs.filter(|run| *run.task.job_id == *gang.job_id);
    let started: HashSet<u32> = own.map(|run| run.task.index).collect();
    if !started.is_empty() && started.len() != gang.tasks as usize {
        let example = format!("{}: {} of {} tasks", gang.job_id, started.len(), gang.tasks);
        violations.push(Promise::GangWhole, example);
    }
}
