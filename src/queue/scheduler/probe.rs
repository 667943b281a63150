//! Runs suspects in isolation: tasks that may have crashed a runner.
//!
//! The suspects of a job are placed together where they endanger the fewest other runs, and nothing
//! else is placed there until they have survived their probation: a crash there is the fault of this
//! job. Only part of the runners are used for it, a larger one while no other task waits.

use std::cmp::Reverse;

use crate::collections::HashSet;
use crate::decision_log;
use crate::queue::model::{AdvicePolicy, JobId, Step, TaskId};
use crate::queue::scheduler::advice::AdviceSubject;
use crate::queue::scheduler::crash::CRASH_WINDOW_MS;
use crate::queue::scheduler::event::Action;
use crate::queue::scheduler::job::{Job, JobKey, StepRun, TaskState};
use crate::queue::scheduler::placement::PlacementRequest;
use crate::queue::scheduler::runner::{Assignment, RunPhase, Runner, RunnerKey};
use crate::queue::scheduler::Scheduler;

/// Time for which a suspect waits for an empty runner before it may join other runs, in
/// milliseconds.
const ISOLATION_WAIT_MS: u64 = 600;

/// Time for which a runner stays reserved for suspects that no longer wait for it, in milliseconds.
const RESERVATION_MS: u64 = 300;

/// Time before the lease of a lost runner lapses from which a runner is reserved for the tasks that
/// it was starting, in milliseconds.
const RESERVE_AHEAD_MS: u64 = 2_000;

/// Minimum time between two log lines about suspects of a step that wait, in milliseconds.
const WAIT_LOG_MS: u64 = 5_000;

const MILLI: u64 = 1_000;

/// Suspects of a job on probation on one runner.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub(crate) job: JobId,
    pub(crate) tasks: Vec<TaskId>,
    /// Time that the runs have to last after their start was confirmed, in milliseconds.
    probation_ms: u64,
}

/// Waiting suspects of a step, in the order in which they are placed.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WaitingSuspects {
    priority: u32,
    crashes: usize,
    due_ms: u64,
    key: JobKey,
    step: usize,
    tasks: Vec<usize>,
}

/// A runner on which suspects may start; the least one is the best: an idle one comes first, then one
/// that is reserved for their job, then the one with the fewest other runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SuspectPlace {
    /// Whether too many runners are reserved for suspects already.
    is_withheld: bool,
    is_occupied: bool,
    /// Whether the runner is not reserved for the job.
    is_foreign: bool,
    /// Number of other runs.
    others: usize,
    slots: Reverse<u64>,
    needs_ticket: bool,
    answered_ms: Reverse<u64>,
    runner: RunnerKey,
}

/// Runners for a gang with suspects, as far as there are any.
#[derive(Debug)]
struct GangPlan {
    suspects: Vec<SuspectPlace>,
    others: Vec<RunnerKey>,
    /// Runners for suspects about which the admission policy has not been asked; empty if there are
    /// enough places.
    unknown: Vec<RunnerKey>,
    /// Whether members may run beside suspects of the gang.
    may_share: bool,
}

/// Runners that may be reserved for suspects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reservable {
    /// All of them.
    Any,
    /// Those without runs.
    Idle,
    /// None of them.
    None,
}

impl Scheduler {
    /// Ends the probation of suspects that have survived it or whose runs have ended.
    pub(super) fn end_probations(&mut self) {
        let probed = std::mem::take(&mut self.crashes.probed_runners);
        for key in probed {
            self.end_probation(key);
            if self.runners.get(key).is_some_and(|runner| runner.crash.probe.is_some()) {
                self.crashes.probed_runners.insert(key);
            }
        }
    }

