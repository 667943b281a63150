//! Which hosts should lead: one that orders hundreds of runners needs a large share of a processor.
//!
//! The load that it answers: cells whose hosts differ several times in size, where the leader of a
//! few hundred runners takes more processor than a small host has.

/// Processor of a host that is far larger than another one, as a multiple: a change of the leader
/// has to be worth a takeover.
const FAR_LARGER: u64 = 2;

/// Time for which the size of the largest host is believed, in milliseconds: three signs of life.
const SIZE_KEPT_MS: u64 = 3_000;

/// Time by which a host lets far larger ones try first, in milliseconds: some answers of the store.
const LARGER_FIRST_MS: u64 = 250;

/// Processor that suffices to lead a cell, in thousandths of a core: about twice what the leader of
/// 350 runners and 700 starts a second takes.
const AMPLE_MILLIS: u64 = 500;

/// How a host stands among the others.
#[derive(Clone, Copy, Debug)]
pub struct Standing {
    own_millis: u64,
    largest_millis: u64,
    largest_heard_ms: u64,
    /// When a host was heard that should lead rather than this one.
    larger_heard_ms: u64,
    has_heard: bool,
}

impl Standing {
    /// A host with this processor, in thousandths of a core, that has heard of no other.
    ///
    /// ```
    /// use hemlockrock::queue::standing::Standing;
    ///
    /// let mut small = Standing::new(120);
    /// small.note(120, 1_000);
    /// assert_eq!(small.campaign_delay_ms(), 0);
    /// small.note(500, 1_000);
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

    /// Takes in the processor of a host that could lead; returns that of the largest one heard
    /// lately, this one included.
    pub fn note(&mut self, cpu_millis: u64, now_ms: u64) -> u64 {
        self.has_heard = true;
        if self.is_far_larger(cpu_millis) {
            self.larger_heard_ms = now_ms;
        }
        if cpu_millis >= self.largest_millis || now_ms > self.largest_heard_ms + SIZE_KEPT_MS {
            self.largest_millis = cpu_millis;
            self.largest_heard_ms = now_ms;
        }
        self.largest_millis.max(self.own_millis)
    }

    /// Whether a host with this processor should lead rather than this one.
    pub fn is_far_larger(&self, cpu_millis: u64) -> bool {
        cpu_millis >= self.own_millis.saturating_mul(FAR_LARGER).max(1)
    }

    /// Time by which this host lets others try to lead first, in milliseconds.
    ///
    /// It goes by the hosts that lived when they were last heard of, which may be gone by now. A
    /// host that has heard of none yet waits the longer the smaller it is.
    pub fn campaign_delay_ms(&self) -> u64 {
        if !self.has_heard {
            return AMPLE_MILLIS.saturating_sub(self.own_millis) * LARGER_FIRST_MS / AMPLE_MILLIS;
        }
        if self.is_far_larger(self.largest_millis) {
            LARGER_FIRST_MS
        } else {
            0
        }
    }

    /// Whether a host that should lead rather than this one has been heard after `since_ms`.
    pub fn hears_larger_since(&self, since_ms: u64) -> bool {
        self.larger_heard_ms > since_ms
    }
}
