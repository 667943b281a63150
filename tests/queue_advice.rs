//! Tests of the queue scheduler with queues whose admission policy requires advice.

mod queue_support;

use hemlockrock::queue::model::{AdvicePolicy, JobId, Submission};
use hemlockrock::queue::scheduler::{Action, Event};
use queue_support::{job, step, Harness, OTHER_SERVICE_QUEUE};

const HOSTS: usize = 7;

fn harness(policy: AdvicePolicy, admitted_percent: u64) -> Harness {
    let mut harness = Harness::new(1);
    for number in 0..13 {
        harness.add_runner(&format!("r{number}"), 8_000);
        harness.add_runner_of_other_service(&format!("t{number}"), 8_000);
    }
    harness.require_advice(policy, admitted_percent, HOSTS);
    harness.advance(200);
    harness
}

/// Number of calls for advice about a job so far.
fn calls(harness: &Harness, id: u64) -> usize {
    let is_about = |action: &&Action| matches!(action, Action::RequestAdvice { step, .. } if step.job == JobId(id));
    harness.actions.iter().filter(is_about).count()
}

#[test]
fn calls_for_one_service_do_not_keep_all_hosts_from_the_steps_of_another() {
    let policy = AdvicePolicy { base_ms: 530.0, per_runner_ms: 7.6, valid_ms: 2_000 };
    let mut harness = harness(policy, 0);
    for id in 1..=60 {
        harness.handle(Event::JobSubmitted(job(id, vec![step(2, 4_000)])));
    }
    harness.advance(1_000);
    let queue = OTHER_SERVICE_QUEUE.to_owned();
    let other = Submission { queue, ..job(100, vec![step(2, 4_000)]) };
    harness.handle(Event::JobSubmitted(other));
    harness.advance(1_000);
    assert!(calls(&harness, 100) > 0, "60 jobs of the other service keep all hosts");
}

#[test]
fn short_calls_for_one_service_do_not_keep_all_hosts_from_the_steps_of_another() {
    let policy = AdvicePolicy { base_ms: 20.0, per_runner_ms: 0.5, valid_ms: 2_000 };
    let mut harness = harness(policy, 0);
    for id in 1..=300 {
        harness.handle(Event::JobSubmitted(job(id, vec![step(2, 4_000)])));
    }
    harness.advance(100);
    let queue = OTHER_SERVICE_QUEUE.to_owned();
    let other = Submission { queue, ..job(1_000, vec![step(2, 4_000)]) };
    harness.handle(Event::JobSubmitted(other));
    harness.advance(100);
    assert!(calls(&harness, 1_000) > 0, "300 jobs of the other service keep all hosts");
}

#[test]
fn a_service_gets_all_hosts_while_no_other_one_waits() {
    let policy = AdvicePolicy { base_ms: 20.0, per_runner_ms: 0.5, valid_ms: 2_000 };
    let mut harness = harness(policy, 0);
    for id in 1..=HOSTS as u64 {
        harness
            .scheduler
            .handle_event(Event::JobSubmitted(job(id, vec![step(2, 4_000)])), harness.now_ms);
    }
    harness.advance(10);
    let asked = (1..=HOSTS as u64).filter(|id| calls(&harness, *id) > 0);
    assert_eq!(asked.count(), HOSTS);
}

/// A short call, so that the answer of one pass is there in the next ones.
const SHORT_CALL: AdvicePolicy =
    AdvicePolicy { base_ms: 20.0, per_runner_ms: 0.5, valid_ms: 2_000 };

fn restart(harness: &mut Harness, ids: &[&str]) {
    for id in ids {
        harness.restart_runner(id);
    }
    for id in ids {
        harness.list_runner(id);
    }
    harness.advance(500);
}

#[test]
fn runners_that_are_refused_after_a_restart_do_not_hide_the_others() {
    let mut harness = Harness::new(1);
    harness.add_runner("r0", 8_000);
    harness.add_runner("r1", 8_000);
    harness.require_advice(SHORT_CALL, 100, HOSTS);
    harness.handle(Event::JobSubmitted(job(1, vec![step(2, 1_000)])));
    harness.advance_answering_starts(3_000);
    harness.refuse_runner("r0", true);
    harness.refuse_runner("r1", true);
    restart(&mut harness, &["r0", "r1"]);
    harness.starts();
    harness.add_runner("r2", 8_000);
    harness.advance(1_000);
    let starts = harness.starts();
    assert_eq!(starts.len(), 2);
    assert!(starts.iter().all(|start| &*start.target.0 == "r2"));
}

#[test]
fn a_runner_that_was_refused_is_asked_about_again_after_a_restart() {
    let mut harness = Harness::new(1);
    harness.add_runner("r0", 8_000);
    harness.require_advice(SHORT_CALL, 100, HOSTS);
    harness.refuse_runner("r0", true);
    harness.handle(Event::JobSubmitted(job(1, vec![step(4, 2_000)])));
    harness.advance(500);
    harness.refuse_runner("r0", false);
    restart(&mut harness, &["r0"]);
    harness.advance(500);
    assert_eq!(harness.starts().len(), 4);
}

#[test]
fn an_answer_about_a_runner_from_before_its_restart_does_not_count_for_its_new_life() {
    let policy = AdvicePolicy { base_ms: 530.0, per_runner_ms: 7.6, valid_ms: 2_000 };
    let mut harness = Harness::new(1);
    harness.add_runner("r0", 8_000);
    harness.require_advice(policy, 100, HOSTS);
    harness.refuse_runner("r0", true);
    harness.handle(Event::JobSubmitted(job(1, vec![step(4, 2_000)])));
    harness.advance(20);
    assert_eq!(calls(&harness, 1), 1);
    harness.refuse_runner("r0", false);
    harness.restart_runner("r0");
    harness.list_runner("r0");
    harness.advance(2_000);
    assert_eq!(harness.starts().len(), 4);
}
