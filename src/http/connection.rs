//! One connection of the HTTP server: the state that its task, the body reader and the shared
//! budget look at, and the stream that the HTTP library reads from.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};

use async_std::net::TcpStream;
use futures_lite::{AsyncRead, AsyncWrite};

use crate::clock;
use crate::http::budget::Budget;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits for a request.
    Idle,
    /// Has received a part of a request head.
    Head,
    /// The handler runs, and the body is not being read.
    Handler,
    /// The handler waits for the body, and has done nothing else yet.
    Body,
    /// The response is being written, or the rest of an unread body is being discarded.
    Answer,
}

/// State of one connection.
#[derive(Debug)]
pub(crate) struct Connection {
    id: u64,
    server: u64,
    budget: Budget,
    state: Mutex<State>,
    /// Closed when the connection is aborted, which wakes the receiver. Never sent to.
    abort: async_channel::Sender<()>,
    aborted: async_channel::Receiver<()>,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    /// When the phase began or the last byte was transferred in it, in milliseconds of
    /// [`clock::now_ms`].
    progress_ms: u64,
    reserved_bytes: usize,
    has_completed: bool,
    /// What the connection was doing when it was aborted.
    aborted: Option<Phase>,
    /// Head of the current request, to be read by the HTTP library.
    head: Vec<u8>,
    /// Number of bytes of `head` and, after it, of `unread` that the library has read.
    head_read: usize,
    /// Bytes received after the head.
    unread: Vec<u8>,
    unread_read: usize,
    /// Headers that the library does not get, since it refuses heads of their length.
    set_aside: Vec<(String, String)>,
    /// Bytes of an unread body that may still be discarded after the response.
    discard_bytes: u64,
}

/// A request that can be aborted without an effect.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Abortable {
    pub(crate) progress_ms: u64,
    pub(crate) reserved_bytes: usize,
}

/// A connection that can be closed for another one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Replaceable {
    pub(crate) has_completed: bool,
    pub(crate) progress_ms: u64,
}

/// Time without progress of a response after which its connection can be closed for another one.
const ANSWER_STALL_MS: u64 = 2_000;

