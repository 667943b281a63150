//! Joins what is known about one host: the platform's lagging list, the host's own word, and what
//! its connections show.

use serde::{Deserialize, Serialize};

use crate::membership::hosts::HostState;

/// How the signals are weighed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LivenessLimits {
    /// Longest time by which the platform's list is late, in milliseconds.
    pub list_lag_ms: u64,
    /// Time without an answer, while tries fail, after which a host is suspect, in milliseconds.
    pub suspect_after_ms: u64,
}

impl Default for LivenessLimits {
    fn default() -> Self {
        Self { list_lag_ms: 30_000, suspect_after_ms: 1_500 }
    }
}

/// Whether a host may be given work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// Nothing is known yet.
    Unknown,
    /// It may be given work.
    Serving,
    /// It finishes what it has and is given nothing new.
    Leaving,
    /// It does not answer; what it has may still run.
    Suspect,
    /// The platform has removed it, and it does not answer.
    Gone,
}

/// What is known about one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Liveness {
    limits: LivenessLimits,
    listed: Option<HostState>,
    removed_at_ms: Option<u64>,
    said_leaving: bool,
    answered_at_ms: Option<u64>,
    failing_since_ms: Option<u64>,
}

impl Liveness {
    /// A host about which nothing is known.
    pub fn new(limits: LivenessLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Notes what the platform's list says; [`HostState::Gone`] when the host is not in it.
    pub fn listed(&mut self, state: HostState, now_ms: u64) {
        let was_listed = matches!(self.listed, Some(HostState::Live | HostState::Leaving));
        match state {
            HostState::Gone if was_listed => {
                self.removed_at_ms = Some(now_ms);
                self.listed = Some(HostState::Gone);
            }
            HostState::Gone => {}
            state => {
                self.removed_at_ms = None;
                self.listed = Some(state);
            }
        }
    }

    /// Notes an answer in which the host said whether it is leaving.
    ///
    /// ```
    /// use hemlockrock::membership::liveness::{Liveness, LivenessLimits, Standing};
    ///
    /// let mut host = Liveness::new(LivenessLimits::default());
    /// host.answered(false, 0);
    /// assert_eq!(host.standing(1), Standing::Serving);
    /// host.answered(true, 2);
    /// assert_eq!(host.standing(2), Standing::Leaving);
    /// ```
    pub fn answered(&mut self, is_leaving: bool, now_ms: u64) {
        self.said_leaving = is_leaving;
        self.answered_at_ms = Some(now_ms);
        self.failing_since_ms = None;
    }

    /// Notes that the host did not answer.
    pub fn failed(&mut self, now_ms: u64) {
        self.failing_since_ms.get_or_insert(now_ms);
    }

    /// Whether the host may be given work.
    pub fn standing(&self, now_ms: u64) -> Standing {
        let is_failing = self
            .failing_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + self.limits.suspect_after_ms);
        if self.listed == Some(HostState::Gone) && !self.has_returned() {
            return Standing::Gone;
        }
        if is_failing {
            return Standing::Suspect;
        }
        if self.said_leaving || self.listed == Some(HostState::Leaving) {
            return Standing::Leaving;
        }
        match (self.listed, self.answered_at_ms) {
            (None, None) => Standing::Unknown,
            _ => Standing::Serving,
        }
    }

    /// Whether the host answered so long after its removal that the list must be late about a
    /// return, and not early about an end.
    fn has_returned(&self) -> bool {
        match (self.removed_at_ms, self.answered_at_ms) {
            (Some(removed_at_ms), Some(answered_at_ms)) => {
                answered_at_ms > removed_at_ms + self.limits.list_lag_ms
            }
            _ => false,
        }
    }
}
