//! Tests of the queue scheduler when callers ask for more than the runners can do.
//!
//! A seeded load is played on the harness in simulated time. Jobs of both classes are as in the
//! contended deployment, on a quarter of its runners and hosts.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small numbers of a played load"
)]
#![allow(clippy::unwrap_used, reason = "tests panic on unexpected values")]

mod queue_support;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::{Arc, OnceLock};

use hemlockrock::collections;
use hemlockrock::place::spec::Resources;
use hemlockrock::queue::model::{
    AdvicePolicy, JobId, JobState, Queue, QueueDirectory, RunEnd, Step, Submission, TaskId,
};
use hemlockrock::queue::scheduler::expected_room::RoomDemand;
use hemlockrock::queue::scheduler::waiting::{self, EstimateErrors, WaitingStep};
use hemlockrock::queue::scheduler::{Action, Event};
use hemlockrock::queue::workspaces::Workspaces;
use queue_support::{job, step, Harness};

const RUNNERS: usize = 88;
const HOSTS: usize = 8;
const RUNNER_CPU_MILLIS: u64 = 16_000;
const STEP_MS: u64 = 10;
const WORKSPACES: u64 = 4;
const ADMITTED_PERCENT: u64 = 33;

const URGENT: &str = "urgent";
const BATCH: &str = "batch";

const SHORT_CALL: AdvicePolicy =
    AdvicePolicy { base_ms: 33.0, per_runner_ms: 0.5, valid_ms: 2_000 };
const LONG_CALL: AdvicePolicy =
    AdvicePolicy { base_ms: 500.0, per_runner_ms: 7.0, valid_ms: 2_000 };

/// A class of jobs.
struct Class {
    queue: &'static str,
    /// Jobs a second.
    rate: f64,
    tasks: u32,
    task_ms: u64,
    cpu_millis: u64,
    stretch: f64,
    target_latency_ms: u64,
}

const URGENT_CLASS: Class = Class {
    queue: URGENT,
    rate: 6.6,
    tasks: 10,
    task_ms: 800,
    cpu_millis: 2_200,
    stretch: 1.5,
    target_latency_ms: 250,
};

const BATCH_CLASS: Class = Class {
    queue: BATCH,
    rate: 1.5,
    tasks: 14,
    task_ms: 6_000,
    cpu_millis: 4_500,
    stretch: 2.2,
    target_latency_ms: 1_200,
};

/// A seeded load and what is made of it.
struct Load {
    seed: u64,
    /// Multiple of the usual rate of the batch class.
    batch_factor: f64,
    /// Time for which jobs arrive, in milliseconds.
    duration_ms: u64,
    /// Whether the deployment declares workspaces, and so whether the order by value is in force.
    has_workspaces: bool,
}

/// A run in progress: the time of its end, the task, the number of the run, and the runner.
type RunToEnd = (u64, TaskId, u64, String);

/// A job that was submitted.
struct Played {
    class: &'static Class,
    submitted_ms: u64,
    ended_ms: Option<u64>,
    allowed_ms: u64,
    /// Number of its workspace.
    workspace: u64,
    /// Processor time of its tasks.
    work: f64,
}

impl Played {
    /// Part of the job's value that its caller gets.
    fn yielded(&self) -> f64 {
        let Some(ended_ms) = self.ended_ms else { return 0.0 };
        let took_ms = ended_ms - self.submitted_ms;
        if took_ms <= self.allowed_ms {
            1.0
        } else if took_ms <= 3 * self.allowed_ms {
            0.2
        } else {
            0.0
        }
    }
}

/// What became of a load.
struct Outcome {
    jobs: BTreeMap<u64, Played>,
    /// Mean part of the processors in use while jobs arrived, after the first quarter of the time.
    used: f64,
    /// Calls for advice.
    calls: usize,
    /// Mean part of the hosts with a call in flight.
    busy_hosts: f64,
}

impl Outcome {
    /// Part of the value of the jobs that callers get; a job is worth 0.3 plus 0.7 times its work,
    /// relative to the mean of its class.
    fn value(&self, is_counted: impl Fn(&Played) -> bool) -> f64 {
        let mut total = 0.0;
        let mut gained = 0.0;
        for job in self.jobs.values().filter(|job| is_counted(job)) {
            let class = self.jobs.values().filter(|other| other.class.queue == job.class.queue);
            let (count, sum) =
                class.fold((0.0, 0.0), |(count, sum), other| (count + 1.0, sum + other.work));
            let worth = 0.3 + 0.7 * job.work * count / sum;
            total += worth;
            gained += worth * job.yielded();
        }
        gained / total
    }

