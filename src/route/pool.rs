//! The endpoints of one service, indexed by their number of free slots.

use rand::rngs::SmallRng;
use rand::RngExt as _;

use super::endpoint::Endpoint;
use super::message::EndpointKey;
use super::rate::ResultCounts;
use crate::collections::HashMap;

/// Time constant with which results of the pool decay, in milliseconds.
const HEALTH_WINDOW_MS: f64 = 1_000.0;

/// Decayed number of results of the other endpoints needed to compare with them.
const MIN_OTHER_RESULTS: f64 = 5.0;

/// Ratio of an endpoint's failure rate to that of the others from which it is an outlier.
const OUTLIER_FACTOR: f64 = 2.0;

/// The endpoints of one service that this host owns or has requests in flight to.
#[derive(Debug)]
pub(super) struct Pool {
    members: HashMap<EndpointKey, Member>,
    /// All endpoints, in the order in which they were added.
    round_robin_order: Vec<EndpointKey>,
    /// The list at index `n` holds the endpoints with `n` free slots.
    by_free_slots: Vec<Vec<EndpointKey>>,
    /// Index in `round_robin_order` at which the next round-robin pick starts to search.
    next_round_robin: usize,
    /// Sum of the usable slots of all endpoints, busy or free.
    slots: u32,
    /// Sum of the free slots of all endpoints.
    free: u32,
    /// Recent results of all endpoints together.
    health: ResultCounts,
}

#[derive(Debug)]
struct Member {
    endpoint: Endpoint,
    /// Whether this host owns the endpoint; if not, it stays until its last request ends.
    is_owned: bool,
    /// Usable slots of the endpoint that are counted in [`Pool::slots`].
    usable_slots: u32,
    /// Free slots of the endpoint that are counted in [`Pool::free`].
    free: u32,
    /// Index in the list of `by_free_slots` that holds the endpoint.
    position: usize,
}

impl Pool {
    /// A pool without endpoints.
    pub(super) fn new() -> Self {
        Self {
            members: HashMap::default(),
            round_robin_order: Vec::new(),
            by_free_slots: vec![Vec::new()],
            next_round_robin: 0,
            slots: 0,
            free: 0,
            health: ResultCounts::new(HEALTH_WINDOW_MS),
        }
    }

    /// Number of slots of all usable endpoints, busy or free.
    pub(super) fn slots(&self) -> u32 {
        self.slots
    }

    /// Number of free slots of all endpoints.
    pub(super) fn free(&self) -> u32 {
        self.free
    }

