//! Model test of configuration and leases: operators that publish declarations, watchers that
//! apply them and lease holders, over one store with faults.
//!
//! Operators and holders run library code; the generated steps decide how
//! their store calls interleave. The results are checked against the sequence
//! of root records that the store itself held.

#![allow(clippy::unwrap_used, reason = "tests panic on unexpected values")]

#[path = "../control_support/mod.rs"]
mod control_support;
mod holder;
mod simulation;

use hemlockrock::audit::{self, trail};
use hemlockrock::declarations::parts;
use hemlockrock::store::{self, Answer, Operation};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use simulation::{Simulation, Step, HOLDERS, LEASE_MS, OPERATORS, WATCHERS};

fn step() -> impl Strategy<Value = Step> {
    let run_operator =
        (0..OPERATORS, 0..4_u64, any::<bool>(), prop::bool::weighted(0.8), 1..30_usize);
    let run_operator =
        run_operator.prop_map(|(operator, variant, expects_revision, retries, polls)| {
            Step::RunOperator { operator, variant, expects_revision, retries, polls }
        });
    let faults = (any::<u64>(), 0.0..0.6, 0.0..0.3, 0.0..0.5, prop::bool::weighted(0.1), 0..4_u64);
    let faults = faults.prop_map(|(seed, lose, overload, stale, down, delay_every)| Step::Faults {
        seed,
        lose,
        overload,
        stale,
        down,
        delay_every,
    });
    prop_oneof![
        12 => run_operator,
        2 => (0..WATCHERS).prop_map(|watcher| Step::List { watcher }),
        3 => (0..WATCHERS).prop_map(|watcher| Step::Watch { watcher }),
        3 => (0..WATCHERS).prop_map(|watcher| Step::ReadDocument { watcher }),
        1 => (0..WATCHERS).prop_map(|watcher| Step::Restart { watcher }),
        6 => (0..HOLDERS, 1..4_usize).prop_map(|(holder, polls)| Step::RunHolder { holder, polls }),
        2 => faults,
        2 => Just(Step::ClearFaults),
        2 => Just(Step::ApplyDelayedWrite),
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
    fn accepted_changes_stay_in_force_and_the_audit_trail_is_complete(
        earlier_changes in prop_oneof![Just(0_u64), Just(30), Just(46)],
        steps in prop::collection::vec(step(), 1..150),
    ) {
        let mut simulation = Simulation::new(earlier_changes);
        for step in steps {
            simulation.run(step);
        }
        simulation.finish_and_check();
    }
}

#[test]
fn audit_segments_and_parts_stay_bounded_over_many_changes() {
    const CHANGES: u64 = 1_200;
    let mut simulation = Simulation::new(CHANGES);
    simulation.finish_and_check();
    assert_eq!(simulation.accepted_entries.len() as u64, CHANGES);
    let prefix = trail::SEGMENTS.to_owned();
    let Answer::Entries { entries, .. } =
        simulation.store.apply_without_faults(Operation::List { prefix })
    else {
        panic!("List did not return entries");
    };
    assert_eq!(entries.len(), 3, "replaced audit segments were not collected");
    assert!(entries.iter().all(|entry| entry.value.len() < store::api::VALUE_LIMIT_BYTES));
    let prefix = parts::PARTS.to_owned();
    let Answer::Entries { entries, .. } =
        simulation.store.apply_without_faults(Operation::List { prefix })
    else {
        panic!("List did not return entries");
    };
    let kept = audit::RECENT_LIMIT * 2 + 2;
    assert!(entries.len() <= kept, "{} parts are left", entries.len());
}
