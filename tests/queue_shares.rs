//! Limits and shares of workspaces in the queue scheduler.
//!
//! The property test plays a few seeds. To play others: `SHARES_SEEDS=2000 cargo test --test
//! queue_shares`.

#![allow(
    clippy::unwrap_used,
    clippy::print_stdout,
    reason = "tests panic on unexpected values and print a summary"
)]

mod queue_support;

use std::collections::{BTreeMap, BTreeSet};

use hemlockrock::collections;
use hemlockrock::configs::queue::{OrderByValue, QueueConfig};
use hemlockrock::place::spec::Resources;
use hemlockrock::queue::model::{
    AdvicePolicy, JobId, JobState, OrderError, RunEnd, Step, Submission, TaskId,
};
use hemlockrock::queue::scheduler::{Action, Event, StartOrder};
use queue_support::{job, job_of, step, task, Harness};

const UNLIMITED: Resources = Resources::new(u64::MAX, u64::MAX, u32::MAX);

/// A limit of the processor time alone.
fn cpu_limit(cpu_millis: u64) -> Resources {
    Resources { cpu_millis, ..UNLIMITED }
}

/// A harness with runners of 4 cores each and these workspaces.
fn with_workspaces(runners: u32, workspaces: &[(&str, f64, Resources)]) -> Harness {
    with_config(QueueConfig::default(), runners, workspaces)
}

fn with_config(
    config: QueueConfig,
    runners: u32,
    workspaces: &[(&str, f64, Resources)],
) -> Harness {
    let mut harness = Harness::with_config(1, config);
    harness.declare_workspaces(workspaces);
    for number in 0..runners {
        harness.add_runner(&format!("r{number}"), 4_000);
    }
    harness
}

fn submit(harness: &mut Harness, job: Submission) {
    harness.handle(Event::JobSubmitted(job));
}

/// Start orders since the last call, all confirmed.
fn confirmed_starts(harness: &mut Harness) -> Vec<StartOrder> {
    let starts = harness.starts();
    harness.answer_starts(&starts);
    starts
}

/// Ends a run and returns the jobs of the tasks that start then, all confirmed.
fn end_and_start(harness: &mut Harness, start: &StartOrder) -> Vec<u64> {
    harness.end(start, RunEnd::Done);
    confirmed_starts(harness).iter().map(|start| start.task.step.job.0).collect()
}

// Guards against starts that ignore the limit while runners have room.
#[test]
fn tasks_start_up_to_the_limit_and_the_rest_as_runs_end() {
    let mut harness = with_workspaces(4, &[("a", 10.0, cpu_limit(2_500))]);
    submit(&mut harness, job_of(1, "a", vec![step(5, 1_000)]));
    let running = confirmed_starts(&mut harness);
    assert_eq!(running.len(), 2);
    harness.advance(3_000);
    assert!(harness.starts().is_empty());
    assert_eq!(end_and_start(&mut harness, &running[0]), [1]);
    assert!(harness.stops().is_empty());
}

// Guards against a limit that one of the other resources may exceed.
#[test]
fn memory_counts_as_well() {
    let limit = Resources { memory_bytes: 30, ..UNLIMITED };
    let mut harness = with_workspaces(4, &[("a", 10.0, limit)]);
    let need = Resources::new(100, 10, 0);
    submit(&mut harness, job_of(1, "a", vec![Step { need, ..step(5, 0) }]));
    assert_eq!(harness.starts().len(), 3);
}

// Guards against best-effort tasks that use processor time without being counted.
#[test]
fn best_effort_tasks_count_with_their_processor_time() {
    let mut harness = with_workspaces(4, &[("a", 10.0, cpu_limit(2_000))]);
    let best_effort = Step { is_best_effort: true, ..step(5, 1_000) };
    submit(&mut harness, job_of(1, "a", vec![best_effort]));
    assert_eq!(harness.starts().len(), 2);
}

// Guards against gangs of which the limit lets only some members start.
#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut harness = with_workspaces(4, &[("a", 10.0, cpu_limit(5_000))]);
    submit(&mut harness, job_of(1, "a", vec![step(2, 1_000)]));
    let running = confirmed_starts(&mut harness);
    let gang = Step { is_gang: true, ..step(4, 1_000) };
    submit(&mut harness, job_of(2, "a", vec![gang]));
    harness.advance(1_000);
    assert!(harness.starts().is_empty());
    assert_eq!(end_and_start(&mut harness, &running[0]), [2; 4]);
}

