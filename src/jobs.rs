//! Job submission: the HTTP API, the gateway that routes requests to the placer of a zone, and the
//! journal of job records.

pub mod api;
pub mod gateway;
pub mod journal;
pub mod record;
