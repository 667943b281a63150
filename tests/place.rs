//! Placement decisions: capacity, one place a task, lost answers, takeover.

mod place_support;

use std::sync::Arc;

use hemlockrock::configs::place::PlaceConfig;
use hemlockrock::declarations::RuleDeclaration;
use hemlockrock::place::explain::RuledOut;
use hemlockrock::place::message::{
    Attempt, AttemptState, End, JobState, Refusal, Rejection, StopMode,
};
use hemlockrock::place::spec::{JobKind, JobSpec, Priority, Resources};
use hemlockrock::place::{Action, Event};
use hemlockrock::quota::Shares;
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

/// Everything that was asked to stop, in order.
fn stops(cell: &Cell) -> Vec<(Attempt, StopMode)> {
    let stop = |action: &Action| match action {
        Action::Stop { attempt, mode, .. } => Some((*attempt, *mode)),
        _ => None,
    };
    cell.out.iter().filter_map(stop).collect()
}

fn cores(count: u64) -> Resources {
    Resources::new(count * 1_000, count << 30, 0)
}

#[test]
fn services_spread_over_racks_then_workers() {
    let mut cell = Cell::new(18, cores(8));
    let spec = JobSpec::new("team", 6).with_kind(JobKind::Service).with_resources(cores(1));
    cell.submit("s", spec);
    let inventory = cell.placer.inventory();
    let mut racks: Vec<_> = cell
        .starts()
        .iter()
        .map(|start| inventory.worker(start.worker).expect("a worker").rack)
        .collect();
    racks.sort_unstable();
    racks.dedup();
    assert_eq!(racks.len(), 3, "6 replicas over 3 racks");
}

#[test]
fn an_ended_replica_is_started_again() {
    let mut cell = Cell::new(3, cores(8));
    cell.submit("s", JobSpec::new("team", 2).with_kind(JobKind::Service));
    cell.confirm_all();
    let attempt = cell.starts()[0].attempt;
    cell.step(Event::Ended { attempt, end: End::Finished });
    cell.now_ms += 1_000;
    cell.step(Event::Tick);
    assert_eq!(cell.starts().len(), 3);
}

#[test]
fn a_service_gets_its_new_specification_replica_by_replica() {
    let mut cell = Cell::new(6, cores(8));
    let spec = JobSpec::new("team", 4).with_kind(JobKind::Service).with_resources(cores(1));
    cell.submit("s", spec.clone());
    cell.confirm_all();
    let spec = Arc::new(spec.with_resources(cores(2)));
    cell.step(Event::Replace { job_id: "s".into(), spec });
    for round in 1..=4 {
        cell.step(Event::Tick);
        assert_eq!(stops(&cell).len(), round, "one replica at a time");
        let (attempt, _) = stops(&cell)[round - 1];
        cell.step(Event::Stopped { attempt });
        let start = cell.starts().last().expect("a start").clone();
        assert_eq!(start.reserved, cores(2));
        cell.step(Event::Confirmed { attempt: start.attempt });
    }
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut cell = Cell::new(2, cores(4));
    cell.submit("b", JobSpec::new("team", 1).with_resources(cores(1)));
    let gang = JobSpec::new("team", 2).with_kind(JobKind::Gang).with_resources(cores(4));
    cell.submit("g", gang);
    assert_eq!(cell.starts().len(), 1, "no member without the others");
    let attempt = cell.starts()[0].attempt;
    cell.step(Event::Confirmed { attempt });
    cell.step(Event::Ended { attempt, end: End::Finished });
    assert_eq!(cell.starts().len(), 3);
}

/// Workers of 4 cores, on which a gang claims room as soon as it finds none.
fn impatient(count: usize) -> Cell {
    let config = PlaceConfig { gang_patience_ms: 0, ..PlaceConfig::default() };
    Cell::with(place_support::workers(count, cores(4)), config)
}

