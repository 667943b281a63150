//! A TCP proxy that injects faults between two of the cell's processes.
//!
//! The fault in force is set through the library or by `POST /standin/fault`
//! on the control address. A seed decides which connections or answers a
//! partial fault affects, so that a run can be repeated.

use std::net::Shutdown;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures_lite::{future, AsyncReadExt as _, AsyncWriteExt as _};
use serde::{Deserialize, Serialize};

use crate::collections;
use crate::configs::http::HttpConfig;
use crate::http::error::ApiError;
use crate::http::server;

/// Path of the control interface that sets the fault in force; takes a [`Fault`] as JSON.
pub const FAULT_PATH: &str = "/standin/fault";

/// Path of the control interface that returns the [`Counters`] as JSON.
pub const COUNTERS_PATH: &str = "/standin/counters";

/// Most bytes that are read and passed on at once; `delay` and `slow` act on each such chunk.
const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// Interval at which a connection checks whether a `cut` has closed it, and pause after a failed
/// accept, in milliseconds.
const POLL_INTERVAL_MS: u64 = 10;

/// What the proxy does to connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Passes everything on.
    #[default]
    Pass,
    /// Every chunk is held for `delay_us`.
    Delay,
    /// Bytes are discarded in both directions; connections stay open.
    Drop,
    /// Open connections are closed, new ones as soon as they are accepted.
    Cut,
    /// Connections open when the fault is set discard all bytes from then on, also after the fault
    /// is replaced; new ones work.
    Silent,
    /// Answers are discarded, requests arrive.
    HalfOpen,
    /// Connections are closed when answer bytes arrive, before these are passed on.
    LostAnswer,
    /// At most `bytes_per_s` pass in each direction of a connection.
    Slow,
    /// Connections are closed at the next request bytes, which are not passed on.
    Reset,
}

/// The fault in force.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// What the proxy does.
    pub kind: FaultKind,
    /// Share of connections, or of answer chunks for `lost_answer`, that it affects, 0 to 1.
    pub fraction: f64,
    /// Time for which `delay` holds a chunk, in microseconds.
    pub delay_us: u64,
    /// Rate to which `slow` limits each direction of a connection, in bytes per second.
    pub bytes_per_s: u64,
    /// Seed that selects the connections or answers which a partial fault affects.
    pub seed: u64,
}

impl Default for Fault {
    fn default() -> Self {
        Self { kind: FaultKind::Pass, fraction: 1.0, delay_us: 0, bytes_per_s: 10_000, seed: 0 }
    }
}

impl Fault {
    /// Creates a fault that affects every connection or answer.
    pub fn new(kind: FaultKind) -> Self {
        Self { kind, ..Self::default() }
    }

    /// Limits the fault to a share of connections or answers, chosen by `seed`.
    #[must_use]
    pub fn with_fraction(mut self, fraction: f64, seed: u64) -> Self {
        self.fraction = fraction;
        self.seed = seed;
        self
    }

    /// Sets the time for which `delay` holds a chunk, in microseconds.
    #[must_use]
    pub fn with_delay_us(mut self, delay_us: u64) -> Self {
        self.delay_us = delay_us;
        self
    }

    /// Whether the fault affects the connection or answer with this number.
    ///
    /// Depends only on the seed, the fraction and the number.
    ///
    /// ```
    /// use hemlockrock::standin::proxy::{Fault, FaultKind};
    ///
    /// let third = Fault::new(FaultKind::Silent).with_fraction(0.33, 7);
    /// let affected = (0..3_000).filter(|number| third.affects(*number)).count();
    /// assert!((800..1_200).contains(&affected));
    /// ```
    pub fn affects(&self, number: u64) -> bool {
        let mut bytes = [0_u8; 16];
        bytes[..8].copy_from_slice(&self.seed.to_le_bytes());
        bytes[8..].copy_from_slice(&number.to_le_bytes());
        let share = collections::stable_hash(bytes) as f64 / u64::MAX as f64;
        share < self.fraction
    }
}

/// What the proxy has done since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Counters {
    /// Connections accepted.
    pub connections: u64,
    /// Connections that a fault closed.
    pub closed_by_fault: u64,
    /// Chunks of answers that a fault discarded.
    pub answers_lost: u64,
}

/// A running proxy.
#[derive(Clone, Debug)]
pub struct ProxyStandin {
    shared: Arc<Shared>,
    address: std::net::SocketAddr,
}

