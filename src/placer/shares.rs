//! Synchronizes the quota shares of the zone with the quota record in the store.
//!
//! The effective shares never exceed what the record grants: a lower share takes effect before it
//! is written, a higher one only once the write has certainly succeeded.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::configs::quota::QuotaConfig;
use crate::declarations::TeamDeclaration;
use crate::http::rpc;
use crate::quota::{QuotaRecord, Shares, TeamDemand};
use crate::store::{Entry, Expect, Put, PutOutcome, StoreError};

/// Store key of the quota record. The record is large, so its key is outside the prefix that every
/// daemon mirrors.
pub(crate) const KEY: &str = "quota/ledger";

/// Interval between checks whether the quota record has to be read, and thus the shortest time
/// between two reads, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 1_000;

/// Demand of each team in this zone, by team name.
pub(crate) type TeamDemands = BTreeMap<String, TeamDemand>;

/// A store request for the quota record.
#[derive(Clone, Debug)]
pub(crate) enum ShareRequest {
    /// Reads the record.
    Read,
    /// Writes the record.
    Write(Put),
}

/// Quota shares of one zone and the state of their synchronization with the quota record.
#[derive(Debug)]
pub(crate) struct ShareManager {
    zone: String,
    config: QuotaConfig,
    effective: Shares,
    /// Shares that take effect when the write in flight succeeds.
    pending: Shares,
    /// Whether a read or write is in flight.
    is_busy: bool,
    next_check_ms: u64,
    next_read_ms: u64,
}

impl ShareManager {
    /// Shares of `zone`, all zero until the record was read.
    pub(crate) fn new(zone: impl Into<String>, config: QuotaConfig) -> Self {
        Self {
            zone: zone.into(),
            config,
            effective: Shares::default(),
            pending: Shares::default(),
            is_busy: false,
            next_check_ms: 0,
            next_read_ms: 0,
        }
    }

    /// Whether [`ShareManager::next_request`] is to be called.
    pub(crate) fn is_due(&self, now_ms: u64) -> bool {
        !self.is_busy && now_ms >= self.next_check_ms
    }

    /// Requests a read if a team lacks resources, or if the settling interval has passed since the
    /// last read.
    pub(crate) fn next_request(
        &mut self,
        demands: &TeamDemands,
        now_ms: u64,
    ) -> Option<ShareRequest> {
        self.next_check_ms = now_ms + CHECK_INTERVAL_MS;
        if now_ms < self.next_read_ms && !self.has_shortage(demands) {
            return None;
        }
        self.next_read_ms = now_ms + self.config.settle_every_ms;
        self.is_busy = true;
        Some(ShareRequest::Read)
    }

    /// Processes the result of a read, and returns the write of the rebalanced record if it
    /// differs. The effective shares may decrease immediately.
    pub(crate) fn read_ended(
        &mut self,
        result: Result<Option<Entry>, StoreError>,
        teams: &[TeamDeclaration],
        demands: &TeamDemands,
    ) -> Option<ShareRequest> {
        self.is_busy = false;
        let entry = result.ok()?;
        let record = match &entry {
            Some(entry) => rpc::decode::<QuotaRecord>(&entry.value).ok()?,
            None => QuotaRecord::default(),
        };
        let held = record.shares(&self.zone);
        let next = record.clone().with_totals(teams).rebalanced(&self.zone, demands, &self.config);
        if next == record {
            self.effective = held;
            return None;
        }
        self.pending = next.shares(&self.zone);
        self.effective = minimum(&held, &self.pending);
        self.is_busy = true;
        let value = Bytes::from(rmp_serde::to_vec(&next).ok()?);
        let expect = entry.map_or(Expect::Absent, |entry| Expect::Modified(entry.modified));
        Some(ShareRequest::Write(Put { key: KEY.to_owned(), value, expect, lease: None }))
    }

    /// Processes the result of a write. After a conflict or an error the record is read again.
    pub(crate) fn write_ended(&mut self, result: &Result<PutOutcome, StoreError>) {
        self.is_busy = false;
        match result {
            Ok(PutOutcome::Written(_)) => self.effective = std::mem::take(&mut self.pending),
            Ok(PutOutcome::Conflict(_)) | Err(_) => self.next_read_ms = 0,
        }
    }

    /// Shares that may be used now.
    pub(crate) fn effective(&self) -> &Shares {
        &self.effective
    }

    fn has_shortage(&self, demands: &TeamDemands) -> bool {
        demands.iter().any(|(team, demand)| {
            let share = self.effective.teams.get(team).copied().unwrap_or_default();
            !demand.waiting.is_zero() && !demand.used.plus(demand.waiting).fits(share)
        })
    }
}

/// For each team of `left`, the smaller of its two shares in each resource.
fn minimum(left: &Shares, right: &Shares) -> Shares {
    let of = |shares: &Shares, team: &str| shares.teams.get(team).copied().unwrap_or_default();
    let teams = left.teams.iter().map(|(team, share)| {
        let share = share.smaller(of(right, team));
        (team.clone(), share)
    });
    Shares { teams: teams.collect() }
}
