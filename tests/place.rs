//! Placement decisions: capacity, one place a task, lost answers, takeover.

mod place_support;

use hemlockrock::place::message::{AttemptState, JobState, Refusal};
use hemlockrock::place::spec::{JobSpec, Resources};
use hemlockrock::place::{Action, Event};
use place_support::Cell;

#[test]
fn reservations_never_exceed_a_worker() {
    let mut cell = Cell::new(3, Resources::new(4_000, 8 << 30, 0));
    cell.submit("j", JobSpec::new("team", 20));
    assert_eq!(cell.starts().len(), 12);
    for key in cell.keys() {
        assert!(cell.placer.reserved(key).fits(Resources::new(4_000, 8 << 30, 0)));
    }
}

#[test]
fn a_lost_reply_keeps_the_reservation_until_the_worker_is_read() {
    let mut cell = Cell::new(1, Resources::new(1_000, 1 << 30, 0));
    cell.submit("j", JobSpec::new("team", 2));
    let start = cell.starts()[0].clone();
    let worker = cell.keys()[0];
    cell.step(Event::LostReply { attempt: start.attempt });
    assert_eq!(cell.starts().len(), 1);
    assert!(matches!(cell.out.last(), Some(Action::Read { .. })));
    cell.report_empty(worker);
    assert_eq!(cell.starts().len(), 2, "the barrier of the read covers the lost start");
}

#[test]
fn a_refused_start_is_placed_again() {
    let mut cell = Cell::new(2, Resources::new(1_000, 1 << 30, 0));
    cell.submit("j", JobSpec::new("team", 1));
    let attempt = cell.starts()[0].attempt;
    cell.step(Event::Refused { attempt, refusal: Refusal::Stale });
    assert_eq!(cell.starts().len(), 2);
}

#[test]
fn a_silent_worker_keeps_its_tasks_until_the_lease_has_lapsed() {
    let mut cell = Cell::new(2, Resources::new(1_000, 1 << 30, 0));
    cell.submit("j", JobSpec::new("team", 1));
    let attempt = cell.starts()[0].attempt;
    cell.step(Event::Confirmed { attempt });
    let config = cell.config.clone();
    let lost = cell.starts()[0].worker;
    let certain_ms = config.task_lease_ms + config.clock_margin_ms;
    let began_ms = cell.now_ms;
    while cell.now_ms < began_ms + certain_ms - 200 {
        cell.pass_time(100, |key| key != lost);
        assert_eq!(cell.starts().len(), 1, "at {} ms", cell.now_ms);
    }
    cell.pass_time(4_000, |key| key != lost);
    assert_eq!(cell.starts().len(), 2);
}

#[test]
fn a_takeover_finds_running_tasks_and_stops_none() {
    let mut cell = Cell::new(3, Resources::new(2_000, 2 << 30, 0));
    cell.submit("j", JobSpec::new("team", 5));
    cell.confirm_all();
    let mut next = cell.successor(2);
    next.report_from(&cell);
    assert_eq!(next.starts().len(), 0);
    assert!(!next.out.iter().any(|action| matches!(action, Action::Stop { .. })));
    assert_eq!(next.placer.job_state("j"), Some(&JobState::Running));
    next.submit("k", JobSpec::new("team", 5));
    assert_eq!(next.starts().len(), 1, "room for one more");
}

#[test]
fn a_cancelled_job_stops_everywhere() {
    let mut cell = Cell::new(2, Resources::new(4_000, 8 << 30, 0));
    cell.submit("j", JobSpec::new("team", 10));
    cell.confirm_all();
    cell.step(Event::Cancel { job_id: "j".into() });
    let stops = cell.out.iter().filter(|action| matches!(action, Action::Stop { .. })).count();
    assert_eq!(stops, 8);
    assert_eq!(cell.placer.job_state("j"), Some(&JobState::Running));
    cell.report_all(AttemptState::Stopped);
    assert_eq!(cell.placer.job_state("j"), Some(&JobState::Cancelled));
}
