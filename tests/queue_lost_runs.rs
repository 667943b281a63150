//! Tests of the queue scheduler with runs whose end is read only after their task has started again.

mod queue_support;

use hemlockrock::queue::model::{JobId, JobState, RunEnd, RunnerId};
use hemlockrock::queue::record::Progress;
use hemlockrock::queue::scheduler::{Action, Event, StartOrder};
use queue_support::{job, step, task, Harness};

/// Longest time for which a new leader waits for runners that do not answer, in milliseconds.
const INHERITED_WAIT_MS: u64 = 12_000;

/// Two starts of the only task of job 1: the first runner fell silent, the second has it since.
struct Restart {
    harness: Harness,
    first: StartOrder,
    second: StartOrder,
}

impl Restart {
    fn new() -> Self {
        let runners = [("r1", 4_000), ("r2", 4_000)];
        let (mut harness, starts) = Harness::with_job(&runners, vec![step(1, 1_000)]);
        harness.answer_starts(&starts);
        let first = starts[0].clone();
        harness.cut_off_runner(&first.target.0);
        while !harness.has_started(first.task) {
            harness.advance(25);
        }
        let second = harness.starts().remove(0);
        harness.answer_start(&second, Ok(()));
        Self { harness, first, second }
    }

    /// Lets the first runner answer the new leader: its run was done before the second began.
    fn list_first_done(&self, successor: &mut Harness) {
        let done = vec![(self.first.task, self.first.run)];
        let id = &self.first.target.0;
        successor.add_runner_with_ended_runs(id, 4_000, Vec::new(), done);
        successor.advance_answering_starts(3_000);
    }

    fn first_runner(&self) -> &RunnerId {
        &self.first.target.0
    }
}

/// A new leader that has read the records of job 1 and no runner yet.
fn successor_of(former: &Harness, term: u64) -> Harness {
    let mut successor = Harness::new(term);
    successor.handle(Event::JobLoaded(job(1, vec![step(1, 1_000)])));
    if let Some(progress) = last_progress(former) {
        successor.handle(Event::ProgressLoaded(JobId(1), progress));
    }
    successor.scheduler.await_inherited_runs(successor.now_ms + INHERITED_WAIT_MS);
    successor
}

/// Progress in the last record that was written.
fn last_progress(harness: &Harness) -> Option<Progress> {
    harness.actions.iter().rev().find_map(|action| match action {
        Action::SaveProgress { records, .. } => Some(records[0].progress.clone()),
        _ => None,
    })
}

#[test]
fn a_successor_does_not_acknowledge_a_done_end_of_a_task_that_ended_by_a_later_run() {
    let mut restart = Restart::new();
    let second = restart.second.clone();
    restart.harness.end(&second, RunEnd::Done);
    assert_eq!(restart.harness.state(1), Some(JobState::Completed));
    let mut successor = successor_of(&restart.harness, 9);
    assert_eq!(successor.state(1), Some(JobState::Completed));
    restart.list_first_done(&mut successor);
    assert_eq!(successor.acknowledged(restart.first_runner()), 0);
}

#[test]
fn a_done_end_that_is_read_after_a_successor_has_ended_its_job_is_not_acknowledged() {
    let restart = Restart::new();
    let mut successor = successor_of(&restart.harness, 9);
    let (id, running) = (&restart.second.target.0, (restart.second.task, restart.second.run));
    successor.add_runner_with_runs(id, 4_000, vec![running]);
    successor.end_at(id, 1, running.0, running.1, RunEnd::Done);
    successor.advance(2_000);
    assert_eq!(successor.state(1), Some(JobState::Completed));
    restart.list_first_done(&mut successor);
    assert_eq!(successor.acknowledged(restart.first_runner()), 0);
}

#[test]
fn the_older_of_two_late_done_ends_is_not_acknowledged_after_its_job_has_ended() {
    let Restart { mut harness, first, second } = Restart::new();
    harness.cut_off_runner(&second.target.0);
    harness.advance(2 * harness.config.run_lease_ms);
    harness.make_responsive(&second.target.0);
    harness.end_at(&second.target.0, 1, second.task, second.run, RunEnd::Done);
    harness.advance(3_000);
    assert_eq!(harness.state(1), Some(JobState::Completed));
    assert_eq!(harness.acknowledged(&second.target.0), 1);
    harness.make_responsive(&first.target.0);
    harness.end_at(&first.target.0, 1, first.task, first.run, RunEnd::Done);
    harness.advance(3_000);
    assert_eq!(harness.acknowledged(&first.target.0), 0);
}

#[test]
fn a_done_end_that_was_withheld_is_not_acknowledged_by_a_successor() {
    let mut former = Harness::new(9);
    former.handle(Event::JobLoaded(job(1, vec![step(1, 1_000)])));
    former.scheduler.await_inherited_runs(former.now_ms + INHERITED_WAIT_MS);
    let (newer, older) = (vec![(task(1, 0, 0), 6)], vec![(task(1, 0, 0), 5)]);
    former.delay_saves();
    former.add_runner_with_ended_runs("r1", 4_000, Vec::new(), newer);
    former.add_runner_with_ended_runs("r2", 4_000, Vec::new(), older.clone());
    former.complete_saves();
    let mut successor = successor_of(&former, 12);
    successor.add_runner_with_ended_runs("r2", 4_000, Vec::new(), older);
    successor.advance(3_000);
    assert_eq!(successor.acknowledged("r2"), 0);
}

