//! Settings structs of the binaries, one module per component.
//!
//! A settings file is YAML whose keys are the field names. A key that is absent takes the value of
//! the struct's `Default`; an unknown key or a value out of range is reported by
//! [`settings`](crate::settings) before the program starts.

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
