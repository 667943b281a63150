//! Assigns waiting tasks to runners, by queue priority, share of the workspace and due time.
//!
//! It is made for bursts in which whole steps of short tasks arrive while long and long-running
//! tasks hold most of the resources, and for admission policies that admit only a third of the
//! runners.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::fmt::Write as _;

use crate::decision_log;
use crate::place::spec::Resources;
use crate::queue::model::{AdvicePolicy, Step, TaskId};
use crate::queue::scheduler::advice::AdviceSubject;
use crate::queue::scheduler::event::{Action, StartOrder};
use crate::queue::scheduler::job::{JobKey, TaskState};
use crate::queue::scheduler::runner::{Assignment, RunPhase, Runner, RunnerKey};
use crate::queue::scheduler::speed_placement::SpeedRank;
use crate::queue::scheduler::waiting;
use crate::queue::scheduler::Scheduler;

/// Number of tasks for which admitted runners are sought, in thousandths of the waiting tasks. It
/// exceeds 1,000 because some of the resources are taken before the answer arrives.
const ADVICE_OVERBOOK_MILLIS: u64 = 1_500;

/// Minimum number of runners that a call names for the first time, if there are as many.
const MIN_NEW_RUNNERS: usize = 8;

impl Scheduler {
    /// Starts waiting tasks, requests advice for the others, and preempts tasks for long-running ones.
    pub(super) fn place_ready_steps(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let is_inherited_wait_over = self.update_inherited_wait(now_ms);
        self.end_probations();
        self.room_demand.begin_pass();
        self.busy_services.clear();
        self.reserve_searches = 0;
        let mut ready: Vec<(JobKey, usize)> = Vec::new();
        for (key, job) in &self.jobs {
            if job.state.is_final() {
                continue;
            }
            for step in 0..job.steps.len() {
                if job.is_ready(step) {
                    ready.push((key, step));
                }
            }
        }
        self.update_shares(&ready, is_inherited_wait_over, now_ms);
        let ranked = ready.into_iter().map(|(key, step)| (self.rank_of(key, now_ms), key, step));
        let mut queue: BinaryHeap<Reverse<(waiting::Rank, JobKey, usize)>> =
            ranked.map(Reverse).collect();
        while let Some(Reverse((rank, key, step))) = queue.pop() {
            // Its workspace may have fallen behind others by what it has taken in this pass.
            let current = rank.with_share(self.share_position(key, now_ms));
            if current > rank {
                queue.push(Reverse((current, key, step)));
                continue;
            }
            let first = out.len();
            if self.place_step(key, step, is_inherited_wait_over, now_ms, out) {
                let behind = rank.with_share(self.share_position(key, now_ms));
                queue.push(Reverse((behind, key, step)));
            }
            self.log_starts(key, step, &out[first..], now_ms);
        }
        self.place_suspects(is_inherited_wait_over, now_ms, out);
        self.start_copies(now_ms, out);
        self.send_advice_requests(now_ms, out);
    }

    /// Logs all starts of a step that were decided together in one line.
    pub(super) fn log_starts(&self, key: JobKey, step: usize, actions: &[Action], now_ms: u64) {
        let mut starts = String::new();
        let mut oldest_ms = 0;
        for action in actions {
            let Action::Start(start) = action else { continue };
            let _ = write!(starts, "{}:{}:{} ", start.task.index, start.run, start.target.0);
            let answered_ms = self.runners[start.runner].renewal.answered_ms;
            oldest_ms = oldest_ms.max(now_ms.saturating_sub(answered_ms));
        }
        if starts.is_empty() {
            return;
        }
        let job = &self.jobs[key];
        decision_log::line("step_placed")
            .with("step", job.step_id(step))
            .with("starts", starts.trim_end())
            .with("age_ms", now_ms.saturating_sub(job.known_ms))
            .with("oldest_look_ms", oldest_ms)
            .end();
    }

