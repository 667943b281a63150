//! Single rules of the dispatcher, event by event.

use hemlockrock::configs::route::RouteConfig;
use hemlockrock::outcome::{Outcome, Reason};
use hemlockrock::route::owner::{self, Candidate};
use hemlockrock::route::{
    Action, CallerKey, Dispatcher, EndpointKey, EndpointSignal, Event, KindKey, PeerKey, PeerLoad,
    RequestKey, SendResult, ServiceKey, ServiceLoad, Submission, TakeoverGuard,
};

const SERVICE: ServiceKey = ServiceKey(1);
const FIRST: EndpointKey = EndpointKey(1);

/// A dispatcher with its clock.
struct Bench {
    dispatcher: Dispatcher,
    now_ms: u64,
}

impl Bench {
    fn new(config: RouteConfig) -> Self {
        Self { dispatcher: Dispatcher::new(config, 5), now_ms: 0 }
    }

    fn with_endpoint(mut self, endpoint: EndpointKey, slots: u32) -> Self {
        self.step(Event::Own { endpoint, service: SERVICE, slots, guard: None });
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
fn nothing_is_sent_before_busy_slots_are_learned() {
    let mut bench = Bench::new(RouteConfig::default());
    bench.step(Event::Own { endpoint: FIRST, service: SERVICE, slots: 8, guard: None });
    assert!(bench.submit(1, false).is_empty());
    let sent = bench.step(Event::BusySlots { endpoint: FIRST, busy: 7 });
    assert_eq!(sends(&sent), [FIRST]);
    assert!(bench.submit(2, false).is_empty(), "seven slots are others'");
    assert_eq!(sends(&bench.step(Event::BusySlots { endpoint: FIRST, busy: 6 })), [FIRST]);
}

#[test]
fn guarded_slots_are_held_back_until_the_guard_ends() {
    let mut bench = Bench::new(RouteConfig::default());
    let guard = Some(TakeoverGuard { slots: 3, until_ms: 50 });
    bench.step(Event::Own { endpoint: FIRST, service: SERVICE, slots: 4, guard });
    bench.step(Event::BusySlots { endpoint: FIRST, busy: 0 });
    assert_eq!(sends(&bench.submit(1, false)).len(), 1);
    assert!(bench.submit(2, false).is_empty());
    assert!(bench.wait(49).is_empty());
    assert_eq!(sends(&bench.wait(1)).len(), 1);
}

#[test]
fn a_leaving_endpoint_gets_nothing_new_and_keeps_what_runs() {
    let mut bench = Bench::new(RouteConfig::default()).with_endpoint(FIRST, 2);
    bench.submit(1, false);
    bench.signal(FIRST, EndpointSignal::Leaving);
    assert!(sends(&bench.submit(2, false)).is_empty());
    assert!(sends(&bench.end(1, FIRST, DONE)).is_empty());
    assert_eq!(
        bench.signal(FIRST, EndpointSignal::NotLeaving),
        [Action::Probe { endpoint: FIRST }]
    );
    assert_eq!(sends(&bench.signal(FIRST, EndpointSignal::ProbeSucceeded)), [FIRST]);
}

#[test]
fn a_lost_request_is_unknown_unless_it_is_idempotent() {
    let mut bench = Bench::new(RouteConfig::default()).with_endpoint(FIRST, 2);
    bench.submit(1, false);
    bench.submit(2, true);
    let lost = finishes(&bench.end(1, FIRST, LOST));
    assert_eq!(lost, [(1, Outcome::Unknown, Reason::ConnectionLost)]);
    assert!(bench.end(2, FIRST, LOST).is_empty());
    assert_eq!(sends(&bench.wait(200)), [FIRST], "sent again after a backoff");
    bench.end(2, FIRST, SendResult::Declined);
    bench.wait(200);
    let end = finishes(&bench.end(2, FIRST, SendResult::Declined));
    assert_eq!(end, [(2, Outcome::Unknown, Reason::ConnectionLost)], "the first try may have run");
}

#[test]
fn the_slot_of_a_lost_request_is_held_for_its_run_time() {
    let mut bench = Bench::new(RouteConfig::default()).with_endpoint(FIRST, 1);
    bench.submit(1, false);
    bench.submit(2, false);
    assert!(sends(&bench.end(1, FIRST, LOST)).is_empty());
    let prior_ms = RouteConfig::default().prior_run_ms;
    assert!(sends(&bench.wait(prior_ms)).is_empty());
    assert_eq!(sends(&bench.wait(prior_ms)), [FIRST]);
    bench.submit(3, false);
    bench.wait(10 * prior_ms);
    assert!(sends(&bench.end(2, FIRST, LOST)).is_empty(), "it may have begun late");
    assert!(sends(&bench.wait(prior_ms - 1)).is_empty());
    assert_eq!(sends(&bench.wait(1)), [FIRST]);
}

#[test]
fn retries_stay_within_their_budget() {
    let config = RouteConfig { retry_burst: 3, max_tries: 100, ..RouteConfig::default() };
    let mut bench = Bench::new(config).with_endpoint(FIRST, 8);
    let mut tries = 0;
    let mut actions = bench.submit(1, false);
    while !sends(&actions).is_empty() {
        tries += 1;
        actions = bench.end(1, FIRST, SendResult::Declined);
        actions.extend(bench.wait(1_000));
    }
    assert_eq!(tries, 4);
    assert_eq!(finishes(&actions), [(1, Outcome::NotRun, Reason::NoRetryLeft)]);
}

#[test]
fn a_wave_of_cancellations_frees_every_place() {
    const WAVE: u64 = 5_000;
    let mut bench = Bench::new(RouteConfig::default()).with_endpoint(FIRST, 2);
    let cancel = |request| Event::Cancel { request: RequestKey(request) };
    for request in 0..WAVE {
        let mut submission = submission(request, 1_000_000);
        submission.is_idempotent = request == 0;
        bench.step(Event::Submit(submission));
    }
    assert_eq!(bench.step(cancel(0)), [Action::Abort { request: RequestKey(0), endpoint: FIRST }]);
    for request in 1..WAVE {
        let ended = finishes(&bench.step(cancel(request)));
        let expected = (request, Outcome::NotRun, Reason::Cancelled);
        assert_eq!(ended, if request == 1 { vec![] } else { vec![expected] });
    }
    assert!(sends(&bench.submit(WAVE, false)).is_empty(), "both slots still run");
    assert_eq!(sends(&bench.end(0, FIRST, DONE)), [FIRST], "nothing stands before it");
    bench.end(1, FIRST, DONE);
    bench.end(WAVE, FIRST, DONE);
    let load = bench.dispatcher.load().services[0].1;
    assert_eq!((load.free_slots, load.queued), (2, 0));
}

#[test]
fn a_cancelled_request_is_not_tried_again() {
    let mut bench = Bench::new(RouteConfig::default()).with_endpoint(FIRST, 2);
    bench.submit(1, true);
    bench.step(Event::Cancel { request: RequestKey(1) });
    let end = finishes(&bench.end(1, FIRST, SendResult::NotSent));
    assert_eq!(end, [(1, Outcome::NotRun, Reason::Cancelled)]);
}

#[test]
fn requests_broken_off_here_say_nothing_about_their_endpoint() {
    for reason in [Reason::Cancelled, Reason::TimedOut] {
        let mut bench = Bench::new(RouteConfig::default()).with_endpoint(FIRST, 1);
        bench.submit(0, true);
        for request in 1..100 {
            bench.submit(request, true);
            bench.step(Event::Cancel { request: RequestKey(request - 1) });
            bench.end(request - 1, FIRST, SendResult::Lost { reason });
            let sent = bench.wait(2 * RouteConfig::default().prior_run_ms);
            assert_eq!(sends(&sent), [FIRST], "{reason:?} of request {request}");
        }
    }
}

#[test]
fn the_earliest_deadline_goes_first() {
    let mut bench = Bench::new(RouteConfig::default()).with_endpoint(FIRST, 1);
    bench.submit(0, false);
    for (request, deadline_ms) in [(1, 3_000), (2, 1_000), (3, 2_000)] {
        bench.step(Event::Submit(submission(request, deadline_ms)));
    }
    let mut order = vec![];
    let mut running = 0;
    while let [Action::Send { request, .. }] = bench.end(running, FIRST, DONE)[..] {
        running = request.0;
        order.push(running);
    }
    assert_eq!(order, [2, 3, 1]);
}

#[test]
fn a_full_queue_and_a_deadline_out_of_reach_are_refused_at_once() {
    let config = RouteConfig { max_queued: 100, ..RouteConfig::default() };
    let mut bench = Bench::new(config).with_endpoint(FIRST, 1);
    bench.submit(0, false);
    for request in 1..=100 {
        assert!(bench.step(Event::Submit(submission(request, 100_000))).is_empty());
    }
    let refused = finishes(&bench.step(Event::Submit(submission(101, 100_000))));
    assert_eq!(refused, [(101, Outcome::NotRun, Reason::QueueFull)]);
    bench.step(Event::Cancel { request: RequestKey(1) });
    let refused = bench.step(Event::Submit(submission(102, 30)));
    assert_eq!(finishes(&refused), [(102, Outcome::NotRun, Reason::DeadlineTooClose)]);
    let Action::Finish { retry_after_ms, .. } = refused[0] else { panic!("{refused:?}") };
    assert!(retry_after_ms > 0);
}

#[test]
fn a_request_expires_in_the_queue_at_its_deadline() {
    let mut bench = Bench::new(RouteConfig::default()).with_endpoint(FIRST, 1);
    bench.submit(0, false);
    bench.step(Event::Submit(submission(1, 100)));
    assert!(bench.wait(99).is_empty());
    assert_eq!(finishes(&bench.wait(1)), [(1, Outcome::NotRun, Reason::Expired)]);
}

fn peer(peer: u32, short_wait_ms: f64, free_slots: u32) -> PeerLoad {
    let load = ServiceLoad { short_wait_ms, slots: 8, free_slots, ..ServiceLoad::default() };
    let services = vec![(SERVICE, load)];
    PeerLoad { peer: PeerKey(peer), trip_ms: 1.5, is_same_zone: false, services }
}

#[test]
fn a_request_is_forwarded_once_to_a_peer_that_is_better_by_the_trip() {
    let mut bench = Bench::new(RouteConfig::default()).with_endpoint(FIRST, 1);
    bench.step(Event::PeerLoads(vec![peer(1, 500.0, 0), peer(2, 0.0, 1)]));
    assert_eq!(sends(&bench.submit(0, false)), [FIRST], "a free slot here comes first");
    let forward = Action::Forward { request: RequestKey(1), peer: PeerKey(2) };
    assert_eq!(bench.submit(1, false), [forward]);
    let mut forwarded = submission(2, 5_000);
    forwarded.is_forwarded = true;
    assert!(bench.step(Event::Submit(forwarded)).is_empty(), "it waits here");
    bench.now_ms += 10_000;
    assert!(!bench.submit(3, false).contains(&forward), "an old load is not believed");
}

#[test]
fn the_queue_moves_to_a_peer_when_the_last_endpoint_goes() {
    let mut bench = Bench::new(RouteConfig::default()).with_endpoint(FIRST, 1);
    bench.submit(0, false);
    bench.submit(1, false);
    bench.step(Event::PeerLoads(vec![peer(2, 0.0, 1)]));
    let moved = bench.step(Event::Disown { endpoint: FIRST });
    assert_eq!(moved, [Action::Forward { request: RequestKey(1), peer: PeerKey(2) }]);
    assert!(bench.end(0, FIRST, DONE).is_empty());
}

#[test]
fn a_service_without_endpoints_is_not_run_after_a_short_wait() {
    let mut bench = Bench::new(RouteConfig::default());
    bench.submit(1, false);
    let wait_ms = RouteConfig::default().no_endpoint_wait_ms;
    assert!(bench.wait(wait_ms - 1).is_empty());
    assert_eq!(finishes(&bench.wait(1)), [(1, Outcome::NotRun, Reason::NoEndpoint)]);
    assert_eq!(finishes(&bench.submit(2, false)), [(2, Outcome::NotRun, Reason::NoEndpoint)]);
}

/// A host that had no endpoint for long and has just taken one over, unread.
fn taken_over() -> Bench {
    let mut bench = Bench::new(RouteConfig::default());
    bench.submit(0, false);
    bench.wait(10 * RouteConfig::default().no_endpoint_wait_ms);
    bench.step(Event::Own { endpoint: FIRST, service: SERVICE, slots: 1, guard: None });
    bench
}

#[test]
fn requests_wait_for_the_first_reading_of_an_endpoint_that_was_taken_over() {
    let mut bench = taken_over();
    let wait_ms = RouteConfig::default().no_endpoint_wait_ms;
    assert!(bench.submit(1, false).is_empty(), "it is refused before the reading");
    assert!(bench.wait(wait_ms - 1).is_empty());
    let sent = bench.step(Event::BusySlots { endpoint: FIRST, busy: 0 });
    assert_eq!(sent, [Action::Send { request: RequestKey(1), endpoint: FIRST }]);
}

#[test]
fn an_endpoint_that_is_never_read_holds_nobody_longer_than_the_short_wait() {
    let mut bench = taken_over();
    let wait_ms = RouteConfig::default().no_endpoint_wait_ms;
    assert!(bench.submit(1, false).is_empty(), "it is refused before the reading");
    assert_eq!(finishes(&bench.wait(wait_ms)), [(1, Outcome::NotRun, Reason::NoEndpoint)]);
    assert_eq!(finishes(&bench.submit(2, false)), [(2, Outcome::NotRun, Reason::NoEndpoint)]);
}

fn candidate(name: u32, is_leaving: bool) -> Candidate {
    Candidate { name: format!("entry-{name}"), incarnation: 1, is_leaving }
}

#[test]
fn only_the_endpoints_of_a_leaving_owner_move() {
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
