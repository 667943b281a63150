//! The placer: decides which worker runs which task.
//!
//! It is a deterministic state machine without I/O, clock or random numbers. Callers pass in
//! events and the current time, and carry out the actions that it returns.

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
