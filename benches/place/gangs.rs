//! Wait times of gangs of 1 to 64 tasks among batch tasks at high load, and the capacity held idle
//! for them.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::{self, Write};
use std::sync::Arc;

use hdrhistogram::Histogram;
use hemlockrock::collections::HashMap;
use hemlockrock::configs::place::Policy;
use hemlockrock::place::message::{Attempt, End, JobId};
use hemlockrock::place::spec::{JobKind, JobSpec, Resources};
use hemlockrock::place::{Action, Event};

use super::cell::{TaskSizes, Zone, GIB};

const WORKERS: usize = 50;
const STEP_MS: u64 = 100;
/// Simulated time of one run.
const RUN_MS: u64 = 600_000;
/// Time at which arrivals end. Gangs that still wait at the end of the run count with their wait
/// until then.
const ARRIVALS_MS: u64 = 480_000;
/// Offered load as a share of the capacity: a normal load, and a peak at which batch tasks alone
/// would fill every gap.
const LOADS: [f64; 2] = [0.9, 1.3];
/// Part of the offered load that gangs contribute.
const GANG_LOAD: f64 = 0.2;
/// Mean run time of the batch tasks.
const BATCH_SECONDS: f64 = 10.0;
/// Mean run time of the gangs.
const GANG_SECONDS: f64 = 20.0;
/// Processor request of each task of a gang, in millicores.
const GANG_MILLIS: u64 = 8_000;

/// Results of one run.
#[derive(Default)]
struct Waits {
    /// Wait times of gangs until their last task started, in milliseconds.
    gangs: Vec<u64>,
    /// Wait times of batch tasks, in milliseconds.
    batch: Vec<u64>,
    /// Gangs that still wait at the end.
    left: usize,
    /// Mean share of the processor capacity that is reserved.
    used_share: f64,
    /// Mean share of the processor capacity that is held idle for gangs.
    idle_share: f64,
}

/// A job with tasks that have not started.
struct Pending {
    submitted_at_ms: u64,
    is_gang: bool,
    /// Number of tasks that have not started.
    waiting: u32,
    run_ms: u64,
}

struct Simulation {
    zone: Zone,
    draws: TaskSizes,
    pending: HashMap<JobId, Pending>,
    /// Running attempts by the time at which they end.
    ends: BinaryHeap<Reverse<(u64, Attempt)>>,
    waits: Waits,
    jobs: u64,
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "times and counts are small"
)]
impl Simulation {
    fn new(policy: Policy, seed: u64) -> Self {
        Self {
            zone: Zone::new(WORKERS, policy, seed),
            draws: TaskSizes::new(seed),
            pending: HashMap::default(),
            ends: BinaryHeap::new(),
            waits: Waits::default(),
            jobs: 0,
        }
    }

    /// Submits a batch task or a gang whose declared run time is up to three times too long or too
    /// short.
    fn submit(&mut self, is_gang: bool) {
        self.jobs += 1;
        let class = (self.draws.unit() * 4.0) as u32;
        let mean_s = if is_gang { GANG_SECONDS } else { BATCH_SECONDS };
        let scale = [0.2, 0.5, 1.0, 2.3][class as usize];
        let run_ms = (mean_s * scale * (0.5 + self.draws.unit()) * 1_000.0) as u64;
        let error_factor = 3.0_f64.powf(self.draws.unit() * 2.0 - 1.0);
        let tasks = if is_gang { 64.0_f64.powf(self.draws.unit()).round() as u32 } else { 1 };
        let cpu_millis =
            if is_gang { GANG_MILLIS } else { self.draws.pareto(250.0, 8_000.0, 1.1) as u64 };
        let size = Resources::new(cpu_millis, cpu_millis * 3 / 2 * GIB / 1_000, 0);
        let mut spec = JobSpec::new("range", tasks).with_resources(size);
        spec.kind = if is_gang { JobKind::Gang } else { JobKind::Batch };
        spec.expected_ms = (run_ms as f64 * error_factor) as u64;
        spec.name = format!("{is_gang}-{class}");
        let job_id: JobId = format!("j{}", self.jobs).as_str().into();
        let submitted_at_ms = self.zone.now_ms;
        let pending = Pending { submitted_at_ms, is_gang, waiting: tasks, run_ms };
        self.pending.insert(Arc::clone(&job_id), pending);
        self.zone.step(Event::Submit { job_id, spec: Arc::new(spec) });
    }

    fn step(&mut self) {
        self.zone.now_ms += STEP_MS;
        let now_ms = self.zone.now_ms;
        while self.ends.peek().is_some_and(|Reverse((at_ms, _))| *at_ms <= now_ms) {
            let Some(Reverse((_, attempt))) = self.ends.pop() else { break };
            self.zone.step(Event::Ended { attempt, end: End::Finished });
        }
        self.zone.step(Event::Tick);
        while self.zone.placer.has_work(now_ms) {
            self.zone.step(Event::Tick);
        }
        for action in std::mem::take(&mut self.zone.out) {
            match action {
                Action::Start { attempt, task, .. } => self.started(attempt, &task.job_id),
                Action::Record { job_id, progress } => {
                    let version = progress.version;
                    self.zone.step(Event::Recorded { job_id, version });
                }
                _ => {}
            }
        }
        self.zone.out.clear();
    }

