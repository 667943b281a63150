//! The platform's lagging list of live and leaving hosts, read from time to time.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::task;
use http_types::Method;
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::collections::{self, HashMap};
use crate::http::client::{self, Pool};
use crate::store::backoff::Backoff;

/// Path of the list.
pub const PATH: &str = "/v1/hosts";

/// Longest wait for the list, in milliseconds.
const TIMEOUT_MS: u64 = 2_000;

/// State of a host as the platform tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
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

/// The list as last read; the old one is kept while the platform does not answer.
#[derive(Clone, Debug, Default)]
pub struct HostsView {
    /// States by name.
    pub states: HashMap<String, HostState>,
    /// When it was read, in milliseconds on the monotonic clock; nothing before the first time.
    pub read_at_ms: Option<u64>,
}

impl HostsView {
    /// State of a host; [`HostState::Gone`] when it is not listed.
    ///
    /// ```
    /// use hemlockrock::membership::hosts::{HostState, HostsView};
    ///
    /// assert_eq!(HostsView::default().state("worker-1"), HostState::Gone);
    /// ```
    pub fn state(&self, name: &str) -> HostState {
        self.states.get(name).copied().unwrap_or(HostState::Gone)
    }
}

/// Reads the list from time to time.
#[derive(Clone, Debug)]
pub struct HostsReader {
    view: Arc<Mutex<Arc<HostsView>>>,
    /// Ends the task when the last handle is dropped.
    _alive: Arc<async_channel::Receiver<()>>,
}

impl HostsReader {
    /// Starts to read the list at `address` every `read_every_ms`, give or take a part at random.
    pub fn start(pool: Pool, address: impl Into<String>, read_every_ms: u64) -> Self {
        let view = Arc::new(Mutex::new(Arc::new(HostsView::default())));
        let (sender, alive) = async_channel::bounded(1);
        task::spawn(read_often(pool, address.into(), read_every_ms, Arc::clone(&view), sender));
        Self { view, _alive: Arc::new(alive) }
    }

    /// The list as last read.
    pub fn view(&self) -> Arc<HostsView> {
        Arc::clone(&self.view.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

async fn read_often(
    pool: Pool,
    address: String,
    read_every_ms: u64,
    view: Arc<Mutex<Arc<HostsView>>>,
    sender: async_channel::Sender<()>,
) {
    let seed = collections::stable_hash(format!("{}-{}", std::process::id(), clock::now_us()));
    let mut pauses = Backoff::new(read_every_ms, read_every_ms, seed);
    while !sender.is_closed() {
        if let Some(hosts) = read(&pool, &address).await {
            let states = hosts.into_iter().map(|host| (host.name, host.state)).collect();
            let read = HostsView { states, read_at_ms: Some(clock::now_ms()) };
            *view.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(read);
        }
        task::sleep(Duration::from_millis(pauses.next_ms())).await;
    }
}

async fn read(pool: &Pool, address: &str) -> Option<Vec<Host>> {
    let request = client::request(Method::Get, address, PATH).ok()?;
    let reply = pool.send(address, request, TIMEOUT_MS).await.ok()?;
    serde_json::from_slice(&reply.body).ok()
}