#[test]
fn a_gang_is_not_starved_by_later_small_work() {
    let mut cell = impatient(2);
    let small = |run_ms| JobSpec::new("team", 1).with_resources(cores(1)).with_expected_ms(run_ms);
    for job in 0..8 {
        cell.submit(&format!("b{job}"), small(10_000));
    }
    cell.confirm_all();
    let gang = JobSpec::new("team", 2).with_kind(JobKind::Gang).with_resources(cores(4));
    cell.submit("g", gang.with_expected_ms(1_000));
    for start in cell.starts() {
        cell.submit(&format!("late-{}", start.attempt.counter), small(60_000));
        cell.step(Event::Ended { attempt: start.attempt, end: End::Finished });
    }
    let job = |start: &place_support::Start| start.task.job_id.to_string();
    let started: Vec<String> = cell.starts().iter().skip(8).map(job).collect();
    assert!(started.starts_with(&["g".into(), "g".into()]), "{started:?}");
}

#[test]
fn work_that_ends_in_time_runs_beside_a_waiting_gang() {
    let mut cell = impatient(1);
    let small = |run_ms| JobSpec::new("team", 1).with_resources(cores(1)).with_expected_ms(run_ms);
    cell.submit("b", small(10_000));
    cell.confirm_all();
    cell.submit("g", JobSpec::new("team", 1).with_kind(JobKind::Gang).with_resources(cores(4)));
    cell.submit("long", small(60_000));
    assert_eq!(cell.starts().len(), 1, "it would delay the gang");
    cell.submit("short", small(5_000));
    assert_eq!(cell.starts().len(), 2);
}

#[test]
fn urgent_work_takes_the_place_of_stoppable_work_by_least_loss() {
    let mut cell = Cell::new(2, cores(4));
    let job = |size| JobSpec::new("team", 1).with_resources(cores(size));
    cell.submit("firm", job(4));
    cell.submit("old", job(2).with_stoppable());
    cell.submit("young", job(2).with_stoppable());
    cell.confirm_all();
    let victims: Vec<Attempt> = cell.starts().iter().skip(1).map(|start| start.attempt).collect();
    cell.submit("urgent", job(2).with_priority(Priority::Urgent));
    assert_eq!(stops(&cell).len(), 1, "one is enough");
    let (attempt, _) = stops(&cell)[0];
    assert!(victims.contains(&attempt));
    cell.submit("other", job(2));
    cell.step(Event::Stopped { attempt });
    let last = cell.starts().last().expect("a start").clone();
    assert_eq!(&*last.task.job_id, "urgent", "the room is kept for it");
}

#[test]
fn urgent_work_leaves_firm_work_alone() {
    let mut cell = Cell::new(1, cores(4));
    cell.submit("firm", JobSpec::new("team", 1).with_resources(cores(4)));
    cell.confirm_all();
    cell.submit("urgent", JobSpec::new("team", 1).with_priority(Priority::Urgent));
    assert_eq!(stops(&cell), []);
    let explained = cell.placer.explain("urgent", cell.now_ms).expect("a known job");
    assert_eq!(explained.ruled_out.get(&RuledOut::Processor), Some(&1));
}

#[test]
fn rules_keep_jobs_apart_and_labels_choose_workers() {
    let mut declared = place_support::workers(3, cores(8));
    declared.workers[2].labels.insert("disk".into(), "fast".into());
    declared.rules.push(RuleDeclaration {
        name: "judges".into(),
        kind: "apart".into(),
        matches: "kind=judge".into(),
        other: "kind=rebuild".into(),
    });
    let mut cell = Cell::with(declared, PlaceConfig::default());
    let mut judge = JobSpec::new("team", 1);
    judge.labels.insert("kind".into(), "judge".into());
    judge.constraints.insert("disk".into(), "fast".into());
    cell.submit("judge", judge);
    let mut rebuild = JobSpec::new("team", 30);
    rebuild.labels.insert("kind".into(), "rebuild".into());
    cell.submit("rebuild", rebuild);
    let labelled = cell.placer.inventory().key("w0002").expect("a worker");
    let on_it = cell.starts().iter().filter(|start| start.worker == labelled).count();
    assert_eq!((cell.starts().len(), on_it), (17, 1));
}

