//! Tests of the queue scheduler with tasks that crash the runners that start them.

mod queue_support;

use std::collections::BTreeMap;

use hemlockrock::http::rpc;
use hemlockrock::place::spec::Resources;
use hemlockrock::queue::model::{JobId, JobState, OrderError, RunEnd, RunnerId, Step, TaskId};
use hemlockrock::queue::record::{self, CrashRecord, LostRunRecord, Progress};
use hemlockrock::queue::scheduler::{Action, Event, StartOrder};
use queue_support::{job, step, task, Harness};
use serde::{Deserialize, Serialize};

/// Time after which the lease of a lost runner has certainly lapsed, in milliseconds.
const LAPSE_MS: u64 = 6_000;

/// Time after which another runner is listed at the address of a crashed one, in milliseconds.
const BACK_MS: u64 = 3_500;

/// Time after which a suspect has survived its probation, in milliseconds.
const PROBATION_MS: u64 = 2_500;

fn harness(runners: usize) -> Harness {
    harness_of_term(1, runners)
}

fn harness_of_term(term: u64, runners: usize) -> Harness {
    let mut harness = Harness::new(term);
    for number in 0..runners {
        harness.add_runner(&format!("r{number}"), 8_000);
    }
    harness.advance(200);
    harness.read_runners();
    harness
}

/// Makes the runner vanish for good; a renewal is in flight there.
fn lose(harness: &mut Harness, id: &str) {
    lose_all(harness, &[id]);
}

/// Makes the runners vanish at the same moment.
fn lose_all(harness: &mut Harness, ids: &[&str]) {
    for id in ids {
        harness.make_silent(id);
    }
    harness.advance(harness.config.hold_gap_ms + 10);
    for id in ids {
        harness.cut_off_runner(id);
        harness.handle(Event::RunnerUnlisted(RunnerId::from(*id)));
    }
}

/// Crashes the runner of a start order that it has not answered, and waits until its runs have
/// certainly ended.
fn crash(harness: &mut Harness, start: &StartOrder) {
    harness.answer_start(start, Err(OrderError::Unanswered));
    lose(harness, &start.target.0);
    harness.advance(BACK_MS);
    harness.replace_runner(&start.target.0, &start.target.1);
    harness.advance_until_start(LAPSE_MS - BACK_MS);
}

/// Answers the starts that are due; those of `deadly` crash their runner. Returns how often it was
/// started.
fn play(harness: &mut Harness, deadly: TaskId, rounds: usize) -> usize {
    let mut count = 0;
    for _ in 0..rounds {
        for start in harness.starts() {
            if start.task == deadly {
                count += 1;
                crash(harness, &start);
            } else {
                harness.answer_start(&start, Ok(()));
            }
        }
        harness.advance_until_start(PROBATION_MS);
    }
    count
}

fn last_progress(harness: &Harness, id: u64) -> Option<Progress> {
    let records = harness.actions.iter().filter_map(|action| match action {
        Action::SaveProgress { records, .. } => Some(records),
        _ => None,
    });
    let written = records.flatten().filter(|write| write.job == JobId(id));
    written.last().map(|write| write.progress.clone())
}

#[test]
fn a_task_that_crashes_its_runners_is_not_started_after_the_second_crash() {
    let mut harness = harness(6);
    harness.handle(Event::JobSubmitted(job(1, vec![step(1, 1_000)])));
    assert_eq!(play(&mut harness, task(1, 0, 0), 8), 2);
    assert_eq!(harness.state(1), Some(JobState::Failed));
    let counts = harness.scheduler.take_crash_counts();
    assert_eq!((counts.runner_crashes, counts.given_up_jobs), (2, 1));
}

