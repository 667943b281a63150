//! Job specification: kind, priority, number of tasks and resources of each task.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Maximum number of tasks of one job.
pub const MAX_TASKS: u32 = 100_000;

/// Amounts of processor time, memory and accelerators: a capacity, a reservation or a usage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Creates resources from the three amounts, in the units of the fields.
    pub const fn new(cpu_millis: u64, memory_bytes: u64, accelerators: u32) -> Self {
        Self { cpu_millis, memory_bytes, accelerators }
    }

    /// Returns whether each amount is at most the one in `room`.
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

    /// Adds each amount, saturating at the largest value.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_bytes: self.memory_bytes.saturating_add(other.memory_bytes),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Subtracts each amount, saturating at 0.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_bytes: self.memory_bytes.saturating_sub(other.memory_bytes),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Multiplies each amount by `count`, saturating at the largest value.
    #[must_use]
    pub const fn times(self, count: u32) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_mul(count as u64),
            memory_bytes: self.memory_bytes.saturating_mul(count as u64),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Returns the larger value of each amount.
    #[must_use]
    pub fn larger(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_bytes: self.memory_bytes.max(other.memory_bytes),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the smaller value of each amount.
    #[must_use]
    pub fn smaller(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.min(other.cpu_millis),
            memory_bytes: self.memory_bytes.min(other.memory_bytes),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Returns the largest part that the amounts are of those of `whole`, in millionths: the dominant
    /// share.
    ///
    /// ```
    /// use hemlockrock::place::spec::Resources;
    ///
    /// let used = Resources::new(1_000, 3 << 30, 0);
    /// assert_eq!(used.dominant_millionths(Resources::new(4_000, 4 << 30, 0)), 750_000);
    /// ```
    pub fn dominant_millionths(self, whole: Self) -> u64 {
        let part = |used: u64, whole: u64| {
            let part = u128::from(used) * 1_000_000 / u128::from(whole.max(1));
            u64::try_from(part).unwrap_or(u64::MAX)
        };
        part(self.cpu_millis, whole.cpu_millis)
            .max(part(self.memory_bytes, whole.memory_bytes))
            .max(part(u64::from(self.accelerators), u64::from(whole.accelerators)))
    }

    /// Returns whether all amounts are 0.
    pub const fn is_zero(self) -> bool {
        self.cpu_millis == 0 && self.memory_bytes == 0 && self.accelerators == 0
    }
}

/// How the tasks of a job are started and restarted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobKind {
    /// Replicas that are restarted whenever they end.
    Service,
    /// Independent tasks that each run to completion once.
    #[default]
    Batch,
    /// Tasks that are placed all together or not at all.
    Gang,
}

/// Priority of a job; jobs of a higher priority are placed first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Placed after all other work.
    Low,
    /// Default priority.
    #[default]
    Normal,
    /// Placed before work of normal priority.
    High,
    /// Placed first, and may preempt stoppable work of lower priority.
    Urgent,
}

impl Priority {
    /// All priorities in ascending order.
    pub const ALL: [Self; 4] = [Self::Low, Self::Normal, Self::High, Self::Urgent];
}

/// Job specification as submitted by a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct JobSpec {
    /// Display name, not necessarily unique. Run times and peak usage are learned by team and name;
    /// nothing is learned for an empty name.
    pub name: String,
    /// Team whose quota is charged.
    pub team: String,
    /// How the tasks are started and restarted.
    pub kind: JobKind,
    /// Number of tasks, or of replicas of a service.
    pub tasks: u32,
    /// Processor time of each task, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory of each task, in bytes.
    pub memory_bytes: u64,
    /// Number of accelerators of each task.
    pub accelerators: u32,
    /// Placement priority.
    pub priority: Priority,
    /// Whether tasks may be stopped for urgent work and to drain workers; they are placed again
    /// later.
    #[serde(rename = "stoppable")]
    pub is_stoppable: bool,
    /// Labels that a worker must have, with these values.
    pub constraints: BTreeMap<String, String>,
    /// Labels of the job, matched by placement rules.
    pub labels: BTreeMap<String, String>,
    /// Declared run time of a task, in milliseconds; 0 if unknown.
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
    /// Creates a batch job with `tasks` tasks for `team`.
    pub fn new(team: impl Into<String>, tasks: u32) -> Self {
        Self { team: team.into(), tasks, ..Self::default() }
    }

    /// Sets the job kind.
    #[must_use]
    pub fn with_kind(mut self, kind: JobKind) -> Self {
        self.kind = kind;
        self
    }

    /// Sets the resources of each task.
    #[must_use]
    pub fn with_resources(mut self, resources: Resources) -> Self {
        self.cpu_millis = resources.cpu_millis;
        self.memory_bytes = resources.memory_bytes;
        self.accelerators = resources.accelerators;
        self
    }

    /// Sets the priority.
    #[must_use]
    pub fn with_priority(mut self, priority: Priority) -> Self {
        self.priority = priority;
        self
    }

    /// Allows the tasks to be stopped for urgent work.
    #[must_use]
    pub fn with_stoppable(mut self) -> Self {
        self.is_stoppable = true;
        self
    }

    /// Sets the declared run time of a task, in milliseconds.
    #[must_use]
    pub fn with_expected_ms(mut self, expected_ms: u64) -> Self {
        self.expected_ms = expected_ms;
        self
    }

    /// Returns the declared resources of each task.
    pub const fn resources(&self) -> Resources {
        Resources::new(self.cpu_millis, self.memory_bytes, self.accelerators)
    }

    /// Returns the first error of the specification that no inventory could make valid, or `None`.
    ///
    /// ```
    /// use hemlockrock::place::spec::JobSpec;
    ///
    /// assert_eq!(JobSpec::new("range", 3).validation_error(), None);
    /// assert!(JobSpec::new("range", 0).validation_error().is_some());
    /// ```
    pub fn validation_error(&self) -> Option<&'static str> {
        if self.team.is_empty() {
            return Some("team is empty");
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Some("tasks is not between 1 and 100000");
        }
        if self.resources().is_zero() {
            return Some("cpu_millis, memory_bytes and accelerators are all 0");
        }
        None
    }
}
