//! Settings, one struct per feature, each with its defaults.

pub mod http;
pub mod log;
