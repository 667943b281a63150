//! Tests of what the queue scheduler learns about jobs whose record it has not read yet.

mod queue_support;

use bytes::Bytes;
use hemlockrock::place::spec::Resources;
use hemlockrock::queue::model::{
    EndedRun, JobId, JobState, RunEnd, RunnerId, RunnerReport, RunnerStatus, TaskId,
};
use hemlockrock::queue::record::Progress;
use hemlockrock::queue::scheduler::{Action, Event};
use queue_support::{job, step, task, Harness};

/// Progress of a job of which the first task of the first step is done.
fn progress() -> Progress {
    Progress {
        state: JobState::Active,
        ended_unix_ms: 0,
        done: vec![(0, 0)],
        failed: Vec::new(),
        crashed: Vec::new(),
        lost: Vec::new(),
    }
}

/// Confirms all start orders since the last call; returns their tasks.
fn confirm_starts(harness: &mut Harness) -> Vec<TaskId> {
    let starts = harness.starts();
    harness.answer_starts(&starts);
    starts.iter().map(|start| start.task).collect()
}

/// Jobs of the last read of job records.
fn read_jobs(harness: &Harness) -> Option<Vec<JobId>> {
    harness.actions.iter().rev().find_map(|action| match action {
        Action::ReadJobs(jobs) => Some(jobs.clone()),
        _ => None,
    })
}

fn ended(number: u64, task: TaskId, run: u64, end: RunEnd) -> EndedRun {
    EndedRun { number, task, run, end, checkpoint: Bytes::new() }
}

/// A harness whose runner `r1` has a run of job 9, so that its lease is renewed.
fn harness_with_busy_runner() -> Harness {
    let mut harness = Harness::new(9);
    harness.add_runner("r1", 4_000);
    harness.handle(Event::JobSubmitted(job(9, vec![step(1, 1_000)])));
    let starts = harness.starts();
    harness.answer_starts(&starts);
    harness.advance(100);
    harness
}

/// Publishes the record of a runner whose renewals are answered by [`answer_renewal`].
fn list_runner(harness: &mut Harness, started_unix_ms: u64) {
    let report = RunnerReport {
        id: RunnerId::from("r0"),
        address: "r0:1".to_owned(),
        zone: "z".to_owned(),
        service: "s".to_owned(),
        is_draining: false,
        leaves_in_ms: None,
        labels: Vec::new(),
        capacity: Resources::new(4_000, 1 << 30, 0),
        started_unix_ms,
    };
    harness.handle(Event::RunnerListed(report));
}

/// Answers the next renewal with a status of the life that began at `started_unix_ms`; returns the
/// number that the renewal acknowledged.
fn answer_renewal(harness: &mut Harness, started_unix_ms: u64, ended: Vec<EndedRun>) -> u64 {
    harness.advance(2_000);
    let is_renewal = |action: &Action| matches!(action, Action::RenewLease(_));
    let at = harness.actions.iter().position(is_renewal).expect("a renewal");
    let Action::RenewLease(renewal) = harness.actions.remove(at) else { unreachable!() };
    let (clock_ms, sent_ms) = (harness.now_ms, harness.now_ms);
    let status = RunnerStatus { started_unix_ms, clock_ms, running: Vec::new(), ended };
    let (runner, result) = (renewal.runner, Ok(status));
    harness.handle(Event::RenewalFinished { runner, sent_ms, result });
    renewal.acknowledged
}

#[test]
fn progress_that_comes_before_its_deferred_job_is_not_lost() {
    let mut harness = Harness::new(9);
    harness.confirm_lease_until(harness.now_ms);
    harness.handle(Event::JobSubmitted(job(1, vec![step(2, 1_000)])));
    harness.handle(Event::ProgressLoaded(JobId(1), progress()));
    harness.add_runner("r1", 4_000);
    assert!(read_jobs(&harness).is_none(), "the job may be a deferred one");
    harness.confirm_lease_until(harness.now_ms + 60_000);
    harness.advance(200);
    assert_eq!(confirm_starts(&mut harness), [task(1, 0, 1)]);
}

#[test]
fn a_final_state_that_comes_before_its_job_ends_the_job() {
    let mut harness = Harness::new(9);
    harness.add_runner("r1", 4_000);
    let progress = Progress { state: JobState::Completed, ended_unix_ms: 1, ..progress() };
    harness.handle(Event::ProgressLoaded(JobId(1), progress));
    harness.handle(Event::JobSubmitted(job(1, vec![step(2, 1_000)])));
    harness.advance(200);
    assert!(harness.starts().is_empty());
    assert_eq!(harness.state(1), Some(JobState::Completed));
}

#[test]
fn an_end_that_comes_before_its_job_is_neither_acknowledged_nor_lost() {
    let mut harness = harness_with_busy_runner();
    harness.end_at("r1", 1, task(1, 0, 0), 5, RunEnd::Done);
    harness.advance(3_000);
    assert_eq!(harness.acknowledged("r1"), 0, "the end is not stored");
    harness.delay_saves();
    harness.handle(Event::JobSubmitted(job(1, vec![step(2, 1_000)])));
    assert_eq!(confirm_starts(&mut harness), [task(1, 0, 1)]);
    harness.advance(2_000);
    assert_eq!(harness.acknowledged("r1"), 0, "the end is not stored yet");
    harness.complete_saves();
    harness.advance(2_000);
    assert_eq!(harness.acknowledged("r1"), 1);
}

