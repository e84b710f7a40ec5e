//! A token bucket.

/// Milliseconds in a second.
const MS_PER_S: u64 = 1_000;

/// Allows so many calls a second, with a burst of one second's worth.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    per_s: u64,
    // In thousandths of a call, so that one millisecond adds `per_s`.
    tokens_milli: u64,
    filled_at_ms: u64,
}

impl Bucket {
    /// A full bucket.
    pub(super) const fn new(per_s: u64) -> Self {
        Self {
            per_s,
            tokens_milli: per_s * MS_PER_S,
            filled_at_ms: 0,
        }
    }

    /// Takes one call's token if there is one.
    pub(super) fn take(&mut self, now_ms: u64) -> bool {
        let elapsed_ms = now_ms.saturating_sub(self.filled_at_ms);
        let added = elapsed_ms.saturating_mul(self.per_s);
        self.tokens_milli = (self.tokens_milli.saturating_add(added)).min(self.per_s * MS_PER_S);
        self.filled_at_ms = now_ms;
        let Some(rest) = self.tokens_milli.checked_sub(MS_PER_S) else {
            return false;
        };
        self.tokens_milli = rest;
        true
    }
}
