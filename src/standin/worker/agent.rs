//! One worker as a state machine without I/O, with the record of what really ran there.

use std::collections::{BTreeMap, VecDeque};

use crate::collections::HashMap;
use crate::place::message::{
    Attempt, AttemptReport, AttemptState, End, Refusal, StopMode, TaskId, WorkerReport,
};
use crate::place::spec::Resources;
use crate::placer::wire::{RefusedStart, ReportUpdate, Start, WorkerAnswer, WorkerCall};
use crate::standin::worker::program::Program;
use crate::standin::worker::Mode;

/// What really ran on a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Truth {
    /// Every attempt that started.
    pub runs: Vec<Run>,
    /// Largest sum of reserved resources, each kind on its own.
    pub max_reserved: Resources,
    /// The worker's means.
    pub means: Resources,
    /// Highest epoch that was seen.
    pub epoch: u64,
    /// Calls that were refused for a lower epoch.
    pub fenced: u64,
    /// Starts that were refused, by any reason.
    pub refused: u64,
}

/// One attempt as it really ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The attempt.
    pub attempt: Attempt,
    /// The task.
    pub task: TaskId,
    /// Start on the monotonic clock of the stand-in, in milliseconds.
    pub started_at_ms: u64,
    /// When and how it ended, once it did.
    pub ended: Option<(u64, RunEnd)>,
    /// Whether a placer let the worker forget it: its end is known and recorded.
    pub is_acknowledged: bool,
}

/// How an attempt really ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// By itself.
    Own(End),
    /// On request.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// The worker died.
    Died,
}

/// A worker.
#[derive(Debug)]
pub struct Agent {
    means: Resources,
    mode: Mode,
    usage_lag_ms: u64,
    barrier: Attempt,
    running: BTreeMap<Attempt, Task>,
    ended: BTreeMap<Attempt, AttemptReport>,
    forgotten: BTreeMap<Attempt, u64>,
    past_reports: VecDeque<WorkerReport>,
    last_report: Option<(u64, WorkerReport)>,
    next_report: u64,
    saved_ms: HashMap<TaskId, u64>,
    truth: Truth,
}

#[derive(Debug)]
struct Task {
    run: usize,
    id: TaskId,
    reserved: Resources,
    program: Program,
    started_at_ms: u64,
    ends_at_ms: Option<u64>,
    lease_ends_at_ms: u64,
    is_throttled: bool,
}

impl Agent {
    /// A worker with nothing running.
    pub fn new(means: Resources, mode: Mode, usage_lag_ms: u64) -> Self {
        Self {
            means,
            mode,
            usage_lag_ms,
            barrier: Attempt::default(),
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            forgotten: BTreeMap::new(),
            past_reports: VecDeque::new(),
            last_report: None,
            next_report: rand::random::<u32>().into(),
            saved_ms: HashMap::default(),
            truth: Truth { means, ..Truth::default() },
        }
    }

    /// How it behaves.
    pub fn mode(&self) -> Mode {
        self.mode
    }

    /// Attempts that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// What really ran.
    pub fn truth(&self) -> &Truth {
        &self.truth
    }

    /// Changes the behaviour; a dead worker loses all that ran.
    pub fn set_mode(&mut self, mode: Mode, now_ms: u64) {
        self.advance(now_ms);
        self.mode = mode;
        if mode == Mode::Dead {
            let attempts: Vec<Attempt> = self.running.keys().copied().collect();
            attempts.into_iter().for_each(|attempt| self.end(attempt, RunEnd::Died, now_ms));
            self.ended.clear();
            self.saved_ms.clear();
            self.last_report = None;
        }
    }

    /// Ends what finished and what has lapsed by `now_ms`.
    pub fn advance(&mut self, now_ms: u64) {
        let due = self.running.iter().filter_map(|(attempt, task)| {
            if task.lease_ends_at_ms <= now_ms {
                return Some((*attempt, RunEnd::Lapsed));
            }
            let is_over = task.ends_at_ms.is_some_and(|ends_at_ms| ends_at_ms <= now_ms);
            is_over.then_some((*attempt, RunEnd::Own(own_end(&task.program))))
        });
        let due: Vec<(Attempt, RunEnd)> = due.collect();
        for (attempt, end) in due {
            self.end(attempt, end, now_ms);
        }
        self.forgotten.retain(|_, until_ms| *until_ms > now_ms);
    }

