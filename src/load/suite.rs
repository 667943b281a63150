//! Benchmarks of the request path, each against a new cell on loopback.
//!
//! Store, endpoints, entry hosts and callers share one process and its
//! threads, so absolute times hold for this setup only. Two benchmarks run the
//! same load under both dispatch policies and report the ratio between them.

use std::time::Duration;

use async_std::task;
use eyre::Result;

use super::cell::{Cell, CellConfig, SERVICE};
use super::driver::CallerResult;
use super::measure::{self, Measurement};
use super::plan::{KindPlan, Phase, Plan};
use super::results::{Run, Target, Window};
use crate::configs::route::{Policy, RouteConfig};
use crate::outcome::Outcome;
use crate::standin::runner::Mode;

/// Number of endpoints of a cell.
const RUNNERS: usize = 12;

/// Slots of each endpoint: requests that it runs at the same time.
const SLOTS: u32 = 8;

/// Number of entry hosts of a cell.
const ENTRIES: usize = 2;

/// Number of callers of a load.
const CALLERS: u32 = 300;

/// Size of each request's body, in bytes.
const BODY_BYTES: usize = 64;

/// Microseconds in a millisecond.
const US_PER_MS: u64 = 1_000;

/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// A benchmark that `hemlock-load suite` runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// Load peak of three times the capacity: goodput during the peak, latency after it.
    Crest,
    /// Head-of-line blocking: waiting time of short requests alone and mixed with long ones.
    HeadOfLine,
    /// An endpoint that answers every request with an immediate error attracts little traffic.
    FastFailer,
    /// Latency that the hop through an entry host adds to a direct call.
    Hop,
}

impl Case {
    /// All benchmarks, in the order in which they run by default.
    pub const ALL: [Self; 4] = [Self::Crest, Self::HeadOfLine, Self::FastFailer, Self::Hop];

    /// Name of the benchmark, as `--only` takes it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Crest => "crest",
            Self::HeadOfLine => "head_of_line",
            Self::FastFailer => "fast_failer",
            Self::Hop => "hop",
        }
    }

    /// The benchmark with this name.
    ///
    /// ```
    /// use hemlockrock::load::suite::Case;
    ///
    /// assert_eq!(Case::parse("crest"), Some(Case::Crest));
    /// ```
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|case| case.name() == name)
    }
}

/// Runs one benchmark. Most durations are multiplied by `scale`, such as 0.1 for a quick check.
///
/// # Errors
/// The cell cannot be started.
pub async fn run(case: Case, seed: u64, scale: f64) -> Result<Vec<Run>> {
    let suite = Suite { seed, scale };
    match case {
        Case::Crest => suite.crest().await,
        Case::HeadOfLine => suite.head_of_line().await,
        Case::FastFailer => suite.fast_failer().await,
        Case::Hop => suite.hop().await,
    }
}

struct Suite {
    seed: u64,
    scale: f64,
}

/// Number of slots of all endpoints of a cell.
const TOTAL_SLOTS: f64 = (RUNNERS as u32 * SLOTS) as f64;

impl Suite {
    async fn start_cell(&self, policy: Policy, runners: usize) -> Result<Cell> {
        let route = RouteConfig { policy, ..RouteConfig::default() };
        Cell::start(&CellConfig { entries: ENTRIES, runners, slots: SLOTS, route }).await
    }

    /// Multiplies a duration by the scale.
    fn scaled_ms(&self, ms: u64) -> u64 {
        (ms as f64 * self.scale) as u64
    }

    fn plan(&self, phases: Vec<Phase>, kinds: Vec<KindPlan>) -> Plan {
        Plan {
            service: SERVICE.to_owned(),
            seed: self.seed,
            phases,
            kinds,
            callers: CALLERS,
            caller_trip_ms: 0.0,
            body_bytes: BODY_BYTES,
        }
    }

    async fn crest(&self) -> Result<Vec<Run>> {
        let mut runs = Vec::new();
        for policy in [Policy::Baseline, Policy::Full] {
            let cell = self.start_cell(policy, RUNNERS).await?;
            runs.push(self.crest_under(&cell, policy).await);
            cell.stop().await;
        }
        add_ratio(&mut runs, "goodput_of_capacity");
        Ok(runs)
    }

