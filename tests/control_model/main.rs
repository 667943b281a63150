//! Stateful tests of the control of the cell: operators, watchers and holders over a faulty store.
//!
//! The operators and holders are the library's own code, whose store calls
//! interleave as the steps say. The oracle is the sequence of root records
//! that the store itself went through.

#![allow(clippy::unwrap_used, reason = "a test stops at what is missing")]

#[path = "../control_support/mod.rs"]
mod control_support;
mod holder;
mod world;

use hemlockrock::audit::{self, trail};
use hemlockrock::declarations::parts;
use hemlockrock::store::{self, Answer, Operation};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use world::{Step, World, HOLDERS, LEASE_MS, OPERATORS, WATCHERS};

fn step() -> impl Strategy<Value = Step> {
    let operate = (0..OPERATORS, 0..4_u64, any::<bool>(), prop::bool::weighted(0.8), 1..30_usize);
    let operate = operate.prop_map(|(operator, variant, expects, patient, turns)| Step::Operate {
        operator,
        variant,
        expects,
        patient,
        turns,
    });
    let faults = (any::<u64>(), 0.0..0.6, 0.0..0.3, 0.0..0.5, prop::bool::weighted(0.1), 0..4_u64);
    let faults = faults.prop_map(|(seed, lose, overload, stale, down, late_every)| Step::Faults {
        seed,
        lose,
        overload,
        stale,
        down,
        late_every,
    });
    prop_oneof![
        12 => operate,
        2 => (0..WATCHERS).prop_map(|watcher| Step::List { watcher }),
        3 => (0..WATCHERS).prop_map(|watcher| Step::Watch { watcher }),
        3 => (0..WATCHERS).prop_map(|watcher| Step::Take { watcher }),
        1 => (0..WATCHERS).prop_map(|watcher| Step::Restart { watcher }),
        6 => (0..HOLDERS, 1..4_usize).prop_map(|(holder, turns)| Step::Acquire { holder, turns }),
        2 => faults,
        2 => Just(Step::Heal),
        2 => Just(Step::ApplyLate),
        1 => Just(Step::Compact),
        1 => (1..2 * LEASE_MS).prop_map(|elapsed_ms| Step::Advance { elapsed_ms }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 250,
        rng_seed: RngSeed::Fixed(601),
        max_shrink_iters: 4_000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn accepted_changes_hold_and_the_trail_is_whole(
        earlier_changes in prop_oneof![Just(0_u64), Just(30), Just(46)],
        steps in prop::collection::vec(step(), 1..150),
    ) {
        let mut world = World::new(earlier_changes);
        for step in steps {
            world.run(step);
        }
        world.settle();
    }
}

#[test]
fn segments_stay_bounded_over_many_changes() {
    const CHANGES: u64 = 1_200;
    let mut world = World::new(CHANGES);
    world.settle();
    assert_eq!(world.roots.len() as u64, CHANGES);
    let prefix = trail::SEGMENTS.to_owned();
    let Answer::Entries { entries, .. } = world.store.direct(Operation::List { prefix }) else {
        panic!("a list");
    };
    assert_eq!(entries.len(), 3, "outgrown segments were not collected");
    assert!(entries.iter().all(|entry| entry.value.len() < store::api::VALUE_LIMIT_BYTES));
    let prefix = parts::PARTS.to_owned();
    let Answer::Entries { entries, .. } = world.store.direct(Operation::List { prefix }) else {
        panic!("a list");
    };
    let kept = audit::RECENT_LIMIT * 2 + 2;
    assert!(entries.len() <= kept, "{} parts are left", entries.len());
}