#[derive(Debug)]
struct Shared {
    /// Address to which new connections are passed.
    target: Mutex<String>,
    /// The fault in force and how many times it has been changed.
    fault: Mutex<(Fault, u64)>,
    /// Every silent fault set so far, with the number of its change.
    silent_faults: Mutex<Vec<(Fault, u64)>>,
    connections: AtomicU64,
    closed_by_fault: AtomicU64,
    answers_lost: AtomicU64,
    /// Answer chunks seen under `lost_answer`; numbers them for the choice by seed.
    answer_chunks: AtomicU64,
}

/// Direction in which bytes pass: request to the target, answer to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

/// What to do with a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkAction {
    Pass,
    PassAfter(Duration),
    Discard,
    Close,
}

/// Identifies one connection through the proxy.
#[derive(Clone, Copy, Debug)]
struct Connection {
    /// Number of connections accepted before it.
    number: u64,
    /// How many times the fault had been changed when it was opened.
    opened_at_change: u64,
}

impl ProxyStandin {
    /// Listens on `address` and passes connections on to `target`.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(address: &str, target: impl Into<String>) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let shared = Arc::new(Shared {
            target: Mutex::new(target.into()),
            fault: Mutex::new((Fault::default(), 0)),
            silent_faults: Mutex::default(),
            connections: AtomicU64::new(0),
            closed_by_fault: AtomicU64::new(0),
            answers_lost: AtomicU64::new(0),
            answer_chunks: AtomicU64::new(0),
        });
        let proxy = Self { shared: Arc::clone(&shared), address: listener.local_addr()? };
        task::spawn(accept_connections(listener, shared));
        Ok(proxy)
    }

    /// Address on which the proxy listens, `IP:port`; clients use it in place of the target's.
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Replaces the fault in force.
    pub fn set_fault(&self, fault: Fault) {
        let mut held = self.shared.fault.lock().unwrap_or_else(PoisonError::into_inner);
        *held = (fault, held.1 + 1);
        if fault.kind == FaultKind::Silent {
            let mut silent_faults =
                self.shared.silent_faults.lock().unwrap_or_else(PoisonError::into_inner);
            silent_faults.push(*held);
        }
    }

    /// Passes new connections on to another target; open ones keep theirs.
    pub fn set_target(&self, target: impl Into<String>) {
        *self.shared.target.lock().unwrap_or_else(PoisonError::into_inner) = target.into();
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> Counters {
        Counters {
            connections: self.shared.connections.load(Ordering::Relaxed),
            closed_by_fault: self.shared.closed_by_fault.load(Ordering::Relaxed),
            answers_lost: self.shared.answers_lost.load(Ordering::Relaxed),
        }
    }

    /// Serves the control interface on `address` and returns its server.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn serve_control(&self, address: &str) -> std::io::Result<server::Server> {
        let mut app = tide::with_state(self.clone());
        app.at(FAULT_PATH).post(handle_set_fault);
        app.at(COUNTERS_PATH).get(|request: tide::Request<Self>| async move {
            tide::Body::from_json(&request.state().counters()).map(tide::Response::from)
        });
        server::Server::start(address, app, HttpConfig::default()).await
    }
}

async fn handle_set_fault(mut request: tide::Request<ProxyStandin>) -> tide::Result {
    let body = request.body_bytes().await?;
    match serde_json::from_slice::<Fault>(&body) {
        Ok(fault) => {
            request.state().set_fault(fault);
            Ok(tide::Response::new(tide::StatusCode::NoContent))
        }
        Err(error) => Ok(ApiError::new(400, "bad_fault", error.to_string()).to_response()),
    }
}

impl Shared {
    fn fault(&self) -> (Fault, u64) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides what to do with a chunk; called once for each, since it counts answers.
    fn action_for(&self, connection: Connection, direction: Direction) -> ChunkAction {
        if self.is_silenced(connection) {
            return ChunkAction::Discard;
        }
        let (fault, _) = self.fault();
        let is_affected = fault.affects(connection.number);
        match fault.kind {
            FaultKind::Delay if is_affected => {
                ChunkAction::PassAfter(Duration::from_micros(fault.delay_us))
            }
            FaultKind::Drop if is_affected => ChunkAction::Discard,
            FaultKind::Cut if is_affected => ChunkAction::Close,
            FaultKind::HalfOpen if is_affected && direction == Direction::Answer => {
                ChunkAction::Discard
            }
            FaultKind::LostAnswer if direction == Direction::Answer => {
                let number = self.answer_chunks.fetch_add(1, Ordering::Relaxed);
                if fault.affects(number) {
                    ChunkAction::Close
                } else {
                    ChunkAction::Pass
                }
            }
            FaultKind::Reset if is_affected && direction == Direction::Request => {
                ChunkAction::Close
            }
            _ => ChunkAction::Pass,
        }
    }

