//! Tests of the measured speeds of runners and of placement by them.

#![allow(clippy::unwrap_used, reason = "tests panic on unexpected values")]

mod queue_support;

use std::collections::BTreeMap;

use hemlockrock::configs::queue::QueueConfig;
use hemlockrock::place::spec::Resources;
use hemlockrock::queue::model::{
    AdvicePolicy, JobId, JobState, RunEnd, Step, StepId, Submission, TaskId,
};
use hemlockrock::queue::scheduler::speed::{CompletedRun, Speeds};
use hemlockrock::queue::scheduler::{Action, RunnerKey, StartOrder};
use queue_support::{job, step, Harness, AMPLE_QUEUE, TIGHT_QUEUE};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use slotmap::SlotMap;

const RUNNERS: usize = 350;
const PER_RACK: usize = 20;
const SEEDS: u64 = 20;
const TASKS_PER_STEP: usize = 10;
const ESTIMATE_MS: f64 = 850.0;

/// A run that has begun: its step, the position of its runner and its duration in milliseconds.
type PlannedEnd = (StepId, usize, u64);

/// Runners with a kind and a rack, and runs of steps that are spread over them.
struct Fleet {
    rng: SmallRng,
    speeds: Speeds,
    keys: Vec<RunnerKey>,
    /// Duration of runs on each runner, relative to the estimate.
    factors: Vec<f64>,
    now_ms: f64,
    next_job: u64,
    /// Ends of runs to come, by time, job and task.
    ends: BTreeMap<(u64, u64, usize), PlannedEnd>,
    left: BTreeMap<StepId, usize>,
    recorded: usize,
}

impl Fleet {
    /// Runners of which each third one is of kind `y`, with this duration factor for each kind.
    fn new(seed: u64, factor_x: f64, factor_y: f64) -> Self {
        let mut keys: SlotMap<RunnerKey, ()> = SlotMap::with_key();
        let config = QueueConfig::default();
        let mut speeds = Speeds::new(config.speed_half_life_ms, config.speed_dead_zone_millis);
        let mut fleet = Vec::new();
        for index in 0..RUNNERS {
            let key = keys.insert(());
            let kind = if index % 3 == 0 { "y" } else { "x" };
            let labels = [kind.to_owned(), format!("r{}", index / PER_RACK)];
            speeds.set_runner(key, &format!("runner-{index}"), &labels);
            fleet.push(key);
        }
        Self {
            rng: SmallRng::seed_from_u64(seed),
            speeds,
            keys: fleet,
            factors: (0..RUNNERS)
                .map(|index| if index % 3 == 0 { factor_y } else { factor_x })
                .collect(),
            now_ms: 0.0,
            next_job: 0,
            ends: BTreeMap::new(),
            left: BTreeMap::new(),
            recorded: 0,
        }
    }