// Guards against work larger than its limit that holds up its own and other workspaces.
#[test]
fn work_larger_than_the_limit_blocks_nobody_and_starts_once_the_limit_is_raised() {
    let mut harness =
        with_workspaces(4, &[("a", 10.0, cpu_limit(2_000)), ("b", 10.0, cpu_limit(9_000))]);
    submit(&mut harness, job_of(1, "a", vec![step(1, 3_000)]));
    submit(&mut harness, job_of(2, "a", vec![Step { is_gang: true, ..step(3, 1_000) }]));
    submit(&mut harness, job_of(3, "a", vec![step(1, 2_000)]));
    submit(&mut harness, job_of(4, "b", vec![step(1, 2_000)]));
    let started: Vec<u64> =
        confirmed_starts(&mut harness).iter().map(|start| start.task.step.job.0).collect();
    assert_eq!(started, [3, 4]);
    harness.declare_workspaces(&[("a", 10.0, cpu_limit(8_000)), ("b", 10.0, cpu_limit(9_000))]);
    let started: BTreeSet<u64> = harness.starts().iter().map(|one| one.task.step.job.0).collect();
    assert_eq!(started, [1, 2].into());
}

// Guards against calls for advice that no start can follow, which keep hosts from useful calls.
#[test]
fn advice_is_requested_only_for_what_the_limit_allows() {
    // Of 60 tasks, two may start: the fewest runners that a call names are enough. Where advice is
    // requested ahead of room, calls are filled, and one is enough.
    for (order_by_value, named) in [(OrderByValue::Never, 8), (OrderByValue::Auto, 30)] {
        let config = QueueConfig { order_by_value, ..QueueConfig::default() };
        let mut harness = with_config(config, 40, &[("a", 10.0, cpu_limit(2_000))]);
        let policy = AdvicePolicy { base_ms: 20.0, per_runner_ms: 1.0, valid_ms: 3_000 };
        harness.require_advice(policy, 100, 8);
        submit(&mut harness, job_of(1, "a", vec![step(1, 3_000)]));
        submit(&mut harness, job_of(2, "a", vec![Step { is_gang: true, ..step(3, 1_000) }]));
        harness.advance(500);
        let asked = |harness: &Harness, job: u64| {
            let calls = harness.actions.iter().filter_map(|action| match action {
                Action::RequestAdvice { step, runners, .. } if step.job == JobId(job) => {
                    Some(runners.len())
                }
                _ => None,
            });
            calls.sum::<usize>()
        };
        assert_eq!(asked(&harness, 1) + asked(&harness, 2), 0);
        submit(&mut harness, job_of(3, "a", vec![step(60, 1_000)]));
        assert_eq!(asked(&harness, 3), named);
        harness.advance(100);
        assert_eq!(harness.starts().len(), 2);
    }
}

// Guards against work of others that is stopped in vain.
#[test]
fn nothing_is_preempted_for_a_task_that_the_limit_holds_back() {
    let mut harness = with_workspaces(1, &[("a", 10.0, cpu_limit(1_000))]);
    harness.resize_runner("r0", Resources::new(5_000, 1 << 30, 0));
    let less_urgent = queue_support::LESS_URGENT_QUEUE.to_owned();
    submit(&mut harness, Submission { queue: less_urgent, ..job(1, vec![step(4, 1_000)]) });
    assert_eq!(confirmed_starts(&mut harness).len(), 4);
    let policy = AdvicePolicy { base_ms: 20.0, per_runner_ms: 1.0, valid_ms: 3_000 };
    harness.require_advice(policy, 100, 4);
    let long_running = Step { is_long_running: true, ..step(2, 1_000) };
    submit(&mut harness, job_of(2, "a", vec![long_running]));
    harness.advance(200);
    assert_eq!(confirmed_starts(&mut harness).len(), 1);
    harness.advance(3_000);
    assert!(harness.stops().is_empty());
    // Work within the limit is given room.
    harness.declare_workspaces(&[("a", 10.0, cpu_limit(2_000))]);
    harness.advance(1_500);
    assert_eq!(harness.stops().len(), 1);
}

