//! Foreign slots: slots of owned endpoints that are busy with requests not in flight from this
//! host. Those are requests of an earlier owner, and requests whose send was given up without an
//! answer.

use crate::clock;
use crate::route::{self, EndpointKey};

use super::super::message::{EndpointReading, ReadPurpose};
use super::super::ownership::Owned;
use super::ControlThread;

/// Time for which the number of foreign slots may stay the same before sending is paused for an
/// exact reading, in milliseconds.
const PAUSE_AFTER_MS: u64 = 2_000;

/// Longest pause of sending, in milliseconds.
const PAUSE_LIMIT_MS: u64 = 500;

impl ControlThread {
    /// Reads the endpoints that have foreign slots or have not been read yet.
    pub(super) fn read_foreign(&mut self) {
        let needs_reading = |owned: &Owned| owned.foreign.is_none_or(|busy| busy > 0);
        let owned = self.ownership.owned().iter();
        let mut endpoints: Vec<EndpointKey> =
            owned.filter(|(_, owned)| needs_reading(owned)).map(|(key, _)| *key).collect();
        endpoints.sort();
        for endpoint in endpoints {
            self.pause_for_exact_reading(endpoint);
            self.read_endpoint(endpoint, ReadPurpose::Foreign);
        }
    }

    /// Counts a request whose send was given up without an answer as foreign, since it may still
    /// run.
    pub(super) fn count_lost(&mut self, endpoint: EndpointKey) {
        let Some(owned) = self.ownership.owned_mut(endpoint) else { return };
        let Some(foreign) = owned.foreign else { return };
        owned.foreign = Some(foreign + 1);
        owned.foreign_changed_ms = clock::now_ms();
        self.report_foreign(endpoint);
    }

    /// Updates the foreign slots of an endpoint from a reading; `own_in_flight` of its busy slots
    /// certainly belong to requests of this host.
    ///
    /// Requests that were just sent or just ended make the figure inexact, so it may only fall. A
    /// reading during a pause with nothing in flight from this host is exact and replaces it.
    pub(super) fn update_foreign(
        &mut self,
        endpoint: EndpointKey,
        reading: &EndpointReading,
        own_in_flight: u32,
    ) {
        let now_ms = clock::now_ms();
        let hold_ms = self.deps.config.endpoints.unread_hold_ms;
        let Some(owned) = self.ownership.owned_mut(endpoint) else { return };
        let Some(report) = reading.report else { return };
        let busy = match report.busy {
            Some(busy) => busy.saturating_sub(own_in_flight),
            None if now_ms >= owned.since_ms + hold_ms => 0,
            None => return,
        };
        let is_exact = reading.was_idle && owned.paused_since_ms.is_some();
        let busy = match owned.foreign {
            None => busy.max(owned.reported_busy),
            Some(_) if is_exact => busy,
            Some(before) => before.min(busy),
        };
        if owned.foreign != Some(busy) {
            owned.foreign_changed_ms = now_ms;
        }
        owned.foreign = Some(busy);
        if is_exact {
            owned.paused_since_ms = None;
            owned.foreign_changed_ms = now_ms;
        }
        self.report_foreign(endpoint);
    }

    /// Pauses sending to an endpoint if its foreign slots have not changed for long, so that they
    /// can be read exactly. Ends the pause after [`PAUSE_LIMIT_MS`].
    fn pause_for_exact_reading(&mut self, endpoint: EndpointKey) {
        let now_ms = clock::now_ms();
        let Some(owned) = self.ownership.owned_mut(endpoint) else { return };
        match owned.paused_since_ms {
            Some(since_ms) if now_ms >= since_ms + PAUSE_LIMIT_MS => {
                owned.paused_since_ms = None;
                owned.foreign_changed_ms = now_ms;
            }
            Some(_) => return,
            None if now_ms < owned.foreign_changed_ms + PAUSE_AFTER_MS => return,
            None => owned.paused_since_ms = Some(now_ms),
        }
        self.report_foreign(endpoint);
    }

    /// Reports the foreign slots to the dispatcher; during a pause, all slots of the endpoint.
    fn report_foreign(&mut self, endpoint: EndpointKey) {
        let Some(owned) = self.ownership.owned().get(&endpoint) else { return };
        let Some(foreign) = owned.foreign else { return };
        let slots = self.catalog.endpoint(endpoint).map_or(0, |declared| declared.slots);
        let busy = if owned.paused_since_ms.is_some() { slots } else { foreign };
        self.step(route::Event::BusySlots { endpoint, busy });
    }
}
