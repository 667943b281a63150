//! Publishes declarations: writes the parts, then replaces the root record by one compare-and-swap.

mod error;

use std::time::Duration;

use async_std::task;
use bytes::Bytes;
use futures_lite::future;
use serde::{Deserialize, Serialize};

pub use error::PublishError;

use crate::audit::trail::{self, SealedSegment, TrailError};
use crate::audit::{AuditEntry, ChangeKind, Filter, SegmentLink};
use crate::clock;
use crate::collections::{self, HashSet};
use crate::declarations::garbage;
use crate::declarations::parts::{self, Manifest, Packed, Part};
use crate::declarations::Declarations;
use crate::store::backoff::Backoff;
use crate::store::{self, Entry, Expect, Priority, Put, PutOutcome, Revision, Store, StoreError};

/// Key of the root record in the store.
pub const ROOT: &str = "cell/config/root";

/// Shortest backoff between attempts of a store call, in milliseconds.
const BACKOFF_MIN_MS: u64 = 30;

/// Longest backoff between attempts of a store call, in milliseconds.
const BACKOFF_MAX_MS: u64 = 1_000;

/// Root record: refers to the accepted declarations and holds the newest entries of the audit
/// trail.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Root {
    /// Number of the accepted change, from 1.
    pub revision: u64,
    /// Digest of the whole document.
    pub digest: String,
    /// Key of the manifest, which lists the parts of the document.
    pub manifest: String,
    /// Newest entries of the audit trail, oldest first; the last one is this change.
    pub recent: Vec<AuditEntry>,
    /// Newest segment of older entries; `None` while all entries are in `recent`.
    pub sealed: Option<SegmentLink>,
}

/// A change of the declarations that an operator requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Unique id of the change; see [`Change::new_id`].
    pub id: String,
    /// Operation that makes the change.
    pub kind: ChangeKind,
    /// Name of the operator who makes it.
    pub who: String,
    /// Host that it is made from.
    pub from: String,
    /// Reason given by the operator.
    pub why: String,
    /// When it is made, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Revision that has to be in force for the change to be accepted; `None` for any.
    pub expected_revision: Option<u64>,
    /// Time after which store calls are no longer retried, in milliseconds from the start.
    pub timeout_ms: u64,
    /// Longest backoff between attempts of a store call, in milliseconds; 0 retries at once.
    pub max_backoff_ms: u64,
}

impl Change {
    /// Creates a change by `who` for the reason `why`, made now, with a new id.
    pub fn new(who: impl Into<String>, why: impl Into<String>) -> Self {
        const TIMEOUT_MS: u64 = 15_000;
        let (who, why) = (who.into(), why.into());
        let id = Self::new_id(&who);
        let at_unix_ms = clock::unix_ms();
        let (timeout_ms, max_backoff_ms) = (TIMEOUT_MS, BACKOFF_MAX_MS);
        Self { id, who, why, at_unix_ms, timeout_ms, max_backoff_ms, ..Self::default() }
    }

    /// Generates a unique id for a change by `who`.
    pub fn new_id(who: &str) -> String {
        let salt = rand::random::<u64>();
        let text = format!("{who}-{}-{}-{salt}", clock::unix_ms(), std::process::id());
        format!("{:016x}{:016x}", collections::stable_hash(&text), salt)
    }

    /// Requires this revision to be in force for the change to be accepted; `None` for any.
    #[must_use]
    pub fn with_expected_revision(mut self, revision: Option<u64>) -> Self {
        self.expected_revision = revision;
        self
    }
}

/// Confirmation of an accepted change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Receipt {
    /// Revision that the change created.
    pub revision: u64,
    /// Digest of the declarations after the change.
    pub digest: String,
    /// Id of the change.
    pub change: String,
}