    /// Whether a silent fault was set while the connection was open and affects it; never reverts.
    fn is_silenced(&self, connection: Connection) -> bool {
        let silent_faults = self.silent_faults.lock().unwrap_or_else(PoisonError::into_inner);
        let mut later =
            silent_faults.iter().filter(|(_, change)| connection.opened_at_change < *change);
        later.any(|(fault, _)| fault.affects(connection.number))
    }

    /// Rate limit of the connection under a `slow` fault.
    fn bytes_per_s(&self, connection: Connection) -> Option<u64> {
        let (fault, _) = self.fault();
        let is_slow = fault.kind == FaultKind::Slow && fault.affects(connection.number);
        is_slow.then_some(fault.bytes_per_s.max(1))
    }

    fn is_cut(&self, connection: Connection) -> bool {
        let (fault, _) = self.fault();
        fault.kind == FaultKind::Cut && fault.affects(connection.number)
    }
}

async fn accept_connections(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((caller, _)) = listener.accept().await else {
            task::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
            continue;
        };
        let number = shared.connections.fetch_add(1, Ordering::Relaxed);
        let connection = Connection { number, opened_at_change: shared.fault().1 };
        let shared = Arc::clone(&shared);
        task::spawn(async move {
            if shared.is_cut(connection) {
                shared.closed_by_fault.fetch_add(1, Ordering::Relaxed);
                return;
            }
            let target = shared.target.lock().unwrap_or_else(PoisonError::into_inner).clone();
            let Ok(target) = TcpStream::connect(target).await else { return };
            relay(caller, target, connection, &shared).await;
        });
    }
}

/// Passes bytes both ways until both directions end or a fault cuts the connection.
async fn relay(caller: TcpStream, target: TcpStream, connection: Connection, shared: &Shared) {
    let _ = (caller.set_nodelay(true), target.set_nodelay(true));
    let requests =
        copy_chunks(caller.clone(), target.clone(), connection, Direction::Request, shared);
    let answers =
        copy_chunks(target.clone(), caller.clone(), connection, Direction::Answer, shared);
    let both = future::zip(requests, answers);
    let cut = async {
        while !shared.is_cut(connection) {
            task::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
        shared.closed_by_fault.fetch_add(1, Ordering::Relaxed);
        (CopyEnd::ByFault, CopyEnd::ByFault)
    };
    future::or(both, cut).await;
    let _ = caller.shutdown(Shutdown::Both);
    let _ = target.shutdown(Shutdown::Both);
}

/// How one direction of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CopyEnd {
    ByPeer,
    ByFault,
}

/// Passes chunks on in one direction; at the end shuts down the receiver's write half.
///
/// A silenced connection stays open without an end, as behind a host that vanished.
async fn copy_chunks(
    mut from: TcpStream,
    mut to: TcpStream,
    connection: Connection,
    direction: Direction,
    shared: &Shared,
) -> CopyEnd {
    let mut chunk = vec![0_u8; MAX_CHUNK_BYTES];
    loop {
        let length = match from.read(&mut chunk).await {
            Ok(length) if length > 0 => length,
            _ => break,
        };
        match shared.action_for(connection, direction) {
            ChunkAction::Pass => {}
            ChunkAction::PassAfter(delay) => task::sleep(delay).await,
            ChunkAction::Discard => {
                if direction == Direction::Answer {
                    shared.answers_lost.fetch_add(1, Ordering::Relaxed);
                }
                continue;
            }
            ChunkAction::Close => {
                close_by_fault(&from, &to, direction, shared);
                return CopyEnd::ByFault;
            }
        }
        if let Some(bytes_per_s) = shared.bytes_per_s(connection) {
            const MS_PER_S: u64 = 1_000;
            let pause_ms = length as u64 * MS_PER_S / bytes_per_s;
            task::sleep(Duration::from_millis(pause_ms)).await;
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            break;
        }
    }
    if !shared.is_silenced(connection) {
        let _ = to.shutdown(Shutdown::Write);
    }
    CopyEnd::ByPeer
}

fn close_by_fault(from: &TcpStream, to: &TcpStream, direction: Direction, shared: &Shared) {
    shared.closed_by_fault.fetch_add(1, Ordering::Relaxed);
    if direction == Direction::Answer {
        shared.answers_lost.fetch_add(1, Ordering::Relaxed);
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
