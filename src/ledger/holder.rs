//! The holder of a zone's ledger: its record in the store, and the I/O around the ledger's state
//! machine.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::collections::{stable_hash, HashMap};
use crate::http::rpc;
use crate::store::{self, Entry, Expect, Priority, Put, PutOutcome, Revision, Store, StoreError};

use super::batch::Batch;
use super::{Action, BeginResult, CommitResult, Event, Ledger, Ticket};

/// Record in the store that names the entry host that holds a zone's ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HolderRecord {
    /// Name of the entry host.
    pub name: String,
    /// Address for calls between daemons, `IP:port`.
    pub address: String,
    /// Incarnation of the host's process, which differs after each start.
    pub incarnation: u64,
}

/// Key of a zone's [`HolderRecord`] in the store.
pub fn holder_key(zone: &str) -> String {
    format!("cell/ledger/{zone}/holder")
}

/// Prefix of the keys of a zone's log in the store.
pub fn log_prefix(zone: &str) -> String {
    format!("ledger/{zone}/log/")
}

/// The zone whose ledger records a key: the declared zone with the highest hash rank for it. `None`
/// if there are no zones.
///
/// ```
/// use hemlockrock::ledger::holder;
///
/// let zones = ["mid-1", "mid-2"];
/// let home = holder::home_zone(zones, "orders/k").unwrap();
/// assert_eq!(holder::home_zone(["mid-2", "mid-1"], "orders/k"), Some(home));
/// ```
pub fn home_zone<'a>(zones: impl IntoIterator<Item = &'a str>, key: &str) -> Option<&'a str> {
    zones.into_iter().max_by_key(|zone| (stable_hash(format!("{key}|{zone}")), *zone))
}

/// The ledger of one zone that this host holds, with the requests that wait for its results.
#[derive(Debug)]
pub struct HeldLedger {
    zone: String,
    ledger: Ledger,
    tickets: HashMap<Ticket, async_channel::Sender<BeginResult>>,
}

impl HeldLedger {
    /// Wraps the ledger of `zone`.
    pub fn new(zone: impl Into<String>, ledger: Ledger) -> Self {
        Self { zone: zone.into(), ledger, tickets: HashMap::default() }
    }

    /// Registers the channel that receives the result of a ticket.
    pub fn wait(&mut self, ticket: Ticket, reply_to: async_channel::Sender<BeginResult>) {
        self.tickets.insert(ticket, reply_to);
    }

    /// Passes an event to the ledger, sends results to waiting requests, and returns the store
    /// calls to make.
    pub fn step(&mut self, event: Event, now_ms: u64) -> Vec<StoreCall> {
        let mut actions = Vec::new();
        self.ledger.step(event, now_ms, &mut actions);
        actions.into_iter().filter_map(|action| self.execute(action)).collect()
    }

    /// Ends the holding: all waiting requests get [`BeginResult::NotHolder`].
    pub fn resign(mut self) {
        let mut actions = Vec::new();
        self.ledger.resign(&mut actions);
        for action in actions {
            let _ = self.execute(action);
        }
    }

    /// Latest time at which the next tick is due; `None` if no work is pending.
    pub fn next_due_ms(&self) -> Option<u64> {
        self.ledger.next_due_ms()
    }

    /// Whether the ledger's log has been read.
    pub fn is_loaded(&self) -> bool {
        self.ledger.is_loaded()
    }

    /// Number of requests that wait for a result.
    pub fn waiting(&self) -> usize {
        self.tickets.len()
    }

    fn execute(&mut self, action: Action) -> Option<StoreCall> {
        match action {
            Action::Load => Some(StoreCall::Load { prefix: log_prefix(&self.zone) }),
            Action::Commit { slot, expect, batch, timeout_ms } => {
                let key = format!("{}{slot:06}", log_prefix(&self.zone));
                Some(StoreCall::Commit { key, expect, batch, timeout_ms })
            }
            Action::Answer { ticket, result } => {
                if let Some(reply_to) = self.tickets.remove(&ticket) {
                    let _ = reply_to.try_send(result);
                }
                None
            }
        }
    }
}

/// A call to the store that the ledger requested.
#[derive(Clone, Debug)]
pub enum StoreCall {
    /// Read the whole log.
    Load {
        /// Prefix of the log's keys.
        prefix: String,
    },
    /// Write one slot of the log.
    Commit {
        /// Key of the slot in the store.
        key: String,
        /// Condition of the write: the revision that the slot must have.
        expect: Expect,
        /// Content to write.
        batch: Batch,
        /// Time after which the answer counts as lost, in milliseconds.
        timeout_ms: u64,
    },
}

impl StoreCall {
    /// Performs the call and returns the event that reports its result to the ledger.
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
    let Ok((_, entries)) = store::list(store, prefix, Priority::Interactive).await else {
        return Event::LoadFailed;
    };
    let log: Option<Vec<(Revision, Batch)>> = entries.iter().map(read).collect();
    match log {
        Some(log) => Event::Loaded(log),
        None => {
            spdlog::error!("cannot decode the ledger log under {}", prefix);
            Event::LoadFailed
        }
    }
}

async fn commit(store: &dyn Store, key: String, expect: Expect, batch: &Batch) -> CommitResult {
    let Ok(value) = rpc::encode(batch) else { return CommitResult::Away };
    let put = Put { key, value: Bytes::from(value), expect, lease: None };
    match store::put(store, put, Priority::Interactive).await {
        Ok(PutOutcome::Written(revision)) => CommitResult::Written(revision),
        Ok(PutOutcome::Conflict(current)) => {
            CommitResult::Conflict(current.as_ref().and_then(read))
        }
        Err(StoreError::Indeterminate(_)) => CommitResult::Lost,
        Err(_) => CommitResult::Away,
    }
}

fn read(entry: &Entry) -> Option<(Revision, Batch)> {
    Some((entry.modified, rpc::decode(&entry.value).ok()?))
}
