//! Team quotas: one record for the cell, which splits each quota into a share for each zone.
//!
//! Only the zone itself changes its shares, by a compare-and-swap of the record. It raises a share
//! only by resources that no zone holds, and lowers it at most to what its tasks use. Thus the
//! shares of a team never add up to more than its quota, except while a lowered quota waits for
//! tasks to end, and a zone that is cut off from the store keeps its shares.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::configs::quota::QuotaConfig;
use crate::declarations::TeamDeclaration;
use crate::place::spec::Resources;

/// Store key reserved for quotas. Placers keep the quota record under `quota/ledger` instead.
pub const KEY: &str = "cell/quota";

/// Resources that each team can use in one zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Shares {
    /// Share by team name; a missing team has no resources.
    pub teams: BTreeMap<String, Resources>,
}

/// Resources that a team uses and waits for in one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TeamDemand {
    /// Resources reserved for its tasks.
    pub used: Resources,
    /// Total resources that its waiting tasks require.
    pub waiting: Resources,
}

/// Record of the quotas of all teams and of the shares that the zones hold, as stored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct QuotaRecord {
    /// Quota and shares by team name.
    pub teams: BTreeMap<String, TeamQuota>,
}

/// Quota of one team and the shares of it that the zones hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct TeamQuota {
    /// Quota for the whole cell; zero for a team that is no longer declared.
    pub total: Resources,
    /// Share by zone name; a missing zone holds none and requests none.
    pub zones: BTreeMap<String, ZoneShare>,
}

/// Share of one zone in the quota of a team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct ZoneShare {
    /// Resources that the tasks of the team can use in the zone.
    pub granted: Resources,
    /// Resources that the zone lacks, and that other zones are to return if they can.
    pub wanted: Resources,
}

impl QuotaRecord {
    /// Returns the record with the declared quotas. Teams that are no longer declared have a zero
    /// quota, and are removed once no zone holds a share.
    #[must_use]
    pub fn with_totals(mut self, declared: &[TeamDeclaration]) -> Self {
        for team in self.teams.values_mut() {
            team.total = Resources::default();
        }
        for team in declared {
            let total = Resources::new(team.cpu_millis, team.memory_bytes, team.accelerators);
            self.teams.entry(team.name.clone()).or_default().total = total;
        }
        self.teams.retain(|_, team| !team.total.is_zero() || !team.zones.is_empty());
        self
    }

    /// Returns the record after `zone` took, requested or returned resources according to the
    /// `demands` of its teams, by team name.
    ///
    /// Write the result by compare-and-swap on `self`, and use its [`QuotaRecord::shares`] only
    /// once it is written. Lower shares must be effective at the placer before they are written.
    ///
    /// ```
    /// use hemlockrock::configs::quota::QuotaConfig;
    /// use hemlockrock::declarations::TeamDeclaration;
    /// use hemlockrock::place::spec::Resources;
    /// use hemlockrock::quota::{QuotaRecord, TeamDemand};
    ///
    /// let team = TeamDeclaration { name: "range".into(), cpu_millis: 8_000, ..Default::default() };
    /// let waiting = Resources::new(2_000, 0, 0);
    /// let demand = TeamDemand { used: Resources::default(), waiting };
    /// let demands = [("range".to_owned(), demand)].into();
    /// let record = QuotaRecord::default().with_totals(&[team]);
    /// let record = record.rebalanced("mid-1", &demands, &QuotaConfig::default());
    /// assert_eq!(record.shares("mid-1").teams["range"].cpu_millis, 2_000);
    /// ```
    #[must_use]
    pub fn rebalanced(
        &self,
        zone: &str,
        demands: &BTreeMap<String, TeamDemand>,
        config: &QuotaConfig,
    ) -> Self {
        let mut next = self.clone();
        for (name, team) in &mut next.teams {
            let demand = demands.get(name).copied().unwrap_or_default();
            let share = team.rebalanced_share(zone, demand, config);
            if share == ZoneShare::default() {
                team.zones.remove(zone);
            } else {
                team.zones.insert(zone.to_owned(), share);
            }
        }
        next.teams.retain(|_, team| !team.total.is_zero() || !team.zones.is_empty());
        next
    }

    /// Shares that `zone` holds, by team.
    pub fn shares(&self, zone: &str) -> Shares {
        let share = |team: &TeamQuota| team.zones.get(zone).map(|share| share.granted);
        let teams = self.teams.iter();
        Shares {
            teams: teams
                .map(|(name, team)| (name.clone(), share(team).unwrap_or_default()))
                .collect(),
        }
    }
}

impl TeamQuota {
    /// Sum of the shares of all zones.
    pub fn granted(&self) -> Resources {
        self.zones.values().fold(Resources::default(), |sum, share| sum.plus(share.granted))
    }

