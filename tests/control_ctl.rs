//! Runs `hemlockctl` as a process against the stand-in store, and checks its exit codes and JSON.
#![allow(clippy::unwrap_used, reason = "a test fails on a missing value")]
#![allow(clippy::disallowed_methods, reason = "tests start processes and block on them")]

mod control_support;
mod support;

use std::process::{Command, Output};

use control_support::daemon::Daemon;
use serde_json::Value;
use support::{Process, Scratch};

const ZONES: &str = "zones:\n  - {name: mid-1, region: midlands}\n";

fn store() -> Process {
    Process::start(env!("CARGO_BIN_EXE_hemlock-standin"), &["store"])
}

fn ctl(store: &str, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hemlockctl"));
    command.args(["--store", store, "--json"]).args(arguments).output().unwrap()
}

fn code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

/// The result on standard output, or the error on standard error.
fn json(output: &Output) -> Value {
    let text = if output.stdout.is_empty() { &output.stderr } else { &output.stdout };
    serde_json::from_slice(text).unwrap_or_else(|_| panic!("{output:?}"))
}

/// Writes declarations with one team, whose CPU quota distinguishes versions, and returns the path.
fn cell_file(scratch: &Scratch, name: &str, cpu_millis: u64) -> String {
    let teams = format!("teams:\n  - {{name: shops, cpu_millis: {cpu_millis}, memory_bytes: 1}}\n");
    scratch.write(name, &format!("{ZONES}{teams}")).display().to_string()
}

