//! Memory and connections that the HTTP servers of a process share, and which request or connection
//! is given up when they run out.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::task;
use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

use crate::clock;
use crate::http::connection::Connection;
use crate::http::error::ApiError;

/// Memory that a request takes beside its body, for its decoder, its buffers and its handler.
pub(crate) const REQUEST_BYTES: usize = 48 * 1024;

/// Time without a byte after which a body counts as stalled. Bodies that arrive over a network have
/// gaps of a few milliseconds.
const STALL_MS: u64 = 250;

/// How many times as large as the request that needs memory another one has to be to be aborted
/// although it makes progress.
const LARGER_FACTOR: usize = 4;

/// Time for which an idle connection that has served requests is not closed for a new one.
const KEEP_IDLE_MS: u64 = 1_000;

/// Longest wait until an aborted request has released its memory, in steps of `RESERVE_PAUSE_MS`.
const RESERVE_ATTEMPTS: u32 = 500;

/// Pause between two attempts to reserve memory, in milliseconds.
const RESERVE_PAUSE_MS: u64 = 2;

/// Retry-After of requests that are refused or aborted for lack of memory, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Why a request was refused, or a connection closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitReason {
    /// The request head exceeds the limit.
    HeadTooLarge,
    /// No memory is left for the request.
    NoMemory,
    /// The body made no progress, or was far larger than that of the request that needed memory.
    BodyAborted,
    /// The connection was closed to make room for a new one.
    ConnectionReplaced,
    /// All connections are in use.
    NoConnection,
    /// The client did not read the response, or sent more of an unread body, for too long.
    AnswerTimeout,
}

impl LimitReason {
    /// Value of the metric's label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::HeadTooLarge => "head_too_large",
            Self::NoMemory => "no_memory",
            Self::BodyAborted => "body_aborted",
            Self::ConnectionReplaced => "connection_replaced",
            Self::NoConnection => "no_connection",
            Self::AnswerTimeout => "answer_timeout",
        }
    }
}

/// Memory for the requests in flight of all HTTP servers of a process. Clones share it.
///
/// Memory is charged as bytes arrive. When it runs out, the body that has made no progress for the
/// longest time is aborted; if all make progress, the largest one, provided that it is much larger
/// than the request that needs the memory.
///
/// ```
/// use hemlockrock::http::budget;
///
/// let budget = budget::Budget::new(8 * 1024 * 1024)?;
/// assert_eq!(budget.used_bytes(), 0);
/// # Ok::<(), prometheus::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    max_bytes: usize,
    used_bytes: AtomicUsize,
    /// Part of `used_bytes` whose requests have been aborted and release it soon.
    releasing_bytes: AtomicUsize,
    next_id: AtomicU64,
    /// Requests that wait for memory: the memory of each with what it needs, and its connection.
    /// The smallest is served first, so that large bodies do not take what is released for it.
    waiters: Mutex<BTreeSet<(usize, u64)>>,
    /// Number of `waiters`.
    waiting: AtomicUsize,
    /// Open connections by id, so that the oldest come first.
    connections: Mutex<BTreeMap<u64, Arc<Connection>>>,
    limited: IntCounterVec,
    used_gauge: IntGauge,
}

impl Budget {
    /// Creates a budget of `max_bytes`.
    ///
    /// # Errors
    /// The metrics cannot be created.
    pub fn new(max_bytes: usize) -> Result<Self, prometheus::Error> {
        let limited = Opts::new(
            "http_limited_total",
            "Requests refused and connections closed by a limit of the HTTP server",
        );
        let shared = Shared {
            max_bytes,
            used_bytes: AtomicUsize::new(0),
            releasing_bytes: AtomicUsize::new(0),
            next_id: AtomicU64::new(0),
            waiters: Mutex::default(),
            waiting: AtomicUsize::new(0),
            connections: Mutex::default(),
            limited: IntCounterVec::new(limited, &["reason"])?,
            used_gauge: IntGauge::new(
                "http_inflight_bytes",
                "Memory charged for requests in flight, in bytes",
            )?,
        };
        Ok(Self { shared: Arc::new(shared) })
    }

    /// Registers the metrics of the budget.
    ///
    /// # Errors
    /// Fails when the registry already has metrics of the same names.
    pub fn register(&self, registry: &Registry) -> Result<(), prometheus::Error> {
        registry.register(Box::new(self.shared.limited.clone()))?;
        registry.register(Box::new(self.shared.used_gauge.clone()))
    }

    /// Memory that is charged now, in bytes.
    pub fn used_bytes(&self) -> usize {
        self.shared.used_bytes.load(Ordering::Acquire)
    }