#[test]
fn jobs_that_can_never_run_are_told_at_once() {
    let mut cell = Cell::new(2, cores(4));
    cell.submit("large", JobSpec::new("team", 1).with_resources(cores(5)));
    cell.submit("gang", JobSpec::new("team", 9).with_kind(JobKind::Gang));
    let mut labelled = JobSpec::new("team", 1);
    labelled.constraints.insert("disk".into(), "fast".into());
    cell.submit("labelled", labelled);
    let state = |id| cell.placer.job_state(id).cloned();
    assert_eq!(state("large"), Some(JobState::Rejected(Rejection::TooLarge)));
    assert_eq!(state("gang"), Some(JobState::Rejected(Rejection::GangTooLarge)));
    assert_eq!(state("labelled"), Some(JobState::Rejected(Rejection::NoSuchLabels)));
}

/// Fails each start of `id` at once, or all starts on `worker`, until nothing new starts.
fn fail_where(cell: &mut Cell, fails: impl Fn(&place_support::Start) -> bool) {
    let mut seen = 0;
    for _ in 0..40 {
        let starts = cell.starts();
        for start in &starts[seen..] {
            cell.step(Event::Confirmed { attempt: start.attempt });
            let end = if fails(start) { End::Failed } else { End::Finished };
            cell.step(Event::Ended { attempt: start.attempt, end });
        }
        seen = starts.len();
        let workers = cell.keys();
        cell.now_ms += 2_000;
        for worker in workers {
            cell.report_empty(worker);
        }
        cell.step(Event::Tick);
    }
}

#[test]
fn a_poison_job_is_given_up_and_its_workers_are_not_blamed() {
    let mut cell = Cell::new(4, cores(4));
    cell.submit("poison", JobSpec::new("team", 1));
    cell.submit("good", JobSpec::new("team", 6));
    fail_where(&mut cell, |start| &*start.task.job_id == "poison");
    let state = |id| cell.placer.job_state(id).cloned();
    assert_eq!(state("poison"), Some(JobState::Rejected(Rejection::Poison)));
    assert_eq!(state("good"), Some(JobState::Finished));
    assert_eq!(cell.placer.stats().open_workers, 4);
}

#[test]
fn a_worker_that_fails_everything_is_put_on_probation_and_no_job_is_given_up() {
    let mut cell = Cell::new(4, cores(4));
    for job in 0..12 {
        cell.submit(&format!("j{job}"), JobSpec::new("team", 1));
    }
    let bad = cell.starts()[0].worker;
    fail_where(&mut cell, |start| start.worker == bad);
    for job in 0..12 {
        let state = cell.placer.job_state(&format!("j{job}")).cloned();
        assert_eq!(state, Some(JobState::Finished), "j{job}");
    }
}

#[test]
fn use_above_the_declared_size_throttles_then_stops_the_lowest() {
    let mut cell = Cell::new(1, cores(4));
    let named = |name: &str, priority| {
        let mut spec = JobSpec::new("team", 1).with_priority(priority);
        spec.name = name.into();
        spec
    };
    cell.submit("low", named("low", Priority::Low));
    cell.submit("high", named("high", Priority::High));
    cell.confirm_all();
    let worker = cell.keys()[0];
    let low = cell.starts()[0].attempt;
    let mut report = cell.report_of(worker, AttemptState::Running);
    report.attempts[0].usage = Resources::new(5_000, 1 << 30, 0);
    cell.step(Event::Report { worker, report: report.clone() });
    assert_eq!(stops(&cell), [(low, StopMode::Throttle)]);
    report.attempts[0].usage.memory_bytes = 5 << 30;
    cell.step(Event::Report { worker, report });
    assert_eq!(stops(&cell).last(), Some(&(low, StopMode::Checkpoint)));
    cell.step(Event::Stopped { attempt: low });
    cell.submit("again", named("low", Priority::Low));
    assert_eq!(cell.placer.explain("again", cell.now_ms).expect("known").size, cores(4));
}