    /// Starts waiting tasks of a step; returns whether it is the turn of others before the rest.
    fn place_step(
        &mut self,
        key: JobKey,
        step: usize,
        is_inherited_wait_over: bool,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) -> bool {
        let job = &self.jobs[key];
        let may_follow_lost_runs = now_ms < self.confirmed_until_ms && job.are_lost_runs_stored();
        let waiting: Vec<usize> =
            job.steps[step].unsuspected(is_inherited_wait_over, may_follow_lost_runs).collect();
        if waiting.is_empty() {
            return false;
        }
        let is_gang = job.submission.steps[step].is_gang;
        let allowed = self.allowed_starts(key, step, waiting.len());
        if allowed == 0 || is_gang && allowed < waiting.len() {
            self.log_limit(key, step, now_ms);
            return false;
        }
        let policy = self.advice_policy(key);
        let declared = self.jobs[key].submission.steps[step].clone();
        let service = self.service_of(key);
        let mut request = PlacementRequest {
            key,
            step,
            declared: &declared,
            service: &service,
            reserve_millis: self.usual_reserve_millis(key),
        };
        if declared.is_gang {
            if waiting.len() == self.jobs[key].steps[step].tasks.len() {
                self.place_gang(&mut request, &waiting, policy, now_ms, out);
            }
            return false;
        }
        let level = self.share_level(key, now_ms);
        let mut left = allowed;
        for index in waiting {
            let failed_at = self.jobs[key].steps[step].tasks[index].failed_at;
            let is_advised = policy.is_some();
            let mut chosen = self.choose_runner(&request, index, failed_at, is_advised, now_ms);
            if chosen.is_none() && self.may_use_reserve(&request, now_ms) {
                request.reserve_millis = 0;
                chosen = self.choose_runner(&request, index, failed_at, is_advised, now_ms);
            }
            let Some(runner) = chosen else {
                // Only copyable tasks may differ in the runners that they can use.
                if declared.may_copy {
                    continue;
                }
                break;
            };
            let run = self.new_run();
            self.start_task(&request, index, runner, run, now_ms, out);
            request.reserve_millis = self.usual_reserve_millis(key);
            left -= 1;
            if left == 0 {
                return false;
            }
            if self.share_level(key, now_ms) > level {
                return true;
            }
        }
        self.want_long_leases(&request, left, now_ms);
        if let Some(policy) = policy {
            self.request_advice(&request, policy, AdviceSubject::Tasks(left), now_ms);
        }
        if declared.is_long_running {
            self.preempt(&request, now_ms);
        }
        false
    }

    /// Service whose runners run the tasks of a job.
    pub(super) fn service_of(&self, key: JobKey) -> String {
        self.service_name(key).to_owned()
    }

    pub(super) fn service_name(&self, key: JobKey) -> &str {
        self.jobs[key].service()
    }

    /// Runners for the members of a gang, those with the most room first, and how many fit on each.
    pub(super) fn gang_slots(
        &self,
        request: &PlacementRequest<'_>,
        now_ms: u64,
    ) -> Vec<(RunnerKey, u64)> {
        let mut slots: Vec<(RunnerKey, u64)> = if self.advice_policy(request.key).is_some() {
            self.admitted_candidates(request, now_ms).collect()
        } else {
            self.candidates(request, now_ms).collect()
        };
        let is_withheld = |key: RunnerKey| self.runners[key].withheld_end.is_some();
        let preference = self.speed_preference(request, now_ms);
        slots.sort_unstable_by_key(|(key, slots)| {
            let speed_rank = preference.rank(self.speeds.factor(*key));
            (is_withheld(*key), std::cmp::Reverse((speed_rank, *slots)))
        });
        slots
    }

