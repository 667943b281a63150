//! What the store keeps of jobs: the submission, the cancellation and the progress.

use serde::{Deserialize, Serialize};

use crate::http::rpc::{self, RpcError};
use crate::queue::model::{JobId, JobState, Submission};

/// Prefix of submissions and cancellations.
pub const JOBS: &str = "job/";

/// Prefix of progress records.
pub const PROGRESS: &str = "progress/";

/// Key whose holder orders the runners.
pub const LEADER: &str = "leader";

/// Key with the runners that the leader has ordered.
pub const ROSTER: &str = "roster";

const CANCEL: &str = "/cancel";

/// Key of a submission.
pub fn job_key(id: JobId) -> String {
    format!("{JOBS}{id}")
}

/// Key of a cancellation.
pub fn cancel_key(id: JobId) -> String {
    format!("{JOBS}{id}{CANCEL}")
}

/// Key of a job's progress.
pub fn progress_key(id: JobId) -> String {
    format!("{PROGRESS}{id}")
}

/// The job of a key, and whether the key is its cancellation.
///
/// ```
/// use hemlockrock::queue::{model::JobId, record};
///
/// let id = JobId(7);
/// assert_eq!(record::parse_job_key(&record::cancel_key(id)), Some((id, true)));
/// assert_eq!(record::parse_job_key(&record::job_key(id)), Some((id, false)));
/// ```
pub fn parse_job_key(key: &str) -> Option<(JobId, bool)> {
    let rest = key.strip_prefix(JOBS)?;
    let (id, is_cancel) = rest.strip_suffix(CANCEL).map_or((rest, false), |id| (id, true));
    Some((JobId::parse(id)?, is_cancel))
}

/// The job of a progress key.
pub fn parse_progress_key(key: &str) -> Option<JobId> {
    JobId::parse(key.strip_prefix(PROGRESS)?)
}

/// What has ended of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Progress {
    /// State when the record was written.
    pub state: JobState,
    /// When a final state was reached, in Unix milliseconds; 0 before.
    pub ended_unix_ms: u64,
    /// Tasks that are done, as step and index.
    pub done: Vec<(u32, u32)>,
    /// Runs that have failed, as step, index and run.
    pub failed: Vec<(u32, u32, u64)>,
}

/// A runner that the leader has ordered, so that a successor waits for it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RosterEntry {
    /// Name of the runner.
    pub id: String,
    /// Its address.
    pub address: String,
}

/// The leader of the cell.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the host.
    pub host: String,
    /// Address for calls between hosts.
    pub address: String,
    /// Differs between terms, so that a lost answer can be settled.
    pub nonce: u64,
}

/// Writes a record.
///
/// # Errors
/// As [`rpc::encode`].
pub fn encode(value: &impl Serialize) -> Result<bytes::Bytes, RpcError> {
    rpc::encode(value).map(bytes::Bytes::from)
}

/// Reads a submission.
///
/// # Errors
/// As [`rpc::decode`].
pub fn decode_submission(bytes: &[u8]) -> Result<Submission, RpcError> {
    rpc::decode(bytes)
}
