//! Requests through real entry processes. The expected results come from the records of the
//! endpoints.

#![allow(clippy::disallowed_methods, reason = "tests block their own thread")]

#[path = "requests/cell.rs"]
mod cell;
mod support;

use std::time::Duration;

use cell::{Cell, CellPlan, TestRequest};
use hemlockrock::standin::hosts::{Host, HostState, HostsChange, HostsStandin};
use hemlockrock::standin::runner::Mode;
use hemlockrock::standin::store::faults::Faults;
use support::eventually;

const SOON: Duration = Duration::from_secs(20);

#[test]
fn a_request_is_served_with_its_own_whole_answer() {
    let cell = Cell::start(CellPlan::default());
    let answer = cell.send(0, &TestRequest::new("top-up-1").with_body("12 crates of milk"));
    assert_eq!(answer.outcome(), "done", "{answer:?}");
    assert!(answer.is_answer_to("12 crates of milk"), "{answer:?}");
    assert_eq!(cell.runs_of("top-up-1"), 1);
}

#[test]
fn a_request_whose_endpoint_resets_is_unknown_and_runs_once() {
    let cell = Cell::start(CellPlan { runners: 2, ..CellPlan::default() });
    for runner in &cell.runners {
        runner.set_mode(Mode::Reset);
    }
    let answer = cell.send(0, &TestRequest::new("score-1"));
    assert_eq!((answer.status, answer.outcome()), (504, "unknown"), "{answer:?}");
    assert_eq!(cell.runs_of("score-1"), 1);
}

#[test]
fn a_truncated_answer_is_not_passed_on_as_whole() {
    let cell = Cell::start(CellPlan::default());
    for runner in &cell.runners {
        runner.set_mode(Mode::Short);
    }
    let answer = cell.send(0, &TestRequest::new("short-1"));
    assert_eq!((answer.status, answer.outcome()), (504, "unknown"), "{answer:?}");
}

#[test]
fn malformed_requests_are_refused_with_all_findings() {
    let cell = Cell::start(CellPlan::default());
    let wrong = TestRequest::new("x")
        .with_header("Hemlock-Idempotent", "perhaps")
        .with_header("Hemlock-Deadline-Ms", "-3");
    let answer = cell.send(0, &wrong);
    assert_eq!((answer.status, answer.outcome()), (400, "not_run"), "{answer:?}");
    assert_eq!(answer.findings(), ["Hemlock-Idempotent", "Hemlock-Deadline-Ms"], "{answer:?}");
    let answer = cell.send(0, &TestRequest::without_key());
    assert_eq!((answer.status, answer.findings()), (400, vec!["Idempotency-Key".to_owned()]));
    let answer = cell.send(0, &TestRequest::new("x").with_service("no-such"));
    assert_eq!(answer.status, 404, "{answer:?}");
    assert_eq!(cell.total_runs(), 0);
}

#[test]
fn two_entry_hosts_share_the_endpoints_within_their_slots() {
    let cell =
        Cell::start(CellPlan { entries: vec!["z1", "z1"], runners: 3, ..CellPlan::default() });
    let requests: Vec<(usize, TestRequest)> = (0..60)
        .map(|n| {
            (n % 2, TestRequest::new(format!("k{n}")).with_run_ms(30).with_body(format!("b{n}")))
        })
        .collect();
    let answers = cell.send_all(&requests);
    for (index, answer) in answers.iter().enumerate() {
        assert_eq!(answer.outcome(), "done", "{answer:?}");
        assert!(answer.is_answer_to(&format!("b{index}")), "{answer:?}");
    }
    cell.check_limits();
    assert_eq!(cell.total_runs(), 60);
}

