//! Finds ready tasks that wait too long although a runner has room for them.

use std::collections::{BTreeMap, BTreeSet};

use hemlockrock::queue::model::{JobId, StepId, TaskId};

use super::store::Key;
use super::trace::Subject;
use super::world::World;

/// Time between two looks at the waiting tasks, in milliseconds.
const SAMPLE_MS: u64 = 250;

/// Time after the last run of a task, or since it became ready, for which it may wait in any case,
/// in milliseconds.
const PATIENCE_MS: u64 = 6_000;

/// Time for which a task may wait after that while a runner has room for it, in milliseconds.
const ROOM_MS: u64 = 3_000;

/// Time without faults before a violation, in milliseconds: `ROOM_MS` and the 4 s before.
const CALM_MS: u64 = ROOM_MS + 4_000;

/// Tasks that wait, and the last fault.
#[derive(Debug, Default)]
pub(super) struct Lateness {
    next_sample_ms: u64,
    /// Latest time at which a fault has begun, is active or has ended.
    disturbed_until_ms: u64,
    waiting: BTreeMap<TaskId, Waiting>,
}

/// A ready task without a run.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    since_ms: u64,
    /// Time since when some runner has had room for it; `None` if none has now.
    room_since_ms: Option<u64>,
    is_reported: bool,
}

impl Lateness {
    /// Records that a run of a task begins.
    pub(super) fn start(&mut self, task: TaskId) {
        self.waiting.remove(&task);
    }
}

impl Waiting {
    fn is_late(&self, now_ms: u64) -> bool {
        let has_had_room = self.room_since_ms.is_some_and(|since| now_ms >= since + ROOM_MS);
        has_had_room && now_ms >= self.since_ms + PATIENCE_MS + ROOM_MS
    }
}

impl World {
    /// Records a fault that begins now and ends after `fault_ms`.
    pub(super) fn disturb_for(&mut self, fault_ms: u64) {
        let until_ms = self.now_ms + fault_ms;
        self.lateness.disturbed_until_ms = self.lateness.disturbed_until_ms.max(until_ms);
    }

    /// Looks at the waiting tasks at all sampling times up to `until_ms`, before anything else
    /// happens then.
    pub(super) fn sample_waiting_tasks(&mut self, until_ms: u64) {
        while self.lateness.next_sample_ms <= until_ms {
            self.now_ms = self.now_ms.max(self.lateness.next_sample_ms);
            self.lateness.next_sample_ms = self.now_ms + SAMPLE_MS;
            self.find_late_tasks();
        }
    }

    fn find_late_tasks(&mut self) {
        let now_ms = self.now_ms;
        let ready = self.ready_tasks();
        self.lateness.waiting.retain(|task, _| ready.contains(task));
        let is_calm = now_ms >= self.lateness.disturbed_until_ms + CALM_MS;
        for task in ready {
            let place = self.runner_with_room(task);
            let new = Waiting { since_ms: now_ms, room_since_ms: None, is_reported: false };
            let waiting = self.lateness.waiting.entry(task).or_insert(new);
            waiting.room_since_ms = place.map(|_| waiting.room_since_ms.unwrap_or(now_ms));
            let (Some(runner), true, false) = (place, is_calm, waiting.is_reported) else {
                continue;
            };
            if waiting.is_late(now_ms) {
                waiting.is_reported = true;
                let (since_ms, calm_ms) = (waiting.since_ms, self.lateness.disturbed_until_ms);
                let text = format!(
                    "waits since {since_ms} ms, r{runner} has room for it, the last fault was at \
                     {calm_ms} ms"
                );
                self.note(Subject::Task(task, runner), || format!("{task} {text}"));
                self.checks.late(task, now_ms, &text);
            }
        }
    }

    /// Tasks of accepted jobs that are due to run and have no run on any runner that is up.
    fn ready_tasks(&self) -> BTreeSet<TaskId> {
        let jobs = self.checks.jobs.keys().filter(|job| !self.checks.canceled.contains(job));
        let is_open =
            |job: &&JobId| !self.store.progress(**job).is_some_and(|known| known.state.is_final());
        jobs.copied().filter(|job| is_open(&job)).flat_map(|job| self.ready_tasks_of(job)).collect()
    }

    fn ready_tasks_of(&self, job: JobId) -> Vec<TaskId> {
        let steps = &self.checks.jobs[&job].steps;
        let tasks = |number: u32| {
            let step = StepId { job, occurrence: 0, step: number };
            (0..steps[number as usize].count).map(move |index| TaskId { step, index })
        };
        let mut ready = Vec::new();
        for (number, step) in (0_u32..).zip(steps) {
            let is_due = step.after.iter().all(|at| tasks(*at).all(|task| self.is_done(task)));
            if is_due {
                ready
                    .extend(tasks(number).filter(|task| !self.is_done(*task) && !self.runs(*task)));
            }
        }
        ready
    }

    /// Whether a done end of the task is stored, or kept by a runner that is up.
    fn is_done(&self, task: TaskId) -> bool {
        let place = (task.step.step, task.index);
        let stored = self.store.progress(task.step.job);
        let is_kept =
            || self.runners.iter().any(|runner| runner.is_up && runner.keeps_done_end(task));
        !self.checks.is_long_running(task)
            && (stored.is_some_and(|known| known.done.contains(&place)) || is_kept())
    }

    fn runs(&self, task: TaskId) -> bool {
        self.runners.iter().any(|runner| runner.is_up && runner.runs(task))
    }

    /// A runner that is up, not cut off and listed, and has room for the task.
    fn runner_with_room(&self, task: TaskId) -> Option<usize> {
        let cpu_millis = self.checks.cpu_millis(task);
        (0..self.runners.len()).find(|at| {
            let runner = &self.runners[*at];
            runner.is_up
                && self.now_ms >= runner.cut_until_ms
                && self.store.get(Key::Runner(*at)).is_some()
                && runner.has_room(cpu_millis)
        })
    }
}