    /// Carries out a call and answers.
    pub fn take(&mut self, call: &WorkerCall, now_ms: u64) -> WorkerAnswer {
        self.advance(now_ms);
        if call.epoch < self.truth.epoch {
            return self.fence(call);
        }
        self.truth.epoch = call.epoch;
        let mut answer = WorkerAnswer { epoch: call.epoch, ..WorkerAnswer::default() };
        self.barrier = call.barrier.map_or(self.barrier, |barrier| barrier.max(self.barrier));
        for attempt in &call.forget {
            if self.ended.remove(attempt).is_some() {
                self.acknowledge(*attempt);
                self.forgotten.insert(*attempt, now_ms + call.lease_ms);
            }
        }
        for stop in &call.stops {
            self.stop(stop.attempt, stop.mode, now_ms);
        }
        if let Some(token_ms) = call.renew_token_ms {
            self.renew(token_ms + call.lease_ms);
        }
        for start in &call.starts {
            match self.start(start, call.lease_ms, now_ms) {
                Ok(()) => answer.begun.push(start.attempt),
                Err(refusal) => self.refuse(&mut answer, start.attempt, refusal),
            }
        }
        self.advance(now_ms);
        if call.wants_report {
            answer.report = Some(self.update(call.known_report, now_ms));
        }
        answer
    }

    /// The report as a change of the one that the caller has, or whole.
    fn update(&mut self, known_report: u64, now_ms: u64) -> ReportUpdate {
        let report = self.report(now_ms);
        self.next_report += 1;
        let base = self.last_report.as_ref().filter(|(number, _)| *number == known_report);
        let base = base.map(|(number, report)| (*number, report));
        let update = ReportUpdate::new(self.next_report, base, &report);
        self.last_report = Some((self.next_report, report));
        update
    }

    fn acknowledge(&mut self, attempt: Attempt) {
        let mut runs = self.truth.runs.iter_mut().rev();
        if let Some(run) = runs.find(|run| run.attempt == attempt) {
            run.is_acknowledged = true;
        }
    }

    fn fence(&mut self, call: &WorkerCall) -> WorkerAnswer {
        self.truth.fenced += 1;
        let epoch = self.truth.epoch;
        let mut answer = WorkerAnswer { epoch, is_fenced: true, ..WorkerAnswer::default() };
        for start in &call.starts {
            self.refuse(&mut answer, start.attempt, Refusal::Fenced);
        }
        answer
    }

    fn refuse(&mut self, answer: &mut WorkerAnswer, attempt: Attempt, refusal: Refusal) {
        self.truth.refused += 1;
        answer.refused.push(RefusedStart { attempt, refusal });
    }

    fn renew(&mut self, lease_ends_at_ms: u64) {
        for task in self.running.values_mut() {
            task.lease_ends_at_ms = task.lease_ends_at_ms.max(lease_ends_at_ms);
        }
    }

    fn stop(&mut self, attempt: Attempt, mode: StopMode, now_ms: u64) {
        let Some(task) = self.running.get_mut(&attempt) else { return };
        match mode {
            StopMode::Throttle => task.is_throttled = true,
            StopMode::Stop => self.end(attempt, RunEnd::Stopped, now_ms),
            StopMode::Checkpoint => {
                let done_ms = now_ms - task.started_at_ms;
                *self.saved_ms.entry(task.id.clone()).or_default() += done_ms;
                self.end(attempt, RunEnd::Stopped, now_ms);
            }
        }
    }