    fn rebalanced_share(&self, zone: &str, demand: TeamDemand, config: &QuotaConfig) -> ZoneShare {
        let held = self.zones.get(zone).copied().unwrap_or_default();
        let granted = self.granted();
        let others = self.zones.iter().filter(|(name, _)| *name != zone);
        let wanted_elsewhere =
            others.fold(Resources::default(), |sum, (_, share)| sum.plus(share.wanted));
        let wanting = self.zones.iter().filter(|(_, share)| !share.wanted.is_zero());
        let claimants = wanting.map(|(name, _)| name.as_str()).chain([zone]);
        let claimants: std::collections::BTreeSet<&str> = claimants.collect();
        let claimants = u64::try_from(claimants.len()).unwrap_or(u64::MAX);
        let mut share = ZoneShare::default();
        for kind in ResourceKind::ALL {
            let calculation = ShareCalculation {
                held: kind.of(held.granted),
                used: kind.of(demand.used),
                waiting: kind.of(demand.waiting),
                total: kind.of(self.total),
                granted: kind.of(granted),
                wanted_elsewhere: kind.of(wanted_elsewhere),
                claimants,
                headroom_percent: config.headroom_percent,
            };
            let (granted, wanted) = calculation.calculate();
            kind.set(&mut share.granted, granted);
            kind.set(&mut share.wanted, wanted);
        }
        share
    }
}

/// One resource dimension.
#[derive(Clone, Copy, Debug)]
enum ResourceKind {
    Processor,
    Memory,
    Accelerators,
}

impl ResourceKind {
    const ALL: [Self; 3] = [Self::Processor, Self::Memory, Self::Accelerators];

    fn of(self, resources: Resources) -> u64 {
        match self {
            Self::Processor => resources.cpu_millis,
            Self::Memory => resources.memory_bytes,
            Self::Accelerators => u64::from(resources.accelerators),
        }
    }

    fn set(self, resources: &mut Resources, amount: u64) {
        match self {
            Self::Processor => resources.cpu_millis = amount,
            Self::Memory => resources.memory_bytes = amount,
            Self::Accelerators => {
                resources.accelerators = u32::try_from(amount).unwrap_or(u32::MAX);
            }
        }
    }
}

/// Inputs for the share of one zone in one resource of one team. Amounts are in the unit of the
/// resource: millicores, bytes or accelerators.
#[derive(Clone, Copy, Debug)]
struct ShareCalculation {
    /// Current share of the zone.
    held: u64,
    /// Amount reserved for tasks in the zone.
    used: u64,
    /// Amount that waiting tasks in the zone require.
    waiting: u64,
    /// Quota of the team.
    total: u64,
    /// Sum of the shares of all zones, including this one.
    granted: u64,
    /// Sum of what the other zones request.
    wanted_elsewhere: u64,
    /// Number of zones that request more, plus this zone if it is not among them.
    claimants: u64,
    /// Extra share to hold beyond the used amount, in percent of it.
    headroom_percent: u64,
}

impl ShareCalculation {
    /// The new share of the zone, and the amount that the zone then lacks.
    fn calculate(self) -> (u64, u64) {
        if self.granted > self.total {
            return (self.after_quota_reduction(), 0);
        }
        let headroom = self.used.saturating_mul(self.headroom_percent) / 100;
        let desired = self.used.saturating_add(self.waiting).saturating_add(headroom);
        let free = self.total - self.granted;
        if self.wanted_elsewhere > free {
            return self.return_surplus(desired, self.wanted_elsewhere - free);
        }
        let taken = desired.saturating_sub(self.held).min(free);
        let held = self.held + taken;
        (held, self.shortage(held))
    }

    /// New share after the quota was reduced below the granted amount: returns unused resources, up
    /// to the excess.
    fn after_quota_reduction(self) -> u64 {
        let excess = self.granted - self.total;
        self.held - excess.min(self.held.saturating_sub(self.used))
    }

    /// New share and remaining shortage when other zones lack more than is free. The zone returns
    /// what it does not use beyond the smaller of its desired amount and an even share.
    fn return_surplus(self, desired: u64, shortage_elsewhere: u64) -> (u64, u64) {
        let even_share = self.total / self.claimants;
        let floor = self.used.max(desired.min(even_share));
        let surplus = self.held.saturating_sub(floor);
        let held = self.held - surplus.min(shortage_elsewhere);
        // A zone that holds less than an even share takes from the free amount like the others.
        let free = self.total - self.granted;
        let taken = desired.min(even_share).saturating_sub(held).min(free);
        let held = held + taken;
        (held, self.shortage(held))
    }

    fn shortage(self, held: u64) -> u64 {
        self.used.saturating_add(self.waiting).saturating_sub(held)
    }
}
