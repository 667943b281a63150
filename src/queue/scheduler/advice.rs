//! Distributes calls to the advice service over the hosts of the cell.
//!
//! The advice service decides which runners may run a step. It answers each host one call at a
//! time, so that more hosts allow more concurrent calls. Services share the hosts evenly; the steps
//! of one service get theirs in the order in which they are placed.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::collections::HashSet;
use crate::decision_log;
use crate::queue::model::{Admission, AdvicePolicy, Step, StepId};
use crate::queue::scheduler::event::Action;
use crate::queue::scheduler::expected_room;
use crate::queue::scheduler::job::JobKey;
use crate::queue::scheduler::placement::PlacementRequest;
use crate::queue::scheduler::runner::RunnerKey;
use crate::queue::scheduler::Scheduler;

/// Part of a ticket's validity that is reserved for the start order to arrive, in milliseconds.
const TICKET_MARGIN_MS: u64 = 300;

/// Expected duration above which a call counts as long, in milliseconds. Calls for short tasks take
/// about 30 ms. Long calls may only occupy some of the hosts.
const LONG_CALL_MS: u64 = 120;

/// Number of hosts that long calls leave free for short ones.
const SHORT_CALL_HOSTS: usize = 2;

/// Part of the hosts that may call the advice service for one step at the same time, in thousandths.
/// The tickets of a wide step come from several calls, and all must be valid at the same time if the
/// step is a gang.
const STEP_HOSTS_MILLIS: usize = 250;

/// Number of heartbeats that a host may miss before it gets no more calls.
const MISSED_HEARTBEATS: u64 = 3;

/// Delay before a failed call is repeated, in milliseconds.
const ADVICE_RETRY_MS: u64 = 150;

/// Weight of the latest answer in the moving average of the share of runners that a queue's policy
/// admits.
const SHARE_WEIGHT: f64 = 0.1;

/// Share of admitted runners that is assumed before the first answer: about a third, the lowest
/// share that policies have shown.
const INITIAL_SHARE: f64 = 0.35;

/// A host that can call the advice service.
#[derive(Debug)]
pub struct AdviceHost {
    address: Arc<str>,
    seen_ms: u64,
    /// The call in flight; `None` if the host is idle.
    call: Option<AdviceCall>,
}

/// A call to the advice service that has not been answered.
#[derive(Debug)]
struct AdviceCall {
    /// Service whose runners the call names.
    service: String,
    expected_ms: u64,
}

impl AdviceCall {
    fn is_long(&self) -> bool {
        self.expected_ms > LONG_CALL_MS
    }
}

/// A step that waits for a host to call the advice service.
#[derive(Debug)]
pub(super) struct PendingAdvice {
    key: JobKey,
    step: usize,
    declared: Step,
    service: String,
    reserve_millis: u64,
    policy: AdvicePolicy,
    subject: AdviceSubject,
    /// How many tasks of other steps compete for the room that is expected, in thousandths of it.
    competition_millis: u64,
}

/// What a call to the advice service is to find out.
#[derive(Debug)]
pub(super) enum AdviceSubject {
    /// Which runners may run this number of tasks.
    Tasks(usize),
    /// Whether these runners may run the step.
    Runners(Vec<RunnerKey>),
}

/// Answers of the advice service about one step, each for the life of a runner.
#[derive(Debug, Default)]
pub(crate) struct StepAdvice {
    /// Runners that were named in an answered call.
    pub(crate) asked: HashSet<RunnerKey>,
    pub(crate) admitted: Vec<AdmittedRunner>,
    /// Runners that have restarted since the first of the calls in flight was sent.
    restarted: HashSet<RunnerKey>,
    /// Number of calls that have not been answered.
    pub(crate) calls_in_flight: usize,
    /// Time before which no call is made again after a failed one.
    pub(crate) retry_ms: u64,
}

/// A runner that was admitted to run a step.
#[derive(Debug)]
pub(crate) struct AdmittedRunner {
    pub(crate) runner: RunnerKey,
    ticket: String,
    valid_until_ms: u64,
}

