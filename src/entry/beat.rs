//! Heartbeats to the other entry hosts: to all of the zone, and to one contact in each other zone.

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

/// Beats to the zone for each beat to the contacts in other zones.
const CONTACT_EVERY: u64 = 4;

/// Sends heartbeats until the control thread ends.
pub(super) async fn run(shared: Arc<Shared>) {
    let every = Duration::from_millis(shared.config.peers.heartbeat_every_ms);
    let mut beats = 0_u64;
    while let Some(exchange) = shared.control.ask(Input::Describe).await {
        let own = Arc::new(Exchange { own: exchange.own, zone: Vec::new() });
        for address in addresses(&shared, beats % CONTACT_EVERY == 0) {
            task::spawn(beat(Arc::clone(&shared), address, Arc::clone(&own)));
        }
        beats += 1;
        task::sleep(every).await;
    }
}

async fn beat(shared: Arc<Shared>, address: String, own: Arc<Exchange>) {
    let call = Call {
        address: &address,
        path: peer::HEARTBEAT_PATH,
        token: &shared.config.token,
        timeout_ms: shared.config.peers.call_timeout_ms,
    };
    let answer: Result<Exchange, _> = rpc::call(&shared.peers, &call, own.as_ref()).await;
    if let Ok(answer) = answer {
        hear(&shared, answer);
    }
}

/// Takes in what another host said about itself and its zone.
pub(super) fn hear(shared: &Shared, exchange: Exchange) {
    for heartbeat in exchange.zone.into_iter().chain([exchange.own]) {
        shared.control.send(Input::Heard(Box::new(heartbeat)));
    }
}

/// Addresses of the zone's hosts, and of the contacts if they are due.
fn addresses(shared: &Shared, with_contacts: bool) -> Vec<String> {
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
        } else if with_contacts {
            let rank = |member: &&Member| stable_hash(format!("{}|{}", config.name, member.name));
            found.extend(members.iter().max_by_key(rank).map(|member| member.address.clone()));
        }
    }
    found
}
