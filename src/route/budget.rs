//! Retry budget: limits retries to a fraction of the submitted requests.

/// Token bucket for retries: each submission adds a fraction of a token, each retry takes one.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBudget {
    tokens_millis: u64,
    millis_per_request: u64,
    max_millis: u64,
}

/// Cost of one retry, in thousandths of a token.
const MILLIS_PER_RETRY: u64 = 1_000;

impl RetryBudget {
    /// A full budget of `burst` retries; each submission adds `ratio_millis` thousandths of one.
    pub(super) fn new(ratio_millis: u32, burst: u32) -> Self {
        let max_millis = u64::from(burst) * MILLIS_PER_RETRY;
        Self { tokens_millis: max_millis, millis_per_request: u64::from(ratio_millis), max_millis }
    }

    /// Adds the fraction of a token for one submission, up to the burst.
    pub(super) fn deposit(&mut self) {
        self.tokens_millis = (self.tokens_millis + self.millis_per_request).min(self.max_millis);
    }

    /// Takes the token for one retry; false if the budget is used up.
    pub(super) fn try_withdraw(&mut self) -> bool {
        let has_token = self.tokens_millis >= MILLIS_PER_RETRY;
        if has_token {
            self.tokens_millis -= MILLIS_PER_RETRY;
        }
        has_token
    }
}
