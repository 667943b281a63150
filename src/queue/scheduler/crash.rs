//! Finds the tasks that crash the runners that start them.
//!
//! Every run on a crashed runner is recorded against its task, as part of the job's progress. Most
//! of these tasks are innocent: a task is only suspected if its start was the runner's last, or
//! after a second crash. Suspects run in isolation; see [`super::probe`]. A job is given up once a
//! suspect has crashed a runner there again.

use std::collections::VecDeque;
use std::fmt::{self, Write as _};

use crate::collections::{HashMap, HashSet};
use crate::decision_log;
use crate::queue::model::{JobId, JobState, RunnerId, TaskId};
use crate::queue::record::CrashRecord;
use crate::queue::scheduler::end_cause::EndCause;
use crate::queue::scheduler::job::{Job, JobKey, TaskState};
use crate::queue::scheduler::probe::Probe;
use crate::queue::scheduler::runner::{Assignment, RunPhase, Runner, RunnerKey};
use crate::queue::scheduler::Scheduler;

/// Longest time between the last call that a runner has answered and the first one that shows its crash
/// for the crash to be attributed to a run, in milliseconds. Within a longer time, the run may have
/// ended, or the runner may have crashed before it received the order.
pub(super) const CRASH_WINDOW_MS: u64 = 200;

/// Age up to which a run counts as starting, in milliseconds: a runner that it crashes is noticed by then,
/// while an order to a runner that was gone before fails later.
const STARTING_MS: u64 = 250;

/// Age up to which a run is suspected if its runner was starting none when it crashed, in
/// milliseconds.
const RECENT_START_MS: u64 = 1_000;

/// Time that a suspect has to survive in isolation in addition to the age of its run at the crash,
/// in milliseconds.
const PROBATION_MARGIN_MS: u64 = 700;

/// Longest time that a suspect has to survive in isolation, in milliseconds.
const MAX_PROBATION_MS: u64 = 3_000;

/// Largest difference between the losses of runners that count as simultaneous, in milliseconds.
const SIMULTANEOUS_MS: u64 = 300;

/// Minimum number of runners that are lost simultaneously in a mass event.
const MIN_MASS_RUNNERS: usize = 5;

/// Minimum part of the known runners that is lost in a mass event, as a divisor.
const MASS_RUNNERS_DIVISOR: usize = 10;

/// Part of the runners of a mass event that must have been starting tasks of one job for this job
/// to be the cause, as a divisor.
const COMMON_JOB_DIVISOR: usize = 2;

/// Number of additional crashes after which a job is given up if other tasks ran beside the suspect.
const SHARED_ALLOWANCE: usize = 1;

/// Number of additional crashes after which a job is given up if the suspect was not isolated.
const UNPROVEN_ALLOWANCE: usize = 2;

/// Number of additional crashes after which a job is given up although its runners may only have been
/// cut off for good.
const VANISHED_ALLOWANCE: usize = 2;

/// Number of crashes under a task from which it is a suspect, whatever its age at the crashes.
const SUSPECT_CRASHES: usize = 3;

/// Number of crashes under a task after which each further start is delayed.
const UNDELAYED_CRASHES: usize = 3;

/// Delay of the first start that is delayed because of crashes, in milliseconds. Each further crash
/// doubles it.
const CRASH_BACKOFF_MS: u64 = 2_000;

/// Longest delay of a start because of crashes, in milliseconds.
const MAX_CRASH_BACKOFF_MS: u64 = 30_000;

/// Number of lost runners that are remembered.
const MAX_REMEMBERED: usize = 256;

/// Number of tasks in a log line.
const MAX_LOGGED_TASKS: usize = 8;

/// Crashes under the runs of a task.
#[derive(Debug, Default)]
pub(crate) struct Suspicion {
    crashed_runs: Vec<CrashedRun>,
    /// Whether the task has to run in isolation.
    pub(crate) is_suspect: bool,
    /// Time that the next run has to last in isolation, in milliseconds.
    pub(crate) probation_ms: u64,
    /// Number of the job's change that covers the last crash.
    change: u64,
}

