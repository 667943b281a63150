//! Run times of each kind of work, learned from what was seen.

use super::message::KindKey;
use super::quantile::RunTimes;
use super::rate::Rate;
use crate::collections::HashMap;

/// Weight of the prior, in samples.
const PRIOR_SAMPLES: f64 = 2.0;

/// Samples over which an estimate looks back.
const MEMORY_SAMPLES: f64 = 128.0;

/// Samples after which a kind is known.
const PROVEN_SAMPLES: f64 = 3.0;

/// Shortest run time that is assumed, in milliseconds.
const MIN_RUN_MS: f64 = 0.25;

/// Part of all requests that the shortest kinds make up together to count as short work.
const SHORT_SHARE: f64 = 0.1;

/// Part of the bound of long work under which a long kind becomes short again.
const HYSTERESIS: f64 = 0.75;

/// Kinds that are told apart in one service; further ones share an estimate.
const MAX_KINDS: usize = 1_024;

/// Estimate that further kinds share.
const OTHER_KINDS: KindKey = KindKey(u32::MAX);

/// Time over which the arrivals of long work are averaged, in milliseconds.
const ARRIVALS_MS: f64 = 8_000.0;

/// Time over which the arrivals of short work are averaged, in milliseconds.
const RECENT_MS: f64 = 1_000.0;

/// Runs between two looks at the quantiles.
const QUANTILES_EVERY: u32 = 16;

/// Part of all runs that stay under the usual run time.
const USUAL: f32 = 0.9;

/// Part of all runs that stay under the tail.
const TAIL: f32 = 0.99;

/// Whether work is short or long, compared with the other work of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Class {
    /// Short work.
    Short,
    /// Long work.
    Long,
}

/// What is expected of a run, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    /// Mean run time.
    pub(super) mean_ms: f64,
    /// Run time that nine of ten runs stay under.
    pub(super) usual_ms: f64,
    /// Run time that 99 of 100 runs stay under.
    pub(super) tail_ms: f64,
    samples: f64,
}

impl Estimate {
    /// An estimate without samples.
    fn with_prior(mean_ms: f64) -> Self {
        Self { mean_ms, usual_ms: mean_ms, tail_ms: mean_ms, samples: 0.0 }
    }

    fn record(&mut self, ran_ms: f64) {
        self.samples = (self.samples + 1.0).min(MEMORY_SAMPLES);
        let weight = 1.0 / (self.samples + PRIOR_SAMPLES).min(MEMORY_SAMPLES);
        self.mean_ms += weight * (ran_ms - self.mean_ms);
    }

    fn is_settled(&self) -> bool {
        self.samples >= MEMORY_SAMPLES
    }

    fn is_proven(&self) -> bool {
        self.samples >= PROVEN_SAMPLES
    }
}

#[derive(Debug)]
struct Kind {
    estimate: Estimate,
    run_times: RunTimes,
    new_samples: u32,
    recent_arrivals: Rate,
    arrivals: Rate,
    class: Class,
    in_flight: u32,
}

impl Kind {
    fn new(prior_ms: f64, class: Class) -> Self {
        Self {
            estimate: Estimate::with_prior(prior_ms),
            run_times: RunTimes::new(),
            new_samples: 0,
            recent_arrivals: Rate::new(RECENT_MS),
            arrivals: Rate::new(ARRIVALS_MS),
            class,
            in_flight: 0,
        }
    }

    fn record(&mut self, ran_ms: f64) {
        self.estimate.record(ran_ms);
        self.run_times.add(ran_ms);
        self.new_samples += 1;
        if self.new_samples >= QUANTILES_EVERY || !self.estimate.is_settled() {
            self.new_samples = 0;
            let estimate = &mut self.estimate;
            estimate.usual_ms = self.run_times.quantile_ms(USUAL).unwrap_or(estimate.usual_ms);
            estimate.tail_ms = self.run_times.quantile_ms(TAIL).unwrap_or(estimate.tail_ms);
        }
    }
}

/// The kinds of one service.
#[derive(Debug)]
pub(super) struct Kinds {
    kinds: HashMap<KindKey, Kind>,
    order: Vec<KindKey>,
    overall: Estimate,
    prior_ms: f64,
    short_mean_ms: Option<f64>,
    long_factor: f64,
}

impl Kinds {
    /// No kinds; `prior_ms` is assumed until there are samples.
    pub(super) fn new(prior_ms: u64, long_factor: u32) -> Self {
        let prior_ms = prior_ms as f64;
        Self {
            kinds: HashMap::default(),
            order: Vec::new(),
            overall: Estimate::with_prior(prior_ms),
            prior_ms,
            short_mean_ms: None,
            long_factor: f64::from(long_factor),
        }
    }