#[test]
fn check_reports_all_findings_of_all_files_with_their_lines() {
    let scratch = Scratch::new();
    let first = cell_file(&scratch, "first.yaml", 1);
    let text = "workers:
  - {name: w1, zone: mid-9, rack: r1, address: \"127.0.0.1:9\", cpu_millis: -1, memory_bytes: 64}
  - {name: w1, zone: mid-1, rack: r1, address: nowhere, cpu_millis: 1, memory_bytes: 99000000}
rules:
  - {name: a, kind: together, matches: class}
teams:
  - {name: shops, cpu_millis: 1, memory_bytes: 1}
";
    let second = scratch.write("second.yaml", text).display().to_string();
    let output = ctl("127.0.0.1:9", &["check", &first, &second]);
    assert_eq!(code(&output), 1);
    let findings = json(&output)["findings"].as_array().unwrap().clone();
    let found: Vec<(u64, &str)> = findings
        .iter()
        .map(|item| (item["place"]["line"].as_u64().unwrap(), item["path"].as_str().unwrap()))
        .collect();
    let expected = [
        (2, "workers[0].zone"),
        (2, "workers[0].cpu_millis"),
        (2, "workers[0].memory_bytes"),
        (3, "workers[1].name"),
        (3, "workers[1].address"),
        (5, "rules[0].kind"),
        (5, "rules[0].matches"),
        (7, "teams[0].name"),
    ];
    assert_eq!(found, expected);
    assert!(findings.iter().all(|item| item["file"].as_str() == Some(&second)));
}

#[test]
fn of_two_concurrent_changes_one_is_accepted_and_the_other_conflicts() {
    let (store, scratch) = (store(), Scratch::new());
    let base = cell_file(&scratch, "base.yaml", 1);
    assert_eq!(code(&ctl(&store.address, &["apply", &base, "--who", "anna"])), 0);
    let files = [cell_file(&scratch, "anna.yaml", 2), cell_file(&scratch, "bert.yaml", 3)];
    let outputs: Vec<Output> = std::thread::scope(|scope| {
        let runs = ["anna", "bert"].into_iter().zip(&files).map(|(who, file)| {
            let address = store.address.as_str();
            scope.spawn(move || ctl(address, &["apply", file, "--who", who, "--expect", "1"]))
        });
        let runs: Vec<_> = runs.collect();
        runs.into_iter().map(|run| run.join().unwrap()).collect()
    });
    let mut codes: Vec<i32> = outputs.iter().map(code).collect();
    codes.sort_unstable();
    assert_eq!(codes, [0, 3], "{outputs:?}");
    let history = json(&ctl(&store.address, &["history"]));
    let winner = if code(&outputs[0]) == 0 { "anna" } else { "bert" };
    assert_eq!(history[0]["who"], winner);
    assert_eq!(history.as_array().unwrap().len(), 2);
}

#[test]
fn a_rollback_is_a_new_revision_and_the_audit_trail_has_every_change() {
    let (store, scratch) = (store(), Scratch::new());
    let run_ok = |arguments: &[&str]| {
        let output = ctl(&store.address, arguments);
        assert_eq!(code(&output), 0, "{output:?}");
        json(&output)
    };
    let files = [cell_file(&scratch, "one.yaml", 1), cell_file(&scratch, "two.yaml", 2)];
    run_ok(&["apply", &files[0], "--who", "anna", "--why", "first"]);
    run_ok(&["apply", &files[1], "--who", "bert", "--why", "more"]);
    let again = run_ok(&["apply", &files[1], "--who", "bert"]);
    assert_eq!((&again["revision"], &again["is_unchanged"]), (&Value::from(2), &Value::from(true)));
    let back = run_ok(&["rollback", "1", "--who", "anna", "--why", "too much"]);
    assert_eq!(back["revision"], 3);
    let get = run_ok(&["get"]);
    assert_eq!(get["declarations"]["teams"][0]["cpu_millis"], 1);
    let trail = run_ok(&["audit"]);
    let kinds: Vec<&str> =
        trail.as_array().unwrap().iter().map(|entry| entry["kind"].as_str().unwrap()).collect();
    assert_eq!(kinds, ["rollback", "apply", "apply"]);
    assert_eq!(trail[0]["after"], trail[2]["after"]);
    assert_eq!(run_ok(&["audit", "--who", "bert"]).as_array().unwrap().len(), 1);
    assert_eq!(
        run_ok(&["audit", "--kind", "rollback", "--since", "1h"]).as_array().unwrap().len(),
        1
    );
    assert_eq!(run_ok(&["audit", "--limit", "2"]).as_array().unwrap().len(), 2);
}

#[test]
fn plan_and_dry_run_show_the_difference_and_change_nothing() {
    let (store, scratch) = (store(), Scratch::new());
    let worker = "workers:\n  - {name: w1, zone: mid-1, rack: r1, address: \"127.0.0.1:9\", cpu_millis: 8000, memory_bytes: 99000000}\n";
    let base = scratch.write("base.yaml", &format!("{ZONES}{worker}")).display().to_string();
    let empty = scratch.write("empty.yaml", ZONES).display().to_string();
    assert_eq!(code(&ctl(&store.address, &["apply", &base, "--who", "anna"])), 0);
    for arguments in [&["plan", &empty][..], &["apply", &empty, "--dry-run"][..]] {
        let plan = json(&ctl(&store.address, arguments));
        assert_eq!(plan["differences"][0]["kind"], "removed");
        assert_eq!(plan["displaced"][0]["worker"], "w1");
        assert_eq!(plan["displaced"][0]["work"], "unknown");
    }
    assert_eq!(json(&ctl(&store.address, &["status"]))["revision"], 1);
    let refused = ctl(&store.address, &["apply", &empty, "--dry-run", "--expect", "7"]);
    assert_eq!(code(&refused), 3);
}

#[test]
fn wait_names_the_daemon_that_has_not_applied_the_revision() {
    let (store, scratch) = (store(), Scratch::new());
    let settings = format!("store: {{address: \"{}\"}}\napply_wait_ms: 1500\n", store.address);
    let settings = scratch.write("ctl.yaml", &settings).display().to_string();
    let file = cell_file(&scratch, "cell.yaml", 1);
    async_std::task::block_on(async {
        let daemon = Daemon::start("follows", &store.address, &[]).await;
        let arguments = ["--settings", &settings, "apply", &file, "--who", "anna", "--wait"];
        let output = ctl(&store.address, &arguments);
        assert_eq!(code(&output), 0, "{output:?}");
        assert!(json(&output)["in_force_after_ms"].as_u64().is_some());
        assert_eq!(daemon.revision_in_force(), 1);
        let lagging = Daemon::start("lagging", &store.address, &[]).await;
        let is_listed = || {
            let members = hemlockrock::membership::members(&daemon.mirror.snapshot());
            members.iter().any(|member| member.name == "lagging" && member.config_revision == 1)
        };
        control_support::daemon::eventually("listed", 10_000, is_listed).await;
        lagging.session.update(|member| member.config_revision = 0);
        let is_behind = || {
            let members = hemlockrock::membership::members(&daemon.mirror.snapshot());
            members.iter().any(|member| member.name == "lagging" && member.config_revision == 0)
        };
        control_support::daemon::eventually("behind", 10_000, is_behind).await;
        let output = ctl(&store.address, &arguments);
        assert_eq!(code(&output), 5, "{output:?}");
        assert!(json(&output)["message"].as_str().unwrap().contains("lagging (revision 0)"));
    });
}

#[test]
fn an_unreachable_store_has_its_own_exit_code() {
    let output = ctl("127.0.0.1:9", &["status"]);
    assert_eq!(code(&output), 4);
    assert_eq!(json(&output)["code"], "away");
}
