//! The audit trail of configuration changes.
//!
//! The newest entries travel in the root record of the configuration, so that
//! a change and its entry are one write. Older entries are moved to segments
//! of bounded size, each of which names the one before it and is itself named
//! by the digest of its content.

pub mod trail;

use serde::{Deserialize, Serialize};

/// Entries that the root record holds at most.
pub const RECENT_LIMIT: usize = 32;

/// Entries that are moved to a segment at once.
pub const SEAL_COUNT: usize = 16;

/// Entries in one segment at most.
pub const SEGMENT_LIMIT: usize = 512;

/// Longest name, origin or reason in an entry, in characters.
pub const TEXT_LIMIT_CHARS: usize = 200;

/// What kind of change an entry records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// New declarations were applied.
    #[default]
    Apply,
    /// Declarations of an earlier revision were applied again.
    Rollback,
    /// Workers were marked to be emptied, or no longer.
    Drain,
}

impl ChangeKind {
    /// Name of the kind.
    ///
    /// ```
    /// use hemlockrock::audit;
    ///
    /// assert_eq!(audit::ChangeKind::parse("rollback"), Some(audit::ChangeKind::Rollback));
    /// assert_eq!(audit::ChangeKind::Apply.as_str(), "apply");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Apply => "apply",
            Self::Rollback => "rollback",
            Self::Drain => "drain",
        }
    }

    /// The kind of this name.
    pub fn parse(name: &str) -> Option<Self> {
        [Self::Apply, Self::Rollback, Self::Drain].into_iter().find(|kind| kind.as_str() == name)
    }
}

/// One accepted change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AuditEntry {
    /// Revision that the change made.
    pub revision: u64,
    /// Id of the change, chosen by the operator's program.
    pub change: String,
    /// What kind of change.
    pub kind: ChangeKind,
    /// Who made it.
    pub who: String,
    /// Host that it was made from.
    pub from: String,
    /// Why it was made.
    pub why: String,
    /// When it was made, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Digest of the declarations before; empty for the first change.
    pub before: String,
    /// Digest of the declarations after.
    pub after: String,
    /// Key of the manifest of the declarations after.
    pub manifest: String,
}

/// Where a segment is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SegmentLink {
    /// Key of the segment.
    pub key: String,
    /// First revision in it.
    pub first_revision: u64,
    /// Last revision in it.
    pub last_revision: u64,
}

impl SegmentLink {
    /// Entries in the segment.
    pub fn count(&self) -> u64 {
        (self.last_revision + 1).saturating_sub(self.first_revision)
    }
}

/// A bounded run of older entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Segment {
    /// The segment before this one.
    pub previous: Option<SegmentLink>,
    /// Entries, oldest first.
    pub entries: Vec<AuditEntry>,
}

/// Which entries are wanted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Filter {
    /// Made by this person.
    pub who: Option<String>,
    /// Made at this time or later, in milliseconds since the Unix epoch.
    pub since_unix_ms: Option<u64>,
    /// Of this kind.
    pub kind: Option<ChangeKind>,
    /// With this id.
    pub change: Option<String>,
    /// At most so many, newest first.
    pub limit: Option<usize>,
}

impl Filter {
    /// Whether an entry is wanted; the limit is not looked at.
    pub fn matches(&self, entry: &AuditEntry) -> bool {
        self.who.as_ref().is_none_or(|who| *who == entry.who)
            && self.since_unix_ms.is_none_or(|since| entry.at_unix_ms >= since)
            && self.kind.is_none_or(|kind| kind == entry.kind)
            && self.change.as_ref().is_none_or(|change| *change == entry.change)
    }
}

/// The first place at which entries, oldest first, do not follow on each other.
///
/// ```
/// use hemlockrock::audit::{self, AuditEntry};
///
/// let entry = |revision, before: &str, after: &str| AuditEntry {
///     revision,
///     before: before.into(),
///     after: after.into(),
///     ..AuditEntry::default()
/// };
/// assert_eq!(audit::first_chain_break(&[entry(1, "", "a"), entry(2, "a", "b")]), None);
/// assert_eq!(audit::first_chain_break(&[entry(1, "", "a"), entry(3, "b", "c")]), Some(3));
/// ```
pub fn first_chain_break(entries: &[AuditEntry]) -> Option<u64> {
    let pairs = entries.windows(2);
    let broken = pairs
        .into_iter()
        .find(|pair| pair[1].revision != pair[0].revision + 1 || pair[1].before != pair[0].after);
    broken.map(|pair| pair[1].revision)
}
