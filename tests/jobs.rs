//! End-to-end tests of jobs with real placer processes. The workers' own records of what they ran
//! are the reference.
#![allow(clippy::disallowed_methods, reason = "the test attribute blocks on the test")]

mod jobs_cell;
mod support;

use std::time::Instant;

use hemlockrock::declarations::TeamDeclaration;
use hemlockrock::jobs::api::SubmitOutcome;
use hemlockrock::place::message::JobState;
use hemlockrock::standin::worker::agent::Run;
use hemlockrock::standin::worker::Mode;
use http_types::Method;
use jobs_cell::{sleep_job, TestCell, SESSION_TTL, TASK_LEASE, TIMEOUT};
use support::eventually;

#[async_std::test]
async fn a_job_finishes_and_its_resubmission_starts_nothing() {
    let mut cell = TestCell::start(4).await;
    let placer = cell.add_placer("p1");
    let job = sleep_job("range-1", 10, 100);
    let answer = cell.submit_until_accepted(placer, &job).await;
    assert_eq!(answer.outcome, SubmitOutcome::Accepted);
    cell.wait_for_state(placer, "range-1", &JobState::Finished).await;
    cell.submit_until_accepted(placer, &job).await;
    assert_eq!(cell.runs_of("range-1").len(), 10);
    let other = sleep_job("range-1", 11, 100);
    assert_eq!(cell.submit(placer, &other).await.0, 503, "a different job with an id in use");
    cell.check_each_task_finished_once();
}

// Guards against a job that runs after its cancellation was answered: its submission was on its way.
#[async_std::test]
async fn a_job_that_is_submitted_after_its_cancellation_was_answered_is_not_run() {
    let mut cell = TestCell::start(2).await;
    let placer = cell.add_placer("p1");
    cell.submit_until_accepted(placer, &sleep_job("other", 1, 100)).await;
    let cancelled = cell.call(placer, Method::Delete, "/v1/jobs/range-1", Vec::new()).await;
    assert_eq!(cancelled.map(|reply| reply.status), Some(404), "no such job");
    let (status, answer) = cell.submit(placer, &sleep_job("range-1", 4, 100)).await;
    assert_eq!((status, answer.map(|answer| answer.outcome)), (503, Some(SubmitOutcome::NotRun)));
    assert!(cell.job(placer, "range-1").await.is_none());
    cell.wait_for_state(placer, "other", &JobState::Finished).await;
    assert!(cell.runs_of("range-1").is_empty());
}

#[async_std::test]
async fn a_standby_takes_over_from_a_killed_placer_without_stopping_tasks() {
    let mut cell = TestCell::start(6).await;
    let first = cell.add_placer("p1");
    eventually("p1 holds the zone", TIMEOUT, || cell.holder().is_some());
    let second = cell.add_placer("p2");
    cell.submit_until_accepted(first, &sleep_job("busy", 8, 600_000)).await;
    eventually("all run", TIMEOUT, || cell.running_of("busy") == 8);

    let killed = Instant::now();
    cell.placers[first].kill();
    cell.submit_until_accepted(second, &sleep_job("after", 4, 100)).await;
    eventually("the new holder places tasks", TIMEOUT, || !cell.runs_of("after").is_empty());
    let took = killed.elapsed();
    println!("takeover took {} ms", took.as_millis());
    assert!(took <= SESSION_TTL * 2, "took {took:?}");

    cell.wait_for_state(second, "after", &JobState::Finished).await;
    async_std::task::sleep(TASK_LEASE * 2).await;
    assert_eq!(cell.running_of("busy"), 8);
    assert_eq!(cell.interrupted_runs(), 0);
    assert_eq!(cell.runs_of("busy").len(), 8);
    cell.check_each_task_finished_once();
}

#[async_std::test]
async fn tasks_of_a_silent_worker_restart_after_their_leases_lapse() {
    let mut cell = TestCell::start(2).await;
    let placer = cell.add_placer("p1");
    cell.submit_until_accepted(placer, &sleep_job("a", 4, 600_000)).await;
    eventually("all run", TIMEOUT, || cell.running_of("a") == 4);
    cell.set_mode(0, Mode::Silent);
    cell.set_mode(1, Mode::Silent);
    eventually("the silent workers stop the tasks", TIMEOUT, || cell.running_of("a") == 0);
    cell.set_mode(1, Mode::Normal);
    eventually("the tasks run again", TIMEOUT, || cell.running_of("a") == 4);
    cell.check_invariants();
}

#[async_std::test]
async fn a_team_at_its_quota_does_not_block_another_team() {
    let mut cell = TestCell::start(4).await;
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
    cell.submit_until_accepted(placer, &sleep_job("range", 8, 300)).await;
    let mut other = sleep_job("other", 8, 300);
    other.spec.team = "other".to_owned();
    cell.submit_until_accepted(placer, &other).await;
    let mut unknown = sleep_job("unknown", 1, 10);
    unknown.spec.team = "nobody".to_owned();
    assert_eq!(cell.submit(placer, &unknown).await.0, 422);
    cell.wait_for_state(placer, "other", &JobState::Finished).await;
    cell.wait_for_state(placer, "range", &JobState::Finished).await;
    assert_eq!(max_concurrent_runs(&cell.runs_of("range")), 2);
    assert!(max_concurrent_runs(&cell.runs_of("other")) > 2);
    cell.check_each_task_finished_once();
}

/// Largest number of runs at the same time.
fn max_concurrent_runs(runs: &[Run]) -> usize {
    let overlaps = |at_ms: u64| {
        let runs = runs.iter().filter(|run| {
            let ended_at_ms = run.ended.map_or(u64::MAX, |(at_ms, _)| at_ms);
            run.started_at_ms <= at_ms && at_ms < ended_at_ms
        });
        runs.count()
    };
    runs.iter().map(|run| overlaps(run.started_at_ms)).max().unwrap_or(0)
}
