//! Jobs through real placer processes; the workers' own records are the oracle.
#![allow(clippy::disallowed_methods, reason = "the test attribute blocks on the test")]

mod jobs_cell;
mod support;

use std::time::Instant;

use hemlockrock::declarations::TeamDeclaration;
use hemlockrock::jobs::api::SubmitOutcome;
use hemlockrock::place::message::JobState;
use hemlockrock::standin::worker::agent::Run;
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

#[async_std::test]
async fn a_team_runs_no_more_than_its_quota_and_another_is_not_held_back() {
    let mut cell = Cell::start(4).await;
    cell.declare(|declared| {
        for (name, cpu_millis) in [("range", 2_000), ("other", 8_000)] {
            let memory_bytes = 64 << 30;
            let name = name.to_owned();
            let team = TeamDeclaration { name, cpu_millis, memory_bytes, ..Default::default() };
            declared.teams.push(team);
        }
    })
    .await;
    let placer = cell.add_placer("p1");
    cell.submit_until_accepted(placer, &sleeping("range", 8, 300)).await;
    let mut other = sleeping("other", 8, 300);
    other.spec.team = "other".to_owned();
    cell.submit_until_accepted(placer, &other).await;
    let mut unknown = sleeping("unknown", 1, 10);
    unknown.spec.team = "nobody".to_owned();
    assert_eq!(cell.submit(placer, &unknown).await.0, 422);
    cell.wait_for_state(placer, "other", &JobState::Finished).await;
    cell.wait_for_state(placer, "range", &JobState::Finished).await;
    assert_eq!(most_at_once(&cell.runs_of("range")), 2);
    assert!(most_at_once(&cell.runs_of("other")) > 2);
    cell.check_each_finished_once();
}

/// Most runs that overlapped.
fn most_at_once(runs: &[Run]) -> usize {
    let overlaps = |at_ms: u64| {
        let runs = runs.iter().filter(|run| {
            let ended_at_ms = run.ended.map_or(u64::MAX, |(at_ms, _)| at_ms);
            run.started_at_ms <= at_ms && at_ms < ended_at_ms
        });
        runs.count()
    };
    runs.iter().map(|run| overlaps(run.started_at_ms)).max().unwrap_or(0)
}
