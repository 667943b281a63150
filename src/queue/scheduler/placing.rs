//! Chooses runners for the tasks that wait: urgent queues first, then by due time.
//!
//! The load that it answers: bursts in which whole steps of short tasks arrive while long and
//! lasting work holds most of the room, and policies that admit a third of the runners.

use std::fmt::Write as _;

use crate::decision_log;
use crate::place::spec::Resources;
use crate::queue::model::{AdvicePolicy, Step, TaskId};
use crate::queue::scheduler::event::{Action, StartOrder};
use crate::queue::scheduler::job::{JobKey, Place};
use crate::queue::scheduler::runner::{Assigned, Phase, Runner, RunnerKey};
use crate::queue::scheduler::Scheduler;

/// Tasks for which advice is sought, in thousandths of those that wait: some room is gone by then.
const ADVICE_SURPLUS_MILLIS: u64 = 1_500;

/// Runners that a first call names at least.
const ADVICE_LEAST: usize = 8;

/// Order of the queues whose tasks leave a reserve to urgent work.
const RESERVE_FROM_PRIORITY: u32 = 2;

impl Scheduler {
    /// Starts what can start, asks for advice, and makes room for lasting tasks.
    pub(super) fn place(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let is_settled = now_ms >= self.inherited_until_ms
            || !self.runners.is_empty() && self.runners.values().all(|runner| runner.is_fenced);
        if is_settled {
            self.inherited_until_ms = 0;
        }
        let mut ready: Vec<(u32, u64, JobKey, usize)> = Vec::new();
        for (key, job) in &self.jobs {
            if job.state.is_final() {
                continue;
            }
            for step in 0..job.steps.len() {
                if job.is_ready(step) {
                    ready.push((job.priority, job.due_ms, key, step));
                }
            }
        }
        ready.sort_unstable();
        for (_, _, key, step) in ready {
            let first = out.len();
            self.place_step(key, step, is_settled, now_ms, out);
            self.log_starts(key, step, &out[first..], now_ms);
        }
    }

    /// One line for all starts of a step that were decided together.
    fn log_starts(&self, key: JobKey, step: usize, actions: &[Action], now_ms: u64) {
        let mut starts = String::new();
        let mut oldest_ms = 0;
        for action in actions {
            let Action::Start(start) = action else { continue };
            let _ = write!(starts, "{}:{}:{} ", start.task.index, start.run, start.at.0);
            let answered_ms = self.runners[start.runner].hold.answered_ms;
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

    fn place_step(
        &mut self,
        key: JobKey,
        step: usize,
        is_settled: bool,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let job = &self.jobs[key];
        let is_confirmed = now_ms < self.confirmed_until_ms;
        let waiting: Vec<usize> = job.steps[step].startable(is_settled, is_confirmed).collect();
        if waiting.is_empty() {
            return;
        }
        let policy = self.advice_policy(key);
        let declared = job.submission.steps[step].clone();
        let service = self
            .directory
            .queue(&job.submission.queue)
            .map_or(job.service.clone(), |queue| queue.service.clone());
        let reserve_millis = if job.priority >= RESERVE_FROM_PRIORITY {
            self.config.urgent_reserve_millis
        } else {
            0
        };
        let wanted = Wanted { key, step, declared: &declared, service: &service, reserve_millis };
        if declared.is_gang {
            if waiting.len() == job.steps[step].tasks.len() {
                self.place_gang(&wanted, &waiting, policy, now_ms, out);
            }
            return;
        }
        let mut left = waiting.len();
        for index in waiting {
            let failed_at = self.jobs[key].steps[step].tasks[index].failed_at;
            let chosen = self.choose(&wanted, failed_at, policy.is_some(), now_ms);
            let Some(runner) = chosen else { break };
            let run = self.new_run();
            self.start(&wanted, index, runner, run, now_ms, out);
            left -= 1;
        }
        if left == 0 {
            return;
        }
        if let Some(policy) = policy {
            self.seek_advice(&wanted, policy, left, now_ms, out);
        }
        if declared.is_lasting {
            self.make_room(&wanted, now_ms);
        }
    }

    fn place_gang(
        &mut self,
        wanted: &Wanted<'_>,
        waiting: &[usize],
        policy: Option<AdvicePolicy>,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let mut slots: Vec<(RunnerKey, u64)> = self
            .candidates(wanted, now_ms)
            .filter(|(key, _)| policy.is_none() || self.admits(wanted, *key, now_ms))
            .collect();
        slots.sort_unstable_by_key(|(_, slots)| std::cmp::Reverse(*slots));
        let room: u64 = slots.iter().map(|(_, slots)| *slots).sum();
        if room < waiting.len() as u64 {
            if let Some(policy) = policy {
                self.seek_advice(wanted, policy, waiting.len(), now_ms, out);
            }
            return;
        }
        let run = self.new_run();
        let places = slots.iter().flat_map(|(key, slots)| {
            std::iter::repeat_n(*key, usize::try_from(*slots).unwrap_or(usize::MAX))
        });
        let places: Vec<(usize, RunnerKey)> = waiting.iter().copied().zip(places).collect();
        for (index, runner) in places {
            self.start(wanted, index, runner, run, now_ms, out);
        }
    }

    /// The best runner for one more task, with a valid ticket where one is needed.
    ///
    /// A runner that fails its tasks at once always looks empty: a task that has failed there goes
    /// elsewhere if it can.
    fn choose(
        &self,
        wanted: &Wanted<'_>,
        failed_at: Option<RunnerKey>,
        is_advised: bool,
        now_ms: u64,
    ) -> Option<RunnerKey> {
        let need = wanted.declared.room();
        let admitted = &self.jobs[wanted.key].steps[wanted.step].advice;
        self.candidates(wanted, now_ms)
            .filter(|(key, _)| !is_advised || admitted.admits(*key, now_ms))
            .max_by_key(|(key, _)| {
                let is_other = Some(*key) != failed_at;
                (is_other, rank(&self.runners[*key], need, wanted.declared))
            })
            .map(|(key, _)| key)
    }

    /// Runners with room for at least one task, and for how many.
    fn candidates<'a>(
        &'a self,
        wanted: &'a Wanted<'_>,
        now_ms: u64,
    ) -> impl Iterator<Item = (RunnerKey, u64)> + 'a {
        let need = wanted.declared.room();
        self.runners.iter().filter_map(move |(key, runner)| {
            if !runner.is_usable(now_ms) || runner.service != wanted.service {
                return None;
            }
            if !wanted.has_label(runner) {
                return None;
            }
            let mut slots = Runner::slots(runner.free(wanted.reserve_millis), need);
            let limit = u64::from(wanted.declared.max_per_runner);
            if limit > 0 && slots > 0 {
                let id = self.jobs[wanted.key].step_id(wanted.step);
                let there = runner.assigned.keys().filter(|task| task.step == id).count() as u64;
                slots = slots.min(limit.saturating_sub(there));
            }
            (slots > 0).then_some((key, slots))
        })
    }

