//! Measures how fast runners are, from the durations of the runs that they complete.
//!
//! The logarithm of a run's duration relative to its estimate is taken as the sum of three parts: the
//! error of the step's estimate, which all its tasks share, the speed of the runner, and noise. The
//! error of a step is the median over its runs after their runners' known speeds are subtracted, so
//! that runners are compared by runs of the same steps. The rest belongs to the runner and to each of
//! its labels. Old evidence loses half of its weight every half-life.

use slotmap::SecondaryMap;

use crate::collections::HashMap;
use crate::decision_log;
use crate::queue::model::StepId;
use crate::queue::scheduler::runner::RunnerKey;

/// Largest deviation of one run from what is expected of its runner that counts, as a logarithm. Three
/// tasks in a hundred take seven times as long; without the bound they would dominate the mean.
const MAX_DEVIATION: f64 = 0.8;

/// Weight of the usual error of a queue's estimates when the error of a step is determined, in runs.
const QUEUE_WEIGHT: f64 = 1.0;

/// Half-lives of speeds in one half-life of the usual error of a queue's estimates: that error is a
/// property of the callers and changes less often than the load of a runner.
const QUEUE_HALF_LIVES: f64 = 5.0;

/// Weight of runs at which the speed of a label is used.
const MIN_LABEL_WEIGHT: f64 = 15.0;

/// Weight of the label's mean in the estimate for a single runner, in runs.
const LABEL_PRIOR_WEIGHT: f64 = 6.0;

/// Weight of runs at which a single runner can differ from its label. With fewer, two tail durations
/// alone would make a runner appear slow.
const MIN_RUNNER_WEIGHT: f64 = 6.0;

/// Dead zone of a single runner relative to that of a label: the mean of a few runs is less certain.
const RUNNER_ZONE_RATIO: f64 = 1.4;

/// Part of the dead zone below which a difference that was clear is no longer clear.
const LEAVE_RATIO: f64 = 0.7;

/// Number of standard errors by which a mean has to differ.
const CLEAR_ERRORS: f64 = 4.0;

/// Smallest standard deviation that is assumed for the durations of like runs, as a logarithm.
const MIN_DEVIATION: f64 = 0.15;

/// Estimates below this are not compared, in milliseconds: the delays of orders and reports, some
/// tens of milliseconds, would distort the ratio.
const MIN_ESTIMATE_MS: u64 = 100;

/// Maximum numbers of steps with runs that are not evaluated yet, of labels and of queues.
const MAX_STEPS: usize = 4_000;
const MAX_LABELS: usize = 1_000;
const MAX_QUEUES: usize = 64;

/// Maximum number of runs of one step that are kept for comparison.
const MAX_STEP_RUNS: usize = 256;

/// Time after the last end of a run at which an incomplete step is evaluated, in milliseconds.
const STEP_WAIT_MS: u64 = 1_500;

/// Time after which an evaluated step is forgotten, in milliseconds.
const STEP_KEPT_MS: u64 = 30_000;

/// Shortest time between two evaluations, in milliseconds.
const REFRESH_MS: u64 = 250;

/// Least share of measured runners that must differ for the runners to count as uneven.
const MIN_UNEVEN_SHARE: f64 = 0.05;

/// Maximum number of labels in the list of [`Speeds::label_factors`].
const MAX_LISTED_LABELS: usize = 16;

/// Multiple of its expected duration after which a run that is still in progress counts as evidence
/// against its runner, if other runs of its step have ended.
const OVERRUN_RATIO: f64 = 2.0;

/// Like [`OVERRUN_RATIO`], if no other run of the step has ended: its estimate may be wrong by a
/// factor of two.
const UNCERTAIN_OVERRUN_RATIO: f64 = 4.0;

/// Exponentially decaying mean and variance.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    weight: f64,
    sum: f64,
    square_sum: f64,
    at_ms: u64,
}

impl Average {
    fn decay(&mut self, half_life_ms: f64, now_ms: u64) {
        #[allow(clippy::cast_precision_loss, reason = "a duration in milliseconds")]
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let share = (-elapsed_ms / half_life_ms).exp2();
        self.weight *= share;
        self.sum *= share;
        self.square_sum *= share;
        self.at_ms = self.at_ms.max(now_ms);
    }

