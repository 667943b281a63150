//! Periodic work of the control thread: members, declarations, ownership of endpoints and
//! heartbeats.

use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::task;

use crate::clock;
use crate::http::client::Pool;
use crate::http::rpc::{self, Call};
use crate::membership::{self, Member, Role};
use crate::route::{self, EndpointKey, PeerLoad, TakeoverGuard};

use super::super::heartbeat::Heartbeat;
use super::super::message::{Control, Input, ReadPurpose};
use super::super::ownership::Acquire;
use super::super::peer::{self, ReleaseAnswer, ReleaseRequest};
use super::{leaving, ledgers, ControlThread};

/// Pause before peers are asked again for endpoints that they have not released, in milliseconds.
const RELEASE_RETRY_MS: u64 = 50;

/// Most rounds of release calls for one acquisition. After that the endpoints are determined anew.
const MAX_RELEASE_CALLS: u32 = 200;

/// Time between two updates of the dispatcher with the load of the peers, in milliseconds.
const REPORT_PEERS_EVERY_MS: u64 = 100;

/// Age of the membership view after which the host becomes ready although no endpoint can be used,
/// in milliseconds.
const READY_AFTER_MS: u64 = 5_000;

/// Time between checks for requests without progress, in milliseconds.
const PROGRESS_CHECK_EVERY_MS: u64 = 100;

impl ControlThread {
    /// Processes changes of members, declarations and the session, and starts the periodic work
    /// that is due.
    pub(super) fn refresh(&mut self) {
        let now_ms = clock::now_ms();
        self.update_declarations(now_ms);
        self.update_session(now_ms);
        self.update_members(now_ms);
        self.update_outage(now_ms);
        self.start_acquisition(now_ms);
        self.update_settled(now_ms);
        let checked = &mut self.checked;
        if now_ms >= checked.foreign_read_ms + self.deps.config.endpoints.read_every_ms {
            checked.foreign_read_ms = now_ms;
            self.read_foreign();
        }
        if now_ms >= self.checked.progress_read_ms + PROGRESS_CHECK_EVERY_MS {
            self.checked.progress_read_ms = now_ms;
            self.read_late_endpoints();
        }
        if now_ms >= self.checked.leaving_read_ms + leaving::READ_EVERY_MS {
            self.checked.leaving_read_ms = now_ms;
            self.read_leaving();
        }
        if now_ms >= self.checked.ledgers_checked_ms + ledgers::CHECK_EVERY_MS {
            self.checked.ledgers_checked_ms = now_ms;
            self.update_ledgers(now_ms);
        }
        if now_ms >= self.checked.peers_reported_ms + REPORT_PEERS_EVERY_MS {
            self.report_peer_loads();
        }
    }

    /// Puts newly accepted declarations in force and gives up the endpoints that they no longer
    /// declare.
    fn update_declarations(&mut self, now_ms: u64) {
        let accepted = self.deps.feed.current();
        if accepted.revision <= self.checked.config_revision {
            return;
        }
        self.checked.config_revision = accepted.revision;
        self.catalog.declare(&accepted.declarations);
        let is_undeclared = |key: &&EndpointKey| self.catalog.endpoint(**key).is_none();
        let mut undeclared: Vec<EndpointKey> =
            self.ownership.owned().keys().filter(is_undeclared).copied().collect();
        undeclared.sort();
        for endpoint in undeclared {
            self.ownership.remove(endpoint);
            self.step(route::Event::EndpointReleased { endpoint });
        }
        self.ownership.begin_generation(now_ms);
        let revision = accepted.revision;
        self.deps.session.update(|member| member.config_revision = revision);
        spdlog::info!("configuration in force", kv: { revision });
    }

    /// Drops all endpoints and ledgers if the session under which they were acquired was replaced.
    fn update_session(&mut self, now_ms: u64) {
        let lease = self.deps.session.lease();
        let is_replaced = match self.ownership.held() {
            Some(held) => self.deps.authority.is_superseded(held),
            None => lease.is_some(),
        };
        if !is_replaced {
            return;
        }
        spdlog::info!("new session, acquiring all endpoints again");
        self.resign_all_ledgers();
        for endpoint in self.ownership.restart(lease, now_ms) {
            self.step(route::Event::EndpointReleased { endpoint });
        }
    }

