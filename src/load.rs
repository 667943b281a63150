//! Seeded open-loop load and its reports.

pub mod driver;
pub mod plan;
pub mod report;
