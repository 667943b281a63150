//! Hostile clients at the listeners of a real host process: heads without end, bodies that stop
//! just short of their end, and more connections than the process has file descriptors.
//!
//! Each test guards against a process that ends, that grows beyond the memory or the descriptors
//! that its settings name, or that no longer answers an ordinary request. Times and the share of
//! requests that are served are not checked.

#![allow(clippy::unwrap_used, reason = "tests panic on unexpected values")]
#![allow(clippy::disallowed_methods, reason = "the test blocks on its own futures")]
#![allow(clippy::print_stdout, reason = "the figures of an attack are part of the result")]

mod platform_support;
mod queue_cell;
mod support;

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use async_std::task;
use futures_lite::AsyncWriteExt as _;
use hemlockrock::configs::http::HttpConfig;
use hemlockrock::http::client::Pool;
use hemlockrock::queue::model::JobId;
use http_types::Method;
use queue_cell::runners::{self, JobPlan};
use queue_cell::{CallerResult, Cell};
use serde_json::json;
use support::eventually;

/// Memory of the host according to its settings, in megabytes. An idle host uses 7.
const MEMORY_MB: u64 = 64;

/// File descriptors of the host according to its settings, where memory is what is attacked.
const MANY_DESCRIPTORS: usize = 2_000;

/// File descriptors of the host according to its settings, where they are what is attacked.
const FEW_DESCRIPTORS: usize = 300;

/// Connections of most attacks.
const CROWD: usize = 300;

/// Connections that send heads without end.
const HEAD_CROWD: usize = 100;

/// Connections in excess of the descriptors.
const IDLE_CROWD: usize = 400;

/// Bytes that a connection sends of a head without end.
const ENDLESS_BYTES: usize = 2 * 1024 * 1024;

/// Length of the bodies: just under the limit of 262,144 bytes.
const BODY_BYTES: usize = 260_000;

/// Chunks of one byte that a connection sends.
const SMALL_CHUNKS: usize = 20_000;

/// Of the connections with bodies, every so many sends its body to the end.
const ENDED_EVERY: usize = 10;

/// Longest time for which a connection goes on sending.
const SENDING_LIMIT: Duration = Duration::from_secs(6);

/// Time within which an ordinary request has to be answered, with retries.
const ANSWER_LIMIT: Duration = Duration::from_secs(20);

/// Time limit for the start of the cell.
const START_LIMIT: Duration = Duration::from_secs(20);

const JOB: JobId = JobId(0x7a32);

/// Listeners of a host by their offset from the port for callers.
const CALLERS: u16 = 0;
const READINESS: u16 = 1;
const PEERS: u16 = 2;
const METRICS: u16 = 3;

/// Only one attack runs at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// A cell of one host whose use of memory and descriptors is recorded.
struct Target {
    cell: Cell,
    max_descriptors: usize,
    peak_descriptors: Arc<AtomicUsize>,
    is_over: Arc<AtomicBool>,
    sampler: Option<thread::JoinHandle<()>>,
    _alone: MutexGuard<'static, ()>,
}

impl Target {
    fn start(name: &str, max_descriptors: usize) -> Self {
        let alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let limits = json!({ "memory-mb": MEMORY_MB, "max-fds": max_descriptors });
        let cell = Cell::start_limited(&directory, 1, 1, "{}", &limits);
        let plan =
            JobPlan { spec: "spec".to_owned(), steps: vec![(1, 1_000, 60_000)], is_deadly: false };
        runners::lock(&cell.fleet).jobs.insert(JOB, plan);
        eventually("the host leads", START_LIMIT, || cell.leader().is_some());
        let id = cell.hosts[0].id().unwrap();
        let (peak, is_over) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
        let (seen, ends) = (Arc::clone(&peak), Arc::clone(&is_over));
        let sampler = thread::spawn(move || {
            while !ends.load(Ordering::Acquire) {
                seen.fetch_max(open_descriptors(id), Ordering::AcqRel);
                thread::sleep(Duration::from_millis(20));
            }
        });
        let target = Self {
            cell,
            max_descriptors,
            peak_descriptors: peak,
            is_over,
            sampler: Some(sampler),
            _alone: alone,
        };
        assert!(target.answers(START_LIMIT), "no answer before the attack");
        target
    }

