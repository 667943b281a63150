//! Seeded open-loop load, and reports of what callers saw.
//!
//! Requests leave at the moments that their plan sets, however slow the
//! answers are, and latency counts from that moment: a stall is seen by all
//! requests that it delays.

mod cell;
mod measure;

pub mod connections;
pub mod driver;
pub mod jobs;
pub mod plan;
pub mod report;
pub mod results;
pub mod suite;
pub mod usage;
