//! Journal of a zone's job records: a ring of slots in the store, with one write at a time.
//!
//! A write replaces the next slot of the ring by compare-and-swap, and carries over those records
//! of the slot that are still current. A new holder of the zone claims the journal by writing the
//! slot after the last one written. The next write of the previous holder then conflicts, finds the
//! higher epoch, and shows it that it has lost the zone. The state of the journal is the union of
//! its slots; of two records of a job, the one with the higher version is current.

mod open;

use std::collections::BTreeSet;

use bytes::Bytes;

use crate::clock;
use crate::collections::{HashMap, HashSet};
use crate::configs::placer::RecordsConfig;
use crate::jobs::record::{JobRecord, SlotValue};
use crate::place::message::JobId;
use crate::store::{Entry, Expect, Revision};

/// Number of slots in a journal. All holders must use the same number, so that the claim of a new
/// holder is in the slot that the previous holder writes next, and that write conflicts.
pub const SLOTS: u64 = 64;

/// Delay before the next write after one that took no effect, in milliseconds.
const RETRY_DELAY_MS: u64 = 500;

/// Prefix of the store keys of all journals.
pub const PREFIX: &str = "jobs/";

/// Reason why a journal cannot be opened.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum JournalError {
    /// A holder with this higher epoch has written to the journal.
    #[error("the journal was claimed under the higher epoch {0}")]
    Superseded(u64),
    /// A slot cannot be decoded.
    #[error("journal slot {key} cannot be decoded: {problem}")]
    Unreadable {
        /// Store key of the slot.
        key: String,
        /// Description of the error.
        problem: String,
    },
}

/// A slot write for the caller to issue to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotWrite {
    /// Store key of the slot.
    pub key: String,
    /// Encoded new value of the slot.
    pub value: Bytes,
    /// Condition of the compare-and-swap.
    pub expect: Expect,
}

/// Identity and version of a job record in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredVersion {
    /// Id of the job.
    pub id: JobId,
    /// Version of the job's progress.
    pub version: u64,
}

/// Cause of a write conflict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteConflict {
    /// An earlier attempt of the same write succeeded, at this revision.
    Own(Revision),
    /// A holder with this higher epoch wrote the slot.
    Superseded(u64),
    /// The slot was removed, or a holder with a lower epoch wrote it after this one read the slots.
    Stale,
}

/// In-memory state of a zone's journal in the active placer. It does no I/O: the caller issues the
/// writes and reports their results.
#[derive(Debug)]
pub struct Journal {
    config: RecordsConfig,
    prefix: String,
    epoch: u64,
    /// Sequence number of the last write.
    sequence: u64,
    slots: Vec<Slot>,
    jobs: HashMap<JobId, JobEntry>,
    /// Jobs whose record is newer than the stored one, in order of change.
    dirty: Vec<JobId>,
    in_flight: Option<InFlightWrite>,
    next_write_ms: u64,
    /// Ended jobs by the time of their end, for expiry.
    ended: BTreeSet<(u64, JobId)>,
}

/// Last known content of a slot in the store.
#[derive(Clone, Debug, Default)]
struct Slot {
    /// Revision of the last write; `None` if the slot was never written.
    modified: Option<Revision>,
    records: Vec<StoredVersion>,
}

#[derive(Debug)]
struct JobEntry {
    record: JobRecord,
    /// Latest version in the store, if any.
    stored: Option<u64>,
    /// Number of slots with a record of the job, including outdated records.
    copies: u32,
    /// Whether the job is in `Journal::dirty`.
    is_dirty: bool,
}

#[derive(Debug)]
struct InFlightWrite {
    slot: usize,
    value: Bytes,
    records: Vec<StoredVersion>,
    /// Jobs that were dirty when the write began, without those only carried over.
    changed: Vec<JobId>,
}

impl Journal {
    /// Prefix of the store keys of the zone's journal.
    pub fn prefix(zone: &str) -> String {
        format!("{PREFIX}{zone}/")
    }

    /// All job records, in order of acceptance.
    pub fn records(&self) -> Vec<JobRecord> {
        let mut records: Vec<JobRecord> =
            self.jobs.values().map(|entry| entry.record.clone()).collect();
        records.sort_by(|left, right| {
            (left.accepted_at_ms, &left.id).cmp(&(right.accepted_at_ms, &right.id))
        });
        records
    }

