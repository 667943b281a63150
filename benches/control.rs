//! Benchmark of configuration changes: propagation time, store calls, and size and CPU time by
//! number of workers.
//!
//! Run with `cargo bench --bench control [-- propagation|outage|calls|sizes]`.
#![allow(clippy::unwrap_used, reason = "a benchmark panics on unexpected values")]
#![allow(clippy::print_stdout, reason = "a benchmark prints its results")]
#![allow(clippy::disallowed_methods, reason = "the binary starts its own runtime")]

#[path = "../tests/control_support/mod.rs"]
mod control_support;

use std::time::Duration;

use async_std::task;
use control_support::daemon::{client, Daemon};
use control_support::{declarations_variant, declarations_with_workers};
use hdrhistogram::Histogram;
use hemlockrock::clock;
use hemlockrock::declarations::feed::{self, Document, Head};
use hemlockrock::declarations::files::{self, Source};
use hemlockrock::declarations::{parts, Declarations};
use hemlockrock::standin::store::faults::{Counters, Faults};
use hemlockrock::standin::store::StoreStandin;
use hemlockrock::store::{self, Priority};

fn main() {
    let selected: Vec<String> =
        std::env::args().skip(1).filter(|name| !name.starts_with('-')).collect();
    let is_selected = |name: &str| {
        selected.is_empty() || selected.iter().any(|selected_name| selected_name == name)
    };
    task::block_on(async {
        if is_selected("sizes") {
            measure_sizes().await;
        }
        for daemons in [8, 24] {
            if is_selected("propagation") {
                measure_propagation(daemons).await;
            }
            if is_selected("outage") {
                let down = Faults { down: true, ..Faults::default() };
                measure_recovery(daemons, "down", down).await;
                let silent = Faults { silent: true, ..Faults::default() };
                measure_recovery(daemons, "silent", silent).await;
            }
            if is_selected("calls") {
                measure_calls(daemons).await;
            }
        }
    });
}

