//! Latency of single requests through real entry processes; prints the figures for
//! docs/measurements.
#![allow(clippy::disallowed_methods, reason = "tests block their own thread")]
#![allow(clippy::print_stdout, reason = "prints the figures for docs/measurements")]

#[path = "requests/cell.rs"]
mod cell;
mod support;

use std::time::{Duration, Instant};

use cell::{Cell, CellPlan, TestRequest};

const REQUESTS: usize = 300;

/// Upper bound on the median latency of a request that runs for 1 ms.
const MEDIAN_LIMIT: Duration = Duration::from_millis(250);

/// Sends requests one after the other and returns their latencies, sorted.
fn times(cell: &Cell, entry: usize, request: impl Fn(usize) -> TestRequest) -> Vec<Duration> {
    let mut times: Vec<Duration> = (0..REQUESTS)
        .map(|number| {
            let begun = Instant::now();
            let answer = cell.send(entry, &request(number).with_run_ms(1));
            assert_eq!(answer.outcome(), "done", "{answer:?}");
            begun.elapsed()
        })
        .collect();
    times.sort();
    times
}

/// Prints the percentiles and checks the median.
fn report(name: &str, times: &[Duration]) {
    let at = |percent: usize| times[times.len() * percent / 100];
    println!("{name}: p50 {:?} p99 {:?}", at(50), at(99));
    assert!(at(50) < MEDIAN_LIMIT, "{name}: {:?}", at(50));
}

#[test]
fn one_request_at_a_time() {
    let one = Cell::start(CellPlan { runners: 1, ..CellPlan::default() });
    report("idempotent, no hop", &times(&one, 0, |_| TestRequest::idempotent()));
    report("keyed, no hop", &times(&one, 0, |number| TestRequest::new(format!("k{number}"))));
    drop(one);
    let plan = CellPlan { entries: vec!["z1", "z1"], runners: 1, ..CellPlan::default() };
    let two = Cell::start(plan);
    let owner = usize::from(two.owned_by(1) == 1);
    report("idempotent, one hop", &times(&two, 1 - owner, |_| TestRequest::idempotent()));
}