    /// Latest record of a job, stored or not.
    pub fn get(&self, id: &str) -> Option<&JobRecord> {
        self.jobs.get(id).map(|entry| &entry.record)
    }

    /// Number of jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether the journal has no jobs.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Whether any version of the job is in the store.
    pub fn is_stored(&self, id: &str) -> bool {
        self.jobs.get(id).is_some_and(|entry| entry.stored.is_some())
    }

    /// Whether the latest record of the job is in the store.
    pub fn is_latest_stored(&self, id: &str) -> bool {
        let entry = self.jobs.get(id);
        entry.is_some_and(|entry| entry.stored == Some(entry.record.progress.version))
    }

    /// Whether all records are stored and no write is in flight.
    pub fn is_flushed(&self) -> bool {
        self.dirty.is_empty() && self.in_flight.is_none()
    }

    /// Adds a new or changed record, to be stored by one of the next writes.
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

    /// Removes a record that was never sent to the store; returns `false` if the record is unknown,
    /// stored or in flight.
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

    /// Begins the write that claims the journal under this epoch; `None` if a write is in flight.
    pub fn claim(&mut self, now_ms: u64) -> Option<SlotWrite> {
        self.begin_write(now_ms)
    }

    /// Begins the next write, if a record is to be stored, no write is in flight and the shortest
    /// time between writes has passed.
    pub fn next_write(&mut self, now_ms: u64) -> Option<SlotWrite> {
        if self.dirty.is_empty() || now_ms < self.next_write_ms {
            return None;
        }
        self.begin_write(now_ms)
    }

    /// Notes that the write in flight took effect at `revision`; returns the changed records that
    /// it stored.
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

    /// Notes that the write in flight certainly took no effect; returns its changed jobs, which are
    /// queued again.
    pub fn write_failed(&mut self, now_ms: u64) -> Vec<JobId> {
        self.next_write_ms = now_ms + RETRY_DELAY_MS;
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

    /// Determines why the write in flight conflicted with the `current` entry of its slot.
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
        let mut ids = self.jobs_to_carry_over(index);
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

    /// Jobs whose latest stored record is in the slot, without those past their retention.
    fn jobs_to_carry_over(&mut self, index: usize) -> Vec<JobId> {
        self.expire(index);
        let current = self.slots[index].records.iter().filter(|stored| {
            let entry = self.jobs.get(&stored.id);
            entry.is_some_and(|entry| entry.stored == Some(stored.version))
        });
        current.map(|stored| JobId::clone(&stored.id)).collect()
    }

    /// Adds dirty jobs up to the size limit of a value, and at least one if `ids` is empty.
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

    /// Clears the dirty mark of `ids`; returns those that were dirty.
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

    /// Removes ended jobs past their retention whose only record is in the slot.
    fn expire(&mut self, index: usize) {
        let now_ms = clock::unix_ms();
        let surplus = self.ended.len().saturating_sub(self.config.max_ended);
        let expired = self.ended.iter().enumerate().take_while(|(number, (ended_at_ms, _))| {
            *number < surplus || ended_at_ms + self.config.keep_ended_ms < now_ms
        });
        let expired: HashSet<JobId> = expired.map(|(_, (_, id))| JobId::clone(id)).collect();
        if expired.is_empty() {
            return;
        }
        for stored in &self.slots[index].records {
            let Some(entry) = self.jobs.get(&stored.id) else { continue };
            if entry.copies <= 1 && !entry.is_dirty && expired.contains(&stored.id) {
                self.ended.remove(&(entry.record.ended_at_ms, JobId::clone(&stored.id)));
                self.jobs.remove(&stored.id);
            }
        }
    }

    /// Removes the records of a slot from the counts of copies.
    fn drop_copies(&mut self, index: usize) {
        for stored in std::mem::take(&mut self.slots[index].records) {
            if let Some(entry) = self.jobs.get_mut(&stored.id) {
                entry.copies = entry.copies.saturating_sub(1);
            }
        }
    }
}