    /// Value of the tenth of a class that has the most work.
    fn value_of_largest(&self, queue: &str) -> f64 {
        let class = self.jobs.values().filter(|job| job.class.queue == queue);
        let mut works: Vec<f64> = class.map(|job| job.work).collect();
        works.sort_by(f64::total_cmp);
        let least = works[works.len() - works.len() / 10];
        self.value(|job| job.class.queue == queue && job.work >= least)
    }
}

/// A repeatable random number from 0 to 1.
fn chance(seed: u64, text: impl std::fmt::Display) -> f64 {
    #[allow(clippy::cast_precision_loss, reason = "a number from 0 to 1")]
    let part = (collections::stable_hash(format!("{seed} {text}")) >> 11) as f64;
    part / (1_u64 << 53) as f64
}

fn directory(has_workspaces: bool) -> QueueDirectory {
    let queue = |class: &Class, priority, advice| Queue {
        name: class.queue.to_owned(),
        host: "h".to_owned(),
        prefix: format!("/{}/", class.queue),
        service: "s".to_owned(),
        priority,
        max_attempts: 3,
        stretch: class.stretch,
        target_latency_ms: class.target_latency_ms,
        advice: Some(advice),
        is_public: false,
    };
    let queues = vec![queue(&URGENT_CLASS, 0, SHORT_CALL), queue(&BATCH_CLASS, 2, LONG_CALL)];
    let workspaces = has_workspaces.then(Workspaces::default);
    QueueDirectory { version: 3, queues, max_body_bytes: 1 << 18, workspaces }
}

/// Arrivals of a class, as time and identifier, and the jobs.
fn arrivals(load: &Load, class: &'static Class, first_id: u64) -> Vec<(u64, Submission)> {
    let factor = if class.queue == BATCH { load.batch_factor } else { 1.0 };
    let mut at_ms = 0.0;
    let mut list = Vec::new();
    for id in first_id.. {
        let random = |what: &str| chance(load.seed, format!("{id} {what}"));
        at_ms -= (1.0 - random("gap")).ln() * 1_000.0 / (class.rate * factor);
        if at_ms >= load.duration_ms as f64 {
            break;
        }
        let steps = if random("steps") < 0.4 {
            1
        } else if random("steps") < 0.8 {
            2
        } else {
            3
        };
        let size = (random("size") * 2.4 - 1.2).exp();
        let count = ((random("count") * 1.8 + 0.1) * f64::from(class.tasks)).ceil() as u32;
        let estimate_ms = (class.task_ms as f64 * size) as u64;
        let step = |at: u32| Step {
            count,
            need: Resources::new(class.cpu_millis, 1, 0),
            estimate_ms,
            after: if at == 0 { Vec::new() } else { vec![at - 1] },
            ..Step::default()
        };
        let steps = (0..steps).map(step).collect();
        let submission = Submission {
            queue: class.queue.to_owned(),
            workspace: Some(format!("w{}", id % WORKSPACES).into()),
            ..job(id, steps)
        };
        list.push((at_ms as u64, submission));
    }
    list
}

