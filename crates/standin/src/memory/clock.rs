//! The clock of a history: tokio's time, counted from a given start.

use std::time::Duration;

use tokio::time;

/// Milliseconds on tokio's time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: time::Instant,
    origin_ms: u64,
}

impl Clock {
    /// A clock that shows `origin_ms` now.
    pub fn starting_at(origin_ms: u64) -> Self {
        Self {
            origin: time::Instant::now(),
            origin_ms,
        }
    }

    /// The time now.
    pub fn now_ms(&self) -> u64 {
        self.origin_ms + self.origin.elapsed().as_millis() as u64
    }

    /// The instant at which the clock shows a time.
    pub fn instant(&self, at_ms: u64) -> time::Instant {
        let since_origin_ms = at_ms.saturating_sub(self.origin_ms);
        self.origin + Duration::from_millis(since_origin_ms)
    }
}
