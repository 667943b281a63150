//! Loads of the dispatchers of other entry hosts, and the choice of one to forward to.
//!
//! The load in a heartbeat is outdated after milliseconds. Between heartbeats,
//! requests forwarded to a peer are added to its reported load and assumed to
//! complete at the rate of its slots; its other load is assumed to be constant.

use super::estimate::Class;
use super::message::{PeerKey, PeerLoad, ServiceKey, ServiceLoad};
use crate::collections::HashMap;

/// Lower bound of the one-way network latency to a peer, in milliseconds.
const MIN_TRIP_MS: f64 = 0.1;

/// Lower bound of the mean run time at a peer, in milliseconds.
const MIN_RUN_MS: f64 = 0.25;

/// Last reported loads of other dispatchers, and the requests forwarded to them since.
#[derive(Debug)]
pub(super) struct Peers {
    loads: Vec<PeerLoad>,
    forwarded: HashMap<(PeerKey, ServiceKey), Forwarded>,
    updated_at_ms: u64,
    max_age_ms: u64,
}

/// Estimated number of forwarded requests that a peer has not completed yet.
#[derive(Clone, Copy, Debug, Default)]
struct Forwarded {
    /// Expected number at `counted_at_ms`.
    in_progress: f64,
    counted_at_ms: u64,
    /// Part of them that the last heartbeat already counts in its load.
    in_progress_at_heartbeat: f64,
}

impl Forwarded {
    /// Estimated number at `now_ms`, by exponential decay at the completion rate of the peer.
    fn in_progress(&self, load: &ServiceLoad, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.counted_at_ms) as f64;
        let all = self.other_requests(load) + self.in_progress;
        let running_share = (f64::from(load.slots) / all.max(1.0)).min(1.0);
        self.in_progress * (-age_ms * running_share / load.mean_run_ms.max(MIN_RUN_MS)).exp()
    }

    fn count_forward(&mut self, load: &ServiceLoad, now_ms: u64) {
        self.in_progress = self.in_progress(load, now_ms) + 1.0;
        self.counted_at_ms = now_ms;
    }

    /// Requests at the peer that were not forwarded from here, as of the last heartbeat.
    fn other_requests(&self, load: &ServiceLoad) -> f64 {
        (total_requests(load) - self.in_progress_at_heartbeat).max(0.0)
    }

    /// Expected wait of another request at the peer, in milliseconds.
    fn wait_ms(&self, load: &ServiceLoad, class: Class, now_ms: u64) -> f64 {
        let slots = f64::from(load.slots);
        // Number of requests that wait for a slot, with the new one included.
        let reported_excess = total_requests(load) + 1.0 - slots;
        let current_excess =
            self.other_requests(load) + self.in_progress(load, now_ms) + 1.0 - slots;
        let reported_ms = match class {
            Class::Short => load.short_wait_ms,
            Class::Long => load.long_wait_ms,
        };
        if reported_ms > 0.0 && reported_excess >= 1.0 {
            return reported_ms * (current_excess / reported_excess).max(0.0);
        }
        reported_ms + current_excess.max(0.0) * load.mean_run_ms / slots
    }
}

/// Number of requests at a peer, running and queued.
fn total_requests(load: &ServiceLoad) -> f64 {
    f64::from(load.slots.saturating_sub(load.free_slots) + load.queued)
}

impl Peers {
    /// No peers yet; reported loads are used for `max_age_ms`.
    pub(super) fn new(max_age_ms: u64) -> Self {
        Self { loads: Vec::new(), forwarded: HashMap::default(), updated_at_ms: 0, max_age_ms }
    }

    /// Replaces the loads of all peers.
    pub(super) fn update(&mut self, loads: Vec<PeerLoad>, now_ms: u64) {
        let mut forwarded = HashMap::default();
        for peer in &loads {
            for (service, load) in &peer.services {
                let key = (peer.peer, *service);
                let Some(known) = self.forwarded.get(&key) else { continue };
                let in_progress = known.in_progress(load, now_ms).min(total_requests(load));
                forwarded.insert(
                    key,
                    Forwarded {
                        in_progress,
                        counted_at_ms: now_ms,
                        in_progress_at_heartbeat: in_progress,
                    },
                );
            }
        }
        self.loads = loads;
        self.forwarded = forwarded;
        self.updated_at_ms = now_ms;
    }

    /// Whether any peer has usable endpoints of the service.
    pub(super) fn has_endpoints(&self, service: ServiceKey) -> bool {
        self.loads.iter().any(|peer| usable_load(peer, service).is_some())
    }

    /// Picks the peer with the shortest expected wait and counts the request as forwarded to it.
    ///
    /// `None` if no peer is expected to start the request sooner than `own_wait_ms`,
    /// with the network latency there and back taken into account.
    pub(super) fn pick_better(
        &mut self,
        service: ServiceKey,
        class: Class,
        own_wait_ms: f64,
        now_ms: u64,
    ) -> Option<PeerKey> {
        if now_ms.saturating_sub(self.updated_at_ms) > self.max_age_ms {
            return None;
        }
        let mut best: Option<(f64, bool, PeerKey, ServiceLoad)> = None;
        for peer in &self.loads {
            let Some(load) = usable_load(peer, service) else { continue };
            let trip_ms = peer.trip_ms.max(MIN_TRIP_MS);
            let known = self.forwarded.get(&(peer.peer, service)).copied().unwrap_or_default();
            let peer_wait_ms = known.wait_ms(load, class, now_ms) + trip_ms;
            if peer_wait_ms + trip_ms >= own_wait_ms {
                continue;
            }
            let is_better = best.is_none_or(|(best_ms, is_other_zone, ..)| {
                (peer_wait_ms, !peer.is_same_zone) < (best_ms, is_other_zone)
            });
            if is_better {
                best = Some((peer_wait_ms, !peer.is_same_zone, peer.peer, *load));
            }
        }
        let (_, _, peer, load) = best?;
        self.forwarded.entry((peer, service)).or_default().count_forward(&load, now_ms);
        Some(peer)
    }
}

fn usable_load(peer: &PeerLoad, service: ServiceKey) -> Option<&ServiceLoad> {
    let found = peer.services.iter().find(|(known, _)| *known == service);
    found.map(|(_, load)| load).filter(|load| load.slots > 0)
}