    /// Runs steps on random runners out of `among` for `ms`, `steps_per_s` of them begin per second.
    ///
    /// Estimates are wrong by up to a factor of two for each step, durations vary by 10% and, for three
    /// tasks in a hundred, by a factor of seven, and ends are reported up to 60 ms late.
    fn run(&mut self, ms: f64, steps_per_s: f64, among: &[usize]) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            let step = StepId { job: JobId(self.next_job), occurrence: 0, step: 0 };
            self.next_job += 1;
            let error = self.rng.random_range(-1.0_f64..1.0).exp2();
            for task in 0..TASKS_PER_STEP {
                let runner = among[self.rng.random_range(0..among.len())];
                let tail = if self.rng.random_bool(0.03) { 7.0 } else { 1.0 };
                let noise = self.rng.random_range(0.9..1.1);
                let run_ms = ESTIMATE_MS * error * self.factors[runner] * noise * tail;
                let run_ms = run_ms + self.rng.random_range(0.0..60.0);
                let at_ms = (self.now_ms + run_ms) as u64;
                self.ends.insert((at_ms, step.job.0, task), (step, runner, run_ms as u64));
            }
            self.left.insert(step, TASKS_PER_STEP);
            self.now_ms += 1_000.0 / steps_per_s;
            self.report_ends();
        }
    }

    fn report_ends(&mut self) {
        let now_ms = self.now_ms as u64;
        while let Some(entry) = self.ends.first_entry().filter(|entry| entry.key().0 <= now_ms) {
            let at_ms = entry.key().0;
            let (step, runner, duration_ms) = entry.remove();
            let runner = self.keys[runner];
            let estimate_ms = ESTIMATE_MS as u64;
            let run = CompletedRun { runner, step, queue: "q", duration_ms, estimate_ms };
            self.speeds.record_run(&run, at_ms);
            self.recorded += 1;
            let left = self.left.get_mut(&step).unwrap();
            *left -= 1;
            if *left == 0 {
                self.left.remove(&step);
                self.speeds.complete_step(step, at_ms);
            }
            if self.speeds.is_refresh_due(at_ms) {
                self.speeds.refresh(at_ms);
            }
        }
    }

    fn all() -> Vec<usize> {
        (0..RUNNERS).collect()
    }

    fn factor(&self, index: usize) -> f64 {
        self.speeds.factor(self.keys[index])
    }

    /// Number of runners whose factor differs from 1.0.
    fn different(&self) -> usize {
        (0..RUNNERS).filter(|index| (self.factor(*index) - 1.0).abs() > f64::EPSILON).count()
    }
}

/// Guards against kinds that are not told apart, or only after many seconds of misplaced work.
#[test]
fn two_kinds_are_told_apart_within_a_few_hundred_runs() {
    let mut most = 0;
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, 0.7, 1.7);
        let is_told = |fleet: &Fleet| {
            (0..RUNNERS).all(|index| {
                let factor = fleet.factor(index);
                if index % 3 == 0 {
                    factor > 1.4
                } else {
                    factor < 0.85
                }
            })
        };
        while !is_told(&fleet) {
            fleet.run(250.0, 20.0, &Fleet::all());
            assert!(fleet.recorded < 2_000, "seed {seed}: not told apart");
        }
        assert!(fleet.speeds.are_uneven());
        most = most.max(fleet.recorded);
    }
    assert!(most <= 800, "{most} runs");
}

/// Guards against labels or runners that are called slow because of tails, wrong estimates or racks:
/// deployments with like runners must be placed as without measurements.
#[test]
fn like_runners_are_not_called_slow_or_fast() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, 1.0, 1.0);
        for _ in 0..60 {
            fleet.run(1_000.0, 20.0, &Fleet::all());
            assert_eq!(fleet.different(), 0, "seed {seed}, {} runs", fleet.recorded);
        }
        assert!(!fleet.speeds.are_uneven() && fleet.speeds.label_factors().is_empty());
    }
}

/// Guards against a kind that differs by less than the dead zone and changes placement.
#[test]
fn differences_within_the_dead_zone_count_as_none() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, 1.0, 1.1);
        fleet.run(30_000.0, 20.0, &Fleet::all());
        assert_eq!(fleet.different(), 0, "seed {seed}");
    }
}

/// Guards against a runner that has turned slow and is still taken for one of its kind.
#[test]
fn a_runner_that_turns_slow_is_noticed_and_recovers() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, 1.0, 1.0);
        fleet.run(20_000.0, 20.0, &Fleet::all());
        fleet.factors[7] = 4.0;
        fleet.run(60_000.0, 20.0, &Fleet::all());
        assert!(fleet.factor(7) > 1.3, "seed {seed}: {}", fleet.factor(7));
        assert_eq!(fleet.different(), 1, "seed {seed}");
        fleet.factors[7] = 1.0;
        fleet.run(120_000.0, 20.0, &Fleet::all());
        assert_eq!(fleet.different(), 0, "seed {seed}: {}", fleet.factor(7));
    }
}

