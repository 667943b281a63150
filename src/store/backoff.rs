//! Exponential backoff with random jitter.

use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

/// Pauses after consecutive failures; each pause doubles, up to a limit.
#[derive(Clone, Debug)]
pub struct Backoff {
    min_ms: u64,
    max_ms: u64,
    failures: u32,
    random: SmallRng,
}

impl Backoff {
    /// Backoff whose steps grow from `min_ms` to `max_ms`; `seed` seeds the jitter.
    pub fn new(min_ms: u64, max_ms: u64, seed: u64) -> Self {
        let random = SmallRng::seed_from_u64(seed);
        Self { min_ms: min_ms.max(1), max_ms: max_ms.max(min_ms).max(1), failures: 0, random }
    }

    /// Counts one more failure and returns the pause after it, in milliseconds: a random time
    /// between half of the current step and the whole step.
    ///
    /// ```
    /// use hemlockrock::store::backoff;
    ///
    /// let mut backoff = backoff::Backoff::new(100, 1_000, 7);
    /// assert!((50..=100).contains(&backoff.next_ms()));
    /// assert!((100..=200).contains(&backoff.next_ms()));
    /// backoff.reset();
    /// assert!((50..=100).contains(&backoff.next_ms()));
    /// ```
    pub fn next_ms(&mut self) -> u64 {
        const LARGEST_SHIFT: u32 = 20;
        let shift = self.failures.min(LARGEST_SHIFT);
        let step_ms = self.min_ms.saturating_mul(1 << shift).min(self.max_ms);
        self.failures = self.failures.saturating_add(1);
        self.jittered_ms(step_ms)
    }

    /// A random time between half of `step_ms` and `step_ms`.
    pub fn jittered_ms(&mut self, step_ms: u64) -> u64 {
        let half_ms = step_ms / 2;
        half_ms + self.random.random_range(0..=step_ms - half_ms)
    }

    /// Resets the failure count after a success, so that the next pause is the shortest.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