#[test]
fn a_done_end_that_a_former_leader_did_not_wait_for_is_not_acknowledged() {
    let mut former = Harness::new(9);
    former.handle(Event::JobLoaded(job(1, vec![step(1, 1_000)])));
    former.scheduler.await_inherited_runs(former.now_ms + INHERITED_WAIT_MS);
    former.add_silent_runner("r1", 4_000);
    former.add_runner("r2", 4_000);
    former.advance(INHERITED_WAIT_MS);
    let start = former.starts().remove(0);
    former.answer_start(&start, Ok(()));
    former.end(&start, RunEnd::Done);
    assert_eq!(former.state(1), Some(JobState::Completed));
    let mut successor = successor_of(&former, 12);
    successor.add_runner_with_ended_runs("r1", 4_000, Vec::new(), vec![(start.task, 5)]);
    successor.advance(3_000);
    assert_eq!(successor.acknowledged("r1"), 0);
}

#[test]
fn a_task_with_a_lost_run_starts_again_once_its_record_names_that_run() {
    let runners = [("r1", 4_000), ("r2", 4_000)];
    let (mut harness, starts) = Harness::with_job(&runners, vec![step(1, 1_000)]);
    harness.answer_starts(&starts);
    harness.delay_saves();
    harness.cut_off_runner(&starts[0].target.0);
    harness.advance(2 * harness.config.run_lease_ms);
    assert!(harness.starts().is_empty(), "a successor would not know of the lost run");
    harness.complete_saves();
    assert!(harness.has_started(starts[0].task));
}

/// A harness in which the end of a lost run of job 1 is withheld at the returned runner; the other one
/// is gone.
fn with_withheld_end() -> (Harness, RunnerId) {
    let mut restart = Restart::new();
    let second = restart.second.clone();
    restart.harness.end(&second, RunEnd::Done);
    let mut successor = successor_of(&restart.harness, 9);
    restart.list_first_done(&mut successor);
    (successor, restart.first_runner().clone())
}

#[test]
fn jobs_go_on_at_a_runner_whose_done_end_is_withheld() {
    let (mut harness, id) = with_withheld_end();
    harness.handle(Event::JobSubmitted(job(2, vec![step(1, 1_000)])));
    let start = harness.starts().remove(0);
    harness.answer_start(&start, Ok(()));
    harness.end(&start, RunEnd::Done);
    harness.advance(3_000);
    assert_eq!(harness.state(2), Some(JobState::Completed));
    assert_eq!(harness.acknowledged(&id), 0);
}

#[test]
fn a_runner_whose_done_end_is_withheld_gets_tasks_only_if_no_other_has_room() {
    let (mut harness, id) = with_withheld_end();
    harness.add_runner("r3", 2_000);
    harness.handle(Event::JobSubmitted(job(2, vec![step(3, 1_000)])));
    let starts = harness.starts();
    let names: Vec<&str> = starts.iter().map(|start| &*start.target.0).collect();
    assert_eq!(names, ["r3", "r3", &*id]);
}

#[test]
fn a_withheld_end_is_acknowledged_once_a_later_run_has_lapsed() {
    let (mut harness, id) = with_withheld_end();
    harness.handle(Event::JobSubmitted(job(2, vec![step(2, 1_000)])));
    let starts = harness.starts();
    harness.answer_starts(&starts);
    harness.end(&starts[0], RunEnd::Lapsed);
    harness.advance_answering_starts(3_000);
    assert_eq!(harness.acknowledged(&id), 2);
}

#[test]
fn a_runner_gets_no_tasks_whose_ends_might_not_fit_after_a_withheld_one() {
    let (mut harness, _) = with_withheld_end();
    for number in 0..450 {
        harness.handle(Event::JobSubmitted(job(2 + number, vec![step(1, 1_000)])));
        let Some(start) = harness.starts().pop() else {
            assert_eq!(number, 399);
            return;
        };
        harness.answer_start(&start, Ok(()));
        harness.end(&start, RunEnd::Done);
        harness.advance(1_000);
    }
    panic!("an answer lists at most 500 ends");
}

#[test]
fn a_done_end_of_a_cancelled_job_whose_task_was_not_started_again_is_acknowledged() {
    let (mut harness, starts) = Harness::with_job(&[("r1", 4_000)], vec![step(1, 1_000)]);
    harness.answer_starts(&starts);
    harness.cut_off_runner("r1");
    harness.handle(Event::JobCanceled(JobId(1)));
    harness.advance(2 * harness.config.run_lease_ms);
    harness.make_responsive("r1");
    harness.end_at("r1", 1, starts[0].task, starts[0].run, RunEnd::Done);
    harness.advance(3_000);
    assert_eq!(harness.acknowledged("r1"), 1);
}