/// A run during which its runner crashed.
#[derive(Clone, Copy, Debug)]
struct CrashedRun {
    run: u64,
    was_starting: bool,
    /// Whether the runner had certainly begun the run.
    has_begun: bool,
    /// Whether the runner has certainly crashed during the run.
    is_certain: bool,
}

impl fmt::Display for CrashedRun {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let evidence = match (self.is_certain, self.has_begun) {
            (true, _) => "crashed",
            (false, true) => "begun",
            (false, false) => "ordered",
        };
        write!(formatter, "{}:{evidence}", self.run)
    }
}

/// A run on a runner that was lost.
#[derive(Clone, Copy, Debug)]
struct LostRun {
    task: TaskId,
    run: u64,
    /// Whether the runner stopped answering right after the start was ordered.
    was_starting: bool,
    /// Whether the runner had confirmed the start.
    is_confirmed: bool,
    /// Whether the runner broke the connection off right after the start order, although it had answered
    /// right before.
    has_broken_off: bool,
    /// Whether the runner had reported the run, or confirmed its start, right before it stopped
    /// answering.
    was_just_seen: bool,
    age_ms: u64,
    /// Whether the run was isolated as that of a suspect.
    was_on_probation: bool,
}

/// What the leader knows about a crash of a runner.
#[derive(Debug, Default)]
pub(crate) struct CrashState {
    /// Whether the current incarnation has announced that it leaves.
    pub(crate) has_drained: bool,
    /// Time at which the runner stopped answering; 0 while it answers.
    silent_since_ms: u64,
    /// Runs at the time at which the runner stopped answering.
    present: Vec<LostRun>,
    /// Runs whose lease has lapsed while it is not known whether the runner has crashed.
    lapsed: Vec<LostRun>,
    /// Suspects on probation on this runner.
    pub(crate) probe: Option<Probe>,
    /// Job whose suspects alone may be placed on the runner, and until when.
    pub(crate) reservation: Option<(JobId, u64)>,
}

/// Lost runners of the recent past, and totals for metrics.
#[derive(Debug, Default)]
pub(super) struct CrashHistory {
    losses: VecDeque<RunnerLoss>,
    crashes: VecDeque<RecordedCrash>,
    /// Jobs with tasks that have to run in isolation.
    pub(super) suspect_jobs: HashSet<JobKey>,
    /// Runners with suspects on probation.
    pub(super) probed_runners: HashSet<RunnerKey>,
    /// Whether tasks that are no suspects wait for a runner.
    pub(super) has_other_work: bool,
    pub(super) counts: CrashCounts,
}

impl CrashHistory {
    /// Runners that were lost in the recent past and have not answered since.
    pub(super) fn lost_runners(&self) -> impl Iterator<Item = RunnerKey> + '_ {
        self.losses.iter().map(|loss| loss.runner)
    }
}

/// A runner that stopped answering or was restarted.
#[derive(Debug)]
struct RunnerLoss {
    at_ms: u64,
    runner: RunnerKey,
    /// Jobs of which the runner was starting tasks.
    starting_jobs: HashSet<JobId>,
}

/// A crash that was recorded although the runner might only be cut off.
#[derive(Debug)]
struct RecordedCrash {
    id: RunnerId,
    address: String,
    started_unix_ms: Option<u64>,
    /// Whether a restart of the runner or another one at its address shows that it is gone.
    is_proven: bool,
    /// Whether all runs on the runner were of one job.
    is_of_one_job: bool,
    /// Runs that were counted, and whether the runner had certainly begun them.
    runs: Vec<(LostRun, bool)>,
}

/// Numbers of events since the previous query, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrashCounts {
    /// Crashes of runners.
    pub runner_crashes: u64,
    /// Tasks that became suspects.
    pub suspected_tasks: u64,
    /// Suspects that completed or survived in isolation.
    pub cleared_tasks: u64,
    /// Jobs that were given up.
    pub given_up_jobs: u64,
}

impl Suspicion {
    /// Number of runs during which their runner crashed.
    pub(crate) fn count(&self) -> usize {
        self.crashed_runs.len()
    }

    /// Records a crash; returns whether it was not recorded before.
    fn record(&mut self, crashed: CrashedRun) -> bool {
        let is_known = self.crashed_runs.iter().any(|known| known.run == crashed.run);
        if !is_known {
            self.crashed_runs.push(crashed);
        }
        !is_known
    }

