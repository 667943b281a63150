//! Costs of the control of the cell: propagation, store calls, and size and time by inventory.
//!
//! Run with `cargo bench --bench control [-- propagation|outage|calls|sizes]`.
#![allow(clippy::unwrap_used, reason = "a measurement stops at what is missing")]
#![allow(clippy::print_stdout, reason = "a measurement prints its figures")]
#![allow(clippy::disallowed_methods, reason = "the top of a binary")]

#[path = "../tests/control_support/mod.rs"]
mod control_support;

use std::time::Duration;

use async_std::task;
use control_support::daemon::{client, Daemon};
use control_support::{variant, workers};
use hdrhistogram::Histogram;
use hemlockrock::clock;
use hemlockrock::declarations::feed::{self, Document, Head};
use hemlockrock::declarations::files::{self, Source};
use hemlockrock::declarations::{parts, Declarations};
use hemlockrock::standin::store::faults::{Counters, Faults};
use hemlockrock::standin::store::StoreStandin;
use hemlockrock::store::{self, Priority};

fn main() {
    let only: Vec<String> =
        std::env::args().skip(1).filter(|name| !name.starts_with('-')).collect();
    let is_wanted = |name: &str| only.is_empty() || only.iter().any(|wanted| wanted == name);
    task::block_on(async {
        if is_wanted("sizes") {
            sizes().await;
        }
        for daemons in [8, 24] {
            if is_wanted("propagation") {
                propagation(daemons).await;
            }
            if is_wanted("outage") {
                let down = Faults { down: true, ..Faults::default() };
                after_outage(daemons, "down", down).await;
                let silent = Faults { silent: true, ..Faults::default() };
                after_outage(daemons, "silent", silent).await;
            }
            if is_wanted("calls") {
                calls(daemons).await;
            }
        }
    });
}

struct Cell {
    standin: StoreStandin,
    daemons: Vec<Daemon>,
}

impl Cell {
    async fn start(count: usize, declarations: &Declarations) -> Self {
        let standin = StoreStandin::start("127.0.0.1:0").await.unwrap();
        let store = client(&standin.address());
        feed::publish(store.as_ref(), declarations).await.unwrap();
        let mut daemons = Vec::new();
        for number in 0..count {
            daemons.push(Daemon::start(&format!("d-{number}"), &standin.address(), &[]).await);
        }
        let cell = Self { standin, daemons };
        cell.in_force(1, &mut histogram(), clock::now_ms()).await;
        task::sleep(Duration::from_secs(2)).await;
        cell
    }

