//! Requests through real entry processes; the endpoints' own records are the oracle.

#[path = "requests/cell.rs"]
mod cell;
mod support;

use cell::{Ask, Cell, CellPlan};

#[test]
fn a_request_is_served_with_its_own_whole_answer() {
    let cell = Cell::start(CellPlan::default());
    let answer = cell.ask(0, &Ask::new("top-up-1").with_body("12 crates of milk"));
    assert_eq!(answer.outcome(), "done", "{answer:?}");
    assert!(answer.is_answer_to("12 crates of milk"), "{answer:?}");
    assert_eq!(cell.runs_of("top-up-1"), 1);
}

#[test]
fn a_killed_endpoint_leaves_its_request_unknown_and_run_once() {
    let cell = Cell::start(CellPlan { runners: 2, ..CellPlan::default() });
    for runner in &cell.runners {
        runner.set_mode(hemlockrock::standin::runner::Mode::Reset);
    }
    let answer = cell.ask(0, &Ask::new("score-1"));
    assert_eq!((answer.status, answer.outcome()), (504, "unknown"), "{answer:?}");
    assert_eq!(cell.runs_of("score-1"), 1);
}

#[test]
fn a_short_answer_is_not_passed_as_whole() {
    let cell = Cell::start(CellPlan::default());
    for runner in &cell.runners {
        runner.set_mode(hemlockrock::standin::runner::Mode::Short);
    }
    let answer = cell.ask(0, &Ask::new("short-1"));
    assert_eq!((answer.status, answer.outcome()), (504, "unknown"), "{answer:?}");
}

#[test]
fn malformed_requests_are_refused_with_all_findings() {
    let cell = Cell::start(CellPlan::default());
    let wrong = Ask::new("x")
        .with_header("Hemlock-Idempotent", "perhaps")
        .with_header("Hemlock-Deadline-Ms", "-3");
    let answer = cell.ask(0, &wrong);
    assert_eq!((answer.status, answer.outcome()), (400, "not_run"), "{answer:?}");
    assert_eq!(answer.findings(), ["Hemlock-Idempotent", "Hemlock-Deadline-Ms"], "{answer:?}");
    let answer = cell.ask(0, &Ask::without_key());
    assert_eq!((answer.status, answer.findings()), (400, vec!["Idempotency-Key".to_owned()]));
    let answer = cell.ask(0, &Ask::new("x").with_service("no-such"));
    assert_eq!(answer.status, 404, "{answer:?}");
    assert_eq!(cell.total_runs(), 0);
}

#[test]
fn two_entries_share_the_endpoints_without_going_over() {
    let cell =
        Cell::start(CellPlan { entries: vec!["z1", "z1"], runners: 3, ..CellPlan::default() });
    let asks: Vec<(usize, Ask)> = (0..60)
        .map(|n| (n % 2, Ask::new(format!("k{n}")).with_run_ms(30).with_body(format!("b{n}"))))
        .collect();
    let answers = cell.ask_all(&asks);
    for (index, answer) in answers.iter().enumerate() {
        assert_eq!(answer.outcome(), "done", "{answer:?}");
        assert!(answer.is_answer_to(&format!("b{index}")), "{answer:?}");
    }
    cell.check_limits();
    assert_eq!(cell.total_runs(), 60);
}
