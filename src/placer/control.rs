//! The control thread of a placer: takes messages, decides, and hands I/O to other threads.

use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::sync::Arc;
use std::time::Duration;

use async_std::task;

use crate::clock;
use crate::configs::placer::PlacerConfig;
use crate::declarations::feed::Accepted;
use crate::jobs::journal::{Journal, JournalError, Met, Write};
use crate::place::Event;
use crate::placer::active::{Active, Holding, Standing};
use crate::placer::links::Caller;
use crate::placer::message::{AskError, Message, WriteResult};
use crate::placer::metrics::Metrics;
use crate::placer::shares::{self, ShareStep};
use crate::placer::zone::ZoneNews;
use crate::store::{self, Priority, Put, PutOutcome, Store, StoreError};

/// Pause after the journal could not be read or claimed, in milliseconds.
const RETRY_MS: u64 = 200;

/// Pause between turns while calls to workers wait, in milliseconds.
const CALLS_PAUSE_MS: u64 = 5;

/// Messages that are taken before decisions are sent.
const BATCH: usize = 256;

/// The state of the control thread.
pub(crate) struct Control {
    config: PlacerConfig,
    store: Arc<dyn Store>,
    caller: Caller,
    metrics: Metrics,
    declared: Arc<Accepted>,
    messages: Sender<Message>,
    active: Option<Active>,
    opening: Option<Opening>,
    drain: Option<async_channel::Sender<Option<u64>>>,
    next_tick_ms: u64,
    /// Whether placing was cut short and goes on without waiting.
    has_work: bool,
    /// Whether calls to workers wait for the next turn.
    has_calls: bool,
}

/// A takeover that has not finished: the journal is read and claimed under the new epoch.
struct Opening {
    epoch: u64,
    confirmed_until_ms: u64,
    journal: Option<Journal>,
}

impl Control {
    pub(crate) fn new(
        config: PlacerConfig,
        store: Arc<dyn Store>,
        caller: Caller,
        metrics: Metrics,
        messages: Sender<Message>,
    ) -> Self {
        Self {
            config,
            store,
            caller,
            metrics,
            declared: Arc::default(),
            messages,
            active: None,
            opening: None,
            drain: None,
            next_tick_ms: 0,
            has_work: false,
            has_calls: false,
        }
    }

    /// Takes messages until it is told to stop.
    #[allow(clippy::needless_pass_by_value, reason = "the thread owns its receiver")]
    pub(crate) fn run(mut self, inbox: Receiver<Message>) {
        loop {
            let wait_ms = match self.has_work {
                true => 0,
                false if self.has_calls => CALLS_PAUSE_MS,
                false => self.next_tick_ms.saturating_sub(clock::now_ms()),
            };
            match inbox.recv_timeout(Duration::from_millis(wait_ms)) {
                Ok(Message::Stop) | Err(RecvTimeoutError::Disconnected) => break,
                Ok(message) => self.take(message),
                Err(RecvTimeoutError::Timeout) => {}
            }
            for message in inbox.try_iter().take(BATCH) {
                if matches!(message, Message::Stop) {
                    return self.end();
                }
                self.take(message);
            }
            self.turn();
        }
        self.end();
    }

