//! Clocks: a monotonic clock for leases and timeouts, and wall time for records.

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{self, ClockId};

static START: OnceLock<Duration> = OnceLock::new();

/// Monotonic time in milliseconds since the process first read the clock.
///
/// The clock advances while the process or the whole host is suspended, so a
/// lease holder that was paused sees that its lease has expired.
///
/// ```
/// let first_ms = hemlockrock::clock::now_ms();
/// assert!(hemlockrock::clock::now_ms() >= first_ms);
/// ```
pub fn now_ms() -> u64 {
    millis(elapsed())
}

/// Monotonic time in microseconds since the process first read the clock.
pub fn now_us() -> u64 {
    u64::try_from(elapsed().as_micros()).unwrap_or(u64::MAX)
}

/// Time since the first call. Uses `CLOCK_BOOTTIME`, which includes time that the host is
/// suspended, unlike `CLOCK_MONOTONIC`.
fn elapsed() -> Duration {
    let spec = time::clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(spec.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(spec.tv_nsec).unwrap_or_default();
    let now = Duration::from_secs(seconds) + Duration::from_nanos(nanos);
    now.saturating_sub(*START.get_or_init(|| now))
}

/// Wall time in milliseconds since the Unix epoch, for timestamps in records. It may jump, so
/// never use it for leases or timeouts.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map(millis).unwrap_or_default()
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
