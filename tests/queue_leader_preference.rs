//! Tests of the leader preference in cells with hosts of different sizes.

use hemlockrock::queue::leader_preference::LeaderPreference;

const SMALL_MILLIS: u64 = 120;
const LARGE_MILLIS: u64 = 500;

#[test]
fn hosts_of_similar_size_do_not_delay_their_campaigns() {
    let mut host = LeaderPreference::new(250);
    assert_eq!(host.record_host(250, 1_000), 250);
    assert_eq!(host.campaign_delay_ms(), 0);
    assert!(!host.is_far_larger(250));
    assert!(!host.is_far_larger(400), "the gain does not justify a takeover");
}

#[test]
fn a_small_host_delays_its_campaign_for_a_far_larger_one() {
    let mut small = LeaderPreference::new(SMALL_MILLIS);
    assert_eq!(small.record_host(LARGE_MILLIS, 1_000), LARGE_MILLIS);
    assert!(small.is_far_larger(LARGE_MILLIS));
    assert!(small.campaign_delay_ms() > 0);
    let mut large = LeaderPreference::new(LARGE_MILLIS);
    assert_eq!(large.record_host(SMALL_MILLIS, 1_000), LARGE_MILLIS);
    assert_eq!(large.campaign_delay_ms(), 0);
}

#[test]
fn a_host_without_capacity_to_lead_delays_no_campaign() {
    let mut small = LeaderPreference::new(SMALL_MILLIS);
    small.record_host(0, 1_000);
    assert!(!small.is_far_larger(0));
    assert_eq!(small.campaign_delay_ms(), 0);
    assert!(!LeaderPreference::new(0).is_far_larger(0));
}

#[test]
fn the_size_of_a_missing_host_expires() {
    let mut small = LeaderPreference::new(SMALL_MILLIS);
    small.record_host(LARGE_MILLIS, 1_000);
    assert_eq!(
        small.record_host(SMALL_MILLIS, 2_000),
        LARGE_MILLIS,
        "one heartbeat may have been lost"
    );
    assert_eq!(small.record_host(SMALL_MILLIS, 5_000), SMALL_MILLIS);
    assert_eq!(small.campaign_delay_ms(), 0);
}

#[test]
fn a_host_that_knows_no_other_delays_the_longer_the_smaller_it_is() {
    let (small, large) = (LeaderPreference::new(SMALL_MILLIS), LeaderPreference::new(LARGE_MILLIS));
    assert_eq!(large.campaign_delay_ms(), 0);
    assert!(small.campaign_delay_ms() >= 150, "enough for several round trips to the store");
    assert!(LeaderPreference::new(250).campaign_delay_ms() < small.campaign_delay_ms());
}

#[test]
fn only_a_larger_host_that_was_recorded_during_the_term_counts() {
    let mut small = LeaderPreference::new(SMALL_MILLIS);
    small.record_host(LARGE_MILLIS, 1_000);
    assert!(!small.has_seen_larger_since(1_500), "the larger host may be gone");
    small.record_host(LARGE_MILLIS, 1_600);
    assert!(small.has_seen_larger_since(1_500));
    assert!(!LeaderPreference::new(LARGE_MILLIS).has_seen_larger_since(0));
}
