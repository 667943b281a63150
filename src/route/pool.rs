//! The endpoints of one service, ordered by their free slots.

use rand::rngs::SmallRng;
use rand::RngExt as _;

use super::endpoint::Endpoint;
use super::message::EndpointKey;
use super::rate::Tally;
use crate::collections::HashMap;

/// Time over which results of the pool are remembered, in milliseconds.
const HEALTH_MS: f64 = 1_000.0;

/// Results of the other endpoints that a comparison with them needs.
const MIN_OTHER_RESULTS: f64 = 5.0;

/// An endpoint fails apart from the others if its share of failures is this multiple of theirs.
const OUTLIER_FACTOR: f64 = 2.0;

/// The endpoints of one service.
#[derive(Debug)]
pub(super) struct Pool {
    members: HashMap<EndpointKey, Member>,
    order: Vec<EndpointKey>,
    levels: Vec<Vec<EndpointKey>>,
    next_turn: usize,
    slots: u32,
    free: u32,
    health: Tally,
}

#[derive(Debug)]
struct Member {
    endpoint: Endpoint,
    is_owned: bool,
    limit: u32,
    free: u32,
    position: usize,
}

impl Pool {
    /// A pool without endpoints.
    pub(super) fn new() -> Self {
        Self {
            members: HashMap::default(),
            order: Vec::new(),
            levels: vec![Vec::new()],
            next_turn: 0,
            slots: 0,
            free: 0,
            health: Tally::new(HEALTH_MS),
        }
    }

    /// Slots that may be used in all.
    pub(super) fn slots(&self) -> u32 {
        self.slots
    }

    /// Slots that are free.
    pub(super) fn free(&self) -> u32 {
        self.free
    }

