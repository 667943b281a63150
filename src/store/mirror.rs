//! A read-only copy of the keys under `cell/`, kept current by the one watch of the process.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::task;

use crate::store::{self, Answer, Entry, Operation, Priority, Revision, Store, StoreError};

/// Prefix of the keys that every daemon follows.
pub const PREFIX: &str = "cell/";

/// Pause before a failed watch is begun again, in milliseconds.
const RETRY_MS: u64 = 200;

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
        loop {
            if self.follow().await.is_err() {
                self.update(|snapshot| snapshot.is_current = false);
                task::sleep(Duration::from_millis(RETRY_MS)).await;
            }
            if self.sender.is_closed() {
                return;
            }
        }
    }

    /// Reads all keys, then applies changes until the store is away or its history has a gap.
    async fn follow(&self) -> Result<(), StoreError> {
        let (mut revision, entries) =
            store::list(self.store.as_ref(), PREFIX, Priority::Control).await?;
        self.update(|snapshot| {
            snapshot.revision = revision;
            snapshot.is_current = true;
            snapshot.entries =
                entries.into_iter().map(|entry| (entry.key.clone(), entry)).collect();
        });
        while !self.sender.is_closed() {
            let watch = Operation::Watch {
                prefix: PREFIX.to_owned(),
                after: revision,
                wait_ms: self.watch_wait_ms,
            };
            match self.store.call(watch, Priority::Control).await? {
                Answer::Changes { revision: upto, changes } => {
                    revision = upto;
                    self.update(|snapshot| {
                        snapshot.revision = upto;
                        snapshot.is_current = true;
                        for change in changes {
                            match change.entry {
                                Some(entry) => snapshot.entries.insert(change.key, entry),
                                None => snapshot.entries.remove(&change.key),
                            };
                        }
                    });
                }
                Answer::Compacted { .. } => return Ok(()),
                other => return Err(other.unexpected()),
            }
        }
        Ok(())
    }

    fn update(&self, change: impl FnOnce(&mut Snapshot)) {
        let mut shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        change(Arc::make_mut(&mut shared));
        drop(shared);
        let _ = self.sender.try_send(());
    }
}
