//! Randomized simulation tests of the placer: two holders, workers and a store, with lost and late
//! calls, paused and killed processes, partitions and restarted workers.

mod place_support;

use hemlockrock::place::message::End;
use hemlockrock::place::spec::{JobKind, JobSpec, Priority, Resources};
use hemlockrock::quota::Shares;
use place_support::simulation::{Simulation, HOLDERS};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};
use rand::rngs::SmallRng;
use rand::SeedableRng as _;

const WORKERS: usize = 7;
const CAPACITY: Resources = Resources::new(4_000, 8 << 30, 1);

/// A random operation on the simulated zone. Holders and workers are given by index, jobs and
/// running tasks by their position in the current list.
#[derive(Clone, Copy, Debug)]
enum Step {
    Submit { kind: JobKind, tasks: u32, cpu_millis: u64, urgent: bool, stoppable: bool, team: u8 },
    Cancel(usize),
    Pause(usize),
    Resume(usize),
    Kill(usize),
    DisconnectStore(usize),
    DisconnectWorker(usize, usize),
    ClearFaults,
    FaultProbability(f64),
    RestartWorker(usize),
    EndTask(usize, End),
    Advance(u64),
}

/// Strategy that generates one step; the numbers are relative weights.
fn step() -> impl Strategy<Value = Step> {
    let kind = prop_oneof![Just(JobKind::Batch), Just(JobKind::Service), Just(JobKind::Gang)];
    let job = (kind, 1..7_u32, 1..9_u64, prop::bool::weighted(0.2), any::<bool>(), 0..3_u8);
    let submit = job.prop_map(|(kind, tasks, size, urgent, stoppable, team)| Step::Submit {
        kind,
        tasks,
        cpu_millis: size * 250,
        urgent,
        stoppable,
        team,
    });
    let end = prop_oneof![4 => Just(End::Finished), 1 => Just(End::Failed)];
    prop_oneof![
        6 => submit,
        2 => (0..20_usize).prop_map(Step::Cancel),
        2 => (0..HOLDERS).prop_map(Step::Pause),
        2 => (0..HOLDERS).prop_map(Step::Resume),
        1 => (0..HOLDERS).prop_map(Step::Kill),
        2 => (0..HOLDERS).prop_map(Step::DisconnectStore),
        3 => (0..HOLDERS, 0..WORKERS)
            .prop_map(|(holder, worker)| Step::DisconnectWorker(holder, worker)),
        2 => Just(Step::ClearFaults),
        2 => prop_oneof![Just(0.0), Just(0.1), Just(0.4)].prop_map(Step::FaultProbability),
        1 => (0..WORKERS).prop_map(Step::RestartWorker),
        6 => (any::<usize>(), end).prop_map(|(number, end)| Step::EndTask(number, end)),
        8 => (1..40_u64).prop_map(|steps| Step::Advance(steps * 100)),
        2 => (40..300_u64).prop_map(|steps| Step::Advance(steps * 100)),
    ]
}

/// Reference model without state: the checks are made inside the simulation.
struct Model;

impl ReferenceStateMachine for Model {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        step().boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// Equal quota shares for three teams, which together exceed the capacity of the zone.
fn teams() -> Shares {
    let share = Resources::new(12_000, 24 << 30, 3);
    Shares { teams: (0..3).map(|team| (format!("team{team}"), share)).collect() }
}

/// Carries out a step on the simulation.
fn apply(simulation: &mut Simulation, step: Step) {
    match step {
        Step::Submit { kind, tasks, cpu_millis, urgent, stoppable, team } => {
            let size = Resources::new(cpu_millis, cpu_millis << 21, 0);
            let mut spec = JobSpec::new(format!("team{team}"), tasks).with_kind(kind);
            spec = spec.with_resources(size).with_expected_ms(5_000);
            spec.is_stoppable = stoppable;
            spec.priority = if urgent { Priority::Urgent } else { Priority::Normal };
            simulation.submit(spec);
        }
        Step::Cancel(number) => simulation.cancel(number),
        Step::Pause(holder) => simulation.pause(holder),
        Step::Resume(holder) => simulation.resume(holder),
        Step::Kill(holder) => simulation.kill(holder),
        Step::DisconnectStore(holder) => simulation.disconnect_store(holder),
        Step::DisconnectWorker(holder, worker) => simulation.disconnect_worker(holder, worker),
        Step::ClearFaults => simulation.clear_faults(),
        Step::FaultProbability(fault_probability) => {
            simulation.fault_probability = fault_probability;
        }
        Step::RestartWorker(worker) => simulation.restart_worker(worker),
        Step::EndTask(number, end) => simulation.end_task(number, end),
        Step::Advance(span_ms) => simulation.advance(span_ms),
    }
}

/// Runs the steps on the simulation. At the end it clears all faults, waits, and checks that
/// the holder's view agrees with the workers.
struct SimulationTest;

impl StateMachineTest for SimulationTest {
    type SystemUnderTest = Simulation;
    type Reference = Model;

