//! Keeps the declarations in force in a daemon up to date.
//!
//! A daemon replaces its declarations only by those of a higher revision. It
//! keeps the last ones through outages of the store, and takes a higher
//! revision from a peer at its start and while the store is unavailable.

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

/// Time between checks of the mirrored root record, in milliseconds.
const POLL_INTERVAL_MS: u64 = 50;

/// Accepted declarations with their revision.
#[derive(Clone, Debug, Default)]
pub struct AcceptedDeclarations {
    /// Number of the change that published them; 0 before the first.
    pub revision: u64,
    /// Digest of the whole document.
    pub digest: String,
    /// Content of the document.
    pub declarations: Declarations,
}

/// Why declarations could not be published or read.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum FeedError {
    /// The store could not be reached or refused the call.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// Another change was accepted first, or another revision than the expected one is in force.
    #[error("another change was accepted first")]
    Conflict,
    /// A record or part is missing, damaged or cannot be decoded.
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
            PublishError::Conflict(_) | PublishError::RevisionMismatch { .. } => Self::Conflict,
            PublishError::NotAccepted(error) => Self::Store(error),
            PublishError::InDoubt { error, .. } => {
                Self::Store(StoreError::Indeterminate(error.to_string()))
            }
            PublishError::TrailUnreadable(error) => Self::Unreadable(error.to_string()),
            PublishError::Unreadable(message) => Self::Unreadable(message),
        }
    }
}

/// Publishes declarations as the next revision, under the author `program`, and returns its number.
///
/// # Errors
/// [`FeedError`]; [`FeedError::Conflict`] when another change was accepted first.
pub async fn publish(store: &dyn Store, declarations: &Declarations) -> Result<u64, FeedError> {
    let change = Change::new("program", "published by a program");
    Ok(publish::publish_change(store, declarations, &change).await?.revision)
}

/// Reference to a published document, as the root record holds it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Head {
    /// Number of the change that published it, from 1; 0 if there is none.
    pub revision: u64,
    /// Digest of the whole document.
    pub digest: String,
    /// Key of the manifest in the store.
    pub manifest: String,
}

impl From<&Root> for Head {
    fn from(root: &Root) -> Self {
        let Root { revision, digest, manifest, .. } = root.clone();
        Self { revision, digest, manifest }
    }
}

/// Published declarations in their stored form, as daemons pass them to peers.
#[derive(Clone, Debug, Default)]
pub struct Document {
    /// Revision, digest and manifest of the document.
    pub head: Head,
    /// Values of the manifest and the parts, by key.
    pub parts: HashMap<String, Bytes>,
}

impl Document {
    /// Verifies the document and assembles its declarations.
    ///
    /// # Errors
    /// A part is missing or damaged, or the manifest does not match the digest of the head.
    pub fn unpack(&self) -> Result<AcceptedDeclarations, PartsError> {
        let Head { revision, digest, manifest } = &self.head;
        let missing = || PartsError::Missing(manifest.clone());
        let value = self.parts.get(manifest).ok_or_else(missing)?;
        if parts::digest(value) != *digest {
            return Err(PartsError::Damaged(manifest.clone()));
        }
        let declarations = parts::unpack(value, |key| self.parts.get(key).cloned())?;
        Ok(AcceptedDeclarations { revision: *revision, digest: digest.clone(), declarations })
    }
}

/// Handle to the declarations in force in this process, which a background task keeps up to date.
#[derive(Clone, Debug)]
pub struct Feed {
    shared: Arc<Shared>,
    changed: async_channel::Receiver<()>,
}

/// The declarations in force; only a higher revision replaces them.
#[derive(Clone, Debug, Default)]
pub struct CurrentDocument {
    accepted: Arc<AcceptedDeclarations>,
    document: Arc<Document>,
}

impl CurrentDocument {
    /// Replaces the document if the revision of `document` is higher; returns whether it did.
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
    /// let mut in_force = feed::CurrentDocument::default();
    /// assert!(in_force.replace_if_newer(document.clone())?);
    /// assert!(!in_force.replace_if_newer(document)?);
    /// # Ok::<(), parts::PartsError>(())
    /// ```
    pub fn replace_if_newer(&mut self, document: Document) -> Result<bool, PartsError> {
        if document.head.revision <= self.accepted.revision {
            return Ok(false);
        }
        let accepted = document.unpack()?;
        Ok(self.replace_verified(accepted, document))
    }

    /// Replaces the document by a verified one if its revision is higher; returns whether it did.
    fn replace_verified(&mut self, accepted: AcceptedDeclarations, document: Document) -> bool {
        if accepted.revision <= self.accepted.revision {
            return false;
        }
        self.accepted = Arc::new(accepted);
        self.document = Arc::new(document);
        true
    }

    /// Declarations of the document in force, with its revision and digest.
    pub fn accepted(&self) -> Arc<AcceptedDeclarations> {
        Arc::clone(&self.accepted)
    }

    /// The document in force in its stored form.
    pub fn document(&self) -> Arc<Document> {
        Arc::clone(&self.document)
    }
}

#[derive(Debug, Default)]
struct Shared {
    in_force: Mutex<CurrentDocument>,
    /// Session whose member record shows the revision in force.
    session: Mutex<Option<Session>>,
}

impl Feed {
    /// Starts to follow the root record in `mirror`, without peers.
    pub fn start(mirror: Mirror, store: Arc<dyn Store>) -> Self {
        Self::start_with_peers(mirror, store, Peers::none())
    }

