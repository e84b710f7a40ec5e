//! The process's clocks.

use std::time;

/// Milliseconds since the process started, on the runtime's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: tokio::time::Instant,
}

impl Clock {
    /// A clock that starts at zero now.
    pub fn start() -> Self {
        Self {
            origin: tokio::time::Instant::now(),
        }
    }

    /// The present time in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64
    }
}

/// Milliseconds since the Unix epoch; only for ordering starts of processes.
pub fn wall_ms() -> u64 {
    time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .map(|elapsed| elapsed.as_millis() as u64)
        .unwrap_or_default()
}
