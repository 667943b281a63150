//! Ledgers that this host holds: becoming and ceasing to be holder, and passing events to them.

use async_std::task;
use bytes::Bytes;

use crate::clock;
use crate::ledger::holder::{self, HeldLedger, HolderRecord, StoreCall};
use crate::ledger::{self, BeginResult, Ledger, Ticket};
use crate::membership::{self, Member, Role};
use crate::store::mirror::Snapshot;
use crate::store::{self, Entry, Expect, Priority, Put};

use super::super::message::Input;
use super::super::ownership::first_ranked;
use super::ControlThread;

/// Time between checks of the holder records, in milliseconds.
pub(super) const CHECK_EVERY_MS: u64 = 50;

/// Time between two attempts to become holder of the same zone's ledger, in milliseconds.
const TRY_AGAIN_MS: u64 = 500;

impl ControlThread {
    /// Begins or ends holding ledgers according to the holder records in the store.
    pub(super) fn update_ledgers(&mut self, now_ms: u64) {
        let snapshot = self.deps.mirror.snapshot();
        if !snapshot.is_current || self.deps.session.lease().is_none() {
            return;
        }
        let accepted = self.deps.feed.current();
        for zone in accepted.declarations.zones.iter().map(|zone| zone.name.clone()) {
            let record = snapshot.entries.get(&holder::holder_key(&zone));
            match record {
                Some(record) if self.is_own_record(record) => {
                    if self.is_draining {
                        self.release_ledger(&zone, record);
                    } else {
                        self.begin_holding(&zone);
                    }
                }
                Some(_) => self.resign_ledger(&zone),
                None => {
                    self.resign_ledger(&zone);
                    if !self.is_draining && self.is_first_candidate(&snapshot, &zone) {
                        self.claim_ledger(&zone, now_ms);
                    }
                }
            }
        }
    }

    /// Stops holding all ledgers, for example when the session was replaced.
    pub(super) fn resign_all_ledgers(&mut self) {
        for (_, ledger) in std::mem::take(&mut self.ledgers) {
            ledger.resign();
        }
    }

    /// Passes a tick to every held ledger.
    pub(super) fn tick_ledgers(&mut self) {
        let zones: Vec<String> = self.ledgers.keys().cloned().collect();
        for zone in zones {
            self.step_ledger(&zone, ledger::Event::Tick);
        }
    }

    /// Passes the result of a store call to its ledger, unless it is from an earlier term.
    pub(super) fn handle_store_event(&mut self, zone: &str, term: u64, event: ledger::Event) {
        if self.terms.get(zone) == Some(&term) {
            self.step_ledger(zone, event);
        }
    }

    /// Passes a request that asks to run under its key to the ledger of `zone`.
    pub(super) fn begin_key(
        &mut self,
        zone: &str,
        begin: ledger::Begin,
        reply_to: async_channel::Sender<BeginResult>,
    ) {
        match self.ledgers.get_mut(zone) {
            Some(ledger) => {
                ledger.wait(begin.ticket, reply_to);
                self.step_ledger(zone, ledger::Event::Begin(begin));
            }
            None => {
                let _ = reply_to.try_send(BeginResult::NotHolder);
            }
        }
    }

    /// Tells the ledger of `zone` that a request stopped waiting.
    pub(super) fn abandon_key(&mut self, zone: &str, ticket: Ticket) {
        self.step_ledger(zone, ledger::Event::Abandon(ticket));
    }

    /// Reports the end of a granted request to the ledger; returns whether this host holds it and
    /// has read its log. Otherwise the caller reports the end again.
    pub(super) fn end_key(&mut self, zone: &str, end: ledger::End) -> bool {
        let is_recorded = self.ledgers.get(zone).is_some_and(HeldLedger::is_loaded);
        self.step_ledger(zone, ledger::Event::End(end));
        is_recorded
    }

    fn step_ledger(&mut self, zone: &str, event: ledger::Event) {
        let Some(ledger) = self.ledgers.get_mut(zone) else { return };
        let calls = ledger.step(event, clock::now_ms());
        let term = self.terms.get(zone).copied().unwrap_or_default();
        for call in calls {
            self.begin_store_call(zone.to_owned(), term, call);
        }
    }

