//! The journal of a zone's job records: a ring of slots in the store, one write at a time.
//!
//! A write takes the next slot of the ring, replaces it by compare-and-swap and carries over the
//! records there that still hold. A new holder of the zone claims the journal by the write that
//! follows the last one; a writer that finds a higher epoch in its way has lost the zone. The
//! state of a journal is the union of its slots; of two records of a job the newer holds.

mod open;

use std::collections::BTreeSet;

use bytes::Bytes;

use crate::clock;
use crate::collections::{HashMap, HashSet};
use crate::configs::placer::RecordsConfig;
use crate::jobs::record::{JobRecord, SlotValue};
use crate::place::message::JobId;
use crate::store::{Entry, Expect, Revision};

/// Slots of a journal. Every holder uses the same number: the claim of a new holder must meet the
/// next write of the one before.
pub const SLOTS: u64 = 64;

/// Pause after a write that took no effect, in milliseconds.
const PAUSE_AFTER_FAILURE_MS: u64 = 500;

/// Prefix of the keys of all journals.
pub const PREFIX: &str = "jobs/";

/// Why a journal cannot be opened.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum JournalError {
    /// A holder with a higher epoch has written.
    #[error("epoch {0} has taken over the journal")]
    Superseded(u64),
    /// A slot cannot be read.
    #[error("slot {key} cannot be read: {problem}")]
    Unreadable {
        /// Key of the slot.
        key: String,
        /// What is wrong.
        problem: String,
    },
}

/// A write that is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Key of the slot.
    pub key: String,
    /// New value.
    pub value: Bytes,
    /// Condition.
    pub expect: Expect,
}

/// A record that is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// Job.
    pub id: JobId,
    /// Version of its progress.
    pub version: u64,
}

/// How a write that met another value is to be understood.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Met {
    /// It is the value of the write itself.
    Own(Revision),
    /// A holder with a higher epoch wrote it.
    Superseded(u64),
    /// A holder with a lower epoch wrote it after the slots were read.
    Stale,
}

/// The journal of a zone as its holder keeps it.
#[derive(Debug)]
pub struct Journal {
    config: RecordsConfig,
    prefix: String,
    epoch: u64,
    /// Number of the last write.
    sequence: u64,
    slots: Vec<Slot>,
    jobs: HashMap<JobId, Kept>,
    /// Jobs whose record is newer than what is stored, in order of their change.
    waiting: Vec<JobId>,
    flight: Option<Flight>,
    next_write_ms: u64,
    ended: BTreeSet<(u64, JobId)>,
}

#[derive(Clone, Debug, Default)]
struct Slot {
    modified: Option<Revision>,
    records: Vec<Stored>,
}

#[derive(Debug)]
struct Kept {
    record: JobRecord,
    /// Version that is stored, if any.
    stored: Option<u64>,
    /// Slots that hold a record of the job, old ones included.
    copies: u32,
    is_waiting: bool,
}

#[derive(Debug)]
struct Flight {
    slot: usize,
    value: Bytes,
    records: Vec<Stored>,
    fresh: Vec<JobId>,
}

impl Journal {
    /// Prefix of the keys of the zone's journal.
    pub fn prefix(zone: &str) -> String {
        format!("{PREFIX}{zone}/")
    }

    /// All records, in order of their acceptance.
    pub fn records(&self) -> Vec<JobRecord> {
        let mut records: Vec<JobRecord> =
            self.jobs.values().map(|kept| kept.record.clone()).collect();
        records.sort_by(|left, right| {
            (left.accepted_at_ms, &left.id).cmp(&(right.accepted_at_ms, &right.id))
        });
        records
    }

    /// The record of a job.
    pub fn get(&self, id: &str) -> Option<&JobRecord> {
        self.jobs.get(id).map(|kept| &kept.record)
    }