#[test]
fn a_task_that_crashes_runners_that_keep_their_name_is_given_up() {
    let mut harness = harness(4);
    harness.handle(Event::JobSubmitted(job(1, vec![step(1, 1_000)])));
    let mut started = 0;
    for _ in 0..8 {
        for start in harness.starts() {
            started += 1;
            harness.answer_start(&start, Ok(()));
            harness.restart_runner(&start.target.0);
            harness.list_runner(&start.target.0);
        }
        harness.advance(LAPSE_MS);
    }
    assert_eq!(started, 2);
    assert_eq!(harness.state(1), Some(JobState::Failed));
}

// Guards against a job that is given up although it never ran: its orders went to runners that had
// crashed just before.
#[test]
fn a_job_is_not_given_up_for_orders_that_may_not_have_arrived() {
    const ORDER_TIMEOUT_MS: u64 = 600;
    let mut harness = harness(4);
    harness.handle(Event::JobSubmitted(job(1, vec![step(1, 1_000)])));
    let mut orders = 0;
    for _ in 0..8 {
        for start in harness.starts() {
            orders += 1;
            harness.make_silent(&start.target.0);
            harness.advance(ORDER_TIMEOUT_MS);
            harness.answer_start(&start, Err(OrderError::Unanswered));
            harness.restart_runner(&start.target.0);
            harness.list_runner(&start.target.0);
            harness.advance(100);
            for stop in harness.stops() {
                harness.answer_stop(&stop, Ok(()));
            }
        }
        harness.advance_until_start(6 * LAPSE_MS);
    }
    assert!(orders > 4, "{orders} orders");
    assert_eq!(harness.state(1), Some(JobState::Queued));
}

// Guards against tasks that wait for minutes: each one that was lost twice with a silent runner had to be
// tried in isolation.
#[test]
fn tasks_lost_twice_on_silent_runners_are_no_suspects() {
    const ORDER_TIMEOUT_MS: u64 = 600;
    let mut harness = harness(6);
    harness.handle(Event::JobSubmitted(job(1, vec![step(1, 1_000)])));
    for _ in 0..2 {
        let start = harness.starts().remove(0);
        harness.make_silent(&start.target.0);
        harness.advance(ORDER_TIMEOUT_MS);
        harness.answer_start(&start, Err(OrderError::Unanswered));
        lose(&mut harness, &start.target.0);
        harness.replace_runner(&start.target.0, &start.target.1);
        harness.advance_until_start(2 * LAPSE_MS);
    }
    assert_eq!(harness.starts().len(), 1);
    assert_eq!(harness.scheduler.take_crash_counts().suspected_tasks, 0);
}

#[test]
fn a_takeover_does_not_forget_the_crashes_under_a_task() {
    let mut first = harness(4);
    first.handle(Event::JobSubmitted(job(1, vec![step(2, 1_000)])));
    assert_eq!(play(&mut first, task(1, 0, 1), 1), 1);
    let progress = last_progress(&first, 1).unwrap();
    assert!(progress.crashed.iter().any(|run| run.index == 1));
    let mut second = harness_of_term(2, 4);
    let now_ms = second.now_ms;
    second.scheduler.handle_event(Event::JobLoaded(job(1, vec![step(2, 1_000)])), now_ms);
    second.scheduler.handle_event(Event::ProgressLoaded(JobId(1), progress), now_ms);
    second.advance_until_start(100);
    assert_eq!(play(&mut second, task(1, 0, 1), 8), 1);
    assert_eq!(second.state(1), Some(JobState::Failed));
}

#[test]
fn a_suspect_is_not_started_before_its_crash_is_stored() {
    let mut harness = harness(4);
    harness.handle(Event::JobSubmitted(job(1, vec![step(1, 1_000)])));
    let first = harness.starts().remove(0);
    harness.delay_saves();
    crash(&mut harness, &first);
    harness.advance(PROBATION_MS);
    assert!(harness.starts().is_empty(), "a successor would not know of the crash");
    harness.complete_saves();
    harness.advance(PROBATION_MS);
    assert_eq!(harness.starts().len(), 1);
}

