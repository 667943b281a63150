//! Which daemons are in the cell: one session lease a process, with its record hanging on it.

mod session;

use serde::{Deserialize, Serialize};

pub use session::Session;

use crate::store::mirror::Snapshot;

/// Prefix of member records.
pub const PREFIX: &str = "cell/members/";

/// What a daemon does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The callers' door.
    Entry,
    /// Places tasks.
    Placer,
}

/// A daemon as its record describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Name, unique among daemons of the role.
    pub name: String,
    /// What it does.
    pub role: Role,
    /// Zone that it is in.
    pub zone: String,
    /// Address for calls between daemons, `IP:port`.
    pub address: String,
    /// Wall time of the start in milliseconds, so that a restarted process differs from the one
    /// before and goes before it.
    pub incarnation: u64,
    /// Revision of the configuration in force there.
    pub config_revision: u64,
    /// Whether it is shutting down.
    pub is_leaving: bool,
}

impl Member {
    /// Key of the member's record.
    pub fn key(&self) -> String {
        let role = match self.role {
            Role::Entry => "entry",
            Role::Placer => "placer",
        };
        format!("{PREFIX}{role}/{}", self.name)
    }
}

/// The members in a copy of the store, by key; records that cannot be read are left out.
pub fn members(snapshot: &Snapshot) -> Vec<Member> {
    let entries = snapshot.with_prefix(PREFIX);
    entries.filter_map(|entry| serde_json::from_slice(&entry.value).ok()).collect()
}
