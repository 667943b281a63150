//! Authentication of callers by API key, and whose jobs a request may reach.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::decision_log;
use crate::queue::model::{Queue, QueueDirectory};
use crate::queue::workspaces::JobOwner;

/// Shortest time between two log lines about refused keys, in milliseconds: a caller with a wrong key
/// can send thousands of requests per second.
const LOG_GAP_MS: u64 = 1_000;

/// Why a request is not admitted.
///
/// [`RefusedKey::reason`] is a label value of the metric `queue_refused_keys_total`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum RefusedKey {
    /// The request has no key.
    #[error("the request has no API key")]
    Missing,
    /// The request has more than one key.
    #[error("the request has more than one API key")]
    Repeated,
    /// No workspace has the key, or more than one.
    #[error("the API key is not valid")]
    Unknown,
    /// The host cannot tell whether the key is still valid.
    #[error("this host cannot tell whether the API key is still valid")]
    Unconfirmed,
}

impl RefusedKey {
    /// Name of the reason in metrics and logs.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Missing => "missing",
            Self::Repeated => "repeated",
            Self::Unknown => "unknown",
            Self::Unconfirmed => "unconfirmed",
        }
    }
}

/// Determines whose jobs a request to `queue` submits and may reach; `None` if the deployment has no
/// workspaces, where a request may reach all jobs.
///
/// `keys` are the values of all key headers of the request. They are not read if the queue is public.
/// `is_current` tells whether the host can rely on the keys in `directory`.
///
/// # Errors
/// Fails when the request has no valid key, or when `is_current` is false and the queue is not public.
///
/// ```
/// use hemlockrock::place::spec::Resources;
/// use hemlockrock::queue::authentication::{self, RefusedKey};
/// use hemlockrock::queue::model::{Queue, QueueDirectory};
/// use hemlockrock::queue::workspaces::{JobOwner, Workspace, Workspaces};
///
/// let limit = Resources::new(8_000, u64::MAX, u32::MAX);
/// let print = Workspace { name: "print".into(), weight: 2.0, limit };
/// let (workspaces, _) = Workspaces::new([(print, ["key-1"])]);
/// let directory = QueueDirectory { workspaces: Some(workspaces), ..QueueDirectory::default() };
/// let queue = Queue::default();
/// let owner = authentication::authenticate(&directory, &queue, ["key-1"], true);
/// assert_eq!(owner, Ok(Some(JobOwner::Workspace("print".into()))));
/// let refused = authentication::authenticate(&directory, &queue, ["key-2"], true);
/// assert_eq!(refused, Err(RefusedKey::Unknown));
/// ```
pub fn authenticate<'a>(
    directory: &QueueDirectory,
    queue: &Queue,
    keys: impl IntoIterator<Item = &'a str>,
    is_current: bool,
) -> Result<Option<JobOwner>, RefusedKey> {
    let Some(workspaces) = &directory.workspaces else { return Ok(None) };
    if queue.is_public {
        return Ok(Some(JobOwner::Nobody));
    }
    let mut keys = keys.into_iter();
    let key = keys.next().ok_or(RefusedKey::Missing)?;
    if keys.next().is_some() {
        return Err(RefusedKey::Repeated);
    }
    // An unknown key may have been added while the host did not hear from the store.
    if !is_current {
        return Err(RefusedKey::Unconfirmed);
    }
    let workspace = workspaces.with_key(key.as_bytes()).ok_or(RefusedKey::Unknown)?;
    Ok(Some(JobOwner::Workspace(workspace.name.clone())))
}

/// Logs refused requests, with at most one line in a second.
#[derive(Debug, Default)]
pub struct RefusalLog {
    /// Requests that were refused since the last line.
    unlogged: AtomicU64,
    /// Time before which no further line is written, in milliseconds of [`crate::clock::now_ms`].
    next_ms: AtomicU64,
}

impl RefusalLog {
    /// Records a refused request to `queue`, and writes a line if one is due.
    pub fn record(&self, refused: RefusedKey, queue: &str, now_ms: u64) {
        self.unlogged.fetch_add(1, Ordering::AcqRel);
        let next_ms = self.next_ms.load(Ordering::Acquire);
        let claim = (next_ms, now_ms + LOG_GAP_MS);
        let is_due = now_ms >= next_ms
            && self
                .next_ms
                .compare_exchange(claim.0, claim.1, Ordering::AcqRel, Ordering::Acquire)
                .is_ok();
        if !is_due {
            return;
        }
        decision_log::line("keys_refused")
            .with("requests", self.unlogged.swap(0, Ordering::AcqRel))
            .with("last_reason", refused.reason())
            .with("last_queue", queue)
            .end();
    }
}
