//! The results of one `hemlock-load` command, written as JSON and as text.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use serde::{Deserialize, Serialize};

use super::driver::{self, CallerResult};
use super::plan::Plan;
use super::report::{KindReport, LoadReport};

/// Name and version of the JSON schema.
pub const SCHEMA: &str = "hemlock-load/1";

/// Everything that one command measured; the root of the JSON report.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Results {
    /// Name and version of the JSON schema; see [`SCHEMA`].
    pub schema: String,
    /// The command line, program name first.
    pub command: Vec<String>,
    /// Seed of the load; 0 if the command uses none.
    pub seed: u64,
    /// Start of the command, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// The runs, in the order in which they were made.
    pub runs: Vec<Run>,
}

/// The measurements of one load.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Run {
    /// Name of the run, unique within the results; [`Results::compare`] matches runs by it.
    pub name: String,
    /// Outcomes and latency, by window of time and kind of request.
    pub windows: Vec<Window>,
    /// Other measured values, by name; the name of a value with a unit contains the unit.
    pub figures: BTreeMap<String, f64>,
    /// Targets that were checked, met or not.
    pub targets: Vec<Target>,
}

/// A bound on a measured value, and whether the value is within it.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Target {
    /// What is bounded, with the unit if there is one.
    pub name: String,
    /// Value that the run gave.
    pub measured: f64,
    /// Largest or smallest value allowed, depending on the target.
    pub bound: f64,
    /// Whether `measured` is within `bound`.
    pub is_met: bool,
}

impl Target {
    /// A target that is met if `measured` is at most `bound`.
    pub fn at_most(name: impl Into<String>, measured: f64, bound: f64) -> Self {
        Self { name: name.into(), measured, bound, is_met: measured <= bound }
    }

    /// A target that is met if `measured` is at least `bound`.
    pub fn at_least(name: impl Into<String>, measured: f64, bound: f64) -> Self {
        Self { name: name.into(), measured, bound, is_met: measured >= bound }
    }
}

/// Outcomes and latency of the requests that were scheduled within a window of time.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Window {
    /// Name of the window, unique within the run.
    pub name: String,
    /// One report for each kind, in the order of the plan.
    pub kinds: Vec<KindReport>,
    /// Number of requests by the reason in their answer; requests without a reason are left out.
    pub reasons: BTreeMap<String, u64>,
}

impl Window {
    /// Summarizes the results of the requests of `plan` that were scheduled within `span_ms`,
    /// counted from the start of the load.
    pub fn new(
        name: impl Into<String>,
        plan: &Plan,
        results: &[CallerResult],
        span_ms: std::ops::Range<u64>,
    ) -> Self {
        let span_us = span_ms.start * 1_000..span_ms.end.saturating_mul(1_000);
        let within = results.iter().filter(|result| span_us.contains(&result.arrival.at_us));
        let within: Vec<CallerResult> = within.cloned().collect();
        let reasons = driver::reasons(&within);
        Self { name: name.into(), kinds: LoadReport::new(plan, &within).kinds, reasons }
    }

    /// The report of the kind with this name; an empty one if there is none.
    pub fn kind(&self, name: &str) -> KindReport {
        self.kinds.iter().find(|kind| kind.kind == name).cloned().unwrap_or_default()
    }
}

impl Results {
    /// Results without any runs yet.
    pub fn new(command: Vec<String>, seed: u64, started_at_ms: u64) -> Self {
        Self { schema: SCHEMA.to_owned(), command, seed, started_at_ms, runs: Vec::new() }
    }

    /// Reads results from JSON.
    ///
    /// # Errors
    /// The text is not JSON of this schema and version.
    pub fn parse(text: &str) -> eyre::Result<Self> {
        let results: Self = serde_json::from_str(text)?;
        eyre::ensure!(results.schema == SCHEMA, "schema is {}, expected {SCHEMA}", results.schema);
        Ok(results)
    }

    /// Whether every target of every run was met.
    pub fn is_met(&self) -> bool {
        self.runs.iter().flat_map(|run| &run.targets).all(|target| target.is_met)
    }

