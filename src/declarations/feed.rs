//! Publishes declarations in the store and feeds the accepted ones to a daemon.
//!
//! The root record under [`ROOT`] names the parts that hold the document; a
//! daemon takes a root only if its revision is higher than the one in force.

use std::sync::{Arc, Mutex, PoisonError};

use async_std::task;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::declarations::Declarations;
use crate::store::mirror::Mirror;
use crate::store::{self, Expect, Priority, Put, PutOutcome, Store, StoreError};

/// Key of the root record.
pub const ROOT: &str = "cell/config/root";

/// Prefix of the parts, which are named by the digest of their content.
pub const PARTS: &str = "config/parts/";

/// Largest part, in bytes.
const PART_LIMIT_BYTES: usize = 500_000;

/// The root record: which declarations are accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Root {
    /// Number of the accepted change, from 1.
    pub revision: u64,
    /// Digest of the whole document.
    pub digest: String,
    /// Keys of the parts, in order.
    pub parts: Vec<String>,
}

/// Declarations in force.
#[derive(Clone, Debug, Default)]
pub struct Accepted {
    /// Number of the accepted change; 0 before the first.
    pub revision: u64,
    /// Digest of the whole document.
    pub digest: String,
    /// The declarations.
    pub declarations: Declarations,
}

/// Why declarations could not be published or read.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum FeedError {
    /// The store gave no answer of its own.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// Another change was accepted first.
    #[error("another change was accepted first")]
    Raced,
    /// A record or part cannot be read.
    #[error("declarations cannot be read: {0}")]
    Unreadable(String),
}

/// Publishes declarations as the next revision and returns its number.
///
/// # Errors
/// [`FeedError`]; [`FeedError::Raced`] when another operator was first.
pub async fn publish(store: &dyn Store, declarations: &Declarations) -> Result<u64, FeedError> {
    let current = store::get(store, ROOT, Priority::Record).await?;
    let before: Root = match &current {
        Some(entry) => serde_json::from_slice(&entry.value).map_err(unreadable)?,
        None => Root::default(),
    };
    let document = serde_json::to_vec(declarations).map_err(unreadable)?;
    let mut parts = Vec::new();
    for part in document.chunks(PART_LIMIT_BYTES) {
        let key = format!("{PARTS}{}", digest(part));
        let put = Put {
            key: key.clone(),
            value: Bytes::copy_from_slice(part),
            expect: Expect::Any,
            lease: None,
        };
        store::put(store, put, Priority::Record).await?;
        parts.push(key);
    }
    let root = Root { revision: before.revision + 1, digest: digest(&document), parts };
    let expect = current.map_or(Expect::Absent, |entry| Expect::Modified(entry.modified));
    let value = serde_json::to_vec(&root).map_err(unreadable)?;
    let put = Put { key: ROOT.to_owned(), value: Bytes::from(value), expect, lease: None };
    match store::put(store, put, Priority::Record).await? {
        PutOutcome::Written(_) => Ok(root.revision),
        PutOutcome::Conflict(_) => Err(FeedError::Raced),
    }
}

/// The declarations in force in this process, kept current.
#[derive(Clone, Debug)]
pub struct Feed {
    current: Arc<Mutex<Arc<Accepted>>>,
    changed: async_channel::Receiver<()>,
}

impl Feed {
    /// Starts to follow the root record in `mirror`.
    pub fn start(mirror: Mirror, store: Arc<dyn Store>) -> Self {
        let current = Arc::new(Mutex::new(Arc::new(Accepted::default())));
        let (sender, changed) = async_channel::bounded(1);
        task::spawn(follow(mirror, store, Arc::clone(&current), sender));
        Self { current, changed }
    }

    /// The declarations in force.
    pub fn current(&self) -> Arc<Accepted> {
        Arc::clone(&self.current.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Waits for the next change; one waiter at a time is told.
    pub async fn changed(&self) {
        let _ = self.changed.recv().await;
    }
}

async fn follow(
    mirror: Mirror,
    store: Arc<dyn Store>,
    current: Arc<Mutex<Arc<Accepted>>>,
    sender: async_channel::Sender<()>,
) {
    const LOOK_EVERY_MS: u64 = 50;
    while !sender.is_closed() {
        let in_force = current.lock().unwrap_or_else(PoisonError::into_inner).revision;
        if let Some(root) = newer_root(&mirror, in_force) {
            match read(store.as_ref(), &root).await {
                Ok(accepted) => {
                    let accepted = Arc::new(accepted);
                    *current.lock().unwrap_or_else(PoisonError::into_inner) = accepted;
                    let _ = sender.try_send(());
                }
                Err(error) => spdlog::warn!("revision {} not read: {}", root.revision, error),
            }
        }
        task::sleep(std::time::Duration::from_millis(LOOK_EVERY_MS)).await;
    }
}

fn newer_root(mirror: &Mirror, in_force: u64) -> Option<Root> {
    let snapshot = mirror.snapshot();
    let entry = snapshot.entries.get(ROOT)?;
    let root: Root = serde_json::from_slice(&entry.value).ok()?;
    (root.revision > in_force).then_some(root)
}

async fn read(store: &dyn Store, root: &Root) -> Result<Accepted, FeedError> {
    let mut document = Vec::new();
    for key in &root.parts {
        let entry = store::get(store, key.as_str(), Priority::Record).await?;
        let entry = entry.ok_or_else(|| FeedError::Unreadable(format!("{key} is missing")))?;
        document.extend_from_slice(&entry.value);
    }
    if digest(&document) != root.digest {
        return Err(FeedError::Unreadable("the digest differs".to_owned()));
    }
    let declarations = serde_json::from_slice(&document).map_err(unreadable)?;
    Ok(Accepted { revision: root.revision, digest: root.digest.clone(), declarations })
}

fn digest(bytes: &[u8]) -> String {
    format!("{:x}", Sha256::digest(bytes))
}

#[allow(clippy::needless_pass_by_value, reason = "used with map_err")]
fn unreadable(error: serde_json::Error) -> FeedError {
    FeedError::Unreadable(error.to_string())
}
