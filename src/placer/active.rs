//! State and logic of a placer while it holds the zone lease.
//!
//! Passes events to the placement state machine, carries out its actions by calls to workers, and
//! keeps the job records in the journal.

mod quotas;
mod requests;
mod results;

use std::sync::Arc;

use crate::clock;
use crate::collections::HashMap;
use crate::configs::placer::PlacerConfig;
use crate::declarations::{Declarations, TeamDeclaration};
use crate::jobs::api::{JobView, SubmitAnswer};
use crate::jobs::journal::{Journal, SlotWrite};
use crate::jobs::record::JobRecord;
use crate::place::message::{JobId, JobProgress};
use crate::place::{Action, Event, Placer};
use crate::placer::message::Reply;
use crate::placer::metrics::Metrics;
use crate::placer::shares::{ShareManager, ShareRequest};
use crate::placer::wire::{Start, Stop, WorkerCall};
use crate::placer::worker_calls::{WorkerCalls, WorkerClient};

/// Placer that holds the zone lease.
#[derive(Debug)]
pub(crate) struct ActivePlacer {
    zone: String,
    epoch: u64,
    submit_timeout_ms: u64,
    /// Duration of a task lease, in milliseconds.
    lease_ms: u64,
    placer: Placer,
    journal: Journal,
    worker_calls: WorkerCalls,
    worker_client: WorkerClient,
    metrics: Metrics,
    teams: Vec<TeamDeclaration>,
    shares: ShareManager,
    /// Store request for the quota record that is to be issued next.
    share_request: Option<ShareRequest>,
    submit_waiters: HashMap<JobId, Vec<Waiter<SubmitAnswer>>>,
    cancel_waiters: HashMap<JobId, Vec<Waiter<JobView>>>,
    /// Whether a worker or the journal has seen a higher epoch.
    is_fenced: bool,
    /// Whether new jobs are refused because the placer drains.
    is_closing: bool,
    /// Whether the last journal write failed, so that an outage is logged only once.
    is_store_unavailable: bool,
    /// Reused buffer for the actions of one step.
    actions: Vec<Action>,
}

/// A caller that waits until a record is stored, or until the deadline.
#[derive(Debug)]
struct Waiter<T> {
    reply: Reply<T>,
    deadline_ms: u64,
}

/// Epoch of a zone lease, and the time until which the store has confirmed the lease, in
/// milliseconds on the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseTerm {
    pub(crate) epoch: u64,
    pub(crate) confirmed_until_ms: u64,
}

/// Whether this placer still holds the zone after a journal write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseStatus {
    /// The zone is still held.
    Held,
    /// A holder with a higher epoch has claimed the journal.
    Superseded,
}

