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
pub struct SlotWrite {
    /// Key of the slot.
    pub key: String,
    /// New value.
    pub value: Bytes,
    /// Condition.
    pub expect: Expect,
}

/// A record that is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredVersion {
    /// Job.
    pub id: JobId,
    /// Version of its progress.
    pub version: u64,
}

/// How a write that met another value is to be understood.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteConflict {
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
    jobs: HashMap<JobId, JobEntry>,
    /// Jobs whose record is newer than what is stored, in order of their change.
    dirty: Vec<JobId>,
    in_flight: Option<InFlightWrite>,
    next_write_ms: u64,
    ended: BTreeSet<(u64, JobId)>,
}

#[derive(Clone, Debug, Default)]
struct Slot {
    modified: Option<Revision>,
    records: Vec<StoredVersion>,
}

#[derive(Debug)]
struct JobEntry {
    record: JobRecord,
    /// Version that is stored, if any.
    stored: Option<u64>,
    /// Slots that hold a record of the job, old ones included.
    copies: u32,
    is_dirty: bool,
}

#[derive(Debug)]
struct InFlightWrite {
    slot: usize,
    value: Bytes,
    records: Vec<StoredVersion>,
    changed: Vec<JobId>,
}

impl Journal {
    /// Prefix of the keys of the zone's journal.
    pub fn prefix(zone: &str) -> String {
        format!("{PREFIX}{zone}/")
    }

    /// All records, in order of their acceptance.
    pub fn records(&self) -> Vec<JobRecord> {
        let mut records: Vec<JobRecord> =
            self.jobs.values().map(|entry| entry.record.clone()).collect();
        records.sort_by(|left, right| {
            (left.accepted_at_ms, &left.id).cmp(&(right.accepted_at_ms, &right.id))
        });
        records
    }

    /// The record of a job.
    pub fn get(&self, id: &str) -> Option<&JobRecord> {
        self.jobs.get(id).map(|entry| &entry.record)
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
        self.jobs.get(id).is_some_and(|entry| entry.stored.is_some())
    }

    /// Whether nothing waits to be written.
    pub fn is_flushed(&self) -> bool {
        self.dirty.is_empty() && self.in_flight.is_none()
    }

    /// Takes in a new or changed record; it is stored by one of the next writes.
    pub fn put(&mut self, record: JobRecord) {
        let id = JobId::clone(&record.id);
        if record.is_ended() {
            self.ended.insert((record.ended_at_ms, JobId::clone(&id)));
        }
        let entry = self.jobs.entry(JobId::clone(&id)).or_insert_with(|| JobEntry {
            record: record.clone(),
            stored: None,
            copies: 0,
            is_dirty: false,
        });
        entry.record = record;
        if !entry.is_dirty {
            entry.is_dirty = true;
            self.dirty.push(id);
        }
    }

    /// Withdraws a record that was never sent to the store; returns whether that was so.
    pub fn withdraw(&mut self, id: &str) -> bool {
        let in_flight = self
            .in_flight
            .as_ref()
            .is_some_and(|in_flight| in_flight.records.iter().any(|stored| &*stored.id == id));
        let is_stored = self.jobs.get(id).is_some_and(|entry| entry.stored.is_some());
        if in_flight || is_stored || !self.jobs.contains_key(id) {
            return false;
        }
        self.jobs.remove(id);
        self.dirty.retain(|dirty| &**dirty != id);
        true
    }

    /// The write that claims the journal for this epoch.
    pub fn claim(&mut self, now_ms: u64) -> Option<SlotWrite> {
        self.begin_write(now_ms)
    }

    /// The next write, if something waits and no write is on its way.
    pub fn next_write(&mut self, now_ms: u64) -> Option<SlotWrite> {
        if self.dirty.is_empty() || now_ms < self.next_write_ms {
            return None;
        }
        self.begin_write(now_ms)
    }

    /// The write on its way took effect; returns what is stored by it.
    pub fn write_succeeded(&mut self, revision: Revision) -> Vec<StoredVersion> {
        let Some(in_flight) = self.in_flight.take() else { return Vec::new() };
        self.sequence += 1;
        self.drop_copies(in_flight.slot);
        for stored in &in_flight.records {
            if let Some(entry) = self.jobs.get_mut(&stored.id) {
                entry.copies += 1;
                entry.stored = entry.stored.max(Some(stored.version));
            }
        }
        let changed: HashSet<JobId> = in_flight.changed.into_iter().collect();
        let stored = in_flight.records.clone();
        self.slots[in_flight.slot] = Slot { modified: Some(revision), records: in_flight.records };
        stored.into_iter().filter(|stored| changed.contains(&stored.id)).collect()
    }

