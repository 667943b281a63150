//! Rates and counts that fade with time.

/// A rate over the last moments.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rate {
    span_ms: f64,
    sum: f64,
    since_ms: Option<u64>,
    at_ms: u64,
}

impl Rate {
    /// A rate that looks back about `span_ms`.
    pub(super) fn new(span_ms: f64) -> Self {
        Self { span_ms, sum: 0.0, since_ms: None, at_ms: 0 }
    }

    /// Counts `amount` at `now_ms`.
    pub(super) fn add(&mut self, amount: f64, now_ms: u64) {
        self.sum = self.sum(now_ms) + amount;
        self.at_ms = self.at_ms.max(now_ms);
        self.since_ms.get_or_insert(now_ms);
    }

    /// What was counted, faded by its age.
    pub(super) fn sum(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        if age_ms == 0.0 {
            return self.sum;
        }
        self.sum * (-age_ms / self.span_ms).exp()
    }

    /// Amount for each millisecond.
    pub(super) fn per_ms(&self, now_ms: u64) -> f64 {
        let Some(since_ms) = self.since_ms else { return 0.0 };
        const MIN_SPAN_MS: f64 = 50.0;
        let age_ms = now_ms.saturating_sub(since_ms) as f64;
        let span_ms = self.span_ms * (1.0 - (-age_ms / self.span_ms).exp());
        self.sum(now_ms) / span_ms.max(MIN_SPAN_MS)
    }

    /// Forgets what was counted.
    pub(super) fn clear(&mut self) {
        self.sum = 0.0;
    }
}

/// Successes and failures over the last moments.
#[derive(Clone, Copy, Debug)]
pub(super) struct Tally {
    successes: Rate,
    failures: Rate,
}

impl Tally {
    /// No results; looks back about `span_ms`.
    pub(super) fn new(span_ms: f64) -> Self {
        Self { successes: Rate::new(span_ms), failures: Rate::new(span_ms) }
    }

    /// Counts one result.
    pub(super) fn add(&mut self, is_success: bool, now_ms: u64) {
        let rate = if is_success { &mut self.successes } else { &mut self.failures };
        rate.add(1.0, now_ms);
    }

    /// Results, faded by their age.
    pub(super) fn count(&self, now_ms: u64) -> f64 {
        self.successes.sum(now_ms) + self.failures.sum(now_ms)
    }

    /// Failures, faded by their age.
    pub(super) fn failures(&self, now_ms: u64) -> f64 {
        self.failures.sum(now_ms)
    }

    /// Forgets all results.
    pub(super) fn clear(&mut self) {
        self.successes.clear();
        self.failures.clear();
    }
}