impl StepAdvice {
    /// Whether the runner was admitted and its ticket is still valid.
    pub(crate) fn admits(&self, runner: RunnerKey, now_ms: u64) -> bool {
        let admitted = self.admitted.iter().find(|known| known.runner == runner);
        admitted.is_some_and(|known| now_ms < known.valid_until_ms)
    }

    /// Runners with a valid ticket.
    pub(crate) fn valid_at(&self, now_ms: u64) -> impl Iterator<Item = RunnerKey> + '_ {
        let valid = self.admitted.iter().filter(move |known| now_ms < known.valid_until_ms);
        valid.map(|known| known.runner)
    }

    /// Whether the runner was ever admitted; its ticket may have expired.
    pub(crate) fn has_admitted(&self, runner: RunnerKey) -> bool {
        self.admitted.iter().any(|known| known.runner == runner)
    }

    pub(crate) fn ticket(&self, runner: RunnerKey) -> Option<String> {
        let admitted = self.admitted.iter().find(|known| known.runner == runner);
        admitted.map(|known| known.ticket.clone())
    }

    /// Records an answer about the runners of `asked` that have not restarted meanwhile.
    fn record_answer(&mut self, asked: &[RunnerKey], admitted: Vec<AdmittedRunner>) {
        let restarted = &self.restarted;
        let is_valid = |key: &RunnerKey| !restarted.contains(key);
        self.asked.extend(asked.iter().copied().filter(is_valid));
        self.admitted.retain(|known| !asked.contains(&known.runner));
        self.admitted.extend(admitted.into_iter().filter(|known| is_valid(&known.runner)));
    }

    /// Forgets what is known about a runner that has restarted: the answer about its new life may
    /// differ.
    pub(crate) fn forget_runner(&mut self, runner: RunnerKey) {
        self.asked.remove(&runner);
        self.admitted.retain(|known| known.runner != runner);
        if self.calls_in_flight > 0 {
            self.restarted.insert(runner);
        }
    }

    /// Takes note that a call was answered or has failed.
    fn end_call(&mut self) {
        self.calls_in_flight = self.calls_in_flight.saturating_sub(1);
        if self.calls_in_flight == 0 {
            self.restarted.clear();
        }
    }

    /// Marks the runner's ticket as expired, so that a new one is requested.
    pub(crate) fn expire_ticket(&mut self, runner: RunnerKey) {
        if let Some(known) = self.admitted.iter_mut().find(|known| known.runner == runner) {
            known.valid_until_ms = 0;
        }
    }
}

impl Scheduler {
    pub(super) fn record_advice_host(&mut self, address: Arc<str>, now_ms: u64) {
        match self.advice_hosts.iter_mut().find(|advice_host| advice_host.address == address) {
            Some(advice_host) => advice_host.seen_ms = now_ms,
            None => self.advice_hosts.push(AdviceHost { address, seen_ms: now_ms, call: None }),
        }
    }

    /// Number of calls that may be in flight for one step.
    pub(super) fn max_calls_for_step(&self) -> usize {
        const MILLI: usize = 1_000;
        (self.advice_hosts.len() * STEP_HOSTS_MILLIS / MILLI).max(1)
    }

    /// Whether any host has no call in flight.
    fn has_idle_advice_host(&self) -> bool {
        self.advice_hosts.iter().any(|advice_host| advice_host.call.is_none())
    }

    /// Takes note of a step that needs advice; the call is made at the end of the placement pass, and
    /// not while other calls for the step are in flight.
    pub(super) fn request_advice(
        &mut self,
        request: &PlacementRequest<'_>,
        policy: AdvicePolicy,
        subject: AdviceSubject,
        now_ms: u64,
    ) {
        let competition_millis = match &subject {
            AdviceSubject::Tasks(left) if self.requests_advice_ahead() => {
                let competition = self.competition_millis(request, policy, *left, now_ms);
                let Some(competition) = competition else { return };
                competition
            }
            _ => 0,
        };
        let advice = &self.jobs[request.key].steps[request.step].advice;
        if advice.calls_in_flight > 0 || now_ms < advice.retry_ms || !self.has_idle_advice_host() {
            return;
        }
        self.pending_advice.push(PendingAdvice {
            key: request.key,
            step: request.step,
            declared: request.declared.clone(),
            service: request.service.to_owned(),
            reserve_millis: request.reserve_millis,
            policy,
            subject,
            competition_millis,
        });
    }