    fn begin_store_call(&self, zone: String, term: u64, call: StoreCall) {
        const US_PER_S: f64 = 1_000_000.0;
        let store = std::sync::Arc::clone(&self.deps.store);
        let control = self.control.clone();
        let metrics = std::sync::Arc::clone(&self.deps.metrics);
        task::spawn(async move {
            let begun_us = clock::now_us();
            let event = call.run(store).await;
            #[allow(clippy::cast_precision_loss, reason = "a time for a histogram")]
            let seconds = clock::now_us().saturating_sub(begun_us) as f64 / US_PER_S;
            if let ledger::Event::Committed(result) = &event {
                metrics.ledger_commit(result.as_str(), seconds);
            }
            control.send(Input::StoreEvent { zone, term, event });
        });
    }

    /// Whether a holder record names this process and is bound to its session.
    fn is_own_record(&self, record: &Entry) -> bool {
        let holder: Option<HolderRecord> = serde_json::from_slice(&record.value).ok();
        let incarnation = self.deps.session.member().incarnation;
        record.lease == self.deps.session.lease()
            && holder.is_some_and(|holder| holder.incarnation == incarnation)
    }

    /// Whether this host ranks first for the ledger among the zone's entry hosts, or among all
    /// entry hosts if the zone has none.
    fn is_first_candidate(&self, snapshot: &Snapshot, zone: &str) -> bool {
        let entries = membership::members(snapshot).into_iter();
        let entries: Vec<Member> =
            entries.filter(|member| member.role == Role::Entry && !member.is_leaving).collect();
        let inside: Vec<Member> =
            entries.iter().filter(|member| member.zone == zone).cloned().collect();
        let candidates = if inside.is_empty() { entries } else { inside };
        first_ranked(&candidates, zone) == Some(self.deps.config.name.as_str())
    }

    /// Tries to create the holder record, at most every [`TRY_AGAIN_MS`].
    fn claim_ledger(&mut self, zone: &str, now_ms: u64) {
        let next_ms = self.next_claim_ms.get(zone).copied().unwrap_or_default();
        let lease = self.deps.session.lease();
        if now_ms < next_ms || lease.is_none() {
            return;
        }
        self.next_claim_ms.insert(zone.to_owned(), now_ms + TRY_AGAIN_MS);
        let member = self.deps.session.member();
        let holder = HolderRecord {
            name: member.name,
            address: member.address,
            incarnation: member.incarnation,
        };
        let value = Bytes::from(serde_json::to_vec(&holder).unwrap_or_default());
        let key = holder::holder_key(zone);
        let put = Put { key: key.clone(), value, expect: Expect::Absent, lease };
        let store = std::sync::Arc::clone(&self.deps.store);
        task::spawn(async move {
            if let Err(error) = store::put(store.as_ref(), put, Priority::Control).await {
                spdlog::debug!("cannot create the holder record {}: {}", key, error);
            }
        });
    }

    /// Starts the ledger of a zone whose holder record names this host.
    fn begin_holding(&mut self, zone: &str) {
        if self.ledgers.contains_key(zone) {
            return;
        }
        spdlog::info!("holding the ledger", kv: { zone });
        let term = self.terms.get(zone).copied().unwrap_or_default() + 1;
        self.terms.insert(zone.to_owned(), term);
        let writer = self.deps.session.member().incarnation.wrapping_add(term);
        let offset_ms = clock::unix_ms().saturating_sub(clock::now_ms());
        let ledger = Ledger::new(self.deps.config.ledger.clone(), writer, offset_ms);
        self.ledgers.insert(zone.to_owned(), HeldLedger::new(zone, ledger));
        self.step_ledger(zone, ledger::Event::Tick);
    }

    /// Stops the ledger of a zone, if this host runs it.
    fn resign_ledger(&mut self, zone: &str) {
        if let Some(ledger) = self.ledgers.remove(zone) {
            spdlog::info!("no longer holding the ledger", kv: { zone });
            ledger.resign();
        }
    }

    /// Stops the ledger and deletes the holder record, so that another host can become holder.
    fn release_ledger(&mut self, zone: &str, record: &Entry) {
        self.resign_ledger(zone);
        let (key, expect) = (record.key.clone(), Expect::Modified(record.modified));
        let store = std::sync::Arc::clone(&self.deps.store);
        task::spawn(async move {
            let _ = store::delete(store.as_ref(), key, expect, Priority::Control).await;
        });
    }
}