    fn admits(&self, wanted: &Wanted<'_>, runner: RunnerKey, now_ms: u64) -> bool {
        self.jobs[wanted.key].steps[wanted.step].advice.admits(runner, now_ms)
    }

    fn start(
        &mut self,
        wanted: &Wanted<'_>,
        index: usize,
        key: RunnerKey,
        run: u64,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let job = &mut self.jobs[wanted.key];
        let id = job.task_id(wanted.step, index);
        let step = &mut job.steps[wanted.step];
        let ticket = step.advice.ticket(key);
        let task = &mut step.tasks[index];
        task.place = Place::At(key);
        task.is_given_up = false;
        let checkpoint = task.checkpoint.clone();
        let spec = job.submission.spec.clone();
        let runner = &mut self.runners[key];
        let until_ms = runner.until_ms(self.config.run_lease_ms, now_ms).unwrap_or_default();
        runner.assign(id, Assigned::new(run, wanted.declared, now_ms));
        let at = runner.at();
        let order =
            StartOrder { runner: key, at, task: id, run, spec, until_ms, checkpoint, ticket };
        out.push(Action::Start(order));
    }

    /// Asks which runners may run the tasks that are left, unless a call is under way.
    fn seek_advice(
        &mut self,
        wanted: &Wanted<'_>,
        policy: AdvicePolicy,
        left: usize,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let job = &self.jobs[wanted.key];
        let advice = &job.steps[wanted.step].advice;
        if advice.is_in_flight || now_ms < advice.retry_ms {
            return;
        }
        let share = self.admitted_share(&job.submission.queue);
        let goal = (left as u64 * ADVICE_SURPLUS_MILLIS).div_ceil(1_000);
        let mut known = Vec::new();
        let mut unknown = Vec::new();
        for (key, slots) in self.candidates(wanted, now_ms) {
            if advice.has_admitted(key) {
                if !advice.admits(key, now_ms) {
                    known.push((slots, key));
                }
            } else if !advice.asked.contains(&key) {
                unknown.push((slots, key));
            }
        }
        let runners = pick(known, unknown, goal, share, self.config.advice_runners);
        if runners.is_empty() {
            return;
        }
        let id = job.step_id(wanted.step);
        if self.ask_advice(id, policy, &runners, now_ms, out) {
            self.jobs[wanted.key].steps[wanted.step].advice.is_in_flight = true;
        }
    }

