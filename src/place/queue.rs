//! Waiting jobs: by priority, then by the team that uses least of its share, then by age.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use slotmap::{new_key_type, SlotMap};

use super::spec::{Priority, Resources};
use super::state::JobKey;
use crate::collections::HashMap;

new_key_type! {
    /// A team in the placer.
    pub struct TeamKey;
}

/// Number of priorities.
pub(crate) const LEVELS: usize = Priority::ALL.len();

/// Place of a team within a priority: its use in millionths of its share, then its key.
pub(crate) type TeamPlace = (u64, TeamKey);

/// A team and its waiting jobs.
#[derive(Clone, Debug)]
pub(crate) struct Team {
    pub(crate) name: String,
    pub(crate) used: Resources,
    /// What the team may use here, if quotas are in force.
    pub(crate) limit: Option<Resources>,
    place: u64,
    waiting: [BTreeMap<u64, JobKey>; LEVELS],
}

/// Waiting jobs of all teams.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    teams: SlotMap<TeamKey, Team>,
    by_name: HashMap<String, TeamKey>,
    levels: [BTreeSet<TeamPlace>; LEVELS],
    /// Use is compared with this where a team has no limit.
    total: Resources,
}

impl Queue {
    /// The team called `name`, added if it is new.
    pub(crate) fn team_key(&mut self, name: &str) -> TeamKey {
        if let Some(key) = self.by_name.get(name) {
            return *key;
        }
        let key = self.teams.insert(Team {
            name: name.to_owned(),
            used: Resources::default(),
            limit: None,
            place: 0,
            waiting: Default::default(),
        });
        self.by_name.insert(name.to_owned(), key);
        key
    }

    pub(crate) fn teams(&self) -> impl Iterator<Item = &Team> {
        self.teams.values()
    }

    /// Adds a waiting job; does nothing if it is there.
    pub(crate) fn add(&mut self, key: TeamKey, priority: Priority, sequence: u64, job: JobKey) {
        let level = priority as usize;
        let Some(team) = self.teams.get_mut(key) else { return };
        if team.waiting[level].is_empty() {
            self.levels[level].insert((team.place, key));
        }
        team.waiting[level].insert(sequence, job);
    }

    /// Removes a job; does nothing if it is not there.
    pub(crate) fn remove(&mut self, key: TeamKey, priority: Priority, sequence: u64) {
        let level = priority as usize;
        let Some(team) = self.teams.get_mut(key) else { return };
        let was_waiting = team.waiting[level].remove(&sequence).is_some();
        if was_waiting && team.waiting[level].is_empty() {
            self.levels[level].remove(&(team.place, key));
        }
    }

    /// The next team of a priority after `place` that has waiting jobs.
    pub(crate) fn next_team(&self, level: usize, after: Option<TeamPlace>) -> Option<TeamPlace> {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        self.levels[level].range((from, Bound::Unbounded)).next().copied()
    }

    /// The next waiting job of a team after `sequence`.
    pub(crate) fn next_job(&self, key: TeamKey, level: usize, after: u64) -> Option<(u64, JobKey)> {
        let from = (Bound::Excluded(after), Bound::Unbounded);
        let team = self.teams.get(key)?;
        team.waiting[level].range(from).next().map(|(sequence, job)| (*sequence, *job))
    }

    /// Charges a team for a reservation.
    pub(crate) fn charge(&mut self, key: TeamKey, reserved: Resources) {
        let Some(team) = self.teams.get_mut(key) else { return };
        team.used = team.used.plus(reserved);
        self.reorder(key);
    }

    /// Takes back the charge for a reservation.
    pub(crate) fn refund(&mut self, key: TeamKey, reserved: Resources) {
        let Some(team) = self.teams.get_mut(key) else { return };
        team.used = team.used.minus(reserved);
        self.reorder(key);
    }

    /// Sets what a team may use here.
    pub(crate) fn set_limit(&mut self, key: TeamKey, limit: Option<Resources>) {
        let Some(team) = self.teams.get_mut(key) else { return };
        team.limit = limit;
        self.reorder(key);
    }

    /// Sets what use is compared with where a team has no limit.
    pub(crate) fn set_total(&mut self, total: Resources) {
        self.total = total;
        let keys: Vec<TeamKey> = self.teams.keys().collect();
        keys.into_iter().for_each(|key| self.reorder(key));
    }

    /// Whether a team may use `more` here.
    pub(crate) fn allows(&self, key: TeamKey, more: Resources) -> bool {
        let Some(team) = self.teams.get(key) else { return false };
        team.limit.is_none_or(|limit| team.used.plus(more).fits(limit))
    }

    /// Drops all jobs and charges.
    pub(crate) fn clear(&mut self) {
        self.levels = Default::default();
        for team in self.teams.values_mut() {
            team.used = Resources::default();
            team.place = 0;
            team.waiting = Default::default();
        }
    }

    fn reorder(&mut self, key: TeamKey) {
        let Some(team) = self.teams.get_mut(key) else { return };
        let place = dominant_millionths(team.used, team.limit.unwrap_or(self.total));
        if place == team.place {
            return;
        }
        for (level, waiting) in self.levels.iter_mut().zip(&team.waiting) {
            if !waiting.is_empty() {
                level.remove(&(team.place, key));
                level.insert((place, key));
            }
        }
        team.place = place;
    }
}

/// The largest part of `limit` that is used, in millionths.
fn dominant_millionths(used: Resources, limit: Resources) -> u64 {
    let part = |used: u64, limit: u64| {
        let part = u128::from(used) * 1_000_000 / u128::from(limit.max(1));
        u64::try_from(part).unwrap_or(u64::MAX)
    };
    part(used.cpu_millis, limit.cpu_millis)
        .max(part(used.memory_bytes, limit.memory_bytes))
        .max(part(u64::from(used.accelerators), u64::from(limit.accelerators)))
}
