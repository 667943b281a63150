//! A runner of the platform: lives under one id, leases on its own clock, fencing tokens, and ends
//! that are kept until they are acknowledged.

use std::collections::BTreeMap;

use bytes::Bytes;
use hemlockrock::queue::model::{EndedRun, OrderError, RunEnd, RunnerStatus, RunningTask, TaskId};

use super::call::{Call, Order};

/// Maximum lease that a runner grants, in milliseconds of its clock.
const MAX_LEASE_MS: u64 = 10_000;

/// Start of the simulated time, in Unix milliseconds.
pub(super) const EPOCH_UNIX_MS: u64 = 1_700_000_000_000;

/// Unit of the clock rates.
const MILLI: u64 = 1_000;

/// A run in progress.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) cpu_millis: u64,
    pub(super) begun_ms: u64,
    pub(super) ends_ms: u64,
    /// How the run ends if its lease lasts.
    pub(super) end: RunEnd,
    /// Whether the start was meant for a former life and could not be refused.
    pub(super) is_stray: bool,
}

/// An ended run that was not acknowledged yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ended {
    pub(super) number: u64,
    pub(super) task: TaskId,
    pub(super) run: u64,
    pub(super) end: RunEnd,
    pub(super) at_ms: u64,
}

/// A lease renewal that waits for the end of a run.
#[derive(Clone, Debug)]
pub(super) struct WaitingHold {
    pub(super) call: Call,
    pub(super) until_ms: u64,
    /// Whether the answer is lost.
    pub(super) is_unanswered: bool,
}

/// One life of a runner.
#[derive(Debug)]
pub(super) struct Runner {
    pub(super) capacity_millis: u64,
    pub(super) is_up: bool,
    /// Whether the runner never starts again.
    pub(super) is_gone: bool,
    /// Number of the life.
    pub(super) life: u64,
    pub(super) born_ms: u64,
    /// Time until which no call arrives and no answer gets out.
    pub(super) cut_until_ms: u64,
    /// Speed of the clock, in thousandths.
    clock_rate_millis: u64,
    /// Time at which a host first received a status of this life.
    known_ms: Option<u64>,
    /// Whether an order was accepted that was sent after that.
    is_reached: bool,
    /// Highest fencing token seen.
    token: u64,
    /// End of the lease, on the clock of the runner.
    lease_until_ms: u64,
    /// Times at which the lease has lapsed.
    pub(super) lapses_ms: Vec<u64>,
    has_lapsed: bool,
    pub(super) running: BTreeMap<(TaskId, u64), Run>,
    ended: Vec<Ended>,
    last_number: u64,
    /// Highest run of each task that has ended or was stopped.
    highest_closed: BTreeMap<TaskId, u64>,
    pub(super) holds: Vec<WaitingHold>,
}

impl Runner {
    pub(super) fn new(
        capacity_millis: u64,
        clock_rate_millis: u64,
        life: u64,
        born_ms: u64,
    ) -> Self {
        Self {
            capacity_millis,
            is_up: true,
            is_gone: false,
            life,
            born_ms,
            cut_until_ms: 0,
            clock_rate_millis,
            known_ms: None,
            is_reached: false,
            token: 0,
            lease_until_ms: 0,
            lapses_ms: Vec::new(),
            has_lapsed: true,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_number: 0,
            highest_closed: BTreeMap::new(),
            holds: Vec::new(),
        }
    }

    pub(super) fn started_unix_ms(&self) -> u64 {
        EPOCH_UNIX_MS + self.born_ms
    }

    pub(super) fn clock_ms(&self, now_ms: u64) -> u64 {
        (now_ms - self.born_ms) * self.clock_rate_millis / MILLI
    }

    /// Time at which the lease ends, unless it is renewed.
    pub(super) fn lease_ends_ms(&self) -> u64 {
        self.born_ms + (self.lease_until_ms * MILLI).div_ceil(self.clock_rate_millis)
    }

    /// Whether a task with these needs fits beside the runs in progress.
    pub(super) fn has_room(&self, cpu_millis: u64) -> bool {
        let used: u64 = self.running.values().map(|run| run.cpu_millis).sum();
        used + cpu_millis <= self.capacity_millis
    }

    pub(super) fn runs(&self, task: TaskId) -> bool {
        self.running.keys().any(|(running, _)| *running == task)
    }

    /// Whether the runner has a done end of the task that was not acknowledged yet.
    pub(super) fn keeps_done_end(&self, task: TaskId) -> bool {
        self.ended.iter().any(|ended| ended.task == task && ended.end == RunEnd::Done)
    }

    /// Whether no leader can know of a stray run that is in progress.
    pub(super) fn hides_stray(&self) -> bool {
        !self.is_reached && self.running.values().any(|run| run.is_stray)
    }

    /// Records that a host has received a status of this life.
    pub(super) fn mark_known(&mut self, now_ms: u64) {
        self.known_ms.get_or_insert(now_ms);
    }

    /// Whether nothing lets this life tell that an order sent at `sent_ms` is meant for a former
    /// one: no host has sent an order to it yet that knew of this life.
    pub(super) fn takes_stray(&self, sent_ms: u64) -> bool {
        sent_ms < self.born_ms && !self.is_reached
    }

