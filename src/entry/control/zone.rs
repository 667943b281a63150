//! Members, declarations, ownership and heartbeats, as the control thread takes them in.

use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::task;

use crate::clock;
use crate::http::client::Pool;
use crate::http::rpc::{self, Call};
use crate::membership::{self, Member, Role};
use crate::route::{self, EndpointKey, PeerLoad, TakeoverGuard};

use super::super::heartbeat::Heartbeat;
use super::super::message::{Control, Input, Purpose};
use super::super::ownership::Acquire;
use super::super::peer::{self, ReleaseAnswer, ReleaseRequest};
use super::{seats, signs, Thread};

/// Pause before a peer is asked again for endpoints that it still owns, in milliseconds.
const ASK_AGAIN_MS: u64 = 50;

/// Tries to get endpoints from a peer before the view is looked at again.
const MAX_ASKS: u32 = 200;

/// Time between two tellings of the peers' load to the dispatcher, in milliseconds.
const TELL_PEERS_MS: u64 = 100;

/// Time after which a host is ready although no endpoint can be used, in milliseconds.
const READY_AFTER_MS: u64 = 5_000;

/// Time between looks for requests without progress, in milliseconds.
const WATCH_PROGRESS_MS: u64 = 100;

impl Thread {
    /// Takes in what changed around this host and begins what is due.
    pub(super) fn look_around(&mut self) {
        let now_ms = clock::now_ms();
        self.take_declarations(now_ms);
        self.take_session(now_ms);
        self.take_members(now_ms);
        self.judge_outage(now_ms);
        self.acquire_due(now_ms);
        self.judge_settled(now_ms);
        let seen = &mut self.seen;
        if now_ms >= seen.foreign_read_ms + self.parts.config.endpoints.read_every_ms {
            seen.foreign_read_ms = now_ms;
            self.read_foreign();
        }
        if now_ms >= self.seen.progress_read_ms + WATCH_PROGRESS_MS {
            self.seen.progress_read_ms = now_ms;
            self.watch_progress();
        }
        if now_ms >= self.seen.leaving_read_ms + signs::READ_EVERY_MS {
            self.seen.leaving_read_ms = now_ms;
            self.read_leaving();
        }
        if now_ms >= self.seen.seats_ms + seats::LOOK_EVERY_MS {
            self.seen.seats_ms = now_ms;
            self.look_at_seats(now_ms);
        }
        if now_ms >= self.seen.peers_told_ms + TELL_PEERS_MS {
            self.tell_peers();
        }
    }

    fn take_declarations(&mut self, now_ms: u64) {
        let accepted = self.parts.feed.current();
        if accepted.revision <= self.seen.config_revision {
            return;
        }
        self.seen.config_revision = accepted.revision;
        self.book.declare(&accepted.declarations);
        let gone = |key: &&EndpointKey| self.book.endpoint(**key).is_none();
        let mut gone: Vec<EndpointKey> =
            self.ownership.owned().keys().filter(gone).copied().collect();
        gone.sort();
        for endpoint in gone {
            self.ownership.remove(endpoint);
            self.step(route::Event::Disown { endpoint });
        }
        self.ownership.renew_view(now_ms);
        let revision = accepted.revision;
        self.parts.session.update(|member| member.config_revision = revision);
        spdlog::info!("configuration in force", kv: { revision });
    }

    /// Gives up everything when the session is another one than that of the acquisition.
    fn take_session(&mut self, now_ms: u64) {
        let lease = self.parts.session.lease();
        let is_other = match self.ownership.held() {
            Some(held) => self.parts.authority.is_superseded(held),
            None => lease.is_some(),
        };
        if !is_other {
            return;
        }
        spdlog::info!("session begins, endpoints are acquired anew");
        self.resign_all_seats();
        for endpoint in self.ownership.restart(lease, now_ms) {
            self.step(route::Event::Disown { endpoint });
        }
    }

    fn take_members(&mut self, now_ms: u64) {
        let snapshot = self.parts.mirror.snapshot();
        if self.seen.members_at == Some(snapshot.revision) {
            return;
        }
        self.seen.members_at = Some(snapshot.revision);
        let zone = &self.parts.config.zone;
        let mut members: Vec<Member> = membership::members(&snapshot)
            .into_iter()
            .filter(|member| member.role == Role::Entry && &member.zone == zone)
            .collect();
        members.sort_by(|left, right| left.name.cmp(&right.name));
        self.ownership.set_members(members, now_ms);
    }

