//! How often the leader polls the records of thousands of runners.
//!
//! With a pause of 600 ms after every poll of at most 500 changes, the leader would read about 800
//! changes a second while 3,000 runners write 2,000, and would learn too late which runners leave.

use hemlockrock::queue::watch::Update;
use hemlockrock::store::api::Change;
use hemlockrock::store::Revision;

/// Runners of the largest test site.
const RUNNERS: usize = 3_000;

/// Interval at which each runner writes its record, in milliseconds.
const HEARTBEAT_MS: u64 = 1_500;

/// Most changes in one answer of the store.
const MAX_CHANGES: usize = 500;

/// Duration of one poll, in milliseconds.
const POLL_MS: u64 = 20;

/// Time after which a leaving runner must not get new tasks, in milliseconds.
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
fn polling_keeps_up_with_the_writes_of_three_thousand_runners() {
    let (mut backlog, mut worst_delay_ms) = (0.0_f64, 0.0_f64);
    #[allow(clippy::cast_precision_loss, reason = "the numbers are small")]
    let per_ms = RUNNERS as f64 / HEARTBEAT_MS as f64;
    for _ in 0..1_000 {
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the numbers are small"
        )]
        let read = (backlog as usize).min(MAX_CHANGES);
        #[allow(clippy::cast_precision_loss, reason = "the numbers are small")]
        let took_ms = (POLL_MS + changes(read).pause_ms(600)) as f64;
        #[allow(clippy::cast_precision_loss, reason = "the numbers are small")]
        let left = backlog - read as f64;
        backlog = left + took_ms * per_ms;
        worst_delay_ms = worst_delay_ms.max(backlog / per_ms);
    }
    #[allow(clippy::cast_precision_loss, reason = "the numbers are small")]
    let limit_ms = DRAIN_MS as f64;
    assert!(worst_delay_ms < limit_ms, "a change is read {worst_delay_ms} ms late");
}

#[test]
fn polls_pause_when_there_are_few_changes() {
    assert_eq!(changes(48).pause_ms(600), 600);
}
