//! Hemlockrock is a cluster scheduler. It runs different kinds of work on the
//! hosts of one shared cell: requests to services, long-running services, batch
//! tasks, and gangs, which are jobs that start all their tasks or none.
//!
//! The binaries under `src/bin` only parse arguments and start what the modules
//! below implement. `docs/README.md` is the index of the documentation.

pub mod audit;
pub mod charts;
pub mod clock;
pub mod collections;
pub mod configs;
pub mod ctl;
pub mod decision_log;
pub mod declarations;
pub mod demo;
pub mod drain;
pub mod entry;
pub mod findings;
pub mod http;
pub mod inventory;
pub mod jobs;
pub mod ledger;
pub mod load;
pub mod membership;
pub mod outcome;
pub mod place;
pub mod placer;
pub mod platform;
pub mod queue;
pub mod quota;
pub mod route;
pub mod settings;
pub mod standin;
pub mod store;
pub mod telemetry;
