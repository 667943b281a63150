//! What entry hosts tell each other about themselves.

use serde::{Deserialize, Serialize};

use crate::clock;
use crate::collections::HashMap;
use crate::route::ServiceLoad;

/// State of an entry host.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the host.
    pub name: String,
    /// Zone that it is in.
    pub zone: String,
    /// Address for calls between daemons, `IP:port`.
    pub address: String,
    /// Chosen at each start.
    pub incarnation: u64,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// Whether it holds a session with the store now.
    pub is_session_held: bool,
    /// Revision of the configuration in force there.
    pub config_revision: u64,
    /// Owned endpoints that said that they leave.
    pub leaving: Vec<String>,
    /// Load by service name.
    pub loads: Vec<(String, ServiceLoad)>,
}

/// A heartbeat call: the sender's state, answered with the receiver's and its zone's.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Exchange {
    /// The one who speaks.
    pub own: Heartbeat,
    /// Hosts of its zone that it has heard lately; only between zones.
    pub zone: Vec<Heartbeat>,
}

/// Heartbeats of other hosts as last heard.
#[derive(Debug, Default)]
pub struct Heard {
    hosts: HashMap<String, (u64, Heartbeat)>,
}

impl Heard {
    /// Takes in a heartbeat.
    pub fn hear(&mut self, heartbeat: Heartbeat, now_ms: u64) {
        self.hosts.insert(heartbeat.name.clone(), (now_ms, heartbeat));
    }

    /// No longer counts what a host said, such as when it did not take a call.
    pub fn forget(&mut self, name: &str) {
        self.hosts.remove(name);
    }

    /// Hosts heard within `age_ms`, by name.
    pub fn recent(&self, age_ms: u64) -> Vec<&Heartbeat> {
        let oldest_ms = clock::now_ms().saturating_sub(age_ms);
        let recent = self.hosts.values().filter(|(heard_ms, _)| *heard_ms >= oldest_ms);
        let mut found: Vec<&Heartbeat> = recent.map(|(_, heartbeat)| heartbeat).collect();
        found.sort_by(|left, right| left.name.cmp(&right.name));
        found
    }
}