    /// Number of crashes of runners that had certainly begun a run of the task.
    fn certain_count(&self) -> usize {
        self.crashed_runs.iter().filter(|known| known.is_certain).count()
    }

    /// Number of lost runners that had certainly begun a run of the task.
    fn begun_count(&self) -> usize {
        self.crashed_runs.iter().filter(|known| known.has_begun).count()
    }

    /// Time for which the next start waits because of the crashes, in milliseconds.
    pub(crate) fn backoff_ms(&self) -> u64 {
        let delayed = self.count().saturating_sub(UNDELAYED_CRASHES);
        match u32::try_from(delayed).unwrap_or(u32::MAX) {
            0 => 0,
            delayed => CRASH_BACKOFF_MS
                .saturating_mul(2_u64.saturating_pow(delayed - 1))
                .min(MAX_CRASH_BACKOFF_MS),
        }
    }

    fn suspect(&mut self, age_ms: u64) {
        self.is_suspect = true;
        self.probation_ms = (age_ms + PROBATION_MARGIN_MS).min(MAX_PROBATION_MS);
    }
}

impl LostRun {
    fn new(task: TaskId, assignment: &Assignment, runner: &Runner, now_ms: u64) -> Self {
        let probe = runner.crash.probe.as_ref();
        let seen_ms = match assignment.phase {
            RunPhase::Running { .. } => assignment.assigned_ms.max(runner.renewal.seen_ms),
            _ => 0,
        };
        Self {
            task,
            run: assignment.run,
            was_starting: assignment.is_fresh(now_ms),
            is_confirmed: !matches!(assignment.phase, RunPhase::Starting { .. }),
            has_broken_off: assignment.has_broken_off,
            was_just_seen: now_ms <= seen_ms + CRASH_WINDOW_MS,
            age_ms: now_ms.saturating_sub(assignment.assigned_ms),
            was_on_probation: probe.is_some_and(|probe| probe.tasks.contains(&task)),
        }
    }

    /// Whether the run was certainly in progress when the runner crashed, if it had begun.
    fn is_attributable(&self) -> bool {
        self.was_just_seen || self.has_broken_off
    }
}

impl Assignment {
    /// Whether the runner has not confirmed the start, or only just.
    fn is_starting(&self, now_ms: u64) -> bool {
        let is_confirmed = !matches!(self.phase, RunPhase::Starting { .. });
        !is_confirmed || self.is_fresh(now_ms)
    }

    /// Whether the start was ordered right before `now_ms`.
    fn is_fresh(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.assigned_ms) <= STARTING_MS
    }
}

impl CrashState {
    /// Whether only suspects are placed on the runner.
    pub(crate) fn is_reserved(&self, now_ms: u64) -> bool {
        self.probe.is_some() || self.reserved_for(now_ms).is_some()
    }

    /// Job for whose suspects the runner is reserved.
    pub(crate) fn reserved_for(&self, now_ms: u64) -> Option<JobId> {
        self.reservation.filter(|(_, until_ms)| now_ms < *until_ms).map(|(job, _)| job)
    }

    /// Tasks that the runner was starting when it stopped answering.
    pub(crate) fn starting_tasks(&self) -> impl Iterator<Item = TaskId> + '_ {
        self.present.iter().filter(|run| run.was_starting).map(|run| run.task)
    }
}

impl Job {
    /// Crashed runs of all tasks that are not done, for the progress record.
    pub(crate) fn crashed_runs(&self) -> Vec<CrashRecord> {
        let mut crashed = Vec::new();
        for (number, step) in (0_u32..).zip(&self.steps) {
            for (index, task) in (0_u32..).zip(&step.tasks) {
                if task.state == TaskState::Done {
                    continue;
                }
                let runs = task.suspicion.crashed_runs.iter();
                crashed.extend(runs.map(|known| CrashRecord {
                    step: number,
                    index,
                    run: known.run,
                    was_starting: known.was_starting,
                    is_certain: known.is_certain,
                    has_begun: known.has_begun,
                }));
            }
        }
        crashed
    }

