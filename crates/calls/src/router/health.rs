//! Failure penalties that decay exponentially over time.

/// Penalty, in failures, from which a group is ejected.
const EJECTION_PENALTY: f64 = 3.0;
/// Upper bound of a penalty, in failures; bounds the time until a group is tried again.
const MAX_PENALTY: f64 = 12.0;
const PENALTY_HALF_LIFE_MS: f64 = 5_000.0;
/// Factor applied to the penalty on a success.
const SUCCESS_PENALTY_FACTOR: f64 = 0.5;

/// Failure history of one group.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    penalty: f64,
    updated_at_ms: u64,
}

impl Health {
    /// The penalty at `now_ms`, in failures.
    pub(super) fn penalty(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.updated_at_ms) as f64;
        self.penalty * (-elapsed_ms / PENALTY_HALF_LIFE_MS).exp2()
    }

    /// Whether the group gets no calls while another group is available.
    pub(super) fn is_ejected(&self, now_ms: u64) -> bool {
        self.penalty(now_ms) >= EJECTION_PENALTY
    }

    pub(super) fn record_failure(&mut self, now_ms: u64) {
        self.penalty = (self.penalty(now_ms) + 1.0).min(MAX_PENALTY);
        self.updated_at_ms = now_ms;
    }

    pub(super) fn record_success(&mut self, now_ms: u64) {
        self.penalty = self.penalty(now_ms) * SUCCESS_PENALTY_FACTOR;
        self.updated_at_ms = now_ms;
    }
}