    fn end_probation(&mut self, key: RunnerKey) {
        let Some(runner) = self.runners.get(key) else { return };
        let Some(probe) = runner.crash.probe.clone() else { return };
        let assignments: Vec<&Assignment> =
            probe.tasks.iter().filter_map(|task| runner.assignments.get(task)).collect();
        let has_lasted = |assignment: &&Assignment| match assignment.phase {
            RunPhase::Running { since_ms } => {
                runner.renewal.answered_ms >= since_ms + probe.probation_ms
            }
            _ => false,
        };
        let has_survived = runner.renewal.failures == 0 && assignments.iter().all(has_lasted);
        if !assignments.is_empty() && !has_survived {
            return;
        }
        let survivors: Vec<bool> =
            probe.tasks.iter().map(|task| runner.assignments.contains_key(task)).collect();
        self.runners[key].crash.probe = None;
        for (task, has_survived) in probe.tasks.into_iter().zip(survivors) {
            if has_survived {
                self.clear_suspect(task, "survived");
            } else if self.task_mut(task).is_some_and(|task| task.state == TaskState::Done) {
                self.clear_suspect(task, "completed");
            }
        }
    }

    fn clear_suspect(&mut self, id: TaskId, reason: &str) {
        let Some(task) = self.task_mut(id) else { return };
        if !std::mem::take(&mut task.suspicion.is_suspect) {
            return;
        }
        let crashes = task.suspicion.count();
        self.crashes.counts.cleared_tasks += 1;
        decision_log::line("task_cleared")
            .with("task", id)
            .with("reason", reason)
            .with("crashes", crashes)
            .end();
    }

    /// Starts waiting suspects after the other tasks, those with the fewest crashes first.
    pub(super) fn place_suspects(
        &mut self,
        is_inherited_wait_over: bool,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        self.forget_cleared_jobs();
        self.crashes.has_other_work = self.has_other_work(is_inherited_wait_over, now_ms);
        self.reserve_ahead(now_ms);
        let waiting = self.waiting_suspects(is_inherited_wait_over, now_ms);
        if waiting.is_empty() {
            return;
        }
        let mut probed: HashSet<JobId> = self
            .runners
            .values()
            .filter_map(|runner| Some(runner.crash.probe.as_ref()?.job))
            .collect();
        for suspects in waiting {
            let first = out.len();
            let placed = if self.is_held_back(&self.jobs[suspects.key], suspects.step) {
                self.log_limit(suspects.key, suspects.step, now_ms);
                Err("the limit of the workspace")
            } else if probed.insert(self.jobs[suspects.key].submission.id) {
                self.place_suspects_of_step(&suspects, now_ms, out)
            } else {
                Err("others of the job are on probation")
            };
            self.log_starts(suspects.key, suspects.step, &out[first..], now_ms);
            if let Err(reason) = placed {
                self.log_wait(&suspects, reason, now_ms);
            }
        }
    }

    /// Logs why suspects wait, at most once in [`WAIT_LOG_MS`] for each step.
    fn log_wait(&mut self, suspects: &WaitingSuspects, reason: &str, now_ms: u64) {
        let WaitingSuspects { key, step, ref tasks, crashes, .. } = *suspects;
        let since_ms = self.waiting_since_ms(key, step, tasks);
        let run = &mut self.jobs[key].steps[step];
        if now_ms < run.wait_logged_ms.max(since_ms) + WAIT_LOG_MS {
            return;
        }
        run.wait_logged_ms = now_ms;
        decision_log::line("suspects_wait")
            .with("step", self.jobs[key].step_id(step))
            .with("tasks", tasks.len())
            .with("crashes", crashes)
            .with("waited_ms", now_ms.saturating_sub(since_ms))
            .with("reason", reason)
            .end();
    }

    /// Time since which the first of these tasks waits, in milliseconds.
    fn waiting_since_ms(&self, key: JobKey, step: usize, tasks: &[usize]) -> u64 {
        let waiting = tasks.iter().map(|index| &self.jobs[key].steps[step].tasks[*index]);
        waiting.map(|task| task.waiting_since_ms).min().unwrap_or_default()
    }

    /// Forgets jobs that no longer have suspects.
    fn forget_cleared_jobs(&mut self) {
        let jobs = &self.jobs;
        let has_suspect = |key: &JobKey| {
            jobs.get(*key).is_some_and(|job| job.steps.iter().any(StepRun::has_suspect))
        };
        self.crashes.suspect_jobs.retain(has_suspect);
    }

