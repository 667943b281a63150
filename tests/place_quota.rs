//! Tests that the shares of a quota never add up to more than the quota, with concurrent updates
//! and with zones that are cut off from the store.

use std::collections::BTreeMap;

use hemlockrock::configs::quota::QuotaConfig;
use hemlockrock::declarations::TeamDeclaration;
use hemlockrock::place::spec::Resources;
use hemlockrock::quota::{QuotaRecord, TeamDemand};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ZONES: [&str; 3] = ["lat-1", "lat-2", "mid-1"];
const TOTAL: u64 = 10_000;

fn team(cpu_millis: u64) -> TeamDeclaration {
    TeamDeclaration { name: "range".into(), cpu_millis, ..TeamDeclaration::default() }
}

fn demands(used: u64, waiting: u64) -> BTreeMap<String, TeamDemand> {
    let cpu = |amount| Resources::new(amount, 0, 0);
    [("range".to_owned(), TeamDemand { used: cpu(used), waiting: cpu(waiting) })].into()
}

fn rebalanced(record: &QuotaRecord, zone: &str, used: u64, waiting: u64) -> QuotaRecord {
    record.rebalanced(zone, &demands(used, waiting), &QuotaConfig::default())
}

fn share(record: &QuotaRecord, zone: &str) -> u64 {
    record.shares(zone).teams["range"].cpu_millis
}

#[test]
fn a_zone_takes_the_whole_quota_and_returns_it() {
    let mut record = QuotaRecord::default().with_totals(&[team(TOTAL)]);
    record = rebalanced(&record, ZONES[0], 0, 50_000);
    assert_eq!(share(&record, ZONES[0]), TOTAL);
    record = rebalanced(&record, ZONES[1], 0, 4_000);
    assert_eq!(share(&record, ZONES[1]), 0, "the other zone holds the whole quota");
    record = rebalanced(&record, ZONES[0], 2_000, 0);
    record = rebalanced(&record, ZONES[1], 0, 4_000);
    assert_eq!(share(&record, ZONES[1]), 4_000);
    assert!(share(&record, ZONES[0]) >= 2_000);
}

#[test]
fn two_busy_zones_converge_to_even_shares() {
    let mut record = QuotaRecord::default().with_totals(&[team(TOTAL)]);
    let mut used = [TOTAL, 0];
    record = rebalanced(&record, ZONES[0], 0, TOTAL);
    for _ in 0..40 {
        used[0] = used[0].saturating_sub(500);
        for (zone, used) in ZONES.iter().zip(&mut used) {
            record = rebalanced(&record, zone, *used, 50_000);
            *used = (*used).max(share(&record, zone).min(*used + 500));
        }
    }
    let parts = [share(&record, ZONES[0]), share(&record, ZONES[1])];
    assert!(parts.iter().all(|part| *part >= TOTAL * 45 / 100), "{parts:?}");
}

#[test]
fn a_lowered_quota_is_reached_as_tasks_end() {
    let mut record = QuotaRecord::default().with_totals(&[team(TOTAL)]);
    record = rebalanced(&record, ZONES[0], 0, 6_000);
    record = rebalanced(&record, ZONES[1], 0, 4_000);
    record = record.with_totals(&[team(5_000)]);
    record = rebalanced(&record, ZONES[0], 6_000, 0);
    assert_eq!(share(&record, ZONES[0]), 6_000, "running tasks keep their share");
    record = rebalanced(&record, ZONES[0], 1_000, 0);
    record = rebalanced(&record, ZONES[1], 0, 0);
    assert!(record.teams["range"].granted().cpu_millis <= 5_000);
}

#[derive(Clone, Debug)]
enum Step {
    Start(usize, u64),
    End(usize, u64),
    Wait(usize, u64),
    /// A zone reads the record and rebalances it.
    Settle(usize),
    /// A zone rebalances an outdated copy of the record.
    Stale(usize),
    /// A zone is cut off from the store, or connected again.
    Cut(usize, bool),
}

fn step() -> impl Strategy<Value = Step> {
    let zone = || 0..ZONES.len();
    prop_oneof![
        (zone(), 1..3_000_u64).prop_map(|(zone, size)| Step::Start(zone, size)),
        (zone(), 1..3_000_u64).prop_map(|(zone, size)| Step::End(zone, size)),
        (zone(), 0..9_000_u64).prop_map(|(zone, size)| Step::Wait(zone, size)),
        zone().prop_map(Step::Settle),
        zone().prop_map(Step::Stale),
        (zone(), any::<bool>()).prop_map(|(zone, cut)| Step::Cut(zone, cut)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn use_never_exceeds_the_quota(steps in prop::collection::vec(step(), 1..200)) {
        let mut record = QuotaRecord::default().with_totals(&[team(TOTAL)]);
        let mut version = 0_u64;
        let mut copies = vec![(0_u64, record.clone()); ZONES.len()];
        let (mut used, mut waiting, mut held) = ([0_u64; 3], [0_u64; 3], [0_u64; 3]);
        let mut is_cut = [false; 3];
        for step in steps {
            match step {
                Step::Start(zone, size) if used[zone] + size <= held[zone] => used[zone] += size,
                Step::Start(..) => {}
                Step::End(zone, size) => used[zone] = used[zone].saturating_sub(size),
                Step::Wait(zone, size) => waiting[zone] = size,
                Step::Cut(zone, cut) => is_cut[zone] = cut,
                Step::Settle(zone) | Step::Stale(zone) if is_cut[zone] => {}
                Step::Settle(zone) | Step::Stale(zone) => {
                    if matches!(step, Step::Settle(_)) {
                        copies[zone] = (version, record.clone());
                    }
                    let (seen, copy) = copies[zone].clone();
                    let next = rebalanced(&copy, ZONES[zone], used[zone], waiting[zone]);
                    // A lower share takes effect before it is written.
                    held[zone] = held[zone].min(share(&next, ZONES[zone])).max(used[zone]);
                    if seen == version {
                        record = next;
                        version += 1;
                        held[zone] = share(&record, ZONES[zone]);
                    }
                }
            }
            prop_assert!(record.teams["range"].granted().cpu_millis <= TOTAL);
            prop_assert!(used.iter().sum::<u64>() <= TOTAL, "{used:?}");
        }
    }
}
