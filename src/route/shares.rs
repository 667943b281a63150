//! Divides the slots of a service between short and long work.

/// Slots held free for short work beyond its mean demand, in square roots of that demand.
const RESERVE_ROOTS: f64 = 3.0;

/// Part of the spare slots that the reserve of short work may take.
const RESERVE_OF_SPARE: f64 = 0.75;

/// Demand for short work under which nothing is held back, in slots.
const MIN_SHORT_DEMAND: f64 = 0.001;

/// How many slots long work may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Shares {
    /// Slots that long work never goes beyond.
    pub(super) long_cap: u32,
    /// Slots under which waiting long work goes before short work.
    pub(super) long_floor: u32,
}

impl Shares {
    /// Shares of a pool with `slots`, by the slots that short and long work ask for.
    pub(super) fn new(slots: u32, short_demand: f64, long_demand: f64, floor_millis: u32) -> Self {
        let all = f64::from(slots);
        if slots < 2 || short_demand < MIN_SHORT_DEMAND {
            return Self { long_cap: slots, long_floor: 0 };
        }
        let demand = short_demand + long_demand;
        let fair = long_demand.min(all * long_demand / demand);
        let floor = (fair * f64::from(floor_millis) / 1_000.0).ceil().min(all - 1.0);
        let spare = (all - demand).max(0.0);
        let wanted = RESERVE_ROOTS * short_demand.sqrt() + 1.0;
        let margin = wanted.min(spare * RESERVE_OF_SPARE);
        let cap = (all - short_demand - margin).ceil().clamp(floor.max(1.0), all - 1.0);
        Self { long_cap: cap as u32, long_floor: floor as u32 }
    }
}