    fn place_gang(
        &mut self,
        request: &mut PlacementRequest<'_>,
        waiting: &[usize],
        policy: Option<AdvicePolicy>,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let count =
            |slots: &[(RunnerKey, u64)]| -> u64 { slots.iter().map(|(_, slots)| slots).sum() };
        let mut slots = self.gang_slots(request, now_ms);
        if count(&slots) < waiting.len() as u64 && self.may_use_reserve(request, now_ms) {
            request.reserve_millis = 0;
            slots = self.gang_slots(request, now_ms);
        }
        if count(&slots) < waiting.len() as u64 {
            self.want_long_leases(request, waiting.len(), now_ms);
            if let Some(policy) = policy {
                let subject = AdviceSubject::Tasks(waiting.len());
                self.request_advice(request, policy, subject, now_ms);
            }
            return;
        }
        let run = self.new_run();
        let places = slots.iter().flat_map(|(key, slots)| {
            std::iter::repeat_n(*key, usize::try_from(*slots).unwrap_or(usize::MAX))
        });
        let places: Vec<(usize, RunnerKey)> = waiting.iter().copied().zip(places).collect();
        for (index, runner) in places {
            self.start_task(request, index, runner, run, now_ms, out);
        }
    }

    /// Chooses the best runner for one more task; with `is_advised`, one that has a valid ticket.
    ///
    /// A runner on which an earlier run of the task has not ended is not chosen: the needs of both
    /// runs would have to be counted.
    ///
    /// A runner that fails its tasks immediately always appears idle. A task therefore prefers any
    /// other runner to the one on which it failed last. Runners with a withheld end come last, since
    /// later ends there are not acknowledged either.
    ///
    /// Where measured speeds differ, the speed that suits the work comes before the share of processor
    /// that stays free.
    pub(super) fn choose_runner(
        &self,
        request: &PlacementRequest<'_>,
        index: usize,
        failed_at: Option<RunnerKey>,
        is_advised: bool,
        now_ms: u64,
    ) -> Option<RunnerKey> {
        let need = request.declared.reservation();
        let task = self.jobs[request.key].task_id(request.step, index);
        let is_vacant =
            |(key, _): &(RunnerKey, u64)| !self.runners[*key].assignments.contains_key(&task);
        let preference = self.speed_preference(request, now_ms);
        let rank = |(key, _): &(RunnerKey, u64)| {
            let is_other = Some(*key) != failed_at;
            let runner = &self.runners[*key];
            let speed_rank = preference.rank(self.speeds.factor(*key));
            let score = score(runner, need, request.declared, speed_rank);
            (is_other, runner.withheld_end.is_none(), score)
        };
        let best = if is_advised {
            self.admitted_candidates(request, now_ms).filter(is_vacant).max_by_key(rank)
        } else {
            self.candidates(request, now_ms).filter(is_vacant).max_by_key(rank)
        };
        best.map(|(key, _)| key)
    }