/// Guards against evidence that counts for ever: without new runs, a speed is unknown again.
#[test]
fn speeds_without_new_evidence_are_forgotten() {
    let mut fleet = Fleet::new(1, 0.7, 1.7);
    fleet.run(10_000.0, 20.0, &Fleet::all());
    assert!(fleet.speeds.are_uneven());
    let later_ms = fleet.now_ms as u64 + 600_000;
    fleet.speeds.refresh(later_ms);
    assert_eq!(fleet.different(), 0);
    assert!(!fleet.speeds.are_uneven());
}

/// Guards against a feedback: once steps are placed on one kind only, their runs no longer compare the
/// kinds, which must not make the speeds fade.
#[test]
fn speeds_persist_when_each_step_runs_on_one_kind() {
    let mut fleet = Fleet::new(3, 0.7, 1.7);
    fleet.run(10_000.0, 20.0, &Fleet::all());
    let (slow, fast): (Vec<usize>, Vec<usize>) = Fleet::all().iter().partition(|at| *at % 3 == 0);
    for _ in 0..100 {
        fleet.run(600.0, 20.0, &fast);
        fleet.run(600.0, 20.0, &slow);
        assert!(
            fleet.factor(1) < 0.9 && fleet.factor(0) > 1.3,
            "{:?}",
            fleet.speeds.label_factors()
        );
    }
}

/// Guards against a kind that has become as fast as the others and stays marked as slow.
#[test]
fn a_kind_that_recovers_counts_as_usual_again() {
    let mut fleet = Fleet::new(4, 1.0, 1.7);
    fleet.run(30_000.0, 20.0, &Fleet::all());
    assert!(fleet.factor(0) > 1.3);
    fleet.factors = vec![1.0; RUNNERS];
    fleet.run(120_000.0, 20.0, &Fleet::all());
    assert_eq!(fleet.different(), 0);
}

/// Guards against waiting for the end of runs on a runner that has become very slow: the runs in
/// progress already show it.
#[test]
fn overdue_runs_in_progress_show_a_slow_runner() {
    let mut fleet = Fleet::new(5, 1.0, 1.0);
    fleet.run(20_000.0, 20.0, &Fleet::all());
    let runs: Vec<CompletedRun<'_>> = (0..40)
        .map(|number| CompletedRun {
            runner: fleet.keys[9],
            step: StepId { job: JobId(1_000_000 + number), occurrence: 0, step: 0 },
            queue: "q",
            duration_ms: 5_000,
            estimate_ms: 850,
        })
        .collect();
    fleet.speeds.set_runs_in_progress(runs);
    let now_ms = fleet.now_ms as u64;
    fleet.speeds.refresh(now_ms);
    assert!(fleet.factor(9) > 1.3, "{}", fleet.factor(9));
    assert_eq!(fleet.different(), 1);
}

fn timed_step(count: u32, cpu_millis: u64, estimate_ms: u64) -> Step {
    Step { estimate_ms, ..step(count, cpu_millis) }
}

fn job_in(queue: &str, id: u64, step: Step) -> Submission {
    Submission { queue: queue.to_owned(), ..job(id, vec![step]) }
}

/// A harness with twelve runners, every third of which is of kind `y`.
fn harness(config: QueueConfig, millis_x: u64, millis_y: u64) -> Harness {
    let mut harness = Harness::with_config(1, config);
    for index in 0..12 {
        let (kind, millis) = if index % 3 == 0 { ("y", millis_y) } else { ("x", millis_x) };
        let rack = format!("r{}", index / 6);
        harness.add_labelled_runner(&format!("{kind}{index}"), 16_000, &[kind, &rack], millis);
    }
    harness
}

/// One task in thirty takes seven times as long.
fn with_tails(task: TaskId) -> u64 {
    if (task.step.job.0 * 10 + u64::from(task.index)) % 30 == 7 {
        7_000
    } else {
        1_000
    }
}

