//! Limits of a note and of the numbers in it.

use std::ops::RangeInclusive;

/// Largest note, in bytes.
pub const NOTE_LIMIT_BYTES: usize = 1024 * 1024;
/// Longest name of a work, a team or a zone, in characters.
pub const NAME_LIMIT_CHARS: usize = 63;
/// Most zones that one piece of work may name.
pub const ZONES_LIMIT: usize = 64;
/// Most replicas and tasks of all work in force together.
pub const TASKS_IN_FORCE_LIMIT: u64 = 200_000;
/// Replicas of a service, or tasks of a batch run or gang job.
pub const TASKS: RangeInclusive<u64> = 1..=100_000;
/// Processor time of a task, in thousandths of a core.
pub const CPU_MILLI: RangeInclusive<u64> = 1..=1_000_000;
/// Memory of a task, in mebibytes.
pub const MEMORY_MB: RangeInclusive<u64> = 1..=16_777_216;
/// Accelerators of a task.
pub const ACCELERATORS: RangeInclusive<u64> = 0..=64;
/// Declared run time of a task, in milliseconds; at most 30 days.
pub const RUN_TIME_MS: RangeInclusive<u64> = 1..=2_592_000_000;
/// Starts of a task in all.
pub const MAX_ATTEMPTS: RangeInclusive<u64> = 1..=100;
/// Calls that a replica handles at once.
pub const SLOTS: RangeInclusive<u64> = 1..=10_000;
/// Connections that a replica accepts.
pub const CONNECTIONS: RangeInclusive<u64> = 1..=100_000;
/// Each resource of a quota, in the unit of the resource.
pub const QUOTA_AMOUNT: RangeInclusive<u64> = 0..=10_000_000_000;
/// A team's share under contention.
pub const WEIGHT: RangeInclusive<u64> = 1..=10_000;
/// Starts of a task in all, if the note does not say.
pub const DEFAULT_MAX_ATTEMPTS: u32 = 3;
/// A team's share, if the note does not say.
pub const DEFAULT_WEIGHT: u32 = 1;
