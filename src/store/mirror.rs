//! A local, read-only mirror of the store keys under `cell/`, kept current by one watch per
//! process.

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

/// Prefix of the mirrored keys.
pub const PREFIX: &str = "cell/";

/// Shortest pause before a failed watch is restarted, in milliseconds.
const RETRY_MIN_MS: u64 = 200;

/// Longest pause before a failed watch is restarted, in milliseconds.
const RETRY_MAX_MS: u64 = 500;

/// Rate limit on watch calls, per second. Under faster changes, one watch returns several changes.
const MAX_WATCHES_PER_S: u64 = 5;

/// Watch calls that may be made at once before the rate limit applies.
const WATCH_BURST: u64 = 3;

/// State of the keys under `cell/` as last read from the store.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Store revision that the entries reflect.
    pub revision: Revision,
    /// Whether the latest list or watch call succeeded. False before the first answer and while
    /// the store cannot be read.
    pub is_current: bool,
    /// Entries by key.
    pub entries: BTreeMap<String, Entry>,
}

impl Snapshot {
    /// Entries whose keys begin with `prefix`, in key order.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Entry> + 'a {
        let from = self.entries.range(prefix.to_owned()..);
        from.map(|(_, entry)| entry).take_while(move |entry| entry.key.starts_with(prefix))
    }

    /// Replaces all entries with a complete list read at `revision`. Ignores a list that is older
    /// than the snapshot; returns whether the list was applied.
    ///
    /// ```
    /// use hemlockrock::store::{mirror, Revision};
    ///
    /// let mut snapshot = mirror::Snapshot::default();
    /// assert!(snapshot.replace(Revision(7), Vec::new()));
    /// assert!(!snapshot.replace(Revision(6), Vec::new()));
    /// assert_eq!(snapshot.revision, Revision(7));
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

    /// Applies changes that are complete up to `revision`. Skips changes that the snapshot already
    /// includes.
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

/// Handle to the mirror. Clones share one snapshot; the watch stops when all of them are dropped.
#[derive(Clone, Debug)]
pub struct Mirror {
    shared: Arc<Mutex<Arc<Snapshot>>>,
    changed: async_channel::Receiver<()>,
}

impl Mirror {
    /// Starts the watch. The snapshot is empty until the store first answers. Each watch call waits
    /// up to `watch_wait_ms` for a change.
    pub fn start(store: Arc<dyn Store>, watch_wait_ms: u64) -> Self {
        let shared = Arc::new(Mutex::new(Arc::new(Snapshot::default())));
        let (sender, changed) = async_channel::bounded(1);
        let watcher = Watcher { store, shared: Arc::clone(&shared), sender, watch_wait_ms };
        task::spawn(watcher.run());
        Self { shared, changed }
    }

    /// The current snapshot.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.shared.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Waits for the next update of the snapshot. Each update wakes only one waiter.
    pub async fn changed(&self) {
        let _ = self.changed.recv().await;
    }
}

struct Watcher {
    store: Arc<dyn Store>,
    shared: Arc<Mutex<Arc<Snapshot>>>,
    sender: async_channel::Sender<()>,
    watch_wait_ms: u64,
}

impl Watcher {
    async fn run(self) {
        let seed = collections::stable_hash(format!("{}-{}", process::id(), clock::now_us()));
        let mut backoff = Backoff::new(RETRY_MIN_MS, RETRY_MAX_MS, seed);
        while !self.sender.is_closed() {
            if let Err(error) = self.list_and_watch(&mut backoff).await {
                spdlog::debug!("cannot update the mirror of {}: {}", PREFIX, error);
                self.update(|snapshot| snapshot.is_current = false);
            }
            task::sleep(Duration::from_millis(backoff.next_ms())).await;
        }
    }

    /// Lists all keys, then applies watched changes until a call fails or the store has compacted
    /// the history since the last watch.
    async fn list_and_watch(&self, backoff: &mut Backoff) -> Result<(), StoreError> {
        let (revision, entries) =
            store::list(self.store.as_ref(), PREFIX, Priority::Control).await?;
        let mut is_replaced = false;
        self.update(|snapshot| is_replaced = snapshot.replace(revision, entries));
        if !is_replaced {
            return Err(StoreError::Indeterminate(
                "the listed revision is older than the mirror".to_owned(),
            ));
        }
        let mut rate_limit = TokenBucket::new(MAX_WATCHES_PER_S, WATCH_BURST, clock::now_ms());
        while !self.sender.is_closed() {
            while !rate_limit.try_take(clock::now_ms(), 0) {
                task::sleep(Duration::from_millis(rate_limit.wait_ms(0).max(1))).await;
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
                other => return Err(other.into_error()),
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
