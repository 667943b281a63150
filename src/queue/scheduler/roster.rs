//! Stores which incarnations of the runners have got orders, and how long leases there may be.
//!
//! A runner that restarts under its name takes orders that were meant for its former incarnation, until
//! one with a higher fencing token reaches it. The expiry in such an order is a time on the former
//! clock, which was ahead, so that the runner grants its longest lease. A successor that does not reach
//! the runner would wait for usual leases only, and start its tasks again too early.
//!
//! Therefore a new incarnation gets no tasks before the stored roster names it, and, as long as leases
//! may be long there, only if other runners lack room. The roster tells a successor of such use, and it
//! also shows which runners have restarted without the knowledge of their leader.

use crate::configs::queue::QueueConfig;
use crate::decision_log;
use crate::queue::model::RunnerId;
use crate::queue::record::{RosterEntry, RunLeases};
use crate::queue::scheduler::event::Action;
use crate::queue::scheduler::placement::PlacementRequest;
use crate::queue::scheduler::runner::{self, Runner, RunnerKey};
use crate::queue::scheduler::Scheduler;

/// Minimum time between two writes of the roster without which all runners can be used as well, in
/// milliseconds.
const ROSTER_GAP_MS: u64 = 1_000;

/// Maximum number of steps in a placement pass for which restarted runners are looked for. Each search
/// looks at all runners, and hundreds of steps may wait.
const MAX_SEARCHES: u32 = 4;

/// State of the writes of the roster.
#[derive(Debug, Default)]
pub(super) struct RosterWrites {
    is_in_flight: bool,
    /// Whether the stored roster names runners that are gone, or the last write has failed.
    is_outdated: bool,
    /// Whether runners got no tasks in the last pass only because leases may be long there.
    has_held_back_runners: bool,
    /// Number of searches since the last pass for steps that need those runners.
    searches: u32,
    /// Time before which the roster is not written unless a runner cannot be used without it.
    next_ms: u64,
    /// Entries of the write in flight.
    sent: Vec<(RunnerKey, RosterEntry)>,
}

/// Roster entry of a runner, and how long leases of its current incarnation may be.
#[derive(Clone, Debug, Default)]
pub(crate) struct RosterState {
    /// The stored entry, as far as known.
    pub(crate) stored: Option<RosterEntry>,
    /// Whether the stored entry names the address and the current incarnation of the runner.
    is_match: bool,
    /// Time from which leases of the current incarnation are certainly usual ones, in milliseconds;
    /// `None` before it is known.
    usual_leases_from_ms: Option<u64>,
    /// Whether other runners lack room, so that tasks may start while leases may be long.
    is_wanted: bool,
}

/// How soon a roster entry has to be written.
enum RosterChange {
    /// Not at all.
    None,
    /// With the next write: a successor would wait longer than necessary.
    Deferrable,
    /// At once: no task may start before, or a successor would not wait long enough.
    Urgent,
}

impl RosterState {
    fn has_usual_leases(&self, now_ms: u64) -> bool {
        self.usual_leases_from_ms.is_some_and(|from_ms| from_ms <= now_ms)
    }

    /// Records that an incarnation has answered of which this leader knew none before.
    pub(crate) fn meet(&mut self, started_unix_ms: u64) {
        let is_settled = |entry: &RosterEntry| {
            entry.started_unix_ms == started_unix_ms && entry.leases == RunLeases::Usual
        };
        // A runner that the roster did not name has not got any orders.
        let has_usual_leases = self.stored.as_ref().is_none_or(is_settled);
        self.usual_leases_from_ms = has_usual_leases.then_some(0);
    }

    /// Records that the runner has restarted.
    pub(crate) fn restart(&mut self) {
        self.usual_leases_from_ms = None;
        self.is_wanted = false;
    }

    /// Records that the incarnation refuses orders to former ones from now on; leases that these have
    /// obtained become usual ones within `long_lease_ms`.
    pub(crate) fn fence(&mut self, long_lease_ms: u64, now_ms: u64) {
        self.usual_leases_from_ms.get_or_insert(now_ms + long_lease_ms);
    }
}

impl Runner {
    /// Whether the stored roster allows tasks to start on the current incarnation.
    pub(crate) fn is_in_roster(&self, now_ms: u64) -> bool {
        self.roster.is_match
            && (self.roster.has_usual_leases(now_ms) || self.has_stored_leases(RunLeases::Longest))
    }

    fn has_stored_leases(&self, leases: RunLeases) -> bool {
        self.roster.stored.as_ref().is_some_and(|stored| stored.leases == leases)
    }

