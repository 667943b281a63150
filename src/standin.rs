//! Small fakes of the outside systems, for tests and the demo.

pub mod hosts;
pub mod proxy;
pub mod runner;
pub mod store;
pub mod worker;
