//! Tests of placement decisions, one event at a time: capacity, lost responses, takeover, services,
//! gangs, preemption, rules, failures and quotas.

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
use place_support::Zone;

#[test]
fn reservations_never_exceed_a_worker() {
    let mut zone = Zone::new(3, Resources::new(4_000, 8 << 30, 0));
    zone.submit("j", JobSpec::new("team", 20));
    assert_eq!(zone.starts().len(), 12);
    for key in zone.keys() {
        assert!(zone.placer.reserved(key).fits(Resources::new(4_000, 8 << 30, 0)));
    }
}

#[test]
fn a_lost_reply_keeps_the_reservation_until_the_worker_is_read() {
    let mut zone = Zone::new(1, Resources::new(1_000, 1 << 30, 0));
    zone.submit("j", JobSpec::new("team", 2));
    let start = zone.starts()[0].clone();
    let worker = zone.keys()[0];
    zone.step(Event::LostReply { attempt: start.attempt });
    assert_eq!(zone.starts().len(), 1);
    assert!(matches!(zone.out.last(), Some(Action::Read { .. })));
    zone.report_empty(worker);
    assert_eq!(zone.starts().len(), 2, "the barrier of the read covers the lost start");
}

#[test]
fn a_refused_start_is_placed_again() {
    let mut zone = Zone::new(2, Resources::new(1_000, 1 << 30, 0));
    zone.submit("j", JobSpec::new("team", 1));
    let attempt = zone.starts()[0].attempt;
    zone.step(Event::Refused { attempt, refusal: Refusal::Stale });
    assert_eq!(zone.starts().len(), 2);
}

#[test]
fn a_silent_worker_keeps_its_tasks_until_the_lease_has_lapsed() {
    let mut zone = Zone::new(2, Resources::new(1_000, 1 << 30, 0));
    zone.submit("j", JobSpec::new("team", 1));
    let attempt = zone.starts()[0].attempt;
    zone.step(Event::Confirmed { attempt });
    let config = zone.config.clone();
    let lost = zone.starts()[0].worker;
    let certain_ms = config.task_lease_ms + config.clock_margin_ms;
    let began_ms = zone.now_ms;
    while zone.now_ms < began_ms + certain_ms - 200 {
        zone.advance(100, |key| key != lost);
        assert_eq!(zone.starts().len(), 1, "at {} ms", zone.now_ms);
    }
    zone.advance(4_000, |key| key != lost);
    assert_eq!(zone.starts().len(), 2);
}

#[test]
fn a_takeover_adopts_running_tasks_and_stops_none() {
    let mut zone = Zone::new(3, Resources::new(2_000, 2 << 30, 0));
    zone.submit("j", JobSpec::new("team", 5));
    zone.confirm_all();
    let mut next = zone.successor(2);
    next.report_starts_of(&zone);
    assert_eq!(next.starts().len(), 0);
    assert!(!next.out.iter().any(|action| matches!(action, Action::Stop { .. })));
    assert_eq!(next.placer.job_state("j"), Some(&JobState::Running));
    next.submit("k", JobSpec::new("team", 5));
    assert_eq!(next.starts().len(), 1, "five of six task places are in use");
}

#[test]
fn a_cancelled_job_stops_everywhere() {
    let mut zone = Zone::new(2, Resources::new(4_000, 8 << 30, 0));
    zone.submit("j", JobSpec::new("team", 10));
    zone.confirm_all();
    zone.step(Event::Cancel { job_id: "j".into() });
    let stops = zone.out.iter().filter(|action| matches!(action, Action::Stop { .. })).count();
    assert_eq!(stops, 8);
    assert_eq!(zone.placer.job_state("j"), Some(&JobState::Running));
    zone.report_all(AttemptState::Stopped);
    assert_eq!(zone.placer.job_state("j"), Some(&JobState::Cancelled));
}

/// All stops that the placer emitted, in order.
fn stops(zone: &Zone) -> Vec<(Attempt, StopMode)> {
    let stop = |action: &Action| match action {
        Action::Stop { attempt, mode, .. } => Some((*attempt, *mode)),
        _ => None,
    };
    zone.out.iter().filter_map(stop).collect()
}

/// Resources of `count` cores with 1 GiB of memory each.
fn cores(count: u64) -> Resources {
    Resources::new(count * 1_000, count << 30, 0)
}