#[test]
fn a_neighbour_of_a_task_that_crashes_runners_completes() {
    let mut harness = Harness::new(1);
    harness.add_runner("r0", 8_000);
    for number in 1..=5 {
        harness.add_runner(&format!("r{number}"), 0);
    }
    harness.read_runners();
    for id in 1..=4 {
        harness.handle(Event::JobSubmitted(job(id, vec![step(1, 1_000)])));
    }
    let starts = harness.starts();
    assert_eq!(starts.len(), 4);
    for start in &starts[1..] {
        harness.answer_start(start, Ok(()));
    }
    for number in 1..=5 {
        harness.resize_runner(&format!("r{number}"), Resources::new(8_000, 1 << 30, 0));
    }
    crash(&mut harness, &starts[0]);
    let mut done = BTreeMap::new();
    for _ in 0..8 {
        let starts = harness.starts();
        let (deadly, others): (Vec<StartOrder>, Vec<StartOrder>) =
            starts.into_iter().partition(|start| start.task == task(1, 0, 0));
        for start in &others {
            harness.answer_start(start, Ok(()));
        }
        for start in &deadly {
            crash(&mut harness, start);
        }
        for start in &others {
            harness.advance(PROBATION_MS);
            harness.end(start, RunEnd::Done);
            *done.entry(start.task).or_insert(0) += 1;
        }
        harness.advance_until_start(PROBATION_MS);
    }
    assert_eq!(done.values().copied().collect::<Vec<u32>>(), [1, 1, 1]);
    assert_eq!(harness.state(1), Some(JobState::Failed));
    assert!((2..=4).all(|id| harness.state(id) == Some(JobState::Completed)));
}

#[test]
fn a_crash_before_a_start_that_may_not_have_begun_is_not_counted_against_its_job_alone() {
    let mut harness = Harness::new(1);
    harness.add_runner("r0", 8_000);
    harness.advance(200);
    for id in 1..=2 {
        harness.handle(Event::JobSubmitted(job(id, vec![step(1, 1_000)])));
    }
    let starts = harness.starts();
    assert_eq!(starts.len(), 2);
    for number in 1..=6 {
        harness.add_runner(&format!("r{number}"), 8_000);
    }
    // The start of job 1 crashes the runner before it begins that of job 2.
    harness.answer_start(&starts[1], Err(OrderError::Unanswered));
    crash(&mut harness, &starts[0]);
    let again = harness.starts().into_iter().find(|start| start.task == task(2, 0, 0)).unwrap();
    crash(&mut harness, &again);
    assert_eq!(harness.state(2).map(JobState::is_final), Some(false), "one crash is certain");
}

/// A cell whose only runner has just confirmed the start of the only suspect, which has crashed it
/// before; with that start.
fn with_isolated_suspect() -> (Harness, StartOrder) {
    let mut harness = harness(1);
    harness.handle(Event::JobSubmitted(job(1, vec![step(1, 1_000)])));
    let first = harness.starts().remove(0);
    crash(&mut harness, &first);
    let second = harness.starts().remove(0);
    harness.answer_start(&second, Ok(()));
    (harness, second)
}

#[test]
fn nothing_is_placed_beside_a_suspect_until_it_has_survived() {
    let (mut harness, _) = with_isolated_suspect();
    harness.handle(Event::JobSubmitted(job(2, vec![step(1, 1_000)])));
    harness.advance(100);
    assert!(harness.starts().is_empty(), "the suspect is on probation on the only runner");
    harness.advance(PROBATION_MS);
    assert_eq!(harness.starts().len(), 1);
    assert_eq!(harness.scheduler.take_crash_counts().cleared_tasks, 1);
}

#[test]
fn a_suspect_has_not_survived_before_its_runner_answers_after_the_probation() {
    const SHORTEST_PROBATION_MS: u64 = 700;
    for silent_after_ms in (0..SHORTEST_PROBATION_MS).step_by(20) {
        let (mut harness, second) = with_isolated_suspect();
        harness.advance(silent_after_ms);
        harness.make_silent(&second.target.0);
        harness.advance(PROBATION_MS);
        let cleared = harness.scheduler.take_crash_counts().cleared_tasks;
        assert_eq!(cleared, 0, "silent after {silent_after_ms} ms");
    }
}

