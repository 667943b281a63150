//! The placer daemon: one active in each zone, the others stand by.

mod active;
mod control;
pub mod daemon;
pub mod message;
mod metrics;
mod shares;
pub mod wire;
mod worker_calls;
pub mod zone_lease;

pub use daemon::PlacerDaemon;
