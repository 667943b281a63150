//! Model test of endpoint ownership: hosts of a zone join, lose their session, leave and see
//! changes of the store late. At no time may two hosts send to the same endpoint.

use hemlockrock::entry::catalog::Endpoint;
use hemlockrock::entry::ownership::{Acquire, Ownership};
use hemlockrock::membership::{Member, Role};
use hemlockrock::route::{EndpointKey, ServiceKey};
use hemlockrock::store::LeaseId;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const HOSTS: usize = 3;
const ENDPOINTS: u32 = 4;

/// One step of the model; numbers select hosts.
#[derive(Clone, Copy, Debug)]
enum Op {
    /// A host begins a session, if it has none.
    Join(usize),
    /// A host's session ends, at the host and in the store at once.
    Lapse(usize),
    /// A host marks its member record as leaving and acquires nothing more.
    Leave(usize),
    /// A host reads the members from the store.
    Sync(usize),
    /// A host determines the endpoints to acquire and starts to ask its peers.
    Acquire(usize),
    /// The release call `pick` of those in progress reaches the peer `peer`.
    Release { pick: usize, peer: usize },
    /// A host stops asking, so that it starts again later.
    GiveUp(usize),
}

fn op() -> impl Strategy<Value = Op> {
    let host = 0..HOSTS;
    prop_oneof![
        3 => host.clone().prop_map(Op::Join),
        1 => host.clone().prop_map(Op::Lapse),
        1 => host.clone().prop_map(Op::Leave),
        6 => host.clone().prop_map(Op::Sync),
        6 => host.clone().prop_map(Op::Acquire),
        12 => (0..16_usize, 0..HOSTS).prop_map(|(pick, peer)| Op::Release { pick, peer }),
        1 => host.prop_map(Op::GiveUp),
    ]
}

struct Host {
    ownership: Ownership,
    lease: Option<LeaseId>,
    is_enrolled: bool,
    is_leaving: bool,
    incarnation: u64,
}

/// Endpoints that a host asks for, and the peers that have not released all of them.
struct Acquisition {
    host: usize,
    acquire: Acquire,
    open: Vec<String>,
}

struct Model {
    hosts: Vec<Host>,
    store: Vec<(Member, LeaseId)>,
    acquisitions: Vec<Acquisition>,
    endpoints: Vec<Endpoint>,
    now_ms: u64,
    next_lease: u64,
    acquired: usize,
}

fn name(host: usize) -> String {
    format!("e{host}")
}

impl Model {
    fn new() -> Self {
        let host = |number: usize| Host {
            ownership: Ownership::new(name(number)),
            lease: None,
            is_enrolled: false,
            is_leaving: false,
            incarnation: number as u64,
        };
        let endpoint = |number| Endpoint {
            key: EndpointKey(number),
            name: format!("orders/r{number}"),
            host: format!("r{number}"),
            service: ServiceKey(0),
            zone: "z1".to_owned(),
            address: format!("127.0.0.1:{number}"),
            slots: 8,
        };
        Self {
            hosts: (0..HOSTS).map(host).collect(),
            store: Vec::new(),
            acquisitions: Vec::new(),
            endpoints: (0..ENDPOINTS).map(endpoint).collect(),
            now_ms: 0,
            next_lease: 0,
            acquired: 0,
        }
    }

    fn apply(&mut self, op: Op) {
        self.now_ms += 1_000;
        match op {
            Op::Join(host) => self.join(host),
            Op::Lapse(host) => {
                self.hosts[host].lease = None;
                self.store.retain(|(member, _)| member.name != name(host));
            }
            Op::Leave(host) => {
                if self.hosts[host].lease.is_none() {
                    return;
                }
                self.hosts[host].is_leaving = true;
                self.hosts[host].ownership.begin_drain();
                for (member, _) in &mut self.store {
                    member.is_leaving |= member.name == name(host);
                }
            }
            Op::Sync(host) => {
                let mut members: Vec<Member> =
                    self.store.iter().map(|(member, _)| member.clone()).collect();
                members.sort_by(|left, right| left.name.cmp(&right.name));
                let lease = self.hosts[host].lease;
                let is_own = |(member, held): &(Member, LeaseId)| {
                    member.name == name(host) && Some(*held) == lease
                };
                self.hosts[host].is_enrolled = lease.is_some() && self.store.iter().any(is_own);
                self.hosts[host].ownership.set_members(members, self.now_ms);
            }
            Op::Acquire(host) => self.acquire(host),
            Op::Release { pick, peer } => self.release(pick, peer),
            Op::GiveUp(host) => {
                if let Some(at) =
                    self.acquisitions.iter().position(|acquisition| acquisition.host == host)
                {
                    let acquisition = self.acquisitions.remove(at);
                    self.hosts[host].ownership.retry(acquisition.acquire.generation);
                }
            }
        }
    }