    /// Whether tasks that are no suspects wait for a runner, or may do so once the inherited wait is
    /// over. Only determined while there are suspects.
    fn has_other_work(&self, is_inherited_wait_over: bool, now_ms: u64) -> bool {
        if !is_inherited_wait_over || self.crashes.suspect_jobs.is_empty() {
            return true;
        }
        let is_confirmed = now_ms < self.confirmed_until_ms;
        let waits = |job: &Job, number: usize, step: &StepRun| {
            job.is_ready(number)
                && step.unsuspected(true, is_confirmed).next().is_some()
                && !self.is_held_back(job, number)
        };
        self.jobs
            .values()
            .filter(|job| !job.state.is_final())
            .any(|job| job.steps.iter().enumerate().any(|(number, step)| waits(job, number, step)))
    }

    /// Suspects that may start, once their crashes are stored.
    fn waiting_suspects(&self, is_inherited_wait_over: bool, now_ms: u64) -> Vec<WaitingSuspects> {
        let mut waiting = Vec::new();
        let is_confirmed = now_ms < self.confirmed_until_ms;
        for key in self.crashes.suspect_jobs.iter().copied() {
            let Some(job) = self.jobs.get(key).filter(|job| !job.state.is_final()) else {
                continue;
            };
            let may_follow_lost_runs = is_confirmed && job.are_lost_runs_stored();
            for (number, step) in job.steps.iter().enumerate() {
                if !step.has_suspect() || !job.is_ready(number) {
                    continue;
                }
                let startable: Vec<usize> =
                    step.startable(is_inherited_wait_over, may_follow_lost_runs).collect();
                if job.submission.steps[number].is_gang && startable.len() < step.tasks.len() {
                    continue;
                }
                let is_suspect = |index: &usize| {
                    let task = &step.tasks[*index];
                    task.suspicion.is_suspect
                        && job.is_crash_stored(&task.suspicion)
                        && now_ms >= task.waiting_since_ms + task.suspicion.backoff_ms()
                };
                let tasks: Vec<usize> = startable.into_iter().filter(is_suspect).collect();
                let crashes = tasks.iter().map(|index| step.tasks[*index].suspicion.count()).max();
                let Some(crashes) = crashes else { continue };
                waiting.push(WaitingSuspects {
                    priority: job.priority,
                    crashes,
                    due_ms: job.due_ms,
                    key,
                    step: number,
                    tasks,
                });
            }
        }
        waiting.sort_unstable();
        waiting
    }

    /// Reserves runners for the tasks that lost runners were starting, so that these are empty when
    /// the leases lapse.
    fn reserve_ahead(&mut self, now_ms: u64) {
        let mut expected: HashSet<(JobKey, usize)> = HashSet::default();
        let lost = self.crashes.lost_runners();
        for runner in lost.filter_map(|key| self.runners.get(key)) {
            let lapses_ms = runner.lease_lapsed_by_ms();
            if now_ms + RESERVE_AHEAD_MS < lapses_ms {
                continue;
            }
            for task in runner.crash.starting_tasks() {
                if let Some(key) = self.job_keys.get(&task.step.job) {
                    expected.insert((*key, task.step.step as usize));
                }
            }
        }
        for (key, step) in expected {
            let Some(declared) = self.jobs[key].submission.steps.get(step).cloned() else {
                continue;
            };
            let service = self.service_of(key);
            let request = probe_request(key, step, &declared, &service);
            let place = self.best_place(&request, &[], false, now_ms);
            if let Some(place) = &place {
                self.reserve(place.runner, key, now_ms);
            }
            let is_allowed = self.allowed_starts(key, step, 1) > 0;
            if is_allowed && place.is_none_or(|place| place.is_occupied) {
                self.request_probe_advice(&request, &[], now_ms);
            }
        }
    }

    /// Asks which of the [`Scheduler::unknown_places`] the admission policy of the step allows.
    fn request_probe_advice(
        &mut self,
        request: &PlacementRequest<'_>,
        indices: &[usize],
        now_ms: u64,
    ) {
        let Some(policy) = self.advice_policy(request.key) else { return };
        let runners = self.unknown_places(request, indices, now_ms);
        self.request_tickets(request, policy, runners, now_ms);
    }

