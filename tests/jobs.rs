//! Jobs through real placer processes; the workers' own records are the oracle.
#![allow(clippy::disallowed_methods, reason = "the test attribute blocks on the test")]

mod jobs_cell;
mod support;

use std::time::Instant;

use hemlockrock::jobs::api::SubmitOutcome;
use hemlockrock::place::message::JobState;
use hemlockrock::standin::worker::Mode;
use jobs_cell::{sleeping, Cell, PATIENCE, SESSION_TTL, TASK_LEASE};
use support::eventually;

#[async_std::test]
async fn a_job_runs_to_its_end_and_a_retry_is_the_same_job() {
    let mut cell = Cell::start(4).await;
    let placer = cell.add_placer("p1");
    let job = sleeping("range-1", 10, 100);
    let answer = cell.submit_until_accepted(placer, &job).await;
    assert_eq!(answer.outcome, SubmitOutcome::Accepted);
    cell.wait_for_state(placer, "range-1", &JobState::Finished).await;
    cell.submit_until_accepted(placer, &job).await;
    assert_eq!(cell.runs_of("range-1").len(), 10);
    let other = sleeping("range-1", 11, 100);
    assert_eq!(cell.submit(placer, &other).await.0, 503, "another job under a known id");
    cell.check_each_finished_once();
}

#[async_std::test]
async fn a_stand_by_places_again_and_stops_nothing_when_the_placer_is_killed() {
    let mut cell = Cell::start(6).await;
    let first = cell.add_placer("p1");
    eventually("p1 holds the zone", PATIENCE, || cell.holder().is_some());
    let second = cell.add_placer("p2");
    cell.submit_until_accepted(first, &sleeping("busy", 8, 600_000)).await;
    eventually("all run", PATIENCE, || cell.running_of("busy") == 8);

    let killed = Instant::now();
    cell.placers[first].kill();
    cell.submit_until_accepted(second, &sleeping("after", 4, 100)).await;
    eventually("placed again", PATIENCE, || !cell.runs_of("after").is_empty());
    let took = killed.elapsed();
    println!("takeover took {} ms", took.as_millis());
    assert!(took <= SESSION_TTL * 2, "took {took:?}");

    cell.wait_for_state(second, "after", &JobState::Finished).await;
    async_std::task::sleep(TASK_LEASE * 2).await;
    assert_eq!(cell.running_of("busy"), 8);
    assert_eq!(cell.cut_short(), 0);
    assert_eq!(cell.runs_of("busy").len(), 8);
    cell.check_each_finished_once();
}

#[async_std::test]
async fn a_dead_worker_is_replaced_only_after_its_leases_lapsed() {
    let mut cell = Cell::start(2).await;
    let placer = cell.add_placer("p1");
    cell.submit_until_accepted(placer, &sleeping("a", 4, 600_000)).await;
    eventually("all run", PATIENCE, || cell.running_of("a") == 4);
    cell.set_mode(0, Mode::Silent);
    cell.set_mode(1, Mode::Silent);
    eventually("the silent workers ended them", PATIENCE, || cell.running_of("a") == 0);
    cell.set_mode(1, Mode::Normal);
    eventually("they run again", PATIENCE, || cell.running_of("a") == 4);
    cell.check();
}