impl Connection {
    pub(crate) fn new(server: u64, budget: Budget) -> Arc<Self> {
        let (abort, aborted) = async_channel::bounded(1);
        let state = State {
            phase: Phase::Idle,
            progress_ms: clock::now_ms(),
            reserved_bytes: 0,
            has_completed: false,
            aborted: None,
            head: Vec::new(),
            head_read: 0,
            unread: Vec::new(),
            unread_read: 0,
            set_aside: Vec::new(),
            discard_bytes: 0,
        };
        let id = budget.next_id();
        Arc::new(Self { id, server, budget, state: Mutex::new(state), abort, aborted })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn id(&self) -> u64 {
        self.id
    }

    /// Number of the server that accepted the connection.
    pub(crate) fn server(&self) -> u64 {
        self.server
    }

    /// The budget that the connection is charged to.
    pub(crate) fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Memory charged for the current request, in bytes.
    pub(crate) fn reserved(&self) -> usize {
        self.state().reserved_bytes
    }

    /// Records charged memory; returns false if the connection has been aborted.
    pub(crate) fn add_reserved(&self, bytes: usize) -> bool {
        let mut state = self.state();
        if state.aborted.is_some() {
            return false;
        }
        state.reserved_bytes += bytes;
        true
    }

    /// Releases the memory of the current request.
    pub(crate) fn release(&self) {
        let (bytes, is_aborted) = {
            let mut state = self.state();
            (std::mem::take(&mut state.reserved_bytes), state.aborted.is_some())
        };
        self.budget.release(bytes, is_aborted);
    }

    /// Begins a phase; returns false if the connection has been aborted.
    pub(crate) fn begin(&self, phase: Phase) -> bool {
        let mut state = self.state();
        if state.aborted.is_some() {
            return false;
        }
        state.phase = phase;
        state.progress_ms = clock::now_ms();
        true
    }

    /// Begins to wait for the next request.
    pub(crate) fn complete_request(&self) {
        self.release();
        let mut state = self.state();
        state.has_completed = true;
        state.phase = Phase::Idle;
        state.progress_ms = clock::now_ms();
    }

    pub(crate) fn is_answering(&self) -> bool {
        self.state().phase == Phase::Answer
    }

    pub(crate) fn progress_ms(&self) -> u64 {
        self.state().progress_ms
    }

    /// Bytes that were received but not read by the last request.
    pub(crate) fn take_unread(&self) -> Vec<u8> {
        let mut state = self.state();
        let read = std::mem::take(&mut state.unread_read);
        let mut unread = std::mem::take(&mut state.unread);
        unread.drain(..read);
        unread
    }

    /// Sets what the HTTP library reads for the next request, before the stream itself.
    pub(crate) fn set_request(&self, request: RequestBytes, discard_bytes: u64) {
        let mut state = self.state();
        state.head = request.head;
        state.head_read = 0;
        state.unread = request.rest;
        state.unread_read = 0;
        state.set_aside = request.set_aside;
        state.discard_bytes = discard_bytes;
    }

    pub(crate) fn take_set_aside(&self) -> Vec<(String, String)> {
        std::mem::take(&mut self.state().set_aside)
    }

    /// The request, if it can be aborted without an effect.
    pub(crate) fn abortable(&self) -> Option<Abortable> {
        let state = self.state();
        let is_abortable = matches!(state.phase, Phase::Head | Phase::Body);
        if !is_abortable || state.aborted.is_some() || state.reserved_bytes == 0 {
            return None;
        }
        let (progress_ms, reserved_bytes) = (state.progress_ms, state.reserved_bytes);
        Some(Abortable { progress_ms, reserved_bytes })
    }

    /// The connection, if it can be closed for another one.
    pub(crate) fn replaceable(&self) -> Option<Replaceable> {
        let state = self.state();
        if state.aborted.is_some() || !is_replaceable(&state) {
            return None;
        }
        let (has_completed, progress_ms) = (state.has_completed, state.progress_ms);
        Some(Replaceable { has_completed, progress_ms })
    }

    /// Aborts the connection unless its handler runs or it has been aborted; returns whether it was
    /// aborted now.
    pub(crate) fn abort(&self) -> bool {
        let mut state = self.state();
        if state.aborted.is_some() || !is_replaceable(&state) {
            return false;
        }
        state.aborted = Some(state.phase);
        self.budget.add_releasing(state.reserved_bytes);
        self.abort.close();
        true
    }

    /// Waits until the connection is aborted; returns what it was doing.
    pub(crate) async fn aborted(&self) -> Option<Phase> {
        let _ = self.aborted.recv().await;
        self.state().aborted
    }
}

/// Whether nothing is lost but what the client can repeat: a handler that runs has effects.
fn is_replaceable(state: &State) -> bool {
    match state.phase {
        Phase::Idle | Phase::Head | Phase::Body => true,
        Phase::Handler => false,
        Phase::Answer => clock::now_ms().saturating_sub(state.progress_ms) >= ANSWER_STALL_MS,
    }
}

/// The bytes of a request that have been received with its head.
#[derive(Debug)]
pub(crate) struct RequestBytes {
    /// The head as the HTTP library gets it.
    pub(crate) head: Vec<u8>,
    /// What follows the head.
    pub(crate) rest: Vec<u8>,
    /// Headers that are not in `head`.
    pub(crate) set_aside: Vec<(String, String)>,
}

/// The stream that the HTTP library uses. It first yields the head that the server has read.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionStream {
    stream: TcpStream,
    connection: Arc<Connection>,
}

impl ConnectionStream {
    pub(crate) fn new(stream: TcpStream, connection: Arc<Connection>) -> Self {
        Self { stream, connection }
    }
}

/// Copies the part of `source` that was not read yet; frees `source` once all of it was.
fn read_buffered(source: &mut Vec<u8>, read: &mut usize, buffer: &mut [u8]) -> usize {
    let rest = source.get(*read..).unwrap_or_default();
    let length = rest.len().min(buffer.len());
    buffer[..length].copy_from_slice(&rest[..length]);
    *read += length;
    if *read >= source.len() {
        *source = Vec::new();
        *read = 0;
    }
    length
}

impl AsyncRead for ConnectionStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        {
            let mut guard = this.connection.state();
            let state = &mut *guard;
            if !state.head.is_empty() {
                let length = read_buffered(&mut state.head, &mut state.head_read, buffer);
                return Poll::Ready(Ok(length));
            }
            if !state.unread.is_empty() {
                let length = read_buffered(&mut state.unread, &mut state.unread_read, buffer);
                return Poll::Ready(Ok(length));
            }
            if state.phase == Phase::Answer && state.discard_bytes == 0 {
                return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
            }
        }
        let length = ready!(Pin::new(&mut this.stream).poll_read(context, buffer))?;
        let mut state = this.connection.state();
        match state.phase {
            Phase::Body => state.progress_ms = clock::now_ms(),
            Phase::Answer => {
                state.discard_bytes = state.discard_bytes.saturating_sub(length as u64);
            }
            _ => {}
        }
        Poll::Ready(Ok(length))
    }
}

impl AsyncWrite for ConnectionStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let length = ready!(Pin::new(&mut self.stream).poll_write(context, buffer))?;
        let mut state = self.connection.state();
        if state.phase == Phase::Answer {
            state.progress_ms = clock::now_ms();
        }
        Poll::Ready(Ok(length))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
