//! Follows the platform's list of live and leaving hosts.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use http_types::Method;
use serde::Deserialize;

use crate::collections::HashSet;
use crate::http::client::{self, Pool};

use super::message::Input;
use super::Shared;

/// Path of the list.
const PATH: &str = "/v1/hosts";

/// A host in the list.
#[derive(Debug)]
#[derive(Deserialize)]
struct Host {
    name: String,
    state: State,
}

#[derive(Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Live,
    Leaving,
    Gone,
}

/// Reads the list over and over; returns at once if the settings name none.
pub(super) async fn run(shared: Arc<Shared>) {
    let config = &shared.config.hosts;
    if config.address.is_empty() {
        return;
    }
    let pool = Pool::new(shared.config.http.clone());
    while !shared.is_stopped() {
        match read(&pool, &config.address, config.timeout_ms).await {
            Some(hosts) => {
                let away = hosts.into_iter().filter(|host| host.state != State::Live);
                let leaving: HashSet<String> = away.map(|host| host.name).collect();
                shared.control.send(Input::Hosts(leaving));
            }
            None => spdlog::debug!("the list of hosts was not read"),
        }
        task::sleep(Duration::from_millis(config.every_ms)).await;
    }
}

async fn read(pool: &Pool, address: &str, timeout_ms: u64) -> Option<Vec<Host>> {
    let request = client::request(Method::Get, address, PATH).ok()?;
    let reply = pool.send(address, request, timeout_ms).await.ok()?;
    serde_json::from_slice(&reply.body).ok()
}
