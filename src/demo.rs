//! Runs a whole cell in one process and reports what happened.

pub mod oracle;
pub mod report;
