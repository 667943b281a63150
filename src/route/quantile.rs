//! Quantiles of run times from a histogram that forgets.

/// Shortest run time that is told apart, in milliseconds.
const FIRST_MS: f64 = 0.25;

/// Buckets for each doubling of the run time.
const PER_DOUBLING: f64 = 4.0;

/// Buckets in all.
const BUCKETS: usize = 96;

/// Weight at which all samples lose half of theirs.
const FULL_WEIGHT: f32 = 1_000.0;

/// Run times by size, on a logarithmic scale.
#[derive(Clone, Debug)]
pub(super) struct RunTimes {
    weights: Box<[f32; BUCKETS]>,
    weight: f32,
}

impl RunTimes {
    /// No run times.
    pub(super) fn new() -> Self {
        Self { weights: Box::new([0.0; BUCKETS]), weight: 0.0 }
    }

    /// Adds a run time.
    pub(super) fn add(&mut self, ran_ms: f64) {
        if self.weight >= FULL_WEIGHT {
            self.weights.iter_mut().for_each(|weight| *weight /= 2.0);
            self.weight /= 2.0;
        }
        self.weights[bucket_of(ran_ms)] += 1.0;
        self.weight += 1.0;
    }

    /// The run time that a part of all runs stays under, in milliseconds; `None` without samples.
    pub(super) fn quantile_ms(&self, part: f32) -> Option<f64> {
        if self.weight <= 0.0 {
            return None;
        }
        let mut left = self.weight * (1.0 - part);
        for (bucket, weight) in self.weights.iter().enumerate().rev() {
            left -= weight;
            if left < 0.0 {
                return Some(upper_ms(bucket));
            }
        }
        Some(upper_ms(0))
    }
}

fn bucket_of(ran_ms: f64) -> usize {
    let doublings = (ran_ms / FIRST_MS).max(1.0).log2();
    ((doublings * PER_DOUBLING) as usize).min(BUCKETS - 1)
}

fn upper_ms(bucket: usize) -> f64 {
    FIRST_MS * ((bucket as f64 + 1.0) / PER_DOUBLING).exp2()
}
