//! Which endpoints of its zone this host owns; pure, driven by the control thread.
//!
//! Each endpoint belongs to the member that ranks first for it. A host acquires
//! one only after every other member of the zone has said that it gave it up,
//! and after the endpoint's busy slots were read.

use crate::collections::{HashMap, HashSet};
use crate::membership::Member;
use crate::route::owner::{self, Candidate};
use crate::route::EndpointKey;
use crate::store::LeaseId;

use super::book::Endpoint;

/// Endpoints that are to be acquired, and whom to ask first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Acquire {
    /// Generation of the view.
    pub generation: u64,
    /// The endpoints, with their names.
    pub endpoints: Vec<(EndpointKey, String)>,
    /// Addresses of all other members of the zone.
    pub peers: Vec<String>,
}

/// An owned endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owned {
    /// Slots that earlier owners' requests hold; nothing before the first reading.
    pub foreign: Option<u32>,
    /// What earlier owners said that they still run there.
    pub told_busy: u32,
    /// When it was acquired, on the monotonic clock.
    pub since_ms: u64,
    /// When the slots of others last changed, on the monotonic clock.
    pub foreign_at_ms: u64,
    /// Since when nothing is sent, so that the slots of others can be read exactly.
    pub quiet_since_ms: Option<u64>,
}

/// What this host owns and acquires.
#[derive(Debug)]
pub struct Ownership {
    name: String,
    members: Vec<Member>,
    generation: u64,
    changed_ms: u64,
    lost_ms: Option<u64>,
    held: Option<LeaseId>,
    owned: HashMap<EndpointKey, Owned>,
    acquiring: HashSet<EndpointKey>,
    is_draining: bool,
}

impl Ownership {
    /// Owns nothing yet; `name` is this host's.
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

    /// Takes in the live entry members of the zone, sorted by name.
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
            self.renew_view(now_ms);
        }
        self.members = members;
    }

    /// Begins a new generation, such as when declarations changed.
    pub fn renew_view(&mut self, now_ms: u64) {
        self.generation += 1;
        self.changed_ms = now_ms;
        self.acquiring.clear();
    }

    /// Whether the view has not changed for `for_ms`.
    pub fn has_stood(&self, now_ms: u64, for_ms: u64) -> bool {
        now_ms >= self.changed_ms + for_ms
    }

    /// The live entry members of the zone.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The lease under which everything owned was acquired.
    pub fn held(&self) -> Option<LeaseId> {
        self.held
    }

    /// Gives up everything and starts over under another lease; returns what was owned.
    pub fn restart(&mut self, held: Option<LeaseId>, now_ms: u64) -> Vec<EndpointKey> {
        self.held = held;
        self.renew_view(now_ms);
        let mut dropped: Vec<EndpointKey> = self.owned.drain().map(|(key, _)| key).collect();
        dropped.sort();
        dropped
    }

    /// From now on nothing is acquired.
    pub fn begin_drain(&mut self) {
        self.is_draining = true;
    }

    /// Owned endpoints.
    pub fn owned(&self) -> &HashMap<EndpointKey, Owned> {
        &self.owned
    }

    /// An owned endpoint, for changes.
    pub fn owned_mut(&mut self, endpoint: EndpointKey) -> Option<&mut Owned> {
        self.owned.get_mut(&endpoint)
    }

    /// Forgets an endpoint that is no longer declared; whether it was owned.
    pub fn remove(&mut self, endpoint: EndpointKey) -> bool {
        self.acquiring.remove(&endpoint);
        self.owned.remove(&endpoint).is_some()
    }

    /// Whether an owner was lost without a handover within the last `guard_ms`.
    pub fn is_guarded(&self, now_ms: u64, guard_ms: u64) -> bool {
        self.lost_ms.is_some_and(|lost_ms| now_ms < lost_ms + guard_ms)
    }

    /// End of the guard, on the monotonic clock.
    pub fn guarded_until_ms(&self, guard_ms: u64) -> u64 {
        self.lost_ms.map_or(0, |lost_ms| lost_ms + guard_ms)
    }

    /// What is to be acquired now, once the view has stood for `settle_ms`.
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

    /// Takes an endpoint that all others gave up; whether the view still stands.
    pub fn acquire(
        &mut self,
        generation: u64,
        endpoint: EndpointKey,
        told_busy: u32,
        now_ms: u64,
    ) -> bool {
        if generation != self.generation || !self.acquiring.remove(&endpoint) || self.is_draining {
            return false;
        }
        let owned = Owned {
            foreign: None,
            told_busy,
            since_ms: now_ms,
            foreign_at_ms: now_ms,
            quiet_since_ms: None,
        };
        self.owned.insert(endpoint, owned);
        true
    }

    /// Lets what was not given up be asked for again.
    pub fn retry(&mut self, generation: u64) {
        if generation == self.generation {
            self.acquiring.clear();
        }
    }

    /// Whether `asker` may have the endpoint; if so, it is owned here no more.
    pub fn release(&mut self, endpoint: Option<EndpointKey>, name: &str, asker: &str) -> bool {
        if !self.is_draining && self.owner(name) == Some(self.name.as_str()) {
            return false;
        }
        if !self.is_draining && self.owner(name) != Some(asker) {
            return endpoint.is_none_or(|key| !self.owned.contains_key(&key));
        }
        if let Some(key) = endpoint {
            self.acquiring.remove(&key);
            self.owned.remove(&key);
        }
        true
    }

    /// The member that ranks first for the endpoint.
    pub fn owner(&self, endpoint: &str) -> Option<&str> {
        first_ranked(&self.members, endpoint)
    }
}

/// The member that ranks first for `name`, among those that stay.
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
