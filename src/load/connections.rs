//! Opens many connections to an entry host and measures the memory that it uses for them.

use async_std::net::TcpStream;
use async_std::task;
use http_types::Method;

use super::results::Run;
use super::usage;
use crate::http::client::{self, ExchangeError};

/// Connections that are being opened at the same time.
const CONCURRENT_CONNECTS: usize = 64;

/// Longest wait for a connection to open, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 5_000;

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 * 1024;

/// Opens `count` connections to `target`, gets one request answered on each, and reports the memory
/// that process `pid` uses with and without them.
///
/// Ends early when all connections of a round fail; the figure `opened` tells how many there are.
///
/// # Errors
/// There is no process `pid`.
pub async fn run(target: &str, count: usize, pid: u32) -> std::io::Result<Run> {
    let before = usage::read(pid)?;
    let mut open = Vec::with_capacity(count);
    while open.len() < count {
        let batch = (count - open.len()).min(CONCURRENT_CONNECTS);
        let opening: Vec<_> = (0..batch).map(|_| task::spawn(connect(target.to_owned()))).collect();
        let mut failed = 0;
        for connection in opening {
            match connection.await {
                Ok(stream) => open.push(stream),
                Err(_) => failed += 1,
            }
        }
        if failed == batch {
            break;
        }
    }
    let after = usage::read(pid)?;
    let mut run = Run { name: "connections".to_owned(), ..Run::default() };
    let opened = open.len() as f64;
    let growth_kb = after.resident_kb() - before.resident_kb();
    run.figures.insert("opened".to_owned(), opened);
    run.figures.insert("resident_before_kb".to_owned(), before.resident_kb());
    run.figures.insert("resident_after_kb".to_owned(), after.resident_kb());
    run.figures.insert("resident_a_connection_kb".to_owned(), growth_kb / opened.max(1.0));
    Ok(run)
}

/// Opens a connection and gets one request answered on it, so that the entry host has accepted it.
async fn connect(target: String) -> Result<TcpStream, ExchangeError> {
    let stream = client::connect(&target, CONNECT_TIMEOUT_MS).await?;
    let request = client::request(Method::Get, &target, "/healthz")
        .map_err(|error| ExchangeError::NotSent(error.to_string()))?;
    client::exchange(stream.clone(), request, MAX_ANSWER_BYTES).await?;
    Ok(stream)
}