    /// Makes the calls that steps wait for, as far as hosts are idle.
    ///
    /// Each idle host goes to the service with the fewest calls in flight: steps of different services
    /// need different runners, so that a backlog of one must not hold up the others.
    pub(super) fn send_advice_requests(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let mut services: Vec<(String, VecDeque<PendingAdvice>)> = Vec::new();
        for pending in std::mem::take(&mut self.pending_advice) {
            match services.iter_mut().find(|(service, _)| *service == pending.service) {
                Some((_, queue)) => queue.push_back(pending),
                None => services.push((pending.service.clone(), VecDeque::from([pending]))),
            }
        }
        while self.has_idle_advice_host() {
            let calls_in_flight = |service: &str| {
                let calls = self.advice_hosts.iter().filter_map(|known| known.call.as_ref());
                calls.filter(|call| call.service == service).count()
            };
            let next = services
                .iter_mut()
                .filter(|(_, queue)| !queue.is_empty())
                .min_by_key(|(service, _)| calls_in_flight(service));
            let Some(pending) = next.and_then(|(_, queue)| queue.pop_front()) else { return };
            self.send_calls(&pending, now_ms, out);
        }
    }

    fn send_calls(&mut self, pending: &PendingAdvice, now_ms: u64, out: &mut Vec<Action>) {
        let request = PlacementRequest {
            key: pending.key,
            step: pending.step,
            declared: &pending.declared,
            service: &pending.service,
            reserve_millis: pending.reserve_millis,
        };
        // A call for the step may have been sent earlier in this pass.
        if self.jobs[pending.key].steps[pending.step].advice.calls_in_flight > 0 {
            return;
        }
        if self.requests_advice_ahead() && !self.has_host_for(pending.policy, now_ms) {
            return;
        }
        let mut selected;
        let runners = match &pending.subject {
            AdviceSubject::Runners(runners) => runners,
            AdviceSubject::Tasks(count) => {
                selected = self.runners_to_ask(&request, *count, &[], now_ms);
                if self.requests_advice_ahead() {
                    let (policy, competition) = (pending.policy, pending.competition_millis);
                    self.add_expected_runners(
                        &request,
                        policy,
                        *count,
                        competition,
                        &mut selected,
                        now_ms,
                    );
                }
                &selected
            }
        };
        let calls = runners.len().div_ceil(self.config.advice_runners);
        let named = runners.len().div_ceil(calls.max(1)).max(1);
        for runners in runners.chunks(named) {
            if !self.send_advice_request(&request, pending.policy, runners, now_ms, out) {
                return;
            }
            self.jobs[pending.key].steps[pending.step].advice.calls_in_flight += 1;
        }
    }

    /// Finds an idle host for a call.
    fn free_advice_host(&mut self, call: &AdviceCall, now_ms: u64) -> Option<&mut AdviceHost> {
        let oldest_ms = now_ms.saturating_sub(self.config.hello_ms * MISSED_HEARTBEATS);
        self.advice_hosts
            .retain(|advice_host| advice_host.seen_ms >= oldest_ms || advice_host.call.is_some());
        if call.is_long() && !self.may_call_long(now_ms) {
            return None;
        }
        self.advice_hosts
            .iter_mut()
            .find(|advice_host| advice_host.call.is_none() && advice_host.seen_ms >= oldest_ms)
    }

    /// Whether another host may make a long call, rather than stay free for short ones.
    fn may_call_long(&self, now_ms: u64) -> bool {
        let hosts = self.advice_hosts.len();
        let reserved = if self.requests_advice_ahead() {
            self.room_demand.short_call_hosts(SHORT_CALL_HOSTS, hosts, now_ms)
        } else {
            SHORT_CALL_HOSTS
        };
        let most = hosts.saturating_sub(reserved).max(1);
        let calls = self.advice_hosts.iter().filter_map(|known| known.call.as_ref());
        calls.filter(|call| call.is_long()).count() < most
    }

