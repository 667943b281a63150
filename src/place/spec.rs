//! What a caller asks for: a job, its tasks and the means that each task needs.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Most tasks that one job may have.
pub const MAX_TASKS: u32 = 100_000;

/// Means of a worker, or the part of them that a task needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// Accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Resources of the three kinds.
    pub const fn new(cpu_millis: u64, memory_bytes: u64, accelerators: u32) -> Self {
        Self { cpu_millis, memory_bytes, accelerators }
    }

    /// Whether each kind fits into `room`.
    ///
    /// ```
    /// use hemlockrock::place::spec::Resources;
    ///
    /// let room = Resources::new(4_000, 8 << 30, 0);
    /// assert!(Resources::new(500, 1 << 30, 0).fits(room));
    /// assert!(!Resources::new(500, 1 << 30, 1).fits(room));
    /// ```
    #[inline]
    pub const fn fits(self, room: Self) -> bool {
        self.cpu_millis <= room.cpu_millis
            && self.memory_bytes <= room.memory_bytes
            && self.accelerators <= room.accelerators
    }

    /// The sum of each kind.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_bytes: self.memory_bytes.saturating_add(other.memory_bytes),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The difference of each kind, at least 0.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_bytes: self.memory_bytes.saturating_sub(other.memory_bytes),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Each kind `count` times.
    #[must_use]
    pub const fn times(self, count: u32) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_mul(count as u64),
            memory_bytes: self.memory_bytes.saturating_mul(count as u64),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// The larger of each kind.
    #[must_use]
    pub fn larger(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_bytes: self.memory_bytes.max(other.memory_bytes),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// The smaller of each kind.
    #[must_use]
    pub fn smaller(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.min(other.cpu_millis),
            memory_bytes: self.memory_bytes.min(other.memory_bytes),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Whether nothing is asked for.
    pub const fn is_zero(self) -> bool {
        self.cpu_millis == 0 && self.memory_bytes == 0 && self.accelerators == 0
    }
}

/// How the tasks of a job belong together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobKind {
    /// Replicas that are kept running.
    Service,
    /// Independent tasks that each run once to their end.
    #[default]
    Batch,
    /// Tasks that all start or none.
    Gang,
}

/// Which work goes before other work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Runs on what the others leave.
    Low,
    /// The usual.
    #[default]
    Normal,
    /// Before the usual.
    High,
    /// First of all, and may take the place of stoppable work.
    Urgent,
}

impl Priority {
    /// All priorities, the lowest first.
    pub const ALL: [Self; 4] = [Self::Low, Self::Normal, Self::High, Self::Urgent];
}

/// A job as its caller sends it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct JobSpec {
    /// Name for people; need not be unique.
    pub name: String,
    /// Team whose quota it counts against.
    pub team: String,
    /// How its tasks belong together.
    pub kind: JobKind,
    /// Tasks, or replicas of a service.
    pub tasks: u32,
    /// Processor time of each task, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory of each task, in bytes.
    pub memory_bytes: u64,
    /// Accelerators of each task.
    pub accelerators: u32,
    /// Which work it goes before.
    pub priority: Priority,
    /// Whether its tasks may be stopped for more urgent work; they start anew later.
    #[serde(rename = "stoppable")]
    pub is_stoppable: bool,
    /// Labels that a worker must have.
    pub constraints: BTreeMap<String, String>,
    /// Labels of the job, which rules refer to.
    pub labels: BTreeMap<String, String>,
    /// Declared run time of a task, in milliseconds; 0 when not known.
    pub expected_ms: u64,
}

impl Default for JobSpec {
    fn default() -> Self {
        Self {
            name: String::new(),
            team: String::new(),
            kind: JobKind::Batch,
            tasks: 1,
            cpu_millis: 1_000,
            memory_bytes: 1 << 30,
            accelerators: 0,
            priority: Priority::Normal,
            is_stoppable: false,
            constraints: BTreeMap::new(),
            labels: BTreeMap::new(),
            expected_ms: 0,
        }
    }
}

impl JobSpec {
    /// A batch job of `tasks` tasks for `team`.
    pub fn new(team: impl Into<String>, tasks: u32) -> Self {
        Self { team: team.into(), tasks, ..Self::default() }
    }

    /// The same job of another kind.
    #[must_use]
    pub fn with_kind(mut self, kind: JobKind) -> Self {
        self.kind = kind;
        self
    }

    /// The same job with other needs of each task.
    #[must_use]
    pub fn with_resources(mut self, resources: Resources) -> Self {
        self.cpu_millis = resources.cpu_millis;
        self.memory_bytes = resources.memory_bytes;
        self.accelerators = resources.accelerators;
        self
    }

    /// The same job with another priority.
    #[must_use]
    pub fn with_priority(mut self, priority: Priority) -> Self {
        self.priority = priority;
        self
    }

    /// The same job, with tasks that may be stopped for more urgent work.
    #[must_use]
    pub fn with_stoppable(mut self) -> Self {
        self.is_stoppable = true;
        self
    }

    /// The same job with a declared run time, in milliseconds.
    #[must_use]
    pub fn with_expected_ms(mut self, expected_ms: u64) -> Self {
        self.expected_ms = expected_ms;
        self
    }

    /// What each task needs.
    pub const fn resources(&self) -> Resources {
        Resources::new(self.cpu_millis, self.memory_bytes, self.accelerators)
    }

    /// What is wrong with the job whatever the inventory, if anything.
    ///
    /// ```
    /// use hemlockrock::place::spec::JobSpec;
    ///
    /// assert_eq!(JobSpec::new("range", 3).fault(), None);
    /// assert!(JobSpec::new("range", 0).fault().is_some());
    /// ```
    pub fn fault(&self) -> Option<&'static str> {
        if self.team.is_empty() {
            return Some("the team is missing");
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Some("expected between 1 and 100000 tasks");
        }
        if self.resources().is_zero() {
            return Some("a task must need some resource");
        }
        None
    }
}
