//! How a change can fail, and whether it may have been accepted.

use crate::audit::trail::TrailError;
use crate::audit::AuditEntry;
use crate::declarations::parts::PartsError;
use crate::store::StoreError;

/// Why a change was not accepted, or not certainly.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum PublishError {
    /// Another change was accepted first; this one was not.
    #[error("revision {} by {} ({}) was accepted first: {}", .0.revision, .0.who, .0.from, .0.why)]
    Conflict(Box<AuditEntry>),
    /// Another revision than the expected one is in force; the change was not accepted.
    #[error("revision {expected} was expected, but {current} is in force")]
    RevisionMismatch {
        /// Revision that the change depends on.
        expected: u64,
        /// Revision in force.
        current: u64,
    },
    /// The store could not be reached; the change was not accepted.
    #[error("the change was not accepted: {0}")]
    NotAccepted(StoreError),
    /// The store did not tell in time; the change may be accepted.
    #[error("the change {id} may be accepted: {error}")]
    InDoubt {
        /// Id of the change.
        id: String,
        /// The last error.
        error: StoreError,
    },
    /// The audit trail that the change would go on cannot be read; the change was not accepted.
    #[error("the change was not accepted: {0}")]
    TrailUnreadable(TrailError),
    /// A record cannot be read or written.
    #[error("the configuration cannot be read: {0}")]
    Unreadable(String),
}

impl From<PartsError> for PublishError {
    fn from(error: PartsError) -> Self {
        Self::Unreadable(error.to_string())
    }
}
