//! What a load has shown: outcomes and latency by kind, goodput over time.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::load::driver::Told;
use crate::load::plan::Plan;
use crate::outcome::Outcome;

/// Largest latency that a histogram tells apart, in microseconds.
const LATENCY_LIMIT_US: u64 = 120_000_000;

/// First status that tells of a failure of the endpoint.
const SERVER_ERROR: u16 = 500;

/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1_000.0;

/// Latency or wait in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Median, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// Largest, in milliseconds.
    pub max_ms: f64,
}

impl Quantiles {
    /// The quantiles of values in microseconds.
    ///
    /// ```
    /// use hemlockrock::load::report;
    ///
    /// let quantiles = report::Quantiles::new((1..=100).map(|ms| ms * 1_000));
    /// assert!((quantiles.p50_ms - 50.0).abs() < 0.5);
    /// ```
    pub fn new(values_us: impl IntoIterator<Item = u64>) -> Self {
        let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, LATENCY_LIMIT_US, 3) else {
            return Self::default();
        };
        for value_us in values_us {
            histogram.saturating_record(value_us.max(1));
        }
        if histogram.is_empty() {
            return Self::default();
        }
        Self {
            count: histogram.len(),
            p50_ms: histogram.value_at_quantile(0.5) as f64 / US_PER_MS,
            p99_ms: histogram.value_at_quantile(0.99) as f64 / US_PER_MS,
            max_ms: histogram.max() as f64 / US_PER_MS,
        }
    }
}

/// What was seen of one kind of request.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct KindReport {
    /// Name of the kind.
    pub kind: String,
    /// Requests sent.
    pub sent: u64,
    /// Requests answered `done`.
    pub done: u64,
    /// Requests answered `done` within their deadline.
    pub done_in_time: u64,
    /// Requests answered `not_run`.
    pub not_run: u64,
    /// Requests answered `unknown`.
    pub unknown: u64,
    /// Requests without a whole answer.
    pub unanswered: u64,
    /// Requests answered `done` with a failure of the endpoint.
    #[serde(default)]
    pub failed: u64,
    /// Other answers `done` that were not whole or not the request's own.
    pub wrong_answers: u64,
    /// Latency of `done` requests from their intended sending.
    pub latency: Quantiles,
    /// Latency less the run time and the caller's distance.
    pub wait: Quantiles,
}

/// What was seen of a load.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Seed of the plan.
    pub seed: u64,
    /// Length of the load, in milliseconds.
    pub duration_ms: u64,
    /// One report a kind, in the order of the plan.
    pub kinds: Vec<KindReport>,
}

impl LoadReport {
    /// Sums up what the callers of `plan` were told.
    pub fn new(plan: &Plan, told: &[Told]) -> Self {
        let kinds = (0..plan.kinds.len()).map(|kind| kind_report(plan, kind, told)).collect();
        Self { seed: plan.seed, duration_ms: plan.duration_ms(), kinds }
    }
}

fn kind_report(plan: &Plan, kind: usize, told: &[Told]) -> KindReport {
    let planned = &plan.kinds[kind];
    let own: Vec<&Told> = told.iter().filter(|one| one.arrival.kind == kind).collect();
    let count =
        |outcome: Option<Outcome>| own.iter().filter(|one| one.outcome == outcome).count() as u64;
    let done = || own.iter().filter(|one| one.outcome == Some(Outcome::Done));
    let deadline_us = planned.deadline_ms * US_PER_MS as u64;
    let besides_us =
        planned.run_ms * US_PER_MS as u64 + (2.0 * plan.caller_trip_ms * US_PER_MS) as u64;
    KindReport {
        kind: planned.name.clone(),
        sent: own.len() as u64,
        done: count(Some(Outcome::Done)),
        done_in_time: done().filter(|one| one.latency_us <= deadline_us).count() as u64,
        not_run: count(Some(Outcome::NotRun)),
        unknown: count(Some(Outcome::Unknown)),
        unanswered: count(None),
        failed: done().filter(|one| one.status >= SERVER_ERROR).count() as u64,
        wrong_answers: done().filter(|one| one.status < SERVER_ERROR && !one.is_own_answer).count()
            as u64,
        latency: Quantiles::new(done().map(|one| one.latency_us)),
        wait: Quantiles::new(done().map(|one| one.latency_us.saturating_sub(besides_us))),
    }
}
