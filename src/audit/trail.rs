//! Moves audit entries from the root record to segments, and reads the whole audit trail.

use bytes::Bytes;

use crate::audit::{self, AuditEntry, Filter, Segment, SegmentLink};
use crate::declarations::parts;
use crate::store::{self, Priority, Store, StoreError};

/// Key prefix of segments in the store.
pub const SEGMENTS: &str = "config/audit/";

/// Why the audit trail could not be read.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum TrailError {
    /// The store could not be reached or refused the call.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The segment with this key is missing, or its content does not match its digest.
    #[error("audit segment {0} is missing or damaged")]
    Damaged(String),
}

/// A new segment, which has to be written before the root record that refers to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SealedSegment {
    /// Reference to the segment.
    pub link: SegmentLink,
    /// Encoded segment, to be stored at `link.key`.
    pub value: Bytes,
    /// Entries that remain in the root record.
    pub recent: Vec<AuditEntry>,
    /// Entries that were moved from the root record to the segment.
    pub moved: Vec<AuditEntry>,
}

/// Moves the oldest entries of a full root record to a segment; `None` if it is not full.
///
/// `last` is the newest stored segment. The new segment replaces it and contains its entries if
/// there is room for all; otherwise the new segment follows it.
pub fn seal(
    recent: &[AuditEntry],
    last: Option<(&SegmentLink, &Segment)>,
) -> Option<SealedSegment> {
    if recent.len() < audit::RECENT_LIMIT {
        return None;
    }
    let (moved, kept) = recent.split_at(audit::SEAL_COUNT);
    let mut segment = match last {
        Some((_, segment)) if segment.entries.len() + moved.len() <= audit::SEGMENT_LIMIT => {
            segment.clone()
        }
        Some((link, _)) => Segment { previous: Some(link.clone()), entries: Vec::new() },
        None => Segment::default(),
    };
    segment.entries.extend(moved.iter().cloned());
    let value = Bytes::from(serde_json::to_vec(&segment).unwrap_or_default());
    let link = SegmentLink {
        key: format!("{SEGMENTS}{}", parts::digest(&value)),
        first_revision: segment.entries.first()?.revision,
        last_revision: segment.entries.last()?.revision,
    };
    Some(SealedSegment { link, value, recent: kept.to_vec(), moved: moved.to_vec() })
}

/// Reads and verifies one segment.
///
/// # Errors
/// [`TrailError`] when the store cannot be reached, or the segment is missing or damaged.
pub async fn read_segment(store: &dyn Store, link: &SegmentLink) -> Result<Segment, TrailError> {
    let damaged = || TrailError::Damaged(link.key.clone());
    let entry = store::get(store, link.key.as_str(), Priority::Bulk).await?.ok_or_else(damaged)?;
    if link.key != format!("{SEGMENTS}{}", parts::digest(&entry.value)) {
        return Err(damaged());
    }
    serde_json::from_slice(&entry.value).map_err(|_| damaged())
}

/// Returns the entries that `filter` selects, newest first, from the entries of the root record
/// and from the segments.
///
/// # Errors
/// [`TrailError`] when the store cannot be reached, or a segment is missing or damaged.
pub async fn read(
    store: &dyn Store,
    recent: &[AuditEntry],
    sealed: Option<&SegmentLink>,
    filter: &Filter,
) -> Result<Vec<AuditEntry>, TrailError> {
    let limit = filter.limit.unwrap_or(usize::MAX);
    let mut found: Vec<AuditEntry> = Vec::new();
    let mut next = sealed.cloned();
    let mut entries = recent.to_vec();
    loop {
        let wanted = entries.iter().rev().filter(|entry| filter.matches(entry));
        found.extend(wanted.take(limit - found.len()).cloned());
        let is_complete = are_earlier_entries_too_old(entries.first(), filter.since_unix_ms);
        let Some(link) = next.filter(|_| found.len() < limit && !is_complete) else {
            return Ok(found);
        };
        let segment = read_segment(store, &link).await?;
        next = segment.previous;
        entries = segment.entries;
    }
}

/// Largest difference between the clocks of operators' machines, in milliseconds: entries may be
/// out of order in time by this much.
const MAX_CLOCK_SKEW_MS: u64 = 3_600_000;

/// Whether all entries before `oldest` are older than `since_unix_ms`, despite clock skew.
fn are_earlier_entries_too_old(oldest: Option<&AuditEntry>, since_unix_ms: Option<u64>) -> bool {
    match (oldest, since_unix_ms) {
        (Some(oldest), Some(since)) => oldest.at_unix_ms + MAX_CLOCK_SKEW_MS < since,
        _ => false,
    }
}