/// Mixes urgent and long work for half a minute; returns all starts.
fn mixed_load(harness: &mut Harness) -> Vec<StartOrder> {
    let mut starts = Vec::new();
    for round in 0..60 {
        harness.submit(job_in(TIGHT_QUEUE, 1_000 + round, timed_step(10, 2_200, 850)));
        if round % 3 == 0 {
            harness.submit(job_in(AMPLE_QUEUE, 2_000 + round, timed_step(8, 4_500, 3_200)));
        }
        starts.extend(harness.run_tasks(500, with_tails));
    }
    starts
}

fn share_on_fast(starts: &[StartOrder]) -> f64 {
    let fast = starts.iter().filter(|start| start.target.0.starts_with('x')).count();
    fast as f64 / starts.len() as f64
}

/// Guards against speeds that are measured but do not decide where work runs.
#[test]
fn urgent_work_gets_fast_runners_and_long_work_slow_ones() {
    let mut harness = harness(QueueConfig::default(), 700, 1_700);
    mixed_load(&mut harness);
    harness.run_tasks(20_000, |_| 1_000);
    harness.submit(job_in(TIGHT_QUEUE, 1, timed_step(10, 2_200, 850)));
    let urgent = harness.run_tasks(200, |_| 1_000);
    assert_eq!(urgent.len(), 10);
    assert!((share_on_fast(&urgent) - 1.0).abs() < f64::EPSILON, "{}", share_on_fast(&urgent));
    harness.run_tasks(3_000, |_| 1_000);
    harness.submit(job_in(AMPLE_QUEUE, 2, timed_step(10, 4_500, 3_200)));
    let long = harness.run_tasks(200, |_| 1_000);
    assert_eq!(long.len(), 10);
    assert!(share_on_fast(&long) < f64::EPSILON, "{}", share_on_fast(&long));
}

/// Guards against long work that waits although fast runners have room.
#[test]
fn long_work_takes_fast_runners_when_slow_ones_are_full() {
    let mut harness = harness(QueueConfig::default(), 700, 1_700);
    mixed_load(&mut harness);
    harness.run_tasks(20_000, |_| 1_000);
    harness.submit(job_in(AMPLE_QUEUE, 2, timed_step(28, 4_500, 3_200)));
    let long = harness.run_tasks(200, |_| 1_000);
    assert_eq!(long.len(), 28);
}

/// Guards against an advice call of an urgent step that names slow runners first, so that only they are
/// admitted, and of a long step that names fast ones.
#[test]
fn advice_is_requested_about_the_runners_that_suit_the_work() {
    let config = QueueConfig { advice_runners: 4, ..QueueConfig::default() };
    let mut harness = harness(config, 700, 1_700);
    mixed_load(&mut harness);
    harness.run_tasks(20_000, |_| 1_000);
    let policy = AdvicePolicy { base_ms: 10.0, per_runner_ms: 1.0, valid_ms: 2_000 };
    harness.require_advice(policy, 100, 4);
    for (id, queue, initial) in [(1, TIGHT_QUEUE, 'x'), (2, AMPLE_QUEUE, 'y')] {
        harness.actions.clear();
        harness.submit(job_in(queue, id, timed_step(4, 2_200, 850)));
        let named: Vec<String> = harness
            .actions
            .iter()
            .filter_map(|action| match action {
                Action::RequestAdvice { runners, .. } => Some(runners),
                _ => None,
            })
            .flatten()
            .map(|(_, id)| id.to_string())
            .collect();
        assert_eq!(named.len(), 4);
        assert!(named.iter().all(|id| id.starts_with(initial)), "{queue}: {named:?}");
        harness.run_tasks(10_000, |_| 1_000);
    }
}

/// Runner and task of each start, in their order.
fn placement(starts: &[StartOrder]) -> Vec<(String, TaskId, u64)> {
    starts.iter().map(|start| (start.target.0.to_string(), start.task, start.run)).collect()
}