    /// The best places for suspects of the step about which its admission policy has not been asked, as
    /// many as a call can name.
    fn unknown_places(
        &self,
        request: &PlacementRequest<'_>,
        indices: &[usize],
        now_ms: u64,
    ) -> Vec<RunnerKey> {
        let advice = &self.jobs[request.key].steps[request.step].advice;
        let places = self.suspect_places(request, indices, now_ms);
        let mut unknown: Vec<SuspectPlace> =
            places.filter(|place| !advice.asked.contains(&place.runner)).collect();
        unknown.sort_unstable();
        unknown.truncate(self.config.advice_runners);
        unknown.into_iter().map(|place| place.runner).collect()
    }

    fn reserve(&mut self, runner: RunnerKey, key: JobKey, now_ms: u64) {
        let job = self.jobs[key].submission.id;
        self.runners[runner].crash.reservation = Some((job, now_ms + RESERVATION_MS));
    }

    /// Starts suspects of one step; returns the reason if none of them starts now.
    fn place_suspects_of_step(
        &mut self,
        suspects: &WaitingSuspects,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) -> Result<(), &'static str> {
        let WaitingSuspects { key, step, ref tasks, .. } = *suspects;
        let declared = self.jobs[key].submission.steps[step].clone();
        let service = self.service_of(key);
        let request = probe_request(key, step, &declared, &service);
        if declared.is_gang {
            return self.place_suspect_gang(&request, now_ms, out);
        }
        let policy = self.advice_policy(key);
        let since_ms = self.waiting_since_ms(key, step, tasks);
        let is_late = now_ms >= since_ms + ISOLATION_WAIT_MS;
        // The best place may change before its ticket arrives, so that a valid one counts for more.
        let ticketed = is_late.then(|| self.best_place(&request, tasks, true, now_ms));
        let place = ticketed.flatten();
        let place = place.or_else(|| self.best_place(&request, tasks, false, now_ms));
        let Some(SuspectPlace { runner, is_occupied, needs_ticket, .. }) = place else {
            self.want_long_leases(&request, tasks.len(), now_ms);
            self.request_probe_advice(&request, tasks, now_ms);
            return Err("no runner");
        };
        self.reserve(runner, key, now_ms);
        if let Some(policy) = policy.filter(|_| needs_ticket) {
            self.request_tickets(&request, policy, vec![runner], now_ms);
            return Err("no ticket");
        }
        if is_occupied && !is_late {
            return Err("no idle runner");
        }
        if !is_occupied && !self.have_answered_lately(&[runner], now_ms) {
            return Err("no answer of the runner");
        }
        let slots = self.slots_beside_suspects(&request, &self.runners[runner], now_ms);
        let slots = usize::try_from(slots).unwrap_or(usize::MAX);
        let allowed = self.allowed_starts(key, step, slots.min(tasks.len()));
        let starting: Vec<usize> = tasks.iter().copied().take(allowed).collect();
        self.begin_probation(&request, runner, &starting);
        for index in starting {
            let run = self.new_run();
            self.start_task(&request, index, runner, run, now_ms, out);
        }
        Ok(())
    }

    /// Whether these idle runners have all answered so lately that a crash on receiving an order can be
    /// told from one before it. Otherwise, the status of those that have not is read.
    fn have_answered_lately(&mut self, runners: &[RunnerKey], now_ms: u64) -> bool {
        let mut have_answered = true;
        for key in runners {
            let renewal = &mut self.runners[*key].renewal;
            let is_recent = now_ms <= renewal.answered_ms + CRASH_WINDOW_MS / 2;
            let was_read = renewal.wanted_ms > 0 && !renewal.is_answer_wanted();
            if now_ms <= renewal.seen_ms + CRASH_WINDOW_MS / 2 || is_recent && was_read {
                continue;
            }
            have_answered = false;
            if !renewal.is_answer_wanted() {
                renewal.wanted_ms = now_ms;
                renewal.next_ms = renewal.next_ms.min(now_ms);
            }
        }
        have_answered
    }

    /// Asks the advice service about these runners, unless a call for the step is in flight.
    fn request_tickets(
        &mut self,
        request: &PlacementRequest<'_>,
        policy: AdvicePolicy,
        runners: Vec<RunnerKey>,
        now_ms: u64,
    ) {
        if !runners.is_empty() {
            self.request_advice(request, policy, AdviceSubject::Runners(runners), now_ms);
        }
    }

    /// Starts a gang with suspects; each suspect where the fewest other runs are. Returns the reason if
    /// it does not start now.
    fn place_suspect_gang(
        &mut self,
        request: &PlacementRequest<'_>,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) -> Result<(), &'static str> {
        let tasks = &self.jobs[request.key].steps[request.step].tasks;
        let (suspects, others): (Vec<usize>, Vec<usize>) =
            (0..tasks.len()).partition(|index| tasks[*index].suspicion.is_suspect);
        let plan = self.plan_gang(request, &suspects, others.len(), now_ms);
        let is_complete =
            plan.suspects.len() == suspects.len() && plan.others.len() == others.len();
        if let Some(policy) = self.advice_policy(request.key) {
            if !is_complete || plan.suspects.iter().any(|place| place.needs_ticket) {
                let missing = if is_complete { 0 } else { others.len() };
                let asked = self.gang_runners_to_ask(request, plan, missing, now_ms);
                self.request_tickets(request, policy, asked, now_ms);
                return Err("no tickets for the gang");
            }
        }
        if !is_complete {
            return Err("no runners for the gang");
        }
        let chosen: Vec<RunnerKey> = plan.suspects.iter().map(|place| place.runner).collect();
        let is_idle = |runner: &RunnerKey| self.runners[*runner].assignments.is_empty();
        let idle: Vec<RunnerKey> = chosen.iter().copied().filter(is_idle).collect();
        if !self.have_answered_lately(&idle, now_ms) {
            return Err("no answer of the runners");
        }
        let run = self.new_run();
        for runner in &chosen {
            let at = suspects.iter().zip(&chosen).filter(|(_, at)| *at == runner);
            let indices: Vec<usize> = at.map(|(index, _)| *index).collect();
            self.begin_probation(request, *runner, &indices);
        }
        for (index, runner) in suspects.into_iter().zip(chosen) {
            self.start_task(request, index, runner, run, now_ms, out);
        }
        for (index, runner) in others.into_iter().zip(plan.others) {
            self.start_task(request, index, runner, run, now_ms, out);
        }
        Ok(())
    }

    /// Chooses a runner for each suspect of a gang, as far as there are any; with `has_ticket`, only
    /// runners whose ticket is valid.
    fn gang_places(
        &self,
        request: &PlacementRequest<'_>,
        suspects: &[usize],
        has_ticket: bool,
        now_ms: u64,
    ) -> Vec<SuspectPlace> {
        let places = self.admitted_places(request, suspects, has_ticket, now_ms);
        let mut places: Vec<SuspectPlace> = places.collect();
        places.sort_unstable();
        places.truncate(suspects.len());
        places
    }

    /// Chooses runners for a gang with suspects and `others` other members. The suspects get a runner
    /// each; if there are not enough, and no more to ask about, they share runners after a while, and
    /// the other members join them.
    fn plan_gang(
        &self,
        request: &PlacementRequest<'_>,
        suspects: &[usize],
        others: usize,
        now_ms: u64,
    ) -> GangPlan {
        let since_ms = self.waiting_since_ms(request.key, request.step, suspects);
        let is_late = now_ms >= since_ms + ISOLATION_WAIT_MS;
        // The best places may change before their tickets arrive, so that valid ones count for more.
        let ticketed = is_late.then(|| self.gang_places(request, suspects, true, now_ms));
        let mut places = ticketed
            .filter(|places| places.len() == suspects.len())
            .unwrap_or_else(|| self.gang_places(request, suspects, false, now_ms));
        let is_advised = self.advice_policy(request.key).is_some();
        let unknown = if is_advised && places.len() < suspects.len() {
            self.unknown_places(request, suspects, now_ms)
        } else {
            Vec::new()
        };
        // A crash ends the whole gang, so that its members may endanger each other.
        let may_share = is_late && unknown.is_empty();
        if may_share {
            self.share_places(request, &mut places, suspects.len(), now_ms);
        }
        let mut slots = self.slots_for_others(request, &places, others, false, now_ms);
        if may_share && slots.len() < others {
            slots = self.slots_for_others(request, &places, others, true, now_ms);
        }
        GangPlan { suspects: places, others: slots, unknown, may_share }
    }

    /// Adds places on the chosen runners until there are `count`, as far as there is room.
    fn share_places(
        &self,
        request: &PlacementRequest<'_>,
        places: &mut Vec<SuspectPlace>,
        count: usize,
        now_ms: u64,
    ) {
        let left = count.saturating_sub(places.len());
        let more = places.iter().flat_map(|place| {
            let runner = &self.runners[place.runner];
            let slots = self.slots_beside_suspects(request, runner, now_ms).saturating_sub(1);
            std::iter::repeat_n(*place, usize::try_from(slots).unwrap_or(usize::MAX).min(left))
        });
        let more: Vec<SuspectPlace> = more.take(left).collect();
        places.extend(more);
    }

    /// Runners for `count` members of a gang that are no suspects; with `may_share`, also those of its
    /// suspects.
    fn slots_for_others(
        &self,
        request: &PlacementRequest<'_>,
        places: &[SuspectPlace],
        count: usize,
        may_share: bool,
        now_ms: u64,
    ) -> Vec<RunnerKey> {
        let slots = self.gang_slots(request, now_ms).into_iter();
        let left = slots.flat_map(|(runner, slots)| {
            let suspects = places.iter().filter(|place| place.runner == runner).count();
            let slots = usize::try_from(slots).unwrap_or(usize::MAX);
            let is_allowed = may_share || suspects == 0;
            let slots = if is_allowed { slots.saturating_sub(suspects) } else { 0 };
            std::iter::repeat_n(runner, slots.min(count))
        });
        left.take(count).collect()
    }

    /// Runners about which to ask for a gang: those of its suspects without a valid ticket, the best
    /// unknown ones if there are too few, and some for the `missing` members that are no suspects.
    fn gang_runners_to_ask(
        &self,
        request: &PlacementRequest<'_>,
        plan: GangPlan,
        missing: usize,
        now_ms: u64,
    ) -> Vec<RunnerKey> {
        let expired = plan.suspects.iter().filter(|place| place.needs_ticket);
        let mut wanted: Vec<RunnerKey> = expired.map(|place| place.runner).collect();
        wanted.extend(plan.unknown);
        if missing > 0 {
            let places = plan.suspects.iter().filter(|_| !plan.may_share);
            let taken: Vec<RunnerKey> = places.map(|place| place.runner).collect();
            wanted.extend(self.runners_to_ask(request, missing, &taken, now_ms));
        }
        let mut seen = HashSet::default();
        wanted.retain(|runner| seen.insert(*runner));
        wanted.truncate(self.config.advice_runners * self.max_calls_for_step());
        wanted
    }

    fn begin_probation(
        &mut self,
        request: &PlacementRequest<'_>,
        runner: RunnerKey,
        indices: &[usize],
    ) {
        let job = &self.jobs[request.key];
        let suspects = indices.iter().map(|index| &job.steps[request.step].tasks[*index].suspicion);
        let probation_ms = suspects.map(|suspicion| suspicion.probation_ms).max();
        let tasks = indices.iter().map(|index| job.task_id(request.step, *index)).collect();
        let probation_ms = probation_ms.unwrap_or_default();
        let probe = Probe { job: job.submission.id, tasks, probation_ms };
        let state = &mut self.runners[runner].crash;
        state.probe = Some(probe);
        state.reservation = None;
        self.crashes.probed_runners.insert(runner);
    }

    /// Runners with room for suspects of the step, whatever its admission policy says of them. Both starts and requests for tickets go by this list and its order.
    fn suspect_places<'a>(
        &'a self,
        request: &'a PlacementRequest<'_>,
        indices: &'a [usize],
        now_ms: u64,
    ) -> impl Iterator<Item = SuspectPlace> + 'a {
        let job = &self.jobs[request.key];
        let id = job.submission.id;
        let advice = &job.steps[request.step].advice;
        let reservable = self.reservable(request.service, now_ms);
        self.runners.iter().filter_map(move |(key, runner)| {
            let reserved_for = runner.crash.reserved_for(now_ms);
            let is_own = reserved_for == Some(id);
            let has_run =
                |index: &usize| runner.assignments.contains_key(&job.task_id(request.step, *index));
            if runner.crash.probe.is_some() || !is_own && reserved_for.is_some() {
                return None;
            }
            let slots = self.slots_beside_suspects(request, runner, now_ms);
            if slots == 0 || indices.iter().any(has_run) {
                return None;
            }
            let others = runner.assignments.len();
            Some(SuspectPlace {
                is_withheld: !is_own && !reservable.contains(runner),
                is_occupied: others > 0,
                is_foreign: !is_own,
                others,
                slots: Reverse(slots.min(indices.len() as u64)),
                needs_ticket: !advice.admits(key, now_ms),
                answered_ms: Reverse(runner.renewal.answered_ms),
                runner: key,
            })
        })
    }

    /// The [`Scheduler::suspect_places`] that may be used. If the queue has an admission policy, the
    /// runner was admitted, and with `has_ticket` its ticket is valid.
    fn admitted_places<'a>(
        &'a self,
        request: &'a PlacementRequest<'_>,
        indices: &'a [usize],
        has_ticket: bool,
        now_ms: u64,
    ) -> impl Iterator<Item = SuspectPlace> + 'a {
        let advice = &self.jobs[request.key].steps[request.step].advice;
        let is_advised = self.advice_policy(request.key).is_some();
        let is_admitted = move |place: &SuspectPlace| {
            let is_known =
                if has_ticket { !place.needs_ticket } else { advice.has_admitted(place.runner) };
            !is_advised || is_known
        };
        let places = self.suspect_places(request, indices, now_ms);
        places.filter(move |place| !place.is_withheld && is_admitted(place))
    }

    /// Best of the [`Scheduler::admitted_places`].
    fn best_place(
        &self,
        request: &PlacementRequest<'_>,
        indices: &[usize],
        has_ticket: bool,
        now_ms: u64,
    ) -> Option<SuspectPlace> {
        self.admitted_places(request, indices, has_ticket, now_ms).min()
    }

    /// Runners of the service of which one more may be reserved for suspects: they get a share of the
    /// runners, or all idle ones but such a share while nothing else waits.
    fn reservable(&self, service: &str, now_ms: u64) -> Reservable {
        let (mut reserved, mut usable, mut crashed) = (0_u64, 0_u64, 0_u64);
        for runner in self.runners.values().filter(|runner| runner.service == service) {
            let (is_reserved, is_usable) =
                (runner.crash.is_reserved(now_ms), runner.is_usable(now_ms));
            reserved += u64::from(is_reserved);
            usable += u64::from(is_usable);
            crashed += u64::from(is_reserved && !is_usable);
        }
        let share_millis = self.config.suspect_runners_millis;
        if reserved * MILLI < (usable * share_millis).max(MILLI) {
            return Reservable::Any;
        }
        let known = usable + crashed;
        let left = (known * share_millis).div_ceil(MILLI);
        match !self.crashes.has_other_work && reserved + left < known {
            true => Reservable::Idle,
            false => Reservable::None,
        }
    }
}

impl Reservable {
    fn contains(self, runner: &Runner) -> bool {
        match self {
            Self::Any => true,
            Self::Idle => runner.assignments.is_empty(),
            Self::None => false,
        }
    }
}

fn probe_request<'a>(
    key: JobKey,
    step: usize,
    declared: &'a Step,
    service: &'a str,
) -> PlacementRequest<'a> {
    PlacementRequest { key, step, declared, service, reserve_millis: 0 }
}