    fn add(&mut self, value: f64, weight: f64, half_life_ms: f64, now_ms: u64) {
        self.decay(half_life_ms, now_ms);
        self.weight += weight;
        self.sum += value * weight;
        self.square_sum += value * value * weight;
    }

    fn mean(&self) -> f64 {
        if self.weight > 0.0 {
            self.sum / self.weight
        } else {
            0.0
        }
    }

    fn variance(&self) -> f64 {
        if self.weight <= 0.0 {
            return 0.0;
        }
        (self.square_sum / self.weight - self.mean().powi(2)).max(0.0)
    }

    /// Standard error of the mean.
    fn error(&self) -> f64 {
        self.variance().sqrt().max(MIN_DEVIATION) / self.weight.max(1.0).sqrt()
    }
}

#[derive(Debug, Default)]
struct LabelSpeed {
    average: Average,
    /// Whether the label's runners differ clearly from the usual ones.
    is_clear: bool,
    factor: f64,
    /// Number of runners whose speed the label explains best.
    runners: usize,
}

#[derive(Debug)]
struct RunnerSpeed {
    name: String,
    labels: Vec<String>,
    average: Average,
    /// Numbers of the runs in progress that take far longer than expected, and the sum of what they
    /// show.
    overrun_weight: f64,
    overrun_sum: f64,
    /// Best estimate of the logarithm of the runner's speed, whether or not it is clear.
    estimate: f64,
    is_clear: bool,
    factor: f64,
}

/// Runs of a step that have ended.
#[derive(Debug)]
struct StepRuns {
    queue: String,
    runs: Vec<(RunnerKey, f64)>,
    /// Error of the step's estimate, as a logarithm; `None` until the step was evaluated.
    error: Option<f64>,
    last_ms: u64,
}

/// A run that ended with its task completed.
#[derive(Clone, Copy, Debug)]
pub struct CompletedRun<'a> {
    /// Runner of the run.
    pub runner: RunnerKey,
    /// Step of its task.
    pub step: StepId,
    /// Queue of its job.
    pub queue: &'a str,
    /// Duration in milliseconds.
    pub duration_ms: u64,
    /// Estimated duration of the tasks of the step, in milliseconds.
    pub estimate_ms: u64,
}

/// Measured speeds of runners.
///
/// ```
/// use hemlockrock::queue::model::{JobId, StepId};
/// use hemlockrock::queue::scheduler::speed::{CompletedRun, Speeds};
/// use hemlockrock::queue::scheduler::RunnerKey;
/// use slotmap::SlotMap;
///
/// let mut keys: SlotMap<RunnerKey, ()> = SlotMap::with_key();
/// let (fast, slow) = (keys.insert(()), keys.insert(()));
/// let mut speeds = Speeds::new(30_000, 200);
/// speeds.set_runner(fast, "r-1", &["x".to_owned()]);
/// speeds.set_runner(slow, "r-2", &["y".to_owned()]);
/// for job in 0..100 {
///     let step = StepId { job: JobId(job), occurrence: 0, step: 0 };
///     for (runner, duration_ms) in [(fast, 700), (slow, 1_700)] {
///         let run = CompletedRun { runner, step, queue: "q", duration_ms, estimate_ms: 1_000 };
///         speeds.record_run(&run, job * 10);
///     }
///     speeds.complete_step(step, job * 10);
/// }
/// speeds.refresh(1_000);
/// assert!(speeds.are_uneven());
/// assert!(speeds.factor(fast) < 0.8 && speeds.factor(slow) > 1.2);
/// ```
#[derive(Debug)]
pub struct Speeds {
    half_life_ms: f64,
    dead_zone: f64,
    all: Average,
    labels: HashMap<String, LabelSpeed>,
    runners: SecondaryMap<RunnerKey, RunnerSpeed>,
    queues: HashMap<String, Average>,
    steps: HashMap<StepId, StepRuns>,
    /// Mean logarithm of the runners' speeds. Only differences of speeds are measured, so that it is not
    /// 0 in general.
    usual: f64,
    /// Whether factors of labels may have changed since they were last taken.
    have_labels_changed: bool,
    has_differences: bool,
    are_uneven: bool,
    /// Factor of the slow runners, on the average.
    slow_factor: f64,
    /// Factor of the fast runners, on the average.
    fast_factor: f64,
    next_refresh_ms: u64,
}