    /// Records the time at which an accepted order was sent.
    pub(super) fn mark_reached(&mut self, sent_ms: u64) {
        self.is_reached |= self.known_ms.is_some_and(|known_ms| sent_ms >= known_ms);
    }

    /// Whether the token of an order is the highest one seen so far.
    pub(super) fn accept_token(&mut self, token: u64) -> bool {
        let is_accepted = token >= self.token;
        self.token = self.token.max(token);
        is_accepted
    }

    pub(super) fn extend_lease(&mut self, until_ms: u64, now_ms: u64) {
        let clock_ms = self.clock_ms(now_ms);
        let until_ms = until_ms.min(clock_ms + MAX_LEASE_MS);
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
        if self.lease_until_ms > clock_ms {
            self.has_lapsed = false;
        }
    }

    /// Whether the runner runs this run, or why it would refuse to start it.
    pub(super) fn admit(
        &self,
        task: TaskId,
        run: u64,
        until_ms: u64,
        now_ms: u64,
    ) -> Result<bool, OrderError> {
        if self.running.contains_key(&(task, run)) {
            return Ok(true);
        }
        if self.highest_closed.get(&task).is_some_and(|highest| *highest >= run) {
            return Err(OrderError::Old);
        }
        if until_ms <= self.clock_ms(now_ms) {
            return Err(OrderError::Late);
        }
        Ok(false)
    }

    /// Stops a run after `grace_ms`, unless it ends before; a run that is not there yet will be
    /// refused.
    pub(super) fn stop(&mut self, task: TaskId, run: u64, grace_ms: u64, now_ms: u64) {
        let highest = self.highest_closed.entry(task).or_default();
        *highest = run.max(*highest);
        if let Some(running) = self.running.get_mut(&(task, run)) {
            if running.ends_ms > now_ms + grace_ms {
                running.ends_ms = now_ms + grace_ms;
                running.end = RunEnd::Stopped;
            }
        }
    }

    /// Ends all runs that are due; returns them in the order of their ends.
    pub(super) fn advance(&mut self, now_ms: u64) -> Vec<Ended> {
        let lease_ends_ms = self.lease_ends_ms();
        let mut due: Vec<(u64, TaskId, u64)> = self
            .running
            .iter()
            .map(|((task, run), running)| (running.ends_ms.min(lease_ends_ms), *task, *run))
            .filter(|(ends_ms, _, _)| *ends_ms <= now_ms)
            .collect();
        due.sort_unstable();
        let mut ended = Vec::new();
        for (at_ms, task, run) in due {
            let Some(running) = self.running.remove(&(task, run)) else { continue };
            let end = if running.ends_ms <= lease_ends_ms { running.end } else { RunEnd::Lapsed };
            let highest = self.highest_closed.entry(task).or_default();
            *highest = run.max(*highest);
            self.last_number += 1;
            ended.push(Ended { number: self.last_number, task, run, end, at_ms });
        }
        self.ended.extend(&ended);
        if !self.has_lapsed && lease_ends_ms <= now_ms {
            self.has_lapsed = true;
            self.lapses_ms.push(lease_ends_ms);
        }
        ended
    }

    /// Forgets the ends up to this number and returns them.
    pub(super) fn acknowledge(&mut self, last_seen: u64) -> Vec<Ended> {
        let (forgotten, left) =
            self.ended.iter().partition(|ended: &&Ended| ended.number <= last_seen);
        self.ended = left;
        forgotten
    }

    /// Removes the waiting renewals that have to be answered now.
    pub(super) fn take_due_holds(&mut self, now_ms: u64) -> Vec<WaitingHold> {
        let has_ends = !self.ended.is_empty();
        let is_due = |hold: &WaitingHold| has_ends || hold.until_ms <= now_ms;
        let (due, left) = std::mem::take(&mut self.holds).into_iter().partition(is_due);
        self.holds = left;
        due
    }

    pub(super) fn status(&self, now_ms: u64) -> RunnerStatus {
        #[allow(clippy::cast_precision_loss, reason = "a percentage tolerates rounding")]
        let running = self.running.iter().map(|((task, run), running)| RunningTask {
            task: *task,
            run: *run,
            checkpoint: Bytes::new(),
            percent: 100.0 * (now_ms - running.begun_ms) as f64
                / (running.ends_ms - running.begun_ms).max(1) as f64,
            load: 0.0,
        });
        let ended = self.ended.iter().map(|ended| EndedRun {
            number: ended.number,
            task: ended.task,
            run: ended.run,
            end: ended.end,
            checkpoint: Bytes::new(),
        });
        RunnerStatus {
            started_unix_ms: self.started_unix_ms(),
            clock_ms: self.clock_ms(now_ms),
            running: running.collect(),
            ended: ended.collect(),
        }
    }

    /// Whether an order is a renewal that waits for an end.
    pub(super) fn must_wait(&self, order: &Order) -> bool {
        matches!(order, Order::Hold { wait_ms, .. } if *wait_ms > 0) && self.ended.is_empty()
    }
}
