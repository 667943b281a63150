//! Queues of jobs whose tasks run on runners: accepting, ordering, and surviving the loss of hosts.
//!
//! Every host accepts jobs and answers questions; one of them, the leader, orders the runners.
//! [`scheduler`] decides, without a network; the rest carries out what it says.

pub mod control;
pub mod daemon;
pub mod election;
pub mod front;
pub mod host_info;
pub mod leader;
pub mod leader_preference;
pub mod metrics;
pub mod model;
pub mod peer;
pub mod record;
pub mod scheduler;
pub mod shared;
pub mod takeover;
pub mod watch;
