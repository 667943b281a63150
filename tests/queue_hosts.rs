//! Leadership of real host processes when a leader is stopped, killed or restarted.

#![allow(clippy::unwrap_used, reason = "tests panic on unexpected values")]
#![allow(clippy::disallowed_methods, reason = "the test blocks on its own futures")]

mod platform_support;
mod queue_cell;
mod support;

use std::path::Path;
use std::time::Duration;

use hemlockrock::standin::proxy::{Fault, FaultKind};
use queue_cell::Cell;
use support::eventually;

/// Time limit for a change of the leader; far shorter than the lease.
const FAILOVER_LIMIT: Duration = Duration::from_secs(10);

/// Leases so long that no test passes by waiting for them to expire.
const LONG_LEASE: &str = "leader_ttl_ms: 60000\nrun_lease_ms: 90000\n";

fn cell(name: &str) -> Cell {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let cell = Cell::start_with(&directory, 2, 1, LONG_LEASE);
    eventually("a host leads", FAILOVER_LIMIT, || cell.leader().is_some());
    cell
}

#[test]
fn a_leader_stopped_during_a_store_outage_gives_up_its_term_once_the_store_answers() {
    let mut cell = cell("stopped-without-store");
    let former = cell.leader().unwrap();
    cell.hosts[former].set_store_fault(Fault::new(FaultKind::Cut));
    cell.hosts[former].signal(libc::SIGTERM);
    std::thread::sleep(Duration::from_millis(700));
    cell.hosts[former].set_store_fault(Fault::default());
    eventually("the other host leads", FAILOVER_LIMIT, || cell.leader() == Some(1 - former));
}

#[test]
fn a_restarted_leader_ends_its_former_term_at_once() {
    let mut cell = cell("killed");
    let former = cell.leader().unwrap();
    let token = cell.leader_token();
    cell.hosts[former].kill();
    cell.hosts[former].start();
    eventually("a new term", FAILOVER_LIMIT, || cell.leader_token() > token);
}
