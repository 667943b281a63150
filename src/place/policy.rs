//! How good a worker is for a task.

use super::spec::Resources;

/// Weight of what is left out of balance between processor time and memory.
const IMBALANCE_WEIGHT: f32 = 2.0;

/// Cost of each place for a task of the largest size that is lost.
const LARGE_PLACE_COST: f32 = 0.1;

/// Cost of the first task on an empty worker, which a task of a whole worker may need.
const WHOLE_WORKER_COST: f32 = 0.1;

/// Cost of a worker whose accelerators the task does not ask for.
const UNASKED_ACCELERATORS_COST: f32 = 4.0;

/// Exponent of the load in the weight of what is left: tightness counts as room gets scarce.
const LOAD_EXPONENT: i32 = 8;

/// Placements after which sizes seen before them no longer count as recent.
const RECENT_PLACEMENTS: u32 = 4_096;

/// Ways to score a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scoring {
    /// Least room left, all kinds alike.
    BestFit,
    /// Room left in balance, places for large tasks kept, and least room left as it gets scarce.
    Balanced,
}

/// A task size with what its score depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shape {
    pub(crate) size: Resources,
    scoring: Scoring,
    /// Weight of what is left of each kind.
    weights: [f32; 3],
    /// Largest size asked for lately, as parts of `scale`.
    large: [f32; 3],
    /// Largest capacity of each kind.
    scale: Resources,
}

/// The zone as scores see it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Surroundings {
    /// Room of the workers that take tasks.
    pub(crate) room: Resources,
    /// Capacity of the workers that take tasks.
    pub(crate) capacity: Resources,
    /// Largest capacity of each kind.
    pub(crate) scale: Resources,
    /// Largest size of each kind asked for lately.
    pub(crate) largest: Resources,
}

impl Shape {
    /// The shape of a task of this size in its surroundings.
    pub(crate) fn new(size: Resources, scoring: Scoring, around: &Surroundings) -> Self {
        let scale = around.scale;
        let left = fractions(around.room, around.capacity);
        let weights = left.map(|left| (1.0 - left).powi(LOAD_EXPONENT));
        Self { size, scoring, weights, large: fractions(around.largest, scale), scale }
    }

    /// Score of a worker with this room; lower is better.
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
        let lost = self.large_places(before) - self.large_places(left);
        let is_opened = is_whole(before) && !is_whole(left);
        let is_unasked = self.size.accelerators == 0 && room.accelerators > 0;
        tightness
            + IMBALANCE_WEIGHT * imbalance
            + LARGE_PLACE_COST * lost
            + WHOLE_WORKER_COST * f32::from(u8::from(is_opened))
            + UNASKED_ACCELERATORS_COST * f32::from(u8::from(is_unasked))
    }

    /// Tasks of the largest size that fit, by processor time and memory.
    #[inline]
    fn large_places(&self, room: [f32; 3]) -> f32 {
        const ROUNDING: f32 = 1e-4;
        let places = |kind: usize| room[kind] / self.large[kind].max(ROUNDING) + ROUNDING;
        places(0).min(places(1)).floor()
    }
}

/// Whether this is the room of an empty worker of the largest size.
fn is_whole(room: [f32; 3]) -> bool {
    room[0] >= 1.0 && room[1] >= 1.0
}

/// The largest size of each kind among recent placements.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RecentSizes {
    now: Resources,
    before: Resources,
    count: u32,
}

impl RecentSizes {
    /// Takes in the size of a task.
    pub(crate) fn note(&mut self, size: Resources) {
        self.now = self.now.larger(size);
        self.count += 1;
        if self.count == RECENT_PLACEMENTS {
            *self = Self { before: self.now, ..Self::default() };
        }
    }

    /// The largest of each kind.
    pub(crate) fn largest(&self) -> Resources {
        self.now.larger(self.before)
    }
}

/// Parts of `whole`, from 0 to 1.
#[allow(clippy::cast_precision_loss, reason = "a score needs no more")]
#[inline]
fn fractions(part: Resources, whole: Resources) -> [f32; 3] {
    [
        part.cpu_millis as f32 / whole.cpu_millis.max(1) as f32,
        part.memory_bytes as f32 / whole.memory_bytes.max(1) as f32,
        part.accelerators as f32 / whole.accelerators.max(1) as f32,
    ]
}