    /// The write on its way certainly took no effect; returns its new records, which wait again.
    pub fn write_failed(&mut self, now_ms: u64) -> Vec<JobId> {
        self.next_write_ms = now_ms + PAUSE_AFTER_FAILURE_MS;
        let Some(in_flight) = self.in_flight.take() else { return Vec::new() };
        for id in in_flight.changed.iter().rev() {
            let Some(entry) = self.jobs.get_mut(id) else { continue };
            if !entry.is_dirty {
                entry.is_dirty = true;
                self.dirty.insert(0, JobId::clone(id));
            }
        }
        in_flight.changed
    }

    /// Understands what a slot holds where the write on its way met another value.
    pub fn classify_conflict(&self, current: Option<&Entry>) -> WriteConflict {
        let Some(entry) = current else { return WriteConflict::Stale };
        if self.in_flight.as_ref().is_some_and(|in_flight| in_flight.value == entry.value) {
            return WriteConflict::Own(entry.modified);
        }
        match SlotValue::decode(&entry.value) {
            Ok(value) if value.epoch > self.epoch => WriteConflict::Superseded(value.epoch),
            _ => WriteConflict::Stale,
        }
    }

    fn begin_write(&mut self, now_ms: u64) -> Option<SlotWrite> {
        if self.in_flight.is_some() {
            return None;
        }
        let index = usize::try_from((self.sequence + 1) % SLOTS).unwrap_or(0);
        let mut ids = self.records_to_carry_over(index);
        self.add_dirty(&mut ids);
        let changed = self.take_dirty(&ids);
        let records = ids.iter().filter_map(|id| self.jobs.get(id));
        let records: Vec<JobRecord> = records.map(|entry| entry.record.clone()).collect();
        let stored = records.iter().map(|record| StoredVersion {
            id: JobId::clone(&record.id),
            version: record.progress.version,
        });
        let stored = stored.collect();
        let value = SlotValue { epoch: self.epoch, sequence: self.sequence + 1, records };
        let value = value.encode().ok()?;
        self.in_flight =
            Some(InFlightWrite { slot: index, value: value.clone(), records: stored, changed });
        self.next_write_ms = now_ms + self.config.write_every_ms;
        let expect = self.slots[index].modified.map_or(Expect::Absent, Expect::Modified);
        Some(SlotWrite { key: format!("{}{index:03}", self.prefix), value, expect })
    }

    /// Jobs whose newest stored record is in a slot, without those past their retention.
    fn records_to_carry_over(&mut self, index: usize) -> Vec<JobId> {
        self.expire(index);
        let entry = self.slots[index].records.iter().filter(|stored| {
            let entry = self.jobs.get(&stored.id);
            entry.is_some_and(|entry| entry.stored == Some(stored.version))
        });
        entry.map(|stored| JobId::clone(&stored.id)).collect()
    }

    /// Adds waiting jobs as far as the value may grow.
    fn add_dirty(&self, ids: &mut Vec<JobId>) {
        let mut taken: HashSet<JobId> = ids.iter().cloned().collect();
        let sizes = ids.iter().filter_map(|id| self.jobs.get(id));
        let mut bytes: usize = sizes.map(|entry| entry.record.size_bytes()).sum();
        for id in &self.dirty {
            let Some(entry) = self.jobs.get(id) else { continue };
            if taken.contains(id) {
                continue;
            }
            bytes += entry.record.size_bytes();
            if bytes > self.config.max_value_bytes && !ids.is_empty() {
                return;
            }
            taken.insert(JobId::clone(id));
            ids.push(JobId::clone(id));
        }
    }

    fn take_dirty(&mut self, ids: &[JobId]) -> Vec<JobId> {
        let mut changed = Vec::new();
        for id in ids {
            if let Some(entry) = self.jobs.get_mut(id).filter(|entry| entry.is_dirty) {
                entry.is_dirty = false;
                changed.push(JobId::clone(id));
            }
        }
        let taken: HashSet<&JobId> = changed.iter().collect();
        self.dirty.retain(|id| !taken.contains(id));
        changed
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
            let Some(entry) = self.jobs.get(&stored.id) else { continue };
            if entry.copies <= 1 && !entry.is_dirty && over.contains(&stored.id) {
                self.ended.remove(&(entry.record.ended_at_ms, JobId::clone(&stored.id)));
                self.jobs.remove(&stored.id);
            }
        }
    }

    fn drop_copies(&mut self, index: usize) {
        for stored in std::mem::take(&mut self.slots[index].records) {
            if let Some(entry) = self.jobs.get_mut(&stored.id) {
                entry.copies = entry.copies.saturating_sub(1);
            }
        }
    }
}
