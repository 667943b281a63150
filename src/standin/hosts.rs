//! A fake of the platform's list of live and leaving hosts.
//!
//! The list shows changes with a configurable lag, as the platform's does.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use tide::{Body, Response, StatusCode};

use crate::clock;
use crate::configs::http::HttpConfig;
use crate::http::error::ApiError;
use crate::http::server;

/// State of a host as the platform reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In service.
    Live,
    /// Announced to shut down.
    Leaving,
    /// Shut down; removes the host from the list.
    Gone,
}

/// A host in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub name: String,
    /// State of the host.
    pub state: HostState,
}

/// A change of the list, the body of `POST /standin/hosts`.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostsChange {
    /// Delay after which this and later changes are listed, in milliseconds; absent keeps the
    /// current delay.
    pub lag_ms: Option<u64>,
    /// Hosts that change, with their new states; others stay as they are.
    pub hosts: Vec<Host>,
}

/// The list of hosts and the changes that it does not show yet; does no I/O and reads no clock.
#[derive(Debug, Default)]
pub struct HostList {
    lag_ms: u64,
    listed: BTreeMap<String, HostState>,
    /// Changes with the time from which they are listed, in milliseconds.
    pending: VecDeque<(u64, Host)>,
}

impl HostList {
    /// Queues a change, to be listed once the lag has passed.
    ///
    /// ```
    /// use hemlockrock::standin::hosts::{Host, HostList, HostState, HostsChange};
    ///
    /// let mut list = HostList::default();
    /// let host = Host { name: "w1".into(), state: HostState::Live };
    /// list.change(HostsChange { lag_ms: Some(100), hosts: vec![host] }, 0);
    /// assert!(list.hosts(99).is_empty());
    /// assert_eq!(list.hosts(100).len(), 1);
    /// ```
    pub fn change(&mut self, change: HostsChange, now_ms: u64) {
        self.lag_ms = change.lag_ms.unwrap_or(self.lag_ms);
        let shown_at_ms = now_ms + self.lag_ms;
        self.pending.extend(change.hosts.into_iter().map(|host| (shown_at_ms, host)));
    }

    /// Hosts listed at `now_ms`, in the order of their names.
    pub fn hosts(&mut self, now_ms: u64) -> Vec<Host> {
        while self.pending.front().is_some_and(|(at_ms, _)| *at_ms <= now_ms) {
            let Some((_, host)) = self.pending.pop_front() else { break };
            match host.state {
                HostState::Gone => self.listed.remove(&host.name),
                state => self.listed.insert(host.name, state),
            };
        }
        let listed = self.listed.iter();
        listed.map(|(name, state)| Host { name: name.clone(), state: *state }).collect()
    }
}

type Shared = Arc<Mutex<HostList>>;

/// A running fake of the host list.
#[derive(Clone, Debug)]
pub struct HostsStandin {
    list: Shared,
    server: server::Server,
}

impl HostsStandin {
    /// Starts the fake on `address`, with an empty list and no lag.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(address: &str) -> std::io::Result<Self> {
        let list = Shared::default();
        let mut app = tide::with_state(Arc::clone(&list));
        app.at("/v1/hosts").get(handle_list);
        app.at("/standin/hosts").post(handle_change);
        let server = server::Server::start(address, app, HttpConfig::default()).await?;
        Ok(Self { list, server })
    }

    /// Address on which the fake listens, `IP:port`.
    pub fn address(&self) -> String {
        self.server.address().to_string()
    }

    /// Changes the list, as `POST /standin/hosts` does.
    pub fn change(&self, change: HostsChange) {
        lock(&self.list).change(change, clock::now_ms());
    }
}

async fn handle_list(request: tide::Request<Shared>) -> tide::Result {
    let hosts = lock(request.state()).hosts(clock::now_ms());
    Ok(Response::builder(StatusCode::Ok).body(Body::from_json(&hosts)?).build())
}

async fn handle_change(mut request: tide::Request<Shared>) -> tide::Result {
    let body = request.body_bytes().await?;
    match serde_json::from_slice(&body) {
        Ok(change) => lock(request.state()).change(change, clock::now_ms()),
        Err(error) => return Ok(ApiError::new(400, "bad_hosts", error.to_string()).to_response()),
    }
    Ok(Response::new(StatusCode::NoContent))
}

fn lock(list: &Mutex<HostList>) -> MutexGuard<'_, HostList> {
    list.lock().unwrap_or_else(PoisonError::into_inner)
}
