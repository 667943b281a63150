//! Rate limit on the store calls of one client: token buckets that reserve tokens for urgent calls.

use crate::store::Priority;

/// Buckets count thousandths of a token, so that low rates refill every millisecond without
/// rounding.
const MILLITOKENS_PER_TOKEN: u64 = 1_000;

/// A token bucket. Callers pass the current time, in milliseconds of a monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenBucket {
    per_s: u64,
    burst_millitokens: u64,
    millitokens: u64,
    refilled_at_ms: u64,
}

impl TokenBucket {
    /// Creates a full bucket that holds `burst` tokens and refills at `per_s` tokens a second. Both
    /// are at least 1.
    ///
    /// ```
    /// use hemlockrock::store::budget;
    ///
    /// let mut bucket = budget::TokenBucket::new(10, 1, 0);
    /// assert!(bucket.try_take(0, 0));
    /// assert!(!bucket.try_take(99, 0));
    /// assert!(bucket.try_take(100, 0));
    /// ```
    pub fn new(per_s: u64, burst: u64, now_ms: u64) -> Self {
        let burst_millitokens = burst.max(1) * MILLITOKENS_PER_TOKEN;
        Self {
            per_s: per_s.max(1),
            burst_millitokens,
            millitokens: burst_millitokens,
            refilled_at_ms: now_ms,
        }
    }

    /// Takes one token if at least `reserve` tokens remain afterwards. A reserve as large as the
    /// bucket requires a full bucket.
    pub fn try_take(&mut self, now_ms: u64, reserve: u64) -> bool {
        self.refill(now_ms);
        let needed = (reserve.saturating_add(1))
            .saturating_mul(MILLITOKENS_PER_TOKEN)
            .min(self.burst_millitokens);
        if self.millitokens < needed {
            return false;
        }
        self.millitokens -= MILLITOKENS_PER_TOKEN;
        true
    }

    /// Time until [`Self::try_take`] with `reserve` can succeed, in milliseconds since the last refill.
    pub fn wait_ms(&self, reserve: u64) -> u64 {
        let needed = (reserve.saturating_add(1))
            .saturating_mul(MILLITOKENS_PER_TOKEN)
            .min(self.burst_millitokens);
        needed.saturating_sub(self.millitokens).div_ceil(self.per_s)
    }

    /// Capacity of the bucket, in tokens.
    pub fn burst(&self) -> u64 {
        self.burst_millitokens / MILLITOKENS_PER_TOKEN
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_at_ms);
        let gained = elapsed_ms.saturating_mul(self.per_s);
        self.millitokens = self.millitokens.saturating_add(gained).min(self.burst_millitokens);
        self.refilled_at_ms = self.refilled_at_ms.max(now_ms);
    }
}

/// Decision of a [`Budget`] on one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetDecision {
    /// A token was taken; the call may be sent.
    Granted,
    /// No token is available; ask again after this time, in milliseconds.
    RetryAfter(u64),
}

/// Rate limits on the store calls of one client, for writes and reads separately.
#[derive(Clone, Debug)]
pub struct Budget {
    writes: TokenBucket,
    reads: TokenBucket,
}

impl Budget {
    /// Creates a budget of calls a second. Each bucket holds two seconds' worth of calls.
    pub fn new(writes_per_s: u64, reads_per_s: u64, now_ms: u64) -> Self {
        const BURST_S: u64 = 2;
        Self {
            writes: TokenBucket::new(writes_per_s, writes_per_s * BURST_S, now_ms),
            reads: TokenBucket::new(reads_per_s, reads_per_s * BURST_S, now_ms),
        }
    }

    /// Takes a token for one call. Calls of lower priority leave part of the burst unused for
    /// calls of higher priority.
    ///
    /// ```
    /// use hemlockrock::store::budget::{Budget, BudgetDecision};
    /// use hemlockrock::store::Priority;
    ///
    /// let mut budget = Budget::new(2, 2, 0);
    /// assert_eq!(budget.try_take(true, Priority::Bulk, 0), BudgetDecision::Granted);
    /// assert_eq!(budget.try_take(true, Priority::Bulk, 0), BudgetDecision::Granted);
    /// assert!(matches!(budget.try_take(true, Priority::Bulk, 0), BudgetDecision::RetryAfter(_)));
    /// assert_eq!(budget.try_take(true, Priority::Control, 0), BudgetDecision::Granted);
    /// ```
    pub fn try_take(&mut self, is_write: bool, priority: Priority, now_ms: u64) -> BudgetDecision {
        let bucket = if is_write { &mut self.writes } else { &mut self.reads };
        let reserve = reserved_tokens(bucket.burst(), priority);
        if bucket.try_take(now_ms, reserve) {
            return BudgetDecision::Granted;
        }
        BudgetDecision::RetryAfter(bucket.wait_ms(reserve).max(1))
    }
}

/// Tokens that calls of a priority must leave in the bucket for more urgent calls.
fn reserved_tokens(burst: u64, priority: Priority) -> u64 {
    match priority {
        Priority::Control => 0,
        Priority::Interactive => burst / 4,
        Priority::Bulk => burst / 2,
    }
}
