//! The load tool: avoidance of failing endpoints, findings of settings, result files.

use std::process::Command;
use std::time::Duration;

use hemlockrock::configs::load::RequestLoadConfig;
use hemlockrock::load::results::{Results, Run, Target};
use hemlockrock::load::suite::{self, Case};
use hemlockrock::settings;

mod support;

const LOAD_TOOL: &str = env!("CARGO_BIN_EXE_hemlock-load");

#[allow(clippy::disallowed_methods, reason = "the test has to wait for the measurement")]
fn run_case(case: Case) -> Vec<Run> {
    const SEED: u64 = 3;
    const SCALE: f64 = 0.2;
    async_std::task::block_on(suite::run(case, SEED, SCALE)).expect("the cell starts")
}

#[test]
fn a_fast_failer_is_avoided_by_real_entry_hosts() {
    let runs = run_case(Case::FastFailer);
    let targets: Vec<&Target> = runs.iter().flat_map(|run| &run.targets).collect();
    assert_eq!(targets.len(), 6);
    for target in targets {
        assert!(target.is_met, "{target:?}");
    }
    let before = runs[0].window("before").kind("short");
    assert!(before.sent > 0);
    assert_eq!(before.done, before.sent, "{before:?}");
}

#[test]
fn all_findings_of_invalid_settings_are_reported() {
    let text =
        "targets: [here]\nplan:\n  service: orders\n  seed: 1\n  phases: []\n  kinds: []\n  \
                callers: 1\n  caller_trip_ms: 0\n  body_bytes: 1\n";
    let findings = settings::parse::<RequestLoadConfig>("load.yaml", text).unwrap_err();
    let paths: Vec<&str> = findings.items.iter().map(|finding| finding.path.as_str()).collect();
    assert_eq!(paths, ["targets[0]", "plan.kinds"]);
}

#[test]
fn the_tool_reports_results_and_compares_files() {
    let scratch = support::Scratch::new();
    let runner = env!("CARGO_BIN_EXE_hemlock-standin");
    let runner = support::Process::start(runner, &["runner", "--slots", "64"]);
    let text = format!(
        "targets: ['{}']\nplan:\n  service: orders\n  seed: 5\n  phases: [{{for_ms: 300, \
         from_per_s: 100.0, to_per_s: 100.0}}]\n  kinds: [{{name: short, share: 1.0, run_ms: 1, \
         idempotent_share: 1.0, deadline_ms: 5000}}]\n  callers: 2\n  caller_trip_ms: 0.0\n  \
         body_bytes: 32\n",
        runner.address
    );
    let plan = scratch.write("load.yaml", &text);
    let json = scratch.write("results.json", "");
    let [plan, json] = [&plan, &json].map(|path| path.to_str().unwrap());
    let arguments = ["requests", "--settings", plan, "--json", json];
    let output = run_tool(&arguments);
    let results = Results::parse(&std::fs::read_to_string(json).unwrap()).unwrap();
    let kind = &results.runs[0].windows[0].kinds[0];
    assert!(kind.sent > 10, "{output}");
    assert_eq!(kind.unanswered, kind.sent, "an endpoint sends no outcome header: {output}");
    assert!(run_tool(&["--compare", json, json]).contains("1.000"), "{output}");
}

#[allow(clippy::disallowed_methods, reason = "the test starts the tool")]
fn run_tool(arguments: &[&str]) -> String {
    const LIMIT: Duration = Duration::from_secs(60);
    let started = std::time::Instant::now();
    let output = Command::new(LOAD_TOOL).args(arguments).output().expect("the tool starts");
    assert!(output.status.success(), "{output:?}");
    assert!(started.elapsed() < LIMIT);
    String::from_utf8(output.stdout).expect("text")
}
