//! Limits on release notes and on the values in them.

use std::ops::RangeInclusive;

/// Maximum size of a note.
pub const NOTE_LIMIT_BYTES: usize = 1024 * 1024;
/// Maximum length of a name of work, a team or a zone.
pub const NAME_LIMIT_CHARS: usize = 63;
/// Maximum number of zones that a work item may list.
pub const ZONES_LIMIT: usize = 64;
/// Maximum total number of replicas and tasks of all work in force.
pub const MAX_TASKS_IN_FORCE: u64 = 200_000;
/// Replicas of a service, or tasks of a batch run or gang job.
pub const TASKS: RangeInclusive<u64> = 1..=100_000;
/// CPU demand of a task, in thousandths of a core.
pub const CPU_MILLI: RangeInclusive<u64> = 1..=1_000_000;
/// Memory demand of a task, in mebibytes.
pub const MEMORY_MB: RangeInclusive<u64> = 1..=16_777_216;
/// Number of accelerators of a task.
pub const ACCELERATORS: RangeInclusive<u64> = 0..=64;
/// Declared run time of a task, in milliseconds; at most 30 days.
pub const RUN_TIME_MS: RangeInclusive<u64> = 1..=2_592_000_000;
/// Maximum number of attempts of a task.
pub const MAX_ATTEMPTS: RangeInclusive<u64> = 1..=100;
/// Concurrent calls per replica.
pub const SLOTS: RangeInclusive<u64> = 1..=10_000;
/// Concurrent connections per replica.
pub const CONNECTIONS: RangeInclusive<u64> = 1..=100_000;
/// Amount of each resource in a quota, in the unit of the resource.
pub const QUOTA_AMOUNT: RangeInclusive<u64> = 0..=10_000_000_000;
/// Weight of a team's share under contention.
pub const WEIGHT: RangeInclusive<u64> = 1..=10_000;
/// Maximum number of attempts of a task if the note states none.
pub const DEFAULT_MAX_ATTEMPTS: u32 = 3;
/// Weight of a team if the note states none.
pub const DEFAULT_WEIGHT: u32 = 1;
