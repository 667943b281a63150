//! Sends heartbeats to the other entry hosts: to all of this zone, and to one host in each other
//! zone.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;

use crate::collections::stable_hash;
use crate::http::rpc::{self, Call};
use crate::membership::{self, Member, Role};

use super::heartbeat::Exchange;
use super::message::Input;
use super::{peer, Shared};

/// Heartbeat rounds within the zone for each one to other zones.
const CROSS_ZONE_EVERY: u64 = 4;

/// Sends heartbeats until the control thread ends.
pub(super) async fn run(shared: Arc<Shared>) {
    let every = Duration::from_millis(shared.config.peers.heartbeat_every_ms);
    let mut rounds = 0_u64;
    while let Some(exchange) = shared.control.ask(Input::HeartbeatExchange).await {
        let own = Arc::new(Exchange { own: exchange.own, zone: Vec::new() });
        for address in addresses(&shared, rounds % CROSS_ZONE_EVERY == 0) {
            task::spawn(send_heartbeat(Arc::clone(&shared), address, Arc::clone(&own)));
        }
        rounds += 1;
        task::sleep(every).await;
    }
}

async fn send_heartbeat(shared: Arc<Shared>, address: String, own: Arc<Exchange>) {
    let call = Call {
        address: &address,
        path: peer::HEARTBEAT_PATH,
        token: &shared.config.token,
        timeout_ms: shared.config.peers.call_timeout_ms,
    };
    let answer: Result<Exchange, _> = rpc::call(&shared.peers, &call, own.as_ref()).await;
    if let Ok(answer) = answer {
        handle_exchange(&shared, answer);
    }
}

/// Passes the heartbeats of another host and of its zone to the control thread.
pub(super) fn handle_exchange(shared: &Shared, exchange: Exchange) {
    for heartbeat in exchange.zone.into_iter().chain([exchange.own]) {
        shared.control.send(Input::Heartbeat(Box::new(heartbeat)));
    }
}

/// Addresses of the zone's hosts, and of one host in each other zone if `with_other_zones`.
fn addresses(shared: &Shared, with_other_zones: bool) -> Vec<String> {
    let config = &shared.config;
    let members = membership::members(&shared.mirror.snapshot());
    let others = members
        .into_iter()
        .filter(|member| member.role == Role::Entry && member.name != config.name);
    let mut zones: BTreeMap<String, Vec<Member>> = BTreeMap::new();
    for member in others {
        zones.entry(member.zone.clone()).or_default().push(member);
    }
    let mut found = Vec::new();
    for (zone, members) in zones {
        if zone == config.zone {
            found.extend(members.into_iter().map(|member| member.address));
        } else if with_other_zones {
            let rank = |member: &&Member| stable_hash(format!("{}|{}", config.name, member.name));
            found.extend(members.iter().max_by_key(rank).map(|member| member.address.clone()));
        }
    }
    found
}
