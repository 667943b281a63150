//! The control thread of a placer: processes messages, makes decisions and passes I/O to async
//! tasks.

use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::sync::Arc;
use std::time::Duration;

use async_std::task;

use crate::clock;
use crate::configs::placer::PlacerConfig;
use crate::declarations::feed::AcceptedDeclarations;
use crate::jobs::journal::{Journal, JournalError, SlotWrite, WriteConflict};
use crate::place::Event;
use crate::placer::active::{ActivePlacer, LeaseStatus, LeaseTerm};
use crate::placer::message::{Message, RequestError, WriteResult};
use crate::placer::metrics::Metrics;
use crate::placer::shares::{self, ShareRequest};
use crate::placer::worker_calls::WorkerClient;
use crate::placer::zone_lease::ZoneEvent;
use crate::store::{self, Priority, Put, PutOutcome, Store, StoreError};

/// Delay before the journal is read or a write is issued again after a failure, in milliseconds.
const RETRY_MS: u64 = 200;

/// Longest time between turns while calls to workers are queued, in milliseconds.
const PENDING_CALLS_PAUSE_MS: u64 = 5;

/// Most messages that are processed before calls and journal writes are sent.
const MAX_MESSAGES_PER_TURN: usize = 256;

/// State of the control thread.
pub(crate) struct Control {
    config: PlacerConfig,
    store: Arc<dyn Store>,
    worker_client: WorkerClient,
    metrics: Metrics,
    /// Latest accepted declarations.
    declared: Arc<AcceptedDeclarations>,
    messages: Sender<Message>,
    /// Set while this placer holds the zone and its journal.
    active: Option<ActivePlacer>,
    takeover: Option<Takeover>,
    /// Receives the held epoch once a requested drain has finished.
    drain_reply: Option<async_channel::Sender<Option<u64>>>,
    next_tick_ms: u64,
    /// Whether the last placement step was cut short and continues without a wait.
    has_work: bool,
    /// Whether calls to workers are queued for the next turn.
    has_pending_calls: bool,
}

/// A takeover in progress: the zone lease is held, and the journal is being read and claimed under
/// the new epoch.
struct Takeover {
    epoch: u64,
    confirmed_until_ms: u64,
    journal: Option<Journal>,
}

impl Control {
    pub(crate) fn new(
        config: PlacerConfig,
        store: Arc<dyn Store>,
        worker_client: WorkerClient,
        metrics: Metrics,
        messages: Sender<Message>,
    ) -> Self {
        Self {
            config,
            store,
            worker_client,
            metrics,
            declared: Arc::default(),
            messages,
            active: None,
            takeover: None,
            drain_reply: None,
            next_tick_ms: 0,
            has_work: false,
            has_pending_calls: false,
        }
    }

    /// Processes messages until [`Message::Stop`].
    #[allow(clippy::needless_pass_by_value, reason = "the thread owns its receiver")]
    pub(crate) fn run(mut self, inbox: Receiver<Message>) {
        loop {
            let wait_ms = match self.has_work {
                true => 0,
                false if self.has_pending_calls => PENDING_CALLS_PAUSE_MS,
                false => self.next_tick_ms.saturating_sub(clock::now_ms()),
            };
            match inbox.recv_timeout(Duration::from_millis(wait_ms)) {
                Ok(Message::Stop) | Err(RecvTimeoutError::Disconnected) => break,
                Ok(message) => self.handle(message),
                Err(RecvTimeoutError::Timeout) => {}
            }
            for message in inbox.try_iter().take(MAX_MESSAGES_PER_TURN) {
                if matches!(message, Message::Stop) {
                    return self.end();
                }
                self.handle(message);
            }
            self.finish_turn();
        }
        self.end();
    }

