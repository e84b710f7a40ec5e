//! Whether stopping a run pays, so that more urgent work can use its capacity.
//!
//! Answers a cell that is full for some seconds, in which wide gangs starve: capacity that becomes free in
//! small parts goes to steps that can start one task at a time. Queues with a higher priority take
//! capacity from runs that lose little by being stopped: their task resumes from a checkpoint, and
//! its job has slack or is late already.

use std::cmp::Reverse;

/// A step that finds no capacity.
#[derive(Clone, Copy, Debug)]
pub struct Claimant {
    /// Priority of its queue; 0 is the highest.
    pub priority: u32,
    /// Lateness of its job if it started now, as in [`crate::objective::lateness`].
    pub lateness: u8,
}

/// A run that could be stopped in favour of a claimant.
#[derive(Clone, Copy, Debug)]
pub struct Victim {
    /// Priority of its queue; 0 is the highest.
    pub priority: u32,
    /// Lateness of its job if it goes on, as in [`crate::objective::lateness`].
    pub lateness: u8,
    /// Whether its job exceeds its tenant's share.
    pub over_share: bool,
    /// Whether its task resumes from a checkpoint.
    pub resumes: bool,
    /// Whether it is a member of a gang, whose other members would lose their work as well.
    pub gang: bool,
    /// Time until the run is expected to end, in milliseconds.
    pub remaining_ms: u64,
    /// Time by which its job can be delayed and still meet its objective, in milliseconds.
    pub slack_ms: u64,
    /// Number of earlier runs of the task that were stopped for other work.
    pub preemptions: u32,
}

/// What a stop costs, whatever the run.
#[derive(Clone, Copy, Debug)]
pub struct StopCost {
    /// Time that a worker takes at most to stop a run, in milliseconds.
    pub stop_timeout_ms: u64,
    /// Time that a run needs to resume from a checkpoint, in milliseconds.
    pub restore_ms: u64,
}

impl StopCost {
    /// Time that the task loses, in milliseconds.
    fn total_ms(&self) -> u64 {
        self.stop_timeout_ms + self.restore_ms
    }
}

/// Maximum number of times that a task is stopped for other work: each stop costs the time to
/// resume, and the task must end at last.
const MAX_PREEMPTIONS: u32 = 2;
/// Time that a stopped task may wait for its next run, in milliseconds.
const REQUEUE_ALLOWANCE_MS: u64 = 2_500;
/// A run that is expected to end within the cost of its stop times this factor ends by itself.
const MIN_REMAINING_FACTOR: u64 = 2;

/// How readily a victim is stopped; lower ranks first. Within a class, the one with more slack loses
/// less.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StopRank {
    /// Jobs without value and late ones first, then those over their tenant's share.
    class: u8,
    slack_ms: Reverse<u64>,
}

/// Whether a run may be stopped for a claimant, and how readily; `None` if it may not.
pub fn stop_rank(claimant: Claimant, victim: &Victim, cost: &StopCost) -> Option<StopRank> {
    let is_ranked_lower = victim.priority > claimant.priority;
    let pays = victim.remaining_ms > cost.total_ms() * MIN_REMAINING_FACTOR;
    let allowed = victim.resumes && !victim.gang && victim.preemptions < MAX_PREEMPTIONS;
    let stays_useful = victim.lateness > 0
        || victim.over_share
        || victim.slack_ms >= cost.total_ms() + REQUEUE_ALLOWANCE_MS;
    if !stays_useful {
        return None;
    }
    if !is_ranked_lower || !pays || !allowed || victim.lateness < claimant.lateness {
        return None;
    }
    let class = match (victim.lateness, victim.over_share) {
        (2.., _) => 0,
        (1, _) => 1,
        (_, true) => 2,
        (_, false) => 3,
    };
    Some(StopRank {
        class,
        slack_ms: Reverse(victim.slack_ms),
    })
}
