//! Hosts of a zone that join, lapse, leave and see the store late, against a simple oracle: no
//! endpoint has two hosts that may send to it.

use hemlockrock::entry::catalog::Endpoint;
use hemlockrock::entry::ownership::{Acquire, Ownership};
use hemlockrock::membership::{Member, Role};
use hemlockrock::route::{EndpointKey, ServiceKey};
use hemlockrock::store::LeaseId;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const HOSTS: usize = 3;
const ENDPOINTS: u32 = 4;

#[derive(Clone, Copy, Debug)]
enum Op {
    /// A host begins a session, if it has none.
    Join(usize),
    /// A host's session ends, for itself and then in the store.
    Lapse(usize),
    /// A host marks its record as leaving and acquires nothing any more.
    Leave(usize),
    /// A host takes in the store's members.
    Sync(usize),
    /// A host looks at what it is to do, and asks its peers.
    Look(usize),
    /// One open question of a host reaches one of its peers.
    ReleaseTask { pick: usize, peer: usize },
    /// A host gives up asking, so that it asks anew.
    GiveUp(usize),
}

fn op() -> impl Strategy<Value = Op> {
    let host = 0..HOSTS;
    prop_oneof![
        3 => host.clone().prop_map(Op::Join),
        1 => host.clone().prop_map(Op::Lapse),
        1 => host.clone().prop_map(Op::Leave),
        6 => host.clone().prop_map(Op::Sync),
        6 => host.clone().prop_map(Op::Look),
        12 => (0..16_usize, 0..HOSTS).prop_map(|(pick, peer)| Op::ReleaseTask { pick, peer }),
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

/// Endpoints that a host asks for, and the peers that have not given up all of them.
struct Question {
    host: usize,
    acquire: Acquire,
    open: Vec<String>,
}

struct Model {
    hosts: Vec<Host>,
    store: Vec<(Member, LeaseId)>,
    questions: Vec<Question>,
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
            questions: Vec::new(),
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
            Op::Look(host) => self.look(host),
            Op::ReleaseTask { pick, peer } => self.ask(pick, peer),
            Op::GiveUp(host) => {
                if let Some(at) = self.questions.iter().position(|asked| asked.host == host) {
                    let question = self.questions.remove(at);
                    self.hosts[host].ownership.retry(question.acquire.generation);
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

    fn look(&mut self, host: usize) {
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
            self.questions.push(Question { host, acquire, open });
            self.finish_questions();
        }
    }

    fn ask(&mut self, pick: usize, peer: usize) {
        let Some(at) = pick.checked_rem(self.questions.len()) else { return };
        let (asker, endpoints) = {
            let question = &self.questions[at];
            if !question.open.contains(&name(peer)) {
                return;
            }
            (name(question.host), question.acquire.endpoints.clone())
        };
        let answers: Vec<bool> = endpoints
            .iter()
            .map(|(key, endpoint)| self.hosts[peer].ownership.release(Some(*key), endpoint, &asker))
            .collect();
        if answers.iter().all(|released| *released) {
            self.questions[at].open.retain(|open| *open != name(peer));
            self.finish_questions();
        }
    }

    /// Lets hosts acquire what all their peers gave up.
    fn finish_questions(&mut self) {
        let (done, open) =
            std::mem::take(&mut self.questions).into_iter().partition(|q| q.open.is_empty());
        self.questions = open;
        let done: Vec<Question> = done;
        for Question { host, acquire, .. } in done {
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
fn the_model_gets_as_far_as_handing_over() {
    let mut model = Model::new();
    for op in [Op::Join(0), Op::Sync(0), Op::Look(0), Op::Look(0)] {
        model.apply(op);
    }
    assert_eq!(model.acquired, ENDPOINTS as usize);
    for op in [Op::Join(1), Op::Sync(1), Op::Sync(0), Op::Look(1), Op::Look(1)] {
        model.apply(op);
    }
    let before = model.acquired;
    model.apply(Op::ReleaseTask { pick: 0, peer: 0 });
    assert!(model.acquired > before, "nothing changed hands");
    model.check();
}