    /// Restores the crashed runs from a progress record.
    pub(crate) fn restore_crashes(&mut self, crashed: &[CrashRecord]) {
        for record in crashed {
            let step = self.steps.get_mut(record.step as usize);
            let Some(task) = step.and_then(|step| step.tasks.get_mut(record.index as usize)) else {
                continue;
            };
            let CrashRecord { run, was_starting, is_certain, has_begun, .. } = *record;
            let has_begun = has_begun || is_certain;
            task.suspicion.record(CrashedRun { run, was_starting, has_begun, is_certain });
            if was_starting || task.suspicion.count() >= SUSPECT_CRASHES {
                task.suspicion.suspect(RECENT_START_MS);
            }
        }
    }

    /// Whether the last crash under a task is stored, so that a successor knows of it.
    pub(crate) fn is_crash_stored(&self, suspicion: &Suspicion) -> bool {
        self.changes.is_stored(suspicion.change)
    }
}

impl Scheduler {
    /// Numbers of crash events since the last call.
    pub fn take_crash_counts(&mut self) -> CrashCounts {
        std::mem::take(&mut self.crashes.counts)
    }

    /// Takes note of a job whose progress record may name crashes.
    pub(super) fn restore_suspects(&mut self, key: JobKey) {
        self.crashes.suspect_jobs.insert(key);
    }

    /// Records which runs a runner had when it stopped answering.
    pub(super) fn record_silence(&mut self, key: RunnerKey, now_ms: u64) {
        let runner = &mut self.runners[key];
        let runs = runner.assignments.iter();
        let present = runs
            .map(|(task, assignment)| LostRun::new(*task, assignment, runner, now_ms))
            .collect();
        runner.crash.present = present;
        runner.crash.silent_since_ms = now_ms;
        if runner.crash.present.is_empty() {
            return;
        }
        let starting = runner.crash.present.iter().filter(|run| is_recent(run));
        let starting_jobs = starting.map(|run| run.task.step.job).collect();
        self.crashes.losses.push_back(RunnerLoss { at_ms: now_ms, runner: key, starting_jobs });
        while self.crashes.losses.len() > MAX_REMEMBERED {
            self.crashes.losses.pop_front();
        }
    }

    /// Notes that a runner answers. If it is the same incarnation, it has not crashed.
    pub(super) fn record_answer(&mut self, key: RunnerKey) {
        let state = &mut self.runners[key].crash;
        if state.silent_since_ms == 0 {
            return;
        }
        state.silent_since_ms = 0;
        state.present.clear();
        state.lapsed.clear();
        self.crashes.losses.retain(|loss| loss.runner != key);
    }

    /// Records the crash of a runner that has been restarted under the same name.
    pub(super) fn record_restart(&mut self, key: RunnerKey, now_ms: u64) {
        if self.runners[key].crash.silent_since_ms == 0 {
            self.record_silence(key, now_ms);
        }
        let runner = &mut self.runners[key];
        let tasks: Vec<TaskId> = runner
            .assignments
            .iter()
            .filter(|(_, assignment)| {
                assignment.phase != RunPhase::Starting { is_unsure: false }
                    || !assignment.is_order_in_flight
            })
            .map(|(task, _)| *task)
            .collect();
        self.record_lapse(key, &tasks);
        let state = &mut self.runners[key].crash;
        let lost = std::mem::take(&mut state.lapsed);
        let has_drained = std::mem::take(&mut state.has_drained);
        if !has_drained {
            self.record_crash(key, &lost, "restarted", true, now_ms);
        }
    }

    /// Notes runs that are about to be released because their lease has lapsed.
    pub(super) fn record_lapse(&mut self, key: RunnerKey, tasks: &[TaskId]) {
        let runner = &mut self.runners[key];
        let present = std::mem::take(&mut runner.crash.present);
        for mut run in present.into_iter().filter(|run| tasks.contains(&run.task)) {
            // A start order may have failed after the renewal that showed the silence.
            let assignment = runner.assignments.get(&run.task);
            run.has_broken_off |=
                assignment.is_some_and(|known| known.run == run.run && known.has_broken_off);
            runner.crash.lapsed.push(run);
        }
    }

