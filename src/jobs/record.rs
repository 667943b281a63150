//! Stored format of job records and of the journal slots that hold them.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::http::rpc::{self, RpcError};
use crate::place::message::{JobId, JobProgress, JobState};
use crate::place::spec::JobSpec;

/// Record of one job. Of two records of the same job, the one with the higher progress version is
/// valid.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JobRecord {
    /// Id of the job.
    pub id: JobId,
    /// Job specification as submitted.
    pub spec: Arc<JobSpec>,
    /// Program that each task runs, and its arguments.
    pub command: Arc<[String]>,
    /// Finished tasks, failures, cancellation and final state.
    pub progress: JobProgress,
    /// Wall-clock time of acceptance, in milliseconds since the Unix epoch.
    pub accepted_at_ms: u64,
    /// Wall-clock time at which the job ended, in milliseconds since the Unix epoch; 0 until then.
    pub ended_at_ms: u64,
}

impl JobRecord {
    /// Record of the cancellation of a job that is not known: it refuses a submission of the job that
    /// is still on its way. `unix_ms` is the wall-clock time, in milliseconds since the Unix epoch.
    ///
    /// ```
    /// use hemlockrock::jobs::record::JobRecord;
    ///
    /// let record = JobRecord::cancelled_before_submission("range-7", 1_800_000_000_000);
    /// assert!(record.is_ended() && record.precedes_submission());
    /// ```
    pub fn cancelled_before_submission(id: impl Into<JobId>, unix_ms: u64) -> Self {
        let ended = Some(JobState::Cancelled);
        Self {
            id: id.into(),
            progress: JobProgress {
                version: 1,
                is_cancelled: true,
                ended,
                ..JobProgress::default()
            },
            accepted_at_ms: unix_ms,
            ended_at_ms: unix_ms,
            ..Self::default()
        }
    }

    /// Whether the job was cancelled before it was submitted. No valid job has an empty command.
    pub fn precedes_submission(&self) -> bool {
        self.command.is_empty()
    }

    /// Estimated encoded size, in bytes.
    pub fn size_bytes(&self) -> usize {
        const FIXED_BYTES: usize = 400;
        const RANGE_BYTES: usize = 12;
        let command: usize = self.command.iter().map(|word| word.len() + 5).sum();
        let labels = self.spec.constraints.iter().chain(&self.spec.labels);
        let labels: usize = labels.map(|(name, value)| name.len() + value.len() + 10).sum();
        let names = self.id.len() + self.spec.name.len() + self.spec.team.len();
        let ranges = self.progress.finished.len() + self.progress.failures.len();
        let workers = self.progress.failed_workers.iter().map(|name| name.len() + 5);
        let workers: usize = workers.sum();
        FIXED_BYTES + names + command + labels + workers + ranges * RANGE_BYTES
    }

    /// Whether the job has reached its final state.
    pub fn is_ended(&self) -> bool {
        self.progress.ended.is_some()
    }
}

/// Value of one slot of a zone's job journal.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlotValue {
    /// Epoch of the placer that wrote the slot.
    pub epoch: u64,
    /// Sequence number of the write among all writes to the journal, from 1.
    pub sequence: u64,
    /// Job records in the slot.
    pub records: Vec<JobRecord>,
}

impl SlotValue {
    /// Encodes the value for the store.
    ///
    /// # Errors
    /// The value cannot be serialized.
    pub fn encode(&self) -> Result<Bytes, RpcError> {
        rpc::encode(self).map(Bytes::from)
    }

    /// Decodes a stored value.
    ///
    /// # Errors
    /// The bytes are not a valid slot value.
    pub fn decode(bytes: &[u8]) -> Result<Self, RpcError> {
        rpc::decode(bytes)
    }
}