    /// Waits until `revision` is in force everywhere; records the time of each daemon.
    async fn in_force(&self, revision: u64, times: &mut Histogram<u64>, began_ms: u64) {
        let mut waiting: Vec<&Daemon> = self.daemons.iter().collect();
        while !waiting.is_empty() {
            waiting.retain(|daemon| {
                let is_done = daemon.revision() >= revision;
                if is_done {
                    times.record(clock::now_ms() - began_ms).unwrap();
                }
                !is_done
            });
            task::sleep(Duration::from_millis(1)).await;
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).unwrap()
}

fn row(name: &str, times: &Histogram<u64>) {
    println!(
        "{name}: n {} p50 {} ms p99 {} ms max {} ms",
        times.len(),
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.max()
    );
}

/// Time from the start of a change until it is in force in each daemon.
async fn propagation(count: usize) {
    const CHANGES: u64 = 60;
    const PAUSE_MS: u64 = 200;
    let cell = Cell::start(count, &workers(500)).await;
    let store = client(&cell.standin.address());
    let mut declarations = workers(500);
    let mut times = histogram();
    for number in 0..CHANGES {
        let index = usize::try_from(number).unwrap();
        declarations.workers[index].drain = true;
        let began_ms = clock::now_ms();
        let revision = feed::publish(store.as_ref(), &declarations).await.unwrap();
        cell.in_force(revision, &mut times, began_ms).await;
        task::sleep(Duration::from_millis(PAUSE_MS)).await;
    }
    row(&format!("propagation, {count} daemons, 500 workers"), &times);
}

/// Time from the return of the store until a change made at once is in force, and the store calls
/// in each of the first ten seconds.
async fn after_outage(count: usize, name: &str, faults: Faults) {
    const ROUNDS: u64 = 6;
    const OUTAGE_MS: u64 = 12_000;
    const WATCHED_S: u64 = 10;
    let cell = Cell::start(count, &variant(0)).await;
    let mut times = histogram();
    let (mut writes, mut reads) = (0, 0);
    for round in 1..=ROUNDS {
        cell.standin.set_faults(faults.clone());
        task::sleep(Duration::from_millis(OUTAGE_MS + round * 137)).await;
        cell.standin.set_faults(Faults::default());
        cell.standin.reset_counters();
        let began_ms = clock::now_ms();
        let store = client(&cell.standin.address());
        let counted = count_seconds(&cell.standin, WATCHED_S);
        let changed = async {
            let revision = feed::publish(store.as_ref(), &variant(round)).await.unwrap();
            cell.in_force(revision, &mut times, began_ms).await;
        };
        let ((most_writes, most_reads), ()) = futures_lite::future::zip(counted, changed).await;
        writes = most_writes.max(writes);
        reads = most_reads.max(reads);
    }
    row(&format!("after {OUTAGE_MS} ms {name}, {count} daemons"), &times);
    println!("  most calls in one of the first {WATCHED_S} s: {writes} writes, {reads} reads");
}

/// The most writes and reads, watches included, in one of some seconds.
async fn count_seconds(standin: &StoreStandin, seconds: u64) -> (u64, u64) {
    let (mut writes, mut reads) = (0, 0);
    let mut before = Counters::default();
    for _ in 0..seconds {
        task::sleep(Duration::from_secs(1)).await;
        let now = standin.counters();
        writes = writes.max(now.writes - before.writes);
        reads = reads.max(now.reads + now.watches - before.reads - before.watches);
        before = now;
    }
    (writes, reads)
}

/// Store calls a second without changes, calls of one change, and processor time.
async fn calls(count: usize) {
    const IDLE_S: u64 = 30;
    const CHANGES: u64 = 20;
    let cell = Cell::start(count, &workers(2_300)).await;
    cell.standin.reset_counters();
    let cpu_before_ms = cpu_ms();
    task::sleep(Duration::from_secs(IDLE_S)).await;
    let idle = cell.standin.counters();
    let cpu_ms = cpu_ms() - cpu_before_ms;
    let per_s = |calls: u64| calls as f64 / IDLE_S as f64;
    println!(
        "idle, {count} daemons: {:.1} writes/s, {:.1} reads/s, {:.1} watches/s",
        per_s(idle.writes),
        per_s(idle.reads),
        per_s(idle.watches)
    );
    let per_daemon_ms = cpu_ms as f64 / count as f64 / IDLE_S as f64;
    println!("  processor time with the stand-in's: {per_daemon_ms:.2} ms/s a daemon");
    let store = client(&cell.standin.address());
    let mut declarations = workers(2_300);
    let before = cell.standin.counters();
    let began_ms = clock::now_ms();
    for number in 0..CHANGES {
        declarations.workers[usize::try_from(number).unwrap() * 100].drain = true;
        let revision = feed::publish(store.as_ref(), &declarations).await.unwrap();
        cell.in_force(revision, &mut histogram(), began_ms).await;
    }
    let after = cell.standin.counters();
    let elapsed_s = (clock::now_ms() - began_ms) as f64 / 1_000.0;
    let per_change =
        |calls: u64, idle: u64| (calls as f64 - per_s(idle) * elapsed_s) / CHANGES as f64;
    println!(
        "  one change of one worker in 2300: {:.1} writes, {:.1} reads, {:.1} watches",
        per_change(after.writes - before.writes, idle.writes),
        per_change(after.reads - before.reads, idle.reads),
        per_change(after.watches - before.watches, idle.watches)
    );
}

/// Processor time of this process, in milliseconds.
fn cpu_ms() -> u64 {
    const TICK_MS: u64 = 10;
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
    let ticks = |index: usize| fields[index].parse::<u64>().unwrap();
    (ticks(11) + ticks(12)) * TICK_MS
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap();
    statm.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() * PAGE_BYTES
}

/// Time to check, pack and accept declarations, their memory, and bytes that a change moves.
async fn sizes() {
    const COPIES: u64 = 20;
    for count in [50, 500, 2_300] {
        let declared = workers(count);
        let text = serde_yaml_ng::to_string(&declared).unwrap();
        let text_bytes = text.len();
        let source = Source { name: "cell.yaml".to_owned(), text };
        let (_, check_us) =
            timed(|| files::merge_and_check(std::slice::from_ref(&source)).unwrap());
        let (packed, pack_us) = timed(|| parts::pack(&declared).unwrap());
        let parts_bytes: usize = packed.parts.iter().map(|part| part.value.len()).sum();
        let document = document(&packed);
        let (_, accept_us) = timed(|| document.unpack().unwrap());
        let before = resident_bytes();
        let kept: Vec<_> = (0..COPIES)
            .map(|_| {
                let mut copy = document.clone();
                for value in copy.parts.values_mut() {
                    *value = bytes::Bytes::copy_from_slice(value);
                }
                (copy.unpack().unwrap(), copy)
            })
            .collect();
        let memory = (resident_bytes().saturating_sub(before)) / COPIES;
        drop(kept);
        let (moved, root_bytes) = moved_bytes(&declared).await;
        println!(
            "{count} workers: {text_bytes} B of YAML, {} parts of {parts_bytes} B; \
             check {check_us} us, pack {pack_us} us, accept {accept_us} us; \
             feed holds {memory} B; a change moves {moved} B to a daemon, {root_bytes} B of it root",
            packed.parts.len()
        );
    }
}

fn document(packed: &parts::Packed) -> Document {
    let head =
        Head { revision: 1, digest: packed.digest.clone(), manifest: packed.manifest.key.clone() };
    let all = packed.parts.iter().chain([&packed.manifest]);
    Document { head, parts: all.map(|part| (part.key.clone(), part.value.clone())).collect() }
}

/// Bytes of root, manifest and changed part that a change of one worker brings to a daemon, when
/// the root record is as full as it gets.
async fn moved_bytes(declared: &Declarations) -> (usize, usize) {
    const CHANGES: usize = 31;
    let standin = StoreStandin::start("127.0.0.1:0").await.unwrap();
    let store = client(&standin.address());
    let mut declared = declared.clone();
    for number in 0..CHANGES {
        declared.workers[number].drain = true;
        feed::publish(store.as_ref(), &declared).await.unwrap();
    }
    let before = parts::pack(&declared).unwrap();
    declared.workers[CHANGES].drain = true;
    feed::publish(store.as_ref(), &declared).await.unwrap();
    let after = parts::pack(&declared).unwrap();
    let root = store::get(store.as_ref(), feed::ROOT, Priority::Bulk).await.unwrap().unwrap();
    let changed = after.parts.iter().filter(|part| !before.parts.contains(part));
    let changed: usize = changed.map(|part| part.value.len()).sum();
    (root.value.len() + after.manifest.value.len() + changed, root.value.len())
}

/// Runs `work` some times and returns its value with the shortest time, in microseconds.
fn timed<T>(mut work: impl FnMut() -> T) -> (T, u64) {
    const RUNS: usize = 5;
    let mut shortest_us = u64::MAX;
    let mut value = None;
    for _ in 0..RUNS {
        let began_us = clock::now_us();
        value = Some(work());
        shortest_us = shortest_us.min(clock::now_us() - began_us);
    }
    (value.unwrap(), shortest_us)
}