    /// Decides whether a silent runner has crashed, once the leases there have lapsed.
    ///
    /// While the runner's record is listed, it may only be unreachable. Tasks that it was starting
    /// are suspected, but no crash is counted.
    pub(super) fn settle_lapsed_runs(&mut self, key: RunnerKey, now_ms: u64) {
        let runner = &mut self.runners[key];
        let is_silent = runner.crash.silent_since_ms > 0 && runner.renewal.failures > 0;
        if !is_silent || runner.crash.lapsed.is_empty() || runner.crash.has_drained {
            return;
        }
        if !runner.is_listed {
            let lost = std::mem::take(&mut runner.crash.lapsed);
            let is_replaced = self.is_replaced(key);
            self.record_crash(key, &lost, "unlisted", is_replaced, now_ms);
            return;
        }
        let starting: Vec<LostRun> =
            runner.crash.lapsed.iter().filter(|run| run.was_starting).copied().collect();
        for run in starting {
            let Some(job_key) = self.job_keys.get(&run.task.step.job).copied() else { continue };
            if let Some(task) = self.jobs[job_key].task_mut(run.task) {
                task.suspicion.suspect(run.age_ms);
                self.crashes.suspect_jobs.insert(job_key);
            }
        }
    }

    /// Whether another runner is listed at the address of this one, so that its process is gone.
    fn is_replaced(&self, key: RunnerKey) -> bool {
        let address = &self.runners[key].address;
        self.runners
            .iter()
            .any(|(other, runner)| other != key && runner.is_listed && runner.address == *address)
    }

    /// Records a crash against the tasks that ran there, and gives up jobs that have caused it.
    fn record_crash(
        &mut self,
        key: RunnerKey,
        lost: &[LostRun],
        noticed: &str,
        is_proven: bool,
        now_ms: u64,
    ) {
        if lost.is_empty() {
            return;
        }
        self.crashes.counts.runner_crashes += 1;
        let at_ms = match self.runners[key].crash.silent_since_ms {
            0 => now_ms,
            at_ms => at_ms,
        };
        let cause = self.mass_event_jobs(at_ms);
        let is_blamed = |run: &&LostRun| {
            let is_cause = |jobs: &HashSet<JobId>| jobs.contains(&run.task.step.job);
            run.was_starting || cause.as_ref().is_none_or(is_cause)
        };
        let blamed: Vec<LostRun> = lost.iter().filter(is_blamed).copied().collect();
        let has_starting = blamed.iter().any(|run| run.was_starting);
        let mut counted = Vec::new();
        for run in &blamed {
            let was_starting = if has_starting { run.was_starting } else { is_recent(run) };
            let has_begun = has_certainly_begun(run, lost);
            let is_certain = has_begun && run.is_attributable() && is_proven;
            let crashed = CrashedRun { run: run.run, was_starting, has_begun, is_certain };
            if let Some(count) = self.blame(run, crashed) {
                counted.push((*run, has_begun, count));
            }
        }
        self.log_crash(key, noticed, (is_proven, cause.is_some()), lost.len(), &counted);
        let is_of_one_job = lost.iter().all(|run| run.task.step.job == lost[0].task.step.job);
        let runs = counted.into_iter().map(|(run, has_begun, _)| (run, has_begun)).collect();
        let runner = &self.runners[key];
        let crash = RecordedCrash {
            id: runner.id.clone(),
            address: runner.address.clone(),
            started_unix_ms: runner.started_unix_ms,
            is_proven,
            is_of_one_job,
            runs,
        };
        self.judge_crash(&crash, now_ms);
        self.crashes.crashes.push_back(crash);
        while self.crashes.crashes.len() > MAX_REMEMBERED {
            self.crashes.crashes.pop_front();
        }
    }

    /// Gives up the jobs of which a task has caused the crash.
    fn judge_crash(&mut self, crash: &RecordedCrash, now_ms: u64) {
        for (run, _) in &crash.runs {
            if self.is_guilty(run, crash.is_of_one_job) {
                self.give_up(run.task, &crash.id, now_ms);
            }
        }
    }

