//! Generates seeded open-loop load and reports outcomes and latency as callers see them.
//!
//! Each request is sent at the time that its plan sets, however slow earlier
//! answers are, and its latency counts from that time. A stall therefore shows
//! in the latency of every request that it delays, without coordinated
//! omission.

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
