//! Request and response types of the job API.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::jobs::record::JobRecord;
use crate::place::explain::Explanation;
use crate::place::message::{JobId, JobState};
use crate::place::spec::{JobSpec, Resources};

/// HTTP path of the jobs.
pub const JOBS_PATH: &str = "/v1/jobs";

/// HTTP path of the workers.
pub const WORKERS_PATH: &str = "/v1/workers";

/// HTTP path of drain requests.
pub const DRAIN_PATH: &str = "/v1/drain";

/// Longest accepted job id, in bytes.
const MAX_ID_BYTES: usize = 100;

/// Most words (program and arguments) in a command.
const MAX_COMMAND_WORDS: usize = 100;

/// Longest word of a command, in bytes.
const MAX_WORD_BYTES: usize = 1_000;

/// Request body of a job submission.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Submission {
    /// Job id, which makes retries idempotent; empty for an id derived from the content, see
    /// [`Submission::job_id`].
    pub id: String,
    /// Zone that is to run the job; empty to have one chosen from the id and the requirements.
    pub zone: String,
    /// Program that each task runs, and its arguments.
    pub command: Vec<String>,
    /// Job specification: tasks, resources and constraints.
    pub spec: JobSpec,
}

impl Submission {
    /// Creates a submission of a job that runs `command`, in a zone that the gateway chooses.
    pub fn new(id: impl Into<String>, spec: JobSpec, command: &[&str]) -> Self {
        let command = command.iter().map(|word| (*word).to_owned()).collect();
        Self { id: id.into(), zone: String::new(), command, spec }
    }

    /// The given id or, if it is empty, `job-` and a digest of the submission.
    ///
    /// ```
    /// use hemlockrock::jobs::api::Submission;
    ///
    /// let job = Submission { command: vec!["sleep".into()], ..Submission::default() };
    /// assert_eq!(job.job_id(), job.clone().job_id());
    /// ```
    pub fn job_id(&self) -> String {
        const DIGEST_CHARACTERS: usize = 24;
        if !self.id.is_empty() {
            return self.id.clone();
        }
        let text = serde_json::to_vec(self).unwrap_or_default();
        let mut digest = format!("{:x}", Sha256::digest(text));
        digest.truncate(DIGEST_CHARACTERS);
        format!("job-{digest}")
    }

    /// Error message if the submission is invalid, regardless of the workers that exist.
    pub fn validation_error(&self) -> Option<&'static str> {
        if !is_possible_id(&self.id) {
            return Some("id: expected at most 100 letters, digits, -, _ and .");
        }
        let is_long = self.command.iter().any(|word| word.len() > MAX_WORD_BYTES);
        if self.command.is_empty() || self.command.len() > MAX_COMMAND_WORDS || is_long {
            return Some("command: expected 1 to 100 words of at most 1000 bytes");
        }
        self.spec.validation_error()
    }
}

/// Whether a submission may carry this job id.
///
/// ```
/// use hemlockrock::jobs::api;
///
/// assert!(api::is_possible_id("range-7"));
/// assert!(!api::is_possible_id("range 7"));
/// ```
pub fn is_possible_id(id: &str) -> bool {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    id.len() <= MAX_ID_BYTES && id.chars().all(is_plain)
}

/// Outcome of a submission, as far as it is certain at the time of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SubmitOutcome {
    /// The job record is in the store, so the job survives the loss of any host.
    Accepted,
    /// No task of the job runs or ever will because of this submission.
    NotRun,
    /// The job record may be in the store; a retry with the same id resolves it.
    Unknown,
}

impl SubmitOutcome {
    /// The outcome as the value of the outcome header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

/// Response to a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SubmitAnswer {
    /// Id of the job.
    pub id: JobId,
    /// Zone that the job is assigned to.
    pub zone: String,
    /// Outcome of the submission.
    pub outcome: SubmitOutcome,
    /// State of the job; `None` if its record was not stored.
    pub state: Option<JobState>,
    /// Reason for the outcome; `None` for an accepted job.
    pub reason: Option<String>,
}

/// A job as returned to callers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JobView {
    /// Id of the job.
    pub id: JobId,
    /// Zone that runs the job.
    pub zone: String,
    /// Current state.
    pub state: JobState,
    /// Number of finished tasks.
    pub finished: u32,
    /// Total number of tasks.
    pub tasks: u32,
    /// Job specification as submitted.
    pub spec: JobSpec,
    /// Program that each task runs, and its arguments.
    pub command: Vec<String>,
    /// Wall-clock time of acceptance, in milliseconds since the Unix epoch.
    pub accepted_at_ms: u64,
    /// Wall-clock time at which the job ended, in milliseconds since the Unix epoch; 0 until then.
    pub ended_at_ms: u64,
}

impl JobView {
    /// Creates the view of a job record with its current state.
    pub fn new(record: &JobRecord, zone: &str, state: JobState) -> Self {
        let finished = record.progress.finished.iter().map(|(from, to)| to - from).sum();
        Self {
            id: JobId::clone(&record.id),
            zone: zone.to_owned(),
            state,
            finished,
            tasks: record.spec.tasks,
            spec: JobSpec::clone(&record.spec),
            command: record.command.to_vec(),
            accepted_at_ms: record.accepted_at_ms,
            ended_at_ms: record.ended_at_ms,
        }
    }
}

/// Explanation of the state of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JobExplanation {
    /// Id of the job.
    pub id: JobId,
    /// Zone that runs the job.
    pub zone: String,
    /// Current state.
    pub state: JobState,
    /// Reason for the rejection; `None` if the job was not rejected.
    pub reason: Option<String>,
    /// Placement of the job: why it waits, with the number of excluded workers by reason; `None`
    /// once it has ended.
    pub explanation: Option<Explanation>,
}

/// A worker as returned to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WorkerView {
    /// Name of the worker.
    pub name: String,
    /// Zone of the worker.
    pub zone: String,
    /// Name of the rack; empty if the rack is unknown.
    pub rack: String,
    /// Address that the placer calls, `IP:port`.
    pub address: String,
    /// State name in the placer's worker state chart, such as `ready` or `silent`; empty if
    /// unknown.
    pub state: String,
    /// Total resources for tasks.
    pub capacity: Resources,
    /// Resources that the placer has reserved for tasks.
    pub reserved: Resources,
    /// Whether the worker is declared as draining, and thus gets no new tasks.
    pub is_draining: bool,
}

/// Jobs or workers of all zones whose placer responded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Listing<T> {
    /// Jobs or workers found.
    pub items: Vec<T>,
    /// Zones whose placer did not respond.
    pub missing_zones: Vec<String>,
}
