//! How soon the tasks of lost runners start again when the leader of real host processes changes.

#![allow(clippy::unwrap_used, reason = "tests panic on unexpected values")]
#![allow(clippy::disallowed_methods, reason = "the test blocks on its own futures")]

mod platform_support;
mod queue_cell;
mod support;

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use async_std::task;
use hemlockrock::queue::model::{JobId, StepId, TaskId};
use http_types::Method;
use queue_cell::runners::{self, JobPlan};
use queue_cell::{CallerResult, Cell};
use serde_json::json;
use support::eventually;

const HOSTS: usize = 2;
const RUNNERS: usize = 3;
const JOB: JobId = JobId(0x5eed);

/// Time limit for the start of the cell.
const START_LIMIT: Duration = Duration::from_secs(10);

/// Time after the end of its last run within which a long-running task starts again.
const RESTART_LIMIT: Duration = Duration::from_secs(9);

/// Time between two updates of the runners' records.
const HEARTBEAT: Duration = Duration::from_millis(200);

/// A cell in which one long-running task runs.
struct LastingTask {
    cell: Cell,
    task: TaskId,
    /// Runner at which the task runs.
    runner: usize,
}

impl LastingTask {
    fn start(name: &str) -> Self {
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let cell = Cell::start(&directory, HOSTS, RUNNERS);
        eventually("a host leads", START_LIMIT, || cell.leader().is_some());
        let plan =
            JobPlan { spec: "spec".to_owned(), steps: vec![(1, 1_000, 600_000)], is_deadly: false };
        runners::lock(&cell.fleet).jobs.insert(JOB, plan);
        let step = json!({ "count": 1, "cpu": 1_000, "mem-mb": 64, "estimate-ms": 600_000,
            "long-running": true });
        let body = json!({ "spec": "spec", "steps": [step] });
        eventually("the job is accepted", START_LIMIT, || {
            let (pool, address) = cell.caller_connection(0);
            let sent = queue_cell::send(&pool, &address, Method::Post, JOB, Some(body.clone()));
            task::block_on(sent).0 == CallerResult::Status(200)
        });
        let task = TaskId { step: StepId { job: JOB, occurrence: 0, step: 0 }, index: 0 };
        eventually("the task runs", START_LIMIT, || {
            runners::lock(&cell.fleet).runner_of(task).is_some()
        });
        let runner = runners::lock(&cell.fleet).runner_of(task).unwrap();
        Self { cell, task, runner }
    }

    /// Takes the task's runner away, lets `disturb` act on the cell, and waits until the task starts
    /// again.
    fn restart_after(&mut self, disturb: impl FnOnce(&mut Cell)) {
        self.wait(Duration::from_secs(6));
        let ended = Instant::now();
        runners::lock(&self.cell.fleet).remove(self.runner);
        self.wait(Duration::from_millis(500));
        disturb(&mut self.cell);
        while runners::lock(&self.cell.fleet).runner_of(self.task).is_none() {
            let waited = ended.elapsed();
            assert!(waited < RESTART_LIMIT, "the task does not run {waited:?} after its run ended");
            self.wait(HEARTBEAT);
        }
        assert_eq!(runners::lock(&self.cell.fleet).violations, Vec::<String>::new());
    }

    /// Lets time pass in which the runners update their records.
    fn wait(&mut self, time: Duration) {
        let ends = Instant::now() + time;
        while Instant::now() < ends {
            self.cell.renew_runner_records();
            thread::sleep(HEARTBEAT);
        }
    }
}

#[test]
fn a_lasting_task_of_a_lost_runner_starts_again_soon_after_the_leader_was_restarted() {
    LastingTask::start("restarted-leader").restart_after(|cell| {
        let leader = cell.leader().unwrap();
        cell.hosts[leader].kill();
        thread::sleep(Duration::from_millis(500));
        cell.hosts[leader].start();
    });
}

#[test]
fn a_lasting_task_of_a_lost_runner_starts_again_soon_after_another_host_leads() {
    LastingTask::start("replaced-leader").restart_after(|cell| {
        let leader = cell.leader().unwrap();
        cell.hosts[leader].kill();
    });
}
