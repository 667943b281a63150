//! Quotas of teams: one record for the cell, from which zones take shares.
//!
//! Only a zone itself changes its own shares, by one compare-and-swap of the
//! record. It raises a share only out of what no zone holds, and lowers it
//! only as far as its tasks leave it. So the shares of a team never add up to
//! more than its quota, and a zone that is cut off keeps what it holds.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::configs::quota::QuotaConfig;
use crate::declarations::TeamDeclaration;
use crate::place::spec::Resources;

/// Key of the record in the store.
pub const KEY: &str = "cell/quota";

/// What each team may use in one zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Shares {
    /// Share by team; a team that is not listed has none.
    pub teams: BTreeMap<String, Resources>,
}

/// What a team uses and waits for in one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TeamDemand {
    /// Reserved for its tasks.
    pub used: Resources,
    /// What its waiting tasks ask for.
    pub waiting: Resources,
}

/// The record: quotas of all teams and the shares that zones hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct QuotaRecord {
    /// Teams by name.
    pub teams: BTreeMap<String, TeamQuota>,
}

/// The quota of a team and the shares that zones hold of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct TeamQuota {
    /// Quota over the whole cell.
    pub total: Resources,
    /// Shares by zone; a zone that is not listed holds none and wants none.
    pub zones: BTreeMap<String, ZoneShare>,
}

/// What a zone holds of a team's quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct ZoneShare {
    /// What its tasks may use.
    pub granted: Resources,
    /// What it lacks and asks the other zones to give back.
    pub wanted: Resources,
}

impl QuotaRecord {
    /// The record with the declared quotas; teams that are no longer declared have none, and leave
    /// once no zone holds a share.
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

    /// The record after `zone` took, asked for and gave back what its needs call for.
    ///
    /// Write it by compare-and-swap on the record that it was worked out from,
    /// and use [`Ledger::shares`] of it only once it is written. Lower shares
    /// must be in force at the placer before they are written.
    ///
    /// ```
    /// use hemlockrock::configs::quota::QuotaConfig;
    /// use hemlockrock::declarations::TeamDeclaration;
    /// use hemlockrock::place::spec::Resources;
    /// use hemlockrock::quota::{Ledger, Need};
    ///
    /// let team = TeamDeclaration { name: "range".into(), cpu_millis: 8_000, ..Default::default() };
    /// let need = Need { used: Resources::default(), waiting: Resources::new(2_000, 0, 0) };
    /// let needs = [("range".to_owned(), need)].into();
    /// let ledger = Ledger::default().with_totals(&[team]);
    /// let ledger = ledger.settled("mid-1", &needs, &QuotaConfig::default());
    /// assert_eq!(ledger.shares("mid-1").teams["range"].cpu_millis, 2_000);
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

    /// The shares of a zone.
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
    /// All that zones hold.
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

/// One kind of resource.
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

/// What decides the share of a zone in one kind of resource of one team.
#[derive(Clone, Copy, Debug)]
struct ShareCalculation {
    held: u64,
    used: u64,
    waiting: u64,
    total: u64,
    /// What all zones hold, this one included.
    granted: u64,
    wanted_elsewhere: u64,
    /// Zones that want more, this one included.
    claimants: u64,
    headroom_percent: u64,
}

impl ShareCalculation {
    /// The share to hold, and what is lacking.
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

    /// The quota was lowered: what the zone does not use goes first.
    fn after_quota_reduction(self) -> u64 {
        let excess = self.granted - self.total;
        self.held - excess.min(self.held.saturating_sub(self.used))
    }

    /// Others lack more than is free: what this zone does not need, or holds beyond an even
    /// part and does not use, goes back.
    fn return_surplus(self, desired: u64, shortage_elsewhere: u64) -> (u64, u64) {
        let even_share = self.total / self.claimants;
        let floor = self.used.max(desired.min(even_share));
        let surplus = self.held.saturating_sub(floor);
        let held = self.held - surplus.min(shortage_elsewhere);
        // Below an even part the zone takes from what is free like the others.
        let free = self.total - self.granted;
        let taken = desired.min(even_share).saturating_sub(held).min(free);
        let held = held + taken;
        (held, self.shortage(held))
    }

    fn shortage(self, held: u64) -> u64 {
        self.used.saturating_add(self.waiting).saturating_sub(held)
    }
}