#[test]
fn services_spread_over_racks_then_workers() {
    let mut zone = Zone::new(18, cores(8));
    let spec = JobSpec::new("team", 6).with_kind(JobKind::Service).with_resources(cores(1));
    zone.submit("s", spec);
    let inventory = zone.placer.inventory();
    let mut racks: Vec<_> = zone
        .starts()
        .iter()
        .map(|start| inventory.worker(start.worker).expect("a worker").rack)
        .collect();
    racks.sort_unstable();
    racks.dedup();
    assert_eq!(racks.len(), 3, "the replicas use all three racks");
}

#[test]
fn an_ended_replica_is_started_again() {
    let mut zone = Zone::new(3, cores(8));
    zone.submit("s", JobSpec::new("team", 2).with_kind(JobKind::Service));
    zone.confirm_all();
    let attempt = zone.starts()[0].attempt;
    zone.step(Event::Ended { attempt, end: End::Finished });
    zone.now_ms += 1_000;
    zone.step(Event::Tick);
    assert_eq!(zone.starts().len(), 3);
}

#[test]
fn a_rolling_update_replaces_one_replica_at_a_time() {
    let mut zone = Zone::new(6, cores(8));
    let spec = JobSpec::new("team", 4).with_kind(JobKind::Service).with_resources(cores(1));
    zone.submit("s", spec.clone());
    zone.confirm_all();
    let spec = Arc::new(spec.with_resources(cores(2)));
    zone.step(Event::Replace { job_id: "s".into(), spec });
    for round in 1..=4 {
        zone.step(Event::Tick);
        assert_eq!(stops(&zone).len(), round, "one replica at a time");
        let (attempt, _) = stops(&zone)[round - 1];
        zone.step(Event::Stopped { attempt });
        let start = zone.starts().last().expect("a start").clone();
        assert_eq!(start.reserved, cores(2));
        zone.step(Event::Confirmed { attempt: start.attempt });
    }
}

#[test]
fn a_gang_is_placed_all_together_or_not_at_all() {
    let mut zone = Zone::new(2, cores(4));
    zone.submit("b", JobSpec::new("team", 1).with_resources(cores(1)));
    let gang = JobSpec::new("team", 2).with_kind(JobKind::Gang).with_resources(cores(4));
    zone.submit("g", gang);
    assert_eq!(zone.starts().len(), 1, "no task of the gang starts alone");
    let attempt = zone.starts()[0].attempt;
    zone.step(Event::Confirmed { attempt });
    zone.step(Event::Ended { attempt, end: End::Finished });
    assert_eq!(zone.starts().len(), 3);
}

/// Workers with 4 cores, on which a gang makes a claim as soon as it cannot be placed.
fn zone_with_immediate_claims(count: usize) -> Zone {
    let config = PlaceConfig { gang_patience_ms: 0, ..PlaceConfig::default() };
    Zone::with_config(place_support::workers(count, cores(4)), config)
}

#[test]
fn a_gang_is_not_starved_by_later_small_work() {
    let mut zone = zone_with_immediate_claims(2);
    let small = |run_ms| JobSpec::new("team", 1).with_resources(cores(1)).with_expected_ms(run_ms);
    for job in 0..8 {
        zone.submit(&format!("b{job}"), small(10_000));
    }
    zone.confirm_all();
    let gang = JobSpec::new("team", 2).with_kind(JobKind::Gang).with_resources(cores(4));
    zone.submit("g", gang.with_expected_ms(1_000));
    for start in zone.starts() {
        zone.submit(&format!("late-{}", start.attempt.counter), small(60_000));
        zone.step(Event::Ended { attempt: start.attempt, end: End::Finished });
    }
    let job = |start: &place_support::Start| start.task.job_id.to_string();
    let started: Vec<String> = zone.starts().iter().skip(8).map(job).collect();
    assert!(started.starts_with(&["g".into(), "g".into()]), "{started:?}");
}

#[test]
fn short_tasks_are_backfilled_before_the_start_of_a_waiting_gang() {
    let mut zone = zone_with_immediate_claims(1);
    let small = |run_ms| JobSpec::new("team", 1).with_resources(cores(1)).with_expected_ms(run_ms);
    zone.submit("b", small(10_000));
    zone.confirm_all();
    zone.submit("g", JobSpec::new("team", 1).with_kind(JobKind::Gang).with_resources(cores(4)));
    zone.submit("long", small(60_000));
    assert_eq!(zone.starts().len(), 1, "a long task would delay the gang");
    zone.submit("short", small(5_000));
    assert_eq!(zone.starts().len(), 2);
}

