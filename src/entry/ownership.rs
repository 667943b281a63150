//! Decides which endpoints of its zone this host owns. A state machine without I/O, driven by the
//! control thread.
//!
//! Each endpoint belongs to the member that ranks first for it. A host acquires an endpoint only
//! after every other member of the zone has confirmed that it released it, and sends to it only
//! after reading its busy slots. The owner is asked to release it only once every member would.

use crate::collections::{HashMap, HashSet};
use crate::membership::Member;
use crate::route::owner::{self, Candidate};
use crate::route::EndpointKey;
use crate::store::LeaseId;

use super::catalog::Endpoint;

/// Endpoints to acquire, and the peers that have to release them first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Acquire {
    /// Generation of the membership view that this is based on.
    pub generation: u64,
    /// The endpoints with their names.
    pub endpoints: Vec<(EndpointKey, String)>,
    /// Addresses of all other members of the zone.
    pub peers: Vec<String>,
}

/// State of an owned endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owned {
    /// Slots busy with requests that are not in flight from this host, such as those of an earlier
    /// owner; `None` before the first reading.
    pub foreign: Option<u32>,
    /// Requests that earlier owners reported as still running there.
    pub reported_busy: u32,
    /// Time of the acquisition, in milliseconds on the monotonic clock.
    pub since_ms: u64,
    /// Time of the last change of `foreign` or the last exact reading, in milliseconds on the
    /// monotonic clock.
    pub foreign_changed_ms: u64,
    /// Time since which sending is paused so that `foreign` can be read exactly, in milliseconds on
    /// the monotonic clock; `None` if it is not paused.
    pub paused_since_ms: Option<u64>,
}

/// Endpoints that this host owns or is acquiring.
#[derive(Debug)]
pub struct Ownership {
    name: String,
    members: Vec<Member>,
    /// Incremented when the members or the declarations change.
    generation: u64,
    /// Start of the generation, in milliseconds on the monotonic clock.
    changed_ms: u64,
    /// Last time a member disappeared without having left in an orderly way.
    lost_ms: Option<u64>,
    /// Lease of the session that the ownership is based on.
    held: Option<LeaseId>,
    owned: HashMap<EndpointKey, Owned>,
    acquiring: HashSet<EndpointKey>,
    is_draining: bool,
}