    /// Runs the load peak against a cell under one policy.
    async fn crest_under(&self, cell: &Cell, policy: Policy) -> Run {
        const RUN_MS: u64 = 100;
        const DEADLINE_MS: u64 = 2_000;
        let capacity_per_s = TOTAL_SLOTS / RUN_MS as f64 * MS_PER_S;
        let (calm_per_s, peak_per_s) = (0.3 * capacity_per_s, 3.0 * capacity_per_s);
        let (warm_ms, rise_ms) = (self.scaled_ms(4_000), 2_000);
        let calm_ms = self.scaled_ms(10_000);
        let crest_ms = self.scaled_ms(20_000);
        let from_ms = warm_ms + calm_ms + rise_ms;
        let (to_ms, after_ms) = (from_ms + crest_ms, from_ms + crest_ms + 2_000);
        let end_ms = after_ms + self.scaled_ms(10_000);
        let phases = vec![
            constant_rate(warm_ms + calm_ms, calm_per_s),
            Phase { for_ms: rise_ms, from_per_s: calm_per_s, to_per_s: peak_per_s },
            constant_rate(crest_ms, peak_per_s),
            constant_rate(end_ms - to_ms, calm_per_s),
        ];
        let plan = self.plan(phases, vec![kind("short", 1.0, RUN_MS, DEADLINE_MS)]);
        let name = format!("crest/{}", policy_name(policy));
        let Measurement { results, mut run } = measure::measure(cell, &plan, &name).await;
        run.windows = vec![
            Window::new("calm", &plan, &results, warm_ms..warm_ms + calm_ms),
            Window::new("rise", &plan, &results, warm_ms + calm_ms..from_ms),
            Window::new("crest", &plan, &results, from_ms..to_ms),
            Window::new("recover", &plan, &results, to_ms..after_ms),
            Window::new("after", &plan, &results, after_ms..end_ms),
        ];
        let done_in_time = done_in_time_between(&results, DEADLINE_MS, from_ms, to_ms);
        let goodput = done_in_time as f64 * RUN_MS as f64 / (TOTAL_SLOTS * crest_ms as f64);
        let p99_ms = |window: &str| run.window(window).kind("short").latency.p99_ms;
        let (calm_p99_ms, after_p99_ms) = (p99_ms("calm"), p99_ms("after"));
        run.figures.insert("goodput_of_capacity".to_owned(), goodput);
        if policy == Policy::Full {
            run.targets.push(Target::at_least("goodput of capacity", goodput, 0.95));
            run.targets.push(Target::at_most(
                "p99 after the crest, ms",
                after_p99_ms,
                1.2 * calm_p99_ms,
            ));
        }
        run
    }

    async fn head_of_line(&self) -> Result<Vec<Run>> {
        let mut runs = Vec::new();
        for policy in [Policy::Baseline, Policy::Full] {
            for has_long in [false, true] {
                let cell = self.start_cell(policy, RUNNERS).await?;
                runs.push(self.head_of_line_under(&cell, policy, has_long).await);
                cell.stop().await;
            }
        }
        // Runs: baseline alone, baseline with long requests, full alone, full with long requests.
        let figure = |run: &Run, name: &str| run.figures.get(name).copied().unwrap_or(0.0);
        let alone_ms = figure(&runs[2], "short_wait_p99_ms");
        let with_long_ms = figure(&runs[3], "short_wait_p99_ms");
        let baseline_long_done = figure(&runs[1], "long_done");
        let long_done = figure(&runs[3], "long_done");
        let targets = &mut runs[3].targets;
        targets.push(Target::at_most("short p99 wait, ms", with_long_ms, 2.0 * alone_ms));
        targets.push(Target::at_least("long work done", long_done, 0.8 * baseline_long_done));
        add_ratio(&mut runs, "short_wait_p99_ms");
        Ok(runs)
    }

    /// Runs short requests against a cell under one policy, with or without long ones beside them.
    async fn head_of_line_under(&self, cell: &Cell, policy: Policy, has_long: bool) -> Run {
        const SHORT_MS: u64 = 20;
        const LONG_MS: u64 = 200 * SHORT_MS;
        const LONG_SHARE: f64 = 0.02;
        const UTILISATION: f64 = 0.8;
        const DEADLINE_MS: u64 = 60_000;
        let mean_ms = (1.0 - LONG_SHARE) * SHORT_MS as f64 + LONG_SHARE * LONG_MS as f64;
        let all_per_s = TOTAL_SLOTS * UTILISATION / mean_ms * MS_PER_S;
        let per_s = if has_long { all_per_s } else { all_per_s * (1.0 - LONG_SHARE) };
        let long_share = if has_long { LONG_SHARE } else { 0.0 };
        let kinds = vec![
            kind("short", 1.0 - LONG_SHARE, SHORT_MS, DEADLINE_MS),
            kind("long", long_share, LONG_MS, DEADLINE_MS),
        ];
        let (warm_ms, end_ms) = (self.scaled_ms(20_000), self.scaled_ms(60_000));
        let plan = self.plan(vec![constant_rate(end_ms, per_s)], kinds);
        let mix = if has_long { "with_long" } else { "short_alone" };
        let name = format!("head_of_line/{}/{mix}", policy_name(policy));
        let Measurement { results, mut run } = measure::measure(cell, &plan, &name).await;
        let window = Window::new("steady", &plan, &results, warm_ms..end_ms);
        let (short, long) = (window.kind("short"), window.kind("long"));
        run.windows = vec![window];
        run.figures.insert("short_wait_p99_ms".to_owned(), short.wait.p99_ms);
        run.figures.insert("long_done".to_owned(), long.done_in_time as f64);
        run
    }