    /// Stops work of a lower priority where a lasting task has waited too long for room.
    fn make_room(&mut self, wanted: &Wanted<'_>, now_ms: u64) {
        let patience_ms = self.config.lasting_patience_ms;
        let step = &self.jobs[wanted.key].steps[wanted.step];
        let longest_ms = step.waiting().map(|index| step.tasks[index].waits_since_ms).min();
        if longest_ms.is_none_or(|since_ms| now_ms < since_ms + patience_ms) {
            return;
        }
        let need = wanted.declared.room();
        let priority = self.jobs[wanted.key].priority;
        let id = self.jobs[wanted.key].step_id(wanted.step);
        let limit = wanted.declared.max_per_runner;
        let admitted: Vec<RunnerKey> =
            step.advice.admitted.iter().map(|known| known.runner).collect();
        for key in admitted {
            let Some(runner) = self.runners.get(key) else { continue };
            if !runner.is_usable(now_ms) || runner.service != wanted.service {
                continue;
            }
            let there = runner.assigned.keys().filter(|task| task.step == id).count();
            if limit > 0 && there >= limit as usize {
                continue;
            }
            let Some(stops) = self.stops_for(runner, need, priority) else { continue };
            if stops.is_empty() {
                // Room is on its way already.
                return;
            }
            decision_log::line("room_made")
                .with("step", id)
                .with("runner", &runner.id)
                .with("stopped", stops.len())
                .end();
            for task in stops {
                if let Some(assigned) = self.runners[key].assigned.get_mut(&task) {
                    assigned.stop(now_ms);
                }
            }
            return;
        }
    }

    /// Tasks of a lower priority whose end frees enough room; none if stops under way suffice.
    fn stops_for(&self, runner: &Runner, need: Resources, priority: u32) -> Option<Vec<TaskId>> {
        let leaving = runner.assigned.values();
        let mut room = leaving
            .filter(|assigned| matches!(assigned.phase, Phase::Stopping { .. }))
            .fold(runner.free(0), |room, assigned| room.plus(assigned.room));
        let mut stops = Vec::new();
        for (task, assigned) in &runner.assigned {
            if need.fits(room) {
                break;
            }
            let Some(job) = self.job_keys.get(&task.step.job).map(|key| &self.jobs[*key]) else {
                continue;
            };
            let step = &job.submission.steps[task.step.step as usize];
            let may_stop = job.priority > priority
                && !step.is_lasting
                && !step.is_gang
                && matches!(assigned.phase, Phase::Running { .. });
            if may_stop {
                room = room.plus(assigned.room);
                stops.push(*task);
            }
        }
        need.fits(room).then_some(stops)
    }
}

/// A step that seeks runners.
#[derive(Clone, Copy, Debug)]
struct Wanted<'a> {
    key: JobKey,
    step: usize,
    declared: &'a Step,
    service: &'a str,
    reserve_millis: u64,
}

impl Wanted<'_> {
    fn has_label(&self, runner: &Runner) -> bool {
        self.declared.label.as_ref().is_none_or(|label| runner.labels.contains(label))
    }
}

/// Prefers the rack of the data, then peace between filling and serving tasks, then free room.
fn rank(runner: &Runner, need: Resources, step: &Step) -> (bool, bool, u64) {
    const MILLI: u64 = 1_000;
    let is_near = step.data_rack.as_ref().is_none_or(|rack| runner.labels.contains(rack));
    let is_peaceful = match (step.fills, step.target_ms > 0) {
        (true, _) => !runner.serves(),
        (_, true) => !runner.is_filled(),
        _ => true,
    };
    let left = runner.free(0).minus(need).cpu_millis;
    let share = left * MILLI / runner.capacity.cpu_millis.max(1);
    (is_near, is_peaceful, share)
}

/// The runners to name: admitted ones with room first, then others until enough are expected.
fn pick(
    mut known: Vec<(u64, RunnerKey)>,
    mut unknown: Vec<(u64, RunnerKey)>,
    goal: u64,
    share: f64,
    most: usize,
) -> Vec<RunnerKey> {
    let order = |left: &(u64, RunnerKey), right: &(u64, RunnerKey)| right.cmp(left);
    known.sort_unstable_by(order);
    unknown.sort_unstable_by(order);
    let mut picked = Vec::new();
    #[allow(clippy::cast_precision_loss, reason = "a number of tasks")]
    let mut missing = goal as f64;
    for (slots, key) in known {
        if missing <= 0.0 || picked.len() >= most {
            return picked;
        }
        #[allow(clippy::cast_precision_loss, reason = "a number of tasks")]
        let expected = slots as f64;
        missing -= expected;
        picked.push(key);
    }
    for (at, (slots, key)) in unknown.into_iter().enumerate() {
        if missing <= 0.0 && at >= ADVICE_LEAST || picked.len() >= most {
            break;
        }
        #[allow(clippy::cast_precision_loss, reason = "a number of tasks")]
        let expected = slots.min(goal) as f64 * share;
        missing -= expected;
        picked.push(key);
    }
    picked
}
