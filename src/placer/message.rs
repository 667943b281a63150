//! Messages to the control thread of a placer.

use std::sync::Arc;

use crate::declarations::feed::Accepted;
use crate::inventory::WorkerKey;
use crate::jobs::api::{JobExplanation, JobView, Submission, SubmitAnswer, WorkerView};
use crate::placer::wire::{WorkerAnswer, WorkerCall};
use crate::placer::zone_lease::ZoneEvent;
use crate::store::{Entry, PutOutcome, Revision, StoreError};

/// A message to the control thread.
#[derive(Debug)]
pub enum Message {
    /// Declarations were accepted.
    Declared(Arc<Accepted>),
    /// Something happened to the lease of the zone.
    Zone(ZoneEvent),
    /// The journal was read.
    JournalRead {
        /// Epoch for which it was read.
        epoch: u64,
        /// What the store holds.
        result: Result<Vec<Entry>, StoreError>,
    },
    /// A write of the journal ended.
    JournalWritten {
        /// Epoch of the writer.
        epoch: u64,
        /// How it ended.
        result: WriteResult,
    },
    /// The record of quotas was read.
    QuotaRead {
        /// Epoch for which it was read.
        epoch: u64,
        /// What the store holds.
        result: Result<Option<Entry>, StoreError>,
    },
    /// A write of the record of quotas ended.
    QuotaWritten {
        /// Epoch of the writer.
        epoch: u64,
        /// How it ended.
        result: Result<PutOutcome, StoreError>,
    },
    /// A call to a worker ended.
    CallCompleted(Box<CompletedCall>),
    /// A caller asks.
    Request(ApiRequest),
    /// Give the zone up once all is recorded; the answer carries the epoch that was held.
    Drain(async_channel::Sender<Option<u64>>),
    /// End the control thread.
    Stop,
}

/// How a conditional write of the journal ended; a lost answer has been settled before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// It took effect.
    Written(Revision),
    /// The slot was not as expected.
    Conflict(Option<Entry>),
    /// It certainly took no effect.
    NoEffect(StoreError),
}

/// A call to a worker that ended.
#[derive(Debug)]
pub struct CompletedCall {
    /// Epoch of the caller.
    pub epoch: u64,
    /// Worker.
    pub worker: WorkerKey,
    /// The call.
    pub call: WorkerCall,
    /// Answer, or whether the call certainly had no effect.
    pub result: Result<WorkerAnswer, CallFailure>,
}

/// Why a call to a worker gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum CallFailure {
    /// It certainly had no effect.
    #[error("not sent: {0}")]
    NoEffect(String),
    /// It may have had an effect.
    #[error("no answer: {0}")]
    Lost(String),
}

/// Why the control thread does not do what it was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum RequestError {
    /// This placer does not hold the zone.
    #[error("this placer does not hold the zone now")]
    NotActive,
    /// The job is not known.
    #[error("no such job")]
    NoSuchJob,
    /// The cancellation is in force but not recorded yet.
    #[error("the cancellation could not be recorded in time; ask again")]
    NotRecorded,
}

/// Where an answer goes.
pub type Reply<T> = async_channel::Sender<Result<T, RequestError>>;

/// What callers ask for.
#[derive(Debug)]
pub enum ApiRequest {
    /// Take a job.
    Submit {
        /// The job; its id is set.
        submission: Box<Submission>,
        /// Answer.
        reply: Reply<SubmitAnswer>,
    },
    /// Show a job.
    Get {
        /// Id of the job.
        id: String,
        /// Answer.
        reply: Reply<JobView>,
    },
    /// Show all jobs.
    List {
        /// Answer.
        reply: Reply<Vec<JobView>>,
    },
    /// Cancel a job.
    Cancel {
        /// Id of the job.
        id: String,
        /// Answer, once the cancellation is recorded.
        reply: Reply<JobView>,
    },
    /// Say why a job does not run.
    Explain {
        /// Id of the job.
        id: String,
        /// Answer.
        reply: Reply<JobExplanation>,
    },
    /// Show all workers.
    Workers {
        /// Answer.
        reply: Reply<Vec<WorkerView>>,
    },
}

impl ApiRequest {
    /// Answers with an error.
    pub fn refuse(self, error: RequestError) {
        match self {
            Self::Submit { reply, .. } => drop(reply.try_send(Err(error))),
            Self::Get { reply, .. } | Self::Cancel { reply, .. } => {
                drop(reply.try_send(Err(error)));
            }
            Self::List { reply } => drop(reply.try_send(Err(error))),
            Self::Explain { reply, .. } => drop(reply.try_send(Err(error))),
            Self::Workers { reply } => drop(reply.try_send(Err(error))),
        }
    }
}
