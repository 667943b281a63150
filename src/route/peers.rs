//! The dispatchers of other entry hosts, and when a request is better off there.
//!
//! A heartbeat is old within milliseconds of work. Between heartbeats the
//! requests that were forwarded to a peer are added to its load and taken to
//! end at the rate of its slots; the peer's other load is taken to stay.

use super::estimate::Class;
use super::message::{PeerKey, PeerLoad, ServiceKey, ServiceLoad};
use crate::collections::HashMap;

/// Trip that is assumed at least, in milliseconds.
const MIN_TRIP_MS: f64 = 0.1;

/// Run time that is assumed at least, in milliseconds.
const MIN_RUN_MS: f64 = 0.25;

/// The last known load of other dispatchers.
#[derive(Debug)]
pub(super) struct Peers {
    loads: Vec<PeerLoad>,
    forwarded: HashMap<(PeerKey, ServiceKey), Forwarded>,
    heard_at_ms: u64,
    max_age_ms: u64,
}

/// Requests that were forwarded to a peer and are taken to be there still.
#[derive(Clone, Copy, Debug, Default)]
struct Forwarded {
    open: f64,
    at_ms: u64,
    open_at_heartbeat: f64,
}

impl Forwarded {
    /// Those that have not ended yet at a peer with this load.
    fn open(&self, load: &ServiceLoad, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let all = self.others(load) + self.open;
        let running_part = (f64::from(load.slots) / all.max(1.0)).min(1.0);
        self.open * (-age_ms * running_part / load.mean_run_ms.max(MIN_RUN_MS)).exp()
    }

    fn add(&mut self, load: &ServiceLoad, now_ms: u64) {
        self.open = self.open(load, now_ms) + 1.0;
        self.at_ms = now_ms;
    }

    /// Requests at the peer that came another way.
    fn others(&self, load: &ServiceLoad) -> f64 {
        (requests(load) - self.open_at_heartbeat).max(0.0)
    }

    /// Expected wait of one more request at the peer, in milliseconds.
    fn wait_ms(&self, load: &ServiceLoad, class: Class, now_ms: u64) -> f64 {
        let slots = f64::from(load.slots);
        let waiting_then = requests(load) + 1.0 - slots;
        let waiting_now = self.others(load) + self.open(load, now_ms) + 1.0 - slots;
        let said_ms = match class {
            Class::Short => load.short_wait_ms,
            Class::Long => load.long_wait_ms,
        };
        if said_ms > 0.0 && waiting_then >= 1.0 {
            return said_ms * (waiting_now / waiting_then).max(0.0);
        }
        said_ms + waiting_now.max(0.0) * load.mean_run_ms / slots
    }
}

/// Requests at a peer, running and queued.
fn requests(load: &ServiceLoad) -> f64 {
    f64::from(load.slots.saturating_sub(load.free_slots) + load.queued)
}

impl Peers {
    /// No peers; a load is believed for `max_age_ms`.
    pub(super) fn new(max_age_ms: u64) -> Self {
        Self { loads: Vec::new(), forwarded: HashMap::default(), heard_at_ms: 0, max_age_ms }
    }

    /// Replaces what is known.
    pub(super) fn hear(&mut self, loads: Vec<PeerLoad>, now_ms: u64) {
        let mut forwarded = HashMap::default();
        for peer in &loads {
            for (service, load) in &peer.services {
                let key = (peer.peer, *service);
                let Some(known) = self.forwarded.get(&key) else { continue };
                let open = known.open(load, now_ms).min(requests(load));
                forwarded.insert(key, Forwarded { open, at_ms: now_ms, open_at_heartbeat: open });
            }
        }
        self.loads = loads;
        self.forwarded = forwarded;
        self.heard_at_ms = now_ms;
    }

    /// A peer where the request waits less than here by more than the trip, and notes its load.
    pub(super) fn take_better(
        &mut self,
        service: ServiceKey,
        class: Class,
        own_wait_ms: f64,
        now_ms: u64,
    ) -> Option<PeerKey> {
        if now_ms.saturating_sub(self.heard_at_ms) > self.max_age_ms {
            return None;
        }
        let mut best: Option<(f64, bool, PeerKey, ServiceLoad)> = None;
        for peer in &self.loads {
            let Some(load) = load_of(peer, service) else { continue };
            let trip_ms = peer.trip_ms.max(MIN_TRIP_MS);
            let known = self.forwarded.get(&(peer.peer, service)).copied().unwrap_or_default();
            let there_ms = known.wait_ms(load, class, now_ms) + trip_ms;
            if there_ms + trip_ms >= own_wait_ms {
                continue;
            }
            let is_better = best.is_none_or(|(best_ms, is_other_zone, ..)| {
                (there_ms, !peer.is_same_zone) < (best_ms, is_other_zone)
            });
            if is_better {
                best = Some((there_ms, !peer.is_same_zone, peer.peer, *load));
            }
        }
        let (_, _, peer, load) = best?;
        self.forwarded.entry((peer, service)).or_default().add(&load, now_ms);
        Some(peer)
    }
}

fn load_of(peer: &PeerLoad, service: ServiceKey) -> Option<&ServiceLoad> {
    let found = peer.services.iter().find(|(known, _)| *known == service);
    found.map(|(_, load)| load).filter(|load| load.slots > 0)
}
