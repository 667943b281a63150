//! Delays tasks that a former leader may have started at runners that do not answer.
//!
//! Such a task starts once all runners have answered, or once the leases of all runs that former
//! leaders may have ordered have certainly expired. Two facts bound those leases: no leader asks for
//! a lease beyond `bridge_ms` after the confirmed time of its own, and a term that has ended asks for
//! none at all.

use crate::collections::HashSet;
use crate::decision_log;
use crate::queue::scheduler::event::Action;
use crate::queue::scheduler::runner::{self, Runner};
use crate::queue::scheduler::Scheduler;

/// Time after the last expiry that a former leader may have asked for, by which the lease has
/// certainly expired, in milliseconds: the clock of a runner may run slow within one run lease.
const BRIDGED_LEASE_MARGIN_MS: u64 = 500;

/// Delay before a failed write of the terms is repeated, in milliseconds.
const SETTLE_RETRY_MS: u64 = 150;

/// Wait of a leader for the runs of former leaders.
#[derive(Debug, Default)]
pub(super) struct InheritedWait {
    /// Time by which the leases of all inherited runs have certainly expired, in milliseconds, unless
    /// they may be long; `None` if no runs are inherited or they have.
    until_ms: Option<u64>,
    /// Whether tasks that may be inherited still wait.
    is_waiting: bool,
    /// Number of runners that had not answered when the tasks were last held back.
    silent: usize,
    /// Former terms that may still send orders, by the nonce of their leader; `None` if not all of
    /// them are known.
    open_terms: Option<HashSet<u64>>,
    /// Latest time at which one of the ended terms may have sent an order, in milliseconds.
    ordered_ms: u64,
    /// State of the write that leaves only this term in the stored ones.
    settlement: Settlement,
}

/// Whether the store has to be told that this term alone may send orders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Settlement {
    /// Not now: leases of former terms may still hold, or the store knows.
    #[default]
    NotDue,
    /// To be written from this time on, in milliseconds.
    Due(u64),
    InFlight,
}

impl Scheduler {
    /// Delays all tasks of the jobs known so far: a former leader may have started them at runners
    /// that have not answered this one.
    ///
    /// Each task waits until the runners have answered, but no longer than `until_ms`.
    pub fn await_inherited_runs(&mut self, until_ms: u64) {
        self.inherited.until_ms = Some(until_ms);
        self.inherited.is_waiting = true;
        let steps = self.jobs.values_mut().flat_map(|job| &mut job.steps);
        for task in steps.flat_map(|step| &mut step.tasks) {
            task.may_be_inherited = true;
        }
    }

    /// Like [`Scheduler::await_inherited_runs`], until the orders of all former terms have certainly
    /// lost their effect.
    ///
    /// `open_terms` are the nonces of the former leaders that may still send orders, `None` if they
    /// are not known. `begun_ms` is a time at which this term had begun.
    pub fn await_former_terms(&mut self, open_terms: Option<HashSet<u64>>, begun_ms: u64) {
        let config = &self.config;
        // A former leader may have confirmed its lease just before its key was removed.
        let confirmed_ms = config.leader_ttl_ms.saturating_sub(config.leader_margin_ms);
        // Versions that store no terms ask for whole leases until their bridge is over.
        let last_lease_ms = if open_terms.is_some() { 0 } else { config.run_lease_ms };
        let wait_ms = confirmed_ms + config.bridge_ms + last_lease_ms + BRIDGED_LEASE_MARGIN_MS;
        decision_log::line("inherited_wait_begun")
            .with("open_terms", open_terms.as_ref().map_or(-1, |terms| terms.len() as i64))
            .with("up_to_ms", wait_ms)
            .end();
        self.inherited.open_terms = open_terms;
        self.await_inherited_runs(begun_ms + wait_ms);
    }