    /// The candidates for which the step has a valid ticket.
    fn admitted_candidates<'a>(
        &'a self,
        request: &'a PlacementRequest<'_>,
        now_ms: u64,
    ) -> impl Iterator<Item = (RunnerKey, u64)> + 'a {
        let advice = &self.jobs[request.key].steps[request.step].advice;
        advice.valid_at(now_ms).filter_map(move |key| {
            let slots = self.free_slots(request, self.runners.get(key)?, now_ms);
            (slots > 0).then_some((key, slots))
        })
    }

    /// Number of tasks of a step for which usable runners have room, apart from runners that its admission
    /// policy refuses.
    pub(super) fn open_slots(&self, request: &PlacementRequest<'_>, now_ms: u64) -> u64 {
        let candidates = self.candidates(request, now_ms);
        let open = candidates.filter(|(key, _)| !self.is_refused(request, *key));
        open.map(|(_, slots)| slots).sum()
    }

    /// Whether the admission policy of a step refuses a runner, as far as known.
    pub(super) fn is_refused(&self, request: &PlacementRequest<'_>, key: RunnerKey) -> bool {
        let advice = &self.jobs[request.key].steps[request.step].advice;
        self.advice_policy(request.key).is_some()
            && advice.asked.contains(&key)
            && !advice.has_admitted(key)
    }

    /// Usable runners with free resources for at least one task, and for how many.
    fn candidates<'a>(
        &'a self,
        request: &'a PlacementRequest<'_>,
        now_ms: u64,
    ) -> impl Iterator<Item = (RunnerKey, u64)> + 'a {
        self.runners.iter().filter_map(move |(key, runner)| {
            let slots = self.free_slots(request, runner, now_ms);
            (slots > 0).then_some((key, slots))
        })
    }

    /// Number of tasks of the step that may be started on the runner now.
    fn free_slots(&self, request: &PlacementRequest<'_>, runner: &Runner, now_ms: u64) -> u64 {
        if runner.crash.is_reserved(now_ms) {
            return 0;
        }
        self.slots_beside_suspects(request, runner, now_ms)
    }

    /// Like [`Scheduler::free_slots`], but also of a runner on which only suspects are placed.
    pub(super) fn slots_beside_suspects(
        &self,
        request: &PlacementRequest<'_>,
        runner: &Runner,
        now_ms: u64,
    ) -> u64 {
        if runner.is_usable(now_ms) {
            self.slots_on(request, runner)
        } else {
            0
        }
    }

    /// Number of tasks of the step for which the runner has room.
    pub(super) fn slots_on(&self, request: &PlacementRequest<'_>, runner: &Runner) -> u64 {
        if runner.is_over_full() || runner.service != request.service || !request.has_label(runner)
        {
            return 0;
        }
        let need = request.declared.reservation();
        let free = runner.free().minus(self.urgent_reserve(request, runner));
        let slots = Runner::slots(free, need);
        let limit = u64::from(request.declared.max_per_runner);
        if limit == 0 || slots == 0 {
            return slots;
        }
        let id = self.jobs[request.key].step_id(request.step);
        let assigned = runner.assignments.keys().filter(|task| task.step == id).count() as u64;
        slots.min(limit.saturating_sub(assigned))
    }

    /// Starts a task on a runner unless the limit of its workspace forbids it.
    pub(super) fn start_task(
        &mut self,
        request: &PlacementRequest<'_>,
        index: usize,
        key: RunnerKey,
        run: u64,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let need = request.declared.need;
        let expected_ms = self.expected_run_ms(request);
        let job = &mut self.jobs[request.key];
        let owner = job.owner;
        if self.shares.allowed(owner, need, 1) == 0 {
            return;
        }
        let id = job.task_id(request.step, index);
        let step = &mut job.steps[request.step];
        let ticket = step.advice.ticket(key);
        let task = &mut step.tasks[index];
        task.state = TaskState::Assigned(key);
        task.has_lost_run = false;
        let former_run = std::mem::replace(&mut task.last_run, run);
        let checkpoint = task.checkpoint.clone();
        let spec = job.submission.spec.clone();
        let lease_ms = self.run_lease_ms(now_ms);
        let runner = &mut self.runners[key];
        let until_ms = runner.extend_lease(lease_ms, now_ms).unwrap_or_default();
        let assignment = Assignment::new(run, request.declared, now_ms);
        let seen_ms = runner.renewal.seen_ms;
        let is_from_start = checkpoint.is_empty();
        let charge = self.shares.charge_for(owner, need, &runner.service);
        let (target, token) = (runner.target(), runner.token);
        let assignment =
            Assignment { former_run, seen_ms, is_from_start, expected_ms, charge, ..assignment };
        self.assign_run(key, id, assignment);
        out.push(Action::Start(StartOrder {
            runner: key,
            target,
            token,
            task: id,
            run,
            spec,
            until_ms,
            checkpoint,
            ticket,
        }));
    }

    /// Selects the runners to ask the advice service about for `left` waiting tasks, more than one
    /// call can name if need be; none of `taken`.
    pub(super) fn runners_to_ask(
        &self,
        request: &PlacementRequest<'_>,
        left: usize,
        taken: &[RunnerKey],
        now_ms: u64,
    ) -> Vec<RunnerKey> {
        let job = &self.jobs[request.key];
        let advice = &job.steps[request.step].advice;
        let share = self.admitted_share(&job.submission.queue);
        let goal = (left as u64 * ADVICE_OVERBOOK_MILLIS).div_ceil(1_000);
        let mut known = Vec::new();
        let mut unknown = Vec::new();
        let preference = self.speed_preference(request, now_ms);
        let is_free = |(key, _): &(RunnerKey, u64)| !taken.contains(key);
        for (key, slots) in self.candidates(request, now_ms).filter(is_free) {
            let speed_rank = preference.rank(self.speeds.factor(key));
            if advice.has_admitted(key) {
                if !advice.admits(key, now_ms) {
                    known.push((speed_rank, slots, key));
                }
            } else if !advice.asked.contains(&key) {
                unknown.push((speed_rank, slots, key));
            }
        }
        let limit = self.config.advice_runners * self.max_calls_for_step();
        select_runners_to_ask(known, unknown, goal, share, limit)
    }

    /// Stops tasks of a lower priority on one runner if a long-running task has waited too long.
    fn preempt(&mut self, request: &PlacementRequest<'_>, now_ms: u64) {
        let patience_ms = self.config.lasting_patience_ms;
        let step = &self.jobs[request.key].steps[request.step];
        let oldest_ms = step.waiting().map(|index| step.tasks[index].waiting_since_ms).min();
        if oldest_ms.is_none_or(|since_ms| now_ms < since_ms + patience_ms) {
            return;
        }
        let need = request.declared.reservation();
        let priority = self.jobs[request.key].priority;
        let id = self.jobs[request.key].step_id(request.step);
        let limit = request.declared.max_per_runner;
        let admitted: Vec<RunnerKey> =
            step.advice.admitted.iter().map(|known| known.runner).collect();
        for key in admitted {
            let Some(runner) = self.runners.get(key) else { continue };
            if !runner.is_usable(now_ms)
                || runner.crash.is_reserved(now_ms)
                || runner.service != request.service
            {
                continue;
            }
            let assigned_count = runner.assignments.keys().filter(|task| task.step == id).count();
            if limit > 0 && assigned_count >= limit as usize {
                continue;
            }
            let Some(victims) = self.select_victims(runner, need, priority, now_ms) else {
                continue;
            };
            if victims.is_empty() {
                // Runs that are being stopped already free enough resources.
                return;
            }
            decision_log::line("room_made")
                .with("step", id)
                .with("runner", &runner.id)
                .with("stopped", victims.len())
                .end();
            for task in victims {
                if let Some(assignment) = self.runners[key].assignments.get_mut(&task) {
                    assignment.stop(now_ms);
                }
            }
            return;
        }
    }

    /// Selects tasks of a lower priority to stop, so that `need` fits on the runner.
    ///
    /// The list is empty if the runs that are already being stopped free enough; `None` means that
    /// `need` cannot be made to fit.
    fn select_victims(
        &self,
        runner: &Runner,
        need: Resources,
        priority: u32,
        now_ms: u64,
    ) -> Option<Vec<TaskId>> {
        let assignments = runner.assignments.values();
        let mut used = assignments
            .filter(|assignment| !matches!(assignment.phase, RunPhase::Stopping { .. }))
            .fold(Resources::default(), |used, assignment| used.plus(assignment.reserved));
        let mut victims = Vec::new();
        let mut candidates: Vec<(&TaskId, &Assignment)> = runner.assignments.iter().collect();
        if self.is_contended() {
            candidates.sort_by_key(|(task, assignment)| (assignment.unsaved_work(now_ms), **task));
        }
        for (task, assignment) in candidates {
            if used.plus(need).fits(runner.capacity) {
                break;
            }
            let Some(job) = self.job_keys.get(&task.step.job).map(|key| &self.jobs[*key]) else {
                continue;
            };
            let step = &job.submission.steps[task.step.step as usize];
            let may_stop = job.priority > priority
                && !step.is_long_running
                && !step.is_gang
                && matches!(assignment.phase, RunPhase::Running { .. });
            if may_stop {
                used = used.minus(assignment.reserved);
                victims.push(*task);
            }
        }
        if self.is_contended() {
            // A later victim may have made earlier ones needless.
            victims.retain(|task| {
                let reserved = runner.assignments[task].reserved;
                let is_needed = !used.plus(reserved).plus(need).fits(runner.capacity);
                used = if is_needed { used } else { used.plus(reserved) };
                is_needed
            });
        }
        used.plus(need).fits(runner.capacity).then_some(victims)
    }
}

