//! Run-time estimates for each kind of work, and its classification as short or long.

use super::histogram::RunTimeHistogram;
use super::message::KindKey;
use super::rate::Rate;
use crate::collections::HashMap;

/// Number of samples that the prior run time weighs as much as.
const PRIOR_SAMPLES: f64 = 2.0;

/// Number of samples over which the mean run time is averaged.
const WINDOW_SAMPLES: f64 = 128.0;

/// Number of samples below which the mean run time of a kind is not relied on.
const MIN_SAMPLES: f64 = 3.0;

/// Lower bound of recorded run times, in milliseconds.
const MIN_RUN_MS: f64 = 0.25;

/// Share of all arrivals that the shortest kinds must make up to set the mean of short work.
const SHORT_SHARE: f64 = 0.1;

/// Factor on the threshold of long work below which a long kind becomes short again.
const SHORT_AGAIN_SHARE: f64 = 0.75;

/// Maximum number of kinds of one service with their own estimate; further ones share one.
const MAX_KINDS: usize = 1_024;

/// Key of the estimate shared by kinds beyond [`MAX_KINDS`].
const OTHER_KINDS: KindKey = KindKey(u32::MAX);

/// Time over which arrivals are averaged for long work and for classification, in milliseconds.
const ARRIVALS_WINDOW_MS: f64 = 8_000.0;

/// Time over which arrivals are averaged for short work, in milliseconds.
const RECENT_ARRIVALS_WINDOW_MS: f64 = 1_000.0;

/// Number of runs between updates of the quantiles, once a kind has enough samples.
const QUANTILE_REFRESH_SAMPLES: u32 = 16;

/// Quantile of the run times that [`Estimate::p90_ms`] holds.
const P90: f32 = 0.9;

/// Quantile of the run times that [`Estimate::p99_ms`] holds.
const P99: f32 = 0.99;

/// Class of a kind of work by its run time, relative to the other work of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Class {
    /// Run time below `long_factor` times that of short work.
    Short,
    /// Longer, or not yet known to be short; it may use a limited number of slots only.
    Long,
}

/// Estimated run time of a kind of work, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    /// Moving average of the run times.
    pub(super) mean_ms: f64,
    /// 90th percentile of the run times.
    pub(super) p90_ms: f64,
    /// 99th percentile of the run times.
    pub(super) p99_ms: f64,
    samples: f64,
}

impl Estimate {
    /// An estimate without samples, with `mean_ms` as the prior.
    fn with_prior(mean_ms: f64) -> Self {
        Self { mean_ms, p90_ms: mean_ms, p99_ms: mean_ms, samples: 0.0 }
    }

    fn record(&mut self, ran_ms: f64) {
        self.samples = (self.samples + 1.0).min(WINDOW_SAMPLES);
        let weight = 1.0 / (self.samples + PRIOR_SAMPLES).min(WINDOW_SAMPLES);
        self.mean_ms += weight * (ran_ms - self.mean_ms);
    }

    fn is_settled(&self) -> bool {
        self.samples >= WINDOW_SAMPLES
    }

    fn has_min_samples(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }
}

#[derive(Debug)]
struct KindStats {
    estimate: Estimate,
    run_times: RunTimeHistogram,
    new_samples: u32,
    recent_arrivals: Rate,
    arrivals: Rate,
    class: Class,
    in_flight: u32,
}

impl KindStats {
    fn new(prior_ms: f64, class: Class) -> Self {
        Self {
            estimate: Estimate::with_prior(prior_ms),
            run_times: RunTimeHistogram::new(),
            new_samples: 0,
            recent_arrivals: Rate::new(RECENT_ARRIVALS_WINDOW_MS),
            arrivals: Rate::new(ARRIVALS_WINDOW_MS),
            class,
            in_flight: 0,
        }
    }

    fn record(&mut self, ran_ms: f64) {
        self.estimate.record(ran_ms);
        self.run_times.add(ran_ms);
        self.new_samples += 1;
        if self.new_samples >= QUANTILE_REFRESH_SAMPLES || !self.estimate.is_settled() {
            self.new_samples = 0;
            let estimate = &mut self.estimate;
            estimate.p90_ms = self.run_times.quantile_ms(P90).unwrap_or(estimate.p90_ms);
            estimate.p99_ms = self.run_times.quantile_ms(P99).unwrap_or(estimate.p99_ms);
        }
    }
}

/// Run-time estimates and arrival rates of the kinds of work of one service.
#[derive(Debug)]
pub(super) struct Kinds {
    kinds: HashMap<KindKey, KindStats>,
    insertion_order: Vec<KindKey>,
    overall: Estimate,
    prior_ms: f64,
    short_mean_ms: Option<f64>,
    long_factor: f64,
}

impl Kinds {
    /// No kinds yet; run times are assumed to be `prior_ms` until there are samples.
    ///
    /// A kind is long from `long_factor` times the mean run time of short work on.
    pub(super) fn new(prior_ms: u64, long_factor: u32) -> Self {
        let prior_ms = prior_ms as f64;
        Self {
            kinds: HashMap::default(),
            insertion_order: Vec::new(),
            overall: Estimate::with_prior(prior_ms),
            prior_ms,
            short_mean_ms: None,
            long_factor: f64::from(long_factor),
        }
    }

    /// Records the arrival of a request; returns the class and the estimate of its kind.
    pub(super) fn record_arrival(&mut self, kind: KindKey, now_ms: u64) -> (Class, Estimate) {
        let key = self.key(kind);
        let kind = self.entry(key);
        kind.arrivals.add(1.0, now_ms);
        kind.recent_arrivals.add(1.0, now_ms);
        (kind.class, kind.estimate)
    }