/// Reads the root record and its store entry; `None` before the first change.
///
/// # Errors
/// [`PublishError::NotAccepted`] when the store is unavailable, [`PublishError::Unreadable`] when
/// the record cannot be decoded.
pub async fn read_root(store: &dyn Store) -> Result<Option<(Root, Entry)>, PublishError> {
    let entry = store::get(store, ROOT, Priority::Interactive).await;
    let Some(entry) = entry.map_err(PublishError::NotAccepted)? else { return Ok(None) };
    Ok(Some((decode_root(&entry.value)?, entry)))
}

/// Publishes declarations as the next revision.
///
/// # Errors
/// [`PublishError`], which tells whether the change may have been accepted.
pub async fn publish_change(
    store: &dyn Store,
    declarations: &Declarations,
    change: &Change,
) -> Result<Receipt, PublishError> {
    let packed = parts::pack(declarations)?;
    let publisher = Publisher { store, change, deadline_ms: clock::now_ms() + change.timeout_ms };
    publisher.publish(&packed).await
}

/// Publishes one change and retries its store calls until the deadline.
struct Publisher<'a> {
    store: &'a dyn Store,
    change: &'a Change,
    /// Time after which calls are not retried, in milliseconds on the monotonic clock.
    deadline_ms: u64,
}