#[test]
fn teams_in_contention_get_even_parts_of_their_quotas() {
    let mut cell = Cell::new(2, cores(8));
    let share = |count| cores(count);
    let teams = [("a".to_owned(), share(12)), ("b".to_owned(), share(12))];
    cell.step(Event::Quota(Arc::new(Shares { teams: teams.into() })));
    cell.submit("fill", JobSpec::new("a", 12));
    cell.confirm_all();
    cell.submit("wait-a", JobSpec::new("a", 8));
    cell.submit("wait-b", JobSpec::new("b", 8));
    let of = |team: &str| cell.starts().iter().filter(|s| s.task.job_id.ends_with(team)).count();
    assert_eq!((of("fill"), of("-a"), of("-b")), (12, 0, 4));
    for start in cell.starts().iter().take(8) {
        cell.step(Event::Ended { attempt: start.attempt, end: End::Finished });
    }
    let of = |team: &str| cell.starts().iter().filter(|s| s.task.job_id.ends_with(team)).count();
    assert_eq!((of("-a"), of("-b")), (4, 8), "use evens out at 8 and 8");
}

#[test]
fn ten_thousand_tasks_are_cancelled_in_one_step() {
    let mut cell = Cell::new(20, cores(100));
    cell.submit("wave", JobSpec::new("team", 10_000));
    while cell.placer.has_work(cell.now_ms) {
        cell.step(Event::Tick);
    }
    assert_eq!(cell.starts().len(), 2_000);
    cell.step(Event::Cancel { job_id: "wave".into() });
    assert_eq!(stops(&cell).len(), 2_000);
    cell.report_all(AttemptState::Stopped);
    assert_eq!(cell.placer.job_state("wave"), Some(&JobState::Cancelled));
    assert!(cell.keys().iter().all(|key| cell.placer.reserved(*key).is_zero()));
}

#[test]
fn workers_change_while_tasks_run() {
    let mut cell = Cell::new(3, cores(4));
    cell.submit("j", JobSpec::new("team", 6).with_stoppable());
    cell.confirm_all();
    let mut declared = (*cell.declared).clone();
    let busiest = cell.starts()[0].worker;
    let name = cell.placer.inventory().worker(busiest).expect("a worker").name.clone();
    let changed = declared.workers.iter_mut().find(|worker| worker.name == name);
    changed.expect("declared").drain = true;
    cell.step(Event::Declared(Arc::new(declared.clone())));
    cell.step(Event::Tick);
    let held = cell.starts().iter().filter(|start| start.worker == busiest).count();
    assert_eq!(stops(&cell).len(), held, "all that may be stopped is moved");
    for (attempt, _) in stops(&cell) {
        cell.step(Event::Stopped { attempt });
    }
    assert!(cell.placer.reserved(busiest).is_zero());
    assert!(cell.starts().iter().skip(6).all(|start| start.worker != busiest));
    declared.workers.retain(|worker| worker.name != name);
    cell.step(Event::Declared(Arc::new(declared.clone())));
    cell.step(Event::Tick);
    assert_eq!(cell.placer.inventory().len(), 2);
    declared.workers.iter_mut().for_each(|worker| worker.cpu_millis = 1_000);
    cell.step(Event::Declared(Arc::new(declared)));
    let before = cell.starts().len();
    cell.submit("more", JobSpec::new("team", 1));
    assert_eq!(cell.starts().len(), before, "shrunk workers take no more");
}
