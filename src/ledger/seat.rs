//! The seat of a zone's ledger: who holds it, and the calls to the store that its state machine asks for.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::collections::{stable_hash, HashMap};
use crate::http::rpc;
use crate::store::{self, Entry, Expect, Priority, Put, PutOutcome, Revision, Store, StoreError};

use super::batch::Batch;
use super::{Action, CommitResult, Event, KeyVerdict, Ledger, Ticket};

/// The record that says which entry host holds the ledger of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Holder {
    /// Name of the host.
    pub name: String,
    /// Address for calls between daemons, `IP:port`.
    pub address: String,
    /// Start of the host's process.
    pub incarnation: u64,
}

/// Key of the holder's record of a zone.
pub fn holder_key(zone: &str) -> String {
    format!("cell/ledger/{zone}/holder")
}

/// Prefix of a zone's log.
pub fn log_prefix(zone: &str) -> String {
    format!("ledger/{zone}/log/")
}

/// The zone whose ledger keeps a key: the first by rank among all declared zones.
///
/// ```
/// use hemlockrock::ledger::seat;
///
/// let zones = ["mid-1", "mid-2"];
/// let home = seat::home_zone(zones, "orders/k").unwrap();
/// assert_eq!(seat::home_zone(["mid-2", "mid-1"], "orders/k"), Some(home));
/// ```
pub fn home_zone<'a>(zones: impl IntoIterator<Item = &'a str>, key: &str) -> Option<&'a str> {
    zones.into_iter().max_by_key(|zone| (stable_hash(format!("{key}|{zone}")), *zone))
}

/// The ledger of one zone, held by this host.
#[derive(Debug)]
pub struct Seat {
    zone: String,
    ledger: Ledger,
    tickets: HashMap<Ticket, async_channel::Sender<KeyVerdict>>,
}

impl Seat {
    /// Takes the seat of `zone`.
    pub fn new(zone: impl Into<String>, ledger: Ledger) -> Self {
        Self { zone: zone.into(), ledger, tickets: HashMap::default() }
    }

    /// Notes who waits for the verdict of a ticket.
    pub fn wait(&mut self, ticket: Ticket, verdict: async_channel::Sender<KeyVerdict>) {
        self.tickets.insert(ticket, verdict);
    }

    /// Drives the ledger, tells those that wait, and returns the calls to the store.
    pub fn step(&mut self, event: Event, now_ms: u64) -> Vec<StoreCall> {
        let mut actions = Vec::new();
        self.ledger.step(event, now_ms, &mut actions);
        actions.into_iter().filter_map(|action| self.act(action)).collect()
    }

    /// Tells all that wait to ask elsewhere.
    pub fn resign(mut self) {
        let mut actions = Vec::new();
        self.ledger.resign(&mut actions);
        for action in actions {
            let _ = self.act(action);
        }
    }

    /// When the ledger has something to do at the latest, if ever.
    pub fn next_due_ms(&self) -> Option<u64> {
        self.ledger.next_due_ms()
    }

    /// Requests that wait for the ledger.
    pub fn waiting(&self) -> usize {
        self.tickets.len()
    }

    fn act(&mut self, action: Action) -> Option<StoreCall> {
        match action {
            Action::Load => Some(StoreCall::Load { prefix: log_prefix(&self.zone) }),
            Action::Commit { place, expect, batch, timeout_ms } => {
                let key = format!("{}{place:06}", log_prefix(&self.zone));
                Some(StoreCall::Commit { key, expect, batch, timeout_ms })
            }
            Action::Answer { ticket, verdict } => {
                if let Some(waiting) = self.tickets.remove(&ticket) {
                    let _ = waiting.try_send(verdict);
                }
                None
            }
        }
    }
}

/// A call to the store that a ledger asks for.
#[derive(Clone, Debug)]
pub enum StoreCall {
    /// Read the whole log.
    Load {
        /// Prefix of the log.
        prefix: String,
    },
    /// Write a place of the log.
    Commit {
        /// Key of the place.
        key: String,
        /// What the place has to hold.
        expect: Expect,
        /// What is written.
        batch: Batch,
        /// Time after which the answer is taken as lost, in milliseconds.
        timeout_ms: u64,
    },
}

impl StoreCall {
    /// Carries out the call and tells the ledger's next event.
    pub async fn run(self, store: Arc<dyn Store>) -> Event {
        match self {
            Self::Load { prefix } => load(store.as_ref(), &prefix).await,
            Self::Commit { key, expect, batch, timeout_ms } => {
                let limit = Duration::from_millis(timeout_ms);
                let written = commit(store.as_ref(), key, expect, &batch);
                let result = async_std::future::timeout(limit, written).await;
                Event::Committed(result.unwrap_or(CommitResult::Lost))
            }
        }
    }
}

async fn load(store: &dyn Store, prefix: &str) -> Event {
    let Ok((_, entries)) = store::list(store, prefix, Priority::Record).await else {
        return Event::LoadFailed;
    };
    let log: Option<Vec<(Revision, Batch)>> = entries.iter().map(read).collect();
    match log {
        Some(log) => Event::Loaded(log),
        None => {
            spdlog::error!("the ledger's log under {} cannot be read", prefix);
            Event::LoadFailed
        }
    }
}

async fn commit(store: &dyn Store, key: String, expect: Expect, batch: &Batch) -> CommitResult {
    let Ok(value) = rpc::encode(batch) else { return CommitResult::Away };
    let put = Put { key, value: Bytes::from(value), expect, lease: None };
    match store::put(store, put, Priority::Record).await {
        Ok(PutOutcome::Written(revision)) => CommitResult::Written(revision),
        Ok(PutOutcome::Conflict(current)) => {
            CommitResult::Conflict(current.as_ref().and_then(read))
        }
        Err(StoreError::Lost(_)) => CommitResult::Lost,
        Err(_) => CommitResult::Away,
    }
}

fn read(entry: &Entry) -> Option<(Revision, Batch)> {
    Some((entry.modified, rpc::decode(&entry.value).ok()?))
}
