//! Faults of the fake store, chosen by a seed and set while it runs.

use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use serde::{Deserialize, Serialize};

use crate::store::Operation;

/// What goes wrong; fractions are of all calls to which a fault applies.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Seed of the choices.
    pub seed: u64,
    /// Every call is refused without effect.
    pub down: bool,
    /// No call is answered or takes effect.
    pub silent: bool,
    /// Delay before each call takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Fraction of calls whose answer is lost after they took effect.
    pub lose_answers: f64,
    /// Fraction of calls that are refused as overload.
    pub overload: f64,
    /// Fraction of reads that are answered from the state at the time the fault was set.
    pub stale_reads: f64,
    /// Writes a second above which calls are refused as overload; 0 for no limit.
    pub writes_per_s: u64,
    /// Reads and watches a second above which calls are refused as overload; 0 for no limit.
    pub reads_per_s: u64,
    /// Drops the history once, so that watches meet a gap.
    pub compact: bool,
}

/// What becomes of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Carried out and answered.
    Answer,
    /// Refused without effect.
    Refuse,
    /// Neither carried out nor answered.
    Silence,
    /// Carried out, but the answer is lost.
    LoseAnswer,
    /// Refused as overload.
    Overload,
    /// Answered from an old state.
    Stale,
}

/// Chooses the fate of calls; pure, so that models can drive it.
#[derive(Debug)]
pub struct Injector {
    faults: Faults,
    random: SmallRng,
}

impl Injector {
    /// An injector of `faults`.
    ///
    /// ```
    /// use hemlockrock::standin::store::faults;
    /// use hemlockrock::store::Operation;
    ///
    /// let faults = faults::Faults { down: true, ..faults::Faults::default() };
    /// let mut injector = faults::Injector::new(faults);
    /// assert_eq!(injector.fate(&Operation::Get { key: "a".into() }), faults::Fate::Refuse);
    /// ```
    pub fn new(faults: Faults) -> Self {
        let random = SmallRng::seed_from_u64(faults.seed);
        Self { faults, random }
    }

    /// The faults in force.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// What becomes of the next call.
    pub fn fate(&mut self, operation: &Operation) -> Fate {
        if self.faults.silent {
            return Fate::Silence;
        }
        if self.faults.down {
            return Fate::Refuse;
        }
        if self.chance(self.faults.overload) {
            return Fate::Overload;
        }
        let is_read = matches!(operation, Operation::Get { .. } | Operation::List { .. });
        if is_read && self.chance(self.faults.stale_reads) {
            return Fate::Stale;
        }
        if self.chance(self.faults.lose_answers) {
            return Fate::LoseAnswer;
        }
        Fate::Answer
    }

    fn chance(&mut self, fraction: f64) -> bool {
        fraction > 0.0 && self.random.random::<f64>() < fraction
    }
}

/// Calls that the fake has taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Counters {
    /// Gets and lists.
    pub reads: u64,
    /// Writes, lease calls included.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Calls that were refused or met silence.
    pub refused: u64,
    /// Calls whose answer was lost.
    pub lost: u64,
}

impl Counters {
    /// Counts one call.
    pub fn count(&mut self, operation: &Operation, fate: Fate) {
        match operation {
            Operation::Watch { .. } => self.watches += 1,
            operation if operation.is_write() => self.writes += 1,
            _ => self.reads += 1,
        }
        match fate {
            Fate::Refuse | Fate::Silence | Fate::Overload => self.refused += 1,
            Fate::LoseAnswer => self.lost += 1,
            Fate::Answer | Fate::Stale => {}
        }
    }

    /// Calls of all kinds.
    pub fn total(&self) -> u64 {
        self.reads + self.writes + self.watches
    }
}