    /// Whether the copy of the store holds this host's own record under its present session.
    fn is_enrolled(&self) -> bool {
        let snapshot = self.parts.mirror.snapshot();
        let key = self.parts.session.member().key();
        let lease = self.parts.session.lease();
        let record = snapshot.entries.get(&key);
        snapshot.is_current && lease.is_some() && record.is_some_and(|entry| entry.lease == lease)
    }

    /// Notes that this host can send requests somewhere, so that callers may be sent here.
    fn judge_settled(&self, now_ms: u64) {
        if self.parts.is_settled.load(Ordering::Acquire) || !self.is_enrolled() {
            return;
        }
        let settle_ms = self.parts.config.endpoints.settle_ms;
        let is_stable = self.ownership.has_stood(now_ms, settle_ms);
        let is_late = self.ownership.has_stood(now_ms, READY_AFTER_MS);
        let knows_endpoints = self.owns_its_own() && self.knows_a_dispatcher();
        if self.seen.config_revision > 0 && is_stable && (knows_endpoints || is_late) {
            self.parts.is_settled.store(true, Ordering::Release);
        }
    }

    /// Whether this host is a member and owns every endpoint that it ranks first for.
    fn owns_its_own(&self) -> bool {
        let name = self.parts.config.name.as_str();
        let is_member = self.ownership.members().iter().any(|member| member.name == name);
        let endpoints = self.book.endpoints_in(&self.parts.config.zone);
        let mut own =
            endpoints.iter().filter(|endpoint| self.ownership.owner(&endpoint.name) == Some(name));
        is_member && own.all(|endpoint| self.ownership.owned().contains_key(&endpoint.key))
    }

    /// Whether this host or one that it heard has usable endpoints, or none are declared here.
    fn knows_a_dispatcher(&self) -> bool {
        let age_ms = self.parts.config.peers.heartbeat_age_ms;
        self.book.endpoints_in(&self.parts.config.zone).is_empty()
            || !self.dispatcher.load().services.is_empty()
            || self.heard.recent(age_ms).iter().any(|host| !host.loads.is_empty())
    }

    fn acquire_due(&mut self, now_ms: u64) {
        if !self.is_enrolled() {
            return;
        }
        let endpoints = self.book.endpoints_in(&self.parts.config.zone);
        let settle_ms = self.parts.config.endpoints.settle_ms;
        let Some(acquire) = self.ownership.to_acquire(&endpoints, now_ms, settle_ms) else {
            return;
        };
        let ask = Ask {
            acquire,
            asker: self.parts.config.name.clone(),
            token: self.parts.config.token.clone(),
            timeout_ms: self.parts.config.peers.call_timeout_ms,
            pool: self.parts.peers.clone(),
            control: self.control.clone(),
        };
        task::spawn(ask.run());
    }

    /// Owns endpoints that all peers gave up, and reads their busy slots before the first send.
    pub(super) fn acquired(&mut self, generation: u64, endpoints: &[(EndpointKey, u32)]) {
        let now_ms = clock::now_ms();
        for (endpoint, told_busy) in endpoints {
            let endpoint = *endpoint;
            let Some(declared) = self.book.endpoint(endpoint) else { continue };
            let (service, slots) = (declared.service, declared.slots);
            if !self.ownership.acquire(generation, endpoint, *told_busy, now_ms) {
                continue;
            }
            let guard = self.guard(now_ms);
            self.step(route::Event::Own { endpoint, service, slots, guard });
            self.begin_signs(endpoint);
            self.read_endpoint(endpoint, Purpose::Foreign);
        }
    }

    fn guard(&self, now_ms: u64) -> Option<TakeoverGuard> {
        let config = &self.parts.config.endpoints;
        let is_guarded = self.ownership.is_guarded(now_ms, config.guard_ms);
        let until_ms = self.ownership.guarded_until_ms(config.guard_ms);
        is_guarded.then_some(TakeoverGuard { slots: config.guard_slots, until_ms })
    }

    /// Answers a peer that asks for endpoints.
    pub(super) fn release(&mut self, request: &ReleaseRequest) -> ReleaseAnswer {
        let mut in_flight = Vec::with_capacity(request.endpoints.len());
        for name in &request.endpoints {
            let endpoint = self.book.endpoint_named(name);
            let was_owned = endpoint.is_some_and(|key| self.ownership.owned().contains_key(&key));
            if !self.ownership.release(endpoint, name, &request.asker) {
                in_flight.push(None);
                continue;
            }
            if let Some(endpoint) = endpoint.filter(|_| was_owned) {
                self.step(route::Event::Disown { endpoint });
                if let Some(declared) = self.book.endpoint(endpoint) {
                    self.parts.endpoints.forget(&declared.address);
                }
            }
            in_flight.push(Some(endpoint.map_or(0, |key| self.in_flight(key))));
        }
        ReleaseAnswer { in_flight }
    }