// Guards against stops or starts when the limit falls below the use.
#[test]
fn a_lowered_limit_stops_nothing_and_starts_nothing() {
    let mut harness = with_workspaces(4, &[("a", 10.0, cpu_limit(4_000))]);
    submit(&mut harness, job_of(1, "a", vec![step(8, 1_000)]));
    let mut starts = harness.starts();
    let unanswered = starts.pop().unwrap();
    harness.answer_starts(&starts);
    harness.declare_workspaces(&[("a", 10.0, cpu_limit(3_000))]);
    harness.declare_workspaces(&[("a", 10.0, cpu_limit(2_000))]);
    harness.answer_start(&unanswered, Err(OrderError::Unanswered));
    harness.advance(3_000);
    assert!(harness.starts().is_empty(), "also not the order without an answer");
    assert!(harness.stops().is_empty());
    assert!(end_and_start(&mut harness, &starts[0]).is_empty());
    // With the end of one more, the unanswered start and the last run reach the limit.
    harness.end(&starts[1], RunEnd::Done);
    let again = harness.starts();
    assert_eq!(again.len(), 1);
    assert_eq!((again[0].task, again[0].run), (unanswered.task, unanswered.run));
}

// Guards against a workspace that can use everything once it is removed.
#[test]
fn a_workspace_that_is_no_longer_declared_keeps_its_limit() {
    let mut harness = with_workspaces(4, &[("a", 10.0, cpu_limit(2_000))]);
    harness.declare_workspaces(&[("b", 10.0, cpu_limit(2_000))]);
    submit(&mut harness, job_of(1, "a", vec![step(4, 1_000)]));
    assert_eq!(harness.starts().len(), 2);
}

// Guards against copies that start beside a run that may still go on, above the limit.
#[test]
fn runs_on_a_silent_runner_count_until_their_leases_have_lapsed() {
    let mut harness = with_workspaces(2, &[("a", 10.0, cpu_limit(2_000))]);
    let copyable = Step { may_copy: true, ..step(2, 1_000) };
    submit(&mut harness, job_of(1, "a", vec![copyable]));
    let starts = confirmed_starts(&mut harness);
    harness.advance(200);
    let silent = starts[0].target.0.clone();
    harness.cut_off_runner(&silent);
    let begun_ms = harness.now_ms;
    harness.advance_until_start(10_000);
    let waited_ms = harness.now_ms - begun_ms;
    assert!(!harness.starts().is_empty(), "starts again once the lease has lapsed");
    let lease_left_ms = harness.config.run_lease_ms - 1_200;
    assert!(waited_ms > lease_left_ms, "{waited_ms} ms");
}

// Guards against tasks that are run in isolation after a crash without regard to the limit.
#[test]
fn suspects_of_a_crash_start_only_within_the_limit() {
    let mut harness = with_workspaces(2, &[("a", 10.0, cpu_limit(4_000))]);
    submit(&mut harness, job_of(1, "a", vec![step(4, 1_000)]));
    let starts = confirmed_starts(&mut harness);
    let crashed = starts[0].target.0.clone();
    let suspects = starts.iter().filter(|start| start.target.0 == crashed).count();
    assert_eq!(suspects, 2);
    harness.restart_runner(&crashed);
    harness.list_runner(&crashed);
    let others = 1_000 * (starts.len() - suspects) as u64;
    harness.declare_workspaces(&[("a", 10.0, cpu_limit(others + 500))]);
    harness.advance(6_000);
    assert!(harness.starts().is_empty());
    harness.declare_workspaces(&[("a", 10.0, cpu_limit(others + 1_000))]);
    harness.advance(3_000);
    assert_eq!(harness.starts().len(), 1);
}

/// A new leader that knows 4 tasks of workspace `a`, one of them at each of 4 runners, of which
/// `unread` do not answer.
fn after_takeover(unread: u32, limit: Resources) -> Harness {
    let mut harness = with_workspaces(4, &[("a", 10.0, limit)]);
    let known = job_of(1, "a", vec![Step { max_per_runner: 1, ..step(4, 1_000) }]);
    submit(&mut harness, known.clone());
    assert_eq!(confirmed_starts(&mut harness).len(), 4);
    harness.advance(200);
    for number in 0..unread {
        harness.make_silent(&format!("r{number}"));
    }
    harness.take_over(2, &[known]);
    harness.advance(500);
    assert!(harness.starts().is_empty());
    harness
}

// Guards against a new leader that starts work although unread runs already use the limit.
#[test]
fn tasks_that_may_run_at_unread_runners_count_after_a_takeover() {
    let mut harness = after_takeover(2, cpu_limit(5_000));
    submit(&mut harness, job_of(2, "a", vec![step(3, 1_000)]));
    harness.advance(1_000);
    assert_eq!(harness.starts().len(), 1, "four of five cores may be in use");
}

