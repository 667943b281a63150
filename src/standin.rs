//! Small fakes of the outside systems, for tests and the demo.

pub mod runner;
pub mod store;
pub mod worker;
