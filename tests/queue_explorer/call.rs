//! Calls from leaders to runners, and their answers.

use std::fmt;

use hemlockrock::queue::model::{OrderError, RunnerStatus, TaskId};
use hemlockrock::queue::scheduler::RunnerKey;

/// An order to a runner.
#[derive(Clone, Copy, Debug)]
pub(super) enum Order {
    Start { task: TaskId, run: u64, until_ms: u64 },
    Stop { task: TaskId, run: u64 },
    Hold { until_ms: Option<u64>, last_seen: u64, wait_ms: u64 },
}

/// An order on its way from a host to a runner.
#[derive(Clone, Copy, Debug)]
pub(super) struct Call {
    pub(super) id: u64,
    pub(super) host: usize,
    /// Term of the host, in which an answer is of interest.
    pub(super) epoch: u64,
    /// Position of the runner in the world.
    pub(super) runner: usize,
    /// Key of the runner in the scheduler of the host.
    pub(super) key: RunnerKey,
    pub(super) token: u64,
    pub(super) sent_ms: u64,
    pub(super) order: Order,
}

/// Answer to a call.
#[derive(Clone, Debug)]
pub(super) enum Answer {
    /// Answer to a start or stop, with the runner's clock in milliseconds.
    Order(Result<u64, OrderError>),
    /// Answer to a renewal.
    Hold(Result<RunnerStatus, OrderError>),
}

impl Order {
    /// The task that the order is about; none for a renewal.
    pub(super) fn task(&self) -> Option<TaskId> {
        match self {
            Self::Start { task, .. } | Self::Stop { task, .. } => Some(*task),
            Self::Hold { .. } => None,
        }
    }

    /// Whether the order may extend the lease of a runner.
    pub(super) fn extends_lease(&self) -> bool {
        match self {
            Self::Start { .. } => true,
            Self::Stop { .. } => false,
            Self::Hold { until_ms, .. } => until_ms.is_some(),
        }
    }

    /// Time for which the runner may hold the call open, in milliseconds.
    pub(super) fn wait_ms(&self) -> u64 {
        match self {
            Self::Hold { wait_ms, .. } => *wait_ms,
            _ => 0,
        }
    }

    /// Answer that reports a failed call.
    pub(super) fn failure(&self, error: OrderError) -> Answer {
        match self {
            Self::Hold { .. } => Answer::Hold(Err(error)),
            _ => Answer::Order(Err(error)),
        }
    }
}

impl Answer {
    pub(super) fn error(&self) -> Option<OrderError> {
        match self {
            Self::Order(result) => result.as_ref().err().copied(),
            Self::Hold(result) => result.as_ref().err().copied(),
        }
    }
}

impl fmt::Display for Call {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { id, host, runner, token, .. } = self;
        write!(formatter, "call {id} of host {host} (token {token}) to r{runner}: ")?;
        match &self.order {
            Order::Start { task, run, until_ms } => {
                write!(formatter, "start {task} run {run} until {until_ms}")
            }
            Order::Stop { task, run } => write!(formatter, "stop {task} run {run}"),
            Order::Hold { until_ms, last_seen, wait_ms } => {
                write!(formatter, "hold until {until_ms:?} last-seen {last_seen} wait {wait_ms}")
            }
        }
    }
}
