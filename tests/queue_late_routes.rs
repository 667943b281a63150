//! Tests of jobs whose queue their leader learns of late, or that is removed while they are in progress.

mod queue_support;

use hemlockrock::queue::model::{AdvicePolicy, JobState, RunEnd, Step, Submission};
use hemlockrock::queue::scheduler::Event;
use queue_support::{job, step, task, Harness, ATTEMPTS, LESS_URGENT_QUEUE};

/// A policy whose calls take longer than a pass.
const ADVICE: AdvicePolicy = AdvicePolicy { base_ms: 300.0, per_runner_ms: 0.5, valid_ms: 2_000 };

/// Time within which a task starts after it may, in milliseconds.
const START_MS: u64 = 1_000;

/// A job with a step of one task after another.
fn two_steps() -> Submission {
    job(1, vec![step(1, 1_000), Step { after: vec![0], ..step(1, 1_000) }])
}

/// Starts the next task, and lets its run end.
fn run_once(harness: &mut Harness, end: RunEnd) {
    harness.advance_until_start(START_MS);
    let starts = harness.starts();
    assert_eq!(starts.len(), 1, "a task starts");
    harness.answer_starts(&starts);
    harness.end(&starts[0], end);
}

/// A leader that does not know the queues yet, and a host that does.
fn with_late_leader() -> (Harness, Submission) {
    let mut harness = Harness::new(1);
    let submission = harness.with_terms(job(1, vec![step(1, 1_000)]));
    harness.hide_queues(true);
    harness.add_runner("r1", 4_000);
    (harness, submission)
}

// Guards against a job that is shown as failed after fewer failed runs than its queue allows: its leader
// learned of the job before the queue, and kept the default.
#[test]
fn a_job_gets_all_attempts_of_a_queue_that_its_leader_learns_of_later() {
    for is_recorded in [false, true] {
        let (mut harness, recorded) = with_late_leader();
        let submission =
            if is_recorded { recorded } else { Submission { terms: None, ..recorded } };
        harness.handle(Event::JobSubmitted(submission));
        harness.hide_queues(false);
        for _ in 1..ATTEMPTS {
            run_once(&mut harness, RunEnd::Failed);
            assert_eq!(harness.state(1), Some(JobState::Active), "recorded: {is_recorded}");
        }
        run_once(&mut harness, RunEnd::Failed);
        assert_eq!(harness.state(1), Some(JobState::Failed));
    }
}

// Guards against the lowest priority for such a job.
#[test]
fn a_job_gets_the_priority_of_a_queue_that_its_leader_learns_of_later() {
    let mut harness = Harness::new(1);
    harness.hide_queues(true);
    harness.handle(Event::JobSubmitted(job(1, vec![step(1, 1_000)])));
    harness.hide_queues(false);
    let queue = LESS_URGENT_QUEUE.to_owned();
    let other = Submission { queue, ..job(2, vec![step(4, 1_000)]) };
    harness.handle(Event::JobSubmitted(other));
    harness.add_runner("r1", 4_000);
    harness.advance_until_start(START_MS);
    assert_eq!(harness.starts()[0].task, task(1, 0, 0));
}

// Guards against jobs that wait for their leader to learn of the queue although their record tells.
#[test]
fn a_job_starts_before_its_leader_learns_of_the_queue() {
    let (mut harness, submission) = with_late_leader();
    harness.handle(Event::JobSubmitted(submission));
    run_once(&mut harness, RunEnd::Done);
    assert_eq!(harness.state(1), Some(JobState::Completed));
}

// Guards against a leader whose directory is older than the record of the job.
#[test]
fn an_older_declaration_does_not_replace_the_recorded_one() {
    let mut harness = Harness::new(1);
    harness.add_runner("r1", 4_000);
    let mut submission = harness.with_terms(job(1, vec![step(1, 1_000)]));
    let terms = submission.terms.as_mut().and_then(std::sync::Arc::get_mut);
    let terms = terms.expect("only this job has the terms");
    (terms.version, terms.max_attempts) = (terms.version + 10, ATTEMPTS + 1);
    harness.handle(Event::JobSubmitted(submission));
    harness.hide_queues(false);
    for _ in 0..ATTEMPTS {
        run_once(&mut harness, RunEnd::Failed);
    }
    assert_eq!(harness.state(1), Some(JobState::Active));
    run_once(&mut harness, RunEnd::Failed);
    assert_eq!(harness.state(1), Some(JobState::Failed));
}

// Guards against starts without a ticket once the queue of a job is removed.
#[test]
fn a_job_of_a_removed_queue_goes_on_with_tickets() {
    let mut harness = Harness::new(1);
    harness.add_runner("r1", 4_000);
    harness.require_advice(ADVICE, 100, 4);
    let submission = harness.with_terms(two_steps());
    harness.handle(Event::JobSubmitted(submission));
    run_once(&mut harness, RunEnd::Done);
    assert!(harness.starts().is_empty(), "the second step needs a ticket of its own");
    harness.hide_queues(true);
    harness.advance_until_start(START_MS);
    let starts = harness.starts();
    assert!(starts[0].ticket.is_some(), "started without a ticket: {starts:?}");
}

// Guards against a successor that knows neither the service nor the attempts of a removed queue.
#[test]
fn a_job_of_a_removed_queue_goes_on_under_a_successor() {
    let mut harness = Harness::new(1);
    harness.add_runner("r1", 4_000);
    let submission = harness.with_terms(two_steps());
    harness.handle(Event::JobSubmitted(submission.clone()));
    run_once(&mut harness, RunEnd::Done);
    harness.hide_queues(true);
    harness.starts();
    harness.take_over_from_ended_term(2, &[submission]);
    run_once(&mut harness, RunEnd::Failed);
    run_once(&mut harness, RunEnd::Failed);
    assert_eq!(harness.state(1), Some(JobState::Active));
    run_once(&mut harness, RunEnd::Done);
    assert_eq!(harness.state(1), Some(JobState::Completed));
}
