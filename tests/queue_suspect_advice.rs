//! Tests of suspects whose queue has an admission policy: tickets are requested for the runners on which
//! they may start.

#![allow(clippy::unwrap_used, reason = "tests panic on unexpected values")]

mod queue_support;

use std::collections::{BTreeMap, BTreeSet};

use hemlockrock::queue::model::{AdvicePolicy, RunEnd, RunnerId, Step, Submission, TaskId};
use hemlockrock::queue::scheduler::{Event, StartOrder};
use queue_support::{job, step, Harness, LESS_URGENT_QUEUE};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

/// A policy whose calls take half a second, and whose tickets expire after a few of them.
const SLOW_POLICY: AdvicePolicy =
    AdvicePolicy { base_ms: 494.0, per_runner_ms: 7.02, valid_ms: 2_500 };

/// Number of hosts that can ask for advice.
const HOSTS: usize = 8;

/// Time after the loss of a runner within which its tasks have to start again, in milliseconds: the
/// platform asks for jobs 14 s after the end of the traffic, and lets them run nothing for 3 s.
const RESTART_MS: u64 = 17_000;

/// Interval at which starts are answered, in milliseconds.
const STEP_MS: u64 = 20;

/// Number of the job with long-running tasks.
const LASTING_JOB: u64 = 100;

/// Label of the runners that these tasks may use.
const LASTING_LABEL: &str = "lasting";

/// Duration of the runs that end by themselves, in milliseconds.
const RUN_MS: u64 = 4_000;

/// Age up to which tasks are suspects if their runner is lost, in milliseconds.
const RECENT_MS: u64 = 900;

/// A cell of which one runner is lost.
struct Cell {
    /// Capacities of the runners, in thousandths of a core.
    capacities: Vec<u64>,
    /// Number of runners with a small task that lasts.
    lasting: u32,
    /// Number of the last runners that no such task may use.
    spared: usize,
    /// Numbers of the first runners that the admission policy refuses.
    refused: usize,
    jobs: Vec<Step>,
}

/// Tasks of a job, at most two on each runner.
fn spread(count: u32) -> Step {
    Step { max_per_runner: 2, ..step(count, 500) }
}

/// A harness whose runs end [`RUN_MS`] after their start, unless they are long-running.
struct Play {
    harness: Harness,
    /// Runs in progress, with the time of their end.
    ending: Vec<(u64, StartOrder)>,
}

impl Play {
    /// Advances the time and answers all orders; returns the tasks that have started.
    fn advance(&mut self) -> Vec<TaskId> {
        let harness = &mut self.harness;
        harness.advance(STEP_MS);
        let starts = harness.starts();
        harness.answer_starts(&starts);
        for stop in harness.stops() {
            self.ending.retain(|(_, start)| start.run != stop.run);
            harness.end_stopped_run(&stop);
        }
        let end_ms = harness.now_ms + RUN_MS;
        let is_ending = |start: &&StartOrder| start.task.step.job.0 != LASTING_JOB;
        self.ending.extend(starts.iter().filter(is_ending).map(|start| (end_ms, start.clone())));
        for (end_ms, start) in std::mem::take(&mut self.ending) {
            if harness.now_ms < end_ms {
                self.ending.push((end_ms, start));
            } else {
                harness.end_run(start.runner, start.task, start.run, RunEnd::Done);
            }
        }
        starts.iter().map(|start| start.task).collect()
    }

    /// Runner that has started tasks of the most jobs just now, and their number.
    fn most_recent_starts(&self) -> Option<(RunnerId, usize)> {
        let since_ms = self.harness.now_ms + RUN_MS - RECENT_MS;
        let mut jobs: BTreeMap<RunnerId, BTreeSet<u64>> = BTreeMap::new();
        for (_, start) in self.ending.iter().filter(|(end_ms, _)| *end_ms > since_ms) {
            let started = jobs.entry(RunnerId::clone(&start.target.0)).or_default();
            started.insert(start.task.step.job.0);
        }
        jobs.into_iter().map(|(runner, jobs)| (runner, jobs.len())).max_by_key(|(_, jobs)| *jobs)
    }
}

