//! Detects endpoints that are leaving: from the platform's list of hosts, from their own reports,
//! and from the heartbeats of peers.

use crate::collections::{HashMap, HashSet};
use crate::route::{self, EndpointKey, EndpointSignal};

use super::super::message::ReadPurpose;
use super::ControlThread;

/// Time between readings of endpoints that reported that they are leaving, in milliseconds.
pub(super) const READ_EVERY_MS: u64 = 1_000;

/// What is known about leaving endpoints.
#[derive(Debug, Default)]
pub(super) struct Leaving {
    /// Hosts that the platform lists as leaving or gone.
    by_list: HashSet<String>,
    /// Endpoints that reported that they are leaving.
    by_report: HashSet<EndpointKey>,
    /// Whether each endpoint is leaving, as last passed to the dispatcher.
    reported: HashMap<EndpointKey, bool>,
}

impl ControlThread {
    /// Replaces the set of hosts that the platform lists as leaving or gone.
    pub(super) fn set_leaving_hosts(&mut self, leaving: HashSet<String>) {
        self.leaving.by_list = leaving;
        for endpoint in self.owned_endpoints() {
            self.report_leaving(endpoint);
        }
    }

    /// Records whether an endpoint reported that it is leaving.
    pub(super) fn record_leaving_report(&mut self, endpoint: EndpointKey, is_leaving: bool) {
        if is_leaving {
            self.leaving.by_report.insert(endpoint);
        } else {
            self.leaving.by_report.remove(&endpoint);
        }
        self.report_leaving(endpoint);
    }

    /// Initializes the state of an endpoint that was acquired, from the heartbeats of peers.
    pub(super) fn track_leaving(&mut self, endpoint: EndpointKey) {
        self.leaving.reported.remove(&endpoint);
        self.leaving.by_report.remove(&endpoint);
        let name = self.catalog.endpoint(endpoint).map(|found| found.name.clone());
        let recent = self.heartbeats.recent(self.deps.config.peers.heartbeat_age_ms);
        if recent.iter().any(|host| host.leaving.iter().any(|known| Some(known) == name.as_ref())) {
            self.leaving.by_report.insert(endpoint);
        }
        self.report_leaving(endpoint);
    }

    /// Asks the endpoints that reported that they are leaving whether they still are.
    pub(super) fn read_leaving(&mut self) {
        for endpoint in self.owned_endpoints() {
            if self.leaving.by_report.contains(&endpoint) {
                self.read_endpoint(endpoint, ReadPurpose::Leaving);
            }
        }
    }

    /// Names of the owned endpoints that reported that they are leaving.
    pub(super) fn leaving_names(&self) -> Vec<String> {
        let owned = self.ownership.owned();
        let known = self.leaving.by_report.iter().filter(|endpoint| owned.contains_key(*endpoint));
        let mut names: Vec<String> =
            known.filter_map(|key| Some(self.catalog.endpoint(*key)?.name.clone())).collect();
        names.sort();
        names
    }

    fn owned_endpoints(&self) -> Vec<EndpointKey> {
        let mut owned: Vec<EndpointKey> = self.ownership.owned().keys().copied().collect();
        owned.sort();
        owned
    }

    /// Reports to the dispatcher whether an endpoint is leaving, if that changed.
    fn report_leaving(&mut self, endpoint: EndpointKey) {
        let Some(declared) = self.catalog.endpoint(endpoint) else { return };
        let is_leaving = self.leaving.by_report.contains(&endpoint)
            || self.leaving.by_list.contains(&declared.host);
        let before = self.leaving.reported.insert(endpoint, is_leaving).unwrap_or(false);
        if before == is_leaving {
            return;
        }
        let name = declared.name.as_str();
        spdlog::info!("endpoint leaving state changed", kv: { endpoint = name, is_leaving });
        let signal = if is_leaving { EndpointSignal::Leaving } else { EndpointSignal::NotLeaving };
        self.step(route::Event::Signal { endpoint, signal });
    }
}
