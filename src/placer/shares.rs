//! Keeps the quota shares of the zone in step with the one record in the store.
//!
//! What is in force is never more than the record grants: a lower share is in force before it is
//! written, a higher one only once it is certainly written.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::configs::quota::QuotaConfig;
use crate::declarations::TeamDeclaration;
use crate::http::rpc;
use crate::quota::{QuotaRecord, Shares, TeamDemand};
use crate::store::{Entry, Expect, Put, PutOutcome, StoreError};

/// Key of the record; not under the prefix that every daemon follows, for its size.
pub(crate) const KEY: &str = "quota/ledger";

/// Shortest time between two reads of the record, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 1_000;

/// Needs of teams, by name.
pub(crate) type TeamDemands = BTreeMap<String, TeamDemand>;

/// Something to do at the store.
#[derive(Clone, Debug)]
pub(crate) enum ShareRequest {
    /// Read the record.
    Read,
    /// Write the record.
    Write(Put),
}

/// The shares of a zone.
#[derive(Debug)]
pub(crate) struct ShareManager {
    zone: String,
    config: QuotaConfig,
    effective: Shares,
    /// Shares that the write on its way grants.
    pending: Shares,
    is_busy: bool,
    next_check_ms: u64,
    next_read_ms: u64,
}

impl ShareManager {
    /// Nothing is granted until the record was read.
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

    /// Whether it is time to look at the needs.
    pub(crate) fn is_due(&self, now_ms: u64) -> bool {
        !self.is_busy && now_ms >= self.next_check_ms
    }

    /// Reads the record when a team lacks something, or when it was not read for long.
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

    /// The record was read; returns the write that follows. The shares in force may be lower now.
    pub(crate) fn read(
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

    /// The write ended.
    pub(crate) fn written(&mut self, result: &Result<PutOutcome, StoreError>) {
        self.is_busy = false;
        match result {
            Ok(PutOutcome::Written(_)) => self.effective = std::mem::take(&mut self.pending),
            Ok(PutOutcome::Conflict(_)) | Err(_) => self.next_read_ms = 0,
        }
    }

    /// Shares that may be used.
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

/// The smaller share of each team.
fn minimum(left: &Shares, right: &Shares) -> Shares {
    let of = |shares: &Shares, team: &str| shares.teams.get(team).copied().unwrap_or_default();
    let teams = left.teams.iter().map(|(team, share)| {
        let share = share.smaller(of(right, team));
        (team.clone(), share)
    });
    Shares { teams: teams.collect() }
}
