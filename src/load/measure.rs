//! Runs a plan against a cell and checks the answers that callers got against what endpoints ran.

use super::cell::Cell;
use super::driver::{self, CallerResult};
use super::plan::Plan;
use super::results::{Run, Target};
use crate::collections::HashMap;
use crate::outcome::Outcome;
use crate::standin::runner::RunnerStandin;

/// Results of a plan.
#[derive(Debug)]
pub(super) struct Measurement {
    /// Answers that callers got, in the order of the plan.
    pub(super) results: Vec<CallerResult>,
    /// The run with the targets of the check; the measurement itself adds windows and figures.
    pub(super) run: Run,
}

/// Runs a plan against all entry hosts of a cell and checks the answers.
pub(super) async fn measure(cell: &Cell, plan: &Plan, name: &str) -> Measurement {
    let results = driver::run(plan, &cell.targets()).await;
    let mut run = Run { name: name.to_owned(), ..Run::default() };
    check_against_endpoints(cell, &results, &mut run);
    Measurement { results, run }
}

/// Runs a plan directly against the first endpoint of a cell, without an entry host.
pub(super) async fn measure_direct(cell: &Cell, plan: &Plan) -> Vec<CallerResult> {
    let targets: Vec<String> = cell.runners.iter().take(1).map(RunnerStandin::address).collect();
    let mut results = driver::run(plan, &targets).await;
    // Only entry hosts send the outcome header, so a direct answer has none.
    const OK: u16 = 200;
    for result in results.iter_mut().filter(|result| result.status == OK) {
        result.outcome = Some(Outcome::Done);
    }
    results
}

/// Compares the answers with the endpoints' own records and adds a target for each guarantee:
/// at most one run of a non-idempotent request, no run behind `not_run`, no answer of another
/// request, and no more requests or connections at an endpoint than it allows.
fn check_against_endpoints(cell: &Cell, results: &[CallerResult], run: &mut Run) {
    let mut runs_by_key: HashMap<String, u64> = HashMap::default();
    let mut over_slots = 0;
    let mut most_connections = 0;
    for runner in &cell.runners {
        let records = runner.records();
        over_slots += records.over_slots;
        most_connections = most_connections.max(records.max_connections);
        records.runs.iter().for_each(|run| *runs_by_key.entry(run.key.clone()).or_default() += 1);
    }
    let runs_of = |result: &CallerResult| runs_by_key.get(&result.key).copied().unwrap_or(0);
    let is_double = |result: &&CallerResult| !result.arrival.is_idempotent && runs_of(result) > 1;
    let doubles = results.iter().filter(is_double).count();
    let not_run = results.iter().filter(|result| result.outcome == Some(Outcome::NotRun));
    let wrong_not_run = not_run.filter(|result| runs_of(result) > 0).count();
    let done = results.iter().filter(|result| result.outcome == Some(Outcome::Done));
    const SERVER_ERROR: u16 = 500;
    let answered = done.filter(|result| result.status < SERVER_ERROR);
    let wrong_answers = answered.filter(|result| !result.is_own_answer).count();
    let violations = [
        ("non-idempotent doubles", doubles as f64),
        ("wrong not_run", wrong_not_run as f64),
        ("wrong answers", wrong_answers as f64),
        ("sends above the slots of an endpoint", over_slots as f64),
    ];
    run.targets.extend(violations.map(|(name, count)| Target::at_most(name, count, 0.0)));
    // As many connections as the cell declares for each endpoint.
    const MAX_CONNECTIONS: f64 = 64.0;
    let connections = most_connections as f64;
    run.targets.push(Target::at_most("connections to an endpoint", connections, MAX_CONNECTIONS));
}
