//! Exponentially decaying rates and result counts.

/// Rate of events, as an exponentially decaying sum.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rate {
    window_ms: f64,
    sum: f64,
    first_at_ms: Option<u64>,
    updated_at_ms: u64,
}

impl Rate {
    /// A rate of 0; `window_ms` is the time constant of the decay.
    pub(super) fn new(window_ms: f64) -> Self {
        Self { window_ms, sum: 0.0, first_at_ms: None, updated_at_ms: 0 }
    }

    /// Adds `amount` at `now_ms`.
    pub(super) fn add(&mut self, amount: f64, now_ms: u64) {
        self.sum = self.decayed_sum(now_ms) + amount;
        self.updated_at_ms = self.updated_at_ms.max(now_ms);
        self.first_at_ms.get_or_insert(now_ms);
    }

    /// Sum of the added amounts, each decayed by its age.
    pub(super) fn decayed_sum(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_at_ms) as f64;
        if age_ms == 0.0 {
            return self.sum;
        }
        self.sum * (-age_ms / self.window_ms).exp()
    }

    /// Mean amount per millisecond, corrected for a window that is not full yet.
    pub(super) fn per_ms(&self, now_ms: u64) -> f64 {
        let Some(first_at_ms) = self.first_at_ms else { return 0.0 };
        const MIN_WINDOW_MS: f64 = 50.0;
        let age_ms = now_ms.saturating_sub(first_at_ms) as f64;
        let window_ms = self.window_ms * (1.0 - (-age_ms / self.window_ms).exp());
        self.decayed_sum(now_ms) / window_ms.max(MIN_WINDOW_MS)
    }

    /// Resets the sum to 0.
    pub(super) fn clear(&mut self) {
        self.sum = 0.0;
    }
}

/// Exponentially decaying counts of successes and failures.
#[derive(Clone, Copy, Debug)]
pub(super) struct ResultCounts {
    successes: Rate,
    failures: Rate,
}

impl ResultCounts {
    /// No results yet; `window_ms` is the time constant of the decay.
    pub(super) fn new(window_ms: f64) -> Self {
        Self { successes: Rate::new(window_ms), failures: Rate::new(window_ms) }
    }

    /// Adds one result.
    pub(super) fn add(&mut self, is_success: bool, now_ms: u64) {
        let rate = if is_success { &mut self.successes } else { &mut self.failures };
        rate.add(1.0, now_ms);
    }

    /// Number of results, each decayed by its age.
    pub(super) fn total(&self, now_ms: u64) -> f64 {
        self.successes.decayed_sum(now_ms) + self.failures.decayed_sum(now_ms)
    }

    /// Number of failures, each decayed by its age.
    pub(super) fn failures(&self, now_ms: u64) -> f64 {
        self.failures.decayed_sum(now_ms)
    }

    /// Resets both counts to 0.
    pub(super) fn clear(&mut self) {
        self.successes.clear();
        self.failures.clear();
    }
}
