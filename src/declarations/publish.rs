//! Publishes declarations: parts first, then one compare-and-swap of the root record.

mod error;

use std::time::Duration;

use async_std::task;
use bytes::Bytes;
use futures_lite::future;
use serde::{Deserialize, Serialize};

pub use error::PublishError;

use crate::audit::trail::{self, Sealed, TrailError};
use crate::audit::{AuditEntry, Filter, Kind, SegmentLink};
use crate::clock;
use crate::collections::{self, HashSet};
use crate::declarations::collect;
use crate::declarations::parts::{self, Manifest, Packed, Part};
use crate::declarations::Declarations;
use crate::store::backoff::Backoff;
use crate::store::{self, Entry, Expect, Priority, Put, PutOutcome, Revision, Store, StoreError};

/// Key of the root record.
pub const ROOT: &str = "cell/config/root";

/// Shortest pause between tries of a change, in milliseconds.
const PAUSE_MIN_MS: u64 = 30;

/// Longest pause between tries of a change, in milliseconds.
const PAUSE_MAX_MS: u64 = 1_000;

/// The root record: which declarations are accepted, and the newest part of the audit trail.
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
    /// Newest segment of older entries.
    pub sealed: Option<SegmentLink>,
}

/// A change that an operator asks for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Id that no other change has; see [`Change::new_id`].
    pub id: String,
    /// What kind of change.
    pub kind: Kind,
    /// Who makes it.
    pub who: String,
    /// Host that it is made from.
    pub from: String,
    /// Why it is made.
    pub why: String,
    /// When it is made, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Revision that has to be in force for the change to be accepted.
    pub expect: Option<u64>,
    /// Longest time to settle the change with the store, in milliseconds.
    pub limit_ms: u64,
    /// Longest pause between tries, in milliseconds; 0 for none.
    pub pause_max_ms: u64,
}

impl Change {
    /// A change by `who` for the reason `why`, made now, with an id of its own.
    pub fn new(who: impl Into<String>, why: impl Into<String>) -> Self {
        const LIMIT_MS: u64 = 15_000;
        let (who, why) = (who.into(), why.into());
        let id = Self::new_id(&who);
        let at_unix_ms = clock::unix_ms();
        let (limit_ms, pause_max_ms) = (LIMIT_MS, PAUSE_MAX_MS);
        Self { id, who, why, at_unix_ms, limit_ms, pause_max_ms, ..Self::default() }
    }

    /// An id that no other change has.
    pub fn new_id(who: &str) -> String {
        let salt = rand::random::<u64>();
        let text = format!("{who}-{}-{}-{salt}", clock::unix_ms(), std::process::id());
        format!("{:016x}{:016x}", collections::stable_hash(&text), salt)
    }

    /// Makes the change depend on the revision in force.
    #[must_use]
    pub fn with_expect(mut self, revision: Option<u64>) -> Self {
        self.expect = revision;
        self
    }
}

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Receipt {
    /// Revision that the change made.
    pub revision: u64,
    /// Digest of the declarations.
    pub digest: String,
    /// Id of the change.
    pub change: String,
}

/// The root record with its entry, if any change was ever accepted.
///
/// # Errors
/// [`PublishError::NotAccepted`] when the store is away, [`PublishError::Unreadable`].
pub async fn read_root(store: &dyn Store) -> Result<Option<(Root, Entry)>, PublishError> {
    let entry = store::get(store, ROOT, Priority::Interactive).await;
    let Some(entry) = entry.map_err(PublishError::NotAccepted)? else { return Ok(None) };
    Ok(Some((decode_root(&entry.value)?, entry)))
}

/// Publishes declarations as the next revision.
///
/// # Errors
/// [`PublishError`] tells whether the change can have been accepted.
pub async fn publish_change(
    store: &dyn Store,
    declarations: &Declarations,
    change: &Change,
) -> Result<Receipt, PublishError> {
    let packed = parts::pack(declarations)?;
    let publisher = Publisher { store, change, ends_at_ms: clock::now_ms() + change.limit_ms };
    publisher.publish(&packed).await
}

/// One change on its way.
struct Publisher<'a> {
    store: &'a dyn Store,
    change: &'a Change,
    ends_at_ms: u64,
}

