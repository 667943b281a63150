//! Loading of a journal from the store.

use std::collections::BTreeSet;

use super::{JobEntry, Journal, JournalError, Slot, StoredVersion, SLOTS};
use crate::collections::HashMap;
use crate::configs::placer::RecordsConfig;
use crate::jobs::record::{JobRecord, SlotValue};
use crate::place::message::JobId;
use crate::store::Entry;

impl Journal {
    /// Loads the journal from the store entries under [`Journal::prefix`].
    ///
    /// # Errors
    /// [`JournalError`] if a slot has a higher epoch or cannot be decoded.
    pub fn open(
        config: RecordsConfig,
        zone: &str,
        epoch: u64,
        entries: &[Entry],
    ) -> Result<Self, JournalError> {
        let mut journal = Self {
            config,
            prefix: Self::prefix(zone),
            epoch,
            sequence: 0,
            slots: (0..SLOTS).map(|_| Slot::default()).collect(),
            jobs: HashMap::default(),
            dirty: Vec::new(),
            in_flight: None,
            next_write_ms: 0,
            ended: BTreeSet::new(),
        };
        for entry in entries {
            journal.load(entry)?;
        }
        journal.index_ended();
        Ok(journal)
    }

    fn load(&mut self, entry: &Entry) -> Result<(), JournalError> {
        let unreadable =
            |problem: String| JournalError::Unreadable { key: entry.key.clone(), problem };
        let number = entry.key.strip_prefix(&self.prefix).and_then(|number| number.parse().ok());
        let index = number.filter(|index| *index < self.slots.len());
        let index: usize =
            index.ok_or_else(|| unreadable("the key is not that of a slot".to_owned()))?;
        let value =
            SlotValue::decode(&entry.value).map_err(|error| unreadable(error.to_string()))?;
        if value.epoch > self.epoch {
            return Err(JournalError::Superseded(value.epoch));
        }
        self.sequence = self.sequence.max(value.sequence);
        let mut records = Vec::new();
        for record in value.records {
            records.push(StoredVersion {
                id: JobId::clone(&record.id),
                version: record.progress.version,
            });
            self.load_record(record);
        }
        self.slots[index] = Slot { modified: Some(entry.modified), records };
        Ok(())
    }

    fn load_record(&mut self, record: JobRecord) {
        let version = record.progress.version;
        let entry = self.jobs.entry(JobId::clone(&record.id)).or_insert_with(|| JobEntry {
            record: record.clone(),
            stored: Some(version),
            copies: 0,
            is_dirty: false,
        });
        entry.copies += 1;
        if entry.stored < Some(version) {
            entry.stored = Some(version);
            entry.record = record;
        }
    }

    fn index_ended(&mut self) {
        let ended = self.jobs.values().filter(|entry| entry.record.is_ended());
        self.ended =
            ended.map(|entry| (entry.record.ended_at_ms, JobId::clone(&entry.record.id))).collect();
    }
}
