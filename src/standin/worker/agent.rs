//! State machine of one fake worker, without I/O, with a record of what really ran on it.

use std::collections::{BTreeMap, VecDeque};

use crate::collections::HashMap;
use crate::place::message::{
    Attempt, AttemptReport, AttemptState, End, Refusal, StopMode, TaskId, WorkerReport,
};
use crate::place::spec::Resources;
use crate::placer::wire::{RefusedStart, ReportUpdate, Start, WorkerAnswer, WorkerCall};
use crate::standin::worker::program::Program;
use crate::standin::worker::Mode;

/// Record of what really ran on a worker, kept across faults of the worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerRecord {
    /// Every attempt that started, in the order of the starts.
    pub runs: Vec<Run>,
    /// Largest sum of resources reserved at one time; the maximum of each kind on its own.
    pub max_reserved: Resources,
    /// Capacity of the worker.
    pub capacity: Resources,
    /// Highest placer epoch seen in a call.
    pub epoch: u64,
    /// Number of calls rejected for an epoch below the highest one seen.
    pub fenced: u64,
    /// Number of starts refused, for any reason.
    pub refused: u64,
}

/// One attempt as it really ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Id of the attempt.
    pub attempt: Attempt,
    /// Task of which this is an attempt.
    pub task: TaskId,
    /// Time of the start on the monotonic clock of the stand-in, in milliseconds.
    pub started_at_ms: u64,
    /// Time of the end on the same clock and how it ended; `None` while it runs.
    pub ended: Option<(u64, RunEnd)>,
    /// Whether a placer has recorded the end and told the worker to forget the attempt.
    pub is_acknowledged: bool,
}

/// How an attempt really ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The program finished or failed by itself.
    Own(End),
    /// A placer stopped it.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// The worker was set to [`Mode::Dead`].
    Died,
}

/// State of one fake worker.
#[derive(Debug)]
pub struct Agent {
    capacity: Resources,
    mode: Mode,
    usage_lag_ms: u64,
    /// Starts of this attempt and older ones are refused as stale.
    barrier: Attempt,
    running: BTreeMap<Attempt, Task>,
    /// Ended attempts that the placer has not yet told the worker to forget.
    ended: BTreeMap<Attempt, AttemptReport>,
    /// Forgotten attempts and until when a repeated start of them is ignored, in milliseconds.
    forgotten: BTreeMap<Attempt, u64>,
    /// Reports that `LateReports` has held back, oldest first.
    past_reports: VecDeque<WorkerReport>,
    /// The last report sent, with its number; base of the next update.
    last_report: Option<(u64, WorkerReport)>,
    last_report_number: u64,
    /// Run time that each task has saved in checkpoints, in milliseconds.
    saved_ms: HashMap<TaskId, u64>,
    record: WorkerRecord,
}

#[derive(Debug)]
struct Task {
    /// Index of its run in the record.
    run: usize,
    id: TaskId,
    reserved: Resources,
    program: Program,
    started_at_ms: u64,
    /// When the program ends by itself; `None` for one that runs until it is stopped.
    ends_at_ms: Option<u64>,
    lease_ends_at_ms: u64,
    is_throttled: bool,
}

impl Agent {
    /// Creates a worker with nothing running.
    ///
    /// Reports of a task show no usage for its first `usage_lag_ms`.
    pub fn new(capacity: Resources, mode: Mode, usage_lag_ms: u64) -> Self {
        Self {
            capacity,
            mode,
            usage_lag_ms,
            barrier: Attempt::default(),
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            forgotten: BTreeMap::new(),
            past_reports: VecDeque::new(),
            last_report: None,
            last_report_number: rand::random::<u32>().into(),
            saved_ms: HashMap::default(),
            record: WorkerRecord { capacity, ..WorkerRecord::default() },
        }
    }

    /// Current behaviour.
    pub fn mode(&self) -> Mode {
        self.mode
    }

    /// Number of attempts that run now.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Record of what really ran.
    pub fn record(&self) -> &WorkerRecord {
        &self.record
    }

    /// Changes the behaviour; a worker set to [`Mode::Dead`] loses its tasks and their saved
    /// progress.
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