impl Cell {
    fn random(seed: u64, is_gang: bool) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let runners = rng.random_range(6..=24_usize);
        let capacities = (0..runners).map(|_| 8_000 << rng.random_range(0..3_u32)).collect();
        let refused = rng.random_range(0..=runners / 4);
        let most = u32::try_from(runners - refused).unwrap();
        let jobs = if is_gang {
            let gang = |count| Step { is_gang, max_per_runner: 0, ..spread(count) };
            (0..rng.random_range(1..=3)).map(|_| gang(rng.random_range(2..=6))).collect()
        } else {
            let count = most / 2..=most;
            (0..rng.random_range(1..=8)).map(|_| spread(rng.random_range(count.clone()))).collect()
        };
        // Often none is idle.
        let spared = if rng.random_ratio(1, 2) { rng.random_range(1..=3) } else { 0 };
        let most = u32::try_from(runners - spared).unwrap();
        let lasting = if rng.random_ratio(2, 3) { most } else { rng.random_range(0..=most) };
        Self { capacities, lasting, spared, refused, jobs }
    }

    /// Starts all tasks, loses the runner with most of them at once for good, and returns the tasks of it
    /// that have not started again within [`RESTART_MS`].
    fn tasks_left_after_loss(&self) -> Vec<TaskId> {
        let mut harness = Harness::new(1);
        for (number, capacity) in self.capacities.iter().enumerate() {
            let is_spared = number + self.spared >= self.capacities.len();
            let labels: &[&str] = if is_spared { &[] } else { &[LASTING_LABEL] };
            harness.add_labelled_runner(&format!("r{number}"), *capacity, labels, 1_000);
        }
        harness.require_advice(SLOW_POLICY, 100, HOSTS);
        for number in 0..self.refused {
            harness.refuse_runner(&format!("r{number}"), true);
        }
        let label = Some(LASTING_LABEL.to_owned());
        let lasting =
            Step { is_long_running: true, max_per_runner: 1, label, ..spread(self.lasting) };
        if self.lasting > 0 {
            let lasting = job(LASTING_JOB, vec![lasting]);
            let queue = LESS_URGENT_QUEUE.to_owned();
            harness.handle(Event::JobSubmitted(Submission { queue, ..lasting }));
        }
        let mut play = Play { harness, ending: Vec::new() };
        for _ in 0..2_000 / STEP_MS {
            play.advance();
        }
        for (id, step) in (1..).zip(&self.jobs) {
            play.harness.handle(Event::JobSubmitted(job(id, vec![step.clone()])));
        }
        let mut waiting: u32 = self.jobs.iter().map(|step| step.count).sum();
        let deadline_ms = play.harness.now_ms + 10_000;
        let lost = loop {
            assert!(play.harness.now_ms < deadline_ms, "not all tasks have started");
            waiting -= u32::try_from(play.advance().len()).unwrap();
            if let Some((runner, jobs)) = play.most_recent_starts() {
                if jobs == self.jobs.len() || waiting == 0 {
                    break runner;
                }
            }
        };
        let runs = play.harness.runs();
        // There may be no other runner for the task that lasts.
        let is_lost = |id: &RunnerId, task: &TaskId| *id == lost && task.step.job.0 != LASTING_JOB;
        let lost_runs = runs.iter().filter(|(id, task, _)| is_lost(id, task));
        let mut left: Vec<TaskId> = lost_runs.map(|(_, task, _)| *task).collect();
        // The other members of a gang end only together with those that are lost.
        let is_broken = |start: &StartOrder| {
            let is_gang = self.jobs[start.task.step.job.0 as usize - 1].is_gang;
            is_gang && left.iter().any(|task| task.step == start.task.step)
        };
        play.ending.retain(|(_, start)| start.target.0 != lost && !is_broken(start));
        play.harness.cut_off_runner(&lost);
        play.harness.unlist_runner(&lost);
        let deadline_ms = play.harness.now_ms + RESTART_MS;
        while play.harness.now_ms < deadline_ms && !left.is_empty() {
            let started = play.advance();
            left.retain(|task| !started.contains(task));
        }
        left
    }
}

/// Number of random cells of each test, unless `SUSPECT_CELLS` is set.
const CELLS: u64 = 150;

/// Checks random cells, and reports all that leave tasks waiting.
fn check_random_cells(is_gang: bool) {
    let cells = std::env::var("SUSPECT_CELLS").ok().and_then(|text| text.parse().ok());
    let mut failed = Vec::new();
    for seed in 0..cells.unwrap_or(CELLS) {
        let left = Cell::random(seed, is_gang).tasks_left_after_loss();
        if !left.is_empty() {
            failed.push((seed, left));
        }
    }
    assert!(failed.is_empty(), "tasks that wait in {} cells: {failed:?}", failed.len());
}

// Guards against jobs that never go on: their suspects asked for tickets of runners that they might not
// use, and kept the others reserved.
#[test]
fn suspects_of_several_jobs_start_again_while_no_runner_is_idle() {
    let jobs = vec![spread(12); 6];
    let cell = Cell { capacities: vec![32_000; 12], lasting: 12, spared: 0, refused: 0, jobs };
    let left = cell.tasks_left_after_loss();
    assert!(left.is_empty(), "tasks that wait: {left:?}");
}

// Guards against the same in cells of other sizes, with runners that are idle or refused.
#[test]
fn suspects_start_again_soon_in_random_cells() {
    check_random_cells(false);
}

// Guards against a gang that never goes on: it wanted an idle runner that the requests did not name, since
// others had more room.
#[test]
fn a_gang_starts_again_on_an_idle_runner_with_little_room() {
    let mut capacities = vec![32_000; 7];
    capacities.push(16_000);
    let gang = Step { is_gang: true, max_per_runner: 0, ..spread(3) };
    let cell = Cell { capacities, lasting: 7, spared: 1, refused: 0, jobs: vec![gang] };
    let left = cell.tasks_left_after_loss();
    assert!(left.is_empty(), "tasks that wait: {left:?}");
}

// Guards against a gang that never goes on: each of its suspects wanted a runner of its own, and there
// were fewer.
#[test]
fn a_gang_with_more_suspects_than_runners_starts_again() {
    let gang = Step { is_gang: true, max_per_runner: 0, ..spread(6) };
    let capacities = vec![8_000, 8_000, 8_000, 32_000];
    let cell = Cell { capacities, lasting: 0, spared: 0, refused: 0, jobs: vec![gang] };
    let left = cell.tasks_left_after_loss();
    assert!(left.is_empty(), "tasks that wait: {left:?}");
}

// Guards against both in random cells, with runners that are idle or refused.
#[test]
fn gangs_start_again_soon_in_random_cells() {
    check_random_cells(true);
}