impl Speeds {
    /// No measurements yet: all runners count as equally fast.
    ///
    /// Evidence loses half of its weight in `half_life_ms`; differences of less than
    /// `dead_zone_millis` thousandths count as none.
    pub fn new(half_life_ms: u64, dead_zone_millis: u64) -> Self {
        #[allow(clippy::cast_precision_loss, reason = "small settings")]
        let (half_life_ms, dead_zone) =
            (half_life_ms.max(1) as f64, (dead_zone_millis as f64 / 1_000.0).ln_1p());
        Self {
            half_life_ms,
            dead_zone,
            all: Average::default(),
            labels: HashMap::default(),
            runners: SecondaryMap::new(),
            queues: HashMap::default(),
            steps: HashMap::default(),
            usual: 0.0,
            // Those of a former term are no longer known.
            have_labels_changed: true,
            has_differences: false,
            are_uneven: false,
            slow_factor: 1.0,
            fast_factor: 1.0,
            next_refresh_ms: 0,
        }
    }

    /// Expected duration of a run on this runner relative to that on the usual one: 2.0 takes twice
    /// as long. It is exactly 1.0 while no clear difference is known.
    pub fn factor(&self, runner: RunnerKey) -> f64 {
        self.runners.get(runner).map_or(1.0, |known| known.factor)
    }

    /// Whether a substantial part of the runners differs clearly in speed.
    pub fn are_uneven(&self) -> bool {
        self.are_uneven
    }

    /// Whether the factor of any runner differs from 1.0.
    pub fn has_differences(&self) -> bool {
        self.has_differences
    }

    /// Mean factor of the runners that are slower than usual; 1.0 if there are none.
    pub fn slow_factor(&self) -> f64 {
        self.slow_factor
    }

    /// Mean factor of the runners that are faster than usual; 1.0 if there are none.
    pub fn fast_factor(&self) -> f64 {
        self.fast_factor
    }

    /// Usual duration of the runs of a queue relative to their estimates, on a usual runner.
    pub fn usual_ratio(&self, queue: &str) -> f64 {
        let known = self.queues.get(queue).filter(|known| known.weight >= MIN_LABEL_WEIGHT);
        known.map_or(1.0, |known| (known.mean() + self.usual).exp())
    }

    /// Labels whose runners differ clearly from the usual ones, with their factors; a bounded number.
    pub fn label_factors(&self) -> Vec<(&str, f64)> {
        let clear = self.labels.iter().filter(|(_, known)| known.is_clear);
        let mut listed: Vec<(&str, f64)> =
            clear.map(|(label, known)| (label.as_str(), known.factor)).collect();
        listed.sort_unstable_by_key(|(label, _)| *label);
        listed.truncate(MAX_LISTED_LABELS);
        listed
    }

    /// Like [`Speeds::label_factors`], if they may have changed since the last call.
    pub fn take_label_factors(&mut self) -> Option<Vec<(String, f64)>> {
        if !std::mem::take(&mut self.have_labels_changed) {
            return None;
        }
        let factors = self.label_factors();
        Some(factors.into_iter().map(|(label, factor)| (label.to_owned(), factor)).collect())
    }

    /// Sets the name and the labels of a runner.
    pub fn set_runner(&mut self, key: RunnerKey, name: &str, labels: &[String]) {
        if let Some(known) = self.runners.get_mut(key) {
            if known.labels != labels {
                known.labels = labels.to_vec();
            }
            return;
        }
        let runner = RunnerSpeed {
            name: name.to_owned(),
            labels: labels.to_vec(),
            average: Average::default(),
            overrun_weight: 0.0,
            overrun_sum: 0.0,
            estimate: 0.0,
            is_clear: false,
            factor: 1.0,
        };
        self.runners.insert(key, runner);
    }

    /// Forgets the runners for which `is_known` is false.
    pub fn retain_runners(&mut self, is_known: impl Fn(RunnerKey) -> bool) {
        self.runners.retain(|key, _| is_known(key));
    }

