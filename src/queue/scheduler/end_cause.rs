//! Why a job has reached its final state, for the log.

use std::fmt;

use crate::queue::model::TaskId;

/// Cause of the end of a job, with the runs that are the evidence.
#[derive(Clone, Debug)]
pub(super) enum EndCause {
    /// All tasks are done.
    TasksDone,
    /// A cancellation is stored.
    Cancellation,
    /// The runs of a task, or of a gang, have failed as often as the queue allows.
    FailedRuns {
        /// Task whose run failed last.
        task: TaskId,
        runs: Vec<u64>,
        allowed: u32,
    },
    /// Runners have crashed under the runs of a task.
    Crashes { task: TaskId, runs: Vec<u64> },
}

impl fmt::Display for EndCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TasksDone => write!(formatter, "tasks done"),
            Self::Cancellation => write!(formatter, "cancelled"),
            Self::FailedRuns { task, runs, allowed } => {
                write!(formatter, "failed runs {runs:?} of {task}, {allowed} allowed")
            }
            Self::Crashes { task, runs } => {
                write!(formatter, "crashes under runs {runs:?} of {task}")
            }
        }
    }
}
