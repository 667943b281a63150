//! Property test: random events against a simple model of requests and slots.

use std::collections::BTreeMap;

use hemlockrock::configs::route::{Policy, RouteConfig};
use hemlockrock::outcome::{Outcome, Reason};
use hemlockrock::route::{
    Action, CallerKey, Dispatcher, EndpointKey, EndpointSignal, Event, KindKey, PeerKey, PeerLoad,
    RequestKey, SendResult, ServiceKey, ServiceLoad, Submission, TakeoverGuard,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const SERVICES: u32 = 2;
const ENDPOINTS: u32 = 5;
const SLOTS: u32 = 3;

/// Input of the test; `pick` selects an open or running request, modulo their number.
#[derive(Clone, Copy, Debug)]
enum Op {
    /// `guard` is the number of guarded slots and the duration of the guard in milliseconds.
    Acquire {
        endpoint: u32,
        guard: Option<(u32, u64)>,
    },
    BusySlots {
        endpoint: u32,
        busy: u32,
    },
    Release {
        endpoint: u32,
    },
    /// `flags` are `is_idempotent` and `is_forwarded`; the deadline is relative to now.
    Submit {
        service: u32,
        kind: u32,
        caller: u32,
        flags: (bool, bool),
        deadline_ms: u64,
    },
    Cancel {
        pick: usize,
    },
    End {
        pick: usize,
        result: SendResult,
    },
    Signal {
        endpoint: u32,
        signal: EndpointSignal,
    },
    PeerLoad {
        wait_ms: f64,
        free_slots: u32,
    },
    Wait {
        ms: u64,
    },
}

fn results() -> impl Strategy<Value = SendResult> {
    prop_oneof![
        6 => (0_u64..2_000).prop_map(|ran_ms| SendResult::Done { ran_ms }),
        1 => Just(SendResult::ServerError),
        2 => Just(SendResult::Declined),
        2 => Just(SendResult::NotSent),
        2 => Just(SendResult::Lost { reason: Reason::ConnectionLost }),
    ]
}

fn signals() -> impl Strategy<Value = EndpointSignal> {
    prop_oneof![
        Just(EndpointSignal::Leaving),
        Just(EndpointSignal::NotLeaving),
        Just(EndpointSignal::ConnectionRefused),
        Just(EndpointSignal::ProbeSucceeded),
        Just(EndpointSignal::ProbeFailed),
    ]
}

fn ops() -> impl Strategy<Value = Op> {
    let endpoint = 0..ENDPOINTS;
    let guard = proptest::option::weighted(0.2, (1..SLOTS, 1_u64..400));
    prop_oneof![
        2 => (endpoint.clone(), guard).prop_map(|(endpoint, guard)| Op::Acquire { endpoint, guard }),
        3 => (endpoint.clone(), 0..=SLOTS).prop_map(|(endpoint, busy)| Op::BusySlots { endpoint, busy }),
        1 => endpoint.clone().prop_map(|endpoint| Op::Release { endpoint }),
        12 => (0..SERVICES, 0_u32..3, 0_u32..4, any::<(bool, bool)>(), 1_u64..3_000).prop_map(
            |(service, kind, caller, flags, deadline_ms)| {
                Op::Submit { service, kind, caller, flags, deadline_ms }
            }
        ),
        2 => any::<usize>().prop_map(|pick| Op::Cancel { pick }),
        10 => (any::<usize>(), results()).prop_map(|(pick, result)| Op::End { pick, result }),
        1 => (endpoint, signals()).prop_map(|(endpoint, signal)| Op::Signal { endpoint, signal }),
        1 => (0.0..500.0, 0_u32..3).prop_map(|(wait_ms, free_slots)| Op::PeerLoad { wait_ms, free_slots }),
        4 => (1_u64..300).prop_map(|ms| Op::Wait { ms }),
    ]
}

/// Expected state of a request.
#[derive(Clone, Debug)]
struct RequestModel {
    submission: Submission,
    sent_to: Option<EndpointKey>,
    may_have_run: bool,
    is_cancelled: bool,
    is_ended: bool,
}

/// Expected state of an endpoint.
#[derive(Clone, Debug, Default)]
struct EndpointModel {
    is_owned: bool,
    busy_elsewhere: Option<u32>,
    is_leaving: bool,
    guard: Option<TakeoverGuard>,
    in_flight: u32,
}

struct Model {
    dispatcher: Dispatcher,
    now_ms: u64,
    requests: BTreeMap<RequestKey, RequestModel>,
    endpoint_models: BTreeMap<EndpointKey, EndpointModel>,
}

impl Model {
    fn new(config: RouteConfig) -> Self {
        Self {
            dispatcher: Dispatcher::new(config, 11),
            now_ms: 0,
            requests: BTreeMap::new(),
            endpoint_models: (0..ENDPOINTS)
                .map(|key| (EndpointKey(key), EndpointModel::default()))
                .collect(),
        }
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Acquire { endpoint, guard } => self.acquire(EndpointKey(endpoint), guard),
            Op::BusySlots { endpoint, busy } => {
                let endpoint = EndpointKey(endpoint);
                let endpoint_model = self.endpoint_model(endpoint);
                if endpoint_model.is_owned {
                    endpoint_model.busy_elsewhere = Some(busy);
                }
                self.step(Event::BusySlots { endpoint, busy });
            }
            Op::Release { endpoint } => {
                let endpoint = EndpointKey(endpoint);
                self.endpoint_model(endpoint).is_owned = false;
                self.step(Event::EndpointReleased { endpoint });
            }
            Op::Submit { service, kind, caller, flags, deadline_ms } => {
                let submission = Submission {
                    request: RequestKey(self.requests.len() as u64),
                    service: ServiceKey(service),
                    kind: KindKey(kind),
                    caller: CallerKey(caller),
                    is_idempotent: flags.0,
                    is_forwarded: flags.1,
                    deadline_ms: self.now_ms + deadline_ms,
                };
                self.submit(submission);
            }
            Op::Cancel { pick } => self.cancel(pick),
            Op::End { pick, result } => self.end(pick, result),
            Op::Signal { endpoint, signal } => self.signal(EndpointKey(endpoint), signal),
            Op::PeerLoad { wait_ms, free_slots } => self.update_peer_load(wait_ms, free_slots),
            Op::Wait { ms } => {
                self.now_ms += ms;
                self.step(Event::Tick);
            }
        }
    }

    fn acquire(&mut self, endpoint: EndpointKey, guard: Option<(u32, u64)>) {
        let guard = guard.map(|(slots, ms)| TakeoverGuard { slots, until_ms: self.now_ms + ms });
        let endpoint_model = self.endpoint_model(endpoint);
        let in_flight = endpoint_model.in_flight;
        *endpoint_model =
            EndpointModel { is_owned: true, guard, in_flight, ..EndpointModel::default() };
        let service = ServiceKey(endpoint.0 % SERVICES);
        self.step(Event::EndpointAcquired { endpoint, service, slots: SLOTS, guard });
    }

    fn submit(&mut self, submission: Submission) {
        let request_model = RequestModel {
            submission,
            sent_to: None,
            may_have_run: false,
            is_cancelled: false,
            is_ended: false,
        };
        self.requests.insert(submission.request, request_model);
        self.step(Event::Submit(submission));
    }

    fn cancel(&mut self, pick: usize) {
        let open_requests =
            self.requests.values_mut().filter(|request_model| !request_model.is_ended);
        let mut open_requests: Vec<_> = open_requests.collect();
        if open_requests.is_empty() {
            return;
        }
        let at = pick % open_requests.len();
        open_requests[at].is_cancelled = true;
        let request = open_requests[at].submission.request;
        self.step(Event::Cancel { request });
        let request_model = &self.requests[&request];
        assert!(
            request_model.is_ended || request_model.sent_to.is_some(),
            "a queued request ends when it is cancelled"
        );
    }

    fn end(&mut self, pick: usize, result: SendResult) {
        let running: Vec<(RequestKey, EndpointKey)> = self
            .requests
            .iter()
            .filter_map(|(key, request_model)| {
                request_model.sent_to.map(|endpoint| (*key, endpoint))
            })
            .collect();
        if running.is_empty() {
            return;
        }
        let (request, endpoint) = running[pick % running.len()];
        self.endpoint_model(endpoint).in_flight -= 1;
        let request_model = self.requests.get_mut(&request).expect("a known request");
        request_model.sent_to = None;
        request_model.may_have_run |= matches!(result, SendResult::Lost { .. });
        request_model.is_ended =
            matches!(result, SendResult::Done { .. } | SendResult::ServerError);
        self.step(Event::SendEnded { request, endpoint, result });
    }

    fn signal(&mut self, endpoint: EndpointKey, signal: EndpointSignal) {
        let endpoint_model = self.endpoint_model(endpoint);
        match signal {
            EndpointSignal::Leaving if endpoint_model.is_owned => endpoint_model.is_leaving = true,
            EndpointSignal::NotLeaving => endpoint_model.is_leaving = false,
            _ => {}
        }
        self.step(Event::Signal { endpoint, signal });
    }

    fn update_peer_load(&mut self, short_wait_ms: f64, free_slots: u32) {
        let load = ServiceLoad {
            short_wait_ms,
            long_wait_ms: short_wait_ms,
            slots: 8,
            free_slots,
            ..ServiceLoad::default()
        };
        let services = vec![(ServiceKey(0), load)];
        let peer = PeerLoad { peer: PeerKey(1), trip_ms: 1.0, is_same_zone: true, services };
        self.step(Event::PeerLoads(vec![peer]));
    }

    fn endpoint_model(&mut self, endpoint: EndpointKey) -> &mut EndpointModel {
        self.endpoint_models.get_mut(&endpoint).expect("a known endpoint")
    }

    fn step(&mut self, event: Event) {
        let mut out = Vec::new();
        self.dispatcher.step(event, self.now_ms, &mut out);
        for action in out {
            self.check(action);
        }
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Send { request, endpoint } => self.check_send(request, endpoint),
            Action::Finish { request, outcome, .. } => {
                let request_model = self.requests.get_mut(&request).expect("a known request");
                assert!(!request_model.is_ended, "ended twice");
                assert_eq!(request_model.sent_to, None, "ended while it is running");
                let expected =
                    if request_model.may_have_run { Outcome::Unknown } else { Outcome::NotRun };
                assert_eq!(outcome, expected, "outcome");
                request_model.is_ended = true;
            }
            Action::Forward { request, .. } => {
                let request_model = self.requests.get_mut(&request).expect("a known request");
                assert!(
                    !request_model.is_ended
                        && !request_model.submission.is_forwarded
                        && !request_model.may_have_run
                );
                assert_eq!(request_model.sent_to, None);
                request_model.is_ended = true;
            }
            Action::Probe { endpoint } => assert!(self.endpoint_models[&endpoint].is_owned),
            Action::Abort { request, endpoint } => {
                let request_model = &self.requests[&request];
                assert!(request_model.submission.is_idempotent && request_model.is_cancelled);
                assert_eq!(request_model.sent_to, Some(endpoint));
            }
        }
    }

    fn check_send(&mut self, request: RequestKey, endpoint: EndpointKey) {
        let now_ms = self.now_ms;
        let request_model = self.requests.get_mut(&request).expect("a known request");
        assert!(
            !request_model.is_ended
                && !request_model.is_cancelled
                && request_model.sent_to.is_none()
        );
        assert!(request_model.submission.deadline_ms > now_ms, "sent after its deadline");
        assert!(
            !request_model.may_have_run || request_model.submission.is_idempotent,
            "a non-idempotent request was sent twice"
        );
        assert_eq!(request_model.submission.service.0, endpoint.0 % SERVICES);
        request_model.sent_to = Some(endpoint);
        let endpoint_model = self.endpoint_model(endpoint);
        endpoint_model.in_flight += 1;
        assert!(endpoint_model.is_owned && !endpoint_model.is_leaving);
        let guard = endpoint_model.guard.filter(|guard| guard.until_ms > now_ms);
        let busy_elsewhere =
            endpoint_model.busy_elsewhere.expect("sent before the busy slots were known");
        let busy = endpoint_model.in_flight + busy_elsewhere + guard.map_or(0, |guard| guard.slots);
        assert!(busy <= SLOTS, "{busy} requests on {SLOTS} slots");
    }

    /// Completes all requests, and checks that no request stays open and no slot stays busy.
    fn finish_all(mut self) {
        const STEP_MS: u64 = 500;
        const LONGEST_MS: u64 = 60_000;
        let ends_at_ms = self.now_ms + LONGEST_MS;
        while self.now_ms < ends_at_ms {
            while self.requests.values().any(|request_model| request_model.sent_to.is_some()) {
                self.end(0, SendResult::Done { ran_ms: 5 });
            }
            self.apply(Op::Wait { ms: STEP_MS });
        }
        let unfinished = self.requests.values().find(|request_model| !request_model.is_ended);
        assert!(unfinished.is_none(), "never ended: {unfinished:?}");
        for (_, load) in self.dispatcher.load().services {
            assert_eq!(
                (load.free_slots, load.queued),
                (load.slots, 0),
                "no slot is busy and no request is queued"
            );
        }
    }
}

fn check(policy: Policy, ops: Vec<Op>) {
    let config = RouteConfig { policy, max_queued: 12, ..RouteConfig::default() };
    let mut model = Model::new(config);
    for endpoint in 0..ENDPOINTS - 1 {
        model.apply(Op::Acquire { endpoint, guard: None });
        model.apply(Op::BusySlots { endpoint, busy: 0 });
    }
    ops.into_iter().for_each(|op| model.apply(op));
    model.finish_all();
}

proptest! {
    #![proptest_config(Config {
        cases: 1_500,
        rng_seed: RngSeed::Fixed(20_261),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn full_policy_matches_the_model(ops in proptest::collection::vec(ops(), 1..250)) {
        check(Policy::Full, ops);
    }

    #[test]
    fn baseline_policy_matches_the_model(ops in proptest::collection::vec(ops(), 1..250)) {
        check(Policy::Baseline, ops);
    }
}