impl ActivePlacer {
    /// Becomes active with the jobs of a journal that was claimed under the epoch of `term`.
    pub(crate) fn new(
        config: &PlacerConfig,
        term: LeaseTerm,
        journal: Journal,
        declarations: Arc<Declarations>,
        worker_client: WorkerClient,
        metrics: Metrics,
    ) -> Self {
        let LeaseTerm { epoch, confirmed_until_ms } = term;
        let mut active = Self {
            zone: config.zone.clone(),
            epoch,
            submit_timeout_ms: config.submit_timeout_ms,
            lease_ms: config.place.task_lease_ms,
            placer: Placer::new(config.place.clone(), config.zone.as_str(), epoch),
            journal,
            worker_calls: WorkerCalls::default(),
            worker_client,
            metrics,
            teams: Vec::new(),
            shares: ShareManager::new(config.zone.as_str(), config.quota.clone()),
            share_request: None,
            submit_waiters: HashMap::default(),
            cancel_waiters: HashMap::default(),
            is_fenced: false,
            is_closing: false,
            is_store_unavailable: false,
            actions: Vec::new(),
        };
        active.apply_declarations(declarations);
        active.step(Event::Holding { epoch, confirmed_until_ms });
        for record in active.journal.records().into_iter().filter(|record| !record.is_ended()) {
            let JobRecord { id, spec, progress, .. } = record;
            active.step(Event::Restored { job_id: id, spec, progress });
        }
        active.step(Event::RestoredAll);
        active
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether a worker or the journal has seen a higher epoch.
    pub(crate) fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Accepts no new jobs from now on; everything else continues until all records are stored.
    pub(crate) fn close(&mut self) {
        self.is_closing = true;
    }

    /// Whether all job records are stored. Calls to workers may still be in flight: the next holder
    /// reads the state of every worker.
    pub(crate) fn is_flushed(&self) -> bool {
        self.journal.is_flushed()
    }

    /// Processes one event and carries out the resulting actions.
    pub(crate) fn step(&mut self, event: Event) {
        let timer = self.metrics.decision_seconds.start_timer();
        self.placer.step(event, clock::now_ms(), &mut self.actions);
        timer.observe_duration();
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
    }

    /// Applies new declarations. Teams have no quota shares until the quota record was read.
    pub(crate) fn apply_declarations(&mut self, declarations: Arc<Declarations>) {
        self.teams.clone_from(&declarations.teams);
        if !self.teams.is_empty() {
            self.apply_effective_shares();
        }
        self.step(Event::Declared(declarations));
    }

    /// Runs the periodic work: a tick of the placement state machine, polls of workers, expiry of
    /// waiting callers, and the job count metric.
    pub(crate) fn tick(&mut self) {
        self.step(Event::Tick);
        self.worker_calls.poll(clock::now_ms());
        self.expire_waiters();
        self.metrics.jobs.set(i64::try_from(self.journal.len()).unwrap_or(i64::MAX));
    }

    /// Continues placement that the last step cut short; returns whether work is left.
    pub(crate) fn continue_placing(&mut self) -> bool {
        if self.placer.has_work(clock::now_ms()) {
            self.step(Event::Tick);
        }
        self.placer.has_work(clock::now_ms())
    }

    /// Whether calls to workers can be sent in the next turn of the control thread.
    pub(crate) fn has_pending_calls(&self) -> bool {
        self.worker_calls.has_ready(clock::now_ms())
    }

    /// Sends the calls to workers that are due; returns the journal write that is due, if any.
    pub(crate) fn flush(&mut self) -> Option<SlotWrite> {
        for (worker, call) in self.worker_calls.take_due(clock::now_ms()) {
            let Some(declared) = self.placer.inventory().worker(worker) else { continue };
            let (worker_name, address) = (declared.name.clone(), declared.address.clone());
            let call = WorkerCall {
                worker: worker_name,
                epoch: self.epoch,
                lease_ms: self.lease_ms,
                ..call
            };
            self.metrics.starts.inc_by(call.starts.len() as u64);
            self.worker_client.send(address, worker, call);
        }
        let write = self.journal.next_write(clock::now_ms())?;
        self.metrics.record_writes.inc();
        self.metrics.record_bytes.inc_by(write.value.len() as u64);
        Some(write)
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Start { worker, attempt, task, reserved, token_ms, .. } => {
                let record = self.journal.get(&task.job_id);
                let command = record.map(|record| record.command.to_vec()).unwrap_or_default();
                let start = Start { attempt, task, reserved, token_ms, command };
                self.worker_calls.outbox(worker).starts.push(start);
            }
            Action::Stop { worker, attempt, mode } => {
                let outbox = self.worker_calls.outbox(worker);
                outbox.stops.push(Stop { attempt, mode });
                outbox.wants_report = true;
            }
            Action::Read { worker, barrier } => {
                let outbox = self.worker_calls.outbox(worker);
                outbox.barrier = outbox.barrier.max(Some(barrier));
                outbox.wants_report = true;
            }
            Action::Renew { worker, token_ms } => {
                let outbox = self.worker_calls.outbox(worker);
                outbox.renew_token_ms = outbox.renew_token_ms.max(Some(token_ms));
                outbox.wants_report = true;
            }
            Action::Forget { worker, attempts } => {
                self.worker_calls.outbox(worker).forget.extend(attempts);
            }
            Action::JobState { .. } => {}
            Action::Record { job_id, progress } => self.record_progress(&job_id, progress),
        }
    }

    fn record_progress(&mut self, job_id: &JobId, progress: JobProgress) {
        let Some(record) = self.journal.get(job_id) else { return };
        let mut record = record.clone();
        if progress.ended.is_some() && record.ended_at_ms == 0 {
            record.ended_at_ms = clock::unix_ms();
        }
        record.progress = progress;
        self.journal.put(record);
    }
}
