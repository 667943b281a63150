//! HTTP between our processes, callers and endpoints: a bounded server, a pooled client and calls
//! whose bodies are MessagePack.

pub mod client;
pub mod error;
pub mod rpc;
pub mod server;