    /// Runs due ticks, placement, calls and writes after a batch of messages.
    fn finish_turn(&mut self) {
        let is_due = clock::now_ms() >= self.next_tick_ms;
        if is_due {
            self.next_tick_ms = clock::now_ms() + self.config.tick_ms;
        }
        let is_taking_over = self.takeover.is_some();
        self.has_work = false;
        self.has_pending_calls = false;
        if let Some(active) = &mut self.active {
            if is_due {
                active.tick();
            }
            self.has_work = active.continue_placing();
            let write = active.flush();
            self.has_pending_calls = active.has_pending_calls();
            let share_request = active.take_share_request();
            let (epoch, is_fenced) = (active.epoch(), active.is_fenced());
            if let Some(request) = share_request {
                self.spawn_share_request(epoch, request);
            }
            if let Some(write) = write {
                self.spawn_journal_write(epoch, write);
            }
            if is_fenced && !is_taking_over {
                self.step_down();
            }
        }
        self.finish_drain();
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Declared(accepted) => self.apply_declarations(accepted),
            Message::Zone(event) => self.handle_zone_event(event),
            Message::JournalRead { epoch, result } => self.journal_read(epoch, result),
            Message::JournalWritten { epoch, result } => self.journal_write_ended(epoch, result),
            Message::QuotaRead { epoch, result } => {
                if let Some(active) = self.active_of(epoch) {
                    active.quota_read_ended(result);
                }
            }
            Message::QuotaWritten { epoch, result } => {
                if let Some(active) = self.active_of(epoch) {
                    active.quota_write_ended(&result);
                }
            }
            Message::CallCompleted(completed) => {
                if let Some(active) = self.active_of(completed.epoch) {
                    active.worker_call_ended(*completed);
                }
            }
            Message::Request(request) => match &mut self.active {
                Some(active) if !active.is_fenced() => active.handle_request(request),
                _ => request.refuse(RequestError::NotActive),
            },
            Message::Drain(reply) => {
                if let Some(active) = &mut self.active {
                    active.close();
                }
                self.drain_reply = Some(reply);
            }
            Message::Stop => {}
        }
    }

    fn active_of(&mut self, epoch: u64) -> Option<&mut ActivePlacer> {
        self.active.as_mut().filter(|active| active.epoch() == epoch)
    }

    fn apply_declarations(&mut self, accepted: Arc<AcceptedDeclarations>) {
        if let Some(active) = &mut self.active {
            active.apply_declarations(Arc::new(accepted.declarations.clone()));
        }
        self.declared = accepted;
    }

    fn handle_zone_event(&mut self, event: ZoneEvent) {
        match event {
            ZoneEvent::Acquired { epoch, confirmed_until_ms } => {
                spdlog::info!("zone lease acquired; reading the job journal", kv: { zone = self.config.zone.as_str(), epoch });
                self.takeover = Some(Takeover { epoch, confirmed_until_ms, journal: None });
                self.spawn_journal_read(epoch, 0);
            }
            ZoneEvent::Confirmed { epoch, confirmed_until_ms } => {
                if let Some(takeover) =
                    self.takeover.as_mut().filter(|takeover| takeover.epoch == epoch)
                {
                    takeover.confirmed_until_ms = confirmed_until_ms;
                }
                if let Some(active) = self.active_of(epoch) {
                    active.step(Event::Holding { epoch, confirmed_until_ms });
                }
            }
            ZoneEvent::Lost { epoch } => {
                if self.takeover.as_ref().is_some_and(|takeover| takeover.epoch == epoch) {
                    self.takeover = None;
                }
                if self.active_of(epoch).is_some() {
                    self.step_down();
                }
            }
        }
    }

    /// Opens the journal that was read, and claims it under the epoch of the takeover.
    fn journal_read(&mut self, epoch: u64, result: Result<Vec<store::Entry>, StoreError>) {
        let Some(takeover) = self.takeover.as_mut().filter(|takeover| takeover.epoch == epoch)
        else {
            return;
        };
        let entries = match result {
            Ok(entries) => entries,
            Err(error) => {
                spdlog::warn!(
                    "cannot read the job journal of zone {}: {}",
                    self.config.zone,
                    error
                );
                return self.spawn_journal_read(epoch, RETRY_MS);
            }
        };
        let records = self.config.records.clone();
        match Journal::open(records, &self.config.zone, epoch, &entries) {
            Ok(mut journal) => {
                let claim = journal.claim(clock::now_ms());
                takeover.journal = Some(journal);
                match claim {
                    Some(write) => self.spawn_journal_write(epoch, write),
                    None => self.spawn_journal_read(epoch, RETRY_MS),
                }
            }
            Err(JournalError::Superseded(by)) => {
                spdlog::warn!("takeover abandoned: a higher epoch has claimed the journal", kv: { epoch, superseded_by = by });
                self.takeover = None;
            }
            Err(error) => {
                spdlog::error!(
                    "cannot open the job journal of zone {}: {}",
                    self.config.zone,
                    error
                );
                self.spawn_journal_read(epoch, RETRY_MS);
            }
        }
    }

    fn journal_write_ended(&mut self, epoch: u64, result: WriteResult) {
        if self.takeover.as_ref().is_some_and(|takeover| takeover.epoch == epoch) {
            return self.claim_ended(epoch, &result);
        }
        let Some(active) = self.active_of(epoch) else { return };
        if active.journal_write_ended(result) == LeaseStatus::Superseded && self.takeover.is_none()
        {
            self.step_down();
        }
    }

    /// Processes the result of the claim: becomes active, gives up, or reads the journal again.
    fn claim_ended(&mut self, epoch: u64, result: &WriteResult) {
        let Some(mut takeover) = self.takeover.take() else { return };
        let Some(mut journal) = takeover.journal.take() else { return };
        let revision = match result {
            WriteResult::Written(revision) => Some(*revision),
            WriteResult::Conflict(current) => match journal.classify_conflict(current.as_ref()) {
                WriteConflict::Own(revision) => Some(revision),
                WriteConflict::Superseded(by) => {
                    spdlog::warn!("takeover abandoned: a higher epoch has claimed the journal", kv: { epoch, superseded_by = by });
                    return;
                }
                WriteConflict::Stale => None,
            },
            WriteResult::NoEffect(_) => None,
        };
        let Some(revision) = revision else {
            self.takeover = Some(takeover);
            return self.spawn_journal_read(epoch, RETRY_MS);
        };
        journal.write_succeeded(revision);
        self.activate(&takeover, journal);
    }

    fn activate(&mut self, takeover: &Takeover, journal: Journal) {
        if let Some(previous) = self.active.take() {
            previous.deactivate();
        }
        let epoch = takeover.epoch;
        let jobs = journal.len();
        self.active = Some(ActivePlacer::new(
            &self.config,
            LeaseTerm { epoch, confirmed_until_ms: takeover.confirmed_until_ms },
            journal,
            Arc::new(self.declared.declarations.clone()),
            self.worker_client.clone(),
            self.metrics.clone(),
        ));
        self.metrics.takeovers.inc();
        self.metrics.is_active.set(1);
        self.metrics.epoch.set(i64::try_from(epoch).unwrap_or(i64::MAX));
        spdlog::info!("takeover complete; this placer is active", kv: { zone = self.config.zone.as_str(), epoch, jobs });
    }

    fn step_down(&mut self) {
        let Some(active) = self.active.take() else { return };
        spdlog::warn!("zone lease lost or fenced; this placer is on standby", kv: { zone = self.config.zone.as_str(), epoch = active.epoch() });
        active.deactivate();
        self.metrics.is_active.set(0);
    }

    /// Finishes a requested drain once all job records are stored.
    fn finish_drain(&mut self) {
        let is_flushed = self.active.as_ref().is_none_or(ActivePlacer::is_flushed);
        if !is_flushed {
            return;
        }
        let Some(reply) = self.drain_reply.take() else { return };
        let epoch = self.active.as_ref().map(ActivePlacer::epoch);
        if let Some(active) = self.active.take() {
            active.deactivate();
        }
        self.takeover = None;
        self.metrics.is_active.set(0);
        let _ = reply.try_send(epoch);
    }

    fn end(self) {
        if let Some(active) = self.active {
            active.deactivate();
        }
    }

    fn spawn_journal_read(&self, epoch: u64, after_ms: u64) {
        let (store, messages) = (Arc::clone(&self.store), self.messages.clone());
        let prefix = Journal::prefix(&self.config.zone);
        task::spawn(async move {
            task::sleep(Duration::from_millis(after_ms)).await;
            let listed = store::list(store.as_ref(), prefix, Priority::Control).await;
            let result = listed.map(|(_, entries)| entries);
            let _ = messages.send(Message::JournalRead { epoch, result });
        });
    }

    fn spawn_share_request(&self, epoch: u64, request: ShareRequest) {
        let (store, messages) = (Arc::clone(&self.store), self.messages.clone());
        task::spawn(async move {
            let message = match request {
                ShareRequest::Read => {
                    let result =
                        store::get(store.as_ref(), shares::KEY, Priority::Interactive).await;
                    Message::QuotaRead { epoch, result }
                }
                ShareRequest::Write(put) => {
                    let result = store::put(store.as_ref(), put, Priority::Interactive).await;
                    Message::QuotaWritten { epoch, result }
                }
            };
            let _ = messages.send(message);
        });
    }

    fn spawn_journal_write(&self, epoch: u64, write: SlotWrite) {
        let (store, messages) = (Arc::clone(&self.store), self.messages.clone());
        task::spawn(async move {
            let result = write_until_certain(store.as_ref(), write).await;
            let _ = messages.send(Message::JournalWritten { epoch, result });
        });
    }
}

/// Writes a slot of the journal. After a lost response it retries until the outcome is certain.
async fn write_until_certain(store: &dyn Store, write: SlotWrite) -> WriteResult {
    let mut is_uncertain = false;
    loop {
        let SlotWrite { key, value, expect } = write.clone();
        let put = Put { key, value, expect, lease: None };
        match store::put(store, put, Priority::Interactive).await {
            Ok(PutOutcome::Written(revision)) => return WriteResult::Written(revision),
            Ok(PutOutcome::Conflict(current)) => return WriteResult::Conflict(current),
            Err(error) if error.is_not_executed() && !is_uncertain => {
                return WriteResult::NoEffect(error)
            }
            Err(error) => {
                is_uncertain |= !error.is_not_executed();
                task::sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}