    fn start(&mut self, start: &Start, lease_ms: u64, now_ms: u64) -> Result<(), Refusal> {
        let attempt = start.attempt;
        let is_known = self.running.contains_key(&attempt) || self.ended.contains_key(&attempt);
        if is_known || self.forgotten.contains_key(&attempt) {
            return Ok(());
        }
        if attempt <= self.barrier || start.token_ms + lease_ms <= now_ms {
            return Err(Refusal::Stale);
        }
        if self.running.values().any(|task| task.id == start.task) {
            return Err(Refusal::Duplicate);
        }
        let reserved = self.reserved().plus(start.reserved);
        if !reserved.fits(self.means) {
            return Err(Refusal::NoRoom);
        }
        if self.mode == Mode::FailsEverything {
            return Err(Refusal::Failed);
        }
        self.truth.max_reserved = self.truth.max_reserved.larger(reserved);
        self.begin(start, lease_ms, now_ms);
        Ok(())
    }

    fn begin(&mut self, start: &Start, lease_ms: u64, now_ms: u64) {
        let mut program = Program::new(&start.command);
        match self.mode {
            Mode::FailsTasks => program = Program { run_ms: Some(0), fails: true, ..program },
            Mode::UsageTenfold => program.usage_percent = 1_000,
            _ => {}
        }
        let saved_ms = self.saved_ms.get(&start.task).copied().unwrap_or(0);
        let task = Task {
            run: self.truth.runs.len(),
            id: start.task.clone(),
            reserved: start.reserved,
            program,
            started_at_ms: now_ms,
            ends_at_ms: program.run_ms.map(|run_ms| now_ms + run_ms.saturating_sub(saved_ms)),
            lease_ends_at_ms: start.token_ms + lease_ms,
            is_throttled: false,
        };
        self.truth.runs.push(Run {
            attempt: start.attempt,
            task: start.task.clone(),
            started_at_ms: now_ms,
            ended: None,
            is_acknowledged: false,
        });
        self.running.insert(start.attempt, task);
    }

    fn end(&mut self, attempt: Attempt, end: RunEnd, now_ms: u64) {
        let Some(task) = self.running.remove(&attempt) else { return };
        self.truth.runs[task.run].ended = Some((now_ms, end));
        let state = match end {
            RunEnd::Own(end) => AttemptState::Ended(end),
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Died => AttemptState::Stopped,
        };
        let report = task.report(attempt, state, now_ms, self.usage_lag_ms);
        self.ended.insert(attempt, report);
    }

    fn reserved(&self) -> Resources {
        let amounts = self.running.values().map(|task| task.reserved);
        amounts.fold(Resources::default(), Resources::plus)
    }

    fn report(&mut self, now_ms: u64) -> WorkerReport {
        let running = self.running.iter().map(|(attempt, task)| {
            task.report(*attempt, AttemptState::Running, now_ms, self.usage_lag_ms)
        });
        let attempts = running.chain(self.ended.values().cloned()).collect();
        let report = WorkerReport { token_ms: now_ms, barrier: self.barrier, attempts };
        let Mode::LateReports { lag_ms } = self.mode else { return report };
        self.past_reports.push_back(report.clone());
        while self.past_reports.get(1).is_some_and(|past| past.token_ms + lag_ms <= now_ms) {
            self.past_reports.pop_front();
        }
        self.past_reports.front().cloned().unwrap_or(report)
    }
}

impl Task {
    fn report(
        &self,
        attempt: Attempt,
        state: AttemptState,
        now_ms: u64,
        lag_ms: u64,
    ) -> AttemptReport {
        let age_ms = now_ms - self.started_at_ms;
        let usage = if age_ms < lag_ms { Resources::default() } else { self.usage() };
        let (task, reserved) = (self.id.clone(), self.reserved);
        AttemptReport { task, attempt, state, reserved, usage, age_ms }
    }

    fn usage(&self) -> Resources {
        let percent = self.program.usage_percent;
        let cpu_percent = if self.is_throttled { percent.min(100) } else { percent };
        Resources {
            cpu_millis: self.reserved.cpu_millis * cpu_percent / 100,
            memory_bytes: self.reserved.memory_bytes * percent / 100,
            accelerators: self.reserved.accelerators,
        }
    }
}

fn own_end(program: &Program) -> End {
    if program.fails {
        return End::Failed;
    }
    End::Finished
}
