//! Makes large hosts lead rather than small ones.
//!
//! The leader of a few hundred runners can need more processor than a small host has, and the hosts
//! of a cell can differ several times in size. A host therefore delays its campaign, and ends its
//! term, when it has heard of a far larger host that could lead.

/// Ratio of processor capacity from which a host counts as far larger than another one. A smaller
/// difference does not justify the cost of a takeover.
const FAR_LARGER_RATIO: u64 = 2;

/// Time after which the size of the largest host is outdated, in milliseconds: three heartbeats.
const LARGEST_VALID_MS: u64 = 3_000;

/// Campaign delay of a host that knows a far larger one, in milliseconds: enough for several round
/// trips of the larger host to the store.
const MAX_CAMPAIGN_DELAY_MS: u64 = 250;

/// Processor capacity that is sufficient to lead a cell, in thousandths of a core: about twice what
/// the leader of 350 runners uses at 700 starts a second.
const SUFFICIENT_MILLIS: u64 = 500;

/// Compares the size of this host with the other hosts that could lead.
#[derive(Clone, Copy, Debug)]
pub struct LeaderPreference {
    own_millis: u64,
    largest_millis: u64,
    largest_heard_ms: u64,
    /// Last heartbeat of a host that should lead rather than this one.
    larger_heard_ms: u64,
    /// Whether any other host has been heard of.
    has_heard: bool,
}

impl LeaderPreference {
    /// State of a host that has not heard of any other host.
    ///
    /// `own_millis` is the processor capacity of this host, in thousandths of a core.
    ///
    /// ```
    /// use hemlockrock::queue::leader_preference::LeaderPreference;
    ///
    /// let mut small = LeaderPreference::new(120);
    /// small.record_host(120, 1_000);
    /// assert_eq!(small.campaign_delay_ms(), 0);
    /// small.record_host(500, 1_000);
    /// assert!(small.campaign_delay_ms() > 0);
    /// ```
    pub fn new(own_millis: u64) -> Self {
        Self {
            own_millis,
            largest_millis: 0,
            largest_heard_ms: 0,
            larger_heard_ms: 0,
            has_heard: false,
        }
    }

    /// Records the processor capacity of a host that could lead, in thousandths of a core.
    ///
    /// Returns the capacity of the largest host that was recently recorded, including this one.
    pub fn record_host(&mut self, cpu_millis: u64, now_ms: u64) -> u64 {
        self.has_heard = true;
        if self.is_far_larger(cpu_millis) {
            self.larger_heard_ms = now_ms;
        }
        if cpu_millis >= self.largest_millis || now_ms > self.largest_heard_ms + LARGEST_VALID_MS {
            self.largest_millis = cpu_millis;
            self.largest_heard_ms = now_ms;
        }
        self.largest_millis.max(self.own_millis)
    }

    /// Whether a host with this processor capacity should lead rather than this one.
    pub fn is_far_larger(&self, cpu_millis: u64) -> bool {
        cpu_millis >= self.own_millis.saturating_mul(FAR_LARGER_RATIO).max(1)
    }

    /// Time for which this host delays its campaign in favour of larger hosts, in milliseconds.
    ///
    /// The larger host may have failed since its last heartbeat, so that the delay is bounded. A
    /// host that has heard of no other yet waits the longer, the smaller it is.
    pub fn campaign_delay_ms(&self) -> u64 {
        if !self.has_heard {
            return SUFFICIENT_MILLIS.saturating_sub(self.own_millis) * MAX_CAMPAIGN_DELAY_MS
                / SUFFICIENT_MILLIS;
        }
        if self.is_far_larger(self.largest_millis) {
            MAX_CAMPAIGN_DELAY_MS
        } else {
            0
        }
    }

    /// Whether a host that should lead rather than this one was recorded after `since_ms`.
    pub fn has_seen_larger_since(&self, since_ms: u64) -> bool {
        self.larger_heard_ms > since_ms
    }
}
