//! Byte budget for the link between regions.

/// A token bucket of bytes.
///
/// All hosts of a region share the link. Each host gets an equal part of the bandwidth
/// that is set aside for calls.
#[derive(Clone, Copy, Debug)]
pub struct LinkBudget {
    bytes_per_s: f64,
    burst_bytes: f64,
    available_bytes: f64,
    refilled_at_ms: u64,
}

impl LinkBudget {
    /// Creates a full bucket.
    pub fn new(bytes_per_s: u64, burst_bytes: u64) -> Self {
        Self {
            bytes_per_s: bytes_per_s as f64,
            burst_bytes: burst_bytes as f64,
            available_bytes: burst_bytes as f64,
            refilled_at_ms: 0,
        }
    }

    /// Whether a message of `bytes` may be sent now.
    ///
    /// A message larger than the bucket could otherwise never be sent, so it is allowed
    /// once the bucket is full and leaves a negative balance.
    pub fn allows(&mut self, bytes: u64, now_ms: u64) -> bool {
        self.refill(now_ms);
        self.available_bytes >= (bytes as f64).min(self.burst_bytes)
    }

    /// Deducts bytes that were sent or received; the balance may become negative.
    pub fn consume(&mut self, bytes: u64, now_ms: u64) {
        self.refill(now_ms);
        self.available_bytes -= bytes as f64;
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_at_ms) as f64;
        let bytes = self.available_bytes + self.bytes_per_s * elapsed_ms / 1_000.0;
        self.available_bytes = bytes.min(self.burst_bytes);
        self.refilled_at_ms = self.refilled_at_ms.max(now_ms);
    }
}
