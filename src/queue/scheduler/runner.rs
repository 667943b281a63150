//! What the leader believes about a runner: its life, its lease, its room.

use crate::collections::{HashMap, HashSet};
use crate::place::spec::Resources;
use crate::queue::model::{RunnerId, RunnerReport, Step, TaskId};

slotmap::new_key_type! {
    /// A runner in the arena of the leader.
    pub struct RunnerKey;
}

/// How much longer than it says a lease can hold, in thousandths: a runner's clock may be 2% slow.
const SLOW_CLOCK_MILLIS: u64 = 25;

/// Pace of a run that nothing slows down, in percent.
const FULL_PACE_PERCENT: u32 = 100;

/// Spread of delays within which a lease is taken to have ended, in milliseconds.
const LEASE_SLACK_MS: u64 = 300;

/// A runner.
#[derive(Debug)]
pub struct Runner {
    pub(crate) id: RunnerId,
    pub(crate) address: String,
    pub(crate) zone: String,
    pub(crate) service: String,
    pub(crate) labels: Vec<String>,
    pub(crate) capacity: Resources,
    /// Its own record is in the store.
    pub(crate) is_listed: bool,
    pub(crate) is_draining: bool,
    /// Start of the life that answered last, in Unix milliseconds.
    pub(crate) born_unix_ms: Option<u64>,
    /// The life that its record names, in Unix milliseconds.
    pub(crate) listed_born_unix_ms: u64,
    /// It has answered an order with this term's token, so that no former leader can order it.
    pub(crate) is_fenced: bool,
    /// The stored roster names it.
    pub(crate) is_rostered: bool,
    /// Its clock and our time when the answer with it came.
    pub(crate) clock: Option<(u64, u64)>,
    /// Latest end of a lease that was sent, on its clock.
    pub(crate) until_sent_ms: u64,
    /// Number of the last end that was taken in.
    pub(crate) seen: u64,
    /// Number of the last end whose effect is stored.
    pub(crate) acknowledged: u64,
    /// First end that must not be acknowledged: its task started elsewhere meanwhile, and nothing
    /// shows that the lease lapsed in between.
    pub(crate) withheld: Option<u64>,
    /// Runs that were given up for lost here.
    pub(crate) given_up: HashSet<(TaskId, u64)>,
    pub(crate) assigned: HashMap<TaskId, Assigned>,
    pub(crate) used: Resources,
    pub(crate) hold: Holding,
    /// It gets nothing new until then.
    pub(crate) paused_until_ms: u64,
    /// Jobs whose tasks failed there in a row.
    pub(crate) failed_jobs: Vec<u64>,
}

/// State of the renewals at a runner.
#[derive(Debug, Default)]
pub(crate) struct Holding {
    pub(crate) is_in_flight: bool,
    pub(crate) next_ms: u64,
    pub(crate) answered_ms: u64,
    pub(crate) failures: u32,
}

/// A task that takes room at a runner.
#[derive(Clone, Debug)]
pub(crate) struct Assigned {
    pub(crate) run: u64,
    pub(crate) room: Resources,
    pub(crate) phase: Phase,
    pub(crate) is_order_in_flight: bool,
    pub(crate) retry_ms: u64,
    pub(crate) fills: bool,
    /// Another run of the task may go on elsewhere.
    pub(crate) may_copy: bool,
    /// Progress of the task can be seen: it works alone and comes to an end.
    pub(crate) advances: bool,
    /// When its progress was last seen to change.
    pub(crate) advanced_ms: u64,
    pub(crate) target_ms: u64,
    pub(crate) load: f64,
    pub(crate) percent: f64,
    pub(crate) pace: u32,
    pub(crate) paced_ms: u64,
}

/// How far a run at a runner is known to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Ordered; `is_unsure` once an order got no answer.
    Starting {
        /// An order got no answer and may still be carried out.
        is_unsure: bool,
    },
    /// Confirmed at this time, in milliseconds.
    Running {
        /// When it was confirmed.
        since_ms: u64,
    },
    /// To be stopped; `ordered_ms` is when the runner has confirmed the order.
    Stopping {
        /// When the order was confirmed.
        ordered_ms: Option<u64>,
    },
}

impl Assigned {
    /// A task of this step that is ordered or found now.
    pub(crate) fn new(run: u64, step: &Step, now_ms: u64) -> Self {
        Self {
            run,
            room: step.room(),
            phase: Phase::Starting { is_unsure: false },
            is_order_in_flight: true,
            retry_ms: now_ms,
            fills: step.fills,
            may_copy: step.may_copy,
            advances: !step.is_gang && !step.is_lasting && !step.fills,
            advanced_ms: now_ms,
            target_ms: step.target_ms,
            load: 0.0,
            percent: 0.0,
            pace: FULL_PACE_PERCENT,
            paced_ms: 0,
        }
    }

    /// Takes in how far the run is.
    pub(crate) fn advance(&mut self, percent: f64, load: f64, now_ms: u64) {
        if (percent - self.percent).abs() > f64::EPSILON {
            self.advanced_ms = now_ms;
        }
        self.percent = percent;
        self.load = load;
    }

    /// Whether the run had stood still for this long when its runner answered last.
    pub(crate) fn is_stalled(&self, patience_ms: u64, answered_ms: u64) -> bool {
        let Phase::Running { since_ms } = self.phase else { return false };
        self.advances && answered_ms > self.advanced_ms.max(since_ms) + patience_ms
    }

