//! Sums queued work by deadline, so that the work ahead of a deadline is known quickly.

/// Width of a bucket, in milliseconds.
const BUCKET_MS: u64 = 16;

/// Buckets in the ring; a power of two.
const BUCKETS: usize = 4_096;

/// Time for which expired work may still be counted, in milliseconds.
const SLACK_MS: u64 = 1_000;

/// Deadlines further ahead than this are counted together, in milliseconds.
const HORIZON_MS: u64 = BUCKET_MS * BUCKETS as u64 - 2 * SLACK_MS;

/// Where some work was counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mark {
    /// In a bucket of the ring.
    Near(usize),
    /// Beyond the horizon.
    Far,
}

/// Queued work by deadline, in microseconds of run time.
#[derive(Debug)]
pub(super) struct DeadlineIndex {
    tree: Vec<u64>,
    near_us: u64,
    far_us: u64,
}

impl DeadlineIndex {
    /// An index without work.
    pub(super) fn new() -> Self {
        Self { tree: vec![0; BUCKETS + 1], near_us: 0, far_us: 0 }
    }

    /// Counts work that is due at `deadline_ms`.
    pub(super) fn add(&mut self, deadline_ms: u64, now_ms: u64, work_us: u64) -> Mark {
        if deadline_ms > now_ms.saturating_add(HORIZON_MS) {
            self.far_us += work_us;
            return Mark::Far;
        }
        let bucket = bucket_of(deadline_ms.max(now_ms));
        self.near_us += work_us;
        self.update(bucket, |sum| sum + work_us);
        Mark::Near(bucket)
    }

    /// Takes back what [`DeadlineIndex::add`] counted.
    pub(super) fn remove(&mut self, mark: Mark, work_us: u64) {
        match mark {
            Mark::Far => self.far_us -= work_us,
            Mark::Near(bucket) => {
                self.near_us -= work_us;
                self.update(bucket, |sum| sum - work_us);
            }
        }
    }

    /// All counted work.
    pub(super) fn total_us(&self) -> u64 {
        self.near_us + self.far_us
    }

    /// Work that is due at `deadline_ms` or earlier.
    pub(super) fn due_by_us(&self, deadline_ms: u64, now_ms: u64) -> u64 {
        if deadline_ms > now_ms.saturating_add(HORIZON_MS) {
            return self.total_us();
        }
        let first = bucket_of(now_ms.saturating_sub(SLACK_MS));
        let last = bucket_of(deadline_ms.max(now_ms));
        let up_to_last = self.prefix_us(last + 1);
        let before_first = self.prefix_us(first);
        if first <= last {
            up_to_last - before_first
        } else {
            self.near_us - before_first + up_to_last
        }
    }

    fn update(&mut self, bucket: usize, change: impl Fn(u64) -> u64) {
        let mut at = bucket + 1;
        while at <= BUCKETS {
            self.tree[at] = change(self.tree[at]);
            at += lowest_bit(at);
        }
    }

    fn prefix_us(&self, buckets: usize) -> u64 {
        let mut at = buckets;
        let mut sum_us = 0;
        while at > 0 {
            sum_us += self.tree[at];
            at -= lowest_bit(at);
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
