//! The platform's metadata store: records with revisions, conditional commits, and a lease on the
//! leader key.

use std::collections::BTreeMap;

use hemlockrock::queue::model::{JobId, RunnerReport, Submission};
use hemlockrock::queue::record::{Progress, RosterEntry};

/// Key of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Key {
    Job(JobId),
    Cancel(JobId),
    Progress(JobId),
    Roster,
    Leader,
    Terms,
    Runner(usize),
}

/// A term of a host, as the store records it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TermRecord {
    pub(super) host: usize,
    pub(super) nonce: u64,
}

/// Content of a record.
#[derive(Clone, Debug)]
pub(super) enum Value {
    Job(Submission),
    Cancel,
    Progress(Progress),
    Roster(Vec<RosterEntry>),
    /// Host that holds the leader key.
    Leader(usize),
    /// Terms whose orders may still have an effect.
    Terms(Vec<TermRecord>),
    Runner(RunnerReport),
}

#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) value: Value,
    pub(super) modified: u64,
}

/// A conditional write; a condition without a revision requires that the key does not exist.
#[derive(Clone, Debug, Default)]
pub(super) struct Commit {
    pub(super) conditions: Vec<(Key, Option<u64>)>,
    pub(super) puts: Vec<(Key, Value)>,
    pub(super) deletes: Vec<Key>,
}

/// Result of a commit.
#[derive(Clone, Debug)]
pub(super) enum CommitOutcome {
    /// Revision of the write.
    Written(u64),
    /// Keys of the conditions with their current revisions.
    Conflict(BTreeMap<Key, u64>),
}

#[derive(Debug, Default)]
pub(super) struct Store {
    entries: BTreeMap<Key, Entry>,
    pub(super) revision: u64,
    /// Time at which the lease of the leader key ends.
    leader_until_ms: u64,
}

impl Store {
    pub(super) fn get(&self, key: Key) -> Option<&Entry> {
        self.entries.get(&key)
    }

    pub(super) fn entries(&self) -> impl Iterator<Item = (Key, &Entry)> {
        self.entries.iter().map(|(key, entry)| (*key, entry))
    }

    /// Progress records; a job without one has not changed yet.
    pub(super) fn progress(&self, job: JobId) -> Option<&Progress> {
        match &self.get(Key::Progress(job))?.value {
            Value::Progress(progress) => Some(progress),
            _ => None,
        }
    }

    /// Host and fencing token of the leader.
    pub(super) fn leader(&self) -> Option<(usize, u64)> {
        let entry = self.get(Key::Leader)?;
        match entry.value {
            Value::Leader(host) => Some((host, entry.modified)),
            _ => None,
        }
    }

    pub(super) fn put(&mut self, key: Key, value: Value) {
        self.revision += 1;
        self.entries.insert(key, Entry { value, modified: self.revision });
    }

    pub(super) fn delete(&mut self, key: Key) {
        if self.entries.remove(&key).is_some() {
            self.revision += 1;
        }
    }

    pub(super) fn commit(&mut self, commit: &Commit) -> CommitOutcome {
        let revision_of = |key: &Key| self.entries.get(key).map(|entry| entry.modified);
        if commit.conditions.iter().any(|(key, expected)| revision_of(key) != *expected) {
            let current = commit.conditions.iter();
            let current = current.filter_map(|(key, _)| Some((*key, revision_of(key)?)));
            return CommitOutcome::Conflict(current.collect());
        }
        self.revision += 1;
        for (key, value) in &commit.puts {
            let entry = Entry { value: value.clone(), modified: self.revision };
            self.entries.insert(*key, entry);
        }
        for key in &commit.deletes {
            self.entries.remove(key);
        }
        CommitOutcome::Written(self.revision)
    }

    /// Removes the leader key if its lease has ended.
    pub(super) fn expire_leader(&mut self, now_ms: u64) {
        if now_ms >= self.leader_until_ms {
            self.delete(Key::Leader);
        }
    }

    /// Delays the end of the leader's lease by an outage in which leases do not run.
    pub(super) fn pause_leases(&mut self, outage_ms: u64) {
        self.leader_until_ms += outage_ms;
    }

    /// Starts the lease of a leader key that was just created.
    pub(super) fn grant_leader(&mut self, until_ms: u64) {
        self.leader_until_ms = until_ms;
    }

    /// Renews the lease of the term with this token; returns whether it still holds.
    pub(super) fn renew_leader(&mut self, token: u64, until_ms: u64) -> bool {
        let holds = self.leader().is_some_and(|(_, current)| current == token);
        if holds {
            self.leader_until_ms = self.leader_until_ms.max(until_ms);
        }
        holds
    }
}