    /// Estimate for a kind; the overall one for a kind that never arrived.
    pub(super) fn estimate(&self, kind: KindKey) -> Estimate {
        self.kinds.get(&self.key(kind)).map_or(self.overall, |kind| kind.estimate)
    }

    /// Estimate over all kinds.
    pub(super) fn overall(&self) -> Estimate {
        self.overall
    }

    /// Records that a request of a kind was sent.
    pub(super) fn record_start(&mut self, kind: KindKey) {
        let key = self.key(kind);
        self.entry(key).in_flight += 1;
    }

    /// Records that a send of a kind ended.
    pub(super) fn record_end(&mut self, kind: KindKey) {
        let key = self.key(kind);
        let kind = self.entry(key);
        kind.in_flight = kind.in_flight.saturating_sub(1);
    }

    /// Whether no request of a kind is in flight.
    pub(super) fn is_idle(&self, kind: KindKey) -> bool {
        self.kinds.get(&self.key(kind)).is_none_or(|kind| kind.in_flight == 0)
    }

    /// Mean run time of the work of a class, in milliseconds.
    pub(super) fn mean_ms(&self, class: Class) -> f64 {
        match class {
            Class::Short => self.short_mean_ms.unwrap_or(self.overall.mean_ms),
            Class::Long => self.overall.mean_ms,
        }
    }

    /// Records the run time of a completed request.
    pub(super) fn record_run(&mut self, kind: KindKey, ran_ms: u64) {
        let ran_ms = (ran_ms as f64).max(MIN_RUN_MS);
        self.overall.record(ran_ms);
        let key = self.key(kind);
        self.entry(key).record(ran_ms);
    }

    /// Records that a request still runs after `elapsed_ms`.
    ///
    /// Raises the estimate of a kind with few samples and classifies it as long.
    pub(super) fn record_overrun(&mut self, kind: KindKey, elapsed_ms: f64) {
        let key = self.key(kind);
        let threshold_ms = self.long_threshold_ms();
        let kind = self.entry(key);
        if !kind.estimate.has_min_samples() {
            kind.estimate.mean_ms = kind.estimate.mean_ms.max(elapsed_ms);
            if threshold_ms.is_some() {
                kind.class = Class::Long;
            }
        }
    }

    /// Time after which a running request of `kind` counts as long, in milliseconds.
    pub(super) fn long_after_ms(&self, kind: KindKey) -> f64 {
        let mean_ms = self.estimate(kind).mean_ms;
        let default_ms = self.overall.mean_ms.max(self.prior_ms) * self.long_factor;
        self.long_threshold_ms().unwrap_or(default_ms).max(2.0 * mean_ms)
    }

    /// Reclassifies all kinds as short or long by their current estimates.
    pub(super) fn reclassify(&mut self, now_ms: u64) {
        self.short_mean_ms = self.find_short_mean_ms(now_ms);
        let Some(threshold_ms) = self.long_threshold_ms() else { return };
        for kind in self.kinds.values_mut() {
            let threshold_ms = if kind.class == Class::Long {
                threshold_ms * SHORT_AGAIN_SHARE
            } else {
                threshold_ms
            };
            let is_long = !kind.estimate.has_min_samples() || kind.estimate.mean_ms >= threshold_ms;
            kind.class = if is_long { Class::Long } else { Class::Short };
        }
    }

    /// Mean number of slots that the arrivals of short and of long work occupy (Little's law).
    pub(super) fn demand_slots(&self, now_ms: u64) -> (f64, f64) {
        let mut demand = (0.0, 0.0);
        for key in &self.insertion_order {
            let Some(kind) = self.kinds.get(key) else { continue };
            let mean_ms = kind.estimate.mean_ms;
            match kind.class {
                Class::Short => demand.0 += kind.recent_arrivals.per_ms(now_ms) * mean_ms,
                Class::Long => demand.1 += kind.arrivals.per_ms(now_ms) * mean_ms,
            }
        }
        demand
    }

    fn long_threshold_ms(&self) -> Option<f64> {
        self.short_mean_ms.map(|mean_ms| mean_ms * self.long_factor)
    }

    /// Mean run time of the shortest kinds that together make up [`SHORT_SHARE`] of the arrivals.
    fn find_short_mean_ms(&self, now_ms: u64) -> Option<f64> {
        let sampled = self.insertion_order.iter().filter_map(|key| self.kinds.get(key));
        let mut sampled: Vec<(f64, f64)> = sampled
            .filter(|kind| kind.estimate.has_min_samples())
            .map(|kind| (kind.estimate.mean_ms, kind.arrivals.per_ms(now_ms)))
            .collect();
        sampled.sort_by(|left, right| left.0.total_cmp(&right.0));
        let total_rate: f64 = sampled.iter().map(|(_, rate)| rate).sum();
        let mut rate_so_far = 0.0;
        let mut weighted_ms = 0.0;
        for (mean_ms, rate) in sampled {
            rate_so_far += rate;
            weighted_ms += rate * mean_ms;
            if rate_so_far >= total_rate * SHORT_SHARE && rate_so_far > 0.0 {
                return Some(weighted_ms / rate_so_far);
            }
        }
        None
    }

    fn key(&self, kind: KindKey) -> KindKey {
        let is_known = self.kinds.contains_key(&kind);
        if is_known || self.kinds.len() < MAX_KINDS {
            kind
        } else {
            OTHER_KINDS
        }
    }

    fn entry(&mut self, key: KindKey) -> &mut KindStats {
        let prior_ms = self.overall.mean_ms;
        let class = if self.short_mean_ms.is_some() { Class::Long } else { Class::Short };
        let insertion_order = &mut self.insertion_order;
        self.kinds.entry(key).or_insert_with(|| {
            insertion_order.push(key);
            KindStats::new(prior_ms, class)
        })
    }
}
