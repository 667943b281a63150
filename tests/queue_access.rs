//! API keys and ownership of jobs at real host processes.

#![allow(clippy::unwrap_used, reason = "tests panic on unexpected values")]
#![allow(clippy::disallowed_methods, reason = "the test blocks on its own futures")]

mod platform_support;
mod queue_cell;
mod support;

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

use async_std::task;
use hemlockrock::queue::model::JobId;
use hemlockrock::standin::proxy::{Fault, FaultKind};
use http_types::Method;
use queue_cell::runners::{self, JobPlan};
use queue_cell::{CallerResult, Cell};
use serde_json::{json, Value};
use support::eventually;

/// Time limit for the start of the cell, of a job and of a change of the leader.
const LIMIT: Duration = Duration::from_secs(10);

/// Time in which a new version of the configuration has to take effect at every host.
const APPLY_LIMIT: Duration = Duration::from_secs(3);

/// Time in which a cancellation would have taken effect.
const SETTLE_TIME: Duration = Duration::from_secs(1);

const KEY_A: &str = "gkcuyj8pjbvk9m68k7b2";
const KEY_B: &str = "ex5w2m7c9q4t8z1r6h3n";
const JOB: JobId = JobId(0x7a31);
const OWN: &str = "/q/0000000000007a31";
const UNKNOWN: &str = "/q/00000000000000ff";
const PUBLIC: &str = "/p/0000000000007a31";

struct Access {
    cell: Cell,
    directory: PathBuf,
}

fn status(code: u16) -> CallerResult {
    CallerResult::Status(code)
}

/// A body with one task that runs until it is stopped.
fn submission() -> Value {
    let step = json!({ "count": 1, "cpu": 1_000, "mem-mb": 64, "estimate-ms": 600_000 });
    json!({ "spec": "spec", "steps": [step] })
}

impl Access {
    /// Starts two hosts with the workspaces `a` and `b` and a public queue.
    fn start(name: &str) -> Self {
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let cell = Cell::start(&directory, 2, 1);
        let plan =
            JobPlan { spec: "spec".to_owned(), steps: vec![(1, 1_000, 600_000)], is_deadly: false };
        runners::lock(&cell.fleet).jobs.insert(JOB, plan);
        eventually("a host leads", LIMIT, || cell.leader().is_some());
        let mut access = Self { cell, directory };
        access.declare(&[KEY_A], &[KEY_B]);
        access.await_statuses("hosts know the workspaces", LIMIT, "unknown", 401);
        access
    }

    fn declare(&mut self, keys_a: &[&str], keys_b: &[&str]) {
        let (route, mut public) = (self.cell.route(), self.cell.route());
        public["name"] = json!("p");
        public["prefix"] = json!("/p/");
        public["public"] = json!(true);
        let tenants = json!([
            { "name": "a", "api-keys": keys_a, "weight": 1 },
            { "name": "b", "api-keys": keys_b, "weight": 1 },
        ]);
        self.cell.declare_config(json!({ "routes": [route, public], "tenants": tenants }));
    }

    fn send(&self, host: usize, line: (Method, &str), keys: &[&str]) -> (CallerResult, Value) {
        let (pool, address) = self.cell.caller_connection(host);
        let headers: Vec<(&str, &str)> = keys.iter().map(|key| ("api-KEY", *key)).collect();
        let body = (line.0 == Method::Post).then(submission);
        task::block_on(queue_cell::send_to(&pool, &address, line, &headers, body))
    }

    fn status(&self, host: usize, line: (Method, &str), keys: &[&str]) -> CallerResult {
        self.send(host, line, keys).0
    }

    fn await_statuses(&self, what: &str, limit: Duration, key: &str, expected: u16) {
        eventually(what, limit, || {
            (0..2).all(|host| self.status(host, (Method::Get, UNKNOWN), &[key]) == status(expected))
        });
    }

    fn await_state(&self, host: usize, key: &str, state: &str) {
        eventually(state, LIMIT, || {
            self.send(host, (Method::Get, OWN), &[key]).1["state"] == json!(state)
        });
    }

    /// Checks that calls of others get the same answer as calls for an unknown job.
    fn check_hidden(&self, host: usize) {
        for method in [Method::Get, Method::Delete] {
            let unknown = self.send(host, (method, UNKNOWN), &[KEY_B]);
            assert_eq!(unknown.0, status(410));
            assert_eq!(self.send(host, (method, OWN), &[KEY_B]), unknown, "{method}");
            assert_eq!(self.send(host, (method, PUBLIC), &[]), unknown, "{method}");
        }
        assert_eq!(self.status(host, (Method::Post, OWN), &[KEY_B]), status(410));
    }
}

#[test]
fn requests_need_one_valid_key_unless_their_queue_is_public() {
    let access = Access::start("access-keys");
    let overlong = "k".repeat(600);
    let faulty: [&[&str]; 5] = [&[], &["unknown"], &[""], &[KEY_A, KEY_A], &[overlong.as_str()]];
    for host in 0..2 {
        for keys in faulty {
            for line in [
                (Method::Post, OWN),
                (Method::Get, OWN),
                (Method::Delete, OWN),
                (Method::Get, "/q/"),
                (Method::Get, "/q/not-an-id"),
            ] {
                assert_eq!(access.status(host, line, keys), status(401), "{line:?} {keys:?}");
            }
            assert_eq!(access.status(host, (Method::Get, "/x/"), keys), status(404));
            assert_eq!(access.status(host, (Method::Get, PUBLIC), keys), status(410));
            assert_eq!(access.status(host, (Method::Get, "/p/"), keys), status(200));
        }
        assert_eq!(access.status(host, (Method::Get, "/q/"), &[KEY_A]), status(200));
        assert_eq!(access.status(host, (Method::Post, OWN), &[KEY_A]), status(200));
    }
    assert_eq!(access.status(0, (Method::Post, "/p/00000000000000aa"), &[]), status(200));
    assert_eq!(access.status(0, (Method::Get, "/p/00000000000000aa"), &[]), status(200));
    assert_eq!(access.status(0, (Method::Get, "/q/00000000000000aa"), &[KEY_A]), status(410));
    // Log lines are written in batches.
    thread::sleep(SETTLE_TIME);
    for host in 0..2 {
        let log =
            std::fs::read_to_string(access.directory.join(format!("host-{host}.log"))).unwrap();
        assert!(log.contains("keys_refused"), "refusals are logged");
        assert!(!log.contains(KEY_A) && !log.contains(KEY_B), "a key is in the log");
    }
}

