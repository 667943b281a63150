//! Decides which worker runs which task: pure, without I/O, clock or global randomness.

mod assign;
mod jobs;
pub mod life;
pub mod message;
pub mod placer;
pub mod spec;
pub mod state;
mod workers;

pub use message::{Action, Event};
pub use placer::Placer;
