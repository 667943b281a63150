//! The ledgers that this host holds, on its control thread.

use async_std::task;
use bytes::Bytes;

use crate::clock;
use crate::ledger::seat::{self, Holder, Seat, StoreCall};
use crate::ledger::{self, KeyVerdict, Ledger, Ticket};
use crate::membership::{self, Member, Role};
use crate::store::mirror::Snapshot;
use crate::store::{self, Entry, Expect, Priority, Put};

use super::super::message::Input;
use super::super::ownership::first_ranked;
use super::Thread;

/// Time between looks at who holds which ledger, in milliseconds.
pub(super) const LOOK_EVERY_MS: u64 = 50;

/// Time between two tries to take the seat of the same zone, in milliseconds.
const TRY_AGAIN_MS: u64 = 500;

impl Thread {
    /// Takes and leaves seats as the store's records say.
    pub(super) fn look_at_seats(&mut self, now_ms: u64) {
        let snapshot = self.parts.mirror.snapshot();
        if !snapshot.is_current || self.parts.session.lease().is_none() {
            return;
        }
        let accepted = self.parts.feed.current();
        for zone in accepted.declarations.zones.iter().map(|zone| zone.name.clone()) {
            let record = snapshot.entries.get(&seat::holder_key(&zone));
            match record {
                Some(record) if self.is_own_record(record) => {
                    if self.is_draining {
                        self.leave_seat(&zone, record);
                    } else {
                        self.take_seat(&zone);
                    }
                }
                Some(_) => self.resign_seat(&zone),
                None => {
                    self.resign_seat(&zone);
                    if !self.is_draining && self.is_first_candidate(&snapshot, &zone) {
                        self.claim_seat(&zone, now_ms);
                    }
                }
            }
        }
    }

    /// Leaves all seats, such as when the session is another one.
    pub(super) fn resign_all_seats(&mut self) {
        for (_, seat) in std::mem::take(&mut self.seats) {
            seat.resign();
        }
    }

    /// Lets every ledger do what is due.
    pub(super) fn tick_seats(&mut self) {
        let zones: Vec<String> = self.seats.keys().cloned().collect();
        for zone in zones {
            self.step_seat(&zone, ledger::Event::Tick);
        }
    }

    /// Takes in what became of a call to the store.
    pub(super) fn take_store_event(&mut self, zone: &str, term: u64, event: ledger::Event) {
        if self.terms.get(zone) == Some(&term) {
            self.step_seat(zone, event);
        }
    }

    /// Takes in a request that wants to run under its key.
    pub(super) fn begin_key(
        &mut self,
        zone: &str,
        begin: ledger::Begin,
        verdict: async_channel::Sender<KeyVerdict>,
    ) {
        match self.seats.get_mut(zone) {
            Some(seat) => {
                seat.wait(begin.ticket, verdict);
                self.step_seat(zone, ledger::Event::Begin(begin));
            }
            None => {
                let _ = verdict.try_send(KeyVerdict::NotHolder);
            }
        }
    }

    /// Takes in that a request no longer waits for its key.
    pub(super) fn abandon_key(&mut self, zone: &str, ticket: Ticket) {
        self.step_seat(zone, ledger::Event::Abandon(ticket));
    }

    /// Takes in how a granted request ended; whether this host holds the ledger.
    pub(super) fn end_key(&mut self, zone: &str, end: ledger::End) -> bool {
        let is_held = self.seats.contains_key(zone);
        self.step_seat(zone, ledger::Event::End(end));
        is_held
    }

    fn step_seat(&mut self, zone: &str, event: ledger::Event) {
        let Some(seat) = self.seats.get_mut(zone) else { return };
        let calls = seat.step(event, clock::now_ms());
        let term = self.terms.get(zone).copied().unwrap_or_default();
        for call in calls {
            self.begin_store_call(zone.to_owned(), term, call);
        }
    }

