//! Outcomes and latency of a load, by kind of request.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::load::driver::CallerResult;
use crate::load::plan::Plan;
use crate::outcome::Outcome;

/// Largest latency that histograms record, in microseconds; longer ones count as this long.
const LATENCY_LIMIT_US: u64 = 120_000_000;

/// Lowest HTTP status that stands for a failure of the endpoint.
const SERVER_ERROR: u16 = 500;

/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1_000.0;

/// Distribution of a latency or waiting time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Median, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// Largest value, in milliseconds.
    pub max_ms: f64,
}

impl Quantiles {
    /// Quantiles of values in microseconds; all 0 without values.
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

/// Outcomes and latency of one kind of request.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct KindReport {
    /// Name of the kind.
    pub kind: String,
    /// Number of requests sent.
    pub sent: u64,
    /// Number of requests answered `done`.
    pub done: u64,
    /// Number of requests answered `done` within their deadline.
    pub done_in_time: u64,
    /// Number of requests answered `not_run`.
    pub not_run: u64,
    /// Number of requests answered `unknown`.
    pub unknown: u64,
    /// Number of requests without a complete answer or without an outcome in it.
    pub unanswered: u64,
    /// Number of requests answered `done` with an HTTP status of 500 or above from the endpoint.
    #[serde(default)]
    pub failed: u64,
    /// Number of other `done` answers whose body does not belong to the request.
    pub wrong_answers: u64,
    /// Latency of `done` requests, from their scheduled sending.
    pub latency: Quantiles,
    /// Latency of `done` requests less the run time and the network latency of the caller.
    pub wait: Quantiles,
}

/// Outcomes and latency of a load.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Seed of the plan.
    pub seed: u64,
    /// Duration of the load, in milliseconds.
    pub duration_ms: u64,
    /// One report for each kind, in the order of the plan.
    pub kinds: Vec<KindReport>,
}

impl LoadReport {
    /// Summarizes the results of the requests of `plan`.
    pub fn new(plan: &Plan, results: &[CallerResult]) -> Self {
        let kinds = (0..plan.kinds.len()).map(|kind| kind_report(plan, kind, results)).collect();
        Self { seed: plan.seed, duration_ms: plan.duration_ms(), kinds }
    }
}

fn kind_report(plan: &Plan, kind: usize, results: &[CallerResult]) -> KindReport {
    let planned = &plan.kinds[kind];
    let own: Vec<&CallerResult> =
        results.iter().filter(|result| result.arrival.kind == kind).collect();
    let count = |outcome: Option<Outcome>| {
        own.iter().filter(|result| result.outcome == outcome).count() as u64
    };
    let done = || own.iter().filter(|result| result.outcome == Some(Outcome::Done));
    let deadline_us = planned.deadline_ms * US_PER_MS as u64;
    let expected_us =
        planned.run_ms * US_PER_MS as u64 + (2.0 * plan.caller_trip_ms * US_PER_MS) as u64;
    KindReport {
        kind: planned.name.clone(),
        sent: own.len() as u64,
        done: count(Some(Outcome::Done)),
        done_in_time: done().filter(|result| result.latency_us <= deadline_us).count() as u64,
        not_run: count(Some(Outcome::NotRun)),
        unknown: count(Some(Outcome::Unknown)),
        unanswered: count(None),
        failed: done().filter(|result| result.status >= SERVER_ERROR).count() as u64,
        wrong_answers: done()
            .filter(|result| result.status < SERVER_ERROR && !result.is_own_answer)
            .count() as u64,
        latency: Quantiles::new(done().map(|result| result.latency_us)),
        wait: Quantiles::new(done().map(|result| result.latency_us.saturating_sub(expected_us))),
    }
}
