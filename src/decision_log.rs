//! Log of the decisions of a queue host: one JSON line per decision on standard output.
//!
//! Lines are buffered and written by a thread of their own, so that logging never blocks. When the
//! buffer is full, further lines are dropped and counted.

use std::fmt::{self, Write as _};
use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use crate::clock;

/// Largest size of the buffer, in bytes; lines beyond it are dropped and counted.
const BUFFER_LIMIT_BYTES: usize = 256 * 1024;

/// Pause of the writer thread before each batch, in milliseconds, so that it wakes only a few times
/// per second in a busy process.
const BATCH_PAUSE_MS: u64 = 250;

static LOG: OnceLock<Log> = OnceLock::new();

#[derive(Debug)]
struct Log {
    host: String,
    buffer: Mutex<String>,
    filled: Condvar,
    dropped: AtomicU64,
}

/// Starts the log of the process, with `host` in each line. Lines before that are discarded; a
/// second call has no effect.
pub fn start(host: impl Into<String>) {
    let log = Log {
        host: host.into(),
        buffer: Mutex::new(String::new()),
        filled: Condvar::new(),
        dropped: AtomicU64::new(0),
    };
    if LOG.set(log).is_ok() {
        std::thread::spawn(write_batches);
    }
}

/// Number of lines that were dropped since the start because the buffer was full.
pub fn dropped() -> u64 {
    LOG.get().map_or(0, |log| log.dropped.load(Ordering::Relaxed))
}

/// Writes the buffered lines at once, such as before the process exits.
pub fn flush() {
    let Some(log) = LOG.get() else { return };
    let batch = std::mem::take(&mut *log.buffer.lock().unwrap_or_else(PoisonError::into_inner));
    // An error is ignored: without standard output, there is nowhere to report it.
    let _ = std::io::stdout().write_all(batch.as_bytes());
}

fn write_batches() {
    let Some(log) = LOG.get() else { return };
    loop {
        let buffer = log.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let filled = log.filled.wait_while(buffer, |buffer| buffer.is_empty());
        drop(filled.unwrap_or_else(PoisonError::into_inner));
        std::thread::park_timeout(Duration::from_millis(BATCH_PAUSE_MS));
        flush();
    }
}

/// A log line under construction; it is added to the buffer when it is dropped.
#[derive(Debug)]
pub struct Line {
    /// Unfinished JSON object; `None` if the log was not started.
    text: Option<String>,
}

/// Begins a line for `event`. Time, host and event are its first fields.
///
/// ```
/// use hemlockrock::decision_log;
///
/// decision_log::line("job_accepted").with("job", "5c0e7a21d94b36f8").with("steps", 2);
/// ```
pub fn line(event: &str) -> Line {
    let Some(log) = LOG.get() else { return Line { text: None } };
    let mut text = String::with_capacity(192);
    let _ = write!(
        text,
        "{{\"unix_ms\":{},\"up_ms\":{},\"host\":\"{}\",\"event\":\"{event}\"",
        clock::unix_ms(),
        clock::now_ms(),
        log.host
    );
    Line { text: Some(text) }
}

impl Line {
    /// Adds a field; its value is written as a JSON string.
    #[must_use]
    pub fn with(mut self, name: &str, value: impl fmt::Display) -> Self {
        if let Some(text) = &mut self.text {
            let _ = write!(text, ",\"{name}\":\"");
            let _ = write!(Escaped(text), "{value}");
            text.push('"');
        }
        self
    }

    /// Completes the line and adds it to the buffer.
    pub fn end(self) {
        drop(self);
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        let (Some(mut text), Some(log)) = (self.text.take(), LOG.get()) else { return };
        text.push_str("}\n");
        let mut buffer = log.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.len() + text.len() > BUFFER_LIMIT_BYTES {
            log.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let was_empty = buffer.is_empty();
        buffer.push_str(&text);
        drop(buffer);
        if was_empty {
            log.filled.notify_one();
        }
    }
}

/// Escapes text for a JSON string; control characters become spaces.
struct Escaped<'a>(&'a mut String);

impl fmt::Write for Escaped<'_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        for character in text.chars() {
            match character {
                '"' => self.0.push_str("\\\""),
                '\\' => self.0.push_str("\\\\"),
                character if character.is_control() => self.0.push(' '),
                character => self.0.push(character),
            }
        }
        Ok(())
    }
}
