//! A zone of workers around one placer, driven step by step.
#![allow(dead_code, reason = "each test binary uses its own part")]

pub(crate) mod world;

use std::sync::Arc;

use hemlockrock::configs::place::PlaceConfig;
use hemlockrock::declarations::{Declarations, WorkerDeclaration};
use hemlockrock::inventory::WorkerKey;
use hemlockrock::place::message::{
    Attempt, AttemptReport, AttemptState, JobProgress, TaskId, WorkerReport,
};
use hemlockrock::place::spec::{JobSpec, Resources};
use hemlockrock::place::{Action, Event, Placer};

/// Zone of the tests.
pub(crate) const ZONE: &str = "mid-1";

/// A start that the placer asked for.
#[derive(Clone, Debug)]
pub(crate) struct Start {
    /// Worker.
    pub(crate) worker: WorkerKey,
    /// Attempt.
    pub(crate) attempt: Attempt,
    /// Task.
    pub(crate) task: TaskId,
    /// What is reserved.
    pub(crate) reserved: Resources,
}

/// A placer with workers that answer as the test says.
#[derive(Debug)]
pub(crate) struct Cell {
    pub(crate) config: PlaceConfig,
    pub(crate) declared: Arc<Declarations>,
    pub(crate) placer: Placer,
    pub(crate) out: Vec<Action>,
    pub(crate) now_ms: u64,
    pub(crate) epoch: u64,
    jobs: Vec<(String, Arc<JobSpec>)>,
}

/// Declarations of `count` workers, six to a rack.
pub(crate) fn workers(count: usize, capacity: Resources) -> Declarations {
    let worker = |index: usize| WorkerDeclaration {
        name: format!("w{index:04}"),
        zone: ZONE.into(),
        rack: format!("r{}", index / 6),
        cpu_millis: capacity.cpu_millis,
        memory_bytes: capacity.memory_bytes,
        accelerators: capacity.accelerators,
        ..WorkerDeclaration::default()
    };
    Declarations { workers: (0..count).map(worker).collect(), ..Declarations::default() }
}

impl Cell {
    pub(crate) fn new(count: usize, capacity: Resources) -> Self {
        Self::with(workers(count, capacity), PlaceConfig::default())
    }

    pub(crate) fn with(declared: Declarations, config: PlaceConfig) -> Self {
        let mut cell = Self::unread(Arc::new(declared), config, 1);
        cell.step(Event::RestoredAll);
        cell.read_all();
        cell
    }

    fn unread(declared: Arc<Declarations>, config: PlaceConfig, epoch: u64) -> Self {
        let placer = Placer::new(config.clone(), ZONE, 1);
        let (out, jobs) = (Vec::new(), Vec::new());
        let mut cell = Self { config, declared, placer, out, now_ms: 1_000, epoch, jobs };
        cell.step(Event::Declared(Arc::clone(&cell.declared)));
        cell.step(Event::Holding { epoch, confirmed_until_ms: u64::MAX });
        cell
    }

    /// Another placer that takes the zone over; its workers are not yet read.
    pub(crate) fn successor(&self, epoch: u64) -> Self {
        let mut next = Self::unread(Arc::clone(&self.declared), self.config.clone(), epoch);
        next.now_ms = self.now_ms;
        for (id, spec) in &self.jobs {
            let progress = JobProgress::default();
            let spec = Arc::clone(spec);
            next.step(Event::Restored { job_id: id.as_str().into(), spec, progress });
        }
        next.step(Event::RestoredAll);
        next
    }

    pub(crate) fn step(&mut self, event: Event) {
        self.placer.step(event, self.now_ms, &mut self.out);
    }

    pub(crate) fn keys(&self) -> Vec<WorkerKey> {
        self.placer.inventory().workers().map(|(key, _)| key).collect()
    }

    pub(crate) fn submit(&mut self, id: &str, spec: JobSpec) {
        let spec = Arc::new(spec);
        self.jobs.push((id.to_owned(), Arc::clone(&spec)));
        self.step(Event::Submit { job_id: id.into(), spec });
    }

    /// All starts so far.
    pub(crate) fn starts(&self) -> Vec<Start> {
        let start = |action: &Action| match action {
            Action::Start { worker, attempt, task, reserved, .. } => Some(Start {
                worker: *worker,
                attempt: *attempt,
                task: task.clone(),
                reserved: *reserved,
            }),
            _ => None,
        };
        self.out.iter().filter_map(start).collect()
    }

    pub(crate) fn confirm_all(&mut self) {
        for start in self.starts() {
            self.step(Event::Confirmed { attempt: start.attempt });
        }
    }

    /// The report of a worker that has seen the latest barrier and has every start in `state`.
    pub(crate) fn report_of(&self, worker: WorkerKey, state: AttemptState) -> WorkerReport {
        let item = |start: &Start| AttemptReport {
            task: start.task.clone(),
            attempt: start.attempt,
            state,
            reserved: start.reserved,
            usage: Resources::default(),
            age_ms: 0,
        };
        let starts = self.starts();
        let held = starts.iter().filter(|start| start.worker == worker);
        let barrier = Attempt { epoch: self.epoch, counter: u64::MAX };
        WorkerReport { token_ms: self.now_ms, barrier, attempts: held.map(item).collect() }
    }

    pub(crate) fn report_empty(&mut self, worker: WorkerKey) {
        let barrier = Attempt { epoch: self.epoch, counter: u64::MAX };
        let report = WorkerReport { token_ms: self.now_ms, barrier, attempts: Vec::new() };
        self.step(Event::Report { worker, report });
    }

    pub(crate) fn report_all(&mut self, state: AttemptState) {
        for worker in self.keys() {
            let report = self.report_of(worker, state);
            self.step(Event::Report { worker, report });
        }
    }

    /// Reports of all workers with what `other` started.
    pub(crate) fn report_from(&mut self, other: &Self) {
        for worker in self.keys() {
            let mut report = other.report_of(worker, AttemptState::Running);
            report.barrier.epoch = self.epoch;
            self.step(Event::Report { worker, report });
        }
    }

    pub(crate) fn read_all(&mut self) {
        for worker in self.keys() {
            self.report_empty(worker);
        }
    }

    /// Lets time pass in ticks; the workers that `answers` admits report what they run.
    pub(crate) fn pass_time(&mut self, span_ms: u64, answers: impl Fn(WorkerKey) -> bool) {
        let ends_ms = self.now_ms + span_ms;
        while self.now_ms < ends_ms {
            self.now_ms += 100;
            self.step(Event::Tick);
            for worker in self.keys().into_iter().filter(|key| answers(*key)) {
                let report = self.report_of(worker, AttemptState::Running);
                self.step(Event::Report { worker, report });
            }
        }
    }
}
