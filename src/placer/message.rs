//! Messages to the control thread of a placer, and the replies to API requests.

use std::sync::Arc;

use crate::declarations::feed::AcceptedDeclarations;
use crate::inventory::WorkerKey;
use crate::jobs::api::{JobExplanation, JobView, Submission, SubmitAnswer, WorkerView};
use crate::placer::wire::{WorkerAnswer, WorkerCall};
use crate::placer::zone_lease::ZoneEvent;
use crate::store::{Entry, PutOutcome, Revision, StoreError};

/// A message to the control thread.
#[derive(Debug)]
pub enum Message {
    /// A new version of the declarations was accepted.
    Declared(Arc<AcceptedDeclarations>),
    /// The zone lease was acquired, renewed or lost.
    Zone(ZoneEvent),
    /// A read of the zone's job journal ended.
    JournalRead {
        /// Epoch of the takeover that reads the journal.
        epoch: u64,
        /// Slots of the journal in the store.
        result: Result<Vec<Entry>, StoreError>,
    },
    /// A write to the job journal ended.
    JournalWritten {
        /// Epoch under which the write was issued.
        epoch: u64,
        /// Outcome of the write.
        result: WriteResult,
    },
    /// A read of the quota record ended.
    QuotaRead {
        /// Epoch under which the read was issued.
        epoch: u64,
        /// The stored record; `None` if there is none.
        result: Result<Option<Entry>, StoreError>,
    },
    /// A write of the quota record ended.
    QuotaWritten {
        /// Epoch under which the write was issued.
        epoch: u64,
        /// Outcome of the write.
        result: Result<PutOutcome, StoreError>,
    },
    /// A call to a worker ended, with or without a response.
    CallCompleted(Box<CompletedCall>),
    /// A caller of the job API sent a request.
    Request(ApiRequest),
    /// Stop being active once all job records are stored. The reply is the epoch that was held, or
    /// `None` if this placer was on standby.
    Drain(async_channel::Sender<Option<u64>>),
    /// End the control thread.
    Stop,
}

/// Outcome of a conditional write to the journal. A write whose response was lost is retried until
/// its outcome is certain, so there is no unknown outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The write took effect at this revision.
    Written(Revision),
    /// The slot was modified since it was read; holds its current entry, if any.
    Conflict(Option<Entry>),
    /// The write certainly took no effect.
    NoEffect(StoreError),
}

/// A call to a worker that ended, with its result.
#[derive(Debug)]
pub struct CompletedCall {
    /// Epoch under which the call was sent.
    pub epoch: u64,
    /// Worker that was called.
    pub worker: WorkerKey,
    /// Content of the call.
    pub call: WorkerCall,
    /// Response of the worker, or why there was none.
    pub result: Result<WorkerAnswer, CallFailure>,
}

/// Reason why a call to a worker got no response.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum CallFailure {
    /// The call certainly had no effect, for example because the connection was
    /// refused.
    #[error("not sent: {0}")]
    NoEffect(String),
    /// The response was lost; the call may have had an effect.
    #[error("no response: {0}")]
    Lost(String),
}

/// Reason why the control thread refused an API request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum RequestError {
    /// This placer is on standby, or drains.
    #[error("this placer does not hold the zone lease")]
    NotActive,
    /// The zone has no job with the requested id.
    #[error("no job with this id exists in the zone")]
    NoSuchJob,
    /// The cancellation took effect but was not stored before the timeout.
    #[error("the cancellation was not stored before the timeout; retry the request")]
    NotRecorded,
}

/// Channel for the response to an API request.
pub type Reply<T> = async_channel::Sender<Result<T, RequestError>>;

/// A request of the job API to the active placer.
#[derive(Debug)]
pub enum ApiRequest {
    /// Accept a job.
    Submit {
        /// The job, with its id filled in.
        submission: Box<Submission>,
        /// Receives the outcome once it is certain or the submit timeout has passed.
        reply: Reply<SubmitAnswer>,
    },
    /// Return a job.
    Get {
        /// Id of the job.
        id: String,
        /// Receives the job.
        reply: Reply<JobView>,
    },
    /// Return all jobs of the zone.
    List {
        /// Receives the jobs.
        reply: Reply<Vec<JobView>>,
    },
    /// Cancel a job.
    Cancel {
        /// Id of the job.
        id: String,
        /// Receives the job once the cancellation is stored.
        reply: Reply<JobView>,
    },
    /// Explain why a job does not run.
    Explain {
        /// Id of the job.
        id: String,
        /// Receives the explanation.
        reply: Reply<JobExplanation>,
    },
    /// Return all workers of the zone.
    Workers {
        /// Receives the workers.
        reply: Reply<Vec<WorkerView>>,
    },
}

impl ApiRequest {
    /// Responds to the request with `error`.
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
