//! A read-only copy of the keys under `cell/`, kept current by the one watch of the process.

use std::collections::BTreeMap;
use std::process;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::task;

use crate::clock;
use crate::collections;
use crate::store::api::Change;
use crate::store::backoff::Backoff;
use crate::store::budget::TokenBucket;
use crate::store::{self, Answer, Entry, Operation, Priority, Revision, Store, StoreError};

/// Prefix of the keys that every daemon follows.
pub const PREFIX: &str = "cell/";

/// Shortest pause before a failed watch is begun again, in milliseconds.
const RETRY_MIN_MS: u64 = 200;

/// Longest pause before a failed watch is begun again, in milliseconds.
const RETRY_MAX_MS: u64 = 500;

/// Watches a second when changes come fast; more changes are read by one watch.
const WATCHES_PER_S: u64 = 5;

/// Watches that follow on each other at once before they are paced.
const WATCH_BURST: u64 = 3;

/// The keys under `cell/` as last seen.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Revision up to which the keys are complete.
    pub revision: Revision,
    /// Whether the last word from the store is recent.
    pub is_current: bool,
    /// Keys and their entries.
    pub entries: BTreeMap<String, Entry>,
}

impl Snapshot {
    /// Entries whose keys begin with `prefix`.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Entry> + 'a {
        let from = self.entries.range(prefix.to_owned()..);
        from.map(|(_, entry)| entry).take_while(move |entry| entry.key.starts_with(prefix))
    }

    /// Takes a whole list of keys, unless it is older than the copy; returns whether it did.
    ///
    /// ```
    /// use hemlockrock::store::{mirror, Revision};
    ///
    /// let mut copy = mirror::Snapshot::default();
    /// assert!(copy.replace(Revision(7), Vec::new()));
    /// assert!(!copy.replace(Revision(6), Vec::new()));
    /// assert_eq!(copy.revision, Revision(7));
    /// ```
    pub fn replace(&mut self, revision: Revision, entries: Vec<Entry>) -> bool {
        if revision < self.revision {
            return false;
        }
        self.revision = revision;
        self.is_current = true;
        self.entries = entries.into_iter().map(|entry| (entry.key.clone(), entry)).collect();
        true
    }

    /// Applies changes that are complete up to `revision`; older ones leave the copy as it is.
    pub fn apply(&mut self, revision: Revision, changes: Vec<Change>) {
        self.is_current = true;
        for change in changes {
            if change.revision <= self.revision {
                continue;
            }
            match change.entry {
                Some(entry) => self.entries.insert(change.key, entry),
                None => self.entries.remove(&change.key),
            };
        }
        self.revision = self.revision.max(revision);
    }
}

/// A handle on the copy.
#[derive(Clone, Debug)]
pub struct Mirror {
    shared: Arc<Mutex<Arc<Snapshot>>>,
    changed: async_channel::Receiver<()>,
}

impl Mirror {
    /// Starts to follow the store; the copy is empty until the first answer.
    pub fn start(store: Arc<dyn Store>, watch_wait_ms: u64) -> Self {
        let shared = Arc::new(Mutex::new(Arc::new(Snapshot::default())));
        let (sender, changed) = async_channel::bounded(1);
        let follower = Follower { store, shared: Arc::clone(&shared), sender, watch_wait_ms };
        task::spawn(follower.run());
        Self { shared, changed }
    }

    /// The copy as it is now.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.shared.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Waits for the next change; one waiter at a time is told.
    pub async fn changed(&self) {
        let _ = self.changed.recv().await;
    }
}

struct Follower {
    store: Arc<dyn Store>,
    shared: Arc<Mutex<Arc<Snapshot>>>,
    sender: async_channel::Sender<()>,
    watch_wait_ms: u64,
}

impl Follower {
    async fn run(self) {
        let seed = collections::stable_hash(format!("{}-{}", process::id(), clock::now_us()));
        let mut backoff = Backoff::new(RETRY_MIN_MS, RETRY_MAX_MS, seed);
        while !self.sender.is_closed() {
            if let Err(error) = self.follow(&mut backoff).await {
                spdlog::debug!("the copy of the store is not current: {}", error);
                self.update(|snapshot| snapshot.is_current = false);
            }
            task::sleep(Duration::from_millis(backoff.next_ms())).await;
        }
    }

    /// Reads all keys, then applies changes until the store is away or its history has a gap.
    async fn follow(&self, backoff: &mut Backoff) -> Result<(), StoreError> {
        let (revision, entries) =
            store::list(self.store.as_ref(), PREFIX, Priority::Control).await?;
        let mut taken = false;
        self.update(|snapshot| taken = snapshot.replace(revision, entries));
        if !taken {
            return Err(StoreError::Lost("the answer is older than the copy".to_owned()));
        }
        let mut pace = TokenBucket::new(WATCHES_PER_S, WATCH_BURST, clock::now_ms());
        while !self.sender.is_closed() {
            while !pace.take(clock::now_ms(), 0) {
                task::sleep(Duration::from_millis(pace.wait_ms(0).max(1))).await;
            }
            let after = self.lock().revision;
            let watch =
                Operation::Watch { prefix: PREFIX.to_owned(), after, wait_ms: self.watch_wait_ms };
            match self.store.call(watch, Priority::Control).await? {
                Answer::Changes { revision, changes } => {
                    backoff.reset();
                    self.update(|snapshot| snapshot.apply(revision, changes));
                }
                Answer::Compacted { .. } => return Ok(()),
                other => return Err(other.unexpected()),
            }
        }
        Ok(())
    }

    fn update(&self, change: impl FnOnce(&mut Snapshot)) {
        change(Arc::make_mut(&mut self.lock()));
        let _ = self.sender.try_send(());
    }

    fn lock(&self) -> MutexGuard<'_, Arc<Snapshot>> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