impl Ownership {
    /// Creates the state of the host `name`, which owns nothing yet.
    ///
    /// ```
    /// use hemlockrock::entry::ownership;
    ///
    /// assert!(ownership::Ownership::new("entry-1").owned().is_empty());
    /// ```
    pub fn new(name: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            members: Vec::new(),
            generation: 0,
            changed_ms: 0,
            lost_ms: None,
            held: None,
            owned: HashMap::default(),
            acquiring: HashSet::default(),
            is_draining: false,
        }
    }

    /// Sets the live entry members of the zone, sorted by name. A change begins a new generation.
    pub fn set_members(&mut self, members: Vec<Member>, now_ms: u64) {
        let same = |left: &Member, right: &Member| {
            left.name == right.name
                && left.incarnation == right.incarnation
                && left.is_leaving == right.is_leaving
        };
        let is_same = self.members.len() == members.len()
            && self.members.iter().zip(&members).all(|(left, right)| same(left, right));
        if !is_same {
            let stays = |old: &Member| {
                members.iter().any(|new| new.name == old.name && new.incarnation == old.incarnation)
            };
            let is_lost = |old: &Member| !old.is_leaving && old.name != self.name && !stays(old);
            if self.members.iter().any(is_lost) {
                self.lost_ms = Some(now_ms);
            }
            self.begin_generation(now_ms);
        }
        self.members = members;
    }

    /// Begins a new generation, which discards acquisitions in progress. Called when members or
    /// declarations change.
    pub fn begin_generation(&mut self, now_ms: u64) {
        self.generation += 1;
        self.changed_ms = now_ms;
        self.acquiring.clear();
    }

    /// Whether the current generation is at least `for_ms` old.
    pub fn is_unchanged_for(&self, now_ms: u64, for_ms: u64) -> bool {
        now_ms >= self.changed_ms + for_ms
    }

    /// The live entry members of the zone.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Lease under which all owned endpoints were acquired.
    pub fn held(&self) -> Option<LeaseId> {
        self.held
    }

    /// Drops all endpoints and starts over under another lease; returns the endpoints that were
    /// owned.
    pub fn restart(&mut self, held: Option<LeaseId>, now_ms: u64) -> Vec<EndpointKey> {
        self.held = held;
        self.begin_generation(now_ms);
        let mut dropped: Vec<EndpointKey> = self.owned.drain().map(|(key, _)| key).collect();
        dropped.sort();
        dropped
    }

    /// Stops all further acquisitions.
    pub fn begin_drain(&mut self) {
        self.is_draining = true;
    }

    /// Owned endpoints and their state.
    pub fn owned(&self) -> &HashMap<EndpointKey, Owned> {
        &self.owned
    }

    /// Mutable state of an owned endpoint.
    pub fn owned_mut(&mut self, endpoint: EndpointKey) -> Option<&mut Owned> {
        self.owned.get_mut(&endpoint)
    }

    /// Removes an endpoint that is no longer declared; returns whether it was owned.
    pub fn remove(&mut self, endpoint: EndpointKey) -> bool {
        self.acquiring.remove(&endpoint);
        self.owned.remove(&endpoint).is_some()
    }

    /// Whether an owner disappeared without a handover within the last `guard_ms`. Requests of that
    /// owner may still run on its endpoints.
    pub fn is_guarded(&self, now_ms: u64, guard_ms: u64) -> bool {
        self.lost_ms.is_some_and(|lost_ms| now_ms < lost_ms + guard_ms)
    }

    /// End of that guard period, in milliseconds on the monotonic clock; 0 if no owner was lost.
    pub fn guarded_until_ms(&self, guard_ms: u64) -> u64 {
        self.lost_ms.map_or(0, |lost_ms| lost_ms + guard_ms)
    }

    /// Endpoints to acquire now, once the generation is at least `settle_ms` old.
    pub fn to_acquire(
        &mut self,
        endpoints: &[Endpoint],
        now_ms: u64,
        settle_ms: u64,
    ) -> Option<Acquire> {
        if self.is_draining || self.held.is_none() || now_ms < self.changed_ms + settle_ms {
            return None;
        }
        let wanted: Vec<(EndpointKey, String)> = endpoints
            .iter()
            .filter(|endpoint| !self.owned.contains_key(&endpoint.key))
            .filter(|endpoint| !self.acquiring.contains(&endpoint.key))
            .filter(|endpoint| self.owner(&endpoint.name) == Some(self.name.as_str()))
            .map(|endpoint| (endpoint.key, endpoint.name.clone()))
            .collect();
        if wanted.is_empty() {
            return None;
        }
        self.acquiring.extend(wanted.iter().map(|(key, _)| *key));
        let others = self.members.iter().filter(|member| member.name != self.name);
        let peers = others.map(|member| member.address.clone()).collect();
        Some(Acquire { generation: self.generation, endpoints: wanted, peers })
    }

    /// Takes ownership of an endpoint that all others released. Returns false if the generation is
    /// no longer current.
    pub fn acquire(
        &mut self,
        generation: u64,
        endpoint: EndpointKey,
        reported_busy: u32,
        now_ms: u64,
    ) -> bool {
        if generation != self.generation || !self.acquiring.remove(&endpoint) || self.is_draining {
            return false;
        }
        let owned = Owned {
            foreign: None,
            reported_busy,
            since_ms: now_ms,
            foreign_changed_ms: now_ms,
            paused_since_ms: None,
        };
        self.owned.insert(endpoint, owned);
        true
    }

    /// Allows endpoints that were not released to be requested again.
    pub fn retry(&mut self, generation: u64) {
        if generation == self.generation {
            self.acquiring.clear();
        }
    }

    /// Whether [`Ownership::release`] would return true, without giving anything up.
    pub fn would_release(&self, endpoint: Option<EndpointKey>, name: &str, asker: &str) -> bool {
        if self.is_draining {
            return true;
        }
        match self.owner(name) {
            Some(owner) if owner == self.name => false,
            Some(owner) if owner == asker => true,
            _ => endpoint.is_none_or(|key| !self.owned.contains_key(&key)),
        }
    }

    /// Handles a peer's request for the endpoint `name`. Gives the endpoint up if `asker` ranks
    /// first for it or this host is draining. Returns true if this host does not own it, or no
    /// longer does.
    pub fn release(&mut self, endpoint: Option<EndpointKey>, name: &str, asker: &str) -> bool {
        if !self.would_release(endpoint, name, asker) {
            return false;
        }
        if let Some(key) = endpoint {
            self.acquiring.remove(&key);
            self.owned.remove(&key);
        }
        true
    }

    /// Name of the member that ranks first for the endpoint.
    pub fn owner(&self, endpoint: &str) -> Option<&str> {
        first_ranked(&self.members, endpoint)
    }
}

/// Name of the member that ranks first for `name`, among those that are not leaving.
pub fn first_ranked<'a>(members: &'a [Member], name: &str) -> Option<&'a str> {
    let candidate = |member: &Member| Candidate {
        name: member.name.clone(),
        incarnation: member.incarnation,
        is_leaving: member.is_leaving,
    };
    let candidates: Vec<Candidate> = members.iter().map(candidate).collect();
    let first = owner::select(&candidates, name)?;
    members.iter().find(|member| member.name == first.name).map(|member| member.name.as_str())
}
