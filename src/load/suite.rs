//! The measurements of the request path, each against a cell of its own on loopback.
//!
//! Store, endpoints, entry hosts and callers share one process and its
//! threads, so that absolute times hold for that arrangement only; the same
//! load is run under both policies, for the ratio between them.

use std::time::Duration;

use async_std::task;
use eyre::Result;

use super::cell::{Cell, CellPlan, SERVICE};
use super::driver::Told;
use super::measure::{self, Measured};
use super::plan::{KindPlan, Phase, Plan};
use super::results::{Run, Target, Window};
use crate::configs::route::{Policy, RouteConfig};
use crate::outcome::Outcome;
use crate::standin::runner::Mode;

/// Endpoints of a cell.
const RUNNERS: usize = 12;

/// Slots of an endpoint.
const SLOTS: u32 = 8;

/// Entry hosts of a cell.
const ENTRIES: usize = 2;

/// Callers of a load.
const CALLERS: u32 = 300;

/// Size of a request's body, in bytes.
const BODY_BYTES: usize = 64;

/// Microseconds in a millisecond.
const US_PER_MS: u64 = 1_000;

/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// A measurement of the suite.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// Load rises to three times the capacity.
    Crest,
    /// Short work beside long work.
    HeadOfLine,
    /// One endpoint fails everything at once.
    FastFailer,
    /// What the hop through an entry host adds.
    Hop,
}

impl Case {
    /// All measurements.
    pub const ALL: [Self; 4] = [Self::Crest, Self::HeadOfLine, Self::FastFailer, Self::Hop];

    /// Name of the measurement.
    pub fn name(self) -> &'static str {
        match self {
            Self::Crest => "crest",
            Self::HeadOfLine => "head_of_line",
            Self::FastFailer => "fast_failer",
            Self::Hop => "hop",
        }
    }

    /// Finds a measurement by its name.
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

/// Runs one measurement; times are scaled by `scale`, such as 0.1 for a quick look.
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

/// Slots of all endpoints of a cell.
const ALL_SLOTS: f64 = (RUNNERS as u32 * SLOTS) as f64;

impl Suite {
    async fn start(&self, policy: Policy, runners: usize) -> Result<Cell> {
        let route = RouteConfig { policy, ..RouteConfig::default() };
        Cell::start(&CellPlan { entries: ENTRIES, runners, slots: SLOTS, route }).await
    }