    /// Looks up an endpoint.
    pub(super) fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.members.get(&key).map(|member| &member.endpoint)
    }

    /// Adds an endpoint, or takes back one that still has requests in flight.
    pub(super) fn own(
        &mut self,
        key: EndpointKey,
        endpoint: impl FnOnce(Option<Endpoint>) -> Endpoint,
    ) {
        let old = self.remove(key);
        self.levels[0].push(key);
        let position = self.levels[0].len() - 1;
        self.order.push(key);
        let endpoint = endpoint(old);
        let member = Member { endpoint, is_owned: true, limit: 0, free: 0, position };
        self.members.insert(key, member);
    }

    /// Stops new sends to an endpoint and forgets it once nothing is in flight.
    pub(super) fn disown(&mut self, key: EndpointKey, now_ms: u64) {
        if let Some(member) = self.members.get_mut(&key) {
            member.is_owned = false;
            member.endpoint.follow("remove");
        }
        self.refresh(key, now_ms);
    }

    /// Changes an endpoint and brings the counts of the pool up to date.
    pub(super) fn update<T>(
        &mut self,
        key: EndpointKey,
        now_ms: u64,
        change: impl FnOnce(&mut Endpoint) -> T,
    ) -> Option<T> {
        let member = self.members.get_mut(&key)?;
        let result = change(&mut member.endpoint);
        self.refresh(key, now_ms);
        Some(result)
    }

    /// Brings the counts up to date after time or the endpoint's state has changed.
    pub(super) fn refresh(&mut self, key: EndpointKey, now_ms: u64) {
        let Some(member) = self.members.get_mut(&key) else { return };
        if !member.is_owned && member.endpoint.in_flight() == 0 {
            self.remove(key);
            return;
        }
        let limit = member.endpoint.limit(now_ms);
        let free = member.endpoint.free(now_ms);
        self.slots = self.slots - member.limit + limit;
        self.free = self.free - member.free + free;
        member.limit = limit;
        if member.free != free {
            let (level, position) = (member.free as usize, member.position);
            member.free = free;
            self.unlink(level, position);
            self.link(key, free as usize);
        }
    }

    /// The endpoint with the most free slots, if any is free; chance settles ties.
    ///
    /// `avoid` is taken only if there is no other on its level.
    pub(super) fn pick(
        &self,
        avoid: Option<EndpointKey>,
        rng: &mut SmallRng,
    ) -> Option<EndpointKey> {
        if self.free == 0 {
            return None;
        }
        let level = self.levels[1..].iter().rev().find(|level| !level.is_empty())?;
        let at = rng.random_range(0..level.len());
        let picked = level[at];
        if avoid == Some(picked) && level.len() > 1 {
            return Some(level[(at + 1) % level.len()]);
        }
        Some(picked)
    }

    /// The next endpoint in turn with a free slot.
    pub(super) fn pick_in_turn(&mut self) -> Option<EndpointKey> {
        let count = self.order.len();
        let turns = (0..count).map(|step| (self.next_turn + step) % count);
        let free = |at: &usize| self.members.get(&self.order[*at]).is_some_and(|m| m.free > 0);
        let at = turns.into_iter().find(free)?;
        self.next_turn = at + 1;
        Some(self.order[at])
    }

    /// Records a result; true if the endpoint is now to be ejected.
    pub(super) fn record(
        &mut self,
        key: EndpointKey,
        is_success: bool,
        limits: EjectLimits,
        now_ms: u64,
    ) -> bool {
        self.health.add(is_success, now_ms);
        let Some(member) = self.members.get_mut(&key) else { return false };
        let was_on_trial = member.endpoint.is_in("trial");
        member.endpoint.record(is_success, now_ms);
        self.refresh(key, now_ms);
        if is_success {
            return false;
        }
        if was_on_trial {
            return true;
        }
        let Some(member) = self.members.get(&key) else { return false };
        member.endpoint.is_in("ready")
            && member.endpoint.is_failing(limits.eject_after, now_ms)
            && self.fails_apart(member, now_ms)
            && self.may_eject(limits.max_ejected_millis)
    }

    /// Whether an endpoint fails more than the rest, so that the fault is its own.
    fn fails_apart(&self, member: &Member, now_ms: u64) -> bool {
        let health = member.endpoint.health();
        let (own, own_failures) = (health.count(now_ms), health.failures(now_ms));
        let others = self.health.count(now_ms) - own;
        if others < MIN_OTHER_RESULTS {
            return true;
        }
        let others_failures = (self.health.failures(now_ms) - own_failures).max(0.0);
        own_failures / own >= OUTLIER_FACTOR * others_failures / others
    }

    fn may_eject(&self, max_ejected_millis: u32) -> bool {
        let endpoints = || self.members.values().map(|member| &member.endpoint);
        let counted = endpoints().filter(|endpoint| endpoint.is_counted()).count();
        let ejected = endpoints().filter(|endpoint| endpoint.is_ejected()).count();
        let at_least = usize::from(counted > 1);
        ejected < (counted * max_ejected_millis as usize / 1_000).max(at_least)
    }

    fn remove(&mut self, key: EndpointKey) -> Option<Endpoint> {
        let member = self.members.remove(&key)?;
        self.slots -= member.limit;
        self.free -= member.free;
        self.unlink(member.free as usize, member.position);
        self.order.retain(|known| *known != key);
        Some(member.endpoint)
    }

    fn link(&mut self, key: EndpointKey, level: usize) {
        while self.levels.len() <= level {
            self.levels.push(Vec::new());
        }
        self.levels[level].push(key);
        if let Some(member) = self.members.get_mut(&key) {
            member.position = self.levels[level].len() - 1;
        }
    }

    fn unlink(&mut self, level: usize, position: usize) {
        self.levels[level].swap_remove(position);
        let moved = self.levels[level].get(position).copied();
        if let Some(member) = moved.and_then(|key| self.members.get_mut(&key)) {
            member.position = position;
        }
    }
}

/// When endpoints are ejected.
#[derive(Clone, Copy, Debug)]
pub(super) struct EjectLimits {
    /// Failures in a row.
    pub(super) eject_after: u32,
    /// Part of the pool that may be ejected, in thousandths.
    pub(super) max_ejected_millis: u32,
}
