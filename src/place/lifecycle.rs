//! State machines of tasks and workers.
//!
//! The transitions are defined in `src/charts/task.yaml` and `src/charts/worker.yaml` and
//! compiled once into lookup tables.

use std::sync::OnceLock;

use crate::charts::{self, Chart};

/// Defines an enum with the name of each variant in the state chart.
macro_rules! names {
    ($(#[$meta:meta])* $name:ident { $($(#[$item_meta:meta])* $item:ident = $text:literal,)+ }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum $name { $($(#[$item_meta])* $item,)+ }

        impl $name {
            /// All variants, in declaration order.
            pub const ALL: &'static [Self] = &[$(Self::$item,)+];

            /// Returns the name used in the state chart.
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$item => $text,)+ }
            }
        }
    };
}

names! {
    /// Lifecycle state of a task.
    TaskState {
        /// Has no reservation and waits for a worker.
        Waiting = "waiting",
        /// A start was sent and not yet answered.
        Starting = "starting",
        /// It is unknown whether the task runs; its resources stay reserved.
        Unsure = "unsure",
        /// The worker runs the task.
        Running = "running",
        /// A stop was sent; the resources stay reserved until the worker confirms it.
        Stopping = "stopping",
        /// The task succeeded.
        Finished = "finished",
        /// The job was given up after repeated failures.
        Failed = "failed",
        /// The job was cancelled, or the replica is no longer wanted.
        Cancelled = "cancelled",
    }
}

names! {
    /// Event that moves a task to another state.
    TaskEvent {
        /// Resources were reserved and a start is sent.
        Reserve = "reserve",
        /// The task was found running after a takeover.
        Adopt = "adopt",
        /// The worker started the task.
        Confirm = "confirm",
        /// The worker refused the start.
        Refuse = "refuse",
        /// A response was lost, or the worker went silent.
        Lose = "lose",
        /// The worker does not run the task.
        Absent = "absent",
        /// The lease has lapsed for certain.
        Lapse = "lapse",
        /// A stop is sent.
        Stop = "stop",
        /// The task succeeded.
        Finish = "finish",
        /// The task failed, or a service replica ended.
        Fail = "fail",
        /// The job failed too often and is not tried again.
        GiveUp = "give_up",
        /// The job was cancelled, or the replica is no longer wanted.
        Cancel = "cancel",
    }
}

names! {
    /// State of a worker as known to the placer.
    WorkerState {
        /// Not yet read under the current epoch; gets no tasks.
        Unread = "unread",
        /// Read and healthy; gets tasks.
        Ready = "ready",
        /// Several jobs failed on the worker; gets one task at a time.
        Probation = "probation",
        /// Did not answer in time; gets no tasks until it is read again.
        Silent = "silent",
        /// Removed from the declarations; gets no tasks.
        Leaving = "leaving",
        /// Removed, and runs nothing any more.
        Gone = "gone",
    }
}

names! {
    /// Event that moves a worker to another state.
    WorkerEvent {
        /// A report answered a read.
        Read = "read",
        /// The worker did not answer in time.
        Silence = "silence",
        /// Several jobs failed on the worker.
        Suspect = "suspect",
        /// A task succeeded, or ran long enough, on the worker.
        Clear = "clear",
        /// The worker was removed from the declarations.
        Remove = "remove",
        /// The worker was declared again after its removal.
        Declare = "declare",
        /// The removed worker runs nothing any more.
        Forget = "forget",
    }
}

impl TaskState {
    /// Returns the state after `event`, or `None` if the chart does not allow the transition.
    ///
    /// ```
    /// use hemlockrock::place::lifecycle::{TaskEvent, TaskState};
    ///
    /// assert_eq!(TaskState::Waiting.after(TaskEvent::Reserve), Some(TaskState::Starting));
    /// assert_eq!(TaskState::Finished.after(TaskEvent::Reserve), None);
    /// ```
    pub fn after(self, event: TaskEvent) -> Option<Self> {
        static TABLE: OnceLock<Vec<Option<TaskState>>> = OnceLock::new();
        let table = TABLE.get_or_init(|| {
            let events: Vec<_> = TaskEvent::ALL.iter().map(|event| event.as_str()).collect();
            let states = Self::ALL.iter().map(|state| state.as_str());
            build_table(&charts::builtin().task, states, &events, Self::ALL, Self::as_str)
        });
        table[self as usize * TaskEvent::ALL.len() + event as usize]
    }

    /// Returns whether the task has a reservation on a worker.
    pub const fn is_placed(self) -> bool {
        matches!(self, Self::Starting | Self::Unsure | Self::Running | Self::Stopping)
    }

    /// Returns whether the state has no transitions.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Finished | Self::Failed | Self::Cancelled)
    }
}

impl WorkerState {
    /// Returns the state after `event`, or `None` if the chart does not allow the transition.
    pub fn after(self, event: WorkerEvent) -> Option<Self> {
        static TABLE: OnceLock<Vec<Option<WorkerState>>> = OnceLock::new();
        let table = TABLE.get_or_init(|| {
            let events: Vec<_> = WorkerEvent::ALL.iter().map(|event| event.as_str()).collect();
            let states = Self::ALL.iter().map(|state| state.as_str());
            build_table(&charts::builtin().worker, states, &events, Self::ALL, Self::as_str)
        });
        table[self as usize * WorkerEvent::ALL.len() + event as usize]
    }

    /// Returns whether a worker in this state may get tasks.
    pub const fn takes_tasks(self) -> bool {
        matches!(self, Self::Ready | Self::Probation)
    }
}

/// Builds the transition table of a chart: one entry for each state and event, states first.
fn build_table<'a, S: Copy>(
    chart: &Chart,
    states: impl Iterator<Item = &'a str>,
    events: &[&'a str],
    all: &[S],
    name: fn(S) -> &'static str,
) -> Vec<Option<S>> {
    let named = |text: &str| all.iter().copied().find(|state| name(*state) == text);
    let next = |state: &str, event: &str| chart.step(state, event).ok().and_then(named);
    states
        .flat_map(|state| events.iter().map(move |event| (state, event)))
        .map(|(state, event)| next(state, event))
        .collect()
}