    /// Records the stored roster entry.
    pub(super) fn set_roster_entry(&mut self, entry: RosterEntry) {
        self.roster.stored = Some(entry);
        self.update_roster_match();
    }

    /// Compares the stored entry with the runner, of which the address or the incarnation may have
    /// changed.
    pub(super) fn update_roster_match(&mut self) {
        self.roster.is_match = self.roster.stored.as_ref().is_some_and(|stored| {
            stored.address == self.address && self.started_unix_ms == Some(stored.started_unix_ms)
        });
    }

    /// Longest lease that former leaders, or orders to former incarnations, may have obtained at the
    /// incarnation that has answered with this clock, from then on, in milliseconds.
    ///
    /// A clock that shows less than the longest lease tells that the incarnation is young. Any other
    /// tells nothing, since a clock may begin at any value.
    pub(super) fn unknown_lease_ms(&self, config: &QueueConfig, clock_ms: u64, now_ms: u64) -> u64 {
        // The roster forgets runners that are gone, so that one which it does not name may be back.
        let is_young = clock_ms < config.max_run_lease_ms;
        if is_young || !self.roster.has_usual_leases(now_ms) {
            config.max_run_lease_ms
        } else {
            config.run_lease_ms
        }
    }

    /// Whether the runner gets no tasks only because leases may be long there.
    fn is_held_back(&self, now_ms: u64) -> bool {
        self.is_fenced && !self.roster.is_wanted && !self.roster.has_usual_leases(now_ms)
    }

    /// What the roster should say of the runner now: the incarnation and its leases; `None` if it need
    /// not name the runner.
    fn roster_claim(&self, now_ms: u64) -> Option<(u64, RunLeases)> {
        let stored = self.roster.stored.as_ref();
        let is_current = self.is_fenced
            && (!self.is_listed || self.started_unix_ms == Some(self.listed_started_unix_ms));
        let started_unix_ms = self.started_unix_ms.filter(|_| is_current);
        let Some(started_unix_ms) = started_unix_ms else {
            let stored = stored?;
            let has_restarted = self.has_restarted_since(stored);
            let leases = if has_restarted { RunLeases::Longest } else { stored.leases };
            return Some((stored.started_unix_ms, leases));
        };
        // A task may be on its way as soon as the roster has allowed it.
        let is_allowed = stored.is_some_and(|stored| {
            stored.started_unix_ms == started_unix_ms && stored.leases == RunLeases::Longest
        });
        let is_used = is_allowed || self.roster.is_wanted || !self.assignments.is_empty();
        let leases = if self.roster.has_usual_leases(now_ms) {
            RunLeases::Usual
        } else if is_used {
            RunLeases::Longest
        } else {
            RunLeases::Unused
        };
        Some((started_unix_ms, leases))
    }

    fn roster_entry(&self, now_ms: u64) -> Option<RosterEntry> {
        let (started_unix_ms, leases) = self.roster_claim(now_ms)?;
        let (id, address) = (self.id.to_string(), self.address.clone());
        Some(RosterEntry { id, address, started_unix_ms, leases })
    }

    /// How soon the stored entry has to be replaced.
    fn roster_change(&self, now_ms: u64) -> RosterChange {
        let is_settled = self.roster.is_match
            && self.is_fenced
            && self.started_unix_ms == Some(self.listed_started_unix_ms)
            && self.roster.has_usual_leases(now_ms)
            && self.has_stored_leases(RunLeases::Usual);
        if is_settled {
            return RosterChange::None;
        }
        let claim = self.roster_claim(now_ms).filter(|_| self.is_listed);
        let Some((started_unix_ms, leases)) = claim else { return RosterChange::None };
        let Some(stored) = &self.roster.stored else { return RosterChange::Urgent };
        let is_same = stored.address == self.address && stored.started_unix_ms == started_unix_ms;
        if !is_same || leases == RunLeases::Longest && stored.leases != leases {
            RosterChange::Urgent
        } else if stored.leases != leases {
            RosterChange::Deferrable
        } else {
            RosterChange::None
        }
    }

    /// Whether the runner's record is that of another incarnation than the entry.
    fn has_restarted_since(&self, entry: &RosterEntry) -> bool {
        self.is_listed && self.listed_started_unix_ms != entry.started_unix_ms
    }

    /// Whether runs on the runner, which has not answered this leader, may hold longer leases than
    /// former leaders have asked for.
    pub(super) fn may_hide_long_lease(&self) -> bool {
        let hides = |entry: &RosterEntry| {
            entry.leases == RunLeases::Longest || self.has_restarted_since(entry)
        };
        !self.is_fenced && self.roster.stored.as_ref().is_some_and(hides)
    }
}