    /// Notes an arrival, and tells the class of its kind and the estimate of its run time.
    pub(super) fn arrive(&mut self, kind: KindKey, now_ms: u64) -> (Class, Estimate) {
        let key = self.key(kind);
        let kind = self.entry(key);
        kind.arrivals.add(1.0, now_ms);
        kind.recent_arrivals.add(1.0, now_ms);
        (kind.class, kind.estimate)
    }

    /// The estimate of a kind.
    pub(super) fn estimate(&self, kind: KindKey) -> Estimate {
        self.kinds.get(&self.key(kind)).map_or(self.overall, |kind| kind.estimate)
    }

    /// The estimate over all kinds.
    pub(super) fn overall(&self) -> Estimate {
        self.overall
    }

    /// Notes that a request of a kind was sent.
    pub(super) fn start(&mut self, kind: KindKey) {
        let key = self.key(kind);
        self.entry(key).in_flight += 1;
    }

    /// Notes that a send of a kind has ended.
    pub(super) fn stop(&mut self, kind: KindKey) {
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

    /// Records a finished run.
    pub(super) fn record(&mut self, kind: KindKey, ran_ms: u64) {
        let ran_ms = (ran_ms as f64).max(MIN_RUN_MS);
        self.overall.record(ran_ms);
        let key = self.key(kind);
        self.entry(key).record(ran_ms);
    }

    /// Records that a run has taken `elapsed_ms` and goes on.
    pub(super) fn outlive(&mut self, kind: KindKey, elapsed_ms: f64) {
        let key = self.key(kind);
        let bound_ms = self.long_bound_ms();
        let kind = self.entry(key);
        if !kind.estimate.is_proven() {
            kind.estimate.mean_ms = kind.estimate.mean_ms.max(elapsed_ms);
            if bound_ms.is_some() {
                kind.class = Class::Long;
            }
        }
    }

    /// Run time after which a run of `kind` counts as long, in milliseconds.
    pub(super) fn outlive_ms(&self, kind: KindKey) -> f64 {
        let mean_ms = self.estimate(kind).mean_ms;
        let unknown_ms = self.overall.mean_ms.max(self.prior_ms) * self.long_factor;
        self.long_bound_ms().unwrap_or(unknown_ms).max(2.0 * mean_ms)
    }

    /// Decides anew which kinds are short and which are long.
    pub(super) fn review(&mut self, now_ms: u64) {
        self.short_mean_ms = self.find_short_mean_ms(now_ms);
        let Some(bound_ms) = self.long_bound_ms() else { return };
        for kind in self.kinds.values_mut() {
            let bound_ms = if kind.class == Class::Long { bound_ms * HYSTERESIS } else { bound_ms };
            let is_long = !kind.estimate.is_proven() || kind.estimate.mean_ms >= bound_ms;
            kind.class = if is_long { Class::Long } else { Class::Short };
        }
    }

    /// Slots that arrivals of short and of long work ask for.
    pub(super) fn demand_slots(&self, now_ms: u64) -> (f64, f64) {
        let mut demand = (0.0, 0.0);
        for key in &self.order {
            let Some(kind) = self.kinds.get(key) else { continue };
            let mean_ms = kind.estimate.mean_ms;
            match kind.class {
                Class::Short => demand.0 += kind.recent_arrivals.per_ms(now_ms) * mean_ms,
                Class::Long => demand.1 += kind.arrivals.per_ms(now_ms) * mean_ms,
            }
        }
        demand
    }

    fn long_bound_ms(&self) -> Option<f64> {
        self.short_mean_ms.map(|mean_ms| mean_ms * self.long_factor)
    }

    /// Mean run time of the shortest kinds that together make up the share of short work.
    fn find_short_mean_ms(&self, now_ms: u64) -> Option<f64> {
        let proven = self.order.iter().filter_map(|key| self.kinds.get(key));
        let mut proven: Vec<(f64, f64)> = proven
            .filter(|kind| kind.estimate.is_proven())
            .map(|kind| (kind.estimate.mean_ms, kind.arrivals.per_ms(now_ms)))
            .collect();
        proven.sort_by(|left, right| left.0.total_cmp(&right.0));
        let all: f64 = proven.iter().map(|(_, rate)| rate).sum();
        let mut seen = 0.0;
        let mut work = 0.0;
        for (mean_ms, rate) in proven {
            seen += rate;
            work += rate * mean_ms;
            if seen >= all * SHORT_SHARE && seen > 0.0 {
                return Some(work / seen);
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

    fn entry(&mut self, key: KindKey) -> &mut Kind {
        let prior_ms = self.overall.mean_ms;
        let class = if self.short_mean_ms.is_some() { Class::Long } else { Class::Short };
        let order = &mut self.order;
        self.kinds.entry(key).or_insert_with(|| {
            order.push(key);
            Kind::new(prior_ms, class)
        })
    }
}