#[test]
fn one_key_through_two_entries_and_zones_runs_once_with_one_answer() {
    let cell = Cell::start(CellPlan { entries: vec!["z1", "z1", "z2"], ..CellPlan::default() });
    for round in 0..10 {
        let request = TestRequest::new(format!("same-{round}")).with_run_ms(60).with_body("order");
        let requests: Vec<(usize, TestRequest)> =
            (0..9).map(|n| (n % 3, request.clone())).collect();
        let answers = cell.send_all(&requests);
        for answer in &answers {
            assert_eq!(answer.outcome(), "done", "{answer:?}");
            assert_eq!(answer.body(), answers[0].body());
        }
        let later = cell.send(round % 3, &request);
        assert_eq!((later.outcome(), later.body()), ("done", answers[0].body()), "{later:?}");
        assert_eq!(cell.runs_of(&format!("same-{round}")), 1);
    }
    let other = cell.send(1, &TestRequest::new("same-0").with_body("another order"));
    assert_eq!((other.status, other.outcome()), (409, "not_run"), "{other:?}");
    cell.check_limits();
}

#[test]
fn keys_open_at_a_killed_holder_are_unknown_and_run_at_most_once() {
    let mut cell = Cell::start(CellPlan { entries: vec!["z1", "z1"], ..CellPlan::default() });
    let holder = cell.holder();
    let other = 1 - holder;
    let request = TestRequest::new("in-flight").with_run_ms(800);
    let through_holder = cell.send_in_background(holder, request.clone());
    eventually("the request runs", SOON, || cell.runs_of("in-flight") == 1);
    cell.entries[holder].kill();
    let _ = async_std::task::block_on(through_holder);
    let again = cell.send(other, &request);
    assert_eq!((again.status, again.outcome()), (504, "unknown"), "{again:?}");
    let fresh = cell.send(other, &TestRequest::new("fresh"));
    assert_eq!(fresh.outcome(), "done", "{fresh:?}");
    assert_eq!(cell.runs_of("in-flight"), 1);
}

#[test]
fn an_entry_host_resumed_after_its_session_ended_does_not_exceed_the_slots() {
    let plan = CellPlan { entries: vec!["z1", "z1"], runners: 3, ..CellPlan::default() };
    let cell = Cell::start(plan);
    let request = |n: usize| {
        TestRequest::idempotent()
            .with_run_ms(150)
            .with_body(format!("b{n}"))
            .with_deadline_ms(20_000)
    };
    let before: Vec<_> = (0..60).map(|n| cell.send_in_background(n % 2, request(n))).collect();
    std::thread::sleep(Duration::from_millis(100));
    cell.entries[0].pause();
    eventually("the other host owns all endpoints", SOON, || cell.owned_by(1) == 3);
    let during: Vec<_> = (0..80).map(|n| cell.send_in_background(1, request(n))).collect();
    std::thread::sleep(Duration::from_millis(300));
    cell.entries[0].resume();
    let answers: Vec<_> = async_std::task::block_on(async {
        let mut answers = Vec::new();
        for task in before.into_iter().chain(during) {
            answers.push(task.await);
        }
        answers
    });
    let done = answers.iter().filter(|answer| answer.outcome() == "done").count();
    let refused = answers.iter().find(|answer| answer.outcome() != "done");
    assert!(done >= 80, "{done} of {}; the first that is not: {refused:?}", answers.len());
    cell.check_limits();
}

#[test]
fn a_silent_endpoint_does_not_delay_others_and_its_requests_are_unknown() {
    let cell = Cell::start(CellPlan { runners: 3, ..CellPlan::default() });
    cell.runners[0].set_mode(Mode::Silent);
    let requests: Vec<(usize, TestRequest)> = (0..60)
        .map(|n| (0, TestRequest::new(format!("s{n}")).with_run_ms(10).with_deadline_ms(8_000)))
        .collect();
    let begun = std::time::Instant::now();
    let answers = cell.send_all(&requests);
    let took = begun.elapsed();
    let unanswered = usize::try_from(cell.runners[0].records().unanswered).unwrap();
    let unknown = answers.iter().filter(|answer| answer.outcome() == "unknown").count();
    let done = answers.iter().filter(|answer| answer.outcome() == "done").count();
    assert_eq!((unknown, done), (unanswered, 60 - unanswered), "{answers:?}");
    assert!(took < Duration::from_secs(3), "took {took:?}");
}