// Guards against a takeover that holds back a workspace for more than unread runners can hold.
#[test]
fn unread_runners_count_at_most_with_what_they_can_hold() {
    let mut harness = with_workspaces(4, &[("a", 10.0, cpu_limit(20_000))]);
    let known = job_of(1, "a", vec![step(18, 1_000)]);
    harness.make_silent("r0");
    harness.take_over(2, &[known]);
    harness.advance(500);
    // Of the 18 cores of the tasks that wait, the silent runner can hold 4: 16 are left.
    submit(&mut harness, job_of(2, "a", vec![step(18, 1_000)]));
    harness.advance(500);
    assert_eq!(harness.starts().len(), 12, "the three others are full");
    harness.declare_workspaces(&[("a", 10.0, cpu_limit(16_000))]);
    harness.advance(1_000);
    assert!(harness.starts().is_empty());
}

// Guards against runs of a job that is not known yet that count for no workspace.
#[test]
fn runs_of_unknown_jobs_count_until_their_job_is_known() {
    let mut harness = Harness::new(2);
    harness.declare_workspaces(&[("a", 10.0, cpu_limit(3_000)), ("b", 10.0, cpu_limit(3_000))]);
    harness.add_runner_with_runs("r0", 4_000, vec![(task(9, 0, 0), 5)]);
    harness.add_runner("r1", 8_000);
    submit(&mut harness, job_of(1, "a", vec![step(3, 1_000)]));
    harness.advance(300);
    assert!(harness.starts().is_empty());
    harness.handle(Event::JobLoaded(job_of(9, "b", vec![step(1, 1_000)])));
    assert_eq!(harness.starts().len(), 3, "it was one of workspace b");
    submit(&mut harness, job_of(2, "b", vec![step(3, 1_000)]));
    assert_eq!(harness.starts().len(), 2);
}

// Guards against a cancelled job that is forgotten while its tasks may run at an unread runner.
#[test]
fn a_job_that_ends_during_the_inherited_wait_still_counts() {
    let mut harness = after_takeover(4, cpu_limit(4_000));
    harness.handle(Event::JobCanceled(JobId(1)));
    harness.advance(300);
    harness.add_runner("r4", 4_000);
    submit(&mut harness, job_of(2, "a", vec![step(2, 1_000)]));
    harness.advance(1_000);
    assert!(harness.starts().is_empty());
    harness.advance(12_000);
    assert_eq!(harness.starts().len(), 2, "no longer once all leases have lapsed");
}

/// Number of starts of the job by each workspace, by the first digit of its number.
fn count_by_workspace(started: &[u64]) -> BTreeMap<u64, usize> {
    let mut counts = BTreeMap::new();
    for job in started {
        *counts.entry(job / 1_000).or_default() += 1;
    }
    counts
}

// Guards against one workspace that gets more than its weight while others wait.
#[test]
fn workspaces_take_turns_by_weight_when_all_runners_are_full() {
    let mut harness = with_workspaces(4, &[("a", 300.0, UNLIMITED), ("b", 100.0, UNLIMITED)]);
    // The work of b is due first.
    for number in 0..30 {
        submit(&mut harness, job_of(2_000 + number, "b", vec![step(1, 1_000)]));
    }
    for number in 0..30 {
        submit(&mut harness, job_of(1_000 + number, "a", vec![step(1, 1_000)]));
    }
    let mut running: Vec<StartOrder> = confirmed_starts(&mut harness);
    assert_eq!(running.len(), 16);
    let mut started = Vec::new();
    for _ in 0..24 {
        let ended = running.remove(0);
        harness.end(&ended, RunEnd::Done);
        let next = confirmed_starts(&mut harness);
        started.extend(next.iter().map(|start| start.task.step.job.0));
        running.extend(next);
    }
    let counts =
        count_by_workspace(&running.iter().map(|one| one.task.step.job.0).collect::<Vec<_>>());
    assert!((10..=13).contains(&counts[&1]), "a has three quarters of the weight: {counts:?}");
}

// Guards against a wide step that takes all free runners before others have their turn.
#[test]
fn a_wide_step_leaves_turns_to_others_within_one_pass() {
    let mut harness = with_workspaces(4, &[("a", 10.0, UNLIMITED), ("b", 10.0, UNLIMITED)]);
    submit(&mut harness, job(1, vec![step(4, 4_000)]));
    let running = confirmed_starts(&mut harness);
    submit(&mut harness, job_of(1_000, "a", vec![step(16, 1_000)]));
    submit(&mut harness, job_of(2_000, "b", vec![step(16, 1_000)]));
    for start in &running {
        harness.end_at(&start.target.0, 1, start.task, start.run, RunEnd::Done);
    }
    harness.advance(100);
    let started: Vec<u64> = harness.starts().iter().map(|one| one.task.step.job.0).collect();
    let counts = count_by_workspace(&started);
    assert_eq!(started.len(), 16);
    assert!(counts[&1].abs_diff(counts[&2]) <= 4, "{counts:?}");
}

