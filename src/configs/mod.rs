//! Settings, one struct per feature, each with its defaults.

pub mod ctl;
pub mod demo;
pub mod drain;
pub mod entry;
pub mod http;
pub mod ledger;
pub mod load;
pub mod log;
pub mod membership;
pub mod place;
pub mod placer;
pub mod queue;
pub mod quota;
pub mod route;
pub mod secret;
pub mod store;
