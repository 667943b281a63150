//! Bounds retries to a part of the traffic.

/// Tokens for retries: each submission earns a part of one, each retry costs one.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBudget {
    millis: u64,
    earned_millis: u64,
    max_millis: u64,
}

/// Thousandths in a retry.
const MILLIS: u64 = 1_000;

impl RetryBudget {
    /// A full budget.
    pub(super) fn new(ratio_millis: u32, burst: u32) -> Self {
        let max_millis = u64::from(burst) * MILLIS;
        Self { millis: max_millis, earned_millis: u64::from(ratio_millis), max_millis }
    }

    /// Earns for one submission.
    pub(super) fn earn(&mut self) {
        self.millis = (self.millis + self.earned_millis).min(self.max_millis);
    }

    /// Takes one retry if there is one.
    pub(super) fn take(&mut self) -> bool {
        let is_left = self.millis >= MILLIS;
        if is_left {
            self.millis -= MILLIS;
        }
        is_left
    }
}