/// Plays a load until all jobs have ended or `limit_ms` have passed.
fn play(load: &Load, limit_ms: u64) -> Outcome {
    let mut harness = Harness::new(1);
    for number in 0..RUNNERS {
        harness.add_runner(&format!("r{number}"), RUNNER_CPU_MILLIS);
    }
    harness.require_advice(LONG_CALL, ADMITTED_PERCENT, HOSTS);
    harness.handle(Event::DirectoryUpdated(Arc::new(directory(load.has_workspaces))));
    harness.advance(500);
    let begin_ms = harness.now_ms;
    let mut pending: Vec<(u64, Submission)> = arrivals(load, &URGENT_CLASS, 1);
    pending.extend(arrivals(load, &BATCH_CLASS, 1_000_000));
    pending.sort_by_key(|(at_ms, submission)| Reverse((*at_ms, submission.id)));
    let mut jobs = BTreeMap::new();
    let mut open: Vec<u64> = Vec::new();
    let mut ends: BinaryHeap<Reverse<RunToEnd>> = BinaryHeap::new();
    let mut end_numbers: BTreeMap<String, u64> = BTreeMap::new();
    let mut running: BTreeMap<(TaskId, u64), u64> = BTreeMap::new();
    let (mut used, mut samples, mut calls, mut call_ms) = (0.0, 0.0, 0, 0);
    while harness.now_ms < begin_ms + limit_ms && !(pending.is_empty() && open.is_empty()) {
        let elapsed_ms = harness.now_ms - begin_ms;
        while pending.last().is_some_and(|(at_ms, _)| *at_ms <= elapsed_ms) {
            let Some((_, submission)) = pending.pop() else { break };
            let is_batch = submission.queue == BATCH;
            let class = if is_batch { &BATCH_CLASS } else { &URGENT_CLASS };
            let estimate_ms: u64 = submission.steps.iter().map(|step| step.estimate_ms).sum();
            let work = submission.steps.iter().map(|step| {
                f64::from(step.count) * (step.need.cpu_millis * step.estimate_ms) as f64
            });
            let played = Played {
                class,
                submitted_ms: harness.now_ms,
                ended_ms: None,
                allowed_ms: (estimate_ms as f64 * class.stretch) as u64 + class.target_latency_ms,
                workspace: submission.id.0 % WORKSPACES,
                work: work.sum(),
            };
            jobs.insert(submission.id.0, played);
            open.push(submission.id.0);
            let now_ms = harness.now_ms;
            harness.scheduler.handle_event(Event::JobSubmitted(submission), now_ms);
        }
        while ends.peek().is_some_and(|Reverse((at_ms, ..))| *at_ms <= harness.now_ms) {
            let Some(Reverse((_, task, run, runner))) = ends.pop() else { break };
            running.remove(&(task, run));
            let number = end_numbers.entry(runner.clone()).or_default();
            *number += 1;
            harness.end_at(&runner, *number, task, run, RunEnd::Done);
        }
        harness.advance(STEP_MS);
        for start in harness.starts() {
            harness.answer_start(&start, Ok(()));
            let step = start.task.step;
            let class = if step.job.0 >= 1_000_000 { &BATCH_CLASS } else { &URGENT_CLASS };
            let estimate_ms = estimates(load, class, step.job) as f64;
            let draw = chance(load.seed, format!("{} run", start.task));
            let factor = if draw < 0.03 { 3.0 } else { 0.85 + 0.3 * draw };
            let end_ms = harness.now_ms + (estimate_ms * factor) as u64;
            ends.push(Reverse((end_ms, start.task, start.run, start.target.0.to_string())));
            running.insert((start.task, start.run), class.cpu_millis);
        }
        for action in &harness.actions {
            if let Action::RequestAdvice { expected_ms, .. } = action {
                calls += 1;
                call_ms += expected_ms;
            }
        }
        harness.actions.retain(|action| matches!(action, Action::RenewLease(_)));
        if elapsed_ms > load.duration_ms / 4 && elapsed_ms < load.duration_ms {
            used += running.values().sum::<u64>() as f64;
            samples += 1.0;
        }
        let now_ms = harness.now_ms;
        open.retain(|id| {
            let has_ended = harness.state(*id) == Some(JobState::Completed);
            if has_ended {
                jobs.get_mut(id).unwrap().ended_ms = Some(now_ms);
            }
            !has_ended
        });
    }
    let played_ms = (harness.now_ms - begin_ms) as f64;
    Outcome {
        jobs,
        used: used / samples / (RUNNERS as u64 * RUNNER_CPU_MILLIS) as f64,
        calls,
        busy_hosts: call_ms as f64 / played_ms / HOSTS as f64,
    }
}

/// Estimate of the tasks of a job; all its steps have the same.
fn estimates(load: &Load, class: &Class, job: JobId) -> u64 {
    let size = (chance(load.seed, format!("{} size", job.0)) * 2.4 - 1.2).exp();
    (class.task_ms as f64 * size) as u64
}

/// Plays 40 s of a seeded load at this multiple of the usual batch load.
#[allow(clippy::print_stdout, reason = "figures for the design note")]
fn overload(seed: u64, batch_factor: f64, has_workspaces: bool) -> Outcome {
    let load = Load { seed, batch_factor, duration_ms: 40_000, has_workspaces };
    let outcome = play(&load, 400_000);
    println!(
        "seed {seed}, batch load {batch_factor}, workspaces {has_workspaces}: used {:.3}, calls {}, \
         busy hosts {:.3}, urgent {:.3}, batch {:.3}, largest {:.3}, unfinished {}",
        outcome.used,
        outcome.calls,
        outcome.busy_hosts,
        outcome.value(|job| job.class.queue == URGENT),
        outcome.value(|job| job.class.queue == BATCH),
        outcome.value_of_largest(BATCH),
        outcome.jobs.values().filter(|job| job.ended_ms.is_none()).count(),
    );
    outcome
}

