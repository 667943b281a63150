//! Single rules of the dispatcher, tested event by event.

use hemlockrock::configs::route::RouteConfig;
use hemlockrock::outcome::{Outcome, Reason};
use hemlockrock::route::owner::{self, Candidate};
use hemlockrock::route::{
    Action, CallerKey, Dispatcher, EndpointKey, EndpointSignal, Event, KindKey, PeerKey, PeerLoad,
    RequestKey, SendResult, ServiceKey, ServiceLoad, Submission, TakeoverGuard,
};

const SERVICE: ServiceKey = ServiceKey(1);
const FIRST: EndpointKey = EndpointKey(1);

/// A dispatcher with a simulated clock.
struct Harness {
    dispatcher: Dispatcher,
    now_ms: u64,
}

impl Harness {
    fn new(config: RouteConfig) -> Self {
        Self { dispatcher: Dispatcher::new(config, 5), now_ms: 0 }
    }

    fn with_endpoint(mut self, endpoint: EndpointKey, slots: u32) -> Self {
        self.step(Event::EndpointAcquired { endpoint, service: SERVICE, slots, guard: None });
        self.step(Event::BusySlots { endpoint, busy: 0 });
        self
    }

    fn step(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.dispatcher.step(event, self.now_ms, &mut out);
        out
    }

    fn wait(&mut self, ms: u64) -> Vec<Action> {
        let mut out = Vec::new();
        for _ in 0..ms {
            self.now_ms += 1;
            out.extend(self.step(Event::Tick));
        }
        out
    }

    fn submit(&mut self, request: u64, is_idempotent: bool) -> Vec<Action> {
        let mut submission = submission(request, self.now_ms + 5_000);
        submission.is_idempotent = is_idempotent;
        self.step(Event::Submit(submission))
    }

    fn end(&mut self, request: u64, endpoint: EndpointKey, result: SendResult) -> Vec<Action> {
        self.step(Event::SendEnded { request: RequestKey(request), endpoint, result })
    }

    fn signal(&mut self, endpoint: EndpointKey, signal: EndpointSignal) -> Vec<Action> {
        self.step(Event::Signal { endpoint, signal })
    }
}

fn submission(request: u64, deadline_ms: u64) -> Submission {
    Submission {
        request: RequestKey(request),
        service: SERVICE,
        kind: KindKey(1),
        caller: CallerKey(1),
        is_idempotent: false,
        is_forwarded: false,
        deadline_ms,
    }
}

