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
pub struct Need {
    /// Reserved for its tasks.
    pub used: Resources,
    /// What its waiting tasks ask for.
    pub waiting: Resources,
}

/// The record: quotas of all teams and the shares that zones hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Ledger {
    /// Teams by name.
    pub teams: BTreeMap<String, TeamLedger>,
}

/// The quota of a team and the shares that zones hold of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct TeamLedger {
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

impl Ledger {
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
    pub fn settled(
        &self,
        zone: &str,
        needs: &BTreeMap<String, Need>,
        config: &QuotaConfig,
    ) -> Self {
        let mut next = self.clone();
        for (name, team) in &mut next.teams {
            let need = needs.get(name).copied().unwrap_or_default();
            let share = team.settled_share(zone, need, config);
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
        let share = |team: &TeamLedger| team.zones.get(zone).map(|share| share.granted);
        let teams = self.teams.iter();
        Shares {
            teams: teams
                .map(|(name, team)| (name.clone(), share(team).unwrap_or_default()))
                .collect(),
        }
    }
}

impl TeamLedger {
    /// All that zones hold.
    pub fn granted(&self) -> Resources {
        self.zones.values().fold(Resources::default(), |sum, share| sum.plus(share.granted))
    }

    fn settled_share(&self, zone: &str, need: Need, config: &QuotaConfig) -> ZoneShare {
        let held = self.zones.get(zone).copied().unwrap_or_default();
        let granted = self.granted();
        let others = self.zones.iter().filter(|(name, _)| *name != zone);
        let wanted_elsewhere =
            others.fold(Resources::default(), |sum, (_, share)| sum.plus(share.wanted));
        let wanting = self.zones.iter().filter(|(_, share)| !share.wanted.is_zero());
        let contenders = wanting.map(|(name, _)| name.as_str()).chain([zone]);
        let contenders: std::collections::BTreeSet<&str> = contenders.collect();
        let contenders = u64::try_from(contenders.len()).unwrap_or(u64::MAX);
        let mut share = ZoneShare::default();
        for kind in Kind::ALL {
            let settlement = Settlement {
                held: kind.of(held.granted),
                used: kind.of(need.used),
                waiting: kind.of(need.waiting),
                total: kind.of(self.total),
                granted: kind.of(granted),
                wanted_elsewhere: kind.of(wanted_elsewhere),
                contenders,
                headroom_percent: config.headroom_percent,
            };
            let (granted, wanted) = settlement.settle();
            kind.set(&mut share.granted, granted);
            kind.set(&mut share.wanted, wanted);
        }
        share
    }
}

/// One kind of resource.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Processor,
    Memory,
    Accelerators,
}

impl Kind {
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
struct Settlement {
    held: u64,
    used: u64,
    waiting: u64,
    total: u64,
    /// What all zones hold, this one included.
    granted: u64,
    wanted_elsewhere: u64,
    /// Zones that want more, this one included.
    contenders: u64,
    headroom_percent: u64,
}

impl Settlement {
    /// The share to hold, and what is lacking.
    fn settle(self) -> (u64, u64) {
        if self.granted > self.total {
            return (self.shrunk(), 0);
        }
        let headroom = self.used.saturating_mul(self.headroom_percent) / 100;
        let desired = self.used.saturating_add(self.waiting).saturating_add(headroom);
        let free = self.total - self.granted;
        if self.wanted_elsewhere > free {
            return self.given_back(desired, self.wanted_elsewhere - free);
        }
        let taken = desired.saturating_sub(self.held).min(free);
        let held = self.held + taken;
        (held, self.lacking(held))
    }

    /// The quota was lowered: what the zone does not use goes first.
    fn shrunk(self) -> u64 {
        let excess = self.granted - self.total;
        self.held - excess.min(self.held.saturating_sub(self.used))
    }

    /// Others lack more than is free: what this zone does not need, or holds beyond an even
    /// part and does not use, goes back.
    fn given_back(self, desired: u64, lacking_elsewhere: u64) -> (u64, u64) {
        let even = self.total / self.contenders;
        let floor = self.used.max(desired.min(even));
        let surplus = self.held.saturating_sub(floor);
        let held = self.held - surplus.min(lacking_elsewhere);
        // Below an even part the zone takes from what is free like the others.
        let free = self.total - self.granted;
        let taken = desired.min(even).saturating_sub(held).min(free);
        let held = held + taken;
        (held, self.lacking(held))
    }

    fn lacking(self, held: u64) -> u64 {
        self.used.saturating_add(self.waiting).saturating_sub(held)
    }
}
