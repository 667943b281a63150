//! A fake of the platform's list of live and leaving hosts, which lags behind.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use tide::{Body, Response, StatusCode};

use crate::clock;
use crate::configs::http::HttpConfig;
use crate::http::error::ApiError;
use crate::http::server;

/// State of a host as the platform tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In service.
    Live,
    /// About to go.
    Leaving,
    /// No longer listed.
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

/// A change of the list, for `POST /standin/hosts`.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostsChange {
    /// Delay with which changes are listed from now on, in milliseconds.
    pub lag_ms: Option<u64>,
    /// Hosts with their new states.
    pub hosts: Vec<Host>,
}

/// The list and the changes that it does not show yet; pure.
#[derive(Debug, Default)]
pub struct HostList {
    lag_ms: u64,
    listed: BTreeMap<String, HostState>,
    pending: VecDeque<(u64, Host)>,
}

impl HostList {
    /// Takes a change, to be listed after the lag.
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

    /// The hosts that the list shows.
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

/// The fake as a running server.
#[derive(Clone, Debug)]
pub struct HostsStandin {
    list: Shared,
    server: server::Server,
}

impl HostsStandin {
    /// Starts the fake on `address`.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(address: &str) -> std::io::Result<Self> {
        let list = Shared::default();
        let mut app = tide::with_state(Arc::clone(&list));
        app.at("/v1/hosts").get(show);
        app.at("/standin/hosts").post(change);
        let server = server::Server::start(address, app, HttpConfig::default()).await?;
        Ok(Self { list, server })
    }

    /// Address of the fake.
    pub fn address(&self) -> String {
        self.server.address().to_string()
    }

    /// Changes the list.
    pub fn change(&self, change: HostsChange) {
        lock(&self.list).change(change, clock::now_ms());
    }
}

async fn show(request: tide::Request<Shared>) -> tide::Result {
    let hosts = lock(request.state()).hosts(clock::now_ms());
    Ok(Response::builder(StatusCode::Ok).body(Body::from_json(&hosts)?).build())
}

async fn change(mut request: tide::Request<Shared>) -> tide::Result {
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
