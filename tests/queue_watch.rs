//! How often the records of thousands of runners are looked at.

use hemlockrock::queue::watch::Update;
use hemlockrock::store::api::Change;
use hemlockrock::store::Revision;

/// Runners of the largest sweep, each of which writes once in this time.
const RUNNERS: usize = 3_000;
const HEARTBEAT_MS: u64 = 1_500;

/// Changes that one answer of the store holds at most.
const ANSWER: usize = 500;

/// Time of one look, in milliseconds.
const LOOK_MS: u64 = 20;

/// A leaving runner may get nothing new after this time, in milliseconds.
const DRAIN_MS: u64 = 2_000;

fn changes(count: usize) -> Update {
    let change = |number: u64| Change {
        key: format!("servers/i-{number}"),
        revision: Revision(number),
        entry: None,
    };
    Update::Changes((0..count as u64).map(change).collect())
}

#[test]
fn records_of_three_thousand_runners_are_read_as_fast_as_they_are_written() {
    let (mut waiting, mut worst) = (0.0_f64, 0.0_f64);
    #[allow(clippy::cast_precision_loss, reason = "a rate")]
    let per_ms = RUNNERS as f64 / HEARTBEAT_MS as f64;
    for _ in 0..1_000 {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a count")]
        let read = (waiting as usize).min(ANSWER);
        #[allow(clippy::cast_precision_loss, reason = "a time")]
        let took_ms = (LOOK_MS + changes(read).pause_ms(600)) as f64;
        #[allow(clippy::cast_precision_loss, reason = "a count")]
        let left = waiting - read as f64;
        waiting = left + took_ms * per_ms;
        worst = worst.max(waiting / per_ms);
    }
    #[allow(clippy::cast_precision_loss, reason = "a time")]
    let limit_ms = DRAIN_MS as f64;
    assert!(worst < limit_ms, "a change is read {worst} ms late");
}

#[test]
fn a_few_runners_are_looked_at_with_a_pause() {
    assert_eq!(changes(48).pause_ms(600), 600);
}