impl Scheduler {
    /// Adds a runner to which a previous leader may have sent orders.
    pub(super) fn add_roster_runner(&mut self, entry: RosterEntry) {
        if let Some(key) = self.runner_keys.get(entry.id.as_str()) {
            self.runners[*key].set_roster_entry(entry);
            return;
        }
        let id = RunnerId::from(entry.id.as_str());
        let mut runner = Runner::from_roster(id.clone(), entry.address.clone(), self.last_token);
        runner.set_roster_entry(entry);
        let key = self.runners.insert(runner);
        self.runner_keys.insert(id, key);
    }

    /// Time by which the longest lease that a runner grants exceeds the usual one, in milliseconds.
    pub(super) fn long_lease_ms(&self) -> u64 {
        let longest_ms = runner::certain_expiry_ms(self.config.max_run_lease_ms);
        longest_ms.saturating_sub(self.config.run_lease_ms)
    }

    /// Lets tasks start on runners where leases may be long, as far as others lack room for `count`
    /// tasks of a step, once the roster says so.
    pub(super) fn want_long_leases(
        &mut self,
        request: &PlacementRequest<'_>,
        count: usize,
        now_ms: u64,
    ) {
        if !self.roster_writes.has_held_back_runners || self.roster_writes.searches >= MAX_SEARCHES
        {
            return;
        }
        self.roster_writes.searches += 1;
        let is_held_back =
            |runner: &Runner| runner.is_held_back(now_ms) && runner.service == request.service;
        if !self.runners.values().any(is_held_back) {
            return;
        }
        let mut missing = (count as u64).saturating_sub(self.open_slots(request, now_ms));
        let mut wanted = Vec::new();
        for (key, runner) in &self.runners {
            if missing == 0 {
                break;
            }
            if is_held_back(runner) && runner.may_work(now_ms) && !self.is_refused(request, key) {
                let slots = self.slots_on(request, runner);
                if slots > 0 {
                    missing = missing.saturating_sub(slots);
                    wanted.push(key);
                }
            }
        }
        for key in wanted {
            let runner = &mut self.runners[key];
            runner.roster.is_wanted = true;
            decision_log::line("long_lease_accepted")
                .with("runner", &runner.id)
                .with("step", self.jobs[request.key].step_id(request.step))
                .end();
        }
    }

    /// Marks the roster as outdated: a runner that it names is gone.
    pub(super) fn prune_roster(&mut self) {
        self.roster_writes.is_outdated = true;
    }

    /// Requests a write of the roster if a runner cannot be used without it. If it only names runners
    /// that are gone, or long leases that have become usual ones, it is written less often: a successor
    /// would wait longer than necessary.
    pub(super) fn save_roster(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let is_held_back = |runner: &Runner| runner.is_held_back(now_ms);
        self.roster_writes.has_held_back_runners = self.runners.values().any(is_held_back);
        self.roster_writes.searches = 0;
        if self.roster_writes.is_in_flight {
            return;
        }
        let (mut is_urgent, mut is_outdated) = (false, self.roster_writes.is_outdated);
        for runner in self.runners.values() {
            match runner.roster_change(now_ms) {
                RosterChange::Urgent => is_urgent = true,
                RosterChange::Deferrable => is_outdated = true,
                RosterChange::None => {}
            }
        }
        if !is_urgent && (!is_outdated || now_ms < self.roster_writes.next_ms) {
            return;
        }
        let entry = |(key, runner): (RunnerKey, &Runner)| Some((key, runner.roster_entry(now_ms)?));
        let sent: Vec<(RunnerKey, RosterEntry)> = self.runners.iter().filter_map(entry).collect();
        out.push(Action::SaveRoster(sent.iter().map(|(_, entry)| entry.clone()).collect()));
        let next_ms = now_ms + ROSTER_GAP_MS;
        let writes = &mut self.roster_writes;
        (writes.is_in_flight, writes.is_outdated) = (true, false);
        (writes.next_ms, writes.sent) = (next_ms, sent);
    }

    pub(super) fn roster_saved(&mut self, is_stored: bool) {
        self.roster_writes.is_in_flight = false;
        let sent = std::mem::take(&mut self.roster_writes.sent);
        if !is_stored {
            self.roster_writes.is_outdated = true;
            return;
        }
        for (key, entry) in sent {
            if let Some(runner) = self.runners.get_mut(key) {
                runner.set_roster_entry(entry);
            }
        }
    }
}
