//! Kinds and rates of faults, and the fate of single calls.

use rand::rngs::SmallRng;
use rand::RngExt as _;

/// Number of calls to which the rates of the call faults refer.
const MILLI: u32 = 1_000;

/// Faults of a world. A gap is the mean time between two faults of its kind, in milliseconds; 0
/// means none.
#[derive(Clone, Copy, Debug)]
pub(super) struct Faults {
    /// Calls to runners that are lost before they arrive, in thousandths.
    pub(super) lost_millis: u32,
    /// Calls to runners that are carried out and not answered, in thousandths.
    pub(super) unanswered_millis: u32,
    /// Calls to runners that are not answered and carried out seconds later, in thousandths.
    pub(super) late_millis: u32,
    /// Crashes of each runner.
    pub(super) crash_gap_ms: u64,
    /// Cuts of each runner from the leaders and the store.
    pub(super) cut_gap_ms: u64,
    /// Kills and freezes of the leader, and cuts of it from the store.
    pub(super) leader_gap_ms: u64,
    /// Losses of runners, which go for good.
    pub(super) loss_gap_ms: u64,
    /// Faults of the leader near which runners go for good as well, in percent.
    pub(super) loss_percent: u32,
    /// Removals of the leader key that the leader does not notice at once.
    pub(super) revocation_gap_ms: u64,
    /// Writes to the store whose answer is lost, or that take effect seconds later, in thousandths.
    pub(super) write_millis: u32,
    /// Outages of the store.
    pub(super) outage_gap_ms: u64,
    /// Whether there are long-running tasks as well, which the faults can hit.
    pub(super) has_long_runs: bool,
    /// Whether the jobs belong to workspaces, whose limits hold some of them back.
    pub(super) has_workspaces: bool,
}

/// What happens to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fate {
    /// The call is carried out and answered.
    Answered,
    /// The call has no effect and is not answered.
    Lost,
    /// The call is carried out and not answered.
    Unanswered,
    /// The call is carried out after this time, in milliseconds, and not answered.
    Late(u64),
}

impl Faults {
    pub(super) const NONE: Self = Self {
        lost_millis: 0,
        unanswered_millis: 0,
        late_millis: 0,
        crash_gap_ms: 0,
        cut_gap_ms: 0,
        leader_gap_ms: 0,
        loss_gap_ms: 0,
        loss_percent: 0,
        revocation_gap_ms: 0,
        write_millis: 0,
        outage_gap_ms: 0,
        has_long_runs: false,
        has_workspaces: false,
    };

    /// Draws the fate of a call to a runner.
    pub(super) fn call_fate(&self, rng: &mut SmallRng) -> Fate {
        let draw = rng.random_range(0..MILLI);
        let unanswered = self.lost_millis + self.unanswered_millis;
        match draw {
            _ if draw < self.lost_millis => Fate::Lost,
            _ if draw < unanswered => Fate::Unanswered,
            _ if draw < unanswered + self.late_millis => {
                Fate::Late(rng.random_range(2_000..=12_000))
            }
            _ => Fate::Answered,
        }
    }

    /// Draws the fate of a call to the store.
    pub(super) fn write_fate(&self, rng: &mut SmallRng) -> Fate {
        if rng.random_range(0..MILLI) >= self.write_millis {
            return Fate::Answered;
        }
        match rng.random_range(0..3_u32) {
            0 => Fate::Lost,
            1 => Fate::Unanswered,
            _ => Fate::Late(rng.random_range(1_000..=6_000)),
        }
    }
}
