//! Everything that is going to happen, in the order of its time.

use std::collections::BTreeMap;

use hemlockrock::queue::model::JobId;
use hemlockrock::queue::scheduler::WriteKey;

use super::call::{Answer, Call};
use super::store::{Commit, CommitOutcome, Entry, Key, TermRecord};

/// Records that a new leader reads, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    Runners,
    Roster,
    Jobs,
    Progress,
}

/// A call of a host to the store.
#[derive(Clone, Debug)]
pub(super) enum StoreRequest {
    ReadLeader,
    ReadTerms,
    /// Creates the leader key for a term after these former ones, and adds it to the stored terms.
    Campaign {
        nonce: u64,
        former: Vec<TermRecord>,
        commit: Commit,
    },
    /// Renews the lease of the term with this token.
    Renew(u64),
    Read(Stage),
    WatchRunners,
    /// Reads the submissions and cancellations after a revision.
    WatchJobs(u64),
    SaveProgress {
        write: WriteKey,
        jobs: Vec<JobId>,
        commit: Commit,
    },
    /// Reads the submissions of these jobs.
    ReadJobs(Vec<JobId>),
    SaveRoster(Commit),
    SettleTerms(Commit),
    RemoveRecords(Commit),
}

/// Answer of the store.
#[derive(Clone, Debug)]
pub(super) enum StoreAnswer {
    /// Records, and the revision at which they were read.
    Entries(Vec<(Key, Entry)>, u64),
    Commit(CommitOutcome),
    /// Whether the lease still holds.
    Renewed(bool),
    /// The call failed and may have taken effect.
    Failed,
}

/// A periodic call of a host to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Timer {
    Leader,
    Renew,
    Read(Stage),
    Runners,
    Jobs,
    /// Asks the hosts of former terms whether these have ended.
    FormerTerms,
}

/// Addressee of an occurrence: a process of a host, in one of its terms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Process {
    pub(super) host: usize,
    pub(super) epoch: u64,
}

/// A fault, or its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    RunnerCrash(usize),
    /// Some runner goes for good.
    RunnerLoss,
    RunnerRestart(usize),
    RunnerCut(usize),
    /// A runner writes its record.
    RunnerPublishes {
        runner: usize,
        life: u64,
    },
    /// The record of a silent runner is removed.
    RunnerExpires(usize),
    Leader,
    HostRestart(usize),
    /// The leader key is removed.
    Revocation,
    /// The store goes away.
    Outage,
}

/// Something that happens at a point in time.
#[derive(Clone, Debug)]
pub(super) enum Occurrence {
    /// A caller submits the job of this plan.
    Submission(usize),
    /// A caller cancels the job of this plan.
    Cancellation(usize),
    /// A host learns of the submission or cancellation with this key from another host.
    Announcement {
        host: usize,
        key: Key,
    },
    /// The scheduler of a host acts on its inputs.
    Pass(Process),
    Timer(Process, Timer),
    StoreArrival {
        process: Process,
        sent_ms: u64,
        request: StoreRequest,
        is_unanswered: bool,
    },
    StoreAnswer {
        process: Process,
        sent_ms: u64,
        request: StoreRequest,
        answer: StoreAnswer,
    },
    CallArrival {
        call: Call,
        is_unanswered: bool,
    },
    CallAnswer {
        call: Call,
        answer: Answer,
        /// Life of the runner that answered.
        life: u64,
    },
    CallTimeout(Call),
    /// Runs or waiting renewals of a runner may end.
    RunnerWake {
        runner: usize,
        life: u64,
    },
    Fault(Fault),
}

impl Occurrence {
    /// Host whose process has to be running for the occurrence to take place.
    pub(super) fn host(&self) -> Option<usize> {
        match self {
            Self::Announcement { host, .. } => Some(*host),
            Self::Pass(process) | Self::Timer(process, _) | Self::StoreAnswer { process, .. } => {
                Some(process.host)
            }
            Self::CallAnswer { call, .. } | Self::CallTimeout(call) => Some(call.host),
            _ => None,
        }
    }
}

/// Occurrences by time, and by the order of their planning within a millisecond.
#[derive(Debug, Default)]
pub(super) struct Agenda {
    planned: BTreeMap<(u64, u64), Occurrence>,
    count: u64,
}

impl Agenda {
    pub(super) fn plan(&mut self, at_ms: u64, occurrence: Occurrence) {
        self.count += 1;
        self.planned.insert((at_ms, self.count), occurrence);
    }

    /// Removes the next occurrence.
    pub(super) fn next(&mut self) -> Option<(u64, Occurrence)> {
        let ((at_ms, _), occurrence) = self.planned.pop_first()?;
        Some((at_ms, occurrence))
    }
}
