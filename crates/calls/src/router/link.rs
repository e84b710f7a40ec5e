//! A byte budget for the link between regions.

/// A token bucket of bytes.
///
/// The link is shared by all hosts of a region; each gets an equal part of the
/// bytes that calls may use.
#[derive(Clone, Copy, Debug)]
pub struct LinkBudget {
    bytes_per_s: f64,
    burst_bytes: f64,
    available_bytes: f64,
    at_ms: u64,
}

impl LinkBudget {
    /// Makes a full bucket.
    pub fn new(bytes_per_s: u64, burst_bytes: u64) -> Self {
        Self {
            bytes_per_s: bytes_per_s as f64,
            burst_bytes: burst_bytes as f64,
            available_bytes: burst_bytes as f64,
            at_ms: 0,
        }
    }

    /// Whether so many bytes may be sent now.
    ///
    /// A message larger than the bucket is allowed when the bucket is full, and
    /// leaves it in debt, since it could never be sent otherwise.
    pub fn allows(&mut self, bytes: u64, now_ms: u64) -> bool {
        self.refill(now_ms);
        self.available_bytes >= (bytes as f64).min(self.burst_bytes)
    }

    /// Takes bytes that were sent or received, into debt if need be.
    pub fn take(&mut self, bytes: u64, now_ms: u64) {
        self.refill(now_ms);
        self.available_bytes -= bytes as f64;
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let bytes = self.available_bytes + self.bytes_per_s * elapsed_ms / 1_000.0;
        self.available_bytes = bytes.min(self.burst_bytes);
        self.at_ms = self.at_ms.max(now_ms);
    }
}