    /// Shortens the wait once all former terms have ended: the leases that they have asked for last
    /// were of at most `run_lease_ms`.
    pub(super) fn former_term_ended(&mut self, nonce: u64, ordered_ms: u64, now_ms: u64) {
        let wait = &mut self.inherited;
        let Some(open_terms) = &mut wait.open_terms else { return };
        if !open_terms.remove(&nonce) {
            return;
        }
        decision_log::line("former_term_ended")
            .with("nonce", nonce)
            .with("ordered_ms_ago", now_ms.saturating_sub(ordered_ms))
            .with("open_terms", open_terms.len())
            .end();
        wait.ordered_ms = wait.ordered_ms.max(ordered_ms);
        if open_terms.is_empty() {
            let expired_ms = wait.ordered_ms + runner::certain_expiry_ms(self.config.run_lease_ms);
            wait.until_ms = wait.until_ms.map(|until_ms| until_ms.min(expired_ms));
        }
    }

    /// Time by which the leases of all inherited runs have certainly expired, in milliseconds; `None` if
    /// no runs are inherited or they have.
    fn inherited_until_ms(&self) -> Option<u64> {
        let until_ms = self.inherited.until_ms?;
        // The bound counts usual leases after the last order.
        let config = &self.config;
        let usual_ms = runner::certain_expiry_ms(config.run_lease_ms);
        let more_ms = runner::certain_expiry_ms(config.max_run_lease_ms).saturating_sub(usual_ms);
        let has_long_lease = self.runners.values().any(Runner::may_hide_long_lease);
        Some(if has_long_lease { until_ms + more_ms } else { until_ms })
    }

    /// Whether the leases of inherited runs may still hold.
    pub(super) fn may_have_inherited_leases(&self, now_ms: u64) -> bool {
        self.inherited_until_ms().is_some_and(|until_ms| now_ms < until_ms)
    }

    /// Ends the wait once all runners have answered, or the leases of the runs at the others have
    /// certainly expired; returns whether it is over.
    pub(super) fn update_inherited_wait(&mut self, now_ms: u64) -> bool {
        let may_have_leases = self.may_have_inherited_leases(now_ms);
        if !may_have_leases && self.inherited.until_ms.take().is_some() {
            self.inherited.settlement = Settlement::Due(now_ms);
        }
        if !self.inherited.is_waiting {
            return true;
        }
        let silent = self.runners.values().filter(|runner| !runner.is_fenced).count();
        let have_answered = !self.runners.is_empty() && silent == 0;
        if may_have_leases && !have_answered {
            self.inherited.silent = silent;
            return false;
        }
        // Silent runners without a record are removed as soon as their leases have expired.
        let silent = if have_answered && may_have_leases { 0 } else { self.inherited.silent };
        decision_log::line("inherited_wait_over")
            .with("silent_runners", silent)
            .with("silent", self.list_silent_runners())
            .with("left_ms", self.inherited_until_ms().unwrap_or(now_ms).saturating_sub(now_ms))
            .end();
        self.inherited.is_waiting = false;
        if silent > 0 {
            self.record_inherited_losses();
        }
        true
    }

    /// Names of the first runners that have not answered, each with the start of the incarnation in its
    /// record, in Unix milliseconds.
    fn list_silent_runners(&self) -> String {
        const MAX_LISTED: usize = 8;
        let silent = self.runners.values().filter(|runner| !runner.is_fenced);
        let listed = silent
            .take(MAX_LISTED)
            .map(|runner| format!("{}:{}", runner.id, runner.listed_started_unix_ms));
        listed.collect::<Vec<_>>().join(" ")
    }

    /// Requests the write that leaves only this term in the stored ones, once the orders of former
    /// terms have lost their effect.
    pub(super) fn settle_terms(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        if matches!(self.inherited.settlement, Settlement::Due(at_ms) if now_ms >= at_ms) {
            self.inherited.settlement = Settlement::InFlight;
            out.push(Action::SettleTerms);
        }
    }

    pub(super) fn terms_settled(&mut self, is_stored: bool, now_ms: u64) {
        self.inherited.settlement =
            if is_stored { Settlement::NotDue } else { Settlement::Due(now_ms + SETTLE_RETRY_MS) };
    }
}
