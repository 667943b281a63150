//! Garbage collection: removes stored parts that no kept revision refers to.
//!
//! A change writes its parts after it has read the root record that it builds
//! on. Hence a part that was last written before the collector's root record
//! is in use only if that record, or a revision that it keeps, refers to it: a
//! change that builds on an older root fails its compare-and-swap, and a change
//! that builds on this or a later one has written the part again.

use crate::audit::SegmentLink;
use crate::collections::HashSet;
use crate::declarations::parts;
use crate::declarations::publish::Root;
use crate::store::{self, Expect, Priority, Revision, Store, StoreError};

/// Removes parts that were written before a root record and that it does not keep.
#[derive(Debug)]
pub struct Collector<'a> {
    store: &'a dyn Store,
    root: &'a Root,
    /// Store revision at which `root` was written.
    root_written: Revision,
}

impl<'a> Collector<'a> {
    /// Creates a collector for `root`, which was written at the store revision `root_written`.
    pub fn new(store: &'a dyn Store, root: &'a Root, root_written: Revision) -> Self {
        Self { store, root, root_written }
    }

    /// Removes the manifests that are not kept, with their parts, and a replaced audit segment.
    ///
    /// # Errors
    /// The store gave no answer; parts that remain take space but do no harm.
    pub async fn remove(
        &self,
        manifests: impl Iterator<Item = String>,
        segment: Option<&SegmentLink>,
    ) -> Result<(), StoreError> {
        let kept = self.kept_keys().await?;
        let mut old = Vec::new();
        let mut seen = HashSet::default();
        for manifest in manifests.filter(|manifest| !kept.contains(manifest)) {
            if seen.insert(manifest.clone()) {
                old.extend(self.parts_of(&manifest).await?.unwrap_or_default());
                old.push(manifest);
            }
        }
        for key in old {
            if !kept.contains(&key) && seen.insert(format!("removed {key}")) {
                self.remove_key(&key).await?;
            }
        }
        match segment {
            Some(link) => self.remove_key(&link.key).await,
            None => Ok(()),
        }
    }

    /// Removes every part that is not kept, and returns their number.
    ///
    /// # Errors
    /// The store gave no answer; parts that remain take space but do no harm.
    pub async fn remove_all(&self) -> Result<usize, StoreError> {
        let kept = self.kept_keys().await?;
        let (_, entries) = store::list(self.store, parts::PARTS, Priority::Bulk).await?;
        let mut removed = 0;
        for entry in entries {
            if entry.modified < self.root_written && !kept.contains(&entry.key) {
                let expect = Expect::Modified(entry.modified);
                store::delete(self.store, entry.key, expect, Priority::Bulk).await?;
                removed += 1;
            }
        }
        Ok(removed)
    }

    /// Keys of the manifests and parts of the root record's revision and of those that it keeps.
    async fn kept_keys(&self) -> Result<HashSet<String>, StoreError> {
        let mut kept = HashSet::default();
        let recent = self.root.recent.iter().map(|entry| &entry.manifest);
        for manifest in recent.chain([&self.root.manifest]) {
            if kept.insert(manifest.clone()) {
                let parts = self.parts_of(manifest).await?;
                let unreadable =
                    || StoreError::Indeterminate(format!("manifest {manifest} cannot be read"));
                kept.extend(parts.ok_or_else(unreadable)?);
            }
        }
        Ok(kept)
    }

    /// Keys of the parts that a manifest lists; `None` if it is missing or unreadable.
    async fn parts_of(&self, manifest: &str) -> Result<Option<Vec<String>>, StoreError> {
        let entry = store::get(self.store, manifest, Priority::Bulk).await?;
        let manifest = entry.and_then(|entry| parts::read_manifest(&entry.value).ok());
        Ok(manifest.map(|manifest| manifest.parts))
    }

    /// Deletes `key` unless it was written after the root record.
    async fn remove_key(&self, key: &str) -> Result<(), StoreError> {
        let Some(entry) = store::get(self.store, key, Priority::Bulk).await? else { return Ok(()) };
        if entry.modified < self.root_written {
            let expect = Expect::Modified(entry.modified);
            store::delete(self.store, key, expect, Priority::Bulk).await?;
        }
        Ok(())
    }
}