/// Outcomes of both seeds and both loads, without and with the order by value; played once.
fn outcomes() -> &'static [(Outcome, Outcome)] {
    static OUTCOMES: OnceLock<Vec<(Outcome, Outcome)>> = OnceLock::new();
    OUTCOMES.get_or_init(|| {
        let loads = [(1, 1.5), (1, 2.0), (2, 1.5), (2, 2.0)];
        let both = |(seed, factor)| (overload(seed, factor, false), overload(seed, factor, true));
        loads.into_iter().map(both).collect()
    })
}

/// Means of a measure without and with the order by value.
fn means(measure: impl Fn(&Outcome) -> f64) -> (f64, f64) {
    let outcomes = outcomes();
    let count = outcomes.len() as f64;
    let before: f64 = outcomes.iter().map(|(before, _)| measure(before)).sum();
    let after: f64 = outcomes.iter().map(|(_, after)| measure(after)).sum();
    (before / count, after / count)
}

#[test]
fn callers_get_more_of_their_value_than_in_the_order_of_due_times() {
    // Guards against an order that starts what is about to become late, so that all is late.
    let (before, after) = means(|outcome| outcome.value(|job| job.class.queue == BATCH));
    assert!(after > before * 1.15, "batch: {before} before, {after} after");
    // Guards against a gain at the cost of the urgent class.
    let (before, after) = means(|outcome| outcome.value(|job| job.class.queue == URGENT));
    assert!(after > before * 0.97, "urgent: {before} before, {after} after");
}

#[test]
fn room_does_not_stay_idle_for_the_duration_of_a_call() {
    // Guards against calls about single runners that have just got room: the share of room in use was
    // 0.75. With three batch tasks on each runner it is 0.84.
    let (before, after) = means(|outcome| outcome.used);
    assert!(after > 0.82, "{before} before, {after} after");
    // Guards against room that is bought with more calls, of which hosts make one at a time.
    let (before, after) = means(|outcome| outcome.calls as f64);
    assert!(after < before * 1.05, "calls: {before} before, {after} after");
}

#[test]
fn the_largest_jobs_are_served_at_least_half_as_often_as_their_class() {
    // Guards against an order that serves short jobs only.
    let (_, class) = means(|outcome| outcome.value(|job| job.class.queue == BATCH));
    let (_, largest) = means(|outcome| outcome.value_of_largest(BATCH));
    assert!(largest > class / 2.0, "{largest} of the largest tenth, {class} of the class");
}

#[test]
fn every_workspace_gets_a_part_of_the_value() {
    // Guards against an order that favours jobs by what does not distinguish the workspaces here.
    let (_, outcome) = &outcomes()[0];
    let all = outcome.value(|_| true);
    for number in 0..WORKSPACES {
        let value = outcome.value(|job| job.workspace == number);
        assert!(value > all / 2.0, "workspace {number}: {value}, all: {all}");
    }
}

#[test]
fn every_accepted_job_ends_after_a_burst() {
    // Guards against late jobs that are dropped or never reached.
    let (_, outcome) = &outcomes()[1];
    let unfinished: Vec<u64> =
        outcome.jobs.iter().filter(|(_, job)| job.ended_ms.is_none()).map(|(id, _)| *id).collect();
    assert!(unfinished.is_empty(), "{unfinished:?}");
}

/// A job that waits, for tests of the order alone.
fn waiting(age_ms: u64, remaining_ms: u64) -> WaitingStep {
    WaitingStep {
        priority: 2,
        share: (false, 0),
        age_ms,
        allowed_ms: 10_000,
        remaining_ms,
        patience_ms: 60_000,
    }
}

#[test]
fn jobs_in_time_go_before_late_ones_and_late_ones_before_worthless_ones() {
    // Guards against jobs that cannot meet their objective delaying those that can.
    let expected = [
        waiting(4_000, 4_000),
        waiting(1_000, 4_000),
        waiting(9_000, 2_000),
        waiting(8_000, 4_000),
        waiting(40_000, 4_000),
        waiting(29_000, 4_000),
    ];
    let mut ordered = expected;
    ordered.sort_by_key(waiting::rank);
    let ages = |list: &[WaitingStep]| list.iter().map(|step| step.age_ms).collect::<Vec<u64>>();
    assert_eq!(ages(&ordered), ages(&expected));
    let more_urgent = WaitingStep { priority: 1, ..waiting(40_000, 4_000) };
    assert!(waiting::rank(&more_urgent) < waiting::rank(&expected[0]));
}

