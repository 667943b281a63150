//! The placer: decides which worker runs which task.
//!
//! It is a deterministic state machine without I/O, clock or random numbers. Callers pass in
//! events and the current time, and carry out the actions that it returns.

mod assign;
pub mod explain;
mod failures;
mod gang;
mod index;
mod jobs;
pub mod lifecycle;
mod maintenance;
pub mod message;
pub mod placer;
mod preempt;
mod profiles;
mod queue;
mod reconcile;
mod rules;
mod scoring;
pub mod spec;
pub mod state;
mod triggers;
mod workers;

pub use message::{Action, Event};
pub use placer::Placer;
