//! Cost of a request in the dispatcher, by number of endpoints and of queued requests.
#![allow(clippy::print_stdout, reason = "a benchmark prints its figures")]

use std::hint::black_box;
use std::time::Instant;

use hemlockrock::configs::route::RouteConfig;
use hemlockrock::route::{
    Action, CallerKey, Dispatcher, EndpointKey, Event, KindKey, RequestKey, SendResult, ServiceKey,
    Submission,
};

const SERVICE: ServiceKey = ServiceKey(1);
const SLOTS: u32 = 8;
const ROUNDS: u64 = 300_000;
const CALLERS: u64 = 300;
const KINDS: u64 = 8;
const DEADLINE_MS: u64 = 30_000;

struct Bench {
    dispatcher: Dispatcher,
    running: std::collections::VecDeque<(RequestKey, EndpointKey)>,
    out: Vec<Action>,
    next_request: u64,
    now_ms: u64,
}

impl Bench {
    fn new(endpoints: u32) -> Self {
        let config = RouteConfig { max_queued: 20_000, ..RouteConfig::default() };
        let mut bench = Self {
            dispatcher: Dispatcher::new(config, 3),
            running: std::collections::VecDeque::new(),
            out: Vec::new(),
            next_request: 0,
            now_ms: 0,
        };
        for endpoint in (0..endpoints).map(EndpointKey) {
            bench.step(Event::EndpointAcquired {
                endpoint,
                service: SERVICE,
                slots: SLOTS,
                guard: None,
            });
            bench.step(Event::BusySlots { endpoint, busy: 0 });
        }
        bench
    }

    fn step(&mut self, event: Event) {
        self.dispatcher.step(event, self.now_ms, &mut self.out);
        for action in self.out.drain(..) {
            if let Action::Send { request, endpoint } = action {
                self.running.push_back((request, endpoint));
            }
        }
    }

    fn submit(&mut self) {
        let request = RequestKey(self.next_request);
        self.next_request += 1;
        let submission = Submission {
            request,
            service: SERVICE,
            kind: KindKey((request.0 % KINDS) as u32),
            caller: CallerKey((request.0 % CALLERS) as u32),
            is_idempotent: false,
            is_forwarded: false,
            deadline_ms: self.now_ms + DEADLINE_MS,
        };
        self.step(Event::Submit(submission));
    }

    fn end_oldest(&mut self) {
        if let Some((request, endpoint)) = self.running.pop_front() {
            let result = SendResult::Done { ran_ms: 5 };
            self.step(Event::SendEnded { request, endpoint, result });
        }
    }
}

/// Mean time to submit, send and end one request, in nanoseconds.
fn request_ns(endpoints: u32, queued: u32) -> f64 {
    const REQUESTS_PER_MS: u64 = 20;
    let mut bench = Bench::new(endpoints);
    for _ in 0..endpoints * SLOTS + queued {
        bench.submit();
    }
    let started = Instant::now();
    for round in 0..ROUNDS {
        bench.now_ms += u64::from(round % REQUESTS_PER_MS == 0);
        bench.end_oldest();
        bench.submit();
    }
    black_box(&bench.running);
    started.elapsed().as_nanos() as f64 / ROUNDS as f64
}

/// Mean time to cancel one of `queued` requests, in nanoseconds.
fn cancel_ns(queued: u64) -> f64 {
    let mut bench = Bench::new(50);
    let first = u64::from(50 * SLOTS);
    for _ in 0..first + queued {
        bench.submit();
    }
    let started = Instant::now();
    for request in first..first + queued {
        bench.step(Event::Cancel { request: RequestKey(request) });
    }
    started.elapsed().as_nanos() as f64 / queued as f64
}

fn main() {
    for endpoints in [50, 200, 500] {
        for queued in [0, 1_000, 10_000] {
            let ns = request_ns(endpoints, queued);
            println!("{endpoints:4} endpoints, {queued:6} queued: {ns:6.0} ns a request");
        }
    }
    for queued in [1_000, 10_000] {
        println!("cancel of {queued:6} queued: {:6.0} ns each", cancel_ns(queued));
    }
}