/// Number of runners, and of suspects, in the tests of the share of the runners for suspects.
const FLEET: usize = 6;

/// The quarter of the runners that is used for suspects, or left to other tasks, rounded up.
const QUARTER: usize = 2;

/// Lets one task each of several jobs crash its runner. All runners are back, and only the suspects
/// have not ended, as well as `other` if it is given.
fn fleet_with_suspects(other: Option<Step>) -> Harness {
    const WHOLE_RUNNER: u64 = 8_000;
    let mut harness = harness(FLEET);
    for id in 1..=FLEET as u64 {
        harness.handle(Event::JobSubmitted(job(id, vec![step(1, WHOLE_RUNNER)])));
    }
    let starts = harness.starts();
    assert_eq!(starts.len(), FLEET);
    for start in &starts {
        harness.answer_start(start, Err(OrderError::Unanswered));
    }
    let ids: Vec<&str> = starts.iter().map(|start| &*start.target.0).collect();
    lose_all(&mut harness, &ids);
    if let Some(step) = other {
        harness.handle(Event::JobSubmitted(job(9, vec![step])));
    }
    harness.advance(BACK_MS);
    for start in &starts {
        harness.replace_runner(&start.target.0, &start.target.1);
    }
    harness.advance(LAPSE_MS - BACK_MS);
    harness
}

#[test]
fn suspects_do_not_wait_for_each_other_beside_idle_runners() {
    let mut harness = fleet_with_suspects(None);
    let starts = harness.starts();
    let mut runners: Vec<_> = starts.iter().map(|start| start.target.0.clone()).collect();
    runners.sort();
    runners.dedup();
    assert_eq!(runners.len(), FLEET - QUARTER, "each on a runner of its own");
}

#[test]
fn suspects_leave_a_share_of_the_runners_to_tasks_that_come_later() {
    let mut harness = fleet_with_suspects(None);
    for id in 10..20 {
        harness.handle(Event::JobSubmitted(job(id, vec![step(1, 8_000)])));
    }
    let starts = harness.starts();
    let later = starts.iter().filter(|start| start.task.step.job.0 >= 10).count();
    assert_eq!(later, QUARTER);
}

#[test]
fn suspects_that_wait_start_on_idle_runners_while_another_suspect_has_crashed_its_runner() {
    let mut harness = fleet_with_suspects(None);
    let starts = harness.starts();
    harness.answer_start(&starts[0], Err(OrderError::Unanswered));
    lose(&mut harness, &starts[0].target.0);
    harness.answer_start(&starts[1], Ok(()));
    harness.end(&starts[1], RunEnd::Done);
    harness.advance(100);
    assert_eq!(harness.starts().len(), 1);
}

#[test]
fn suspects_use_only_their_share_of_the_runners_while_another_task_waits() {
    let too_large = step(1, 9_000);
    let mut harness = fleet_with_suspects(Some(too_large));
    assert_eq!(harness.starts().len(), QUARTER);
}

#[test]
fn runners_lost_together_without_a_common_job_delay_and_condemn_no_task() {
    let mut harness = harness(0);
    let jobs = 8;
    for id in 1..=jobs {
        harness.handle(Event::JobSubmitted(job(id, vec![step(1, 5_000)])));
    }
    for round in 0..5 {
        for number in 0..jobs {
            harness.add_runner(&format!("r{round}-{number}"), 8_000);
        }
        harness.advance(200);
        let starts = harness.starts();
        assert_eq!(starts.len() as u64, jobs, "round {round}");
        harness.answer_starts(&starts);
        harness.advance(2_000);
        for start in &starts {
            harness.cut_off_runner(&start.target.0);
        }
        for start in &starts {
            harness.handle(Event::RunnerUnlisted(start.target.0.clone()));
        }
        harness.advance(LAPSE_MS);
    }
    assert!((1..=jobs).all(|id| harness.state(id) == Some(JobState::Active)));
    assert_eq!(harness.scheduler.take_crash_counts().suspected_tasks, 0);
}

