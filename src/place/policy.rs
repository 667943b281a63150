//! How good a worker is for a task.

use super::spec::Resources;

/// A task size with what its score depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shape {
    pub(crate) size: Resources,
    pub(crate) policy: Scoring,
    /// Share of each kind that is in use in the zone, from 0 to 1.
    pub(crate) load: [f32; 3],
    /// Largest capacity of each kind.
    pub(crate) scale: Resources,
}

/// Ways to score a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scoring {
    /// Least room left, all kinds alike.
    BestFit,
    /// Least room left in the kinds that are scarce, with the shape of the task kept to the
    /// shape of the room.
    Aligned,
}

impl Shape {
    /// The shape of a task of this size, with the load of the workers that take tasks.
    pub(crate) fn new(
        size: Resources,
        policy: Scoring,
        scale: Resources,
        room: Resources,
        capacity: Resources,
    ) -> Self {
        let left = fractions(room, capacity);
        let load = left.map(|left| 1.0 - left);
        Self { size, policy, load, scale }
    }

    /// Score of a worker with this room; lower is better.
    #[inline]
    pub(crate) fn score(&self, room: Resources, capacity: Resources) -> f32 {
        match self.policy {
            Scoring::BestFit => {
                let left = fractions(room.minus(self.size), capacity);
                left[0] + left[1] + left[2]
            }
            Scoring::Aligned => self.aligned(room, capacity),
        }
    }

    fn aligned(&self, room: Resources, capacity: Resources) -> f32 {
        let left = fractions(room.minus(self.size), self.scale);
        let weights = self.load;
        let sum: f32 = left.iter().zip(weights).map(|(left, weight)| left * weight).sum();
        // Accelerators that the task does not ask for are left to those that do.
        let unasked = f32::from(u8::from(self.size.accelerators == 0 && room.accelerators > 0));
        let _ = capacity;
        sum + unasked * 4.0
    }
}

/// Parts of `whole`, from 0 to 1.
#[allow(clippy::cast_precision_loss, reason = "a score needs no more")]
fn fractions(part: Resources, whole: Resources) -> [f32; 3] {
    [
        part.cpu_millis as f32 / whole.cpu_millis.max(1) as f32,
        part.memory_bytes as f32 / whole.memory_bytes.max(1) as f32,
        part.accelerators as f32 / whole.accelerators.max(1) as f32,
    ]
}
