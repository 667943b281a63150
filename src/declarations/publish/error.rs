//! Errors of a change, which tell whether it may have been accepted.

use crate::audit::trail::TrailError;
use crate::audit::AuditEntry;
use crate::declarations::parts::PartsError;
use crate::store::StoreError;

/// Why a change was not accepted, or may not have been.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum PublishError {
    /// Another change, whose audit entry is given, was accepted first; this one was not.
    #[error("revision {} by {} ({}) was accepted first: {}", .0.revision, .0.who, .0.from, .0.why)]
    Conflict(Box<AuditEntry>),
    /// Another revision than the expected one is in force; the change was not accepted.
    #[error("revision {expected} was expected, but revision {current} is in force")]
    RevisionMismatch {
        /// Revision that the change requires to be in force.
        expected: u64,
        /// Revision that is in force.
        current: u64,
    },
    /// The store could not be reached; the change was not accepted.
    #[error("the change was not accepted: {0}")]
    NotAccepted(StoreError),
    /// The store did not confirm the change in time; it may have been accepted.
    #[error("change {id} may have been accepted: {error}")]
    InDoubt {
        /// Id of the change.
        id: String,
        /// Last error of the store.
        error: StoreError,
    },
    /// The audit trail that the change has to extend cannot be read; the change was not accepted.
    #[error("the change was not accepted: {0}")]
    TrailUnreadable(TrailError),
    /// A record cannot be decoded or encoded.
    #[error("the stored configuration is unreadable: {0}")]
    Unreadable(String),
}

impl From<PartsError> for PublishError {
    fn from(error: PartsError) -> Self {
        Self::Unreadable(error.to_string())
    }
}