#[test]
fn a_key_that_is_not_text_is_refused() {
    let access = Access::start("access-bytes");
    for key in ["ключ".as_bytes(), b"\xff\xfe"] {
        let mut stream = TcpStream::connect(&access.cell.hosts[0].caller_address).unwrap();
        let head = format!("GET {UNKNOWN} HTTP/1.1\r\nHost: queue.example\r\nApi-Key: ");
        stream.write_all(&[head.as_bytes(), key, b"\r\n\r\n"].concat()).unwrap();
        let mut answer = [0; 12];
        let read = stream.read(&mut answer).unwrap();
        assert_eq!(String::from_utf8_lossy(&answer[..read]), "HTTP/1.1 401", "{key:?}");
    }
}

#[test]
fn another_workspace_neither_reads_nor_cancels_a_job() {
    let access = Access::start("access-ownership");
    let leader = access.cell.leader().unwrap();
    let other = 1 - leader;
    assert_eq!(access.status(other, (Method::Post, OWN), &[KEY_A]), status(200));
    access.await_state(other, KEY_A, "active");
    access.check_hidden(leader);
    access.check_hidden(other);
    // Without the store, the other host relays its operations to the leader, which does not answer
    // queries for jobs of others either.
    access.cell.hosts[other].set_store_fault(Fault::new(FaultKind::Cut));
    thread::sleep(Duration::from_secs(2));
    access.check_hidden(other);
    access.cell.hosts[other].set_store_fault(Fault::default());
    thread::sleep(SETTLE_TIME);
    access.await_state(leader, KEY_A, "active");
    assert_eq!(access.status(other, (Method::Post, OWN), &[KEY_A]), status(200));
    assert_eq!(access.status(other, (Method::Delete, OWN), &[KEY_A]), status(200));
    for host in [leader, other] {
        access.await_state(host, KEY_A, "canceled");
        access.check_hidden(host);
    }
}

// Guards against owners that are lost with a host: the successor reads them from the records.
#[test]
fn owners_and_keys_survive_changes_of_hosts_and_versions() {
    const ADDED: &str = "n4v8c2x6z1q5w9e3r7t0";
    let mut access = Access::start("access-versions");
    let leader = access.cell.leader().unwrap();
    assert_eq!(access.status(leader, (Method::Post, OWN), &[KEY_A]), status(200));
    access.declare(&[ADDED], &[KEY_B]);
    access.await_statuses("the added key is accepted", APPLY_LIMIT, ADDED, 410);
    access.await_statuses("the removed key is refused", APPLY_LIMIT, KEY_A, 401);
    access.cell.hosts[leader].kill();
    access.cell.compact();
    let successor = 1 - leader;
    eventually("the other host leads", LIMIT, || access.cell.leader() == Some(successor));
    access.cell.hosts[leader].start();
    access.await_statuses("both hosts are up", LIMIT, ADDED, 410);
    for host in 0..2 {
        assert_eq!(access.status(host, (Method::Get, UNKNOWN), &[KEY_A]), status(401));
        assert_eq!(access.status(host, (Method::Get, OWN), &[ADDED]), status(200));
        access.check_hidden(host);
    }
}

// Guards against a removed key that a host without the store goes on to accept in strict mode.
#[test]
fn a_strict_host_refuses_keys_after_a_time_without_the_store() {
    let mut access = Access::start("access-strict");
    let path = access.directory.join("host-0.json");
    let mut settings: Value = serde_json::from_slice(&std::fs::read(&path).unwrap()).unwrap();
    settings["bounds"] = json!({ "grace-s": 4, "revoke-strict": true, "revoke-ms": 2_500 });
    std::fs::write(&path, settings.to_string()).unwrap();
    access.cell.hosts[0].kill();
    access.cell.hosts[0].start();
    access.await_statuses("both hosts are up", LIMIT, KEY_A, 410);
    for host in 0..2 {
        access.cell.hosts[host].set_store_fault(Fault::new(FaultKind::Cut));
    }
    access.declare(&[], &[KEY_B]);
    let refused = || access.status(0, (Method::Get, "/q/not-an-id"), &[KEY_A]) == status(503);
    eventually("the strict host refuses keys", LIMIT, refused);
    assert_eq!(access.status(0, (Method::Get, "/q/not-an-id"), &[]), status(401));
    assert_eq!(access.status(1, (Method::Get, "/q/not-an-id"), &[KEY_A]), status(400));
    for host in 0..2 {
        access.cell.hosts[host].set_store_fault(Fault::default());
    }
    let answer = || access.status(0, (Method::Get, "/q/not-an-id"), &[KEY_A]);
    eventually("the strict host reads the store again", LIMIT, || answer() != status(503));
    assert_eq!(answer(), status(401), "the key was removed meanwhile");
}