fn sends(actions: &[Action]) -> Vec<EndpointKey> {
    let send = |action: &Action| match action {
        Action::Send { endpoint, .. } => Some(*endpoint),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

fn finishes(actions: &[Action]) -> Vec<(u64, Outcome, Reason)> {
    let finish = |action: &Action| match action {
        Action::Finish { request, outcome, reason, .. } => Some((request.0, *outcome, *reason)),
        _ => None,
    };
    actions.iter().filter_map(finish).collect()
}

const DONE: SendResult = SendResult::Done { ran_ms: 5 };
const LOST: SendResult = SendResult::Lost { reason: Reason::ConnectionLost };

#[test]
fn nothing_is_sent_before_the_busy_slots_are_known() {
    let mut harness = Harness::new(RouteConfig::default());
    harness.step(Event::EndpointAcquired {
        endpoint: FIRST,
        service: SERVICE,
        slots: 8,
        guard: None,
    });
    assert!(harness.submit(1, false).is_empty());
    let sent = harness.step(Event::BusySlots { endpoint: FIRST, busy: 7 });
    assert_eq!(sends(&sent), [FIRST]);
    assert!(harness.submit(2, false).is_empty(), "other hosts use seven slots");
    assert_eq!(sends(&harness.step(Event::BusySlots { endpoint: FIRST, busy: 6 })), [FIRST]);
}

#[test]
fn guarded_slots_are_held_back_until_the_guard_ends() {
    let mut harness = Harness::new(RouteConfig::default());
    let guard = Some(TakeoverGuard { slots: 3, until_ms: 50 });
    harness.step(Event::EndpointAcquired { endpoint: FIRST, service: SERVICE, slots: 4, guard });
    harness.step(Event::BusySlots { endpoint: FIRST, busy: 0 });
    assert_eq!(sends(&harness.submit(1, false)).len(), 1);
    assert!(harness.submit(2, false).is_empty());
    assert!(harness.wait(49).is_empty());
    assert_eq!(sends(&harness.wait(1)).len(), 1);
}

#[test]
fn a_leaving_endpoint_gets_no_new_requests_but_completes_running_ones() {
    let mut harness = Harness::new(RouteConfig::default()).with_endpoint(FIRST, 2);
    harness.submit(1, false);
    harness.signal(FIRST, EndpointSignal::Leaving);
    assert!(sends(&harness.submit(2, false)).is_empty());
    assert!(sends(&harness.end(1, FIRST, DONE)).is_empty());
    assert_eq!(
        harness.signal(FIRST, EndpointSignal::NotLeaving),
        [Action::Probe { endpoint: FIRST }]
    );
    assert_eq!(sends(&harness.signal(FIRST, EndpointSignal::ProbeSucceeded)), [FIRST]);
}

#[test]
fn a_lost_request_ends_as_unknown_unless_it_is_idempotent() {
    let mut harness = Harness::new(RouteConfig::default()).with_endpoint(FIRST, 2);
    harness.submit(1, false);
    harness.submit(2, true);
    let lost = finishes(&harness.end(1, FIRST, LOST));
    assert_eq!(lost, [(1, Outcome::Unknown, Reason::ConnectionLost)]);
    assert!(harness.end(2, FIRST, LOST).is_empty());
    assert_eq!(sends(&harness.wait(200)), [FIRST], "retried after a backoff");
    harness.end(2, FIRST, SendResult::Declined);
    harness.wait(200);
    let end = finishes(&harness.end(2, FIRST, SendResult::Declined));
    assert_eq!(end, [(2, Outcome::Unknown, Reason::ConnectionLost)], "the first try may have run");
}

#[test]
fn the_slot_of_a_lost_request_is_held_for_its_run_time() {
    let mut harness = Harness::new(RouteConfig::default()).with_endpoint(FIRST, 1);
    harness.submit(1, false);
    harness.submit(2, false);
    assert!(sends(&harness.end(1, FIRST, LOST)).is_empty());
    let prior_ms = RouteConfig::default().prior_run_ms;
    assert!(sends(&harness.wait(prior_ms)).is_empty());
    assert_eq!(sends(&harness.wait(prior_ms)), [FIRST]);
    harness.submit(3, false);
    harness.wait(10 * prior_ms);
    assert!(sends(&harness.end(2, FIRST, LOST)).is_empty(), "it may have started late");
    assert!(sends(&harness.wait(prior_ms - 1)).is_empty());
    assert_eq!(sends(&harness.wait(1)), [FIRST]);
}

#[test]
fn retries_stop_when_the_retry_budget_is_used_up() {
    let config = RouteConfig { retry_burst: 3, max_tries: 100, ..RouteConfig::default() };
    let mut harness = Harness::new(config).with_endpoint(FIRST, 8);
    let mut tries = 0;
    let mut actions = harness.submit(1, false);
    while !sends(&actions).is_empty() {
        tries += 1;
        actions = harness.end(1, FIRST, SendResult::Declined);
        actions.extend(harness.wait(1_000));
    }
    assert_eq!(tries, 4);
    assert_eq!(finishes(&actions), [(1, Outcome::NotRun, Reason::NoRetryLeft)]);
}

#[test]
fn cancelling_many_queued_requests_frees_the_queue() {
    const REQUESTS: u64 = 5_000;
    let mut harness = Harness::new(RouteConfig::default()).with_endpoint(FIRST, 2);
    let cancel = |request| Event::Cancel { request: RequestKey(request) };
    for request in 0..REQUESTS {
        let mut submission = submission(request, 1_000_000);
        submission.is_idempotent = request == 0;
        harness.step(Event::Submit(submission));
    }
    assert_eq!(
        harness.step(cancel(0)),
        [Action::Abort { request: RequestKey(0), endpoint: FIRST }]
    );
    for request in 1..REQUESTS {
        let ended = finishes(&harness.step(cancel(request)));
        let expected = (request, Outcome::NotRun, Reason::Cancelled);
        assert_eq!(ended, if request == 1 { vec![] } else { vec![expected] });
    }
    assert!(sends(&harness.submit(REQUESTS, false)).is_empty(), "both slots are still busy");
    assert_eq!(
        sends(&harness.end(0, FIRST, DONE)),
        [FIRST],
        "the cancelled requests left the queue"
    );
    harness.end(1, FIRST, DONE);
    harness.end(REQUESTS, FIRST, DONE);
    let load = harness.dispatcher.load().services[0].1;
    assert_eq!((load.free_slots, load.queued), (2, 0));
}

#[test]
fn a_cancelled_request_is_not_retried() {
    let mut harness = Harness::new(RouteConfig::default()).with_endpoint(FIRST, 2);
    harness.submit(1, true);
    harness.step(Event::Cancel { request: RequestKey(1) });
    let end = finishes(&harness.end(1, FIRST, SendResult::NotSent));
    assert_eq!(end, [(1, Outcome::NotRun, Reason::Cancelled)]);
}

#[test]
fn requests_aborted_by_this_host_do_not_eject_their_endpoint() {
    for reason in [Reason::Cancelled, Reason::TimedOut] {
        let mut harness = Harness::new(RouteConfig::default()).with_endpoint(FIRST, 1);
        harness.submit(0, true);
        for request in 1..100 {
            harness.submit(request, true);
            harness.step(Event::Cancel { request: RequestKey(request - 1) });
            harness.end(request - 1, FIRST, SendResult::Lost { reason });
            let sent = harness.wait(2 * RouteConfig::default().prior_run_ms);
            assert_eq!(sends(&sent), [FIRST], "{reason:?} of request {request}");
        }
    }
}

#[test]
fn the_earliest_deadline_is_served_first() {
    let mut harness = Harness::new(RouteConfig::default()).with_endpoint(FIRST, 1);
    harness.submit(0, false);
    for (request, deadline_ms) in [(1, 3_000), (2, 1_000), (3, 2_000)] {
        harness.step(Event::Submit(submission(request, deadline_ms)));
    }
    let mut order = vec![];
    let mut running = 0;
    while let [Action::Send { request, .. }] = harness.end(running, FIRST, DONE)[..] {
        running = request.0;
        order.push(running);
    }
    assert_eq!(order, [2, 3, 1]);
}

#[test]
fn a_full_queue_and_an_unreachable_deadline_reject_at_once() {
    let config = RouteConfig { max_queued: 100, ..RouteConfig::default() };
    let mut harness = Harness::new(config).with_endpoint(FIRST, 1);
    harness.submit(0, false);
    for request in 1..=100 {
        assert!(harness.step(Event::Submit(submission(request, 100_000))).is_empty());
    }
    let refused = finishes(&harness.step(Event::Submit(submission(101, 100_000))));
    assert_eq!(refused, [(101, Outcome::NotRun, Reason::QueueFull)]);
    harness.step(Event::Cancel { request: RequestKey(1) });
    let refused = harness.step(Event::Submit(submission(102, 30)));
    assert_eq!(finishes(&refused), [(102, Outcome::NotRun, Reason::DeadlineTooClose)]);
    let Action::Finish { retry_after_ms, .. } = refused[0] else { panic!("{refused:?}") };
    assert!(retry_after_ms > 0);
}

#[test]
fn a_request_expires_in_the_queue_at_its_deadline() {
    let mut harness = Harness::new(RouteConfig::default()).with_endpoint(FIRST, 1);
    harness.submit(0, false);
    harness.step(Event::Submit(submission(1, 100)));
    assert!(harness.wait(99).is_empty());
    assert_eq!(finishes(&harness.wait(1)), [(1, Outcome::NotRun, Reason::Expired)]);
}

fn peer(peer: u32, short_wait_ms: f64, free_slots: u32) -> PeerLoad {
    let load = ServiceLoad { short_wait_ms, slots: 8, free_slots, ..ServiceLoad::default() };
    let services = vec![(SERVICE, load)];
    PeerLoad { peer: PeerKey(peer), trip_ms: 1.5, is_same_zone: false, services }
}

#[test]
fn a_request_is_forwarded_at_most_once_to_a_peer_with_a_shorter_wait() {
    let mut harness = Harness::new(RouteConfig::default()).with_endpoint(FIRST, 1);
    harness.step(Event::PeerLoads(vec![peer(1, 500.0, 0), peer(2, 0.0, 1)]));
    assert_eq!(sends(&harness.submit(0, false)), [FIRST], "a free local slot is preferred");
    let forward = Action::Forward { request: RequestKey(1), peer: PeerKey(2) };
    assert_eq!(harness.submit(1, false), [forward]);
    let mut forwarded = submission(2, 5_000);
    forwarded.is_forwarded = true;
    assert!(harness.step(Event::Submit(forwarded)).is_empty(), "it is queued here");
    harness.now_ms += 10_000;
    assert!(!harness.submit(3, false).contains(&forward), "an outdated load is ignored");
}

#[test]
fn queued_requests_are_forwarded_when_the_last_endpoint_is_lost() {
    let mut harness = Harness::new(RouteConfig::default()).with_endpoint(FIRST, 1);
    harness.submit(0, false);
    harness.submit(1, false);
    harness.step(Event::PeerLoads(vec![peer(2, 0.0, 1)]));
    let moved = harness.step(Event::EndpointReleased { endpoint: FIRST });
    assert_eq!(moved, [Action::Forward { request: RequestKey(1), peer: PeerKey(2) }]);
    assert!(harness.end(0, FIRST, DONE).is_empty());
}

#[test]
fn queued_requests_are_forwarded_once_a_peer_with_endpoints_is_known() {
    let mut harness = Harness::new(RouteConfig::default());
    assert!(harness.submit(1, false).is_empty(), "no endpoint and no peer is known");
    let moved = harness.step(Event::PeerLoads(vec![peer(2, 0.0, 1)]));
    assert_eq!(moved, [Action::Forward { request: RequestKey(1), peer: PeerKey(2) }]);
}

#[test]
fn requests_of_a_service_without_endpoints_fail_after_the_wait() {
    let mut harness = Harness::new(RouteConfig::default());
    harness.submit(1, false);
    let wait_ms = RouteConfig::default().no_endpoint_wait_ms;
    assert!(harness.wait(wait_ms - 1).is_empty());
    assert_eq!(finishes(&harness.wait(1)), [(1, Outcome::NotRun, Reason::NoEndpoint)]);
    assert_eq!(finishes(&harness.submit(2, false)), [(2, Outcome::NotRun, Reason::NoEndpoint)]);
}

/// A host without endpoints that just acquired one whose busy slots are not known yet.
fn harness_after_takeover() -> Harness {
    let mut harness = Harness::new(RouteConfig::default());
    harness.submit(0, false);
    harness.wait(10 * RouteConfig::default().no_endpoint_wait_ms);
    harness.step(Event::EndpointAcquired {
        endpoint: FIRST,
        service: SERVICE,
        slots: 1,
        guard: None,
    });
    harness
}

#[test]
fn requests_wait_for_the_busy_slots_of_an_acquired_endpoint() {
    let mut harness = harness_after_takeover();
    let wait_ms = RouteConfig::default().no_endpoint_wait_ms;
    assert!(harness.submit(1, false).is_empty(), "it is rejected before the busy slots are known");
    assert!(harness.wait(wait_ms - 1).is_empty());
    let sent = harness.step(Event::BusySlots { endpoint: FIRST, busy: 0 });
    assert_eq!(sent, [Action::Send { request: RequestKey(1), endpoint: FIRST }]);
}

#[test]
fn requests_fail_after_the_wait_if_busy_slots_stay_unknown() {
    let mut harness = harness_after_takeover();
    let wait_ms = RouteConfig::default().no_endpoint_wait_ms;
    assert!(harness.submit(1, false).is_empty(), "it is rejected before the busy slots are known");
    assert_eq!(finishes(&harness.wait(wait_ms)), [(1, Outcome::NotRun, Reason::NoEndpoint)]);
    assert_eq!(finishes(&harness.submit(2, false)), [(2, Outcome::NotRun, Reason::NoEndpoint)]);
}

fn candidate(name: u32, is_leaving: bool) -> Candidate {
    Candidate { name: format!("entry-{name}"), incarnation: 1, is_leaving }
}

#[test]
fn only_the_endpoints_of_a_leaving_owner_change_owner() {
    const HOSTS: u32 = 8;
    const ENDPOINTS: usize = 2_000;
    let all: Vec<Candidate> = (0..HOSTS).map(|name| candidate(name, false)).collect();
    let mut fewer = all.clone();
    fewer[3].is_leaving = true;
    let endpoints = (0..ENDPOINTS).map(|number| format!("store-ordering/runner-{number}"));
    let mut counts = vec![0; HOSTS as usize];
    for endpoint in endpoints {
        let before = owner::select(&all, &endpoint).unwrap();
        let after = owner::select(&fewer, &endpoint).unwrap();
        assert!(!after.is_leaving);
        if before.name != "entry-3" {
            assert_eq!(before.name, after.name);
        }
        counts[all.iter().position(|host| host == before).unwrap()] += 1;
    }
    let fair = ENDPOINTS / HOSTS as usize;
    assert!(counts.iter().all(|count| (fair / 2..fair * 2).contains(count)), "{counts:?}");
}
