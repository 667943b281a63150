//! Tests of the queue scheduler with runners that drain.

mod queue_support;

use hemlockrock::queue::scheduler::StartOrder;
use queue_support::{step, Harness};

/// Time after which the lease of a lost runner has certainly lapsed, in milliseconds.
const LAPSE_MS: u64 = 6_000;

/// Two runners, of which the first runs the only task.
fn with_running_task() -> (Harness, StartOrder) {
    let (mut harness, mut starts) =
        Harness::with_job(&[("r1", 4_000), ("r2", 2_000)], vec![step(1, 1_000)]);
    harness.answer_starts(&starts);
    harness.advance(500);
    (harness, starts.remove(0))
}

// Guards against two runs of a task: the record of a draining runner that is cut off is removed while
// its runs go on until their lease lapses.
#[test]
fn a_task_on_a_draining_runner_that_is_cut_off_does_not_start_before_its_lease_has_lapsed() {
    let (mut harness, start) = with_running_task();
    harness.drain_runner(&start.target.0);
    harness.advance(500);
    harness.cut_off_runner(&start.target.0);
    harness.unlist_runner(&start.target.0);
    let lease_until_ms = harness.lease_until_ms(&start.target.0);
    harness.advance_until_start(LAPSE_MS);
    assert_eq!(harness.starts().len(), 1);
    let now_ms = harness.now_ms;
    assert!(now_ms > lease_until_ms, "started at {now_ms}, the lease ends at {lease_until_ms}");
}

#[test]
fn a_task_on_a_draining_runner_that_returns_is_not_started_elsewhere() {
    let (mut harness, start) = with_running_task();
    harness.drain_runner(&start.target.0);
    harness.cut_off_runner(&start.target.0);
    harness.unlist_runner(&start.target.0);
    harness.advance(harness.config.run_lease_ms / 2);
    harness.make_responsive(&start.target.0);
    harness.drain_runner(&start.target.0);
    harness.advance(2 * LAPSE_MS);
    assert!(harness.starts().is_empty(), "the run has never ended");
}