#[test]
fn a_crash_under_a_member_of_a_gang_counts_for_this_member() {
    let mut harness = harness(6);
    let gang = Step { is_gang: true, ..step(2, 8_000) };
    harness.handle(Event::JobSubmitted(job(1, vec![gang])));
    let mut crashes = 0;
    for _ in 0..6 {
        let starts = harness.starts();
        let (deadly, other): (Vec<StartOrder>, Vec<StartOrder>) =
            starts.into_iter().partition(|start| start.task.index == 0);
        for start in &other {
            harness.answer_start(start, Ok(()));
        }
        for start in &deadly {
            crashes += 1;
            crash(&mut harness, start);
        }
        for start in &other {
            harness.end(start, RunEnd::Broken);
        }
        if crashes == 1 && !deadly.is_empty() {
            let crashed = last_progress(&harness, 1).unwrap().crashed;
            assert_eq!(crashed.iter().map(|run| run.index).collect::<Vec<u32>>(), [0]);
        }
        harness.advance_until_start(PROBATION_MS);
    }
    assert_eq!(crashes, 2);
    assert_eq!(harness.state(1), Some(JobState::Failed));
}

#[test]
fn a_long_running_task_that_crashes_its_runners_is_given_up() {
    let mut harness = harness(6);
    let lasting = Step { is_long_running: true, ..step(2, 1_000) };
    harness.handle(Event::JobSubmitted(job(1, vec![lasting])));
    assert_eq!(play(&mut harness, task(1, 0, 1), 8), 2);
    assert_eq!(harness.state(1), Some(JobState::Failed));
}

#[test]
fn a_task_that_crashes_late_is_started_at_most_twice_after_the_third_crash() {
    let mut harness = harness(0);
    harness.handle(Event::JobSubmitted(job(1, vec![step(1, 1_000)])));
    let mut started = 0;
    for round in 0..10 {
        harness.add_runner(&format!("r{round}"), 8_000);
        harness.advance(PROBATION_MS);
        for start in harness.starts() {
            started += 1;
            harness.answer_start(&start, Ok(()));
            harness.advance(20_000);
            lose(&mut harness, &start.target.0);
            harness.advance(LAPSE_MS);
        }
    }
    assert!((2..=5).contains(&started), "{started}");
    assert_eq!(harness.state(1), Some(JobState::Failed));
}

#[test]
fn no_copy_is_started_of_a_task_that_its_lost_runner_was_starting() {
    let mut harness = harness(3);
    let copyable = Step { may_copy: true, ..step(1, 1_000) };
    harness.handle(Event::JobSubmitted(job(1, vec![copyable])));
    let first = harness.starts().remove(0);
    harness.answer_start(&first, Err(OrderError::Unanswered));
    lose(&mut harness, &first.target.0);
    assert!(harness.starts().is_empty(), "the lease has not lapsed");
}

#[test]
fn no_second_copy_is_started_while_two_runners_of_a_task_are_lost() {
    let mut harness = harness(4);
    let copyable = Step { may_copy: true, ..step(1, 1_000) };
    harness.handle(Event::JobSubmitted(job(1, vec![copyable])));
    let first = harness.starts().remove(0);
    harness.answer_start(&first, Ok(()));
    harness.advance(700);
    harness.cut_off_runner(&first.target.0);
    let second = harness.starts().remove(0);
    harness.answer_start(&second, Ok(()));
    harness.advance(500);
    harness.cut_off_runner(&second.target.0);
    harness.advance(1_000);
    assert!(harness.starts().is_empty());
}

