//! Configuration and membership of real daemon processes that are paused, killed and restarted,
//! and with a store that stops answering.
#![allow(clippy::unwrap_used, reason = "tests panic on unexpected values")]
#![allow(clippy::disallowed_methods, reason = "tests start real processes and wait")]

mod control_support;
mod support;

use std::process::Command;
use std::time::Duration;

use control_support::daemon::TOKEN;
use hemlockrock::configs::http::HttpConfig;
use hemlockrock::declarations::peer::{self, ConfigRequest, ConfigResponse};
use hemlockrock::http::client::Pool;
use hemlockrock::http::rpc::{self, Call};
use serde_json::Value;
use support::{eventually, Process, Scratch};

/// Time within which every daemon must apply a change.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(19);

/// A fake store and the settings files of the daemons.
struct Cell {
    scratch: Scratch,
    store: Process,
}

impl Cell {
    fn start() -> Self {
        let store = Process::start(env!("CARGO_BIN_EXE_hemlock-standin"), &["store"]);
        Self { scratch: Scratch::new(), store }
    }

    fn settings(&self, name: &str, listen: &str, peers: &[&str]) -> String {
        let text = format!(
            "name: {name}\nzone: mid-1\n{listen}: 127.0.0.1:0\ntoken: {TOKEN}\n\
             store: {{address: \"{}\"}}\nmembership: {{peers: {{addresses: {peers:?}}}}}\n",
            self.store.address
        );
        self.scratch.write(&format!("{name}.yaml"), &text).display().to_string()
    }

    fn entry(&self, name: &str, peers: &[&str]) -> Process {
        let settings = self.settings(name, "listen", peers);
        Process::start(env!("CARGO_BIN_EXE_hemlock-entry"), &["--settings", &settings])
    }

    fn placer(&self, name: &str, peers: &[&str]) -> Process {
        let settings = self.settings(name, "address", peers);
        Process::start(env!("CARGO_BIN_EXE_hemlock-placer"), &["--settings", &settings])
    }

    /// Runs `hemlockctl` and returns its exit code and JSON output.
    fn ctl(&self, arguments: &[&str]) -> (i32, Value) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_hemlockctl"));
        command.args(["--store", &self.store.address, "--json"]).args(arguments);
        let output = command.output().unwrap();
        let text = if output.stdout.is_empty() { output.stderr } else { output.stdout };
        (output.status.code().unwrap(), serde_json::from_slice(&text).unwrap_or_default())
    }

    /// Applies declarations whose team quota is `version`, with additional arguments `more`.
    fn apply(&self, version: u64, more: &[&str]) -> (i32, Value) {
        let text = format!(
            "zones: [{{name: mid-1, region: midlands}}]\n\
             teams: [{{name: shops, cpu_millis: {version}, memory_bytes: 1}}]\n"
        );
        let file = self.scratch.write("cell.yaml", &text).display().to_string();
        let arguments = [&["apply", &file, "--who", "anna"], more].concat();
        self.ctl(&arguments)
    }

    /// Revision that a member reports in its member record; `None` without a record.
    fn reported_revision(&self, name: &str) -> Option<u64> {
        let (_, status) = self.ctl(&["status"]);
        let members = status["members"].as_array()?;
        members.iter().find(|member| member["name"] == name)?["config_revision"].as_u64()
    }
}

/// Revision that a daemon has applied, as it answers its peers; `None` if it does not answer.
fn revision_in_force(address: &str) -> Option<u64> {
    let pool = Pool::new(HttpConfig::default());
    let call = Call { address, path: peer::PATH, token: TOKEN, timeout_ms: 1_000 };
    let question = ConfigRequest::default();
    let answer = async_std::task::block_on(rpc::call::<_, ConfigResponse>(&pool, &call, &question));
    answer.ok()?.head.map(|head| head.revision)
}

#[test]
fn a_change_reaches_every_daemon_and_a_paused_one_catches_up_with_the_last_of_ten() {
    let cell = Cell::start();
    let (entry, placer) = (cell.entry("entry-1", &[]), cell.placer("placer-1", &[]));
    eventually("member records", IN_FORCE_LIMIT, || {
        cell.reported_revision("entry-1").is_some() && cell.reported_revision("placer-1").is_some()
    });
    let (code, applied) = cell.apply(1, &["--wait"]);
    assert_eq!(code, 0, "{applied}");
    assert_eq!(
        (revision_in_force(&entry.address), revision_in_force(&placer.address)),
        (Some(1), Some(1))
    );
    entry.pause();
    for version in 2..=11 {
        assert_eq!(cell.apply(version, &[]).0, 0);
    }
    entry.resume();
    eventually("latest revision applied", IN_FORCE_LIMIT, || {
        cell.reported_revision("entry-1") == Some(11)
    });
    assert_eq!(revision_in_force(&entry.address), Some(11));
    entry.terminate();
    eventually("record removed", IN_FORCE_LIMIT, || cell.reported_revision("entry-1").is_none());
}

#[test]
fn a_daemon_restarted_while_the_store_is_silent_fetches_the_configuration_from_a_peer() {
    let cell = Cell::start();
    let first = cell.entry("entry-1", &[]);
    let mut second = cell.entry("entry-2", &[&first.address]);
    eventually("member records", IN_FORCE_LIMIT, || {
        cell.reported_revision("entry-1").is_some() && cell.reported_revision("entry-2").is_some()
    });
    assert_eq!(cell.apply(1, &[]).0, 0);
    assert_eq!(cell.apply(2, &["--wait"]).0, 0);
    cell.store.pause();
    second.kill();
    let restarted = cell.entry("entry-2", &[&first.address]);
    let placer = cell.placer("placer-1", &[&first.address]);
    eventually("revision from a peer", IN_FORCE_LIMIT, || {
        revision_in_force(&restarted.address) == Some(2)
            && revision_in_force(&placer.address) == Some(2)
    });
    cell.store.resume();
    assert_eq!(cell.apply(3, &[]).0, 0);
    eventually("latest revision applied", IN_FORCE_LIMIT, || {
        [&first, &restarted, &placer]
            .iter()
            .all(|daemon| revision_in_force(&daemon.address) == Some(3))
    });
}
