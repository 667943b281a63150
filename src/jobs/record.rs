//! What is recorded of a job, and the value that holds many such records.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::http::rpc::{self, RpcError};
use crate::place::message::{JobId, JobProgress};
use crate::place::spec::JobSpec;

/// A job as it is recorded; of two records of a job the one with the higher version holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JobRecord {
    /// Id of the job.
    pub id: JobId,
    /// What was asked for.
    pub spec: Arc<JobSpec>,
    /// Program of each task and its arguments.
    pub command: Arc<[String]>,
    /// What became of it.
    pub progress: JobProgress,
    /// Wall time at which it was accepted, in milliseconds since the Unix epoch.
    pub accepted_at_ms: u64,
    /// Wall time at which it ended, in milliseconds since the Unix epoch; 0 before.
    pub ended_at_ms: u64,
}

impl JobRecord {
    /// Estimated size in a stored value, in bytes.
    pub fn size_bytes(&self) -> usize {
        const FIXED_BYTES: usize = 400;
        const RANGE_BYTES: usize = 12;
        let command: usize = self.command.iter().map(|word| word.len() + 5).sum();
        let labels = self.spec.constraints.iter().chain(&self.spec.labels);
        let labels: usize = labels.map(|(name, value)| name.len() + value.len() + 10).sum();
        let names = self.id.len() + self.spec.name.len() + self.spec.team.len();
        FIXED_BYTES + names + command + labels + self.progress.finished.len() * RANGE_BYTES
    }

    /// Whether nothing more happens to the job.
    pub fn is_ended(&self) -> bool {
        self.progress.ended.is_some()
    }
}

/// The value of one slot of a zone's journal.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlotValue {
    /// Epoch of the writer.
    pub epoch: u64,
    /// Number of the write among all writes of the zone's journal, from 1.
    pub sequence: u64,
    /// The records.
    pub records: Vec<JobRecord>,
}

impl SlotValue {
    /// The value as it is stored.
    ///
    /// # Errors
    /// The value cannot be written.
    pub fn encode(&self) -> Result<Bytes, RpcError> {
        rpc::encode(self).map(Bytes::from)
    }

    /// Reads a stored value.
    ///
    /// # Errors
    /// The bytes are not such a value.
    pub fn decode(bytes: &[u8]) -> Result<Self, RpcError> {
        rpc::decode(bytes)
    }
}
