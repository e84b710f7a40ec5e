//! Monotonic and wall-clock time of the process.

use std::time;

/// Milliseconds since the process started, on the runtime's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: tokio::time::Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            origin: tokio::time::Instant::now(),
        }
    }

    /// Milliseconds since [`Clock::start`].
    pub fn now_ms(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64
    }
}

/// Milliseconds since the Unix epoch; used only to order process starts. Zero if the system
/// clock is set before the epoch.
pub fn unix_time_ms() -> u64 {
    time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .map(|elapsed| elapsed.as_millis() as u64)
        .unwrap_or_default()
}