#[test]
fn urgent_jobs_preempt_stoppable_tasks_with_the_least_loss() {
    let mut zone = Zone::new(2, cores(4));
    let job = |size| JobSpec::new("team", 1).with_resources(cores(size));
    zone.submit("firm", job(4));
    zone.submit("old", job(2).with_stoppable());
    zone.submit("young", job(2).with_stoppable());
    zone.confirm_all();
    let victims: Vec<Attempt> = zone.starts().iter().skip(1).map(|start| start.attempt).collect();
    zone.submit("urgent", job(2).with_priority(Priority::Urgent));
    assert_eq!(stops(&zone).len(), 1, "preempting one task frees enough resources");
    let (attempt, _) = stops(&zone)[0];
    assert!(victims.contains(&attempt));
    zone.submit("other", job(2));
    zone.step(Event::Stopped { attempt });
    let last = zone.starts().last().expect("a start").clone();
    assert_eq!(&*last.task.job_id, "urgent", "freed resources are kept for the urgent job");
}

#[test]
fn urgent_jobs_do_not_preempt_tasks_that_are_not_stoppable() {
    let mut zone = Zone::new(1, cores(4));
    zone.submit("firm", JobSpec::new("team", 1).with_resources(cores(4)));
    zone.confirm_all();
    zone.submit("urgent", JobSpec::new("team", 1).with_priority(Priority::Urgent));
    assert_eq!(stops(&zone), []);
    let explained = zone.placer.explain("urgent", zone.now_ms).expect("a known job");
    assert_eq!(explained.ruled_out.get(&RuledOut::Processor), Some(&1));
}

#[test]
fn anti_affinity_rules_and_labels_restrict_workers() {
    let mut declared = place_support::workers(3, cores(8));
    declared.workers[2].labels.insert("disk".into(), "fast".into());
    declared.rules.push(RuleDeclaration {
        name: "judges".into(),
        kind: "apart".into(),
        matches: "kind=judge".into(),
        other: "kind=rebuild".into(),
    });
    let mut zone = Zone::with_config(declared, PlaceConfig::default());
    let mut judge = JobSpec::new("team", 1);
    judge.labels.insert("kind".into(), "judge".into());
    judge.constraints.insert("disk".into(), "fast".into());
    zone.submit("judge", judge);
    let mut rebuild = JobSpec::new("team", 30);
    rebuild.labels.insert("kind".into(), "rebuild".into());
    zone.submit("rebuild", rebuild);
    let labelled = zone.placer.inventory().key("w0002").expect("a worker");
    let on_it = zone.starts().iter().filter(|start| start.worker == labelled).count();
    assert_eq!((zone.starts().len(), on_it), (17, 1));
}

#[test]
fn jobs_that_can_never_run_are_rejected_at_once() {
    let mut zone = Zone::new(2, cores(4));
    zone.submit("large", JobSpec::new("team", 1).with_resources(cores(5)));
    zone.submit("gang", JobSpec::new("team", 9).with_kind(JobKind::Gang));
    let mut labelled = JobSpec::new("team", 1);
    labelled.constraints.insert("disk".into(), "fast".into());
    zone.submit("labelled", labelled);
    let state = |id| zone.placer.job_state(id).cloned();
    assert_eq!(state("large"), Some(JobState::Rejected(Rejection::TooLarge)));
    assert_eq!(state("gang"), Some(JobState::Rejected(Rejection::GangTooLarge)));
    assert_eq!(state("labelled"), Some(JobState::Rejected(Rejection::NoSuchLabels)));
}

/// Ends each start at once, as failed if `fails` says so, over enough rounds for all retries.
fn end_starts(zone: &mut Zone, fails: impl Fn(&place_support::Start) -> bool) {
    let mut seen = 0;
    for _ in 0..40 {
        let starts = zone.starts();
        for start in &starts[seen..] {
            zone.step(Event::Confirmed { attempt: start.attempt });
            let end = if fails(start) { End::Failed } else { End::Finished };
            zone.step(Event::Ended { attempt: start.attempt, end });
        }
        seen = starts.len();
        let workers = zone.keys();
        zone.now_ms += 2_000;
        for worker in workers {
            zone.report_empty(worker);
        }
        zone.step(Event::Tick);
    }
}

