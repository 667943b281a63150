//! What a placer does while it holds its zone: jobs in, actions out, records kept.

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

/// A holder of the zone.
#[derive(Debug)]
pub(crate) struct ActivePlacer {
    zone: String,
    epoch: u64,
    submit_timeout_ms: u64,
    lease_ms: u64,
    placer: Placer,
    journal: Journal,
    worker_calls: WorkerCalls,
    worker_client: WorkerClient,
    metrics: Metrics,
    teams: Vec<TeamDeclaration>,
    shares: ShareManager,
    share_request: Option<ShareRequest>,
    submit_waiters: HashMap<JobId, Vec<Waiter<SubmitAnswer>>>,
    cancel_waiters: HashMap<JobId, Vec<Waiter<JobView>>>,
    is_fenced: bool,
    is_closing: bool,
    is_store_unavailable: bool,
    actions: Vec<Action>,
}

/// A caller that waits for something to be recorded.
#[derive(Debug)]
struct Waiter<T> {
    reply: Reply<T>,
    until_ms: u64,
}

/// Under which epoch the zone is held and until when the store says so.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseTerm {
    pub(crate) epoch: u64,
    pub(crate) confirmed_until_ms: u64,
}

/// What follows from the end of a journal write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseStatus {
    /// The zone is held.
    Held,
    /// Another holder has taken the journal.
    Superseded,
}

impl ActivePlacer {
    /// Begins to hold the zone with the jobs of a claimed journal.
    pub(crate) fn new(
        config: &PlacerConfig,
        holding: LeaseTerm,
        journal: Journal,
        declarations: Arc<Declarations>,
        worker_client: WorkerClient,
        metrics: Metrics,
    ) -> Self {
        let LeaseTerm { epoch, confirmed_until_ms } = holding;
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

    /// Whether a worker or the journal knows a later holder.
    pub(crate) fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Takes no more jobs; the rest goes on until all is recorded.
    pub(crate) fn close(&mut self) {
        self.is_closing = true;
    }

    /// Whether all is recorded. Calls may be on their way: the next holder reads every worker.
    pub(crate) fn is_flushed(&self) -> bool {
        self.journal.is_flushed()
    }

    /// Takes in one event.
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

    /// Declarations were accepted. Teams hold nothing until their shares were read.
    pub(crate) fn apply_declarations(&mut self, declarations: Arc<Declarations>) {
        self.teams.clone_from(&declarations.teams);
        if !self.teams.is_empty() {
            self.apply_effective_shares();
        }
        self.step(Event::Declared(declarations));
    }

    /// Time passed.
    pub(crate) fn tick(&mut self) {
        self.step(Event::Tick);
        self.worker_calls.poll(clock::now_ms());
        self.expire_waiters();
        self.metrics.jobs.set(i64::try_from(self.journal.len()).unwrap_or(i64::MAX));
    }

    /// Goes on with placing what the last steps left over; returns whether more is left.
    pub(crate) fn continue_placing(&mut self) -> bool {
        if self.placer.has_work(clock::now_ms()) {
            self.step(Event::Tick);
        }
        self.placer.has_work(clock::now_ms())
    }

    /// Whether more calls to workers can go in the next turn.
    pub(crate) fn has_pending_calls(&self) -> bool {
        self.worker_calls.has_ready(clock::now_ms())
    }

    /// Sends the calls that can go; returns the journal's write that is due.
    pub(crate) fn flush(&mut self) -> Option<SlotWrite> {
        for (worker, call) in self.worker_calls.take_due(clock::now_ms()) {
            let Some(known) = self.placer.inventory().worker(worker) else { continue };
            let (worker_name, address) = (known.name.clone(), known.address.clone());
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
