//! Life cycles of tasks and workers: the charts, compiled once into tables.

use std::sync::OnceLock;

use crate::charts::{self, Chart};

macro_rules! names {
    ($(#[$meta:meta])* $name:ident { $($(#[$item_meta:meta])* $item:ident = $text:literal,)+ }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum $name { $($(#[$item_meta])* $item,)+ }

        impl $name {
            /// All of them.
            pub const ALL: &'static [Self] = &[$(Self::$item,)+];

            /// The name in the chart.
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$item => $text,)+ }
            }
        }
    };
}

names! {
    /// State of a task.
    TaskState {
        /// It holds nothing and waits for a worker.
        Waiting = "waiting",
        /// A start was sent.
        Starting = "starting",
        /// It may run, or may have ended; its resources stay reserved.
        Unsure = "unsure",
        /// It runs.
        Running = "running",
        /// A stop was sent.
        Stopping = "stopping",
        /// It ended with success.
        Finished = "finished",
        /// It was given up.
        Failed = "failed",
        /// It was cancelled.
        Cancelled = "cancelled",
    }
}

names! {
    /// What happens to a task.
    TaskEvent {
        /// Resources were reserved and a start is sent.
        Reserve = "reserve",
        /// It was found running after a takeover.
        Adopt = "adopt",
        /// The worker began it.
        Confirm = "confirm",
        /// The worker did not begin it.
        Refuse = "refuse",
        /// An answer was lost, or the worker went silent.
        Lose = "lose",
        /// The worker does not run it.
        Absent = "absent",
        /// Its lease has certainly lapsed.
        Lapse = "lapse",
        /// A stop is sent.
        Stop = "stop",
        /// It ended with success.
        Finish = "finish",
        /// It ended with a failure.
        Fail = "fail",
        /// It is not tried again.
        GiveUp = "give_up",
        /// Its job was cancelled.
        Cancel = "cancel",
    }
}

names! {
    /// State of a worker as the placer sees it.
    WorkerState {
        /// Not read under this epoch; gets no tasks.
        Unread = "unread",
        /// Gets tasks.
        Ready = "ready",
        /// Failed too much of what it started; gets one task at a time.
        Probation = "probation",
        /// Does not answer; gets no tasks.
        Silent = "silent",
        /// Removed by the operators; gets no tasks.
        Leaving = "leaving",
        /// Forgotten.
        Gone = "gone",
    }
}

names! {
    /// What happens to a worker.
    WorkerEvent {
        /// It was read.
        Read = "read",
        /// It did not answer in time.
        Silence = "silence",
        /// It failed too much of what it started.
        Suspect = "suspect",
        /// A task went well on it.
        Clear = "clear",
        /// It was removed by the operators.
        Remove = "remove",
        /// It was declared anew.
        Declare = "declare",
        /// It runs nothing any more.
        Forget = "forget",
    }
}

impl TaskState {
    /// The state after `event`, if the chart allows it.
    ///
    /// ```
    /// use hemlockrock::place::life::{TaskEvent, TaskState};
    ///
    /// assert_eq!(TaskState::Waiting.after(TaskEvent::Reserve), Some(TaskState::Starting));
    /// assert_eq!(TaskState::Finished.after(TaskEvent::Reserve), None);
    /// ```
    pub fn after(self, event: TaskEvent) -> Option<Self> {
        static TABLE: OnceLock<Vec<Option<TaskState>>> = OnceLock::new();
        let table = TABLE.get_or_init(|| {
            let events: Vec<_> = TaskEvent::ALL.iter().map(|event| event.as_str()).collect();
            let states = Self::ALL.iter().map(|state| state.as_str());
            compile(&charts::builtin().task, states, &events, Self::ALL, Self::as_str)
        });
        table[self as usize * TaskEvent::ALL.len() + event as usize]
    }

    /// Whether resources are reserved for it on a worker.
    pub const fn is_placed(self) -> bool {
        matches!(self, Self::Starting | Self::Unsure | Self::Running | Self::Stopping)
    }

    /// Whether nothing more happens to it.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Finished | Self::Failed | Self::Cancelled)
    }
}

impl WorkerState {
    /// The state after `event`, if the chart allows it.
    pub fn after(self, event: WorkerEvent) -> Option<Self> {
        static TABLE: OnceLock<Vec<Option<WorkerState>>> = OnceLock::new();
        let table = TABLE.get_or_init(|| {
            let events: Vec<_> = WorkerEvent::ALL.iter().map(|event| event.as_str()).collect();
            let states = Self::ALL.iter().map(|state| state.as_str());
            compile(&charts::builtin().worker, states, &events, Self::ALL, Self::as_str)
        });
        table[self as usize * WorkerEvent::ALL.len() + event as usize]
    }

    /// Whether it may get tasks.
    pub const fn takes_tasks(self) -> bool {
        matches!(self, Self::Ready | Self::Probation)
    }
}

fn compile<'a, S: Copy>(
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
