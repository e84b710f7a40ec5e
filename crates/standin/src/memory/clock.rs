//! Clock for history timestamps, based on tokio's time so that tests can pause it.

use std::time::Duration;

use tokio::time;

/// A millisecond clock on tokio's time with a configurable origin.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: time::Instant,
    origin_ms: u64,
}

impl Clock {
    /// Creates a clock that reads `origin_ms` now.
    pub fn starting_at(origin_ms: u64) -> Self {
        Self {
            origin: time::Instant::now(),
            origin_ms,
        }
    }

    /// The current reading in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.origin_ms + self.origin.elapsed().as_millis() as u64
    }

    /// Microseconds since the clock was created, for sub-millisecond intervals.
    pub fn now_us(&self) -> u64 {
        self.origin.elapsed().as_micros() as u64
    }

    /// The tokio instant at which the clock reads `at_ms`; never before the clock's origin.
    pub fn instant(&self, at_ms: u64) -> time::Instant {
        let since_origin_ms = at_ms.saturating_sub(self.origin_ms);
        self.origin + Duration::from_millis(since_origin_ms)
    }
}
