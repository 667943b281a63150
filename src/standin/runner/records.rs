//! The record that a fake runner keeps of the requests it ran; tests check against it.

use serde::{Deserialize, Serialize};

/// Number of declined requests whose times are kept.
const MAX_DECLINE_TIMES: usize = 10;

/// One request that began to run.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Run {
    /// `Idempotency-Key` of the request; empty without one.
    pub key: String,
    /// `Hemlock-Request-Id` of the request; empty without one.
    pub request_id: String,
    /// Wall time at which it began, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// Wall time at which it ended, in milliseconds since the Unix epoch; `None` while it runs.
    pub end_ms: Option<u64>,
}

impl Run {
    /// Creates the record of a run that begins now.
    pub fn new(key: impl Into<String>, request_id: impl Into<String>) -> Self {
        let (key, request_id) = (key.into(), request_id.into());
        Self { key, request_id, start_ms: super::now_ms(), end_ms: None }
    }
}

/// What a fake runner ran and declined since its start; served at `/standin/records`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Records {
    /// All runs, in the order in which they began.
    pub runs: Vec<Run>,
    /// Requests that run now.
    pub busy: u32,
    /// Most requests that ran at once.
    pub max_busy: u32,
    /// Requests declined because every slot was in use.
    pub over_slots: u64,
    /// Wall times of the first ten declined requests, in milliseconds since the Unix epoch.
    pub over_slots_at_ms: Vec<u64>,
    /// Most connections that were open when a request arrived.
    pub max_connections: usize,
    /// Requests received in silent mode, which are neither run nor answered.
    pub unanswered: u64,
    /// Wall time of the first response that announced the leaving, in milliseconds since the Unix
    /// epoch; `None` if there was none.
    pub leaving_since_ms: Option<u64>,
}

impl Records {
    /// Number of runs of requests with the idempotency key `key`.
    pub fn runs_of(&self, key: &str) -> usize {
        self.runs.iter().filter(|run| run.key == key).count()
    }

    /// Number of runs that began more than `grace_ms` after the leaving was first announced.
    pub fn runs_after_leaving(&self, grace_ms: u64) -> usize {
        let Some(since_ms) = self.leaving_since_ms else { return 0 };
        self.runs.iter().filter(|run| run.start_ms > since_ms + grace_ms).count()
    }

    /// Records the start of a run and returns its index; `None` when all `slots` are in use.
    ///
    /// `connections` is the number of connections that are open now.
    pub(super) fn begin(&mut self, run: Run, connections: usize, slots: u32) -> Option<usize> {
        self.max_connections = self.max_connections.max(connections);
        if self.busy >= slots {
            self.over_slots += 1;
            if self.over_slots_at_ms.len() < MAX_DECLINE_TIMES {
                self.over_slots_at_ms.push(super::now_ms());
            }
            return None;
        }
        self.busy += 1;
        self.max_busy = self.max_busy.max(self.busy);
        self.runs.push(run);
        Some(self.runs.len() - 1)
    }

    /// Records the end of the run with this index and frees its slot.
    pub(super) fn end(&mut self, index: usize) {
        self.busy = self.busy.saturating_sub(1);
        if let Some(run) = self.runs.get_mut(index) {
            run.end_ms = Some(super::now_ms());
        }
    }

    /// Records that a response announced the leaving; only the first time counts.
    pub(super) fn announce_leaving(&mut self) {
        self.leaving_since_ms.get_or_insert_with(super::now_ms);
    }
}
