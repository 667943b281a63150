//! Which endpoints are leaving: by the platform's list of hosts, by their own word, or by what a
//! peer heard of them.

use crate::collections::{HashMap, HashSet};
use crate::route::{self, EndpointKey, EndpointSignal};

use super::super::message::Purpose;
use super::Thread;

/// Time between readings of endpoints that said that they leave, in milliseconds.
pub(super) const READ_EVERY_MS: u64 = 1_000;

/// What is known of leaving endpoints.
#[derive(Debug, Default)]
pub(super) struct Leaving {
    by_list: HashSet<String>,
    by_word: HashSet<EndpointKey>,
    told: HashMap<EndpointKey, bool>,
}

impl Thread {
    /// Takes in the hosts that the platform lists as leaving or gone.
    pub(super) fn take_hosts(&mut self, leaving: HashSet<String>) {
        self.leaving.by_list = leaving;
        for endpoint in self.owned_endpoints() {
            self.tell_leaving(endpoint);
        }
    }

    /// Takes in what an endpoint said about itself.
    pub(super) fn take_word(&mut self, endpoint: EndpointKey, is_leaving: bool) {
        if is_leaving {
            self.leaving.by_word.insert(endpoint);
        } else {
            self.leaving.by_word.remove(&endpoint);
        }
        self.tell_leaving(endpoint);
    }

    /// Begins to follow an endpoint that was acquired.
    pub(super) fn begin_signs(&mut self, endpoint: EndpointKey) {
        self.leaving.told.remove(&endpoint);
        self.leaving.by_word.remove(&endpoint);
        let name = self.book.endpoint(endpoint).map(|found| found.name.clone());
        let recent = self.heard.recent(self.parts.config.peers.heartbeat_age_ms);
        if recent.iter().any(|host| host.leaving.iter().any(|known| Some(known) == name.as_ref())) {
            self.leaving.by_word.insert(endpoint);
        }
        self.tell_leaving(endpoint);
    }

    /// Asks endpoints that said that they leave whether they still do.
    pub(super) fn read_leaving(&mut self) {
        for endpoint in self.owned_endpoints() {
            if self.leaving.by_word.contains(&endpoint) {
                self.read_endpoint(endpoint, Purpose::Word);
            }
        }
    }

    /// Names of the owned endpoints that said that they leave.
    pub(super) fn leaving_names(&self) -> Vec<String> {
        let owned = self.ownership.owned();
        let known = self.leaving.by_word.iter().filter(|endpoint| owned.contains_key(*endpoint));
        let mut names: Vec<String> =
            known.filter_map(|key| Some(self.book.endpoint(*key)?.name.clone())).collect();
        names.sort();
        names
    }

    fn owned_endpoints(&self) -> Vec<EndpointKey> {
        let mut owned: Vec<EndpointKey> = self.ownership.owned().keys().copied().collect();
        owned.sort();
        owned
    }

    /// Tells the dispatcher whether an endpoint is leaving, if that is news.
    fn tell_leaving(&mut self, endpoint: EndpointKey) {
        let Some(declared) = self.book.endpoint(endpoint) else { return };
        let is_leaving = self.leaving.by_word.contains(&endpoint)
            || self.leaving.by_list.contains(&declared.host);
        let before = self.leaving.told.insert(endpoint, is_leaving).unwrap_or(false);
        if before == is_leaving {
            return;
        }
        let name = declared.name.as_str();
        spdlog::info!("endpoint leaving", kv: { endpoint = name, is_leaving });
        let sign = if is_leaving { EndpointSignal::Leaving } else { EndpointSignal::NotLeaving };
        self.step(route::Event::Signal { endpoint, signal: sign });
    }
}