    pub(crate) fn next_id(&self) -> u64 {
        self.shared.next_id.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn add(&self, connection: &Arc<Connection>) {
        self.connections().insert(connection.id(), Arc::clone(connection));
    }

    pub(crate) fn remove(&self, connection: &Connection) {
        self.connections().remove(&connection.id());
    }

    pub(crate) fn count(&self, reason: LimitReason) {
        self.shared.limited.with_label_values(&[reason.as_str()]).inc();
    }

    fn connections(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<Connection>>> {
        self.shared.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Charges `bytes` to the request of `connection`. If they are not left, aborts other requests
    /// and waits until these have released their memory.
    ///
    /// # Errors
    /// 503 if no memory can be had, or if the request itself was aborted.
    pub(crate) async fn reserve(
        &self,
        connection: &Connection,
        bytes: usize,
    ) -> Result<(), ApiError> {
        if self.shared.waiting.load(Ordering::Acquire) == 0 && self.try_charge(bytes) {
            return self.assign(connection, bytes);
        }
        let waiter = Waiter::new(self, connection, bytes);
        for _ in 0..RESERVE_ATTEMPTS {
            if waiter.is_first() {
                if self.try_charge(bytes) {
                    return self.assign(connection, bytes);
                }
                if !self.make_room(connection, bytes) {
                    break;
                }
            }
            task::sleep(Duration::from_millis(RESERVE_PAUSE_MS)).await;
        }
        self.count(LimitReason::NoMemory);
        Err(no_memory())
    }

    /// Assigns charged bytes to the request of `connection`.
    fn assign(&self, connection: &Connection, bytes: usize) -> Result<(), ApiError> {
        if connection.add_reserved(bytes) {
            return Ok(());
        }
        self.release(bytes, false);
        Err(no_memory())
    }

    fn waiters(&self) -> MutexGuard<'_, BTreeSet<(usize, u64)>> {
        self.shared.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn try_charge(&self, bytes: usize) -> bool {
        let charge = |used: usize| {
            let used = used.checked_add(bytes)?;
            (used <= self.shared.max_bytes).then_some(used)
        };
        let used = &self.shared.used_bytes;
        let is_charged = used.fetch_update(Ordering::AcqRel, Ordering::Acquire, charge).is_ok();
        if is_charged {
            self.shared.used_gauge.add(i64::try_from(bytes).unwrap_or(i64::MAX));
        }
        is_charged
    }

    /// Records that an aborted request will release `bytes`.
    pub(crate) fn add_releasing(&self, bytes: usize) {
        self.shared.releasing_bytes.fetch_add(bytes, Ordering::AcqRel);
    }

    /// Releases charged bytes; `is_aborted` tells whether their request was aborted.
    pub(crate) fn release(&self, bytes: usize, is_aborted: bool) {
        if bytes == 0 {
            return;
        }
        self.shared.used_bytes.fetch_sub(bytes, Ordering::AcqRel);
        self.shared.used_gauge.sub(i64::try_from(bytes).unwrap_or(i64::MAX));
        if is_aborted {
            self.shared.releasing_bytes.fetch_sub(bytes, Ordering::AcqRel);
        }
    }

    /// Aborts requests until `bytes` will be free; returns whether they will be.
    fn make_room(&self, needing: &Connection, bytes: usize) -> bool {
        let connections = self.connections();
        loop {
            let releasing = self.shared.releasing_bytes.load(Ordering::Acquire);
            let remaining = self.used_bytes().saturating_sub(releasing);
            if remaining.saturating_add(bytes) <= self.shared.max_bytes {
                return true;
            }
            let candidates = || {
                let others = connections.values().filter(|other| other.id() != needing.id());
                others.filter_map(|other| Some((other, other.abortable()?)))
            };
            let now_ms = clock::now_ms();
            let is_stalled = |since_ms: u64| now_ms.saturating_sub(since_ms) >= STALL_MS;
            let stalled = candidates().filter(|(_, request)| is_stalled(request.progress_ms));
            let stalled = stalled.min_by_key(|(_, request)| request.progress_ms);
            let victim = stalled.or_else(|| {
                let least = needing.reserved().saturating_add(bytes).saturating_mul(LARGER_FACTOR);
                let larger = candidates().filter(|(_, request)| request.reserved_bytes >= least);
                larger.max_by_key(|(_, request)| request.reserved_bytes)
            });
            let Some((victim, _)) = victim else { return false };
            if victim.abort() {
                self.count(LimitReason::BodyAborted);
            }
        }
    }

    /// Closes a connection of `server` so that a new one can take its place: the oldest of those
    /// that have not completed a request, else the one that has been idle for the longest time.
    /// Returns whether there was one.
    pub(crate) fn replace_connection(&self, server: u64) -> bool {
        let connections = self.connections();
        let now_ms = clock::now_ms();
        let own = connections.values().filter(|connection| connection.server() == server);
        let replaceable =
            own.filter_map(|connection| Some((connection, connection.replaceable()?)));
        let replaceable = replaceable.filter(|(_, state)| {
            !state.has_completed || now_ms.saturating_sub(state.progress_ms) >= KEEP_IDLE_MS
        });
        let victim = replaceable.min_by_key(|(connection, state)| {
            let since = if state.has_completed { state.progress_ms } else { connection.id() };
            (state.has_completed, since)
        });
        let Some((victim, _)) = victim else { return false };
        let is_closed = victim.abort();
        if is_closed {
            self.count(LimitReason::ConnectionReplaced);
        }
        is_closed
    }
}

/// A request that waits for memory, until dropped.
#[derive(Debug)]
struct Waiter<'a> {
    budget: &'a Budget,
    key: (usize, u64),
}

impl<'a> Waiter<'a> {
    fn new(budget: &'a Budget, connection: &Connection, bytes: usize) -> Self {
        let key = (connection.reserved().saturating_add(bytes), connection.id());
        budget.waiters().insert(key);
        budget.shared.waiting.fetch_add(1, Ordering::AcqRel);
        Self { budget, key }
    }

    fn is_first(&self) -> bool {
        self.budget.waiters().first() == Some(&self.key)
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.budget.waiters().remove(&self.key);
        self.budget.shared.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The answer to a request for which there is no memory.
pub(crate) fn no_memory() -> ApiError {
    ApiError::new(503, "no_memory", "the memory for requests in flight is exhausted")
        .with_retry_after_ms(RETRY_AFTER_MS)
}
