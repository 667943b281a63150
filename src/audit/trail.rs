//! Moves entries from the root record to segments, and reads the whole trail.

use bytes::Bytes;

use crate::audit::{self, AuditEntry, Filter, Segment, SegmentLink};
use crate::declarations::parts;
use crate::store::{self, Priority, Store, StoreError};

/// Prefix of the segments.
pub const SEGMENTS: &str = "config/audit/";

/// Why the trail could not be read.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum TrailError {
    /// The store gave no answer of its own.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A segment is missing or not what its name says.
    #[error("audit segment {0} is missing or damaged")]
    Damaged(String),
}

/// A segment that has to be written before the root that refers to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SealedSegment {
    /// Where it is.
    pub link: SegmentLink,
    /// Its content.
    pub value: Bytes,
    /// Entries that stay in the root record.
    pub recent: Vec<AuditEntry>,
    /// Entries that have left the root record.
    pub moved: Vec<AuditEntry>,
}

/// Moves the oldest entries out of the root record when it is full.
///
/// `last` is the newest segment, read from the store; it is extended while it has room.
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

/// Reads one segment.
///
/// # Errors
/// [`TrailError`].
pub async fn read_segment(store: &dyn Store, link: &SegmentLink) -> Result<Segment, TrailError> {
    let damaged = || TrailError::Damaged(link.key.clone());
    let entry = store::get(store, link.key.as_str(), Priority::Bulk).await?.ok_or_else(damaged)?;
    if link.key != format!("{SEGMENTS}{}", parts::digest(&entry.value)) {
        return Err(damaged());
    }
    serde_json::from_slice(&entry.value).map_err(|_| damaged())
}

/// The wanted entries, newest first, from the root record's entries and the segments.
///
/// # Errors
/// [`TrailError`].
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
        let is_past = is_before(entries.first(), filter.since_unix_ms);
        let Some(link) = next.filter(|_| found.len() < limit && !is_past) else {
            return Ok(found);
        };
        let segment = read_segment(store, &link).await?;
        next = segment.previous;
        entries = segment.entries;
    }
}

/// Clocks of operators' machines differ; entries may be out of order in time by this much.
const CLOCK_SPREAD_MS: u64 = 3_600_000;

fn is_before(oldest: Option<&AuditEntry>, since_unix_ms: Option<u64>) -> bool {
    match (oldest, since_unix_ms) {
        (Some(oldest), Some(since)) => oldest.at_unix_ms + CLOCK_SPREAD_MS < since,
        _ => false,
    }
}
