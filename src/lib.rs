//! Hemlockrock schedules unlike work on one shared cell of hosts: requests to
//! services, long-running services, batch tasks and jobs that start whole.
//!
//! The binaries under `src/bin` hold arguments and wiring only; everything
//! they do lives in the modules listed here. `docs/README.md` is the map.

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
