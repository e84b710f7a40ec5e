//! Detects congestion of the network link of the coordinator's host.
//!
//! The coordinator can let other hosts write the jobs that they accepted from clients, at the cost
//! of one message round trip. It does so only while its own link would otherwise delay traffic that
//! cannot take another route: orders, holds and lease renewals.

/// Measurement window, in milliseconds: shorter than a burst of requests, longer than one group
/// commit.
const WINDOW_MS: u64 = 500;
/// Share of the link above which it counts as congested. The rest is headroom for traffic that is
/// not counted here and for bursts within the window.
const CONGESTED_PERCENT: u64 = 30;

/// Counts the bytes sent in the current and the previous window.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkBudget {
    window_start_ms: u64,
    window_bytes: u64,
    last_window_bytes: u64,
}

impl LinkBudget {
    /// Records bytes that are passed to the link.
    pub fn record_sent(&mut self, bytes: u64, now_ms: u64) {
        self.roll_window(now_ms);
        self.window_bytes += bytes;
    }

    /// Whether the link is congested, given its capacity of `link_bytes_per_s`.
    pub fn is_congested(&mut self, link_bytes_per_s: u64, now_ms: u64) -> bool {
        self.roll_window(now_ms);
        let capacity_bytes = link_bytes_per_s * WINDOW_MS / 1000;
        self.window_bytes.max(self.last_window_bytes) * 100 > capacity_bytes * CONGESTED_PERCENT
    }

    fn roll_window(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.window_start_ms);
        if elapsed_ms < WINDOW_MS {
            return;
        }
        self.last_window_bytes = if elapsed_ms < 2 * WINDOW_MS {
            self.window_bytes
        } else {
            0
        };
        self.window_bytes = 0;
        self.window_start_ms = now_ms;
    }
}