#[test]
fn the_end_of_a_deferred_job_is_neither_acknowledged_nor_lost() {
    let mut harness = harness_with_busy_runner();
    harness.confirm_lease_until(harness.now_ms);
    harness.handle(Event::JobSubmitted(job(1, vec![step(2, 1_000)])));
    harness.end_at("r1", 1, task(1, 0, 0), 5, RunEnd::Done);
    harness.advance(2_000);
    assert_eq!(harness.acknowledged("r1"), 0);
    harness.confirm_lease_until(harness.now_ms + 60_000);
    harness.advance(100);
    assert_eq!(confirm_starts(&mut harness), [task(1, 0, 1)]);
    harness.advance(2_000);
    assert_eq!(harness.acknowledged("r1"), 1);
}

#[test]
fn failed_ends_that_come_before_their_job_count_as_attempts() {
    let mut harness = harness_with_busy_runner();
    for number in 1..=u64::from(queue_support::ATTEMPTS) {
        harness.end_at("r1", number, task(1, 0, 0), number, RunEnd::Failed);
        harness.advance(1_000);
    }
    harness.handle(Event::JobSubmitted(job(1, vec![step(1, 1_000)])));
    harness.advance(200);
    assert!(harness.starts().is_empty());
    assert_eq!(harness.state(1), Some(JobState::Failed));
}

#[test]
fn ends_of_a_job_without_a_record_are_acknowledged() {
    let mut harness = harness_with_busy_runner();
    harness.end_at("r1", 1, task(1, 0, 0), 5, RunEnd::Done);
    harness.advance(2_000);
    assert_eq!(read_jobs(&harness), Some(vec![JobId(1)]));
    harness.handle(Event::JobsRead { absent: Vec::new() });
    harness.advance(2_000);
    assert_eq!(harness.acknowledged("r1"), 0, "the read has failed");
    harness.handle(Event::JobsRead { absent: vec![JobId(1)] });
    harness.advance(2_000);
    assert_eq!(harness.acknowledged("r1"), 1);
}

#[test]
fn ends_of_a_job_whose_final_state_is_stored_are_acknowledged() {
    let mut harness = harness_with_busy_runner();
    harness.handle(Event::JobSubmitted(job(1, vec![step(1, 1_000)])));
    let starts = harness.starts();
    harness.answer_starts(&starts);
    harness.end(&starts[0], RunEnd::Done);
    assert_eq!(harness.state(1), Some(JobState::Completed));
    harness.end_at("r1", 2, starts[0].task, starts[0].run + 1, RunEnd::Stopped);
    harness.advance(2_000);
    assert_eq!(harness.acknowledged("r1"), 2);
    assert!(read_jobs(&harness).is_none());
}

#[test]
fn an_end_that_came_after_the_read_is_not_acknowledged() {
    let mut harness = harness_with_busy_runner();
    harness.end_at("r1", 1, task(1, 0, 0), 5, RunEnd::Done);
    harness.advance(1_000);
    harness.end_at("r1", 2, task(1, 0, 1), 6, RunEnd::Done);
    harness.advance(1_000);
    harness.handle(Event::JobsRead { absent: vec![JobId(1)] });
    harness.advance(2_000);
    assert_eq!(harness.acknowledged("r1"), 1);
    harness.handle(Event::JobsRead { absent: vec![JobId(1)] });
    harness.advance(2_000);
    assert_eq!(harness.acknowledged("r1"), 2);
}

/// The numbers of ends begin at 1 again when a runner restarts.
#[test]
fn an_end_of_a_former_life_is_applied_without_acknowledging_its_number() {
    let mut harness = Harness::new(9);
    list_runner(&mut harness, 1);
    answer_renewal(&mut harness, 1, vec![ended(1, task(1, 0, 0), 5, RunEnd::Done)]);
    list_runner(&mut harness, 2);
    let listed = vec![ended(1, task(2, 0, 0), 6, RunEnd::Done)];
    answer_renewal(&mut harness, 2, listed.clone());
    harness.handle(Event::JobSubmitted(job(1, vec![step(1, 1_000)])));
    assert!(harness.starts().is_empty(), "the task was done in the former life");
    assert_eq!(harness.state(1), Some(JobState::Completed));
    assert_eq!(answer_renewal(&mut harness, 2, listed), 0, "the end of job 2 is not stored");
}

#[test]
fn a_running_run_of_an_unknown_job_is_not_started_elsewhere_when_the_job_becomes_known() {
    let mut harness = Harness::new(9);
    harness.add_runner_with_runs("r1", 4_000, vec![(task(1, 0, 0), 5)]);
    harness.add_runner("r2", 4_000);
    harness.advance(100);
    harness.handle(Event::JobSubmitted(job(1, vec![step(1, 1_000)])));
    harness.advance(100);
    assert!(harness.starts().is_empty(), "the task is still running at r1");
    let stops = harness.stops();
    harness.answer_stop(&stops[0], Ok(()));
    harness.end_at("r1", 1, task(1, 0, 0), 5, RunEnd::Stopped);
    harness.advance(200);
    assert_eq!(harness.starts().len(), 1);
}