    /// Passes the entry hosts of this zone to `ownership` if the local copy of the store has
    /// changed.
    fn update_members(&mut self, now_ms: u64) {
        let snapshot = self.deps.mirror.snapshot();
        if self.checked.members_revision == Some(snapshot.revision) {
            return;
        }
        self.checked.members_revision = Some(snapshot.revision);
        let zone = &self.deps.config.zone;
        let mut members: Vec<Member> = membership::members(&snapshot)
            .into_iter()
            .filter(|member| member.role == Role::Entry && &member.zone == zone)
            .collect();
        members.sort_by(|left, right| left.name.cmp(&right.name));
        self.ownership.set_members(members, now_ms);
    }

    /// Whether the local copy of the store is current and has this host's member record under its
    /// present session.
    fn is_enrolled(&self) -> bool {
        let snapshot = self.deps.mirror.snapshot();
        let key = self.deps.session.member().key();
        let lease = self.deps.session.lease();
        let record = snapshot.entries.get(&key);
        snapshot.is_current && lease.is_some() && record.is_some_and(|entry| entry.lease == lease)
    }

    /// Sets `is_settled` once this host can send requests somewhere, so that callers may be sent
    /// here.
    fn update_settled(&self, now_ms: u64) {
        if self.deps.is_settled.load(Ordering::Acquire) || !self.is_enrolled() {
            return;
        }
        let settle_ms = self.deps.config.endpoints.settle_ms;
        let is_stable = self.ownership.is_unchanged_for(now_ms, settle_ms);
        let is_late = self.ownership.is_unchanged_for(now_ms, READY_AFTER_MS);
        let knows_endpoints = self.owns_all_ranked_first() && self.has_usable_endpoints();
        if self.checked.config_revision > 0 && is_stable && (knows_endpoints || is_late) {
            self.deps.is_settled.store(true, Ordering::Release);
        }
    }

    /// Whether this host is a member and owns every endpoint that it ranks first for.
    fn owns_all_ranked_first(&self) -> bool {
        let name = self.deps.config.name.as_str();
        let is_member = self.ownership.members().iter().any(|member| member.name == name);
        let endpoints = self.catalog.endpoints_in(&self.deps.config.zone);
        let mut own =
            endpoints.iter().filter(|endpoint| self.ownership.owner(&endpoint.name) == Some(name));
        is_member && own.all(|endpoint| self.ownership.owned().contains_key(&endpoint.key))
    }

    /// Whether this host or a recently heard peer has usable endpoints, or none are declared in
    /// this zone.
    fn has_usable_endpoints(&self) -> bool {
        let age_ms = self.deps.config.peers.heartbeat_age_ms;
        self.catalog.endpoints_in(&self.deps.config.zone).is_empty()
            || !self.dispatcher.load().services.is_empty()
            || self.heartbeats.recent(age_ms).iter().any(|host| !host.loads.is_empty())
    }

    /// Starts acquiring the endpoints that this host should own.
    fn start_acquisition(&mut self, now_ms: u64) {
        if !self.is_enrolled() {
            return;
        }
        let endpoints = self.catalog.endpoints_in(&self.deps.config.zone);
        let settle_ms = self.deps.config.endpoints.settle_ms;
        let Some(acquire) = self.ownership.to_acquire(&endpoints, now_ms, settle_ms) else {
            return;
        };
        let release = ReleaseTask {
            acquire,
            asker: self.deps.config.name.clone(),
            token: self.deps.config.token.clone(),
            timeout_ms: self.deps.config.peers.call_timeout_ms,
            pool: self.deps.peers.clone(),
            control: self.control.clone(),
        };
        task::spawn(release.run());
    }