// Guards against a burst that delays the work of workspaces within their share, and against work
// that is dropped.
#[test]
fn a_workspace_at_seven_times_its_rate_goes_behind_the_others_and_loses_nothing() {
    let mut harness = with_workspaces(1, &[("a", 2.0, UNLIMITED), ("b", 14.0, UNLIMITED)]);
    submit(&mut harness, job(1, vec![step(1, 4_000)]));
    let mut running = confirmed_starts(&mut harness);
    for number in 0..14 {
        submit(&mut harness, job_of(1_000 + number, "a", vec![step(1, 4_000)]));
    }
    for number in 0..5 {
        submit(&mut harness, job_of(2_000 + number, "b", vec![step(1, 4_000)]));
    }
    let mut order = Vec::new();
    while let Some(ended) = running.pop() {
        harness.end(&ended, RunEnd::Done);
        running = confirmed_starts(&mut harness);
        order.extend(running.iter().map(|start| start.task.step.job.0));
    }
    assert_eq!(order.len(), 19, "all jobs run: {order:?}");
    let last_of_b = order.iter().rposition(|job| *job >= 2_000).unwrap();
    assert_eq!(last_of_b, 6, "two jobs of a are within its weight: {order:?}");
    for number in 0..14 {
        assert_eq!(harness.state(1_000 + number), Some(JobState::Completed));
    }
}

// Guards against runners that stay idle because the only work exceeds its share.
#[test]
fn idle_shares_are_lent() {
    let mut harness = with_workspaces(4, &[("a", 0.1, UNLIMITED), ("b", 100.0, UNLIMITED)]);
    for number in 0..16 {
        submit(&mut harness, job_of(1_000 + number, "a", vec![step(1, 1_000)]));
    }
    assert_eq!(harness.starts().len(), 16);
}

// Guards against work in excess of its weight that others hold back for ever.
#[test]
fn work_in_excess_of_its_weight_starts_after_a_bounded_wait() {
    let mut harness = with_workspaces(1, &[("a", 0.1, UNLIMITED), ("b", 100.0, UNLIMITED)]);
    submit(&mut harness, job_of(1_000, "a", vec![step(1, 4_000)]));
    let mut running = confirmed_starts(&mut harness);
    submit(&mut harness, job_of(1_001, "a", vec![step(1, 4_000)]));
    let begun_ms = harness.now_ms;
    let mut started_ms = None;
    for number in 0..300 {
        submit(&mut harness, job_of(2_000 + number, "b", vec![step(1, 4_000)]));
        let ended = running.pop().unwrap();
        harness.end(&ended, RunEnd::Done);
        running = confirmed_starts(&mut harness);
        if running.iter().any(|start| start.task == task(1_001, 0, 0)) {
            started_ms = Some(harness.now_ms - begun_ms);
            break;
        }
    }
    let started_ms = started_ms.unwrap();
    let delay_ms = harness.config.share_delay_ms;
    assert!((delay_ms..2 * delay_ms).contains(&started_ms), "{started_ms} ms");
}

// Guards against long-running tasks of a workspace that hold back its short work for ever.
#[test]
fn a_workspace_above_its_share_gets_a_turn_after_a_bounded_wait() {
    let mut harness = with_workspaces(2, &[("a", 10.0, UNLIMITED), ("b", 10.0, UNLIMITED)]);
    let lasting = Step { is_long_running: true, ..step(1, 4_000) };
    submit(&mut harness, job_of(1_000, "a", vec![lasting]));
    submit(&mut harness, job_of(2_000, "b", vec![step(1, 4_000)]));
    let mut running = confirmed_starts(&mut harness);
    running.retain(|start| start.task.step.job.0 == 2_000);
    submit(&mut harness, job_of(1_001, "a", vec![step(1, 4_000)]));
    let begun_ms = harness.now_ms;
    let mut is_started = false;
    for number in 1..1_000 {
        submit(&mut harness, job_of(2_000 + number, "b", vec![step(1, 4_000)]));
        let ended = running.pop().unwrap();
        harness.end(&ended, RunEnd::Done);
        running = confirmed_starts(&mut harness);
        is_started |= running.iter().any(|start| start.task == task(1_001, 0, 0));
        if is_started {
            break;
        }
    }
    assert!(is_started);
    assert!(harness.now_ms - begun_ms < 9 * harness.config.share_delay_ms);
}

