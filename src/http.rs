//! HTTP between daemons, callers and endpoints: a server with limits, a client with a connection
//! pool, and RPC with MessagePack bodies.

pub mod budget;
pub mod client;
mod connection;
pub mod error;
mod head;
pub mod rpc;
pub mod server;
