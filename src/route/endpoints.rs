//! Follows the endpoints that this host owns.

use super::endpoint::Endpoint;
use super::message::{Action, EndpointKey, Guard, ServiceKey, Sign};
use super::timers::Timer;
use super::Dispatcher;

impl Dispatcher {
    /// Begins to own an endpoint.
    pub(super) fn own(
        &mut self,
        key: EndpointKey,
        service: ServiceKey,
        slots: u32,
        guard: Option<Guard>,
        now_ms: u64,
    ) {
        let at = self.service_at(service, now_ms);
        if let Some(old) = self.endpoint_services.get(&key).copied().filter(|old| *old != at) {
            self.services[old].pool.disown(key, now_ms);
        }
        self.endpoint_services.insert(key, at);
        self.services[at].pool.own(key, |old| match old {
            None => Endpoint::new(slots, guard),
            Some(mut endpoint) => {
                endpoint.own_again(slots, guard);
                endpoint
            }
        });
        if let Some(guard) = guard {
            self.timers.push(guard.until_ms, Timer::Refresh(key));
        }
        if self.services[at].stranded_since_ms.is_some() {
            // Its busy slots are about to be read: callers wait for that as for a lost endpoint.
            self.begin_stranded(at, now_ms);
        }
    }

    /// Ends the ownership of an endpoint.
    pub(super) fn disown(&mut self, key: EndpointKey, now_ms: u64, out: &mut Vec<Action>) {
        let Some(at) = self.endpoint_services.get(&key).copied() else { return };
        self.services[at].pool.disown(key, now_ms);
        self.forget_if_gone(at, key);
        self.changed(at, now_ms, out);
    }

    /// Forgets an endpoint that is not owned and has nothing in flight.
    pub(super) fn forget_if_gone(&mut self, at: usize, key: EndpointKey) {
        let is_gone = self.services[at].pool.get(key).is_none();
        if is_gone && self.endpoint_services.get(&key) == Some(&at) {
            self.endpoint_services.remove(&key);
        }
    }

    /// Notes the slots of an endpoint that others use.
    pub(super) fn learn(
        &mut self,
        key: EndpointKey,
        busy: u32,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(at) = self.endpoint_services.get(&key).copied() else { return };
        self.services[at].pool.update(key, now_ms, |endpoint| endpoint.learn(busy));
        self.changed(at, now_ms, out);
    }

    /// Takes in what was learned about an endpoint outside of a request.
    pub(super) fn note_sign(
        &mut self,
        key: EndpointKey,
        sign: Sign,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(at) = self.endpoint_services.get(&key).copied() else { return };
        let pool = &mut self.services[at].pool;
        match sign {
            Sign::Leaving => {
                pool.update(key, now_ms, |endpoint| endpoint.follow("leave"));
            }
            Sign::Staying => {
                if pool.update(key, now_ms, |endpoint| endpoint.follow("stay")) == Some(true) {
                    out.push(Action::Probe { endpoint: key });
                }
            }
            Sign::Answering => {
                let answers = |endpoint: &mut Endpoint| {
                    endpoint.is_in("probing") && endpoint.follow("answer")
                };
                pool.update(key, now_ms, answers);
            }
            Sign::Refused => self.eject(at, key, now_ms),
            Sign::Silent => {
                if pool.get(key).is_some_and(|endpoint| endpoint.is_in("probing")) {
                    self.eject(at, key, now_ms);
                }
            }
        }
        self.changed(at, now_ms, out);
    }

    /// Keeps an endpoint from traffic for a while.
    pub(super) fn eject(&mut self, at: usize, key: EndpointKey, now_ms: u64) {
        let (first_ms, max_ms) = (self.config.eject_ms, self.config.max_eject_ms);
        let pool = &mut self.services[at].pool;
        let eject = |endpoint: &mut Endpoint| {
            endpoint.eject(first_ms, max_ms, now_ms).map(|away_ms| (away_ms, endpoint.epoch()))
        };
        if let Some(Some((away_ms, epoch))) = pool.update(key, now_ms, eject) {
            self.timers.push(now_ms + away_ms, Timer::Probe(key, epoch));
        }
    }

    /// Asks for a probe of an endpoint whose ejection is over.
    pub(super) fn probe(
        &mut self,
        key: EndpointKey,
        epoch: u32,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(at) = self.endpoint_services.get(&key) else { return };
        let probe = |endpoint: &mut Endpoint| endpoint.epoch() == epoch && endpoint.follow("probe");
        if self.services[*at].pool.update(key, now_ms, probe) == Some(true) {
            out.push(Action::Probe { endpoint: key });
        }
    }

    /// Brings the free slots of an endpoint up to date after time has passed.
    pub(super) fn refresh(&mut self, key: EndpointKey, now_ms: u64, out: &mut Vec<Action>) {
        let Some(at) = self.endpoint_services.get(&key).copied() else { return };
        self.services[at].pool.refresh(key, now_ms);
        self.changed(at, now_ms, out);
    }

    /// Notes whether a service can still be served here, and forwards its queue if not.
    pub(super) fn note_stranded(&mut self, at: usize, now_ms: u64, out: &mut Vec<Action>) {
        let service = &mut self.services[at];
        let is_stranded = service.pool.slots() == 0;
        if !is_stranded {
            service.stranded_since_ms = None;
            return;
        }
        if service.stranded_since_ms.is_some() {
            return;
        }
        self.begin_stranded(at, now_ms);
        if self.is_full_policy() {
            self.forward_queued(at, now_ms, out);
        }
    }

    /// Begins the short wait for an endpoint that can be used.
    fn begin_stranded(&mut self, at: usize, now_ms: u64) {
        let service = &mut self.services[at];
        service.stranded_since_ms = Some(now_ms);
        let give_up_at_ms = now_ms + self.config.no_endpoint_wait_ms;
        self.timers.push(give_up_at_ms, Timer::Stranded(service.key));
    }

    /// Follows up on a change of the pool.
    fn changed(&mut self, at: usize, now_ms: u64, out: &mut Vec<Action>) {
        self.services[at].share_out(self.config.long_floor_millis, now_ms);
        self.note_stranded(at, now_ms, out);
        self.dispatch(at, now_ms, out);
    }
}
