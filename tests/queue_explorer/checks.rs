//! The rules that runs must keep, judged by what the runners and the store have seen.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use hemlockrock::queue::model::{JobId, JobState, RunEnd, Submission, TaskId};

use super::load;
use super::runner::{Ended, Runner};

/// Maximum number of failed runs of a task.
pub(super) const MAX_ATTEMPTS: u32 = 3;

/// Rule that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Rule {
    /// Two runs of a task at the same time.
    Overlap,
    /// A start after a run has ended as done and its end was acknowledged.
    Repeat,
    /// A start that exceeds the capacity of a runner.
    Limit,
    /// A start that brings a workspace above its limit.
    Quota,
    /// A start before the tasks of earlier steps are done.
    Order,
    /// A start after all attempts of a task have failed and their ends were acknowledged.
    Budget,
    /// A job that is reported or stored with a state that is not what its tasks did.
    State,
    /// A job that does not end although the faults are over.
    Unfinished,
    /// A ready task that waits although a runner has room for it.
    ///
    /// A task is ready if its job is accepted and neither cancelled nor ended, all tasks of the
    /// steps before are done, and no runner that is up runs it. It has to start within 9 s of its
    /// last run, or of the time at which it became ready, if for the last 3 s of them some runner
    /// had room for it that is up, listed and not cut off, and if for these 3 s and the 4 s before
    /// no fault began, was active or ended. This is the users' rule LOST at any time of the day.
    /// Suspects of a crash are not exempt.
    Late,
}

/// Number of runners that must have crashed under a task before its job may be given up.
const MIN_CRASHES: usize = 2;

/// A broken rule.
#[derive(Clone, Debug)]
pub(super) struct Violation {
    pub(super) rule: Rule,
    pub(super) at_ms: u64,
    pub(super) job: JobId,
    /// Task that broke the rule; none if the whole job did.
    pub(super) task: Option<TaskId>,
    /// Whether a start broke the rule that was meant for a former life of its runner and that
    /// nothing let the new one refuse.
    pub(super) is_stray: bool,
    text: String,
}

#[derive(Clone, Copy, Debug)]
struct Start {
    /// Position among all starts and ends.
    position: u64,
    run: u64,
    is_stray: bool,
}

#[derive(Clone, Copy, Debug)]
struct End {
    position: u64,
    runner: usize,
    life: u64,
    run: u64,
    end: RunEnd,
    is_acknowledged: bool,
    /// Whether the acknowledgement was meant for a former life and could not be refused.
    is_stray: bool,
}

#[derive(Debug, Default)]
struct History {
    starts: Vec<Start>,
    ends: Vec<End>,
    /// Runs during which their runner crashed.
    crashed: BTreeSet<u64>,
}

/// History of all tasks, and the violations found so far.
#[derive(Debug, Default)]
pub(super) struct Checks {
    pub(super) jobs: BTreeMap<JobId, Submission>,
    pub(super) canceled: BTreeSet<JobId>,
    tasks: BTreeMap<TaskId, History>,
    position: u64,
    shown: BTreeSet<JobId>,
    pub(super) violations: Vec<Violation>,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?} at {} ms: {}", self.rule, self.at_ms, self.text)
    }
}

impl History {
    fn has_done_run(&self) -> bool {
        self.ends.iter().any(|end| end.end == RunEnd::Done)
    }

    /// The first start that meets a condition; one that is no stray comes first.
    fn first_start(&self, is_meant: impl Fn(&Start) -> bool) -> Option<Start> {
        let meant = self.starts.iter().filter(|start| is_meant(start));
        meant.min_by_key(|start| start.is_stray).copied()
    }

    /// Whether the task may be given up: it has failed too often, or runners have crashed under it.
    fn may_be_given_up(&self) -> bool {
        self.failures() >= MAX_ATTEMPTS as usize || self.crashed.len() >= MIN_CRASHES
    }

    fn failures(&self) -> usize {
        self.ends.iter().filter(|end| end.end == RunEnd::Failed).count()
    }

    /// Number of acknowledged failures before a position.
    fn known_failures_before(&self, position: u64) -> usize {
        let is_known = |end: &&End| {
            end.end == RunEnd::Failed && end.is_acknowledged && end.position < position
        };
        self.ends.iter().filter(is_known).count()
    }
}

/// Runners that are up and run the task, and whether as a stray.
fn overlapping(runners: &[Runner], task: TaskId) -> Vec<(usize, bool)> {
    let runs = |runner: &Runner| {
        let runs = runner.running.iter().filter(|((running, _), _)| *running == task);
        runs.map(|(_, run)| run.is_stray).min().filter(|_| runner.is_up)
    };
    let runners = runners.iter().enumerate();
    runners.filter_map(|(at, runner)| Some((at, runs(runner)?))).collect()
}

