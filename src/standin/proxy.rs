//! A TCP proxy that injects faults between two of the cell's processes.
//!
//! The fault in force is set through the library or by `POST /standin/fault`
//! on the control address. A seed decides which connections or answers a
//! partial fault strikes, so that a run can be repeated.

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

/// Path that sets the fault in force.
pub const FAULT_PATH: &str = "/standin/fault";

/// Path that reports what passed.
pub const COUNTERS_PATH: &str = "/standin/counters";

/// Bytes that are moved at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Time between looks at whether a fault has struck an idle connection, in milliseconds.
const LOOK_EVERY_MS: u64 = 10;

/// What goes wrong on the way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Nothing.
    #[default]
    Pass,
    /// Every chunk is held for `delay_us`.
    Delay,
    /// Bytes are swallowed in both directions; connections stay open.
    Drop,
    /// Connections are closed and new ones are closed at once.
    Cut,
    /// Connections open at this moment go silent for good; new ones work.
    Silent,
    /// Answers are swallowed, requests arrive.
    HalfOpen,
    /// Connections are closed when the answer comes, before it is passed on.
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
    /// What goes wrong.
    pub kind: Kind,
    /// Share of connections, or of answers for `lost_answer`, that it strikes, 0 to 1.
    pub fraction: f64,
    /// Time for which `delay` holds a chunk, in microseconds.
    pub delay_us: u64,
    /// Rate that `slow` lets through, in bytes a second.
    pub bytes_per_s: u64,
    /// Chooses what a partial fault strikes.
    pub seed: u64,
}

impl Default for Fault {
    fn default() -> Self {
        Self { kind: Kind::Pass, fraction: 1.0, delay_us: 0, bytes_per_s: 10_000, seed: 0 }
    }
}

impl Fault {
    /// A fault that strikes everything.
    pub fn new(kind: Kind) -> Self {
        Self { kind, ..Self::default() }
    }

    /// Limits the fault to a share of connections or answers, chosen by `seed`.
    #[must_use]
    pub fn with_fraction(mut self, fraction: f64, seed: u64) -> Self {
        self.fraction = fraction;
        self.seed = seed;
        self
    }

    /// Sets the delay in microseconds.
    #[must_use]
    pub fn with_delay_us(mut self, delay_us: u64) -> Self {
        self.delay_us = delay_us;
        self
    }

    /// Whether the fault strikes the thing with this number; the same for every call.
    ///
    /// ```
    /// use hemlockrock::standin::proxy::{Fault, Kind};
    ///
    /// let third = Fault::new(Kind::Silent).with_fraction(0.33, 7);
    /// let struck = (0..3_000).filter(|number| third.strikes(*number)).count();
    /// assert!((800..1_200).contains(&struck));
    /// ```
    pub fn strikes(&self, number: u64) -> bool {
        let mut bytes = [0_u8; 16];
        bytes[..8].copy_from_slice(&self.seed.to_le_bytes());
        bytes[8..].copy_from_slice(&number.to_le_bytes());
        let share = collections::stable_hash(bytes) as f64 / u64::MAX as f64;
        share < self.fraction
    }
}

/// What has passed and what was struck.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Counters {
    /// Connections accepted.
    pub connections: u64,
    /// Connections that a fault closed.
    pub closed_by_fault: u64,
    /// Answers swallowed or lost by a fault.
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
    target: Mutex<String>,
    fault: Mutex<(Fault, u64)>,
    /// Silent faults that have been in force, each with the number of its change.
    silences: Mutex<Vec<(Fault, u64)>>,
    connections: AtomicU64,
    closed_by_fault: AtomicU64,
    answers_lost: AtomicU64,
    answers: AtomicU64,
}

/// Direction in which bytes move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

/// What becomes of a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Pass,
    PassAfter(Duration),
    Swallow,
    Close,
}

/// One connection through the proxy.
#[derive(Clone, Copy, Debug)]
struct Link {
    number: u64,
    /// Number of the fault change in force when it was opened.
    opened_at_change: u64,
}

impl ProxyStandin {
    /// Starts to pass connections on `address` to `target`.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(address: &str, target: impl Into<String>) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let shared = Arc::new(Shared {
            target: Mutex::new(target.into()),
            fault: Mutex::new((Fault::default(), 0)),
            silences: Mutex::default(),
            connections: AtomicU64::new(0),
            closed_by_fault: AtomicU64::new(0),
            answers_lost: AtomicU64::new(0),
            answers: AtomicU64::new(0),
        });
        let proxy = Self { shared: Arc::clone(&shared), address: listener.local_addr()? };
        task::spawn(accept_loop(listener, shared));
        Ok(proxy)
    }

    /// Address that stands for the target.
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Sets the fault in force.
    pub fn set_fault(&self, fault: Fault) {
        let mut held = self.shared.fault.lock().unwrap_or_else(PoisonError::into_inner);
        *held = (fault, held.1 + 1);
        if fault.kind == Kind::Silent {
            let mut silences = self.shared.silences.lock().unwrap_or_else(PoisonError::into_inner);
            silences.push(*held);
        }
    }

    /// Sends new connections to another target.
    pub fn set_target(&self, target: impl Into<String>) {
        *self.shared.target.lock().unwrap_or_else(PoisonError::into_inner) = target.into();
    }

    /// What has passed so far.
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
        app.at(FAULT_PATH).post(set_fault);
        app.at(COUNTERS_PATH).get(|request: tide::Request<Self>| async move {
            tide::Body::from_json(&request.state().counters()).map(tide::Response::from)
        });
        server::Server::start(address, app, HttpConfig::default()).await
    }
}

