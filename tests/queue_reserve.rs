//! Tests of the reserve that less urgent work leaves to urgent work: it decides where a task runs,
//! never whether it does.

mod queue_support;

use hemlockrock::place::spec::Resources;
use hemlockrock::queue::model::{AdvicePolicy, Step, Submission};
use hemlockrock::queue::scheduler::{Event, StartOrder};
use queue_support::{job, step, Harness, AMPLE_QUEUE};

/// Processor and memory of each runner.
const CAPACITY: Resources = Resources::new(16_000, 32_768, 0);

/// Time in which a task starts for which a runner has room, in milliseconds.
const START_MS: u64 = 5_000;

/// A job in a queue whose tasks leave a reserve.
fn less_urgent(id: u64, steps: Vec<Step>) -> Submission {
    Submission { queue: AMPLE_QUEUE.to_owned(), ..job(id, steps) }
}

fn step_with(count: u32, need: Resources) -> Step {
    Step { need, ..step(count, 0) }
}

/// A harness with empty runners r0, r1, and so on.
fn with_runners(count: usize) -> Harness {
    let mut harness = Harness::new(1);
    for number in 0..count {
        let id = format!("r{number}");
        harness.add_runner(&id, CAPACITY.cpu_millis);
        harness.resize_runner(&id, CAPACITY);
    }
    harness
}

/// Submits a job and returns the starts of the next [`START_MS`], which all are answered.
fn starts_of(harness: &mut Harness, submission: Submission) -> Vec<StartOrder> {
    let id = submission.id;
    harness.handle(Event::JobSubmitted(submission));
    let mut all = Vec::new();
    for _ in 0..START_MS / 100 {
        let starts = harness.starts();
        harness.answer_starts(&starts);
        all.extend(starts.into_iter().filter(|start| start.task.step.job == id));
        harness.advance(100);
    }
    all
}

// Guards against tasks that fit on no runner because the reserve counts on an empty one as well.
#[test]
fn a_task_that_needs_nearly_a_whole_runner_starts_on_an_empty_one() {
    let needs = [Resources::new(14_000, 30_000, 0), Resources::new(15_000, 1, 0), CAPACITY];
    for need in needs {
        let mut harness = with_runners(2);
        harness.handle(Event::JobSubmitted(less_urgent(1, vec![step_with(1, need)])));
        assert_eq!(harness.starts().len(), 1, "{need:?} at once");
    }
}

// Guards against the same for a gang, whose members are placed together.
#[test]
fn a_gang_whose_members_need_nearly_whole_runners_starts_on_empty_ones() {
    let mut harness = with_runners(3);
    let gang = Step { is_gang: true, ..step_with(3, Resources::new(14_000, 30_000, 0)) };
    harness.handle(Event::JobSubmitted(less_urgent(1, vec![gang])));
    assert_eq!(harness.starts().len(), 3);
}

// Guards against tasks that get no ticket, since calls for advice name no runner for them.
#[test]
fn advice_is_requested_about_empty_runners_for_tasks_that_need_nearly_a_whole_one() {
    let mut harness = with_runners(4);
    let policy = AdvicePolicy { base_ms: 30.0, per_runner_ms: 1.0, valid_ms: 2_500 };
    harness.require_advice(policy, 100, 4);
    let step = step_with(2, Resources::new(14_000, 30_000, 0));
    assert_eq!(starts_of(&mut harness, less_urgent(1, vec![step])).len(), 2);
}

/// Fills a part of each runner with tasks that last, and returns the harness.
fn with_long_running_tasks(count: usize, need: Resources) -> Harness {
    let mut harness = with_runners(count);
    let tasks = u32::try_from(count).unwrap_or(u32::MAX);
    let lasting = Step { is_long_running: true, max_per_runner: 1, ..step_with(tasks, need) };
    assert_eq!(starts_of(&mut harness, job(100, vec![lasting])).len(), count);
    harness
}

// Guards against tasks that wait for good for the reserve, beside others that will never end.
#[test]
fn tasks_that_fit_only_into_the_reserve_beside_long_running_ones_start() {
    let mut harness = with_long_running_tasks(2, Resources::new(8_000, 1, 0));
    let wide = step_with(4, Resources::new(7_000, 1, 0));
    assert_eq!(starts_of(&mut harness, less_urgent(1, vec![wide])).len(), 2);
}

// Guards against the same for tasks that last themselves.
#[test]
fn long_running_tasks_that_fit_only_into_the_reserve_start() {
    let mut harness = with_long_running_tasks(3, Resources::new(8_000, 1, 0));
    let need = Resources::new(7_000, 1, 0);
    let lasting = Step { is_long_running: true, max_per_runner: 1, ..step_with(3, need) };
    assert_eq!(starts_of(&mut harness, less_urgent(1, vec![lasting])).len(), 3);
}

// Guards against a gang that waits for good for the reserve.
#[test]
fn a_gang_that_fits_only_into_the_reserve_starts() {
    let mut harness = with_long_running_tasks(3, Resources::new(8_000, 1, 0));
    let gang = Step { is_gang: true, ..step_with(3, Resources::new(7_000, 1, 0)) };
    assert_eq!(starts_of(&mut harness, less_urgent(1, vec![gang])).len(), 3);
}

// Guards against a task that waits for as long as short ones keep arriving, although most of the
// service is free.
#[test]
fn a_task_that_fits_only_into_the_reserve_starts_while_the_service_has_plenty_of_room() {
    let mut harness = with_runners(4);
    let need = Resources::new(5_500, 1, 0);
    let short = Step { max_per_runner: 1, ..step_with(4, need) };
    assert_eq!(starts_of(&mut harness, job(2, vec![short])).len(), 4);
    let large = step_with(1, Resources::new(10_000, 1, 0));
    assert_eq!(starts_of(&mut harness, less_urgent(1, vec![large])).len(), 1);
}

// Guards against less urgent work that takes the reserve of a busy service.
#[test]
fn less_urgent_tasks_leave_the_reserve_of_a_busy_service() {
    let mut harness = with_runners(2);
    let wide = step_with(40, Resources::new(1_000, 1, 0));
    assert_eq!(starts_of(&mut harness, less_urgent(1, vec![wide])).len(), 28);
    harness.handle(Event::JobSubmitted(job(2, vec![step_with(2, Resources::new(1_600, 1, 0))])));
    assert_eq!(harness.starts().len(), 2, "urgent tasks use the reserve");
}
