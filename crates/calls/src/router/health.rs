//! A penalty for failures that decays with time.

/// Failures in quick succession after which a group gets no calls.
const EJECTION_PENALTY: f64 = 3.0;
/// Largest penalty, which bounds the time until a group is tried again.
const PENALTY_LIMIT: f64 = 12.0;
/// Time in which a penalty halves.
const HALF_LIFE_MS: f64 = 5_000.0;
/// What is left of a penalty after a success.
const SUCCESS_FACTOR: f64 = 0.5;

/// Recent failures of one group.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    penalty: f64,
    at_ms: u64,
}

impl Health {
    /// The penalty at a time, in failures.
    pub(super) fn penalty(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.penalty * (-elapsed_ms / HALF_LIFE_MS).exp2()
    }

    /// Whether the group gets no calls while another can take them.
    pub(super) fn is_ejected(&self, now_ms: u64) -> bool {
        self.penalty(now_ms) >= EJECTION_PENALTY
    }

    pub(super) fn record_failure(&mut self, now_ms: u64) {
        self.penalty = (self.penalty(now_ms) + 1.0).min(PENALTY_LIMIT);
        self.at_ms = now_ms;
    }

    pub(super) fn record_success(&mut self, now_ms: u64) {
        self.penalty = self.penalty(now_ms) * SUCCESS_FACTOR;
        self.at_ms = now_ms;
    }
}
