//! Benchmarks of the placer with real processes, run by hand; see `docs/measurements/placer.md`.
//!
//! Usage: `cargo bench --bench jobs -- takeover|urgent|control`
#![allow(clippy::unwrap_used, reason = "a benchmark aborts on errors")]
#![allow(clippy::disallowed_methods, reason = "main blocks on the benchmark")]
#![allow(clippy::print_stdout, missing_docs, reason = "a benchmark prints its results")]

#[path = "../tests/jobs_cell/mod.rs"]
mod jobs_cell;
#[path = "../tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use async_std::task;
use hemlockrock::clock;
use hemlockrock::place::spec::{Priority, Resources};
use hemlockrock::standin::worker::Mode;
use jobs_cell::{sleep_job, TestCell, Timing, TIMEOUT};
use support::eventually;

/// Run time of tasks that outlast every benchmark, in milliseconds.
const FOREVER_MS: u64 = 3_600_000;

fn main() {
    let name = std::env::args().nth(1).unwrap_or_default();
    task::block_on(async {
        match name.as_str() {
            "takeover" => takeover().await,
            "urgent" => urgent_starts_at_full_load().await,
            "control" => cost_of_control().await,
            _ => println!("expected takeover, urgent or control"),
        }
    });
}

/// Time from the kill of the active placer until its standby starts a task.
async fn takeover() {
    const RUNS: usize = 8;
    let mut took_ms = Vec::new();
    for run in 0..RUNS {
        let mut cell = TestCell::start(50).await.with_timing(Timing::daemon_defaults());
        let first = cell.add_placer("p1");
        eventually("p1 holds the zone", TIMEOUT, || cell.holder().is_some());
        let second = cell.add_placer("p2");
        cell.submit_until_accepted(first, &sleep_job("busy", 150, FOREVER_MS)).await;
        eventually("all run", TIMEOUT, || cell.running_of("busy") == 150);
        // Varies the time of the kill within the interval between two lease renewals.
        task::sleep(Duration::from_millis(2_000 + 137 * run as u64)).await;
        let killed = Instant::now();
        cell.placers[first].kill();
        cell.submit_until_accepted(second, &sleep_job("after", 1, 10)).await;
        eventually("the new holder places tasks", TIMEOUT, || !cell.runs_of("after").is_empty());
        took_ms.push(killed.elapsed().as_millis());
        task::sleep(Duration::from_secs(12)).await;
        assert_eq!((cell.running_of("busy"), cell.interrupted_runs()), (150, 0));
        cell.check_each_task_finished_once();
    }
    println!("takeover: 50 workers, 150 busy tasks, session lease 3000 ms: {took_ms:?} ms");
}

/// Time from the submission of urgent jobs to their start, in a zone full of preemptible tasks.
async fn urgent_starts_at_full_load() {
    const WORKERS: usize = 100;
    const PER_SECOND: u32 = 110;
    const SECONDS: u32 = 20;
    const URGENT_MS: u64 = 1_500;
    let mut cell = TestCell::start(WORKERS).await.with_timing(Timing::daemon_defaults());
    let placer = cell.add_placer("p1");
    let slots = u32::try_from(WORKERS).unwrap() * 4;
    let mut filler = sleep_job("filler", slots, FOREVER_MS);
    filler.spec = filler.spec.with_priority(Priority::Low).with_stoppable();
    cell.submit_until_accepted(placer, &filler).await;
    eventually("full", TIMEOUT, || cell.running_of("filler") == slots as usize);
    (0..WORKERS / 10).for_each(|worker| cell.set_mode(worker * 10, Mode::Silent));

    let mut sent_at_ms = Vec::new();
    let began = Instant::now();
    for number in 0..PER_SECOND * SECONDS {
        let due = Duration::from_secs(1) * number / PER_SECOND;
        task::sleep(due.saturating_sub(began.elapsed())).await;
        let mut job = sleep_job(&format!("u{number}"), 1, URGENT_MS);
        job.spec = job.spec.with_priority(Priority::Urgent);
        sent_at_ms.push(clock::now_ms());
        let (pool, address) = (cell.pool.clone(), cell.placers[placer].address.clone());
        task::spawn(async move { jobs_cell::post(&pool, &address, &job).await });
    }
    task::sleep(Duration::from_secs(15)).await;
    let mut started_at_ms = std::collections::BTreeMap::new();
    for run in cell.runs() {
        started_at_ms.entry(run.task.job_id.to_string()).or_insert(run.started_at_ms);
    }
    let mut waits_ms: Vec<u64> = Vec::new();
    for (number, sent_at_ms) in sent_at_ms.iter().enumerate() {
        if let Some(started_at_ms) = started_at_ms.get(&format!("u{number}")) {
            waits_ms.push(started_at_ms.saturating_sub(*sent_at_ms));
        }
    }
    waits_ms.sort_unstable();
    let at = |part: f64| waits_ms[((waits_ms.len() - 1) as f64 * part) as usize];
    println!(
        "urgent: {WORKERS} workers, 10% silent, full of stoppable work, {PER_SECOND}/s for \
         {SECONDS} s: {} of {} started; p50 {} ms, p90 {} ms, p99 {} ms, longest {} ms",
        waits_ms.len(),
        sent_at_ms.len(),
        at(0.5),
        at(0.9),
        at(0.99),
        at(1.0),
    );
    cell.check_invariants();
}

/// Processor time, memory and traffic of a placer that only keeps running tasks alive.
async fn cost_of_control() {
    const WINDOW_S: u64 = 20;
    for workers in [50_usize, 500, 2_300] {
        let mut cell = TestCell::start(workers).await.with_timing(Timing::daemon_defaults());
        let placer = cell.add_placer("p1");
        let tasks = u32::try_from(workers * 22_000 / 2_300).unwrap();
        let mut job = sleep_job("steady", tasks, FOREVER_MS);
        job.spec = job.spec.with_resources(Resources::new(300, 256 << 20, 0));
        cell.submit_until_accepted(placer, &job).await;
        let asked = Instant::now();
        eventually("all run", TIMEOUT * 3, || cell.running_of("steady") == tasks as usize);
        let started = asked.elapsed();
        task::sleep(Duration::from_secs(5)).await;
        let id = cell.placers[placer].id();
        let before = (cpu_ticks(id), cell.workers.traffic());
        task::sleep(Duration::from_secs(WINDOW_S)).await;
        let after = (cpu_ticks(id), cell.workers.traffic());
        let cpu_percent = (after.0 - before.0) as f64 / WINDOW_S as f64;
        let rate = |after: u64, before: u64| (after - before) as f64 / WINDOW_S as f64;
        let (old, new) = (before.1, after.1);
        println!(
            "control: {workers} workers, {tasks} tasks (started in {} ms): {cpu_percent:.1}% of a \
             core, {} KB resident, {:.1} calls/s, {:.0} body bytes/s to and {:.0} from workers",
            started.as_millis(),
            resident_kb(id),
            rate(new.0, old.0),
            rate(new.1, old.1),
            rate(new.2, old.2),
        );
        cell.check_invariants();
    }
}

/// Processor time that a process has used, in kernel clock ticks of 10 ms.
fn cpu_ticks(id: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap();
    let rest = stat.rsplit(')').next().unwrap();
    let fields: Vec<&str> = rest.split_whitespace().collect();
    fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
}

/// Resident memory of a process, in KiB.
fn resident_kb(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}
