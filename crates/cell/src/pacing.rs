//! How fast tasks that fill may work beside tasks that serve.
//!
//! Tasks on one worker share more than its room indicates: tasks that fill lengthen the response
//! times of tasks that serve, by amounts that change within seconds. So their share is cut as soon
//! as a serving task comes near its target, and given back in small steps while all are calm.

/// A serving task's tail against its target from which on filling is cut.
const CUT_ABOVE: f64 = 0.9;
/// From here on filling stops at once.
const STOP_ABOVE: f64 = 1.2;
/// Below this, filling gets more.
const RAISE_BELOW: f64 = 0.6;
/// A share below this is cut to nothing, in percent.
const LEAST_PERCENT: u32 = 20;
/// A share grows by this much at a time, in percent.
const STEP_PERCENT: u32 = 15;
/// A change shows in the figures after this time, in milliseconds: the worker obeys within 100 ms,
/// and its figures are those of the last half second.
const SETTLE_MS: u64 = 650;
/// Time between a change and the next raise, in milliseconds.
const RAISE_AFTER_MS: u64 = 1_200;

/// The share at which filling tasks of one worker work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FillShare {
    /// The share, in percent.
    pub percent: u32,
    /// When it last changed, in milliseconds of our clock.
    changed_ms: u64,
}

impl Default for FillShare {
    fn default() -> Self {
        Self {
            percent: 100,
            changed_ms: 0,
        }
    }
}

impl FillShare {
    /// The share from now on; `pressure` is the highest tail of a serving task against its target,
    /// or `None` where nothing serves.
    #[must_use]
    pub fn next(self, pressure: Option<f64>, now_ms: u64) -> Self {
        let Some(pressure) = pressure else {
            return Self {
                percent: 100,
                changed_ms: self.changed_ms,
            };
        };
        let since_ms = now_ms.saturating_sub(self.changed_ms);
        let percent = if pressure > STOP_ABOVE {
            0
        } else if pressure > CUT_ABOVE && since_ms >= SETTLE_MS {
            let half = self.percent / 2;
            if half < LEAST_PERCENT { 0 } else { half }
        } else if pressure < RAISE_BELOW && since_ms >= RAISE_AFTER_MS {
            (self.percent + STEP_PERCENT).min(100)
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
