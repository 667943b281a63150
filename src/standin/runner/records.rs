//! What a fake endpoint ran, for the checks of tests.

use serde::{Deserialize, Serialize};

/// Times that are kept of requests beyond the slots.
const TIMES_LIMIT: usize = 10;

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
    /// Wall time at which it ended; nothing while it runs.
    pub end_ms: Option<u64>,
}

impl Run {
    /// A run that begins now.
    pub fn new(key: impl Into<String>, request_id: impl Into<String>) -> Self {
        let (key, request_id) = (key.into(), request_id.into());
        Self { key, request_id, start_ms: super::now_ms(), end_ms: None }
    }
}

/// Everything that a fake endpoint ran.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Records {
    /// The runs in the order in which they began.
    pub runs: Vec<Run>,
    /// Requests that run now.
    pub busy: u32,
    /// Most requests that ran at once.
    pub max_busy: u32,
    /// Requests declined because every slot was taken.
    pub over_slots: u64,
    /// Wall times of the first of them, in milliseconds since the Unix epoch.
    pub over_slots_at_ms: Vec<u64>,
    /// Most connections that were open when a request came in.
    pub max_connections: usize,
    /// Requests taken in silent mode.
    pub unanswered: u64,
    /// Wall time at which the endpoint first told somebody that it leaves, in milliseconds.
    pub leaving_since_ms: Option<u64>,
}

impl Records {
    /// How often a request with `key` began to run.
    pub fn runs_of(&self, key: &str) -> usize {
        self.runs.iter().filter(|run| run.key == key).count()
    }

    /// Runs that began more than `grace_ms` after the endpoint said that it leaves.
    pub fn runs_after_leaving(&self, grace_ms: u64) -> usize {
        let Some(since_ms) = self.leaving_since_ms else { return 0 };
        self.runs.iter().filter(|run| run.start_ms > since_ms + grace_ms).count()
    }

    /// Begins a run, or gives nothing when every slot is taken.
    pub(super) fn begin(&mut self, run: Run, connections: usize, slots: u32) -> Option<usize> {
        self.max_connections = self.max_connections.max(connections);
        if self.busy >= slots {
            self.over_slots += 1;
            if self.over_slots_at_ms.len() < TIMES_LIMIT {
                self.over_slots_at_ms.push(super::now_ms());
            }
            return None;
        }
        self.busy += 1;
        self.max_busy = self.max_busy.max(self.busy);
        self.runs.push(run);
        Some(self.runs.len() - 1)
    }

    /// Ends a run.
    pub(super) fn end(&mut self, index: usize) {
        self.busy = self.busy.saturating_sub(1);
        if let Some(run) = self.runs.get_mut(index) {
            run.end_ms = Some(super::now_ms());
        }
    }

    /// Notes that somebody was told that the endpoint leaves.
    pub(super) fn announce(&mut self) {
        self.leaving_since_ms.get_or_insert_with(super::now_ms);
    }
}
