//! Feeds the accepted declarations to a daemon.
//!
//! A daemon takes a root record only if its revision is higher than the one
//! in force, keeps the last one through outages, and takes a higher one from
//! a peer while the store is away.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::task;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

pub use crate::declarations::parts::PARTS;
pub use crate::declarations::publish::{Root, ROOT};

use crate::clock;
use crate::collections::{self, HashMap};
use crate::declarations::parts::{self, PartsError};
use crate::declarations::peer::{self, Peers};
use crate::declarations::publish::{self, Change, PublishError};
use crate::declarations::{read, Declarations};
use crate::membership::Session;
use crate::store::backoff::Backoff;
use crate::store::mirror::Mirror;
use crate::store::{Revision, Store, StoreError};

/// Time between looks at the root record, in milliseconds.
const LOOK_EVERY_MS: u64 = 50;

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

impl From<PartsError> for FeedError {
    fn from(error: PartsError) -> Self {
        Self::Unreadable(error.to_string())
    }
}

impl From<PublishError> for FeedError {
    fn from(error: PublishError) -> Self {
        match error {
            PublishError::Raced(_) | PublishError::Unexpected { .. } => Self::Raced,
            PublishError::NotAccepted(error) => Self::Store(error),
            PublishError::InDoubt { error, .. } => {
                Self::Store(StoreError::Indeterminate(error.to_string()))
            }
            PublishError::NoTrail(error) => Self::Unreadable(error.to_string()),
            PublishError::Unreadable(message) => Self::Unreadable(message),
        }
    }
}

/// Publishes declarations as the next revision and returns its number.
///
/// # Errors
/// [`FeedError`]; [`FeedError::Raced`] when another operator was first.
pub async fn publish(store: &dyn Store, declarations: &Declarations) -> Result<u64, FeedError> {
    let change = Change::new("program", "published by a program");
    Ok(publish::publish_change(store, declarations, &change).await?.revision)
}

/// What a root record says about the document.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Head {
    /// Number of the accepted change.
    pub revision: u64,
    /// Digest of the whole document.
    pub digest: String,
    /// Key of the manifest.
    pub manifest: String,
}

impl From<&Root> for Head {
    fn from(root: &Root) -> Self {
        let Root { revision, digest, manifest, .. } = root.clone();
        Self { revision, digest, manifest }
    }
}

/// A document as it was read: its head, and its manifest and parts by key.
#[derive(Clone, Debug, Default)]
pub struct Document {
    /// Head of the document.
    pub head: Head,
    /// Manifest and parts, by key.
    pub parts: HashMap<String, Bytes>,
}

impl Document {
    /// Checks the document and puts it together.
    ///
    /// # Errors
    /// A part is missing or damaged, or the digest is another one.
    pub fn accept(&self) -> Result<Accepted, PartsError> {
        let Head { revision, digest, manifest } = &self.head;
        let missing = || PartsError::Missing(manifest.clone());
        let value = self.parts.get(manifest).ok_or_else(missing)?;
        if parts::digest(value) != *digest {
            return Err(PartsError::Damaged(manifest.clone()));
        }
        let declarations = parts::unpack(value, |key| self.parts.get(key).cloned())?;
        Ok(Accepted { revision: *revision, digest: digest.clone(), declarations })
    }
}

/// The declarations in force in this process, kept current.
#[derive(Clone, Debug)]
pub struct Feed {
    shared: Arc<Shared>,
    changed: async_channel::Receiver<()>,
}

/// The document in force; it only ever gives way to one of a higher revision.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    accepted: Arc<Accepted>,
    document: Arc<Document>,
}

impl InForce {
    /// Takes a document if its revision is higher than the one in force; returns whether it did.
    ///
    /// # Errors
    /// The document is damaged.
    ///
    /// ```
    /// use hemlockrock::declarations::{feed, parts, Declarations};
    ///
    /// let packed = parts::pack(&Declarations::default())?;
    /// let head = feed::Head {
    ///     revision: 1,
    ///     digest: packed.digest,
    ///     manifest: packed.manifest.key.clone(),
    /// };
    /// let parts = packed.parts.into_iter().chain([packed.manifest]);
    /// let parts = parts.map(|part| (part.key, part.value)).collect();
    /// let document = feed::Document { head, parts };
    /// let mut in_force = feed::InForce::default();
    /// assert!(in_force.take(document.clone())?);
    /// assert!(!in_force.take(document)?);
    /// # Ok::<(), parts::PartsError>(())
    /// ```
    pub fn take(&mut self, document: Document) -> Result<bool, PartsError> {
        if document.head.revision <= self.accepted.revision {
            return Ok(false);
        }
        let accepted = document.accept()?;
        Ok(self.put(accepted, document))
    }

    fn put(&mut self, accepted: Accepted, document: Document) -> bool {
        if accepted.revision <= self.accepted.revision {
            return false;
        }
        self.accepted = Arc::new(accepted);
        self.document = Arc::new(document);
        true
    }

    /// The declarations in force.
    pub fn accepted(&self) -> Arc<Accepted> {
        Arc::clone(&self.accepted)
    }

    /// The document in force as it was read.
    pub fn document(&self) -> Arc<Document> {
        Arc::clone(&self.document)
    }
}

#[derive(Debug, Default)]
struct Shared {
    in_force: Mutex<InForce>,
    session: Mutex<Option<Session>>,
}

impl Feed {
    /// Starts to follow the root record in `mirror`.
    pub fn start(mirror: Mirror, store: Arc<dyn Store>) -> Self {
        Self::start_with_peers(mirror, store, Peers::none())
    }