#[test]
fn a_poison_job_is_given_up_and_its_workers_are_not_blamed() {
    let mut zone = Zone::new(4, cores(4));
    zone.submit("poison", JobSpec::new("team", 1));
    zone.submit("good", JobSpec::new("team", 6));
    end_starts(&mut zone, |start| &*start.task.job_id == "poison");
    let state = |id| zone.placer.job_state(id).cloned();
    assert_eq!(state("poison"), Some(JobState::Rejected(Rejection::Poison)));
    assert_eq!(state("good"), Some(JobState::Finished));
    assert_eq!(zone.placer.stats().open_workers, 4);
}

#[test]
fn a_worker_that_fails_everything_is_put_on_probation_and_no_job_is_given_up() {
    let mut zone = Zone::new(4, cores(4));
    for job in 0..12 {
        zone.submit(&format!("j{job}"), JobSpec::new("team", 1));
    }
    let bad = zone.starts()[0].worker;
    end_starts(&mut zone, |start| start.worker == bad);
    for job in 0..12 {
        let state = zone.placer.job_state(&format!("j{job}")).cloned();
        assert_eq!(state, Some(JobState::Finished), "j{job}");
    }
}

#[test]
fn usage_above_capacity_throttles_then_checkpoints_the_lowest_priority() {
    let mut zone = Zone::new(1, cores(4));
    let named = |name: &str, priority| {
        let mut spec = JobSpec::new("team", 1).with_priority(priority);
        spec.name = name.into();
        spec
    };
    zone.submit("low", named("low", Priority::Low));
    zone.submit("high", named("high", Priority::High));
    zone.confirm_all();
    let worker = zone.keys()[0];
    let low = zone.starts()[0].attempt;
    let mut report = zone.report_of(worker, AttemptState::Running);
    report.attempts[0].usage = Resources::new(5_000, 1 << 30, 0);
    zone.step(Event::Report { worker, report: report.clone() });
    assert_eq!(stops(&zone), [(low, StopMode::Throttle)]);
    report.attempts[0].usage.memory_bytes = 5 << 30;
    zone.step(Event::Report { worker, report });
    assert_eq!(stops(&zone).last(), Some(&(low, StopMode::Checkpoint)));
    zone.step(Event::Stopped { attempt: low });
    zone.submit("again", named("low", Priority::Low));
    assert_eq!(zone.placer.explain("again", zone.now_ms).expect("known").size, cores(4));
}

#[test]
fn contending_teams_get_equal_shares() {
    let mut zone = Zone::new(2, cores(8));
    let share = |count| cores(count);
    let teams = [("a".to_owned(), share(12)), ("b".to_owned(), share(12))];
    zone.step(Event::Quota(Arc::new(Shares { teams: teams.into() })));
    zone.submit("fill", JobSpec::new("a", 12));
    zone.confirm_all();
    zone.submit("wait-a", JobSpec::new("a", 8));
    zone.submit("wait-b", JobSpec::new("b", 8));
    let of = |team: &str| zone.starts().iter().filter(|s| s.task.job_id.ends_with(team)).count();
    assert_eq!((of("fill"), of("-a"), of("-b")), (12, 0, 4));
    for start in zone.starts().iter().take(8) {
        zone.step(Event::Ended { attempt: start.attempt, end: End::Finished });
    }
    let of = |team: &str| zone.starts().iter().filter(|s| s.task.job_id.ends_with(team)).count();
    assert_eq!((of("-a"), of("-b")), (4, 8), "each team runs eight tasks");
}

#[test]
fn a_successor_starts_no_task_that_runs_on_a_worker_removed_before_the_takeover() {
    let mut zone = Zone::new(2, cores(4));
    zone.submit("j", JobSpec::new("team", 1));
    zone.confirm_all();
    let busy = zone.starts()[0].worker;
    let name = zone.placer.inventory().worker(busy).expect("a worker").name.clone();
    let mut declared = (*zone.declared).clone();
    declared.workers.retain(|worker| worker.name != name);
    zone.declared = Arc::new(declared);
    zone.step(Event::Declared(Arc::clone(&zone.declared)));
    let mut next = zone.successor(2);
    next.report_all_empty();
    assert_eq!(next.starts().len(), 0, "the lease on the removed worker has not lapsed");
    next.advance(next.config.holding_window_ms, |_| true);
    assert_eq!(next.starts().len(), 0, "the lease on the removed worker has not lapsed");
}