    /// Records a run that completed its task. It is evaluated together with the other runs of its
    /// step.
    pub fn record_run(&mut self, run: &CompletedRun<'_>, now_ms: u64) {
        if run.estimate_ms < MIN_ESTIMATE_MS || !self.runners.contains_key(run.runner) {
            return;
        }
        let value = log_ratio(run.duration_ms, run.estimate_ms);
        if !self.steps.contains_key(&run.step) && self.steps.len() >= MAX_STEPS {
            return;
        }
        let queue = if self.queues.len() < MAX_QUEUES || self.queues.contains_key(run.queue) {
            run.queue
        } else {
            ""
        };
        let step = self.steps.entry(run.step).or_insert_with(|| StepRuns {
            queue: queue.to_owned(),
            runs: Vec::new(),
            error: None,
            last_ms: now_ms,
        });
        step.last_ms = now_ms;
        if let Some(error) = step.error {
            self.add_evidence(run.runner, value - error, 1.0, now_ms);
        } else if step.runs.len() < MAX_STEP_RUNS {
            step.runs.push((run.runner, value));
        }
    }

    /// Evaluates the runs of a step whose tasks are all done.
    pub fn complete_step(&mut self, step: StepId, now_ms: u64) {
        self.evaluate_step(step, now_ms);
        self.steps.remove(&step);
    }

    fn evaluate_step(&mut self, id: StepId, now_ms: u64) {
        let Some(step) = self.steps.get_mut(&id).filter(|step| step.error.is_none()) else {
            return;
        };
        let runs = std::mem::take(&mut step.runs);
        let queue = step.queue.clone();
        let Some(own) = median_error(&self.runners, &runs) else { return };
        #[allow(clippy::cast_precision_loss, reason = "a small number")]
        let count = runs.len() as f64;
        let usual = self.queues.entry(queue).or_default();
        let usual_weight = if usual.weight > 0.0 { QUEUE_WEIGHT } else { 0.0 };
        let error = (usual.mean() * usual_weight + own * count) / (usual_weight + count);
        // A single run of a step tells its runner and the error of the estimate apart only by the
        // usual error.
        let weight = 1.0 - 1.0 / (count + QUEUE_WEIGHT);
        usual.add(own, 1.0, self.half_life_ms * QUEUE_HALF_LIVES, now_ms);
        step.error = Some(error);
        for (runner, value) in runs {
            self.add_evidence(runner, value - error, weight, now_ms);
        }
    }

    /// Adds one observation of the logarithm of a runner's speed.
    fn add_evidence(&mut self, key: RunnerKey, value: f64, weight: f64, now_ms: u64) {
        let Some(runner) = self.runners.get_mut(key) else { return };
        let value = bounded(value, runner.estimate);
        let half_life_ms = self.half_life_ms;
        runner.average.add(value, weight, half_life_ms, now_ms);
        self.all.add(value, weight, half_life_ms, now_ms);
        for label in &runner.labels {
            if let Some(known) = self.labels.get_mut(label) {
                known.average.add(value, weight, half_life_ms, now_ms);
            } else if self.labels.len() < MAX_LABELS {
                let mut known = LabelSpeed { factor: 1.0, ..LabelSpeed::default() };
                known.average.add(value, weight, half_life_ms, now_ms);
                self.labels.insert(label.clone(), known);
            }
        }
    }

    /// Multiple of the expected duration for which a run is already in progress, and whether other runs
    /// of its step show how wrong the estimate is.
    pub fn overrun(&self, run: &CompletedRun<'_>) -> (f64, bool) {
        let step = self.steps.get(&run.step);
        let own = step.and_then(|step| {
            step.error.or_else(|| {
                let is_enough = step.runs.len() >= 2;
                is_enough.then(|| median_error(&self.runners, &step.runs)).flatten()
            })
        });
        let usual = self.queues.get(run.queue).map_or(0.0, Average::mean);
        let estimate = self.runners.get(run.runner).map_or(0.0, |known| known.estimate);
        let ratio = log_ratio(run.duration_ms, run.estimate_ms) - own.unwrap_or(usual) - estimate;
        (ratio.exp(), own.is_some())
    }

