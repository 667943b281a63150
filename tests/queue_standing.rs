//! Which host leads a cell of unlike hosts.

use hemlockrock::queue::standing::Standing;

const SMALL: u64 = 120;
const LARGE: u64 = 500;

#[test]
fn hosts_of_one_size_do_not_wait_for_each_other() {
    let mut host = Standing::new(250);
    assert_eq!(host.note(250, 1_000), 250);
    assert_eq!(host.campaign_delay_ms(), 0);
    assert!(!host.is_far_larger(250));
    assert!(!host.is_far_larger(400), "a takeover for little gain");
}

#[test]
fn a_small_host_lets_a_far_larger_one_lead() {
    let mut small = Standing::new(SMALL);
    assert_eq!(small.note(LARGE, 1_000), LARGE);
    assert!(small.is_far_larger(LARGE));
    assert!(small.campaign_delay_ms() > 0);
    let mut large = Standing::new(LARGE);
    assert_eq!(large.note(SMALL, 1_000), LARGE);
    assert_eq!(large.campaign_delay_ms(), 0);
}

#[test]
fn a_host_that_cannot_lead_now_keeps_nobody_waiting() {
    let mut small = Standing::new(SMALL);
    small.note(0, 1_000);
    assert!(!small.is_far_larger(0));
    assert_eq!(small.campaign_delay_ms(), 0);
    assert!(!Standing::new(0).is_far_larger(0));
}

#[test]
fn the_size_of_a_host_that_is_gone_is_forgotten() {
    let mut small = Standing::new(SMALL);
    small.note(LARGE, 1_000);
    assert_eq!(small.note(SMALL, 2_000), LARGE, "it may have missed one sign of life");
    assert_eq!(small.note(SMALL, 5_000), SMALL);
    assert_eq!(small.campaign_delay_ms(), 0);
}

#[test]
fn a_host_that_has_heard_of_nobody_waits_the_longer_the_smaller_it_is() {
    let (small, large) = (Standing::new(SMALL), Standing::new(LARGE));
    assert_eq!(large.campaign_delay_ms(), 0);
    assert!(small.campaign_delay_ms() >= 150, "some answers of the store");
    assert!(Standing::new(250).campaign_delay_ms() < small.campaign_delay_ms());
}

#[test]
fn only_a_larger_host_that_was_heard_in_this_term_ends_it() {
    let mut small = Standing::new(SMALL);
    small.note(LARGE, 1_000);
    assert!(!small.hears_larger_since(1_500), "it may be gone");
    small.note(LARGE, 1_600);
    assert!(small.hears_larger_since(1_500));
    assert!(!Standing::new(LARGE).hears_larger_since(0));
}
