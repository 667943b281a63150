//! Scores the free resources of workers for a task.

use super::spec::Resources;

/// Weight of the imbalance between the processor time and the memory that are left.
const IMBALANCE_WEIGHT: f32 = 2.0;

/// Cost of each lost slot for a task of the largest recent size.
const LOST_LARGE_SLOT_COST: f32 = 0.1;

/// Cost of using an empty worker of the largest size, which a task of that size may need.
const WHOLE_WORKER_COST: f32 = 0.1;

/// Cost of using a worker with free accelerators for a task that needs none.
const UNNEEDED_ACCELERATORS_COST: f32 = 4.0;

/// Exponent of the load in the weights of the resources left: a tight fit counts more as resources
/// get scarce.
const LOAD_EXPONENT: i32 = 8;

/// Number of placements after which the window of recent sizes advances; a size counts as recent
/// for one to two windows.
const RECENT_WINDOW: u32 = 4_096;

/// Scoring method.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scoring {
    /// Prefers the least room left, all resources weighted alike.
    BestFit,
    /// Prefers balanced room, keeps slots for large tasks, and prefers a tight fit as resources get
    /// scarce.
    Balanced,
}

/// A task size with the precomputed inputs of the score.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TaskShape {
    pub(crate) size: Resources,
    scoring: Scoring,
    /// Weight of what is left of each resource.
    weights: [f32; 3],
    /// Largest recent size of each resource, as fractions of `scale`.
    large: [f32; 3],
    /// Largest capacity of each resource over all workers.
    scale: Resources,
}

/// Totals of the zone that scores depend on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneTotals {
    /// Sum of the room of the workers that take tasks.
    pub(crate) room: Resources,
    /// Sum of the capacities of the workers that take tasks.
    pub(crate) capacity: Resources,
    /// Largest capacity of each resource over all workers.
    pub(crate) scale: Resources,
    /// Largest size of each resource among recent placements.
    pub(crate) largest: Resources,
}

impl TaskShape {
    /// Precomputes the score inputs of a task size.
    pub(crate) fn new(size: Resources, scoring: Scoring, totals: &ZoneTotals) -> Self {
        let scale = totals.scale;
        let left = fractions(totals.room, totals.capacity);
        let weights = left.map(|left| (1.0 - left).powi(LOAD_EXPONENT));
        Self { size, scoring, weights, large: fractions(totals.largest, scale), scale }
    }

    /// Returns the score of a worker with this room and capacity; lower is better.
    #[inline]
    pub(crate) fn score(&self, room: Resources, capacity: Resources) -> f32 {
        match self.scoring {
            Scoring::BestFit => fractions(room.minus(self.size), capacity).iter().sum(),
            Scoring::Balanced => self.balanced(room),
        }
    }

    #[inline]
    fn balanced(&self, room: Resources) -> f32 {
        let before = fractions(room, self.scale);
        let left = fractions(room.minus(self.size), self.scale);
        let tightness: f32 =
            left.iter().zip(self.weights).map(|(left, weight)| left * weight).sum();
        let imbalance = (left[0] - left[1]).abs();
        let lost = self.large_slots(before) - self.large_slots(left);
        let is_opened = is_empty_largest(before) && !is_empty_largest(left);
        let is_unneeded = self.size.accelerators == 0 && room.accelerators > 0;
        tightness
            + IMBALANCE_WEIGHT * imbalance
            + LOST_LARGE_SLOT_COST * lost
            + WHOLE_WORKER_COST * f32::from(u8::from(is_opened))
            + UNNEEDED_ACCELERATORS_COST * f32::from(u8::from(is_unneeded))
    }

    /// Number of tasks of the largest recent size that fit, by processor time and memory.
    #[inline]
    fn large_slots(&self, room: [f32; 3]) -> f32 {
        const ROUNDING: f32 = 1e-4;
        let slots = |kind: usize| room[kind] / self.large[kind].max(ROUNDING) + ROUNDING;
        slots(0).min(slots(1)).floor()
    }
}

/// Returns whether this is the room of an empty worker of the largest size.
fn is_empty_largest(room: [f32; 3]) -> bool {
    room[0] >= 1.0 && room[1] >= 1.0
}

/// The largest size of each resource among recent placements, in two windows.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RecentSizes {
    /// Largest sizes in the current window.
    now: Resources,
    /// Largest sizes in the previous window.
    before: Resources,
    /// Placements in the current window.
    count: u32,
}

impl RecentSizes {
    /// Adds the size of a placed task.
    pub(crate) fn add(&mut self, size: Resources) {
        self.now = self.now.larger(size);
        self.count += 1;
        if self.count == RECENT_WINDOW {
            *self = Self { before: self.now, ..Self::default() };
        }
    }

    /// Returns the largest size of each resource.
    pub(crate) fn largest(&self) -> Resources {
        self.now.larger(self.before)
    }
}

/// Returns each amount of `part` as a fraction of the one in `whole`.
#[allow(clippy::cast_precision_loss, reason = "a score tolerates rounding")]
#[inline]
fn fractions(part: Resources, whole: Resources) -> [f32; 3] {
    [
        part.cpu_millis as f32 / whole.cpu_millis.max(1) as f32,
        part.memory_bytes as f32 / whole.memory_bytes.max(1) as f32,
        part.accelerators as f32 / whole.accelerators.max(1) as f32,
    ]
}
