//! The placer daemon, which assigns the tasks of a zone to workers.
//!
//! In each zone one placer holds the zone lease and is active; the others are on standby.

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