    /// What follows a batch of messages.
    fn turn(&mut self) {
        let is_due = clock::now_ms() >= self.next_tick_ms;
        if is_due {
            self.next_tick_ms = clock::now_ms() + self.config.tick_ms;
        }
        let is_opening = self.opening.is_some();
        self.has_work = false;
        self.has_calls = false;
        if let Some(active) = &mut self.active {
            if is_due {
                active.tick();
            }
            self.has_work = active.go_on();
            let write = active.flush();
            self.has_calls = active.has_calls();
            let share_step = active.take_share_step();
            let (epoch, is_fenced) = (active.epoch(), active.is_fenced());
            if let Some(step) = share_step {
                self.spawn_share_step(epoch, step);
            }
            if let Some(write) = write {
                self.spawn_write(epoch, write);
            }
            if is_fenced && !is_opening {
                self.step_down();
            }
        }
        self.finish_drain();
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Declared(accepted) => self.declare(accepted),
            Message::Zone(news) => self.zone_news(news),
            Message::Listed { epoch, result } => self.listed(epoch, result),
            Message::Written { epoch, result } => self.written(epoch, result),
            Message::QuotaRead { epoch, result } => {
                if let Some(active) = self.active_of(epoch) {
                    active.quota_read(result);
                }
            }
            Message::QuotaWritten { epoch, result } => {
                if let Some(active) = self.active_of(epoch) {
                    active.quota_written(&result);
                }
            }
            Message::Called(called) => {
                if let Some(active) = self.active_of(called.epoch) {
                    active.called(*called);
                }
            }
            Message::Ask(ask) => match &mut self.active {
                Some(active) if !active.is_fenced() => active.ask(ask),
                _ => ask.refuse(AskError::NotActive),
            },
            Message::Drain(reply) => {
                if let Some(active) = &mut self.active {
                    active.close();
                }
                self.drain = Some(reply);
            }
            Message::Stop => {}
        }
    }

    fn active_of(&mut self, epoch: u64) -> Option<&mut Active> {
        self.active.as_mut().filter(|active| active.epoch() == epoch)
    }

    fn declare(&mut self, accepted: Arc<Accepted>) {
        if let Some(active) = &mut self.active {
            active.declare(Arc::new(accepted.declarations.clone()));
        }
        self.declared = accepted;
    }

    fn zone_news(&mut self, news: ZoneNews) {
        match news {
            ZoneNews::Acquired { epoch, confirmed_until_ms } => {
                spdlog::info!("zone acquired", kv: { zone = self.config.zone.as_str(), epoch });
                self.opening = Some(Opening { epoch, confirmed_until_ms, journal: None });
                self.spawn_list(epoch, 0);
            }
            ZoneNews::Confirmed { epoch, confirmed_until_ms } => {
                if let Some(opening) = self.opening.as_mut().filter(|open| open.epoch == epoch) {
                    opening.confirmed_until_ms = confirmed_until_ms;
                }
                if let Some(active) = self.active_of(epoch) {
                    active.step(Event::Holding { epoch, confirmed_until_ms });
                }
            }
            ZoneNews::Lost { epoch } => {
                if self.opening.as_ref().is_some_and(|opening| opening.epoch == epoch) {
                    self.opening = None;
                }
                if self.active_of(epoch).is_some() {
                    self.step_down();
                }
            }
        }
    }

    /// The journal was read: open it and claim it.
    fn listed(&mut self, epoch: u64, result: Result<Vec<store::Entry>, StoreError>) {
        let Some(opening) = self.opening.as_mut().filter(|open| open.epoch == epoch) else {
            return;
        };
        let entries = match result {
            Ok(entries) => entries,
            Err(error) => {
                spdlog::warn!("journal not read: {}", error);
                return self.spawn_list(epoch, RETRY_MS);
            }
        };
        let records = self.config.records.clone();
        match Journal::open(records, &self.config.zone, epoch, &entries) {
            Ok(mut journal) => {
                let claim = journal.claim(clock::now_ms());
                opening.journal = Some(journal);
                match claim {
                    Some(write) => self.spawn_write(epoch, write),
                    None => self.spawn_list(epoch, RETRY_MS),
                }
            }
            Err(JournalError::Superseded(by)) => {
                spdlog::warn!("takeover given up", kv: { epoch, superseded_by = by });
                self.opening = None;
            }
            Err(error) => {
                spdlog::error!("journal cannot be used: {}", error);
                self.spawn_list(epoch, RETRY_MS);
            }
        }
    }

    fn written(&mut self, epoch: u64, result: WriteResult) {
        if self.opening.as_ref().is_some_and(|opening| opening.epoch == epoch) {
            return self.claimed(epoch, &result);
        }
        let Some(active) = self.active_of(epoch) else { return };
        if active.written(result) == Standing::Superseded && self.opening.is_none() {
            self.step_down();
        }
    }

    /// The claim of the journal ended: hold the zone, or read the journal again.
    fn claimed(&mut self, epoch: u64, result: &WriteResult) {
        let Some(mut opening) = self.opening.take() else { return };
        let Some(mut journal) = opening.journal.take() else { return };
        let revision = match result {
            WriteResult::Written(revision) => Some(*revision),
            WriteResult::Conflict(current) => match journal.met(current.as_ref()) {
                Met::Own(revision) => Some(revision),
                Met::Superseded(by) => {
                    spdlog::warn!("takeover given up", kv: { epoch, superseded_by = by });
                    return;
                }
                Met::Stale => None,
            },
            WriteResult::NoEffect(_) => None,
        };
        let Some(revision) = revision else {
            self.opening = Some(opening);
            return self.spawn_list(epoch, RETRY_MS);
        };
        journal.written(revision);
        self.begin(&opening, journal);
    }

    fn begin(&mut self, opening: &Opening, journal: Journal) {
        if let Some(before) = self.active.take() {
            before.end();
        }
        let epoch = opening.epoch;
        let jobs = journal.len();
        self.active = Some(Active::new(
            &self.config,
            Holding { epoch, confirmed_until_ms: opening.confirmed_until_ms },
            journal,
            Arc::new(self.declared.declarations.clone()),
            self.caller.clone(),
            self.metrics.clone(),
        ));
        self.metrics.takeovers.inc();
        self.metrics.is_active.set(1);
        self.metrics.epoch.set(i64::try_from(epoch).unwrap_or(i64::MAX));
        spdlog::info!("zone held", kv: { zone = self.config.zone.as_str(), epoch, jobs });
    }

    fn step_down(&mut self) {
        let Some(active) = self.active.take() else { return };
        spdlog::warn!("zone lost", kv: { zone = self.config.zone.as_str(), epoch = active.epoch() });
        active.end();
        self.metrics.is_active.set(0);
    }

    /// Ends a drain once everything is recorded.
    fn finish_drain(&mut self) {
        let is_settled = self.active.as_ref().is_none_or(Active::is_settled);
        if !is_settled {
            return;
        }
        let Some(reply) = self.drain.take() else { return };
        let epoch = self.active.as_ref().map(Active::epoch);
        if let Some(active) = self.active.take() {
            active.end();
        }
        self.opening = None;
        self.metrics.is_active.set(0);
        let _ = reply.try_send(epoch);
    }

    fn end(self) {
        if let Some(active) = self.active {
            active.end();
        }
    }

    fn spawn_list(&self, epoch: u64, after_ms: u64) {
        let (store, messages) = (Arc::clone(&self.store), self.messages.clone());
        let prefix = Journal::prefix(&self.config.zone);
        task::spawn(async move {
            task::sleep(Duration::from_millis(after_ms)).await;
            let listed = store::list(store.as_ref(), prefix, Priority::Control).await;
            let result = listed.map(|(_, entries)| entries);
            let _ = messages.send(Message::Listed { epoch, result });
        });
    }

    fn spawn_share_step(&self, epoch: u64, step: ShareStep) {
        let (store, messages) = (Arc::clone(&self.store), self.messages.clone());
        task::spawn(async move {
            let message = match step {
                ShareStep::Read => {
                    let result = store::get(store.as_ref(), shares::KEY, Priority::Record).await;
                    Message::QuotaRead { epoch, result }
                }
                ShareStep::Write(put) => {
                    let result = store::put(store.as_ref(), put, Priority::Record).await;
                    Message::QuotaWritten { epoch, result }
                }
            };
            let _ = messages.send(message);
        });
    }

    fn spawn_write(&self, epoch: u64, write: Write) {
        let (store, messages) = (Arc::clone(&self.store), self.messages.clone());
        task::spawn(async move {
            let result = write_until_certain(store.as_ref(), write).await;
            let _ = messages.send(Message::Written { epoch, result });
        });
    }
}

/// Writes a slot; after a lost answer it tries again until the outcome is certain.
async fn write_until_certain(store: &dyn Store, write: Write) -> WriteResult {
    let mut is_uncertain = false;
    loop {
        let Write { key, value, expect } = write.clone();
        let put = Put { key, value, expect, lease: None };
        match store::put(store, put, Priority::Record).await {
            Ok(PutOutcome::Written(revision)) => return WriteResult::Written(revision),
            Ok(PutOutcome::Conflict(current)) => return WriteResult::Conflict(current),
            Err(error) if error.is_certain() && !is_uncertain => {
                return WriteResult::NoEffect(error)
            }
            Err(error) => {
                is_uncertain |= !error.is_certain();
                task::sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}