/// A fake store and the daemons that follow it.
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
        cell.wait_until_in_force(1, &mut histogram(), clock::now_ms()).await;
        task::sleep(Duration::from_secs(2)).await;
        cell
    }

    /// Waits until every daemon has applied `revision`; records each daemon's time since
    /// `began_ms`.
    async fn wait_until_in_force(&self, revision: u64, times: &mut Histogram<u64>, began_ms: u64) {
        let mut waiting: Vec<&Daemon> = self.daemons.iter().collect();
        while !waiting.is_empty() {
            waiting.retain(|daemon| {
                let is_done = daemon.revision_in_force() >= revision;
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

fn print_latencies(name: &str, times: &Histogram<u64>) {
    println!(
        "{name}: n {} p50 {} ms p99 {} ms max {} ms",
        times.len(),
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.max()
    );
}

/// Measures the time from the start of a change until each daemon has applied it.
async fn measure_propagation(count: usize) {
    const CHANGES: u64 = 60;
    const PAUSE_MS: u64 = 200;
    let cell = Cell::start(count, &declarations_with_workers(500)).await;
    let store = client(&cell.standin.address());
    let mut declarations = declarations_with_workers(500);
    let mut times = histogram();
    for number in 0..CHANGES {
        let index = usize::try_from(number).unwrap();
        declarations.workers[index].drain = true;
        let began_ms = clock::now_ms();
        let revision = feed::publish(store.as_ref(), &declarations).await.unwrap();
        cell.wait_until_in_force(revision, &mut times, began_ms).await;
        task::sleep(Duration::from_millis(PAUSE_MS)).await;
    }
    print_latencies(&format!("propagation, {count} daemons, 500 workers"), &times);
}

/// Measures the time from the end of a store outage until each daemon has applied a change
/// published at once, and the highest number of store calls in any of the first ten seconds.
async fn measure_recovery(count: usize, name: &str, faults: Faults) {
    const ROUNDS: u64 = 6;
    const OUTAGE_MS: u64 = 12_000;
    const WATCHED_S: u64 = 10;
    let cell = Cell::start(count, &declarations_variant(0)).await;
    let mut times = histogram();
    let (mut writes, mut reads) = (0, 0);
    for round in 1..=ROUNDS {
        cell.standin.set_faults(faults.clone());
        task::sleep(Duration::from_millis(OUTAGE_MS + round * 137)).await;
        cell.standin.set_faults(Faults::default());
        cell.standin.reset_counters();
        let began_ms = clock::now_ms();
        let store = client(&cell.standin.address());
        let counted = max_calls_per_second(&cell.standin, WATCHED_S);
        let changed = async {
            let revision =
                feed::publish(store.as_ref(), &declarations_variant(round)).await.unwrap();
            cell.wait_until_in_force(revision, &mut times, began_ms).await;
        };
        let ((most_writes, most_reads), ()) = futures_lite::future::zip(counted, changed).await;
        writes = most_writes.max(writes);
        reads = most_reads.max(reads);
    }
    print_latencies(&format!("after {OUTAGE_MS} ms {name}, {count} daemons"), &times);
    println!("  most calls in one of the first {WATCHED_S} s: {writes} writes, {reads} reads");
}

/// Highest numbers of writes and of reads, including watches, in any of the next `seconds`.
async fn max_calls_per_second(standin: &StoreStandin, seconds: u64) -> (u64, u64) {
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

/// Measures store calls per second and CPU time without changes, and store calls per change.
async fn measure_calls(count: usize) {
    const IDLE_S: u64 = 30;
    const CHANGES: u64 = 20;
    let cell = Cell::start(count, &declarations_with_workers(2_300)).await;
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
    println!("  CPU time including the fake store: {per_daemon_ms:.2} ms/s per daemon");
    let store = client(&cell.standin.address());
    let mut declarations = declarations_with_workers(2_300);
    let before = cell.standin.counters();
    let began_ms = clock::now_ms();
    for number in 0..CHANGES {
        declarations.workers[usize::try_from(number).unwrap() * 100].drain = true;
        let revision = feed::publish(store.as_ref(), &declarations).await.unwrap();
        cell.wait_until_in_force(revision, &mut histogram(), began_ms).await;
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

/// CPU time of this process, in milliseconds.
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

/// Measures the time to check, pack and accept declarations, the memory of an accepted copy, and
/// the bytes that a change transfers.
async fn measure_sizes() {
    const COPIES: u64 = 20;
    for count in [50, 500, 2_300] {
        let declared = declarations_with_workers(count);
        let text = serde_yaml_ng::to_string(&declared).unwrap();
        let text_bytes = text.len();
        let source = Source { name: "cell.yaml".to_owned(), text };
        let (_, check_us) =
            shortest_run(|| files::merge_and_check(std::slice::from_ref(&source)).unwrap());
        let (packed, pack_us) = shortest_run(|| parts::pack(&declared).unwrap());
        let parts_bytes: usize = packed.parts.iter().map(|part| part.value.len()).sum();
        let document = packed_document(&packed);
        let (_, accept_us) = shortest_run(|| document.unpack().unwrap());
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
        let (moved, root_bytes) = transferred_bytes(&declared).await;
        println!( "{count} workers: {text_bytes} B of YAML, {} parts of {parts_bytes} B; \
             check {check_us} us, pack {pack_us} us, accept {accept_us} us; \
             accepted copy {memory} B; a change transfers {moved} B to a daemon, {root_bytes} B of it root", packed.parts.len() );
    }
}

fn packed_document(packed: &parts::Packed) -> Document {
    let head =
        Head { revision: 1, digest: packed.digest.clone(), manifest: packed.manifest.key.clone() };
    let all = packed.parts.iter().chain([&packed.manifest]);
    Document { head, parts: all.map(|part| (part.key.clone(), part.value.clone())).collect() }
}

/// Bytes that a change of one worker transfers to a daemon: root record, manifest and changed
/// part, and the root record alone. Publishes enough changes first to fill the root record's list
/// of recent changes.
async fn transferred_bytes(declared: &Declarations) -> (usize, usize) {
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

/// Runs `work` five times; returns its last value and the shortest time, in microseconds.
fn shortest_run<T>(mut work: impl FnMut() -> T) -> (T, u64) {
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
