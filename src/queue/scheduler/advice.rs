//! Spreads calls for advice over hosts: the service answers each host one call at a time.

use std::sync::Arc;

use crate::collections::HashSet;
use crate::decision_log;
use crate::queue::model::{Admission, AdvicePolicy, StepId};
use crate::queue::scheduler::event::Action;
use crate::queue::scheduler::runner::RunnerKey;
use crate::queue::scheduler::Scheduler;

/// Part of a ticket's time that is left for the order to arrive, in milliseconds.
const TICKET_MARGIN_MS: u64 = 300;

/// Calls that take longer are kept to some of the hosts, in milliseconds: well above the 30 ms of
/// calls for short work.
const LONG_CALL_MS: u64 = 120;

/// Hosts that long calls leave to short ones.
const SHORT_CALL_HOSTS: usize = 2;

/// Signs of life that a host may miss.
const HELLOS_MISSED: u64 = 3;

/// Pause after a call without advice, in milliseconds.
const ADVICE_RETRY_MS: u64 = 150;

/// Weight of the newest answer in the share of runners that a queue's policy admits.
const SHARE_WEIGHT: f64 = 0.1;

/// Share that is assumed of a queue without answers: a third, the lowest that was seen.
const FIRST_SHARE: f64 = 0.35;

/// A host that makes calls for advice.
#[derive(Debug)]
pub struct Helper {
    address: Arc<str>,
    seen_ms: u64,
    /// Expected duration of the call in flight.
    busy: Option<u64>,
}

/// What is known about the runners that may run a step.
#[derive(Debug, Default)]
pub(crate) struct Advice {
    pub(crate) asked: HashSet<RunnerKey>,
    pub(crate) admitted: Vec<Admitted>,
    pub(crate) is_in_flight: bool,
    pub(crate) retry_ms: u64,
}

/// A runner that may run a step.
#[derive(Debug)]
pub(crate) struct Admitted {
    pub(crate) runner: RunnerKey,
    ticket: String,
    valid_until_ms: u64,
}

impl Advice {
    /// Whether the runner may be ordered now.
    pub(crate) fn admits(&self, runner: RunnerKey, now_ms: u64) -> bool {
        let admitted = self.admitted.iter().find(|known| known.runner == runner);
        admitted.is_some_and(|known| now_ms < known.valid_until_ms)
    }

    /// Whether the runner was admitted, perhaps with a ticket that has passed.
    pub(crate) fn has_admitted(&self, runner: RunnerKey) -> bool {
        self.admitted.iter().any(|known| known.runner == runner)
    }

    pub(crate) fn ticket(&self, runner: RunnerKey) -> Option<String> {
        let admitted = self.admitted.iter().find(|known| known.runner == runner);
        admitted.map(|known| known.ticket.clone())
    }

    /// The ticket at this runner does not hold any more; the runner may be asked about again.
    pub(crate) fn forget_ticket(&mut self, runner: RunnerKey) {
        if let Some(known) = self.admitted.iter_mut().find(|known| known.runner == runner) {
            known.valid_until_ms = 0;
        }
    }
}

impl Scheduler {
    pub(super) fn helper_seen(&mut self, address: Arc<str>, now_ms: u64) {
        match self.helpers.iter_mut().find(|helper| helper.address == address) {
            Some(helper) => helper.seen_ms = now_ms,
            None => self.helpers.push(Helper { address, seen_ms: now_ms, busy: None }),
        }
    }

    /// A host that is free for a call of this duration.
    fn free_helper(&mut self, expected_ms: u64, now_ms: u64) -> Option<&mut Helper> {
        let oldest_ms = now_ms.saturating_sub(self.config.hello_ms * HELLOS_MISSED);
        self.helpers.retain(|helper| helper.seen_ms >= oldest_ms || helper.busy.is_some());
        if expected_ms > LONG_CALL_MS {
            let long = |helper: &&Helper| helper.busy.is_some_and(|ms| ms > LONG_CALL_MS);
            let most = self.helpers.len().saturating_sub(SHORT_CALL_HOSTS).max(1);
            if self.helpers.iter().filter(long).count() >= most {
                return None;
            }
        }
        self.helpers.iter_mut().find(|helper| helper.busy.is_none() && helper.seen_ms >= oldest_ms)
    }

    /// Asks about these runners if a host is free for the call.
    pub(super) fn ask_advice(
        &mut self,
        step: StepId,
        policy: AdvicePolicy,
        runners: &[RunnerKey],
        now_ms: u64,
        out: &mut Vec<Action>,
    ) -> bool {
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a duration in milliseconds"
        )]
        let expected_ms = (policy.decide_ms + policy.each_ms * runners.len() as f64) as u64;
        let Some(helper) = self.free_helper(expected_ms, now_ms) else { return false };
        helper.busy = Some(expected_ms);
        let address = Arc::clone(&helper.address);
        let named = runners.iter().map(|key| (*key, self.runners[*key].id.clone())).collect();
        out.push(Action::Advise { step, helper: address, runners: named, expected_ms });
        true
    }

    pub(super) fn advised(
        &mut self,
        step: StepId,
        helper: &Arc<str>,
        asked: &[RunnerKey],
        sent_ms: u64,
        result: Option<Vec<Admission>>,
        now_ms: u64,
    ) {
        if let Some(helper) = self.helpers.iter_mut().find(|known| known.address == *helper) {
            helper.busy = None;
        }
        decision_log::line("advised")
            .with("step", step)
            .with("by", helper)
            .with("asked", asked.len())
            .with("admitted", result.as_ref().map_or(-1, |rows| rows.len() as i64))
            .with("took_ms", now_ms.saturating_sub(sent_ms))
            .end();
        let Some(job_key) = self.job_keys.get(&step.job).copied() else { return };
        let queue = self.jobs[job_key].submission.queue.clone();
        let valid_ms = self.advice_policy(job_key).map_or(0, |policy| policy.valid_ms);
        let runner_keys = &self.runner_keys;
        let Some(run) = self.jobs[job_key].steps.get_mut(step.step as usize) else { return };
        run.advice.is_in_flight = false;
        let Some(admissions) = result else {
            run.advice.retry_ms = now_ms + ADVICE_RETRY_MS;
            return;
        };
        #[allow(clippy::cast_precision_loss, reason = "a share")]
        let share = admissions.len() as f64 / asked.len().max(1) as f64;
        let is_first = asked.iter().all(|key| !run.advice.has_admitted(*key));
        run.advice.asked.extend(asked.iter().copied());
        let valid_until_ms = now_ms + valid_ms.saturating_sub(TICKET_MARGIN_MS);
        for Admission { runner, ticket } in admissions {
            let Some(key) = runner_keys.get(runner.as_str()).copied() else { continue };
            run.advice.admitted.retain(|known| known.runner != key);
            run.advice.admitted.push(Admitted { runner: key, ticket, valid_until_ms });
        }
        if is_first {
            let known = self.admitted_share.entry(queue).or_insert(FIRST_SHARE);
            *known += (share - *known) * SHARE_WEIGHT;
        }
    }

    pub(super) fn advice_policy(&self, job: super::JobKey) -> Option<AdvicePolicy> {
        self.directory.queue(&self.jobs[job].submission.queue)?.advice
    }

    /// Share of the runners that the policy of a queue admits, as seen so far.
    pub(super) fn admitted_share(&self, queue: &str) -> f64 {
        const LEAST: f64 = 0.05;
        self.admitted_share.get(queue).copied().unwrap_or(FIRST_SHARE).max(LEAST)
    }
}