    /// Address of a listener.
    fn address(&self, listener: u16) -> String {
        let (ip, port) = self.cell.hosts[0].caller_address.split_once(':').unwrap();
        format!("{ip}:{}", port.parse::<u16>().unwrap() + listener)
    }

    /// Whether an ordinary submission is answered with 200 within `limit`.
    fn answers(&self, limit: Duration) -> bool {
        let address = self.address(CALLERS);
        // Without idle connections, so that each attempt needs a new one.
        let pool = Pool::new(HttpConfig { max_idle_per_address: 0, ..HttpConfig::default() });
        let step = json!({ "count": 1, "cpu": 1_000, "mem-mb": 64, "estimate-ms": 60_000 });
        let submission = json!({ "spec": "spec", "steps": [step] });
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            let body = Some(submission.clone());
            let sent = queue_cell::send(&pool, &address, Method::Post, JOB, body);
            if task::block_on(sent).0 == CallerResult::Status(200) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Checks that the host lives within its limits and answers while the connections of `attack`
    /// are still open.
    fn withstands(mut self, attack: &[Option<TcpStream>]) {
        let is_up = self.cell.are_hosts_up();
        let answers = is_up && self.answers(ANSWER_LIMIT);
        let is_up = is_up && self.cell.are_hosts_up();
        self.is_over.store(true, Ordering::Release);
        self.sampler.take().unwrap().join().unwrap();
        let peak_mb = is_up.then(|| peak_memory_kb(self.cell.hosts[0].id().unwrap()) / 1024);
        let descriptors = self.peak_descriptors.load(Ordering::Acquire);
        let seen = format!(
            "{} connections: up {is_up}, peak memory {peak_mb:?} MB of {MEMORY_MB}, peak \
             descriptors {descriptors} of {}, ordinary request answered {answers}",
            attack.len(),
            self.max_descriptors,
        );
        println!("{seen}");
        let is_within = peak_mb.is_some_and(|peak_mb| peak_mb < MEMORY_MB);
        assert!(is_up && is_within && descriptors < self.max_descriptors && answers, "{seen}");
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Release);
    }
}

/// Number of open file descriptors of a process; 0 if it has ended.
fn open_descriptors(id: u32) -> usize {
    std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count)
}