#[test]
fn a_job_that_has_lost_its_value_starts_within_a_bound_of_its_patience() {
    // Guards against starvation by a stream of jobs that are in time and fill the capacity. One job
    // is served at a time, for as long as two arrivals take.
    const SERVICE_MS: u64 = 2_000;
    let patience_ms = waiting(0, 0).patience_ms;
    let mut arrived: Vec<u64> = vec![0; 20];
    let mut started_ms = None;
    for now_ms in (20_000..200_000_u64).step_by(SERVICE_MS as usize) {
        arrived.extend([now_ms - SERVICE_MS / 2, now_ms]);
        let key = |arrived_ms: &u64| waiting::rank(&waiting(now_ms - arrived_ms, SERVICE_MS));
        let next = (0..arrived.len()).min_by_key(|index| key(&arrived[*index]));
        let served_ms = arrived.swap_remove(next.unwrap());
        if served_ms == 0 && !arrived.contains(&0) {
            started_ms = Some(now_ms);
            break;
        }
    }
    let bound_ms = patience_ms + 20 * SERVICE_MS;
    assert!(started_ms.is_some_and(|at_ms| at_ms <= bound_ms), "{started_ms:?}");
}

/// Starts jobs one after the other on one full runner, after `wait_ms`; returns their order.
fn order_of_starts(has_workspaces: bool, estimates_ms: &[u64], wait_ms: u64) -> Vec<u64> {
    let mut harness = Harness::new(1);
    harness.add_runner("r1", 4_500);
    let mut directory = directory(has_workspaces);
    directory.queues.iter_mut().for_each(|queue| queue.advice = None);
    harness.handle(Event::DirectoryUpdated(Arc::new(directory)));
    let batch = |id: u64, estimate_ms: u64| {
        let step = Step { estimate_ms, ..step(1, 4_000) };
        Submission { queue: BATCH.to_owned(), ..job(id, vec![step]) }
    };
    // The order by value needs estimates that have proved reliable.
    for id in 100..130 {
        harness.handle(Event::JobSubmitted(batch(id, 1_000)));
        let measured = harness.starts();
        harness.answer_starts(&measured);
        harness.advance(1_000);
        harness.end(&measured[0], RunEnd::Done);
    }
    harness.handle(Event::JobSubmitted(batch(1, 1_000)));
    let mut running = harness.starts();
    harness.answer_starts(&running);
    for (id, estimate_ms) in (2..).zip(estimates_ms) {
        harness.handle(Event::JobSubmitted(batch(id, *estimate_ms)));
    }
    harness.advance(wait_ms);
    let mut order = Vec::new();
    while let Some(start) = running.pop() {
        harness.end(&start, RunEnd::Done);
        running = harness.starts();
        harness.answer_starts(&running);
        order.extend(running.iter().map(|start| start.task.step.job.0));
    }
    order
}

#[test]
fn the_order_is_that_of_due_times_unless_workspaces_are_declared() {
    // Guards against a change for deployments that do not use the order by value. After 7 s, the jobs
    // of 1 s and 2 s are late, and that of 8 s has time left.
    let estimates_ms = [8_000, 1_000, 2_000];
    assert_eq!(order_of_starts(false, &estimates_ms, 7_000), [3, 4, 2]);
    assert_eq!(order_of_starts(true, &estimates_ms, 7_000), [2, 3, 4]);
}

