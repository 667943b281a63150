//! The adapter to the users' platform: its names, formats and calls, decoded once into our types.
//!
//! Nothing here decides, retries or waits; callers bring their own time limits.

pub mod advice;
pub mod callers;
pub mod declarations;
pub mod orders;
pub mod runners;
pub mod settings;
pub mod store;
