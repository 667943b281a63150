//! The dispatchers of other entry hosts, and when a request is better off there.

use super::estimate::Class;
use super::message::{PeerKey, PeerLoad, ServiceKey, ServiceLoad};

/// Trip that is assumed at least, in milliseconds.
const MIN_TRIP_MS: f64 = 0.1;

/// The last known load of other dispatchers.
#[derive(Debug)]
pub(super) struct Peers {
    loads: Vec<PeerLoad>,
    heard_at_ms: u64,
    max_age_ms: u64,
}

impl Peers {
    /// No peers; a load is believed for `max_age_ms`.
    pub(super) fn new(max_age_ms: u64) -> Self {
        Self { loads: Vec::new(), heard_at_ms: 0, max_age_ms }
    }

    /// Replaces what is known.
    pub(super) fn hear(&mut self, loads: Vec<PeerLoad>, now_ms: u64) {
        self.loads = loads;
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
        let mut best: Option<(f64, bool, usize)> = None;
        for (at, peer) in self.loads.iter().enumerate() {
            let Some(load) = load_of(peer, service) else { continue };
            let trip_ms = peer.trip_ms.max(MIN_TRIP_MS);
            let there_ms = wait_ms(load, class) + trip_ms;
            if there_ms + trip_ms >= own_wait_ms {
                continue;
            }
            let is_better = best.is_none_or(|(best_ms, best_is_same_zone, _)| {
                (there_ms, !peer.is_same_zone) < (best_ms, !best_is_same_zone)
            });
            if is_better {
                best = Some((there_ms, peer.is_same_zone, at));
            }
        }
        let (_, _, at) = best?;
        let peer = self.loads.get_mut(at)?;
        let key = peer.peer;
        charge(peer, service, class);
        Some(key)
    }
}

fn load_of(peer: &PeerLoad, service: ServiceKey) -> Option<&ServiceLoad> {
    let found = peer.services.iter().find(|(known, _)| *known == service);
    found.map(|(_, load)| load).filter(|load| load.slots > 0)
}

fn wait_ms(load: &ServiceLoad, class: Class) -> f64 {
    match class {
        Class::Short => load.short_wait_ms,
        Class::Long => load.long_wait_ms,
    }
}

/// Adds one request to the load that is assumed at a peer until it is heard from again.
fn charge(peer: &mut PeerLoad, service: ServiceKey, class: Class) {
    let found = peer.services.iter_mut().find(|(known, _)| *known == service);
    let Some((_, load)) = found else { return };
    if load.free_slots > 0 {
        load.free_slots -= 1;
        return;
    }
    let more_ms = load.mean_run_ms / f64::from(load.slots.max(1));
    match class {
        Class::Short => load.short_wait_ms += more_ms,
        Class::Long => load.long_wait_ms += more_ms,
    }
}