#[test]
fn after_a_change_of_leader_jobs_start_in_the_order_of_their_ages() {
    // Guards against a successor to which all jobs are equally old, so that the oldest may wait again
    // for as long as before.
    let mut harness = Harness::new(1);
    harness.handle(Event::DirectoryUpdated(Arc::new(directory(true))));
    for (id, accepted_unix_ms) in [(1, 9_000), (2, 3_000), (3, 6_000)] {
        let step = Step { estimate_ms: 6_000, ..step(1, 4_000) };
        let queue = BATCH.to_owned();
        let loaded = Submission { queue, accepted_unix_ms, ..job(id, vec![step]) };
        harness.scheduler.handle_event(Event::JobLoaded(loaded), harness.now_ms);
    }
    let mut directory = directory(true);
    directory.queues.iter_mut().for_each(|queue| queue.advice = None);
    harness.handle(Event::DirectoryUpdated(Arc::new(directory)));
    harness.add_runner("r1", 4_500);
    let mut order = Vec::new();
    for _ in 0..3 {
        harness.advance_until_start(20_000);
        let starts = harness.starts();
        harness.answer_starts(&starts);
        order.extend(starts.iter().map(|start| start.task.step.job.0));
        harness.end(&starts[0], RunEnd::Done);
    }
    assert_eq!(order, [2, 3, 1]);
}

#[test]
fn preemption_stops_the_run_that_loses_the_least_work() {
    // Guards against stopping a run that is nearly done while one that has just started is there.
    for oldest in [1, 2, 3] {
        let mut harness = Harness::new(1);
        harness.add_runner("r1", 3_400);
        harness.require_advice(SHORT_CALL, 100, 1);
        let mut directory = directory(true);
        directory.queues[1].advice = None;
        harness.handle(Event::DirectoryUpdated(Arc::new(directory)));
        let ids = [oldest, oldest % 3 + 1, (oldest + 1) % 3 + 1];
        for id in ids {
            let queue = BATCH.to_owned();
            let batch = Submission { queue, ..job(id, vec![step(1, 1_000)]) };
            harness.handle(Event::JobSubmitted(batch));
            let starts = harness.starts();
            assert_eq!(starts.len(), 1);
            harness.answer_starts(&starts);
            harness.advance(500);
        }
        let queue = URGENT.to_owned();
        let lasting = Step { is_long_running: true, ..step(1, 1_000) };
        harness.handle(Event::JobSubmitted(Submission { queue, ..job(9, vec![lasting]) }));
        harness.advance(2_000);
        let stopped: Vec<u64> = harness.stops().iter().map(|stop| stop.task.step.job.0).collect();
        assert_eq!(stopped.first(), Some(&ids[2]));
        assert!(stopped.iter().all(|id| *id == ids[2]), "{stopped:?}");
    }
}

// Guards against a mean: three runs in a hundred that take seven times as long would raise the expected
// duration by a fifth, and steps would be taken for late that are not.
#[test]
fn runs_with_a_long_tail_do_not_change_the_expected_duration() {
    let mut errors = EstimateErrors::default();
    for run in 0..1_000_u32 {
        let took_ms = if run % 33 == 0 { 7_000 } else { 950 + run % 100 };
        errors.record("q", 1_000, f64::from(took_ms));
    }
    assert!((0.95..1.05).contains(&errors.ratio("q")), "{}", errors.ratio("q"));
    assert!(errors.are_reliable("q"));
}

// Guards against a queue whose jobs all count as in time until they are late.
#[test]
fn estimates_that_are_wrong_by_a_factor_of_two_are_corrected_within_fifty_runs() {
    let mut errors = EstimateErrors::default();
    for _ in 0..50 {
        errors.record("q", 1_000, 2_000.0);
    }
    assert!((1.9..2.1).contains(&errors.ratio("q")), "{}", errors.ratio("q"));
}

// Guards against jobs that wait behind all others because their estimates, which may be off by a factor
// of three either way, name them as late.
#[test]
fn estimates_that_differ_widely_from_the_durations_are_not_relied_on() {
    let mut errors = EstimateErrors::default();
    assert!(!errors.are_reliable("q"), "nothing is known yet");
    for run in 0..200 {
        let took_ms = [330.0, 600.0, 1_000.0, 1_700.0, 3_000.0][run % 5];
        errors.record("q", 1_000, took_ms);
    }
    assert!(!errors.are_reliable("q"));
}

// Guards against a fixed reserve: 43 steps a second with calls of 48 ms keep two hosts busy without a
// pause.
#[test]
fn hosts_reserved_for_short_calls_follow_their_demand() {
    let mut demand = RoomDemand::default();
    assert_eq!(demand.short_call_hosts(2, 29, 0), 2);
    for call in 0..430_u64 {
        demand.record_short_call(48, call * 1_000 / 43);
    }
    assert!((4..=6).contains(&demand.short_call_hosts(2, 29, 10_000)));
    assert_eq!(demand.short_call_hosts(2, 6, 10_000), 3);
    assert_eq!(demand.short_call_hosts(2, 29, 40_000), 2);
}
