//! Faults that the fake store injects; a seed makes the random ones repeatable.

use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use serde::{Deserialize, Serialize};

use crate::store::Operation;

/// The faults in force, as set by `POST /standin/faults`; the default is none.
///
/// Fractions are of all calls to which the fault applies, 0 to 1.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Seed of the random generator that decides which calls fail.
    pub seed: u64,
    /// Whether every call is refused without effect.
    pub down: bool,
    /// Whether calls stay unanswered and take no effect; wins over `down`.
    pub silent: bool,
    /// Delay before each call takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Fraction of calls whose answer is lost after they took effect.
    pub lose_answers: f64,
    /// Fraction of calls that are refused as overload.
    pub overload: f64,
    /// Fraction of gets and lists answered from a copy of the state made when the faults were set.
    pub stale_reads: f64,
    /// Writes per second above which calls are refused as overload; 0 for no limit.
    pub writes_per_s: u64,
    /// Reads and watches per second above which calls are refused as overload; 0 for no limit.
    pub reads_per_s: u64,
    /// Whether to drop the change history once, so that earlier watches are answered with
    /// `Compacted`.
    pub compact: bool,
}

/// What the fake store does with one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultAction {
    /// Applies the call and answers it.
    Answer,
    /// Refuses the call without effect.
    Refuse,
    /// Neither applies nor answers the call.
    Silence,
    /// Applies the call, but loses the answer.
    LoseAnswer,
    /// Refuses the call without effect, with an overload answer.
    Overload,
    /// Answers a read from the state at the time when the faults were set.
    Stale,
}

/// Decides which calls fail and how.
///
/// Does no I/O and reads no clock, so that model-based tests can drive it directly.
#[derive(Debug)]
pub struct Injector {
    faults: Faults,
    random: SmallRng,
}

impl Injector {
    /// Creates an injector whose random sequence starts from `faults.seed`.
    ///
    /// ```
    /// use hemlockrock::standin::store::faults;
    /// use hemlockrock::store::Operation;
    ///
    /// let faults = faults::Faults { down: true, ..faults::Faults::default() };
    /// let mut injector = faults::Injector::new(faults);
    /// assert_eq!(injector.next_action(&Operation::Get { key: "a".into() }),
    /// faults::FaultAction::Refuse);
    /// ```
    pub fn new(faults: Faults) -> Self {
        let random = SmallRng::seed_from_u64(faults.seed);
        Self { faults, random }
    }

    /// Faults that the injector was created with.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Decides what to do with the next call; draws from the random sequence.
    pub fn next_action(&mut self, operation: &Operation) -> FaultAction {
        if self.faults.silent {
            return FaultAction::Silence;
        }
        if self.faults.down {
            return FaultAction::Refuse;
        }
        if self.chance(self.faults.overload) {
            return FaultAction::Overload;
        }
        let is_read = matches!(
            operation,
            Operation::Get { .. } | Operation::List { .. } | Operation::ListPage { .. }
        );
        if is_read && self.chance(self.faults.stale_reads) {
            return FaultAction::Stale;
        }
        if self.chance(self.faults.lose_answers) {
            return FaultAction::LoseAnswer;
        }
        FaultAction::Answer
    }

    fn chance(&mut self, fraction: f64) -> bool {
        fraction > 0.0 && self.random.random::<f64>() < fraction
    }
}

/// Number of calls that the fake store received, by kind and by fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Counters {
    /// Gets and lists, those that failed included.
    pub reads: u64,
    /// Writes and lease calls, those that failed included.
    pub writes: u64,
    /// Watches, those that failed included.
    pub watches: u64,
    /// Calls of any kind that were refused or left unanswered without effect.
    pub refused: u64,
    /// Calls of any kind that took effect but whose answer was lost.
    pub lost: u64,
}

impl Counters {
    /// Counts one call by its kind and by what the injector did with it.
    pub fn count(&mut self, operation: &Operation, action: FaultAction) {
        match operation {
            Operation::Watch { .. } => self.watches += 1,
            operation if operation.is_write() => self.writes += 1,
            _ => self.reads += 1,
        }
        match action {
            FaultAction::Refuse | FaultAction::Silence | FaultAction::Overload => self.refused += 1,
            FaultAction::LoseAnswer => self.lost += 1,
            FaultAction::Answer | FaultAction::Stale => {}
        }
    }

    /// Number of calls of all kinds.
    pub fn total(&self) -> u64 {
        self.reads + self.writes + self.watches
    }
}
