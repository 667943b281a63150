//! Hemlockrock schedules unlike work on one shared cell of hosts: requests to
//! services, long-running services, batch tasks and jobs that start whole.
//!
//! The binaries under `src/bin` hold arguments and wiring only; everything
//! they do lives in the modules listed here. `docs/README.md` is the map.

pub mod charts;
pub mod clock;
pub mod collections;
pub mod configs;
pub mod findings;
pub mod http;
pub mod settings;
pub mod telemetry;