    /// Takes the crashes of other runners at an address for proven: a runner is listed there.
    pub(super) fn confirm_crashes_at(&mut self, address: &str, id: &RunnerId, now_ms: u64) {
        let mut crashes = std::mem::take(&mut self.crashes.crashes);
        for crash in &mut crashes {
            if crash.is_proven || crash.address != address || crash.id == *id {
                continue;
            }
            crash.is_proven = true;
            for (run, has_begun) in &crash.runs {
                self.confirm_crashed_run(run, *has_begun);
            }
            self.judge_crash(crash, now_ms);
        }
        self.crashes.crashes = crashes;
    }

    fn confirm_crashed_run(&mut self, run: &LostRun, has_begun: bool) {
        let Some(job_key) = self.job_keys.get(&run.task.step.job).copied() else { return };
        let Some(task) = self.jobs[job_key].task_mut(run.task) else { return };
        let known = task.suspicion.crashed_runs.iter_mut().find(|known| known.run == run.run);
        if let Some(known) = known {
            known.is_certain = has_begun && run.is_attributable();
            self.mark_dirty(job_key);
        }
    }

    /// Whether the crashes under a task show that it has caused them. Runs that may not have begun are
    /// no evidence.
    fn is_guilty(&mut self, run: &LostRun, is_of_one_job: bool) -> bool {
        let limit = self.config.task_crash_limit as usize;
        let Some(task) = self.task_mut(run.task) else { return false };
        let (count, certain) = (task.suspicion.count(), task.suspicion.certain_count());
        let begun = task.suspicion.begun_count();
        let needed = match (run.was_on_probation, is_of_one_job) {
            (true, true) => limit,
            (true, false) => limit + SHARED_ALLOWANCE,
            (false, _) => limit + UNPROVEN_ALLOWANCE,
        };
        certain >= limit && count >= needed || begun >= limit + VANISHED_ALLOWANCE
    }

    /// Records a crash against one task; returns its number of crashes, or `None` if nothing is
    /// recorded.
    fn blame(&mut self, run: &LostRun, crashed: CrashedRun) -> Option<usize> {
        let job_key = self.job_keys.get(&run.task.step.job).copied()?;
        let task = self.jobs[job_key].task_mut(run.task)?;
        if task.state == TaskState::Done || !task.suspicion.record(crashed) {
            return None;
        }
        let count = task.suspicion.count();
        let is_suspect = crashed.was_starting || count >= SUSPECT_CRASHES;
        if is_suspect {
            task.suspicion.suspect(run.age_ms);
            self.crashes.suspect_jobs.insert(job_key);
            self.crashes.counts.suspected_tasks += 1;
            decision_log::line("task_suspected")
                .with("task", run.task)
                .with("run", run.run)
                .with("crashes", count)
                .end();
        }
        self.mark_dirty(job_key);
        let job = &mut self.jobs[job_key];
        let change = job.changes.latest();
        if let Some(task) = job.task_mut(run.task) {
            task.suspicion.change = change;
        }
        Some(count)
    }

    /// If many runners were lost at `at_ms`, the jobs that most of them were starting: other jobs
    /// whose tasks had been started are not the cause. `None` if it was not a mass event.
    fn mass_event_jobs(&self, at_ms: u64) -> Option<HashSet<JobId>> {
        let losses: Vec<&RunnerLoss> = self
            .crashes
            .losses
            .iter()
            .filter(|loss| loss.at_ms.abs_diff(at_ms) <= SIMULTANEOUS_MS)
            .collect();
        let min = MIN_MASS_RUNNERS.max(self.runners.len() / MASS_RUNNERS_DIVISOR);
        if losses.len() < min {
            return None;
        }
        let mut runners_by_job: HashMap<JobId, usize> = HashMap::default();
        for job in losses.iter().flat_map(|loss| &loss.starting_jobs) {
            *runners_by_job.entry(*job).or_default() += 1;
        }
        let common = runners_by_job
            .into_iter()
            .filter(|(_, runners)| runners * COMMON_JOB_DIVISOR >= losses.len());
        Some(common.map(|(job, _)| job).collect())
    }

    fn log_crash(
        &self,
        key: RunnerKey,
        noticed: &str,
        (is_proven, is_mass_event): (bool, bool),
        lost: usize,
        counted: &[(LostRun, bool, usize)],
    ) {
        let mut tasks = String::new();
        for (run, _, count) in counted.iter().take(MAX_LOGGED_TASKS) {
            let _ = write!(tasks, "{}:{}:{count} ", run.task, run.run);
        }
        decision_log::line("runner_crashed")
            .with("runner", &self.runners[key].id)
            .with("noticed", noticed)
            .with("proven", is_proven)
            .with("runs", lost)
            .with("mass_event", is_mass_event)
            .with("crashes", tasks.trim_end())
            .end();
    }

