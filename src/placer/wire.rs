//! Wire format of the calls from the placer of a zone to its workers.
//!
//! A call carries a batch of commands. The response carries their results and, on request, a report
//! of the attempts on the worker.

use serde::{Deserialize, Serialize};

use crate::collections::{HashMap, HashSet};
use crate::place::message::{Attempt, AttemptReport, Refusal, StopMode, TaskId, WorkerReport};
use crate::place::spec::Resources;

/// HTTP path of worker calls.
pub const PATH: &str = "/v1/worker";

/// One call to a worker. The worker executes the commands in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct WorkerCall {
    /// Name of the worker.
    pub worker: String,
    /// Epoch of the calling placer; the worker refuses a call below the highest epoch that it has
    /// seen.
    pub epoch: u64,
    /// Duration of a task lease, counted from the token of a start or renewal, in milliseconds.
    pub lease_ms: u64,
    /// The worker refuses starts up to this attempt from now on, unless they already run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub barrier: Option<Attempt>,
    /// Ended attempts that the worker can remove from its reports.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub forget: Vec<Attempt>,
    /// Attempts to throttle or stop.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub stops: Vec<Stop>,
    /// Token from which all task leases on the worker are renewed; `None` renews no lease.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub renew_token_ms: Option<u64>,
    /// Attempts to start.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub starts: Vec<Start>,
    /// Whether the response is to contain a report.
    pub wants_report: bool,
    /// Number of the last report that the placer has; 0 if it has none.
    pub known_report: u64,
}

impl WorkerCall {
    /// Whether the call contains no commands and requests no report.
    pub fn is_empty(&self) -> bool {
        self.barrier.is_none()
            && self.forget.is_empty()
            && self.stops.is_empty()
            && self.renew_token_ms.is_none()
            && self.starts.is_empty()
            && !self.wants_report
    }
}

/// Command to throttle or stop an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Stop {
    /// Attempt to throttle or stop.
    pub attempt: Attempt,
    /// How the attempt releases its resources.
    pub mode: StopMode,
}

/// Command to start an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Start {
    /// Identifier of the attempt; a worker that has started it does not start it again.
    pub attempt: Attempt,
    /// Task to run.
    pub task: TaskId,
    /// Resources reserved for the attempt.
    pub reserved: Resources,
    /// Worker's clock reading at which the lease of the attempt begins, in milliseconds.
    pub token_ms: u64,
    /// Program and its arguments to execute.
    pub command: Vec<String>,
}

/// Response of a worker to a [`WorkerCall`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct WorkerAnswer {
    /// Highest epoch that the worker has seen.
    pub epoch: u64,
    /// Whether the epoch of the call was too low; the worker executed none of its commands.
    pub is_fenced: bool,
    /// Attempts of the call that started, now or by an earlier call.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub begun: Vec<Attempt>,
    /// Attempts of the call that did not start and never will.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub refused: Vec<RefusedStart>,
    /// Report of the attempts on the worker, if the call requested it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub report: Option<ReportUpdate>,
}

/// Report of a worker, in full or as the difference to an earlier report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct ReportUpdate {
    /// Number of this report, unique among the reports of the worker.
    pub number: u64,
    /// Number of the report that the difference refers to; 0 for a full report.
    pub base: u64,
    /// Worker's clock reading, in milliseconds.
    pub token_ms: u64,
    /// Highest barrier that the worker has received.
    pub barrier: Attempt,
    /// Attempts that are new, or that changed since the base in more than their age.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub changed: Vec<AttemptReport>,
    /// Attempts of the base that the worker no longer reports.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub gone: Vec<Attempt>,
}

impl ReportUpdate {
    /// Creates the difference from `base` to `report`, or a full report without a base.
    pub fn new(number: u64, base: Option<(u64, &WorkerReport)>, report: &WorkerReport) -> Self {
        let (base, before) = base.map_or((0, &[][..]), |(number, base)| (number, &base.attempts));
        let known: HashMap<Attempt, &AttemptReport> =
            before.iter().map(|item| (item.attempt, item)).collect();
        let now: HashSet<Attempt> = report.attempts.iter().map(|item| item.attempt).collect();
        let is_changed = |item: &&AttemptReport| {
            known.get(&item.attempt).is_none_or(|before| has_changed(before, item))
        };
        Self {
            number,
            base,
            token_ms: report.token_ms,
            barrier: report.barrier,
            changed: report.attempts.iter().filter(is_changed).cloned().collect(),
            gone: before.iter().map(|item| item.attempt).filter(|at| !now.contains(at)).collect(),
        }
    }

    /// Applies the update to the `known` report, given with its number, and returns the full
    /// report.
    ///
    /// Returns `None` if the update needs a base that is not the known report. The age of unchanged
    /// attempts is advanced by the time between the two reports.
    ///
    /// ```
    /// use hemlockrock::place::message::WorkerReport;
    /// use hemlockrock::placer::wire::ReportUpdate;
    ///
    /// let first = WorkerReport { token_ms: 5, ..WorkerReport::default() };
    /// let second = WorkerReport { token_ms: 9, ..WorkerReport::default() };
    /// let update = ReportUpdate::new(2, Some((1, &first)), &second);
    /// assert_eq!(update.clone().apply(Some((1, first))), Some(second));
    /// assert_eq!(update.apply(None), None);
    /// ```
    pub fn apply(self, known: Option<(u64, WorkerReport)>) -> Option<WorkerReport> {
        let Self { base, token_ms, barrier, changed, gone, .. } = self;
        if base == 0 {
            return Some(WorkerReport { token_ms, barrier, attempts: changed });
        }
        let (_, mut report) = known.filter(|(number, _)| *number == base)?;
        let gone: HashSet<Attempt> = gone.into_iter().collect();
        let mut changed: HashMap<Attempt, AttemptReport> =
            changed.into_iter().map(|item| (item.attempt, item)).collect();
        let elapsed_ms = token_ms.saturating_sub(report.token_ms);
        report.attempts.retain(|item| !gone.contains(&item.attempt));
        for item in &mut report.attempts {
            match changed.remove(&item.attempt) {
                Some(newer) => *item = newer,
                None => item.age_ms += elapsed_ms,
            }
        }
        report.attempts.extend(changed.into_values());
        report.attempts.sort_unstable_by_key(|item| item.attempt);
        Some(WorkerReport { token_ms, barrier, attempts: report.attempts })
    }
}

/// Whether two reports of an attempt differ in more than its age.
fn has_changed(before: &AttemptReport, now: &AttemptReport) -> bool {
    before.state != now.state || before.usage != now.usage || before.reserved != now.reserved
}

/// A start that the worker refused, and that will never run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RefusedStart {
    /// Attempt that was refused.
    pub attempt: Attempt,
    /// Reason for the refusal.
    pub refusal: Refusal,
}
