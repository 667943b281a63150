//! One structured line on standard output for each decision: bounded, and never blocking.

use std::fmt::{self, Write as _};
use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use crate::clock;

/// Bytes that wait for the writer before lines are dropped and counted.
const BUFFER_LIMIT_BYTES: usize = 256 * 1024;

/// Pause of the writer after each batch, so that a busy process wakes it a few times a second.
const BATCH_PAUSE_MS: u64 = 250;

static LOG: OnceLock<Log> = OnceLock::new();

#[derive(Debug)]
struct Log {
    host: String,
    buffer: Mutex<String>,
    filled: Condvar,
    dropped: AtomicU64,
}

/// Starts the log of the process; lines before that are dropped.
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

/// Lines that were dropped since the start because the buffer was full.
pub fn dropped() -> u64 {
    LOG.get().map_or(0, |log| log.dropped.load(Ordering::Relaxed))
}

/// Writes what the buffer holds at once, such as before the process ends.
pub fn flush() {
    let Some(log) = LOG.get() else { return };
    let batch = std::mem::take(&mut *log.buffer.lock().unwrap_or_else(PoisonError::into_inner));
    // Nobody is left to tell when standard output is gone.
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

/// A line being written; it is queued when it is dropped.
#[derive(Debug)]
pub struct Line {
    text: Option<String>,
}

/// Begins a line about `event`.
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
    /// Adds a field.
    #[must_use]
    pub fn with(mut self, name: &str, value: impl fmt::Display) -> Self {
        if let Some(text) = &mut self.text {
            let _ = write!(text, ",\"{name}\":\"");
            let _ = write!(Escaped(text), "{value}");
            text.push('"');
        }
        self
    }

    /// Queues the line.
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

/// Writes text so that it can stand between quotes in JSON.
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