/// Largest resident memory of a process so far, in kilobytes.
fn peak_memory_kb(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

/// What a hostile connection sends: its parts one after the other.
type Script = Vec<Part>;

/// Bytes that are sent a number of times.
#[derive(Clone)]
struct Part {
    bytes: Arc<[u8]>,
    times: usize,
}

fn part(bytes: impl AsRef<[u8]>, times: usize) -> Part {
    Part { bytes: bytes.as_ref().into(), times }
}

/// Opens `crowd` connections at once, each of which sends the script for its number, and returns
/// those that could be opened; they stay open.
fn attack(address: &str, crowd: usize, script: impl Fn(usize) -> Script) -> Vec<Option<TcpStream>> {
    let sending: Vec<_> = (0..crowd)
        .map(|number| task::spawn(send_script(address.to_owned(), script(number))))
        .collect();
    task::block_on(async {
        let mut streams = Vec::new();
        for connection in sending {
            streams.push(connection.await);
        }
        streams
    })
}

/// Sends a script, or as much of it as the host reads within the time limit.
async fn send_script(address: String, script: Script) -> Option<TcpStream> {
    let stream = TcpStream::connect(address).await.ok()?;
    let mut sender = stream.clone();
    let sending = async {
        for part in script {
            for _ in 0..part.times {
                sender.write_all(&part.bytes).await?;
            }
        }
        sender.flush().await
    };
    let _ = async_std::future::timeout(SENDING_LIMIT, sending).await;
    Some(stream)
}

fn head(path: &str, framing: &str) -> Vec<u8> {
    format!("POST {path} HTTP/1.1\r\nHost: queue.example\r\n{framing}\r\n\r\n").into_bytes()
}

fn job_path(number: usize) -> String {
    format!("/q/{number:016x}")
}

/// A body of declared length, in pieces of `piece` bytes, which stops a byte short.
fn plain_body(path: &str, piece: usize, is_ended: bool) -> Script {
    let head = head(path, &format!("Content-Length: {BODY_BYTES}"));
    let rest = BODY_BYTES % piece + usize::from(is_ended);
    let body = part(vec![b'x'; piece], (BODY_BYTES - 1) / piece);
    vec![part(head, 1), body, part(vec![b'x'; rest.max(1) - 1], 1)]
}

/// A chunked body in chunks of `chunk` bytes, which stops before its last chunk.
fn chunked_body(path: &str, chunk: usize, chunks: usize, is_ended: bool) -> Script {
    let mut text = format!("{chunk:x}\r\n").into_bytes();
    text.extend(vec![b'x'; chunk]);
    text.extend(b"\r\n");
    let end = if is_ended { "0\r\n\r\n" } else { "" };
    vec![part(head(path, "Transfer-Encoding: chunked"), 1), part(text, chunks), part(end, 1)]
}

fn is_ended(number: usize) -> bool {
    number % ENDED_EVERY == 0
}

/// Guards against request lines without end, which the HTTP library buffers without a bound.
#[test]
fn a_host_withstands_request_lines_without_end() {
    let target = Target::start("hostile-request-line", MANY_DESCRIPTORS);
    let block = part([b'a'; 64 * 1024], ENDLESS_BYTES / (64 * 1024));
    let script = vec![part("GET /", 1), block];
    let crowd = attack(&target.address(CALLERS), HEAD_CROWD, |_| script.clone());
    target.withstands(&crowd);
}

/// Guards against one header without end.
#[test]
fn a_host_withstands_a_header_line_without_end() {
    let target = Target::start("hostile-header", MANY_DESCRIPTORS);
    let block = part([b'a'; 64 * 1024], ENDLESS_BYTES / (64 * 1024));
    let script = vec![part("GET / HTTP/1.1\r\nHost: queue.example\r\nX-Long: ", 1), block];
    let crowd = attack(&target.address(CALLERS), HEAD_CROWD, |_| script.clone());
    target.withstands(&crowd);
}

/// Guards against header lines without end.
#[test]
fn a_host_withstands_header_lines_without_end() {
    let target = Target::start("hostile-headers", MANY_DESCRIPTORS);
    let line = "X-Header: 0123456789012345678901234567890123456789\r\n";
    let block = line.repeat(1_000);
    let times = ENDLESS_BYTES / block.len();
    let script = vec![part("GET / HTTP/1.1\r\n", 1), part(block, times)];
    let crowd = attack(&target.address(CALLERS), CROWD, |_| script.clone());
    target.withstands(&crowd);
}

/// Guards against complete heads over the limit.
#[test]
fn a_host_withstands_heads_over_the_limit() {
    let target = Target::start("hostile-large-head", MANY_DESCRIPTORS);
    let line = "X-Header: 0123456789012345678901234567890123456789\r\n";
    let large = head("/q/0000000000000001", line.repeat(800).trim_end());
    let script = vec![part(large, 1)];
    let crowd = attack(&target.address(CALLERS), CROWD, |_| script.clone());
    target.withstands(&crowd);
}

/// Guards against blank lines without end before a request.
#[test]
fn a_host_withstands_blank_lines_without_end() {
    let target = Target::start("hostile-blank-lines", MANY_DESCRIPTORS);
    let endless = |line: &str| vec![part(line.repeat(32 * 1024), ENDLESS_BYTES / (64 * 1024))];
    let scripts = [endless("\r\n"), endless("\n\n")];
    let crowd = attack(&target.address(CALLERS), CROWD, |number| scripts[number % 2].clone());
    target.withstands(&crowd);
}

/// Guards against many chunked bodies in large chunks that are held until their end.
#[test]
fn a_host_withstands_unfinished_bodies_in_large_chunks() {
    let target = Target::start("hostile-large-chunks", MANY_DESCRIPTORS);
    let script = |number| chunked_body(&job_path(number), 65_000, 4, is_ended(number));
    let crowd = attack(&target.address(CALLERS), CROWD, script);
    target.withstands(&crowd);
}

/// Guards against many chunked bodies in chunks of one byte.
#[test]
fn a_host_withstands_unfinished_bodies_in_one_byte_chunks() {
    let target = Target::start("hostile-small-chunks", MANY_DESCRIPTORS);
    let script = |number| chunked_body(&job_path(number), 1, SMALL_CHUNKS, is_ended(number));
    let crowd = attack(&target.address(CALLERS), CROWD, script);
    target.withstands(&crowd);
}

/// Guards against many bodies of permitted size that are held until their end.
#[test]
fn a_host_withstands_unfinished_large_bodies() {
    let target = Target::start("hostile-bodies", MANY_DESCRIPTORS);
    let script = |number| plain_body(&job_path(number), BODY_BYTES - 1, is_ended(number));
    let crowd = attack(&target.address(CALLERS), CROWD, script);
    target.withstands(&crowd);
}

/// Guards against the same bodies piece by piece.
#[test]
fn a_host_withstands_unfinished_large_bodies_in_pieces() {
    let target = Target::start("hostile-pieces", MANY_DESCRIPTORS);
    let script = |number| plain_body(&job_path(number), 1_000, is_ended(number));
    let crowd = attack(&target.address(CALLERS), CROWD, script);
    target.withstands(&crowd);
}

/// Guards against unfinished bodies at the listener for other hosts.
#[test]
fn a_host_withstands_unfinished_bodies_at_its_peer_listener() {
    let target = Target::start("hostile-peer-bodies", MANY_DESCRIPTORS);
    let script = |number| match number % 2 {
        0 => plain_body("/peer/hello", BODY_BYTES - 1, false),
        _ => chunked_body("/peer/submitted", 65_000, 4, false),
    };
    let crowd = attack(&target.address(PEERS), CROWD, script);
    target.withstands(&crowd);
}

/// Guards against heads without end at the listeners that callers do not use.
#[test]
fn a_host_withstands_heads_without_end_at_its_other_listeners() {
    let target = Target::start("hostile-other-heads", MANY_DESCRIPTORS);
    let block = part([b'a'; 64 * 1024], ENDLESS_BYTES / (64 * 1024));
    let script = vec![part("GET /", 1), block];
    let mut crowd = Vec::new();
    for listener in [READINESS, PEERS, METRICS] {
        crowd.extend(attack(&target.address(listener), HEAD_CROWD / 3, |_| script.clone()));
    }
    target.withstands(&crowd);
}

/// Guards against bodies that the readiness check and the metrics do not read.
#[test]
fn a_host_withstands_bodies_that_its_other_listeners_do_not_read() {
    let target = Target::start("hostile-unread-bodies", MANY_DESCRIPTORS);
    let mut crowd = Vec::new();
    for (listener, path) in [(READINESS, "/readyz"), (METRICS, "/metrics")] {
        let script = |number| match number % 2 {
            0 => plain_body(path, BODY_BYTES - 1, false),
            _ => chunked_body(path, 65_000, 4, false),
        };
        crowd.extend(attack(&target.address(listener), CROWD / 2, script));
    }
    target.withstands(&crowd);
}

/// Guards against connections in excess of the descriptors, which send nothing.
#[test]
fn a_host_withstands_idle_connections_of_callers() {
    let target = Target::start("hostile-idle-callers", FEW_DESCRIPTORS);
    let crowd = attack(&target.address(CALLERS), IDLE_CROWD, |_| Vec::new());
    target.withstands(&crowd);
}

/// Guards against the same at the listeners that callers do not use.
#[test]
fn a_host_withstands_idle_connections_at_its_other_listeners() {
    let target = Target::start("hostile-idle-others", FEW_DESCRIPTORS);
    let mut crowd = Vec::new();
    for listener in [READINESS, PEERS, METRICS] {
        crowd.extend(attack(&target.address(listener), IDLE_CROWD / 3, |_| Vec::new()));
    }
    target.withstands(&crowd);
}