    /// Takes ownership of endpoints that all peers released, and reads their busy slots before the
    /// first send.
    pub(super) fn handle_released(&mut self, generation: u64, endpoints: &[(EndpointKey, u32)]) {
        let now_ms = clock::now_ms();
        for (endpoint, reported_busy) in endpoints {
            let endpoint = *endpoint;
            let Some(declared) = self.catalog.endpoint(endpoint) else { continue };
            let (service, slots) = (declared.service, declared.slots);
            if !self.ownership.acquire(generation, endpoint, *reported_busy, now_ms) {
                continue;
            }
            let guard = self.takeover_guard(now_ms);
            self.step(route::Event::EndpointAcquired { endpoint, service, slots, guard });
            self.track_leaving(endpoint);
            self.read_endpoint(endpoint, ReadPurpose::Foreign);
        }
    }

    /// Limit on new endpoints while requests of a lost owner may still run there.
    fn takeover_guard(&self, now_ms: u64) -> Option<TakeoverGuard> {
        let config = &self.deps.config.endpoints;
        let is_guarded = self.ownership.is_guarded(now_ms, config.guard_ms);
        let until_ms = self.ownership.guarded_until_ms(config.guard_ms);
        is_guarded.then_some(TakeoverGuard { slots: config.guard_slots, until_ms })
    }

    /// Answers a peer that requests endpoints.
    pub(super) fn release(&mut self, request: &ReleaseRequest) -> ReleaseAnswer {
        let mut in_flight = Vec::with_capacity(request.endpoints.len());
        for name in &request.endpoints {
            let endpoint = self.catalog.endpoint_named(name);
            let was_owned = endpoint.is_some_and(|key| self.ownership.owned().contains_key(&key));
            let is_released = match request.is_trial {
                true => self.ownership.would_release(endpoint, name, &request.asker),
                false => self.ownership.release(endpoint, name, &request.asker),
            };
            if !is_released {
                in_flight.push(None);
                continue;
            }
            if let Some(endpoint) = endpoint.filter(|_| was_owned && !request.is_trial) {
                self.step(route::Event::EndpointReleased { endpoint });
                if let Some(declared) = self.catalog.endpoint(endpoint) {
                    self.deps.endpoints.close_idle(&declared.address);
                }
            }
            in_flight.push(Some(endpoint.map_or(0, |key| self.in_flight_to(key))));
        }
        ReleaseAnswer { in_flight }
    }

    /// Records the heartbeat of another host.
    pub(super) fn handle_heartbeat(&mut self, heartbeat: Heartbeat) {
        if heartbeat.name == self.deps.config.name {
            return;
        }
        if heartbeat.zone == self.deps.config.zone && heartbeat.is_session_held {
            self.deps.authority.end_outage();
        }
        self.heartbeats.record(heartbeat, clock::now_ms());
    }

    /// Keeps the ownership valid without a session while no host of the zone can reach the store.
    fn update_outage(&mut self, now_ms: u64) {
        if self.deps.session.lease().is_some() || self.ownership.held().is_none() {
            self.deps.authority.end_outage();
            return;
        }
        let config = &self.deps.config;
        let others = self.ownership.members().iter().filter(|member| member.name != config.name);
        let zone_hosts: Vec<&Heartbeat> = self
            .heartbeats
            .recent(config.peers.heartbeat_age_ms)
            .into_iter()
            .filter(|host| host.zone == config.zone)
            .collect();
        let is_alone = others.count() == 0;
        let all_away = zone_hosts.iter().all(|host| !host.is_session_held);
        if all_away && (is_alone || !zone_hosts.is_empty()) {
            self.deps.authority.extend_outage(now_ms + config.peers.heartbeat_every_ms * 2);
        }
    }

    /// Reports the load of the recently heard peers to the dispatcher.
    pub(super) fn report_peer_loads(&mut self) {
        self.checked.peers_reported_ms = clock::now_ms();
        let config = &self.deps.config;
        let recent = self.heartbeats.recent(config.peers.heartbeat_age_ms);
        let usable = recent.into_iter().filter(|host| !host.is_leaving).cloned();
        let hosts: Vec<Heartbeat> = usable.collect();
        let peers = hosts.into_iter().map(|host| self.peer_load(&host)).collect();
        self.step(route::Event::PeerLoads(peers));
    }

