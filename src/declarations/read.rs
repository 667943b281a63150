//! Reads published declarations from the store.

use bytes::Bytes;

use crate::collections::HashMap;
use crate::declarations::feed::{AcceptedDeclarations, Document, FeedError, Head};
use crate::declarations::parts::{self, PartsError};
use crate::declarations::publish::{self, Root};
use crate::store::{self, Priority, Store};

/// Reads the manifest and the parts of a document; values that `old` has are taken from there.
///
/// # Errors
/// [`FeedError`] when the store gave no answer, or a part is missing or damaged.
pub async fn document(
    store: &dyn Store,
    head: &Head,
    old: &Document,
) -> Result<Document, FeedError> {
    let mut found = HashMap::default();
    let manifest = part(store, &head.manifest, old).await?;
    let keys = parts::read_manifest(&manifest)?.parts;
    found.insert(head.manifest.clone(), manifest);
    for key in keys {
        let value = part(store, &key, old).await?;
        found.insert(key, value);
    }
    Ok(Document { head: head.clone(), parts: found })
}

/// The value of a part or manifest, from `old` or from the store.
async fn part(store: &dyn Store, key: &str, old: &Document) -> Result<Bytes, FeedError> {
    if let Some(value) = old.parts.get(key) {
        return Ok(value.clone());
    }
    let entry = store::get(store, key, Priority::Interactive).await?;
    let entry = entry.ok_or_else(|| PartsError::Missing(key.to_owned()))?;
    parts::verify(key, &entry.value)?;
    Ok(entry.value)
}

/// Reads the root record and the declarations in force; both are empty before the first change.
///
/// # Errors
/// As [`document`].
pub async fn current(store: &dyn Store) -> Result<(Root, AcceptedDeclarations), FeedError> {
    let Some((root, _)) = publish::read_root(store).await? else {
        return Ok((Root::default(), AcceptedDeclarations::default()));
    };
    let accepted = document(store, &Head::from(&root), &Document::default()).await?.unpack()?;
    Ok((root, accepted))
}

/// Reads the declarations of an earlier revision that the root record still refers to.
///
/// # Errors
/// As [`document`]; [`FeedError::Unreadable`] when the revision is no longer kept.
pub async fn revision(
    store: &dyn Store,
    root: &Root,
    revision: u64,
) -> Result<AcceptedDeclarations, FeedError> {
    let entry = root.recent.iter().find(|entry| entry.revision == revision);
    let entry = entry.ok_or_else(|| {
        FeedError::Unreadable(format!(
            "revision {revision} is no longer kept; `history` lists the kept ones"
        ))
    })?;
    let head = Head { revision, digest: entry.after.clone(), manifest: entry.manifest.clone() };
    Ok(document(store, &head, &Document::default()).await?.unpack()?)
}