#[test]
fn a_leaving_endpoint_gets_no_requests_after_two_seconds() {
    let cell = Cell::start(CellPlan { entries: vec!["z1", "z1"], ..CellPlan::default() });
    let leaving = &cell.runners[0];
    leaving.set_mode(Mode::Leaving);
    let begun = std::time::Instant::now();
    let mut number = 0;
    while begun.elapsed() < Duration::from_secs(4) {
        let requests: Vec<(usize, TestRequest)> =
            (0..8).map(|n| (n % 2, TestRequest::idempotent())).collect();
        for answer in cell.send_all(&requests) {
            assert_eq!(answer.outcome(), "done", "{answer:?}");
            number += 1;
        }
    }
    let records = leaving.records();
    assert!(records.leaving_since_ms.is_some(), "the endpoint got none of {number} requests");
    assert_eq!(records.runs_after_leaving(2_000), 0);
}

#[test]
fn an_endpoint_listed_as_leaving_gets_no_requests_after_two_seconds() {
    let hosts = async_std::task::block_on(HostsStandin::start("127.0.0.1:0")).unwrap();
    let settings = format!("hosts:\n  address: {}\n", hosts.address());
    let cell = Cell::start(CellPlan { settings, ..CellPlan::default() });
    let listed = Host { name: "z1-r0".to_owned(), state: HostState::Leaving };
    hosts.change(HostsChange { lag_ms: None, hosts: vec![listed] });
    let listed_ms = hemlockrock::clock::unix_ms();
    let begun = std::time::Instant::now();
    while begun.elapsed() < Duration::from_secs(4) {
        let requests: Vec<(usize, TestRequest)> =
            (0..8).map(|_| (0, TestRequest::idempotent())).collect();
        for answer in cell.send_all(&requests) {
            assert_eq!(answer.outcome(), "done", "{answer:?}");
        }
    }
    let runs = cell.runners[0].records().runs;
    assert!(runs.iter().all(|run| run.start_ms <= listed_ms + 2_000));
}

#[test]
fn a_drain_under_load_loses_no_request_even_with_a_second_signal() {
    let plan = CellPlan { entries: vec!["z1", "z1"], runners: 3, ..CellPlan::default() };
    let mut cell = Cell::start(plan);
    let request = |n: usize| {
        TestRequest::new(format!("d{n}"))
            .with_run_ms(400)
            .with_body(format!("b{n}"))
            .with_deadline_ms(20_000)
    };
    let tasks: Vec<_> = (0..120).map(|n| cell.send_in_background(n % 2, request(n))).collect();
    std::thread::sleep(Duration::from_millis(150));
    cell.entries[0].terminate();
    std::thread::sleep(Duration::from_millis(300));
    cell.entries[0].terminate();
    for (n, task) in tasks.into_iter().enumerate() {
        let answer = async_std::task::block_on(task);
        assert_eq!(answer.outcome(), "done", "{n}: {answer:?}");
        assert!(answer.is_answer_to(&format!("b{n}")));
        assert_eq!(cell.runs_of(&format!("d{n}")), 1);
    }
    assert_eq!(cell.entries[0].wait(SOON), Some(0));
    cell.check_limits();
}

#[test]
fn without_the_store_idempotent_requests_run_and_keyed_requests_are_refused() {
    let cell = Cell::start(CellPlan { entries: vec!["z1", "z1"], ..CellPlan::default() });
    let before = cell.send(0, &TestRequest::new("before").with_body("before"));
    assert_eq!(before.outcome(), "done");
    cell.set_store_faults(Faults { down: true, ..Faults::default() });
    let begun = std::time::Instant::now();
    while begun.elapsed() < Duration::from_secs(6) {
        for entry in 0..2 {
            let answer = cell.send(entry, &TestRequest::idempotent().with_body("x"));
            assert_eq!(answer.outcome(), "done", "after {:?}: {answer:?}", begun.elapsed());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let asked = std::time::Instant::now();
    let keyed = cell.send(0, &TestRequest::new("during"));
    assert_eq!((keyed.status, keyed.outcome(), keyed.reason()), (503, "not_run", "ledger_away"));
    assert!(asked.elapsed() < Duration::from_secs(2), "{:?}", asked.elapsed());
    assert_eq!(cell.runs_of("during"), 0);
    let known = cell.send(1, &TestRequest::new("before").with_body("before"));
    assert_eq!((known.outcome(), known.body()), ("done", before.body()), "{known:?}");
}
