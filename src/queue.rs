//! Job queues: hosts accept jobs, and an elected leader runs their tasks on remote runners.
//!
//! Every host accepts jobs and reports their state. One host is the leader: it assigns tasks to
//! runners. [`scheduler`] makes the decisions without doing any I/O; the other modules feed it
//! events and execute its actions.

pub mod authentication;
pub mod caller_api;
pub mod control;
pub mod daemon;
pub mod election;
pub mod former_terms;
pub mod host_info;
pub mod host_state;
pub mod leader;
pub mod leader_preference;
pub mod metrics;
pub mod model;
pub mod peer;
pub mod record;
pub mod scheduler;
pub mod server_limits;
pub mod takeover;
pub mod watch;
pub mod workspaces;