    /// Number of jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether there is no job.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Whether the job is in the store in some version.
    pub fn is_stored(&self, id: &str) -> bool {
        self.jobs.get(id).is_some_and(|kept| kept.stored.is_some())
    }

    /// Whether nothing waits to be written.
    pub fn is_settled(&self) -> bool {
        self.waiting.is_empty() && self.flight.is_none()
    }

    /// Takes in a new or changed record; it is stored by one of the next writes.
    pub fn put(&mut self, record: JobRecord) {
        let id = JobId::clone(&record.id);
        if record.is_ended() {
            self.ended.insert((record.ended_at_ms, JobId::clone(&id)));
        }
        let kept = self.jobs.entry(JobId::clone(&id)).or_insert_with(|| Kept {
            record: record.clone(),
            stored: None,
            copies: 0,
            is_waiting: false,
        });
        kept.record = record;
        if !kept.is_waiting {
            kept.is_waiting = true;
            self.waiting.push(id);
        }
    }

    /// Withdraws a record that was never sent to the store; returns whether that was so.
    pub fn withdraw(&mut self, id: &str) -> bool {
        let in_flight = self
            .flight
            .as_ref()
            .is_some_and(|flight| flight.records.iter().any(|stored| &*stored.id == id));
        let is_stored = self.jobs.get(id).is_some_and(|kept| kept.stored.is_some());
        if in_flight || is_stored || !self.jobs.contains_key(id) {
            return false;
        }
        self.jobs.remove(id);
        self.waiting.retain(|waiting| &**waiting != id);
        true
    }

    /// The write that claims the journal for this epoch.
    pub fn claim(&mut self, now_ms: u64) -> Option<Write> {
        self.begin_write(now_ms)
    }

    /// The next write, if something waits and no write is on its way.
    pub fn next_write(&mut self, now_ms: u64) -> Option<Write> {
        if self.waiting.is_empty() || now_ms < self.next_write_ms {
            return None;
        }
        self.begin_write(now_ms)
    }

    /// The write on its way took effect; returns what is stored by it.
    pub fn written(&mut self, revision: Revision) -> Vec<Stored> {
        let Some(flight) = self.flight.take() else { return Vec::new() };
        self.sequence += 1;
        self.drop_copies(flight.slot);
        for stored in &flight.records {
            if let Some(kept) = self.jobs.get_mut(&stored.id) {
                kept.copies += 1;
                kept.stored = kept.stored.max(Some(stored.version));
            }
        }
        let fresh: HashSet<JobId> = flight.fresh.into_iter().collect();
        let stored = flight.records.clone();
        self.slots[flight.slot] = Slot { modified: Some(revision), records: flight.records };
        stored.into_iter().filter(|stored| fresh.contains(&stored.id)).collect()
    }

    /// The write on its way certainly took no effect; returns its new records, which wait again.
    pub fn failed(&mut self, now_ms: u64) -> Vec<JobId> {
        self.next_write_ms = now_ms + PAUSE_AFTER_FAILURE_MS;
        let Some(flight) = self.flight.take() else { return Vec::new() };
        for id in flight.fresh.iter().rev() {
            let Some(kept) = self.jobs.get_mut(id) else { continue };
            if !kept.is_waiting {
                kept.is_waiting = true;
                self.waiting.insert(0, JobId::clone(id));
            }
        }
        flight.fresh
    }

    /// Understands what a slot holds where the write on its way met another value.
    pub fn met(&self, current: Option<&Entry>) -> Met {
        let Some(entry) = current else { return Met::Stale };
        if self.flight.as_ref().is_some_and(|flight| flight.value == entry.value) {
            return Met::Own(entry.modified);
        }
        match SlotValue::decode(&entry.value) {
            Ok(value) if value.epoch > self.epoch => Met::Superseded(value.epoch),
            _ => Met::Stale,
        }
    }