    async fn fast_failer(&self) -> Result<Vec<Run>> {
        const RUN_MS: u64 = 50;
        const UTILISATION: f64 = 0.6;
        const DEADLINE_MS: u64 = 5_000;
        const SETTLE_MS: u64 = 2_000;
        let cell = self.start_cell(Policy::Full, RUNNERS).await?;
        let per_s = TOTAL_SLOTS * UTILISATION / RUN_MS as f64 * MS_PER_S;
        let onset_ms = self.scaled_ms(5_000);
        let after_ms = onset_ms + SETTLE_MS;
        let end_ms = after_ms + self.scaled_ms(10_000);
        let kinds = vec![kind("short", 1.0, RUN_MS, DEADLINE_MS)];
        let plan = self.plan(vec![constant_rate(end_ms, per_s)], kinds);
        let failing_endpoint = cell.runners[0].clone();
        let mode_switch = task::spawn(async move {
            task::sleep(Duration::from_millis(onset_ms)).await;
            failing_endpoint.set_mode(Mode::FastFail);
        });
        let Measurement { results, mut run } =
            measure::measure(&cell, &plan, "fast_failer/full").await;
        mode_switch.await;
        cell.stop().await;
        run.windows = vec![
            Window::new("before", &plan, &results, 0..onset_ms),
            Window::new("onset", &plan, &results, onset_ms..after_ms),
            Window::new("after", &plan, &results, after_ms..end_ms),
        ];
        let after = run.window("after").kind("short");
        let failed_share = after.failed as f64 / after.sent.max(1) as f64;
        run.figures.insert("failed_part".to_owned(), failed_share);
        run.targets.push(Target::at_most("requests that touch the failer", failed_share, 0.02));
        Ok(vec![run])
    }

    /// Runs the same light load directly against one endpoint and through an entry host.
    async fn hop(&self) -> Result<Vec<Run>> {
        const RUN_MS: u64 = 5;
        const PER_S: f64 = 400.0;
        const DEADLINE_MS: u64 = 5_000;
        let direct_cell = self.start_cell(Policy::Full, 1).await?;
        let (warm_ms, end_ms) = (self.scaled_ms(3_000), self.scaled_ms(23_000));
        let mut kinds = vec![kind("short", 1.0, RUN_MS, DEADLINE_MS)];
        kinds[0].idempotent_share = 1.0;
        let plan = self.plan(vec![constant_rate(end_ms, PER_S)], kinds);
        let direct_results = measure::measure_direct(&direct_cell, &plan).await;
        direct_cell.stop().await;
        let cell = self.start_cell(Policy::Full, 1).await?;
        let Measurement { results, mut run } = measure::measure(&cell, &plan, "hop/entry").await;
        cell.stop().await;
        let direct_window = Window::new("steady", &plan, &direct_results, warm_ms..end_ms);
        let entry_window = Window::new("steady", &plan, &results, warm_ms..end_ms);
        let direct_latency = direct_window.kind("short").latency;
        let entry_latency = entry_window.kind("short").latency;
        run.figures.insert("added_p50_ms".to_owned(), entry_latency.p50_ms - direct_latency.p50_ms);
        run.figures.insert("added_p99_ms".to_owned(), entry_latency.p99_ms - direct_latency.p99_ms);
        run.windows = vec![entry_window];
        let direct =
            Run { name: "hop/direct".to_owned(), windows: vec![direct_window], ..Run::default() };
        Ok(vec![direct, run])
    }
}

/// A phase with a constant rate.
fn constant_rate(for_ms: u64, per_s: f64) -> Phase {
    Phase { for_ms, from_per_s: per_s, to_per_s: per_s }
}

/// A kind of which half the requests are idempotent.
fn kind(name: &str, share: f64, run_ms: u64, deadline_ms: u64) -> KindPlan {
    KindPlan { name: name.to_owned(), share, run_ms, idempotent_share: 0.5, deadline_ms }
}

/// Number of `done` answers within their deadline that came between two times, counted in
/// milliseconds from the start of the load.
fn done_in_time_between(
    results: &[CallerResult],
    deadline_ms: u64,
    from_ms: u64,
    to_ms: u64,
) -> usize {
    let span_us = from_ms * US_PER_MS..to_ms * US_PER_MS;
    let is_counted = |result: &&CallerResult| {
        result.outcome == Some(Outcome::Done)
            && result.latency_us <= deadline_ms * US_PER_MS
            && span_us.contains(&result.answered_at_us)
    };
    results.iter().filter(is_counted).count()
}

/// Name of a policy in the names of runs.
fn policy_name(policy: Policy) -> &'static str {
    match policy {
        Policy::Full => "full",
        Policy::Baseline => "baseline",
    }
}

/// Adds to the last run, made under the full policy, the ratio of its figure to that of the same
/// run under the baseline policy.
fn add_ratio(runs: &mut [Run], figure: &str) {
    let Some((last, others)) = runs.split_last_mut() else { return };
    let baseline_name = last.name.replace("/full", "/baseline");
    let baseline = others.iter().find(|run| run.name == baseline_name);
    let baseline = baseline.and_then(|run| run.figures.get(figure)).copied();
    if let (Some(baseline), Some(value)) = (baseline, last.figures.get(figure).copied()) {
        last.figures.insert(format!("{figure}_to_baseline"), value / baseline);
    }
}