/// Guards against measurements that change the placement of deployments whose runners are alike. The
/// comparison is with a dead zone that no difference exceeds; with uneven runners, placement differs.
#[test]
fn like_runners_are_placed_as_without_measurements() {
    let blind = QueueConfig { speed_dead_zone_millis: u64::MAX, ..QueueConfig::default() };
    let placed = |config: &QueueConfig, millis_y: u64| {
        placement(&mixed_load(&mut harness(config.clone(), 1_000, millis_y)))
    };
    let measured = QueueConfig::default();
    assert_eq!(placed(&measured, 1_000), placed(&blind, 1_000));
    assert_ne!(placed(&measured, 1_700), placed(&blind, 1_700));
}

/// Guards against gangs that are spread over slow runners although fast ones have room.
#[test]
fn an_urgent_gang_gets_fast_runners() {
    let mut harness = harness(QueueConfig::default(), 700, 1_700);
    mixed_load(&mut harness);
    harness.run_tasks(20_000, |_| 1_000);
    let gang = Step { is_gang: true, ..timed_step(10, 2_200, 850) };
    harness.submit(job_in(TIGHT_QUEUE, 1, gang));
    let starts = harness.run_tasks(200, |_| 1_000);
    assert_eq!(starts.len(), 10);
    assert!((share_on_fast(&starts) - 1.0).abs() < f64::EPSILON, "{}", share_on_fast(&starts));
}

/// Guards against long work that fills the fast runners just before the next urgent work arrives.
#[test]
fn long_work_leaves_a_larger_reserve_on_fast_runners() {
    let mut harness = harness(QueueConfig::default(), 700, 1_700);
    mixed_load(&mut harness);
    for round in 0..80 {
        harness.submit(job_in(TIGHT_QUEUE, 5_000 + round, timed_step(10, 2_200, 850)));
        harness.run_tasks(500, |_| 1_000);
    }
    harness.run_tasks(1_000, |_| 1_000);
    // Three tasks fit beside the usual reserve of a tenth of a runner, but not beside a larger one.
    harness.submit(job_in(AMPLE_QUEUE, 2, timed_step(40, 4_800, 3_200)));
    let long = harness.run_tasks(100, |_| 1_000);
    let most_on_fast = count_by_runner(&long, 'x').into_values().max().unwrap_or_default();
    assert!(most_on_fast <= 2, "{most_on_fast} long tasks on a fast runner");
    let most_on_slow = count_by_runner(&long, 'y').into_values().max().unwrap_or_default();
    assert_eq!(most_on_slow, 3);
}

fn count_by_runner(starts: &[StartOrder], initial: char) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for start in starts.iter().filter(|start| start.target.0.starts_with(initial)) {
        *counts.entry(start.target.0.to_string()).or_default() += 1;
    }
    counts
}

/// Guards against measurements of runs whose duration says nothing about the runner: found by a new
/// leader, gangs, and tasks away from their data. With them, all runners of kind `y` would be slow.
#[test]
fn runs_that_depend_on_more_than_the_runner_are_not_measured() {
    for excluded in ["gang", "data", "rack", "long-running"] {
        let mut harness = harness(QueueConfig::default(), 700, 1_700);
        for round in 0..30 {
            let plain = timed_step(10, 2_200, 850);
            let step = match excluded {
                "gang" => Step { is_gang: true, ..plain },
                "data" => Step { data_rack: Some("elsewhere".to_owned()), ..plain },
                "rack" => Step { same_rack: true, ..plain },
                _ => Step { is_long_running: true, ..plain },
            };
            harness.submit(job_in(TIGHT_QUEUE, round, step));
            harness.run_tasks(1_000, |_| 1_000);
        }
        assert_eq!(harness.scheduler.take_speed_factors(), Some(Vec::new()), "{excluded}");
    }
}

/// Task 0 takes seven times as long as its siblings on the runner that gets it first.
fn slow_first(task: TaskId) -> u64 {
    if task.index == 0 && task.step.job == JobId(1) {
        7_000
    } else {
        1_000
    }
}