// Guards against a successor that forgets which jobs exceed the weight of their workspace.
#[test]
fn a_new_leader_charges_jobs_in_the_order_of_their_acceptance() {
    let mut harness = with_workspaces(1, &[("a", 1.0, UNLIMITED), ("b", 100.0, UNLIMITED)]);
    let accepted = |at_unix_ms, job: Submission| Submission { accepted_unix_ms: at_unix_ms, ..job };
    let mut jobs = vec![accepted(9_000, job_of(2_000, "b", vec![step(1, 4_000)]))];
    for number in 0..4 {
        // The job with the highest number was accepted first.
        let at_unix_ms = 8_000 - 10 * number;
        jobs.push(accepted(at_unix_ms, job_of(1_000 + number, "a", vec![step(1, 4_000)])));
    }
    harness.take_over(2, &jobs);
    let mut order = Vec::new();
    for _ in 0..5 {
        harness.advance_until_start(3_000);
        let running = confirmed_starts(&mut harness);
        assert_eq!(running.len(), 1);
        order.push(running[0].task.step.job.0);
        harness.end(&running[0], RunEnd::Done);
    }
    assert!(order.iter().position(|job| *job == 1_003) < Some(2), "{order:?}");
    assert!(order.iter().position(|job| *job == 2_000) < Some(2), "{order:?}");
}

// Guards against a deployment without workspaces whose order changes because records name one.
#[test]
fn without_workspaces_in_the_directory_due_times_alone_decide() {
    let mut harness = Harness::new(1);
    harness.add_runner("r0", 4_000);
    submit(&mut harness, job(1, vec![step(1, 4_000)]));
    let mut running = confirmed_starts(&mut harness);
    for number in 0..6 {
        let workspace = if number % 3 == 2 { "b" } else { "a" };
        submit(&mut harness, job_of(10 + number, workspace, vec![step(1, 4_000)]));
        harness.advance(20);
    }
    let mut order = Vec::new();
    while let Some(ended) = running.pop() {
        harness.end(&ended, RunEnd::Done);
        running = confirmed_starts(&mut harness);
        order.extend(running.iter().map(|start| start.task.step.job.0));
    }
    assert_eq!(order, [10, 11, 12, 13, 14, 15]);
}

// Guards against metrics that grow with the number of workspaces.
#[test]
fn use_is_reported_for_a_bounded_number_of_workspaces() {
    let names: Vec<String> = (0..100).map(|number| format!("w{number}")).collect();
    let declared: Vec<(&str, f64, Resources)> =
        names.iter().map(|name| (name.as_str(), 1.0, cpu_limit(8_000))).collect();
    let mut harness = with_workspaces(16, &declared);
    for number in 0..40 {
        submit(&mut harness, job_of(number, &names[number as usize], vec![step(1, 100 + number)]));
    }
    let usage = harness.scheduler.workspace_usage();
    assert_eq!(usage.len(), 21);
    assert_eq!(usage[0].name.as_deref(), Some("w39"));
    assert_eq!(usage[0].limit, Some(cpu_limit(8_000)));
    assert_eq!(usage[20].name, None);
    let used: u64 = usage.iter().map(|one| one.used.cpu_millis).sum();
    assert_eq!(used, (100..140).sum::<u64>());
}