    /// A length of time, in milliseconds.
    fn ms(&self, ms: u64) -> u64 {
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
            let cell = self.start(policy, RUNNERS).await?;
            runs.push(self.crest_of(&cell, policy).await);
            cell.stop().await;
        }
        add_ratio(&mut runs, "goodput_of_capacity");
        Ok(runs)
    }

    async fn crest_of(&self, cell: &Cell, policy: Policy) -> Run {
        const RUN_MS: u64 = 100;
        const DEADLINE_MS: u64 = 2_000;
        let capacity_per_s = ALL_SLOTS / RUN_MS as f64 * MS_PER_S;
        let (calm, high) = (0.3 * capacity_per_s, 3.0 * capacity_per_s);
        let (warm_ms, rise_ms) = (self.ms(4_000), 2_000);
        let calm_ms = self.ms(10_000);
        let crest_ms = self.ms(20_000);
        let from_ms = warm_ms + calm_ms + rise_ms;
        let (to_ms, after_ms) = (from_ms + crest_ms, from_ms + crest_ms + 2_000);
        let end_ms = after_ms + self.ms(10_000);
        let phases = vec![
            steady(warm_ms + calm_ms, calm),
            Phase { for_ms: rise_ms, from_per_s: calm, to_per_s: high },
            steady(crest_ms, high),
            steady(end_ms - to_ms, calm),
        ];
        let plan = self.plan(phases, vec![kind("short", 1.0, RUN_MS, DEADLINE_MS)]);
        let name = format!("crest/{}", name_of(policy));
        let Measured { told, mut run } = measure::measure(cell, &plan, &name).await;
        run.windows = vec![
            Window::new("calm", &plan, &told, warm_ms..warm_ms + calm_ms),
            Window::new("rise", &plan, &told, warm_ms + calm_ms..from_ms),
            Window::new("crest", &plan, &told, from_ms..to_ms),
            Window::new("recover", &plan, &told, to_ms..after_ms),
            Window::new("after", &plan, &told, after_ms..end_ms),
        ];
        let good = good_between(&told, DEADLINE_MS, from_ms, to_ms);
        let goodput = good as f64 * RUN_MS as f64 / (ALL_SLOTS * crest_ms as f64);
        let p99_ms = |window: &str| run.window(window).kind("short").latency.p99_ms;
        let (calm_ms, after_ms) = (p99_ms("calm"), p99_ms("after"));
        run.figures.insert("goodput_of_capacity".to_owned(), goodput);
        if policy == Policy::Full {
            run.targets.push(Target::at_least("goodput of capacity", goodput, 0.95));
            run.targets.push(Target::at_most("p99 after the crest, ms", after_ms, 1.2 * calm_ms));
        }
        run
    }

    async fn head_of_line(&self) -> Result<Vec<Run>> {
        let mut runs = Vec::new();
        for policy in [Policy::Baseline, Policy::Full] {
            for has_long in [false, true] {
                let cell = self.start(policy, RUNNERS).await?;
                runs.push(self.head_of_line_of(&cell, policy, has_long).await);
                cell.stop().await;
            }
        }
        let figure = |run: &Run, name: &str| run.figures.get(name).copied().unwrap_or(0.0);
        let alone_ms = figure(&runs[2], "short_wait_p99_ms");
        let with_ms = figure(&runs[3], "short_wait_p99_ms");
        let fair = figure(&runs[1], "long_done");
        let long = figure(&runs[3], "long_done");
        let targets = &mut runs[3].targets;
        targets.push(Target::at_most("short p99 wait, ms", with_ms, 2.0 * alone_ms));
        targets.push(Target::at_least("long work done", long, 0.8 * fair));
        add_ratio(&mut runs, "short_wait_p99_ms");
        Ok(runs)
    }

    async fn head_of_line_of(&self, cell: &Cell, policy: Policy, has_long: bool) -> Run {
        const SHORT_MS: u64 = 20;
        const LONG_MS: u64 = 200 * SHORT_MS;
        const LONG_PART: f64 = 0.02;
        const UTILISATION: f64 = 0.8;
        const DEADLINE_MS: u64 = 60_000;
        let mean_ms = (1.0 - LONG_PART) * SHORT_MS as f64 + LONG_PART * LONG_MS as f64;
        let all_per_s = ALL_SLOTS * UTILISATION / mean_ms * MS_PER_S;
        let per_s = if has_long { all_per_s } else { all_per_s * (1.0 - LONG_PART) };
        let long_part = if has_long { LONG_PART } else { 0.0 };
        let kinds = vec![
            kind("short", 1.0 - LONG_PART, SHORT_MS, DEADLINE_MS),
            kind("long", long_part, LONG_MS, DEADLINE_MS),
        ];
        let (warm_ms, end_ms) = (self.ms(20_000), self.ms(60_000));
        let plan = self.plan(vec![steady(end_ms, per_s)], kinds);
        let mix = if has_long { "with_long" } else { "short_alone" };
        let name = format!("head_of_line/{}/{mix}", name_of(policy));
        let Measured { told, mut run } = measure::measure(cell, &plan, &name).await;
        let window = Window::new("steady", &plan, &told, warm_ms..end_ms);
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
        let cell = self.start(Policy::Full, RUNNERS).await?;
        let per_s = ALL_SLOTS * UTILISATION / RUN_MS as f64 * MS_PER_S;
        let onset_ms = self.ms(5_000);
        let after_ms = onset_ms + SETTLE_MS;
        let end_ms = after_ms + self.ms(10_000);
        let kinds = vec![kind("short", 1.0, RUN_MS, DEADLINE_MS)];
        let plan = self.plan(vec![steady(end_ms, per_s)], kinds);
        let failer = cell.runners[0].clone();
        let failing = task::spawn(async move {
            task::sleep(Duration::from_millis(onset_ms)).await;
            failer.set_mode(Mode::FastFail);
        });
        let Measured { told, mut run } = measure::measure(&cell, &plan, "fast_failer/full").await;
        failing.await;
        cell.stop().await;
        run.windows = vec![
            Window::new("before", &plan, &told, 0..onset_ms),
            Window::new("onset", &plan, &told, onset_ms..after_ms),
            Window::new("after", &plan, &told, after_ms..end_ms),
        ];
        let after = run.window("after").kind("short");
        let part = after.failed as f64 / after.sent.max(1) as f64;
        run.figures.insert("failed_part".to_owned(), part);
        run.targets.push(Target::at_most("requests that touch the failer", part, 0.02));
        Ok(vec![run])
    }

    /// The same calm load straight to one endpoint and through an entry host.
    async fn hop(&self) -> Result<Vec<Run>> {
        const RUN_MS: u64 = 5;
        const PER_S: f64 = 400.0;
        const DEADLINE_MS: u64 = 5_000;
        let bare = self.start(Policy::Full, 1).await?;
        let (warm_ms, end_ms) = (self.ms(3_000), self.ms(23_000));
        let mut kinds = vec![kind("short", 1.0, RUN_MS, DEADLINE_MS)];
        kinds[0].idempotent_share = 1.0;
        let plan = self.plan(vec![steady(end_ms, PER_S)], kinds);
        let direct = measure::direct(&bare, &plan).await;
        bare.stop().await;
        let cell = self.start(Policy::Full, 1).await?;
        let Measured { told, mut run } = measure::measure(&cell, &plan, "hop/entry").await;
        cell.stop().await;
        let plain = Window::new("steady", &plan, &direct, warm_ms..end_ms);
        let entry = Window::new("steady", &plan, &told, warm_ms..end_ms);
        let (before, after) = (plain.kind("short").latency, entry.kind("short").latency);
        run.figures.insert("added_p50_ms".to_owned(), after.p50_ms - before.p50_ms);
        run.figures.insert("added_p99_ms".to_owned(), after.p99_ms - before.p99_ms);
        run.windows = vec![entry];
        let direct = Run { name: "hop/direct".to_owned(), windows: vec![plain], ..Run::default() };
        Ok(vec![direct, run])
    }
}

