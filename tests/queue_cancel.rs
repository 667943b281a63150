//! Cancellations at real host processes whose submission is still on its way.

#![allow(clippy::unwrap_used, reason = "tests panic on unexpected values")]
#![allow(clippy::disallowed_methods, reason = "the test blocks on its own futures")]

mod platform_support;
mod queue_cell;
mod queue_support;
mod support;

use std::path::Path;
use std::thread;
use std::time::Duration;

use async_std::task;
use hemlockrock::queue::model::{JobId, StepId, TaskId};
use hemlockrock::queue::scheduler::{Action, Event};
use http_types::Method;
use queue_cell::runners::{self, JobPlan};
use queue_cell::{CallerResult, Cell};
use queue_support::{job, step, Harness};
use serde_json::{json, Value};
use support::eventually;

const JOB: JobId = JobId(0x7a31);

/// Time limit for the start of the cell.
const START_LIMIT: Duration = Duration::from_secs(10);

/// Time in which a stored job would have started.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// A cell of two hosts, of which one stands still.
struct FrozenHost {
    cell: Cell,
    frozen: usize,
    other: usize,
}

fn request(cell: &Cell, host: usize, method: Method, body: Option<Value>) -> CallerResult {
    let (pool, address) = cell.caller_connection(host);
    task::block_on(queue_cell::send(&pool, &address, method, JOB, body)).0
}

fn submission() -> Value {
    let step = json!({ "count": 1, "cpu": 1_000, "mem-mb": 64, "estimate-ms": 60_000 });
    json!({ "spec": "spec", "steps": [step] })
}

impl FrozenHost {
    /// Starts a cell and stops the host that does not lead.
    fn start(name: &str) -> Self {
        Self::start_with(name, false)
    }

    /// Starts a cell and stops the host that leads, or the other one.
    fn start_with(name: &str, freezes_leader: bool) -> Self {
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let mut cell = Cell::start(&directory, 2, 1);
        eventually("a host leads", START_LIMIT, || cell.leader().is_some());
        let leader = cell.leader().unwrap();
        let frozen = if freezes_leader { leader } else { 1 - leader };
        let other = 1 - frozen;
        eventually("both hosts serve", START_LIMIT, || {
            let has_answered =
                |host| request(&cell, host, Method::Get, None) == CallerResult::Status(410);
            has_answered(other) && has_answered(frozen)
        });
        let plan =
            JobPlan { spec: "spec".to_owned(), steps: vec![(1, 1_000, 60_000)], is_deadly: false };
        runners::lock(&cell.fleet).jobs.insert(JOB, plan);
        cell.hosts[frozen].signal(libc::SIGSTOP);
        Self { cell, frozen, other }
    }

    /// Cancels the job at the running host, `after` the submission was sent to the frozen host, and
    /// wakes that host `wakes_after` the cancellation. Returns the outcome of the submission.
    fn cancel_before_waking(&mut self, after: Duration, wakes_after: Duration) -> CallerResult {
        let (pool, address) = self.cell.caller_connection(self.frozen);
        let submitting = thread::spawn(move || {
            let body = Some(submission());
            task::block_on(queue_cell::send(&pool, &address, Method::Post, JOB, body)).0
        });
        thread::sleep(after);
        let canceled = request(&self.cell, self.other, Method::Delete, None);
        assert_eq!(canceled, CallerResult::Status(410), "the job is not known yet");
        thread::sleep(wakes_after);
        self.cell.hosts[self.frozen].signal(libc::SIGCONT);
        let submitted = submitting.join().unwrap();
        thread::sleep(SETTLE_TIME);
        submitted
    }

    fn has_run(&self) -> bool {
        let task = TaskId { step: StepId { job: JOB, occurrence: 0, step: 0 }, index: 0 };
        runners::lock(&self.cell.fleet).runner_of(task).is_some()
    }
}

// Guards against a job that runs after its cancellation was answered with 410.
#[test]
fn a_submission_that_is_read_after_the_cancellation_is_refused() {
    let mut host = FrozenHost::start("cancelled-before-read");
    let pause = Duration::from_millis(500);
    let submitted = host.cancel_before_waking(pause, pause);
    assert_eq!(submitted, CallerResult::Status(410));
    assert!(!host.has_run(), "the job runs although its cancellation was answered");
}

#[test]
fn a_submission_whose_caller_has_left_is_not_stored() {
    let mut host = FrozenHost::start("caller-left");
    let submitted =
        host.cancel_before_waking(Duration::from_millis(3_500), Duration::from_millis(100));
    assert_eq!(submitted, CallerResult::NoAnswer);
    assert!(!host.has_run(), "the job runs although its cancellation was answered");
}

// Guards against a leader that runs a job on waking, although it was cancelled while the leader stood
// still and another host had taken over.
#[test]
fn a_submission_at_a_leader_that_stood_still_past_its_lease_is_refused() {
    let mut host = FrozenHost::start_with("leader-frozen", true);
    let submitted =
        host.cancel_before_waking(Duration::from_millis(500), Duration::from_millis(2_500));
    // The caller may have given up by the time the host wakes.
    assert!(
        matches!(submitted, CallerResult::Status(410) | CallerResult::NoAnswer),
        "{submitted:?}"
    );
    assert!(!host.has_run(), "the job runs although its cancellation was answered");
}

#[test]
fn the_cancellation_of_a_job_that_never_came_refuses_it_until_the_records_are_removed() {
    let mut harness = Harness::new(1);
    harness.add_runner("r1", 4_000);
    harness.handle(Event::JobCanceled(JOB));
    harness.advance(harness.config.ended_kept_ms / 2);
    harness.handle(Event::JobSubmitted(job(JOB.0, vec![step(1, 1_000)])));
    assert!(harness.starts().is_empty(), "the job was cancelled before");
    harness.handle(Event::JobCanceled(JobId(2)));
    let has_removed = |harness: &Harness, id: JobId| {
        let removals = harness.actions.iter().filter_map(|action| match action {
            Action::RemoveRecords(jobs) => Some(jobs),
            _ => None,
        });
        removals.flatten().any(|removed| *removed == id)
    };
    harness.advance(harness.config.ended_kept_ms - 2_000);
    assert!(!has_removed(&harness, JobId(2)));
    harness.advance(4_000);
    assert!(has_removed(&harness, JobId(2)));
}
