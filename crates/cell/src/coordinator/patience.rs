//! How long a waiting task is passed over in favour of a preferred worker.
//!
//! Some workers are preferred to others that have room, for example to the one on which the task has
//! just failed. A preference must end when it costs the job its turn: a preferred worker may stay
//! full for ever, and then nothing else would ever start the task.

/// How long a task is passed over while it has further attempts, in milliseconds. In a busy cell a
/// preferred worker has room within this time.
const USUAL_MS: u64 = 1_000;
/// Minimum time before the last attempt of a task, in milliseconds: another failure would end its
/// job, and the worker may still be faulty.
const LAST_ATTEMPT_MIN_MS: u64 = 4_000;
/// Maximum time before the last attempt, in milliseconds. It is used up only while the job can
/// still meet its objective.
const LAST_ATTEMPT_MAX_MS: u64 = 8_000;

/// What the waiting tasks of a step can lose by waiting, and by a further failure.
#[derive(Clone, Copy, Debug)]
pub(super) struct Patience {
    /// Whether the tasks wait because of the load, or their job does not stand still: it has a run,
    /// and no long-running task without one.
    pub(super) awaits_its_turn: bool,
    /// Whether the tasks run until their job is cancelled.
    pub(super) long_running: bool,
    /// Whether another failure ends the job.
    pub(super) last_attempt: bool,
    /// Time left in which the tasks must start for the job to meet its objective, in milliseconds.
    pub(super) slack_ms: u64,
}

impl Patience {
    /// How long the tasks may be passed over in favour of workers on which none of them failed, in
    /// milliseconds. Long-running tasks can fail anywhere at any time, and wait for nothing.
    pub(super) fn after_failure_ms(&self) -> u64 {
        match self {
            Self {
                long_running: true, ..
            } => 0,
            Self {
                last_attempt: false,
                ..
            } => USUAL_MS,
            Self { slack_ms: 0, .. } => LAST_ATTEMPT_MIN_MS,
            Self { .. } => LAST_ATTEMPT_MAX_MS,
        }
    }

    /// How long the tasks may be kept from workers that are reserved for others, in milliseconds;
    /// `None` for no limit.
    pub(super) fn before_reserved_ms(&self) -> Option<u64> {
        (!self.awaits_its_turn).then_some(USUAL_MS)
    }

    /// How long the tasks may be kept from workers that count as faulty or slow, in milliseconds;
    /// `None` for no limit.
    pub(super) fn before_suspect_ms(&self) -> Option<u64> {
        (!self.awaits_its_turn).then(|| self.after_failure_ms().max(USUAL_MS))
    }
}
