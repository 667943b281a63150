//! Real hosts between stand-ins of the platform: who leads when hosts come and go.

#![allow(clippy::unwrap_used, reason = "a test")]
#![allow(clippy::disallowed_methods, reason = "the top of a test")]

mod platform_support;
mod queue_cell;
mod support;

use std::path::Path;
use std::time::Duration;

use hemlockrock::standin::proxy::{Fault, Kind};
use queue_cell::Cell;
use support::eventually;

const SOON: Duration = Duration::from_secs(10);

/// A lease that no case can wait for.
const LONG_LEASE: &str = "leader_ttl_ms: 60000\nrun_lease_ms: 90000\n";

fn cell(name: &str) -> Cell {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let cell = Cell::start_with(&directory, 2, 1, LONG_LEASE);
    eventually("a host leads", SOON, || cell.leader().is_some());
    cell
}

#[test]
fn a_leader_that_is_stopped_while_the_store_is_away_leaves_its_term_once_it_is_back() {
    let mut cell = cell("stopped-without-store");
    let former = cell.leader().unwrap();
    cell.hosts[former].set_store_fault(Fault::new(Kind::Cut));
    cell.hosts[former].signal(libc::SIGTERM);
    std::thread::sleep(Duration::from_millis(700));
    cell.hosts[former].set_store_fault(Fault::default());
    eventually("the other host leads", SOON, || cell.leader() == Some(1 - former));
}

#[test]
fn a_leader_that_is_killed_and_starts_again_leaves_its_former_term_at_once() {
    let mut cell = cell("killed");
    let former = cell.leader().unwrap();
    let token = cell.leader_token();
    cell.hosts[former].kill();
    cell.hosts[former].begin();
    eventually("a new term", SOON, || cell.leader_token() > token);
}