/// Successor of a zone of four workers with four cores each, of which one ran a task of team `a`
/// with two cores. The team may use five cores. One worker is silent, all others were read: the one
/// that ran the task, if `is_found` is false, else another one.
fn successor_with_a_silent_worker(is_found: bool) -> Zone {
    let mut zone = Zone::new(4, cores(4));
    zone.submit("old", JobSpec::new("a", 1).with_resources(cores(2)));
    zone.confirm_all();
    let busy = zone.starts()[0].worker;
    let silent = zone.keys().into_iter().find(|worker| (*worker == busy) != is_found);
    let mut next = zone.successor(2);
    next.step(Event::Quota(Arc::new(Shares { teams: [("a".to_owned(), cores(5))].into() })));
    for worker in next.keys().into_iter().filter(|worker| Some(*worker) != silent) {
        let mut report = zone.report_of(worker, AttemptState::Running);
        report.barrier.epoch = next.epoch;
        next.step(Event::Report { worker, report });
    }
    next.step(Event::Tick);
    next
}

#[test]
fn a_silent_worker_holds_up_no_job_of_a_team_whose_quota_has_room_beside_that_worker() {
    let mut next = successor_with_a_silent_worker(false);
    next.submit("new", JobSpec::new("a", 2).with_resources(cores(1)));
    assert_eq!(next.starts().len(), 1, "four of five cores may be in use on the silent worker");
    assert_eq!(&*next.starts()[0].task.job_id, "new");
}

#[test]
fn a_silent_worker_holds_up_no_team_whose_tasks_were_all_found() {
    let mut next = successor_with_a_silent_worker(true);
    next.submit("new", JobSpec::new("a", 4).with_resources(cores(1)));
    assert_eq!(next.starts().len(), 3, "two of five cores are in use");
}

#[test]
fn ten_thousand_tasks_are_cancelled_in_one_step() {
    let mut zone = Zone::new(20, cores(100));
    zone.submit("wave", JobSpec::new("team", 10_000));
    while zone.placer.has_work(zone.now_ms) {
        zone.step(Event::Tick);
    }
    assert_eq!(zone.starts().len(), 2_000);
    zone.step(Event::Cancel { job_id: "wave".into() });
    assert_eq!(stops(&zone).len(), 2_000);
    zone.report_all(AttemptState::Stopped);
    assert_eq!(zone.placer.job_state("wave"), Some(&JobState::Cancelled));
    assert!(zone.keys().iter().all(|key| zone.placer.reserved(*key).is_zero()));
}

#[test]
fn workers_change_while_tasks_run() {
    let mut zone = Zone::new(3, cores(4));
    zone.submit("j", JobSpec::new("team", 6).with_stoppable());
    zone.confirm_all();
    let mut declared = (*zone.declared).clone();
    let busiest = zone.starts()[0].worker;
    let name = zone.placer.inventory().worker(busiest).expect("a worker").name.clone();
    let changed = declared.workers.iter_mut().find(|worker| worker.name == name);
    changed.expect("declared").drain = true;
    zone.step(Event::Declared(Arc::new(declared.clone())));
    zone.step(Event::Tick);
    let held = zone.starts().iter().filter(|start| start.worker == busiest).count();
    assert_eq!(stops(&zone).len(), held, "all stoppable tasks of a drained worker are stopped");
    for (attempt, _) in stops(&zone) {
        zone.step(Event::Stopped { attempt });
    }
    assert!(zone.placer.reserved(busiest).is_zero());
    assert!(zone.starts().iter().skip(6).all(|start| start.worker != busiest));
    declared.workers.retain(|worker| worker.name != name);
    zone.step(Event::Declared(Arc::new(declared.clone())));
    zone.step(Event::Tick);
    assert_eq!(zone.placer.inventory().len(), 2);
    declared.workers.iter_mut().for_each(|worker| worker.cpu_millis = 1_000);
    zone.step(Event::Declared(Arc::new(declared)));
    let before = zone.starts().len();
    zone.submit("more", JobSpec::new("team", 1));
    assert_eq!(zone.starts().len(), before, "workers with reduced capacity get no tasks");
}

