//! Jobs: what callers send, what is recorded of them and the door that takes them.

pub mod api;
pub mod gateway;
pub mod journal;
pub mod record;
