//! Membership of the cell. Each daemon keeps one lease in the store with its member record
//! attached, so the record disappears when the daemon stops renewing the lease.

mod session;

use serde::{Deserialize, Serialize};

pub use session::Session;

use crate::store::mirror::Snapshot;

/// Key prefix of member records.
pub const PREFIX: &str = "cell/members/";

/// Role of a daemon in the cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Entry host: accepts requests from callers and routes them.
    Entry,
    /// Placer: assigns tasks to workers.
    Placer,
}

/// Record of a daemon that is in the cell.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Name, unique among daemons of the role.
    pub name: String,
    /// Role of the daemon.
    pub role: Role,
    /// Availability zone that the daemon runs in.
    pub zone: String,
    /// Address for calls between daemons, `IP:port`.
    pub address: String,
    /// Start of the process, in milliseconds since the Unix epoch. Tells a restarted process from
    /// the earlier one of the same name; the higher incarnation keeps the name. Increased by one
    /// each time the lease is lost.
    pub incarnation: u64,
    /// Revision of the declarations that the daemon has applied; 0 for none.
    pub config_revision: u64,
    /// Whether the daemon is shutting down.
    pub is_leaving: bool,
}

impl Member {
    /// Store key of the record.
    pub fn key(&self) -> String {
        let role = match self.role {
            Role::Entry => "entry",
            Role::Placer => "placer",
        };
        format!("{PREFIX}{role}/{}", self.name)
    }
}

/// Returns the member records in a snapshot of the store, in key order. Skips records that
/// cannot be decoded.
pub fn members(snapshot: &Snapshot) -> Vec<Member> {
    let entries = snapshot.with_prefix(PREFIX);
    entries.filter_map(|entry| serde_json::from_slice(&entry.value).ok()).collect()
}
