//! Keys and contents of the queue's records in the store.
//!
//! A job has up to three: its submission, its cancellation and its progress. The leader key and
//! the roster exist once for the cell.

use serde::{Deserialize, Serialize};

use crate::http::rpc::{self, RpcError};
use crate::queue::model::{JobId, JobState, Submission};

/// Key prefix of submissions and cancellations.
pub const JOBS: &str = "job/";

/// Key prefix of progress records.
pub const PROGRESS: &str = "progress/";

/// Key of the [`LeaderRecord`]; the host that created it orders the runners.
pub const LEADER: &str = "leader";

/// Key of the roster, a list of [`RosterEntry`].
pub const ROSTER: &str = "roster";

/// Key of the [`LeaderRecord`]s of all terms whose orders may still have an effect, the current one
/// last. It is written together with [`LEADER`], so that a new leader knows all leaders before it.
pub const TERMS: &str = "terms";

/// Suffix that turns the key of a submission into that of its cancellation.
const CANCEL: &str = "/cancel";

/// Key of a job's submission.
pub fn job_key(id: JobId) -> String {
    format!("{JOBS}{id}")
}

/// Key of a job's cancellation.
pub fn cancel_key(id: JobId) -> String {
    format!("{JOBS}{id}{CANCEL}")
}

/// Key of a job's progress record.
pub fn progress_key(id: JobId) -> String {
    format!("{PROGRESS}{id}")
}

/// Parses the key of a submission or cancellation.
///
/// Returns the job and whether the key is that of its cancellation; `None` for any other key.
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

/// Parses the key of a progress record; `None` for any other key.
pub fn parse_progress_key(key: &str) -> Option<JobId> {
    JobId::parse(key.strip_prefix(PROGRESS)?)
}

/// Progress of a job, from which a new leader resumes it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Progress {
    /// State when the record was written.
    pub state: JobState,
    /// Time at which a final state was reached, in Unix milliseconds; 0 while the job is not ended.
    pub ended_unix_ms: u64,
    /// Completed tasks, as step and index; empty once the job has ended.
    pub done: Vec<(u32, u32)>,
    /// Failed runs, as step, index and run number; empty once the job has ended.
    pub failed: Vec<(u32, u32, u64)>,
    /// Runs during which their runner crashed, of tasks that are not completed; empty once the job
    /// has ended.
    #[serde(default)]
    pub crashed: Vec<CrashRecord>,
    /// Tasks of which a run was given up before its end was read and that have been started again, or
    /// may be as long as neither they nor the job have ended.
    #[serde(default)]
    pub lost: Vec<LostRunRecord>,
}

/// A run during which its runner crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashRecord {
    /// Number of the step in the job.
    pub step: u32,
    /// Index of the task in the step.
    pub index: u32,
    /// Number of the run.
    pub run: u64,
    /// Whether the runner was starting the run.
    pub was_starting: bool,
    /// Whether the runner has certainly crashed during the run.
    pub is_certain: bool,
    /// Whether the runner had certainly begun the run.
    #[serde(default)]
    pub has_begun: bool,
}

/// A task that was started again after a run whose end had not been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LostRunRecord {
    /// Number of the step in the job.
    pub step: u32,
    /// Index of the task in the step.
    pub index: u32,
    /// Number of the run below which done ends must not be acknowledged.
    pub run: u64,
}

/// A runner to which the leader may have sent orders.
///
/// After a change of the leader, tasks that may still run at such a runner are not started
/// elsewhere until it has answered or its leases have expired.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RosterEntry {
    /// Name of the runner.
    pub id: String,
    /// Address of the runner for orders, `IP:port`.
    pub address: String,
    /// Start of the incarnation that gets the orders, in Unix milliseconds; 0 if it is not known.
    #[serde(default)]
    pub started_unix_ms: u64,
    /// How long the leases of runs on this incarnation may be.
    #[serde(default)]
    pub leases: RunLeases,
}

/// How long the leases of the runs on an incarnation of a runner may be.
///
/// An order for the former incarnation that reaches a new one gives it the longest lease, since the
/// expiry in the order is a time on the clock of the former one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunLeases {
    /// At most as long as leaders ask for.
    Usual,
    /// Perhaps longer, but the leader has started nothing there.
    Unused,
    /// Up to the longest that a runner grants; also if nothing is known.
    #[default]
    Longest,
}

/// Identifies the leader of the cell.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the leader's host.
    pub host: String,
    /// Address of the leader for calls between hosts, `IP:port`.
    pub address: String,
    /// Differs between terms. If the answer to a write of this record is lost, the leader
    /// recognizes by it whether the stored record is its own.
    pub nonce: u64,
}

/// Encodes a record for the store.
///
/// # Errors
/// Fails as [`rpc::encode`] does.
pub fn encode(value: &impl Serialize) -> Result<bytes::Bytes, RpcError> {
    rpc::encode(value).map(bytes::Bytes::from)
}

/// Decodes a submission record.
///
/// # Errors
/// Fails as [`rpc::decode`] does.
pub fn decode_submission(bytes: &[u8]) -> Result<Submission, RpcError> {
    rpc::decode(bytes)
}