    /// Whether a host may make a call by this policy.
    fn has_host_for(&self, policy: AdvicePolicy, now_ms: u64) -> bool {
        let is_long = expected_room::call_ms(policy, 1) > LONG_CALL_MS;
        self.has_idle_advice_host() && (!is_long || self.may_call_long(now_ms))
    }

    /// Asks the advice service about these runners; returns false if no host is free for the call.
    fn send_advice_request(
        &mut self,
        request: &PlacementRequest<'_>,
        policy: AdvicePolicy,
        runners: &[RunnerKey],
        now_ms: u64,
        out: &mut Vec<Action>,
    ) -> bool {
        let expected_ms = expected_room::call_ms(policy, runners.len());
        let call = AdviceCall { service: request.service.to_owned(), expected_ms };
        let Some(advice_host) = self.free_advice_host(&call, now_ms) else { return false };
        advice_host.call = Some(call);
        let address = Arc::clone(&advice_host.address);
        let step = self.jobs[request.key].step_id(request.step);
        let named = runners.iter().map(|key| (*key, self.runners[*key].id.clone())).collect();
        out.push(Action::RequestAdvice { step, advice_host: address, runners: named, expected_ms });
        true
    }

    pub(super) fn advice_finished(
        &mut self,
        step: StepId,
        advice_host: &Arc<str>,
        asked: &[RunnerKey],
        sent_ms: u64,
        result: Option<Vec<Admission>>,
        now_ms: u64,
    ) {
        if let Some(advice_host) =
            self.advice_hosts.iter_mut().find(|known| known.address == *advice_host)
        {
            let call = advice_host.call.take();
            if call.is_some_and(|call| !call.is_long()) {
                self.room_demand.record_short_call(now_ms.saturating_sub(sent_ms), now_ms);
            }
        }
        decision_log::line("advised")
            .with("step", step)
            .with("by", advice_host)
            .with("asked", asked.len())
            .with("admitted", result.as_ref().map_or(-1, |rows| rows.len() as i64))
            .with("took_ms", now_ms.saturating_sub(sent_ms))
            .end();
        let Some(job_key) = self.job_keys.get(&step.job).copied() else { return };
        let queue = self.jobs[job_key].submission.queue.clone();
        let valid_ms = self.advice_policy(job_key).map_or(0, |policy| policy.valid_ms);
        let runner_keys = &self.runner_keys;
        let Some(run) = self.jobs[job_key].steps.get_mut(step.step as usize) else { return };
        let Some(admissions) = result else {
            run.advice.end_call();
            run.advice.retry_ms = now_ms + ADVICE_RETRY_MS;
            return;
        };
        #[allow(clippy::cast_precision_loss, reason = "a share")]
        let share = admissions.len() as f64 / asked.len().max(1) as f64;
        let is_first = asked.iter().all(|key| !run.advice.has_admitted(*key));
        let valid_until_ms = now_ms + valid_ms.saturating_sub(TICKET_MARGIN_MS);
        let admitted = admissions.into_iter().filter_map(|Admission { runner, ticket }| {
            let runner = runner_keys.get(runner.as_str()).copied()?;
            Some(AdmittedRunner { runner, ticket, valid_until_ms })
        });
        run.advice.record_answer(asked, admitted.collect());
        run.advice.end_call();
        if is_first {
            let known = self.admitted_share.entry(queue).or_insert(INITIAL_SHARE);
            *known += (share - *known) * SHARE_WEIGHT;
        }
    }

    pub(super) fn advice_policy(&self, job: super::JobKey) -> Option<AdvicePolicy> {
        self.jobs[job].advice_policy()
    }

    /// Estimated share of runners that the policy of a queue admits.
    pub(super) fn admitted_share(&self, queue: &str) -> f64 {
        const MIN_SHARE: f64 = 0.05;
        self.admitted_share.get(queue).copied().unwrap_or(INITIAL_SHARE).max(MIN_SHARE)
    }
}