impl Publisher<'_> {
    async fn publish(&self, packed: &Packed) -> Result<Receipt, PublishError> {
        let base = self.read_base().await?;
        let root = base.as_ref().map(|(root, _)| root.clone()).unwrap_or_default();
        if let Some(expected) =
            self.change.expected_revision.filter(|expected| *expected != root.revision)
        {
            return Err(PublishError::RevisionMismatch { expected, current: root.revision });
        }
        self.put_parts(&root, packed).await?;
        let sealed = self.seal(&root).await?;
        let next = next_root(&root, packed, self.change, sealed.as_ref());
        let expect = match &base {
            Some((_, entry)) => Expect::Modified(entry.modified),
            None => Expect::Absent,
        };
        let (revision, written) = self.swap_root(&next, expect).await?;
        if let (Some(sealed), Some(written)) = (sealed, written) {
            self.remove_unreferenced(&root, &next, &sealed, written).await;
        }
        Ok(Receipt { revision, digest: packed.digest.clone(), change: self.change.id.clone() })
    }

    /// Reads the root record that the change builds on.
    async fn read_base(&self) -> Result<Option<(Root, Entry)>, PublishError> {
        let mut backoff = self.backoff();
        loop {
            match read_root(self.store).await {
                Err(PublishError::NotAccepted(_)) if !self.is_timed_out() => {
                    self.pause(&mut backoff).await;
                }
                result => return result,
            }
        }
    }

    /// Writes the parts that the root record in force does not refer to yet.
    async fn put_parts(&self, root: &Root, packed: &Packed) -> Result<(), PublishError> {
        let present = self.manifest_or_empty(&root.manifest).await;
        let present: HashSet<String> = present.parts.into_iter().collect();
        for part in packed.parts.iter().chain([&packed.manifest]) {
            if !present.contains(&part.key) && part.key != root.manifest {
                self.put_part(part).await?;
            }
        }
        Ok(())
    }

    /// Reads a manifest; one that cannot be read counts as empty, so that all parts are written
    /// again.
    async fn manifest_or_empty(&self, key: &str) -> Manifest {
        if key.is_empty() {
            return Manifest::default();
        }
        match store::get(self.store, key, Priority::Interactive).await {
            Ok(Some(entry)) => parts::read_manifest(&entry.value).unwrap_or_default(),
            _ => Manifest::default(),
        }
    }

    async fn put_part(&self, part: &Part) -> Result<(), PublishError> {
        let mut backoff = self.backoff();
        loop {
            let put = Put {
                key: part.key.clone(),
                value: part.value.clone(),
                expect: Expect::Any,
                lease: None,
            };
            match store::put(self.store, put, Priority::Interactive).await {
                Ok(_) => return Ok(()),
                Err(StoreError::TooLarge) => {
                    return Err(PublishError::NotAccepted(StoreError::TooLarge))
                }
                Err(error) if self.is_timed_out() => return Err(PublishError::NotAccepted(error)),
                Err(_) => self.pause(&mut backoff).await,
            }
        }
    }

    /// Moves the oldest audit entries to a segment if the root record holds as many as it may.
    async fn seal(&self, root: &Root) -> Result<Option<SealedSegment>, PublishError> {
        if root.recent.len() < crate::audit::RECENT_LIMIT {
            return Ok(None);
        }
        let mut backoff = self.backoff();
        let last = loop {
            let Some(link) = &root.sealed else { break None };
            match trail::read_segment(self.store, link).await {
                Ok(segment) => break Some((link, segment)),
                Err(error) if self.is_timed_out() => {
                    return Err(PublishError::TrailUnreadable(error))
                }
                Err(TrailError::Store(_)) => {}
                Err(TrailError::Damaged(_)) => self.check_still_current(root).await?,
            }
            self.pause(&mut backoff).await;
        };
        let last = last.as_ref().map(|(link, segment)| (*link, segment));
        let sealed = trail::seal(&root.recent, last);
        if let Some(sealed) = &sealed {
            let part = Part { key: sealed.link.key.clone(), value: sealed.value.clone() };
            self.put_part(&part).await?;
        }
        Ok(sealed)
    }

    /// Fails if a change was accepted since `root` was read; it may have removed the segment that
    /// `root` refers to.
    async fn check_still_current(&self, root: &Root) -> Result<(), PublishError> {
        let current = read_root(self.store).await.ok().flatten();
        match current.map(|(root, _)| root) {
            Some(current) if current.revision > root.revision => Err(conflict(current)),
            _ => Ok(()),
        }
    }

    /// Replaces the root record by a compare-and-swap. After a lost answer, looks up the id of the
    /// change to find out whether it was accepted. Returns the revision of the change, and the
    /// store revision of the write if its answer arrived.
    async fn swap_root(
        &self,
        next: &Root,
        expect: Expect,
    ) -> Result<(u64, Option<Revision>), PublishError> {
        let value = serde_json::to_vec(next).map_err(|error| unreadable(&error))?;
        let value = Bytes::from(value);
        let mut backoff = self.backoff();
        let mut is_lost = false;
        loop {
            let put = Put { key: ROOT.to_owned(), value: value.clone(), expect, lease: None };
            let error = match store::put(self.store, put, Priority::Interactive).await {
                Ok(PutOutcome::Written(revision)) => return Ok((next.revision, Some(revision))),
                Ok(PutOutcome::Conflict(current)) => {
                    return self
                        .resolve_conflict(current, is_lost)
                        .await
                        .map(|revision| (revision, None));
                }
                Err(error) => error,
            };
            is_lost |= !error.is_not_executed();
            if error == StoreError::TooLarge || self.is_timed_out() {
                return Err(self.final_error(is_lost, error));
            }
            self.pause(&mut backoff).await;
        }
    }

    /// Error of a change that is not retried further; it is in doubt if an answer was lost.
    fn final_error(&self, is_lost: bool, error: StoreError) -> PublishError {
        if is_lost {
            return PublishError::InDoubt { id: self.change.id.clone(), error };
        }
        PublishError::NotAccepted(error)
    }

    /// Finds out why the swap conflicted: an earlier attempt of this change was accepted, whose
    /// revision is returned, or another change was first.
    async fn resolve_conflict(
        &self,
        current: Option<Entry>,
        is_lost: bool,
    ) -> Result<u64, PublishError> {
        let Some(entry) = current else {
            return Err(PublishError::Unreadable("the root record was deleted".to_owned()));
        };
        let root = decode_root(&entry.value)?;
        if is_lost {
            if let Some(entry) = self.find_entry(&root).await? {
                return Ok(entry.revision);
            }
        }
        Err(conflict(root))
    }

    /// Finds the audit entry of this change; `None` if it was not accepted.
    async fn find_entry(&self, root: &Root) -> Result<Option<AuditEntry>, PublishError> {
        let own = Filter {
            change: Some(self.change.id.clone()),
            since_unix_ms: Some(self.change.at_unix_ms),
            limit: Some(1),
            ..Filter::default()
        };
        let mut root = root.clone();
        let mut backoff = self.backoff();
        loop {
            let error =
                match trail::read(self.store, &root.recent, root.sealed.as_ref(), &own).await {
                    Ok(found) => return Ok(found.into_iter().next()),
                    Err(error) => error,
                };
            if self.is_timed_out() {
                return Err(self.final_error(true, StoreError::Indeterminate(error.to_string())));
            }
            if let Ok(Some((current, _))) = read_root(self.store).await {
                root = if current.revision > root.revision { current } else { root };
            }
            self.pause(&mut backoff).await;
        }
    }

    /// Removes the declarations of entries that were moved out of the root record, and the audit
    /// segment that was replaced by a longer one.
    async fn remove_unreferenced(
        &self,
        before: &Root,
        next: &Root,
        sealed: &SealedSegment,
        written: Revision,
    ) {
        let old_segment = before.sealed.as_ref().filter(|link| {
            link.first_revision == sealed.link.first_revision && link.key != sealed.link.key
        });
        let collector = garbage::Collector::new(self.store, next, written);
        let manifests = sealed.moved.iter().map(|entry| entry.manifest.clone());
        if let Err(error) = collector.remove(manifests, old_segment).await {
            spdlog::debug!("old declarations could not be removed: {}", error);
        }
    }

    async fn pause(&self, backoff: &mut Backoff) {
        if self.change.max_backoff_ms == 0 {
            future::yield_now().await;
            return;
        }
        task::sleep(Duration::from_millis(backoff.next_ms())).await;
    }

    fn is_timed_out(&self) -> bool {
        clock::now_ms() >= self.deadline_ms
    }

    fn backoff(&self) -> Backoff {
        let seed = collections::stable_hash(&self.change.id);
        Backoff::new(BACKOFF_MIN_MS, self.change.max_backoff_ms.max(BACKOFF_MIN_MS), seed)
    }
}