    /// The state of an endpoint, if it is in the pool.
    pub(super) fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.members.get(&key).map(|member| &member.endpoint)
    }

    /// Adds an owned endpoint. The `endpoint` function creates its state, and is given the earlier
    /// state if the endpoint is still in the pool.
    pub(super) fn insert(
        &mut self,
        key: EndpointKey,
        endpoint: impl FnOnce(Option<Endpoint>) -> Endpoint,
    ) {
        let old = self.remove(key);
        self.by_free_slots[0].push(key);
        let position = self.by_free_slots[0].len() - 1;
        self.round_robin_order.push(key);
        let endpoint = endpoint(old);
        let member = Member { endpoint, is_owned: true, usable_slots: 0, free: 0, position };
        self.members.insert(key, member);
    }

    /// Stops sends to an endpoint, and removes it once it has no requests in flight.
    pub(super) fn release(&mut self, key: EndpointKey, now_ms: u64) {
        if let Some(member) = self.members.get_mut(&key) {
            member.is_owned = false;
            member.endpoint.apply_event("remove");
        }
        self.refresh(key, now_ms);
    }

    /// Changes the state of an endpoint and updates the slot counts of the pool.
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

    /// Updates the slot counts of the pool for an endpoint whose free slots may have changed.
    pub(super) fn refresh(&mut self, key: EndpointKey, now_ms: u64) {
        let Some(member) = self.members.get_mut(&key) else { return };
        if !member.is_owned && member.endpoint.in_flight() == 0 {
            self.remove(key);
            return;
        }
        let usable_slots = member.endpoint.usable_slots(now_ms);
        let free = member.endpoint.free_slots(now_ms);
        self.slots = self.slots - member.usable_slots + usable_slots;
        self.free = self.free - member.free + free;
        member.usable_slots = usable_slots;
        if member.free != free {
            let (level, position) = (member.free as usize, member.position);
            member.free = free;
            self.remove_from_level(level, position);
            self.add_to_level(key, free as usize);
        }
    }

    /// The endpoint with the most free slots, with ties broken at random; `None` if none is free.
    ///
    /// `avoid` is picked only if no other endpoint has as many free slots.
    pub(super) fn pick_least_loaded(
        &self,
        avoid: Option<EndpointKey>,
        rng: &mut SmallRng,
    ) -> Option<EndpointKey> {
        if self.free == 0 {
            return None;
        }
        let level = self.by_free_slots[1..].iter().rev().find(|level| !level.is_empty())?;
        let index = rng.random_range(0..level.len());
        let picked = level[index];
        if avoid == Some(picked) && level.len() > 1 {
            return Some(level[(index + 1) % level.len()]);
        }
        Some(picked)
    }

    /// The next endpoint with a free slot, in round-robin order.
    pub(super) fn pick_round_robin(&mut self) -> Option<EndpointKey> {
        let count = self.round_robin_order.len();
        let turns = (0..count).map(|step| (self.next_round_robin + step) % count);
        let free = |index: &usize| {
            self.members.get(&self.round_robin_order[*index]).is_some_and(|m| m.free > 0)
        };
        let index = turns.into_iter().find(free)?;
        self.next_round_robin = index + 1;
        Some(self.round_robin_order[index])
    }

    /// Records a result; true if the endpoint must now be ejected.
    pub(super) fn record(
        &mut self,
        key: EndpointKey,
        is_success: bool,
        limits: EjectionLimits,
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
            && member.endpoint.is_failing(limits.max_consecutive_failures, now_ms)
            && self.is_outlier(member, now_ms)
            && self.may_eject(limits.max_ejected_millis)
    }

    /// Whether an endpoint fails more often than the others, so that the cause is the endpoint
    /// itself rather than something that all of them share.
    fn is_outlier(&self, member: &Member, now_ms: u64) -> bool {
        let health = member.endpoint.health();
        let (own_results, own_failures) = (health.total(now_ms), health.failures(now_ms));
        let other_results = self.health.total(now_ms) - own_results;
        if other_results < MIN_OTHER_RESULTS {
            return true;
        }
        let other_failures = (self.health.failures(now_ms) - own_failures).max(0.0);
        own_failures / own_results >= OUTLIER_FACTOR * other_failures / other_results
    }

    /// Whether another endpoint may be ejected: up to `max_ejected_millis` thousandths of those in
    /// service, and always one if two or more are in service.
    fn may_eject(&self, max_ejected_millis: u32) -> bool {
        let endpoints = || self.members.values().map(|member| &member.endpoint);
        let counted = endpoints().filter(|endpoint| endpoint.is_in_service()).count();
        let ejected = endpoints().filter(|endpoint| endpoint.is_ejected()).count();
        let min_ejected = usize::from(counted > 1);
        ejected < (counted * max_ejected_millis as usize / 1_000).max(min_ejected)
    }

    fn remove(&mut self, key: EndpointKey) -> Option<Endpoint> {
        let member = self.members.remove(&key)?;
        self.slots -= member.usable_slots;
        self.free -= member.free;
        self.remove_from_level(member.free as usize, member.position);
        self.round_robin_order.retain(|known| *known != key);
        Some(member.endpoint)
    }

    /// Adds an endpoint to the list of `by_free_slots` for `level` free slots.
    fn add_to_level(&mut self, key: EndpointKey, level: usize) {
        while self.by_free_slots.len() <= level {
            self.by_free_slots.push(Vec::new());
        }
        self.by_free_slots[level].push(key);
        if let Some(member) = self.members.get_mut(&key) {
            member.position = self.by_free_slots[level].len() - 1;
        }
    }

    /// Removes the entry at `position` from a list of `by_free_slots`; the last entry takes its
    /// place.
    fn remove_from_level(&mut self, level: usize, position: usize) {
        self.by_free_slots[level].swap_remove(position);
        let moved = self.by_free_slots[level].get(position).copied();
        if let Some(member) = moved.and_then(|key| self.members.get_mut(&key)) {
            member.position = position;
        }
    }
}

/// Limits of the ejection of endpoints.
#[derive(Clone, Copy, Debug)]
pub(super) struct EjectionLimits {
    /// Consecutive failures that eject an endpoint.
    pub(super) max_consecutive_failures: u32,
    /// Share of the pool that may be ejected at once, in thousandths.
    pub(super) max_ejected_millis: u32,
}
