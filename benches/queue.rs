//! Processor time of the queue scheduler, by kind of input, at the load of a large cell.
//!
//! `cargo bench --bench queue -- [RUNNERS] [SECONDS] [WORKSPACES]` simulates runners, the store and the advice
//! service, and prints the time that the scheduler takes for each started run.

#![allow(missing_docs, reason = "a benchmark")]
#![allow(clippy::print_stdout, reason = "prints its results")]

#[path = "queue/cell.rs"]
mod cell;

use std::time::Duration;

use cell::Cell;

const DEFAULT_RUNNERS: u64 = 1_100;
const DEFAULT_SECONDS: u64 = 20;

fn main() {
    let mut numbers = std::env::args().skip(1).filter_map(|argument| argument.parse().ok());
    let runners = numbers.next().unwrap_or(DEFAULT_RUNNERS);
    let seconds = numbers.next().unwrap_or(DEFAULT_SECONDS);
    let workspaces = numbers.next().unwrap_or(0);
    let mut cell = Cell::new(runners, workspaces);
    cell.run(seconds * 1_000);
    print_costs(&cell, runners, seconds);
}

#[allow(clippy::cast_precision_loss, reason = "printed figures")]
fn print_costs(cell: &Cell, runners: u64, seconds: u64) {
    let runs = cell.started_runs.max(1);
    println!("{runners} runners, {seconds} s, {runs} runs, {} jobs completed", cell.ended_jobs);
    println!("{:<12} {:>10} {:>14} {:>14}", "kind", "calls", "us a call", "us a run");
    let mut total = Duration::ZERO;
    for (kind, cost) in &cell.costs {
        let us = cost.spent.as_secs_f64() * 1e6;
        let (a_call, a_run) = (us / cost.calls.max(1) as f64, us / runs as f64);
        println!("{kind:<12} {:>10} {a_call:>14.2} {a_run:>14.2}", cost.calls);
        total += cost.spent;
    }
    println!("{:<12} {:>40.2}", "all", total.as_secs_f64() * 1e6 / runs as f64);
    println!(
        "first start after submission: p50 {} ms, p95 {} ms",
        cell.wait_ms(50),
        cell.wait_ms(95)
    );
}
