//! A simulated zone whose workers have all reported, and random task sizes, for benchmarks.

use std::sync::Arc;

use hemlockrock::configs::place::{PlaceConfig, Policy};
use hemlockrock::declarations::{Declarations, WorkerDeclaration};
use hemlockrock::inventory::WorkerKey;
use hemlockrock::place::message::{Attempt, WorkerReport};
use hemlockrock::place::spec::{JobSpec, Resources};
use hemlockrock::place::{Action, Event, Placer};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

pub(crate) const GIB: u64 = 1 << 30;

/// Capacity of the worker with this index, as in the Trentvale cell; one worker in eight has
/// accelerators.
pub(crate) fn capacity(index: usize) -> Resources {
    let accelerators = if index % 8 == 0 { 8 } else { 0 };
    Resources::new(32_000, 64 * GIB, accelerators)
}

/// Declarations of `workers` workers in racks of six.
pub(crate) fn declared(workers: usize) -> Declarations {
    let worker = |index: usize| {
        let capacity = capacity(index);
        WorkerDeclaration {
            name: format!("w{index:04}"),
            zone: "mid-1".into(),
            rack: format!("r{}", index / 6),
            cpu_millis: capacity.cpu_millis,
            memory_bytes: capacity.memory_bytes,
            accelerators: capacity.accelerators,
            ..WorkerDeclaration::default()
        }
    };
    Declarations { workers: (0..workers).map(worker).collect(), ..Declarations::default() }
}

/// A placer that holds the zone lease and has a report from each worker.
pub(crate) struct Zone {
    pub(crate) placer: Placer,
    /// Actions of the last steps; callers clear it.
    pub(crate) out: Vec<Action>,
    pub(crate) now_ms: u64,
    /// Number of submitted jobs.
    jobs: u64,
}

impl Zone {
    pub(crate) fn new(workers: usize, policy: Policy, seed: u64) -> Self {
        let config = PlaceConfig { policy, silent_after_ms: u64::MAX, ..PlaceConfig::default() };
        let placer = Placer::new(config, "mid-1", seed);
        let mut zone = Self { placer, out: Vec::new(), now_ms: 1, jobs: 0 };
        zone.step(Event::Declared(Arc::new(declared(workers))));
        zone.step(Event::Holding { epoch: 1, confirmed_until_ms: u64::MAX });
        zone.step(Event::RestoredAll);
        let keys: Vec<WorkerKey> = zone.placer.inventory().workers().map(|(key, _)| key).collect();
        let barrier = Attempt { epoch: 1, counter: u64::MAX };
        for worker in keys {
            let report = WorkerReport { token_ms: 1, barrier, attempts: Vec::new() };
            zone.step(Event::Report { worker, report });
        }
        zone.out.clear();
        zone
    }

    pub(crate) fn step(&mut self, event: Event) {
        self.placer.step(event, self.now_ms, &mut self.out);
    }

    /// Submits a job and returns the attempts that the placer started in the same step.
    pub(crate) fn submit(&mut self, spec: JobSpec) -> Vec<Attempt> {
        self.jobs += 1;
        self.out.clear();
        let job_id = format!("j{}", self.jobs).as_str().into();
        self.step(Event::Submit { job_id, spec: Arc::new(spec) });
        self.started()
    }

    /// Attempts that the actions in `out` start.
    pub(crate) fn started(&self) -> Vec<Attempt> {
        let attempt = |action: &Action| match action {
            Action::Start { attempt, .. } => Some(*attempt),
            _ => None,
        };
        self.out.iter().filter_map(attempt).collect()
    }
}

/// Random task sizes with a heavy tail: a mix of processor-heavy, memory-heavy, balanced and
/// accelerator tasks.
pub(crate) struct TaskSizes {
    random: SmallRng,
    memory_factor: f64,
    largest_millis: f64,
}

impl TaskSizes {
    pub(crate) fn new(seed: u64) -> Self {
        Self::with_mix(seed, 1.0, 16_000.0)
    }

    /// Creates sizes with `memory_factor` times the usual memory, and at most `largest_millis`
    /// millicores.
    pub(crate) fn with_mix(seed: u64, memory_factor: f64, largest_millis: f64) -> Self {
        Self { random: SmallRng::seed_from_u64(seed), memory_factor, largest_millis }
    }

    /// A uniform draw from 0 to 1.
    pub(crate) fn unit(&mut self) -> f64 {
        self.random.random_range(0.0..1.0)
    }

    /// A draw from a Pareto distribution bounded to `least` and `most`.
    pub(crate) fn pareto(&mut self, least: f64, most: f64, shape: f64) -> f64 {
        let (low, high) = (least.powf(shape), most.powf(shape));
        let unit = self.unit();
        (-(unit * high - unit * low - high) / (high * low)).powf(-1.0 / shape)
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "sizes are small")]
    pub(crate) fn next(&mut self) -> Resources {
        let cpu_millis = self.pareto(250.0, self.largest_millis, 1.1);
        let kind = self.unit();
        let gib_per_core = match kind {
            kind if kind < 0.40 => 0.5 + self.unit(),
            kind if kind < 0.65 => 4.0 + 4.0 * self.unit(),
            _ => 1.5 + self.unit(),
        };
        let memory_gib = (cpu_millis / 1_000.0 * gib_per_core * self.memory_factor)
            .clamp(0.125, self.largest_millis / 500.0);
        let accelerators = if kind > 0.995 { 1 << (self.unit() * 3.0) as u32 } else { 0 };
        let memory_bytes = (memory_gib * 1024.0) as u64 * (1 << 20);
        Resources::new(cpu_millis as u64 / 50 * 50, memory_bytes, accelerators)
    }
}
