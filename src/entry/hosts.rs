//! Polls the platform's list of hosts for those that are leaving or gone.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use http_types::Method;
use serde::Deserialize;

use crate::collections::HashSet;
use crate::http::client::{self, Pool};

use super::message::Input;
use super::Shared;

/// Path of the list at the platform's API.
const HOSTS_PATH: &str = "/v1/hosts";

/// A host in the list.
#[derive(Debug)]
#[derive(Deserialize)]
struct Host {
    name: String,
    state: HostState,
}

#[derive(Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum HostState {
    Live,
    Leaving,
    Gone,
}

/// Polls the list until the host shuts down; returns at once if the settings give no address.
pub(super) async fn run(shared: Arc<Shared>) {
    let config = &shared.config.hosts;
    if config.address.is_empty() {
        return;
    }
    let pool = Pool::new(shared.config.http.clone());
    while !shared.is_stopped() {
        match read_hosts(&pool, &config.address, config.timeout_ms).await {
            Some(hosts) => {
                let leaving = hosts.into_iter().filter(|host| host.state != HostState::Live);
                let leaving: HashSet<String> = leaving.map(|host| host.name).collect();
                shared.control.send(Input::Hosts(leaving));
            }
            None => spdlog::debug!("cannot read the list of hosts from {}", config.address),
        }
        task::sleep(Duration::from_millis(config.every_ms)).await;
    }
}

async fn read_hosts(pool: &Pool, address: &str, timeout_ms: u64) -> Option<Vec<Host>> {
    let request = client::request(Method::Get, address, HOSTS_PATH).ok()?;
    let reply = pool.send(address, request, timeout_ms).await.ok()?;
    serde_json::from_slice(&reply.body).ok()
}