impl Checks {
    fn record(&mut self, rule: Rule, at_ms: u64, task: TaskId, start: Start, text: &str) {
        let Start { is_stray, .. } = start;
        let (job, task, text) = (task.step.job, Some(task), format!("{task} {text}"));
        self.violations.push(Violation { rule, at_ms, job, task, is_stray, text });
    }

    fn record_job(&mut self, rule: Rule, at_ms: u64, job: JobId, text: String) {
        self.violations.push(Violation { rule, at_ms, job, task: None, is_stray: false, text });
    }

    fn next_position(&mut self) -> u64 {
        self.position += 1;
        self.position
    }

    /// Processor that a task needs, in thousandths of a core.
    pub(super) fn cpu_millis(&self, task: TaskId) -> u64 {
        let steps = self.jobs.get(&task.step.job).map(|job| &job.steps);
        let step = steps.and_then(|steps| steps.get(task.step.step as usize));
        step.map_or(0, |step| step.need.cpu_millis)
    }

    /// Whether a task runs until its job is cancelled, however often its runs end.
    pub(super) fn is_long_running(&self, task: TaskId) -> bool {
        let steps = self.jobs.get(&task.step.job).map(|job| &job.steps);
        let step = steps.and_then(|steps| steps.get(task.step.step as usize));
        step.is_some_and(|step| step.is_long_running)
    }

    /// Records that a ready task waits too long.
    pub(super) fn late(&mut self, task: TaskId, now_ms: u64, text: &str) {
        let (job, text) = (task.step.job, format!("{task} {text}"));
        let violation = Violation {
            rule: Rule::Late,
            at_ms: now_ms,
            job,
            task: Some(task),
            is_stray: false,
            text,
        };
        self.violations.push(violation);
    }

    /// Judges a start that a runner is about to carry out.
    pub(super) fn start(
        &mut self,
        runners: &[Runner],
        at: usize,
        (task, run): (TaskId, u64),
        is_stray: bool,
        now_ms: u64,
    ) {
        let position = self.next_position();
        let start = Start { position, run, is_stray };
        for (other, is_stray) in overlapping(runners, task) {
            let text = format!("run {run} starts at r{at} while a run is on at r{other}");
            let start = Start { is_stray: is_stray || start.is_stray, ..start };
            self.record(Rule::Overlap, now_ms, task, start, &text);
        }
        let history = self.tasks.entry(task).or_default();
        history.starts.push(start);
        let done = history.ends.iter().filter(|end| end.end == RunEnd::Done && end.is_acknowledged);
        let done = done.min_by_key(|end| end.is_stray).copied();
        let failures = history.known_failures_before(position);
        if let Some(done) = done {
            let text = format!(
                "run {run} starts at r{at} after run {} was done at r{} (life {}) and acknowledged",
                done.run, done.runner, done.life
            );
            let start = Start { is_stray: is_stray || done.is_stray, ..start };
            self.record(Rule::Repeat, now_ms, task, start, &text);
        }
        if failures >= MAX_ATTEMPTS as usize {
            let text = format!("run {run} starts at r{at} after {failures} acknowledged failures");
            self.record(Rule::Budget, now_ms, task, start, &text);
        }
        if !runners[at].has_room(self.cpu_millis(task)) {
            let text = format!("run {run} exceeds the capacity of r{at}");
            let start = Start { is_stray: is_stray || runners[at].hides_stray(), ..start };
            self.record(Rule::Limit, now_ms, task, start, &text);
        }
        self.check_quota(runners, task, start, now_ms);
        self.check_order(task, start, now_ms);
    }

    fn check_quota(&mut self, runners: &[Runner], task: TaskId, start: Start, now_ms: u64) {
        let workspace_of = |task: &TaskId| self.jobs.get(&task.step.job)?.workspace.as_deref();
        let Some(workspace) = workspace_of(&task) else { return };
        let running = runners.iter().filter(|runner| runner.is_up);
        let running = running.flat_map(|runner| runner.running.iter());
        let of_workspace = running.filter(|((task, _), _)| workspace_of(task) == Some(workspace));
        let (mut used_millis, mut is_stray) = (self.cpu_millis(task), start.is_stray);
        let mut listed = String::new();
        for ((task, run), state) in of_workspace {
            used_millis += self.cpu_millis(*task);
            is_stray |= state.is_stray;
            listed += &format!(" {task}:{run}");
        }
        if used_millis > load::WORKSPACE_LIMIT_MILLIS {
            let text = format!(
                "run {} brings workspace {workspace} to {used_millis}, beside{listed}",
                start.run
            );
            self.record(Rule::Quota, now_ms, task, Start { is_stray, ..start }, &text);
        }
    }