    /// Takes in a heartbeat.
    pub(super) fn hear(&mut self, heartbeat: Heartbeat) {
        if heartbeat.name == self.parts.config.name {
            return;
        }
        if heartbeat.zone == self.parts.config.zone && heartbeat.is_session_held {
            self.parts.authority.end_outage();
        }
        self.heard.hear(heartbeat, clock::now_ms());
    }

    /// Lets ownership stand while the store is away from the whole zone.
    fn judge_outage(&mut self, now_ms: u64) {
        if self.parts.session.lease().is_some() || self.ownership.held().is_none() {
            self.parts.authority.end_outage();
            return;
        }
        let config = &self.parts.config;
        let others = self.ownership.members().iter().filter(|member| member.name != config.name);
        let heard: Vec<&Heartbeat> = self
            .heard
            .recent(config.peers.heartbeat_age_ms)
            .into_iter()
            .filter(|host| host.zone == config.zone)
            .collect();
        let is_alone = others.count() == 0;
        let all_away = heard.iter().all(|host| !host.is_session_held);
        if all_away && (is_alone || !heard.is_empty()) {
            self.parts.authority.extend_outage(now_ms + config.peers.heartbeat_every_ms * 2);
        }
    }

    /// Tells the dispatcher the load of the peers that were heard lately.
    pub(super) fn tell_peers(&mut self) {
        self.seen.peers_told_ms = clock::now_ms();
        let config = &self.parts.config;
        let recent = self.heard.recent(config.peers.heartbeat_age_ms);
        let usable = recent.into_iter().filter(|host| !host.is_leaving).cloned();
        let hosts: Vec<Heartbeat> = usable.collect();
        let peers = hosts.into_iter().map(|host| self.peer_load(&host)).collect();
        self.step(route::Event::PeerLoads(peers));
    }

    fn peer_load(&mut self, host: &Heartbeat) -> PeerLoad {
        let config = &self.parts.config;
        let is_same_zone = host.zone == config.zone;
        let trip_ms =
            if is_same_zone { config.peers.peer_trip_ms } else { config.peers.zone_trip_ms };
        let known = |(name, load): &(String, route::ServiceLoad)| {
            self.book.service(name).map(|service| (service, *load))
        };
        let services = host.loads.iter().filter_map(known).collect();
        PeerLoad { peer: self.book.peer(&host.name), trip_ms, is_same_zone, services }
    }
}

/// Asks all peers of the zone to give up endpoints.
struct Ask {
    acquire: Acquire,
    asker: String,
    token: String,
    timeout_ms: u64,
    pool: Pool,
    control: Control,
}

impl Ask {
    async fn run(self) {
        let mut open: Vec<usize> = (0..self.acquire.endpoints.len()).collect();
        for _ in 0..MAX_ASKS {
            let busy = self.ask_all(&open).await;
            let ready = open
                .iter()
                .zip(&busy)
                .filter_map(|(index, busy)| Some((self.acquire.endpoints[*index].0, (*busy)?)));
            let endpoints: Vec<(EndpointKey, u32)> = ready.collect();
            if !endpoints.is_empty() {
                let generation = self.acquire.generation;
                self.control.send(Input::Released { generation, endpoints });
            }
            let still = open.iter().zip(&busy).filter(|(_, busy)| busy.is_none());
            open = still.map(|(index, _)| *index).collect();
            if open.is_empty() {
                return;
            }
            task::sleep(Duration::from_millis(ASK_AGAIN_MS)).await;
        }
        let generation = self.acquire.generation;
        self.control.send(Input::Unreleased { generation });
    }

    /// For each open endpoint the sum of what peers still run there, if all gave it up.
    async fn ask_all(&self, open: &[usize]) -> Vec<Option<u32>> {
        let name = |index: &usize| self.acquire.endpoints[*index].1.clone();
        let request = ReleaseRequest {
            asker: self.asker.clone(),
            endpoints: open.iter().map(name).collect(),
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
            let told = answer.map(|answer| answer.in_flight).unwrap_or_default();
            for (index, sum) in busy.iter_mut().enumerate() {
                let more = told.get(index).copied().flatten();
                *sum = sum.zip(more).map(|(sum, more)| sum + more);
            }
        }
        busy
    }
}
