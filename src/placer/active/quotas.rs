//! Quota shares of the zone: demand of its teams, and the shares that the placer enforces.

use std::sync::Arc;

use super::ActivePlacer;
use crate::clock;
use crate::place::Event;
use crate::placer::shares::{ShareRequest, TeamDemands};
use crate::quota::TeamDemand;
use crate::store::{Entry, PutOutcome, StoreError};

impl ActivePlacer {
    pub(super) fn apply_effective_shares(&mut self) {
        let shares = Arc::new(self.shares.effective().clone());
        self.step(Event::Quota(shares));
    }

    /// Processes the result of a read of the quota record.
    pub(crate) fn quota_read_ended(&mut self, result: Result<Option<Entry>, StoreError>) {
        let demands = self.demands();
        self.share_request = self.shares.read_ended(result, &self.teams, &demands);
        self.apply_effective_shares();
    }

    /// Processes the result of a write of the quota record.
    pub(crate) fn quota_write_ended(&mut self, result: &Result<PutOutcome, StoreError>) {
        self.shares.write_ended(result);
        self.apply_effective_shares();
    }

    /// The store request for the quota record that is due, if any.
    pub(crate) fn take_share_request(&mut self) -> Option<ShareRequest> {
        let now_ms = clock::now_ms();
        if !self.teams.is_empty() && self.share_request.is_none() && self.shares.is_due(now_ms) {
            let demands = self.demands();
            self.share_request = self.shares.next_request(&demands, now_ms);
        }
        self.share_request.take()
    }

    /// Resources that each team uses and waits for in this zone.
    fn demands(&self) -> TeamDemands {
        let mut demands = TeamDemands::new();
        for team in self.placer.queue.teams() {
            demands
                .insert(team.name.clone(), TeamDemand { used: team.used, ..TeamDemand::default() });
        }
        for (key, job) in self.placer.jobs.iter().filter(|(_, job)| job.waiting_count > 0) {
            let size = self.placer.size_of(key).times(job.waiting_count);
            let demand = demands.entry(job.spec.team.clone()).or_default();
            demand.waiting = demand.waiting.plus(size);
        }
        demands
    }
}