    fn begin_store_call(&self, zone: String, term: u64, call: StoreCall) {
        const US_PER_S: f64 = 1_000_000.0;
        let store = std::sync::Arc::clone(&self.parts.store);
        let control = self.control.clone();
        let metrics = std::sync::Arc::clone(&self.parts.metrics);
        task::spawn(async move {
            let begun_us = clock::now_us();
            let event = call.run(store).await;
            #[allow(clippy::cast_precision_loss, reason = "a time for a histogram")]
            let seconds = clock::now_us().saturating_sub(begun_us) as f64 / US_PER_S;
            if let ledger::Event::Committed(result) = &event {
                metrics.committed(result.as_str(), seconds);
            }
            control.send(Input::StoreEvent { zone, term, event });
        });
    }

    fn is_own_record(&self, record: &Entry) -> bool {
        let holder: Option<Holder> = serde_json::from_slice(&record.value).ok();
        let incarnation = self.parts.session.member().incarnation;
        record.lease == self.parts.session.lease()
            && holder.is_some_and(|holder| holder.incarnation == incarnation)
    }

    /// Whether this host ranks first among the zone's hosts, or among all if the zone has none.
    fn is_first_candidate(&self, snapshot: &Snapshot, zone: &str) -> bool {
        let entries = membership::members(snapshot).into_iter();
        let entries: Vec<Member> =
            entries.filter(|member| member.role == Role::Entry && !member.is_leaving).collect();
        let inside: Vec<Member> =
            entries.iter().filter(|member| member.zone == zone).cloned().collect();
        let candidates = if inside.is_empty() { entries } else { inside };
        first_ranked(&candidates, zone) == Some(self.parts.config.name.as_str())
    }

    fn claim_seat(&mut self, zone: &str, now_ms: u64) {
        let next_ms = self.seat_tries.get(zone).copied().unwrap_or_default();
        let lease = self.parts.session.lease();
        if now_ms < next_ms || lease.is_none() {
            return;
        }
        self.seat_tries.insert(zone.to_owned(), now_ms + TRY_AGAIN_MS);
        let member = self.parts.session.member();
        let holder =
            Holder { name: member.name, address: member.address, incarnation: member.incarnation };
        let value = Bytes::from(serde_json::to_vec(&holder).unwrap_or_default());
        let put = Put { key: seat::holder_key(zone), value, expect: Expect::Absent, lease };
        let store = std::sync::Arc::clone(&self.parts.store);
        task::spawn(async move {
            if let Err(error) = store::put(store.as_ref(), put, Priority::Control).await {
                spdlog::debug!("seat not taken: {}", error);
            }
        });
    }

    fn take_seat(&mut self, zone: &str) {
        if self.seats.contains_key(zone) {
            return;
        }
        spdlog::info!("ledger held", kv: { zone });
        let term = self.terms.get(zone).copied().unwrap_or_default() + 1;
        self.terms.insert(zone.to_owned(), term);
        let writer = self.parts.session.member().incarnation.wrapping_add(term);
        let offset_ms = clock::unix_ms().saturating_sub(clock::now_ms());
        let ledger = Ledger::new(self.parts.config.ledger.clone(), writer, offset_ms);
        self.seats.insert(zone.to_owned(), Seat::new(zone, ledger));
        self.step_seat(zone, ledger::Event::Tick);
    }

    fn resign_seat(&mut self, zone: &str) {
        if let Some(seat) = self.seats.remove(zone) {
            spdlog::info!("ledger left", kv: { zone });
            seat.resign();
        }
    }

    /// Removes the own record, so that another host takes the seat.
    fn leave_seat(&mut self, zone: &str, record: &Entry) {
        self.resign_seat(zone);
        let (key, expect) = (record.key.clone(), Expect::Modified(record.modified));
        let store = std::sync::Arc::clone(&self.parts.store);
        task::spawn(async move {
            let _ = store::delete(store.as_ref(), key, expect, Priority::Control).await;
        });
    }
}
