//! The budget of store calls of one process: token buckets with a reserve for urgent calls.

use crate::store::Priority;

/// Thousandths of a token, so that slow rates refill without rounding.
const MILLI: u64 = 1_000;

/// A token bucket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenBucket {
    per_s: u64,
    burst_milli: u64,
    milli: u64,
    at_ms: u64,
}

impl TokenBucket {
    /// A full bucket that holds `burst` tokens and gains `per_s` a second.
    ///
    /// ```
    /// use hemlockrock::store::budget;
    ///
    /// let mut bucket = budget::TokenBucket::new(10, 1, 0);
    /// assert!(bucket.take(0, 0));
    /// assert!(!bucket.take(99, 0));
    /// assert!(bucket.take(100, 0));
    /// ```
    pub fn new(per_s: u64, burst: u64, now_ms: u64) -> Self {
        let burst_milli = burst.max(1) * MILLI;
        Self { per_s: per_s.max(1), burst_milli, milli: burst_milli, at_ms: now_ms }
    }

    /// Takes one token if more than `reserve` remain afterwards or exactly that many.
    pub fn take(&mut self, now_ms: u64, reserve: u64) -> bool {
        self.refill(now_ms);
        let needed = (reserve.saturating_add(1)).saturating_mul(MILLI).min(self.burst_milli);
        if self.milli < needed {
            return false;
        }
        self.milli -= MILLI;
        true
    }

    /// Time until a token can be taken with `reserve` left, in milliseconds.
    pub fn wait_ms(&self, reserve: u64) -> u64 {
        let needed = (reserve.saturating_add(1)).saturating_mul(MILLI).min(self.burst_milli);
        needed.saturating_sub(self.milli).div_ceil(self.per_s)
    }

    /// Tokens that a full bucket holds.
    pub fn burst(&self) -> u64 {
        self.burst_milli / MILLI
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms);
        let gained = elapsed_ms.saturating_mul(self.per_s);
        self.milli = self.milli.saturating_add(gained).min(self.burst_milli);
        self.at_ms = self.at_ms.max(now_ms);
    }
}

/// Whether a call may be made now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// The call may be made.
    Now,
    /// The call may ask again after this time, in milliseconds.
    After(u64),
}

/// The budget of all calls of one process.
#[derive(Clone, Debug)]
pub struct Budget {
    writes: TokenBucket,
    reads: TokenBucket,
}

impl Budget {
    /// A budget of calls a second; a burst is what two seconds allow.
    pub fn new(writes_per_s: u64, reads_per_s: u64, now_ms: u64) -> Self {
        const BURST_S: u64 = 2;
        Self {
            writes: TokenBucket::new(writes_per_s, writes_per_s * BURST_S, now_ms),
            reads: TokenBucket::new(reads_per_s, reads_per_s * BURST_S, now_ms),
        }
    }

    /// Asks for the turn of one call. Less urgent calls leave a part of the burst to others.
    ///
    /// ```
    /// use hemlockrock::store::budget::{Budget, Turn};
    /// use hemlockrock::store::Priority;
    ///
    /// let mut budget = Budget::new(2, 2, 0);
    /// assert_eq!(budget.turn(true, Priority::Bulk, 0), Turn::Now);
    /// assert_eq!(budget.turn(true, Priority::Bulk, 0), Turn::Now);
    /// assert!(matches!(budget.turn(true, Priority::Bulk, 0), Turn::After(_)));
    /// assert_eq!(budget.turn(true, Priority::Control, 0), Turn::Now);
    /// ```
    pub fn turn(&mut self, is_write: bool, priority: Priority, now_ms: u64) -> Turn {
        let bucket = if is_write { &mut self.writes } else { &mut self.reads };
        let reserve = reserve(bucket.burst(), priority);
        if bucket.take(now_ms, reserve) {
            return Turn::Now;
        }
        Turn::After(bucket.wait_ms(reserve).max(1))
    }
}

/// Tokens that calls of a priority leave to more urgent ones.
fn reserve(burst: u64, priority: Priority) -> u64 {
    match priority {
        Priority::Control => 0,
        Priority::Record => burst / 4,
        Priority::Bulk => burst / 2,
    }
}
