//! HTTP between daemons, callers and endpoints: a server with limits, a client with a connection
//! pool, and RPC with MessagePack bodies.

pub mod client;
pub mod error;
pub mod rpc;
pub mod server;