fn steady(for_ms: u64, per_s: f64) -> Phase {
    Phase { for_ms, from_per_s: per_s, to_per_s: per_s }
}

fn kind(name: &str, share: f64, run_ms: u64, deadline_ms: u64) -> KindPlan {
    KindPlan { name: name.to_owned(), share, run_ms, idempotent_share: 0.5, deadline_ms }
}

/// Answers in time that came within a span, in milliseconds.
fn good_between(told: &[Told], deadline_ms: u64, from_ms: u64, to_ms: u64) -> usize {
    let span_us = from_ms * US_PER_MS..to_ms * US_PER_MS;
    let is_good = |one: &&Told| {
        one.outcome == Some(Outcome::Done)
            && one.latency_us <= deadline_ms * US_PER_MS
            && span_us.contains(&one.answered_at_us)
    };
    told.iter().filter(is_good).count()
}

fn name_of(policy: Policy) -> &'static str {
    match policy {
        Policy::Full => "full",
        Policy::Baseline => "baseline",
    }
}

/// Adds the ratio of a figure of the last run to that of its counterpart under the baseline.
fn add_ratio(runs: &mut [Run], figure: &str) {
    let Some((last, others)) = runs.split_last_mut() else { return };
    let counterpart = last.name.replace("/full", "/baseline");
    let baseline = others.iter().find(|run| run.name == counterpart);
    let baseline = baseline.and_then(|run| run.figures.get(figure)).copied();
    if let (Some(baseline), Some(value)) = (baseline, last.figures.get(figure).copied()) {
        last.figures.insert(format!("{figure}_to_baseline"), value / baseline);
    }
}
