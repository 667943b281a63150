//! Slots of owned endpoints that are busy with requests which are not in flight from here: those of
//! an earlier owner, and those that were given up without an answer.

use crate::clock;
use crate::route::{self, EndpointKey};

use super::super::message::{Purpose, Reading};
use super::super::ownership::Owned;
use super::Thread;

/// Time for which the figure may stay the same before nothing is sent for an exact reading, in milliseconds.
const QUIET_AFTER_MS: u64 = 2_000;

/// Longest time for which nothing is sent, in milliseconds.
const QUIET_LIMIT_MS: u64 = 500;

impl Thread {
    /// Reads the endpoints that have such slots, or may have.
    pub(super) fn read_foreign(&mut self) {
        let is_open = |owned: &Owned| owned.foreign.is_none_or(|busy| busy > 0);
        let owned = self.ownership.owned().iter();
        let mut open: Vec<EndpointKey> =
            owned.filter(|(_, owned)| is_open(owned)).map(|(key, _)| *key).collect();
        open.sort();
        for endpoint in open {
            self.keep_quiet(endpoint);
            self.read_endpoint(endpoint, Purpose::Foreign);
        }
    }

    /// Counts a request that was given up without an answer: it may still run.
    pub(super) fn count_lost(&mut self, endpoint: EndpointKey) {
        let Some(owned) = self.ownership.owned_mut(endpoint) else { return };
        let Some(foreign) = owned.foreign else { return };
        owned.foreign = Some(foreign + 1);
        owned.foreign_at_ms = clock::now_ms();
        self.tell_foreign(endpoint);
    }

    /// Takes in how many slots of an endpoint are busy; `mine` of them certainly from here.
    ///
    /// Requests that were just sent or just ended blur the figure, so it only
    /// falls, but for a reading while nothing is in flight from here.
    pub(super) fn learn_foreign(&mut self, endpoint: EndpointKey, reading: &Reading, mine: u32) {
        let now_ms = clock::now_ms();
        let hold_ms = self.parts.config.endpoints.unread_hold_ms;
        let Some(owned) = self.ownership.owned_mut(endpoint) else { return };
        let Some(said) = reading.said else { return };
        let busy = match said.busy {
            Some(busy) => busy.saturating_sub(mine),
            None if now_ms >= owned.since_ms + hold_ms => 0,
            None => return,
        };
        let is_exact = reading.was_idle && owned.quiet_since_ms.is_some();
        let busy = match owned.foreign {
            None => busy.max(owned.told_busy),
            Some(_) if is_exact => busy,
            Some(before) => before.min(busy),
        };
        if owned.foreign != Some(busy) {
            owned.foreign_at_ms = now_ms;
        }
        owned.foreign = Some(busy);
        if is_exact {
            owned.quiet_since_ms = None;
            owned.foreign_at_ms = now_ms;
        }
        self.tell_foreign(endpoint);
    }

    /// Stops sending for a moment if the figure does not fall, so that it can be read exactly.
    fn keep_quiet(&mut self, endpoint: EndpointKey) {
        let now_ms = clock::now_ms();
        let Some(owned) = self.ownership.owned_mut(endpoint) else { return };
        match owned.quiet_since_ms {
            Some(since_ms) if now_ms >= since_ms + QUIET_LIMIT_MS => {
                owned.quiet_since_ms = None;
                owned.foreign_at_ms = now_ms;
            }
            Some(_) => return,
            None if now_ms < owned.foreign_at_ms + QUIET_AFTER_MS => return,
            None => owned.quiet_since_ms = Some(now_ms),
        }
        self.tell_foreign(endpoint);
    }

    fn tell_foreign(&mut self, endpoint: EndpointKey) {
        let Some(owned) = self.ownership.owned().get(&endpoint) else { return };
        let Some(foreign) = owned.foreign else { return };
        let slots = self.book.endpoint(endpoint).map_or(0, |declared| declared.slots);
        let busy = if owned.quiet_since_ms.is_some() { slots } else { foreign };
        self.step(route::Event::BusySlots { endpoint, busy });
    }
}