/// Error that names the newest change of `root`.
fn conflict(root: Root) -> PublishError {
    PublishError::Conflict(Box::new(root.recent.into_iter().last().unwrap_or_default()))
}

/// The root record that follows `root` when `change` is accepted.
pub fn next_root(
    root: &Root,
    packed: &Packed,
    change: &Change,
    sealed: Option<&SealedSegment>,
) -> Root {
    let revision = root.revision + 1;
    let mut recent = sealed.map_or_else(|| root.recent.clone(), |sealed| sealed.recent.clone());
    recent.push(AuditEntry {
        revision,
        change: change.id.clone(),
        kind: change.kind,
        who: change.who.clone(),
        from: change.from.clone(),
        why: change.why.clone(),
        at_unix_ms: change.at_unix_ms,
        before: root.digest.clone(),
        after: packed.digest.clone(),
        manifest: packed.manifest.key.clone(),
    });
    let sealed = sealed.map(|sealed| sealed.link.clone()).or_else(|| root.sealed.clone());
    let digest = packed.digest.clone();
    Root { revision, digest, manifest: packed.manifest.key.clone(), recent, sealed }
}

/// Decodes the value of the root record.
///
/// # Errors
/// [`PublishError::Unreadable`] when it is not a root record in JSON.
pub fn decode_root(value: &[u8]) -> Result<Root, PublishError> {
    serde_json::from_slice(value).map_err(|error| unreadable(&error))
}

fn unreadable(error: &serde_json::Error) -> PublishError {
    PublishError::Unreadable(error.to_string())
}