    /// Replaces what the runs in progress show about their runners: those that take far longer than
    /// expected are evidence before they end.
    pub fn set_runs_in_progress<'a>(&mut self, runs: impl IntoIterator<Item = CompletedRun<'a>>) {
        for runner in self.runners.values_mut() {
            (runner.overrun_weight, runner.overrun_sum) = (0.0, 0.0);
        }
        for run in runs {
            if run.estimate_ms < MIN_ESTIMATE_MS {
                continue;
            }
            let (ratio, is_compared) = self.overrun(&run);
            let limit = if is_compared { OVERRUN_RATIO } else { UNCERTAIN_OVERRUN_RATIO };
            let Some(runner) = self.runners.get_mut(run.runner).filter(|_| ratio > limit) else {
                continue;
            };
            runner.overrun_weight += 1.0;
            runner.overrun_sum += bounded(runner.estimate + ratio.ln(), runner.estimate);
        }
    }

    /// Whether [`Speeds::refresh`] is due.
    pub fn is_refresh_due(&self, now_ms: u64) -> bool {
        now_ms >= self.next_refresh_ms
    }

    /// Evaluates the measurements up to now; the factors change only here.
    pub fn refresh(&mut self, now_ms: u64) {
        self.next_refresh_ms = now_ms + REFRESH_MS;
        let mut due: Vec<(StepId, u64)> = self
            .steps
            .iter()
            .filter(|(_, step)| step.error.is_none() && now_ms >= step.last_ms + STEP_WAIT_MS)
            .map(|(id, step)| (*id, step.last_ms))
            .collect();
        due.sort_unstable();
        for (id, last_ms) in due {
            self.evaluate_step(id, last_ms);
        }
        self.steps.retain(|_, step| now_ms < step.last_ms + STEP_KEPT_MS);
        self.all.decay(self.half_life_ms, now_ms);
        for known in self.labels.values_mut() {
            known.average.decay(self.half_life_ms, now_ms);
            known.runners = 0;
        }
        for known in self.queues.values_mut() {
            known.decay(self.half_life_ms * QUEUE_HALF_LIVES, now_ms);
        }
        let mut bases: SecondaryMap<RunnerKey, (f64, Option<String>)> = SecondaryMap::new();
        let mut base_sum = 0.0;
        for (key, runner) in &mut self.runners {
            runner.average.decay(self.half_life_ms, now_ms);
            let label = explaining_label(&self.labels, &runner.labels).cloned();
            let known = label.as_ref().and_then(|label| self.labels.get_mut(label));
            let base = known.map_or(self.all.mean(), |known| {
                known.runners += 1;
                known.average.mean()
            });
            base_sum += base;
            bases.insert(key, (base, label));
        }
        #[allow(clippy::cast_precision_loss, reason = "a number of runners")]
        let usual = base_sum / bases.len().max(1) as f64;
        self.usual = usual;
        self.refresh_labels(usual);
        self.refresh_runners(&bases, usual);
    }

    fn refresh_labels(&mut self, usual: f64) {
        self.labels.retain(|_, known| known.average.weight >= 0.01 || known.is_clear);
        for (label, known) in &mut self.labels {
            let deviation = known.average.mean() - usual;
            let is_known = known.runners > 0 && known.average.weight >= MIN_LABEL_WEIGHT;
            let error = known.average.error();
            let is_clear = is_known && is_clear(deviation, error, self.dead_zone, known.is_clear);
            let factor = if is_clear { rounded_factor(deviation) } else { 1.0 };
            self.have_labels_changed |= (factor - known.factor).abs() > f64::EPSILON;
            known.factor = factor;
            if is_clear != known.is_clear {
                known.is_clear = is_clear;
                log_change("kind", label, is_clear, deviation, known.average.weight);
            }
        }
    }

    fn refresh_runners(
        &mut self,
        bases: &SecondaryMap<RunnerKey, (f64, Option<String>)>,
        usual: f64,
    ) {
        let mut measured = 0.0_f64;
        let mut different = 0.0_f64;
        let (mut slow, mut fast) = (Vec::new(), Vec::new());
        let dead_zone = self.dead_zone * RUNNER_ZONE_RATIO;
        self.has_differences = false;
        for (key, runner) in &mut self.runners {
            let Some((base, label)) = bases.get(key) else { continue };
            let label = label.as_ref().and_then(|label| self.labels.get(label));
            let weight = runner.average.weight + runner.overrun_weight;
            let sum = runner.average.sum + runner.overrun_sum;
            let own = (sum - weight * base) / (weight + LABEL_PRIOR_WEIGHT);
            runner.estimate = base + own;
            let spread = label.map_or(self.all.variance(), |known| known.average.variance());
            let error = spread.sqrt().max(MIN_DEVIATION) / (weight + LABEL_PRIOR_WEIGHT).sqrt();
            // A group of few runners is not the base of a comparison with itself.
            let is_clear = weight >= MIN_RUNNER_WEIGHT
                && is_clear(own, error, dead_zone, runner.is_clear)
                && label.is_none_or(|known| known.runners > 1);
            let label_factor = label.map_or(1.0, |known| known.factor);
            runner.factor =
                if is_clear { rounded_factor(base - usual + own) } else { label_factor };
            if is_clear != runner.is_clear {
                runner.is_clear = is_clear;
                log_change("runner", &runner.name, is_clear, base - usual + own, weight);
            }
            let is_different = (runner.factor - 1.0).abs() > f64::EPSILON;
            self.has_differences |= is_different;
            measured += f64::from(u8::from(weight > 0.0 || label.is_some()));
            different += f64::from(u8::from(is_different));
            if runner.factor > 1.0 {
                slow.push(runner.factor);
            } else if is_different {
                fast.push(runner.factor);
            }
        }
        self.slow_factor = mean_factor(&slow);
        self.fast_factor = mean_factor(&fast);
        self.are_uneven = self.has_differences && different >= measured * MIN_UNEVEN_SHARE;
    }
}