impl Publisher<'_> {
    async fn publish(&self, packed: &Packed) -> Result<Receipt, PublishError> {
        let base = self.base().await?;
        let root = base.as_ref().map(|(root, _)| root.clone()).unwrap_or_default();
        if let Some(expected) = self.change.expect.filter(|expected| *expected != root.revision) {
            return Err(PublishError::Unexpected { expected, current: root.revision });
        }
        self.put_parts(&root, packed).await?;
        let sealed = self.seal(&root).await?;
        let next = next_root(&root, packed, self.change, sealed.as_ref());
        let expect = match &base {
            Some((_, entry)) => Expect::Modified(entry.modified),
            None => Expect::Absent,
        };
        let (revision, written) = self.swap(&next, expect).await?;
        if let (Some(sealed), Some(written)) = (sealed, written) {
            self.clean(&root, &next, &sealed, written).await;
        }
        Ok(Receipt { revision, digest: packed.digest.clone(), change: self.change.id.clone() })
    }

    async fn base(&self) -> Result<Option<(Root, Entry)>, PublishError> {
        let mut pauses = self.pauses();
        loop {
            match read_root(self.store).await {
                Err(PublishError::NotAccepted(_)) if !self.is_over() => {
                    self.pause(&mut pauses).await;
                }
                result => return result,
            }
        }
    }

    /// Writes the parts that the root in force does not refer to already.
    async fn put_parts(&self, root: &Root, packed: &Packed) -> Result<(), PublishError> {
        let present = self.manifest(&root.manifest).await;
        let present: HashSet<String> = present.parts.into_iter().collect();
        for part in packed.parts.iter().chain([&packed.manifest]) {
            if !present.contains(&part.key) && part.key != root.manifest {
                self.put_part(part).await?;
            }
        }
        Ok(())
    }

    /// A manifest that cannot be read counts as empty, so that all parts are written again.
    async fn manifest(&self, key: &str) -> Manifest {
        if key.is_empty() {
            return Manifest::default();
        }
        match store::get(self.store, key, Priority::Interactive).await {
            Ok(Some(entry)) => parts::read_manifest(&entry.value).unwrap_or_default(),
            _ => Manifest::default(),
        }
    }

    async fn put_part(&self, part: &Part) -> Result<(), PublishError> {
        let mut pauses = self.pauses();
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
                Err(error) if self.is_over() => return Err(PublishError::NotAccepted(error)),
                Err(_) => self.pause(&mut pauses).await,
            }
        }
    }

    /// Moves old entries of the audit trail to a segment when the root record is full of them.
    async fn seal(&self, root: &Root) -> Result<Option<Sealed>, PublishError> {
        if root.recent.len() < crate::audit::RECENT_LIMIT {
            return Ok(None);
        }
        let mut pauses = self.pauses();
        let last = loop {
            let Some(link) = &root.sealed else { break None };
            match trail::segment(self.store, link).await {
                Ok(segment) => break Some((link, segment)),
                Err(error) if self.is_over() => return Err(PublishError::NoTrail(error)),
                Err(TrailError::Store(_)) => {}
                Err(TrailError::Damaged(_)) => self.check_not_overtaken(root).await?,
            }
            self.pause(&mut pauses).await;
        };
        let last = last.as_ref().map(|(link, segment)| (*link, segment));
        let sealed = trail::seal(&root.recent, last);
        if let Some(sealed) = &sealed {
            let part = Part { key: sealed.link.key.clone(), value: sealed.value.clone() };
            self.put_part(&part).await?;
        }
        Ok(sealed)
    }

    /// Fails when a change was accepted since `root` was read, which may have removed what it names.
    async fn check_not_overtaken(&self, root: &Root) -> Result<(), PublishError> {
        let current = read_root(self.store).await.ok().flatten();
        match current.map(|(root, _)| root) {
            Some(current) if current.revision > root.revision => Err(raced(current)),
            _ => Ok(()),
        }
    }

    /// Swaps the root record and settles lost answers by the id of the change. Returns the
    /// revision of the change, and that of the store if this very write is known.
    async fn swap(
        &self,
        next: &Root,
        expect: Expect,
    ) -> Result<(u64, Option<Revision>), PublishError> {
        let value = serde_json::to_vec(next).map_err(|error| unreadable(&error))?;
        let value = Bytes::from(value);
        let mut pauses = self.pauses();
        let mut is_lost = false;
        loop {
            let put = Put { key: ROOT.to_owned(), value: value.clone(), expect, lease: None };
            let error = match store::put(self.store, put, Priority::Interactive).await {
                Ok(PutOutcome::Written(revision)) => return Ok((next.revision, Some(revision))),
                Ok(PutOutcome::Conflict(current)) => {
                    return self.judge(current, is_lost).await.map(|revision| (revision, None));
                }
                Err(error) => error,
            };
            is_lost |= !error.is_not_executed();
            if error == StoreError::TooLarge || self.is_over() {
                return Err(self.gave_up(is_lost, error));
            }
            self.pause(&mut pauses).await;
        }
    }

    fn gave_up(&self, is_lost: bool, error: StoreError) -> PublishError {
        if is_lost {
            return PublishError::InDoubt { id: self.change.id.clone(), error };
        }
        PublishError::NotAccepted(error)
    }

    /// What a conflict means: this change was accepted by an earlier try, or another one was first.
    async fn judge(&self, current: Option<Entry>, is_lost: bool) -> Result<u64, PublishError> {
        let Some(entry) = current else {
            return Err(PublishError::Unreadable("the root record is gone".to_owned()));
        };
        let root = decode_root(&entry.value)?;
        if is_lost {
            if let Some(entry) = self.find(&root).await? {
                return Ok(entry.revision);
            }
        }
        Err(raced(root))
    }

    /// The entry of this change, if it was ever accepted.
    async fn find(&self, root: &Root) -> Result<Option<AuditEntry>, PublishError> {
        let own = Filter {
            change: Some(self.change.id.clone()),
            since_unix_ms: Some(self.change.at_unix_ms),
            limit: Some(1),
            ..Filter::default()
        };
        let mut root = root.clone();
        let mut pauses = self.pauses();
        loop {
            let error =
                match trail::read(self.store, &root.recent, root.sealed.as_ref(), &own).await {
                    Ok(found) => return Ok(found.into_iter().next()),
                    Err(error) => error,
                };
            if self.is_over() {
                return Err(self.gave_up(true, StoreError::Indeterminate(error.to_string())));
            }
            if let Ok(Some((current, _))) = read_root(self.store).await {
                root = if current.revision > root.revision { current } else { root };
            }
            self.pause(&mut pauses).await;
        }
    }

    /// Removes what only entries refer to that have left the root record.
    async fn clean(&self, before: &Root, next: &Root, sealed: &Sealed, written: Revision) {
        let old_segment = before.sealed.as_ref().filter(|link| {
            link.first_revision == sealed.link.first_revision && link.key != sealed.link.key
        });
        let collector = collect::Collector::new(self.store, next, written);
        let manifests = sealed.moved.iter().map(|entry| entry.manifest.clone());
        if let Err(error) = collector.remove(manifests, old_segment).await {
            spdlog::debug!("old parts not collected: {}", error);
        }
    }

    async fn pause(&self, pauses: &mut Backoff) {
        if self.change.pause_max_ms == 0 {
            future::yield_now().await;
            return;
        }
        task::sleep(Duration::from_millis(pauses.next_ms())).await;
    }

    fn is_over(&self) -> bool {
        clock::now_ms() >= self.ends_at_ms
    }

    fn pauses(&self) -> Backoff {
        let seed = collections::stable_hash(&self.change.id);
        Backoff::new(PAUSE_MIN_MS, self.change.pause_max_ms.max(PAUSE_MIN_MS), seed)
    }
}

fn raced(root: Root) -> PublishError {
    PublishError::Raced(Box::new(root.recent.into_iter().last().unwrap_or_default()))
}

/// The root that follows `root` by `change`.
pub fn next_root(root: &Root, packed: &Packed, change: &Change, sealed: Option<&Sealed>) -> Root {
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

/// Reads a root record.
///
/// # Errors
/// [`PublishError::Unreadable`].
pub fn decode_root(value: &[u8]) -> Result<Root, PublishError> {
    serde_json::from_slice(value).map_err(|error| unreadable(&error))
}

fn unreadable(error: &serde_json::Error) -> PublishError {
    PublishError::Unreadable(error.to_string())
}
