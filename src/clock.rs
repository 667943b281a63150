//! Time for the daemons: a monotonic clock for leases and timeouts, wall time for records.

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{self, ClockId};

static START: OnceLock<Duration> = OnceLock::new();

/// Milliseconds on the monotonic clock since the process first asked.
///
/// The clock goes on while the process or the whole host is suspended, so a
/// holder that was paused sees that its lease has lapsed.
///
/// ```
/// let first_ms = hemlockrock::clock::now_ms();
/// assert!(hemlockrock::clock::now_ms() >= first_ms);
/// ```
pub fn now_ms() -> u64 {
    millis(elapsed())
}

/// Microseconds on the monotonic clock since the process first asked.
pub fn now_us() -> u64 {
    u64::try_from(elapsed().as_micros()).unwrap_or(u64::MAX)
}

/// Time since the first call; `CLOCK_BOOTTIME` counts suspensions, `CLOCK_MONOTONIC` does not.
fn elapsed() -> Duration {
    let spec = time::clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(spec.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(spec.tv_nsec).unwrap_or_default();
    let now = Duration::from_secs(seconds) + Duration::from_nanos(nanos);
    now.saturating_sub(*START.get_or_init(|| now))
}

/// Milliseconds of wall time since the Unix epoch, for records that people read.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map(millis).unwrap_or_default()
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