/// A harness whose runners are known to be uneven and idle, with the starts of a copyable step whose
/// first task is overdue, and the start of the copy.
fn overdue_run(may_copy: bool, factors: (u64, u64)) -> (Harness, Vec<StartOrder>) {
    let mut harness = harness(QueueConfig::default(), factors.0, factors.1);
    mixed_load(&mut harness);
    harness.run_tasks(40_000, |_| 1_000);
    let step = Step { may_copy, ..timed_step(10, 2_200, 850) };
    harness.submit(job_in(TIGHT_QUEUE, 1, step));
    let starts = harness.run_tasks(1_700, slow_first);
    (harness, starts)
}

/// Guards against a job that waits for one overdue run although runners are free, against more than one
/// copy, and against a copy on the runner of the first run.
#[test]
fn an_overdue_run_is_copied_once_to_another_runner() {
    let (mut harness, mut starts) = overdue_run(true, (700, 1_700));
    starts.extend(harness.run_tasks(200, |_| 7_000));
    let of_first: Vec<&StartOrder> = starts.iter().filter(|start| start.task.index == 0).collect();
    assert_eq!((starts.len(), of_first.len()), (11, 2));
    assert_ne!(of_first[0].runner, of_first[1].runner);
    assert!(of_first[1].target.0.starts_with('x'), "{}", of_first[1].target.0);
}

/// Guards against a first run that goes on, and holds its resources, after its copy has ended.
#[test]
fn the_first_run_is_stopped_when_its_copy_ends() {
    let (mut harness, starts) = overdue_run(true, (700, 1_700));
    let first = starts.iter().find(|start| start.task.index == 0).unwrap();
    let copy = starts.iter().rfind(|start| start.task.index == 0).unwrap();
    assert_ne!(first.run, copy.run);
    harness.end(copy, RunEnd::Done);
    assert_eq!(harness.state(1), Some(JobState::Completed));
    let stopped: Vec<u64> = harness.stops().iter().map(|stop| stop.run).collect();
    assert_eq!(stopped, [first.run]);
}

/// Guards against a copy that goes on after the first run has ended.
#[test]
fn the_copy_is_stopped_when_the_first_run_ends() {
    let (mut harness, starts) = overdue_run(true, (700, 1_700));
    let first = starts.iter().find(|start| start.task.index == 0).unwrap();
    let copy = starts.iter().rfind(|start| start.task.index == 0).unwrap();
    assert_ne!(first.run, copy.run);
    harness.end(first, RunEnd::Done);
    assert_eq!(harness.state(1), Some(JobState::Completed));
    let stopped: Vec<u64> = harness.stops().iter().map(|stop| stop.run).collect();
    assert_eq!(stopped, [copy.run]);
}

/// Guards against copies of tasks that must not run twice, and against copies where runners are alike.
#[test]
fn other_overdue_runs_are_not_copied() {
    for (may_copy, factors) in [(false, (700, 1_700)), (true, (1_000, 1_000))] {
        let (mut harness, mut starts) = overdue_run(may_copy, factors);
        starts.extend(harness.run_tasks(2_000, slow_first));
        assert_eq!(starts.len(), 10, "{may_copy} {factors:?}");
    }
}

/// Guards against a task that counts as copied although the limit of its workspace held the copy back.
#[test]
fn a_copy_that_a_limit_holds_back_starts_once_the_limit_allows_it() {
    let limit = |cpu_millis| [("w", 100.0, Resources::new(cpu_millis, u64::MAX, u32::MAX))];
    let mut harness = harness(QueueConfig::default(), 700, 1_700);
    mixed_load(&mut harness);
    harness.run_tasks(40_000, |_| 1_000);
    harness.declare_workspaces(&limit(22_000));
    let step = Step { may_copy: true, ..timed_step(10, 2_200, 850) };
    harness.submit(Submission { workspace: Some("w".into()), ..job_in(TIGHT_QUEUE, 1, step) });
    assert_eq!(harness.run_tasks(1_000, slow_first).len(), 10);
    harness.declare_workspaces(&limit(2_200));
    assert_eq!(harness.run_tasks(1_000, slow_first).len(), 0, "the copy does not fit");
    harness.declare_workspaces(&limit(22_000));
    assert_eq!(harness.run_tasks(500, slow_first).len(), 1);
}