    /// Ends the attempts that finish, and those whose lease expires, by `now_ms`.
    pub fn advance(&mut self, now_ms: u64) {
        let due = self.running.iter().filter_map(|(attempt, task)| {
            if task.lease_ends_at_ms <= now_ms {
                return Some((*attempt, RunEnd::Lapsed));
            }
            let is_over = task.ends_at_ms.is_some_and(|ends_at_ms| ends_at_ms <= now_ms);
            is_over.then_some((*attempt, RunEnd::Own(natural_end(&task.program))))
        });
        let due: Vec<(Attempt, RunEnd)> = due.collect();
        for (attempt, end) in due {
            self.end(attempt, end, now_ms);
        }
        self.forgotten.retain(|_, until_ms| *until_ms > now_ms);
    }

    /// Handles a call of a placer: forgets, stops, renews and starts attempts, then reports.
    ///
    /// A call of an epoch below the highest one seen has no effect and is answered as fenced.
    pub fn handle_call(&mut self, call: &WorkerCall, now_ms: u64) -> WorkerAnswer {
        self.advance(now_ms);
        if call.epoch < self.record.epoch {
            return self.reject_fenced(call);
        }
        self.record.epoch = call.epoch;
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
            answer.report = Some(self.report_update(call.known_report, now_ms));
        }
        answer
    }

    /// Builds the report: as a difference if the caller has the last one, else in full.
    fn report_update(&mut self, known_report: u64, now_ms: u64) -> ReportUpdate {
        let report = self.report(now_ms);
        self.last_report_number += 1;
        let base = self.last_report.as_ref().filter(|(number, _)| *number == known_report);
        let base = base.map(|(number, report)| (*number, report));
        let update = ReportUpdate::new(self.last_report_number, base, &report);
        self.last_report = Some((self.last_report_number, report));
        update
    }

    fn acknowledge(&mut self, attempt: Attempt) {
        let mut runs = self.record.runs.iter_mut().rev();
        if let Some(run) = runs.find(|run| run.attempt == attempt) {
            run.is_acknowledged = true;
        }
    }

    fn reject_fenced(&mut self, call: &WorkerCall) -> WorkerAnswer {
        self.record.fenced += 1;
        let epoch = self.record.epoch;
        let mut answer = WorkerAnswer { epoch, is_fenced: true, ..WorkerAnswer::default() };
        for start in &call.starts {
            self.refuse(&mut answer, start.attempt, Refusal::Fenced);
        }
        answer
    }

    fn refuse(&mut self, answer: &mut WorkerAnswer, attempt: Attempt, refusal: Refusal) {
        self.record.refused += 1;
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
        if !reserved.fits(self.capacity) {
            return Err(Refusal::NoRoom);
        }
        if self.mode == Mode::FailsEverything {
            return Err(Refusal::Failed);
        }
        self.record.max_reserved = self.record.max_reserved.larger(reserved);
        self.spawn(start, lease_ms, now_ms);
        Ok(())
    }

    fn spawn(&mut self, start: &Start, lease_ms: u64, now_ms: u64) {
        let mut program = Program::new(&start.command);
        match self.mode {
            Mode::FailsTasks => program = Program { run_ms: Some(0), fails: true, ..program },
            Mode::UsageTenfold => program.usage_percent = 1_000,
            _ => {}
        }
        let saved_ms = self.saved_ms.get(&start.task).copied().unwrap_or(0);
        let task = Task {
            run: self.record.runs.len(),
            id: start.task.clone(),
            reserved: start.reserved,
            program,
            started_at_ms: now_ms,
            ends_at_ms: program.run_ms.map(|run_ms| now_ms + run_ms.saturating_sub(saved_ms)),
            lease_ends_at_ms: start.token_ms + lease_ms,
            is_throttled: false,
        };
        self.record.runs.push(Run {
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
        self.record.runs[task.run].ended = Some((now_ms, end));
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

    /// Current report, or one from `lag_ms` ago under `LateReports`.
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

/// How the program ends when it is not stopped.
fn natural_end(program: &Program) -> End {
    if program.fails {
        return End::Failed;
    }
    End::Finished
}
