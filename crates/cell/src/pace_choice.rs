//! Choice between fast and slow workers, where workers differ in pace.

use crate::worker_pace::TYPICAL_PERCENT;

/// Which workers a step should use, among those that may run it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PaceChoice {
    /// Any: the pace is not considered.
    #[default]
    Any,
    /// Fast ones, since the objective is near.
    Fast,
    /// Slow ones, which leave the fast ones to work with less time.
    Slow,
}

impl PaceChoice {
    /// Rank of workers with the given pace; the smallest is used first.
    pub fn rank(self, pace_percent: u32) -> u32 {
        match self {
            Self::Any => 0,
            Self::Fast => pace_percent,
            Self::Slow => u32::MAX - pace_percent,
        }
    }
}

/// What the choice depends on.
#[derive(Clone, Copy, Debug)]
pub struct StepTime {
    /// Expected duration of the step and of those that follow it on typical workers, in milliseconds.
    pub remaining_ms: u64,
    /// Time left to the next point at which the job loses value, in milliseconds; `None` if it has
    /// none left to lose.
    pub left_ms: Option<u64>,
    /// Pace of the slowest workers.
    pub slowest_percent: u32,
}

impl StepTime {
    /// Chooses slow workers if the job meets its objective there, with its typical duration to spare
    /// for waits and for tasks that take longer than expected.
    pub fn choice(&self) -> PaceChoice {
        let Some(left_ms) = self.left_ms else {
            return PaceChoice::Slow;
        };
        let slow_ms = self.remaining_ms * u64::from(self.slowest_percent + TYPICAL_PERCENT)
            / u64::from(TYPICAL_PERCENT);
        if left_ms >= slow_ms {
            PaceChoice::Slow
        } else {
            PaceChoice::Fast
        }
    }
}
