//! An in-memory fake of the platform's key-value store: revisions, leases, watches and faults.

pub mod faults;
mod server;

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;

use bytes::Bytes;

pub use server::StoreStandin;

use crate::collections::HashMap;
use crate::store::api::{self, Change};
use crate::store::{Answer, Entry, Expect, LeaseId, Operation, Revision};

/// Number of past changes kept for watches; a watch that starts before the oldest is answered with
/// `Compacted`.
const MAX_HISTORY_CHANGES: usize = 20_000;

/// Most entries of a page.
const PAGE_ENTRIES: usize = 500;

/// The entries, leases and change history of the fake store.
///
/// Does no I/O and reads no clock, so that model-based tests can drive it directly.
#[derive(Clone, Debug, Default)]
pub struct State {
    revision: Revision,
    entries: BTreeMap<String, Entry>,
    leases: HashMap<LeaseId, Lease>,
    next_lease: u64,
    /// The latest changes of all keys, oldest first.
    history: VecDeque<Change>,
    /// Revision of the last change that was dropped from `history`.
    compacted: Revision,
}

#[derive(Clone, Debug)]
struct Lease {
    ttl_ms: u64,
    ends_at_ms: u64,
}

impl State {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Revision of the last write; 0 before the first.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Drops the history: watches that start before the current revision get `Compacted`.
    pub fn compact(&mut self) {
        self.history.clear();
        self.compacted = self.revision;
    }

    /// Expires leases, then applies one operation at `now_ms`.
    ///
    /// A watch does not block: it is answered with the changes recorded so far.
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
            Operation::ListPage { prefix, after } => self.list_page(&prefix, after.as_deref()),
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

    /// Removes the leases that have expired by `now_ms`, with the entries bound to them.
    pub fn expire(&mut self, now_ms: u64) {
        let mut expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends_at_ms <= now_ms)
            .map(|(id, _)| *id)
            .collect();
        expired.sort_unstable();
        for lease in expired {
            self.revoke(lease);
        }
    }

    fn list(&self, prefix: &str) -> Answer {
        let from = self.entries.range(prefix.to_owned()..);
        let found = from.take_while(|(key, _)| key.starts_with(prefix));
        let entries = found.map(|(_, entry)| entry.clone()).collect();
        Answer::Entries { revision: self.revision, entries }
    }

    fn list_page(&self, prefix: &str, after: Option<&str>) -> Answer {
        let from = after.map_or(Bound::Included(prefix), Bound::Excluded);
        let found = self.entries.range::<str, _>((from, Bound::Unbounded));
        let mut found = found.take_while(|(key, _)| key.starts_with(prefix));
        let entries: Vec<Entry> =
            found.by_ref().take(PAGE_ENTRIES).map(|(_, entry)| entry.clone()).collect();
        Answer::Page { revision: self.revision, entries, has_more: found.next().is_some() }
    }

    fn put(&mut self, key: String, value: Bytes, expect: Expect, lease: Option<LeaseId>) -> Answer {
        if value.len() > api::VALUE_LIMIT_BYTES {
            return Answer::TooLarge;
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Answer::LeaseGone;
        }
        let current = self.entries.get(&key);
        if !is_met(expect, current) {
            return Answer::Conflict { current: current.cloned() };
        }
        let revision = Revision(self.revision.0 + 1);
        let created = current.map_or(revision, |entry| entry.created);
        let entry = Entry { key: key.clone(), value, created, modified: revision, lease };
        self.apply_change(key, Some(entry));
        Answer::Written { revision }
    }

    fn delete(&mut self, key: &str, expect: Expect) -> Answer {
        let current = self.entries.get(key);
        if !is_met(expect, current) {
            return Answer::Conflict { current: current.cloned() };
        }
        if current.is_some() {
            self.apply_change(key.to_owned(), None);
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
        if conditions.iter().any(|(key, expect)| !is_met(*expect, self.entries.get(key))) {
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
            self.apply_change(key, None);
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

    fn apply_change(&mut self, key: String, entry: Option<Entry>) {
        self.revision.0 += 1;
        match &entry {
            Some(entry) => self.entries.insert(key.clone(), entry.clone()),
            None => self.entries.remove(&key),
        };
        self.history.push_back(Change { revision: self.revision, key, entry });
        if self.history.len() > MAX_HISTORY_CHANGES {
            if let Some(oldest) = self.history.pop_front() {
                self.compacted = oldest.revision;
            }
        }
    }
}

/// Whether the current entry of a key meets the precondition of a write.
fn is_met(expect: Expect, current: Option<&Entry>) -> bool {
    match expect {
        Expect::Any => true,
        Expect::Absent => current.is_none(),
        Expect::Modified(revision) => current.is_some_and(|entry| entry.modified == revision),
    }
}
