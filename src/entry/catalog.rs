//! Catalog of the declared endpoints, with numeric keys for the names of services, endpoints and
//! peers.

use crate::collections::{self, HashMap};
use crate::declarations::Declarations;
use crate::route::{CallerKey, EndpointKey, KindKey, PeerKey, ServiceKey};

/// A declared endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Key on this host.
    pub key: EndpointKey,
    /// Name made of service, endpoint and address; the same on every host.
    pub name: String,
    /// Name of the host that it is on, as in the platform's list.
    pub host: String,
    /// Service that it serves.
    pub service: ServiceKey,
    /// Availability zone that it is in.
    pub zone: String,
    /// Address, `IP:port`.
    pub address: String,
    /// Most requests that it runs at once.
    pub slots: u32,
}

/// Declared endpoints, and the names and keys of services, endpoints and peers. Keys stay valid
/// when declarations change.
#[derive(Debug, Default)]
pub struct Catalog {
    services: NameTable,
    endpoint_names: NameTable,
    peers: NameTable,
    endpoints: HashMap<EndpointKey, Endpoint>,
}

impl Catalog {
    /// Replaces the declared services and endpoints.
    pub fn declare(&mut self, declarations: &Declarations) {
        self.endpoints.clear();
        for service in &declarations.services {
            let service_key = ServiceKey(self.services.key(&service.name));
            for declared in &service.endpoints {
                let name = format!("{}/{}@{}", service.name, declared.name, declared.address);
                let key = EndpointKey(self.endpoint_names.key(&name));
                let endpoint = Endpoint {
                    key,
                    name,
                    host: declared.name.clone(),
                    service: service_key,
                    zone: declared.zone.clone(),
                    address: declared.address.clone(),
                    slots: declared.slots,
                };
                self.endpoints.insert(key, endpoint);
            }
        }
    }

    /// The declared endpoints of a zone, sorted by key.
    pub fn endpoints_in(&self, zone: &str) -> Vec<Endpoint> {
        let inside = self.endpoints.values().filter(|endpoint| endpoint.zone == zone);
        let mut found: Vec<Endpoint> = inside.cloned().collect();
        found.sort_by_key(|endpoint| endpoint.key);
        found
    }

    /// The endpoint with this key, if it is declared now.
    pub fn endpoint(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(&key)
    }

    /// Key of the endpoint with this name, if it was ever declared.
    pub fn endpoint_named(&self, name: &str) -> Option<EndpointKey> {
        self.endpoint_names.find(name).map(EndpointKey)
    }

    /// Key of the service with this name, if it was ever declared.
    pub fn service(&self, name: &str) -> Option<ServiceKey> {
        self.services.find(name).map(ServiceKey)
    }

    /// Name of a service; empty if the key is unknown.
    pub fn service_name(&self, key: ServiceKey) -> &str {
        self.services.name(key.0)
    }

    /// Key of the peer with this name; assigns one if it is new.
    pub fn peer(&mut self, name: &str) -> PeerKey {
        PeerKey(self.peers.key(name))
    }

    /// Name of a peer; empty if the key is unknown.
    pub fn peer_name(&self, key: PeerKey) -> &str {
        self.peers.name(key.0)
    }
}

/// Key of a kind of work. Kinds with the same hash share one run time estimate.
pub fn kind_key(service: &str, kind: &str) -> KindKey {
    KindKey(short_hash(&format!("{service}/{kind}")))
}

/// Key of a caller. Callers with the same hash share one fair share.
pub fn caller_key(caller: &str) -> CallerKey {
    CallerKey(short_hash(caller))
}

#[allow(clippy::cast_possible_truncation, reason = "the low half of the hash is wanted")]
fn short_hash(text: &str) -> u32 {
    collections::stable_hash(text) as u32
}

/// Names numbered in order of first use.
#[derive(Debug, Default)]
struct NameTable {
    keys: HashMap<String, u32>,
    names: Vec<String>,
}

impl NameTable {
    fn key(&mut self, name: &str) -> u32 {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = u32::try_from(self.names.len()).unwrap_or(u32::MAX);
        self.keys.insert(name.to_owned(), key);
        self.names.push(name.to_owned());
        key
    }

    fn find(&self, name: &str) -> Option<u32> {
        self.keys.get(name).copied()
    }

    fn name(&self, key: u32) -> &str {
        self.names.get(key as usize).map_or("", String::as_str)
    }
}