    /// Starts to follow the root record in `mirror`, and asks `peers` while the store is away.
    pub fn start_with_peers(mirror: Mirror, store: Arc<dyn Store>, peers: Peers) -> Self {
        let shared = Arc::new(Shared::default());
        let (sender, changed) = async_channel::bounded(1);
        let seed = collections::stable_hash(format!("{}-{}", std::process::id(), clock::now_us()));
        let follower = Follower {
            mirror,
            store,
            shared: Arc::clone(&shared),
            sender,
            seen: None,
            peers,
            pauses: Backoff::new(RETRY_MIN_MS, RETRY_MAX_MS, seed),
            next_read_ms: 0,
            next_ask_ms: 0,
        };
        task::spawn(follower.run());
        Self { shared, changed }
    }

    /// The declarations in force.
    pub fn current(&self) -> Arc<Accepted> {
        lock(&self.shared.in_force).accepted()
    }

    /// The document in force as it was read, for peers.
    pub fn document(&self) -> Arc<Document> {
        self.shared.document()
    }

    /// Tells the revision in force in the member record of `session` from now on.
    pub fn report_to(&self, session: &Session) {
        *lock(&self.shared.session) = Some(session.clone());
        self.shared.report();
    }

    /// Waits for the next change; one waiter at a time is told.
    pub async fn changed(&self) {
        let _ = self.changed.recv().await;
    }
}

impl Shared {
    fn revision(&self) -> u64 {
        lock(&self.in_force).accepted.revision
    }

    fn document(&self) -> Arc<Document> {
        lock(&self.in_force).document()
    }

    fn take(&self, document: Document) -> Result<bool, PartsError> {
        if document.head.revision <= self.revision() {
            return Ok(false);
        }
        let accepted = document.accept()?;
        let taken = lock(&self.in_force).put(accepted, document);
        if taken {
            self.report();
        }
        Ok(taken)
    }

    fn report(&self) {
        let revision = self.revision();
        if let Some(session) = &*lock(&self.session) {
            session.update(|member| {
                member.config_revision = member.config_revision.max(revision);
            });
        }
    }
}

/// Shortest pause after a root that could not be read, in milliseconds.
const RETRY_MIN_MS: u64 = 50;

/// Longest pause after a root that could not be read, in milliseconds.
const RETRY_MAX_MS: u64 = 1_000;

struct Follower {
    mirror: Mirror,
    store: Arc<dyn Store>,
    shared: Arc<Shared>,
    sender: async_channel::Sender<()>,
    /// Root record that was looked at last, by the revision of its write.
    seen: Option<Revision>,
    peers: Peers,
    pauses: Backoff,
    next_read_ms: u64,
    next_ask_ms: u64,
}

impl Follower {
    async fn run(mut self) {
        while !self.sender.is_closed() {
            self.look_at_store().await;
            self.look_at_peers().await;
            task::sleep(Duration::from_millis(LOOK_EVERY_MS)).await;
        }
    }

    async fn look_at_store(&mut self) {
        if clock::now_ms() < self.next_read_ms {
            return;
        }
        let Some((modified, head)) = self.newer_head() else { return };
        match self.read(&head).await {
            Ok(()) => {
                self.seen = Some(modified);
                self.pauses.reset();
            }
            Err(error) => {
                self.next_read_ms = clock::now_ms() + self.pauses.next_ms();
                spdlog::debug!("revision {} not read: {}", head.revision, error);
            }
        }
    }

    /// The head in the mirror, if it was not looked at and is higher than the one in force.
    fn newer_head(&mut self) -> Option<(Revision, Head)> {
        let snapshot = self.mirror.snapshot();
        let entry = snapshot.entries.get(ROOT)?;
        if self.seen == Some(entry.modified) {
            return None;
        }
        let head = publish::decode_root(&entry.value).map(|root| Head::from(&root));
        match head {
            Ok(head) if head.revision > self.shared.revision() => Some((entry.modified, head)),
            Ok(_) => {
                self.seen = Some(entry.modified);
                None
            }
            Err(error) => {
                spdlog::error!("the root record cannot be read: {}", error);
                self.seen = Some(entry.modified);
                None
            }
        }
    }

    /// Reads the manifest and the parts that the document in force does not have.
    async fn read(&self, head: &Head) -> Result<(), FeedError> {
        let old = self.shared.document();
        let document = read::document(self.store.as_ref(), head, &old).await?;
        self.take(document)
    }

    /// Asks a peer at the start, and from time to time while the store is away.
    async fn look_at_peers(&mut self) {
        let is_cut_off = !self.mirror.snapshot().is_current;
        if self.shared.revision() > 0 && !is_cut_off || clock::now_ms() < self.next_ask_ms {
            return;
        }
        let snapshot = self.mirror.snapshot();
        let Some(address) = self.peers.next(&snapshot) else { return };
        self.next_ask_ms = clock::now_ms() + self.pauses.jittered_ms(self.peers.ask_every_ms());
        let old = self.shared.document();
        match peer::fetch(&self.peers, &address, &old).await {
            Ok(Some(document)) => {
                let revision = document.head.revision;
                match self.take(document) {
                    Ok(()) => spdlog::info!("revision {} taken from {}", revision, address),
                    Err(error) => spdlog::warn!("{} sent a bad document: {}", address, error),
                }
            }
            Ok(None) => {}
            Err(error) => spdlog::debug!("{} not asked: {}", address, error),
        }
    }

    fn take(&self, document: Document) -> Result<(), FeedError> {
        if self.shared.take(document)? {
            let _ = self.sender.try_send(());
        }
        Ok(())
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