    /// The results as text for the terminal.
    pub fn to_text(&self) -> String {
        let mut text = format!("{} (seed {})\n", self.command.join(" "), self.seed);
        for run in &self.runs {
            run.write_text(&mut text);
        }
        text
    }

    /// A table of the figures that both results have, with the ratio of the other's to this one's.
    ///
    /// ```
    /// use hemlockrock::load::results::{Results, Run};
    ///
    /// let run = |value| Run {
    ///     name: "crest".into(),
    ///     figures: [("goodput_ratio".to_owned(), value)].into(),
    ///     ..Run::default()
    /// };
    /// let results = |value| Results { runs: vec![run(value)], ..Results::default() };
    /// assert!(results(0.5).compare(&results(1.0)).contains("2.000"));
    /// ```
    pub fn compare(&self, other: &Self) -> String {
        let mut text =
            format!("{:<60} {:>12} {:>12} {:>8}\n", "figure", "first", "second", "ratio");
        for run in &self.runs {
            let Some(counterpart) = other.runs.iter().find(|known| known.name == run.name) else {
                continue;
            };
            let others = counterpart.all_figures();
            for (name, first) in run.all_figures() {
                let Some(second) = others.get(&name) else { continue };
                let ratio = second / first;
                let name = format!("{}/{name}", run.name);
                let _ = writeln!(text, "{name:<60} {first:>12.3} {second:>12.3} {ratio:>8.3}");
            }
        }
        text
    }
}

impl Run {
    /// The window with this name; an empty one if there is none.
    pub fn window(&self, name: &str) -> Window {
        self.windows.iter().find(|window| window.name == name).cloned().unwrap_or_default()
    }

    /// The figures of the run and those of its windows, by name.
    fn all_figures(&self) -> BTreeMap<String, f64> {
        let mut figures = self.figures.clone();
        for window in &self.windows {
            for kind in &window.kinds {
                let of = |figure: &str| format!("{}/{}/{figure}", window.name, kind.kind);
                figures.insert(of("sent"), kind.sent as f64);
                figures.insert(of("done_in_time"), kind.done_in_time as f64);
                figures.insert(of("latency_p50_ms"), kind.latency.p50_ms);
                figures.insert(of("latency_p99_ms"), kind.latency.p99_ms);
                figures.insert(of("wait_p99_ms"), kind.wait.p99_ms);
            }
        }
        figures
    }

    fn write_text(&self, text: &mut String) {
        let _ = writeln!(text, "\n{}", self.name);
        if !self.windows.is_empty() {
            let _ = writeln!(text, "  {WINDOW_HEADER}");
        }
        for window in &self.windows {
            window.write_text(text);
        }
        for (name, value) in &self.figures {
            let _ = writeln!(text, "  {name}: {value:.3}");
        }
        for target in &self.targets {
            let state = if target.is_met { "met" } else { "MISSED" };
            let Target { name, measured, bound, .. } = target;
            let _ = writeln!(text, "  target {state}: {name}: {measured:.3}, bound {bound:.3}");
        }
    }
}

/// Column titles of the lines that [`Window::write_text`] writes.
const WINDOW_HEADER: &str =
    "window     kind         sent  in time     done  not run  unknown no answer failed  wrong \
                      |   p50 ms    p99 ms  wait p50  wait p99";

impl Window {
    fn write_text(&self, text: &mut String) {
        for kind in &self.kinds {
            let _ = writeln!(
                text,
                "  {:<10} {:<8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9} {:>6} {:>6} | {:>8.2} {:>9.2} {:>9.2} {:>9.2}",
                self.name,
                kind.kind,
                kind.sent,
                kind.done_in_time,
                kind.done,
                kind.not_run,
                kind.unknown,
                kind.unanswered,
                kind.failed,
                kind.wrong_answers,
                kind.latency.p50_ms,
                kind.latency.p99_ms,
                kind.wait.p50_ms,
                kind.wait.p99_ms,
            );
        }
        for (reason, count) in &self.reasons {
            let _ = writeln!(text, "    {reason}: {count}");
        }
    }
}
