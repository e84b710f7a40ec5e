//! Limits the CPU share of best-effort tasks that run next to latency-sensitive tasks.
//!
//! Tasks on one worker compete for more than the resources that are accounted for: best-effort
//! tasks increase the latency of latency-sensitive tasks by amounts that change within seconds. So
//! their CPU share is reduced as soon as a latency-sensitive task approaches its target, and
//! increased in small steps while all of them are well below it.

/// Ratio of tail latency to target above which the share is halved.
const REDUCE_ABOVE_RATIO: f64 = 0.9;
/// Ratio above which best-effort tasks are suspended.
const SUSPEND_ABOVE_RATIO: f64 = 1.2;
/// Ratio below which the share is increased.
const INCREASE_BELOW_RATIO: f64 = 0.6;
/// Minimum share, in percent; a smaller one is set to 0.
const MIN_SHARE_PERCENT: u32 = 20;
/// Increment of the share, in percentage points.
const INCREASE_STEP_PERCENT: u32 = 15;
/// Time until a change shows in the measurements, in milliseconds: the worker applies it within 100
/// ms and reports values over the last 500 ms.
const FEEDBACK_DELAY_MS: u64 = 650;
/// Minimum time between a change and the next increase, in milliseconds.
const INCREASE_INTERVAL_MS: u64 = 1_200;

/// CPU share of the best-effort tasks on one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BestEffortShare {
    /// CPU share, in percent.
    pub percent: u32,
    /// Time of the last change, in milliseconds of the local clock.
    changed_ms: u64,
}

impl Default for BestEffortShare {
    fn default() -> Self {
        Self {
            percent: 100,
            changed_ms: 0,
        }
    }
}

impl BestEffortShare {
    /// Computes the next share. `pressure` is the highest ratio of tail latency to target among the
    /// latency-sensitive tasks, or `None` if there are none.
    #[must_use]
    pub fn next(self, pressure: Option<f64>, now_ms: u64) -> Self {
        let Some(pressure) = pressure else {
            return Self {
                percent: 100,
                changed_ms: self.changed_ms,
            };
        };
        let unchanged_ms = now_ms.saturating_sub(self.changed_ms);
        let percent = if pressure > SUSPEND_ABOVE_RATIO {
            0
        } else if pressure > REDUCE_ABOVE_RATIO && unchanged_ms >= FEEDBACK_DELAY_MS {
            let half = self.percent / 2;
            if half < MIN_SHARE_PERCENT { 0 } else { half }
        } else if pressure < INCREASE_BELOW_RATIO && unchanged_ms >= INCREASE_INTERVAL_MS {
            (self.percent + INCREASE_STEP_PERCENT).min(100)
        } else {
            self.percent
        };
        if percent == self.percent {
            return self;
        }
        Self {
            percent,
            changed_ms: now_ms,
        }
    }
}