/// Attempts that the placer told workers to forget.
fn forgotten(zone: &Zone) -> Vec<Attempt> {
    let attempts = |action: &Action| match action {
        Action::Forget { attempts, .. } => attempts.clone(),
        _ => Vec::new(),
    };
    zone.out.iter().flat_map(attempts).collect()
}

/// Stores the latest progress that the placer emitted for a job.
fn store_progress(zone: &mut Zone, id: &str) {
    let version = zone.latest_progress(id).expect("a progress record").version;
    zone.step(Event::Recorded { job_id: id.into(), version });
}

/// Starts a job with one task on the given number of workers, and disconnects the worker that runs
/// it until its lease has lapsed.
fn zone_with_a_lapsed_task(workers: usize) -> Zone {
    let mut zone = Zone::new(workers, Resources::new(1_000, 1 << 30, 0));
    zone.submit("j", JobSpec::new("team", 1));
    zone.confirm_all();
    let lost = zone.starts()[0].worker;
    let span_ms = zone.config.task_lease_ms + zone.config.clock_margin_ms + 4_000;
    zone.advance(span_ms, |key| key != lost);
    zone
}

#[test]
fn a_task_that_finished_while_its_worker_was_disconnected_is_not_started_again() {
    let mut zone = zone_with_a_lapsed_task(1);
    let first = zone.starts()[0].clone();
    let report = zone.report_of(first.worker, AttemptState::Ended(End::Finished));
    zone.step(Event::Report { worker: first.worker, report });
    zone.step(Event::Tick);
    assert_eq!(zone.starts().len(), 1);
    assert_eq!(zone.placer.job_state("j"), Some(&JobState::Finished));
    assert_eq!(forgotten(&zone), [], "the end is not stored yet");
    store_progress(&mut zone, "j");
    assert_eq!(forgotten(&zone), [first.attempt]);
}

#[test]
fn a_replacement_of_a_finished_attempt_is_stopped_and_its_task_not_started_again() {
    let mut zone = zone_with_a_lapsed_task(2);
    let (first, second) = (zone.starts()[0].clone(), zone.starts()[1].clone());
    let report = zone.report_of(first.worker, AttemptState::Ended(End::Finished));
    for _ in 0..2 {
        zone.step(Event::Report { worker: first.worker, report: report.clone() });
    }
    assert_eq!(stops(&zone), [(second.attempt, StopMode::Stop)]);
    assert_eq!(forgotten(&zone), [], "the end is not stored yet");
    assert_eq!(zone.placer.reserved(second.worker), second.reserved);
    zone.step(Event::Stopped { attempt: second.attempt });
    zone.step(Event::Tick);
    assert_eq!(zone.starts().len(), 2);
    assert_eq!(zone.placer.job_state("j"), Some(&JobState::Finished));
    store_progress(&mut zone, "j");
    assert_eq!(forgotten(&zone), [first.attempt]);
}

#[test]
fn a_failed_replacement_of_a_finished_attempt_leaves_the_task_finished() {
    let mut zone = zone_with_a_lapsed_task(2);
    let (first, second) = (zone.starts()[0].clone(), zone.starts()[1].clone());
    let report = zone.report_of(first.worker, AttemptState::Ended(End::Finished));
    zone.step(Event::Report { worker: first.worker, report });
    zone.step(Event::Ended { attempt: second.attempt, end: End::Failed });
    zone.now_ms += 10_000;
    zone.step(Event::Tick);
    assert_eq!(zone.starts().len(), 2);
    assert_eq!(zone.placer.job_state("j"), Some(&JobState::Finished));
}

#[test]
fn a_takeover_after_each_failure_does_not_keep_a_poison_job_running() {
    let mut zone = Zone::new(4, cores(4));
    zone.submit("poison", JobSpec::new("team", 1));
    let mut failures = 0;
    while let (Some(start), 0..10) = (zone.starts().pop(), failures) {
        failures += 1;
        zone.step(Event::Confirmed { attempt: start.attempt });
        zone.step(Event::Ended { attempt: start.attempt, end: End::Failed });
        zone.step(Event::Tick);
        if zone.placer.job_state("poison") == Some(&JobState::Rejected(Rejection::Poison)) {
            break;
        }
        let mut next = zone.successor(zone.epoch + 1);
        next.now_ms += zone.config.max_backoff_ms;
        next.report_all_empty();
        zone = next;
    }
    assert_eq!(failures, zone.config.poison_after_workers);
}
