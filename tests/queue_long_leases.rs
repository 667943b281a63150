//! Tests of runners that restart under their name while orders to their former incarnation are on the
//! way: such an order may give the new incarnation the longest lease.

mod queue_support;

use hemlockrock::queue::model::Submission;
use hemlockrock::queue::scheduler::Event;
use queue_support::{job, step, task, Harness};

/// Time that a scheduler pass and the read of a status may add, in milliseconds.
const PASS_MS: u64 = 400;

/// The job that is started before the leader changes.
fn first_job() -> Submission {
    job(1, vec![step(1, 1_000)])
}

/// A job that is accepted just before the leader changes, so that it may have been started.
fn second_job() -> Submission {
    job(2, vec![step(1, 1_000)])
}

/// A leader with these runners, of which r1 has restarted and has answered again.
fn with_restarted_runner(others: &[&str]) -> Harness {
    let mut harness = Harness::new(1);
    harness.add_runner("r1", 4_000);
    for id in others {
        harness.add_runner(id, 4_000);
    }
    harness.advance(12_000);
    harness.restart_runner("r1");
    harness.list_runner("r1");
    harness.advance(PASS_MS);
    harness
}

/// Submits the job, and returns the name of the runner on which its task starts.
fn start(harness: &mut Harness) -> String {
    harness.handle(Event::JobSubmitted(first_job()));
    harness.advance_until_start(PASS_MS);
    let starts = harness.starts();
    assert_eq!(starts.len(), 1, "the task starts soon");
    harness.answer_starts(&starts);
    starts[0].target.0.to_string()
}

/// Replaces the leader while r1 is cut off; returns the time after which a task starts elsewhere that
/// may run there, in milliseconds.
fn wait_of_successor(harness: &mut Harness, token: u64) -> u64 {
    harness.make_silent("r1");
    harness.take_over_from_ended_term(token, &[first_job(), second_job()]);
    harness.add_runner("r3", 4_000);
    let begun_ms = harness.now_ms;
    while !harness.has_started(task(2, 0, 0)) {
        assert!(harness.now_ms < begun_ms + 20_000, "the task does not start");
        harness.advance(25);
    }
    harness.now_ms - begun_ms
}

/// Bounds of the wait for a lease of this length on a runner with a slow clock, in milliseconds.
fn wait_for(lease_ms: u64) -> std::ops::Range<u64> {
    let expired_ms = lease_ms + lease_ms / 40 + 300;
    expired_ms - 50..expired_ms + PASS_MS
}

// Guards against tasks that run twice: a successor waited for a usual lease only, while the run on the
// restarted runner held the longest one.
#[test]
fn a_successor_waits_for_the_longest_lease_of_a_run_on_a_restarted_runner() {
    let mut harness = with_restarted_runner(&[]);
    assert_eq!(start(&mut harness), "r1");
    let wait_ms = wait_of_successor(&mut harness, 2);
    let longest = wait_for(harness.config.max_run_lease_ms);
    assert!(longest.contains(&wait_ms), "waited for {wait_ms} ms, expected {longest:?}");
}

// Guards against a successor that forgets what its predecessor knew: the third leader has to wait as
// long as the second one would have.
#[test]
fn the_successor_of_a_successor_waits_for_the_longest_lease_as_well() {
    let mut harness = with_restarted_runner(&[]);
    harness.take_over_from_ended_term(2, &[]);
    harness.advance(PASS_MS);
    assert_eq!(start(&mut harness), "r1");
    let wait_ms = wait_of_successor(&mut harness, 3);
    let longest = wait_for(harness.config.max_run_lease_ms);
    assert!(longest.contains(&wait_ms), "waited for {wait_ms} ms, expected {longest:?}");
}

// Guards against tasks that run twice: the start was sent to the former incarnation and carried out by
// the new one, of which the leader never heard.
#[test]
fn a_successor_waits_for_the_longest_lease_at_a_runner_whose_restart_its_leader_has_not_seen() {
    let mut harness = Harness::new(1);
    harness.add_runner("r1", 4_000);
    harness.advance(12_000);
    harness.handle(Event::JobSubmitted(first_job()));
    let starts = harness.starts();
    harness.restart_runner("r1");
    harness.begin_run(&starts[0]);
    let wait_ms = wait_of_successor(&mut harness, 2);
    let longest = wait_for(harness.config.max_run_lease_ms);
    assert!(longest.contains(&wait_ms), "waited for {wait_ms} ms, expected {longest:?}");
}

// Guards against long waits after each change of the leader: a restarted runner is spared while others
// have room, so that a successor need not wait for it any longer than for others.
#[test]
fn a_restarted_runner_that_got_no_tasks_delays_a_successor_for_a_usual_lease_only() {
    let mut harness = with_restarted_runner(&["r2"]);
    assert_eq!(start(&mut harness), "r2");
    let wait_ms = wait_of_successor(&mut harness, 2);
    let usual = wait_for(harness.config.run_lease_ms);
    assert!(usual.contains(&wait_ms), "waited for {wait_ms} ms, expected {usual:?}");
}

