//! Quota shares of a holder: what its teams need, and what is in force.

use std::sync::Arc;

use super::Active;
use crate::clock;
use crate::place::Event;
use crate::placer::shares::{Needs, ShareStep};
use crate::quota::Need;
use crate::store::{Entry, PutOutcome, StoreError};

impl Active {
    pub(super) fn put_shares_in_force(&mut self) {
        let shares = Arc::new(self.shares.in_force().clone());
        self.step(Event::Quota(shares));
    }

    /// The read of quotas ended.
    pub(crate) fn quota_read(&mut self, result: Result<Option<Entry>, StoreError>) {
        let needs = self.needs();
        self.share_step = self.shares.read(result, &self.teams, &needs);
        self.put_shares_in_force();
    }

    /// The write of quotas ended.
    pub(crate) fn quota_written(&mut self, result: &Result<PutOutcome, StoreError>) {
        self.shares.written(result);
        self.put_shares_in_force();
    }

    /// What is to be done at the store for quotas.
    pub(crate) fn take_share_step(&mut self) -> Option<ShareStep> {
        let now_ms = clock::now_ms();
        if !self.teams.is_empty() && self.share_step.is_none() && self.shares.is_due(now_ms) {
            let needs = self.needs();
            self.share_step = self.shares.look(&needs, now_ms);
        }
        self.share_step.take()
    }

    /// What each team uses and waits for here.
    fn needs(&self) -> Needs {
        let mut needs = Needs::new();
        for team in self.placer.queue.teams() {
            needs.insert(team.name.clone(), Need { used: team.used, ..Need::default() });
        }
        for (key, job) in self.placer.jobs.iter().filter(|(_, job)| job.waiting_count > 0) {
            let size = self.placer.size_of(key).times(job.waiting_count);
            let need = needs.entry(job.spec.team.clone()).or_default();
            need.waiting = need.waiting.plus(size);
        }
        needs
    }
}
