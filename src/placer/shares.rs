//! Keeps the quota shares of the zone in step with the one record in the store.
//!
//! What is in force is never more than the record grants: a lower share is in force before it is
//! written, a higher one only once it is certainly written.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::configs::quota::QuotaConfig;
use crate::declarations::TeamDeclaration;
use crate::http::rpc;
use crate::quota::{Ledger, Need, Shares};
use crate::store::{Entry, Expect, Put, PutOutcome, StoreError};

/// Key of the record; not under the prefix that every daemon follows, for its size.
pub(crate) const KEY: &str = "quota/ledger";

/// Shortest time between two reads of the record, in milliseconds.
const WANTING_MS: u64 = 1_000;

/// Needs of teams, by name.
pub(crate) type Needs = BTreeMap<String, Need>;

/// Something to do at the store.
#[derive(Clone, Debug)]
pub(crate) enum ShareStep {
    /// Read the record.
    Read,
    /// Write the record.
    Write(Put),
}

/// The shares of a zone.
#[derive(Debug)]
pub(crate) struct ShareKeeper {
    zone: String,
    config: QuotaConfig,
    in_force: Shares,
    /// Shares that the write on its way grants.
    target: Shares,
    is_busy: bool,
    next_look_ms: u64,
    next_read_ms: u64,
}

impl ShareKeeper {
    /// Nothing is granted until the record was read.
    pub(crate) fn new(zone: impl Into<String>, config: QuotaConfig) -> Self {
        Self {
            zone: zone.into(),
            config,
            in_force: Shares::default(),
            target: Shares::default(),
            is_busy: false,
            next_look_ms: 0,
            next_read_ms: 0,
        }
    }

    /// Whether it is time to look at the needs.
    pub(crate) fn is_due(&self, now_ms: u64) -> bool {
        !self.is_busy && now_ms >= self.next_look_ms
    }

    /// Reads the record when a team lacks something, or when it was not read for long.
    pub(crate) fn look(&mut self, needs: &Needs, now_ms: u64) -> Option<ShareStep> {
        self.next_look_ms = now_ms + WANTING_MS;
        if now_ms < self.next_read_ms && !self.is_wanting(needs) {
            return None;
        }
        self.next_read_ms = now_ms + self.config.settle_every_ms;
        self.is_busy = true;
        Some(ShareStep::Read)
    }

    /// The record was read; returns the write that follows. The shares in force may be lower now.
    pub(crate) fn read(
        &mut self,
        result: Result<Option<Entry>, StoreError>,
        teams: &[TeamDeclaration],
        needs: &Needs,
    ) -> Option<ShareStep> {
        self.is_busy = false;
        let entry = result.ok()?;
        let ledger = match &entry {
            Some(entry) => rpc::decode::<Ledger>(&entry.value).ok()?,
            None => Ledger::default(),
        };
        let held = ledger.shares(&self.zone);
        let next = ledger.clone().with_totals(teams).settled(&self.zone, needs, &self.config);
        if next == ledger {
            self.in_force = held;
            return None;
        }
        self.target = next.shares(&self.zone);
        self.in_force = smaller(&held, &self.target);
        self.is_busy = true;
        let value = Bytes::from(rmp_serde::to_vec(&next).ok()?);
        let expect = entry.map_or(Expect::Absent, |entry| Expect::Modified(entry.modified));
        Some(ShareStep::Write(Put { key: KEY.to_owned(), value, expect, lease: None }))
    }

    /// The write ended.
    pub(crate) fn written(&mut self, result: &Result<PutOutcome, StoreError>) {
        self.is_busy = false;
        match result {
            Ok(PutOutcome::Written(_)) => self.in_force = std::mem::take(&mut self.target),
            Ok(PutOutcome::Conflict(_)) | Err(_) => self.next_read_ms = 0,
        }
    }

    /// Shares that may be used.
    pub(crate) fn in_force(&self) -> &Shares {
        &self.in_force
    }

    fn is_wanting(&self, needs: &Needs) -> bool {
        needs.iter().any(|(team, need)| {
            let share = self.in_force.teams.get(team).copied().unwrap_or_default();
            !need.waiting.is_zero() && !need.used.plus(need.waiting).fits(share)
        })
    }
}

/// The smaller share of each team.
fn smaller(left: &Shares, right: &Shares) -> Shares {
    let of = |shares: &Shares, team: &str| shares.teams.get(team).copied().unwrap_or_default();
    let teams = left.teams.iter().map(|(team, share)| {
        let share = share.smaller(of(right, team));
        (team.clone(), share)
    });
    Shares { teams: teams.collect() }
}