    fn begin_write(&mut self, now_ms: u64) -> Option<Write> {
        if self.flight.is_some() {
            return None;
        }
        let index = usize::try_from((self.sequence + 1) % SLOTS).unwrap_or(0);
        let mut ids = self.carried(index);
        self.fill(&mut ids);
        let fresh = self.take_waiting(&ids);
        let records = ids.iter().filter_map(|id| self.jobs.get(id));
        let records: Vec<JobRecord> = records.map(|kept| kept.record.clone()).collect();
        let stored = records.iter().map(|record| Stored {
            id: JobId::clone(&record.id),
            version: record.progress.version,
        });
        let stored = stored.collect();
        let value = SlotValue { epoch: self.epoch, sequence: self.sequence + 1, records };
        let value = value.encode().ok()?;
        self.flight = Some(Flight { slot: index, value: value.clone(), records: stored, fresh });
        self.next_write_ms = now_ms + self.config.write_every_ms;
        let expect = self.slots[index].modified.map_or(Expect::Absent, Expect::Modified);
        Some(Write { key: format!("{}{index:03}", self.prefix), value, expect })
    }

    /// Jobs whose newest stored record is in a slot, without those past their retention.
    fn carried(&mut self, index: usize) -> Vec<JobId> {
        self.expire(index);
        let kept = self.slots[index].records.iter().filter(|stored| {
            let kept = self.jobs.get(&stored.id);
            kept.is_some_and(|kept| kept.stored == Some(stored.version))
        });
        kept.map(|stored| JobId::clone(&stored.id)).collect()
    }

    /// Adds waiting jobs as far as the value may grow.
    fn fill(&self, ids: &mut Vec<JobId>) {
        let mut taken: HashSet<JobId> = ids.iter().cloned().collect();
        let sizes = ids.iter().filter_map(|id| self.jobs.get(id));
        let mut bytes: usize = sizes.map(|kept| kept.record.size_bytes()).sum();
        for id in &self.waiting {
            let Some(kept) = self.jobs.get(id) else { continue };
            if taken.contains(id) {
                continue;
            }
            bytes += kept.record.size_bytes();
            if bytes > self.config.max_value_bytes && !ids.is_empty() {
                return;
            }
            taken.insert(JobId::clone(id));
            ids.push(JobId::clone(id));
        }
    }

    fn take_waiting(&mut self, ids: &[JobId]) -> Vec<JobId> {
        let mut fresh = Vec::new();
        for id in ids {
            if let Some(kept) = self.jobs.get_mut(id).filter(|kept| kept.is_waiting) {
                kept.is_waiting = false;
                fresh.push(JobId::clone(id));
            }
        }
        let taken: HashSet<&JobId> = fresh.iter().collect();
        self.waiting.retain(|id| !taken.contains(id));
        fresh
    }

    /// Forgets ended jobs past their retention whose only record is in the slot.
    fn expire(&mut self, index: usize) {
        let now_ms = clock::unix_ms();
        let surplus = self.ended.len().saturating_sub(self.config.max_ended);
        let over = self.ended.iter().enumerate().take_while(|(number, (ended_at_ms, _))| {
            *number < surplus || ended_at_ms + self.config.keep_ended_ms < now_ms
        });
        let over: HashSet<JobId> = over.map(|(_, (_, id))| JobId::clone(id)).collect();
        if over.is_empty() {
            return;
        }
        for stored in &self.slots[index].records {
            let Some(kept) = self.jobs.get(&stored.id) else { continue };
            if kept.copies <= 1 && !kept.is_waiting && over.contains(&stored.id) {
                self.ended.remove(&(kept.record.ended_at_ms, JobId::clone(&stored.id)));
                self.jobs.remove(&stored.id);
            }
        }
    }

    fn drop_copies(&mut self, index: usize) {
        for stored in std::mem::take(&mut self.slots[index].records) {
            if let Some(kept) = self.jobs.get_mut(&stored.id) {
                kept.copies = kept.copies.saturating_sub(1);
            }
        }
    }
}
