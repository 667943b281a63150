//! The call from the placer of a zone to a worker: one call carries a batch of commands, its
//! answer what became of them and, when asked for, the report of the worker.

use serde::{Deserialize, Serialize};

use crate::collections::{HashMap, HashSet};
use crate::place::message::{Attempt, AttemptReport, Refusal, StopMode, TaskId, WorkerReport};
use crate::place::spec::Resources;

/// Path at which a worker takes calls.
pub const PATH: &str = "/v1/worker";

/// One call to a worker. The parts are carried out in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct WorkerCall {
    /// Name of the worker.
    pub worker: String,
    /// Epoch of the caller; the worker refuses one that is below the highest it has seen.
    pub epoch: u64,
    /// Length of a lease from the token that a start or renewal carries, in milliseconds.
    pub lease_ms: u64,
    /// Starts up to this attempt are void from now on.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub barrier: Option<Attempt>,
    /// Ended attempts that the worker may forget.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub forget: Vec<Attempt>,
    /// Attempts that are to give way.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub stops: Vec<Stop>,
    /// Token from which all leases on the worker are renewed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub renew_token_ms: Option<u64>,
    /// Attempts to start.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub starts: Vec<Start>,
    /// Whether the answer is to carry a report.
    pub wants_report: bool,
    /// Number of the last report that the caller has; 0 for none.
    pub known_report: u64,
}

impl WorkerCall {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.barrier.is_none()
            && self.forget.is_empty()
            && self.stops.is_empty()
            && self.renew_token_ms.is_none()
            && self.starts.is_empty()
            && !self.wants_report
    }
}

/// An attempt that is to give way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Stop {
    /// Attempt.
    pub attempt: Attempt,
    /// How.
    pub mode: StopMode,
}

/// An attempt to start.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Start {
    /// Attempt; a worker that has begun it does not begin it again.
    pub attempt: Attempt,
    /// Task.
    pub task: TaskId,
    /// What it may use.
    pub reserved: Resources,
    /// Token from which its lease runs.
    pub token_ms: u64,
    /// Program and its arguments.
    pub command: Vec<String>,
}

/// What a worker answers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct WorkerAnswer {
    /// Highest epoch that the worker has seen.
    pub epoch: u64,
    /// Whether the call came under a lower epoch; nothing of it was done.
    pub is_fenced: bool,
    /// Starts that began, now or at an earlier call.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub begun: Vec<Attempt>,
    /// Starts that did not begin and never will.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub refused: Vec<RefusedStart>,
    /// All that the worker runs, if it was asked for.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub report: Option<ReportUpdate>,
}

/// The report of a worker, whole or as a change of an earlier one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct ReportUpdate {
    /// Number of this report, unlike that of any other of the worker.
    pub number: u64,
    /// Number of the report that this one changes; 0 when it is whole.
    pub base: u64,
    /// The worker's own clock, in milliseconds.
    pub token_ms: u64,
    /// Highest barrier that the worker has seen.
    pub barrier: Attempt,
    /// Attempts that are new or in another state than in the base.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub changed: Vec<AttemptReport>,
    /// Attempts of the base that the worker has forgotten.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub gone: Vec<Attempt>,
}

impl ReportUpdate {
    /// The shortest update from `base`, if there is one, to `report`.
    pub fn new(number: u64, base: Option<(u64, &WorkerReport)>, report: &WorkerReport) -> Self {
        let (base, before) = base.map_or((0, &[][..]), |(number, base)| (number, &base.attempts));
        let known: HashMap<Attempt, &AttemptReport> =
            before.iter().map(|item| (item.attempt, item)).collect();
        let now: HashSet<Attempt> = report.attempts.iter().map(|item| item.attempt).collect();
        let is_changed = |item: &&AttemptReport| {
            known.get(&item.attempt).is_none_or(|before| differs(before, item))
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

    /// The whole report, from the one that the caller has; none when they do not fit together.
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
        let passed_ms = token_ms.saturating_sub(report.token_ms);
        report.attempts.retain(|item| !gone.contains(&item.attempt));
        for item in &mut report.attempts {
            match changed.remove(&item.attempt) {
                Some(newer) => *item = newer,
                None => item.age_ms += passed_ms,
            }
        }
        report.attempts.extend(changed.into_values());
        report.attempts.sort_unstable_by_key(|item| item.attempt);
        Some(WorkerReport { token_ms, barrier, attempts: report.attempts })
    }
}

/// Whether two reports of an attempt differ in more than its age.
fn differs(before: &AttemptReport, now: &AttemptReport) -> bool {
    before.state != now.state || before.usage != now.usage || before.reserved != now.reserved
}

/// A start that did not begin and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RefusedStart {
    /// Attempt.
    pub attempt: Attempt,
    /// Why.
    pub refusal: Refusal,
}
