//! Time for the daemons: a monotonic clock for leases and timeouts, wall time for records.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static START: OnceLock<Instant> = OnceLock::new();

/// Milliseconds on the monotonic clock since the process first asked.
///
/// The clock goes on while the process is stopped, so a holder that was
/// paused sees that its lease has lapsed.
///
/// ```
/// let first_ms = hemlockrock::clock::now_ms();
/// assert!(hemlockrock::clock::now_ms() >= first_ms);
/// ```
pub fn now_ms() -> u64 {
    let start = START.get_or_init(Instant::now);
    millis(start.elapsed())
}

/// Microseconds on the monotonic clock since the process first asked.
pub fn now_us() -> u64 {
    let start = START.get_or_init(Instant::now);
    u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX)
}

/// Milliseconds of wall time since the Unix epoch, for records that people read.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map(millis).unwrap_or_default()
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
