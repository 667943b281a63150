//! Adapter to the platform that the hosts run on: translates its names, message formats and HTTP
//! calls to and from the types of [`crate::queue::model`] and [`crate::store`].
//!
//! The adapter makes no decisions and never sleeps or retries; every call takes its time limit from the
//! caller.

pub mod advice;
pub mod callers;
pub mod declarations;
pub mod orders;
pub mod runners;
pub mod settings;
pub mod store;
