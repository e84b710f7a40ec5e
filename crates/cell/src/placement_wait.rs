//! Whether a step waits for a better placement or starts on the workers that are free now.
//!
//! Tasks take longer away from their data, apart from their group, or on a slow worker. A better
//! placement becomes free at an expected time. Waiting for it pays if the step ends earlier by more
//! than it costs others, and if no delay of the expected time makes its job later than a start now.

use derive_more::Display;

use crate::objective::MAX_LATENESS;

/// What makes another placement better.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum WaitReason {
    /// The rack that holds the data.
    #[display("data_rack")]
    DataRack,
    /// A rack that holds all tasks of the step.
    #[display("group_rack")]
    GroupRack,
    /// Faster workers.
    #[display("faster_worker")]
    FasterWorker,
}

/// A step that can start now, and a better placement that may become free.
#[derive(Clone, Copy, Debug)]
pub struct WaitCase {
    /// What makes the other placement better.
    pub reason: WaitReason,
    /// Current time, in Unix milliseconds.
    pub unix_ms: u64,
    /// Expected duration of the step if it starts now, in milliseconds.
    pub here_ms: u64,
    /// Expected duration of the step on the better placement, in milliseconds.
    pub better_ms: u64,
    /// Expected time until the better placement is free, in milliseconds; `None` if it will not become
    /// free in time, or must not be used any more.
    pub free_in_ms: Option<u64>,
    /// Expected duration of the steps that follow, in milliseconds.
    pub later_ms: u64,
    /// Time for which the step has waited for a better placement, in milliseconds.
    pub waited_ms: u64,
    /// Time left to the objective of the job, in milliseconds.
    pub objective_left_ms: u64,
    /// Time left until the result has no value any more, in milliseconds.
    pub value_left_ms: u64,
    /// Number of better workers that have room for a task now.
    pub idle_better_workers: usize,
    /// Time for which the waiting work of the service would keep its workers busy, in milliseconds.
    pub backlog_ms: u64,
}

/// The decision about a [`WaitCase`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitVerdict {
    /// Start on the workers that are free now.
    StartNow,
    /// Wait, and decide again in the next pass.
    WaitUntil {
        /// Expected time at which the better placement is free, in Unix milliseconds.
        unix_ms: u64,
        /// What makes it better.
        reason: WaitReason,
    },
}

/// Minimum time by which a step must end earlier, in milliseconds: a pass and an order take about as
/// long, and expected ends are inaccurate.
const MIN_GAIN_MS: u64 = 150;
/// Number of better workers with room above which the step starts: the better kind is not scarce, and
/// something other than the load keeps the step from it.
const MAX_IDLE_WORKERS: usize = 3;
/// Allowance for a better placement that becomes free later than expected, in percent.
const LATE_FREE_PERCENT: u64 = 150;

impl WaitCase {
    fn lateness(&self, duration_ms: u64) -> u8 {
        match duration_ms + self.later_ms {
            ms if ms <= self.objective_left_ms => 0,
            ms if ms <= self.value_left_ms => 1,
            _ => MAX_LATENESS,
        }
    }
}

/// Decides whether a step waits for a better placement.
pub fn decide(case: &WaitCase) -> WaitVerdict {
    let Some(free_in_ms) = case.free_in_ms else {
        return WaitVerdict::StartNow;
    };
    let faster_by_ms = case.here_ms.saturating_sub(case.better_ms);
    // All waits together must not take longer than the better placement saves.
    if case.idle_better_workers > MAX_IDLE_WORKERS || case.waited_ms + free_in_ms > faster_by_ms {
        return WaitVerdict::StartNow;
    }
    let lateness_here = case.lateness(case.here_ms);
    let late_free_ms = free_in_ms * LATE_FREE_PERCENT / 100 + MIN_GAIN_MS;
    let lateness_after_wait = case.lateness(late_free_ms + case.better_ms);
    if lateness_after_wait > lateness_here || lateness_after_wait == MAX_LATENESS {
        return WaitVerdict::StartNow;
    }
    // Capacity that idles meanwhile costs others as much as they could use of it.
    let idle_cost_ms = if lateness_after_wait < lateness_here {
        0
    } else {
        free_in_ms.min(case.backlog_ms)
    };
    if faster_by_ms < free_in_ms + idle_cost_ms + MIN_GAIN_MS {
        return WaitVerdict::StartNow;
    }
    WaitVerdict::WaitUntil {
        unix_ms: case.unix_ms + free_in_ms,
        reason: case.reason,
    }
}
