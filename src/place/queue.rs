//! Queue of waiting jobs, ordered by priority, then by the team's dominant share of its limit,
//! lowest first, then by arrival.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use slotmap::{new_key_type, SlotMap};

use super::spec::{Priority, Resources};
use super::state::JobKey;
use crate::collections::HashMap;

new_key_type! {
    /// Key of a team in the queue.
    pub struct TeamKey;
}

/// Number of priorities, each with a queue of its own.
pub(crate) const PRIORITY_LEVELS: usize = Priority::ALL.len();

/// Sort key of a team within a priority: its dominant share in millionths, then its key.
pub(crate) type TeamRank = (u64, TeamKey);

/// A team, the resources reserved for it and its waiting jobs.
#[derive(Clone, Debug)]
pub(crate) struct Team {
    pub(crate) name: String,
    /// Sum of the reservations charged to the team.
    pub(crate) used: Resources,
    /// Resources that the team may use in this zone; `None` if no quotas are in force.
    pub(crate) limit: Option<Resources>,
    /// Dominant share: the largest part of the limit that is used, in millionths.
    rank: u64,
    /// Waiting jobs by arrival order, for each priority.
    waiting: [BTreeMap<u64, JobKey>; PRIORITY_LEVELS],
}

/// Waiting jobs of all teams.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    teams: SlotMap<TeamKey, Team>,
    keys_by_name: HashMap<String, TeamKey>,
    /// Teams that have waiting jobs, for each priority.
    levels: [BTreeSet<TeamRank>; PRIORITY_LEVELS],
    /// Capacity of the zone, which stands in for the limit of a team that has none.
    total: Resources,
}

impl Queue {
    /// Returns the key of the team called `name`, and adds the team if it is new.
    pub(crate) fn team_key(&mut self, name: &str) -> TeamKey {
        if let Some(key) = self.keys_by_name.get(name) {
            return *key;
        }
        let key = self.teams.insert(Team {
            name: name.to_owned(),
            used: Resources::default(),
            limit: None,
            rank: 0,
            waiting: Default::default(),
        });
        self.keys_by_name.insert(name.to_owned(), key);
        key
    }

    pub(crate) fn teams(&self) -> impl Iterator<Item = &Team> {
        self.teams.values()
    }

    /// Adds a waiting job; has no effect if the job is queued already.
    pub(crate) fn add(&mut self, key: TeamKey, priority: Priority, sequence: u64, job: JobKey) {
        let level = priority as usize;
        let Some(team) = self.teams.get_mut(key) else { return };
        if team.waiting[level].is_empty() {
            self.levels[level].insert((team.rank, key));
        }
        team.waiting[level].insert(sequence, job);
    }

    /// Removes a job; has no effect if the job is not queued.
    pub(crate) fn remove(&mut self, key: TeamKey, priority: Priority, sequence: u64) {
        let level = priority as usize;
        let Some(team) = self.teams.get_mut(key) else { return };
        let was_waiting = team.waiting[level].remove(&sequence).is_some();
        if was_waiting && team.waiting[level].is_empty() {
            self.levels[level].remove(&(team.rank, key));
        }
    }

    /// Returns the first team of a priority after `after` that has waiting jobs.
    pub(crate) fn next_team(&self, level: usize, after: Option<TeamRank>) -> Option<TeamRank> {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        self.levels[level].range((from, Bound::Unbounded)).next().copied()
    }

    /// Returns the first waiting job of a team that arrived after the one with sequence `after`.
    pub(crate) fn next_job(&self, key: TeamKey, level: usize, after: u64) -> Option<(u64, JobKey)> {
        let from = (Bound::Excluded(after), Bound::Unbounded);
        let team = self.teams.get(key)?;
        team.waiting[level].range(from).next().map(|(sequence, job)| (*sequence, *job))
    }

    /// Adds a reservation to what the team uses.
    pub(crate) fn charge(&mut self, key: TeamKey, reserved: Resources) {
        let Some(team) = self.teams.get_mut(key) else { return };
        team.used = team.used.plus(reserved);
        self.reorder(key);
    }

    /// Subtracts a reservation from what the team uses.
    pub(crate) fn refund(&mut self, key: TeamKey, reserved: Resources) {
        let Some(team) = self.teams.get_mut(key) else { return };
        team.used = team.used.minus(reserved);
        self.reorder(key);
    }

    /// Sets the resources that a team may use in this zone.
    pub(crate) fn set_limit(&mut self, key: TeamKey, limit: Option<Resources>) {
        let Some(team) = self.teams.get_mut(key) else { return };
        team.limit = limit;
        self.reorder(key);
    }

    /// Sets the capacity of the zone, which stands in for the limit of a team that has none.
    pub(crate) fn set_total(&mut self, total: Resources) {
        self.total = total;
        let keys: Vec<TeamKey> = self.teams.keys().collect();
        keys.into_iter().for_each(|key| self.reorder(key));
    }

    /// Returns whether the limit of a team has room for `more`.
    pub(crate) fn allows(&self, key: TeamKey, more: Resources) -> bool {
        let Some(team) = self.teams.get(key) else { return false };
        team.limit.is_none_or(|limit| team.used.plus(more).fits(limit))
    }

    /// Removes all jobs and resets what the teams use; teams and limits stay.
    pub(crate) fn clear(&mut self) {
        self.levels = Default::default();
        for team in self.teams.values_mut() {
            team.used = Resources::default();
            team.rank = 0;
            team.waiting = Default::default();
        }
    }

    /// Recomputes the sort key of a team after its use or limit changed.
    fn reorder(&mut self, key: TeamKey) {
        let Some(team) = self.teams.get_mut(key) else { return };
        let rank = team.used.dominant_millionths(team.limit.unwrap_or(self.total));
        if rank == team.rank {
            return;
        }
        for (level, waiting) in self.levels.iter_mut().zip(&team.waiting) {
            if !waiting.is_empty() {
                level.remove(&(team.rank, key));
                level.insert((rank, key));
            }
        }
        team.rank = rank;
    }
}