/// A step with waiting tasks and its constraints on runners.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacementRequest<'a> {
    pub(super) key: JobKey,
    pub(super) step: usize,
    pub(super) declared: &'a Step,
    pub(super) service: &'a str,
    /// Part of each runner that is left free for urgent work, in thousandths; see
    /// [`Scheduler::urgent_reserve`].
    pub(super) reserve_millis: u64,
}

impl PlacementRequest<'_> {
    pub(super) fn has_label(&self, runner: &Runner) -> bool {
        self.declared.label.as_ref().is_none_or(|label| runner.labels.contains(label))
    }
}

/// Ranks a runner for a task; the greatest value is the best.
///
/// The rack of the data comes first, then the separation of best-effort from latency-sensitive
/// tasks, then the speed that suits the work, then the share of processor that stays free.
fn score(
    runner: &Runner,
    need: Resources,
    step: &Step,
    speed_rank: SpeedRank,
) -> (bool, bool, SpeedRank, u64) {
    const MILLI: u64 = 1_000;
    let is_near_data = step.data_rack.as_ref().is_none_or(|rack| runner.labels.contains(rack));
    let is_separated = match (step.is_best_effort, step.target_ms > 0) {
        (true, _) => !runner.has_latency_target(),
        (_, true) => !runner.has_best_effort(),
        _ => true,
    };
    let left = runner.free().minus(need).cpu_millis;
    let share = left * MILLI / runner.capacity.cpu_millis.max(1);
    (is_near_data, is_separated, speed_rank, share)
}

