//! Index of queued work by deadline, for a fast sum of the work due before a deadline.
//!
//! A Fenwick tree over a ring of time buckets: adding, removing and summing
//! take O(log n) steps for n buckets, however many requests are queued.

/// Width of a bucket, in milliseconds.
const BUCKET_MS: u64 = 16;

/// Number of buckets in the ring; a power of two.
const BUCKETS: usize = 4_096;

/// Time for which work may stay in the index after its deadline, in milliseconds.
const EXPIRED_SLACK_MS: u64 = 1_000;

/// Time ahead of now beyond which deadlines share one sum, in milliseconds.
const HORIZON_MS: u64 = BUCKET_MS * BUCKETS as u64 - 2 * EXPIRED_SLACK_MS;

/// Sum in which an amount of work was counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Location {
    /// Bucket of the ring, by its index.
    Bucket(usize),
    /// Sum of the work due after the horizon.
    BeyondHorizon,
}

/// Queued work by deadline, in microseconds of expected run time.
#[derive(Debug)]
pub(super) struct DeadlineIndex {
    /// Fenwick tree over the buckets; node 0 is unused.
    tree: Vec<u64>,
    bucketed_us: u64,
    beyond_horizon_us: u64,
}

impl DeadlineIndex {
    /// An empty index.
    pub(super) fn new() -> Self {
        Self { tree: vec![0; BUCKETS + 1], bucketed_us: 0, beyond_horizon_us: 0 }
    }

    /// Adds work that is due at `deadline_ms`; returns where, for its removal.
    pub(super) fn add(&mut self, deadline_ms: u64, now_ms: u64, work_us: u64) -> Location {
        if deadline_ms > now_ms.saturating_add(HORIZON_MS) {
            self.beyond_horizon_us += work_us;
            return Location::BeyondHorizon;
        }
        let bucket = bucket_of(deadline_ms.max(now_ms));
        self.bucketed_us += work_us;
        self.update(bucket, |sum| sum + work_us);
        Location::Bucket(bucket)
    }

    /// Removes work that [`DeadlineIndex::add`] added at `location`.
    pub(super) fn remove(&mut self, location: Location, work_us: u64) {
        match location {
            Location::BeyondHorizon => self.beyond_horizon_us -= work_us,
            Location::Bucket(bucket) => {
                self.bucketed_us -= work_us;
                self.update(bucket, |sum| sum - work_us);
            }
        }
    }

    /// Sum of all work, in microseconds.
    pub(super) fn total_us(&self) -> u64 {
        self.bucketed_us + self.beyond_horizon_us
    }

    /// Sum of the work that is due at `deadline_ms` or earlier, in microseconds.
    pub(super) fn due_by_us(&self, deadline_ms: u64, now_ms: u64) -> u64 {
        if deadline_ms > now_ms.saturating_add(HORIZON_MS) {
            return self.total_us();
        }
        let first = bucket_of(now_ms.saturating_sub(EXPIRED_SLACK_MS));
        let last = bucket_of(deadline_ms.max(now_ms));
        let up_to_last = self.prefix_us(last + 1);
        let before_first = self.prefix_us(first);
        if first <= last {
            up_to_last - before_first
        } else {
            self.bucketed_us - before_first + up_to_last
        }
    }

    fn update(&mut self, bucket: usize, change: impl Fn(u64) -> u64) {
        let mut node = bucket + 1;
        while node <= BUCKETS {
            self.tree[node] = change(self.tree[node]);
            node += lowest_bit(node);
        }
    }

    fn prefix_us(&self, buckets: usize) -> u64 {
        let mut node = buckets;
        let mut sum_us = 0;
        while node > 0 {
            sum_us += self.tree[node];
            node -= lowest_bit(node);
        }
        sum_us
    }
}

fn bucket_of(time_ms: u64) -> usize {
    (time_ms / BUCKET_MS) as usize % BUCKETS
}

fn lowest_bit(value: usize) -> usize {
    value & value.wrapping_neg()
}
