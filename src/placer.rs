//! The placer daemon: one active in each zone, the others stand by.

mod active;
mod control;
pub mod daemon;
mod links;
pub mod message;
mod metrics;
mod shares;
pub mod wire;
pub mod zone;

pub use daemon::PlacerDaemon;