    /// Lets the run be stopped.
    pub(crate) fn stop(&mut self, now_ms: u64) {
        if !matches!(self.phase, Phase::Stopping { .. }) {
            self.phase = Phase::Stopping { ordered_ms: None };
            self.retry_ms = now_ms;
        }
    }
}

impl Runner {
    pub(crate) fn new(report: RunnerReport) -> Self {
        let mut runner = Self::expected(report.id.clone(), report.address.clone());
        runner.update(report);
        runner
    }

    /// A runner of which only name and address are known.
    pub(crate) fn expected(id: RunnerId, address: String) -> Self {
        Self {
            id,
            address,
            zone: String::new(),
            service: String::new(),
            labels: Vec::new(),
            capacity: Resources::default(),
            is_listed: false,
            is_draining: false,
            born_unix_ms: None,
            listed_born_unix_ms: 0,
            is_fenced: false,
            is_rostered: false,
            clock: None,
            until_sent_ms: 0,
            seen: 0,
            acknowledged: 0,
            withheld: None,
            given_up: HashSet::default(),
            assigned: HashMap::default(),
            used: Resources::default(),
            hold: Holding::default(),
            paused_until_ms: 0,
            failed_jobs: Vec::new(),
        }
    }

    /// Takes in what the runner says of itself now.
    pub(crate) fn update(&mut self, report: RunnerReport) {
        self.is_listed = true;
        self.is_draining = report.is_draining;
        self.address = report.address;
        self.zone = report.zone;
        self.service = report.service;
        self.labels = report.labels;
        self.capacity = report.capacity;
        self.listed_born_unix_ms = report.born_unix_ms;
    }

    /// Whether it may get new tasks.
    pub(crate) fn is_usable(&self, now_ms: u64) -> bool {
        self.is_listed
            && !self.is_draining
            && self.is_fenced
            && self.is_rostered
            && self.withheld.is_none()
            && self.born_unix_ms == Some(self.listed_born_unix_ms)
            && self.hold.failures == 0
            && self.paused_until_ms <= now_ms
    }

    /// Resources that are free, less a reserve in thousandths of the capacity.
    pub(crate) fn free(&self, reserve_millis: u64) -> Resources {
        const MILLI: u64 = 1_000;
        let reserve = Resources {
            cpu_millis: self.capacity.cpu_millis * reserve_millis / MILLI,
            memory_bytes: self.capacity.memory_bytes / MILLI * reserve_millis,
            accelerators: 0,
        };
        self.capacity.minus(self.used).minus(reserve)
    }

    /// How many tasks of this size fit into `free`.
    pub(crate) fn slots(free: Resources, need: Resources) -> u64 {
        let by = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
        by(free.cpu_millis, need.cpu_millis)
            .min(by(free.memory_bytes, need.memory_bytes))
            .min(by(u64::from(free.accelerators), u64::from(need.accelerators)))
    }

    pub(crate) fn assign(&mut self, task: TaskId, assigned: Assigned) {
        self.used = self.used.plus(assigned.room);
        if let Some(former) = self.assigned.insert(task, assigned) {
            self.used = self.used.minus(former.room);
        }
    }

    pub(crate) fn release(&mut self, task: TaskId) -> Option<Assigned> {
        let assigned = self.assigned.remove(&task)?;
        self.used = self.used.minus(assigned.room);
        Some(assigned)
    }

    /// End of a lease of `lease_ms` from now, on the runner's clock.
    pub(crate) fn until_ms(&mut self, lease_ms: u64, now_ms: u64) -> Option<u64> {
        let (clock_ms, at_ms) = self.clock?;
        let until_ms = clock_ms + now_ms.saturating_sub(at_ms) + lease_ms;
        self.until_sent_ms = self.until_sent_ms.max(until_ms);
        Some(until_ms)
    }

    /// When everything there has certainly ended unless it is renewed.
    pub(crate) fn lapses_ms(&self) -> u64 {
        const MILLI: u64 = 1_000;
        let Some((clock_ms, at_ms)) = self.clock else { return 0 };
        let left_ms = self.until_sent_ms.saturating_sub(clock_ms);
        at_ms + left_ms + left_ms * SLOW_CLOCK_MILLIS / MILLI + LEASE_SLACK_MS
    }

    /// Forgets what belonged to a former life.
    pub(crate) fn begin_life(&mut self, born_unix_ms: u64) {
        self.born_unix_ms = Some(born_unix_ms);
        self.clock = None;
        self.until_sent_ms = 0;
        self.seen = 0;
        self.acknowledged = 0;
        self.withheld = None;
        self.given_up.clear();
    }

    /// The last end that may be acknowledged once all up to `seen` are stored.
    pub(crate) fn acknowledgeable(&self, seen: u64) -> u64 {
        let limit = self.withheld.map_or(u64::MAX, |number| number.saturating_sub(1));
        seen.min(self.seen).min(limit)
    }

    /// Whether a stop was confirmed whose run has not been seen to end.
    pub(crate) fn is_stopping(&self) -> bool {
        let stopped =
            |assigned: &Assigned| matches!(assigned.phase, Phase::Stopping { ordered_ms: Some(_) });
        self.assigned.values().any(stopped)
    }

    /// Whether a serving task with a target is there.
    pub(crate) fn serves(&self) -> bool {
        self.assigned.values().any(|assigned| assigned.target_ms > 0)
    }

    /// Whether a filling task is there.
    pub(crate) fn is_filled(&self) -> bool {
        self.assigned.values().any(|assigned| assigned.fills)
    }

    pub(crate) fn at(&self) -> (RunnerId, String) {
        (self.id.clone(), self.address.clone())
    }
}
