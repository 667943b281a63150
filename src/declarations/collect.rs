//! Removes parts that no kept revision refers to.
//!
//! A change writes its parts after it has read the root that it builds on. So
//! a part that was last written before the collector's own root is in use only
//! if that root, or a revision that it keeps, refers to it: whoever builds on
//! an older root loses the swap, and whoever builds on this one or a later one
//! has written the part again.

use crate::audit::SegmentLink;
use crate::collections::HashSet;
use crate::declarations::parts;
use crate::declarations::publish::Root;
use crate::store::{self, Expect, Priority, Revision, Store, StoreError};

/// Removes what was written before one root record and is not kept by it.
#[derive(Debug)]
pub struct Collector<'a> {
    store: &'a dyn Store,
    root: &'a Root,
    written: Revision,
}

impl<'a> Collector<'a> {
    /// A collector for `root`, which was written at the revision `written` of the store.
    pub fn new(store: &'a dyn Store, root: &'a Root, written: Revision) -> Self {
        Self { store, root, written }
    }

    /// Removes `manifests` with their parts where they are not kept, and an outgrown segment.
    ///
    /// # Errors
    /// The store gave no answer; what is left over does no harm.
    pub async fn remove(
        &self,
        manifests: impl Iterator<Item = String>,
        segment: Option<&SegmentLink>,
    ) -> Result<(), StoreError> {
        let kept = self.kept().await?;
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

    /// Removes every part that is not kept; returns how many.
    ///
    /// # Errors
    /// The store gave no answer; what is left over does no harm.
    pub async fn remove_all(&self) -> Result<usize, StoreError> {
        let kept = self.kept().await?;
        let (_, entries) = store::list(self.store, parts::PARTS, Priority::Bulk).await?;
        let mut removed = 0;
        for entry in entries {
            if entry.modified < self.written && !kept.contains(&entry.key) {
                let expect = Expect::Modified(entry.modified);
                store::delete(self.store, entry.key, expect, Priority::Bulk).await?;
                removed += 1;
            }
        }
        Ok(removed)
    }

    /// Keys that the root or a revision that it keeps refers to.
    async fn kept(&self) -> Result<HashSet<String>, StoreError> {
        let mut kept = HashSet::default();
        let recent = self.root.recent.iter().map(|entry| &entry.manifest);
        for manifest in recent.chain([&self.root.manifest]) {
            if kept.insert(manifest.clone()) {
                let parts = self.parts_of(manifest).await?;
                let lost = || StoreError::Indeterminate(format!("{manifest} cannot be read"));
                kept.extend(parts.ok_or_else(lost)?);
            }
        }
        Ok(kept)
    }

    async fn parts_of(&self, manifest: &str) -> Result<Option<Vec<String>>, StoreError> {
        let entry = store::get(self.store, manifest, Priority::Bulk).await?;
        let manifest = entry.and_then(|entry| parts::read_manifest(&entry.value).ok());
        Ok(manifest.map(|manifest| manifest.parts))
    }

    async fn remove_key(&self, key: &str) -> Result<(), StoreError> {
        let Some(entry) = store::get(self.store, key, Priority::Bulk).await? else { return Ok(()) };
        if entry.modified < self.written {
            let expect = Expect::Modified(entry.modified);
            store::delete(self.store, key, expect, Priority::Bulk).await?;
        }
        Ok(())
    }
}