/// Selects the runners to name in calls for advice, at most `limit`.
///
/// Admitted runners whose ticket has expired (`known`) come first, then runners that have not been
/// asked about (`unknown`), until the expected number of admitted tasks reaches `goal`. `share` is
/// the expected share of admitted runners. In both lists, runners of the speed that suits the step
/// come first.
fn select_runners_to_ask(
    mut known: Vec<(SpeedRank, u64, RunnerKey)>,
    mut unknown: Vec<(SpeedRank, u64, RunnerKey)>,
    goal: u64,
    share: f64,
    limit: usize,
) -> Vec<RunnerKey> {
    let order =
        |left: &(SpeedRank, u64, RunnerKey), right: &(SpeedRank, u64, RunnerKey)| right.cmp(left);
    known.sort_unstable_by(order);
    unknown.sort_unstable_by(order);
    let mut selected = Vec::new();
    #[allow(clippy::cast_precision_loss, reason = "a number of tasks")]
    let mut missing = goal as f64;
    for (_, slots, key) in known {
        if missing <= 0.0 || selected.len() >= limit {
            return selected;
        }
        #[allow(clippy::cast_precision_loss, reason = "a number of tasks")]
        let expected = slots as f64;
        missing -= expected;
        selected.push(key);
    }
    for (position, (_, slots, key)) in unknown.into_iter().enumerate() {
        if missing <= 0.0 && position >= MIN_NEW_RUNNERS || selected.len() >= limit {
            break;
        }
        #[allow(clippy::cast_precision_loss, reason = "a number of tasks")]
        let expected = slots.min(goal) as f64 * share;
        missing -= expected;
        selected.push(key);
    }
    selected
}