    /// Load of a peer with its services under this host's keys; unknown services are left out.
    fn peer_load(&mut self, host: &Heartbeat) -> PeerLoad {
        let config = &self.deps.config;
        let is_same_zone = host.zone == config.zone;
        let trip_ms =
            if is_same_zone { config.peers.peer_trip_ms } else { config.peers.zone_trip_ms };
        let known = |(name, load): &(String, route::ServiceLoad)| {
            self.catalog.service(name).map(|service| (service, *load))
        };
        let services = host.loads.iter().filter_map(known).collect();
        PeerLoad { peer: self.catalog.peer(&host.name), trip_ms, is_same_zone, services }
    }
}

/// Task that asks all peers of the zone to release endpoints.
struct ReleaseTask {
    /// Endpoints to acquire, and the peers that must release them.
    acquire: Acquire,
    /// Name of this host.
    asker: String,
    /// Shared secret that authenticates calls between entry hosts.
    token: String,
    /// Limit of each call, in milliseconds.
    timeout_ms: u64,
    pool: Pool,
    control: Control,
}

impl ReleaseTask {
    /// Repeats the calls until all endpoints are released or [`MAX_RELEASE_CALLS`] is reached;
    /// reports each released endpoint at once.
    ///
    /// An endpoint is requested only after a trial in which all peers would release it, so that its
    /// owner goes on sending while another peer does not answer.
    async fn run(self) {
        let mut open: Vec<usize> = (0..self.acquire.endpoints.len()).collect();
        for _ in 0..MAX_RELEASE_CALLS {
            let would = self.ask_all(&open, true).await;
            let willing = open.iter().zip(would).filter_map(|(index, busy)| busy.map(|_| *index));
            let released = self.request(&willing.collect::<Vec<usize>>()).await;
            open.retain(|index| !released.contains(index));
            if open.is_empty() {
                return;
            }
            task::sleep(Duration::from_millis(RELEASE_RETRY_MS)).await;
        }
        let generation = self.acquire.generation;
        self.control.send(Input::Unreleased { generation });
    }

    /// Asks all peers to release the endpoints in `willing`, and reports those that all released;
    /// returns them.
    async fn request(&self, willing: &[usize]) -> Vec<usize> {
        if willing.is_empty() {
            return Vec::new();
        }
        let busy = self.ask_all(willing, false).await;
        let released: Vec<(usize, u32)> =
            willing.iter().zip(busy).filter_map(|(index, busy)| Some((*index, busy?))).collect();
        if !released.is_empty() {
            let key = |(index, busy): &(usize, u32)| (self.acquire.endpoints[*index].0, *busy);
            let endpoints: Vec<(EndpointKey, u32)> = released.iter().map(key).collect();
            let generation = self.acquire.generation;
            self.control.send(Input::Released { generation, endpoints });
        }
        released.into_iter().map(|(index, _)| index).collect()
    }

    /// For each endpoint in `open`: the number of requests that peers still run there if all peers
    /// released it, or would in a trial, else `None`.
    async fn ask_all(&self, open: &[usize], is_trial: bool) -> Vec<Option<u32>> {
        let name = |index: &usize| self.acquire.endpoints[*index].1.clone();
        let request = ReleaseRequest {
            asker: self.asker.clone(),
            endpoints: open.iter().map(name).collect(),
            is_trial,
        };
        let mut busy = vec![Some(0_u32); open.len()];
        for address in &self.acquire.peers {
            let call = Call {
                address,
                path: peer::RELEASE_PATH,
                token: &self.token,
                timeout_ms: self.timeout_ms,
            };
            let answer: Result<ReleaseAnswer, _> = rpc::call(&self.pool, &call, &request).await;
            let reported = answer.map(|answer| answer.in_flight).unwrap_or_default();
            for (index, sum) in busy.iter_mut().enumerate() {
                let in_flight = reported.get(index).copied().flatten();
                *sum = sum.zip(in_flight).map(|(sum, in_flight)| sum + in_flight);
            }
        }
        busy
    }
}