/// Pseudo-random numbers of a seed.
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 += 1;
        collections::stable_hash(self.0.to_string()) % limit
    }

    fn percent(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

const RUNNERS: u64 = 8;
const NAMES: [&str; 3] = ["a", "b", "c"];

/// A scheduler under faults, and what really runs.
struct Trial {
    harness: Harness,
    random: Random,
    jobs: BTreeMap<u64, Submission>,
    limits: [u64; 3],
    /// Runs that may be in progress, with the order that started each.
    ordered: BTreeMap<(TaskId, u64), StartOrder>,
    starts: usize,
    seed: u64,
    unanswered: Vec<StartOrder>,
    /// Starts of gangs: members by run.
    gangs: BTreeMap<(u64, u64), BTreeSet<u32>>,
}

impl Trial {
    fn new(seed: u64) -> Self {
        let mut harness = Harness::new(1);
        for number in 0..RUNNERS {
            harness.add_runner(&format!("r{number}"), 4_000);
        }
        let mut trial = Self {
            harness,
            random: Random(seed * 1_000_000),
            jobs: BTreeMap::new(),
            limits: [8_000; 3],
            ordered: BTreeMap::new(),
            starts: 0,
            seed,
            unanswered: Vec::new(),
            gangs: BTreeMap::new(),
        };
        trial.declare();
        trial
    }

    fn declare(&mut self) {
        let declared: Vec<(&str, f64, Resources)> = NAMES
            .iter()
            .zip(self.limits)
            .map(|(name, limit)| (*name, 5.0, cpu_limit(limit)))
            .collect();
        self.harness.declare_workspaces(&declared);
    }

    fn need(&self, task: TaskId) -> u64 {
        self.jobs[&task.step.job.0].steps[task.step.step as usize].need.cpu_millis
    }

    /// Processor time of the runs that are in progress or may be, by workspace.
    fn used(&self) -> [u64; 3] {
        let mut runs: BTreeSet<(TaskId, u64)> = self.ordered.keys().copied().collect();
        runs.extend(self.harness.runs().iter().map(|(_, task, run)| (*task, *run)));
        let mut used = [0; 3];
        for (task, _) in runs {
            let workspace = self.jobs[&task.step.job.0].workspace.as_deref();
            let at = NAMES.iter().position(|name| Some(*name) == workspace).unwrap();
            used[at] += self.need(task);
        }
        used
    }

    /// Checks the new start orders against the limits that are in force.
    fn check_starts(&mut self) {
        let starts = self.harness.starts();
        let seed = self.seed;
        let before = self.used();
        for start in &starts {
            if self.ordered.insert((start.task, start.run), start.clone()).is_none() {
                self.starts += 1;
                let step = &self.jobs[&start.task.step.job.0].steps[0];
                if step.is_gang {
                    let members = self.gangs.entry((start.task.step.job.0, start.run)).or_default();
                    members.insert(start.task.index);
                }
            }
        }
        let after = self.used();
        for (at, name) in NAMES.iter().enumerate() {
            assert!(
                after[at] == before[at] || after[at] <= self.limits[at],
                "seed {seed}, at {}: workspace {name} uses {} of {} (before: {})",
                self.harness.now_ms,
                after[at],
                self.limits[at],
                before[at],
            );
        }
        self.unanswered.extend(starts);
    }

    /// Answers all new orders, some of them late or not at all.
    fn answer_orders(&mut self) {
        self.check_starts();
        for start in std::mem::take(&mut self.unanswered) {
            let key = (start.task, start.run);
            if self.harness.is_silent(&start.target.0) {
                self.harness.answer_start(&start, Err(OrderError::Unanswered));
                continue;
            }
            let is_running = self.harness.runs().iter().any(|run| (run.1, run.2) == key);
            match self.random.below(20) {
                _ if is_running => self.harness.run_unanswered(&start),
                0..=1 => self.harness.run_unanswered(&start),
                2 => self.harness.answer_start(&start, Err(OrderError::Unanswered)),
                3 => {
                    self.ordered.remove(&key);
                    self.harness.answer_start(&start, Err(OrderError::NoRoom));
                }
                _ => self.harness.answer_start(&start, Ok(())),
            }
        }
        for stop in self.harness.stops() {
            let key = (stop.task, stop.run);
            let run = self.harness.runs().into_iter().find(|run| (run.1, run.2) == key);
            let is_silent = run.as_ref().is_some_and(|run| self.harness.is_silent(&run.0));
            if is_silent || self.random.percent(10) {
                self.harness.answer_stop(&stop, Err(OrderError::Unanswered));
                continue;
            }
            self.ordered.remove(&key);
            self.harness.answer_stop(&stop, Ok(()));
            if let Some((id, task, run)) = run {
                let number = self.harness.next_end(&id);
                self.harness.end_at(&id, number, task, run, RunEnd::Stopped);
            }
        }
    }

    fn submit(&mut self, number: u64) {
        let workspace = NAMES[usize::try_from(self.random.below(3)).unwrap()];
        let count = u32::try_from(1 + self.random.below(5)).unwrap();
        let step = Step {
            is_gang: self.random.percent(20),
            is_best_effort: self.random.percent(10),
            may_copy: self.random.percent(15),
            ..step(count, 500 + 500 * self.random.below(5))
        };
        let job = Submission {
            accepted_unix_ms: self.harness.now_ms,
            ..job_of(number, workspace, vec![step])
        };
        self.jobs.insert(number, job.clone());
        submit(&mut self.harness, job);
    }

    fn disturb(&mut self) {
        let id = format!("r{}", self.random.below(RUNNERS));
        match self.random.below(8) {
            0 => self.harness.cut_off_runner(&id),
            1..=3 => self.harness.make_responsive(&id),
            4 => {
                let at = usize::try_from(self.random.below(3)).unwrap();
                let limit = 1_000 * (1 + self.random.below(12));
                self.check_starts();
                self.limits[at] = limit;
                self.declare();
            }
            _ => {
                let runs = self.harness.runs();
                let answering: Vec<_> =
                    runs.iter().filter(|run| !self.harness.is_silent(&run.0)).collect();
                let count = answering.len() as u64;
                if count == 0 {
                    return;
                }
                let at = usize::try_from(self.random.below(count)).unwrap();
                let (id, task, run) = answering[at].clone();
                let end = if self.random.percent(90) { RunEnd::Done } else { RunEnd::Stopped };
                self.ordered.remove(&(task, run));
                let number = self.harness.next_end(&id);
                self.harness.end_at(&id, number, task, run, end);
            }
        }
    }

    /// Forgets the orders of runs that have certainly lapsed.
    fn lapse(&mut self) {
        let before: BTreeSet<(TaskId, u64)> =
            self.harness.runs().into_iter().map(|run| (run.1, run.2)).collect();
        self.harness.lapse_runs();
        let after: BTreeSet<(TaskId, u64)> =
            self.harness.runs().into_iter().map(|run| (run.1, run.2)).collect();
        let (harness, gone) = (&self.harness, before.difference(&after).copied());
        let gone: BTreeSet<(TaskId, u64)> = gone.collect();
        // An order without an answer that did not take effect can do so until its lease has ended.
        self.ordered.retain(|key, start| {
            let is_expired = harness.now_ms >= start.until_ms;
            !gone.contains(key) && (after.contains(key) || !is_expired)
        });
    }

    fn take_over(&mut self, token: u64) {
        for number in 0..RUNNERS {
            let id = format!("r{number}");
            if self.random.percent(50) {
                self.harness.make_silent(&id);
            }
        }
        // Orders that are still on their way take effect now or never: a runner that has answered the
        // new leader refuses them.
        let running: BTreeSet<(TaskId, u64)> =
            self.harness.runs().into_iter().map(|run| (run.1, run.2)).collect();
        let pending: Vec<(TaskId, u64)> =
            self.ordered.keys().copied().filter(|key| !running.contains(key)).collect();
        for key in pending {
            let Some(start) = self.ordered.remove(&key) else { continue };
            if self.harness.now_ms < start.until_ms && self.random.percent(50) {
                self.harness.begin_run(&start);
                self.ordered.insert(key, start);
            }
        }
        // Jobs that have ended have records as well.
        let jobs: Vec<Submission> = self.jobs.values().cloned().collect();
        self.harness.take_over(token, &jobs);
    }
}

fn play(seed: u64) -> Trial {
    const ROUNDS: u64 = 400;
    const TAKEOVER_ROUNDS: u64 = 130;
    let mut trial = Trial::new(seed);
    for round in 1..=ROUNDS {
        if trial.random.percent(25) && trial.jobs.len() < 150 {
            trial.submit(round);
            trial.answer_orders();
        }
        if trial.random.percent(60) {
            trial.disturb();
        }
        trial.answer_orders();
        trial.lapse();
        if round % TAKEOVER_ROUNDS == 0 {
            trial.take_over(1 + round);
        }
        trial.harness.advance(50);
        trial.answer_orders();
        trial.harness.actions.retain(|action| matches!(action, Action::RenewLease(_)));
    }
    trial
}

// Guards against starts above a limit under lost orders, silent runners, changes of limits and changes
// of the leader with half of the runners unread.
#[test]
fn no_start_ever_brings_a_workspace_above_its_limit() {
    let seeds: u64 =
        std::env::var("SHARES_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(30);
    let mut starts = 0;
    for seed in 0..seeds {
        let trial = play(seed);
        starts += trial.starts;
        for ((job, run), members) in &trial.gangs {
            let declared = trial.jobs[job].steps[0].count as usize;
            assert_eq!(members.len(), declared, "seed {seed}: run {run} of gang {job}");
        }
    }
    println!("{starts} starts in {seeds} seeds");
    assert!(starts as u64 > 30 * seeds, "{starts} starts");
}

// Guards against work that waits although there is room for it twice over, its workspace uses less
// than half of its limit and less than half of the capacity is in use.
#[test]
fn no_task_waits_for_long_while_there_is_ample_room() {
    let limit = cpu_limit(8_000);
    let mut harness = with_workspaces(4, &[("a", 0.1, limit), ("b", 50.0, limit)]);
    for number in 0..3 {
        submit(&mut harness, job_of(1_000 + number, "a", vec![step(1, 1_000)]));
        submit(&mut harness, job_of(2_000 + number, "b", vec![step(1, 1_000)]));
        assert_eq!(confirmed_starts(&mut harness).len(), 2);
        harness.advance(100);
    }
}
