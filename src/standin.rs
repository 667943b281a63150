//! Stand-ins: fakes of the systems that the daemons depend on, for tests, `hemlock-standin`
//! and `hemlock-demo`.
//!
//! They keep their state in memory, serve the real wire formats on real sockets
//! and inject faults on demand.

pub mod hosts;
pub mod proxy;
pub mod runner;
pub mod store;
pub mod worker;