async fn set_fault(mut request: tide::Request<ProxyStandin>) -> tide::Result {
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

    /// Decides about a chunk, or about an idle connection when there is none.
    fn verdict(&self, link: Link, direction: Direction) -> Verdict {
        if self.is_silenced(link) {
            return Verdict::Swallow;
        }
        let (fault, _) = self.fault();
        let struck = fault.strikes(link.number);
        match fault.kind {
            Kind::Delay if struck => Verdict::PassAfter(Duration::from_micros(fault.delay_us)),
            Kind::Drop if struck => Verdict::Swallow,
            Kind::Cut if struck => Verdict::Close,
            Kind::HalfOpen if struck && direction == Direction::Answer => Verdict::Swallow,
            Kind::LostAnswer if direction == Direction::Answer => {
                let number = self.answers.fetch_add(1, Ordering::Relaxed);
                if fault.strikes(number) {
                    Verdict::Close
                } else {
                    Verdict::Pass
                }
            }
            Kind::Reset if struck && direction == Direction::Request => Verdict::Close,
            _ => Verdict::Pass,
        }
    }

    /// Whether a silent fault has struck the connection; this never ends.
    fn is_silenced(&self, link: Link) -> bool {
        let silences = self.silences.lock().unwrap_or_else(PoisonError::into_inner);
        let mut later = silences.iter().filter(|(_, change)| link.opened_at_change < *change);
        later.any(|(fault, _)| fault.strikes(link.number))
    }

    fn bytes_per_s(&self, link: Link) -> Option<u64> {
        let (fault, _) = self.fault();
        let is_slow = fault.kind == Kind::Slow && fault.strikes(link.number);
        is_slow.then_some(fault.bytes_per_s.max(1))
    }

    fn is_cut(&self, link: Link) -> bool {
        let (fault, _) = self.fault();
        fault.kind == Kind::Cut && fault.strikes(link.number)
    }
}

async fn accept_loop(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((caller, _)) = listener.accept().await else {
            task::sleep(Duration::from_millis(LOOK_EVERY_MS)).await;
            continue;
        };
        let number = shared.connections.fetch_add(1, Ordering::Relaxed);
        let link = Link { number, opened_at_change: shared.fault().1 };
        let shared = Arc::clone(&shared);
        task::spawn(async move {
            if shared.is_cut(link) {
                shared.closed_by_fault.fetch_add(1, Ordering::Relaxed);
                return;
            }
            let target = shared.target.lock().unwrap_or_else(PoisonError::into_inner).clone();
            let Ok(target) = TcpStream::connect(target).await else { return };
            pass(caller, target, link, &shared).await;
        });
    }
}

/// Passes bytes both ways until one side ends or a fault closes the connection.
async fn pass(caller: TcpStream, target: TcpStream, link: Link, shared: &Shared) {
    let _ = (caller.set_nodelay(true), target.set_nodelay(true));
    let requests = pump(caller.clone(), target.clone(), link, Direction::Request, shared);
    let answers = pump(target.clone(), caller.clone(), link, Direction::Answer, shared);
    let both = future::zip(requests, answers);
    let cut = async {
        while !shared.is_cut(link) {
            task::sleep(Duration::from_millis(LOOK_EVERY_MS)).await;
        }
        shared.closed_by_fault.fetch_add(1, Ordering::Relaxed);
        (Ended::ByFault, Ended::ByFault)
    };
    future::or(both, cut).await;
    let _ = caller.shutdown(Shutdown::Both);
    let _ = target.shutdown(Shutdown::Both);
}

/// How one direction of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ended {
    ByPeer,
    ByFault,
}

/// Moves bytes one way and passes the end on.
async fn pump(
    mut from: TcpStream,
    mut to: TcpStream,
    link: Link,
    direction: Direction,
    shared: &Shared,
) -> Ended {
    let mut chunk = vec![0_u8; CHUNK_BYTES];
    loop {
        let length = match from.read(&mut chunk).await {
            Ok(length) if length > 0 => length,
            _ => break,
        };
        match shared.verdict(link, direction) {
            Verdict::Pass => {}
            Verdict::PassAfter(delay) => task::sleep(delay).await,
            Verdict::Swallow => {
                if direction == Direction::Answer {
                    shared.answers_lost.fetch_add(1, Ordering::Relaxed);
                }
                continue;
            }
            Verdict::Close => {
                close_by_fault(&from, &to, direction, shared);
                return Ended::ByFault;
            }
        }
        if let Some(bytes_per_s) = shared.bytes_per_s(link) {
            const MS_PER_S: u64 = 1_000;
            let pause_ms = length as u64 * MS_PER_S / bytes_per_s;
            task::sleep(Duration::from_millis(pause_ms)).await;
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            break;
        }
    }
    if !shared.is_silenced(link) {
        let _ = to.shutdown(Shutdown::Write);
    }
    Ended::ByPeer
}

fn close_by_fault(from: &TcpStream, to: &TcpStream, direction: Direction, shared: &Shared) {
    shared.closed_by_fault.fetch_add(1, Ordering::Relaxed);
    if direction == Direction::Answer {
        shared.answers_lost.fetch_add(1, Ordering::Relaxed);
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