    fn init_test((): &()) -> Simulation {
        let declared = place_support::workers(WORKERS, CAPACITY);
        let mut simulation = Simulation::new(declared, Some(teams()), 1);
        simulation.advance(1_000);
        simulation
    }

    fn apply(mut simulation: Simulation, (): &(), step: Step) -> Simulation {
        apply(&mut simulation, step);
        simulation.advance(100);
        simulation
    }

    fn teardown(mut simulation: Simulation, (): ()) {
        simulation.clear_faults();
        simulation.fault_probability = 0.0;
        simulation.advance(90_000);
        simulation.check_at_rest();
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 128,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    // Whatever fails, no worker exceeds its capacity, no task runs twice, no team exceeds its
    // quota, and gangs run completely or not at all.
    fn faults_never_break_placement_invariants(sequential 1..120 => SimulationTest);
}

/// Kills the active holder of a busy zone while calls are in flight. Checks that the other holder
/// stops no task, and returns the time until it placed new tasks, in milliseconds, and the
/// number of starts.
fn run_takeover(seed: u64) -> (u64, u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let declared = place_support::workers(24, Resources::new(16_000, 32 << 30, 0));
    let mut simulation = Simulation::new(declared, None, seed);
    simulation.advance(1_500);
    for _ in 0..30 {
        let cpu_millis = random.random_range(1..16_u64) * 250;
        let size = Resources::new(cpu_millis, cpu_millis << 21, 0);
        let kind = [JobKind::Batch, JobKind::Service, JobKind::Gang][random.random_range(0..3)];
        let tasks = random.random_range(1..6);
        simulation.submit(JobSpec::new("team", tasks).with_kind(kind).with_resources(size));
        simulation.advance(random.random_range(0..4) * 100);
    }
    let active = simulation.active().expect("a holder");
    simulation.kill(active);
    let killed_at_ms = simulation.now_ms;
    let (stops, running) = (simulation.stops, simulation.running().len());
    simulation.submit(JobSpec::new("team", 4).with_resources(Resources::new(100, 1 << 20, 0)));
    let starts = simulation.starts;
    while simulation.starts < starts + 4 {
        simulation.advance(100);
        assert!(
            simulation.now_ms < killed_at_ms + 60_000,
            "seed {seed}: no placement after takeover"
        );
    }
    let placement_delay_ms = simulation.now_ms - killed_at_ms;
    simulation.advance(30_000);
    simulation.check_at_rest();
    assert_eq!(simulation.stops, stops, "seed {seed}: tasks were stopped");
    assert!(simulation.running().len() >= running, "seed {seed}: tasks were lost");
    (placement_delay_ms, simulation.starts)
}

#[test]
fn takeovers_neither_stop_nor_duplicate_tasks() {
    const LEASE_MS: u64 = 10_000;
    let mut max_delay_ms = 0;
    for seed in 1..=100 {
        let (placement_delay_ms, _) = run_takeover(seed);
        max_delay_ms = max_delay_ms.max(placement_delay_ms);
        assert!(
            placement_delay_ms <= 2 * LEASE_MS,
            "seed {seed}: first placement {placement_delay_ms} ms after the takeover"
        );
    }
    println!("first placement at most {max_delay_ms} ms after a takeover, over 100 runs");
}
