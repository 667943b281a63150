//! Leases that a former leader asked for at a runner with a slow clock that was idle for long: the
//! wait of its successor has to cover them, too.

mod queue_support;

use hemlockrock::collections::HashSet;
use hemlockrock::queue::model::TaskId;
use hemlockrock::queue::scheduler::{Action, Event, StartOrder};
use queue_support::{job, step, task, Harness};

/// Nonce of the former leader.
const FORMER: u64 = 11;

/// Time for which the runner has been idle before it gets a task, in milliseconds.
const IDLE_MS: u64 = 40_000;

/// Speed of the slowest clock of a runner, in thousandths.
const SLOW_CLOCK_MILLIS: u64 = 980;

const MILLI: u64 = 1_000;

fn only_task() -> TaskId {
    task(1, 0, 0)
}

/// A leader with one runner, whose clock is slow.
struct FormerLeader {
    harness: Harness,
    /// Time at which the clock of the runner showed this time.
    synchronous_ms: u64,
}

impl FormerLeader {
    /// The runner has answered once and has then been idle.
    fn new() -> Self {
        let mut harness = Harness::new(1);
        harness.add_runner("r0", 4_000);
        let synchronous_ms = harness.now_ms;
        let mut leader = Self { harness, synchronous_ms };
        leader.advance(IDLE_MS);
        leader
    }

    /// Advances the time; the runner answers each renewal at once.
    fn advance(&mut self, ms: u64) {
        const STEP_MS: u64 = 10;
        for _ in 0..ms / STEP_MS {
            self.harness.now_ms += STEP_MS;
            self.harness.handle(Event::Tick);
            let is_renewal = |action: &Action| matches!(action, Action::RenewLease(_));
            if self.harness.actions.iter().any(is_renewal) {
                let mut status = self.harness.status("r0");
                let elapsed_ms = self.harness.now_ms - self.synchronous_ms;
                status.clock_ms = self.synchronous_ms + elapsed_ms * SLOW_CLOCK_MILLIS / MILLI;
                self.harness.answer_renewal_with("r0", status);
            }
        }
    }

    /// The start order that the leader sends now.
    fn order_start(&mut self) -> StartOrder {
        let loaded = Event::JobLoaded(job(1, vec![step(1, 500)]));
        self.harness.handle(loaded);
        self.harness.starts().remove(0)
    }

    /// Time at which the lease of the run expires on the runner.
    fn expiry_ms(&self, start: &StartOrder) -> u64 {
        let left_ms = start.until_ms - self.synchronous_ms;
        self.synchronous_ms + left_ms * MILLI / SLOW_CLOCK_MILLIS
    }
}

/// Time at which a successor starts the task, whose term begins at `begun_ms`.
fn successor_start_ms(begun_ms: u64, ordered_ms: Option<u64>) -> u64 {
    let mut successor = Harness::new(2);
    successor.now_ms = begun_ms;
    successor.add_silent_runner("r0", 4_000);
    let loaded = Event::JobLoaded(job(1, vec![step(1, 500)]));
    successor.scheduler.handle_event(loaded, successor.now_ms);
    let former: HashSet<u64> = std::iter::once(FORMER).collect();
    successor.scheduler.await_former_terms(Some(former), begun_ms);
    successor.add_runner("r1", 4_000);
    if let Some(ordered_ms) = ordered_ms {
        successor.handle(Event::FormerTermEnded { nonce: FORMER, ordered_ms });
    }
    while !successor.has_started(only_task()) {
        assert!(successor.now_ms < begun_ms + 20_000, "the task does not start");
        successor.advance(10);
    }
    successor.now_ms
}

#[test]
fn a_run_at_a_runner_that_was_idle_for_long_ends_before_a_successor_starts_its_task_again() {
    let mut leader = FormerLeader::new();
    let start = leader.order_start();
    let ordered_ms = leader.harness.now_ms;
    let started_ms = successor_start_ms(ordered_ms + 50, Some(ordered_ms));
    let expiry_ms = leader.expiry_ms(&start);
    let text = format!("ordered at {ordered_ms}, ends at {expiry_ms}, again at {started_ms}");
    assert!(started_ms >= expiry_ms, "{text}");
}

#[test]
fn a_run_that_a_bridging_leader_started_at_a_runner_that_was_idle_for_long_ends_in_time() {
    let mut leader = FormerLeader::new();
    let confirmed_ms = leader.harness.now_ms;
    leader.harness.confirm_lease_until(confirmed_ms);
    let config = leader.harness.config.clone();
    leader.harness.now_ms += config.bridge_ms - config.run_lease_ms;
    // A job that the leader knew before, whose step becomes ready now.
    let start = leader.order_start();
    let ordered_ms = leader.harness.now_ms;
    let begun_ms = confirmed_ms - (config.leader_ttl_ms - config.leader_margin_ms);
    let started_ms = successor_start_ms(begun_ms, None);
    let expiry_ms = leader.expiry_ms(&start);
    let text = format!("ordered at {ordered_ms}, ends at {expiry_ms}, again at {started_ms}");
    assert!(started_ms >= expiry_ms, "{text}");
}
