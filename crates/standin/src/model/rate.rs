//! Token bucket rate limiter.

const MS_PER_S: u64 = 1_000;

/// Limits calls to `per_s` per second, with a burst of up to one second's tokens.
#[derive(Clone, Debug)]
pub(super) struct TokenBucket {
    per_s: u64,
    // In thousandths of a call, so that one millisecond adds `per_s`.
    tokens_milli: u64,
    refilled_at_ms: u64,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(super) const fn new(per_s: u64) -> Self {
        Self {
            per_s,
            tokens_milli: per_s * MS_PER_S,
            refilled_at_ms: 0,
        }
    }

    /// Takes one token; returns whether one was available.
    pub(super) fn try_take(&mut self, now_ms: u64) -> bool {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_at_ms);
        let added = elapsed_ms.saturating_mul(self.per_s);
        self.tokens_milli = (self.tokens_milli.saturating_add(added)).min(self.per_s * MS_PER_S);
        self.refilled_at_ms = now_ms;
        let Some(remaining) = self.tokens_milli.checked_sub(MS_PER_S) else {
            return false;
        };
        self.tokens_milli = remaining;
        true
    }
}