    fn join(&mut self, host: usize) {
        if self.hosts[host].lease.is_some() || self.hosts[host].is_leaving {
            return;
        }
        self.next_lease += 1;
        let lease = LeaseId(self.next_lease);
        self.hosts[host].lease = Some(lease);
        self.hosts[host].is_enrolled = false;
        let member = Member {
            name: name(host),
            role: Role::Entry,
            zone: "z1".to_owned(),
            address: name(host),
            incarnation: self.hosts[host].incarnation,
            config_revision: 1,
            is_leaving: false,
        };
        self.store.push((member, lease));
    }

    fn acquire(&mut self, host: usize) {
        let state = &mut self.hosts[host];
        if state.lease.is_some() && state.ownership.held() != state.lease {
            state.ownership.restart(state.lease, self.now_ms);
            return;
        }
        if !state.is_enrolled || state.lease.is_none() {
            return;
        }
        let settled_ms = self.now_ms + 1_000;
        if let Some(acquire) = state.ownership.to_acquire(&self.endpoints, settled_ms, 300) {
            let open = acquire.peers.clone();
            self.acquisitions.push(Acquisition { host, acquire, open });
            self.finish_acquisitions();
        }
    }

    fn release(&mut self, pick: usize, peer: usize) {
        let Some(at) = pick.checked_rem(self.acquisitions.len()) else { return };
        let (asker, endpoints) = {
            let acquisition = &self.acquisitions[at];
            if !acquisition.open.contains(&name(peer)) {
                return;
            }
            (name(acquisition.host), acquisition.acquire.endpoints.clone())
        };
        let answers: Vec<bool> = endpoints
            .iter()
            .map(|(key, endpoint)| {
                let ownership = &mut self.hosts[peer].ownership;
                let owned = ownership.owned().clone();
                let would = ownership.would_release(Some(*key), endpoint, &asker);
                assert_eq!(*ownership.owned(), owned, "a trial gives nothing up");
                let is_released = ownership.release(Some(*key), endpoint, &asker);
                assert_eq!(would, is_released, "{endpoint} of {peer}");
                is_released
            })
            .collect();
        if answers.iter().all(|released| *released) {
            self.acquisitions[at].open.retain(|open| *open != name(peer));
            self.finish_acquisitions();
        }
    }

    /// Lets hosts acquire the endpoints that all their peers released.
    fn finish_acquisitions(&mut self) {
        let (done, open) = std::mem::take(&mut self.acquisitions)
            .into_iter()
            .partition(|acquisition| acquisition.open.is_empty());
        self.acquisitions = open;
        let done: Vec<Acquisition> = done;
        for Acquisition { host, acquire, .. } in done {
            for (key, _) in acquire.endpoints {
                let state = &mut self.hosts[host].ownership;
                let is_taken = state.acquire(acquire.generation, key, 0, self.now_ms);
                self.acquired += usize::from(is_taken);
            }
        }
    }

    fn check(&self) {
        for endpoint in &self.endpoints {
            let may_send = |host: &&Host| {
                host.lease.is_some()
                    && host.ownership.held() == host.lease
                    && host.ownership.owned().contains_key(&endpoint.key)
            };
            let owners = self.hosts.iter().filter(may_send).count();
            assert!(owners <= 1, "{} has {owners} owners", endpoint.name);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 5_000,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_endpoint_has_two_owners(ops in proptest::collection::vec(op(), 1..120)) {
        let mut model = Model::new();
        for op in &ops {
            model.apply(*op);
            model.check();
        }
    }
}

#[test]
fn the_model_reaches_a_handover() {
    let mut model = Model::new();
    for op in [Op::Join(0), Op::Sync(0), Op::Acquire(0), Op::Acquire(0)] {
        model.apply(op);
    }
    assert_eq!(model.acquired, ENDPOINTS as usize);
    for op in [Op::Join(1), Op::Sync(1), Op::Sync(0), Op::Acquire(1), Op::Acquire(1)] {
        model.apply(op);
    }
    let before = model.acquired;
    model.apply(Op::Release { pick: 0, peer: 0 });
    assert!(model.acquired > before, "no endpoint was handed over");
    model.check();
}
