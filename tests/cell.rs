//! Runs a whole cell in one process, without faults and in a storm, and checks its promises.
#![allow(clippy::unwrap_used, reason = "tests panic on unexpected values")]

use std::sync::{Mutex, PoisonError};

use hemlockrock::configs::demo::{DemoConfig, DemoKindConfig, DemoLoadConfig, RunnersConfig};
use hemlockrock::demo::cell::Cell;
use hemlockrock::demo::oracle::{self, Violations};
use hemlockrock::demo::{self, storm};
use hemlockrock::load::driver;
use hemlockrock::load::plan::{KindPlan, Phase, Plan};
use hemlockrock::settings;

/// Runs a test body to its end; one at a time, since cells share the threads of the process.
fn run<T>(future: impl std::future::Future<Output = T>) -> T {
    static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    #[allow(clippy::disallowed_methods, reason = "the test blocks on its own futures")]
    async_std::task::block_on(future)
}

fn small_cell() -> DemoConfig {
    DemoConfig {
        runners: RunnersConfig { count: 4, slots: 4, ..RunnersConfig::default() },
        load: DemoLoadConfig {
            calm_ms: 1_000,
            crest_ms: 2_000,
            calm_per_s: 40.0,
            crest_per_s: 80.0,
            kinds: vec![
                DemoKindConfig { share: 0.9, ..DemoKindConfig::default() },
                DemoKindConfig {
                    name: "long".to_owned(),
                    share: 0.1,
                    run_ms: 300,
                    deadline_ms: 3_000,
                    ..DemoKindConfig::default()
                },
            ],
            ..DemoLoadConfig::default()
        },
        ..DemoConfig::default()
    }
}

#[test]
fn example_cells_are_valid_settings() {
    for file in ["examples/trentvale.yaml", "examples/daugava.yaml"] {
        let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join(file);
        let config: DemoConfig = settings::load(&path).unwrap();
        assert_eq!(config.runners.count, 50, "{file}");
    }
}

#[test]
fn a_cell_without_faults_answers_all_requests_and_keeps_its_promises() {
    let report = run(demo::run(&small_cell())).unwrap();
    assert!(report.is_kept(), "{report}");
    for kind in &report.requests.kinds {
        assert!(kind.sent > 0 && kind.done == kind.sent, "{report}");
    }
    assert!(report.jobs.iter().all(|job| job.finished == job.tasks), "{report}");
}

/// Guards against `not_run` for a request that a peer may have run: the second host forwards all
/// its requests to the first, and every answer of the first is lost.
#[test]
fn a_request_that_a_peer_may_have_run_is_never_answered_not_run() {
    run(async {
        let config = DemoConfig {
            runners: RunnersConfig { count: 1, slots: 8, ..RunnersConfig::default() },
            entry_hosts: 2,
            ..small_cell()
        };
        let cell = Cell::start(&config).await.unwrap();
        cell.host_slots[0].host.lose_peer_answers();
        let kind = KindPlan {
            name: "query".to_owned(),
            share: 1.0,
            run_ms: 5,
            idempotent_share: 1.0,
            deadline_ms: 1_000,
        };
        let plan = Plan {
            service: config.runners.service.clone(),
            seed: 5,
            phases: vec![Phase { for_ms: 1_000, from_per_s: 100.0, to_per_s: 100.0 }],
            kinds: vec![kind],
            callers: 4,
            caller_trip_ms: 0.0,
            body_bytes: 64,
        };
        let results = driver::run(&plan, &[cell.host_slots[1].caller_proxy.address()]).await;
        let ran: usize = cell.runner_records().iter().map(|runner| runner.records.runs.len()).sum();
        let mut violations = Violations::new();
        oracle::check_requests(&results, &cell.runner_records(), &mut violations);
        cell.drain().await;
        assert!(ran > 0, "the peer ran nothing, so the test shows nothing");
        assert_eq!(violations.into_sorted(), []);
    });
}

#[test]
fn a_storm_breaks_no_promise_and_the_cell_settles() {
    let duration_ms = 15_000;
    let mut config = DemoConfig { seed: 3, ..small_cell() };
    config.load.crest_per_s = 300.0;
    let report = run(storm::run(&config, duration_ms)).unwrap();
    assert!(report.is_kept(), "{}", report.text());
}
