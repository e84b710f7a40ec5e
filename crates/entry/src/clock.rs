//! Monotonic time that includes suspensions, and wall-clock time.

use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Milliseconds since the machine booted, including time spent suspended: after a resume, leases
/// that expired during the suspension must count as expired.
pub fn now_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1000 + now.tv_nsec as u64 / 1_000_000
}

/// Wall-clock time in Unix milliseconds; 0 if the clock is set before 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |passed| passed.as_millis() as u64)
}