/// Median error of the estimate over the runs of a step, once the speeds of their runners are
/// subtracted.
fn median_error(
    runners: &SecondaryMap<RunnerKey, RunnerSpeed>,
    runs: &[(RunnerKey, f64)],
) -> Option<f64> {
    let speed = |key: RunnerKey| runners.get(key).map_or(0.0, |known| known.estimate);
    let mut errors: Vec<f64> = runs.iter().map(|(key, value)| value - speed(*key)).collect();
    errors.sort_unstable_by(f64::total_cmp);
    let upper = *errors.get(errors.len() / 2)?;
    if errors.len() % 2 == 1 {
        return Some(upper);
    }
    Some(f64::midpoint(*errors.get(errors.len() / 2 - 1)?, upper))
}

/// The label of a runner whose runs vary the least: the speed of its runners is the most alike.
fn explaining_label<'a>(
    labels: &HashMap<String, LabelSpeed>,
    own: &'a [String],
) -> Option<&'a String> {
    let spread = |label: &String| {
        let average = labels.get(label)?.average;
        let is_known = average.weight >= MIN_LABEL_WEIGHT;
        let variance = average.variance() + MIN_DEVIATION.powi(2);
        // A label with few runs varies little by chance.
        is_known.then(|| variance * (1.0 + 3.0 / average.weight.sqrt()))
    };
    let known = own.iter().filter_map(|label| Some((label, spread(label)?)));
    known.min_by(|left, right| left.1.total_cmp(&right.1)).map(|(label, _)| label)
}

fn is_clear(deviation: f64, error: f64, dead_zone: f64, was_clear: bool) -> bool {
    let ratio = if was_clear { LEAVE_RATIO } else { 1.0 };
    deviation.abs() > (dead_zone * ratio).max(error * CLEAR_ERRORS * ratio)
}

fn bounded(value: f64, expected: f64) -> f64 {
    value.clamp(expected - MAX_DEVIATION, expected + MAX_DEVIATION)
}

/// A factor in steps of 5%, so that small changes do not override the balance between runners.
fn rounded_factor(deviation: f64) -> f64 {
    const STEPS: f64 = 20.0;
    ((deviation.clamp(-3.0, 3.0).exp() * STEPS).round() / STEPS).max(1.0 / STEPS)
}

/// Mean of factors; 1.0 if there are none.
fn mean_factor(factors: &[f64]) -> f64 {
    if factors.is_empty() {
        return 1.0;
    }
    #[allow(clippy::cast_precision_loss, reason = "a number of runners")]
    let count = factors.len() as f64;
    factors.iter().sum::<f64>() / count
}

fn log_ratio(duration_ms: u64, estimate_ms: u64) -> f64 {
    #[allow(clippy::cast_precision_loss, reason = "durations in milliseconds")]
    let ratio = duration_ms.max(1) as f64 / estimate_ms.max(1) as f64;
    ratio.ln()
}

fn log_change(subject: &str, name: &str, is_clear: bool, deviation: f64, weight: f64) {
    let speed = match (is_clear, deviation > 0.0) {
        (false, _) => "usual",
        (true, true) => "slow",
        (true, false) => "fast",
    };
    decision_log::line("speed_changed")
        .with(subject, name)
        .with("speed", speed)
        .with("factor", format_args!("{:.2}", deviation.exp()))
        .with("runs", format_args!("{weight:.0}"))
        .end();
}
