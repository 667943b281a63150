//! What callers of the job door send and are answered.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::jobs::record::JobRecord;
use crate::place::explain::Explanation;
use crate::place::message::{JobId, JobState};
use crate::place::spec::{JobSpec, Resources};

/// Path of the jobs.
pub const JOBS_PATH: &str = "/v1/jobs";

/// Path of the workers.
pub const WORKERS_PATH: &str = "/v1/workers";

/// Path that takes drains.
pub const DRAIN_PATH: &str = "/v1/drain";

/// Longest id of a job, in bytes.
const MAX_ID_BYTES: usize = 100;

/// Most words of a command.
const MAX_WORDS: usize = 100;

/// Longest word of a command, in bytes.
const MAX_WORD_BYTES: usize = 1_000;

/// A job as its caller sends it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Submission {
    /// Id that makes a retry idempotent; by default a digest of the job.
    pub id: String,
    /// Zone that is to run it; by default one is chosen by the id.
    pub zone: String,
    /// Program of each task and its arguments.
    pub command: Vec<String>,
    /// What the job asks for.
    pub spec: JobSpec,
}

impl Submission {
    /// A job that runs `command`.
    pub fn new(id: impl Into<String>, spec: JobSpec, command: &[&str]) -> Self {
        let command = command.iter().map(|word| (*word).to_owned()).collect();
        Self { id: id.into(), zone: String::new(), command, spec }
    }

    /// The id, or a digest of everything that was sent.
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

    /// What is wrong with it whatever the inventory, if anything.
    pub fn fault(&self) -> Option<&'static str> {
        let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if self.id.len() > MAX_ID_BYTES || !self.id.chars().all(is_plain) {
            return Some("id: expected at most 100 letters, digits, -, _ and .");
        }
        let is_long = self.command.iter().any(|word| word.len() > MAX_WORD_BYTES);
        if self.command.is_empty() || self.command.len() > MAX_WORDS || is_long {
            return Some("command: expected 1 to 100 words of at most 1000 bytes");
        }
        self.spec.fault()
    }
}

/// What is certain about a submission when its caller is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SubmitOutcome {
    /// The job is recorded and outlives every host of the system.
    Accepted,
    /// No task of the job runs anywhere, nor ever will under this submission.
    NotRun,
    /// The job may have been recorded; a retry with the same id settles it.
    Unknown,
}

impl SubmitOutcome {
    /// The outcome as the header carries it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

/// Answer to a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SubmitAnswer {
    /// Id of the job.
    pub id: JobId,
    /// Zone that runs it.
    pub zone: String,
    /// What is certain.
    pub outcome: SubmitOutcome,
    /// State of the job, if it is recorded.
    pub state: Option<JobState>,
    /// Why it did not run or is not certain.
    pub reason: Option<String>,
}

/// A job as callers see it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JobView {
    /// Id of the job.
    pub id: JobId,
    /// Zone that runs it.
    pub zone: String,
    /// State.
    pub state: JobState,
    /// Tasks that finished.
    pub finished: u32,
    /// Tasks.
    pub tasks: u32,
    /// What was asked for.
    pub spec: JobSpec,
    /// Program of each task and its arguments.
    pub command: Vec<String>,
    /// Wall time at which it was accepted, in milliseconds since the Unix epoch.
    pub accepted_at_ms: u64,
    /// Wall time at which it ended, in milliseconds since the Unix epoch; 0 before.
    pub ended_at_ms: u64,
}

impl JobView {
    /// A view of a record.
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

/// Why a job is in its state.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JobExplanation {
    /// Id of the job.
    pub id: JobId,
    /// Zone that runs it.
    pub zone: String,
    /// State.
    pub state: JobState,
    /// Why it was rejected, if it was.
    pub reason: Option<String>,
    /// Why it waits, as long as it has not ended: workers ruled out, by reason.
    pub explanation: Option<Explanation>,
}

/// A worker as operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WorkerView {
    /// Name of the worker.
    pub name: String,
    /// Zone that it is in.
    pub zone: String,
    /// Rack that it is in.
    pub rack: String,
    /// Address.
    pub address: String,
    /// State as the placer sees it.
    pub state: String,
    /// What it can hold.
    pub capacity: Resources,
    /// What is reserved on it.
    pub reserved: Resources,
    /// Whether it is to be emptied.
    pub is_draining: bool,
}

/// Jobs or workers of all zones that could be asked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Listing<T> {
    /// What was found.
    pub items: Vec<T>,
    /// Zones whose placer did not answer.
    pub missing_zones: Vec<String>,
}