    /// Removes the record of a crash if the incarnation that was taken for crashed is listed again.
    pub(super) fn retract_crash(&mut self, id: &RunnerId, started_unix_ms: u64) {
        let known =
            self.crashes.crashes.iter().position(|crash| {
                crash.id == *id && crash.started_unix_ms == Some(started_unix_ms)
            });
        let Some(crash) = known.and_then(|at| self.crashes.crashes.remove(at)) else { return };
        decision_log::line("runner_crash_retracted").with("runner", id).end();
        for (run, _) in crash.runs {
            let Some(job_key) = self.job_keys.get(&run.task.step.job).copied() else { continue };
            if let Some(task) = self.jobs[job_key].task_mut(run.task) {
                task.suspicion.crashed_runs.retain(|known| known.run != run.run);
                task.suspicion.is_suspect &= task.suspicion.count() > 0;
            }
            self.mark_dirty(job_key);
        }
    }

    fn give_up(&mut self, task: TaskId, runner: &RunnerId, now_ms: u64) {
        let Some(job_key) = self.job_keys.get(&task.step.job).copied() else { return };
        if self.jobs[job_key].state.is_final() {
            return;
        }
        let crashed: Vec<CrashedRun> =
            self.task_mut(task).map(|task| task.suspicion.crashed_runs.clone()).unwrap_or_default();
        let described: Vec<String> = crashed.iter().map(ToString::to_string).collect();
        self.crashes.counts.given_up_jobs += 1;
        decision_log::line("job_given_up")
            .with("task", task)
            .with("crashes", crashed.len())
            .with("runs", described.join(" "))
            .with("last_runner", runner)
            .end();
        let runs = crashed.iter().map(|run| run.run).collect();
        self.finish(job_key, JobState::Failed, &EndCause::Crashes { task, runs }, now_ms);
    }

    /// Copyable tasks of a silent runner that may start elsewhere before the lease has lapsed.
    ///
    /// Not those that the runner was starting, which may have crashed it, nor those of which another
    /// runner was lost.
    pub(super) fn copyable_tasks(&mut self, key: RunnerKey, now_ms: u64) -> Vec<TaskId> {
        let copyable: Vec<TaskId> = self.runners[key]
            .assignments
            .iter()
            .filter(|(_, assignment)| assignment.may_copy && !assignment.is_starting(now_ms))
            .map(|(task, _)| *task)
            .collect();
        copyable.into_iter().filter(|task| self.may_restart_copy(key, *task)).collect()
    }

    fn may_restart_copy(&mut self, key: RunnerKey, task: TaskId) -> bool {
        let is_suspect = self.task_mut(task).is_some_and(|task| task.suspicion.is_suspect);
        let is_lost_elsewhere = self.runners.iter().any(|(other, runner)| {
            other != key && runner.renewal.failures > 0 && runner.assignments.contains_key(&task)
        });
        !is_suspect && !is_lost_elsewhere
    }

    pub(super) fn task_mut(&mut self, task: TaskId) -> Option<&mut super::job::Task> {
        let job_key: JobKey = self.job_keys.get(&task.step.job).copied()?;
        self.jobs.get_mut(job_key)?.task_mut(task)
    }
}

/// Whether the runner had certainly begun a run: it had confirmed the start, or crashed on receiving
/// the order while it was starting tasks of no other job.
fn has_certainly_begun(run: &LostRun, lost: &[LostRun]) -> bool {
    let is_of_job = |other: &LostRun| other.task.step.job == run.task.step.job;
    let is_last_start = lost.iter().filter(|other| !other.is_confirmed).all(is_of_job);
    run.is_confirmed || run.has_broken_off && is_last_start
}

/// Whether a run was among the last that its runner started.
fn is_recent(run: &LostRun) -> bool {
    run.was_starting || run.is_confirmed && run.age_ms <= RECENT_START_MS
}
