//! Histogram of run times in which old samples decay, for their quantiles.

/// Lower bound of the first bucket, in milliseconds; shorter run times count there too.
const MIN_RUN_MS: f64 = 0.25;

/// Number of buckets for each doubling of the run time.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Number of buckets; the last one also holds all longer run times.
const BUCKET_COUNT: usize = 96;

/// Total weight at which the weights of all samples are halved.
const MAX_WEIGHT: f32 = 1_000.0;

/// Histogram of run times with logarithmic buckets.
#[derive(Clone, Debug)]
pub(super) struct RunTimeHistogram {
    weights: Box<[f32; BUCKET_COUNT]>,
    total_weight: f32,
}

impl RunTimeHistogram {
    /// An empty histogram.
    pub(super) fn new() -> Self {
        Self { weights: Box::new([0.0; BUCKET_COUNT]), total_weight: 0.0 }
    }

    /// Adds a sample.
    pub(super) fn add(&mut self, ran_ms: f64) {
        if self.total_weight >= MAX_WEIGHT {
            self.weights.iter_mut().for_each(|weight| *weight /= 2.0);
            self.total_weight /= 2.0;
        }
        self.weights[bucket_of(ran_ms)] += 1.0;
        self.total_weight += 1.0;
    }

    /// Upper bound of the bucket that holds `quantile` (0 to 1), in milliseconds; `None` if empty.
    pub(super) fn quantile_ms(&self, quantile: f32) -> Option<f64> {
        if self.total_weight <= 0.0 {
            return None;
        }
        let mut remaining = self.total_weight * (1.0 - quantile);
        for (bucket, weight) in self.weights.iter().enumerate().rev() {
            remaining -= weight;
            if remaining < 0.0 {
                return Some(bucket_upper_ms(bucket));
            }
        }
        Some(bucket_upper_ms(0))
    }
}

fn bucket_of(ran_ms: f64) -> usize {
    let doublings = (ran_ms / MIN_RUN_MS).max(1.0).log2();
    ((doublings * BUCKETS_PER_DOUBLING) as usize).min(BUCKET_COUNT - 1)
}

fn bucket_upper_ms(bucket: usize) -> f64 {
    MIN_RUN_MS * ((bucket as f64 + 1.0) / BUCKETS_PER_DOUBLING).exp2()
}