// Guards against long waits for good after a single restart.
#[test]
fn a_successor_waits_for_a_usual_lease_once_leases_on_a_restarted_runner_are_usual_again() {
    let mut harness = with_restarted_runner(&[]);
    harness.advance(harness.config.max_run_lease_ms);
    assert_eq!(start(&mut harness), "r1");
    let wait_ms = wait_of_successor(&mut harness, 2);
    let usual = wait_for(harness.config.run_lease_ms);
    assert!(usual.contains(&wait_ms), "waited for {wait_ms} ms, expected {usual:?}");
}

// Guards against a service without any runner after all of them have restarted at once.
#[test]
fn tasks_start_soon_after_all_runners_have_restarted() {
    let mut harness = Harness::new(1);
    for id in ["r1", "r2"] {
        harness.add_runner(id, 4_000);
    }
    harness.advance(12_000);
    for id in ["r1", "r2"] {
        harness.restart_runner(id);
        harness.list_runner(id);
    }
    harness.advance(PASS_MS);
    harness.handle(Event::JobSubmitted(job(1, vec![step(8, 1_000)])));
    harness.advance(PASS_MS);
    assert_eq!(harness.starts().len(), 8);
}

// Guards against a runner that gets no tasks until its lease has expired although others are full.
#[test]
fn restarted_runners_are_used_as_far_as_others_lack_room() {
    let mut harness = with_restarted_runner(&["r2"]);
    harness.handle(Event::JobSubmitted(job(1, vec![step(6, 1_000)])));
    harness.advance(PASS_MS);
    let starts = harness.starts();
    let at_restarted = starts.iter().filter(|start| &*start.target.0 == "r1").count();
    assert_eq!((starts.len(), at_restarted), (6, 2));
}

/// Clocks with which a new incarnation begins, in milliseconds.
const FIRST_CLOCKS_MS: [u64; 2] = [0, 2_882_307];

/// What the former leader does about a restart of r1 before it is replaced.
#[derive(Clone, Copy, Debug)]
enum Takeover {
    /// It has seen the restart, and the roster names the new incarnation.
    Recorded,
    /// It has seen the restart, but the roster does not name the new incarnation yet.
    NotRecorded,
    /// It has not seen the restart.
    NotSeen,
}

/// A successor that has reached r1, which restarted under its former leader and runs the task of an
/// order that was meant for its former incarnation.
fn with_successor_at_restarted_runner(first_clock_ms: u64, takeover: Takeover) -> Harness {
    let mut harness = Harness::new(1);
    harness.add_runner("r1", 4_000);
    harness.advance(12_000);
    harness.handle(Event::JobSubmitted(first_job()));
    let starts = harness.starts();
    harness.refuse_roster_writes(matches!(takeover, Takeover::NotRecorded));
    harness.restart_runner_with_clock("r1", first_clock_ms);
    harness.begin_run(&starts[0]);
    if !matches!(takeover, Takeover::NotSeen) {
        harness.list_runner("r1");
        harness.advance(PASS_MS);
    }
    harness.refuse_roster_writes(false);
    harness.take_over_from_ended_term(2, &[first_job()]);
    harness.advance(PASS_MS);
    harness
}

// Guards against tasks that run twice: a successor that had reached a restarted runner took its run for
// ended after a usual lease, unless the clock of the new incarnation had begun at 0.
#[test]
fn a_successor_that_reached_a_restarted_runner_counts_on_the_longest_lease_there() {
    for takeover in [Takeover::Recorded, Takeover::NotRecorded, Takeover::NotSeen] {
        for first_clock_ms in FIRST_CLOCKS_MS {
            let mut harness = with_successor_at_restarted_runner(first_clock_ms, takeover);
            let reached_ms = harness.now_ms;
            harness.cut_off_runner("r1");
            harness.add_runner("r3", 4_000);
            while !harness.has_started(task(1, 0, 0)) {
                assert!(harness.now_ms < reached_ms + 20_000, "the task does not start again");
                harness.advance(25);
            }
            // An order to the former incarnation may have arrived right before r1 was reached.
            let earliest_ms = reached_ms - PASS_MS + harness.config.max_run_lease_ms;
            assert!(
                harness.now_ms >= earliest_ms,
                "{takeover:?}, clock from {first_clock_ms} ms: started again {} ms too early",
                earliest_ms - harness.now_ms
            );
        }
    }
}

// Guards against tasks that run twice at the successor of that successor, which does not reach the
// runner.
#[test]
fn a_successor_records_that_leases_on_a_restarted_runner_may_be_the_longest() {
    for takeover in [Takeover::Recorded, Takeover::NotRecorded, Takeover::NotSeen] {
        for first_clock_ms in FIRST_CLOCKS_MS {
            let mut harness = with_successor_at_restarted_runner(first_clock_ms, takeover);
            let wait_ms = wait_of_successor(&mut harness, 3);
            let longest = wait_for(harness.config.max_run_lease_ms);
            assert!(
                longest.contains(&wait_ms),
                "{takeover:?}, clock from {first_clock_ms} ms: waited for {wait_ms} ms"
            );
        }
    }
}
