//! Heartbeats that entry hosts exchange.

use serde::{Deserialize, Serialize};

use crate::clock;
use crate::collections::HashMap;
use crate::route::ServiceLoad;

/// State of an entry host, as it reports it to the others.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the host.
    pub name: String,
    /// Availability zone that it is in.
    pub zone: String,
    /// Address for calls between daemons, `IP:port`.
    pub address: String,
    /// Incarnation of its process, which differs after each start.
    pub incarnation: u64,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// Whether it holds a session with the store.
    pub is_session_held: bool,
    /// Revision of the configuration in force there.
    pub config_revision: u64,
    /// Names of the endpoints that it owns and that reported that they are leaving.
    pub leaving: Vec<String>,
    /// Load of its dispatcher by service name.
    pub loads: Vec<(String, ServiceLoad)>,
}

/// Body of a heartbeat call and of its answer.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Exchange {
    /// Heartbeat of the sender.
    pub own: Heartbeat,
    /// Recent heartbeats of the other hosts in the sender's zone; empty in calls, and in answers
    /// within one zone.
    pub zone: Vec<Heartbeat>,
}

/// Latest heartbeat of each other entry host.
#[derive(Debug, Default)]
pub struct PeerHeartbeats {
    /// By host name, with the time of receipt on the monotonic clock in milliseconds.
    hosts: HashMap<String, (u64, Heartbeat)>,
}

impl PeerHeartbeats {
    /// Stores a heartbeat received at `now_ms`, which replaces the host's previous one.
    pub fn record(&mut self, heartbeat: Heartbeat, now_ms: u64) {
        self.hosts.insert(heartbeat.name.clone(), (now_ms, heartbeat));
    }

    /// Discards the heartbeat of a host, for example when a call to it failed.
    pub fn forget(&mut self, name: &str) {
        self.hosts.remove(name);
    }

    /// Heartbeats received within the last `age_ms`, sorted by host name.
    pub fn recent(&self, age_ms: u64) -> Vec<&Heartbeat> {
        let oldest_ms = clock::now_ms().saturating_sub(age_ms);
        let recent = self.hosts.values().filter(|(heard_ms, _)| *heard_ms >= oldest_ms);
        let mut found: Vec<&Heartbeat> = recent.map(|(_, heartbeat)| heartbeat).collect();
        found.sort_by(|left, right| left.name.cmp(&right.name));
        found
    }
}
