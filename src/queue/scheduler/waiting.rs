//! Order in which waiting steps are offered the free resources.

/// A step with waiting tasks, as far as its order among the others is concerned.
#[derive(Clone, Copy, Debug)]
pub struct WaitingStep {
    /// Priority of its queue; 0 is the most urgent.
    pub priority: u32,
    /// Time at which its job should be completed, in milliseconds.
    pub due_ms: u64,
}

/// Position of a waiting step; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    priority: u32,
    due_ms: u64,
}

/// Ranks a waiting step: by priority, then by due time.
pub fn rank(waiting: &WaitingStep) -> Rank {
    Rank { priority: waiting.priority, due_ms: waiting.due_ms }
}