#[test]
fn a_runner_that_was_only_cut_off_leaves_no_crash_behind() {
    let mut harness = harness(4);
    harness.handle(Event::JobSubmitted(job(1, vec![step(1, 1_000)])));
    let first = harness.starts().remove(0);
    crash(&mut harness, &first);
    assert_eq!(last_progress(&harness, 1).unwrap().crashed.len(), 1);
    harness.make_responsive(&first.target.0);
    harness.list_runner(&first.target.0);
    harness.advance(PROBATION_MS);
    assert!(last_progress(&harness, 1).unwrap().crashed.is_empty());
}

#[test]
fn a_runner_that_has_drained_is_not_taken_for_crashed() {
    let mut harness = harness(2);
    harness.handle(Event::JobSubmitted(job(1, vec![step(1, 1_000)])));
    let first = harness.starts().remove(0);
    harness.answer_start(&first, Ok(()));
    harness.drain_runner(&first.target.0);
    lose(&mut harness, &first.target.0);
    harness.advance(LAPSE_MS);
    assert_eq!(harness.starts().len(), 1);
    assert_eq!(harness.scheduler.take_crash_counts().runner_crashes, 0);
}

/// The progress record before crashes were part of it.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct FormerProgress {
    state: JobState,
    ended_unix_ms: u64,
    done: Vec<(u32, u32)>,
    failed: Vec<(u32, u32, u64)>,
}

#[test]
fn progress_records_without_crashes_are_still_read_and_those_with_crashes_by_former_hosts() {
    let former = FormerProgress {
        state: JobState::Active,
        ended_unix_ms: 0,
        done: vec![(0, 1)],
        failed: vec![(0, 2, 7)],
    };
    let bytes = record::encode(&former).unwrap();
    let progress: Progress = rpc::decode(&bytes).unwrap();
    assert_eq!((progress.done, progress.crashed), (vec![(0, 1)], Vec::new()));
    let progress = Progress {
        state: JobState::Active,
        ended_unix_ms: 0,
        done: Vec::new(),
        failed: vec![(0, 2, 7)],
        crashed: vec![CrashRecord {
            step: 0,
            index: 3,
            run: 8,
            was_starting: true,
            is_certain: true,
            has_begun: true,
        }],
        lost: vec![LostRunRecord { step: 0, index: 3, run: 9 }],
    };
    let bytes = record::encode(&progress).unwrap();
    assert_eq!(rpc::decode::<Progress>(&bytes).unwrap(), progress);
    assert_eq!(rpc::decode::<FormerProgress>(&bytes).unwrap().failed, [(0, 2, 7)]);
}

#[test]
fn a_task_whose_runners_vanish_for_good_is_started_at_most_twice_after_the_third() {
    let mut harness = harness(12);
    harness.handle(Event::JobSubmitted(job(1, vec![step(1, 1_000)])));
    let mut started = 0;
    for _ in 0..16 {
        for start in harness.starts() {
            started += 1;
            harness.answer_start(&start, Err(OrderError::Unanswered));
            lose(&mut harness, &start.target.0);
            harness.advance_until_start(LAPSE_MS);
        }
        harness.advance_until_start(PROBATION_MS);
    }
    assert!((3..=5).contains(&started), "started {started} times");
    assert_eq!(harness.state(1), Some(JobState::Failed));
}

#[test]
fn a_task_whose_runners_are_cut_off_and_come_back_is_not_given_up() {
    let mut harness = harness(8);
    harness.handle(Event::JobSubmitted(job(1, vec![step(1, 1_000)])));
    for _ in 0..3 {
        let start = harness.starts().remove(0);
        harness.answer_start(&start, Ok(()));
        harness.advance(2_000);
        lose(&mut harness, &start.target.0);
        harness.advance(LAPSE_MS);
    }
    let last = harness.starts().remove(0);
    harness.answer_start(&last, Ok(()));
    harness.end(&last, RunEnd::Done);
    assert_eq!(harness.state(1), Some(JobState::Completed));
}
