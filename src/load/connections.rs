//! Opens many connections to an entry host and keeps them open.

use async_std::net::TcpStream;
use async_std::task;
use http_types::Method;

use super::results::Run;
use super::usage;
use crate::http::client::{self, ExchangeError};

/// Connections that are opened at the same time.
const AT_ONCE: usize = 64;

/// Longest wait for a connection to open, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 5_000;

/// Longest answer that is read, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 * 1024;

/// Opens `count` connections to `target`, each with one answered request, and reports what
/// process `pid` needs for them.
///
/// # Errors
/// There is no such process.
pub async fn run(target: &str, count: usize, pid: u32) -> std::io::Result<Run> {
    let before = usage::usage(pid)?;
    let mut open = Vec::with_capacity(count);
    while open.len() < count {
        let missing = (count - open.len()).min(AT_ONCE);
        let opening: Vec<_> =
            (0..missing).map(|_| task::spawn(connect(target.to_owned()))).collect();
        let mut failed = 0;
        for one in opening {
            match one.await {
                Ok(stream) => open.push(stream),
                Err(_) => failed += 1,
            }
        }
        if failed == missing {
            break;
        }
    }
    let after = usage::usage(pid)?;
    let mut run = Run { name: "connections".to_owned(), ..Run::default() };
    let opened = open.len() as f64;
    let grown_kb = after.resident_kb() - before.resident_kb();
    run.figures.insert("opened".to_owned(), opened);
    run.figures.insert("resident_before_kb".to_owned(), before.resident_kb());
    run.figures.insert("resident_after_kb".to_owned(), after.resident_kb());
    run.figures.insert("resident_a_connection_kb".to_owned(), grown_kb / opened.max(1.0));
    Ok(run)
}

/// Opens a connection and has one request answered on it, so that the other side serves it.
async fn connect(target: String) -> Result<TcpStream, ExchangeError> {
    let stream = client::open(&target, CONNECT_TIMEOUT_MS).await?;
    let request = client::request(Method::Get, &target, "/healthz")
        .map_err(|error| ExchangeError::NotSent(error.to_string()))?;
    client::exchange(stream.clone(), request, MAX_ANSWER_BYTES).await?;
    Ok(stream)
}
