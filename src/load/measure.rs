//! Runs a plan against a cell and compares what callers were told with what endpoints ran.

use super::cell::Cell;
use super::driver::{self, Told};
use super::plan::Plan;
use super::results::{Run, Target};
use crate::collections::HashMap;
use crate::outcome::Outcome;
use crate::standin::runner::RunnerStandin;

/// What a plan showed.
#[derive(Debug)]
pub(super) struct Measured {
    /// What every caller was told.
    pub(super) told: Vec<Told>,
    /// The run for the results; its windows are still to be filled in.
    pub(super) run: Run,
}

/// Runs a plan against all entry hosts of a cell.
pub(super) async fn measure(cell: &Cell, plan: &Plan, name: &str) -> Measured {
    let told = driver::run(plan, &cell.targets()).await;
    let mut run = Run { name: name.to_owned(), ..Run::default() };
    check_truth(cell, &told, &mut run);
    Measured { told, run }
}

/// Runs a plan straight against the first endpoint of a cell.
pub(super) async fn direct(cell: &Cell, plan: &Plan) -> Vec<Told> {
    let targets: Vec<String> = cell.runners.iter().take(1).map(RunnerStandin::address).collect();
    let mut told = driver::run(plan, &targets).await;
    // An endpoint that is asked directly tells no outcome.
    const OK: u16 = 200;
    for one in told.iter_mut().filter(|one| one.status == OK) {
        one.outcome = Some(Outcome::Done);
    }
    told
}

/// Compares the endpoints' own records with the outcomes that callers got.
fn check_truth(cell: &Cell, told: &[Told], run: &mut Run) {
    let mut runs: HashMap<String, u64> = HashMap::default();
    let mut over_slots = 0;
    let mut most_connections = 0;
    for runner in &cell.runners {
        let records = runner.records();
        over_slots += records.over_slots;
        most_connections = most_connections.max(records.max_connections);
        records.runs.iter().for_each(|one| *runs.entry(one.key.clone()).or_default() += 1);
    }
    let runs_of = |one: &Told| runs.get(&one.key).copied().unwrap_or(0);
    let doubles = told.iter().filter(|one| !one.arrival.is_idempotent && runs_of(one) > 1).count();
    let not_run = told.iter().filter(|one| one.outcome == Some(Outcome::NotRun));
    let wrong_not_run = not_run.filter(|one| runs_of(one) > 0).count();
    let done = told.iter().filter(|one| one.outcome == Some(Outcome::Done));
    const SERVER_ERROR: u16 = 500;
    let answered = done.filter(|one| one.status < SERVER_ERROR);
    let wrong_answers = answered.filter(|one| !one.is_own_answer).count();
    let zeros = [
        ("non-idempotent doubles", doubles as f64),
        ("wrong not_run", wrong_not_run as f64),
        ("wrong answers", wrong_answers as f64),
        ("sends above the slots of an endpoint", over_slots as f64),
    ];
    run.targets.extend(zeros.map(|(name, count)| Target::at_most(name, count, 0.0)));
    const MAX_CONNECTIONS: f64 = 64.0;
    let connections = most_connections as f64;
    run.targets.push(Target::at_most("connections to an endpoint", connections, MAX_CONNECTIONS));
}
