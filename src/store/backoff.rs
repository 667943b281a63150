//! Pauses after failures: they double up to a limit and are spread at random.

use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

/// Pauses after failures in a row.
#[derive(Clone, Debug)]
pub struct Backoff {
    min_ms: u64,
    max_ms: u64,
    failures: u32,
    random: SmallRng,
}

impl Backoff {
    /// Pauses from `min_ms` to `max_ms`, spread by `seed`.
    pub fn new(min_ms: u64, max_ms: u64, seed: u64) -> Self {
        let random = SmallRng::seed_from_u64(seed);
        Self { min_ms: min_ms.max(1), max_ms: max_ms.max(min_ms).max(1), failures: 0, random }
    }

    /// The pause after one more failure: between half of the step and the whole, in milliseconds.
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
        self.spread_ms(step_ms)
    }

    /// A time between half of `step_ms` and the whole.
    pub fn spread_ms(&mut self, step_ms: u64) -> u64 {
        let half_ms = step_ms / 2;
        half_ms + self.random.random_range(0..=step_ms - half_ms)
    }

    /// Begins anew after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