    fn check_order(&mut self, task: TaskId, start: Start, now_ms: u64) {
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let Some(step) = job.steps.get(task.step.step as usize) else { return };
        for earlier in &step.after {
            let count = job.steps[*earlier as usize].count;
            let is_done = |index: u32| {
                let mut before = task;
                (before.step.step, before.index) = (*earlier, index);
                self.tasks.get(&before).is_some_and(History::has_done_run)
            };
            if !(0..count).all(is_done) {
                let text = format!("run {} starts before step {earlier} is done", start.run);
                self.record(Rule::Order, now_ms, task, start, &text);
                return;
            }
        }
    }

    /// Records the end of a run, unless the task is long-running: it is neither done nor given up
    /// then.
    pub(super) fn end(&mut self, runner: usize, life: u64, ended: &Ended) {
        let position = self.next_position();
        let Ended { task, run, end, .. } = *ended;
        if self.is_long_running(task) {
            return;
        }
        let end = End { position, runner, life, run, end, is_acknowledged: false, is_stray: false };
        self.tasks.entry(task).or_default().ends.push(end);
    }

    /// Records that a runner forgets an end because a leader has acknowledged it.
    ///
    /// An end does not count if the lease of the runner has lapsed since.
    pub(super) fn acknowledge(
        &mut self,
        at: usize,
        runner: &Runner,
        ended: &Ended,
        is_stray: bool,
        now_ms: u64,
    ) {
        if runner.lapses_ms.iter().any(|lapse_ms| (ended.at_ms..=now_ms).contains(lapse_ms)) {
            return;
        }
        let Ended { task, run, .. } = *ended;
        let history = self.tasks.entry(task).or_default();
        let is_same = |end: &&mut End| (end.runner, end.life, end.run) == (at, runner.life, run);
        let Some(end) = history.ends.iter_mut().find(is_same) else { return };
        (end.is_acknowledged, end.is_stray) = (true, is_stray);
        let end = *end;
        let limit = MAX_ATTEMPTS as usize;
        let stray = |start: Start| Start { is_stray: start.is_stray || is_stray, ..start };
        let later = history.first_start(|start| start.position > end.position);
        let excess =
            history.first_start(|start| history.known_failures_before(start.position) >= limit);
        match (end.end, later, excess) {
            (RunEnd::Done, Some(start), _) => {
                let start = stray(start);
                let text = format!(
                    "run {run} done at r{at} is acknowledged though run {} was started after it",
                    start.run
                );
                self.record(Rule::Repeat, now_ms, task, start, &text);
            }
            (RunEnd::Failed, _, Some(start)) => {
                let start = stray(start);
                let text = format!("run {} was started after {limit} failures", start.run);
                self.record(Rule::Budget, now_ms, task, start, &text);
            }
            _ => {}
        }
    }

    /// Records that a runner has crashed during a run.
    pub(super) fn crash(&mut self, task: TaskId, run: u64) {
        self.tasks.entry(task).or_default().crashed.insert(run);
    }

    /// Judges the state of a job that is reported to callers.
    pub(super) fn show(&mut self, job: JobId, state: JobState, now_ms: u64) {
        if state.is_final() && self.shown.insert(job) {
            self.judge_state(job, state, "reported", now_ms);
        }
    }

    /// Judges the state in which a job is stored at the end; `None` if it has not ended.
    pub(super) fn finish(&mut self, job: JobId, state: Option<JobState>, now_ms: u64) {
        match state.filter(|state| state.is_final()) {
            Some(state) => self.judge_state(job, state, "stored", now_ms),
            None => {
                let text = format!("{job} has not ended: {state:?}");
                self.record_job(Rule::Unfinished, now_ms, job, text);
            }
        }
    }

    fn judge_state(&mut self, job: JobId, state: JobState, how: &str, now_ms: u64) {
        let tasks = self.tasks.iter().filter(|(task, _)| task.step.job == job);
        let count: u32 = self.jobs[&job].steps.iter().map(|step| step.count).sum();
        let is_true = match state {
            JobState::Completed => {
                tasks.filter(|(_, history)| history.has_done_run()).count() == count as usize
            }
            JobState::Failed => {
                let mut histories = tasks.map(|(_, history)| history);
                histories.any(History::may_be_given_up)
            }
            JobState::Canceled => self.canceled.contains(&job),
            JobState::Queued | JobState::Active => true,
        };
        if !is_true {
            let text = format!("{job} is {how} as {state:?}");
            self.record_job(Rule::State, now_ms, job, text);
        }
    }
}
