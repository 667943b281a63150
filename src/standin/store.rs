//! A fake of the platform's key-value service, kept in memory.

pub mod faults;
mod server;

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;

pub use server::StoreStandin;

use crate::collections::HashMap;
use crate::store::api::{self, Change};
use crate::store::{Answer, Entry, Expect, LeaseId, Operation, Revision};

/// Changes that are kept for watches.
const HISTORY_LIMIT: usize = 20_000;

/// The state of the fake; pure, so that models can drive it.
#[derive(Clone, Debug, Default)]
pub struct State {
    revision: Revision,
    entries: BTreeMap<String, Entry>,
    leases: HashMap<LeaseId, Lease>,
    next_lease: u64,
    history: VecDeque<Change>,
    compacted: Revision,
}

#[derive(Clone, Debug)]
struct Lease {
    ttl_ms: u64,
    ends_at_ms: u64,
}

impl State {
    /// An empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Revision of the last write.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Drops the history, so that watches from before meet a gap.
    pub fn compact(&mut self) {
        self.history.clear();
        self.compacted = self.revision;
    }

    /// Carries out one operation; a watch is answered with what there is.
    ///
    /// ```
    /// use hemlockrock::standin::store;
    /// use hemlockrock::store::{Answer, Expect, Operation};
    ///
    /// let mut state = store::State::new();
    /// let put = |expect| Operation::Put { key: "a".into(), value: "1".into(), expect, lease: None };
    /// assert!(matches!(state.apply(put(Expect::Absent), 0), Answer::Written { .. }));
    /// assert!(matches!(state.apply(put(Expect::Absent), 0), Answer::Conflict { .. }));
    /// ```
    pub fn apply(&mut self, operation: Operation, now_ms: u64) -> Answer {
        self.expire(now_ms);
        match operation {
            Operation::Get { key } => Answer::Entry { entry: self.entries.get(&key).cloned() },
            Operation::List { prefix } => self.list(&prefix),
            Operation::Put { key, value, expect, lease } => self.put(key, value, expect, lease),
            Operation::Delete { key, expect } => self.delete(&key, expect),
            Operation::Commit { conditions, puts, deletes } => {
                self.commit(&conditions, puts, &deletes)
            }
            Operation::Grant { ttl_ms } => self.grant(ttl_ms, now_ms),
            Operation::Renew { lease } => self.renew(lease, now_ms),
            Operation::Revoke { lease } => self.revoke(lease),
            Operation::Watch { prefix, after, .. } => self.changes(&prefix, after),
        }
    }

    /// Ends the leases that have lapsed.
    pub fn expire(&mut self, now_ms: u64) {
        let mut lapsed: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends_at_ms <= now_ms)
            .map(|(id, _)| *id)
            .collect();
        lapsed.sort_unstable();
        for lease in lapsed {
            self.revoke(lease);
        }
    }

    fn list(&self, prefix: &str) -> Answer {
        let from = self.entries.range(prefix.to_owned()..);
        let found = from.take_while(|(key, _)| key.starts_with(prefix));
        let entries = found.map(|(_, entry)| entry.clone()).collect();
        Answer::Entries { revision: self.revision, entries }
    }

    fn put(&mut self, key: String, value: Bytes, expect: Expect, lease: Option<LeaseId>) -> Answer {
        if value.len() > api::VALUE_LIMIT_BYTES {
            return Answer::TooLarge;
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Answer::LeaseGone;
        }
        let current = self.entries.get(&key);
        if !holds(expect, current) {
            return Answer::Conflict { current: current.cloned() };
        }
        let revision = Revision(self.revision.0 + 1);
        let created = current.map_or(revision, |entry| entry.created);
        let entry = Entry { key: key.clone(), value, created, modified: revision, lease };
        self.record(key, Some(entry));
        Answer::Written { revision }
    }

    fn delete(&mut self, key: &str, expect: Expect) -> Answer {
        let current = self.entries.get(key);
        if !holds(expect, current) {
            return Answer::Conflict { current: current.cloned() };
        }
        if current.is_some() {
            self.record(key.to_owned(), None);
        }
        Answer::Written { revision: self.revision }
    }

    fn commit(
        &mut self,
        conditions: &[(String, Expect)],
        puts: Vec<(String, Bytes, Option<LeaseId>)>,
        deletes: &[String],
    ) -> Answer {
        if puts.iter().any(|(_, value, _)| value.len() > api::VALUE_LIMIT_BYTES) {
            return Answer::TooLarge;
        }
        let leases = puts.iter().filter_map(|(_, _, lease)| lease.as_ref());
        if leases.into_iter().any(|lease| !self.leases.contains_key(lease)) {
            return Answer::LeaseGone;
        }
        if conditions.iter().any(|(key, expect)| !holds(*expect, self.entries.get(key))) {
            let current = conditions.iter().filter_map(|(key, _)| self.entries.get(key));
            return Answer::Conflicts { entries: current.cloned().collect() };
        }
        for (key, value, lease) in puts {
            self.put(key, value, Expect::Any, lease);
        }
        for key in deletes {
            self.delete(key, Expect::Any);
        }
        Answer::Written { revision: self.revision }
    }

    fn grant(&mut self, ttl_ms: u64, now_ms: u64) -> Answer {
        self.next_lease += 1;
        let lease = LeaseId(self.next_lease);
        self.leases.insert(lease, Lease { ttl_ms, ends_at_ms: now_ms + ttl_ms });
        Answer::Granted { lease }
    }

    fn renew(&mut self, lease: LeaseId, now_ms: u64) -> Answer {
        let Some(held) = self.leases.get_mut(&lease) else { return Answer::LeaseGone };
        held.ends_at_ms = now_ms + held.ttl_ms;
        Answer::Renewed
    }

    fn revoke(&mut self, lease: LeaseId) -> Answer {
        if self.leases.remove(&lease).is_none() {
            return Answer::LeaseGone;
        }
        let held = self.entries.values().filter(|entry| entry.lease == Some(lease));
        let keys: Vec<String> = held.map(|entry| entry.key.clone()).collect();
        for key in keys {
            self.record(key, None);
        }
        Answer::Renewed
    }

    fn changes(&self, prefix: &str, after: Revision) -> Answer {
        if after < self.compacted {
            return Answer::Compacted { oldest: self.compacted };
        }
        let newer = self.history.iter().rev().take_while(|change| change.revision > after);
        let mut changes: Vec<Change> =
            newer.filter(|change| change.key.starts_with(prefix)).cloned().collect();
        changes.reverse();
        Answer::Changes { revision: self.revision, changes }
    }

    fn record(&mut self, key: String, entry: Option<Entry>) {
        self.revision.0 += 1;
        match &entry {
            Some(entry) => self.entries.insert(key.clone(), entry.clone()),
            None => self.entries.remove(&key),
        };
        self.history.push_back(Change { revision: self.revision, key, entry });
        if self.history.len() > HISTORY_LIMIT {
            if let Some(oldest) = self.history.pop_front() {
                self.compacted = oldest.revision;
            }
        }
    }
}

fn holds(expect: Expect, current: Option<&Entry>) -> bool {
    match expect {
        Expect::Any => true,
        Expect::Absent => current.is_none(),
        Expect::Modified(revision) => current.is_some_and(|entry| entry.modified == revision),
    }
}
