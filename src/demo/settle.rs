//! Waits for a cell to settle: all hosts ready, one configuration in force, requests answered.

use std::time::Duration;

use async_std::task;
use http_types::Method;

use crate::clock;
use crate::configs::http::HttpConfig;
use crate::declarations::feed;
use crate::demo::cell::Cell;
use crate::demo::host;
use crate::http::client::{self, Pool};
use crate::load::driver::RUN_HEADER;
use crate::membership::{self, Member};
use crate::outcome::{Outcome, OUTCOME_HEADER};
use crate::store::{Answer, Operation};

/// Interval between checks, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 200;

/// Timeout of a probe request, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 2_000;

/// Waits until the cell has settled, at most `limit_ms`.
///
/// Returns what the last check found unsettled; empty if the cell settled in time.
pub async fn wait(cell: &Cell, service: &str, limit_ms: u64) -> Vec<String> {
    let pool = Pool::new(HttpConfig::default());
    let ends_at_ms = clock::now_ms() + limit_ms;
    let mut round = 0_u32;
    loop {
        let mut unsettled = Vec::new();
        check_ready(cell, &pool, &mut unsettled).await;
        check_revisions(cell, &mut unsettled);
        check_requests(cell, &pool, service, round, &mut unsettled).await;
        if unsettled.is_empty() || clock::now_ms() >= ends_at_ms {
            return unsettled;
        }
        round += 1;
        task::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
    }
}

async fn check_ready(cell: &Cell, pool: &Pool, unsettled: &mut Vec<String>) {
    for slot in &cell.host_slots {
        for address in [slot.host.entry_address(), slot.host.placer_address()] {
            if !host::is_ready(pool, &address).await {
                unsettled.push(format!("host {} is not ready", slot.host.name));
            }
        }
    }
}

/// Checks that both daemons of each host report the configuration revision of the root record.
fn check_revisions(cell: &Cell, unsettled: &mut Vec<String>) {
    let Some(root_revision) = read_root_revision(cell) else {
        unsettled.push("there is no root record".to_owned());
        return;
    };
    let members = read_members(cell);
    for slot in &cell.host_slots {
        let host_members = members.iter().filter(|member| member.name.ends_with(&slot.host.name));
        let in_force =
            host_members.filter(|member| member.config_revision == root_revision).count();
        const DAEMONS_PER_HOST: usize = 2;
        if in_force < DAEMONS_PER_HOST {
            unsettled
                .push(format!("host {}: revision {root_revision} not in force", slot.host.name));
        }
    }
}

/// Revision of the configuration in force, from the root record in the store.
fn read_root_revision(cell: &Cell) -> Option<u64> {
    let operation = Operation::Get { key: feed::ROOT.to_owned() };
    let answer = cell.store.state().apply(operation, clock::now_ms());
    let Answer::Entry { entry: Some(entry) } = answer else { return None };
    let root: serde_json::Value = serde_json::from_slice(&entry.value).ok()?;
    root.get("revision")?.as_u64()
}

fn read_members(cell: &Cell) -> Vec<Member> {
    let operation = Operation::List { prefix: membership::PREFIX.to_owned() };
    let answer = cell.store.state().apply(operation, clock::now_ms());
    let Answer::Entries { entries, .. } = answer else { return Vec::new() };
    entries.iter().filter_map(|entry| serde_json::from_slice(&entry.value).ok()).collect()
}

/// Checks that each host answers one idempotent and one keyed request with `done`.
async fn check_requests(
    cell: &Cell,
    pool: &Pool,
    service: &str,
    round: u32,
    unsettled: &mut Vec<String>,
) {
    for slot in &cell.host_slots {
        for is_idempotent in [true, false] {
            let key = format!("settle-{}-{round}-{is_idempotent}", slot.host.name);
            let address = slot.caller_proxy.address();
            if !is_done(pool, &address, service, &key, is_idempotent).await {
                let kind = if is_idempotent { "idempotent" } else { "keyed" };
                unsettled.push(format!("host {}: {kind} request not done", slot.host.name));
            }
        }
    }
}

async fn is_done(
    pool: &Pool,
    address: &str,
    service: &str,
    key: &str,
    is_idempotent: bool,
) -> bool {
    let path = format!("/v1/services/{service}/requests");
    let Ok(mut request) = client::request(Method::Post, address, &path) else { return false };
    request.insert_header("Idempotency-Key", key);
    request.insert_header("Hemlock-Idempotent", is_idempotent.to_string());
    request.insert_header("Hemlock-Deadline-Ms", "1000");
    request.insert_header("Hemlock-Kind", "settle");
    request.insert_header(RUN_HEADER, "5");
    request.set_body(key);
    let Ok(reply) = pool.send(address, request, PROBE_TIMEOUT_MS).await else { return false };
    reply.header(OUTCOME_HEADER).and_then(Outcome::parse) == Some(Outcome::Done)
}
