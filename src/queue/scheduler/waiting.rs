//! Order in which waiting steps are offered the free resources.

/// A step with waiting tasks, as far as its order among the others is concerned.
#[derive(Clone, Copy, Debug)]
pub struct WaitingStep {
    /// Priority of its queue; 0 is the most urgent.
    pub priority: u32,
    /// Time at which its job should be completed, in milliseconds.
    pub due_ms: u64,
    /// Whether its job exceeds the weight of its workspace.
    pub exceeds_share: bool,
    /// How much of its share the workspace uses, coarsely; 0 is the least.
    pub share_level: u32,
}

/// Position of a waiting step; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    priority: u32,
    share: (bool, u32),
    due_ms: u64,
}

/// Ranks a waiting step: by priority, then by the share of its workspace, then by due time.
pub fn rank(waiting: &WaitingStep) -> Rank {
    let share = (waiting.exceeds_share, waiting.share_level);
    Rank { priority: waiting.priority, share, due_ms: waiting.due_ms }
}
