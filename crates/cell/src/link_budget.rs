//! Whether the link of the coordinator's host is nearly full.
//!
//! The coordinator can let other hosts write what they took from clients, which costs a message there and
//! back. It does so only while its own link would otherwise queue what cannot go another way: orders,
//! holds, and the renewals of its lease.

/// Time over which the bytes sent are added up, in milliseconds: shorter than a burst of callers, longer than one
/// group of commits.
const WINDOW_MS: u64 = 500;
/// Part of a hundred of the link from which on it counts as nearly full. What is not counted here, and
/// bursts within the window, need the rest.
const TIGHT_PERCENT: u64 = 30;

/// Bytes that were sent lately, against what the link carries.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkBudget {
    window_began_ms: u64,
    window_bytes: u64,
    last_window_bytes: u64,
}

impl LinkBudget {
    /// Bytes are handed to the link.
    pub fn sent(&mut self, bytes: u64, now_ms: u64) {
        self.turn_window(now_ms);
        self.window_bytes += bytes;
    }

    /// Whether the link, of `link_bytes_per_s`, is nearly full.
    pub fn is_tight(&mut self, link_bytes_per_s: u64, now_ms: u64) -> bool {
        self.turn_window(now_ms);
        let full = link_bytes_per_s * WINDOW_MS / 1000;
        self.window_bytes.max(self.last_window_bytes) * 100 > full * TIGHT_PERCENT
    }

    fn turn_window(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.window_began_ms);
        if passed_ms < WINDOW_MS {
            return;
        }
        self.last_window_bytes = if passed_ms < 2 * WINDOW_MS {
            self.window_bytes
        } else {
            0
        };
        self.window_bytes = 0;
        self.window_began_ms = now_ms;
    }
}
