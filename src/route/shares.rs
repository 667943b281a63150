//! Division of the slots of a service between short and long work.

/// Slots reserved for short work beyond its mean demand, in standard deviations.
///
/// With Poisson arrivals the standard deviation is the square root of the demand.
const RESERVE_STD_DEVS: f64 = 3.0;

/// Share of the spare slots that the reserve of short work may take.
const MAX_RESERVE_OF_SPARE: f64 = 0.75;

/// Demand of short work below which no slots are reserved for it, in slots.
const MIN_SHORT_DEMAND: f64 = 0.001;

/// Limits of the slots used by long work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SlotShares {
    /// Maximum number of slots that long work may use.
    pub(super) long_cap: u32,
    /// Number of slots up to which queued long work is sent before short work.
    pub(super) long_floor: u32,
}

impl SlotShares {
    /// Shares of a pool with `slots`, by the mean number of slots that each class demands.
    ///
    /// `floor_millis` is the guaranteed part of long work's proportional share, in thousandths.
    pub(super) fn new(slots: u32, short_demand: f64, long_demand: f64, floor_millis: u32) -> Self {
        let total = f64::from(slots);
        if slots < 2 || short_demand < MIN_SHORT_DEMAND {
            return Self { long_cap: slots, long_floor: 0 };
        }
        let demand = short_demand + long_demand;
        let long_share = long_demand.min(total * long_demand / demand);
        let floor = (long_share * f64::from(floor_millis) / 1_000.0).ceil().min(total - 1.0);
        let spare = (total - demand).max(0.0);
        let wanted_reserve = RESERVE_STD_DEVS * short_demand.sqrt() + 1.0;
        let reserve = wanted_reserve.min(spare * MAX_RESERVE_OF_SPARE);
        let cap = (total - short_demand - reserve).ceil().clamp(floor.max(1.0), total - 1.0);
        Self { long_cap: cap as u32, long_floor: floor as u32 }
    }
}