    fn started(&mut self, attempt: Attempt, job_id: &JobId) {
        let now_ms = self.zone.now_ms;
        self.zone.step(Event::Confirmed { attempt });
        let Some(job) = self.pending.get_mut(job_id) else { return };
        self.ends.push(Reverse((now_ms + job.run_ms, attempt)));
        job.waiting -= 1;
        if job.waiting == 0 {
            let waited_ms = now_ms - job.submitted_at_ms;
            let waits = if job.is_gang { &mut self.waits.gangs } else { &mut self.waits.batch };
            waits.push(waited_ms);
            self.pending.remove(job_id);
        }
    }

    fn run(mut self, load: f64) -> Waits {
        let capacity_cores = (WORKERS * 32) as f64;
        // Means of the random draws in `submit`: processor request in cores, tasks in a gang.
        let batch_cores = 0.79;
        let gang_tasks = 15.2;
        let batch_rate = (load - GANG_LOAD) * capacity_cores / (batch_cores * BATCH_SECONDS);
        let gang_rate =
            GANG_LOAD * capacity_cores / (gang_tasks * GANG_MILLIS as f64 / 1_000.0 * GANG_SECONDS);
        let (mut batch_due, mut gang_due) = (0.0, 0.0);
        let mut steps = 0.0;
        while self.zone.now_ms < RUN_MS {
            if self.zone.now_ms < ARRIVALS_MS {
                batch_due += batch_rate * STEP_MS as f64 / 1_000.0;
                gang_due += gang_rate * STEP_MS as f64 / 1_000.0;
            }
            while batch_due >= 1.0 {
                batch_due -= 1.0;
                self.submit(false);
            }
            while gang_due >= 1.0 {
                gang_due -= 1.0;
                self.submit(true);
            }
            self.step();
            if (60_000..ARRIVALS_MS).contains(&self.zone.now_ms) {
                let stats = self.zone.placer.stats();
                let share = |part: Resources| {
                    part.cpu_millis as f64 / stats.capacity.cpu_millis.max(1) as f64
                };
                self.waits.used_share += share(stats.reserved);
                // Idle capacity is held back from batch tasks only while some of them wait.
                if self.pending.values().any(|job| !job.is_gang) {
                    self.waits.idle_share += share(stats.claimed);
                }
                steps += 1.0;
            }
        }
        self.waits.used_share /= steps;
        self.waits.idle_share /= steps;
        self.waits.left = self.pending.values().filter(|job| job.is_gang).count();
        let now_ms = self.zone.now_ms;
        let left = self.pending.values().filter(|job| job.is_gang);
        self.waits.gangs.extend(left.map(|job| now_ms - job.submitted_at_ms));
        self.waits
    }
}

fn seconds(waits: &[u64], quantile: f64) -> f64 {
    let mut histogram = Histogram::<u64>::new(3).expect("a histogram of three digits");
    waits.iter().for_each(|wait_ms| histogram.saturating_record(*wait_ms));
    #[allow(clippy::cast_precision_loss, reason = "waits are short")]
    let ms = histogram.value_at_quantile(quantile) as f64;
    ms / 1_000.0
}

pub(crate) fn run(out: &mut impl Write, seeds: u64) -> io::Result<()> {
    writeln!(out, "gangs: {WORKERS} workers, offered load of gangs {GANG_LOAD}")?;
    writeln!(
        out,
        "policy    load  seed  used   held_idle  gangs  left  gang_p50_s  gang_p99_s  gang_max_s  batch_p50_s  batch_p99_s"
    )?;
    let runs = LOADS.iter().flat_map(|load| [Policy::FirstFit, Policy::Full].map(|p| (*load, p)));
    for (load, policy) in runs {
        for seed in 1..=seeds {
            let waits = Simulation::new(policy, seed).run(load);
            writeln!(
                out,
                "{:<8}  {load:>4}  {seed:>4}  {:.3}  {:>9.4}  {:>5}  {:>4}  {:>10.1}  {:>10.1}  {:>10.1}  {:>11.1}  {:>11.1}",
                format!("{policy:?}"),
                waits.used_share,
                waits.idle_share,
                waits.gangs.len(),
                waits.left,
                seconds(&waits.gangs, 0.5),
                seconds(&waits.gangs, 0.99),
                seconds(&waits.gangs, 1.0),
                seconds(&waits.batch, 0.5),
                seconds(&waits.batch, 0.99),
            )?;
        }
    }
    Ok(())
}