    /// Starts to follow the root record in `mirror`, and asks `peers` at the start and while the
    /// store is unavailable.
    pub fn start_with_peers(mirror: Mirror, store: Arc<dyn Store>, peers: Peers) -> Self {
        let shared = Arc::new(Shared::default());
        let (sender, changed) = async_channel::bounded(1);
        let seed = collections::stable_hash(format!("{}-{}", std::process::id(), clock::now_us()));
        let updater = Updater {
            mirror,
            store,
            shared: Arc::clone(&shared),
            sender,
            processed: None,
            peers,
            backoff: Backoff::new(RETRY_MIN_MS, RETRY_MAX_MS, seed),
            next_read_ms: 0,
            next_ask_ms: 0,
        };
        task::spawn(updater.run());
        Self { shared, changed }
    }

    /// Declarations in force in this process, with their revision and digest.
    pub fn current(&self) -> Arc<AcceptedDeclarations> {
        lock(&self.shared.in_force).accepted()
    }

    /// The document in force in its stored form, for peers.
    pub fn document(&self) -> Arc<Document> {
        self.shared.document()
    }

    /// From now on, shows the revision in force in the member record of `session`.
    pub fn report_to(&self, session: &Session) {
        *lock(&self.shared.session) = Some(session.clone());
        self.shared.report_revision();
    }

    /// Waits until the declarations have changed since the last call; only one waiter is woken.
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

    fn replace_if_newer(&self, document: Document) -> Result<bool, PartsError> {
        if document.head.revision <= self.revision() {
            return Ok(false);
        }
        let accepted = document.unpack()?;
        let is_replaced = lock(&self.in_force).replace_verified(accepted, document);
        if is_replaced {
            self.report_revision();
        }
        Ok(is_replaced)
    }

    fn report_revision(&self) {
        let revision = self.revision();
        if let Some(session) = &*lock(&self.session) {
            session.update(|member| {
                member.config_revision = member.config_revision.max(revision);
            });
        }
    }
}

/// Shortest backoff after a failure to read the declarations, in milliseconds.
const RETRY_MIN_MS: u64 = 50;

/// Longest backoff after a failure to read the declarations, in milliseconds.
const RETRY_MAX_MS: u64 = 1_000;

/// Background task of a [`Feed`].
struct Updater {
    mirror: Mirror,
    store: Arc<dyn Store>,
    shared: Arc<Shared>,
    sender: async_channel::Sender<()>,
    /// Store revision of the root record that was processed last.
    processed: Option<Revision>,
    peers: Peers,
    backoff: Backoff,
    next_read_ms: u64,
    next_ask_ms: u64,
}

impl Updater {
    async fn run(mut self) {
        while !self.sender.is_closed() {
            self.update_from_store().await;
            self.update_from_peers().await;
            task::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    /// Reads the declarations if the mirrored root record has a higher revision.
    async fn update_from_store(&mut self) {
        if clock::now_ms() < self.next_read_ms {
            return;
        }
        let Some((modified, head)) = self.newer_head() else { return };
        match self.read(&head).await {
            Ok(()) => {
                self.processed = Some(modified);
                self.backoff.reset();
            }
            Err(error) => {
                self.next_read_ms = clock::now_ms() + self.backoff.next_ms();
                spdlog::debug!(
                    "revision {} could not be read from the store: {}",
                    head.revision,
                    error
                );
            }
        }
    }

    /// The mirrored head with the store revision of its root record, if it was not processed yet
    /// and its revision is higher than the one in force.
    fn newer_head(&mut self) -> Option<(Revision, Head)> {
        let snapshot = self.mirror.snapshot();
        let entry = snapshot.entries.get(ROOT)?;
        if self.processed == Some(entry.modified) {
            return None;
        }
        let head = publish::decode_root(&entry.value).map(|root| Head::from(&root));
        match head {
            Ok(head) if head.revision > self.shared.revision() => Some((entry.modified, head)),
            Ok(_) => {
                self.processed = Some(entry.modified);
                None
            }
            Err(error) => {
                spdlog::error!("root record is unreadable: {}", error);
                self.processed = Some(entry.modified);
                None
            }
        }
    }

    /// Reads the document of `head`, with only those parts that the one in force lacks, and puts it
    /// in force.
    async fn read(&self, head: &Head) -> Result<(), FeedError> {
        let old = self.shared.document();
        let document = read::document(self.store.as_ref(), head, &old).await?;
        self.put_in_force(document)
    }

    /// Asks the next peer for a higher revision while there are no declarations or the store is
    /// unavailable.
    async fn update_from_peers(&mut self) {
        let is_store_unavailable = !self.mirror.snapshot().is_current;
        if self.shared.revision() > 0 && !is_store_unavailable || clock::now_ms() < self.next_ask_ms
        {
            return;
        }
        let snapshot = self.mirror.snapshot();
        let Some(address) = self.peers.next(&snapshot) else { return };
        self.next_ask_ms = clock::now_ms() + self.backoff.jittered_ms(self.peers.ask_every_ms());
        let old = self.shared.document();
        match peer::fetch(&self.peers, &address, &old).await {
            Ok(Some(document)) => {
                let revision = document.head.revision;
                match self.put_in_force(document) {
                    Ok(()) => spdlog::info!("revision {} received from peer {}", revision, address),
                    Err(error) => {
                        spdlog::warn!("invalid document from peer {}: {}", address, error);
                    }
                }
            }
            Ok(None) => {}
            Err(error) => {
                spdlog::debug!("request for declarations to peer {} failed: {}", address, error);
            }
        }
    }

    /// Replaces the declarations if the document is newer, and wakes the waiter for changes.
    fn put_in_force(&self, document: Document) -> Result<(), FeedError> {
        if self.shared.replace_if_newer(document)? {
            let _ = self.sender.try_send(());
        }
        Ok(())
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
