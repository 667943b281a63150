//! Decides which worker runs which task: pure, without I/O, clock or global randomness.

mod assign;
pub mod explain;
mod gang;
mod health;
mod index;
mod jobs;
mod learn;
pub mod life;
pub mod message;
pub mod placer;
mod policy;
mod preempt;
mod queue;
mod report;
mod rules;
pub mod spec;
pub mod state;
mod upkeep;
mod wake;
mod workers;

pub use message::{Action, Event};
pub use placer::Placer;
