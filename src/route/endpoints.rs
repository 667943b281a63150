//! Events of the endpoints that this host owns: ownership, busy slots, ejection and probes.

use super::endpoint::Endpoint;
use super::message::{Action, EndpointKey, EndpointSignal, ServiceKey, TakeoverGuard};
use super::timers::Timer;
use super::Dispatcher;

impl Dispatcher {
    /// Starts the ownership of an endpoint.
    pub(super) fn acquire_endpoint(
        &mut self,
        key: EndpointKey,
        service: ServiceKey,
        slots: u32,
        guard: Option<TakeoverGuard>,
        now_ms: u64,
    ) {
        let index = self.service_index_or_insert(service, now_ms);
        if let Some(old) = self.endpoint_services.get(&key).copied().filter(|old| *old != index) {
            self.services[old].pool.release(key, now_ms);
        }
        self.endpoint_services.insert(key, index);
        self.services[index].pool.insert(key, |old| match old {
            None => Endpoint::new(slots, guard),
            Some(mut endpoint) => {
                endpoint.restart_ownership(slots, guard);
                endpoint
            }
        });
        if let Some(guard) = guard {
            self.timers.push(guard.until_ms, Timer::SlotsFreed(key));
        }
        if self.services[index].no_slots_since_ms.is_some() {
            // The busy slots of the endpoint are about to be read. Requests that arrive until
            // then are queued for up to `no_endpoint_wait_ms` instead of being rejected.
            self.start_no_endpoint_wait(index, now_ms);
        }
    }

    /// Ends the ownership of an endpoint.
    pub(super) fn release_endpoint(
        &mut self,
        key: EndpointKey,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(index) = self.endpoint_services.get(&key).copied() else { return };
        self.services[index].pool.release(key, now_ms);
        self.remove_if_drained(index, key);
        self.after_pool_change(index, now_ms, out);
    }

    /// Drops an endpoint that is no longer owned once it has no requests in flight.
    pub(super) fn remove_if_drained(&mut self, index: usize, key: EndpointKey) {
        let is_gone = self.services[index].pool.get(key).is_none();
        if is_gone && self.endpoint_services.get(&key) == Some(&index) {
            self.endpoint_services.remove(&key);
        }
    }

    /// Sets the number of slots that other hosts' requests use at an endpoint.
    pub(super) fn set_busy_elsewhere(
        &mut self,
        key: EndpointKey,
        busy: u32,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(index) = self.endpoint_services.get(&key).copied() else { return };
        self.services[index].pool.update(key, now_ms, |endpoint| endpoint.set_busy_elsewhere(busy));
        self.after_pool_change(index, now_ms, out);
    }

    /// Handles a change of an endpoint's availability.
    pub(super) fn handle_signal(
        &mut self,
        key: EndpointKey,
        signal: EndpointSignal,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(index) = self.endpoint_services.get(&key).copied() else { return };
        let pool = &mut self.services[index].pool;
        match signal {
            EndpointSignal::Leaving => {
                pool.update(key, now_ms, |endpoint| endpoint.apply_event("leave"));
            }
            EndpointSignal::NotLeaving => {
                if pool.update(key, now_ms, |endpoint| endpoint.apply_event("stay")) == Some(true) {
                    out.push(Action::Probe { endpoint: key });
                }
            }
            EndpointSignal::ProbeSucceeded => {
                let pass_probe = |endpoint: &mut Endpoint| {
                    endpoint.is_in("probing") && endpoint.apply_event("answer")
                };
                pool.update(key, now_ms, pass_probe);
            }
            EndpointSignal::ConnectionRefused => self.eject(index, key, now_ms),
            EndpointSignal::ProbeFailed => {
                if pool.get(key).is_some_and(|endpoint| endpoint.is_in("probing")) {
                    self.eject(index, key, now_ms);
                }
            }
        }
        self.after_pool_change(index, now_ms, out);
    }

    /// Ejects an endpoint and schedules its probe.
    pub(super) fn eject(&mut self, index: usize, key: EndpointKey, now_ms: u64) {
        let (first_ms, max_ms) = (self.config.eject_ms, self.config.max_eject_ms);
        let pool = &mut self.services[index].pool;
        let eject = |endpoint: &mut Endpoint| {
            endpoint
                .eject(first_ms, max_ms, now_ms)
                .map(|ejected_ms| (ejected_ms, endpoint.epoch()))
        };
        if let Some(Some((ejected_ms, epoch))) = pool.update(key, now_ms, eject) {
            self.timers.push(now_ms + ejected_ms, Timer::Probe(key, epoch));
        }
    }

    /// Requests a probe of an endpoint whose ejection time is over.
    pub(super) fn probe(
        &mut self,
        key: EndpointKey,
        epoch: u32,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(index) = self.endpoint_services.get(&key) else { return };
        let probe =
            |endpoint: &mut Endpoint| endpoint.epoch() == epoch && endpoint.apply_event("probe");
        if self.services[*index].pool.update(key, now_ms, probe) == Some(true) {
            out.push(Action::Probe { endpoint: key });
        }
    }

    /// Recomputes the free slots of an endpoint after a guard or a held slot expired.
    pub(super) fn refresh_slots(&mut self, key: EndpointKey, now_ms: u64, out: &mut Vec<Action>) {
        let Some(index) = self.endpoint_services.get(&key).copied() else { return };
        self.services[index].pool.refresh(key, now_ms);
        self.after_pool_change(index, now_ms, out);
    }

    /// Tracks whether a service has usable slots; on the loss of the last one, forwards its queue.
    pub(super) fn check_for_usable_slots(
        &mut self,
        index: usize,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let service = &mut self.services[index];
        let has_no_slots = service.pool.slots() == 0;
        if !has_no_slots {
            service.no_slots_since_ms = None;
            return;
        }
        if service.no_slots_since_ms.is_some() {
            return;
        }
        self.start_no_endpoint_wait(index, now_ms);
        if self.is_full_policy() {
            self.forward_queued(index, now_ms, out);
        }
    }

    /// Starts the `no_endpoint_wait_ms` for which requests wait for a usable endpoint.
    fn start_no_endpoint_wait(&mut self, index: usize, now_ms: u64) {
        let service = &mut self.services[index];
        service.no_slots_since_ms = Some(now_ms);
        let give_up_at_ms = now_ms + self.config.no_endpoint_wait_ms;
        self.timers.push(give_up_at_ms, Timer::NoEndpoint(service.key));
    }

    /// Updates shares and queues after a change of the pool.
    fn after_pool_change(&mut self, index: usize, now_ms: u64, out: &mut Vec<Action>) {
        self.services[index].update_shares(self.config.long_floor_millis, now_ms);
        self.check_for_usable_slots(index, now_ms, out);
        self.dispatch(index, now_ms, out);
    }
}
