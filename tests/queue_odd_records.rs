//! Records among those of the runners that do not describe a runner, at real host processes.

#![allow(clippy::unwrap_used, reason = "tests panic on unexpected values")]
#![allow(clippy::disallowed_methods, reason = "the test blocks on its own futures")]

mod platform_support;
mod queue_cell;
mod support;

use std::path::Path;
use std::thread;
use std::time::Duration;

use async_std::task;
use hemlockrock::queue::model::{JobId, StepId, TaskId};
use http_types::Method;
use queue_cell::runners::{self, JobPlan};
use queue_cell::{CallerResult, Cell};
use serde_json::json;
use support::eventually;

/// Time limit for the start of the cell, of a job and of a change of the leader.
const LIMIT: Duration = Duration::from_secs(10);

const LONG_MS: u64 = 600_000;

fn cell(name: &str, runners: usize) -> Cell {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let cell = Cell::start(&directory, 2, runners);
    eventually("a host leads", LIMIT, || cell.leader().is_some());
    cell
}

/// Submits a job with one task of `work_ms` and waits until it runs; returns its runner.
fn run_job(cell: &mut Cell, id: u64, work_ms: u64) -> usize {
    let job = JobId(id);
    let plan =
        JobPlan { spec: "spec".to_owned(), steps: vec![(1, 1_000, work_ms)], is_deadly: false };
    runners::lock(&cell.fleet).jobs.insert(job, plan);
    let step = json!({ "count": 1, "cpu": 1_000, "mem-mb": 64, "estimate-ms": work_ms });
    let body = json!({ "spec": "spec", "steps": [step] });
    eventually("the job is accepted", LIMIT, || {
        let (pool, address) = cell.caller_connection(0);
        let sent = queue_cell::send(&pool, &address, Method::Post, job, Some(body.clone()));
        task::block_on(sent).0 == CallerResult::Status(200)
    });
    let task = TaskId { step: StepId { job, occurrence: 0, step: 0 }, index: 0 };
    eventually("the task runs", LIMIT, || runners::lock(&cell.fleet).runner_of(task).is_some());
    let runner = runners::lock(&cell.fleet).runner_of(task);
    runner.unwrap()
}

fn record(fields: &str) -> String {
    let sound = r#""service":"s","zone":"z","state":"ready","labels":[]"#;
    format!("{{{sound},{fields}}}")
}

fn odd_records() -> Vec<String> {
    let capacity = r#""capacity":{"cpu":8000,"mem-mb":4096,"gpu":0}"#;
    let digits = "9".repeat(400);
    let nested = |depth: usize| format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    vec![
        String::new(),
        "not json".to_owned(),
        record(&format!(r#""address":"127.0.0.1:9",{capacity},"more":{}"#, nested(200_000))),
        record(&format!(r#""address":{},{capacity}"#, nested(100))),
        record(&format!(r#""address":"127.0.0.1:70000",{capacity}"#)),
        record(&format!(r#""address":"127.0.0.1:0",{capacity}"#)),
        record(&format!(r#""address":"127.0.0.1:9",{capacity},"born":{digits}"#)),
        record(
            r#""address":"127.0.0.1:9","capacity":{"cpu":18446744073709551615,"mem-mb":18446744073709551615,"gpu":4294967295}"#,
        ),
        record(r#""address":"127.0.0.1:9","capacity":{"cpu":-1,"mem-mb":0,"gpu":0}"#),
    ]
}

// Guards against hosts that end, or stop following the runners, because of one odd record.
#[test]
fn odd_records_change_nothing_for_the_other_runners_also_after_a_change_of_the_leader() {
    let mut cell = cell("odd-records", 1);
    for (number, text) in odd_records().into_iter().enumerate() {
        cell.write_runner_record(&format!("a-odd-{number}"), text);
    }
    cell.renew_runner_records();
    assert_eq!(run_job(&mut cell, 1, 100), 0);
    assert!(cell.are_hosts_up());
    let former = cell.leader().unwrap();
    cell.hosts[former].kill();
    eventually("the other host leads", LIMIT, || {
        cell.renew_runner_records();
        cell.leader() == Some(1 - former)
    });
    cell.hosts[former].start();
    cell.renew_runner_records();
    assert_eq!(run_job(&mut cell, 2, 100), 0);
    assert!(cell.are_hosts_up());
}

// Guards against leaders that end one after the other: each allocates all tasks of the jobs that it reads.
#[test]
fn a_job_with_billions_of_tasks_is_refused() {
    let cell = cell("billions-of-tasks", 1);
    let step = json!({ "count": 4_000_000_000_u32, "cpu": 1, "mem-mb": 1, "estimate-ms": 1 });
    let body = json!({ "spec": "spec", "steps": [step] });
    let mut answer = CallerResult::NoAnswer;
    eventually("the host answers", LIMIT, || {
        let (pool, address) = cell.caller_connection(0);
        let sent = queue_cell::send(&pool, &address, Method::Post, JobId(7), Some(body.clone()));
        answer = task::block_on(sent).0;
        !matches!(answer, CallerResult::NoAnswer | CallerResult::Status(503))
    });
    assert_eq!(answer, CallerResult::Status(400));
}

#[test]
fn a_runner_whose_record_becomes_odd_gets_no_new_tasks_and_keeps_its_runs() {
    for text in odd_records() {
        let mut cell = cell("record-becomes-odd", 2);
        let odd = run_job(&mut cell, 1, LONG_MS);
        cell.write_runner_record(&format!("i-{odd}"), text.clone());
        thread::sleep(Duration::from_secs(2));
        for id in 2..=5 {
            assert_ne!(run_job(&mut cell, id, LONG_MS), odd, "{text:.80}");
        }
        let task = TaskId { step: StepId { job: JobId(1), occurrence: 0, step: 0 }, index: 0 };
        assert_eq!(runners::lock(&cell.fleet).runner_of(task), Some(odd), "{text:.80}");
        assert!(cell.are_hosts_up());
    }
}
